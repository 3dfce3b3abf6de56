//! Configuration of a world in a scenario.

use serde::{Deserialize, Serialize};

use crate::faults::FaultPlan;
use config_check::{KeyError, check_range, check_within};

/// The emulated world. Every field has a default.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorldPlan {
    /// The records nodes.
    pub nodes: NodesPlan,
    /// The counter.
    pub counter: CounterPlan,
    /// Discovery.
    pub discovery: DiscoveryPlan,
    /// Scheduled faults.
    pub faults: Vec<FaultPlan>,
}

/// The records nodes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodesPlan {
    /// Number of nodes at the start, 1 to 1000.
    pub count: usize,
    /// Cores per node: requests that run concurrently.
    pub cores: usize,
    /// Range from which each node's core speed is drawn; at 1, work takes its nominal time.
    pub speed: [f64; 2],
    /// Requests that may wait for a core; further ones are rejected.
    pub queue: usize,
    /// Mean work of a request that sets none, in milliseconds on a core of speed 1.
    pub work_ms: f64,
    /// Coefficient of variation of the work (lognormal); 0 for constant work.
    pub work_cv: f64,
    /// Share of the full speed that a node has right after a start.
    pub cold_from: f64,
    /// Warm-up time in seconds.
    pub cold_s: f64,
    /// Consecutive nodes per rack; a rack drops repeats of an idempotency key that any of its nodes knows.
    pub rack: usize,
    /// How long an idempotency key is remembered, in milliseconds.
    pub keys_ms: f64,
    /// Share of the answers that are errors, 0 to 1.
    pub errors: f64,
    /// Interval at which the utilization reported to probes is updated, in milliseconds.
    pub util_ms: f64,
    /// Size of an answer's body in bytes.
    pub body_bytes: usize,
    /// Whether a client's abandoning a request cancels it also while it runs; while it waits it is always cancelled.
    pub cancel_running: bool,
}

impl Default for NodesPlan {
    fn default() -> NodesPlan {
        NodesPlan {
            count: 10,
            cores: 2,
            speed: [0.85, 1.1],
            queue: 22,
            work_ms: 90.0,
            work_cv: 0.6,
            cold_from: 0.3,
            cold_s: 10.0,
            rack: 4,
            keys_ms: 8_000.0,
            errors: 0.0,
            util_ms: 300.0,
            body_bytes: 128,
            cancel_running: false,
        }
    }
}

/// The counter.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CounterPlan {
    /// Partitions over which names are spread, each serving one call at a time.
    pub parts: usize,
    /// Calls per second that all partitions together can serve.
    pub per_s: f64,
    /// Additional latency of a call, in milliseconds.
    pub ms: f64,
}

impl Default for CounterPlan {
    fn default() -> CounterPlan {
        CounterPlan {
            parts: 2,
            per_s: 800.0,
            ms: 0.5,
        }
    }
}

/// Discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscoveryPlan {
    /// Delay from a change to its publication, in milliseconds.
    pub notice_ms: f64,
    /// Interval of the empty heartbeat lines on watches, in milliseconds.
    pub beat_ms: f64,
}

impl Default for DiscoveryPlan {
    fn default() -> DiscoveryPlan {
        DiscoveryPlan {
            notice_ms: 1_500.0,
            beat_ms: 2_000.0,
        }
    }
}

impl WorldPlan {
    /// Checks values against their ranges.
    ///
    /// # Errors
    /// The first invalid value, with its key.
    pub fn check(&self, limiters: usize) -> Result<(), KeyError> {
        let n = &self.nodes;
        check_within("nodes.count", n.count as f64, 1.0, 1_000.0)?;
        check_within("nodes.cores", n.cores as f64, 1.0, 1_024.0)?;
        check_range("nodes.speed", n.speed, 1e-3, 1e6)?;
        check_within("nodes.queue", n.queue as f64, 0.0, 1e6)?;
        check_within("nodes.work_ms", n.work_ms, 0.0, 1e6)?;
        check_within("nodes.work_cv", n.work_cv, 0.0, 10.0)?;
        check_within("nodes.cold_from", n.cold_from, 0.01, 1.0)?;
        check_within("nodes.cold_s", n.cold_s, 0.0, 3_600.0)?;
        check_within("nodes.rack", n.rack as f64, 1.0, 1_000.0)?;
        check_within("nodes.keys_ms", n.keys_ms, 0.0, 3.6e6)?;
        check_within("nodes.errors", n.errors, 0.0, 1.0)?;
        check_within("nodes.util_ms", n.util_ms, 1.0, 60_000.0)?;
        check_within("nodes.body_bytes", n.body_bytes as f64, 1.0, 65_536.0)?;
        check_within("counter.parts", self.counter.parts as f64, 1.0, 64.0)?;
        check_within("counter.per_s", self.counter.per_s, 1.0, 1e7)?;
        check_within("counter.ms", self.counter.ms, 0.0, 10_000.0)?;
        check_within(
            "discovery.notice_ms",
            self.discovery.notice_ms,
            0.0,
            60_000.0,
        )?;
        check_within("discovery.beat_ms", self.discovery.beat_ms, 10.0, 60_000.0)?;
        let bounds = (n.count, limiters);
        let checked = |(k, f): (usize, &FaultPlan)| {
            f.check(bounds)
                .map_err(|e| e.under_parent(&format!("faults[{k}]")))
        };
        self.faults.iter().enumerate().try_for_each(checked)
    }
}
