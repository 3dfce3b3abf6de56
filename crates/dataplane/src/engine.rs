//! Hosts the decision module. It knows authorisations, legs and outcomes, and no wire.
//!
//! A front hands in an [`Authorisation`]; the host carries out the [`Order`]s and reports what came of them. The
//! engine holds the invariants whatever the module or the host does: one final answer for each authorisation,
//! never two legs of one out, no leg after the end.

use std::fmt;

use streamarch::{
    Action, AttemptEnd, Balancer, CounterName, CustomerId, Event, ListKind, LoadReport, Micros,
    Outcome, OverNotice, Plan, Request, RequestId, ServerEntry, ServerId, Settings,
};

use crate::plan_resolver::{PlanResolver, ResolvedPlan};
use crate::slots::{AuthorisationKey, Key, SlotMap};

/// What a front asks for on behalf of a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Authorisation {
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its plan in the settings.
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// The final answer is due by then.
    pub deadline: Micros,
    /// Units it takes from the quota.
    pub units: f64,
    /// Number of limiters in the customer's set...
    pub spread: u32,
    /// ...and the first of them.
    pub first: u32,
    /// A client's repeat, where clients say so.
    pub again: bool,
    /// What the client showed is good until then; no leg starts later.
    pub valid_until: Option<Micros>,
    /// Its place in the order in which requests wait under overload...
    pub place: f64,
    /// ...and the share of that order that waits now.
    pub waits: f64,
}

/// The final answer, where no server's answer is it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineRejection {
    /// Declined: trying again is harmless.
    Declined {
        /// How long the client had better stay away; 0 for no advice.
        stay_away: Micros,
        /// For its quota, not for want of a server.
        over_quota: bool,
    },
    /// Failed; promises nothing.
    Failed,
    /// What the client showed ran out before a leg could start.
    Expired {
        /// An earlier leg may have run.
        may_have_run: bool,
    },
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineAction {
    /// Send a leg to a server; report its end with [`Engine::leg_ended`].
    StartAttempt {
        /// The authorisation.
        key: AuthorisationKey,
        /// Number of the leg, from 0.
        leg: u32,
        /// Where to.
        server: ServerId,
        /// Its outcome is due by then.
        deadline: Micros,
    },
    /// Close the connection of a leg; its end is already known here.
    StopAttempt {
        /// The authorisation.
        key: AuthorisationKey,
        /// Number of the leg.
        leg: u32,
    },
    /// Give the final answer.
    Reject {
        /// The authorisation.
        key: AuthorisationKey,
        /// How it ends.
        ending: EngineRejection,
    },
    /// Add to a number of the counter; report with [`Engine::counted`].
    AddToCounter {
        /// The number.
        name: CounterName,
        /// What to add.
        add: f64,
        /// Life of a new name.
        life: Micros,
    },
    /// Probe a server; report with [`Engine::probe_ended`].
    Probe(ServerId),
    /// Tell the limiter of this number.
    Notify(u32, OverNotice),
    /// A line for the log.
    Log(String),
}

/// What a host did that it must not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// More authorisations than may be held.
    Full,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::Full => f.write_str("too many authorisations held"),
        }
    }
}

impl std::error::Error for EngineError {}

/// A leg that is out.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    number: u32,
    server: ServerId,
    sent: Micros,
}

#[derive(Debug)]
struct RequestState {
    authorisation: Authorisation,
    /// By the plan book, where there is one.
    plan: Option<ResolvedPlan>,
    attempts: u32,
    in_flight: Option<InFlightAttempt>,
    may_have_run: bool,
    /// What a leg would carry is no longer here.
    is_body_sent: bool,
    done: bool,
}

/// The engine: the module, its requests and what holds whatever it decides.
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
    /// Left by their clients since the module last decided: it may yet send for them.
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
    /// An engine that knows nothing but its settings; `most_held` bounds its table.
    pub fn new(settings: Settings, seed: u64, most_held: usize) -> Engine {
        let (period, max_legs) = (settings.period.max(1), settings.max_attempts.max(1));
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

    /// Authorisations whose final answer is owed.
    pub fn open_requests(&self) -> usize {
        self.open_count
    }

    /// When the final answer of an authorisation is due, while it is held.
    pub fn deadline(&self, key: AuthorisationKey) -> Option<Micros> {
        self.requests
            .get(key)
            .map(|held| held.authorisation.deadline)
    }

    /// The class of an authorisation, and since when its leg is out, if one is.
    pub fn in_flight_since(&self, key: AuthorisationKey) -> Option<(usize, Micros)> {
        let held = self.requests.get(key)?;
        held.in_flight
            .map(|out| (held.authorisation.class, out.sent))
    }

    /// From now on requests are judged by a plan book, which starts from the plans that the engine was given.
    pub fn set_plan_resolver(&mut self, judging: PlanResolver) {
        self.plan_resolver = Some(judging);
    }

    /// The plan book, where there is one.
    pub fn plan_resolver(&mut self) -> Option<&mut PlanResolver> {
        self.plan_resolver.as_mut()
    }

    /// What an authorisation is judged by, while it is held, where there is a plan book.
    pub fn resolved_plan(&self, key: AuthorisationKey) -> Option<&ResolvedPlan> {
        self.requests.get(key)?.plan.as_ref()
    }

    /// Takes an authorisation; from now on one final answer is owed. Its plan is the one that holds now, and stays.
    ///
    /// # Errors
    /// The request is rejected; the error says why.
    pub fn submit(
        &mut self,
        now: Micros,
        mut authorisation: Authorisation,
    ) -> Result<AuthorisationKey, EngineError> {
        if self.requests.len() >= self.max_requests {
            return Err(EngineError::Full);
        }
        let mut new = Vec::new();
        let judge = |judging: &mut PlanResolver| {
            judging.resolve(now, authorisation.customer, authorisation.plan, &mut new)
        };
        let judged = self.plan_resolver.as_mut().map(judge);
        self.events.extend(new.into_iter().map(Event::Plan));
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
            spread: authorisation.spread,
            first: authorisation.first,
            again: authorisation.again,
            place: authorisation.place,
            waits: authorisation.waits,
        }));
        Ok(key)
    }

    /// A leg ended. True if its answer is the final answer, to be passed on now.
    pub fn handle_attempt_ended(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        leg: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> bool {
        let Some(held) = self.requests.get_mut(key) else {
            return false;
        };
        let Some(out) = held.in_flight.take_if(|out| out.number == leg) else {
            return false;
        };
        let answers = outcome == Outcome::Ok && !held.done;
        held.done |= answers;
        held.may_have_run |= !matches!(
            outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot
        );
        let finished = held.done;
        if finished {
            self.requests.remove(key);
        }
        self.open_count -= usize::from(answers);
        self.events.push(Event::AttemptEnd(AttemptEnd {
            request: id(key),
            attempt: leg,
            server: out.server,
            outcome,
            took: now - out.sent,
            finished,
            actual_units: None,
            report,
        }));
        answers
    }

    /// The last byte of a leg is written: what it takes counts from now. Guards the figures of servers against clients
    /// whose bodies come slowly.
    pub fn handle_attempt_written(&mut self, now: Micros, key: AuthorisationKey) {
        if let Some(out) = self
            .requests
            .get_mut(key)
            .and_then(|held| held.in_flight.as_mut())
        {
            out.sent = now;
        }
    }

    /// What a leg would carry is no longer here: none starts for it any more, and the one that is out is not moved.
    pub fn handle_body_sent(&mut self, key: AuthorisationKey) {
        if let Some(held) = self.requests.get_mut(key) {
            held.is_body_sent = true;
        }
    }

    /// The client left: nothing is owed any more, and a leg that is out is stopped.
    pub fn handle_client_left(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        orders: &mut Vec<EngineAction>,
    ) {
        if self.finish_request(key, true) {
            self.events.push(Event::ClientLeft(id(key)));
            self.stop_attempt(now, key, orders);
        }
    }

    /// The counter answered, or failed to.
    pub fn handle_counter_result(&mut self, name: CounterName, outcome: Outcome, total: f64) {
        self.events.push(Event::Counted {
            name,
            outcome,
            total,
        });
    }

    /// The counter answered a call whose outcome had been given before.
    pub fn handle_late_counter_result(&mut self) {
        self.events.push(Event::CounterLate);
    }

    /// Another counter has taken over, and starts empty.
    pub fn handle_counter_replaced(&mut self) {
        self.events.push(Event::CounterNew);
    }

    /// A probe ended.
    pub fn handle_probe_result(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.events.push(Event::ProbeEnd {
            server,
            outcome,
            report,
        });
    }

    /// News of the routing table.
    pub fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.events.push(Event::ServerList { kind, entries });
    }

    /// Another limiter told this.
    pub fn handle_notice(&mut self, notice: OverNotice) {
        self.events.push(Event::Told(notice));
    }

    /// A plan came up; it takes the next position in the module.
    pub fn add_plan(&mut self, plan: Plan) {
        self.events.push(Event::Plan(plan));
    }

    /// When [`Engine::handle`] has something to do next; the module is not called more often than its period.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let earliest = self.last_run_at.map_or(Micros::MIN, |at| at + self.period);
        let wanted = if self.events.is_empty() {
            self.wake_at
        } else {
            Some(Micros::MIN)
        };
        wanted.map(|at| at.max(earliest))
    }

    /// Lets the module decide on what has come in, if its period is over.
    pub fn run(&mut self, now: Micros, orders: &mut Vec<EngineAction>) {
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
            self.carry_out(now, action, orders);
        }
        self.actions = actions;
        for key in std::mem::take(&mut self.abandoned) {
            self.requests.remove(key);
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, orders: &mut Vec<EngineAction>) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.send(now, key(request), server, timeout, orders),
            Action::Shed {
                request,
                stay_away,
                over_quota,
            } => self.reject(
                now,
                key(request),
                EngineRejection::Declined {
                    stay_away,
                    over_quota,
                },
                orders,
            ),
            Action::Fail(request) => {
                self.reject(now, key(request), EngineRejection::Failed, orders)
            }
            Action::Cancel { request, attempt } => {
                let key = key(request);
                // Guards a request that could only fail by it: its body has gone on to that server and is no longer
                // here. One that takes a long body in owes no answer yet, and so is easily taken for silent.
                let moves = self.requests.get(key).filter(|held| !held.is_body_sent);
                if moves
                    .and_then(|held| held.in_flight)
                    .is_some_and(|out| out.number == attempt)
                {
                    orders.push(EngineAction::StopAttempt { key, leg: attempt });
                    self.handle_attempt_ended(now, key, attempt, Outcome::Cancelled, None);
                }
            }
            Action::Count { name, add, expires } => orders.push(EngineAction::AddToCounter {
                name,
                add,
                life: expires,
            }),
            Action::Tell(limiter, notice) => orders.push(EngineAction::Notify(limiter, notice)),
            Action::Probe(server) => orders.push(EngineAction::Probe(server)),
            // The host watches the list from its start, whether the module asks for it or not.
            Action::WatchList => {}
            Action::WakeAt(at) => self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at))),
            Action::Log(text) => orders.push(EngineAction::Log(text)),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        server: ServerId,
        timeout: Micros,
        orders: &mut Vec<EngineAction>,
    ) {
        let Some(held) = self.requests.get_mut(key) else {
            return;
        };
        let leg = held.attempts;
        held.attempts += 1;
        // Guards rule 2: never two legs out, none after the end, whatever asks for them. The module is told that the
        // leg it asked for is over: else it would count it as out at its server for ever.
        if held.in_flight.is_some() || held.done {
            let end = AttemptEnd {
                request: id(key),
                attempt: leg,
                server,
                outcome: Outcome::Moot,
                took: 0,
                finished: held.done,
                actual_units: None,
                report: None,
            };
            self.events.push(Event::AttemptEnd(end));
            return;
        }
        let expired = held
            .authorisation
            .valid_until
            .is_some_and(|until| until <= now);
        held.in_flight = Some(InFlightAttempt {
            number: leg,
            server,
            sent: now,
        });
        // Guards the sign-off whose token runs out between try and retry: it is not sent again.
        if expired {
            let may_have_run = held.may_have_run;
            self.handle_attempt_ended(now, key, leg, Outcome::Moot, None);
            return self.reject(now, key, EngineRejection::Expired { may_have_run }, orders);
        }
        if leg >= self.max_attempts || held.is_body_sent || held.authorisation.deadline <= now {
            self.handle_attempt_ended(now, key, leg, Outcome::Moot, None);
            return;
        }
        let given = if timeout == 0 {
            Micros::MAX
        } else {
            now.saturating_add(timeout.max(0))
        };
        let deadline = held.authorisation.deadline.min(given);
        orders.push(EngineAction::StartAttempt {
            key,
            leg,
            server,
            deadline,
        });
    }

    /// Marks the end; true if it had not ended before. Where the module does not know of it yet, the slot is kept
    /// until it has decided again: what it decides on an earlier event may still be to send.
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
        ending: EngineRejection,
        orders: &mut Vec<EngineAction>,
    ) {
        // Guards rule 1: the second of two final answers goes nowhere.
        if self.finish_request(key, false) {
            orders.push(EngineAction::Reject { key, ending });
            self.stop_attempt(now, key, orders);
        }
    }

    /// A leg of what is over is work for nobody.
    fn stop_attempt(&mut self, now: Micros, key: AuthorisationKey, orders: &mut Vec<EngineAction>) {
        if let Some(leg) = self
            .requests
            .get(key)
            .and_then(|h| h.in_flight)
            .map(|out| out.number)
        {
            orders.push(EngineAction::StopAttempt { key, leg });
            self.handle_attempt_ended(now, key, leg, Outcome::Cancelled, None);
        }
    }
}
