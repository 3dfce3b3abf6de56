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

use crate::judging::{Judged, Judging};
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
pub enum Ending {
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
pub enum Order {
    /// Send a leg to a server; report its end with [`Engine::leg_ended`].
    StartLeg {
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
    StopLeg {
        /// The authorisation.
        key: AuthorisationKey,
        /// Number of the leg.
        leg: u32,
    },
    /// Give the final answer.
    Answer {
        /// The authorisation.
        key: AuthorisationKey,
        /// How it ends.
        ending: Ending,
    },
    /// Add to a number of the counter; report with [`Engine::counted`].
    Count {
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
    Tell(u32, OverNotice),
    /// A line for the log.
    Log(String),
}

/// What a host did that it must not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misuse {
    /// More authorisations than may be held.
    Full,
}

impl fmt::Display for Misuse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Misuse::Full => f.write_str("too many authorisations held"),
        }
    }
}

impl std::error::Error for Misuse {}

/// A leg that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    leg: u32,
    server: ServerId,
    sent: Micros,
}

#[derive(Debug)]
struct Held {
    authorisation: Authorisation,
    /// By the plan book, where there is one.
    judged: Option<Judged>,
    legs: u32,
    out: Option<Out>,
    may_have_run: bool,
    /// What a leg would carry is no longer here.
    body_gone: bool,
    done: bool,
}

/// The engine: the module, its requests and what holds whatever it decides.
pub struct Engine {
    balancer: Balancer,
    held: SlotMap<AuthorisationKey, Held>,
    most_held: usize,
    max_legs: u32,
    period: Micros,
    handled: Option<Micros>,
    wake: Option<Micros>,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// Left by their clients since the module last decided: it may yet send for them.
    left: Vec<AuthorisationKey>,
    open: usize,
    judging: Option<Judging>,
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
            held: SlotMap::with_key(),
            most_held,
            max_legs,
            period,
            handled: None,
            wake: None,
            events: Vec::new(),
            actions: Vec::new(),
            left: Vec::new(),
            open: 0,
            judging: None,
        }
    }

    /// Authorisations whose final answer is owed.
    pub fn open(&self) -> usize {
        self.open
    }

    /// When the final answer of an authorisation is due, while it is held.
    pub fn deadline(&self, key: AuthorisationKey) -> Option<Micros> {
        self.held.get(key).map(|held| held.authorisation.deadline)
    }

    /// The class of an authorisation, and since when its leg is out, if one is.
    pub fn out_since(&self, key: AuthorisationKey) -> Option<(usize, Micros)> {
        let held = self.held.get(key)?;
        held.out.map(|out| (held.authorisation.class, out.sent))
    }

    /// From now on requests are judged by a plan book, which starts from the plans that the engine was given.
    pub fn judge_by(&mut self, judging: Judging) {
        self.judging = Some(judging);
    }

    /// The plan book, where there is one.
    pub fn judging(&mut self) -> Option<&mut Judging> {
        self.judging.as_mut()
    }

    /// What an authorisation is judged by, while it is held, where there is a plan book.
    pub fn judged(&self, key: AuthorisationKey) -> Option<&Judged> {
        self.held.get(key)?.judged.as_ref()
    }

    /// Takes an authorisation; from now on one final answer is owed. Its plan is the one that holds now, and stays.
    ///
    /// # Errors
    /// The request is rejected; the error says why.
    pub fn take(
        &mut self,
        now: Micros,
        mut authorisation: Authorisation,
    ) -> Result<AuthorisationKey, Misuse> {
        if self.held.len() >= self.most_held {
            return Err(Misuse::Full);
        }
        let mut new = Vec::new();
        let judge = |judging: &mut Judging| {
            judging.judge(now, authorisation.customer, authorisation.plan, &mut new)
        };
        let judged = self.judging.as_mut().map(judge);
        self.events.extend(new.into_iter().map(Event::Plan));
        authorisation.plan = judged
            .as_ref()
            .map_or(authorisation.plan, |judged| judged.position);
        let held = Held {
            authorisation: authorisation.clone(),
            judged,
            legs: 0,
            out: None,
            may_have_run: false,
            body_gone: false,
            done: false,
        };
        let key = self.held.insert(held);
        self.open += 1;
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
    pub fn leg_ended(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        leg: u32,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> bool {
        let Some(held) = self.held.get_mut(key) else {
            return false;
        };
        let Some(out) = held.out.take_if(|out| out.leg == leg) else {
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
            self.held.remove(key);
        }
        self.open -= usize::from(answers);
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
    pub fn leg_written(&mut self, now: Micros, key: AuthorisationKey) {
        if let Some(out) = self.held.get_mut(key).and_then(|held| held.out.as_mut()) {
            out.sent = now;
        }
    }

    /// What a leg would carry is no longer here: none starts for it any more, and the one that is out is not moved.
    pub fn body_gone(&mut self, key: AuthorisationKey) {
        if let Some(held) = self.held.get_mut(key) {
            held.body_gone = true;
        }
    }

    /// The client left: nothing is owed any more, and a leg that is out is stopped.
    pub fn client_left(&mut self, now: Micros, key: AuthorisationKey, orders: &mut Vec<Order>) {
        if self.end(key, true) {
            self.events.push(Event::ClientLeft(id(key)));
            self.stop_leg(now, key, orders);
        }
    }

    /// The counter answered, or failed to.
    pub fn counted(&mut self, name: CounterName, outcome: Outcome, total: f64) {
        self.events.push(Event::Counted {
            name,
            outcome,
            total,
        });
    }

    /// The counter answered a call whose outcome had been given before.
    pub fn counter_late(&mut self) {
        self.events.push(Event::CounterLate);
    }

    /// Another counter has taken over, and starts empty.
    pub fn counter_new(&mut self) {
        self.events.push(Event::CounterNew);
    }

    /// A probe ended.
    pub fn probe_ended(&mut self, server: ServerId, outcome: Outcome, report: Option<LoadReport>) {
        self.events.push(Event::ProbeEnd {
            server,
            outcome,
            report,
        });
    }

    /// News of the routing table.
    pub fn listed(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.events.push(Event::ServerList { kind, entries });
    }

    /// Another limiter told this.
    pub fn told(&mut self, notice: OverNotice) {
        self.events.push(Event::Told(notice));
    }

    /// A plan came up; it takes the next position in the module.
    pub fn plan_added(&mut self, plan: Plan) {
        self.events.push(Event::Plan(plan));
    }

    /// When [`Engine::handle`] has something to do next; the module is not called more often than its period.
    pub fn next(&self) -> Option<Micros> {
        let earliest = self.handled.map_or(Micros::MIN, |at| at + self.period);
        let wanted = if self.events.is_empty() {
            self.wake
        } else {
            Some(Micros::MIN)
        };
        wanted.map(|at| at.max(earliest))
    }

    /// Lets the module decide on what has come in, if its period is over.
    pub fn handle(&mut self, now: Micros, orders: &mut Vec<Order>) {
        if self.next().is_none_or(|at| at > now) {
            return;
        }
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            self.events.push(Event::Timer);
        }
        self.handled = Some(now);
        let mut actions = std::mem::take(&mut self.actions);
        let mut events = std::mem::take(&mut self.events);
        self.balancer.handle(now, &events, &mut actions);
        events.clear();
        self.events = events;
        for action in actions.drain(..) {
            self.carry_out(now, action, orders);
        }
        self.actions = actions;
        for key in std::mem::take(&mut self.left) {
            self.held.remove(key);
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, orders: &mut Vec<Order>) {
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
            } => self.answer(
                now,
                key(request),
                Ending::Declined {
                    stay_away,
                    over_quota,
                },
                orders,
            ),
            Action::Fail(request) => self.answer(now, key(request), Ending::Failed, orders),
            Action::Cancel { request, attempt } => {
                let key = key(request);
                // Guards a request that could only fail by it: its body has gone on to that server and is no longer
                // here. One that takes a long body in owes no answer yet, and so is easily taken for silent.
                let moves = self.held.get(key).filter(|held| !held.body_gone);
                if moves
                    .and_then(|held| held.out)
                    .is_some_and(|out| out.leg == attempt)
                {
                    orders.push(Order::StopLeg { key, leg: attempt });
                    self.leg_ended(now, key, attempt, Outcome::Cancelled, None);
                }
            }
            Action::Count { name, add, expires } => orders.push(Order::Count {
                name,
                add,
                life: expires,
            }),
            Action::Tell(limiter, notice) => orders.push(Order::Tell(limiter, notice)),
            Action::Probe(server) => orders.push(Order::Probe(server)),
            // The host watches the list from its start, whether the module asks for it or not.
            Action::WatchList => {}
            Action::WakeAt(at) => self.wake = Some(self.wake.map_or(at, |w| w.min(at))),
            Action::Log(text) => orders.push(Order::Log(text)),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        server: ServerId,
        timeout: Micros,
        orders: &mut Vec<Order>,
    ) {
        let Some(held) = self.held.get_mut(key) else {
            return;
        };
        let leg = held.legs;
        held.legs += 1;
        // Guards rule 2: never two legs out, none after the end, whatever asks for them. The module is told that the
        // leg it asked for is over: else it would count it as out at its server for ever.
        if held.out.is_some() || held.done {
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
        held.out = Some(Out {
            leg,
            server,
            sent: now,
        });
        // Guards the sign-off whose token runs out between try and retry: it is not sent again.
        if expired {
            let may_have_run = held.may_have_run;
            self.leg_ended(now, key, leg, Outcome::Moot, None);
            return self.answer(now, key, Ending::Expired { may_have_run }, orders);
        }
        if leg >= self.max_legs || held.body_gone || held.authorisation.deadline <= now {
            self.leg_ended(now, key, leg, Outcome::Moot, None);
            return;
        }
        let given = if timeout == 0 {
            Micros::MAX
        } else {
            now.saturating_add(timeout.max(0))
        };
        let deadline = held.authorisation.deadline.min(given);
        orders.push(Order::StartLeg {
            key,
            leg,
            server,
            deadline,
        });
    }

    /// Marks the end; true if it had not ended before. Where the module does not know of it yet, the slot is kept
    /// until it has decided again: what it decides on an earlier event may still be to send.
    fn end(&mut self, key: AuthorisationKey, unknown: bool) -> bool {
        let Some(held) = self.held.get_mut(key).filter(|h| !h.done) else {
            return false;
        };
        held.done = true;
        self.open -= 1;
        match (held.out.is_none(), unknown) {
            (true, true) => self.left.push(key),
            (true, false) => _ = self.held.remove(key),
            (false, _) => {}
        }
        true
    }

    fn answer(
        &mut self,
        now: Micros,
        key: AuthorisationKey,
        ending: Ending,
        orders: &mut Vec<Order>,
    ) {
        // Guards rule 1: the second of two final answers goes nowhere.
        if self.end(key, false) {
            orders.push(Order::Answer { key, ending });
            self.stop_leg(now, key, orders);
        }
    }

    /// A leg of what is over is work for nobody.
    fn stop_leg(&mut self, now: Micros, key: AuthorisationKey, orders: &mut Vec<Order>) {
        if let Some(leg) = self.held.get(key).and_then(|h| h.out).map(|out| out.leg) {
            orders.push(Order::StopLeg { key, leg });
            self.leg_ended(now, key, leg, Outcome::Cancelled, None);
        }
    }
}
