//! The platform's instance list: delayed, paginated and rate limited.

use std::collections::VecDeque;
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::Micros;

const SECOND: Micros = 1_000_000;

/// Configuration of the instance list.
#[derive(Clone, Copy, Debug)]
pub struct PlatformConfig {
    /// Delay after which a change becomes visible, in microseconds.
    pub visibility_delay: Micros,
    /// Servers per page.
    pub page_size: usize,
    /// Calls answered within any second; further ones get status 429.
    pub per_s: usize,
}

/// A server's entry in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Id of this incarnation of the server.
    pub id: String,
    /// Name of its service.
    pub svc: String,
    /// Address at which it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Whether it is draining.
    pub draining: bool,
    /// When its warm-up ends.
    pub warm_at: Micros,
}

/// The instance list.
#[derive(Debug)]
pub struct Platform {
    config: PlatformConfig,
    entries: Vec<Entry>,
    /// States of the list, each visible from its instant on; the first is the current one once its instant has passed.
    published: VecDeque<(Micros, Vec<Entry>)>,
    calls: VecDeque<Micros>,
}

impl Platform {
    /// An empty list.
    pub fn new(config: PlatformConfig) -> Platform {
        Platform {
            config,
            entries: Vec::new(),
            published: VecDeque::new(),
            calls: VecDeque::new(),
        }
    }

    /// Changes the list; returns when the change becomes visible.
    pub fn change(&mut self, now: Micros, change: impl FnOnce(&mut Vec<Entry>)) -> Micros {
        change(&mut self.entries);
        let at = now + self.config.visibility_delay;
        self.published.push_back((at, self.entries.clone()));
        at
    }

    /// Answers a call with a status and a body.
    pub fn answer(&mut self, now: Micros, method: &str, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if method != "GET" || path != "/insts" {
            return (404, "{}".into());
        }
        while self.calls.front().is_some_and(|at| *at <= now - SECOND) {
            self.calls.pop_front();
        }
        if self.calls.len() >= self.config.per_s {
            return (429, "{}".into());
        }
        self.calls.push_back(now);
        while self.published.get(1).is_some_and(|(at, _)| *at <= now) {
            self.published.pop_front();
        }
        let get = |key: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
        };
        let visible = self
            .published
            .front()
            .filter(|(at, _)| *at <= now)
            .map_or(&[][..], |(_, entries)| entries);
        let matching: Vec<&Entry> = visible
            .iter()
            .filter(|e| get("zone").is_none_or(|zone| zone == e.zone))
            .collect();
        let from = get("pagetok")
            .and_then(|t| t.strip_prefix("p-")?.parse().ok())
            .unwrap_or(0);
        let until = matching.len().min(from + self.config.page_size);
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
        let rows: Vec<Value> = matching
            .get(from..until)
            .unwrap_or_default()
            .iter()
            .map(row)
            .collect();
        let next = (until < matching.len()).then(|| format!("p-{until}"));
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
