//! Dispatch of inputs and peer messages to their handlers.

use std::net::SocketAddr;

use super::ids::Incarnation;
use super::peer_messages::{Payload, PeerMessage};
use super::replicas::Sender;
use super::role_lease::{LeaseRelease, LeaseRequest};
use super::{Input, Output, Replica};

impl Replica {
    pub(super) fn handle_input(&mut self, now: i64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::PeerMessage(from, message) => self.handle_peer_message(now, from, message, out),
            Input::PeerConnected(peer) => self.handle_peer_connected(now, peer, out),
            Input::WriteCompleted(id) => self.handle_written(now, id, out),
            Input::OperatorCall(call, command, deadline) => {
                self.handle_call(now, call, command, deadline, out)
            }
            Input::AgentMessage(link, message) => {
                self.handle_agent_message(now, link, message, out)
            }
            Input::AgentDisconnected(link) => self.handle_agent_disconnected(link, out),
            Input::ServerListRead(servers) => self.handle_server_list_read(now, servers, out),
            Input::RoleFailed(role) => self.handle_role_failed(now, role, out),
            Input::DiskFull(is_full) => self.handle_disk_full(is_full, out),
            Input::Shutdown => self.handle_shutdown(now, out),
        }
    }

    fn handle_peer_connected(&mut self, now: i64, peer: SocketAddr, out: &mut Vec<Output>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.handle_peer_connected(now, peer);
        }
        self.send_addresses_and_members(peer, out);
    }

    /// Updates the table of replicas from the message, then handles its payload.
    fn handle_peer_message(
        &mut self,
        now: i64,
        from: SocketAddr,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        let outcome = self.table.record_message(now, from, &message);
        if outcome.table_changed {
            self.handle_replicas_changed(now, out);
        }
        if outcome.sender_returned {
            self.send_addresses_and_members(from, out);
        }
        let sender = Sender {
            address: from,
            process: message.sender,
        };
        if outcome.is_current {
            self.handle_current_message(now, sender, message, out);
        } else {
            self.handle_outdated_message(now, sender, message.payload, out);
        }
    }

    /// Handles a message from a process that is not in the newest known incarnation of its replica.
    fn handle_outdated_message(
        &mut self,
        now: i64,
        sender: Sender,
        payload: Payload,
        out: &mut Vec<Output>,
    ) {
        match payload {
            // Any message tells the sender about the newer incarnation.
            Payload::Heartbeat(_) if sender.process.incarnation != Incarnation::NONE => {
                self.send_addresses_and_members(sender.address, out)
            }
            payload => _ = self.handle_request_of_any(now, sender, payload, out),
        }
    }

    fn handle_current_message(
        &mut self,
        now: i64,
        sender: Sender,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        if let Payload::ReplicaAddresses(addresses) = &message.payload {
            if self
                .table
                .has_address_missing_from(&message.incarnations, addresses)
            {
                self.send_addresses_and_members(sender.address, out);
            }
            return;
        }
        let Some(payload) = self.handle_request_of_any(now, sender, message.payload, out) else {
            return;
        };
        let Some(payload) = self.handle_dissemination(now, sender, payload, out) else {
            return;
        };
        if self.table.is_participant() {
            self.handle_participant_message(now, sender, payload, out);
        }
    }

    /// Handles requests that any process may send, even one that recovers or is superseded. Returns any other payload.
    fn handle_request_of_any(
        &mut self,
        now: i64,
        sender: Sender,
        payload: Payload,
        out: &mut Vec<Output>,
    ) -> Option<Payload> {
        match payload {
            Payload::MemberListRequest => self.send_member_list(sender.address, out),
            Payload::ServerListRequest => self.send_server_list(now, sender.address, out),
            Payload::IncarnationRequest {
                incarnation,
                request,
            } => self.handle_incarnation_request(sender, incarnation, request, out),
            Payload::HandoverRequest { id, items } => {
                self.handle_handover_request(now, sender, id, items, out)
            }
            other => return Some(other),
        }
        None
    }

    /// Handles what a current replica reports about itself and the edges, and responses to recovery and handover; these
    /// are processed even while this replica does not vote. Returns any other payload.
    fn handle_dissemination(
        &mut self,
        now: i64,
        sender: Sender,
        payload: Payload,
        out: &mut Vec<Output>,
    ) -> Option<Payload> {
        match payload {
            Payload::Heartbeat(heartbeat) => self.handle_heartbeat(now, sender, heartbeat, out),
            Payload::MemberList(list) => self.handle_member_list(now, sender, list, out),
            Payload::MembershipDelta(delta) => {
                self.handle_membership_delta(now, sender, delta, out)
            }
            Payload::ServerList { version, servers } => {
                self.handle_server_list(now, version, servers, out)
            }
            Payload::IncarnationRecorded {
                incarnation,
                promise_floor,
                chunk,
                terms,
            } => {
                if self.is_recovering_as(incarnation) {
                    self.handle_incarnation_recorded(now, sender, promise_floor, chunk, &terms, out)
                }
            }
            Payload::HandoverAck {
                id,
                digests,
                slot_incarnation,
            } => self.handle_handover_ack(now, sender, id, &digests, slot_incarnation, out),
            Payload::LoadReport { region, services } => {
                self.handle_load_report(now, sender, &region, services)
            }
            other => return Some(other),
        }
        None
    }

    /// Handles the messages of proposals, leases and catching up.
    fn handle_participant_message(
        &mut self,
        now: i64,
        sender: Sender,
        payload: Payload,
        out: &mut Vec<Output>,
    ) {
        let from = sender.address;
        match payload {
            Payload::Prepare { ballot, names } => {
                self.handle_prepare(now, Some(from), ballot, &names, out)
            }
            Payload::Accept { ballot, items } => {
                self.handle_accept(now, Some(from), ballot, &items, out)
            }
            Payload::Chosen(ballot) => self.handle_chosen(now, ballot, out),
            Payload::LeaseRequest {
                role,
                term,
                sent_at,
                is_renewal,
            } => {
                let request = LeaseRequest {
                    term,
                    sent_at,
                    is_renewal,
                };
                self.handle_lease_request(now, Some(from), sender.process, role, request, out)
            }
            Payload::LeaseRelease {
                role,
                term,
                is_unused,
            } => {
                let release = LeaseRelease { term, is_unused };
                self.lease_mut(role)
                    .handle_release(now, sender.process, release)
            }
            Payload::ReadRequest { id, request } => {
                self.handle_read_request(from, id, &request, out)
            }
            Payload::DigestRequest { id, digests } => {
                self.handle_digest_request(from, id, &digests, out)
            }
            Payload::DigestEntries { id, entries } => {
                self.handle_digest_entries(now, sender, id, &entries, out)
            }
            Payload::FetchRequest { id, keys } => self.handle_fetch_request(from, id, &keys, out),
            Payload::ChosenChunk {
                id,
                sequence,
                items,
                continuation,
            } => {
                self.learn_chosen(now, items, out);
                self.handle_chosen_chunk(now, sender, id, sequence, continuation, out);
            }
            vote => self.handle_vote(now, sender, vote, out),
        }
    }
}
