//! How the control core does at scale, on driven time: time for newcomers to be whole, for a change to reach all, and
//! what each process says, in calm and after a change. docs/control-core.md shows the tables.

mod agent;
pub mod footprint;
pub mod transfer;
mod world;

use std::fmt;
use std::time::Instant;

use control::core::RecoveredState;

pub use self::agent::{Agent, News};
pub use self::world::{Size, Traffic, World};
use crate::cluster::{SECOND, service};

/// What processes of one kind said and heard over a span: the mean, and the most of one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Said {
    /// Messages sent a second by one process, in the mean.
    pub messages: f64,
    /// Bytes sent a second, in the mean.
    pub bytes: f64,
    /// Most bytes a second that one sent.
    pub most: f64,
    /// Most bytes a second that came in at one.
    pub taken: f64,
}

/// What a run has shown. Times are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// From the start of all at once until the last limiter has everything.
    pub start: Option<i64>,
    /// Most bytes that one replica sent in it.
    pub start_bytes: u64,
    /// Calm: replicas, agents.
    pub calm: (Said, Said),
    /// Share of a processor that a replica's core takes in calm: the mean, in thousandths; and the longest input, in µs.
    pub work: (f64, u128),
    /// The longest input at a replica in the second after a change, in µs.
    pub longest: u128,
    /// A change: until its 200; until half of the limiters have it; until all have.
    pub change: (Option<i64>, Option<i64>, Option<i64>),
    /// The second after it: replicas, agents.
    pub after: (Said, Said),
    /// A newcomer agent has everything.
    pub agent: Option<i64>,
    /// A newcomer replica takes part; knows all to be chosen.
    pub replica: (Option<i64>, Option<i64>),
    /// What came in at it until then, and the most that one other replica sent meanwhile.
    pub replica_bytes: (u64, u64),
    /// Limiters that lost their replica have another one, and everything.
    pub moved: Option<i64>,
    /// Wall-clock seconds that the run took.
    pub took: f64,
}

fn said(before: &[Traffic], after: &[Traffic], span: i64) -> Said {
    let (seconds, count) = (span as f64 / SECOND as f64, before.len().max(1) as f64);
    let pairs = || before.iter().zip(after);
    let bytes =
        |(old, new): (&Traffic, &Traffic)| (new.sent_bytes - old.sent_bytes) as f64 / seconds;
    Said {
        messages: pairs()
            .map(|(old, new)| (new.sent - old.sent) as f64 / seconds)
            .sum::<f64>()
            / count,
        bytes: pairs().map(bytes).sum::<f64>() / count,
        most: pairs().map(bytes).fold(0.0, f64::max),
        taken: pairs()
            .map(|(old, new)| (new.got_bytes - old.got_bytes) as f64 / seconds)
            .fold(0.0, f64::max),
    }
}

fn traffic(world: &World) -> (Vec<Traffic>, Vec<Traffic>) {
    (
        world
            .replicas
            .iter()
            .map(|replica| replica.traffic)
            .collect(),
        world.told.clone(),
    )
}

fn measure(world: &mut World, span: i64) -> (Said, Said) {
    let before = traffic(world);
    world.until(span, |_| false);
    let after = traffic(world);
    (
        said(&before.0, &after.0, span),
        said(&before.1, &after.1, span),
    )
}

/// Plays a run of this size.
pub fn run(size: Size) -> Report {
    let wall = Instant::now();
    let mut report = Report::default();
    let mut world = World::new(size);
    let all = |world: &World| world.agents.iter().all(|agent| agent.done.is_some());
    report.start = world.until(60 * SECOND, all);
    report.start_bytes = world
        .replicas
        .iter()
        .map(|replica| replica.traffic.sent_bytes)
        .max()
        .unwrap_or_default();
    world.until(3 * SECOND, |_| false);

    world
        .replicas
        .iter_mut()
        .for_each(|replica| (replica.spent, replica.longest) = Default::default());
    report.calm = measure(&mut world, 4 * SECOND);
    let spent: f64 = world
        .replicas
        .iter()
        .map(|replica| replica.spent.as_secs_f64())
        .sum();
    let longest = world
        .replicas
        .iter()
        .map(|replica| replica.longest.as_micros())
        .max()
        .unwrap_or_default();
    report.work = (spent * 1_000.0 / 4.0 / world.replicas.len() as f64, longest);

    // A change at the last replica: no duty stands there at the start.
    let at = world.now;
    world.watched.1 = 2;
    world
        .replicas
        .iter_mut()
        .for_each(|replica| replica.longest = Default::default());
    let call = world.call(size.cores - 1, service("svc", 2, 5));
    report.after = measure(&mut world, SECOND);
    report.longest = world
        .replicas
        .iter()
        .map(|replica| replica.longest.as_micros())
        .max()
        .unwrap_or_default();
    world.until(10 * SECOND, |world| {
        world.agents.iter().all(|agent| agent.seen.is_some())
    });
    let mut seen: Vec<i64> = world
        .agents
        .iter()
        .filter_map(|agent| agent.seen)
        .map(|seen| seen - at)
        .collect();
    seen.sort_unstable();
    let ended = seen.len() == world.agents.len();
    let answer = world
        .answers
        .get(&call)
        .filter(|(_, reply)| *reply == control::operator_api::Reply::Done);
    report.change = (
        answer.map(|(when, _)| when - at),
        seen.get(world.agents.len() / 2).copied(),
        seen.last().copied().filter(|_| ended),
    );

    let at = world.now;
    let agent = world.agent(0, 0);
    let done = world.until(20 * SECOND, |world| world.agents[agent].done.is_some());
    report.agent = done.map(|done| done - at);

    // The replica of the second zone is replaced by a machine with an empty disk, at another address.
    world.until(SECOND, |_| false);
    let at = world.now;
    for agent in world
        .agents
        .iter_mut()
        .filter(|agent| agent.link.is_some_and(|(_, replica)| replica == 1))
    {
        agent.done = None;
    }
    world.kill(1);
    let before = traffic(&world).0;
    let new = world.replica(1, RecoveredState::default());
    let takes_part = |world: &World| {
        world.replicas[new]
            .core
            .as_ref()
            .is_some_and(|core| core.is_participant())
    };
    report.replica.0 = world.until(30 * SECOND, takes_part).map(|when| when - at);
    let wanted = size.items.max(1);
    let knows = |world: &World| {
        let chosen = world.replicas[new]
            .core
            .as_ref()
            .map_or(0, |core| core.chosen_items().count());
        takes_part(world) && chosen >= wanted
    };
    report.replica.1 = world.until(30 * SECOND, knows).map(|when| when - at);
    let most = |(old, replica): (&Traffic, &world::SimulatedReplica)| {
        replica.traffic.sent_bytes - old.sent_bytes
    };
    let most = before
        .iter()
        .zip(&world.replicas)
        .map(most)
        .max()
        .unwrap_or_default();
    report.replica_bytes = (world.replicas[new].traffic.got_bytes, most);
    world.until(30 * SECOND, all);
    report.moved = world
        .agents
        .iter()
        .filter_map(|agent| agent.done)
        .max()
        .map(|done| (done - at).max(0));
    report.moved = report.moved.filter(|_| all(&world));
    report.took = wall.elapsed().as_secs_f64();
    report
}

fn ms(span: Option<i64>) -> String {
    span.map_or("not in time".to_string(), |span| {
        format!("{} ms", span / 1_000)
    })
}

fn size(bytes: f64) -> String {
    match bytes {
        bytes if bytes >= 1e6 => format!("{:.1} MB", bytes / 1e6),
        bytes if bytes >= 1e4 => format!("{:.0} kB", bytes / 1e3),
        bytes => format!("{:.1} kB", bytes / 1e3),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "start of all at once: {}, most sent by one replica {}",
            ms(self.start),
            size(self.start_bytes as f64)
        )?;
        for (when, (replicas, agents)) in
            [("calm", &self.calm), ("second after a change", &self.after)]
        {
            for (kind, said) in [("replica", replicas), ("agent", agents)] {
                writeln!(
                    f,
                    "{when}: one {kind} sends {:.1} messages/s, {}/s; most sent {}/s, most taken in {}/s",
                    said.messages,
                    size(said.bytes),
                    size(said.most),
                    size(said.taken)
                )?;
            }
        }
        writeln!(
            f,
            "calm: a replica's core takes {:.1} thousandths of a processor, longest input {} us, after a change {} us",
            self.work.0, self.work.1, self.longest
        )?;
        let (answered, half, last) = self.change;
        writeln!(
            f,
            "a change: answered {}, at half of the limiters {}, at all {}",
            ms(answered),
            ms(half),
            ms(last)
        )?;
        writeln!(f, "a newcomer agent has everything: {}", ms(self.agent))?;
        writeln!(
            f,
            "a newcomer replica: takes part {}, whole {}; {} came in, most sent by another {}",
            ms(self.replica.0),
            ms(self.replica.1),
            size(self.replica_bytes.0 as f64),
            size(self.replica_bytes.1 as f64)
        )?;
        writeln!(
            f,
            "limiters of a lost replica have everything elsewhere: {}",
            ms(self.moved)
        )?;
        writeln!(f, "the run took {:.1} s", self.took)
    }
}
