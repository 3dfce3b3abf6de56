//! What a replica missed of what is chosen: two replicas whose digests differ find out what, and only that is told. The one
//! that tells remembers nothing. The one that is told has one question open, by its number: an answer that comes twice or
//! late, or follows on one that was lost, is learned from and leads to nothing else.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::digests;
use protocol::items::Item;

use super::peer_messages::{Ballot, Payload, ReplicaId};
use super::transfer::{Continuation, TransferLimits, continuations, split_into_chunks};
use super::{Output, Replica};
use crate::limits;

/// The question about what is chosen that waits for its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DigestExchange {
    /// Its number; none waits at 0.
    id: u64,
    /// So many pieces of the answer have come, each after the one before.
    chunks_received: u32,
}

impl Replica {
    /// Asks a replica for what it knows to be chosen and is not known here.
    pub(super) fn request_digest_exchange(&mut self, from: SocketAddr, out: &mut Vec<Output>) {
        let id = self.begin_exchange();
        self.send(
            vec![from],
            Payload::DigestRequest {
                id,
                digests: self.chosen.digest_buckets().to_vec(),
            },
            out,
        );
    }

    /// A question about what is chosen waits for its answer.
    pub(super) fn is_exchanging(&self) -> bool {
        self.exchange.id != 0
    }

    fn begin_exchange(&mut self) -> u64 {
        self.exchange = DigestExchange {
            id: self.exchange_id_base + self.next_request_id(),
            chunks_received: 0,
        };
        self.exchange.id
    }

    /// Another replica wants what differs from what it knows. Little is told at once, of much first the names.
    pub(super) fn handle_digest_request(
        &self,
        from: SocketAddr,
        id: u64,
        known: &[u64],
        out: &mut Vec<Output>,
    ) {
        let differing: Vec<&(Ballot, Item)> = self.chosen.entries_differing_from(known).collect();
        let little = self.transfer_limits.chunk_bytes / limits::SMALL_DIFFERENCE_DIVISOR;
        let bounds = TransferLimits {
            chunk_bytes: little,
            response_bytes: little,
        };
        let (mut pieces, more) = split_into_chunks(bounds, differing.iter(), |(_, item)| item);
        if pieces.len() == 1 && !more {
            let items = pieces
                .remove(0)
                .into_iter()
                .map(|entry| (*entry).clone())
                .collect();
            return self.send(
                vec![from],
                Payload::ChosenChunk {
                    id,
                    sequence: 0,
                    items,
                    continuation: Continuation::End,
                },
                out,
            );
        }
        let entries = differing
            .iter()
            .map(|(ballot, item)| (digests::name_key(&item.name), *ballot));
        self.send(
            vec![from],
            Payload::DigestEntries {
                id,
                entries: entries.collect(),
            },
            out,
        );
    }

    /// What another replica knows of the parts that differ: what is newer than here is asked for.
    pub(super) fn handle_digest_entries(
        &mut self,
        now: i64,
        (from, replica): (SocketAddr, ReplicaId),
        id: u64,
        entries: &[(u64, Ballot)],
        out: &mut Vec<Output>,
    ) {
        if id != self.exchange.id {
            return;
        }
        let known = self
            .chosen
            .entries()
            .map(|(ballot, item)| (digests::name_key(&item.name), *ballot));
        let known: BTreeMap<u64, Ballot> = known.collect();
        let newer = entries
            .iter()
            .filter(|(key, ballot)| known.get(key).is_none_or(|own| own < ballot));
        let wanted: Vec<u64> = newer.map(|(key, _)| *key).collect();
        if wanted.is_empty() {
            // It is the other one that is behind.
            self.exchange = DigestExchange::default();
            return self.handle_caught_up(now, replica, out);
        }
        self.mark_lagging(now);
        let id = self.begin_exchange();
        self.send(vec![from], Payload::FetchRequest { id, wanted }, out);
    }

    /// Another replica asks for these.
    pub(super) fn handle_fetch_request(
        &self,
        from: SocketAddr,
        id: u64,
        wanted: &[u64],
        out: &mut Vec<Output>,
    ) {
        let wanted: BTreeSet<u64> = wanted.iter().copied().collect();
        let found = self
            .chosen
            .entries()
            .filter(|(_, item)| wanted.contains(&digests::name_key(&item.name)));
        let (pieces, more) =
            split_into_chunks(self.transfer_limits, found.cloned(), |(_, item)| item);
        let then = continuations(pieces.len(), more);
        for ((items, then), piece) in pieces.into_iter().zip(then).zip(0..) {
            self.send(
                vec![from],
                Payload::ChosenChunk {
                    id,
                    sequence: piece,
                    items,
                    continuation: then,
                },
                out,
            );
        }
    }

    /// Another replica has told what is chosen; what comes next, and whether all of it was told.
    pub(super) fn handle_chosen_chunk(
        &mut self,
        now: i64,
        (from, replica): (SocketAddr, ReplicaId),
        id: u64,
        (piece, then): (u32, Continuation),
        out: &mut Vec<Output>,
    ) {
        if id != self.exchange.id || piece != self.exchange.chunks_received {
            return;
        }
        self.exchange.chunks_received += 1;
        match then {
            Continuation::End => {
                self.exchange = DigestExchange::default();
                self.handle_caught_up(now, replica, out);
            }
            Continuation::MoreFollows => self.mark_lagging(now),
            Continuation::RequestMore => {
                self.mark_lagging(now);
                self.request_digest_exchange(from, out);
            }
        }
    }
}
