//! Routes requests through the decision module (crate `streamarch`): one engine enforces quotas
//! with the shared counter, and one for each service and set of regions selects servers. Performs
//! no I/O.
//!
//! A tenant's quota covers all services. Therefore a single engine checks it and then hands
//! admitted requests to the engine of their service. Requests of tenants without a quota go there
//! directly.
//!
//! A limiter is a proxy together with its agent: the unit that quotas and retry budgets are divided
//! by.

mod placement_engine;
mod quota_engine;
mod quota_shares;

use std::collections::BTreeMap;

use dataplane::engine::{Authorisation, Engine, EngineAction, EngineRejection};
use dataplane::slots::AuthorisationKey;
use protocol::items::{Route, Tenant};
use protocol::messages::CounterAdd;
use protocol::settings::Bounds;
use slotmap::SecondaryMap;
use streamarch::{CounterKey, Micros, Outcome, ServerId, Settings};

use self::placement_engine::{LATENCY_TARGETS, class_index};
use self::quota_engine::{
    ISOLATED_SHARE_DIVISOR, MAX_COUNTING_LIMITERS, customer_id, quota_engine,
};
pub use self::quota_engine::{MAX_COUNTER_TIMEOUT, MIN_COUNTER_TIMEOUT};
use self::quota_shares::{QuotaShare, QuotaShares};
use crate::shedding::{LoadShedding, SheddingPriority, SheddingRequest, priority_tier};

slotmap::new_key_type! {
    /// A request without a final response yet.
    pub struct RequestKey;
}

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Longest `Retry-After` sent to clients.
const MAX_RETRY_AFTER: Micros = SECOND;
/// Shortest `Retry-After` where a local share is exhausted: the counter may have recovered by then.
const MIN_SHARE_RETRY_AFTER: Micros = 100 * MS;

/// Index of the engine that enforces quotas; the engines of services follow.
const QUOTA_ENGINE: usize = 0;

/// Identifies a request within the engine that currently holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHandle {
    /// Index of the engine.
    pub engine_index: usize,
    /// Its authorisation in that engine.
    pub key: AuthorisationKey,
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterAction {
    /// Send the request to a server.
    SendAttempt {
        /// The request.
        request: RequestKey,
        /// Identifies the request when the host reports the outcome.
        handle: RequestHandle,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
    },
    /// Close the connection of an attempt, which the engine already counts as ended.
    CancelAttempt(RequestHandle, u32),
    /// Send the final response, as no server's response is one.
    Reject(RequestKey, EngineRejection),
    /// Add to the shared counter; report with [`RequestRouter::handle_counter_result`].
    AddToCounter(CounterAdd),
    /// Check a server's health for the engine at this index; report with
    /// [`RequestRouter::handle_probe_result`].
    Probe(usize, ServerId),
}

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RoutingRequest<'a> {
    /// The request.
    pub key: RequestKey,
    /// The request id that the client sent.
    pub request_id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service selected for it.
    pub service: &'a str,
    /// Its tenant's name and configuration.
    pub tenant: Option<(&'a str, &'a Tenant)>,
    /// The regions that may serve it; empty: all.
    pub allowed_regions: &'a [String],
    /// Deadline of the final response.
    pub deadline: Micros,
}

impl<'a> RoutingRequest<'a> {
    /// The properties that determine its priority under overload.
    pub fn shedding_request(&self) -> SheddingRequest<'a> {
        let RoutingRequest {
            request_id,
            route,
            service,
            tenant,
            ..
        } = *self;
        SheddingRequest {
            request_id,
            route,
            service,
            tenant,
        }
    }
}

/// An engine with the requests that it holds.
struct EngineEntry {
    /// The service; empty for the quota engine.
    service: String,
    /// The latency target of the route for which the engine was created; 0 for the quota engine.
    latency_target: Micros,
    engine: Engine,
    requests: SecondaryMap<AuthorisationKey, RequestKey>,
    /// Requests submitted to be rejected because of overload; the decision module rejects them.
    shed_requests: SecondaryMap<AuthorisationKey, ()>,
}

impl EngineEntry {
    fn new(service: &str, engine: Engine) -> EngineEntry {
        let (requests, shed_requests) = (SecondaryMap::new(), SecondaryMap::new());
        EngineEntry {
            service: service.to_string(),
            latency_target: 0,
            engine,
            requests,
            shed_requests,
        }
    }
}

/// How a request is submitted to its service's engine after its quota has been checked.
struct PendingPlacement {
    /// Index of the service's engine.
    engine_index: usize,
    /// Index of its class in the settings of the service's engine.
    class: usize,
    priority: SheddingPriority,
    /// Its shedding decision was made and recorded before its quota was checked.
    is_admission_recorded: bool,
    tenant: String,
    deadline: Micros,
    /// Most servers that it may be sent to.
    tries: u32,
    /// Set if its tenant's local share is exhausted: the time until it is refilled.
    share_retry_after: Option<Micros>,
}

/// By tenant: the bits of its rate and burst, and the index of the plan made from them.
type PlanIndices = BTreeMap<String, ((u64, u64), usize)>;

/// Routes the requests of one proxy.
pub struct RequestRouter {
    seed: u64,
    bounds: Bounds,
    limiter_count: u32,
    /// Number of limiters by which quotas are divided.
    quota_divisor: u32,
    /// The control plane no longer includes this limiter when it divides quotas.
    is_isolated: bool,
    /// After a jump of the clock, local shares are reduced until then.
    reduced_shares_until: Micros,
    /// End of the start-up phase; `None` before the first number of limiters arrives.
    startup_until: Option<Micros>,
    /// When a lower number of limiters was first announced, and the highest number announced since.
    pending_decrease: Option<(Micros, u32)>,
    /// The term of the counter's owner.
    counter_term: Option<u64>,
    /// The highest term announced.
    highest_counter_term: u64,
    engines: Vec<EngineEntry>,
    shedding: LoadShedding,
    /// Index of each engine by service and regions.
    engine_indices: BTreeMap<(String, Vec<String>), usize>,
    /// Requests held by the quota engine.
    pending_placements: SecondaryMap<AuthorisationKey, PendingPlacement>,
    /// The tenants' local shares, enforced while the counter's totals are unreliable.
    quota_shares: QuotaShares,
    /// The tenants' plans in the quota engine: with the usual burst, and with the reduced one.
    plan_indices: [PlanIndices; 2],
    plan_count: usize,
    engine_actions: Vec<EngineAction>,
}

/// The settings that both kinds of engines have in common.
fn common_engine_settings(limiter_count: u32) -> Settings {
    Settings {
        gateway_count: limiter_count.max(1),
        min_handle_interval: 1,
        can_cancel: true,
        sends_retry_after: true,
        max_retry_after: MAX_RETRY_AFTER,
        counter_timeout: MAX_COUNTER_TIMEOUT,
        ..Settings::default()
    }
}

/// Most requests that one engine holds.
const MAX_REQUESTS_PER_ENGINE: usize = 4_000;

impl RequestRouter {
    /// Creates a router without services.
    pub fn new(seed: u64, bounds: Bounds) -> RequestRouter {
        let quota_engine = EngineEntry::new("", quota_engine(seed, MAX_REQUESTS_PER_ENGINE));
        RequestRouter {
            seed,
            bounds,
            limiter_count: 1,
            quota_divisor: MAX_COUNTING_LIMITERS,
            is_isolated: false,
            reduced_shares_until: 0,
            startup_until: None,
            pending_decrease: None,
            counter_term: None,
            highest_counter_term: 0,
            engines: vec![quota_engine],
            shedding: LoadShedding::default(),
            engine_indices: BTreeMap::new(),
            pending_placements: SecondaryMap::new(),
            quota_shares: QuotaShares::default(),
            plan_indices: Default::default(),
            plan_count: 0,
            engine_actions: Vec::new(),
        }
    }

    /// Submits a request; [`RequestRouter::run`] returns the resulting actions. `None` if the
    /// engine's capacity is exhausted, or its service has no engine.
    pub fn submit(&mut self, now: Micros, request: &RoutingRequest<'_>) -> Option<RequestHandle> {
        let service_engine = self.engine_index(request.service, request.allowed_regions)?;
        let shedding_request = request.shedding_request();
        let priority = self.shedding.priority(now, &shedding_request);
        let limited_tenant = request.tenant.filter(|(_, tenant)| tenant.per_s > 0.0);
        let is_shedding_checked = limited_tenant.is_none()
            || self
                .shedding
                .is_shedding_checked_first(now, &shedding_request);
        if is_shedding_checked {
            self.shedding.record_decision(request.service, &priority);
        }
        let class = class_index(request.route, priority_tier(request.route, request.tenant));
        let tenant_name =
            limited_tenant.map_or(String::new(), |(tenant_name, _)| tenant_name.to_string());
        let deadline = request.deadline;
        let pending = PendingPlacement {
            engine_index: service_engine,
            class,
            priority,
            is_admission_recorded: is_shedding_checked,
            tenant: tenant_name,
            deadline,
            tries: request.route.tries.max(1),
            share_retry_after: None,
        };
        let Some((tenant_name, tenant)) = limited_tenant else {
            return self.submit_to_service_engine(now, request.key, &pending, priority);
        };
        self.submit_for_quota(now, request, pending, (tenant_name, tenant))
    }

    /// Submits a request to the quota engine; once admitted there, it is submitted to its service's
    /// engine.
    fn submit_for_quota(
        &mut self,
        now: Micros,
        request: &RoutingRequest<'_>,
        mut pending: PendingPlacement,
        (tenant_name, tenant): (&str, &Tenant),
    ) -> Option<RequestHandle> {
        let plan = self.plan_index(now, tenant_name, tenant);
        let divisor = if self.is_isolated || now < self.reduced_shares_until {
            (ISOLATED_SHARE_DIVISOR * self.quota_divisor).min(MAX_COUNTING_LIMITERS)
        } else {
            self.quota_divisor
        };
        let share = QuotaShare::new(tenant.per_s, tenant.burst, self.bounds.quota_slack, divisor);
        pending.share_retry_after = self.quota_shares.try_charge(now, tenant_name, share).err();
        let priority = match pending.share_retry_after {
            Some(_) => SheddingPriority::REJECTED,
            None if pending.is_admission_recorded => pending.priority,
            None => SheddingPriority::default(),
        };
        let authorisation = Authorisation {
            class: 0,
            plan,
            customer: customer_id(tenant_name),
            deadline: request.deadline,
            units: 1.0,
            customer_limiters: divisor,
            shed_rank: priority.shed_rank,
            shed_share: priority.shed_share,
            ..Authorisation::default()
        };
        let quota_engine = &mut self.engines[QUOTA_ENGINE];
        let key = quota_engine.engine.submit(now, authorisation).ok()?;
        quota_engine.requests.insert(key, request.key);
        self.pending_placements.insert(key, pending);
        Some(RequestHandle {
            engine_index: QUOTA_ENGINE,
            key,
        })
    }

    /// Whether a request is shed by its head alone, so that its body need not be read. If so, the
    /// decision is recorded.
    pub fn is_shed_by_head(&mut self, now: Micros, shedding_request: &SheddingRequest<'_>) -> bool {
        let priority = self.shedding.priority(now, shedding_request);
        let is_shed = priority.is_shed()
            && self
                .shedding
                .is_shedding_checked_first(now, shedding_request);
        if is_shed {
            self.shedding
                .record_decision(shedding_request.service, &priority);
        }
        is_shed
    }

    /// The load shedding state.
    pub fn shedding(&mut self) -> &mut LoadShedding {
        &mut self.shedding
    }

    /// When [`RequestRouter::run`] must be called next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        self.engines
            .iter()
            .filter_map(|entry| entry.engine.next_wakeup())
            .min()
    }

    /// Runs all engines and appends the resulting actions to `actions`. `on_handle_changed` is
    /// called with the new handle of each request that its quota admitted and that is now submitted
    /// to its service's engine.
    pub fn run(
        &mut self,
        now: Micros,
        actions: &mut Vec<RouterAction>,
        mut on_handle_changed: impl FnMut(RequestKey, RequestHandle),
    ) {
        for engine_index in 0..self.engines.len() {
            // The buffer is reused between calls.
            let mut engine_actions = std::mem::take(&mut self.engine_actions);
            self.engines[engine_index]
                .engine
                .run(now, &mut engine_actions);
            for action in engine_actions.drain(..) {
                self.handle_engine_action(
                    now,
                    engine_index,
                    action,
                    actions,
                    &mut on_handle_changed,
                );
            }
            self.engine_actions = engine_actions;
        }
    }

    fn handle_engine_action(
        &mut self,
        now: Micros,
        engine_index: usize,
        action: EngineAction,
        actions: &mut Vec<RouterAction>,
        on_handle_changed: &mut impl FnMut(RequestKey, RequestHandle),
    ) {
        match action {
            EngineAction::StartAttempt { key, attempt, .. } if engine_index == QUOTA_ENGINE => {
                match self.submit_admitted(now, key, attempt) {
                    Some((request, Some(handle))) => on_handle_changed(request, handle),
                    Some((request, None)) => {
                        let rejection = EngineRejection::Declined {
                            retry_after: MAX_RETRY_AFTER / 4,
                            over_quota: false,
                        };
                        actions.push(RouterAction::Reject(request, rejection));
                    }
                    None => {}
                }
            }
            EngineAction::StartAttempt {
                key,
                attempt,
                server,
                ..
            } => actions.extend(self.start_attempt(
                now,
                RequestHandle { engine_index, key },
                attempt,
                server,
            )),
            EngineAction::CancelAttempt { key, attempt } => actions.push(
                RouterAction::CancelAttempt(RequestHandle { engine_index, key }, attempt),
            ),
            EngineAction::Reject { key, rejection } => actions.extend(self.handle_rejection(
                now,
                RequestHandle { engine_index, key },
                rejection,
            )),
            EngineAction::AddToCounter { key, amount, ttl } => {
                actions.push(RouterAction::AddToCounter(CounterAdd {
                    counter: key.0,
                    units: amount,
                    ttl_us: ttl,
                }));
            }
            EngineAction::Probe(server) => actions.push(RouterAction::Probe(engine_index, server)),
            EngineAction::Notify(..) | EngineAction::Log(_) => {}
        }
    }

    /// Whether quotas are currently enforced by local shares.
    pub fn enforces_local_shares(&mut self, now: Micros) -> bool {
        self.quota_shares.is_binding(now)
    }

    /// Submits a request that the quota engine admitted to its service's engine. Returns the request
    /// with its new handle, which is `None` if that engine's capacity is exhausted.
    fn submit_admitted(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        attempt: u32,
    ) -> Option<(RequestKey, Option<RequestHandle>)> {
        let quota_engine = &mut self.engines[QUOTA_ENGINE];
        quota_engine
            .engine
            .handle_attempt_ended(now, key, attempt, Outcome::Ok, None);
        let request = quota_engine.requests.remove(key);
        let pending = self.pending_placements.remove(key);
        let (request, pending) = request.zip(pending)?;
        let priority = if pending.is_admission_recorded {
            SheddingPriority::default()
        } else {
            self.shedding.record_decision(
                &self.engines[pending.engine_index].service,
                &pending.priority,
            );
            pending.priority
        };
        let handle = self.submit_to_service_engine(now, request, &pending, priority);
        Some((request, handle))
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        attempt: u32,
        server: ServerId,
    ) -> Option<RouterAction> {
        let entry = &mut self.engines[handle.engine_index];
        let Some(request) = entry.requests.get(handle.key).copied() else {
            entry
                .engine
                .handle_attempt_ended(now, handle.key, attempt, Outcome::NotSent, None);
            return None;
        };
        Some(RouterAction::SendAttempt {
            request,
            handle,
            attempt,
            server,
        })
    }

    fn handle_rejection(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        rejection: EngineRejection,
    ) -> Option<RouterAction> {
        let rejection = if handle.engine_index == QUOTA_ENGINE {
            self.quota_rejection(now, handle.key, rejection)
        } else {
            self.record_rejection(now, handle, rejection);
            rejection
        };
        let request = self.engines[handle.engine_index]
            .requests
            .remove(handle.key)?;
        Some(RouterAction::Reject(request, rejection))
    }

    /// The rejection of a request by the quota engine. Where the local share is exhausted, that is
    /// the reason given, and the time until it is refilled.
    fn quota_rejection(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        rejection: EngineRejection,
    ) -> EngineRejection {
        let Some(pending) = self.pending_placements.remove(key) else {
            return rejection;
        };
        let rejection = match pending.share_retry_after {
            Some(retry_after) => EngineRejection::Declined {
                retry_after: retry_after.clamp(MIN_SHARE_RETRY_AFTER, MAX_RETRY_AFTER),
                over_quota: true,
            },
            None => {
                self.quota_shares.refund(&pending.tenant);
                rejection
            }
        };
        if let EngineRejection::Declined {
            over_quota: true, ..
        } = rejection
        {
            let service = self.engines[pending.engine_index].service.as_str();
            let recorded_decision = pending
                .is_admission_recorded
                .then_some((service, pending.priority.band));
            self.shedding
                .record_over_quota(now, &pending.tenant, recorded_decision);
        }
        rejection
    }

    /// Records that a service's engine rejected a request: unless it was shed, no server was free.
    fn record_rejection(&mut self, now: Micros, handle: RequestHandle, rejection: EngineRejection) {
        if !matches!(rejection, EngineRejection::Declined { .. }) {
            return;
        }
        let entry = &mut self.engines[handle.engine_index];
        if entry.shed_requests.remove(handle.key).is_none() {
            self.shedding.record_no_server(now, &entry.service);
        }
    }

    /// Handles the end of an attempt. Returns whether its response is the final one.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        attempt: u32,
        outcome: Outcome,
    ) -> bool {
        let entry = &mut self.engines[handle.engine_index];
        if let Some((class, sent_at)) = entry.engine.in_flight_attempt(handle.key, attempt) {
            let latency = (
                now - sent_at,
                LATENCY_TARGETS[class % LATENCY_TARGETS.len()],
            );
            self.shedding
                .record_outcome(now, &entry.service, outcome, latency);
        }
        let is_final = entry
            .engine
            .handle_attempt_ended(now, handle.key, attempt, outcome, None);
        if is_final {
            entry.requests.remove(handle.key);
        }
        is_final
    }

    /// A streamed body was sent to a server and is no longer buffered: no further attempt is
    /// possible.
    pub fn handle_body_discarded(&mut self, handle: RequestHandle) {
        self.engines[handle.engine_index]
            .engine
            .handle_body_discarded(handle.key);
    }

    /// The last byte of an attempt has been written.
    pub fn handle_attempt_written(&mut self, now: Micros, handle: RequestHandle, attempt: u32) {
        self.engines[handle.engine_index]
            .engine
            .handle_request_written(now, handle.key, attempt);
    }

    /// The client disconnected.
    pub fn handle_client_disconnected(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        actions: &mut Vec<RouterAction>,
    ) {
        let entry = &mut self.engines[handle.engine_index];
        entry.requests.remove(handle.key);
        if handle.engine_index == QUOTA_ENGINE
            && let Some(pending) = self
                .pending_placements
                .remove(handle.key)
                .filter(|pending| pending.share_retry_after.is_none())
        {
            self.quota_shares.refund(&pending.tenant);
        }
        let mut engine_actions = std::mem::take(&mut self.engine_actions);
        entry
            .engine
            .handle_client_disconnected(now, handle.key, &mut engine_actions);
        for action in engine_actions.drain(..) {
            self.handle_engine_action(now, handle.engine_index, action, actions, &mut |_, _| {});
        }
        self.engine_actions = engine_actions;
    }

    /// The shared counter returned a total, or the call failed.
    pub fn handle_counter_result(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.quota_shares.handle_call_result(outcome == Outcome::Ok);
        self.engines[QUOTA_ENGINE]
            .engine
            .handle_counter_result(CounterKey(name), outcome, total);
    }

    /// The counter returned a total for a call that had timed out: it has counted the units, and
    /// counts as reachable.
    pub fn handle_late_counter_result(&mut self) {
        self.quota_shares.handle_call_result(true);
        self.engines[QUOTA_ENGINE]
            .engine
            .handle_late_counter_result();
    }

    /// Sets the term of the counter's owner; `None` while there is none.
    pub fn set_counter_term(&mut self, term: Option<u64>) {
        let Some(term) = term else { return };
        let previous_term = self.counter_term.replace(term);
        if previous_term.is_some_and(|previous| previous != term) {
            self.engines[QUOTA_ENGINE].engine.handle_counter_replaced();
        }
        // A proxy that has just started does not know for how long this owner has been counting. A
        // replica that was isolated may announce the owner of an earlier term. That owner no longer
        // counts, so this is no change of owner.
        if term > self.highest_counter_term {
            self.highest_counter_term = term;
            self.quota_shares.handle_owner_changed();
        }
    }

    /// Time-out of a health check for the engine at this index. The check waits for a slot of the
    /// server as requests do; a server that answers within this time is not unresponsive.
    pub fn probe_timeout(&self, engine_index: usize) -> Micros {
        self.engines[engine_index].latency_target / 2
    }

    /// Handles the end of a health check for the engine at this index.
    pub fn handle_probe_result(&mut self, engine: usize, server: ServerId, outcome: Outcome) {
        self.engines[engine]
            .engine
            .handle_probe_result(server, outcome, None);
    }

    /// The number of requests without a final response.
    pub fn open_requests(&self) -> usize {
        self.engines
            .iter()
            .map(|entry| entry.engine.open_request_count())
            .sum()
    }
}

#[cfg(test)]
mod tests;
