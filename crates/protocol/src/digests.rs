//! Digests of a set of items by parts: two that hold nearly the same find out which few of it they don't, in a message
//! whose size does not grow with the set.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::items::{Item, Name};

/// Into so many parts.
const PARTS: usize = 256;

/// The digests of a set. Each entry is counted in once, and out once it is replaced, in any order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digests(Vec<u64>);

impl Default for Digests {
    fn default() -> Digests {
        Digests(vec![0; PARTS])
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn part(name: &Name) -> usize {
    hash(name) as usize % PARTS
}

/// A name as a number, where two that hold it tell each other which of many are meant.
pub fn key(name: &Name) -> u64 {
    hash(name)
}

impl Digests {
    /// Counts an entry in, or out.
    pub fn turn(&mut self, name: &Name, digest: u64) {
        self.0[part(name)] ^= digest;
    }

    /// The digest of an item by its name and version alone.
    pub fn of(item: &Item) -> u64 {
        hash(&(&item.name, item.ver))
    }

    /// One digest of all.
    pub fn whole(&self) -> u64 {
        self.0.iter().fold(0, |all, part| all ^ part)
    }

    /// As they are sent.
    pub fn parts(&self) -> &[u64] {
        &self.0
    }

    /// Whether what another one holds of this name's part is something else. What is no list of parts differs in all.
    pub fn differ(&self, other: &[u64], name: &Name) -> bool {
        let part = part(name);
        other.len() != PARTS || other[part] != self.0[part]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::items::Kind;

    #[test]
    fn only_the_parts_that_differ_are_told() {
        let item = |at: usize, ver| {
            let name = Name {
                kind: Kind::Route,
                name: format!("r{at}"),
            };
            Item {
                name,
                ver,
                spec: None,
            }
        };
        let all = |changed: usize| {
            let mut digests = Digests::default();
            for at in (0..5_000).rev() {
                let item = item(at, if at == changed { 2 } else { 1 });
                digests.turn(&item.name, Digests::of(&item));
            }
            digests
        };
        let (old, mut new) = (all(usize::MAX), all(77));
        let differ = (0..5_000)
            .filter(|at| old.differ(new.parts(), &item(*at, 1).name))
            .count();
        assert!((1..100).contains(&differ), "{differ}");
        assert!(old.differ(new.parts(), &item(77, 1).name) && old.differ(&[], &item(78, 1).name));
        new.turn(&item(77, 2).name, Digests::of(&item(77, 2)));
        new.turn(&item(77, 1).name, Digests::of(&item(77, 1)));
        assert_eq!(old, new);
    }
}
