//! The messages between agents and control programs, and between proxies and their agents.
//!
//! An agent keeps a link to one control program and, where that is another one, to the one that keeps the shared counter. It
//! forwards to the proxy of its machine what the proxy needs, in the same messages. Variants and fields are written by their
//! position (`postcard`): their order is part of the wire.

use std::net::SocketAddr;

use overload::admission_controller::AdmissionLevel;
use overload::load::LoadReport;
use serde::{Deserialize, Serialize};

use crate::items::Item;
use crate::platform::Server;

/// Whether an edge serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Its proxy does not run, or can't serve yet.
    #[default]
    Unavailable,
    /// It serves requests.
    Ready,
    /// It shuts down gracefully: it completes the requests that it has accepted.
    Draining,
}

/// An edge: a machine with a proxy and its agent, which together are one limiter.
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
    /// The counter that is added to: a hash of a tenant and a window.
    pub counter: u64,
    /// The units; negative where they are given back.
    pub units: f64,
    /// A new counter expires after this, in microseconds.
    pub ttl_us: i64,
}

/// A message from an agent to a control program, or from a proxy to its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The first message of an agent: its lease begins, and it subscribes to the configuration.
    Hello(NodeInfo),
    /// Digests of the items that an agent has already, by bucket (see [`crate::digests`]), sent before its `Hello` if it
    /// has any. It is sent only what differs.
    KnownDigests(Vec<u64>),
    /// The items that an agent has, sent after each change and now and then, so that its replica knows whether it lags.
    ConfigState {
        /// How many items, removed ones included.
        item_count: u32,
        /// The digest of their names and versions.
        digest: u64,
    },
    /// Renews the lease; a proxy's only message about itself.
    Heartbeat(NodeState),
    /// The limiters' clock as the agent has it, 0 if it has not received it: the first message on a link to the counter, the
    /// second on a link to another replica, and sent now and then. Answered by [`ControlMessage::Clock`].
    Clock(i64),
    /// Additions to the shared counter, in order; answered by [`ControlMessage::Totals`] or
    /// [`ControlMessage::NotCounted`] of the same batch.
    CounterBatch {
        /// The number of the batch on this link.
        batch: u64,
        /// The limiters' clock as the proxy has it, by which windows are named.
        clock_us: i64,
        /// The additions.
        adds: Vec<CounterAdd>,
    },
    /// What a proxy reports about services under load.
    LoadReports(Vec<LoadReport>),
}

/// The replicas and limiters as a control program sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// The zone and the address of each known replica.
    pub replicas: Vec<(String, SocketAddr)>,
    /// The address of the replica that keeps the shared counter, and its term; none while there is none.
    pub counter: Option<(SocketAddr, u64)>,
    /// Whether the sender is in contact with a quorum of the replicas.
    pub has_quorum: bool,
    /// The number of limiters with a lease, those that had one recently included.
    pub limiter_count: u32,
    /// The number of those in the zone of the agent.
    pub zone_limiter_count: u32,
}

/// A message from a control program to an agent, or from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The replicas and limiters: the first message, and sent at each change.
    ClusterView(ClusterView),
    /// Chosen items, each in force by its own version. The first ones on a link are those that the agent has not said to
    /// have. Without any items it is a sign of life.
    Items(Vec<Item>),
    /// The whole list of servers. What is left of a warm-up counts from now.
    Servers {
        /// The term of the poller, and the number of the list within it.
        version: (u64, u64),
        /// The servers.
        servers: Vec<Server>,
    },
    /// Everything that is in force has been sent; what follows are changes.
    Complete,
    /// The totals after a batch of additions, in order.
    CounterTotals {
        /// The number of the batch.
        batch: u64,
        /// The total after each addition.
        totals: Vec<f64>,
    },
    /// The limiters' clock when this was sent, in microseconds.
    Clock(i64),
    /// The batch of this number reached no counter: nothing was added.
    NotCounted(u64),
    /// How much of the load of each service is admitted; of services without a level everything is.
    AdmissionLevels {
        /// How long ago the levels were determined, in microseconds.
        age_us: i64,
        /// The levels.
        levels: Vec<AdmissionLevel>,
    },
    /// From an agent to its proxy: everything that was in force so long ago has been sent, in microseconds.
    Confirmed {
        /// The age of the configuration at most.
        age_us: i64,
    },
}
