//! Hosts the decision module in terms of authorisations, attempts and outcomes, independent of any
//! wire protocol.
//!
//! A front submits an [`Authorisation`]; the host carries out the [`EngineAction`]s and reports
//! their results. The engine maintains these invariants whatever the module or the host does: one
//! final answer for each authorisation, never two attempts of one in flight, no attempt after the
//! end.

use std::fmt;

use streamarch::{
    Action, AttemptEnd, Balancer, CounterKey, CustomerId, Event, ListKind, LoadReport, Micros,
    Outcome, OverQuotaNotice, Plan, Request, RequestId, ServerEntry, ServerId, Settings,
};

use crate::plan_resolver::{PlanResolver, ResolvedPlan};
use crate::slots::{AuthorisationKey, Key, SlotMap};

/// A request that a front submits for a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Authorisation {
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its plan in the settings.
    pub plan: usize,
    /// The customer whose quota it uses.
    pub customer: CustomerId,
    /// Deadline of the final answer.
    pub deadline: Micros,
    /// Units it takes from the quota.
    pub units: f64,
    /// Number of limiters that the customer is spread over...
    pub limiter_count: u32,
    /// ...and the first of them.
    pub first_limiter: u32,
    /// Whether it is a client's retry, where clients say so.
    pub is_retry: bool,
    /// The client's token is valid until then; no attempt starts later.
    pub token_expires_at: Option<Micros>,
    /// Its position in the priority order under overload...
    pub priority_position: f64,
    /// ...and the share of that order that is rejected now.
    pub shed_share: f64,
}

/// The final answer where no server's answer is it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRejection {
    /// Declined: a retry is harmless.
    Declined {
        /// How long the client should wait before a retry, in microseconds; 0 gives no advice.
        retry_after: Micros,
        /// Whether its quota was the reason, and not a lack of servers.
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
    /// Send an attempt to a server; report its end with [`Engine::handle_attempt_ended`].
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
    /// Close the connection of an attempt, which the engine counts as ended.
    CancelAttempt {
        /// The authorisation.
        key: AuthorisationKey,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Send the final answer.
    Reject {
        /// The authorisation.
        key: AuthorisationKey,
        /// The answer.
        rejection: EngineRejection,
    },
    /// Add to a counter; report with [`Engine::handle_counter_result`].
    AddToCounter {
        /// The counter.
        name: CounterKey,
        /// The amount.
        amount: f64,
        /// Lifetime of the counter if the call creates it.
        ttl: Micros,
    },
    /// Check a server's health; report with [`Engine::handle_probe_result`].
    Probe(ServerId),
    /// Send a notice to the limiter of this number.
    Notify(u32, OverQuotaNotice),
    /// Write a line to the log.
    Log(String),
}

/// A call that the engine rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// The table of authorisations is full.
    TableFull,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::TableFull => f.write_str("too many authorisations held"),
        }
    }
}

impl std::error::Error for EngineError {}

/// The attempt that is in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: u32,
    server: ServerId,
    sent: Micros,
}

#[derive(Debug)]
struct RequestState {
    authorisation: Authorisation,
    /// The plan resolved by the plan book, where there is one.
    plan: Option<ResolvedPlan>,
    attempts: u32,
    in_flight: Option<InFlightAttempt>,
    may_have_run: bool,
    /// The body was streamed and discarded: there can be no other attempt.
    is_body_sent: bool,
    done: bool,
}

/// Hosts the decision module and the authorisations in progress.
pub struct Engine {
    balancer: Balancer,
    requests: SlotMap<AuthorisationKey, RequestState>,
    max_requests: usize,
    max_attempts: u32,
    period: Micros,
    last_run_at: Option<Micros>,
    wake_at: Option<Micros>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Abandoned by their clients since the module last ran: it may still decide to send them.
    abandoned: Vec<AuthorisationKey>,
    open_count: usize,
    plan_resolver: Option<PlanResolver>,
}

fn id(key: AuthorisationKey) -> RequestId {
    RequestId(key.data().as_ffi())
}

fn key(id: RequestId) -> AuthorisationKey {
    AuthorisationKey::from(slotmap::KeyData::from_ffi(id.0))
}

impl Engine {
    /// An engine with these settings and no state; `max_requests` bounds its table.
    pub fn new(settings: Settings, seed: u64, most_held: usize) -> Engine {
        let (period, max_legs) = (
            settings.min_handle_interval.max(1),
            settings.max_attempts.max(1),
        );
        Engine {
            balancer: Balancer::new(settings, seed),
            requests: SlotMap::with_key(),
            max_requests: most_held,
            max_attempts: max_legs,
            period,
            last_run_at: None,
            wake_at: None,
            events: Vec::new(),
            actions: Vec::new(),
            abandoned: Vec::new(),
            open_count: 0,
            plan_resolver: None,
        }
    }

    /// Number of authorisations whose final answer is owed.
    pub fn open_request_count(&self) -> usize {
        self.open_count
    }

    /// Deadline of an authorisation's final answer, while it is in the table.
    pub fn deadline(&self, key: AuthorisationKey) -> Option<Micros> {
        self.requests
            .get(key)
            .map(|held| held.authorisation.deadline)
    }

    /// The class of an authorisation, and since when its attempt has been in flight, if one is.
    pub fn in_flight_attempt(&self, key: AuthorisationKey) -> Option<(usize, Micros)> {
        let held = self.requests.get(key)?;
        held.in_flight
            .map(|out| (held.authorisation.class, out.sent))
    }

    /// From now on plans are resolved by a plan book, which starts from the plans in the settings.
    pub fn set_plan_resolver(&mut self, judging: PlanResolver) {
        self.plan_resolver = Some(judging);
    }

    /// The plan resolver, where there is one.
    pub fn plan_resolver_mut(&mut self) -> Option<&mut PlanResolver> {
        self.plan_resolver.as_mut()
    }

    /// The plan of an authorisation, while it is in the table and where there is a plan book.
    pub fn resolved_plan(&self, key: AuthorisationKey) -> Option<&ResolvedPlan> {
        self.requests.get(key)?.plan.as_ref()
    }

    /// Submits an authorisation; from now on one final answer is owed. Its plan is the one in force
    /// now, and does not change.
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
        let mut new = Vec::new();
        let judge = |judging: &mut PlanResolver| {
            judging.resolve(now, authorisation.customer, authorisation.plan, &mut new)
        };
        let judged = self.plan_resolver.as_mut().map(judge);
        self.events.extend(new.into_iter().map(Event::PlanAdded));
        authorisation.plan = judged
            .as_ref()
            .map_or(authorisation.plan, |judged| judged.position);
        let held = RequestState {
            authorisation: authorisation.clone(),
            plan: judged,
            attempts: 0,
            in_flight: None,
            may_have_run: false,
            is_body_sent: false,
            done: false,
        };
        let key = self.requests.insert(held);
        self.open_count += 1;
        self.events.push(Event::Request(Request {
            id: id(key),
            class: authorisation.class,
            plan: authorisation.plan,
            customer: authorisation.customer,
            deadline: authorisation.deadline,
            units: authorisation.units,
            customer_gateways: authorisation.limiter_count,
            first_gateway: authorisation.first_limiter,
            is_client_retry: authorisation.is_retry,
            shed_rank: authorisation.priority_position,
            shed_share: authorisation.shed_share,
        }));
        Ok(key)
    }

    /// Handles the end of an attempt. Returns whether its answer is the final answer, to be
    /// forwarded now.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        attempt: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> bool {
        let Some(held) = self.requests.get_mut(key) else {
            return false;
        };
        let Some(out) = held.in_flight.take_if(|out| out.number == attempt) else {
            return false;
        };
        let answers = outcome == Outcome::Ok && !held.done;
        held.done |= answers;
        held.may_have_run |= !matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        let finished = held.done;
        if finished {
            self.requests.remove(key);
        }
        self.open_count -= usize::from(answers);
        self.events.push(Event::AttemptEnd(AttemptEnd {
            request: id(key),
            attempt,
            server: out.server,
            outcome,
            elapsed: now - out.sent,
            request_finished: finished,
            actual_units: None,
            load_report: report,
        }));
        answers
    }

    /// The last byte of an attempt is written: its duration counts from now, so that a slow upload
    /// does not count against the server.
    pub fn handle_request_written(&mut self, now: Micros, key: AuthorisationKey) {
        if let Some(out) = self
            .requests
            .get_mut(key)
            .and_then(|held| held.in_flight.as_mut())
        {
            out.sent = now;
        }
    }

    /// The body was discarded: there is no other attempt, and the one in flight is not cancelled.
    pub fn handle_body_discarded(&mut self, key: AuthorisationKey) {
        if let Some(held) = self.requests.get_mut(key) {
            held.is_body_sent = true;
        }
    }

    /// The client disconnected: no answer is owed, and an attempt in flight is stopped.
    pub fn handle_client_disconnected(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        if self.finish_request(key, true) {
            self.events.push(Event::ClientDisconnected(id(key)));
            self.stop_attempt(now, key, engine_actions);
        }
    }

    /// Handles the result of a counter call.
    pub fn handle_counter_result(&mut self, name: CounterKey, outcome: Outcome, total: f64) {
        self.events.push(Event::CounterAnswered {
            key: name,
            outcome,
            total,
        });
    }

    /// Handles the result of a counter call that had timed out.
    pub fn handle_late_counter_result(&mut self) {
        self.events.push(Event::LateCounterAnswer);
    }

    /// Another counter has taken over, and starts empty.
    pub fn handle_counter_replaced(&mut self) {
        self.events.push(Event::CounterReplaced);
    }

    /// Handles the result of a health check.
    pub fn handle_probe_result(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.events.push(Event::ProbeEnd {
            server,
            outcome,
            load_report: report,
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

    /// When [`Engine::run`] has something to do next; the module runs at most once in its period.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let earliest = self.last_run_at.map_or(Micros::MIN, |at| at + self.period);
        let wanted = if self.events.is_empty() {
            self.wake_at
        } else {
            Some(Micros::MIN)
        };
        wanted.map(|at| at.max(earliest))
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
            } => self.send(now, key(request), server, timeout, engine_actions),
            Action::Shed {
                request,
                retry_after: stay_away,
                over_quota,
            } => self.reject(
                now,
                key(request),
                EngineRejection::Declined {
                    retry_after: stay_away,
                    over_quota,
                },
                engine_actions,
            ),
            Action::Fail(request) => {
                self.reject(now, key(request), EngineRejection::Failed, engine_actions)
            }
            Action::Cancel { request, attempt } => {
                let key = key(request);
                // With its body streamed and discarded, cancelling could only fail the request. A
                // server that receives a long body owes no answer yet and is easily mistaken for a
                // silent one.
                let moves = self.requests.get(key).filter(|held| !held.is_body_sent);
                if moves
                    .and_then(|held| held.in_flight)
                    .is_some_and(|out| out.number == attempt)
                {
                    engine_actions.push(EngineAction::CancelAttempt { key, attempt });
                    self.handle_attempt_ended(now, key, attempt, Outcome::Cancelled, None);
                }
            }
            Action::AddToCounter {
                key: name,
                amount,
                expires_in: expires,
            } => engine_actions.push(EngineAction::AddToCounter {
                name,
                amount,
                ttl: expires,
            }),
            Action::NotifyGateway(limiter, notice) => {
                engine_actions.push(EngineAction::Notify(limiter, notice))
            }
            Action::Probe(server) => engine_actions.push(EngineAction::Probe(server)),
            // The host watches the server list from its start, whether the module asks for it or
            // not.
            Action::WatchServerList => {}
            Action::WakeAt(at) => self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at))),
            Action::Log(text) => engine_actions.push(EngineAction::Log(text)),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        server: ServerId,
        timeout: Micros,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        let Some(held) = self.requests.get_mut(key) else {
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        // Rule 2: never two attempts in flight, and none after the end. The module is told that its
        // attempt is over; otherwise it would count it as in flight at that server for ever.
        if held.in_flight.is_some() || held.done {
            let end = AttemptEnd {
                request: id(key),
                attempt,
                server,
                outcome: Outcome::NotSent,
                elapsed: 0,
                request_finished: held.done,
                actual_units: None,
                load_report: None,
            };
            self.events.push(Event::AttemptEnd(end));
            return;
        }
        let expired = held
            .authorisation
            .token_expires_at
            .is_some_and(|until| until <= now);
        held.in_flight = Some(InFlightAttempt {
            number: attempt,
            server,
            sent: now,
        });
        // A token that expires between attempt and retry: the request is not sent again.
        if expired {
            let may_have_run = held.may_have_run;
            self.handle_attempt_ended(now, key, attempt, Outcome::NotSent, None);
            return self.reject(
                now,
                key,
                EngineRejection::Expired { may_have_run },
                engine_actions,
            );
        }
        if attempt >= self.max_attempts || held.is_body_sent || held.authorisation.deadline <= now {
            self.handle_attempt_ended(now, key, attempt, Outcome::NotSent, None);
            return;
        }
        let given = if timeout == 0 {
            Micros::MAX
        } else {
            now.saturating_add(timeout.max(0))
        };
        let deadline = held.authorisation.deadline.min(given);
        engine_actions.push(EngineAction::StartAttempt {
            key,
            attempt,
            server,
            deadline,
        });
    }

    /// Marks an authorisation as finished; returns whether it was not. If the module does not know
    /// yet, its slot is kept until the module has run: its decisions on earlier events may still
    /// refer to it.
    fn finish_request(&mut self, key: AuthorisationKey, unknown: bool) -> bool {
        let Some(held) = self.requests.get_mut(key).filter(|h| !h.done) else {
            return false;
        };
        held.done = true;
        self.open_count -= 1;
        match (held.in_flight.is_none(), unknown) {
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
        // Rule 1: a second final answer is dropped.
        if self.finish_request(key, false) {
            engine_actions.push(EngineAction::Reject { key, rejection });
            self.stop_attempt(now, key, engine_actions);
        }
    }

    /// Stops the attempt of a finished authorisation.
    fn stop_attempt(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        engine_actions: &mut Vec<EngineAction>,
    ) {
        if let Some(attempt) = self
            .requests
            .get(key)
            .and_then(|h| h.in_flight)
            .map(|out| out.number)
        {
            engine_actions.push(EngineAction::CancelAttempt { key, attempt });
            self.handle_attempt_ended(now, key, attempt, Outcome::Cancelled, None);
        }
    }
}
