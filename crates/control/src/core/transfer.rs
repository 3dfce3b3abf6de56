//! State transfer in chunks: sends the registers of one replica to another, tolerating lost, duplicated and reordered
//! messages.
//!
//! Registers are independent of each other, so a transfer needs no consistent snapshot: each register is sent as it is
//! at some time after the request. A request contains digests of the requester's entries, by bucket, and the item name
//! after which to continue; the source keeps no state between two requests. A lost chunk is requested again, and a
//! duplicate or late one makes no progress; merging its contents is harmless, since they are merged by ballot.

use protocol::items::{Item, ItemName};
use serde::{Deserialize, Serialize};

use super::ids::{Ballot, Incarnation};
use crate::limits;

/// What follows a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Continuation {
    /// Nothing: this was the last chunk.
    End,
    /// Another chunk, without a further request.
    MoreFollows,
    /// More chunks, which have to be requested.
    RequestMore,
}

/// A chunk of a transfer; items are in the order of their names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// The last name of the previous chunk; `None` for the first chunk of a transfer.
    pub start_after: Option<ItemName>,
    /// The accepted items, each with its ballot.
    pub items: Vec<(Ballot, Item)>,
    /// What follows this chunk.
    pub continuation: Continuation,
}

/// The approximate size of an item in a message, in bytes.
fn item_bytes(item: &Item) -> usize {
    let spec_bytes = item.spec.as_deref().map_or(0, str::len);
    item.name.name.len() + spec_bytes + limits::ITEM_OVERHEAD_BYTES
}

/// Maximum sizes of the messages of a transfer. Simulations set lower ones, so that few items need many chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimits {
    /// The maximum size of one chunk, in bytes.
    pub chunk_bytes: usize,
    /// The maximum size of all chunks that answer one request, in bytes.
    pub response_bytes: usize,
}

impl Default for TransferLimits {
    fn default() -> TransferLimits {
        TransferLimits {
            chunk_bytes: limits::CHUNK_BYTES,
            response_bytes: limits::TRANSFER_RESPONSE_BYTES,
        }
    }
}

/// Entries split into messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split<T> {
    /// The entries of each message. There is at least one message, which may be empty.
    pub chunks: Vec<Vec<T>>,
    /// Whether further entries did not fit into the response.
    pub has_more: bool,
}

/// Splits entries into messages within `limits`. A single entry that exceeds a limit still forms a message.
pub fn split_into_chunks<T>(
    limits: TransferLimits,
    entries: impl Iterator<Item = T>,
    item_of: impl Fn(&T) -> &Item,
) -> Split<T> {
    let mut chunks = vec![Vec::new()];
    let (mut chunk_bytes, mut response_bytes) = (0, 0);
    for entry in entries {
        let entry_bytes = item_bytes(item_of(&entry));
        if response_bytes > 0 && response_bytes + entry_bytes > limits.response_bytes {
            return Split {
                chunks,
                has_more: true,
            };
        }
        if chunk_bytes > 0 && chunk_bytes + entry_bytes > limits.chunk_bytes {
            chunks.push(Vec::new());
            chunk_bytes = 0;
        }
        chunk_bytes += entry_bytes;
        response_bytes += entry_bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(entry);
        }
    }
    Split {
        chunks,
        has_more: false,
    }
}

/// The continuation of each of `count` chunks of a response.
pub fn continuations(count: usize, has_more: bool) -> impl Iterator<Item = Continuation> {
    let last = if has_more {
        Continuation::RequestMore
    } else {
        Continuation::End
    };
    (1..=count).map(move |number| {
        if number == count {
            last
        } else {
            Continuation::MoreFollows
        }
    })
}

/// The chunks that answer one request. `entries` are sorted by name, all of them after `start_after`.
pub fn response_chunks(
    limits: TransferLimits,
    start_after: Option<ItemName>,
    entries: impl Iterator<Item = (Ballot, Item)>,
) -> Vec<Chunk> {
    let split = split_into_chunks(limits, entries, |(_, item)| item);
    let continuations = continuations(split.chunks.len(), split.has_more);
    let mut previous = start_after;
    let mut chunks = Vec::with_capacity(split.chunks.len());
    for (items, continuation) in split.chunks.into_iter().zip(continuations) {
        let start_after = previous.clone();
        if let Some((_, last)) = items.last() {
            previous = Some(last.name.clone());
        }
        chunks.push(Chunk {
            start_after,
            items,
            continuation,
        });
    }
    chunks
}

/// The progress of a transfer from one source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransferProgress {
    /// All entries up to this name were received.
    pub start_after: Option<ItemName>,
    /// Whether all entries were received.
    pub is_complete: bool,
}

impl TransferProgress {
    /// Records a chunk. Returns what follows it; `None` for a duplicate or a chunk after a gap.
    pub fn record_chunk(&mut self, chunk: &Chunk) -> Option<Continuation> {
        if self.is_complete || chunk.start_after != self.start_after {
            return None;
        }
        if let Some((_, last)) = chunk.items.last() {
            self.start_after = Some(last.name.clone());
        }
        self.is_complete = chunk.continuation == Continuation::End;
        Some(chunk.continuation)
    }
}

/// The transfer from one replica, in one incarnation of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct SourceProgress {
    pub(super) incarnation: Incarnation,
    pub(super) progress: TransferProgress,
}

impl SourceProgress {
    pub(super) fn new(incarnation: Incarnation) -> SourceProgress {
        SourceProgress {
            incarnation,
            progress: TransferProgress::default(),
        }
    }

    /// Like [`TransferProgress::record_chunk`], but starts over with a new incarnation of the source: chunks of an
    /// earlier one do not count, since values that the requester needs may have been lost with its disk.
    pub(super) fn record_chunk(
        &mut self,
        incarnation: Incarnation,
        chunk: &Chunk,
    ) -> Option<Continuation> {
        if self.incarnation != incarnation {
            *self = SourceProgress::new(incarnation);
        }
        self.progress.record_chunk(chunk)
    }
}

#[cfg(test)]
mod tests;
