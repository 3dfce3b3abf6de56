//! How the replicas stand to each other: beats, incarnations, members, the platform's list, duties.

use std::net::SocketAddr;

use protocol::platform::Server;

use super::outbox::PendingWrite;
use super::peer_messages::{
    Ballot, Heartbeat, Incarnation, Member, MembershipDelta, Payload, ProcessId, ReplicaId,
    SingletonRole, Term, TransferRequest,
};
use super::recovery::{Recovery, RecoveryStep};
use super::role_lease::{LeaseRelease, RoleLease, Vote};
use super::server_list;
use super::transfer::Chunk;
use super::{Output, Record, Replica};
use crate::limits;

impl Replica {
    /// The beat, and what is looked at with it.
    pub(super) fn send_heartbeat(&mut self, now: i64, out: &mut Vec<Output>) {
        self.update_quorum_contact(now);
        if self.table.is_superseded() {
            return self.announce_view(now, true, out);
        }
        if self.membership.expire_leases(now, self.has_quorum_contact) {
            self.broadcast_membership(out);
        }
        let beat = Heartbeat {
            reachable: self.table.reachable_replicas(now),
            chosen_digest: self.chosen.digest(),
            server_list_version: self.server_list.version(),
            membership_digest: self.membership.digest(),
            counter_clock: now + self.clock_offset,
        };
        if self.table.is_participant() {
            self.broadcast(Payload::Heartbeat(beat), out);
            if self.table.has_unconfirmed_address() {
                self.broadcast(Payload::ReplicaAddresses(self.table.addresses()), out);
            }
        }
        if self.table.quorum() == 1 {
            // The only replica hears no others' beats.
            self.update_up_to_date(now, out);
        }
        self.announce_view(now, true, out);
    }

    /// A replica's beat: what it knows is compared with what is known here.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: i64,
        from: SocketAddr,
        replica: ReplicaId,
        beat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        self.update_quorum_contact(now);
        self.advance_clock(now, beat.counter_clock);
        if self
            .membership
            .handle_digest(now, replica, beat.membership_digest)
        {
            self.send(vec![from], Payload::MemberListRequest, out);
        }
        if beat.server_list_version > self.server_list.version() && now >= self.next_server_request
        {
            self.next_server_request = now + limits::SYNC_REQUEST_INTERVAL;
            self.send(vec![from], Payload::ServerListRequest, out);
        }
        self.record_match(now, replica, beat.chosen_digest, out);
        let strikes = self.digest_mismatches.entry(replica).or_default();
        *strikes = if beat.chosen_digest == self.chosen.digest() {
            0
        } else {
            *strikes + 1
        };
        if *strikes >= 2 && now >= self.next_sync && self.table.is_participant() {
            *strikes = 0;
            self.next_sync = now + limits::SYNC_REQUEST_INTERVAL;
            self.request_digest_exchange(from, out);
        }
    }

    /// Looks whether this replica is in touch. While it is not, the others may choose what it does not hear of.
    fn update_quorum_contact(&mut self, now: i64) {
        self.has_quorum_contact = self.table.has_quorum_contact(now);
        if !self.has_quorum_contact {
            (self.up_to_date, self.matched_replicas, self.up_to_date_at) = (false, 0, None);
        }
    }

    /// This process stood still for longer than it may be silent: what it knew of the others is over before it hears them again.
    pub(super) fn handle_stall(&mut self, now: i64) {
        self.update_quorum_contact(now);
        self.membership.expire_leases(now, self.has_quorum_contact);
    }

    /// After a start, or out of touch, this replica may know less to be chosen than the others. It knows the whole once more than half know
    /// the same; while items change all the time, after it has been in touch for a while.
    fn record_match(&mut self, now: i64, replica: ReplicaId, chosen: u64, out: &mut Vec<Output>) {
        if self.up_to_date || !self.has_quorum_contact {
            return;
        }
        let bit = 1u128 << replica;
        self.matched_replicas |= if chosen == self.chosen.digest() {
            bit
        } else {
            0
        };
        self.update_up_to_date(now, out);
    }

    /// All that a replica knew to be chosen is known here.
    pub(super) fn handle_caught_up(&mut self, now: i64, replica: ReplicaId, out: &mut Vec<Output>) {
        self.matched_replicas |= 1 << replica;
        self.update_up_to_date(now, out);
    }

    /// Chosen items are on their way to this replica: it does not know the whole.
    pub(super) fn mark_lagging(&mut self, now: i64) {
        self.up_to_date_at = Some(now + limits::CATCH_UP_DURATION);
        // One source at a time.
        self.next_sync = now + limits::SYNC_REQUEST_INTERVAL;
    }

    /// Looks whether this replica knows the whole by now.
    fn update_up_to_date(&mut self, now: i64, out: &mut Vec<Output>) {
        if self.up_to_date || !self.has_quorum_contact {
            return;
        }
        let same = self.matched_replicas.count_ones() as usize + 1 >= self.table.quorum();
        let at = *self
            .up_to_date_at
            .get_or_insert(now + limits::CATCH_UP_DURATION);
        if (same && self.pending.is_empty()) || now >= at {
            self.up_to_date = true;
            self.announce_complete(out);
        }
    }

    /// What a replica is told that was not heard before.
    pub(super) fn greet_replica(&self, peer: SocketAddr, out: &mut Vec<Output>) {
        if self.table.local().incarnation == Incarnation::NONE {
            return;
        }
        self.send(
            vec![peer],
            Payload::ReplicaAddresses(self.table.addresses()),
            out,
        );
        if self.table.is_participant() {
            self.send(
                vec![peer],
                Payload::MemberList(self.membership.local_members()),
                out,
            );
        }
    }

    /// The table of replicas has changed.
    pub(super) fn handle_replicas_changed(&mut self, now: i64, out: &mut Vec<Output>) {
        out.push(Output::Peers(self.table.peers()));
        if self.table.is_abandoned() {
            // It still has its disk, and so takes no more from the others than it lacks.
            out.push(Output::Log(
                "the newer incarnation of this replica was never ended: rebuilding".to_string(),
            ));
            self.table.relinquish();
            self.recovery = Some(Recovery::from_accepted(self.registers.accepted_entries()));
            return self.announce_view(now, true, out);
        }
        if self.table.is_superseded() {
            out.push(Output::LogImmediately(
                "this replica has a newer incarnation: stepping aside".to_string(),
            ));
            return self.announce_view(now, true, out);
        }
        if self.table.is_participant() {
            self.write(vec![Record::Metadata(self.metadata())], None, out);
            self.broadcast(Payload::ReplicaAddresses(self.table.addresses()), out);
        }
    }

    /// A replica with an empty disk begins an incarnation: it is written down here before that is said.
    pub(super) fn handle_incarnation_request(
        &mut self,
        from: SocketAddr,
        replica: ReplicaId,
        incarnation: Incarnation,
        question: TransferRequest,
        out: &mut Vec<Output>,
    ) {
        if !self.table.is_participant() || replica == self.table.local().replica || self.disk_full {
            return;
        }
        // It learns where the others are; and of a newer incarnation, after which it wants one.
        self.greet_replica(from, out);
        if incarnation < self.table.newest_incarnation(replica) {
            return;
        }
        if self
            .table
            .learn_incarnation(replica, incarnation, Some(from))
        {
            out.push(Output::LogImmediately(format!(
                "replica {replica} begins incarnation {} at {from}",
                incarnation.number
            )));
            out.push(Output::Peers(self.table.peers()));
            self.broadcast(Payload::ReplicaAddresses(self.table.addresses()), out);
        }
        self.write(
            vec![Record::Metadata(self.metadata())],
            Some(PendingWrite::Recorded(from, incarnation, question)),
            out,
        );
    }

    /// A replica that has rebuilt nothing yet asks on.
    pub(super) fn drive_recovery(&mut self, now: i64, out: &mut Vec<Output>) {
        let mark = self.random_below(1 << 32) as u32;
        let me = self.table.local().replica;
        let newest = self.table.newest_incarnation(me);
        let Some(rebuild) = self.recovery.as_mut().filter(|rebuild| !rebuild.persisting) else {
            return;
        };
        if newest > rebuild.incarnation || rebuild.incarnation == Incarnation::NONE {
            rebuild.choose_incarnation(newest, mark);
        }
        if now >= rebuild.wake_at {
            rebuild.wake_at = now + limits::RECOVERY_REQUEST_INTERVAL;
            let (incarnation, to_ask) = (rebuild.incarnation, rebuild.next_requests(&self.table));
            for (to, question) in to_ask {
                self.send(
                    vec![to],
                    Payload::IncarnationRequest {
                        incarnation,
                        request: question,
                    },
                    out,
                );
            }
        }
    }

    /// An answer to a replica that rebuilds.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn handle_incarnation_recorded(
        &mut self,
        now: i64,
        (from, by): (SocketAddr, (ReplicaId, Incarnation)),
        incarnation: Incarnation,
        floor: Ballot,
        piece: Chunk,
        terms: &[Term],
        out: &mut Vec<Output>,
    ) {
        let Some(rebuild) = self.recovery.as_mut().filter(|rebuild| !rebuild.persisting) else {
            return;
        };
        if rebuild.incarnation != incarnation {
            return;
        }
        match rebuild.handle_chunk(now, by, (floor, terms), piece, &self.table) {
            RecoveryStep::Wait => return,
            RecoveryStep::Request(question) => {
                return self.send(
                    vec![from],
                    Payload::IncarnationRequest {
                        incarnation,
                        request: question,
                    },
                    out,
                );
            }
            RecoveryStep::Complete => {}
        }
        rebuild.persisting = true;
        self.registers.raise_floor(rebuild.floor);
        for (ballot, item) in rebuild.found.values() {
            self.registers.adopt(*ballot, item);
        }
        for (duty, term) in self.role_leases.iter_mut().zip(&rebuild.terms) {
            duty.adopt(*term);
        }
        self.highest_round = self.highest_round.max(rebuild.floor.round);
        let registers = self.registers.iter();
        let mut rows: Vec<Record> = registers
            .map(|(name, register)| Record::Register(name.clone(), register.clone()))
            .collect();
        let mut own = self.metadata();
        own.incarnation = incarnation;
        own.incarnations[usize::from(self.table.local().replica)] = incarnation;
        rows.push(Record::Metadata(own));
        self.write(rows, Some(PendingWrite::BeginIncarnation(incarnation)), out);
    }

    /// All that was rebuilt is on disk.
    pub(super) fn begin_incarnation(
        &mut self,
        now: i64,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let me = self.table.local().replica;
        self.recovery = None;
        if self.table.newest_incarnation(me) > incarnation {
            // Another one has begun a newer incarnation meanwhile: this one is set aside as it begins.
            let newer = self.table.newest_incarnation(me);
            self.table.begin_incarnation(incarnation);
            self.table.learn_incarnation(me, newer, None);
            return self.handle_replicas_changed(now, out);
        }
        self.table.begin_incarnation(incarnation);
        let count = self.table.replica_count();
        let me = self.table.local();
        self.role_leases = SingletonRole::ALL.map(|duty| {
            let term = self.role_leases[duty as usize].granted_term();
            RoleLease::new(duty, me, count, (term, Term::default()), now)
        });
        let names: Vec<_> = self
            .registers
            .accepted_entries()
            .map(|(_, item)| item.name.clone())
            .collect();
        names.iter().for_each(|name| self.track_pending(now, name));
        if self.shutting_down {
            // It was told to end while it had nothing to hand over; now it has.
            self.begin_handover(now);
        }
        out.push(Output::LogImmediately(format!(
            "rebuilt: incarnation {}, {} items",
            incarnation.number,
            names.len()
        )));
        self.handle_replicas_changed(now, out);
        self.broadcast_membership(out);
        self.next_heartbeat = now;
        // What is chosen comes from any of them.
        if let Some(first) = self.table.other_addresses().first() {
            self.request_digest_exchange(*first, out);
        }
    }

    /// A replica has told whom it holds.
    pub(super) fn handle_member_list(
        &mut self,
        now: i64,
        replica: ReplicaId,
        list: Vec<Member>,
        out: &mut Vec<Output>,
    ) {
        if self.membership.handle_member_list(now, replica, list) {
            self.broadcast_membership(out);
        }
    }

    /// A replica has told what has changed of whom it holds.
    pub(super) fn handle_membership_delta(
        &mut self,
        now: i64,
        from: SocketAddr,
        replica: ReplicaId,
        moved: MembershipDelta,
        out: &mut Vec<Output>,
    ) {
        match self.membership.handle_delta(now, replica, moved) {
            Some(true) => self.broadcast_membership(out),
            Some(false) => {}
            // Something before it was missed.
            None => self.send(vec![from], Payload::MemberListRequest, out),
        }
    }

    /// Tells the other replicas what has changed of whom this one holds.
    pub(super) fn broadcast_membership(&mut self, out: &mut Vec<Output>) {
        if let Some(moved) = self.membership.take_delta() {
            self.broadcast(Payload::MembershipDelta(moved), out);
        }
    }

    /// The platform's list goes to a replica.
    pub(super) fn send_servers(&self, now: i64, to: SocketAddr, out: &mut Vec<Output>) {
        if self.server_list.is_known() {
            let body = Payload::ServerList {
                version: self.server_list.version(),
                servers: self.server_list.current(now),
            };
            self.send(vec![to], body, out);
        }
    }

    /// The platform's list was read here.
    pub(super) fn handle_server_list_read(
        &mut self,
        now: i64,
        servers: Vec<Server>,
        out: &mut Vec<Output>,
    ) {
        let held = self
            .acting_term(now, SingletonRole::PlatformPoller)
            .filter(|term| *term >= self.server_list.version().0);
        let news = match held {
            Some(term) => self.server_list.update_from_platform(now, term, servers),
            None => {
                self.polls_before_lease()
                    && self.server_list.update_from_replica(
                        now,
                        server_list::UNLEASED_VERSION,
                        servers,
                    )
            }
        };
        if news {
            let body = Payload::ServerList {
                version: self.server_list.version(),
                servers: self.server_list.current(now),
            };
            self.broadcast(body, out);
            self.announce_servers(now, out);
        }
    }

    /// This replica is one of the two on which duties land first, has been here before, and knows no list. After all have lost
    /// power proxies can serve nothing until they have one: it is asked for before anybody has the duty.
    fn polls_before_lease(&self) -> bool {
        let early = self.role_leases.iter().any(RoleLease::ranks_first);
        let before = self
            .role_leases
            .iter()
            .any(|duty| duty.granted_term().number > 0);
        early
            && before
            && !self.server_list.is_known()
            && self.table.is_participant()
            && !self.shutting_down
    }

    /// This replica asks the platform for its list.
    pub fn polls_platform(&self, now: i64) -> bool {
        self.acting_term(now, SingletonRole::PlatformPoller)
            .is_some()
            || self.polls_before_lease()
    }

    /// Bids, renewals, and what is given back.
    pub(super) fn drive_role_leases(&mut self, now: i64, out: &mut Vec<Output>) {
        let may = self.has_quorum_contact
            && self.table.is_participant()
            && !self.shutting_down
            && !self.disk_full;
        for duty in SingletonRole::ALL {
            let pause = self.random_below(100_000) as i64;
            let (bid, lost) = self.role_leases[duty as usize].tick(now, may, pause);
            if let Some(lost) = lost {
                self.release_lease(now, duty, lost, out);
            }
            if let Some(bid) = bid.filter(|_| self.table.is_participant()) {
                let body = Payload::LeaseRequest {
                    role: duty,
                    term: bid.term,
                    sent_at: bid.sent_at,
                    renewal: bid.renewal,
                };
                self.broadcast(body, out);
                let me = self.table.local();
                self.handle_lease_request(
                    now,
                    None,
                    me,
                    duty,
                    bid.term,
                    (bid.sent_at, bid.renewal),
                    out,
                );
            }
        }
    }

    fn release_lease(
        &mut self,
        now: i64,
        duty: SingletonRole,
        lost: LeaseRelease,
        out: &mut Vec<Output>,
    ) {
        let LeaseRelease { term, unused: vain } = lost;
        self.broadcast(
            Payload::LeaseRelease {
                role: duty,
                term,
                unused: vain,
            },
            out,
        );
        let me = self.table.local();
        self.role_leases[duty as usize].handle_release(now, me, term, vain);
    }

    /// Votes on a bid. Without an address it is this replica's own.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn handle_lease_request(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        by: ProcessId,
        duty: SingletonRole,
        term: u64,
        (at, holds): (i64, bool),
        out: &mut Vec<Output>,
    ) {
        // A new term wants the disk; one that was granted goes on without it.
        if self.disk_full && term > self.role_leases[duty as usize].granted_term().number {
            return;
        }
        let verdict = self.role_leases[duty as usize].handle_request(now, by, term, holds);
        let granted = verdict.granted;
        let body = Payload::LeaseVote {
            role: duty,
            term: Term {
                number: term,
                holder: by,
            },
            sent_at: at,
            granted,
            newest_term: verdict.newest_term,
        };
        if verdict.must_persist && !self.disk_full {
            // A term must never be granted twice, not even after all were killed at once.
            self.write(
                vec![Record::Metadata(self.metadata())],
                Some(PendingWrite::Vote(from, body)),
                out,
            );
        } else {
            self.deliver_vote(now, from, body, out);
        }
    }

    /// A vote on a bid of this replica.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn handle_lease_vote(
        &mut self,
        now: i64,
        by: (ReplicaId, Incarnation),
        duty: SingletonRole,
        term: Term,
        at: i64,
        (granted, newest): (bool, u64),
        out: &mut Vec<Output>,
    ) {
        // Danger: it was granted to a process before this one, and counts from that one's bid.
        if term.holder != self.table.local() {
            return;
        }
        let term = term.number;
        let verdict = Vote {
            granted,
            must_persist: false,
            newest_term: newest,
        };
        let ballots = &mut self.role_leases[duty as usize];
        if ballots.handle_vote(by, term, at, verdict, &self.table) {
            ballots.renew_now(now);
            out.push(Output::Log(format!("won the duty {duty:?}, term {term}")));
        }
    }

    /// The process is to end: duties go back at once, and what it holds is handed over.
    pub(super) fn handle_shutdown(&mut self, now: i64, out: &mut Vec<Output>) {
        self.shutting_down = true;
        self.begin_handover(now);
        SingletonRole::ALL
            .into_iter()
            .for_each(|duty| self.handle_role_failed(now, duty, out));
    }

    /// A duty goes back: another replica may do better.
    pub(super) fn handle_role_failed(
        &mut self,
        now: i64,
        duty: SingletonRole,
        out: &mut Vec<Output>,
    ) {
        if let Some(lost) = self.role_leases[duty as usize].give_up(now) {
            self.release_lease(now, duty, lost, out);
        }
    }
}
