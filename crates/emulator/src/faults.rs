//! The fault schedule: target, time and duration. The same plan and seed give the same faults.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use rand::seq::index;
use serde::{Deserialize, Serialize};

use crate::Micros;
use config_check::{KeyError, check_within};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The target freezes: nothing is read or answered, and nothing is lost.
    Freeze,
    /// New connections are refused; open ones stay.
    Refuse,
    /// All open connections are reset, once.
    Reset,
    /// Requests are accepted and never answered.
    Hang,
    /// A share of the answers is replaced by malformed bytes.
    Spoil,
    /// Work takes `times` as long.
    Slow,
    /// The process crashes: connections are reset and new ones refused; it returns with its state lost.
    Die,
    /// Discovery lists a node as draining, and the node rejects new requests.
    Drain,
    /// A node is replaced by a cold one with a new name and address.
    Replace,
    /// No data passes between one limiter and the target in either direction.
    Partition,
    /// A limiter's process is paused (SIGSTOP) and resumed (SIGCONT) with its state intact: a grey failure. Carried out
    /// by the process that started the limiters; the world ignores it.
    Pause,
}

/// Target of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTarget {
    /// One records node, by its number.
    Node(usize),
    /// A share of the records nodes, chosen at random with the seed.
    Nodes(f64),
    /// The counter.
    Counter,
    /// Discovery.
    Discovery,
    /// A limiter, by its number.
    Limiter(usize),
}

impl FromStr for FaultTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<FaultTarget, String> {
        let invalid = || {
            format!(
                "'{text}' is none of 'node:N', 'nodes:SHARE', 'counter', 'discovery', 'limiter:N'"
            )
        };
        match text.split_once(':') {
            None if text == "counter" => Ok(FaultTarget::Counter),
            None if text == "discovery" => Ok(FaultTarget::Discovery),
            Some(("node", number)) => number.parse().map(FaultTarget::Node).map_err(|_| invalid()),
            Some(("nodes", share)) => share.parse().map(FaultTarget::Nodes).map_err(|_| invalid()),
            Some(("limiter", number)) => number
                .parse()
                .map(FaultTarget::Limiter)
                .map_err(|_| invalid()),
            _ => Err(invalid()),
        }
    }
}

impl fmt::Display for FaultTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultTarget::Node(number) => write!(f, "node:{number}"),
            FaultTarget::Nodes(share) => write!(f, "nodes:{share}"),
            FaultTarget::Counter => f.write_str("counter"),
            FaultTarget::Discovery => f.write_str("discovery"),
            FaultTarget::Limiter(number) => write!(f, "limiter:{number}"),
        }
    }
}

impl<'de> Deserialize<'de> for FaultTarget {
    fn deserialize<D: serde::Deserializer<'de>>(reader: D) -> Result<FaultTarget, D::Error> {
        String::deserialize(reader)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}

impl Serialize for FaultTarget {
    fn serialize<S: serde::Serializer>(&self, writer: S) -> Result<S::Ok, S::Error> {
        writer.collect_str(self)
    }
}

/// One fault of the schedule.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Kind of a fault.
    pub kind: FaultKind,
    /// Target of a fault.
    pub on: FaultTarget,
    /// When, in seconds since the start of the load.
    #[serde(default)]
    pub at_s: f64,
    /// For how long, in milliseconds; for `drain` and `replace` how long the old node stays.
    #[serde(default = "default_for_ms")]
    pub for_ms: f64,
    /// Interval between repetitions in seconds; 0 for a single occurrence.
    #[serde(default)]
    pub every_s: f64,
    /// For `slow`: the factor by which work takes longer.
    #[serde(default = "default_times")]
    pub times: f64,
    /// For `spoil`: share of malformed answers, 0 to 1.
    #[serde(default = "default_share")]
    pub share: f64,
    /// For `partition`: number of the isolated limiter.
    #[serde(default)]
    pub limiter: usize,
}

fn default_for_ms() -> f64 {
    1_000.0
}

fn default_times() -> f64 {
    5.0
}

fn default_share() -> f64 {
    1.0
}

impl FaultPlan {
    /// Checks values against their ranges and the numbers of nodes and limiters.
    ///
    /// # Errors
    /// The first invalid value, with its key.
    pub fn check(&self, (nodes, limiters): (usize, usize)) -> Result<(), KeyError> {
        check_within("at_s", self.at_s, 0.0, 86_400.0)?;
        check_within("for_ms", self.for_ms, 1.0, 8.64e7)?;
        check_within("every_s", self.every_s, 0.0, 86_400.0)?;
        check_within("times", self.times, 1.0, 1e6)?;
        check_within("share", self.share, 0.0, 1.0)?;
        if self.every_s > 0.0 && self.every_s * 1e3 <= self.for_ms {
            return Err(KeyError::new("every_s", "comes again before it is over"));
        }
        match self.on {
            FaultTarget::Node(number) if number >= nodes => {
                return Err(KeyError::new(
                    "on",
                    format!("there is no node {number}: they are 0 to {}", nodes - 1),
                ));
            }
            FaultTarget::Nodes(share) => check_within("on", share, 0.0, 1.0)?,
            _ => {}
        }
        let node = matches!(self.on, FaultTarget::Node(_) | FaultTarget::Nodes(_));
        if matches!(self.kind, FaultKind::Drain | FaultKind::Replace) && !node {
            return Err(KeyError::new(
                "on",
                "only records nodes drain or are replaced",
            ));
        }
        if (self.kind == FaultKind::Pause) != matches!(self.on, FaultTarget::Limiter(_)) {
            return Err(KeyError::new(
                "on",
                "only a limiter pauses, and a limiter does nothing else",
            ));
        }
        if let FaultTarget::Limiter(number) = self.on
            && number >= limiters
        {
            return Err(KeyError::new("on", format!("there is no limiter {number}")));
        }
        if self.kind == FaultKind::Partition && self.limiter >= limiters {
            return Err(KeyError::new(
                "limiter",
                format!("there is no limiter {}", self.limiter),
            ));
        }
        Ok(())
    }
}

/// Start or end of a fault at one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultEvent {
    /// Instant since the start of the load.
    pub at: Micros,
    /// Whether the fault begins (or ends).
    pub is_start: bool,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Target; never [`FaultTarget::Nodes`].
    pub target: FaultTarget,
    /// For `spoil` the share, else the factor of `slow`.
    pub amount: f64,
    /// For `partition`: number of the limiter.
    pub limiter: usize,
    /// Duration of the fault.
    pub duration: Micros,
}

/// Expands the plan into events in order of time, for faults that begin before `until`.
pub fn schedule_faults(
    plan: &[FaultPlan],
    nodes: usize,
    until: Micros,
    rng: &mut impl Rng,
) -> Vec<FaultEvent> {
    let mut events = Vec::new();
    for fault in plan {
        let targets: Vec<FaultTarget> = match fault.on {
            FaultTarget::Nodes(share) => {
                let count = ((nodes as f64 * share).round() as usize).min(nodes);
                index::sample(rng, nodes, count)
                    .iter()
                    .map(FaultTarget::Node)
                    .collect()
            }
            target => vec![target],
        };
        let amount = if fault.kind == FaultKind::Spoil {
            fault.share
        } else {
            fault.times
        };
        let span = (fault.for_ms * 1e3) as Micros;
        let mut at = (fault.at_s * 1e6) as Micros;
        while at < until {
            for target in &targets {
                let event = FaultEvent {
                    at,
                    is_start: true,
                    kind: fault.kind,
                    target: *target,
                    amount,
                    limiter: fault.limiter,
                    duration: span,
                };
                events.push(event);
                if fault.kind != FaultKind::Reset {
                    events.push(FaultEvent {
                        at: at + span,
                        is_start: false,
                        ..event
                    });
                }
            }
            if fault.every_s <= 0.0 {
                break;
            }
            at += (fault.every_s * 1e6) as Micros;
        }
    }
    // Ends sort before starts at the same instant.
    events.sort_by_key(|t| (t.at, t.is_start));
    events
}
