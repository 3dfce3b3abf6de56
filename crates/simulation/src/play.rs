//! Plays a schedule: its steps, the operators with their re-sends, the platform, and what is checked all along.

mod asks;
mod copies;
mod cut_off;
mod holder;
mod operators;
mod resent;
mod rules;
mod transfers;

use std::collections::{BTreeMap, BTreeSet};

use control::core::ids::Incarnation;
use protocol::items::ItemName;

pub use self::asks::{DROPPED_ONCE, REFERRED};
use crate::cluster::{Cluster, Fault, MS, SECOND};
use crate::edges::{LIMITS, SURGING};
use crate::history::Op;
use crate::schedule::{Ask, Schedule, What};
use resent::Resent;

/// Bounds of the rules: an item is in force at limiters in touch, and these are in touch after so much calm.
const APPLY: i64 = 4 * SECOND;
const CONTACT: i64 = 5 * SECOND;
/// An operator waits so long for an answer, and sends again for so long.
const PATIENCE: i64 = SECOND;
const ACK: i64 = 8 * SECOND;
/// Stated: more than half of the replicas run and reach each other for this long, and a write among them is answered...
pub const SETTLED: i64 = 4 * SECOND;
/// ...within this, re-sends included...
pub const TAKEN: i64 = 2 * SECOND;
/// ...and the first one after trouble this long after they do...
pub const RECOVERED: i64 = 6 * SECOND;
/// ...and each duty is done, but for spells of at most this.
pub const VACANT: i64 = 6 * SECOND;
/// Stated: an edge that was heard nowhere for this long is a member nowhere.
pub const OUT: i64 = 5_200 * MS;
/// Stated: an edge that has been ready for this long is a member at all replicas.
pub const TOLD: i64 = SECOND;
/// Stated: most messages a second of one replica, while operators ask at most thrice a second; and in calm.
pub const LETTERS: u32 = 650;
/// Stated: most that a replica holds of rounds, calls, readings, and writes that something waits for.
pub const HELD: usize = 250;
/// Stated: in calm a tenant that asks for more than its rate has this part of it.
pub const SERVED: f64 = 0.6;
/// The calm at the end lasts for this.
const CALM: i64 = 13 * SECOND;
const LOOK: i64 = 50 * MS;
/// A replica whose disk was lost stays lost for this long after it is in touch again: the bound `sync_time`.
const SYNC: i64 = 4 * SECOND;
const PROBE: i64 = 300 * MS;

/// What came of a schedule.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Rules that were broken.
    pub faults: Vec<Fault>,
    /// Changes that were acknowledged, refused, and never clearly answered; readings.
    pub acknowledged: u64,
    /// Refused for what stands.
    pub refused: u64,
    /// Orders that were taken and sent again, and acknowledged again.
    pub repeated: u64,
    /// No clear answer to the last.
    pub unclear: u64,
    /// Readings that were answered.
    pub read: u64,
    /// Terms of duties.
    pub terms: u64,
    /// Messages between replicas, and the most of one replica in a second.
    pub peer_messages: u64,
    /// The most.
    pub most: u32,
    /// Longest time from a settled core to a write that was taken, and of a duty done by nobody.
    pub taken: i64,
    /// Longest time from the instant at which more than half run and reach each other to the first write taken.
    pub recovered: i64,
    /// A duty done by nobody.
    pub vacant: i64,
    /// Most that a replica held.
    pub held: usize,
    /// Requests that passed, and the worst window over what is allowed.
    pub passed: u64,
    /// The worst window.
    pub worst: f64,
    /// Least part of its rate that a tenant had in calm.
    pub least: f64,
    /// Most events in a second.
    pub busiest: usize,
    /// Most bytes of state transfers that came to a process.
    pub transferred: u64,
    /// Steps that were left out, as more disks would have been lost than may be.
    pub skipped: u64,
    /// Fewest disks on which an acknowledged change stood at any moment.
    pub copies: usize,
}

struct Pending {
    ask: Ask,
    at: usize,
    begun: i64,
    /// The call that is out, and when it went, and to which machine.
    call: Option<(u64, i64)>,
    to: usize,
    next: i64,
    tries: u64,
    probe: bool,
    /// It was taken before, and is sent again.
    repeat: bool,
}

struct Player {
    cluster: Cluster,
    outcome: Outcome,
    pending: Vec<Pending>,
    history: BTreeMap<String, Vec<Op>>,
    /// Versions that were acknowledged, by item, and when.
    acked: BTreeMap<ItemName, Vec<(i64, u64)>>,
    /// Newest version that was asked for.
    asked: BTreeMap<ItemName, u64>,
    /// What was acknowledged at each version while no higher one had been asked for.
    contents: BTreeMap<(ItemName, u64), u64>,
    drained: Vec<(i64, bool, bool)>,
    /// More than half of the replicas that run and reach each other, and since when.
    clique: Option<(BTreeSet<(usize, u64)>, i64)>,
    core_since: i64,
    /// By replica, since when it has been in touch again after its disk was lost.
    hurt: Vec<Option<i64>>,
    /// By replica, since when it has been in touch.
    touch_since: Vec<i64>,
    /// By replica, the newest incarnation that was ever whole.
    newest: Vec<Incarnation>,
    edge_since: Vec<i64>,
    ready_since: Vec<i64>,
    cut_off: Vec<bool>,
    /// By machine, when it last could exchange messages with each replica.
    reached: Vec<BTreeMap<usize, i64>>,
    vacant: [i64; 2],
    /// A write was taken since more than half were together from then on.
    recovered: Option<i64>,
    probing: bool,
    probe: u64,
    next_probe: i64,
    list: u64,
    next_poll: Vec<i64>,
    resent: Resent,
    /// Tenants that the first call sets.
    tenants: usize,
    /// Where trouble met the holder of the count last.
    holder: Option<usize>,
    /// By replica, the machine and incarnation that took part last.
    begun: Vec<Option<(usize, Incarnation)>>,
    /// When processes were first seen to run.
    starts: BTreeMap<(usize, u64), i64>,
    /// By machine, when the run started in which it was last seen to rebuild.
    gathering: BTreeMap<usize, i64>,
}

/// Plays a schedule to its end.
pub fn play(schedule: &Schedule) -> Outcome {
    let mut cluster = Cluster::with(schedule.seed, schedule.cores, schedule.bug);
    cluster.names = asks::names();
    cluster.load = schedule.load;
    (0..schedule.edges).for_each(|at| _ = cluster.add_edge(at * 2 % schedule.cores));
    let edges = schedule.edges;
    let surges = schedule
        .steps
        .iter()
        .any(|step| matches!(step.what, What::Surge(_)));
    let mut player = Player {
        cluster,
        outcome: Outcome {
            copies: usize::MAX,
            ..Outcome::default()
        },
        pending: Vec::new(),
        history: BTreeMap::new(),
        acked: BTreeMap::new(),
        asked: BTreeMap::new(),
        contents: BTreeMap::new(),
        drained: Vec::new(),
        clique: None,
        core_since: 0,
        hurt: vec![None; schedule.cores],
        touch_since: vec![0; schedule.cores],
        newest: vec![Incarnation::NONE; schedule.cores],
        edge_since: vec![0; edges],
        ready_since: vec![0; edges],
        cut_off: vec![false; edges],
        reached: Vec::new(),
        vacant: [0; 2],
        recovered: None,
        probing: true,
        probe: 1,
        next_probe: 0,
        list: 1,
        next_poll: Vec::new(),
        resent: Resent::default(),
        tenants: if surges { LIMITS.len() } else { SURGING },
        holder: None,
        begun: vec![None; schedule.cores],
        starts: BTreeMap::new(),
        gathering: BTreeMap::new(),
    };
    player.play(schedule);
    player.outcome
}

impl Player {
    fn play(&mut self, schedule: &Schedule) {
        for step in &schedule.steps {
            if let What::Call(ask, _) = &step.what {
                self.issue(*ask);
            }
        }
        let mut steps = schedule.steps.iter().peekable();
        let end = schedule.calm + CALM;
        let (mut calm, mut first_asked, mut look) = (false, None, LOOK);
        while self.cluster.now < end
            && self.outcome.faults.is_empty()
            && self.cluster.faults.is_empty()
        {
            let next = steps.peek().map_or(end, |step| step.at).min(look).min(end);
            let next = if calm { next } else { next.min(schedule.calm) };
            self.cluster.run_to(next.max(self.cluster.now));
            while let Some(step) = steps.next_if(|step| step.at <= self.cluster.now) {
                match &step.what {
                    What::Call(ask, at) => self.ask(*ask, *at, false),
                    What::Again(back, at) => self.again(*back, *at),
                    _ if calm => {}
                    what => self.step(what),
                }
            }
            if !calm && self.cluster.now >= schedule.calm {
                calm = true;
                self.calm();
            }
            if calm {
                // A process that was told to end before the calm began ends in it.
                self.cluster
                    .holding()
                    .into_iter()
                    .for_each(|at| self.cluster.start(at));
            }
            if self.cluster.now >= look {
                look = self.cluster.now + LOOK;
                if self.cluster.now >= 1_500 * MS {
                    self.begin(&mut first_asked);
                }
                self.probing = self.cluster.now < end - SECOND;
                self.look();
            }
        }
        if self.outcome.faults.is_empty() && self.cluster.faults.is_empty() {
            self.end();
        }
        self.outcome.faults.append(&mut self.cluster.faults);
        self.outcome.terms = self.cluster.terms.len() as u64;
        self.outcome.peer_messages = self.cluster.peer_messages;
        self.outcome.busiest = self.cluster.busiest;
        self.outcome.most = self
            .cluster
            .nodes
            .iter()
            .map(|node| node.most)
            .max()
            .unwrap_or(0);
        (self.outcome.passed, self.outcome.worst) =
            (self.cluster.grants.passed, self.cluster.grants.worst);
    }

    fn fault(&mut self, rule: &'static str, text: String) {
        self.cluster.fault(rule, text);
    }

    fn machine(&self, replica: usize) -> usize {
        let holding = self.cluster.holding();
        holding[replica % holding.len()]
    }

    /// Replicas whose disks are lost, or were until of late; at most two may be at a time: a region.
    fn lost(&self) -> usize {
        let empty = |at: usize| self.cluster.nodes[at].disk.own.incarnation == Incarnation::NONE;
        let holding = self.cluster.holding().into_iter().zip(&self.hurt);
        holding
            .filter(|(at, hurt)| hurt.is_some() || empty(*at))
            .count()
    }

    /// The machines that had the replica of this one before it.
    fn before(&self, last: usize) -> Vec<usize> {
        let zone = self.cluster.nodes[last].zone;
        (0..last)
            .filter(|at| self.cluster.nodes[*at].zone == zone)
            .collect()
    }

    /// Looks which replicas have been in touch for long enough after their disks were lost.
    fn mend(&mut self) {
        let now = self.cluster.now;
        for (replica, at) in self.cluster.holding().into_iter().enumerate() {
            let node = &self.cluster.nodes[at];
            let empty = node.disk.own.incarnation == Incarnation::NONE;
            let touch = node
                .core
                .as_ref()
                .is_some_and(|core| core.has_quorum_contact(node.clock.at(now)));
            let since = if empty || !touch || !self.good(at) {
                now
            } else {
                self.hurt[replica].unwrap_or(now)
            };
            let hurt = empty || self.hurt[replica].is_some() && now - since < SYNC;
            self.hurt[replica] = hurt.then_some(since);
        }
    }

    fn may_lose(&mut self, at: usize) -> bool {
        let node = &self.cluster.nodes[at];
        let lost = node.disk.own.incarnation == Incarnation::NONE || self.hurt[node.zone].is_some();
        let may = lost || self.lost() < self.most_lost();
        self.outcome.skipped += u64::from(!may);
        may
    }

    fn most_lost(&self) -> usize {
        // Of the others more than half must be left that have their disks.
        let replicas = self.cluster.zones.len();
        if replicas >= 5 {
            2
        } else {
            usize::from(replicas >= 3)
        }
    }

    fn step(&mut self, what: &What) {
        let many = self.cluster.edges.len();
        match what {
            What::EdgeKill(e)
            | What::Proxy(e)
            | What::EdgeFreeze(e)
            | What::EdgeCut(e)
            | What::EdgeApart(e, _) => {
                if let Some(since) = self.edge_since.get_mut(e % many.max(1)) {
                    *since = self.cluster.now;
                }
            }
            What::Lose(_) => {}
            What::Surge(_) => {}
            _ => self.core_since = self.cluster.now,
        }
        let edge = |at: &usize| at % many.max(1);
        let replica = |replica: &usize| self.machine(*replica);
        match what {
            What::Kill(a) => {
                let at = replica(a);
                self.cluster.kill(at);
            }
            What::Power(a) => {
                let at = replica(a);
                self.cluster.power(at);
            }
            What::Start(a) => {
                let at = replica(a);
                self.cluster.start(at);
            }
            What::Stop(a) => {
                let at = replica(a);
                self.cluster.stop(at);
            }
            What::Wipe(a) => {
                let at = replica(a);
                if self.may_lose(at) {
                    self.cluster.wipe(at);
                    self.mend();
                }
            }
            What::Replace(a) => {
                let at = replica(a);
                // Two machines without a disk for one replica are drawn as such: `Rival`.
                let whole = self.cluster.nodes[at].disk.own.incarnation != Incarnation::NONE;
                if whole && self.may_lose(at) && self.cluster.nodes.len() < 200 {
                    let new = self.cluster.add(self.cluster.nodes[at].zone);
                    self.cluster.start(new);
                    self.mend();
                }
            }
            What::Rival(a) => {
                let at = replica(a);
                if self.may_lose(at) && self.cluster.nodes.len() < 200 {
                    let new = self.cluster.add(self.cluster.nodes[at].zone);
                    self.cluster.start(new);
                    self.mend();
                }
            }
            What::Retire(a) => self
                .before(replica(a))
                .into_iter()
                .for_each(|at| self.cluster.power(at)),
            What::Leave(a) => self
                .before(replica(a))
                .into_iter()
                .for_each(|at| self.cluster.stop(at)),
            What::Freeze(a) => {
                let at = replica(a);
                self.cluster.freeze(at, true);
            }
            What::Thaw(a) => {
                let at = replica(a);
                self.cluster.freeze(at, false);
            }
            What::Stand(a) => {
                let at = replica(a);
                self.cluster.freeze(at, true);
            }
            What::GoOn(a) => {
                let at = replica(a);
                self.cluster.go_on(at);
            }
            What::Reset(a) => {
                let at = replica(a);
                self.cluster.reset_links(at);
            }
            What::Slow(a, by) => {
                let at = replica(a);
                self.cluster.slow(at, *by as i64);
            }
            What::Stall(a, by) => {
                let at = replica(a);
                self.cluster.nodes[at].disk.stalled = self.cluster.now + *by as i64 * MS;
            }
            What::Full(a) => {
                let at = replica(a);
                self.cluster.fill(at, true);
            }
            What::Room(a) => {
                let at = replica(a);
                self.cluster.fill(at, false);
            }
            What::Cut(group) => {
                let one: Vec<usize> = group.iter().map(replica).collect();
                let other = (0..self.cluster.nodes.len())
                    .filter(|at| !one.contains(at))
                    .collect::<Vec<_>>();
                self.cluster.cut(&one, &other);
            }
            What::OneWay(a, b) => {
                let pair = (replica(a), replica(b));
                if pair.0 != pair.1 {
                    self.cluster.cuts.insert(pair);
                }
            }
            What::Hold(a, within, by) => {
                let (at, now) = (replica(a), self.cluster.now);
                self.cluster
                    .held
                    .insert(at, (now + *within as i64 * MS, now + *by as i64 * MS));
            }
            What::Heal => self
                .cluster
                .cuts
                .retain(|(a, b)| *a.max(b) >= crate::edges::EDGES),
            What::Drops(n) => self.cluster.drops = *n,
            What::Twice(n) => self.cluster.twice = *n,
            What::Late(n) => self.cluster.late = *n * 1_000,
            What::All => {
                let replicas = self.cluster.holding();
                replicas.iter().for_each(|at| self.cluster.kill(*at));
                replicas.iter().for_each(|at| self.cluster.start(*at));
            }
            What::Dark => {
                let replicas = self.cluster.holding();
                replicas.iter().for_each(|at| self.cluster.power(*at));
                replicas.iter().for_each(|at| self.cluster.start(*at));
            }
            What::Lose(n) => self.resent.lose = *n,
            _ if many == 0 => {}
            What::EdgeKill(e) => self.cluster.edge_kill(edge(e)),
            What::EdgeStart(e) => self.cluster.edge_start(edge(e)),
            What::Proxy(e) => self.cluster.proxy_restart(edge(e)),
            What::EdgeFreeze(e) => self.cluster.edge_freeze(edge(e), true),
            What::EdgeThaw(e) => self.cluster.edge_freeze(edge(e), false),
            What::EdgeCut(e) => {
                self.cut_off[edge(e)] = true;
                for at in 0..self.cluster.nodes.len() {
                    self.cluster.cut(&[crate::edges::EDGES + edge(e)], &[at]);
                }
            }
            What::EdgeApart(e, a) => {
                let at = replica(a);
                self.cluster.cut(&[crate::edges::EDGES + edge(e)], &[at]);
            }
            What::EdgeHeal(e) => {
                let e = edge(e);
                self.cut_off[e] = false;
                let at = crate::edges::EDGES + e;
                self.cluster.cuts.retain(|(a, b)| *a != at && *b != at);
            }
            What::Call(..) | What::Again(..) => {}
            What::Surge(n) => self.cluster.surge = *n,
            What::Holder(trouble) => self.trouble_holder(*trouble),
        }
        self.look_who_is_reached();
    }

    /// All trouble ends.
    fn calm(&mut self) {
        (self.resent.lose, self.resent.calm) = (0, Some(self.cluster.now));
        self.cluster.heal();
        (self.cluster.drops, self.cluster.twice, self.cluster.late) = (0, 0, 0);
        self.cluster.held.clear();
        self.cluster.surge = 0;
        self.cut_off.fill(false);
        let replicas = self.cluster.holding();
        for at in 0..self.cluster.nodes.len() {
            if !replicas.contains(&at) {
                self.cluster.power(at);
                continue;
            }
            self.cluster.freeze(at, false);
            self.cluster.slow(at, 0);
            self.cluster.nodes[at].disk.stalled = 0;
            self.cluster.fill(at, false);
            self.cluster.start(at);
        }
        for at in 0..self.cluster.edges.len() {
            self.cluster.edge_freeze(at, false);
            self.cluster.edge_start(at);
        }
    }
}
