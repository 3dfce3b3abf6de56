//! Hosts the decision module in terms of authorisations, attempts and outcomes, independent of any
//! wire protocol.
//!
//! A front end submits an [`Authorisation`]; the host carries out the [`EngineAction`]s and reports
//! their results. The engine maintains these invariants whatever the module or the host does:
//!
//! 1. Each authorisation gets one final response.
//! 2. An authorisation has at most one attempt in flight, or two if silent servers are hedged, and
//!    none after its final response.

use std::fmt;

use streamarch::{
    Action, AttemptEnd, Balancer, CounterKey, CustomerId, Event, ListKind, LoadReport, Micros,
    Outcome, OverQuotaNotice, Plan, Request, RequestId, ServerEntry, ServerId, Settings,
};

use crate::plan_resolver::{PlanResolver, ResolvedPlan};
use crate::slots::{AuthorisationKey, Key, SlotMap};

/// A request that a front end submits for a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Authorisation {
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its plan in the settings.
    pub plan: usize,
    /// The customer whose quota it uses.
    pub customer: CustomerId,
    /// Deadline of the final response.
    pub deadline: Micros,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of limiters that the customer's requests are spread over.
    pub customer_limiters: u32,
    /// Number of the first of these limiters.
    pub first_limiter: u32,
    /// Most attempts; 0 for as many as the settings allow.
    pub max_attempts: u32,
    /// Whether it is a client's retry; known only where clients say so.
    pub is_client_retry: bool,
    /// When the client's token expires; no attempt starts then or later.
    pub token_expires_at: Option<Micros>,
    /// Its rank in the shedding order, from 0 (shed last) to below 1.
    pub shed_rank: f64,
    /// The share of the shedding order, from its end, that is shed now.
    pub shed_share: f64,
}

/// A final response that is not a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRejection {
    /// Declined: a retry is safe.
    Declined {
        /// Delay before the client should retry, in microseconds; 0 if the module gives none.
        retry_after: Micros,
        /// Whether the reason was its quota rather than a lack of servers.
        over_quota: bool,
    },
    /// Failed: it may have run.
    Failed,
    /// The client's token expired before an attempt could start.
    Expired {
        /// Whether an earlier attempt may have run.
        may_have_run: bool,
    },
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Send an attempt to a server. Report its end with [`Engine::handle_attempt_ended`].
    StartAttempt {
        /// The authorisation.
        key: AuthorisationKey,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Deadline of its outcome.
        deadline: Micros,
    },
    /// Close the connection of an attempt, which has ended for the engine.
    CancelAttempt {
        /// The authorisation.
        key: AuthorisationKey,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send the final response.
    Reject {
        /// The authorisation.
        key: AuthorisationKey,
        /// The rejection.
        rejection: EngineRejection,
    },
    /// Add to a counter. Report the result with [`Engine::handle_counter_result`].
    AddToCounter {
        /// The counter.
        key: CounterKey,
        /// The amount to add.
        amount: f64,
        /// Lifetime of the counter, in microseconds, if the call creates it.
        ttl: Micros,
    },
    /// Check a server's health. Report the result with [`Engine::handle_probe_result`].
    Probe(ServerId),
    /// Send a notice to the limiter of this number.
    Notify(u32, OverQuotaNotice),
    /// Write a line to the log.
    Log(String),
}

/// Why the engine rejects a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The table of authorisations is full.
    TableFull,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::TableFull => f.write_str("authorisation table is full"),
        }
    }
}

impl std::error::Error for EngineError {}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: u32,
    server: ServerId,
    /// When it was started, or its last byte was written.
    sent_at: Micros,
}

/// An authorisation in progress.
#[derive(Debug)]
struct RequestState {
    authorisation: Authorisation,
    /// The plan that the plan resolver found, where there is one.
    plan: Option<ResolvedPlan>,
    /// Number of attempts that the module has ordered.
    attempt_count: u32,
    in_flight: Vec<InFlightAttempt>,
    may_have_run: bool,
    /// Part of the body was streamed and discarded: there can be no other attempt.
    is_body_discarded: bool,
    /// The final response was given, or is not owed any more.
    is_finished: bool,
}

/// Hosts the decision module and the authorisations in progress.
pub struct Engine {
    balancer: Balancer,
    requests: SlotMap<AuthorisationKey, RequestState>,
    max_requests: usize,
    max_attempts: u32,
    /// Most attempts of an authorisation that are in flight at a time.
    max_in_flight: usize,
    /// The module runs at most once in this interval.
    run_interval: Micros,
    last_run_at: Option<Micros>,
    /// When the module has asked to run next.
    wake_at: Option<Micros>,
    /// Events for the next run of the module.
    events: Vec<Event>,
    /// Buffer for the actions of a run.
    actions: Vec<Action>,
    /// Attempts whose authorisation another attempt has finished: to be cancelled by the next run.
    superseded: Vec<(AuthorisationKey, u32)>,
    /// Abandoned by their clients since the module last ran: it may still decide to send them.
    abandoned: Vec<AuthorisationKey>,
    /// Number of authorisations whose final response is owed.
    open_request_count: usize,
    plan_resolver: Option<PlanResolver>,
}

fn request_id(key: AuthorisationKey) -> RequestId {
    RequestId(key.data().as_ffi())
}

fn authorisation_key(id: RequestId) -> AuthorisationKey {
    AuthorisationKey::from(slotmap::KeyData::from_ffi(id.0))
}

impl Engine {
    /// An engine with these settings and no authorisations; `max_requests` bounds its table.
    pub fn new(settings: Settings, seed: u64, max_requests: usize) -> Engine {
        let (run_interval, max_attempts) = (
            settings.min_handle_interval.max(1),
            settings.max_attempts.max(1),
        );
        let max_in_flight = if settings.hedges_silent_servers { 2 } else { 1 };
        Engine {
            balancer: Balancer::new(settings, seed),
            requests: SlotMap::with_key(),
            max_requests,
            max_attempts,
            max_in_flight,
            run_interval,
            last_run_at: None,
            wake_at: None,
            events: Vec::new(),
            actions: Vec::new(),
            superseded: Vec::new(),
            abandoned: Vec::new(),
            open_request_count: 0,
            plan_resolver: None,
        }
    }

    /// Number of authorisations whose final response is owed.
    pub fn open_request_count(&self) -> usize {
        self.open_request_count
    }

    /// Deadline of an authorisation's final response, while it is in the table.
    pub fn deadline(&self, key: AuthorisationKey) -> Option<Micros> {
        self.requests
            .get(key)
            .map(|state| state.authorisation.deadline)
    }

    /// The class of an authorisation whose attempt of this number is in flight, and since when it
    /// has been.
    pub fn in_flight_attempt(
        &self,
        key: AuthorisationKey,
        attempt: u32,
    ) -> Option<(usize, Micros)> {
        let state = self.requests.get(key)?;
        state
            .in_flight
            .iter()
            .find(|current| current.number == attempt)
            .map(|current| (state.authorisation.class, current.sent_at))
    }

    /// From now on plans are resolved by a plan book, which starts from the plans in the settings.
    pub fn set_plan_resolver(&mut self, plan_resolver: PlanResolver) {
        self.plan_resolver = Some(plan_resolver);
    }

    /// The plan resolver, where there is one.
    pub fn plan_resolver_mut(&mut self) -> Option<&mut PlanResolver> {
        self.plan_resolver.as_mut()
    }

    /// The plan of an authorisation, while it is in the table and where there is a plan book.
    pub fn resolved_plan(&self, key: AuthorisationKey) -> Option<&ResolvedPlan> {
        self.requests.get(key)?.plan.as_ref()
    }

    /// Submits an authorisation; from now on one final response is owed. Its plan is the one in
    /// force now, and does not change.
    ///
    /// # Errors
    /// [`EngineError::TableFull`] if the table is full.
    pub fn submit(
        &mut self,
        now: Micros,
        mut authorisation: Authorisation,
    ) -> Result<AuthorisationKey, EngineError> {
        if self.requests.len() >= self.max_requests {
            return Err(EngineError::TableFull);
        }
        let mut new_plans = Vec::new();
        let resolve = |resolver: &mut PlanResolver| {
            resolver.resolve(
                now,
                authorisation.customer,
                authorisation.plan,
                &mut new_plans,
            )
        };
        let resolved_plan = self.plan_resolver.as_mut().map(resolve);
        self.events
            .extend(new_plans.into_iter().map(Event::PlanAdded));
        authorisation.plan = resolved_plan
            .as_ref()
            .map_or(authorisation.plan, |resolved| resolved.position);
        let state = RequestState {
            authorisation: authorisation.clone(),
            plan: resolved_plan,
            attempt_count: 0,
            in_flight: Vec::new(),
            may_have_run: false,
            is_body_discarded: false,
            is_finished: false,
        };
        let key = self.requests.insert(state);
        self.open_request_count += 1;
        self.events.push(Event::Request(Request {
            id: request_id(key),
            class: authorisation.class,
            plan: authorisation.plan,
            customer: authorisation.customer,
            deadline: authorisation.deadline,
            units: authorisation.units,
            customer_gateways: authorisation.customer_limiters,
            first_gateway: authorisation.first_limiter,
            max_attempts: authorisation.max_attempts,
            is_client_retry: authorisation.is_client_retry,
            shed_rank: authorisation.shed_rank,
            shed_share: authorisation.shed_share,
        }));
        Ok(key)
    }

    /// Handles the end of an attempt. Returns whether its response is the final response, to be
    /// forwarded now; the next run cancels other attempts that are in flight.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        attempt: u32,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) -> bool {
        let Some(state) = self.requests.get_mut(key) else {
            return false;
        };
        let mut in_flight = state.in_flight.iter();
        let Some(index) = in_flight.position(|current| current.number == attempt) else {
            return false;
        };
        let ended_attempt = state.in_flight.swap_remove(index);
        let is_final_response = outcome == Outcome::Ok && !state.is_finished;
        state.is_finished |= is_final_response;
        state.may_have_run |= !matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        let request_finished = state.is_finished;
        let superseded = if is_final_response {
            std::mem::take(&mut state.in_flight)
        } else {
            Vec::new()
        };
        if request_finished && state.in_flight.is_empty() {
            self.requests.remove(key);
        }
        self.open_request_count -= usize::from(is_final_response);
        let attempt_end = |ended: InFlightAttempt, outcome: Outcome| {
            Event::AttemptEnd(AttemptEnd {
                request: request_id(key),
                attempt: ended.number,
                server: ended.server,
                outcome,
                elapsed: now - ended.sent_at,
                request_finished,
                actual_units: None,
                load_report: load_report.filter(|_| ended.number == attempt),
            })
        };
        self.events.push(attempt_end(ended_attempt, outcome));
        for other in superseded {
            self.superseded.push((key, other.number));
            self.events.push(attempt_end(other, Outcome::Cancelled));
        }
        is_final_response
    }

    /// The last byte of an attempt is written. Its duration is measured from now on, so that a slow
    /// upload does not count against the server.
    pub fn handle_request_written(&mut self, now: Micros, key: AuthorisationKey, attempt: u32) {
        let in_flight = self
            .requests
            .get_mut(key)
            .into_iter()
            .flat_map(|state| &mut state.in_flight);
        for current in in_flight.filter(|current| current.number == attempt) {
            current.sent_at = now;
        }
    }

    /// Part of the body was discarded: there is no other attempt, and the module cannot cancel the
    /// one in flight.
    pub fn handle_body_discarded(&mut self, key: AuthorisationKey) {
        if let Some(state) = self.requests.get_mut(key) {
            state.is_body_discarded = true;
        }
    }

    /// The client disconnected: no response is owed, and an attempt in flight is cancelled.
    pub fn handle_client_disconnected(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        if self.finish_request(key, true) {
            self.events.push(Event::ClientDisconnected(request_id(key)));
            self.cancel_attempts(now, key, engine_actions);
        }
    }

    /// Handles the result of a counter call.
    pub fn handle_counter_result(&mut self, key: CounterKey, outcome: Outcome, total: f64) {
        self.events.push(Event::CounterResult {
            key,
            outcome,
            total,
        });
    }

    /// Handles the result of a counter call that had timed out.
    pub fn handle_late_counter_result(&mut self) {
        self.events.push(Event::LateCounterResult);
    }

    /// Another counter has taken over, and starts without counts.
    pub fn handle_counter_replaced(&mut self) {
        self.events.push(Event::CounterReplaced);
    }

    /// Handles the result of a health check.
    pub fn handle_probe_result(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        load_report: Option<LoadReport>,
    ) {
        self.events.push(Event::ProbeEnd {
            server,
            outcome,
            load_report,
        });
    }

    /// Handles an update of the server list.
    pub fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.events.push(Event::ServerList { kind, entries });
    }

    /// Handles a notice from another limiter.
    pub fn handle_notice(&mut self, notice: OverQuotaNotice) {
        self.events.push(Event::NoticeReceived(notice));
    }

    /// Adds a plan, at the next position in the module.
    pub fn add_plan(&mut self, plan: Plan) {
        self.events.push(Event::PlanAdded(plan));
    }

    /// When [`Engine::run`] has something to do next. The module runs at most once in its period.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let earliest_run = self
            .last_run_at
            .map_or(Micros::MIN, |at| at + self.run_interval);
        let wakeup = if self.events.is_empty() {
            self.wake_at
        } else {
            Some(Micros::MIN)
        };
        wakeup.map(|at| at.max(earliest_run))
    }

    /// Lets the module decide on the events so far, if its period is over.
    pub fn run(&mut self, now: Micros, engine_actions: &mut Vec<EngineAction>) {
        if self.next_wakeup().is_none_or(|at| at > now) {
            return;
        }
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
            self.events.push(Event::Timer);
        }
        self.last_run_at = Some(now);
        let superseded = self.superseded.drain(..);
        engine_actions
            .extend(superseded.map(|(key, attempt)| EngineAction::CancelAttempt { key, attempt }));
        let mut actions = std::mem::take(&mut self.actions);
        let mut events = std::mem::take(&mut self.events);
        self.balancer.handle(now, &events, &mut actions);
        events.clear();
        self.events = events;
        for action in actions.drain(..) {
            self.carry_out(now, action, engine_actions);
        }
        self.actions = actions;
        for key in std::mem::take(&mut self.abandoned) {
            self.requests.remove(key);
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, engine_actions: &mut Vec<EngineAction>) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.start_attempt(
                now,
                authorisation_key(request),
                server,
                timeout,
                engine_actions,
            ),
            Action::Shed {
                request,
                retry_after,
                over_quota,
            } => self.reject(
                now,
                authorisation_key(request),
                EngineRejection::Declined {
                    retry_after,
                    over_quota,
                },
                engine_actions,
            ),
            Action::Fail(request) => self.reject(
                now,
                authorisation_key(request),
                EngineRejection::Failed,
                engine_actions,
            ),
            Action::Cancel { request, attempt } => {
                let key = authorisation_key(request);
                // If its body was streamed and discarded, cancelling the attempt could only fail
                // the request. A server that is receiving a long body owes no response yet and is
                // easily mistaken for one that does not respond.
                let is_cancellable = self
                    .requests
                    .get(key)
                    .is_some_and(|state| !state.is_body_discarded);
                if is_cancellable && self.in_flight_attempt(key, attempt).is_some() {
                    engine_actions.push(EngineAction::CancelAttempt { key, attempt });
                    self.handle_attempt_ended(now, key, attempt, Outcome::Cancelled, None);
                }
            }
            Action::AddToCounter { key, amount, ttl } => {
                engine_actions.push(EngineAction::AddToCounter { key, amount, ttl })
            }
            Action::NotifyGateway(limiter, notice) => {
                engine_actions.push(EngineAction::Notify(limiter, notice))
            }
            Action::Probe(server) => engine_actions.push(EngineAction::Probe(server)),
            // The host watches the server list from its start, whether or not the module asks for
            // it.
            Action::WatchServerList => {}
            Action::WakeAt(at) => {
                self.wake_at = Some(self.wake_at.map_or(at, |current| current.min(at)))
            }
            Action::Log(text) => engine_actions.push(EngineAction::Log(text)),
        }
    }

    fn start_attempt(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        server: ServerId,
        timeout: Micros,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        let Some(state) = self.requests.get_mut(key) else {
            return;
        };
        let attempt = state.attempt_count;
        state.attempt_count += 1;
        // Invariant 2: no more attempts in flight than allowed, none after the final response. The module
        // must learn that this attempt has ended: otherwise it would count it as in flight at
        // that server for ever.
        if state.in_flight.len() >= self.max_in_flight || state.is_finished {
            let end = AttemptEnd {
                request: request_id(key),
                attempt,
                server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                request_finished: state.is_finished,
                actual_units: None,
                load_report: None,
            };
            self.events.push(Event::AttemptEnd(end));
            return;
        }
        let is_expired = state
            .authorisation
            .token_expires_at
            .is_some_and(|at| at <= now);
        state.in_flight.push(InFlightAttempt {
            number: attempt,
            server,
            sent_at: now,
        });
        // A request whose token expired, perhaps since an earlier attempt, is not sent.
        if is_expired {
            let may_have_run = state.may_have_run;
            self.handle_attempt_ended(now, key, attempt, Outcome::NotSent, None);
            return self.reject(
                now,
                key,
                EngineRejection::Expired { may_have_run },
                engine_actions,
            );
        }
        if attempt >= self.max_attempts
            || state.is_body_discarded
            || state.authorisation.deadline <= now
        {
            self.handle_attempt_ended(now, key, attempt, Outcome::NotSent, None);
            return;
        }
        let attempt_deadline = if timeout == 0 {
            Micros::MAX
        } else {
            now.saturating_add(timeout.max(0))
        };
        let deadline = state.authorisation.deadline.min(attempt_deadline);
        engine_actions.push(EngineAction::StartAttempt {
            key,
            attempt,
            server,
            deadline,
        });
    }

    /// Marks an authorisation as finished; returns whether it was unfinished. If the module does
    /// not know that yet (`is_unknown`), its slot is kept until the module has run: the module's
    /// decisions on earlier events may still refer to it.
    fn finish_request(&mut self, key: AuthorisationKey, is_unknown: bool) -> bool {
        let Some(state) = self
            .requests
            .get_mut(key)
            .filter(|state| !state.is_finished)
        else {
            return false;
        };
        state.is_finished = true;
        self.open_request_count -= 1;
        match (state.in_flight.is_empty(), is_unknown) {
            (true, true) => self.abandoned.push(key),
            (true, false) => _ = self.requests.remove(key),
            (false, _) => {}
        }
        true
    }

    fn reject(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        rejection: EngineRejection,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        // Invariant 1: a second final response is dropped.
        if self.finish_request(key, false) {
            engine_actions.push(EngineAction::Reject { key, rejection });
            self.cancel_attempts(now, key, engine_actions);
        }
    }

    /// Cancels the attempts of a finished authorisation.
    fn cancel_attempts(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        let in_flight: Vec<u32> = self
            .requests
            .get(key)
            .into_iter()
            .flat_map(|state| &state.in_flight)
            .map(|current| current.number)
            .collect();
        for attempt in in_flight {
            engine_actions.push(EngineAction::CancelAttempt { key, attempt });
            self.handle_attempt_ended(now, key, attempt, Outcome::Cancelled, None);
        }
    }
}
