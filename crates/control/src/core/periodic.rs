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
use super::{Core, Output, Record};
use crate::limits;

impl Core {
    /// The beat, and what is looked at with it.
    pub(super) fn beat(&mut self, now: i64, out: &mut Vec<Output>) {
        self.look_around(now);
        if self.replicas.aside() {
            return self.tell_who(now, true, out);
        }
        if self.members.expire(now, self.touch) {
            self.spread_members(out);
        }
        let beat = Heartbeat {
            hears: self.replicas.heard(now),
            chosen: self.news.digest(),
            servers: self.listed.version(),
            members: self.members.digest(),
            time: now + self.ahead,
        };
        if self.replicas.takes_part() {
            self.spread(Payload::Heartbeat(beat), out);
            if self.replicas.unsure() {
                self.spread(Payload::ReplicaAddresses(self.replicas.addresses()), out);
            }
        }
        if self.replicas.majority() == 1 {
            // The only replica hears no others' beats.
            self.know(now, out);
        }
        self.tell_who(now, true, out);
    }

    /// A replica's beat: what it knows is compared with what is known here.
    pub(super) fn beaten(
        &mut self,
        now: i64,
        from: SocketAddr,
        replica: ReplicaId,
        beat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        self.look_around(now);
        self.raise(now, beat.time);
        if self.members.confirmed(now, replica, beat.members) {
            self.send(vec![from], Payload::MemberListRequest, out);
        }
        if beat.servers > self.listed.version() && now >= self.next_servers {
            self.next_servers = now + limits::SYNC_REQUEST_INTERVAL;
            self.send(vec![from], Payload::ServerListRequest, out);
        }
        self.matches(now, replica, beat.chosen, out);
        let strikes = self.strikes.entry(replica).or_default();
        *strikes = if beat.chosen == self.news.digest() {
            0
        } else {
            *strikes + 1
        };
        if *strikes >= 2 && now >= self.next_sync && self.replicas.takes_part() {
            *strikes = 0;
            self.next_sync = now + limits::SYNC_REQUEST_INTERVAL;
            self.sync(from, out);
        }
    }

    /// Looks whether this replica is in touch. While it is not, the others may choose what it does not hear of.
    fn look_around(&mut self, now: i64) {
        self.touch = self.replicas.in_touch(now);
        if !self.touch {
            (self.whole, self.matched, self.whole_at) = (false, 0, None);
        }
    }

    /// This process stood still for longer than it may be silent: what it knew of the others is over before it hears them again.
    pub(super) fn stood_still(&mut self, now: i64) {
        self.look_around(now);
        self.members.expire(now, self.touch);
    }

    /// After a start, or out of touch, this replica may know less to be chosen than the others. It knows the whole once more than half know
    /// the same; while items change all the time, after it has been in touch for a while.
    fn matches(&mut self, now: i64, replica: ReplicaId, chosen: u64, out: &mut Vec<Output>) {
        if self.whole || !self.touch {
            return;
        }
        let bit = 1u128 << replica;
        self.matched |= if chosen == self.news.digest() { bit } else { 0 };
        self.know(now, out);
    }

    /// All that a replica knew to be chosen is known here.
    pub(super) fn caught_up(&mut self, now: i64, replica: ReplicaId, out: &mut Vec<Output>) {
        self.matched |= 1 << replica;
        self.know(now, out);
    }

    /// Chosen items are on their way to this replica: it does not know the whole.
    pub(super) fn lags(&mut self, now: i64) {
        self.whole_at = Some(now + limits::CATCH_UP_DURATION);
        // One source at a time.
        self.next_sync = now + limits::SYNC_REQUEST_INTERVAL;
    }

    /// Looks whether this replica knows the whole by now.
    fn know(&mut self, now: i64, out: &mut Vec<Output>) {
        if self.whole || !self.touch {
            return;
        }
        let same = self.matched.count_ones() as usize + 1 >= self.replicas.majority();
        let at = *self.whole_at.get_or_insert(now + limits::CATCH_UP_DURATION);
        if (same && self.unfinished.is_empty()) || now >= at {
            self.whole = true;
            self.tell_whole(out);
        }
    }

    /// What a replica is told that was not heard before.
    pub(super) fn link_up(&self, peer: SocketAddr, out: &mut Vec<Output>) {
        if self.replicas.me().incarnation == Incarnation::NONE {
            return;
        }
        self.send(
            vec![peer],
            Payload::ReplicaAddresses(self.replicas.addresses()),
            out,
        );
        if self.replicas.takes_part() {
            self.send(vec![peer], Payload::MemberList(self.members.list()), out);
        }
    }

    /// The table of replicas has changed.
    pub(super) fn replicas_changed(&mut self, now: i64, out: &mut Vec<Output>) {
        out.push(Output::Peers(self.replicas.peers()));
        if self.replicas.abandoned() {
            // It still has its disk, and so takes no more from the others than it lacks.
            out.push(Output::Log(
                "the newer incarnation of this replica was never ended: rebuilding".to_string(),
            ));
            self.replicas.end();
            self.rebuild = Some(Recovery::holding(self.registers.held()));
            return self.tell_who(now, true, out);
        }
        if self.replicas.aside() {
            out.push(Output::LogImmediately(
                "this replica has a newer incarnation: stepping aside".to_string(),
            ));
            return self.tell_who(now, true, out);
        }
        if self.replicas.takes_part() {
            self.write(vec![Record::Metadata(self.own())], None, out);
            self.spread(Payload::ReplicaAddresses(self.replicas.addresses()), out);
        }
    }

    /// A replica with an empty disk begins an incarnation: it is written down here before that is said.
    pub(super) fn record(
        &mut self,
        from: SocketAddr,
        replica: ReplicaId,
        incarnation: Incarnation,
        question: TransferRequest,
        out: &mut Vec<Output>,
    ) {
        if !self.replicas.takes_part() || replica == self.replicas.me().replica || self.full {
            return;
        }
        // It learns where the others are; and of a newer incarnation, after which it wants one.
        self.link_up(from, out);
        if incarnation < self.replicas.newest(replica) {
            return;
        }
        if self.replicas.learn(replica, incarnation, Some(from)) {
            out.push(Output::LogImmediately(format!(
                "replica {replica} begins incarnation {} at {from}",
                incarnation.number
            )));
            out.push(Output::Peers(self.replicas.peers()));
            self.spread(Payload::ReplicaAddresses(self.replicas.addresses()), out);
        }
        self.write(
            vec![Record::Metadata(self.own())],
            Some(PendingWrite::Recorded(from, incarnation, question)),
            out,
        );
    }

    /// A replica that has rebuilt nothing yet asks on.
    pub(super) fn rebuild_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        let mark = self.draw(1 << 32) as u32;
        let me = self.replicas.me().replica;
        let newest = self.replicas.newest(me);
        let Some(rebuild) = self.rebuild.as_mut().filter(|rebuild| !rebuild.written) else {
            return;
        };
        if newest > rebuild.incarnation || rebuild.incarnation == Incarnation::NONE {
            rebuild.choose(newest, mark);
        }
        if now >= rebuild.wake {
            rebuild.wake = now + limits::RECOVERY_REQUEST_INTERVAL;
            let (incarnation, to_ask) = (rebuild.incarnation, rebuild.to_ask(&self.replicas));
            for (to, question) in to_ask {
                self.send(
                    vec![to],
                    Payload::IncarnationRequest {
                        incarnation,
                        question,
                    },
                    out,
                );
            }
        }
    }

    /// An answer to a replica that rebuilds.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn recorded(
        &mut self,
        now: i64,
        (from, by): (SocketAddr, (ReplicaId, Incarnation)),
        incarnation: Incarnation,
        floor: Ballot,
        piece: Chunk,
        terms: &[Term],
        out: &mut Vec<Output>,
    ) {
        let Some(rebuild) = self.rebuild.as_mut().filter(|rebuild| !rebuild.written) else {
            return;
        };
        if rebuild.incarnation != incarnation {
            return;
        }
        match rebuild.answered(now, by, (floor, terms), piece, &self.replicas) {
            RecoveryStep::Nothing => return,
            RecoveryStep::Ask(question) => {
                return self.send(
                    vec![from],
                    Payload::IncarnationRequest {
                        incarnation,
                        question,
                    },
                    out,
                );
            }
            RecoveryStep::Enough => {}
        }
        rebuild.written = true;
        self.registers.raise(rebuild.floor);
        for (ballot, item) in rebuild.found.values() {
            self.registers.adopt(*ballot, item);
        }
        for (duty, term) in self.duties.iter_mut().zip(&rebuild.terms) {
            duty.adopt(*term);
        }
        self.round = self.round.max(rebuild.floor.round);
        let registers = self.registers.all();
        let mut rows: Vec<Record> = registers
            .map(|(name, register)| Record::Register(name.clone(), register.clone()))
            .collect();
        let mut own = self.own();
        own.incarnation = incarnation;
        own.incarnations[usize::from(self.replicas.me().replica)] = incarnation;
        rows.push(Record::Metadata(own));
        self.write(rows, Some(PendingWrite::BeginIncarnation(incarnation)), out);
    }

    /// All that was rebuilt is on disk.
    pub(super) fn begin(&mut self, now: i64, incarnation: Incarnation, out: &mut Vec<Output>) {
        let me = self.replicas.me().replica;
        self.rebuild = None;
        if self.replicas.newest(me) > incarnation {
            // Another one has begun a newer incarnation meanwhile: this one is set aside as it begins.
            let newer = self.replicas.newest(me);
            self.replicas.begin(incarnation);
            self.replicas.learn(me, newer, None);
            return self.replicas_changed(now, out);
        }
        self.replicas.begin(incarnation);
        let count = self.replicas.count();
        let me = self.replicas.me();
        self.duties = SingletonRole::ALL.map(|duty| {
            let term = self.duties[duty as usize].term();
            RoleLease::new(duty, me, count, (term, Term::default()), now)
        });
        let names: Vec<_> = self
            .registers
            .held()
            .map(|(_, item)| item.name.clone())
            .collect();
        names.iter().for_each(|name| self.settle(now, name));
        if self.stopping {
            // It was told to end while it had nothing to hand over; now it has.
            self.begin_handover(now);
        }
        out.push(Output::LogImmediately(format!(
            "rebuilt: incarnation {}, {} items",
            incarnation.number,
            names.len()
        )));
        self.replicas_changed(now, out);
        self.spread_members(out);
        self.next_beat = now;
        // What is chosen comes from any of them.
        if let Some(first) = self.replicas.rest().first() {
            self.sync(*first, out);
        }
    }

    /// A replica has told whom it holds.
    pub(super) fn members_told(
        &mut self,
        now: i64,
        replica: ReplicaId,
        list: Vec<Member>,
        out: &mut Vec<Output>,
    ) {
        if self.members.told(now, replica, list) {
            self.spread_members(out);
        }
    }

    /// A replica has told what has changed of whom it holds.
    pub(super) fn members_moved(
        &mut self,
        now: i64,
        from: SocketAddr,
        replica: ReplicaId,
        moved: MembershipDelta,
        out: &mut Vec<Output>,
    ) {
        match self.members.moved(now, replica, moved) {
            Some(true) => self.spread_members(out),
            Some(false) => {}
            // Something before it was missed.
            None => self.send(vec![from], Payload::MemberListRequest, out),
        }
    }

    /// Tells the other replicas what has changed of whom this one holds.
    pub(super) fn spread_members(&mut self, out: &mut Vec<Output>) {
        if let Some(moved) = self.members.news() {
            self.spread(Payload::MembershipDelta(moved), out);
        }
    }

    /// The platform's list goes to a replica.
    pub(super) fn send_servers(&self, now: i64, to: SocketAddr, out: &mut Vec<Output>) {
        if self.listed.known() {
            let body = Payload::ServerList {
                version: self.listed.version(),
                servers: self.listed.list(now),
            };
            self.send(vec![to], body, out);
        }
    }

    /// The platform's list was read here.
    pub(super) fn platform_read(&mut self, now: i64, servers: Vec<Server>, out: &mut Vec<Output>) {
        let held = self
            .holds(now, SingletonRole::PlatformPoller)
            .filter(|term| *term >= self.listed.version().0);
        let news = match held {
            Some(term) => self.listed.read(now, term, servers),
            None => self.asks_first() && self.listed.told(now, server_list::FIRST, servers),
        };
        if news {
            let body = Payload::ServerList {
                version: self.listed.version(),
                servers: self.listed.list(now),
            };
            self.spread(body, out);
            self.tell_servers(now, out);
        }
    }

    /// This replica is one of the two on which duties land first, has been here before, and knows no list. After all have lost
    /// power proxies can serve nothing until they have one: it is asked for before anybody has the duty.
    fn asks_first(&self) -> bool {
        let early = self.duties.iter().any(RoleLease::ranks_first);
        let before = self.duties.iter().any(|duty| duty.term().number > 0);
        early && before && !self.listed.known() && self.replicas.takes_part() && !self.stopping
    }

    /// This replica asks the platform for its list.
    pub fn polls(&self, now: i64) -> bool {
        self.holds(now, SingletonRole::PlatformPoller).is_some() || self.asks_first()
    }

    /// Bids, renewals, and what is given back.
    pub(super) fn duties_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        let may = self.touch && self.replicas.takes_part() && !self.stopping && !self.full;
        for duty in SingletonRole::ALL {
            let pause = self.draw(100_000) as i64;
            let (bid, lost) = self.duties[duty as usize].turn(now, may, pause);
            if let Some(lost) = lost {
                self.give_back(now, duty, lost, out);
            }
            if let Some(bid) = bid.filter(|_| self.replicas.takes_part()) {
                let body = Payload::LeaseRequest {
                    duty,
                    term: bid.term,
                    at: bid.at,
                    holds: bid.holds,
                };
                self.spread(body, out);
                let me = self.replicas.me();
                self.bid(now, None, me, duty, bid.term, (bid.at, bid.holds), out);
            }
        }
    }

    fn give_back(
        &mut self,
        now: i64,
        duty: SingletonRole,
        lost: LeaseRelease,
        out: &mut Vec<Output>,
    ) {
        let LeaseRelease { term, vain } = lost;
        self.spread(Payload::LeaseRelease { duty, term, vain }, out);
        let me = self.replicas.me();
        self.duties[duty as usize].released(now, me, term, vain);
    }

    /// Votes on a bid. Without an address it is this replica's own.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn bid(
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
        if self.full && term > self.duties[duty as usize].term().number {
            return;
        }
        let verdict = self.duties[duty as usize].vote(now, by, term, holds);
        let granted = verdict.granted;
        let body = Payload::LeaseVote {
            duty,
            term: Term { number: term, by },
            at,
            granted,
            newest: verdict.newest,
        };
        if verdict.save && !self.full {
            // A term must never be granted twice, not even after all were killed at once.
            self.write(
                vec![Record::Metadata(self.own())],
                Some(PendingWrite::Vote(from, body)),
                out,
            );
        } else {
            self.send_to_peer(now, from, body, out);
        }
    }

    /// A vote on a bid of this replica.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub(super) fn voted(
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
        if term.by != self.replicas.me() {
            return;
        }
        let term = term.number;
        let verdict = Vote {
            granted,
            save: false,
            newest,
        };
        let ballots = &mut self.duties[duty as usize];
        if ballots.voted(by, term, at, verdict, &self.replicas) {
            ballots.announce(now);
            out.push(Output::Log(format!("won the duty {duty:?}, term {term}")));
        }
    }

    /// The process is to end: duties go back at once, and what it holds is handed over.
    pub(super) fn stop(&mut self, now: i64, out: &mut Vec<Output>) {
        self.stopping = true;
        self.begin_handover(now);
        SingletonRole::ALL
            .into_iter()
            .for_each(|duty| self.unable(now, duty, out));
    }

    /// A duty goes back: another replica may do better.
    pub(super) fn unable(&mut self, now: i64, duty: SingletonRole, out: &mut Vec<Output>) {
        if let Some(lost) = self.duties[duty as usize].release(now) {
            self.give_back(now, duty, lost, out);
        }
    }
}
