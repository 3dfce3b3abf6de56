//! The control state of one replica: deterministic, without I/O. Messages, times and disk results go in; messages, times
//! and disk writes come out.
//!
//! Each concern has a module of its own: [`replicas`] who holds each replica, [`registers`] and [`rounds`] how items are
//! agreed on, [`duties`] what one replica does for all, [`members`] the edges' leases, [`count`] the shared count, [`news`]
//! what is chosen, [`servers`] the platform's list, [`repair`] what was lost or left undone, `handover` how one leaves.

mod agents;
mod agreement;
mod anti_entropy;
pub mod chosen;
pub mod counter;
mod handover;
mod load_aggregation;
pub mod membership;
mod outbox;
pub mod peer_messages;
mod periodic;
pub mod proposal;
mod reclaim;
pub mod recovery;
pub mod registers;
pub mod replicas;
pub mod role_lease;
pub mod server_list;
pub mod status;
pub mod transfer;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dataplane::clock::FIRST;
use protocol::items::{Item, ItemName};
use protocol::messages::{AgentMessage, ControlMessage};
use protocol::platform::Server;
use serde::{Deserialize, Serialize};

use self::agents::AgentLinks;
use self::agreement::QuorumRead;
use self::anti_entropy::DigestExchange;
use self::chosen::ChosenItems;
use self::counter::SharedCounter;
use self::handover::Handover;
use self::load_aggregation::LoadAggregation;
use self::membership::Membership;
use self::outbox::PendingWrite;
use self::peer_messages::{
    Ballot, Incarnation, Member, Payload, PeerMessage, ProcessId, ReplicaId, SingletonRole, Term,
};
use self::proposal::Proposal;
use self::reclaim::Superseded;
use self::recovery::{PendingProposals, Recovery};
use self::registers::{Register, Registers};
use self::replicas::ReplicaTable;
use self::role_lease::RoleLease;
use self::server_list::ServerList;
use self::transfer::TransferLimits;
use crate::limits;
use crate::operator_api::{Command, Reply};

/// What a replica writes down about itself and the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// Its incarnation; none while it has not rebuilt.
    pub incarnation: Incarnation,
    /// Starts of its process in this incarnation.
    pub run: u32,
    /// The floor under all promises.
    pub floor: Ballot,
    /// Newest term of each duty that it has granted; behind these the newest of each that it has seen to be held.
    pub terms: Vec<Term>,
    /// The newest incarnations of all replicas...
    pub incarnations: Vec<Incarnation>,
    /// ...and their addresses.
    pub addresses: Vec<Option<SocketAddr>>,
}

/// What was on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// About itself and the others.
    pub own: ReplicaMetadata,
    /// Its registers.
    pub registers: Vec<(ItemName, Register)>,
    /// What it knew to be chosen.
    pub chosen: Vec<(Ballot, Item)>,
}

/// What a core is told at its start.
#[derive(Clone, Debug, Default)]
pub struct ReplicaConfig {
    /// The replicas' zones, in order.
    pub zones: Vec<String>,
    /// Its own zone.
    pub zone: String,
    /// Where other replicas and agents reach it.
    pub address: Option<SocketAddr>,
    /// Others that may know the replicas.
    pub seeds: Vec<SocketAddr>,
    /// For what is drawn by chance.
    pub seed: u64,
    /// What was on disk.
    pub restored: RecoveredState,
    /// How much of a state transfer is told at once.
    pub bounds: TransferLimits,
}

/// What goes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Only time has passed.
    Tick,
    /// A message of another replica, and the address of its sender.
    PeerMessage(SocketAddr, PeerMessage),
    /// A link with another replica came up.
    PeerConnected(SocketAddr),
    /// What was to be written under this number is on disk.
    Written(u64),
    /// A call of the operators, answered by its number, until the deadline.
    OperatorCall(u64, Command, i64),
    /// A message on an agent's link.
    Agent(u64, AgentMessage),
    /// An agent's link is gone.
    AgentDisconnected(u64),
    /// The platform's list was read whole.
    ServerListRead(Vec<Server>),
    /// A duty can't be done here.
    RoleFailed(SingletonRole),
    /// The disk takes nothing more, or takes it again. What was to be written waits until then.
    DiskFull(bool),
    /// The process is to end.
    Shutdown,
}

/// What is to be written to disk, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// About itself and the others.
    Metadata(ReplicaMetadata),
    /// A register.
    Register(ItemName, Register),
    /// A chosen item.
    Chosen(Ballot, Item),
}

/// What comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A message to other replicas.
    SendToReplicas(Vec<SocketAddr>, PeerMessage),
    /// The replicas to keep a link with.
    Peers(Vec<SocketAddr>),
    /// Rows for the disk; [`Input::Written`] with the number once they are there.
    Write(u64, Vec<Record>),
    /// The answer to a call.
    Answer(u64, Reply),
    /// A message to agents, by their links.
    SendToAgents(Vec<u64>, ControlMessage),
    /// Something worth a line in the log.
    Log(String),
    /// The same, which operators are told to look for.
    LogImmediately(String),
}

/// How much a replica holds for what is under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingCounts {
    /// Rounds of registers.
    pub rounds: usize,
    /// Calls that rounds are for.
    pub calls: usize,
    /// Readings of all registers.
    pub readings: usize,
    /// Writes that something waits for.
    pub after: usize,
    /// Registers whose values are not known to be chosen.
    pub unfinished: usize,
}

/// Questions of a process for what it missed are numbered from here. Danger: one that starts anew would come to the numbers
/// of the one before, and take a late answer to that one for its own.
fn first_sync(incarnation: Incarnation, run: u32) -> u64 {
    u64::from(incarnation.number) << 48 | u64::from(run) << 24
}

/// The control state of one replica.
pub struct Core {
    zones: Vec<String>,
    run: u32,
    replicas: ReplicaTable,
    registers: Registers,
    news: ChosenItems,
    unfinished: PendingProposals,
    rebuild: Option<Recovery>,
    rounds: BTreeMap<u64, Proposal>,
    /// The call that a round is for.
    calls: BTreeMap<u64, u64>,
    readings: BTreeMap<u64, QuorumRead>,
    /// Readings that wait for a round that finishes what they found.
    finishing: BTreeMap<u64, QuorumRead>,
    duties: [RoleLease; 2],
    members: Membership,
    count: SharedCounter,
    listed: ServerList,
    agents: AgentLinks,
    overload_homes: LoadAggregation,
    after: BTreeMap<u64, Vec<PendingWrite>>,
    /// Last number given to a write, a round or a question.
    number: u64,
    /// Added to the numbers of questions for what was missed.
    syncs_from: u64,
    /// Highest round of ballots seen.
    round: u64,
    chance: u64,
    next_beat: i64,
    /// Beats in a row after which a replica knew other items to be chosen.
    strikes: BTreeMap<ReplicaId, u32>,
    /// Not to be asked before then: for chosen items, for the list of servers.
    next_sync: i64,
    next_servers: i64,
    stopping: bool,
    /// Once the process was told to end.
    handover: Option<Handover>,
    /// While it is set aside by a newer incarnation of its slot.
    displaced: Option<Superseded>,
    full: bool,
    /// The limiters' clock less this replica's.
    ahead: i64,
    touch: bool,
    /// Replicas all of whose chosen items were known here at some instant since the start, a bit each; once they are enough,
    /// agents are told the whole.
    matched: u128,
    /// It knows all that is chosen, as far as more than half say so; over as soon as it is out of touch.
    whole: bool,
    /// In any case then.
    whole_at: Option<i64>,
    /// The question about what is chosen that waits for its answer.
    syncing: DigestExchange,
    bounds: TransferLimits,
}

impl Core {
    /// A core that starts now.
    pub fn new(now: i64, setup: ReplicaConfig) -> Core {
        let count = setup.zones.len();
        let replica = setup
            .zones
            .iter()
            .position(|zone| *zone == setup.zone)
            .unwrap_or_default() as ReplicaId;
        let own = setup.restored.own;
        let me = ProcessId {
            replica,
            incarnation: own.incarnation,
            run: own.run,
        };
        let address = setup
            .address
            .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)));
        let mut replicas = ReplicaTable::new(me, count, address, setup.seeds);
        replicas.restore(&own.incarnations, &own.addresses);
        let registers = Registers::restore(own.floor, setup.restored.registers);
        let mut news = ChosenItems::default();
        for (ballot, item) in &setup.restored.chosen {
            news.learn(*ballot, item);
        }
        let mut unfinished = PendingProposals::default();
        for (_, item) in registers.held().filter(|(_, item)| !news.has(item)) {
            unfinished.begun(now, &item.name);
        }
        let term = |at: usize| own.terms.get(at).copied().unwrap_or_default();
        let terms = |duty: SingletonRole| {
            (
                term(duty as usize),
                term(SingletonRole::ALL.len() + duty as usize),
            )
        };
        let duties =
            SingletonRole::ALL.map(|duty| RoleLease::new(duty, me, count, terms(duty), now));
        Core {
            zones: setup.zones,
            run: own.run,
            round: registers.highest().round,
            rebuild: (own.incarnation == Incarnation::NONE).then(Recovery::default),
            replicas,
            registers,
            news,
            unfinished,
            rounds: BTreeMap::new(),
            calls: BTreeMap::new(),
            readings: BTreeMap::new(),
            finishing: BTreeMap::new(),
            duties,
            members: Membership::default(),
            count: SharedCounter::default(),
            listed: ServerList::default(),
            agents: AgentLinks::default(),
            overload_homes: LoadAggregation::default(),
            after: BTreeMap::new(),
            number: 0,
            syncs_from: first_sync(own.incarnation, own.run),
            chance: setup.seed | 1,
            next_beat: now,
            strikes: BTreeMap::new(),
            next_sync: now,
            next_servers: now,
            stopping: false,
            handover: None,
            displaced: None,
            full: false,
            ahead: FIRST.saturating_sub(now),
            touch: false,
            matched: 0,
            whole: false,
            whole_at: None,
            syncing: DigestExchange::default(),
            bounds: setup.bounds,
        }
    }

    /// Takes one input at a time on a clock that never goes back, in microseconds.
    pub fn take(&mut self, now: i64, input: Input, out: &mut Vec<Output>) {
        // Who is who does not change by these, and they come often.
        let often = matches!(
            input,
            Input::Agent(
                _,
                AgentMessage::CounterBatch { .. } | AgentMessage::LoadReports(_)
            ) | Input::Written(_)
                | Input::ServerListRead(_)
        );
        if now - self.next_beat >= limits::CONTACT_TIMEOUT {
            self.stood_still(now);
        }
        match input {
            Input::Tick => {}
            Input::PeerMessage(from, peer_message) => {
                self.peer_message(now, from, peer_message, out)
            }
            Input::PeerConnected(peer) => {
                if let Some(rebuild) = &mut self.rebuild {
                    rebuild.linked(now, peer);
                }
                self.link_up(peer, out);
            }
            Input::Written(number) => self.written(now, number, out),
            Input::OperatorCall(call, command, deadline) => {
                self.call(now, call, command, deadline, out)
            }
            Input::Agent(link, up) => self.agent(now, link, up, out),
            Input::AgentDisconnected(link) => self.agent_gone(now, link, out),
            Input::ServerListRead(servers) => self.platform_read(now, servers, out),
            Input::RoleFailed(duty) => self.unable(now, duty, out),
            Input::DiskFull(full) => self.disk_full(full, out),
            Input::Shutdown => self.stop(now, out),
        }
        self.turn(now, out);
        if !often || self.agents.wake().is_some_and(|wake| wake <= now) {
            self.tell_who(now, false, out);
        }
    }

    /// When it wants to be called again at the latest.
    pub fn next(&self) -> i64 {
        let rounds = self
            .rounds
            .values()
            .map(|round| round.wake.min(round.deadline));
        let readings = self
            .readings
            .values()
            .map(|reading| reading.wake.min(reading.deadline));
        let rebuild = self
            .rebuild
            .iter()
            .filter(|rebuild| !rebuild.written)
            .map(|rebuild| rebuild.wake);
        let able = self.replicas.takes_part() && self.touch && !self.full;
        let finish = self.finish_wake().filter(|_| able);
        let able = able && !self.stopping;
        let duties = self
            .duties
            .iter()
            .filter(|duty| able || duty.bids())
            .map(RoleLease::wake);
        let all = rounds
            .chain(readings)
            .chain(rebuild)
            .chain(finish)
            .chain(duties);
        let all = all
            .chain(self.agents.wake())
            .chain(self.overload_homes.next());
        let all = all
            .chain(self.handover.iter().filter_map(Handover::wake))
            .chain(self.reclaim_wake());
        all.fold(self.next_beat, i64::min)
    }

    /// What is due.
    fn turn(&mut self, now: i64, out: &mut Vec<Output>) {
        if now >= self.next_beat {
            self.next_beat = now + limits::HEARTBEAT_INTERVAL;
            self.beat(now, out);
        }
        self.rebuild_turn(now, out);
        self.rounds_turn(now, out);
        self.readings_turn(now, out);
        self.duties_turn(now, out);
        self.agents_turn(now, out);
        self.overload_turn(now, out);
        self.handover_turn(now, out);
        self.reclaim_turn(now, out);
    }

    /// This replica does a duty at this instant, in this term.
    pub fn holds(&self, now: i64, duty: SingletonRole) -> Option<u64> {
        let able = self.replicas.takes_part() && !self.stopping;
        self.duties[duty as usize].held(now).filter(|_| able)
    }

    /// The edges whose leases hold at this instant, as this replica knows them.
    pub fn members(&self, now: i64) -> Vec<&Member> {
        self.members.current(now, self.replicas.in_touch(now))
    }

    /// More than half of the replicas are in touch with this one.
    pub fn in_touch(&self, now: i64) -> bool {
        self.replicas.in_touch(now)
    }

    /// The replicas to keep a link with at the start.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.replicas.peers()
    }

    /// It votes and answers.
    pub fn takes_part(&self) -> bool {
        self.replicas.takes_part()
    }

    /// Its replica has a newer incarnation: it is of no more use.
    pub fn aside(&self) -> bool {
        self.replicas.aside()
    }

    /// The items that it knows to be chosen.
    pub fn chosen(&self) -> impl Iterator<Item = &Item> {
        self.news.all().map(|(_, item)| item)
    }

    /// Digest of these.
    pub fn chosen_digest(&self) -> u64 {
        self.news.digest()
    }

    /// What it has accepted.
    pub fn accepted(&self) -> impl Iterator<Item = &Item> {
        self.registers.held().map(|(_, item)| item)
    }

    /// The incarnation of its replica.
    pub fn incarnation(&self) -> Incarnation {
        self.replicas.me().incarnation
    }

    /// How much it holds.
    pub fn sizes(&self) -> PendingCounts {
        PendingCounts {
            rounds: self.rounds.len(),
            calls: self.calls.len(),
            readings: self.readings.len() + self.finishing.len(),
            after: self.after.len(),
            unfinished: self.unfinished.len(),
        }
    }

    /// Nothing is left that was taken.
    pub fn idle(&self) -> bool {
        self.calls.is_empty() && self.readings.is_empty() && self.finishing.is_empty()
    }

    /// A number drawn by chance, below `most`.
    fn draw(&mut self, most: u64) -> u64 {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        self.chance % most.max(1)
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// All messages that are not for this replica alone are told apart here.
    fn peer_message(
        &mut self,
        now: i64,
        from: SocketAddr,
        peer_message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        let heard = self.replicas.hear(now, from, &peer_message);
        if heard.changed {
            self.replicas_changed(now, out);
        }
        let by = (peer_message.by.replica, peer_message.by.incarnation);
        if heard.returned {
            self.link_up(from, out);
        }
        match peer_message.body {
            Payload::MemberListRequest => {
                self.send(vec![from], Payload::MemberList(self.members.list()), out)
            }
            Payload::ServerListRequest => self.send_servers(now, from, out),
            Payload::IncarnationRequest {
                incarnation,
                question,
            } => self.record(from, peer_message.by.replica, incarnation, question, out),
            Payload::HandoverRequest { id, items } => {
                self.take_over(now, (from, by.0), id, items, out)
            }
            // One of an older incarnation learns of the newer one by any message.
            Payload::Heartbeat(_)
                if !heard.counts && peer_message.by.incarnation != Incarnation::NONE =>
            {
                self.link_up(from, out)
            }
            _ if !heard.counts => {}
            Payload::Heartbeat(beat) => self.beaten(now, from, by.0, beat, out),
            Payload::ReplicaAddresses(told)
                if self.replicas.knows_more(&peer_message.incarnations, &told) =>
            {
                self.link_up(from, out)
            }
            Payload::ReplicaAddresses(_) => {}
            Payload::MemberList(list) => self.members_told(now, by.0, list, out),
            Payload::MembershipDelta(moved) => self.members_moved(now, from, by.0, moved, out),
            Payload::ServerList { version, servers } => {
                if self.listed.told(now, version, servers) {
                    self.tell_servers(now, out);
                }
            }
            Payload::IncarnationRecorded {
                incarnation,
                floor,
                piece,
                terms,
            } => {
                self.recorded(now, (from, by), incarnation, floor, piece, &terms, out);
            }
            Payload::HandoverAck { id, parts, whole } => {
                self.slot_heard(now, by.0, whole);
                self.holding((from, by.0), (id, &parts), whole, out);
            }
            Payload::LoadReport { region, services } => {
                let replicas = (self.replicas.me().replica, by.0);
                self.overload_homes.shared(now, replicas, &region, services);
            }
            _ if !self.replicas.takes_part() => {}
            Payload::Prepare { ballot, names } => self.prepare(now, from, ballot, &names, out),
            Payload::Accept { ballot, items } => self.accept(now, from, ballot, &items, out),
            Payload::LeaseRequest {
                duty,
                term,
                at,
                holds,
            } => {
                self.bid(
                    now,
                    Some(from),
                    peer_message.by,
                    duty,
                    term,
                    (at, holds),
                    out,
                );
            }
            Payload::LeaseRelease { duty, term, vain } => {
                self.duties[duty as usize].released(now, peer_message.by, term, vain);
            }
            Payload::ReadRequest { id, question } => self.asked(from, id, &question, out),
            Payload::DigestRequest { id, parts } => self.sync_asked(from, id, &parts, out),
            Payload::DigestEntries { id, entries } => {
                self.entries_told(now, (from, by.0), id, &entries, out)
            }
            Payload::FetchRequest { id, wanted } => self.fetch_asked(from, id, &wanted, out),
            Payload::ChosenChunk {
                id,
                piece,
                items,
                then,
            } => {
                self.learn(now, items, out);
                self.told_chosen(now, (from, by.0), id, (piece, then), out);
            }
            Payload::Chosen(ballot) => {
                let held = self
                    .registers
                    .held()
                    .filter(|(accepted, _)| *accepted == ballot);
                let items = held.cloned().collect();
                self.learn(now, items, out);
            }
            body => self.vote(now, (from, by), body, out),
        }
    }
}
