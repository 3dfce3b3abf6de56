//! What the programs say to each other, beside what the replicas of the core say among themselves.
//!
//! An agent keeps a link to one control program and, where it is another one, to the one that holds the count. It
//! passes on to the proxy of its machine what the proxy needs, as the same messages.

use std::net::SocketAddr;

use overload::judge::Level;
use overload::load::Report;
use serde::{Deserialize, Serialize};

use crate::items::Item;
use crate::platform::Server;

/// How an edge stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeState {
    /// Its proxy is not there, or can't serve yet.
    #[default]
    Unavailable,
    /// It serves.
    Ready,
    /// It finishes what it has taken.
    Draining,
}

/// An edge, as its agent names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The machine.
    pub name: String,
    /// Its zone...
    pub zone: String,
    /// ...and region.
    pub region: String,
    /// Where its proxy takes clients' requests.
    pub http: SocketAddr,
}

/// What one add to the shared count is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterAdd {
    /// The number's name: of a tenant and a window.
    pub counter: u64,
    /// Units, below nothing where they are given back.
    pub units: f64,
    /// A new name is forgotten after this, in microseconds.
    pub ttl: i64,
}

/// From an agent to a control program, and from a proxy to its agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Who speaks; the first message of an agent. Its lease begins, and it wants the news.
    Hello(NodeInfo),
    /// Digests of the items that an agent knows already, by parts (see [`crate::digests`]): before its `Hello`, where
    /// it knows any. It is told only what differs.
    KnownDigests(Vec<u64>),
    /// What an agent holds: told after each news, and now and then. So its replica knows whether it lags.
    ConfigState {
        /// How many items, dropped ones included.
        items: u32,
        /// Their digest, by names and versions.
        digest: u64,
    },
    /// Renews the lease; the proxy's only message about itself.
    Heartbeat(NodeState),
    /// The limiters' clock as the agent has it, 0 if it has not heard it: the first message on a link to the holder of
    /// the count, the second on one to another replica, and sent now and then. Answered by [`Down::Time`].
    Clock(i64),
    /// Adds to the count, in order; answered by [`Down::Totals`] or [`Down::NotCounted`] of the same batch.
    CounterBatch {
        /// Number of the batch on this link.
        batch: u64,
        /// The limiters' clock as the proxy has it: windows are told apart by it.
        time: i64,
        /// The adds.
        adds: Vec<CounterAdd>,
    },
    /// What a proxy saw of the services that are under strain.
    LoadReports(Vec<Report>),
}

/// Who is who, as a control program sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterView {
    /// Where the replicas of the core are reached by replicas and agents, by zone.
    pub replicas: Vec<(String, SocketAddr)>,
    /// Where the holder of the count is reached, and its term; none while there is none.
    pub counter: Option<(SocketAddr, u64)>,
    /// More than half of the replicas are in touch with the one that speaks.
    pub has_quorum: bool,
    /// Limiters with a lease, those that had one lately included.
    pub limiters: u32,
    /// Of them, those in the zone of the agent spoken to.
    pub limiters_in_zone: u32,
}

/// From a control program to an agent, and from an agent to its proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Who is who. Comes at once and at each change.
    ClusterView(ClusterView),
    /// Items that were chosen; each holds by its own version. The first ones on a link carry all that the agent has not
    /// said to have. With nothing in it, it is a sign of life.
    Items(Vec<Item>),
    /// The platform's list, whole, by the poller of this term. `cold` counts from now.
    Servers {
        /// The poller's term, and the list's number within it.
        version: (u64, u64),
        /// The servers.
        servers: Vec<Server>,
    },
    /// All that is known has been told; what follows is news.
    Complete,
    /// The totals after a batch of adds, in order.
    Totals {
        /// The batch.
        batch: u64,
        /// One for each add.
        totals: Vec<f64>,
    },
    /// The limiters' clock, in microseconds, as it is where it is told.
    Clock(i64),
    /// A batch that reached no count: nothing was added.
    NotCounted(u64),
    /// How much of the load of services is let through; of all others, all.
    Levels {
        /// How long ago that was judged, in microseconds.
        age: i64,
        /// The levels that hold.
        levels: Vec<Level>,
    },
}
