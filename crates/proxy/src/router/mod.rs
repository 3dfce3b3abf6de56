//! Routes requests through the decision module: one engine enforces quotas with the shared counter,
//! and one for each service and set of regions selects servers. Without I/O.
//!
//! A tenant's quota covers all services, so that one engine checks it and then hands admitted
//! requests to the engine of their service. Requests of tenants without a quota go there directly.

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
    /// A request whose final answer is still owed.
    pub struct RequestKey;
}

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Longest wait that clients are told.
const MAX_RETRY_AFTER: Micros = SECOND;
/// Shortest wait told where a local share is used up: the counter may be back by then.
const MIN_SHARE_RETRY_AFTER: Micros = 100 * MS;

/// Position of the engine that enforces quotas; the engines of services follow.
const QUOTA_ENGINE: usize = 0;

/// An authorisation, and the engine that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHandle {
    /// Position of the engine.
    pub engine_index: usize,
    /// Its authorisation.
    pub key: AuthorisationKey,
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterAction {
    /// Send the request to a server.
    SendAttempt {
        /// The request.
        request: RequestKey,
        /// The handle by which the host reports the outcome.
        handle: RequestHandle,
        /// Number of the attempt.
        attempt: u32,
        /// The server.
        server: ServerId,
    },
    /// Close the connection of an attempt; its outcome is known.
    CancelAttempt(RequestHandle, u32),
    /// Send the final answer.
    Reject(RequestKey, EngineRejection),
    /// Add to the shared counter; report with [`RequestRouter::handle_counter_result`].
    AddToCounter(CounterAdd),
    /// Check a server's health, for the engine at this position.
    Probe(usize, ServerId),
}

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RoutingRequest<'a> {
    /// The request.
    pub key: RequestKey,
    /// Its id, as the client sent it.
    pub request_id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub service: &'a str,
    /// Its tenant, by name.
    pub tenant: Option<(&'a str, &'a Tenant)>,
    /// The regions that may serve it; empty: all.
    pub allowed_regions: &'a [String],
    /// Deadline of the final answer.
    pub deadline: Micros,
}

impl<'a> RoutingRequest<'a> {
    /// What its priority under overload depends on.
    pub fn shedding_request(&self) -> SheddingRequest<'a> {
        let RoutingRequest {
            request_id: id,
            route,
            service: svc,
            tenant,
            ..
        } = *self;
        SheddingRequest {
            request_id: id,
            route,
            service: svc,
            tenant,
        }
    }
}

struct EngineEntry {
    /// The service; empty for the quota engine.
    service: String,
    /// The latency target.
    latency_target: Micros,
    engine: Engine,
    requests: SecondaryMap<AuthorisationKey, RequestKey>,
    /// Requests that are to be rejected because of overload; the module rejects them.
    shed_requests: SecondaryMap<AuthorisationKey, ()>,
}

impl EngineEntry {
    fn new(svc: &str, engine: Engine) -> EngineEntry {
        let (requests, waiting) = (SecondaryMap::new(), SecondaryMap::new());
        EngineEntry {
            service: svc.to_string(),
            latency_target: 0,
            engine,
            requests,
            shed_requests: waiting,
        }
    }
}

/// Where a request goes once its quota was checked.
struct PendingPlacement {
    engine_index: usize,
    class: usize,
    priority: SheddingPriority,
    /// Its admission was decided before its quota was checked.
    is_admission_recorded: bool,
    tenant: String,
    deadline: Micros,
    /// Its tenant's local share is used up; it may come again after this time.
    share_retry_after: Option<Micros>,
}

/// Limits and position of each tenant's plan.
type PlanIndices = BTreeMap<String, ((u64, u64), usize)>;

/// Routes the requests of one proxy.
pub struct RequestRouter {
    seed: u64,
    bounds: Bounds,
    limiter_count: u32,
    /// Number of limiters that quotas are divided by.
    quota_divisor: u32,
    /// The control plane does not count on this limiter any more.
    is_isolated: bool,
    /// Reduces the local shares until then, after a jump of the clock.
    reduced_shares_until: Micros,
    /// End of the start-up phase.
    startup_until: Option<Micros>,
    /// When a lower number of limiters was first announced, and the highest number announced since.
    pending_decrease: Option<(Micros, u32)>,
    /// The term of the counter's owner.
    counter_term: Option<u64>,
    /// The newest term announced.
    highest_counter_term: u64,
    engines: Vec<EngineEntry>,
    shedding: LoadShedding,
    /// Position of each engine by service and regions.
    engine_indices: BTreeMap<(String, Vec<String>), usize>,
    pending_placements: SecondaryMap<AuthorisationKey, PendingPlacement>,
    /// The tenants' local shares while the counter is in doubt.
    quota_shares: QuotaShares,
    /// The tenants' plans in the quota engine, with the usual and the reduced burst: limits and
    /// position.
    plan_indices: [PlanIndices; 2],
    plan_count: usize,
    engine_actions: Vec<EngineAction>,
}

/// The settings of both kinds of engines.
fn common_engine_settings(limiters: u32) -> Settings {
    Settings {
        gateway_count: limiters.max(1),
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
    /// A router without services.
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

    /// Takes a request; [`RequestRouter::run`] returns what follows. `None` if too many are held.
    pub fn submit(&mut self, now: Micros, request: &RoutingRequest<'_>) -> Option<RequestHandle> {
        let service_engine = self.engine_index(request.service, request.allowed_regions)?;
        let shedding_request = request.shedding_request();
        let priority = self.shedding.priority(now, &shedding_request);
        let limited = request.tenant.filter(|(_, tenant)| tenant.per_s > 0.0);
        let first = limited.is_none()
            || self
                .shedding
                .is_shedding_checked_first(now, &shedding_request);
        if first {
            self.shedding.record_decision(request.service, &priority);
        }
        let class = class_index(request.route, priority_tier(request.route, request.tenant));
        let name = limited.map_or(String::new(), |(name, _)| name.to_string());
        let deadline = request.deadline;
        let pending = PendingPlacement {
            engine_index: service_engine,
            class,
            priority,
            is_admission_recorded: first,
            tenant: name,
            deadline,
            share_retry_after: None,
        };
        let Some((name, tenant)) = limited else {
            return self.submit_to_service_engine(now, request.key, &pending, priority);
        };
        self.submit_for_quota(now, request, pending, (name, tenant))
    }

    /// Submits a request to the quota engine, which hands it to its service's engine if it is
    /// admitted.
    fn submit_for_quota(
        &mut self,
        now: Micros,
        request: &RoutingRequest<'_>,
        mut pending: PendingPlacement,
        (name, tenant): (&str, &Tenant),
    ) -> Option<RequestHandle> {
        let plan = self.plan_index(now, name, tenant);
        let spread = if self.is_isolated || now < self.reduced_shares_until {
            (ISOLATED_SHARE_DIVISOR * self.quota_divisor).min(MAX_COUNTING_LIMITERS)
        } else {
            self.quota_divisor
        };
        let share = QuotaShare::new(tenant.per_s, tenant.burst, self.bounds.quota_slack, spread);
        pending.share_retry_after = self.quota_shares.try_charge(now, name, share).err();
        let priority = match pending.share_retry_after {
            Some(_) => SheddingPriority::REJECTED,
            None if pending.is_admission_recorded => pending.priority,
            None => SheddingPriority::default(),
        };
        let authorisation = Authorisation {
            class: 0,
            plan,
            customer: customer_id(name),
            deadline: request.deadline,
            units: 1.0,
            limiter_count: spread,
            priority_position: priority.position,
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

    /// Whether a request is shed by its head alone, so that its body need not be read.
    pub fn is_shed_by_head(&mut self, now: Micros, shedding_request: &SheddingRequest<'_>) -> bool {
        let priority = self.shedding.priority(now, shedding_request);
        let waits = priority.is_shed()
            && self
                .shedding
                .is_shedding_checked_first(now, shedding_request);
        if waits {
            self.shedding
                .record_decision(shedding_request.service, &priority);
        }
        waits
    }

    /// The load shedding state.
    pub fn shedding(&mut self) -> &mut LoadShedding {
        &mut self.shedding
    }

    /// When [`RequestRouter::run`] has something to do next.
    pub fn next_wakeup(&self) -> Option<Micros> {
        self.engines
            .iter()
            .filter_map(|service_engine| service_engine.engine.next_wakeup())
            .min()
    }

    /// Lets the module decide. `moved` is called for requests that were admitted and handed to a
    /// service's engine.
    pub fn run(
        &mut self,
        now: Micros,
        actions: &mut Vec<RouterAction>,
        mut moved: impl FnMut(RequestKey, RequestHandle),
    ) {
        for at in 0..self.engines.len() {
            let mut orders = std::mem::take(&mut self.engine_actions);
            self.engines[at].engine.run(now, &mut orders);
            for order in orders.drain(..) {
                self.handle_engine_action(now, at, order, actions, &mut moved);
            }
            self.engine_actions = orders;
        }
    }

    fn handle_engine_action(
        &mut self,
        now: Micros,
        engine: usize,
        action: EngineAction,
        actions: &mut Vec<RouterAction>,
        moved: &mut impl FnMut(RequestKey, RequestHandle),
    ) {
        match action {
            EngineAction::StartAttempt { key, attempt, .. } if engine == QUOTA_ENGINE => {
                match self.submit_admitted(now, key, attempt) {
                    Some((request, Some(handle))) => moved(request, handle),
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
                RequestHandle {
                    engine_index: engine,
                    key,
                },
                attempt,
                server,
            )),
            EngineAction::CancelAttempt { key, attempt } => {
                actions.push(RouterAction::CancelAttempt(
                    RequestHandle {
                        engine_index: engine,
                        key,
                    },
                    attempt,
                ))
            }
            EngineAction::Reject { key, rejection } => actions.extend(self.handle_rejection(
                now,
                RequestHandle {
                    engine_index: engine,
                    key,
                },
                rejection,
            )),
            EngineAction::AddToCounter {
                name,
                amount: add,
                ttl: life,
            } => {
                actions.push(RouterAction::AddToCounter(CounterAdd {
                    counter: name.0,
                    units: add,
                    ttl: life,
                }));
            }
            EngineAction::Probe(server) => actions.push(RouterAction::Probe(engine, server)),
            EngineAction::Notify(..) | EngineAction::Log(_) => {}
        }
    }

    /// Whether quotas are enforced by local shares now.
    pub fn enforces_local_shares(&mut self, now: Micros) -> bool {
        self.quota_shares.is_binding(now)
    }

    /// The quota engine admitted a request: hands it to the engine of its service. Returns the
    /// request with its new handle, which is `None` if that engine holds too many.
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
        let service = &mut self.engines[handle.engine_index];
        let Some(request) = service.requests.get(handle.key).copied() else {
            service
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

    /// The quota engine rejects a request: returns the rejection, which names the local share if
    /// that is used up.
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
            Some(wait) => EngineRejection::Declined {
                retry_after: wait.clamp(MIN_SHARE_RETRY_AFTER, MAX_RETRY_AFTER),
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
            let svc = self.engines[pending.engine_index].service.as_str();
            let counted = pending
                .is_admission_recorded
                .then_some((svc, pending.priority.band));
            self.shedding
                .record_over_quota(now, &pending.tenant, counted);
        }
        rejection
    }

    /// A service's engine rejects a request: unless it was shed, no server was free.
    fn record_rejection(&mut self, now: Micros, handle: RequestHandle, rejection: EngineRejection) {
        if !matches!(rejection, EngineRejection::Declined { .. }) {
            return;
        }
        let service = &mut self.engines[handle.engine_index];
        if service.shed_requests.remove(handle.key).is_none() {
            self.shedding.record_no_server(now, &service.service);
        }
    }

    /// An attempt ended. Returns whether its answer is the final answer.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        attempt: u32,
        outcome: Outcome,
    ) -> bool {
        let service_engine = &mut self.engines[handle.engine_index];
        if let Some((class, sent)) = service_engine.engine.in_flight_attempt(handle.key) {
            let times = (now - sent, LATENCY_TARGETS[class % LATENCY_TARGETS.len()]);
            self.shedding
                .record_outcome(now, &service_engine.service, outcome, times);
        }
        let last = service_engine
            .engine
            .handle_attempt_ended(now, handle.key, attempt, outcome, None);
        if last {
            service_engine.requests.remove(handle.key);
        }
        last
    }

    /// A streamed body was sent to a server and is no longer here: there can be no other attempt.
    pub fn handle_body_sent(&mut self, handle: RequestHandle) {
        self.engines[handle.engine_index]
            .engine
            .handle_body_discarded(handle.key);
    }

    /// The last byte of an attempt is written.
    pub fn handle_attempt_written(&mut self, now: Micros, handle: RequestHandle) {
        self.engines[handle.engine_index]
            .engine
            .handle_request_written(now, handle.key);
    }

    /// The client disconnected.
    pub fn handle_client_disconnected(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        actions: &mut Vec<RouterAction>,
    ) {
        let service_engine = &mut self.engines[handle.engine_index];
        service_engine.requests.remove(handle.key);
        if handle.engine_index == QUOTA_ENGINE
            && let Some(pending) = self
                .pending_placements
                .remove(handle.key)
                .filter(|pending| pending.share_retry_after.is_none())
        {
            self.quota_shares.refund(&pending.tenant);
        }
        let mut orders = std::mem::take(&mut self.engine_actions);
        service_engine
            .engine
            .handle_client_disconnected(now, handle.key, &mut orders);
        for order in orders.drain(..) {
            self.handle_engine_action(now, handle.engine_index, order, actions, &mut |_, _| {});
        }
        self.engine_actions = orders;
    }

    /// The shared counter answered, or the call failed.
    pub fn handle_counter_result(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.quota_shares.handle_call_result(outcome == Outcome::Ok);
        self.engines[QUOTA_ENGINE]
            .engine
            .handle_counter_result(CounterKey(name), outcome, total);
    }

    /// The counter answered a call that had timed out: it has counted what it was told, and is not
    /// in doubt.
    pub fn handle_late_counter_result(&mut self) {
        self.quota_shares.handle_call_result(true);
        self.engines[QUOTA_ENGINE]
            .engine
            .handle_late_counter_result();
    }

    /// Sets the term of the counter's owner; `None` while there is none.
    pub fn set_counter_term(&mut self, term: Option<u64>) {
        let Some(term) = term else { return };
        let before = self.counter_term.replace(term);
        if before.is_some_and(|held| held != term) {
            self.engines[QUOTA_ENGINE].engine.handle_counter_replaced();
        }
        // A proxy that starts does not know for how long this owner has been counting. A replica
        // that was isolated names the owner of a former term; that one counts nothing any more, so
        // that the counter has not moved.
        if term > self.highest_counter_term {
            self.highest_counter_term = term;
            self.quota_shares.handle_owner_changed();
        }
    }

    /// Time-out of a health check: it waits for a slot as requests do, and an answer within this
    /// time is not a silent server's.
    pub fn probe_timeout(&self, engine: usize) -> Micros {
        self.engines[engine].latency_target / 2
    }

    /// A health check ended.
    pub fn handle_probe_result(&mut self, engine: usize, server: ServerId, outcome: Outcome) {
        self.engines[engine]
            .engine
            .handle_probe_result(server, outcome, None);
    }

    /// Requests whose final answer is owed.
    pub fn open_requests(&self) -> usize {
        self.engines
            .iter()
            .map(|service_engine| service_engine.engine.open_request_count())
            .sum()
    }
}

#[cfg(test)]
mod tests;
