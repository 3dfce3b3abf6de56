//! Heartbeats between the replicas, and the comparison of their states.

use std::net::SocketAddr;

use super::agents::Announcement;
use super::events::Event;
use super::ids::Incarnation;
use super::peer_messages::{Heartbeat, Payload};
use super::recovery::Recovery;
use super::replicas::Sender;
use super::{Output, Record, Replica};
use crate::limits;

impl Replica {
    /// Sends a heartbeat, and performs the checks that depend on the time alone.
    pub(super) fn send_heartbeat(&mut self, now: i64, out: &mut Vec<Output>) {
        self.update_quorum_contact(now);
        if self.table.is_superseded() {
            return self.announce_view(now, Announcement::WithKeepAlive, out);
        }
        if self.membership.expire_leases(now, self.has_quorum_contact) {
            self.broadcast_membership(out);
        }
        let heartbeat = Heartbeat {
            reachable_replicas: self.table.reachable_replicas(now),
            chosen_digest: self.chosen.digest(),
            server_list_version: self.server_list.version(),
            membership_digest: self.membership.digest(),
            counter_clock: now + self.clock_offset,
        };
        if self.table.is_participant() {
            self.broadcast(Payload::Heartbeat(heartbeat), out);
            if self.table.has_unconfirmed_address() {
                self.broadcast_addresses(out);
            }
        }
        if self.table.quorum_size() == 1 {
            // A single replica receives no heartbeats, which trigger this check otherwise.
            self.update_up_to_date(now, out);
        }
        self.announce_view(now, Announcement::WithKeepAlive, out);
    }

    /// Compares the state of another replica with the local one, and requests what is missing here.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: i64,
        sender: Sender,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        self.update_quorum_contact(now);
        self.advance_clock(now, heartbeat.counter_clock);
        let lacks_members =
            self.membership
                .handle_digest(now, sender.replica(), heartbeat.membership_digest);
        if lacks_members {
            self.send(vec![sender.address], Payload::MemberListRequest, out);
        }
        let lacks_servers = heartbeat.server_list_version > self.server_list.version();
        if lacks_servers && now >= self.next_server_list_request_at {
            self.next_server_list_request_at = now + limits::SYNC_REQUEST_INTERVAL;
            self.send(vec![sender.address], Payload::ServerListRequest, out);
        }
        self.compare_chosen_digest(now, sender, heartbeat.chosen_digest, out);
    }

    /// Updates whether this replica is in contact with a quorum.
    fn update_quorum_contact(&mut self, now: i64) {
        self.has_quorum_contact = self.table.has_quorum_contact(now);
        if !self.has_quorum_contact {
            self.catch_up.reset();
        }
    }

    /// This process stalled for longer than the contact timeout: its state about its peers is outdated, and must not be
    /// used before new messages of them arrive.
    pub(super) fn handle_stall(&mut self, now: i64) {
        self.update_quorum_contact(now);
        self.membership.expire_leases(now, self.has_quorum_contact);
    }

    /// Sends the addresses of the replicas and the local members to a replica that was unreachable.
    pub(super) fn send_addresses_and_members(&self, peer: SocketAddr, out: &mut Vec<Output>) {
        if self.table.local().incarnation == Incarnation::NONE {
            return;
        }
        let addresses = Payload::ReplicaAddresses(self.table.addresses());
        self.send(vec![peer], addresses, out);
        if self.table.is_participant() {
            self.send_member_list(peer, out);
        }
    }

    /// Sends the addresses of the replicas to all of them.
    pub(super) fn broadcast_addresses(&self, out: &mut Vec<Output>) {
        self.broadcast(Payload::ReplicaAddresses(self.table.addresses()), out);
    }

    /// The table of replicas has changed; this replica itself may be superseded.
    pub(super) fn handle_replicas_changed(&mut self, now: i64, out: &mut Vec<Output>) {
        out.push(Output::Peers(self.table.peer_addresses()));
        if self.table.is_abandoned() {
            out.push(Output::Log(Event::AbandonedIncarnation));
            self.table.relinquish_incarnation();
            // The disk still holds the registers, so that the others only need to send values that differ.
            let entries = self.registers.accepted_entries();
            self.recovery = Some(Recovery::from_accepted(entries));
            return self.announce_view(now, Announcement::WithKeepAlive, out);
        }
        if self.table.is_superseded() {
            out.push(Output::Log(Event::Superseded));
            return self.announce_view(now, Announcement::WithKeepAlive, out);
        }
        if self.table.is_participant() {
            self.write(vec![Record::Metadata(self.metadata())], None, out);
            self.broadcast_addresses(out);
        }
    }
}
