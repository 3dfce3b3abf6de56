//! The platform's list of servers: told late, in pages, to so many calls a second.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::Micros;

const SECOND: Micros = 1_000_000;

/// How the list is told.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConfig {
    /// What has changed is told so much later.
    pub lag: Micros,
    /// Servers on a page.
    pub page: usize,
    /// Calls that are answered within a second.
    pub per_s: usize,
}

/// A server as the list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its life's id.
    pub id: String,
    /// Its service.
    pub svc: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// It leaves.
    pub draining: bool,
    /// When it is warm.
    pub warm_at: Micros,
}

/// The list.
#[derive(Debug)]
pub struct Platform {
    make: PlatformConfig,
    entries: Vec<Entry>,
    /// What is told from an instant on; the first holds now.
    told: VecDeque<(Micros, Vec<Entry>)>,
    calls: VecDeque<Micros>,
}

impl Platform {
    /// An empty list.
    pub fn new(make: PlatformConfig) -> Platform {
        Platform {
            make,
            entries: Vec::new(),
            told: VecDeque::new(),
            calls: VecDeque::new(),
        }
    }

    /// Changes the list; gives when that is told.
    pub fn change(&mut self, now: Micros, change: impl FnOnce(&mut Vec<Entry>)) -> Micros {
        change(&mut self.entries);
        let at = now + self.make.lag;
        self.told.push_back((at, self.entries.clone()));
        at
    }

    /// Answers a call: status and body.
    pub fn answer(&mut self, now: Micros, method: &str, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if method != "GET" || path != "/insts" {
            return (404, "{}".into());
        }
        while self.calls.front().is_some_and(|at| *at <= now - SECOND) {
            self.calls.pop_front();
        }
        if self.calls.len() >= self.make.per_s {
            return (429, "{}".into());
        }
        self.calls.push_back(now);
        while self.told.get(1).is_some_and(|(at, _)| *at <= now) {
            self.told.pop_front();
        }
        let get = |key: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
        };
        let told = self
            .told
            .front()
            .filter(|(at, _)| *at <= now)
            .map_or(&[][..], |(_, entries)| entries);
        let of: Vec<&Entry> = told
            .iter()
            .filter(|e| get("zone").is_none_or(|zone| zone == e.zone))
            .collect();
        let from = get("pagetok")
            .and_then(|t| t.strip_prefix("p-")?.parse().ok())
            .unwrap_or(0);
        let until = of.len().min(from + self.make.page);
        let row = |e: &&Entry| {
            let state = if e.draining { "draining" } else { "up" };
            let cold = format!("{}ms", (e.warm_at - now).max(0) / 1_000);
            json!([
                e.svc,
                e.address.to_string(),
                e.zone,
                "v1",
                e.slots,
                state,
                cold,
                e.id
            ])
        };
        let rows: Vec<Value> = of
            .get(from..until)
            .unwrap_or_default()
            .iter()
            .map(row)
            .collect();
        let next = (until < of.len()).then(|| format!("p-{until}"));
        let cols = [
            "svc",
            "addr",
            "zone",
            "ver",
            "slots",
            "state",
            "warm_left",
            "id",
        ];
        (
            200,
            json!({"insts": {"cols": cols, "rows": rows}, "next_cursor": next}).to_string(),
        )
    }
}

#[cfg(test)]
mod tests;
