//! The clients, without I/O and without a clock: told the time, asked what is to be done, told what came of it.
//!
//! Requests go out at the instants of the schedule whatever has become of those before: nothing here waits for an
//! answer but a client's own retry, which belongs to the request it repeats.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;

use crate::Micros;
use crate::records::{Outcome, Try};
use crate::scenario::Scenario;
use crate::schedule::{Intended, Schedule, Workshop};

/// What all parts of a run share.
#[derive(Debug)]
pub struct Setup {
    /// The run.
    pub scenario: Scenario,
    /// All that is meant to be sent.
    pub schedule: Schedule,
    /// Targets: the limiters.
    pub targets: usize,
    /// For ids, retries and waits.
    pub seed: u64,
}

/// A try that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Sending {
    /// Its request's position in the schedule.
    pub request: u32,
    /// 0 for the first try.
    pub number: u8,
    /// Which target.
    pub target: u16,
    /// New with each try.
    pub id: u64,
    /// The same for all tries of a request.
    pub key: u128,
    /// The client gives up at this instant.
    pub deadline: Micros,
}

/// What is to be done now.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Send this; `token` names it from now on.
    Send(usize, Sending),
    /// Its client has given up: end its connection, or forget it if it was not written.
    GiveUp(usize),
}

/// How a try ended on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer's last byte.
    Answered {
        /// Its status.
        status: u16,
        /// Its `Retry-After`.
        retry_after: Option<Micros>,
    },
    /// The connection broke, or brought what is no answer.
    Broken,
    /// No connection came up, or it broke before the request's last byte.
    NotSent,
}

struct Open {
    sending: Sending,
    intended: Micros,
    sent: Option<Micros>,
    until: Micros,
}

struct Again {
    request: u32,
    number: u8,
    target: u16,
    until: Micros,
}

/// The clients of one part of the requests.
pub struct Generator {
    setup: Arc<Setup>,
    part: usize,
    parts: usize,
    next: usize,
    stop_at: usize,
    rng: ChaCha8Rng,
    open: Slab<Open>,
    /// The one order of deadlines: tries to be given up and retries to be made, by instant and number.
    given_up: BTreeSet<(Micros, usize)>,
    again: BTreeMap<(Micros, u64), Again>,
    serial: u64,
    tries: Vec<Try>,
}

/// Longest wait between two tries.
const LONGEST_WAIT: f64 = 60_000.0;

impl Generator {
    /// The clients of every `parts`-th request, from `part` on.
    pub fn new(setup: Arc<Setup>, part: usize, parts: usize) -> Generator {
        let requests = setup.schedule.requests.len();
        let rng = ChaCha8Rng::seed_from_u64(
            setup.seed ^ (part as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
        Generator {
            part,
            parts: parts.max(1),
            next: part,
            stop_at: requests,
            rng,
            open: Slab::new(),
            given_up: BTreeSet::new(),
            again: BTreeMap::new(),
            serial: 0,
            // Room for every first try ahead: growing would copy in the middle of the run.
            tries: Vec::with_capacity(requests / parts.max(1) + requests / parts.max(1) / 8 + 16),
            setup,
        }
    }

    fn intended(&self) -> Option<&Intended> {
        self.setup
            .schedule
            .requests
            .get(self.next)
            .filter(|_| self.next < self.stop_at)
    }

    /// When something is to be done next by the clock alone.
    pub fn next(&self) -> Option<Micros> {
        let first = self.intended().map(|i| i.at);
        let again = self.again.keys().next().map(|k| k.0);
        let given_up = self.given_up.first().map(|k| k.0);
        [first, again, given_up].into_iter().flatten().min()
    }

    /// What is to be done by now, one at a time; `None` when there is nothing more.
    pub fn poll(&mut self, now: Micros) -> Option<Order> {
        if let Some(intended) = self.intended().filter(|i| i.at <= now) {
            let (at, class) = (intended.at, usize::from(intended.class));
            let target = self.target(intended.workshop, intended.limiter);
            let request = self.next as u32;
            self.next += self.parts;
            let until = at + (self.setup.scenario.classes[class].deadline_ms * 1e3) as Micros;
            return Some(self.send(request, 0, target, at, until));
        }
        if let Some(entry) = self.again.first_entry().filter(|e| e.key().0 <= now) {
            let at = entry.key().0;
            let again = entry.remove();
            return Some(self.send(again.request, again.number, again.target, at, again.until));
        }
        let (at, token) = *self.given_up.first().filter(|(at, _)| *at <= now)?;
        self.close(token, at, None);
        Some(Order::GiveUp(token))
    }

    fn workshop(&self, request: u32) -> &Workshop {
        let intended = &self.setup.schedule.requests[request as usize];
        &self.setup.schedule.workshops[intended.workshop as usize]
    }

    /// The target behind a place in a workshop's set.
    fn target(&self, workshop: u32, place: u16) -> u16 {
        let (_, first) = self.setup.schedule.workshops[workshop as usize].set;
        ((usize::from(first) + usize::from(place)) % self.setup.targets.max(1)) as u16
    }

    fn send(
        &mut self,
        request: u32,
        number: u8,
        target: u16,
        intended: Micros,
        until: Micros,
    ) -> Order {
        let class = &self.setup.scenario.classes
            [usize::from(self.setup.schedule.requests[request as usize].class)];
        let [least, most] = class.try_share;
        let share = self.rng.random_range(least..=most);
        let deadline = until.min(intended + (class.deadline_ms * 1e3 * share) as Micros);
        let mut keys = ChaCha8Rng::seed_from_u64(self.setup.seed ^ (u64::from(request) << 20));
        let sending = Sending {
            request,
            number,
            target,
            id: self.rng.random(),
            key: keys.random(),
            deadline,
        };
        let token = self.open.insert(Open {
            sending: sending.clone(),
            intended,
            sent: None,
            until,
        });
        self.given_up.insert((deadline, token));
        Order::Send(token, sending)
    }

    /// Whether a try's client still waits: tokens are given out anew, ids are not.
    pub fn waits(&self, token: usize, id: u64) -> bool {
        self.open
            .get(token)
            .is_some_and(|open| open.sending.id == id)
    }

    /// A try's last byte was written.
    pub fn written(&mut self, token: usize, now: Micros) {
        if let Some(open) = self.open.get_mut(token) {
            open.sent.get_or_insert(now);
        }
    }

    /// A try ended on the wire. One that was given up before is not known any more.
    pub fn ended(&mut self, token: usize, now: Micros, end: End) {
        self.close(token, now, Some(end));
    }

    /// Ends a try; without an end on the wire its client has given up.
    fn close(&mut self, token: usize, now: Micros, end: Option<End>) {
        let Some(open) = self.open.try_remove(token) else {
            return;
        };
        let sending = &open.sending;
        self.given_up.remove(&(sending.deadline, token));
        let sent = open.sent.filter(|_| end != Some(End::NotSent));
        let (outcome, status, retry_after) = match end {
            Some(End::Answered {
                status,
                retry_after,
            }) => (Outcome::of(status), status, retry_after),
            _ if sent.is_none() => (Outcome::NotSent, 0, None),
            Some(_) => (Outcome::Failed, 0, None),
            None => (Outcome::Unanswered, 0, None),
        };
        let (request, number, target) = (sending.request, sending.number, sending.target);
        let intended = open.intended;
        self.tries.push(Try {
            request,
            number,
            target,
            intended,
            sent,
            ended: now,
            status,
            outcome,
        });
        if outcome != Outcome::Served {
            self.retry(&open, outcome, now, retry_after);
        }
    }

    /// The client's own retry: after any failure where that is harmless, else after a refusal alone.
    fn retry(&mut self, open: &Open, outcome: Outcome, now: Micros, retry_after: Option<Micros>) {
        let plan = &self.setup.scenario.retries;
        let sending = &open.sending;
        let of = &self.setup.schedule.requests[sending.request as usize];
        let keyed = self.setup.scenario.classes[usize::from(of.class)].keyed;
        let harmless = matches!(outcome, Outcome::Declined | Outcome::NotSent);
        if u32::from(sending.number) >= plan.most || (keyed && !harmless) {
            return;
        }
        let [least, most] = plan.wait_ms;
        let drawn = self.rng.random_range(least..=most);
        let mut wait = (drawn * 2_f64.powi(i32::from(sending.number))).min(LONGEST_WAIT) * 1e3;
        if let Some(told) = retry_after
            && self.rng.random::<f64>() < plan.heed
        {
            wait = wait.max((told as f64).min(plan.heed_most_ms * 1e3));
        }
        let at = now + wait as Micros;
        let mut target = sending.target;
        let spread = self.workshop(sending.request).set.0;
        if spread > 1 && self.rng.random::<f64>() < plan.elsewhere {
            let place = self.rng.random_range(0..spread);
            target = self.target(of.workshop, place);
        }
        if at < open.until {
            self.serial += 1;
            let again = Again {
                request: sending.request,
                number: sending.number + 1,
                target,
                until: open.until,
            };
            self.again.insert((at, self.serial), again);
        }
    }

    /// Takes up no more of the schedule and no retries; what is out may still end.
    pub fn interrupt(&mut self) {
        self.stop_at = self.next;
        self.again.clear();
    }

    /// Whether nothing is out and nothing will be.
    pub fn done(&self) -> bool {
        self.open.is_empty() && self.again.is_empty() && self.intended().is_none()
    }

    /// Requests of this part taken up so far, and tries that have ended.
    pub fn progress(&self) -> (usize, usize) {
        ((self.next - self.part) / self.parts, self.tries.len())
    }

    /// Ends the run: what is out has no answer.
    pub fn finish(mut self, now: Micros) -> Vec<Try> {
        self.interrupt();
        let open: Vec<usize> = self.open.iter().map(|(token, _)| token).collect();
        for token in open {
            self.close(token, now, None);
        }
        self.tries
    }
}

/// Writes a try in the platform's form. `remaining`: what the client will still wait.
pub fn write_request(out: &mut Vec<u8>, setup: &Setup, sending: &Sending, remaining: Micros) {
    use std::io::Write;
    let of = &setup.schedule.requests[sending.request as usize];
    let workshop = &setup.schedule.workshops[of.workshop as usize];
    let class = &setup.scenario.classes[usize::from(of.class)];
    let plan = &setup.scenario.workshops.plans[usize::from(workshop.plan)].name;
    let method = if class.keyed { "POST" } else { "GET" };
    let (name, customer, id, units, key) = (
        &class.name,
        workshop.customer,
        sending.id,
        of.units,
        sending.key,
    );
    let (spread, first) = workshop.set;
    let wait = remaining.max(1_000) as f64 / 1e6;
    let again = if sending.number > 0 {
        "X-Second-Try: 1\r\n"
    } else {
        ""
    };
    // Writing to memory does not fail.
    let _ = write!(
        out,
        "{method} /{name}?account={customer:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id:016x}\r\n\
         X-Qos: {name}\r\nX-Tier: {plan}\r\nX-Expires-In: {wait:.3}\r\n\
         X-Call-Terms: units={units},spread={spread},first={first}\r\n{again}"
    );
    if class.keyed {
        let [least, most] = class.body_bytes;
        let length = least + (key as usize) % (most - least + 1);
        let _ = write!(
            out,
            "Idempotency-Key: {key:032x}\r\nContent-Length: {length}\r\n\r\n"
        );
        out.resize(out.len() + length, b'e');
    } else {
        out.extend_from_slice(b"\r\n");
    }
}
