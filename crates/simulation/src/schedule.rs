//! A schedule: a text, one step a line, `time what whom`. Times are seconds from the start of all.
//!
//! Replicas are numbers by their zones; a word of a replica concerns the machine that has it last, `retire` and `leave`
//! those before.

use std::fmt;

use eyre::{WrapErr, eyre};

use crate::cluster::{Bug, SECOND};

/// What an operator asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Sets a service, by its number, at a version, with a content.
    Set(u64, u64, u64),
    /// Drops it at a version.
    Drop(u64, u64),
    /// Sets a route, whose service always stands.
    Route(u64, u64, u64),
    /// Sets two services in one call.
    Two(u64, u64, u64),
    /// Sets a service and, in the same call, a route that names no service; the version and the content.
    Bad(u64, u64),
    /// Sets a route, by the version and the content, to a service that is set once and never dropped.
    Refer(u64, u64),
    /// Sets a route, by the version and the content, to a service that is dropped once and never set again.
    Dangle(u64, u64),
    /// Reads all.
    Read,
    /// Begins or ends the evacuation of the third zone.
    Drain(bool),
    /// Sets a service and, in the same call, a route to it, which nothing else names; their contents are two numbers in a row.
    Pair(u64, u64, u64),
    /// Drops both in one call.
    Unpair(u64, u64),
}

/// What happens at one instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// The process of a replica is killed.
    Kill(usize),
    /// Its machine loses power: what is not synced is lost.
    Power(usize),
    /// It starts again.
    Start(usize),
    /// It is told to end.
    Stop(usize),
    /// Its disk is lost.
    Wipe(usize),
    /// Another machine takes the replica, with an empty disk; the old one runs on.
    Replace(usize),
    /// The machine that had the replica before is gone.
    Retire(usize),
    /// It is told to end, and hands over first.
    Leave(usize),
    /// Another empty machine for the replica, also while the one that has it rebuilds.
    Rival(usize),
    /// It stands still...
    Freeze(usize),
    /// ...and goes on.
    Thaw(usize),
    /// It stands still for longer than its links may be silent...
    Stand(usize),
    /// ...and goes on, without these.
    GoOn(usize),
    /// All its links are reset.
    Reset(usize),
    /// Each input takes it so many microseconds longer.
    Slow(usize, u64),
    /// Nothing is synced for so many milliseconds.
    Stall(usize, u64),
    /// Its disk is full...
    Full(usize),
    /// ...and has room again.
    Room(usize),
    /// These replicas are cut off from all others.
    Cut(Vec<usize>),
    /// Nothing goes from one replica to another.
    OneWay(usize, usize),
    /// What goes from all others to a replica within so many milliseconds is held, and arrives so many from now.
    Hold(usize, u64, u64),
    /// All links between replicas are whole.
    Heal,
    /// Of a thousand messages so many are lost.
    Drops(u64),
    /// So many come twice.
    Twice(u64),
    /// Each is late by up to so many milliseconds.
    Late(u64),
    /// All processes of the core are killed at once and start within a second.
    All,
    /// All machines of the core lose power at once and start again.
    Dark,
    /// An edge's processes are killed.
    EdgeKill(usize),
    /// They start.
    EdgeStart(usize),
    /// An edge's proxy alone starts anew.
    Proxy(usize),
    /// An edge stands still...
    EdgeFreeze(usize),
    /// ...and goes on.
    EdgeThaw(usize),
    /// An edge is cut off from all replicas...
    EdgeCut(usize),
    /// ...or from one...
    EdgeApart(usize, usize),
    /// ...and not any more.
    EdgeHeal(usize),
    /// An operator asks, first at this replica.
    Call(Ask, usize),
    /// Of a thousand answers to operators so many are lost on their way.
    Lose(u64),
    /// An order that was taken is sent again, first to this replica: the last one, or so many before it.
    Again(usize, usize),
    /// The surging tenant sends so many requests a second at each edge, from now on.
    Surge(u64),
    /// Trouble at the replica that holds the shared count now, or did last.
    Holder(Holder),
}

/// Trouble at the holder of the shared count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Its process is killed.
    Kill,
    /// Its disk is lost.
    Wipe,
    /// It is cut off from all other replicas.
    Cut,
    /// It stands still.
    Freeze,
    /// All of these are over, for the one that had them last.
    Mend,
}

impl Holder {
    /// All of them, by name.
    pub const ALL: [(&'static str, Holder); 5] = [
        ("kill", Holder::Kill),
        ("wipe", Holder::Wipe),
        ("cut", Holder::Cut),
        ("freeze", Holder::Freeze),
        ("mend", Holder::Mend),
    ];
}

/// A step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// When, in microseconds.
    pub at: i64,
    /// What.
    pub what: What,
}

/// A schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Of all that is drawn by chance while it is played.
    pub seed: u64,
    /// Replicas.
    pub cores: usize,
    /// Edges.
    pub edges: usize,
    /// Requests a second of the first tenant at each edge.
    pub load: u64,
    /// Trouble ends here; what follows is calm.
    pub calm: i64,
    /// Deliberate harm.
    pub bug: Option<Bug>,
    /// The steps, in order.
    pub steps: Vec<Step>,
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            What::Kill(a) => write!(f, "kill {a}"),
            What::Power(a) => write!(f, "power {a}"),
            What::Start(a) => write!(f, "start {a}"),
            What::Stop(a) => write!(f, "stop {a}"),
            What::Wipe(a) => write!(f, "wipe {a}"),
            What::Replace(a) => write!(f, "replace {a}"),
            What::Retire(a) => write!(f, "retire {a}"),
            What::Leave(a) => write!(f, "leave {a}"),
            What::Rival(a) => write!(f, "rival {a}"),
            What::Freeze(a) => write!(f, "freeze {a}"),
            What::Thaw(a) => write!(f, "thaw {a}"),
            What::Stand(a) => write!(f, "stand {a}"),
            What::GoOn(a) => write!(f, "go-on {a}"),
            What::Reset(a) => write!(f, "reset {a}"),
            What::Slow(a, by) => write!(f, "slow {a} {by}"),
            What::Stall(a, by) => write!(f, "stall {a} {by}"),
            What::Full(a) => write!(f, "full {a}"),
            What::Room(a) => write!(f, "room {a}"),
            What::Cut(group) => {
                write!(f, "cut")?;
                group.iter().try_for_each(|a| write!(f, " {a}"))
            }
            What::OneWay(a, b) => write!(f, "oneway {a} {b}"),
            What::Hold(a, within, by) => write!(f, "hold {a} {within} {by}"),
            What::Heal => write!(f, "heal"),
            What::Drops(n) => write!(f, "drops {n}"),
            What::Twice(n) => write!(f, "twice {n}"),
            What::Late(n) => write!(f, "late {n}"),
            What::All => write!(f, "all"),
            What::Dark => write!(f, "dark"),
            What::EdgeKill(e) => write!(f, "edge-kill {e}"),
            What::EdgeStart(e) => write!(f, "edge-start {e}"),
            What::Proxy(e) => write!(f, "edge-proxy {e}"),
            What::EdgeFreeze(e) => write!(f, "edge-freeze {e}"),
            What::EdgeThaw(e) => write!(f, "edge-thaw {e}"),
            What::EdgeCut(e) => write!(f, "edge-cut {e}"),
            What::EdgeApart(e, a) => write!(f, "edge-apart {e} {a}"),
            What::EdgeHeal(e) => write!(f, "edge-heal {e}"),
            What::Call(Ask::Set(item, ver, content), at) => {
                write!(f, "set {item} {ver} {content} at {at}")
            }
            What::Call(Ask::Drop(item, ver), at) => write!(f, "drop {item} {ver} at {at}"),
            What::Call(Ask::Route(item, ver, content), at) => {
                write!(f, "route {item} {ver} {content} at {at}")
            }
            What::Call(Ask::Two(ver, content, other), at) => {
                write!(f, "two {ver} {content} {other} at {at}")
            }
            What::Call(Ask::Bad(ver, content), at) => write!(f, "bad {ver} {content} at {at}"),
            What::Call(Ask::Refer(ver, content), at) => write!(f, "refer {ver} {content} at {at}"),
            What::Call(Ask::Dangle(ver, content), at) => {
                write!(f, "dangle {ver} {content} at {at}")
            }
            What::Call(Ask::Read, at) => write!(f, "read at {at}"),
            What::Call(Ask::Pair(item, ver, content), at) => {
                write!(f, "pair {item} {ver} {content} at {at}")
            }
            What::Call(Ask::Unpair(item, ver), at) => write!(f, "unpair {item} {ver} at {at}"),
            What::Lose(n) => write!(f, "lose {n}"),
            What::Again(back, at) => write!(f, "again {back} at {at}"),
            What::Call(Ask::Drain(on), at) => write!(f, "drain {} at {at}", u8::from(*on)),
            What::Surge(n) => write!(f, "surge {n}"),
            What::Holder(trouble) => {
                let word = Holder::ALL
                    .iter()
                    .find(|(_, one)| one == trouble)
                    .map_or("", |(word, _)| word);
                write!(f, "holder {word}")
            }
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "simulation 1")?;
        writeln!(
            f,
            "seed {}\ncores {}\nedges {}\nload {}",
            self.seed, self.cores, self.edges, self.load
        )?;
        writeln!(f, "calm {:.3}", self.calm as f64 / 1e6)?;
        let bug = Bug::ALL.iter().find(|(_, bug)| Some(*bug) == self.bug);
        if let Some((name, _)) = bug {
            writeln!(f, "bug {name}")?;
        }
        self.steps
            .iter()
            .try_for_each(|step| writeln!(f, "{:.3} {}", step.at as f64 / 1e6, step.what))
    }
}

fn micros(text: &str) -> eyre::Result<i64> {
    let seconds: f64 = text
        .parse()
        .wrap_err_with(|| format!("{text:?} is no time"))?;
    if !(0.0..100_000.0).contains(&seconds) {
        return Err(eyre!("{text:?} is no time of a schedule"));
    }
    Ok((seconds * SECOND as f64).round() as i64)
}

fn what(words: &[&str]) -> eyre::Result<What> {
    let number = |at: usize| -> eyre::Result<u64> {
        let word = words
            .get(at)
            .ok_or_else(|| eyre!("{words:?}: a number is missing"))?;
        word.parse()
            .wrap_err_with(|| format!("{word:?} is no number"))
    };
    let replica = |at: usize| number(at).map(|number| number as usize);
    let asked = |ask: Ask| Ok(What::Call(ask, replica(words.len() - 1)?));
    Ok(match words[0] {
        "kill" => What::Kill(replica(1)?),
        "power" => What::Power(replica(1)?),
        "start" => What::Start(replica(1)?),
        "stop" => What::Stop(replica(1)?),
        "wipe" => What::Wipe(replica(1)?),
        "replace" => What::Replace(replica(1)?),
        "retire" => What::Retire(replica(1)?),
        "leave" => What::Leave(replica(1)?),
        "rival" => What::Rival(replica(1)?),
        "freeze" => What::Freeze(replica(1)?),
        "thaw" => What::Thaw(replica(1)?),
        "stand" => What::Stand(replica(1)?),
        "go-on" => What::GoOn(replica(1)?),
        "reset" => What::Reset(replica(1)?),
        "slow" => What::Slow(replica(1)?, number(2)?),
        "stall" => What::Stall(replica(1)?, number(2)?),
        "full" => What::Full(replica(1)?),
        "room" => What::Room(replica(1)?),
        "cut" => What::Cut((1..words.len()).map(replica).collect::<eyre::Result<_>>()?),
        "oneway" => What::OneWay(replica(1)?, replica(2)?),
        "hold" => What::Hold(replica(1)?, number(2)?, number(3)?),
        "heal" => What::Heal,
        "drops" => What::Drops(number(1)?),
        "twice" => What::Twice(number(1)?),
        "late" => What::Late(number(1)?),
        "all" => What::All,
        "dark" => What::Dark,
        "edge-kill" => What::EdgeKill(replica(1)?),
        "edge-start" => What::EdgeStart(replica(1)?),
        "edge-proxy" => What::Proxy(replica(1)?),
        "edge-freeze" => What::EdgeFreeze(replica(1)?),
        "edge-thaw" => What::EdgeThaw(replica(1)?),
        "edge-cut" => What::EdgeCut(replica(1)?),
        "edge-apart" => What::EdgeApart(replica(1)?, replica(2)?),
        "edge-heal" => What::EdgeHeal(replica(1)?),
        "surge" => What::Surge(number(1)?),
        "holder" => {
            let found = Holder::ALL
                .iter()
                .find(|(word, _)| words.get(1) == Some(word));
            What::Holder(
                found
                    .ok_or_else(|| eyre!("{words:?}: no such trouble of a holder"))?
                    .1,
            )
        }
        "set" => return asked(Ask::Set(number(1)?, number(2)?, number(3)?)),
        "drop" => return asked(Ask::Drop(number(1)?, number(2)?)),
        "route" => return asked(Ask::Route(number(1)?, number(2)?, number(3)?)),
        "two" => return asked(Ask::Two(number(1)?, number(2)?, number(3)?)),
        "bad" => return asked(Ask::Bad(number(1)?, number(2)?)),
        "refer" => return asked(Ask::Refer(number(1)?, number(2)?)),
        "dangle" => return asked(Ask::Dangle(number(1)?, number(2)?)),
        "read" => return asked(Ask::Read),
        "drain" => return asked(Ask::Drain(number(1)? > 0)),
        "pair" => return asked(Ask::Pair(number(1)?, number(2)?, number(3)?)),
        "unpair" => return asked(Ask::Unpair(number(1)?, number(2)?)),
        "lose" => What::Lose(number(1)?),
        "again" => What::Again(replica(1)?, replica(3)?),
        other => return Err(eyre!("{other:?} is no word of a schedule")),
    })
}

impl Schedule {
    /// Reads a text.
    ///
    /// # Errors
    /// The first line that is none of a schedule.
    pub fn read(text: &str) -> eyre::Result<Schedule> {
        let mut schedule = Schedule {
            seed: 1,
            cores: 6,
            edges: 0,
            load: 0,
            calm: 0,
            bug: None,
            steps: Vec::new(),
        };
        let mut lines = text.lines().enumerate().filter(|(_, line)| {
            let line = line.trim();
            !line.is_empty() && !line.starts_with('#')
        });
        if lines
            .next()
            .is_none_or(|(_, line)| line.trim() != "simulation 1")
        {
            return Err(eyre!("no schedule: it begins with `simulation 1`"));
        }
        for (at, line) in lines {
            let step = || format!("line {}: {line:?}", at + 1);
            let words: Vec<&str> = line.split_whitespace().collect();
            let one = || words.get(1).copied().unwrap_or_default();
            let number = || one().parse::<u64>().wrap_err_with(step);
            match words[0] {
                "seed" => schedule.seed = number()?,
                "cores" => schedule.cores = (number()? as usize).clamp(1, 64),
                "edges" => schedule.edges = number()?.min(500) as usize,
                "load" => schedule.load = number()?,
                "calm" => schedule.calm = micros(one()).wrap_err_with(step)?,
                "bug" => {
                    let bug = Bug::ALL.iter().find(|(name, _)| *name == one());
                    schedule.bug = Some(bug.ok_or_else(|| eyre!("{}: no such bug", step()))?.1);
                }
                time if words.len() > 1 => {
                    let at = micros(time).wrap_err_with(step)?;
                    schedule.steps.push(Step {
                        at,
                        what: what(&words[1..]).wrap_err_with(step)?,
                    });
                }
                _ => return Err(eyre!("{}: a time and a word are wanted", step())),
            }
        }
        schedule.steps.sort_by_key(|step| step.at);
        if schedule.calm == 0 {
            schedule.calm = schedule.steps.last().map_or(SECOND, |step| step.at);
        }
        Ok(schedule)
    }
}
