//! The status of the system: the reports of the replicas, their comparison, and the findings, which are the faults in them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use control::core::status::{LimiterStatus, Status};
use eyre::WrapErr;
use serde::Serialize;

use crate::http;

/// A limiter that has lacked items of its replica for longer than this lags, in milliseconds. It is the bound of the operators
/// for a change to be in force everywhere.
const MAX_LAG_MS: i64 = 4_000;

/// The answer of one replica.
#[derive(Clone, Debug, Serialize)]
pub struct ReplicaAnswer {
    /// The address that was queried.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// The status that the replica reported; `None` after an error.
    pub status: Option<Status>,
    /// The reason why there is no status.
    pub error: Option<String>,
}

/// The status of the system, combined from the answers of the replicas.
#[derive(Clone, Debug, Serialize)]
pub struct SystemStatus {
    /// The answer of each replica that was queried.
    #[serde(rename = "told")]
    pub answers: Vec<ReplicaAnswer>,
    /// The limiters, each as reported by the replica that it is linked to if that one was queried, else by another one.
    pub limiters: Vec<LimiterStatus>,
    /// The faults that were found.
    pub findings: Vec<String>,
}

/// Queries replicas one after the other. `deadline` is called before each query and returns the deadline of that query.
pub fn query_replicas(addresses: &[SocketAddr], deadline: impl Fn() -> Instant) -> SystemStatus {
    let query = |address: &SocketAddr| {
        let body = http::get(*address, "/api/status", deadline());
        let status = body.and_then(|body| {
            serde_json::from_slice::<Status>(&body)
                .wrap_err_with(|| format!("reading what {address} tells"))
        });
        match status {
            Ok(status) => ReplicaAnswer {
                address: *address,
                status: Some(status),
                error: None,
            },
            Err(error) => ReplicaAnswer {
                address: *address,
                status: None,
                error: Some(format!("{error:#}")),
            },
        }
    };
    combine(addresses.iter().map(query).collect())
}

/// Combines the answers of the replicas and determines the findings.
pub fn combine(answers: Vec<ReplicaAnswer>) -> SystemStatus {
    let mut limiters: BTreeMap<String, LimiterStatus> = BTreeMap::new();
    for status in answers.iter().filter_map(|answer| answer.status.as_ref()) {
        for limiter in &status.limiters {
            // The replica that a limiter is linked to knows its items; next best is one that knows of the link.
            let rank = |status: &LimiterStatus| (status.items.is_some(), status.is_connected);
            let former = limiters.get(&limiter.node);
            if former.is_none_or(|former| rank(former) < rank(limiter)) {
                limiters.insert(limiter.node.clone(), limiter.clone());
            }
        }
    }
    let limiters: Vec<LimiterStatus> = limiters.into_values().collect();
    let findings = find_faults(&answers, &limiters);
    SystemStatus {
        answers,
        limiters,
        findings,
    }
}

fn find_faults(answers: &[ReplicaAnswer], limiters: &[LimiterStatus]) -> Vec<String> {
    let mut findings = Vec::new();
    for answer in answers {
        let Some(status) = &answer.status else {
            findings.push(answer.error.clone().unwrap_or_default());
            continue;
        };
        let zone = &status.zone;
        let states = [
            (
                status.is_superseded,
                "was replaced: another machine stands for its replica",
            ),
            (
                !status.is_superseded && !status.is_participant,
                "has not rebuilt its disk yet",
            ),
            (
                status.is_participant && !status.has_quorum_contact,
                "is out of touch with more than half of the replicas",
            ),
            (status.disk_full, "has a full disk"),
        ];
        findings.extend(
            states
                .iter()
                .filter(|(applies, _)| *applies)
                .map(|(_, text)| format!("replica {zone} {text}")),
        );
        if !status.is_participant || !status.has_quorum_contact {
            continue;
        }
        let silent = status
            .replicas
            .iter()
            .filter(|replica| !replica.is_reachable);
        findings.extend(
            silent.map(|replica| format!("replica {zone} does not hear replica {}", replica.zone)),
        );
        let vacant = status.roles.iter().filter(|duty| duty.holder.is_none());
        findings.extend(
            vacant.map(|duty| format!("replica {zone} knows nobody with the duty {}", duty.role)),
        );
    }
    let statuses_with_quorum = || {
        answers
            .iter()
            .filter_map(|answer| answer.status.as_ref())
            .filter(|status| status.has_quorum_contact)
    };
    if let Some(first) = statuses_with_quorum().next() {
        let differing = statuses_with_quorum().filter(|status| status.digest != first.digest);
        findings.extend(differing.map(|status| {
            format!(
                "replicas {} and {} know other items ({} and {})",
                first.zone, status.zone, first.items, status.items
            )
        }));
    }
    for limiter in limiters {
        let node = &limiter.node;
        if !limiter.is_connected {
            findings.push(format!(
                "limiter {node} is linked to no replica, its lease runs out"
            ));
        } else if limiter.state != "ready" {
            findings.push(format!("limiter {node} is {}", limiter.state));
        }
        if let Some(behind) = limiter.lag_ms.filter(|behind| *behind > MAX_LAG_MS) {
            findings.push(format!("limiter {node} has lagged for up to {behind} ms"));
        }
    }
    findings
}

impl SystemStatus {
    /// Whether at least one replica has reported its status.
    pub fn has_answer(&self) -> bool {
        self.answers.iter().any(|answer| answer.status.is_some())
    }
}

impl fmt::Display for SystemStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:<6} {:<4} {:<9} {:<7} {:<17} {:<10} duties",
            "replica", "incarnation", "run", "touch", "items", "digest", "list"
        )?;
        for status in self
            .answers
            .iter()
            .filter_map(|answer| answer.status.as_ref())
        {
            let contact = match status {
                status if status.is_superseded => "replaced",
                status if !status.is_participant => "rebuilds",
                status if !status.has_quorum_contact => "out",
                _ => "in",
            };
            let held_duties = status
                .roles
                .iter()
                .filter(|duty| duty.holder.as_ref() == Some(&status.zone));
            let held_duties: Vec<String> = held_duties
                .map(|duty| format!("{} (term {})", duty.role, duty.term))
                .collect();
            let list_version = format!(
                "{}.{}",
                status.server_list_version.0, status.server_list_version.1
            );
            writeln!(
                f,
                "{:<12} {:<6} {:<4} {contact:<9} {:<7} {:<17} {list_version:<10} {}",
                status.zone,
                status.incarnation,
                status.run,
                status.items,
                status.digest,
                held_duties.join(", ")
            )?;
        }
        writeln!(
            f,
            "\n{:<20} {:<12} {:<12} {:<8} {:<7} behind",
            "limiter", "zone", "at replica", "stands", "items"
        )?;
        for limiter in &self.limiters {
            let items = limiter
                .items
                .map_or("?".to_string(), |items| items.to_string());
            let behind = limiter
                .lag_ms
                .map_or("?".to_string(), |behind| format!("{behind} ms"));
            writeln!(
                f,
                "{:<20} {:<12} {:<12} {:<8} {items:<7} {behind}",
                limiter.node, limiter.zone, limiter.replica, limiter.state
            )?;
        }
        let omitted: usize = self
            .answers
            .iter()
            .filter_map(|answer| answer.status.as_ref())
            .map(|status| status.omitted_limiters)
            .max()
            .unwrap_or(0);
        if omitted > 0 {
            writeln!(f, "... and {omitted} more")?;
        }
        writeln!(f)?;
        self.findings
            .iter()
            .try_for_each(|finding| writeln!(f, "! {finding}"))?;
        writeln!(f, "{} findings", self.findings.len())
    }
}

#[cfg(test)]
mod tests;
