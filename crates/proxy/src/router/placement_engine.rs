//! The engines that select servers, one for each service and set of regions.

use dataplane::engine::{Authorisation, Engine};
use protocol::items::{Idempotency as RouteIdempotency, Route};
use protocol::settings::Bounds;
use streamarch::{Class, Idempotency, ListKind, Micros, Plan, RetryBudget, ServerEntry, Settings};

use super::{
    EngineEntry, MAX_REQUESTS_PER_ENGINE, MS, PendingPlacement, RequestHandle, RequestKey,
    RequestRouter, common_engine_settings,
};
use crate::shedding::SheddingPriority;

/// The latency targets of request classes; a route's target is rounded to the nearest.
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
/// The weight of a request by its priority tier, highest first; lower tiers count as the last.
const PRIORITY_WEIGHTS: [f64; 4] = [4.0, 2.0, 1.0, 0.5];
/// The part of the permitted retries that is used. The rest covers sliding windows and differences
/// between clocks.
const RETRY_SHARE: f64 = 0.6;

/// The index of the latency target that is nearest to this one.
fn nearest_latency_target(target: Micros) -> usize {
    let distance = |index: &usize| (LATENCY_TARGETS[*index] - target).abs();
    (0..LATENCY_TARGETS.len()).min_by_key(distance).unwrap_or(0)
}

/// The index of a request's class in [`request_classes`].
pub(super) fn class_index(route: &Route, tier: u32) -> usize {
    let tier = (tier as usize).min(PRIORITY_WEIGHTS.len() - 1);
    let idempotency = usize::from(route.kind != RouteIdempotency::Idempotent);
    (idempotency * PRIORITY_WEIGHTS.len() + tier) * LATENCY_TARGETS.len()
        + nearest_latency_target(route.target_time.0)
}

/// The classes of requests: by whether a retry is safe, then by tier, then by latency target.
fn request_classes() -> Vec<Class> {
    let class = |idempotency: Idempotency, value: f64, latency_target: Micros| Class {
        latency_target,
        client_timeout: 10 * latency_target,
        late_value_share: 0.1,
        value,
        idempotency,
        streaming: false,
    };
    let idempotencies = [Idempotency::Idempotent, Idempotency::NotIdempotent];
    let idempotencies_and_weights = idempotencies
        .iter()
        .flat_map(|idempotency| PRIORITY_WEIGHTS.map(|value| (*idempotency, value)));
    idempotencies_and_weights
        .flat_map(|(idempotency, value)| {
            LATENCY_TARGETS.map(|target| class(idempotency, value, target))
        })
        .collect()
}

/// The retry budget of one engine. The permitted number of retries holds over all limiters: the
/// part in proportion to first attempts is earned by each limiter's own first attempts, and the
/// fixed part is divided evenly, and halved between the two engines that one service may have.
fn retry_budget(limiter_count: u32, bounds: &Bounds) -> RetryBudget {
    let max_balance = bounds.retry_slack * RETRY_SHARE / 2.0 / f64::from(limiter_count.max(1));
    RetryBudget {
        earned_per_request: bounds.retry_ratio * RETRY_SHARE,
        max_balance: max_balance.max(1.0),
        unexecuted_cost: 1.0,
    }
}

/// Creates an engine that selects servers.
fn placement_engine(
    limiter_count: u32,
    seed: u64,
    max_requests: usize,
    bounds: &Bounds,
    latency_target: Micros,
) -> Engine {
    let plans = vec![Plan {
        value_factor: 1.0,
        ..Plan::default()
    }];
    let retry_budget = retry_budget(limiter_count, bounds);
    let settings = Settings {
        classes: request_classes(),
        plans,
        can_probe: true,
        hedges_silent_servers: true,
        max_attempts: 8,
        retry_budget,
        // A server is not considered unresponsive while its response would still be in time.
        min_silence_timeout: latency_target,
        ..common_engine_settings(limiter_count)
    };
    Engine::new(settings, seed, max_requests)
}

impl RequestRouter {
    /// The services and sets of regions that have an engine, with its index.
    pub fn service_engines(&self) -> impl Iterator<Item = (&str, &[String], usize)> {
        self.engine_indices
            .iter()
            .map(|((service, regions), engine_index)| {
                (service.as_str(), regions.as_slice(), *engine_index)
            })
    }

    /// Replaces the servers of the engine at this index.
    pub fn update_servers(&mut self, engine_index: usize, entries: Vec<ServerEntry>) {
        self.engines[engine_index]
            .engine
            .update_servers(ListKind::Full, entries);
    }

    /// The index of the engine of a service in these regions; `None` if it is yet to be created by
    /// [`RequestRouter::create_engine`].
    pub fn engine_index(&self, service: &str, regions: &[String]) -> Option<usize> {
        // Called for each request: a search needs no key to be allocated, as a lookup would.
        self.engine_indices
            .iter()
            .find(|((s, r), _)| s == service && r == regions)
            .map(|(_, engine_index)| *engine_index)
    }

    /// Creates an engine for a service in these regions with these servers, and returns its index.
    /// `latency_target`: of the route for which it is created.
    pub fn create_engine(
        &mut self,
        service: &str,
        regions: &[String],
        latency_target: Micros,
        entries: Vec<ServerEntry>,
    ) -> usize {
        let engine_index = self.engines.len();
        let engine = placement_engine(
            self.limiter_count,
            self.seed.wrapping_add(engine_index as u64),
            MAX_REQUESTS_PER_ENGINE,
            &self.bounds,
            latency_target,
        );
        self.engines.push(EngineEntry {
            latency_target,
            ..EngineEntry::new(service, engine)
        });
        self.engine_indices
            .insert((service.to_string(), regions.to_vec()), engine_index);
        self.update_servers(engine_index, entries);
        engine_index
    }

    /// Submits a request to its service's engine. If shedding was decided before, `priority` must be
    /// the default, which is never shed, so that the request is not subjected to shedding twice.
    pub(super) fn submit_to_service_engine(
        &mut self,
        now: Micros,
        request: RequestKey,
        pending: &PendingPlacement,
        priority: SheddingPriority,
    ) -> Option<RequestHandle> {
        let &PendingPlacement {
            engine_index,
            class,
            deadline,
            tries,
            ..
        } = pending;
        let SheddingPriority {
            shed_rank,
            shed_share,
            ..
        } = priority;
        let authorisation = Authorisation {
            class,
            deadline,
            customer_limiters: 1,
            max_attempts: tries,
            shed_rank,
            shed_share,
            ..Authorisation::default()
        };
        let key = self.engines[engine_index]
            .engine
            .submit(now, authorisation)
            .ok()?;
        self.engines[engine_index].requests.insert(key, request);
        if priority.is_shed() {
            self.engines[engine_index].shed_requests.insert(key, ());
        }
        Some(RequestHandle { engine_index, key })
    }
}
