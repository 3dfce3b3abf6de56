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
use streamarch::{CounterName, Micros, Outcome, ServerId, Settings};

use self::placement_engine::{LATENCY_TARGETS, class_of};
use self::quota_engine::{
    COUNTER_TIMEOUT, ISOLATION_FACTOR, MAX_COUNTING_LIMITERS, customer_id, quota_engine,
};
use self::quota_shares::{QuotaShare, QuotaShares};
use crate::shedding::{LoadShedding, SheddingPriority, SheddingRequest, tier};

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

/// An authorisation, and the engine that holds it: engine 0 enforces quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHandle {
    /// Position of the engine.
    pub engine: usize,
    /// Its authorisation.
    pub key: AuthorisationKey,
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterAction {
    /// Send the request to a server.
    Send {
        /// The request.
        request: RequestKey,
        /// The handle by which the host reports the outcome.
        ticket: RequestHandle,
        /// Number of the attempt.
        leg: u32,
        /// The server.
        server: ServerId,
    },
    /// Close the connection of an attempt; its outcome is known.
    Stop(RequestHandle, u32),
    /// Send the final answer.
    Answer(RequestKey, EngineRejection),
    /// Add to the shared counter; report with [`RequestRouter::handle_count`].
    Count(CounterAdd),
    /// Check a server's health, for the engine at this position.
    Probe(usize, ServerId),
}

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RoutingRequest<'a> {
    /// The request.
    pub request: RequestKey,
    /// Its id, as the client sent it.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub svc: &'a str,
    /// Its tenant, by name.
    pub tenant: Option<(&'a str, &'a Tenant)>,
    /// The regions that may serve it; empty: all.
    pub pins: &'a [String],
    /// Deadline of the final answer.
    pub deadline: Micros,
}

impl<'a> RoutingRequest<'a> {
    /// What its priority under overload depends on.
    pub fn shedding_request(&self) -> SheddingRequest<'a> {
        let RoutingRequest {
            id,
            route,
            svc,
            tenant,
            ..
        } = *self;
        SheddingRequest {
            id,
            route,
            svc,
            tenant,
        }
    }
}

struct ServiceEngine {
    /// The service; empty for the quota engine.
    svc: String,
    /// The latency target.
    latency_target: Micros,
    engine: Engine,
    requests: SecondaryMap<AuthorisationKey, RequestKey>,
    /// Requests that are to be rejected because of overload; the module rejects them.
    shed_requests: SecondaryMap<AuthorisationKey, ()>,
}

impl ServiceEngine {
    fn new(svc: &str, engine: Engine) -> ServiceEngine {
        let (requests, waiting) = (SecondaryMap::new(), SecondaryMap::new());
        ServiceEngine {
            svc: svc.to_string(),
            latency_target: 0,
            engine,
            requests,
            shed_requests: waiting,
        }
    }
}

/// Where a request goes once its quota was checked.
struct PendingPlacement {
    engine: usize,
    class: usize,
    priority: SheddingPriority,
    /// Its admission was decided before its quota was checked.
    is_counted: bool,
    tenant: String,
    deadline: Micros,
    /// Its tenant's local share is used up; it may come again after this time.
    share_retry_after: Option<Micros>,
}

/// Limits and position of each tenant's plan.
type Plans = BTreeMap<String, ((u64, u64), usize)>;

/// Routes the requests of one proxy.
pub struct RequestRouter {
    seed: u64,
    bounds: Bounds,
    limiters: u32,
    /// Number of limiters that quotas are divided by.
    quota_divisor: u32,
    /// The control plane does not count on this limiter any more.
    is_isolated: bool,
    /// Reduces the local shares until then, after a jump of the clock.
    reduced_until: Micros,
    /// End of the start-up phase.
    starting_until: Option<Micros>,
    /// When a lower number of limiters was first announced, and the highest number announced since.
    pending_decrease: Option<(Micros, u32)>,
    /// The term of the counter's owner.
    counter_term: Option<u64>,
    /// The newest term announced.
    newest_term: u64,
    engines: Vec<ServiceEngine>,
    shedding: LoadShedding,
    /// Position of each engine by service and regions.
    positions_by_service: BTreeMap<(String, Vec<String>), usize>,
    pending_placements: SecondaryMap<AuthorisationKey, PendingPlacement>,
    /// The tenants' local shares while the counter is in doubt.
    quota_shares: QuotaShares,
    /// The tenants' plans in the quota engine, with the usual and the reduced burst: limits and
    /// position.
    plans: [Plans; 2],
    plan_count: usize,
    engine_actions: Vec<EngineAction>,
}

/// The settings of both kinds of engines.
fn settings(limiters: u32) -> Settings {
    Settings {
        gateways: limiters.max(1),
        period: 1,
        may_cancel: true,
        retry_after: true,
        max_retry_after: MAX_RETRY_AFTER,
        counter_timeout: COUNTER_TIMEOUT,
        ..Settings::default()
    }
}

/// Most requests that one engine holds.
const MAX_REQUESTS_PER_ENGINE: usize = 4_000;

impl RequestRouter {
    /// A router without services.
    pub fn new(seed: u64, bounds: Bounds) -> RequestRouter {
        let judge = ServiceEngine::new("", quota_engine(seed, MAX_REQUESTS_PER_ENGINE));
        RequestRouter {
            seed,
            bounds,
            limiters: 1,
            quota_divisor: MAX_COUNTING_LIMITERS,
            is_isolated: false,
            reduced_until: 0,
            starting_until: None,
            pending_decrease: None,
            counter_term: None,
            newest_term: 0,
            engines: vec![judge],
            shedding: LoadShedding::default(),
            positions_by_service: BTreeMap::new(),
            pending_placements: SecondaryMap::new(),
            quota_shares: QuotaShares::default(),
            plans: Default::default(),
            plan_count: 0,
            engine_actions: Vec::new(),
        }
    }

    /// Takes a request; [`RequestRouter::run`] returns what follows. `None` if too many are held.
    pub fn submit(&mut self, now: Micros, asked: &RoutingRequest<'_>) -> Option<RequestHandle> {
        let basin = self.engine_of(asked.svc, asked.pins)?;
        let asker = asked.shedding_request();
        let turn = self.shedding.priority(now, &asker);
        let limited = asked.tenant.filter(|(_, tenant)| tenant.per_s > 0.0);
        let first = limited.is_none() || self.shedding.is_shed_before_quota(now, &asker);
        if first {
            self.shedding.record_admitted(asked.svc, &turn);
        }
        let class = class_of(asked.route, tier(asked.route, asked.tenant));
        let name = limited.map_or(String::new(), |(name, _)| name.to_string());
        let deadline = asked.deadline;
        let mut onward = PendingPlacement {
            engine: basin,
            class,
            priority: turn,
            is_counted: first,
            tenant: name,
            deadline,
            share_retry_after: None,
        };
        let Some((name, tenant)) = limited else {
            return self.submit_to_service(now, asked.request, &onward, turn);
        };
        let plan = self.plan_position(now, name, tenant);
        let spread = if self.is_isolated || now < self.reduced_until {
            (ISOLATION_FACTOR * self.quota_divisor).min(MAX_COUNTING_LIMITERS)
        } else {
            self.quota_divisor
        };
        let share = QuotaShare::of(tenant.per_s, tenant.burst, self.bounds.quota_slack, spread);
        onward.share_retry_after = self.quota_shares.try_charge(now, name, share).err();
        let refused = SheddingPriority {
            shed_share: 1.0,
            ..SheddingPriority::default()
        };
        let SheddingPriority {
            position: place,
            shed_share: waits,
            ..
        } = match onward.share_retry_after {
            Some(_) => refused,
            None if first => turn,
            None => SheddingPriority::default(),
        };
        let authorisation = Authorisation {
            class: 0,
            plan,
            customer: customer_id(name),
            deadline: asked.deadline,
            units: 1.0,
            spread,
            place,
            waits,
            ..Authorisation::default()
        };
        let judge = &mut self.engines[0];
        let key = judge.engine.submit(now, authorisation).ok()?;
        judge.requests.insert(key, asked.request);
        self.pending_placements.insert(key, onward);
        Some(RequestHandle { engine: 0, key })
    }

    /// Whether a request is shed by its head alone, so that its body need not be read.
    pub fn would_be_shed(&mut self, now: Micros, asker: &SheddingRequest<'_>) -> bool {
        let turn = self.shedding.priority(now, asker);
        let waits = turn.is_shed() && self.shedding.is_shed_before_quota(now, asker);
        if waits {
            self.shedding.record_admitted(asker.svc, &turn);
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
            .filter_map(|basin| basin.engine.next_wakeup())
            .min()
    }

    /// Lets the module decide. `moved` is called for requests that were admitted and handed to a
    /// service's engine.
    pub fn run(
        &mut self,
        now: Micros,
        steps: &mut Vec<RouterAction>,
        mut moved: impl FnMut(RequestKey, RequestHandle),
    ) {
        for at in 0..self.engines.len() {
            let mut orders = std::mem::take(&mut self.engine_actions);
            self.engines[at].engine.run(now, &mut orders);
            for order in orders.drain(..) {
                self.carry_out(now, at, order, steps, &mut moved);
            }
            self.engine_actions = orders;
        }
    }

    fn carry_out(
        &mut self,
        now: Micros,
        at: usize,
        order: EngineAction,
        steps: &mut Vec<RouterAction>,
        moved: &mut impl FnMut(RequestKey, RequestHandle),
    ) {
        let basin = &mut self.engines[at];
        match order {
            EngineAction::StartAttempt { key, leg, .. } if at == 0 => {
                basin
                    .engine
                    .handle_attempt_ended(now, key, leg, Outcome::Ok, None);
                let (request, onward) = (
                    basin.requests.remove(key),
                    self.pending_placements.remove(key),
                );
                let Some((request, onward)) = request.zip(onward) else {
                    return;
                };
                let turn = if onward.is_counted {
                    SheddingPriority::default()
                } else {
                    onward.priority
                };
                if !onward.is_counted {
                    self.shedding
                        .record_admitted(&self.engines[onward.engine].svc, &turn);
                }
                match self.submit_to_service(now, request, &onward, turn) {
                    Some(ticket) => moved(request, ticket),
                    None => {
                        let ending = EngineRejection::Declined {
                            stay_away: MAX_RETRY_AFTER / 4,
                            over_quota: false,
                        };
                        steps.push(RouterAction::Answer(request, ending));
                    }
                }
            }
            EngineAction::StartAttempt {
                key, leg, server, ..
            } => match basin.requests.get(key) {
                Some(request) => {
                    let ticket = RequestHandle { engine: at, key };
                    steps.push(RouterAction::Send {
                        request: *request,
                        ticket,
                        leg,
                        server,
                    });
                }
                None => {
                    _ = basin
                        .engine
                        .handle_attempt_ended(now, key, leg, Outcome::Moot, None)
                }
            },
            EngineAction::StopAttempt { key, leg } => {
                steps.push(RouterAction::Stop(RequestHandle { engine: at, key }, leg))
            }
            EngineAction::Reject { key, ending } => {
                let onward = if at == 0 {
                    self.pending_placements.remove(key)
                } else {
                    None
                };
                let beyond = onward.as_ref().and_then(|onward| onward.share_retry_after);
                if let Some(onward) = onward
                    .as_ref()
                    .filter(|onward| onward.share_retry_after.is_none())
                {
                    self.quota_shares.refund(&onward.tenant);
                }
                let ending = beyond.map_or(ending, |wait| EngineRejection::Declined {
                    stay_away: wait.clamp(MIN_SHARE_RETRY_AFTER, MAX_RETRY_AFTER),
                    over_quota: true,
                });
                match (ending, onward) {
                    (
                        EngineRejection::Declined {
                            over_quota: true, ..
                        },
                        Some(onward),
                    ) => {
                        let counted = (
                            self.engines[onward.engine].svc.as_str(),
                            onward.priority.band,
                        );
                        self.shedding.record_over_quota(
                            now,
                            &onward.tenant,
                            onward.is_counted.then_some(counted),
                        );
                    }
                    (EngineRejection::Declined { .. }, _)
                        if at > 0 && self.engines[at].shed_requests.remove(key).is_none() =>
                    {
                        self.shedding.record_no_server(now, &self.engines[at].svc);
                    }
                    _ => {}
                }
                let basin = &mut self.engines[at];
                steps.extend(
                    basin
                        .requests
                        .remove(key)
                        .map(|request| RouterAction::Answer(request, ending)),
                );
            }
            EngineAction::AddToCounter { name, add, life } => {
                steps.push(RouterAction::Count(CounterAdd {
                    counter: name.0,
                    units: add,
                    ttl: life,
                }));
            }
            EngineAction::Probe(server) => steps.push(RouterAction::Probe(at, server)),
            EngineAction::Notify(..) | EngineAction::Log(_) => {}
        }
    }

    /// An attempt ended. Returns whether its answer is the final answer.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        ticket: RequestHandle,
        leg: u32,
        outcome: Outcome,
    ) -> bool {
        let basin = &mut self.engines[ticket.engine];
        if let Some((class, sent)) = basin.engine.in_flight_since(ticket.key) {
            let times = (now - sent, LATENCY_TARGETS[class % LATENCY_TARGETS.len()]);
            self.shedding
                .record_outcome(now, &basin.svc, outcome, times);
        }
        let last = basin
            .engine
            .handle_attempt_ended(now, ticket.key, leg, outcome, None);
        if last {
            basin.requests.remove(ticket.key);
        }
        last
    }

    /// A streamed body was sent to a server and is no longer here: there can be no other attempt.
    pub fn handle_body_sent(&mut self, ticket: RequestHandle) {
        self.engines[ticket.engine]
            .engine
            .handle_body_sent(ticket.key);
    }

    /// The last byte of an attempt is written.
    pub fn handle_attempt_written(&mut self, now: Micros, ticket: RequestHandle) {
        self.engines[ticket.engine]
            .engine
            .handle_attempt_written(now, ticket.key);
    }

    /// The client disconnected.
    pub fn handle_client_left(
        &mut self,
        now: Micros,
        ticket: RequestHandle,
        steps: &mut Vec<RouterAction>,
    ) {
        let basin = &mut self.engines[ticket.engine];
        basin.requests.remove(ticket.key);
        if ticket.engine == 0
            && let Some(onward) = self
                .pending_placements
                .remove(ticket.key)
                .filter(|onward| onward.share_retry_after.is_none())
        {
            self.quota_shares.refund(&onward.tenant);
        }
        let mut orders = std::mem::take(&mut self.engine_actions);
        basin
            .engine
            .handle_client_left(now, ticket.key, &mut orders);
        for order in orders.drain(..) {
            self.carry_out(now, ticket.engine, order, steps, &mut |_, _| {});
        }
        self.engine_actions = orders;
    }

    /// The shared counter answered, or the call failed.
    pub fn handle_count(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.quota_shares.handle_call_result(outcome == Outcome::Ok);
        self.engines[0]
            .engine
            .handle_counter_result(CounterName(name), outcome, total);
    }

    /// The counter answered a call that had timed out.
    pub fn handle_late_count(&mut self) {
        self.engines[0].engine.handle_late_counter_result();
    }

    /// Sets the term of the counter's owner; `None` while there is none.
    pub fn set_counter_term(&mut self, term: Option<u64>) {
        let Some(term) = term else { return };
        let before = self.counter_term.replace(term);
        if before.is_some_and(|held| held != term) {
            self.engines[0].engine.handle_counter_replaced();
        }
        // A proxy that starts does not know for how long this owner has been counting. A replica
        // that was isolated names the owner of a former term; that one counts nothing any more, so
        // that the counter has not moved.
        if term > self.newest_term {
            self.newest_term = term;
            self.quota_shares.handle_holder_changed();
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
            .map(|basin| basin.engine.open_requests())
            .sum()
    }
}

#[cfg(test)]
mod tests;
