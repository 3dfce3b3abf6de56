//! How the replicas see the system: what each told, put side by side, and what is wrong in it.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use control::core::status::{LimiterStatus, Status};
use eyre::WrapErr;
use serde::Serialize;

use crate::http;

/// A limiter that has held less than its replica for longer than this lags, in milliseconds: the operators' bound.
const LAG: i64 = 4_000;

/// What was told at one address.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    /// The address.
    pub at: SocketAddr,
    /// What it told.
    pub status: Option<Status>,
    /// Why it told nothing.
    pub error: Option<String>,
}

/// The system as all that were asked see it.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// What each told.
    pub told: Vec<Told>,
    /// The limiters: each as its own replica tells of it, where that was asked, else as another one does.
    pub limiters: Vec<LimiterStatus>,
    /// What is wrong.
    pub findings: Vec<String>,
}

/// Asks replicas, one after the other, each by a deadline of its own.
pub fn ask(at: &[SocketAddr], until: impl Fn() -> Instant) -> View {
    let one = |at: &SocketAddr| {
        let body = http::get(*at, "/api/status", until());
        let status = body.and_then(|body| {
            serde_json::from_slice::<Status>(&body)
                .wrap_err_with(|| format!("reading what {at} tells"))
        });
        match status {
            Ok(status) => Told {
                at: *at,
                status: Some(status),
                error: None,
            },
            Err(error) => Told {
                at: *at,
                status: None,
                error: Some(format!("{error:#}")),
            },
        }
    };
    view(at.iter().map(one).collect())
}

/// Puts side by side what was told.
pub fn view(told: Vec<Told>) -> View {
    let mut limiters: BTreeMap<String, LimiterStatus> = BTreeMap::new();
    for status in told.iter().filter_map(|told| told.status.as_ref()) {
        for limiter in &status.limiters {
            // The replica that it is linked to knows most; without, who knows it to be linked.
            let rank = |one: &LimiterStatus| (one.items.is_some(), one.is_connected);
            let held = limiters.get(&limiter.node);
            if held.is_none_or(|held| rank(held) < rank(limiter)) {
                limiters.insert(limiter.node.clone(), limiter.clone());
            }
        }
    }
    let limiters: Vec<LimiterStatus> = limiters.into_values().collect();
    let findings = findings(&told, &limiters);
    View {
        told,
        limiters,
        findings,
    }
}

fn findings(told: &[Told], limiters: &[LimiterStatus]) -> Vec<String> {
    let mut found = Vec::new();
    for one in told {
        let Some(status) = &one.status else {
            found.push(one.error.clone().unwrap_or_default());
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
        found.extend(
            states
                .iter()
                .filter(|(is, _)| *is)
                .map(|(_, text)| format!("replica {zone} {text}")),
        );
        if !status.is_participant || !status.has_quorum_contact {
            continue;
        }
        let silent = status
            .replicas
            .iter()
            .filter(|replica| !replica.is_reachable);
        found.extend(
            silent.map(|replica| format!("replica {zone} does not hear replica {}", replica.zone)),
        );
        let vacant = status.roles.iter().filter(|duty| duty.holder.is_none());
        found.extend(
            vacant.map(|duty| format!("replica {zone} knows nobody with the duty {}", duty.role)),
        );
    }
    let parts = || {
        told.iter()
            .filter_map(|told| told.status.as_ref())
            .filter(|status| status.has_quorum_contact)
    };
    if let Some(first) = parts().next() {
        let other = parts().filter(|status| status.digest != first.digest);
        found.extend(other.map(|status| {
            format!(
                "replicas {} and {} know other items ({} and {})",
                first.zone, status.zone, first.items, status.items
            )
        }));
    }
    for limiter in limiters {
        let node = &limiter.node;
        if !limiter.is_connected {
            found.push(format!(
                "limiter {node} is linked to no replica, its lease runs out"
            ));
        } else if limiter.state != "ready" {
            found.push(format!("limiter {node} is {}", limiter.state));
        }
        if let Some(behind) = limiter.lag_ms.filter(|behind| *behind > LAG) {
            found.push(format!("limiter {node} has lagged for up to {behind} ms"));
        }
    }
    found
}

impl View {
    /// Somebody told something.
    pub fn told_anything(&self) -> bool {
        self.told.iter().any(|told| told.status.is_some())
    }
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:<6} {:<4} {:<9} {:<7} {:<17} {:<10} duties",
            "replica", "incarnation", "run", "touch", "items", "digest", "list"
        )?;
        for status in self.told.iter().filter_map(|told| told.status.as_ref()) {
            let touch = match status {
                status if status.is_superseded => "replaced",
                status if !status.is_participant => "rebuilds",
                status if !status.has_quorum_contact => "out",
                _ => "in",
            };
            let own = status
                .roles
                .iter()
                .filter(|duty| duty.holder.as_ref() == Some(&status.zone));
            let own: Vec<String> = own
                .map(|duty| format!("{} (term {})", duty.role, duty.term))
                .collect();
            let list = format!(
                "{}.{}",
                status.server_list_version.0, status.server_list_version.1
            );
            writeln!(
                f,
                "{:<12} {:<6} {:<4} {touch:<9} {:<7} {:<17} {list:<10} {}",
                status.zone,
                status.incarnation,
                status.run,
                status.items,
                status.digest,
                own.join(", ")
            )?;
        }
        writeln!(
            f,
            "\n{:<20} {:<12} {:<12} {:<8} {:<7} behind",
            "limiter", "zone", "at replica", "stands", "items"
        )?;
        for one in &self.limiters {
            let items = one.items.map_or("?".to_string(), |items| items.to_string());
            let behind = one
                .lag_ms
                .map_or("?".to_string(), |behind| format!("{behind} ms"));
            writeln!(
                f,
                "{:<20} {:<12} {:<12} {:<8} {items:<7} {behind}",
                one.node, one.zone, one.replica, one.state
            )?;
        }
        let left: usize = self
            .told
            .iter()
            .filter_map(|told| told.status.as_ref())
            .map(|s| s.omitted_limiters)
            .max()
            .unwrap_or(0);
        if left > 0 {
            writeln!(f, "... and {left} more")?;
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
