//! Leases on the roles that one replica performs for all: acquired by a vote of a quorum whenever a role is vacant, and
//! held as long as a quorum keeps granting it.
//!
//! A grant lasts for a fixed time at the voter, counted from the receipt of the request. The holder counts from when it
//! sent the request, and stops earlier. Therefore at most one replica performs a role at any time, without any
//! comparison of two clocks.
//!
//! A voter that has restarted does not know when its last grant expires, but its disk names the only possible grantee:
//! the holder of the newest term, if that holder was observed holding the lease. The voter may grant the lease to the
//! same replica again at once: the earlier holder is either the same process or one that has ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::events::Event;
use super::ids::Voter;
use super::ids::{Incarnation, ProcessId, ReplicaId, SingletonRole, Term};
use super::outbox::PendingWrite;
use super::peer_messages::Payload;
use super::replicas::ReplicaTable;
use super::{Output, Record, Replica};
use crate::limits;

/// A request for a lease, to be sent to all replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The term that is requested.
    pub term: u64,
    /// The time of sending, in microseconds on the clock of the requester.
    pub sent_at: i64,
    /// Whether the requester already holds the lease and requests its extension.
    pub is_renewal: bool,
}

/// The decision of a voter on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseDecision {
    /// Whether the lease is granted for [`limits::GRANT_DURATION`].
    pub is_granted: bool,
    /// Whether the term must be on disk before the vote is sent: it is new to the voter, or observed as held for the
    /// first time.
    pub must_persist: bool,
    /// The newest term that the voter knows.
    pub newest_term: u64,
}

/// A vote on a request of this replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseVote {
    /// The term that was requested.
    pub term: u64,
    /// When the request was sent, in microseconds on the clock of the requester.
    pub sent_at: i64,
    /// Whether the request is granted.
    pub is_granted: bool,
    /// The newest term that the voter knows.
    pub newest_term: u64,
}

/// The release of a term by its holder or candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRelease {
    /// The term.
    pub term: u64,
    /// Whether the candidate never acquired the lease in this term; it no longer can.
    pub is_unused: bool,
}

/// The next step of a candidate or holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Send a request to all replicas.
    Request(LeaseRequest),
    /// Notify all replicas that a term is released.
    Release(LeaseRelease),
}

/// The terms of a role as stored on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredTerms {
    /// The newest term that this replica has granted.
    pub granted_term: Term,
    /// The newest term that this replica has observed as held.
    pub last_held_term: Term,
}

impl StoredTerms {
    /// Extracts the terms of one role from `terms`, which are laid out as in the metadata.
    pub fn for_role(terms: &[Term], role: SingletonRole) -> StoredTerms {
        let term = |index: usize| terms.get(index).copied().unwrap_or_default();
        StoredTerms {
            granted_term: term(role as usize),
            last_held_term: term(SingletonRole::ALL.len() + role as usize),
        }
    }
}

/// This replica's candidacy for the lease, or its tenure.
#[derive(Clone, Debug)]
struct Candidacy {
    term: u64,
    requested_at: i64,
    /// The time until which this replica holds the lease; 0 before a quorum has granted it.
    lease_expires_at: i64,
    /// The votes on each open request, by the time at which it was sent.
    open_votes: BTreeMap<i64, BTreeMap<ReplicaId, Incarnation>>,
}

impl Candidacy {
    /// Whether the lease has expired, or was not acquired in time.
    fn has_ended(&self, now: i64) -> bool {
        let timed_out = now >= self.requested_at + limits::LEASE_REQUEST_TIMEOUT;
        self.lease_expires_at <= now && (self.lease_expires_at > 0 || timed_out)
    }

    fn release(&self) -> LeaseRelease {
        LeaseRelease {
            term: self.term,
            is_unused: self.lease_expires_at == 0,
        }
    }
}

/// The lease on one role at one replica, which is a voter and may be a candidate or holder.
#[derive(Clone, Debug)]
pub struct RoleLease {
    /// The position of this replica in the order in which the replicas request a vacant lease.
    rank: i64,
    /// The newest term that this replica has granted.
    granted_term: Term,
    /// The candidate of the granted term released it without having acquired the lease: nobody will ever hold it.
    granted_term_is_unused: bool,
    /// The newest term before the granted one that was not unused.
    previous_term: Term,
    /// The newest term that was observed as held; it is persisted.
    last_held_term: Term,
    /// The term granted until `grant_expires_at`.
    current_grant: Term,
    grant_expires_at: i64,
    candidacy: Option<Candidacy>,
    /// The term of the holder according to its own requests, and the time until which that is valid.
    known_holder: Option<(Term, i64)>,
    /// The newest known term.
    newest_term: u64,
    /// The time from which the role is vacant, as far as known.
    vacant_since: i64,
    /// Earliest time of the next request.
    next_request_at: i64,
    /// Until this time a grant given before the restart may be valid, and only its possible grantee is granted the
    /// lease.
    quiet_period_ends_at: i64,
    /// This replica held the lease when its process ended, and requests it before all others.
    is_resuming_holder: bool,
}

/// Whether `process` is `holder`, or a later process of the same replica and incarnation.
fn is_same_or_successor(process: ProcessId, holder: ProcessId) -> bool {
    process.voter() == holder.voter() && process.run >= holder.run
}

impl RoleLease {
    /// Creates the lease state of a replica that starts, or participates from `now` on.
    pub fn new(
        role: SingletonRole,
        local: ProcessId,
        replica_count: usize,
        stored: StoredTerms,
        now: i64,
    ) -> RoleLease {
        // The request orders of the two roles begin at different replicas, so that normally different ones perform
        // them.
        let first_replica = match role {
            SingletonRole::PlatformPoller => 0,
            SingletonRole::Counter => replica_count / 2,
        };
        let rank = (usize::from(local.replica) + replica_count - first_replica) % replica_count;
        // Two simultaneous pollers are harmless, since their lists are ordered by term; two simultaneous counters are
        // not.
        let quiet_period = match role {
            SingletonRole::PlatformPoller => limits::STARTUP_DELAY,
            SingletonRole::Counter => limits::GRANT_DURATION,
        };
        let quiet_period_ends_at = now + quiet_period;
        let StoredTerms {
            granted_term,
            last_held_term,
        } = stored;
        let newest_was_held = last_held_term.number > 0 && last_held_term == granted_term;
        let is_resuming_holder = role == SingletonRole::Counter
            && newest_was_held
            && is_same_or_successor(local, last_held_term.holder);
        RoleLease {
            rank: rank as i64,
            granted_term,
            granted_term_is_unused: false,
            previous_term: Term::default(),
            last_held_term,
            current_grant: granted_term,
            grant_expires_at: i64::MIN,
            candidacy: None,
            known_holder: None,
            newest_term: granted_term.number,
            vacant_since: quiet_period_ends_at,
            next_request_at: if is_resuming_holder {
                now + limits::STARTUP_DELAY
            } else {
                quiet_period_ends_at
            },
            quiet_period_ends_at,
            is_resuming_holder,
        }
    }

    /// Whether this replica is the first in the order of requests for a vacant lease.
    pub fn ranks_first(&self) -> bool {
        self.rank == 0
    }

    /// The newest term that this replica has granted.
    pub fn granted_term(&self) -> Term {
        self.granted_term
    }

    /// The newest term that this replica has observed as held.
    pub fn last_held_term(&self) -> Term {
        self.last_held_term
    }

    /// Adopts a term that another replica has granted, in place of the grants lost with the disk.
    pub fn adopt_term(&mut self, term: Term) {
        if term > self.granted_term {
            self.granted_term = term;
            self.granted_term_is_unused = false;
        }
        self.newest_term = self.newest_term.max(self.granted_term.number);
    }

    /// Decides on a request.
    pub fn handle_request(
        &mut self,
        now: i64,
        from: ProcessId,
        request: LeaseRequest,
    ) -> LeaseDecision {
        let requested_term = Term {
            number: request.term,
            holder: from,
        };
        self.newest_term = self.newest_term.max(request.term);
        if request.is_renewal {
            self.record_holder(now, requested_term);
        }
        let is_new = request.term > self.granted_term.number;
        let is_granted =
            self.may_grant(now, from) && (is_new || requested_term == self.grantable_term());
        if is_granted && is_new {
            self.previous_term = self.grantable_term();
            self.granted_term = requested_term;
            self.granted_term_is_unused = false;
        }
        if is_granted {
            self.current_grant = requested_term;
            self.grant_expires_at = now + limits::GRANT_DURATION;
            self.vacant_since = self.vacant_since.max(self.grant_expires_at);
        }
        let newly_held = is_granted && request.is_renewal && self.last_held_term != requested_term;
        if newly_held {
            self.last_held_term = requested_term;
        }
        LeaseDecision {
            is_granted,
            must_persist: is_granted && (is_new || newly_held),
            newest_term: self.newest_term,
        }
    }

    /// Records the holder that renews the lease, whatever this replica has granted: it may have been an unsuccessful
    /// candidate while it received no messages of the holder.
    fn record_holder(&mut self, now: i64, term: Term) {
        if self.known_holder.is_none_or(|(known, _)| known <= term) {
            let expires_at = now + limits::GRANT_DURATION;
            self.known_holder = Some((term, expires_at));
            self.vacant_since = self.vacant_since.max(expires_at);
        }
    }

    /// The term that may be granted again: the newest granted one that was not released unused.
    ///
    /// A replica that no longer receives the holder's messages grants itself a newer term and does not acquire the
    /// lease. If it then rejected the holder's renewals because of that term, a few such replicas would make the holder
    /// lose the lease.
    fn grantable_term(&self) -> Term {
        if self.granted_term_is_unused {
            self.previous_term
        } else {
            self.granted_term
        }
    }

    /// Whether `requester` may be granted the lease: no other process can have a valid grant of this replica.
    fn may_grant(&self, now: i64, requester: ProcessId) -> bool {
        let has_grant = self.grant_expires_at > now;
        let is_grantee = is_same_or_successor(requester, self.current_grant.holder);
        if has_grant && !is_grantee {
            return false;
        }
        let is_last_holder = self.last_held_term.number > 0
            && self.last_held_term == self.granted_term
            && is_same_or_successor(requester, self.last_held_term.holder);
        now >= self.quiet_period_ends_at || is_last_holder || has_grant
    }

    /// A candidate or holder has released its term.
    pub fn handle_release(&mut self, now: i64, from: ProcessId, release: LeaseRelease) {
        let released = Term {
            number: release.term,
            holder: from,
        };
        if self.current_grant == released {
            self.grant_expires_at = now;
        }
        self.granted_term_is_unused |= self.granted_term == released && release.is_unused;
        if let Some((term, expires_at)) = &mut self.known_holder
            && *term == released
        {
            *expires_at = now;
        }
        if self.grant_expires_at <= now && self.known_holder(now).is_none() {
            self.vacant_since = now;
        }
    }

    /// The term in which this replica holds the lease at `now`.
    pub fn acting_term(&self, now: i64) -> Option<u64> {
        let candidacy = self.candidacy.as_ref();
        let acting = candidacy.filter(|candidacy| candidacy.lease_expires_at > now);
        acting.map(|candidacy| candidacy.term)
    }

    /// Whether this replica holds the lease or has requested it.
    pub fn is_candidate(&self) -> bool {
        self.candidacy.is_some()
    }

    /// The term of the holder, as far as known.
    pub fn known_holder(&self, now: i64) -> Option<Term> {
        let (term, expires_at) = self.known_holder?;
        (expires_at > now).then_some(term)
    }

    /// Counts a vote on a request of this replica. Returns whether this vote acquired the lease.
    pub fn handle_vote(&mut self, voter: Voter, vote: LeaseVote, table: &ReplicaTable) -> bool {
        self.newest_term = self.newest_term.max(vote.newest_term);
        let candidacy = self.candidacy.as_mut();
        let candidacy =
            candidacy.filter(|candidacy| candidacy.term == vote.term && vote.is_granted);
        let Some(candidacy) = candidacy else {
            return false;
        };
        let Some(votes) = candidacy.open_votes.get_mut(&vote.sent_at) else {
            return false;
        };
        votes.insert(voter.replica, voter.incarnation);
        if !table.is_quorum(votes) {
            return false;
        }
        let newly_acquired = candidacy.lease_expires_at == 0;
        let expires_at = vote.sent_at + limits::GRANT_DURATION - limits::GRANT_SAFETY_MARGIN;
        candidacy.lease_expires_at = candidacy.lease_expires_at.max(expires_at);
        let sent_at = vote.sent_at;
        candidacy
            .open_votes
            .retain(|request_sent_at, _| *request_sent_at > sent_at);
        newly_acquired
    }

    /// Performs the step that is due, if any. `may_request` is whether this replica may become a candidate; `jitter`,
    /// in microseconds, delays the next request after the lease was lost or not acquired.
    pub fn tick(&mut self, now: i64, may_request: bool, jitter: i64) -> Option<LeaseAction> {
        let wake_at = self.wake_at();
        match &mut self.candidacy {
            Some(candidacy) if candidacy.has_ended(now) => {
                let release = candidacy.release();
                self.candidacy = None;
                let stagger = limits::LEASE_REQUEST_STAGGER * (self.rank + 1);
                self.next_request_at = now + stagger + jitter;
                Some(LeaseAction::Release(release))
            }
            Some(_) if now < self.next_request_at => None,
            Some(candidacy) => {
                self.next_request_at = now + limits::HEARTBEAT_INTERVAL;
                let votes = &mut candidacy.open_votes;
                votes.retain(|sent_at, _| now - sent_at < limits::GRANT_DURATION);
                votes.insert(now, BTreeMap::new());
                Some(LeaseAction::Request(LeaseRequest {
                    term: candidacy.term,
                    sent_at: now,
                    is_renewal: candidacy.lease_expires_at > now,
                }))
            }
            None if !may_request || now < wake_at => None,
            None => Some(LeaseAction::Request(self.become_candidate(now))),
        }
    }

    fn become_candidate(&mut self, now: i64) -> LeaseRequest {
        self.is_resuming_holder = false;
        let term = self.newest_term.max(self.granted_term.number) + 1;
        self.candidacy = Some(Candidacy {
            term,
            requested_at: now,
            lease_expires_at: 0,
            open_votes: BTreeMap::from([(now, BTreeMap::new())]),
        });
        self.next_request_at = now + limits::LEASE_REQUEST_TIMEOUT;
        LeaseRequest {
            term,
            sent_at: now,
            is_renewal: false,
        }
    }

    /// Makes a renewal due at once: the lease was just acquired, and the renewal notifies all replicas of the holder.
    pub fn renew_now(&mut self, now: i64) {
        self.next_request_at = now;
    }

    /// Gives up the lease or candidacy, and does not request it again for [`limits::ROLE_FAILURE_PENALTY`].
    pub fn give_up(&mut self, now: i64) -> Option<LeaseRelease> {
        self.next_request_at = now + limits::ROLE_FAILURE_PENALTY;
        self.candidacy.take().map(|candidacy| candidacy.release())
    }

    /// The time by which [`RoleLease::tick`] must be called.
    pub fn wake_at(&self) -> i64 {
        match &self.candidacy {
            Some(candidacy) if candidacy.lease_expires_at > 0 => {
                self.next_request_at.min(candidacy.lease_expires_at)
            }
            Some(candidacy) => {
                let timeout = candidacy.requested_at + limits::LEASE_REQUEST_TIMEOUT;
                self.next_request_at.min(timeout)
            }
            None if self.is_resuming_holder => self.next_request_at,
            None => {
                let request_at = self.vacant_since + self.rank * limits::LEASE_REQUEST_STAGGER;
                self.next_request_at
                    .max(self.quiet_period_ends_at)
                    .max(request_at)
            }
        }
    }
}

/// The upper bound of the random delay after a lease was lost or not acquired, in microseconds.
const MAX_LEASE_JITTER_US: u64 = 100_000;

impl Replica {
    /// Requests, renews and releases leases as they are due.
    pub(super) fn drive_role_leases(&mut self, now: i64, out: &mut Vec<Output>) {
        let may_request = self.has_quorum_contact
            && self.table.is_participant()
            && !self.is_shutting_down
            && !self.disk.is_full;
        for role in SingletonRole::ALL {
            let jitter = self.random_below(MAX_LEASE_JITTER_US) as i64;
            match self.lease_mut(role).tick(now, may_request, jitter) {
                Some(LeaseAction::Release(release)) => self.release_lease(now, role, release, out),
                Some(LeaseAction::Request(request)) if self.table.is_participant() => {
                    self.request_lease(now, role, request, out)
                }
                Some(LeaseAction::Request(_)) | None => {}
            }
        }
    }

    fn request_lease(
        &mut self,
        now: i64,
        role: SingletonRole,
        request: LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        let payload = Payload::LeaseRequest {
            role,
            term: request.term,
            sent_at: request.sent_at,
            is_renewal: request.is_renewal,
        };
        self.broadcast(payload, out);
        self.handle_lease_request(now, None, self.table.local(), role, request, out);
    }

    fn release_lease(
        &mut self,
        now: i64,
        role: SingletonRole,
        release: LeaseRelease,
        out: &mut Vec<Output>,
    ) {
        let payload = Payload::LeaseRelease {
            role,
            term: release.term,
            is_unused: release.is_unused,
        };
        self.broadcast(payload, out);
        let local = self.table.local();
        self.lease_mut(role).handle_release(now, local, release);
    }

    /// Votes on a request for a lease. `from` is `None` for this replica's own request.
    pub(super) fn handle_lease_request(
        &mut self,
        now: i64,
        from: Option<SocketAddr>,
        process: ProcessId,
        role: SingletonRole,
        request: LeaseRequest,
        out: &mut Vec<Output>,
    ) {
        // A new term must be persisted first; one granted before can be renewed while the disk rejects writes.
        let is_new = request.term > self.lease(role).granted_term().number;
        if self.disk.is_full && is_new {
            return;
        }
        let vote = self.lease_mut(role).handle_request(now, process, request);
        let term = Term {
            number: request.term,
            holder: process,
        };
        let payload = Payload::LeaseVote {
            role,
            term,
            sent_at: request.sent_at,
            is_granted: vote.is_granted,
            newest_term: vote.newest_term,
        };
        if vote.must_persist && !self.disk.is_full {
            // A term must never be granted twice, not even after all replicas are killed at the same time.
            let metadata = Record::Metadata(self.metadata());
            let vote = PendingWrite::SendVote(from, payload);
            self.write(vec![metadata], Some(vote), out);
        } else {
            self.deliver_vote(now, from, payload, out);
        }
    }

    /// Handles a vote on a request of this process.
    pub(super) fn handle_lease_vote(
        &mut self,
        now: i64,
        voter: Voter,
        role: SingletonRole,
        vote: LeaseVote,
        out: &mut Vec<Output>,
    ) {
        let lease = &mut self.role_leases[role as usize];
        if lease.handle_vote(voter, vote, &self.table) {
            lease.renew_now(now);
            let term = vote.term;
            out.push(Output::Log(Event::RoleAcquired { role, term }));
        }
    }

    /// This process failed to perform a role: releases its lease, as another replica may be able to perform it.
    pub(super) fn handle_role_failed(
        &mut self,
        now: i64,
        role: SingletonRole,
        out: &mut Vec<Output>,
    ) {
        if let Some(release) = self.lease_mut(role).give_up(now) {
            self.release_lease(now, role, release, out);
        }
    }

    /// The process was asked to shut down: releases all leases at once, and begins the handover of the chosen items.
    pub(super) fn handle_shutdown(&mut self, now: i64, out: &mut Vec<Output>) {
        self.is_shutting_down = true;
        self.begin_handover(now);
        for role in SingletonRole::ALL {
            self.handle_role_failed(now, role, out);
        }
    }
}

#[cfg(test)]
mod tests;
