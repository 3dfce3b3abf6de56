//! The messages between agents and control programs, and between proxies and their agents.
//!
//! An agent keeps a link to one control program and another link to the one that keeps the shared counter. It forwards to the
//! proxy of its machine what the proxy needs, in the same messages. `postcard` encodes variants and fields by position, so
//! their order is part of the wire format.

use std::net::SocketAddr;

use overload::admission_controller::AdmissionLevel;
use overload::load::LoadReport;
use serde::{Deserialize, Serialize};

use crate::items::Item;
use crate::platform::Server;

/// Whether an edge serves requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Its proxy is not running or can't serve yet.
    #[default]
    Unavailable,
    /// It serves requests.
    Ready,
    /// It is shutting down gracefully: it completes the requests that it has accepted and accepts no new ones.
    Draining,
}

/// An edge: a machine with a proxy and an agent, which together form one limiter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The name of the machine.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The address at which its proxy accepts clients' requests.
    pub http_address: SocketAddr,
}

/// One addition to the shared counter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterAdd {
    /// The id of the counter: a hash of a tenant and a window.
    pub counter: u64,
    /// The units to add; negative to return units.
    pub units: f64,
    /// If this addition creates the counter, the time until the counter expires, in microseconds.
    pub ttl_us: i64,
}

/// A message from an agent to a control program, or from a proxy to its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Registers the agent: starts its lease and subscribes to the configuration.
    Hello(NodeInfo),
    /// Digests by bucket (see [`crate::digests`]) of the items that an agent has already, sent before its `Hello` if it has
    /// any. The control program sends it only the items that differ.
    KnownDigests(Vec<u64>),
    /// A summary of the items that an agent has, sent after each change and at intervals, so that its replica knows whether
    /// it lags.
    ConfigState {
        /// The number of items, removed ones included.
        item_count: u32,
        /// The digest of the names and versions of all items.
        digest: u64,
    },
    /// Renews the lease of an agent. Also the message by which a proxy reports its state.
    Heartbeat(NodeState),
    /// Requests the limiters' clock, and carries the clock as the agent has it, or 0 if it has received none. Sent first on a
    /// link to the counter, after `Hello` on a link to a control program, and at intervals. Answered by
    /// [`ControlMessage::Clock`].
    Clock(i64),
    /// Additions to the shared counter, in order; answered by [`ControlMessage::CounterTotals`] or
    /// [`ControlMessage::NotCounted`] of the same batch.
    CounterBatch {
        /// The number of the batch, unique on this link.
        batch: u64,
        /// The limiters' clock as the proxy has it, in microseconds, by which it assigned the additions to windows.
        clock_us: i64,
        /// The additions.
        adds: Vec<CounterAdd>,
    },
    /// The proxy's reports of the load of services.
    LoadReports(Vec<LoadReport>),
}

/// The replicas and limiters, as a control program sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The zone and the address of each known replica.
    pub replicas: Vec<(String, SocketAddr)>,
    /// The address and the term of the replica that keeps the shared counter; `None` while no replica does.
    pub counter: Option<(SocketAddr, u64)>,
    /// Whether the sender is in contact with a quorum of the replicas.
    pub has_quorum: bool,
    /// The number of limiters that have a lease or recently had one.
    pub limiter_count: u32,
    /// The number of these limiters in the zone of the agent.
    pub zone_limiter_count: u32,
}

/// A message from a control program to an agent, or from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The replicas and limiters; the first message on a link, sent again at each change.
    ClusterView(ClusterView),
    /// Chosen items; of each item the highest version is in force. The first ones on a link are those that the agent's digests
    /// show to be missing. Without items the message is a keep-alive.
    Items(Vec<Item>),
    /// The complete list of servers. Remaining warm-up times count from when the message was sent.
    Servers {
        /// The term of the platform poller, and the number of the list within this term.
        version: (u64, u64),
        /// The servers.
        servers: Vec<Server>,
    },
    /// The initial transfer is complete: everything in force was sent, and later messages are changes.
    Complete,
    /// The totals of the counters of a batch, in the order of its additions.
    CounterTotals {
        /// The number of the batch.
        batch: u64,
        /// The total after each addition.
        totals: Vec<f64>,
    },
    /// The limiters' clock when this was sent, in microseconds.
    Clock(i64),
    /// The batch with this number did not reach the counter: nothing was added.
    NotCounted(u64),
    /// How much of the load of each service is admitted. Services without a level are admitted in full.
    AdmissionLevels {
        /// The time since the levels were determined, in microseconds.
        age_us: i64,
        /// The levels.
        levels: Vec<AdmissionLevel>,
    },
    /// Sent by an agent to its proxy: everything that was in force this long ago has been sent.
    Confirmed {
        /// The maximum age of the configuration, in microseconds.
        age_us: i64,
    },
    /// Everything that was in force at some earlier time was sent. Changes since then may be missing, as the sender can't verify
    /// them without a quorum.
    SnapshotComplete,
}

/// How much of the configuration a receiver has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Completeness {
    /// Any item may be missing: nothing follows from the absence of one.
    #[default]
    Partial,
    /// Everything that was in force at some earlier time.
    Snapshot,
    /// Everything that was in force when it was last confirmed.
    Complete,
}

impl ControlMessage {
    /// How much of the configuration has been sent, if this message tells.
    pub fn completeness(&self) -> Option<Completeness> {
        match self {
            ControlMessage::SnapshotComplete => Some(Completeness::Snapshot),
            ControlMessage::Complete => Some(Completeness::Complete),
            _ => None,
        }
    }
}

impl Completeness {
    /// Raises it to that of a message. Returns whether it was lower: a configuration that was received stays received.
    pub fn raise(&mut self, to: Completeness) -> bool {
        let is_higher = to > *self;
        *self = to.max(*self);
        is_higher
    }

    /// The message that tells a receiver; `None` if it is partial.
    pub fn message(self) -> Option<ControlMessage> {
        match self {
            Completeness::Partial => None,
            Completeness::Snapshot => Some(ControlMessage::SnapshotComplete),
            Completeness::Complete => Some(ControlMessage::Complete),
        }
    }
}
