//! Digests of a set of items by parts: two that hold nearly the same find out which few of it they don't, in a message
//! whose size does not grow with the set.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::items::{Item, ItemName};

/// Into so many parts.
const BUCKETS: usize = 256;

/// The digests of a set. Each entry is counted in once, and out once it is replaced, in any order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digests(Vec<u64>);

impl Default for Digests {
    fn default() -> Digests {
        Digests(vec![0; BUCKETS])
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn bucket(name: &ItemName) -> usize {
    hash(name) as usize % BUCKETS
}

/// A name as a number, where two that hold it tell each other which of many are meant.
pub fn name_key(name: &ItemName) -> u64 {
    hash(name)
}

impl Digests {
    /// Counts an entry in, or out.
    pub fn toggle(&mut self, name: &ItemName, digest: u64) {
        self.0[bucket(name)] ^= digest;
    }

    /// The digest of an item by its name and version alone.
    pub fn item_digest(item: &Item) -> u64 {
        hash(&(&item.name, item.ver))
    }

    /// One digest of all.
    pub fn combined(&self) -> u64 {
        self.0.iter().fold(0, |all, part| all ^ part)
    }

    /// As they are sent.
    pub fn buckets(&self) -> &[u64] {
        &self.0
    }

    /// Whether what another one holds of this name's part is something else. What is no list of parts differs in all.
    pub fn bucket_differs(&self, other: &[u64], name: &ItemName) -> bool {
        let part = bucket(name);
        other.len() != BUCKETS || other[part] != self.0[part]
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::items::ItemKind;

    #[test]
    fn only_the_parts_that_differ_are_told() {
        let item = |at: usize, ver| {
            let name = ItemName {
                kind: ItemKind::Route,
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
                digests.toggle(&item.name, Digests::item_digest(&item));
            }
            digests
        };
        let (old, mut new) = (all(usize::MAX), all(77));
        let differ = (0..5_000)
            .filter(|at| old.bucket_differs(new.buckets(), &item(*at, 1).name))
            .count();
        assert!((1..100).contains(&differ), "{differ}");
        assert!(
            old.bucket_differs(new.buckets(), &item(77, 1).name)
                && old.bucket_differs(&[], &item(78, 1).name)
        );
        new.toggle(&item(77, 2).name, Digests::item_digest(&item(77, 2)));
        new.toggle(&item(77, 1).name, Digests::item_digest(&item(77, 1)));
        assert_eq!(old, new);
    }
}
