//! The engines that select servers, one for each service and set of regions.

use dataplane::engine::{Authorisation, Engine};
use protocol::items::{Idempotency as Kind, Route};
use protocol::settings::Bounds;
use streamarch::{Class, Idempotency, ListKind, Micros, Plan, RetryBudget, ServerEntry, Settings};

use super::{
    EngineEntry, MAX_REQUESTS_PER_ENGINE, MS, PendingPlacement, RequestHandle, RequestKey,
    RequestRouter, common_engine_settings,
};
use crate::shedding::SheddingPriority;

/// Latency targets that classes distinguish; a route's target is rounded to the nearest.
pub(super) const LATENCY_TARGETS: [Micros; 8] = [
    100 * MS,
    200 * MS,
    400 * MS,
    600 * MS,
    1_000 * MS,
    2_000 * MS,
    4_000 * MS,
    10_000 * MS,
];
/// Priority weight by rank, highest first; lower ranks count as the last.
const PRIORITY_WEIGHTS: [f64; 4] = [4.0, 2.0, 1.0, 0.5];
/// The part of the rules' bound on retries that is used: the rest covers sliding windows and
/// differing clocks.
const RETRY_SHARE: f64 = 0.6;

fn nearest_latency_target(aim: Micros) -> usize {
    let off = |at: &usize| (LATENCY_TARGETS[*at] - aim).abs();
    (0..LATENCY_TARGETS.len()).min_by_key(off).unwrap_or(0)
}

pub(super) fn class_index(route: &Route, prio: u32) -> usize {
    let rank = (prio as usize).min(PRIORITY_WEIGHTS.len() - 1);
    let repeat = usize::from(route.kind != Kind::Idempotent);
    (repeat * PRIORITY_WEIGHTS.len() + rank) * LATENCY_TARGETS.len()
        + nearest_latency_target(route.target_time.0)
}

fn classes() -> Vec<Class> {
    let class = |repeat: Idempotency, worth: f64, aim: Micros| Class {
        latency_target: aim,
        client_timeout: 10 * aim,
        late_value_share: 0.1,
        value: worth,
        idempotency: repeat,
        streaming: false,
    };
    let repeats = [Idempotency::Idempotent, Idempotency::NotIdempotent];
    let ranks = repeats
        .iter()
        .flat_map(|repeat| PRIORITY_WEIGHTS.map(|worth| (*repeat, worth)));
    ranks
        .flat_map(|(repeat, worth)| LATENCY_TARGETS.map(|aim| class(repeat, worth, aim)))
        .collect()
}

/// The rules' bound on retries holds over all limiters: each one's own share is reduced by its own
/// first attempts, and the allowance is divided evenly, and halved between the two engines that one
/// service may have.
fn retry_budget(limiters: u32, bounds: &Bounds) -> RetryBudget {
    let most = bounds.retry_slack * RETRY_SHARE / 2.0 / f64::from(limiters.max(1));
    RetryBudget {
        earned_per_request: bounds.retry_ratio * RETRY_SHARE,
        max_balance: most.max(1.0),
        unexecuted_cost: 1.0,
    }
}

fn placement_engine(limiters: u32, seed: u64, most: usize, bounds: &Bounds, aim: Micros) -> Engine {
    let plans = vec![Plan {
        value_factor: 1.0,
        ..Plan::default()
    }];
    let retries = retry_budget(limiters, bounds);
    let settings = Settings {
        classes: classes(),
        plans,
        can_probe: true,
        max_attempts: 8,
        retry_budget: retries,
        // An answer that is still of use to its client does not count as a silent server.
        min_silence_timeout: aim,
        ..common_engine_settings(limiters)
    };
    Engine::new(settings, seed, most)
}

impl RequestRouter {
    /// The services and regions that have an engine, with its position.
    pub fn service_engines(&self) -> impl Iterator<Item = (&str, &[String], usize)> {
        self.engine_indices
            .iter()
            .map(|((svc, pins), at)| (svc.as_str(), pins.as_slice(), *at))
    }

    /// Replaces the servers of an engine.
    pub fn update_servers(&mut self, engine: usize, entries: Vec<ServerEntry>) {
        self.engines[engine]
            .engine
            .update_servers(ListKind::Full, entries);
    }

    /// The engine of a service in these regions; where there is none, [`RequestRouter::create_engine`] is
    /// due.
    pub fn engine_index(&self, svc: &str, pins: &[String]) -> Option<usize> {
        // Looked up for each request: the key is built only where regions are named.
        self.engine_indices
            .iter()
            .find(|((s, p), _)| s == svc && p == pins)
            .map(|(_, at)| *at)
    }

    /// Opens an engine for a service in these regions with these servers. `aim`: the latency target
    /// of the route that it is opened for.
    pub fn create_engine(
        &mut self,
        svc: &str,
        pins: &[String],
        aim: Micros,
        entries: Vec<ServerEntry>,
    ) -> usize {
        let at = self.engines.len();
        let engine = placement_engine(
            self.limiter_count,
            self.seed.wrapping_add(at as u64),
            MAX_REQUESTS_PER_ENGINE,
            &self.bounds,
            aim,
        );
        self.engines.push(EngineEntry {
            latency_target: aim,
            ..EngineEntry::new(svc, engine)
        });
        self.engine_indices
            .insert((svc.to_string(), pins.to_vec()), at);
        self.update_servers(at, entries);
        at
    }

    /// Hands a request to its service's engine. One that was admitted before is not subjected to
    /// shedding again.
    pub(super) fn submit_to_service_engine(
        &mut self,
        now: Micros,
        request: RequestKey,
        pending: &PendingPlacement,
        priority: SheddingPriority,
    ) -> Option<RequestHandle> {
        let &PendingPlacement {
            engine_index: service_engine,
            class,
            deadline,
            ..
        } = pending;
        let SheddingPriority {
            position: place,
            shed_share: waits,
            ..
        } = priority;
        let authorisation = Authorisation {
            class,
            deadline,
            limiter_count: 1,
            priority_position: place,
            shed_share: waits,
            ..Authorisation::default()
        };
        let key = self.engines[service_engine]
            .engine
            .submit(now, authorisation)
            .ok()?;
        self.engines[service_engine].requests.insert(key, request);
        if priority.is_shed() {
            self.engines[service_engine].shed_requests.insert(key, ());
        }
        Some(RequestHandle {
            engine_index: service_engine,
            key,
        })
    }
}
