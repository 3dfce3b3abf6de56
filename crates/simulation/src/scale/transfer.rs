//! How long a replica takes to be whole that was away during changes, and for how many bytes: with its disk, or without.

use std::fmt;

use control::core::RecoveredState;
use protocol::items::Item;

use super::world::{Size, World, items, on_disk};
use crate::cluster::SECOND;

/// One change in so many is a drop.
const DROPS: usize = 5;
/// It has so long.
const WITHIN: i64 = 60 * SECOND;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Away {
    /// Replicas.
    pub cores: usize,
    /// Items.
    pub items: usize,
    /// Changes while one replica was away.
    pub changes: usize,
    /// Its disk is lost as well.
    pub wiped: bool,
}

/// What was seen of a return.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Return {
    /// Items that differed.
    pub differ: usize,
    /// Until it takes part, and until it knows all that is chosen, in microseconds.
    pub takes_part: Option<i64>,
    /// Until it knows all.
    pub whole: Option<i64>,
    /// Bytes that came to it until then.
    pub came: u64,
    /// Bytes of the changed items themselves.
    pub changed: u64,
    /// Longest message, in bytes.
    pub longest: i64,
}

fn bytes(item: &Item) -> u64 {
    (item.name.name.len() + item.spec.as_deref().map_or(0, str::len)) as u64
}

/// The items after so many changes, evenly over all of them.
fn changed(before: &[Item], changes: usize) -> Vec<Item> {
    let mut all = before.to_vec();
    for number in 0..changes {
        // A step without a divisor in common with any size: all are met before one is met twice.
        let at = number * 1_000_003 % all.len();
        let item = &mut all[at];
        item.ver += 1;
        item.spec = (!number.is_multiple_of(DROPS))
            .then(|| before[at].spec.clone())
            .flatten();
    }
    all
}

/// Plays a return.
pub fn run(away: Away) -> Return {
    let Away {
        cores,
        items: count,
        changes,
        wiped,
    } = away;
    let before = items(count);
    let after = changed(&before, changes);
    let mut world = World::with(
        Size {
            cores,
            limiters: 0,
            items: count,
        },
        &after,
    );
    world.kill(1);
    // Leases of its duties run out, and the others settle.
    world.until(6 * SECOND, |_| false);
    let at = world.now;
    world.longest = 0;
    let disk = if wiped {
        RecoveredState::default()
    } else {
        on_disk(cores, &before)
    };
    let new = world.replica(1, disk);
    let takes_part = |world: &World| {
        world.replicas[new]
            .core
            .as_ref()
            .is_some_and(|core| core.is_participant())
    };
    let mut seen = Return {
        takes_part: world.until(WITHIN, takes_part).map(|when| when - at),
        ..Return::default()
    };
    let whole = |world: &World| {
        let core = |at: usize| world.replicas[at].core.as_ref();
        let (own, other) = (core(new), core(0));
        own.zip(other)
            .is_some_and(|(own, other)| own.chosen_digest() == other.chosen_digest())
    };
    seen.whole = world.until(WITHIN, whole).map(|when| when - at);
    seen.came = world.replicas[new].traffic.got_bytes;
    seen.longest = world.longest;
    let differs = |(old, new): &(&Item, &Item)| wiped || old != new;
    let pairs = || before.iter().zip(&after).filter(differs);
    seen.differ = pairs().count();
    seen.changed = pairs().map(|(_, new)| bytes(new)).sum();
    seen
}

impl fmt::Display for Return {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |span: Option<i64>| {
            span.map_or("not in time".to_string(), |span| (span / 1_000).to_string())
        };
        write!(
            f,
            "{} items differ, {} bytes of them; takes part after {} ms, whole after {} ms, {} bytes came, longest message {}",
            self.differ,
            self.changed,
            ms(self.takes_part),
            ms(self.whole),
            self.came,
            self.longest
        )
    }
}
