//! Plays a schedule: its steps, the operators with their re-sends, the platform, and what is checked all along.

use std::collections::{BTreeMap, BTreeSet};

use headworks::calls::{Command, Reply};
use headworks::core::Input;
use headworks::core::letters::{Duty, Life};
use mains::items::{Kind, Name};
use mains::messages::Standing;
use mains::platform::Server;
use serde_json::Value;

use crate::cluster::{Cluster, Event, Fault, MS, SECOND};
use crate::edges::{BASE, HOST, LIMITS, PREFIX};
use crate::history::{self, DROPPED, Did, Op};
use crate::schedule::{Ask, Schedule, What};

/// Bounds of the rules: an item is in force at limiters in touch, and these are in touch after so much calm.
const APPLY: i64 = 4 * SECOND;
const CONTACT: i64 = 5 * SECOND;
/// An operator waits so long for an answer, and sends again for so long.
const PATIENCE: i64 = SECOND;
const ACK: i64 = 8 * SECOND;
/// Stated: more than half of the seats run and reach each other for this long, and a write among them is answered...
pub const SETTLED: i64 = 4 * SECOND;
/// ...within this, re-sends included...
pub const TAKEN: i64 = 2 * SECOND;
/// ...and the first one after trouble this long after they do...
pub const RECOVERED: i64 = 8 * SECOND;
/// ...and each duty is done, but for spells of at most this.
pub const VACANT: i64 = 6 * SECOND;
/// Stated: an edge that was heard nowhere for this long is a member nowhere.
pub const OUT: i64 = 5_200 * MS;
/// Stated: an edge that has been ready for this long is a member at all seats.
pub const TOLD: i64 = SECOND;
/// Stated: most letters a second of one seat, while operators ask at most thrice a second; and in calm.
pub const LETTERS: u32 = 1_500;
/// Stated: most that a seat holds of rounds, calls, readings, and writes that something waits for.
pub const HELD: usize = 1_000;
/// The calm at the end lasts for this.
const CALM: i64 = 13 * SECOND;
const LOOK: i64 = 50 * MS;
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
    /// No clear answer to the last.
    pub unclear: u64,
    /// Readings that were answered.
    pub read: u64,
    /// Terms of duties.
    pub terms: u64,
    /// Letters between seats, and the most of one seat in a second.
    pub letters: u64,
    /// The most.
    pub most: u32,
    /// Longest time from a settled core to a write that was taken, and of a duty done by nobody.
    pub taken: i64,
    /// Longest time from the instant at which more than half run and reach each other to the first write taken.
    pub recovered: i64,
    /// A duty done by nobody.
    pub vacant: i64,
    /// Most that a seat held.
    pub held: usize,
    /// Requests that passed, and the worst window over what is allowed.
    pub passed: u64,
    /// The worst window.
    pub worst: f64,
    /// Steps that were left out, as more disks would have been lost than may be.
    pub skipped: u64,
}

struct Pending {
    ask: Ask,
    at: usize,
    begun: i64,
    /// The call that is out, and when it went.
    call: Option<(u64, i64)>,
    next: i64,
    tries: u64,
    probe: bool,
}

struct Player {
    cluster: Cluster,
    outcome: Outcome,
    pending: Vec<Pending>,
    history: BTreeMap<String, Vec<Op>>,
    /// Versions that were acknowledged, by item, and when.
    acked: BTreeMap<Name, Vec<(i64, u64)>>,
    /// Newest version that was asked for.
    asked: BTreeMap<Name, u64>,
    /// What was acknowledged at each version while no higher one had been asked for.
    contents: BTreeMap<(Name, u64), u64>,
    drained: Vec<(i64, bool, bool)>,
    /// More than half of the seats that run and reach each other, and since when.
    clique: Option<(BTreeSet<(usize, u64)>, i64)>,
    core_since: i64,
    edge_since: Vec<i64>,
    ready_since: Vec<i64>,
    cut_off: Vec<bool>,
    vacant: [i64; 2],
    /// A write was taken since more than half were together from then on.
    recovered: Option<i64>,
    probing: bool,
    probe: u64,
    next_probe: i64,
    list: u64,
    next_poll: Vec<i64>,
}

fn name(kind: Kind, name: impl ToString) -> Name {
    Name { kind, name: name.to_string() }
}

fn svc(item: u64) -> Name {
    name(Kind::Service, format!("s{item}"))
}

fn object(item: u64, ver: u64, content: u64) -> String {
    format!(r#"{{"type":"svcs","meta":{{"name":"s{item}","ver":{ver}}},"spec":{{"hcheck":"/{content}"}}}}"#)
}

fn route(route: &str, prefix: &str, ver: u64, content: u64, svc: &str) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"{route}","ver":{ver}}},"spec":{{"host":"{HOST}","prefix":"{prefix}",
        "kind":"idem","timeout":"{content}ms","target_time":"500ms","svc":"{svc}","tries":2}}}}"#
    )
}

fn patch(objects: &[String]) -> Command {
    Command::Patch(format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, objects.join(",")).into_bytes())
}

/// The first call: what always stands.
fn first() -> Command {
    let mut objects = vec![
        format!(r#"{{"type":"svcs","meta":{{"name":"{BASE}","ver":1}},"spec":{{"hcheck":"/h"}}}}"#),
        route("load", PREFIX, 1, 3_000, BASE),
    ];
    objects.extend(LIMITS.iter().enumerate().map(|(at, limit)| {
        let (per_s, burst) = (limit.per_s, limit.burst);
        format!(
            r#"{{"type":"tenants","meta":{{"name":"t{at}","ver":1}},"spec":{{"apikeys":["key{at}"],"per_s":{per_s},"burst":{burst}}}}}"#
        )
    }));
    patch(&objects)
}

impl Ask {
    fn command(self) -> Command {
        match self {
            Ask::Set(item, ver, content) => patch(&[object(item, ver, content)]),
            Ask::Drop(item, ver) => {
                let text = format!(r#"{{"remove":{{"svcs":[{{"name":"s{item}","ver":{ver}}}]}}}}"#);
                Command::Patch(text.into_bytes())
            }
            Ask::Route(item, ver, content) => {
                patch(&[route(&format!("r{item}"), &format!("/r{item}/"), ver, content, BASE)])
            }
            Ask::Two(ver, content, other) => patch(&[object(0, ver, content), object(1, ver, other)]),
            Ask::Bad(ver, content) => {
                patch(&[object(0, ver, content), route("r0", "/r0/", ver, content, "nowhere")])
            }
            Ask::Read => Command::Get,
            Ask::Drain(on) => Command::Drain { zone: "c".to_string(), on },
        }
    }

    /// The items that it writes: version and content.
    fn writes(self) -> Vec<(Name, u64, u64)> {
        match self {
            Ask::Set(item, ver, content) => vec![(svc(item), ver, content)],
            Ask::Drop(item, ver) => vec![(svc(item), ver, DROPPED)],
            Ask::Route(item, ver, content) => vec![(name(Kind::Route, format!("r{item}")), ver, content)],
            Ask::Two(ver, content, other) => vec![(svc(0), ver, content), (svc(1), ver, other)],
            Ask::Bad(..) | Ask::Read | Ask::Drain(_) => Vec::new(),
        }
    }
}

/// The items of the schedules.
fn names() -> Vec<Name> {
    let routes = (0..2).map(|at| name(Kind::Route, format!("r{at}")));
    (0..3).map(svc).chain(routes).collect()
}

/// The list of the platform: its number is in the servers' ids.
fn servers(list: u64, zones: &[String]) -> Vec<Server> {
    let one = |at: u64| Server {
        id: format!("i{list}-{at}"),
        svc: BASE.to_string(),
        addr: std::net::SocketAddr::from(([10, 128, 0, at as u8], 8080)),
        zone: zones[at as usize % zones.len()].clone(),
        slots: 100,
        up: true,
        cold: 0,
    };
    (0..6).map(one).collect()
}

/// Plays a schedule to its end.
pub fn play(schedule: &Schedule) -> Outcome {
    let mut cluster = Cluster::with(schedule.seed, schedule.cores, schedule.bug);
    cluster.names = names();
    cluster.load = schedule.load;
    (0..schedule.edges).for_each(|at| _ = cluster.add_edge(at * 2 % schedule.cores));
    let edges = schedule.edges;
    let mut player = Player {
        cluster,
        outcome: Outcome::default(),
        pending: Vec::new(),
        history: BTreeMap::new(),
        acked: BTreeMap::new(),
        asked: BTreeMap::new(),
        contents: BTreeMap::new(),
        drained: Vec::new(),
        clique: None,
        core_since: 0,
        edge_since: vec![0; edges],
        ready_since: vec![0; edges],
        cut_off: vec![false; edges],
        vacant: [0; 2],
        recovered: None,
        probing: true,
        probe: 1,
        next_probe: 0,
        list: 1,
        next_poll: Vec::new(),
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
        while self.cluster.now < end && self.outcome.faults.is_empty() && self.cluster.faults.is_empty() {
            let next = steps.peek().map_or(end, |step| step.at).min(look).min(end);
            let next = if calm { next } else { next.min(schedule.calm) };
            self.cluster.run_to(next.max(self.cluster.now));
            while let Some(step) = steps.next_if(|step| step.at <= self.cluster.now) {
                match &step.what {
                    What::Call(ask, at) => self.ask(*ask, *at, false),
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
                self.cluster.holding().into_iter().for_each(|at| self.cluster.start(at));
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
        self.outcome.letters = self.cluster.letters;
        self.outcome.most = self.cluster.nodes.iter().map(|node| node.most).max().unwrap_or(0);
        (self.outcome.passed, self.outcome.worst) = (self.cluster.grants.passed, self.cluster.grants.worst);
    }

    fn fault(&mut self, rule: &'static str, text: String) {
        self.cluster.fault(rule, text);
    }

    /// The first call is sent until it is taken.
    fn begin(&mut self, asked: &mut Option<(u64, i64)>) {
        let now = self.cluster.now;
        match asked {
            Some((call, _)) if self.cluster.reply(*call) == Some(Reply::Done) => {}
            Some((_, at)) if now - *at < PATIENCE => {}
            _ => {
                let at = self.cluster.holding()[(now / SECOND) as usize % self.cluster.zones.len()];
                *asked = Some((self.cluster.call(at, first()), now));
            }
        }
    }

    fn issue(&mut self, ask: Ask) {
        for (name, ver, content) in ask.writes() {
            if content == DROPPED {
                self.cluster.issued.dropped.entry(name).or_default().insert(ver);
            } else {
                self.cluster.issued.contents.insert(content, (name, ver, true));
            }
        }
        if let Ask::Bad(ver, content) = ask {
            self.cluster.issued.contents.insert(content, (svc(0), ver, false));
        }
    }

    fn machine(&self, seat: usize) -> usize {
        let holding = self.cluster.holding();
        holding[seat % holding.len()]
    }

    /// Seats whose disks are lost and not rebuilt; at most two may be at a time: a region.
    fn lost(&self) -> usize {
        let empty = |at: &&usize| self.cluster.nodes[**at].disk.own.life == Life::NONE;
        self.cluster.holding().iter().filter(empty).count()
    }

    fn may_lose(&mut self, at: usize) -> bool {
        let may = self.cluster.nodes[at].disk.own.life == Life::NONE || self.lost() < self.most_lost();
        self.outcome.skipped += u64::from(!may);
        may
    }

    fn most_lost(&self) -> usize {
        // Of the others more than half must be left that have their disks.
        let seats = self.cluster.zones.len();
        if seats >= 5 { 2 } else { usize::from(seats >= 3) }
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
            _ => self.core_since = self.cluster.now,
        }
        let edge = |at: &usize| at % many.max(1);
        let seat = |seat: &usize| self.machine(*seat);
        match what {
            What::Kill(a) => {
                let at = seat(a);
                self.cluster.kill(at);
            }
            What::Power(a) => {
                let at = seat(a);
                self.cluster.power(at);
            }
            What::Start(a) => {
                let at = seat(a);
                self.cluster.start(at);
            }
            What::Stop(a) => {
                let at = seat(a);
                self.cluster.stop(at);
            }
            What::Wipe(a) => {
                let at = seat(a);
                if self.may_lose(at) {
                    self.cluster.wipe(at);
                }
            }
            What::Replace(a) => {
                let at = seat(a);
                // Two machines without a disk for one seat: what is known of that stands in docs/core.md.
                let whole = self.cluster.nodes[at].disk.own.life != Life::NONE;
                if whole && self.may_lose(at) && self.cluster.nodes.len() < 200 {
                    let new = self.cluster.add(self.cluster.nodes[at].zone);
                    self.cluster.start(new);
                }
            }
            What::Retire(a) => {
                let last = seat(a);
                let zone = self.cluster.nodes[last].zone;
                let old = (0..last).filter(|at| self.cluster.nodes[*at].zone == zone);
                for at in old.collect::<Vec<_>>() {
                    self.cluster.power(at);
                }
            }
            What::Freeze(a) => {
                let at = seat(a);
                self.cluster.freeze(at, true);
            }
            What::Thaw(a) => {
                let at = seat(a);
                self.cluster.freeze(at, false);
            }
            What::Slow(a, by) => {
                let at = seat(a);
                self.cluster.slow(at, *by as i64);
            }
            What::Stall(a, by) => {
                let at = seat(a);
                self.cluster.nodes[at].disk.stalled = self.cluster.now + *by as i64 * MS;
            }
            What::Full(a) => {
                let at = seat(a);
                self.cluster.fill(at, true);
            }
            What::Room(a) => {
                let at = seat(a);
                self.cluster.fill(at, false);
            }
            What::Cut(group) => {
                let one: Vec<usize> = group.iter().map(seat).collect();
                let other = (0..self.cluster.nodes.len()).filter(|at| !one.contains(at)).collect::<Vec<_>>();
                self.cluster.cut(&one, &other);
            }
            What::OneWay(a, b) => {
                let pair = (seat(a), seat(b));
                if pair.0 != pair.1 {
                    self.cluster.cuts.insert(pair);
                }
            }
            What::Heal => self.cluster.cuts.retain(|(a, b)| *a.max(b) >= crate::edges::EDGES),
            What::Drops(n) => self.cluster.drops = *n,
            What::Twice(n) => self.cluster.twice = *n,
            What::Late(n) => self.cluster.late = *n * 1_000,
            What::All => {
                let seats = self.cluster.holding();
                seats.iter().for_each(|at| self.cluster.kill(*at));
                seats.iter().for_each(|at| self.cluster.start(*at));
            }
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
                let at = seat(a);
                self.cluster.cut(&[crate::edges::EDGES + edge(e)], &[at]);
            }
            What::EdgeHeal(e) => {
                let e = edge(e);
                self.cut_off[e] = false;
                let at = crate::edges::EDGES + e;
                self.cluster.cuts.retain(|(a, b)| *a != at && *b != at);
            }
            What::Call(..) => {}
        }
    }

    /// All trouble ends.
    fn calm(&mut self) {
        self.cluster.heal();
        (self.cluster.drops, self.cluster.twice, self.cluster.late) = (0, 0, 0);
        self.cut_off.fill(false);
        let seats = self.cluster.holding();
        for at in 0..self.cluster.nodes.len() {
            if !seats.contains(&at) {
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

    fn ask(&mut self, ask: Ask, seat: usize, probe: bool) {
        let now = self.cluster.now;
        for (name, ver, _) in ask.writes() {
            let newest = self.asked.entry(name).or_default();
            *newest = ver.max(*newest);
        }
        let at = seat % self.cluster.zones.len();
        self.pending.push(Pending { ask, at, begun: now, call: None, next: now, tries: 0, probe });
        self.operators();
    }

    /// The operators look for answers, and send again.
    fn operators(&mut self) {
        let now = self.cluster.now;
        for mut pending in std::mem::take(&mut self.pending) {
            if let Some((call, since)) = pending.call {
                let answer = self.cluster.answers.remove(&call);
                let silent = now - since >= PATIENCE;
                if answer.is_none() && !silent {
                    self.pending.push(pending);
                    continue;
                }
                pending.call = None;
                let clear = self.answered(&pending, since, answer);
                if clear {
                    continue;
                }
                pending.next = now + 100 * MS * (pending.tries as i64).min(5);
            }
            if now - pending.begun >= ACK {
                self.outcome.unclear += 1;
                continue;
            }
            if now >= pending.next {
                let at = self.machine(pending.at);
                pending.at += 1;
                pending.tries += 1;
                if self.cluster.nodes[at].core.is_some() {
                    pending.call = Some((self.cluster.call(at, pending.ask.command()), now));
                } else {
                    pending.next = now + 100 * MS;
                }
            }
            self.pending.push(pending);
        }
    }

    /// An answer, or none. Gives whether it is clear.
    fn answered(&mut self, pending: &Pending, since: i64, answer: Option<(i64, Reply)>) -> bool {
        let (ask, now) = (pending.ask, self.cluster.now);
        let (to, reply) = answer.map_or((i64::MAX, None), |(at, reply)| (at, Some(reply)));
        let writes = ask.writes();
        let alone = writes.len() == 1;
        for (name, ver, content) in writes {
            let (did, to) = match &reply {
                Some(Reply::Done) => (Did::Wrote(ver, content), to),
                // Of a call with more items it is not told which was refused.
                Some(Reply::Conflict) if alone => (Did::Refused(ver, content), to),
                Some(Reply::Invalid(_)) => continue,
                _ => (Did::Unclear(ver, content), i64::MAX),
            };
            self.history.entry(name.to_string()).or_default().push(Op { from: since, to, did });
            if reply == Some(Reply::Done) {
                // One that a higher version has overtaken is acknowledged as well, and has no effect.
                if self.asked.get(&name).is_none_or(|newest| *newest <= ver) {
                    self.contents.insert((name.clone(), ver), content);
                }
                self.acked.entry(name).or_default().push((to, ver));
            }
        }
        match (ask, reply) {
            (Ask::Read, Some(Reply::Items(body))) => {
                self.outcome.read += 1;
                self.was_read(since, to, &body);
                true
            }
            (Ask::Bad(..), Some(Reply::Done)) => {
                self.fault("invalid", format!("{ask:?} was acknowledged"));
                true
            }
            (Ask::Drain(on), Some(Reply::Done)) => {
                self.drained.push((to, on, true));
                true
            }
            (Ask::Drain(on), _) => {
                self.drained.push((now, on, false));
                false
            }
            (_, Some(Reply::Done)) => {
                if pending.probe {
                    let since =
                        self.clique.as_ref().map(|(_, since)| *since).filter(|at| pending.begun >= *at);
                    if let Some(since) = since.filter(|since| self.recovered != Some(*since)) {
                        self.recovered = Some(since);
                        self.outcome.recovered = self.outcome.recovered.max(to - since);
                    }
                    if self.clique.as_ref().is_some_and(|(_, since)| pending.begun - since >= SETTLED) {
                        self.outcome.taken = self.outcome.taken.max(to - pending.begun);
                    }
                } else {
                    self.outcome.acknowledged += 1;
                }
                true
            }
            (_, Some(Reply::Conflict)) => {
                self.outcome.refused += 1;
                true
            }
            (Ask::Bad(..), Some(Reply::Invalid(_))) => true,
            (_, Some(Reply::Invalid(text))) => {
                self.fault("refused", format!("{ask:?}: {text}"));
                true
            }
            _ => false,
        }
    }

    fn was_read(&mut self, from: i64, to: i64, body: &[u8]) {
        let Ok(read) = serde_json::from_slice::<Value>(body) else {
            return self.fault("read", "no JSON".to_string());
        };
        let mut found: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for object in read["objs"].as_array().into_iter().flatten() {
            let (kind, meta, spec) = (&object["type"], &object["meta"], &object["spec"]);
            let content = match kind.as_str() {
                Some("svcs") => spec["hcheck"].as_str().and_then(|text| text[1..].parse().ok()),
                Some("routes") => {
                    spec["timeout"].as_str().and_then(|text| text.strip_suffix("ms")?.parse().ok())
                }
                _ => None,
            };
            let key = format!(
                "{}/{}",
                kind.as_str().unwrap_or_default(),
                meta["name"].as_str().unwrap_or_default()
            );
            if let (Some(ver), Some(content)) = (meta["ver"].as_u64(), content) {
                found.insert(key, (ver, content));
            }
        }
        for name in names() {
            let key = name.to_string();
            let did = Did::Read(found.get(&key).copied());
            self.history.entry(key).or_default().push(Op { from, to, did });
        }
    }

    /// A machine that runs, takes part, and whose disk does.
    fn good(&self, at: usize) -> bool {
        let node = &self.cluster.nodes[at];
        let takes_part = node.core.as_ref().is_some_and(|core| core.takes_part());
        takes_part
            && !node.frozen
            && node.slow == 0
            && !node.disk.full
            && node.disk.stalled <= self.cluster.now
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        self.cluster.cuts.contains(&(a, b)) || self.cluster.cuts.contains(&(b, a))
    }

    fn lossless(&self) -> bool {
        self.cluster.drops == 0 && self.cluster.late <= 50_000
    }

    /// Looks who can do what now, and since when.
    fn settle(&mut self) {
        let now = self.cluster.now;
        let seats = self.cluster.holding();
        let majority = seats.len() / 2 + 1;
        let life = |at: usize| (at, self.cluster.nodes[at].life);
        let holds = |clique: &BTreeSet<(usize, u64)>| {
            let all: Vec<usize> = clique.iter().map(|(at, _)| *at).collect();
            clique.iter().all(|(at, l)| seats.contains(at) && life(*at).1 == *l && self.good(*at))
                && all.iter().all(|a| all.iter().all(|b| !self.apart(*a, *b)))
        };
        let kept = self.clique.as_ref().is_some_and(|(clique, _)| self.lossless() && holds(clique));
        if !kept {
            let mut all: Vec<usize> = seats.iter().copied().filter(|at| self.good(*at)).collect();
            while let Some(worst) = all
                .iter()
                .map(|a| (all.iter().filter(|b| self.apart(*a, **b)).count(), *a))
                .filter(|(many, _)| *many > 0)
                .max()
            {
                all.retain(|at| *at != worst.1);
            }
            let found =
                (all.len() >= majority && self.lossless()).then(|| all.into_iter().map(life).collect());
            self.clique = found.map(|clique| (clique, now));
        }
        let whole = seats.iter().all(|at| self.good(*at))
            && self.lossless()
            && self.cluster.twice == 0
            && !self.cluster.cuts.iter().any(|(a, b)| *a.max(b) < crate::edges::EDGES)
            && self.cluster.live().iter().all(|at| seats.contains(at));
        if !whole {
            self.core_since = now;
        }
        for at in 0..self.cluster.edges.len() {
            let edge = &self.cluster.edges[at];
            let id = crate::edges::EDGES + at;
            if !edge.up || edge.frozen || self.cluster.cuts.iter().any(|(a, b)| *a == id || *b == id) {
                self.edge_since[at] = now;
            }
        }
    }

    /// What is looked at all the time.
    fn look(&mut self) {
        let now = self.cluster.now;
        self.operators();
        self.platform();
        self.settle();
        self.cluster.check_contents();
        self.check_acknowledged();
        self.check_bad();
        self.probes();
        self.check_duties();
        self.check_members();
        for at in 0..self.cluster.edges.len() {
            if now >= self.core_since.max(self.edge_since[at]) + CONTACT {
                self.check_applied(at);
            }
        }
        for at in self.cluster.live() {
            let Some(core) = &self.cluster.nodes[at].core else { continue };
            let sizes = core.sizes();
            let held = sizes.rounds + sizes.readings + sizes.calls + sizes.after;
            self.outcome.held = self.outcome.held.max(held);
            if held > HELD {
                self.fault("memory", format!("machine {at} holds {sizes:?}"));
            }
            let most = self.cluster.nodes[at].most;
            if most > LETTERS {
                self.fault("letters", format!("machine {at} sent {most} in a second"));
            }
        }
    }

    /// What was acknowledged at a version is what stands at it, wherever that version is known.
    fn check_acknowledged(&mut self) {
        let mut faults = Vec::new();
        for ((name, ver), content) in &self.contents {
            let Some(spec) = self.cluster.contents.get(&(name.clone(), *ver)) else { continue };
            let same = match spec {
                None => *content == DROPPED,
                Some(spec) => {
                    spec.contains(&format!("\"/{content}\"")) || spec.contains(&format!("\"{content}ms\""))
                }
            };
            if !same {
                faults.push(format!("{name} {ver} was acknowledged with {content}, and stands as {spec:?}"));
            }
        }
        faults.into_iter().for_each(|text| self.fault("changed", text));
    }

    /// Nothing of an invalid call is in force at a seat.
    fn check_bad(&mut self) {
        let bad: Vec<String> = self
            .cluster
            .issued
            .contents
            .iter()
            .filter(|(_, (_, _, valid))| !valid)
            .map(|(content, _)| format!("/{content}\""))
            .collect();
        if bad.is_empty() {
            return;
        }
        let mut found = None;
        for node in &self.cluster.nodes {
            for item in node.core.iter().flat_map(|core| core.chosen()).filter(|item| item.name.name == "s0")
            {
                if item.spec.as_ref().is_some_and(|spec| bad.iter().any(|bad| spec.contains(bad))) {
                    found = Some(item.name.clone());
                }
            }
        }
        if let Some(name) = found {
            self.fault("invalid", format!("{name} of a call that was invalid"));
        }
    }

    /// The one that holds the duty reads the platform's list.
    fn platform(&mut self) {
        let now = self.cluster.now;
        self.list += u64::from(now / SECOND != (now - LOOK) / SECOND);
        self.next_poll.resize(self.cluster.nodes.len(), 0);
        for at in self.cluster.live() {
            let frozen = self.cluster.nodes[at].frozen;
            if self.cluster.holds(at, Duty::Poll).is_some() && !frozen && now >= self.next_poll[at] {
                self.next_poll[at] = now + 700 * MS;
                let list = servers(self.list, &self.cluster.zones);
                let life = self.cluster.nodes[at].life;
                self.cluster.enter(now + 30 * MS, Event::Feed(at, life, Box::new(Input::Listed(list))));
            }
        }
    }

    /// More than half of the seats run and reach each other: they take writes.
    fn probes(&mut self) {
        let now = self.cluster.now;
        let Some((clique, since)) = self.clique.clone() else {
            self.pending.retain(|pending| !pending.probe);
            return;
        };
        self.pending.retain(|pending| !pending.probe || pending.begun >= since);
        if self.recovered != Some(since) && now - since > RECOVERED {
            return self
                .fault("recover", format!("no write was taken {} ms after trouble", (now - since) / MS));
        }
        let late =
            self.pending.iter().find(|p| p.probe && p.begun - since >= SETTLED && now - p.begun > TAKEN);
        if let Some(late) = late {
            let text = format!(
                "{:?}, asked at {:.2} s after {} tries",
                late.ask,
                late.begun as f64 / 1e6,
                late.tries
            );
            return self.fault(
                "recover",
                format!("no write is taken by {clique:?}, settled for {} ms: {text}", (now - since) / MS),
            );
        }
        if now >= self.next_probe && self.probing && !self.pending.iter().any(|pending| pending.probe) {
            self.next_probe = now + PROBE;
            self.probe += 1;
            let members: Vec<usize> = clique.iter().map(|(at, _)| self.cluster.nodes[*at].zone).collect();
            let seat = members[self.probe as usize % members.len()];
            self.ask(Ask::Set(9, self.probe, self.probe), seat, true);
            // The re-sends of a probe stay among those that can take it.
            if let Some(pending) = self.pending.iter_mut().rfind(|pending| pending.probe) {
                pending.at = seat;
            }
        }
        for pending in self.pending.iter_mut().filter(|pending| pending.probe) {
            let members: Vec<usize> = clique.iter().map(|(at, _)| self.cluster.nodes[*at].zone).collect();
            if !members.contains(&(pending.at % self.cluster.zones.len())) {
                pending.at = members[pending.tries as usize % members.len()];
            }
        }
    }

    fn check_duties(&mut self) {
        let now = self.cluster.now;
        let since = self.clique.as_ref().map(|(_, since)| *since);
        for duty in Duty::ALL {
            let at = duty as usize;
            if since.is_none() || !self.cluster.holders(duty).is_empty() {
                self.vacant[at] = now;
                continue;
            }
            let vacant = now - self.vacant[at].max(since.unwrap_or(now));
            self.outcome.vacant = self.outcome.vacant.max(vacant);
            if vacant > VACANT {
                self.fault("vacant", format!("{duty:?} is done by nobody for {} ms", vacant / MS));
            }
        }
    }

    fn check_members(&mut self) {
        let now = self.cluster.now;
        for (at, edge) in self.cluster.edges.iter().enumerate() {
            if !edge.ready() {
                self.ready_since[at] = now;
            }
        }
        if now < self.core_since + 3 * SECOND {
            return;
        }
        let mut faults = Vec::new();
        for seat in self.cluster.holding() {
            let Some(core) = &self.cluster.nodes[seat].core else { continue };
            let members = core.members();
            for (at, edge) in self.cluster.edges.iter().enumerate() {
                let node = format!("edge-{at}");
                let told = members.iter().find(|told| told.edge.node == node);
                if now - edge.heard > OUT && told.is_some() {
                    faults.push(format!(
                        "{node} is a member at {seat} {} ms after it was heard",
                        (now - edge.heard) / MS
                    ));
                }
                let calm = now >= (self.edge_since[at] + 4 * SECOND).max(self.ready_since[at] + TOLD);
                if calm && told.is_none_or(|told| told.standing != Standing::Ready) {
                    faults.push(format!("{node} serves and is no member at {seat}"));
                }
            }
        }
        faults.into_iter().for_each(|text| self.fault("lease", text));
    }

    /// A limiter in touch has what was acknowledged long enough ago.
    fn check_applied(&mut self, at: usize) {
        let now = self.cluster.now;
        let mut faults = Vec::new();
        for (name, acked) in &self.acked {
            let due = acked.iter().filter(|(when, _)| now > when + APPLY).map(|(_, ver)| *ver).max();
            let mut shown = self.cluster.edge_shows(at, name);
            if self.cluster.edges[at].shows(name).is_none() {
                let dropped = self.cluster.issued.dropped.get(name).and_then(|vers| vers.last().copied());
                shown = shown.max(dropped.unwrap_or(0));
            }
            if due.is_some_and(|due| due > shown) && self.cluster.names.contains(name) {
                faults.push(format!("edge {at} shows {name} at {shown}, {due:?} was acknowledged"));
            }
        }
        faults.into_iter().for_each(|text| self.fault("apply", text));
    }

    /// What must hold after the calm.
    fn end(&mut self) {
        let seats = self.cluster.holding();
        for at in [seats[0], seats[seats.len() / 2], seats[seats.len() - 1]] {
            let from = self.cluster.now;
            match self.cluster.ask(at, Command::Get) {
                Some(Reply::Items(body)) => {
                    let to = self.cluster.now;
                    self.was_read(from, to, &body);
                    self.check_read(&body);
                }
                other => self.fault("end", format!("reading at {at}: {other:?}")),
            }
        }
        if !self.cluster.agree() {
            self.fault("end", "the seats do not know the same to be chosen".to_string());
        }
        for duty in Duty::ALL {
            if self.cluster.holders(duty).len() != 1 {
                self.fault("end", format!("{duty:?} is done by {:?}", self.cluster.holders(duty)));
            }
        }
        for at in &seats {
            let Some(core) = &self.cluster.nodes[*at].core else { continue };
            let sizes = core.sizes();
            if sizes.rounds + sizes.calls + sizes.readings + sizes.after + sizes.unfinished > 0 {
                self.fault("memory", format!("machine {at} still holds {sizes:?}"));
            }
        }
        let chosen = self.cluster.chosen(seats[0]);
        let zone =
            chosen.get(&name(Kind::Zone, "c")).is_some_and(|item| item.spec.as_deref() == Some("true"));
        for at in 0..self.cluster.edges.len() {
            let edge = &self.cluster.edges[at];
            let mut wrong = Vec::new();
            if edge.evacuates("c") != zone {
                wrong.push(format!("edge {at} evacuates zone c: {}", edge.evacuates("c")));
            }
            let held = edge.held();
            if held > 200 {
                wrong.push(format!("edge {at} holds {held}"));
            }
            wrong.into_iter().for_each(|text| self.fault("end", text));
        }
        // The last order about the zone stands, where none of the other kind was open after it.
        if let Some((at, on, true)) = self.drained.iter().max_by_key(|(at, ..)| *at).copied()
            && !self.drained.iter().any(|(other, word, _)| *word != on && *other >= at - ACK)
            && zone != on
        {
            self.fault("lost", format!("evacuation {on} was acknowledged and {zone} stands"));
        }
        for (item, ops) in std::mem::take(&mut self.history) {
            if item.ends_with("/s9") {
                continue;
            }
            if let Err(text) = history::explained(&ops) {
                self.fault("history", format!("{item}: {text}"));
            }
        }
    }

    /// What was acknowledged is read back, or something newer.
    fn check_read(&mut self, body: &[u8]) {
        let Ok(read) = serde_json::from_slice::<Value>(body) else { return };
        let objects = read["objs"].as_array().cloned().unwrap_or_default();
        let mut lost = Vec::new();
        for (name, acked) in &self.acked {
            let newest = acked.iter().map(|(_, ver)| *ver).max().unwrap_or(0);
            let found = objects.iter().find(|object| {
                object["type"] == name.kind.word() && object["meta"]["name"] == name.name.as_str()
            });
            let ver = found.and_then(|object| object["meta"]["ver"].as_u64());
            let dropped = self.cluster.issued.dropped.get(name).and_then(|vers| vers.last().copied());
            let stands = ver.unwrap_or(dropped.unwrap_or(0));
            if stands < newest {
                lost.push(format!("{name} {newest} was acknowledged, {ver:?} is read back"));
            }
        }
        lost.into_iter().for_each(|text| self.fault("lost", text));
    }
}
