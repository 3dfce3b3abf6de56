//! Schedules by chance. Each kind of trouble begins and ends; a few go on at a time.

mod crossed;
mod cut_off;
mod many_changes;
mod resent;
mod second_loss;

use crate::chance::Chance;
use crate::cluster::{Bug, MS, SECOND};
use crate::schedule::{Ask, Schedule, Step, What};

/// Trouble begins after this: the first start is over, and the first call taken.
const BEGIN: i64 = 4 * SECOND;

/// Of what there is more than else, so that rare harm meets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Often {
    /// Of nothing.
    #[default]
    Any,
    /// The whole core is killed, or loses power.
    Dark,
    /// Processes stand still.
    Frozen,
    /// Machines are replaced, and links are cut one way.
    Replaced,
    /// Links are cut.
    Cut,
    /// A disk stalls under proposals, and the process ends before it has written them.
    Stalled,
    /// Two propose at once, are cut off from each other, and the disk of one that hears both is lost.
    Torn,
    /// Late and doubled messages and answers, to processes that started anew and use numbers again.
    Crossed,
    /// Eight orders at once, two under one number among them, answers that are lost, and repeats at every replica.
    Resent,
    /// A replica is out of touch for some twenty seconds, and is asked all the while: see `draw::cut_off`.
    CutOff,
    /// The shared count is lost while a tenant surges.
    CountLost,
    /// A second loss right after a repair or a replacement; each schedule begins with one.
    SecondLoss,
    /// Hundreds of changes, while replicas are away and come back, with their disks or without.
    ManyChanges,
}

impl Often {
    /// All of them, by name.
    pub const ALL: &'static [(&'static str, Often)] = &[
        ("any", Often::Any),
        ("dark", Often::Dark),
        ("frozen", Often::Frozen),
        ("replaced", Often::Replaced),
        ("cut", Often::Cut),
        ("stalled", Often::Stalled),
        ("torn", Often::Torn),
        ("crossed", Often::Crossed),
        ("resent", Often::Resent),
        ("cut-off", Often::CutOff),
        ("count-lost", Often::CountLost),
        ("second-loss", Often::SecondLoss),
        ("many-changes", Often::ManyChanges),
    ];

    /// The kinds of trouble, by their numbers in `Draft::core`.
    fn kinds(self) -> &'static [u64] {
        match self {
            Often::Any | Often::Crossed | Often::Resent | Often::CutOff | Often::CountLost => &[],
            Often::Dark => &[21, 25, 25],
            Often::Frozen => &[10],
            Often::Replaced => &[8, 18],
            Often::Cut => &[15, 17, 18],
            Often::Stalled => &[26],
            Often::Torn => &[27],
            Often::SecondLoss => &[28],
            // It is drawn otherwise, see `many_changes`.
            Often::ManyChanges => &[],
        }
    }
}

/// What is drawn.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Replicas.
    pub cores: usize,
    /// Edges.
    pub edges: usize,
    /// Requests a second at each.
    pub load: u64,
    /// Deliberate harm.
    pub bug: Option<Bug>,
    /// Of what there is more.
    pub often: Often,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            cores: 6,
            edges: 3,
            load: 30,
            bug: None,
            often: Often::Any,
        }
    }
}

impl Plan {
    /// A schedule of these steps, in order of time. A call in the calm is awaited; faults that began
    /// before end with it.
    fn schedule(self, seed: u64, calm: i64, mut steps: Vec<Step>) -> Schedule {
        steps.sort_by_key(|step| step.at);
        Schedule {
            seed,
            cores: self.cores,
            edges: self.edges,
            load: self.load,
            calm,
            bug: self.bug,
            steps,
        }
    }
}

struct Draft {
    chance: Chance,
    steps: Vec<Step>,
    plan: Plan,
    content: u64,
}

impl Draft {
    fn add(&mut self, at: i64, what: What) {
        // To the millisecond, so that a text says all.
        self.steps.push(Step {
            at: at / MS * MS,
            what,
        });
    }

    /// The schedule of everything that was added.
    fn schedule(self, seed: u64, calm: i64) -> Schedule {
        self.plan.schedule(seed, calm, self.steps)
    }

    fn replica(&mut self) -> usize {
        self.chance.below(self.plan.cores as u64) as usize
    }

    fn spell(&mut self, least: i64, most: i64) -> i64 {
        least + self.chance.below((most - least) as u64) as i64
    }

    /// A trouble of the core that begins at an instant; when it is over.
    fn core(&mut self, at: i64) {
        let (replica, other) = (self.replica(), self.replica());
        let end = at + self.spell(150 * MS, 4 * SECOND);
        let region = replica / 2 * 2;
        let kinds = self.plan.often.kinds();
        let kind = match kinds.len() {
            0 => self.chance.below(25),
            _ if self.chance.below(3) == 0 => self.chance.below(25),
            many => kinds[self.chance.below(many as u64) as usize],
        };
        match kind {
            0 | 1 => {
                self.add(at, What::Kill(replica));
                self.add(end, What::Start(replica));
            }
            2 => {
                self.add(at, What::Power(replica));
                self.add(end, What::Start(replica));
            }
            3 => {
                for replica in [region, (region + 1).min(self.plan.cores - 1)] {
                    self.add(at, What::Power(replica));
                    self.add(end, What::Start(replica));
                }
            }
            4 => {
                self.add(at, What::Stop(replica));
                self.add(end.max(at + 400 * MS), What::Start(replica));
            }
            5 | 6 => {
                self.add(at, What::Wipe(replica));
                self.add(end, What::Start(replica));
            }
            7 => {
                for replica in [region, (region + 1).min(self.plan.cores - 1)] {
                    self.add(at, What::Wipe(replica));
                    self.add(end, What::Start(replica));
                }
            }
            8 | 9 => {
                self.add(at, What::Replace(replica));
                self.add(end, What::Retire(replica));
            }
            10 | 11 => {
                self.add(at, What::Freeze(replica));
                self.add(end, What::Thaw(replica));
            }
            12 => {
                let by = [2_000, 10_000, 40_000][self.chance.below(3) as usize];
                self.add(at, What::Slow(replica, by));
                self.add(end, What::Slow(replica, 0));
            }
            13 => {
                let by = (end - at) / MS;
                self.add(at, What::Stall(replica, by as u64));
            }
            14 => {
                self.add(at, What::Full(replica));
                self.add(end, What::Room(replica));
            }
            15 | 16 => {
                let many = 1 + self.chance.below(3);
                let group = (0..many).map(|_| self.replica()).collect();
                self.add(at, What::Cut(group));
                self.add(end, What::Heal);
            }
            17 => {
                self.add(at, What::Cut(vec![region, region + 1]));
                self.add(end, What::Heal);
            }
            18 | 19 => {
                let pairs = 1 + self.chance.below(4);
                self.add(at, What::OneWay(replica, other));
                for _ in 1..pairs {
                    let (a, b) = (self.replica(), self.replica());
                    self.add(at, What::OneWay(a, b));
                }
                self.add(end, What::Heal);
            }
            20 => {
                let (drops, twice, late) = (
                    self.chance.below(150),
                    self.chance.below(100),
                    self.chance.below(200),
                );
                self.add(at, What::Drops(drops));
                self.add(at, What::Twice(twice));
                self.add(at, What::Late(late));
                self.add(end, What::Drops(0));
                self.add(end, What::Twice(0));
                self.add(end, What::Late(0));
            }
            26 => self.stalled(at, replica),
            27 => self.torn(at, replica),
            28 => _ = self.second_loss(at),
            21 => self.add(at, What::All),
            25 => self.add(at, What::Dark),
            22 | 23 => {
                // All of the core, and edges that start anew before, with and after it: clocks converge.
                self.add(at, What::All);
                for edge in 0..self.plan.edges {
                    if self.chance.below(3) > 0 {
                        let from = at + self.spell(0, 400 * MS);
                        let to = from + self.spell(0, 1_200 * MS);
                        self.add(from, What::EdgeKill(edge));
                        self.add(to, What::EdgeStart(edge));
                    }
                }
            }
            _ => {
                for replica in 0..self.plan.cores / 2 + 1 {
                    self.add(at, What::Full(replica));
                    self.add(end, What::Room(replica));
                }
            }
        }
    }

    /// What a replica proposes reaches a few, and its own disk never has it; then it starts, and proposes again.
    fn stalled(&mut self, at: i64, replica: usize) {
        self.add(at, What::Stall(replica, 600));
        let (item, ver) = (self.chance.below(3), self.version(at));
        self.set(at + 5 * MS, item, ver, replica);
        let group = (0..self.plan.cores)
            .filter(|_| self.chance.below(2) == 0)
            .collect();
        let cut = at + self.spell(5 * MS, 180 * MS);
        let end = cut + self.spell(60 * MS, 200 * MS);
        self.add(cut, What::Cut(group));
        self.add(end, What::Power(replica));
        self.add(end + 20 * MS, What::Start(replica));
        self.add(end + 20 * MS, What::Heal);
        let other = end + self.spell(250 * MS, 500 * MS);
        let item = if self.chance.below(2) == 0 {
            item
        } else {
            self.chance.below(3)
        };
        self.set(other, item, ver, replica);
    }

    /// Two proposals for one version; those that hear the one do not hear the other, but for a replica that hears both, and
    /// loses its disk between them.
    fn torn(&mut self, at: i64, replica: usize) {
        let others: Vec<usize> = (0..self.plan.cores)
            .filter(|other| *other != replica)
            .collect();
        let (mut one, mut other) = (Vec::new(), Vec::new());
        for replica in others {
            if self.chance.below(2) == 0 {
                one.push(replica)
            } else {
                other.push(replica)
            }
        }
        if one.is_empty() || other.is_empty() {
            return;
        }
        let (item, ver) = (self.chance.below(3), self.version(at));
        let first = at + self.spell(0, 120 * MS);
        let cut = at + self.spell(0, 120 * MS);
        let (a, b) = (one[self.chance.below(one.len() as u64) as usize], other[0]);
        self.set(at, item, ver, a);
        self.set(first, item, ver, b);
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.add(cut, What::OneWay(a, b));
            self.add(cut, What::OneWay(b, a));
        }
        // The later one stands still with that promise unread: nobody has accepted what it will propose while the disk is
        // rebuilt, so that only the floor tells of it.
        let stands = first + self.spell(0, 100 * MS);
        let wipe = stands + self.spell(0, 120 * MS);
        self.add(stands, What::Freeze(b));
        let thaw = wipe + self.spell(200 * MS, 500 * MS);
        self.add(thaw, What::Thaw(b));
        self.add(wipe, What::Wipe(replica));
        self.add(wipe + 5 * MS, What::Start(replica));
        self.add(cut + 1_100 * MS, What::Heal);
    }

    /// A version that is about the newest at an instant.
    fn version(&mut self, at: i64) -> u64 {
        2 + (at / (250 * MS)) as u64 + self.chance.below(2)
    }

    fn set(&mut self, at: i64, item: u64, ver: u64, replica: usize) {
        self.content += 2;
        let content = self.content;
        self.add(at, What::Call(Ask::Set(item, ver, content), replica));
    }

    fn edge(&mut self, at: i64) {
        let edge = self.chance.below(self.plan.edges as u64) as usize;
        let replica = self.replica();
        let end = at + self.spell(150 * MS, 6 * SECOND);
        match self.chance.below(9) {
            0 | 1 => {
                self.add(at, What::EdgeKill(edge));
                self.add(end, What::EdgeStart(edge));
            }
            2 => self.add(at, What::Proxy(edge)),
            3 | 4 => {
                self.add(at, What::EdgeFreeze(edge));
                self.add(end, What::EdgeThaw(edge));
            }
            5 | 6 => {
                self.add(at, What::EdgeCut(edge));
                self.add(end, What::EdgeHeal(edge));
            }
            7 => {
                self.add(at, What::EdgeApart(edge, replica));
                self.add(end, What::EdgeHeal(edge));
            }
            _ => {
                // At once: the processes start anew with other clocks.
                self.add(at, What::EdgeKill(edge));
                self.add(at + 200 * MS, What::EdgeStart(edge));
            }
        }
    }

    fn ask(&mut self, at: i64, round: u64) {
        self.content += 2;
        let (item, content) = (self.chance.below(3), self.content);
        let ver = 2 + round * 2 + self.chance.below(5);
        let replica = self.replica();
        let ask = match self.chance.below(14) {
            0..=4 => Ask::Set(item, ver, content),
            5 => Ask::Drop(item, ver),
            6 | 7 => Ask::Route(item % 2, ver, content),
            8 => Ask::Two(ver, content, content + 1),
            9 => Ask::Bad(ver, content),
            10 => Ask::Drain(round.is_multiple_of(2)),
            _ => Ask::Read,
        };
        self.add(at, What::Call(ask, replica));
    }
}

/// A schedule in which the count is lost while a tenant surges, and nothing else happens.
fn surging(seed: u64, plan: Plan) -> Schedule {
    let mut chance = Chance::new(seed.wrapping_mul(7).wrapping_add(3));
    let (steps, calm) = crate::count_lost::draw(&mut chance, BEGIN, plan.edges);
    plan.schedule(seed, calm / MS * MS, steps)
}

/// The schedule of a seed.
pub fn draw(seed: u64, plan: Plan) -> Schedule {
    if plan.often == Often::Crossed {
        return crossed::draw(seed, plan);
    }
    let chance = Chance::new(seed.wrapping_mul(7).wrapping_add(3));
    let mut draft = Draft {
        chance,
        steps: Vec::new(),
        plan,
        content: 4_000,
    };
    if plan.often == Often::Resent {
        return resent::draw(seed, draft);
    }
    if plan.often == Often::CutOff {
        return draft.cut_off(seed);
    }
    if plan.often == Often::CountLost {
        return surging(seed, plan);
    }
    let calm = (BEGIN + draft.spell(4 * SECOND, 16 * SECOND)) / MS * MS;
    let gap = [400, 900, 2_000][draft.chance.below(3) as usize] * MS;
    // Its sequences take up to two spans of `sync_time`; the checker of histories takes so many calls at most.
    let gap = if plan.often == Often::SecondLoss {
        2 * SECOND
    } else {
        gap
    };
    if plan.often == Often::ManyChanges {
        return many_changes::draw(draft, seed);
    }
    let mut at = BEGIN;
    if plan.often == Often::SecondLoss && plan.cores > 1 {
        at = draft.second_loss(at) + draft.spell(gap / 4, gap * 2);
    }
    while at < calm {
        if plan.edges > 0 && draft.chance.below(3) == 0 {
            draft.edge(at);
        } else {
            draft.core(at);
        }
        at += draft.spell(gap / 4, gap * 2);
    }
    let (mut at, mut round) = (BEGIN / 2, 0);
    while at < calm + 2 * SECOND {
        for _ in 0..1 + draft.chance.below(3) {
            let at = at + draft.spell(0, 60 * MS);
            draft.ask(at, round);
        }
        at += draft.spell(150 * MS, 1_100 * MS);
        round += 1;
    }
    draft.schedule(seed, calm)
}
