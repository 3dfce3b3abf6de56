//! Anti-entropy between two replicas whose digests of the chosen items differ: they determine which items differ, and
//! only those are sent.
//!
//! The responder keeps no state. The requester has at most one open exchange, identified by its id: the items of a
//! response that is duplicate, late or follows a lost one are still learned, but it does not advance the exchange.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::digests;
use protocol::items::Item;

use super::ids::Ballot;
use super::peer_messages::Payload;
use super::replicas::Sender;
use super::transfer::{Continuation, TransferLimits, continuations, split_into_chunks};
use super::{Output, Replica};
use crate::limits;

/// The open exchange of a requester.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DigestExchange {
    /// The id; 0 while no exchange is open.
    id: u64,
    /// The number of chunks of the response that were received in sequence.
    chunks_received: u32,
}

impl DigestExchange {
    pub(super) fn new(id: u64) -> DigestExchange {
        DigestExchange {
            id,
            chunks_received: 0,
        }
    }

    /// Whether a response is outstanding.
    pub(super) fn is_open(&self) -> bool {
        self.id != 0
    }
}

fn entry_key(entry: &(Ballot, Item)) -> u64 {
    digests::name_key(&entry.1.name)
}

impl Replica {
    /// Requests the chosen items that are not known here from a replica.
    pub(super) fn request_digest_exchange(&mut self, to: SocketAddr, out: &mut Vec<Output>) {
        let id = self.begin_exchange();
        let digests = self.chosen.digest_buckets().to_vec();
        self.send(vec![to], Payload::DigestRequest { id, digests }, out);
    }

    fn begin_exchange(&mut self) -> u64 {
        let number = self.next_request_id();
        self.catch_up.open_exchange(number)
    }

    /// Answers with the items that differ if they are small, and otherwise with the key and the ballot of each.
    pub(super) fn handle_digest_request(
        &self,
        from: SocketAddr,
        id: u64,
        digests: &[u64],
        out: &mut Vec<Output>,
    ) {
        let differing: Vec<&(Ballot, Item)> = self.chosen.entries_differing_from(digests).collect();
        let max_bytes = self.transfer_limits.chunk_bytes / limits::SMALL_DIFFERENCE_DIVISOR;
        let small_difference = TransferLimits {
            chunk_bytes: max_bytes,
            response_bytes: max_bytes,
        };
        let split = split_into_chunks(small_difference, differing.iter(), |(_, item)| item);
        let payload = match split.chunks.as_slice() {
            [chunk] if !split.has_more => Payload::ChosenChunk {
                id,
                sequence: 0,
                items: chunk.iter().map(|entry| (**entry).clone()).collect(),
                continuation: Continuation::End,
            },
            _ => {
                let entries = differing.iter().map(|entry| (entry_key(entry), entry.0));
                Payload::DigestEntries {
                    id,
                    entries: entries.collect(),
                }
            }
        };
        self.send(vec![from], payload, out);
    }

    /// Requests those of another replica's items that are newer than the ones known here.
    pub(super) fn handle_digest_entries(
        &mut self,
        now: i64,
        sender: Sender,
        id: u64,
        entries: &[(u64, Ballot)],
        out: &mut Vec<Output>,
    ) {
        if id != self.catch_up.exchange.id {
            return;
        }
        let known = self
            .chosen
            .entries()
            .map(|entry| (entry_key(entry), entry.0));
        let known: BTreeMap<u64, Ballot> = known.collect();
        let is_newer = |key: &u64, ballot: &Ballot| {
            known
                .get(key)
                .is_none_or(|known_ballot| known_ballot < ballot)
        };
        let newer = entries.iter().filter(|(key, ballot)| is_newer(key, ballot));
        let keys: Vec<u64> = newer.map(|(key, _)| *key).collect();
        if keys.is_empty() {
            // Only the other replica lacks items.
            self.catch_up.exchange = DigestExchange::default();
            return self.handle_caught_up(now, sender.replica(), out);
        }
        self.mark_lagging(now);
        let id = self.begin_exchange();
        let payload = Payload::FetchRequest { id, keys };
        self.send(vec![sender.address], payload, out);
    }

    /// Sends the chosen items with these keys.
    pub(super) fn handle_fetch_request(
        &self,
        from: SocketAddr,
        id: u64,
        keys: &[u64],
        out: &mut Vec<Output>,
    ) {
        let keys: BTreeSet<u64> = keys.iter().copied().collect();
        let entries = self.chosen.entries();
        let entries = entries.filter(|entry| keys.contains(&entry_key(entry)));
        let split = split_into_chunks(self.transfer_limits, entries.cloned(), |(_, item)| item);
        let continuations = continuations(split.chunks.len(), split.has_more);
        let chunks = split.chunks.into_iter().zip(continuations);
        for ((items, continuation), sequence) in chunks.zip(0..) {
            let payload = Payload::ChosenChunk {
                id,
                sequence,
                items,
                continuation,
            };
            self.send(vec![from], payload, out);
        }
    }

    /// A chunk of chosen items was learned: advances the exchange.
    pub(super) fn handle_chosen_chunk(
        &mut self,
        now: i64,
        sender: Sender,
        id: u64,
        sequence: u32,
        continuation: Continuation,
        out: &mut Vec<Output>,
    ) {
        let exchange = &mut self.catch_up.exchange;
        if id != exchange.id || sequence != exchange.chunks_received {
            return;
        }
        exchange.chunks_received += 1;
        match continuation {
            Continuation::End => {
                *exchange = DigestExchange::default();
                self.handle_caught_up(now, sender.replica(), out);
            }
            Continuation::MoreFollows => self.mark_lagging(now),
            Continuation::RequestMore => {
                self.mark_lagging(now);
                self.request_digest_exchange(sender.address, out);
            }
        }
    }
}
