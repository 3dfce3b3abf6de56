//! Duties that one replica does for all: won by a round of ballots each time one falls vacant, and held while more than
//! half of the replicas go on granting it.
//!
//! A grant lasts a fixed time at the voter, counted from the bid's arrival; the holder counts from when it sent the bid,
//! and stops earlier. So at any instant at most one holder acts, with no clock compared to another.
//!
//! A voter that has started anew does not know how long its last grant goes on, but by its disk to whom it can be: to the
//! newest term's bidder and to nobody else, if that one was seen to hold the duty. The same replica gets it again at once: what
//! held it before is the same process, or one that has ended.

use std::collections::BTreeMap;

use super::peer_messages::{Ballot, Incarnation, ProcessId, ReplicaId, SingletonRole, Term};
use super::replicas::ReplicaTable;
use crate::limits;

/// A bid that wants to be sent to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The term.
    pub term: u64,
    /// When it is sent.
    pub sent_at: i64,
    /// The bidder holds the duty.
    pub renewal: bool,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The bid is granted.
    pub granted: bool,
    /// The term is new here, or is seen to be held for the first time: it goes to disk before the answer goes out.
    pub must_persist: bool,
    /// Newest term here.
    pub newest_term: u64,
}

/// A term that is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRelease {
    /// The term.
    pub term: u64,
    /// It was never won.
    pub unused: bool,
}

#[derive(Clone, Debug)]
struct Candidacy {
    term: u64,
    requested_at: i64,
    /// Acts until then; nothing while it is won by nobody.
    acts_until: i64,
    /// Rounds of votes that are open, by when their bids were sent.
    open_votes: BTreeMap<i64, BTreeMap<ReplicaId, Incarnation>>,
}

/// One duty, as a replica sees it.
#[derive(Clone, Debug)]
pub struct RoleLease {
    rank: i64,
    /// Newest term that this replica has granted.
    granted_term: Term,
    /// It was given back by a bidder that had not won it: nobody ever holds it.
    unused: bool,
    /// The newest one before it that was not in vain.
    previous_term: Term,
    /// The newest term that was seen to be held by its bidder, as it is on disk.
    last_held_term: Term,
    /// The term that is granted now...
    current_grant: Term,
    /// ...until then.
    grant_expires_at: i64,
    candidacy: Option<Candidacy>,
    /// The holder as it says itself, and until when that holds.
    known_holder: Option<(Term, i64)>,
    /// Newest term that was heard of.
    newest_term: u64,
    /// The duty fell vacant then, as far as known.
    vacant_since: i64,
    /// No bid before then.
    next_request_at: i64,
    /// Nothing is granted before then but to whom it was granted last: what this replica granted before it started may still
    /// hold, where that matters.
    silent_until: i64,
    /// This replica held the duty as it ended, and bids for it ahead of all others.
    resumes: bool,
}

/// The same process, or one that was started after it had ended.
fn is_same_or_successor(by: ProcessId, before: ProcessId) -> bool {
    (by.replica, by.incarnation) == (before.replica, before.incarnation) && by.run >= before.run
}

impl RoleLease {
    /// Of a replica that starts now, or takes part from now on. `term`, `kept`: the newest that it has granted, and the newest
    /// that it has seen to be held, as they are on its disk.
    pub fn new(
        duty: SingletonRole,
        me: ProcessId,
        replicas: usize,
        (term, kept): (Term, Term),
        now: i64,
    ) -> RoleLease {
        // The two duties begin at opposite replicas, so that they normally land on different ones.
        let first = match duty {
            SingletonRole::PlatformPoller => 0,
            SingletonRole::Counter => replicas / 2,
        };
        let rank = (usize::from(me.replica) + replicas - first) % replicas;
        // Two that poll for a moment harm nobody, as lists are ordered by their terms; two that count would.
        let quiet = now
            + if duty == SingletonRole::PlatformPoller {
                limits::STARTUP_DELAY
            } else {
                limits::GRANT_DURATION
            };
        let again = duty == SingletonRole::Counter
            && kept.number > 0
            && kept == term
            && is_same_or_successor(me, kept.holder);
        RoleLease {
            rank: rank as i64,
            granted_term: term,
            unused: false,
            previous_term: Term::default(),
            last_held_term: kept,
            current_grant: term,
            grant_expires_at: i64::MIN,
            candidacy: None,
            known_holder: None,
            newest_term: term.number,
            vacant_since: quiet,
            next_request_at: if again {
                now + limits::STARTUP_DELAY
            } else {
                quiet
            },
            silent_until: quiet,
            resumes: again,
        }
    }

    /// This replica bids before all others.
    pub fn ranks_first(&self) -> bool {
        self.rank == 0
    }

    /// Newest term that was granted.
    pub fn granted_term(&self) -> Term {
        self.granted_term
    }

    /// Newest term that was seen to be held.
    pub fn last_held_term(&self) -> Term {
        self.last_held_term
    }

    /// Takes in what another replica has granted, in place of what was lost.
    pub fn adopt(&mut self, term: Term) {
        if term > self.granted_term {
            (self.granted_term, self.unused) = (term, false);
        }
        self.newest_term = self.newest_term.max(self.granted_term.number);
    }

    /// Votes on a bid.
    pub fn handle_request(&mut self, now: i64, by: ProcessId, term: u64, holds: bool) -> Vote {
        let wanted = Term {
            number: term,
            holder: by,
        };
        self.newest_term = self.newest_term.max(term);
        // What this replica has granted itself does not matter here: it may have bid in vain while it did not hear the holder.
        if holds && self.known_holder.is_none_or(|(known, _)| known <= wanted) {
            self.known_holder = Some((wanted, now + limits::GRANT_DURATION));
            self.vacant_since = self.vacant_since.max(now + limits::GRANT_DURATION);
        }
        let other =
            self.grant_expires_at > now && !is_same_or_successor(by, self.current_grant.holder);
        let fresh = term > self.granted_term.number;
        // Danger: a replica that hears the holder no more grants itself a newer term in vain. Were the holder's own refused
        // for that afterwards, a few of those would cost it the duty.
        let known = wanted
            == if self.unused {
                self.previous_term
            } else {
                self.granted_term
            };
        let kept = self.last_held_term.number > 0
            && self.last_held_term == self.granted_term
            && is_same_or_successor(by, self.last_held_term.holder);
        let same = kept
            || self.grant_expires_at > now && is_same_or_successor(by, self.current_grant.holder);
        let granted = (now >= self.silent_until || same) && !other && (fresh || known);
        if granted && fresh {
            self.previous_term = if self.unused {
                self.previous_term
            } else {
                self.granted_term
            };
            (self.granted_term, self.unused) = (wanted, false);
        }
        if granted {
            self.current_grant = wanted;
            self.grant_expires_at = now + limits::GRANT_DURATION;
            self.vacant_since = self.vacant_since.max(self.grant_expires_at);
        }
        let held = granted && holds && self.last_held_term != wanted;
        self.last_held_term = if held { wanted } else { self.last_held_term };
        Vote {
            granted,
            must_persist: granted && (fresh || held),
            newest_term: self.newest_term,
        }
    }

    /// A bidder or holder gives its term back. `vain`: it never won it, and never will.
    pub fn handle_release(&mut self, now: i64, by: ProcessId, term: u64, vain: bool) {
        let wanted = Term {
            number: term,
            holder: by,
        };
        if self.current_grant == wanted {
            self.grant_expires_at = now;
        }
        self.unused |= self.granted_term == wanted && vain;
        if let Some((_, until)) = self
            .known_holder
            .as_mut()
            .filter(|(held, _)| *held == wanted)
        {
            *until = now;
        }
        if self.grant_expires_at <= now && self.known_holder(now).is_none() {
            self.vacant_since = now;
        }
    }

    /// This replica acts now, in this term.
    pub fn acting_term(&self, now: i64) -> Option<u64> {
        self.candidacy
            .as_ref()
            .filter(|mine| mine.acts_until > now)
            .map(|mine| mine.term)
    }

    /// It holds the duty, or bids for it.
    pub fn is_candidate(&self) -> bool {
        self.candidacy.is_some()
    }

    /// The holder, as far as known.
    pub fn known_holder(&self, now: i64) -> Option<Term> {
        self.known_holder
            .filter(|(_, until)| *until > now)
            .map(|(term, _)| term)
    }

    /// A vote has come. Gives whether the duty was won by it.
    pub fn handle_vote(
        &mut self,
        by: (ReplicaId, Incarnation),
        term: u64,
        at: i64,
        verdict: Vote,
        replicas: &ReplicaTable,
    ) -> bool {
        self.newest_term = self.newest_term.max(verdict.newest_term);
        let Some(mine) = self
            .candidacy
            .as_mut()
            .filter(|mine| mine.term == term && verdict.granted)
        else {
            return false;
        };
        let Some(votes) = mine.open_votes.get_mut(&at) else {
            return false;
        };
        votes.insert(by.0, by.1);
        if votes
            .iter()
            .filter(|(replica, incarnation)| replicas.is_current(**replica, **incarnation))
            .count()
            < replicas.quorum()
        {
            return false;
        }
        let won = mine.acts_until == 0;
        mine.acts_until = mine
            .acts_until
            .max(at + limits::GRANT_DURATION - limits::GRANT_SAFETY_MARGIN);
        mine.open_votes.retain(|sent, _| *sent > at);
        won
    }

    /// What to do now: a bid, a term to be given back, or nothing. `may`: this replica takes part, is in touch and stays.
    pub fn tick(
        &mut self,
        now: i64,
        may: bool,
        pause: i64,
    ) -> (Option<LeaseRequest>, Option<LeaseRelease>) {
        if let Some(mine) = &mut self.candidacy {
            let lost = mine.acts_until <= now
                && (mine.acts_until > 0
                    || now >= mine.requested_at + limits::LEASE_REQUEST_TIMEOUT);
            if lost {
                let lost = LeaseRelease {
                    term: mine.term,
                    unused: mine.acts_until == 0,
                };
                self.candidacy = None;
                self.next_request_at =
                    now + limits::LEASE_REQUEST_STAGGER * (self.rank + 1) + pause;
                return (None, Some(lost));
            }
            if now < self.next_request_at {
                return (None, None);
            }
            self.next_request_at = now + limits::HEARTBEAT_INTERVAL;
            mine.open_votes
                .retain(|sent, _| now - sent < limits::GRANT_DURATION);
            mine.open_votes.insert(now, BTreeMap::new());
            return (
                Some(LeaseRequest {
                    term: mine.term,
                    sent_at: now,
                    renewal: mine.acts_until > now,
                }),
                None,
            );
        }
        if !may || now < self.wake_at() {
            return (None, None);
        }
        self.resumes = false;
        let term = self.newest_term.max(self.granted_term.number) + 1;
        let rounds = BTreeMap::from([(now, BTreeMap::new())]);
        self.candidacy = Some(Candidacy {
            term,
            requested_at: now,
            acts_until: 0,
            open_votes: rounds,
        });
        self.next_request_at = now + limits::LEASE_REQUEST_TIMEOUT;
        (
            Some(LeaseRequest {
                term,
                sent_at: now,
                renewal: false,
            }),
            None,
        )
    }

    /// The bid has just won: all are told at once.
    pub fn renew_now(&mut self, now: i64) {
        self.next_request_at = now;
    }

    /// Gives the duty back.
    pub fn give_up(&mut self, now: i64) -> Option<LeaseRelease> {
        self.next_request_at = now + limits::ROLE_FAILURE_PENALTY;
        self.candidacy.take().map(|mine| LeaseRelease {
            term: mine.term,
            unused: mine.acts_until == 0,
        })
    }

    /// To be looked at then.
    pub fn wake_at(&self) -> i64 {
        match &self.candidacy {
            Some(mine) if mine.acts_until > 0 => self.next_request_at.min(mine.acts_until),
            Some(mine) => self
                .next_request_at
                .min(mine.requested_at + limits::LEASE_REQUEST_TIMEOUT),
            None if self.resumes => self.next_request_at,
            None => self
                .next_request_at
                .max(self.silent_until)
                .max(self.vacant_since + self.rank * limits::LEASE_REQUEST_STAGGER),
        }
    }
}

/// A ballot needs its number to rise over all that were seen.
pub fn next_round(seen: Ballot, own: u64) -> u64 {
    seen.round.max(own) + 1
}

#[cfg(test)]
mod tests;
