//! The counter: named totals that expire, in partitions that each serve their calls one at a time at a fixed rate.

use std::collections::HashMap;

use crate::Micros;

/// Longest lifetime of a total, in microseconds.
const MAX_LIFE: Micros = 60_000_000;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of calls after which expired totals are removed.
const SWEEP_INTERVAL_CALLS: u32 = 4_096;

/// The emulated counter.
#[derive(Clone, Debug)]
pub struct Counter {
    totals: HashMap<String, (f64, Micros)>,
    /// When each partition is free again.
    free_at: Vec<Micros>,
    service_time: f64,
    extra_latency: Micros,
    slowdown: f64,
    calls: u32,
}

/// A call as received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call<'a> {
    /// Name of the total.
    pub name: &'a str,
    /// Amount to add.
    pub delta: f64,
    /// Lifetime of the total if the call creates it, in microseconds.
    pub life: Micros,
}

/// Parses a call from the request target.
pub fn call(target: &str) -> Option<Call<'_>> {
    let (path, query) = target.split_once('?')?;
    let name = path
        .strip_prefix("/v2/numbers/")
        .filter(|n| !n.is_empty() && n.len() <= MAX_NAME_BYTES)?;
    let get = |key: &str| {
        query
            .split('&')
            .find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
    };
    let delta = get("delta")?
        .parse::<f64>()
        .ok()
        .filter(|d| d.abs() <= 1e9)?;
    let life = get("life_ms")?.parse::<u64>().ok().filter(|l| *l >= 1)?;
    Some(Call {
        name,
        delta,
        life: (life.min(60_000) * 1_000) as Micros,
    })
}

impl Counter {
    /// An empty counter.
    pub fn new(parts: usize, per_s: f64, extra_latency: Micros) -> Counter {
        let parts = parts.max(1);
        let service_time = parts as f64 * 1e6 / per_s;
        Counter {
            totals: HashMap::new(),
            free_at: vec![0; parts],
            service_time,
            extra_latency,
            slowdown: 1.0,
            calls: 0,
        }
    }

    /// Adds, and returns the total and when it is answered: a call waits until its partition is free.
    pub fn add(&mut self, now: Micros, call: Call<'_>) -> (f64, Micros) {
        self.calls += 1;
        if self.calls.is_multiple_of(SWEEP_INTERVAL_CALLS) {
            self.totals.retain(|_, (_, end)| *end > now);
        }
        let hash = call
            .name
            .bytes()
            .fold(5_381_usize, |h, b| h.wrapping_mul(33) ^ usize::from(b));
        let parts = self.free_at.len();
        let free = &mut self.free_at[hash % parts];
        let begin = (*free).max(now);
        *free = begin + (self.service_time * self.slowdown).round() as Micros;
        let answered_at = *free + (self.extra_latency as f64 * self.slowdown) as Micros;
        let end = now + call.life.min(MAX_LIFE);
        let entry = self
            .totals
            .entry(call.name.to_string())
            .or_insert((0.0, end));
        if entry.1 <= now {
            *entry = (0.0, end);
        }
        entry.0 += call.delta;
        (entry.0, answered_at)
    }

    /// Makes calls take `times` as long.
    pub fn slow(&mut self, times: f64) {
        self.slowdown = times;
    }

    /// Removes all totals.
    pub fn clear(&mut self, now: Micros) {
        self.totals.clear();
        self.free_at.fill(now);
    }
}

#[cfg(test)]
mod tests;
