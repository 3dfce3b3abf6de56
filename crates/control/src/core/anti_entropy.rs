//! What a replica missed of what is chosen: two replicas whose digests differ find out what, and only that is told. The one
//! that tells remembers nothing. The one that is told has one question open, by its number: an answer that comes twice or
//! late, or follows on one that was lost, is learned from and leads to nothing else.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::digests;
use protocol::items::Item;

use super::peer_messages::{Ballot, Payload, ReplicaId};
use super::transfer::{Continuation, TransferLimits, continuations, split_into_chunks};
use super::{Core, Output};
use crate::limits;

/// The question about what is chosen that waits for its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DigestExchange {
    /// Its number; none waits at 0.
    id: u64,
    /// So many pieces of the answer have come, each after the one before.
    pieces: u32,
}

impl Core {
    /// Asks a replica for what it knows to be chosen and is not known here.
    pub(super) fn sync(&mut self, from: SocketAddr, out: &mut Vec<Output>) {
        let id = self.syncing();
        self.send(
            vec![from],
            Payload::DigestRequest {
                id,
                parts: self.news.parts().to_vec(),
            },
            out,
        );
    }

    /// A question about what is chosen waits for its answer.
    pub(super) fn asks(&self) -> bool {
        self.syncing.id != 0
    }

    fn syncing(&mut self) -> u64 {
        self.syncing = DigestExchange {
            id: self.syncs_from + self.number(),
            pieces: 0,
        };
        self.syncing.id
    }

    /// Another replica wants what differs from what it knows. Little is told at once, of much first the names.
    pub(super) fn sync_asked(
        &self,
        from: SocketAddr,
        id: u64,
        known: &[u64],
        out: &mut Vec<Output>,
    ) {
        let differing: Vec<&(Ballot, Item)> = self.news.differing(known).collect();
        let little = self.bounds.chunk_bytes / limits::SMALL_DIFFERENCE_DIVISOR;
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
                    piece: 0,
                    items,
                    then: Continuation::End,
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
    pub(super) fn entries_told(
        &mut self,
        now: i64,
        (from, replica): (SocketAddr, ReplicaId),
        id: u64,
        entries: &[(u64, Ballot)],
        out: &mut Vec<Output>,
    ) {
        if id != self.syncing.id {
            return;
        }
        let known = self
            .news
            .all()
            .map(|(ballot, item)| (digests::name_key(&item.name), *ballot));
        let known: BTreeMap<u64, Ballot> = known.collect();
        let newer = entries
            .iter()
            .filter(|(key, ballot)| known.get(key).is_none_or(|own| own < ballot));
        let wanted: Vec<u64> = newer.map(|(key, _)| *key).collect();
        if wanted.is_empty() {
            // It is the other one that is behind.
            self.syncing = DigestExchange::default();
            return self.caught_up(now, replica, out);
        }
        self.lags(now);
        let id = self.syncing();
        self.send(vec![from], Payload::FetchRequest { id, wanted }, out);
    }

    /// Another replica asks for these.
    pub(super) fn fetch_asked(
        &self,
        from: SocketAddr,
        id: u64,
        wanted: &[u64],
        out: &mut Vec<Output>,
    ) {
        let wanted: BTreeSet<u64> = wanted.iter().copied().collect();
        let found = self
            .news
            .all()
            .filter(|(_, item)| wanted.contains(&digests::name_key(&item.name)));
        let (pieces, more) = split_into_chunks(self.bounds, found.cloned(), |(_, item)| item);
        let then = continuations(pieces.len(), more);
        for ((items, then), piece) in pieces.into_iter().zip(then).zip(0..) {
            self.send(
                vec![from],
                Payload::ChosenChunk {
                    id,
                    piece,
                    items,
                    then,
                },
                out,
            );
        }
    }

    /// Another replica has told what is chosen; what comes next, and whether all of it was told.
    pub(super) fn told_chosen(
        &mut self,
        now: i64,
        (from, replica): (SocketAddr, ReplicaId),
        id: u64,
        (piece, then): (u32, Continuation),
        out: &mut Vec<Output>,
    ) {
        if id != self.syncing.id || piece != self.syncing.pieces {
            return;
        }
        self.syncing.pieces += 1;
        match then {
            Continuation::End => {
                self.syncing = DigestExchange::default();
                self.caught_up(now, replica, out);
            }
            Continuation::MoreFollows => self.lags(now),
            Continuation::RequestMore => {
                self.lags(now);
                self.sync(from, out);
            }
        }
    }
}
