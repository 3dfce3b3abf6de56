//! Digests of a set of items by bucket, for anti-entropy: two processes with nearly equal sets find out which few items
//! differ, with a message whose size does not grow with the set.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::items::{Item, ItemName};

/// The number of buckets. Processes that compare digests must agree on it.
const BUCKETS: usize = 256;

/// The digests of a set. The digest of a bucket is the XOR of the digests of its entries, so that entries can be added and
/// removed in any order; each must be added once, and removed when it is replaced.
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

/// The key by which processes refer to an item in messages, in place of its name.
pub fn name_key(name: &ItemName) -> u64 {
    hash(name)
}

impl Digests {
    /// Adds the digest of an entry, or removes it if it was added before.
    pub fn toggle(&mut self, name: &ItemName, digest: u64) {
        self.0[bucket_index(name)] ^= digest;
    }

    /// The digest of the name and version of an item.
    pub fn item_digest(item: &Item) -> u64 {
        hash(&(&item.name, item.ver))
    }

    /// The digest of the whole set.
    pub fn combined(&self) -> u64 {
        self.0.iter().fold(0, |combined, digest| combined ^ digest)
    }

    /// The digest of each bucket, in the form in which they are sent.
    pub fn buckets(&self) -> &[u64] {
        &self.0
    }

    /// Whether the digests of another set differ from these in the bucket of this name. Digests of another number of buckets
    /// differ in every one.
    pub fn bucket_differs(&self, other: &[u64], name: &ItemName) -> bool {
        let index = bucket_index(name);
        other.len() != BUCKETS || other[index] != self.0[index]
    }
}

#[cfg(test)]
mod tests;
