//! PeerMessages and rows on their way out, and what waits for the disk.

use std::net::SocketAddr;

use super::peer_messages::{Incarnation, Payload, PeerMessage, Term, TransferRequest};
use super::role_lease::RoleLease;
use super::{Output, Record, Replica, ReplicaMetadata};

/// What is done once rows are on disk.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PendingWrite {
    /// A vote goes out; without an address it is this replica's own.
    Vote(Option<SocketAddr>, Payload),
    /// A replica that rebuilds hears that its incarnation is written down here.
    Recorded(SocketAddr, Incarnation, TransferRequest),
    /// This replica takes part from now on.
    BeginIncarnation(Incarnation),
}

impl Replica {
    /// Sends a message.
    pub(super) fn send(&self, to: Vec<SocketAddr>, body: Payload, out: &mut Vec<Output>) {
        if !to.is_empty() {
            out.push(Output::SendToReplicas(
                to,
                PeerMessage {
                    sender: self.table.local(),
                    incarnations: self.table.incarnations(),
                    payload: body,
                },
            ));
        }
    }

    /// Sends a message to all other replicas.
    pub(super) fn broadcast(&self, body: Payload, out: &mut Vec<Output>) {
        self.send(self.table.other_addresses(), body, out);
    }

    /// Writes rows, and does something once they are on disk.
    pub(super) fn write(
        &mut self,
        rows: Vec<Record>,
        after: Option<PendingWrite>,
        out: &mut Vec<Output>,
    ) {
        let number = self.next_request_id();
        if let Some(after) = after {
            self.pending_writes.insert(number, vec![after]);
        }
        out.push(Output::Write(number, rows));
    }

    /// Newest term of each duty that was granted here.
    fn granted_terms(&self) -> impl Iterator<Item = Term> {
        self.role_leases.iter().map(RoleLease::granted_term)
    }

    /// What is written down about this replica and the others.
    pub(super) fn metadata(&self) -> ReplicaMetadata {
        ReplicaMetadata {
            incarnation: self.table.local().incarnation,
            run: self.run,
            floor: self.registers.floor(),
            terms: self
                .granted_terms()
                .chain(self.role_leases.iter().map(RoleLease::last_held_term))
                .collect(),
            incarnations: self.table.incarnations(),
            addresses: self.table.addresses(),
        }
    }

    /// A vote, or this replica's own one. It counts like any other.
    pub(super) fn deliver_vote(
        &mut self,
        now: i64,
        to: Option<SocketAddr>,
        body: Payload,
        out: &mut Vec<Output>,
    ) {
        match to {
            Some(to) => self.send(vec![to], body, out),
            None => {
                let me = self.table.local();
                self.handle_vote(
                    now,
                    (self.table.local_address(), (me.replica, me.incarnation)),
                    body,
                    out,
                );
            }
        }
    }

    /// The disk takes nothing more, or takes it again. Until it does, this replica promises, accepts and grants nothing new.
    pub(super) fn handle_disk_full(&mut self, full: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.disk_full, full) != full {
            let text = if full {
                "votes on nothing new: the disk refuses it"
            } else {
                "votes again"
            };
            out.push(Output::Log(text.to_string()));
        }
    }

    /// Rows are on disk.
    pub(super) fn handle_written(&mut self, now: i64, number: u64, out: &mut Vec<Output>) {
        for after in self.pending_writes.remove(&number).into_iter().flatten() {
            match after {
                PendingWrite::Vote(to, body) if self.table.is_participant() => {
                    self.deliver_vote(now, to, body, out)
                }
                PendingWrite::Vote(..) => {}
                PendingWrite::Recorded(to, incarnation, question) => {
                    let floor = self.registers.highest_promise();
                    for piece in self
                        .registers
                        .transfer_chunks(self.transfer_limits, &question)
                    {
                        let terms = self.granted_terms().collect();
                        self.send(
                            vec![to],
                            Payload::IncarnationRecorded {
                                incarnation,
                                floor,
                                chunk: piece,
                                terms,
                            },
                            out,
                        );
                    }
                }
                PendingWrite::BeginIncarnation(incarnation) => {
                    self.begin_incarnation(now, incarnation, out)
                }
            }
        }
    }
}
