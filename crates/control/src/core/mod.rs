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
    pub metadata: ReplicaMetadata,
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
    pub recovered: RecoveredState,
    /// How much of a state transfer is told at once.
    pub transfer_limits: TransferLimits,
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
    pub proposals: usize,
    /// Calls that rounds are for.
    pub calls: usize,
    /// Readings of all registers.
    pub reads: usize,
    /// Writes that something waits for.
    pub writes: usize,
    /// Registers whose values are not known to be chosen.
    pub repairs: usize,
}

/// Questions of a process for what it missed are numbered from here. Danger: one that starts anew would come to the numbers
/// of the one before, and take a late answer to that one for its own.
fn first_exchange_id(incarnation: Incarnation, run: u32) -> u64 {
    u64::from(incarnation.number) << 48 | u64::from(run) << 24
}

/// The control state of one replica.
pub struct Replica {
    zones: Vec<String>,
    run: u32,
    table: ReplicaTable,
    registers: Registers,
    chosen: ChosenItems,
    pending: PendingProposals,
    recovery: Option<Recovery>,
    proposals: BTreeMap<u64, Proposal>,
    /// The call that a round is for.
    calls: BTreeMap<u64, u64>,
    reads: BTreeMap<u64, QuorumRead>,
    /// Readings that wait for a round that finishes what they found.
    repairing_reads: BTreeMap<u64, QuorumRead>,
    role_leases: [RoleLease; 2],
    membership: Membership,
    counter: SharedCounter,
    server_list: ServerList,
    agents: AgentLinks,
    load: LoadAggregation,
    pending_writes: BTreeMap<u64, Vec<PendingWrite>>,
    /// Last number given to a write, a round or a question.
    last_request_id: u64,
    /// Added to the numbers of questions for what was missed.
    exchange_id_base: u64,
    /// Highest round of ballots seen.
    highest_round: u64,
    random_state: u64,
    next_heartbeat: i64,
    /// Beats in a row after which a replica knew other items to be chosen.
    digest_mismatches: BTreeMap<ReplicaId, u32>,
    /// Not to be asked before then: for chosen items, for the list of servers.
    next_sync: i64,
    next_server_request: i64,
    shutting_down: bool,
    /// Once the process was told to end.
    handover: Option<Handover>,
    /// While it is set aside by a newer incarnation of its slot.
    superseded: Option<Superseded>,
    disk_full: bool,
    /// The limiters' clock less this replica's.
    clock_offset: i64,
    has_quorum_contact: bool,
    /// Replicas all of whose chosen items were known here at some instant since the start, a bit each; once they are enough,
    /// agents are told the whole.
    matched_replicas: u128,
    /// It knows all that is chosen, as far as more than half say so; over as soon as it is out of touch.
    up_to_date: bool,
    /// In any case then.
    up_to_date_at: Option<i64>,
    /// The question about what is chosen that waits for its answer.
    exchange: DigestExchange,
    transfer_limits: TransferLimits,
}

impl Replica {
    /// A core that starts now.
    pub fn new(now: i64, setup: ReplicaConfig) -> Replica {
        let count = setup.zones.len();
        let replica = setup
            .zones
            .iter()
            .position(|zone| *zone == setup.zone)
            .unwrap_or_default() as ReplicaId;
        let own = setup.recovered.metadata;
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
        let registers = Registers::restore(own.floor, setup.recovered.registers);
        let mut news = ChosenItems::default();
        for (ballot, item) in &setup.recovered.chosen {
            news.learn(*ballot, item);
        }
        let mut unfinished = PendingProposals::default();
        for (_, item) in registers
            .accepted_entries()
            .filter(|(_, item)| !news.includes(item))
        {
            unfinished.insert(now, &item.name);
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
        Replica {
            zones: setup.zones,
            run: own.run,
            highest_round: registers.highest_promise().round,
            recovery: (own.incarnation == Incarnation::NONE).then(Recovery::default),
            table: replicas,
            registers,
            chosen: news,
            pending: unfinished,
            proposals: BTreeMap::new(),
            calls: BTreeMap::new(),
            reads: BTreeMap::new(),
            repairing_reads: BTreeMap::new(),
            role_leases: duties,
            membership: Membership::default(),
            counter: SharedCounter::default(),
            server_list: ServerList::default(),
            agents: AgentLinks::default(),
            load: LoadAggregation::default(),
            pending_writes: BTreeMap::new(),
            last_request_id: 0,
            exchange_id_base: first_exchange_id(own.incarnation, own.run),
            random_state: setup.seed | 1,
            next_heartbeat: now,
            digest_mismatches: BTreeMap::new(),
            next_sync: now,
            next_server_request: now,
            shutting_down: false,
            handover: None,
            superseded: None,
            disk_full: false,
            clock_offset: FIRST.saturating_sub(now),
            has_quorum_contact: false,
            matched_replicas: 0,
            up_to_date: false,
            up_to_date_at: None,
            exchange: DigestExchange::default(),
            transfer_limits: setup.transfer_limits,
        }
    }

    /// Takes one input at a time on a clock that never goes back, in microseconds.
    pub fn step(&mut self, now: i64, input: Input, out: &mut Vec<Output>) {
        // Who is who does not change by these, and they come often.
        let often = matches!(
            input,
            Input::Agent(
                _,
                AgentMessage::CounterBatch { .. } | AgentMessage::LoadReports(_)
            ) | Input::Written(_)
                | Input::ServerListRead(_)
        );
        if now - self.next_heartbeat >= limits::CONTACT_TIMEOUT {
            self.handle_stall(now);
        }
        match input {
            Input::Tick => {}
            Input::PeerMessage(from, peer_message) => {
                self.handle_peer_message(now, from, peer_message, out)
            }
            Input::PeerConnected(peer) => {
                if let Some(rebuild) = &mut self.recovery {
                    rebuild.handle_peer_connected(now, peer);
                }
                self.greet_replica(peer, out);
            }
            Input::Written(number) => self.handle_written(now, number, out),
            Input::OperatorCall(call, command, deadline) => {
                self.handle_call(now, call, command, deadline, out)
            }
            Input::Agent(link, up) => self.handle_agent_message(now, link, up, out),
            Input::AgentDisconnected(link) => self.handle_agent_disconnected(now, link, out),
            Input::ServerListRead(servers) => self.handle_server_list_read(now, servers, out),
            Input::RoleFailed(duty) => self.handle_role_failed(now, duty, out),
            Input::DiskFull(full) => self.handle_disk_full(full, out),
            Input::Shutdown => self.handle_shutdown(now, out),
        }
        self.run_due(now, out);
        if !often || self.agents.wake_at().is_some_and(|wake| wake <= now) {
            self.announce_view(now, false, out);
        }
    }

    /// When it wants to be called again at the latest.
    pub fn wake_at(&self) -> i64 {
        let rounds = self
            .proposals
            .values()
            .map(|round| round.wake_at.min(round.deadline));
        let readings = self
            .reads
            .values()
            .map(|reading| reading.wake_at.min(reading.deadline));
        let rebuild = self
            .recovery
            .iter()
            .filter(|rebuild| !rebuild.persisting)
            .map(|rebuild| rebuild.wake_at);
        let able = self.table.is_participant() && self.has_quorum_contact && !self.disk_full;
        let finish = self.repair_wake_at().filter(|_| able);
        let able = able && !self.shutting_down;
        let duties = self
            .role_leases
            .iter()
            .filter(|duty| able || duty.is_candidate())
            .map(RoleLease::wake_at);
        let all = rounds
            .chain(readings)
            .chain(rebuild)
            .chain(finish)
            .chain(duties);
        let all = all.chain(self.agents.wake_at()).chain(self.load.wake_at());
        let all = all
            .chain(self.handover.iter().filter_map(Handover::wake))
            .chain(self.reclaim_wake_at());
        all.fold(self.next_heartbeat, i64::min)
    }

    /// What is due.
    fn run_due(&mut self, now: i64, out: &mut Vec<Output>) {
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + limits::HEARTBEAT_INTERVAL;
            self.send_heartbeat(now, out);
        }
        self.drive_recovery(now, out);
        self.drive_proposals(now, out);
        self.readings_turn(now, out);
        self.drive_role_leases(now, out);
        self.drive_deferred_syncs(now, out);
        self.drive_load_aggregation(now, out);
        self.drive_handover(now, out);
        self.drive_reclaim(now, out);
    }

    /// This replica does a duty at this instant, in this term.
    pub fn acting_term(&self, now: i64, duty: SingletonRole) -> Option<u64> {
        let able = self.table.is_participant() && !self.shutting_down;
        self.role_leases[duty as usize]
            .acting_term(now)
            .filter(|_| able)
    }

    /// The edges whose leases hold at this instant, as this replica knows them.
    pub fn members(&self, now: i64) -> Vec<&Member> {
        self.membership
            .valid_members(now, self.table.has_quorum_contact(now))
    }

    /// More than half of the replicas are in touch with this one.
    pub fn has_quorum_contact(&self, now: i64) -> bool {
        self.table.has_quorum_contact(now)
    }

    /// The replicas to keep a link with at the start.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.table.peers()
    }

    /// It votes and answers.
    pub fn is_participant(&self) -> bool {
        self.table.is_participant()
    }

    /// Its replica has a newer incarnation: it is of no more use.
    pub fn is_superseded(&self) -> bool {
        self.table.is_superseded()
    }

    /// The items that it knows to be chosen.
    pub fn chosen_items(&self) -> impl Iterator<Item = &Item> {
        self.chosen.entries().map(|(_, item)| item)
    }

    /// Digest of these.
    pub fn chosen_digest(&self) -> u64 {
        self.chosen.digest()
    }

    /// What it has accepted.
    pub fn accepted_items(&self) -> impl Iterator<Item = &Item> {
        self.registers.accepted_entries().map(|(_, item)| item)
    }

    /// The incarnation of its replica.
    pub fn incarnation(&self) -> Incarnation {
        self.table.local().incarnation
    }

    /// How much it holds.
    pub fn pending_counts(&self) -> PendingCounts {
        PendingCounts {
            proposals: self.proposals.len(),
            calls: self.calls.len(),
            reads: self.reads.len() + self.repairing_reads.len(),
            writes: self.pending_writes.len(),
            repairs: self.pending.len(),
        }
    }

    /// Nothing is left that was taken.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.reads.is_empty() && self.repairing_reads.is_empty()
    }

    /// A number drawn by chance, below `most`.
    fn random_below(&mut self, most: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % most.max(1)
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// All messages that are not for this replica alone are told apart here.
    fn handle_peer_message(
        &mut self,
        now: i64,
        from: SocketAddr,
        peer_message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        let heard = self.table.record_message(now, from, &peer_message);
        if heard.changed {
            self.handle_replicas_changed(now, out);
        }
        let by = (peer_message.sender.replica, peer_message.sender.incarnation);
        if heard.returned {
            self.greet_replica(from, out);
        }
        match peer_message.payload {
            Payload::MemberListRequest => self.send(
                vec![from],
                Payload::MemberList(self.membership.local_members()),
                out,
            ),
            Payload::ServerListRequest => self.send_servers(now, from, out),
            Payload::IncarnationRequest {
                incarnation,
                request: question,
            } => self.handle_incarnation_request(
                from,
                peer_message.sender.replica,
                incarnation,
                question,
                out,
            ),
            Payload::HandoverRequest { id, items } => {
                self.handle_handover_request(now, (from, by.0), id, items, out)
            }
            // One of an older incarnation learns of the newer one by any message.
            Payload::Heartbeat(_)
                if !heard.is_current && peer_message.sender.incarnation != Incarnation::NONE =>
            {
                self.greet_replica(from, out)
            }
            _ if !heard.is_current => {}
            Payload::Heartbeat(beat) => self.handle_heartbeat(now, from, by.0, beat, out),
            Payload::ReplicaAddresses(told)
                if self.table.knows_more(&peer_message.incarnations, &told) =>
            {
                self.greet_replica(from, out)
            }
            Payload::ReplicaAddresses(_) => {}
            Payload::MemberList(list) => self.handle_member_list(now, by.0, list, out),
            Payload::MembershipDelta(moved) => {
                self.handle_membership_delta(now, from, by.0, moved, out)
            }
            Payload::ServerList { version, servers } => {
                if self.server_list.update_from_replica(now, version, servers) {
                    self.announce_servers(now, out);
                }
            }
            Payload::IncarnationRecorded {
                incarnation,
                floor,
                chunk: piece,
                terms,
            } => {
                self.handle_incarnation_recorded(
                    now,
                    (from, by),
                    incarnation,
                    floor,
                    piece,
                    &terms,
                    out,
                );
            }
            Payload::HandoverAck {
                id,
                digests: parts,
                slot_incarnation: whole,
            } => {
                self.handle_slot_report(now, by.0, whole);
                self.handle_handover_ack((from, by.0), (id, &parts), whole, out);
            }
            Payload::LoadReport { region, services } => {
                let replicas = (self.table.local().replica, by.0);
                self.load
                    .handle_peer_share(now, replicas, &region, services);
            }
            _ if !self.table.is_participant() => {}
            Payload::Prepare { ballot, names } => {
                self.handle_prepare(now, from, ballot, &names, out)
            }
            Payload::Accept { ballot, items } => self.handle_accept(now, from, ballot, &items, out),
            Payload::LeaseRequest {
                role: duty,
                term,
                sent_at: at,
                renewal: holds,
            } => {
                self.handle_lease_request(
                    now,
                    Some(from),
                    peer_message.sender,
                    duty,
                    term,
                    (at, holds),
                    out,
                );
            }
            Payload::LeaseRelease {
                role: duty,
                term,
                unused: vain,
            } => {
                self.role_leases[duty as usize].handle_release(
                    now,
                    peer_message.sender,
                    term,
                    vain,
                );
            }
            Payload::ReadRequest {
                id,
                request: question,
            } => self.handle_read_request(from, id, &question, out),
            Payload::DigestRequest { id, digests: parts } => {
                self.handle_digest_request(from, id, &parts, out)
            }
            Payload::DigestEntries { id, entries } => {
                self.handle_digest_entries(now, (from, by.0), id, &entries, out)
            }
            Payload::FetchRequest { id, wanted } => {
                self.handle_fetch_request(from, id, &wanted, out)
            }
            Payload::ChosenChunk {
                id,
                sequence: piece,
                items,
                continuation: then,
            } => {
                self.learn_chosen(now, items, out);
                self.handle_chosen_chunk(now, (from, by.0), id, (piece, then), out);
            }
            Payload::Chosen(ballot) => {
                let held = self
                    .registers
                    .accepted_entries()
                    .filter(|(accepted, _)| *accepted == ballot);
                let items = held.cloned().collect();
                self.learn_chosen(now, items, out);
            }
            body => self.handle_vote(now, (from, by), body, out),
        }
    }
}
