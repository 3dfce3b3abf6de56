//! State transfer in pieces: how the registers of one replica reach another one, whatever happens to the messages and to
//! either side meanwhile.
//!
//! Registers are independent of each other, so the cut of a transfer need not be one instant: each register is told as
//! it stands at the source at some instant after the question was asked. A question names what the asking one has, as
//! digests by parts, and the name after which to go on; the source keeps nothing between two questions. A piece
//! that is lost is asked for again, one that comes twice or late moves nothing, and its contents are merged by ballot,
//! so that they can do no harm.

use protocol::items::{Item, ItemName};
use serde::{Deserialize, Serialize};

use super::peer_messages::Ballot;
use crate::limits;

/// What follows a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Continuation {
    /// Nothing: that was all.
    End,
    /// The next piece, unasked.
    MoreFollows,
    /// More, which is to be asked for.
    RequestMore,
}

/// A part of a transfer, in the order of the names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// It begins after this name.
    pub after: Option<ItemName>,
    /// What is told.
    pub items: Vec<(Ballot, Item)>,
    /// What follows.
    pub continuation: Continuation,
}

/// The bytes that an item takes, about.
fn item_bytes(item: &Item) -> usize {
    item.name.name.len() + item.spec.as_deref().map_or(0, str::len) + limits::ITEM_OVERHEAD_BYTES
}

/// How much is told at once. A simulation sets less, so that its few items go in many pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferLimits {
    /// Bytes of a piece.
    pub chunk_bytes: usize,
    /// Bytes of all pieces that answer one question.
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

/// Entries into messages within `bounds`; behind them whether some are left. At least one message, be it empty.
pub fn split_into_chunks<T>(
    bounds: TransferLimits,
    entries: impl Iterator<Item = T>,
    of: impl Fn(&T) -> &Item,
) -> (Vec<Vec<T>>, bool) {
    let (mut pieces, mut length, mut all) = (vec![Vec::new()], 0, 0);
    for entry in entries {
        let size = item_bytes(of(&entry));
        if all > 0 && all + size > bounds.response_bytes {
            return (pieces, true);
        }
        if length > 0 && length + size > bounds.chunk_bytes {
            pieces.push(Vec::new());
            length = 0;
        }
        (length, all) = (length + size, all + size);
        if let Some(piece) = pieces.last_mut() {
            piece.push(entry);
        }
    }
    (pieces, false)
}

/// What follows each of so many pieces.
pub fn continuations(pieces: usize, more: bool) -> impl Iterator<Item = Continuation> {
    let last = if more {
        Continuation::RequestMore
    } else {
        Continuation::End
    };
    (1..=pieces).map(move |number| {
        if number == pieces {
            last
        } else {
            Continuation::MoreFollows
        }
    })
}

/// The pieces that answer one question: `entries` in the order of their names, all of them after `after`.
pub fn chunks(
    bounds: TransferLimits,
    after: Option<ItemName>,
    entries: impl Iterator<Item = (Ballot, Item)>,
) -> Vec<Chunk> {
    let (split, more) = split_into_chunks(bounds, entries, |(_, item)| item);
    let (count, mut after) = (split.len(), after);
    let piece = |(items, then): (Vec<(Ballot, Item)>, Continuation)| {
        let next = items.last().map(|(_, item)| item.name.clone());
        let begins = if next.is_some() {
            std::mem::replace(&mut after, next)
        } else {
            after.clone()
        };
        Chunk {
            after: begins,
            items,
            continuation: then,
        }
    };
    split
        .into_iter()
        .zip(continuations(count, more))
        .map(piece)
        .collect()
}

/// How far a transfer from one source has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TransferProgress {
    /// All up to this name has come.
    pub after: Option<ItemName>,
    /// All has.
    pub complete: bool,
}

impl TransferProgress {
    /// Takes note of a piece. Gives what is to be done next, and nothing for a piece that comes again or after a gap.
    pub fn record_chunk(&mut self, piece: &Chunk) -> Option<Continuation> {
        if self.complete || piece.after != self.after {
            return None;
        }
        if let Some((_, last)) = piece.items.last() {
            self.after = Some(last.name.clone());
        }
        self.complete = piece.continuation == Continuation::End;
        Some(piece.continuation)
    }
}

#[cfg(test)]
mod tests;
