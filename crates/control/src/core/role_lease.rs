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
    pub at: i64,
    /// The bidder holds the duty.
    pub holds: bool,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The bid is granted.
    pub granted: bool,
    /// The term is new here, or is seen to be held for the first time: it goes to disk before the answer goes out.
    pub save: bool,
    /// Newest term here.
    pub newest: u64,
}

/// A term that is given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRelease {
    /// The term.
    pub term: u64,
    /// It was never won.
    pub vain: bool,
}

#[derive(Clone, Debug)]
struct Candidacy {
    term: u64,
    since: i64,
    /// Acts until then; nothing while it is won by nobody.
    until: i64,
    /// Rounds of votes that are open, by when their bids were sent.
    rounds: BTreeMap<i64, BTreeMap<ReplicaId, Incarnation>>,
}

/// One duty, as a replica sees it.
#[derive(Clone, Debug)]
pub struct RoleLease {
    rank: i64,
    /// Newest term that this replica has granted.
    term: Term,
    /// It was given back by a bidder that had not won it: nobody ever holds it.
    vain: bool,
    /// The newest one before it that was not in vain.
    before: Term,
    /// The newest term that was seen to be held by its bidder, as it is on disk.
    kept: Term,
    /// The term that is granted now...
    holds: Term,
    /// ...until then.
    granted: i64,
    mine: Option<Candidacy>,
    /// The holder as it says itself, and until when that holds.
    holder: Option<(Term, i64)>,
    /// Newest term that was heard of.
    newest: u64,
    /// The duty fell vacant then, as far as known.
    free: i64,
    /// No bid before then.
    next: i64,
    /// Nothing is granted before then but to whom it was granted last: what this replica granted before it started may still
    /// hold, where that matters.
    quiet: i64,
    /// This replica held the duty as it ended, and bids for it ahead of all others.
    again: bool,
}

/// The same process, or one that was started after it had ended.
fn follows(by: ProcessId, before: ProcessId) -> bool {
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
            && follows(me, kept.by);
        RoleLease {
            rank: rank as i64,
            term,
            vain: false,
            before: Term::default(),
            kept,
            holds: term,
            granted: i64::MIN,
            mine: None,
            holder: None,
            newest: term.number,
            free: quiet,
            next: if again {
                now + limits::STARTUP_DELAY
            } else {
                quiet
            },
            quiet,
            again,
        }
    }

    /// This replica bids before all others.
    pub fn ranks_first(&self) -> bool {
        self.rank == 0
    }

    /// Newest term that was granted.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Newest term that was seen to be held.
    pub fn kept(&self) -> Term {
        self.kept
    }

    /// Takes in what another replica has granted, in place of what was lost.
    pub fn adopt(&mut self, term: Term) {
        if term > self.term {
            (self.term, self.vain) = (term, false);
        }
        self.newest = self.newest.max(self.term.number);
    }

    /// Votes on a bid.
    pub fn vote(&mut self, now: i64, by: ProcessId, term: u64, holds: bool) -> Vote {
        let wanted = Term { number: term, by };
        self.newest = self.newest.max(term);
        // What this replica has granted itself does not matter here: it may have bid in vain while it did not hear the holder.
        if holds && self.holder.is_none_or(|(known, _)| known <= wanted) {
            self.holder = Some((wanted, now + limits::GRANT_DURATION));
            self.free = self.free.max(now + limits::GRANT_DURATION);
        }
        let other = self.granted > now && !follows(by, self.holds.by);
        let fresh = term > self.term.number;
        // Danger: a replica that hears the holder no more grants itself a newer term in vain. Were the holder's own refused
        // for that afterwards, a few of those would cost it the duty.
        let known = wanted == if self.vain { self.before } else { self.term };
        let kept = self.kept.number > 0 && self.kept == self.term && follows(by, self.kept.by);
        let same = kept || self.granted > now && follows(by, self.holds.by);
        let granted = (now >= self.quiet || same) && !other && (fresh || known);
        if granted && fresh {
            self.before = if self.vain { self.before } else { self.term };
            (self.term, self.vain) = (wanted, false);
        }
        if granted {
            self.holds = wanted;
            self.granted = now + limits::GRANT_DURATION;
            self.free = self.free.max(self.granted);
        }
        let held = granted && holds && self.kept != wanted;
        self.kept = if held { wanted } else { self.kept };
        Vote {
            granted,
            save: granted && (fresh || held),
            newest: self.newest,
        }
    }

    /// A bidder or holder gives its term back. `vain`: it never won it, and never will.
    pub fn released(&mut self, now: i64, by: ProcessId, term: u64, vain: bool) {
        let wanted = Term { number: term, by };
        if self.holds == wanted {
            self.granted = now;
        }
        self.vain |= self.term == wanted && vain;
        if let Some((_, until)) = self.holder.as_mut().filter(|(held, _)| *held == wanted) {
            *until = now;
        }
        if self.granted <= now && self.holder(now).is_none() {
            self.free = now;
        }
    }

    /// This replica acts now, in this term.
    pub fn held(&self, now: i64) -> Option<u64> {
        self.mine
            .as_ref()
            .filter(|mine| mine.until > now)
            .map(|mine| mine.term)
    }

    /// It holds the duty, or bids for it.
    pub fn bids(&self) -> bool {
        self.mine.is_some()
    }

    /// The holder, as far as known.
    pub fn holder(&self, now: i64) -> Option<Term> {
        self.holder
            .filter(|(_, until)| *until > now)
            .map(|(term, _)| term)
    }

    /// A vote has come. Gives whether the duty was won by it.
    pub fn voted(
        &mut self,
        by: (ReplicaId, Incarnation),
        term: u64,
        at: i64,
        verdict: Vote,
        replicas: &ReplicaTable,
    ) -> bool {
        self.newest = self.newest.max(verdict.newest);
        let Some(mine) = self
            .mine
            .as_mut()
            .filter(|mine| mine.term == term && verdict.granted)
        else {
            return false;
        };
        let Some(votes) = mine.rounds.get_mut(&at) else {
            return false;
        };
        votes.insert(by.0, by.1);
        if votes
            .iter()
            .filter(|(replica, incarnation)| replicas.counts(**replica, **incarnation))
            .count()
            < replicas.majority()
        {
            return false;
        }
        let won = mine.until == 0;
        mine.until = mine
            .until
            .max(at + limits::GRANT_DURATION - limits::GRANT_SAFETY_MARGIN);
        mine.rounds.retain(|sent, _| *sent > at);
        won
    }

    /// What to do now: a bid, a term to be given back, or nothing. `may`: this replica takes part, is in touch and stays.
    pub fn turn(
        &mut self,
        now: i64,
        may: bool,
        pause: i64,
    ) -> (Option<LeaseRequest>, Option<LeaseRelease>) {
        if let Some(mine) = &mut self.mine {
            let lost = mine.until <= now
                && (mine.until > 0 || now >= mine.since + limits::LEASE_REQUEST_TIMEOUT);
            if lost {
                let lost = LeaseRelease {
                    term: mine.term,
                    vain: mine.until == 0,
                };
                self.mine = None;
                self.next = now + limits::LEASE_REQUEST_STAGGER * (self.rank + 1) + pause;
                return (None, Some(lost));
            }
            if now < self.next {
                return (None, None);
            }
            self.next = now + limits::HEARTBEAT_INTERVAL;
            mine.rounds
                .retain(|sent, _| now - sent < limits::GRANT_DURATION);
            mine.rounds.insert(now, BTreeMap::new());
            return (
                Some(LeaseRequest {
                    term: mine.term,
                    at: now,
                    holds: mine.until > now,
                }),
                None,
            );
        }
        if !may || now < self.wake() {
            return (None, None);
        }
        self.again = false;
        let term = self.newest.max(self.term.number) + 1;
        let rounds = BTreeMap::from([(now, BTreeMap::new())]);
        self.mine = Some(Candidacy {
            term,
            since: now,
            until: 0,
            rounds,
        });
        self.next = now + limits::LEASE_REQUEST_TIMEOUT;
        (
            Some(LeaseRequest {
                term,
                at: now,
                holds: false,
            }),
            None,
        )
    }

    /// The bid has just won: all are told at once.
    pub fn announce(&mut self, now: i64) {
        self.next = now;
    }

    /// Gives the duty back.
    pub fn release(&mut self, now: i64) -> Option<LeaseRelease> {
        self.next = now + limits::ROLE_FAILURE_PENALTY;
        self.mine.take().map(|mine| LeaseRelease {
            term: mine.term,
            vain: mine.until == 0,
        })
    }

    /// To be looked at then.
    pub fn wake(&self) -> i64 {
        match &self.mine {
            Some(mine) if mine.until > 0 => self.next.min(mine.until),
            Some(mine) => self.next.min(mine.since + limits::LEASE_REQUEST_TIMEOUT),
            None if self.again => self.next,
            None => self
                .next
                .max(self.quiet)
                .max(self.free + self.rank * limits::LEASE_REQUEST_STAGGER),
        }
    }
}

/// A ballot needs its number to rise over all that were seen.
pub fn over(seen: Ballot, own: u64) -> u64 {
    seen.round.max(own) + 1
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const STEP: i64 = limits::GRANT_DURATION + 1;

    fn by(replica: ReplicaId) -> ProcessId {
        ProcessId {
            replica,
            incarnation: Incarnation::FIRST,
            run: 1,
        }
    }

    #[test]
    fn a_term_in_vain_costs_the_holder_no_vote_and_one_that_may_be_won_does() {
        let voter = || RoleLease::new(SingletonRole::Counter, by(1), 6, Default::default(), 0);
        let mut ballots = voter();
        assert!(ballots.vote(STEP, by(0), 4, false).granted);
        // The holder is heard no more; this replica bids, does not win, and hears the holder again.
        assert!(ballots.vote(3 * STEP, by(1), 5, false).granted);
        assert!(
            !ballots.vote(3 * STEP + 1, by(0), 4, true).granted,
            "while the bid is open"
        );
        ballots.released(3 * STEP + 2, by(1), 5, true);
        assert!(ballots.vote(3 * STEP + 3, by(0), 4, true).granted);
        // The number is used up all the same, and one bid after the other changes nothing.
        assert!(!ballots.vote(6 * STEP, by(2), 5, false).granted);
        assert!(ballots.vote(6 * STEP, by(2), 6, false).granted);
        ballots.released(6 * STEP, by(2), 6, true);
        assert!(ballots.vote(6 * STEP + 1, by(0), 4, true).granted);

        // Of a term that is only over, or was given back after it was won, nobody knows that it was in vain.
        for released in [false, true] {
            let mut ballots = voter();
            assert!(
                ballots.vote(STEP, by(0), 4, false).granted
                    && ballots.vote(3 * STEP, by(1), 5, false).granted
            );
            if released {
                ballots.released(3 * STEP, by(1), 5, false);
            }
            assert!(!ballots.vote(6 * STEP, by(0), 4, true).granted);
        }
    }

    /// Who asks a voter that has just started, and whether it may grant before its own earlier grants are surely over. `seen`:
    /// the newest term, of replica 3 in its second run, was seen to be held.
    #[test_case(true, 3, 1, 2, true; "the same process")]
    #[test_case(true, 3, 1, 3, true; "the same replica, started anew")]
    #[test_case(true, 3, 1, 1, false; "a process that has ended")]
    #[test_case(true, 3, 2, 1, false; "another machine in its place")]
    #[test_case(true, 4, 1, 9, false; "another replica")]
    #[test_case(false, 3, 1, 3, false; "a bid that may have been in vain while another one held the duty")]
    fn a_voter_that_started_anew_grants_at_once_to_nobody_but_the_last_holder(
        seen: bool,
        replica: ReplicaId,
        incarnation: u32,
        run: u32,
        granted: bool,
    ) {
        let held = Term {
            number: 7,
            by: ProcessId { run: 2, ..by(3) },
        };
        let kept = if seen {
            held
        } else {
            Term { number: 6, ..held }
        };
        let mut voter = RoleLease::new(SingletonRole::Counter, by(1), 6, (held, kept), 0);
        let bidder = ProcessId {
            replica,
            incarnation: Incarnation {
                number: incarnation,
                ..Incarnation::FIRST
            },
            run,
        };
        assert_eq!(
            voter.vote(limits::STARTUP_DELAY, bidder, 8, false).granted,
            granted
        );
        assert_eq!(
            voter
                .vote(limits::STARTUP_DELAY + 1, bidder, 8, true)
                .granted,
            granted,
            "and then holds it"
        );
        // The others have their turn as its grant ends, or as those do that it may have forgotten.
        assert_eq!(
            voter.vote(limits::GRANT_DURATION, by(5), 9, false).granted,
            !granted
        );
    }
}
