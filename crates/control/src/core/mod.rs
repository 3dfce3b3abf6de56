//! The control state of one replica: a deterministic state machine without I/O. The host passes in messages, times and
//! completed writes, and performs the outputs: messages to send, records to write, calls to answer.
//!
//! Each configuration item is kept in a register of its own, as in CASPaxos: there is neither a log nor a leader. The
//! replica that receives an operator's call proposes the change under a ballot; the change is chosen once more than
//! half of the replicas have accepted it.
//!
//! | concern | modules |
//! | --- | --- |
//! | inputs, outputs, log events | [`interface`], [`events`], [`peer_messages`], `dispatch`, `outbox` |
//! | which machine holds each replica | [`ids`], [`replicas`], [`recovery`], `reclaim`, `handover` |
//! | agreement on items | [`registers`], `acceptor`, [`proposal`], `proposals`, [`pending_proposals`], [`chosen`] |
//! | operators' calls | `operator_calls`, `quorum_read`, [`status`] |
//! | catching up after lost messages or a restart | `heartbeat`, `catch_up`, `anti_entropy`, [`transfer`] |
//! | roles that one replica performs for all | [`role_lease`], [`counter`], [`server_list`] |
//! | edges | [`membership`], `agents`, `load_aggregation` |

mod acceptor;
mod agents;
mod anti_entropy;
mod catch_up;
pub mod chosen;
pub mod counter;
mod dispatch;
pub mod events;
mod handover;
mod heartbeat;
pub mod ids;
pub mod interface;
mod load_aggregation;
pub mod membership;
mod operator_calls;
mod outbox;
pub mod peer_messages;
pub mod pending_proposals;
pub mod proposal;
mod proposals;
mod quorum_read;
mod reclaim;
pub mod recovery;
pub mod registers;
pub mod replicas;
pub mod role_lease;
pub mod server_list;
pub mod status;
pub mod transfer;

use std::net::SocketAddr;

use dataplane::clock::STEADY_CLOCK_START;
use protocol::items::Item;
use protocol::messages::AgentMessage;

use self::agents::{AgentLinks, Announcement};
use self::catch_up::CatchUp;
use self::chosen::ChosenItems;
use self::counter::SharedCounter;
use self::handover::Handover;
use self::ids::{Incarnation, ProcessId, ReplicaId, SingletonRole};
use self::load_aggregation::LoadAggregation;
use self::membership::Membership;
use self::outbox::DiskState;
use self::peer_messages::Member;
use self::pending_proposals::PendingProposals;
use self::proposals::Proposals;
use self::quorum_read::QuorumReads;
use self::reclaim::Supersession;
use self::recovery::Recovery;
use self::registers::Registers;
use self::replicas::ReplicaTable;
use self::role_lease::RoleLease;
use self::server_list::ServerList;
use self::transfer::TransferLimits;
use crate::limits;

pub use self::interface::{
    Input, Output, PendingCounts, Record, RecoveredState, ReplicaConfig, ReplicaMetadata,
};

/// The control state of one replica.
pub struct Replica {
    zones: Vec<String>,
    /// The number of the process start within the incarnation, from 1.
    run: u32,
    table: ReplicaTable,
    /// More than half of the replicas are in contact with this one, as of the last heartbeat.
    has_quorum_contact: bool,
    next_heartbeat_at: i64,

    registers: Registers,
    chosen: ChosenItems,
    pending: PendingProposals,
    proposals: Proposals,
    reads: QuorumReads,
    catch_up: CatchUp,
    disk: DiskState,

    role_leases: [RoleLease; SingletonRole::ALL.len()],
    counter: SharedCounter,
    /// The shared clock that numbers quota windows, minus this replica's clock, in microseconds.
    clock_offset: i64,
    server_list: ServerList,
    /// Earliest time of the next request for another replica's server list.
    next_server_list_request_at: i64,

    membership: Membership,
    agents: AgentLinks,
    load: LoadAggregation,

    /// Set while this replica recovers the registers that its disk has lost.
    recovery: Option<Recovery>,
    /// Set while another machine holds a newer incarnation of this replica.
    supersession: Option<Supersession>,
    /// Set once the process was asked to shut down.
    handover: Option<Handover>,
    is_shutting_down: bool,

    last_request_id: u64,
    random_state: u64,
    transfer_limits: TransferLimits,
}

impl Replica {
    /// Creates a replica that starts at `now`, from the state found on its disk.
    pub fn new(now: i64, config: ReplicaConfig) -> Replica {
        let replica_count = config.zones.len();
        let position = config.zones.iter().position(|zone| *zone == config.zone);
        let metadata = config.recovered.metadata;
        let local = ProcessId {
            replica: position.unwrap_or_default() as ReplicaId,
            incarnation: metadata.incarnation,
            run: metadata.run,
        };
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let address = config.address.unwrap_or(unspecified);
        let mut table = ReplicaTable::new(local, replica_count, address, config.seed_addresses);
        table.restore(&metadata.incarnations, &metadata.addresses);
        let registers = Registers::restore(metadata.promise_floor, config.recovered.registers);
        let mut chosen = ChosenItems::default();
        for (ballot, item) in &config.recovered.chosen {
            chosen.learn(*ballot, item);
        }
        let mut pending = PendingProposals::default();
        for (_, item) in registers.accepted_entries() {
            if !chosen.includes(item) {
                pending.insert(now, &item.name);
            }
        }
        let role_leases = SingletonRole::ALL.map(|role| {
            let stored = role_lease::StoredTerms::for_role(&metadata.terms, role);
            RoleLease::new(role, local, replica_count, stored, now)
        });
        Replica {
            zones: config.zones,
            run: metadata.run,
            table,
            has_quorum_contact: false,
            next_heartbeat_at: now,
            proposals: Proposals::new(registers.highest_promise().round),
            registers,
            chosen,
            pending,
            reads: QuorumReads::default(),
            catch_up: CatchUp::new(now, metadata.incarnation, metadata.run),
            disk: DiskState::default(),
            role_leases,
            counter: SharedCounter::default(),
            clock_offset: STEADY_CLOCK_START.saturating_sub(now),
            server_list: ServerList::default(),
            next_server_list_request_at: now,
            membership: Membership::default(),
            agents: AgentLinks::default(),
            load: LoadAggregation::default(),
            recovery: (metadata.incarnation == Incarnation::NONE).then(Recovery::default),
            supersession: None,
            handover: None,
            is_shutting_down: false,
            last_request_id: 0,
            random_state: config.random_seed | 1,
            transfer_limits: config.transfer_limits,
        }
    }

    /// Processes one input at the time `now`, in microseconds on a monotonic clock, and appends the outputs.
    pub fn step(&mut self, now: i64, input: Input, out: &mut Vec<Output>) {
        // These inputs are frequent and never change the cluster view that agents are sent.
        let leaves_view_unchanged = matches!(
            input,
            Input::AgentMessage(
                _,
                AgentMessage::CounterBatch { .. } | AgentMessage::LoadReports(_)
            ) | Input::WriteCompleted(_)
                | Input::ServerListRead(_)
        );
        if now - self.next_heartbeat_at >= limits::CONTACT_TIMEOUT {
            self.handle_stall(now);
        }
        self.handle_input(now, input, out);
        self.run_due(now, out);
        if !leaves_view_unchanged || self.agents.wake_at().is_some_and(|wake_at| wake_at <= now) {
            self.announce_view(now, Announcement::IfChanged, out);
        }
    }

    /// The time by which [`Input::Tick`] must be passed in if no other input comes earlier.
    pub fn wake_at(&self) -> i64 {
        let can_propose =
            self.table.is_participant() && self.has_quorum_contact && !self.disk.is_full;
        let may_request_lease = can_propose && !self.is_shutting_down;
        let leases = self
            .role_leases
            .iter()
            .filter(|lease| may_request_lease || lease.is_candidate())
            .map(RoleLease::wake_at);
        let optional = [
            self.proposals.wake_at(),
            self.reads.wake_at(),
            self.recovery.as_ref().and_then(Recovery::wake_at),
            self.repair_wake_at().filter(|_| can_propose),
            self.agents.wake_at(),
            self.load.wake_at(),
            self.handover.as_ref().and_then(Handover::wake_at),
            self.reclaim_wake_at(),
        ];
        let optional = optional.into_iter().flatten();
        leases
            .chain(optional)
            .fold(self.next_heartbeat_at, i64::min)
    }

    /// Runs all work that is due, in a fixed order.
    fn run_due(&mut self, now: i64, out: &mut Vec<Output>) {
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + limits::HEARTBEAT_INTERVAL;
            self.send_heartbeat(now, out);
        }
        self.drive_recovery(now, out);
        self.drive_proposals(now, out);
        self.drive_reads(now, out);
        self.drive_role_leases(now, out);
        self.drive_deferred_syncs(now, out);
        self.drive_load_aggregation(now, out);
        self.drive_handover(now, out);
        self.drive_reclaim(now, out);
    }

    /// The term in which this replica performs a role at `now`, if it holds the lease.
    pub fn acting_term(&self, now: i64, role: SingletonRole) -> Option<u64> {
        let may_act = self.table.is_participant() && !self.is_shutting_down;
        self.lease(role).acting_term(now).filter(|_| may_act)
    }

    /// The edges whose leases are valid at `now`, as far as this replica knows.
    pub fn members(&self, now: i64) -> Vec<&Member> {
        let has_quorum_contact = self.table.has_quorum_contact(now);
        self.membership.valid_members(now, has_quorum_contact)
    }

    /// Whether more than half of the replicas, this one included, exchange messages with this one in both directions.
    pub fn has_quorum_contact(&self, now: i64) -> bool {
        self.table.has_quorum_contact(now)
    }

    /// The addresses to keep links with until the first [`Output::Peers`].
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.table.peer_addresses()
    }

    /// Whether this replica votes and answers calls.
    pub fn is_participant(&self) -> bool {
        self.table.is_participant()
    }

    /// Whether another machine holds a newer incarnation of this replica.
    pub fn is_superseded(&self) -> bool {
        self.table.is_superseded()
    }

    /// The items known to be chosen, including removed ones.
    pub fn chosen_items(&self) -> impl Iterator<Item = &Item> {
        self.chosen.entries().map(|(_, item)| item)
    }

    /// The digest of the items known to be chosen.
    pub fn chosen_digest(&self) -> u64 {
        self.chosen.digest()
    }

    /// The items that this replica has accepted.
    pub fn accepted_items(&self) -> impl Iterator<Item = &Item> {
        self.registers.accepted_entries().map(|(_, item)| item)
    }

    /// The incarnation of this replica.
    pub fn incarnation(&self) -> Incarnation {
        self.table.local().incarnation
    }

    /// How many operations are in progress.
    pub fn pending_counts(&self) -> PendingCounts {
        PendingCounts {
            proposals: self.proposals.len(),
            calls: self.proposals.call_count(),
            reads: self.reads.call_count(),
            writes: self.disk.pending_writes(),
            repairs: self.pending.len(),
        }
    }

    /// Whether all accepted calls have been answered.
    pub fn is_idle(&self) -> bool {
        self.proposals.call_count() == 0 && self.reads.call_count() == 0
    }

    fn lease(&self, role: SingletonRole) -> &RoleLease {
        &self.role_leases[role as usize]
    }

    fn lease_mut(&mut self, role: SingletonRole) -> &mut RoleLease {
        &mut self.role_leases[role as usize]
    }

    /// A random number below `bound` (xorshift).
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state % bound.max(1)
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }
}
