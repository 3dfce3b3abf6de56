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
mod tests;
