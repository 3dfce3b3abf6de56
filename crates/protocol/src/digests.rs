//! Digests of a set of items by bucket, for anti-entropy: two processes whose sets are nearly equal find out which few items
//! differ, in a message whose size does not grow with the set.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::items::{Item, ItemName};

/// The number of buckets.
const BUCKETS: usize = 256;

/// The digests of a set. Each entry is added once, and removed once it is replaced, in any order.
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

fn bucket_index(name: &ItemName) -> usize {
    hash(name) as usize % BUCKETS
}

/// The key by which two processes that have the same item name it to each other.
pub fn name_key(name: &ItemName) -> u64 {
    hash(name)
}

impl Digests {
    /// Adds the digest of an entry, or removes it.
    pub fn toggle(&mut self, name: &ItemName, digest: u64) {
        self.0[bucket_index(name)] ^= digest;
    }

    /// The digest of the name and version of an item.
    pub fn item_digest(item: &Item) -> u64 {
        hash(&(&item.name, item.ver))
    }

    /// One digest of the whole set.
    pub fn combined(&self) -> u64 {
        self.0.iter().fold(0, |combined, digest| combined ^ digest)
    }

    /// The digest of each bucket, as they are sent.
    pub fn buckets(&self) -> &[u64] {
        &self.0
    }

    /// Whether another set has a different digest for the bucket of this name. A list of another length differs everywhere.
    pub fn bucket_differs(&self, other: &[u64], name: &ItemName) -> bool {
        let index = bucket_index(name);
        other.len() != BUCKETS || other[index] != self.0[index]
    }
}

#[cfg(test)]
mod tests;
