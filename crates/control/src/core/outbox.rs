//! Outgoing messages and disk writes, and the steps that wait for a write to complete.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::events::Event;
use super::ids::{Incarnation, Term};
use super::peer_messages::{Payload, PeerMessage, TransferRequest};
use super::replicas::Sender;
use super::role_lease::RoleLease;
use super::{Output, Record, Replica, ReplicaMetadata};

/// The step to run once records are on disk.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PendingWrite {
    /// Send a vote to the replica at this address; without an address the vote is for this replica's own proposal.
    SendVote(Option<SocketAddr>, Payload),
    /// Confirm to a recovering replica that its incarnation is recorded, and send it the requested registers.
    SendIncarnationRecorded(SocketAddr, Incarnation, TransferRequest),
    /// Participate under the recovered incarnation.
    BeginIncarnation(Incarnation),
}

/// The state of the disk as known to the replica.
#[derive(Clone, Debug, Default)]
pub(super) struct DiskState {
    /// The disk rejects writes.
    pub(super) is_full: bool,
    /// The steps that wait for a write, by request id.
    pending: BTreeMap<u64, PendingWrite>,
}

impl DiskState {
    /// The number of writes whose completion triggers a further step.
    pub(super) fn pending_writes(&self) -> usize {
        self.pending.len()
    }
}

impl Replica {
    /// Sends a message to the replicas at these addresses.
    pub(super) fn send(&self, to: Vec<SocketAddr>, payload: Payload, out: &mut Vec<Output>) {
        if to.is_empty() {
            return;
        }
        let message = PeerMessage {
            sender: self.table.local(),
            incarnations: self.table.incarnations(),
            payload,
        };
        out.push(Output::SendToReplicas(to, message));
    }

    /// Sends a message to all other replicas.
    pub(super) fn broadcast(&self, payload: Payload, out: &mut Vec<Output>) {
        self.send(self.table.other_addresses(), payload, out);
    }

    /// Writes records; `next_step` runs once they are on disk.
    pub(super) fn write(
        &mut self,
        records: Vec<Record>,
        next_step: Option<PendingWrite>,
        out: &mut Vec<Output>,
    ) {
        let id = self.next_request_id();
        if let Some(next_step) = next_step {
            self.disk.pending.insert(id, next_step);
        }
        out.push(Output::Write(id, records));
    }

    /// The newest term of each role that this replica has granted.
    fn granted_terms(&self) -> impl Iterator<Item = Term> {
        self.role_leases.iter().map(RoleLease::granted_term)
    }

    /// The current metadata, to be persisted.
    pub(super) fn metadata(&self) -> ReplicaMetadata {
        let last_held = self.role_leases.iter().map(RoleLease::last_held_term);
        ReplicaMetadata {
            incarnation: self.table.local().incarnation,
            run: self.run,
            promise_floor: self.registers.promise_floor(),
            terms: self.granted_terms().chain(last_held).collect(),
            incarnations: self.table.incarnations(),
            addresses: self.table.addresses(),
        }
    }

    /// Sends a vote to another replica, or counts it directly if it is for this replica's own proposal.
    pub(super) fn deliver_vote(
        &mut self,
        now: i64,
        to: Option<SocketAddr>,
        vote: Payload,
        out: &mut Vec<Output>,
    ) {
        let Some(to) = to else {
            let sender = Sender {
                address: self.table.local_address(),
                process: self.table.local(),
            };
            return self.handle_vote(now, sender, vote, out);
        };
        self.send(vec![to], vote, out);
    }

    /// The disk rejects writes, or accepts them again. While it rejects them this replica promises, accepts and grants
    /// nothing new.
    pub(super) fn handle_disk_full(&mut self, is_full: bool, out: &mut Vec<Output>) {
        if std::mem::replace(&mut self.disk.is_full, is_full) != is_full {
            let event = if is_full {
                Event::VotingSuspended
            } else {
                Event::VotingResumed
            };
            out.push(Output::Log(event));
        }
    }

    /// Records are on disk: runs the step that waited for them.
    pub(super) fn handle_written(&mut self, now: i64, id: u64, out: &mut Vec<Output>) {
        match self.disk.pending.remove(&id) {
            Some(PendingWrite::SendVote(to, vote)) if self.table.is_participant() => {
                self.deliver_vote(now, to, vote, out)
            }
            Some(PendingWrite::SendIncarnationRecorded(to, incarnation, request)) => {
                self.send_incarnation_recorded(to, incarnation, &request, out)
            }
            Some(PendingWrite::BeginIncarnation(incarnation)) => {
                self.begin_incarnation(now, incarnation, out)
            }
            Some(PendingWrite::SendVote(..)) | None => {}
        }
    }

    fn send_incarnation_recorded(
        &self,
        to: SocketAddr,
        incarnation: Incarnation,
        request: &TransferRequest,
        out: &mut Vec<Output>,
    ) {
        let floor = self.registers.highest_promise();
        let chunks = self
            .registers
            .transfer_chunks(self.transfer_limits, request);
        for chunk in chunks {
            let payload = Payload::IncarnationRecorded {
                incarnation,
                promise_floor: floor,
                chunk,
                terms: self.granted_terms().collect(),
            };
            self.send(vec![to], payload, out);
        }
    }
}
