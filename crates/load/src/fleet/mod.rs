//! A fleet on driven time: instances of the decision module, simple servers, one counter and a list that comes late.
//!
//! What one gateway does may be harmless and a hundred doing it not; so what is counted is what all do together. There
//! are no sockets and no clock: the same shape and seed give the same totals, but for the time that decisions took.

mod world;

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use streamarch::{
    Action, AttemptEnd, Balancer, Class, CustomerId, Event, Idempotency, ListKind, Outcome, Plan,
    Request, RequestId, ServerEntry, ServerId, ServerState, Settings,
};

use self::world::{Counter, Node, Quota};
use crate::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The world's first instant: late enough that a server may have started long before.
const START: Micros = 100 * SECOND;
/// Idle connections to servers go after this.
const IDLE: Micros = 9 * SECOND;
/// A connection that never comes up, and a probe that stays unanswered, are given up after this.
const NO_ANSWER: Micros = 250 * MS;
/// A message between gateways takes so long.
const MESSAGE: Micros = 10 * MS;
/// Between two arrivals of time: what falls due within it is handled together.
const STEP: Micros = 2 * MS;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// Seven in ten gateways restart at once, with the list as it was before some servers were replaced.
    Restart,
    /// A third of the servers falls silent and comes back cold.
    Zone,
    /// Six in ten servers are replaced within six seconds.
    Replace,
}

impl Trouble {
    /// The trouble of this name.
    pub fn named(name: &str) -> Option<Trouble> {
        let names = [
            ("calm", Trouble::Calm),
            ("restart", Trouble::Restart),
            ("zone", Trouble::Zone),
            ("replace", Trouble::Replace),
        ];
        names
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, trouble)| *trouble)
    }
}

/// The size of a fleet and what it is asked.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Gateways.
    pub gateways: usize,
    /// Servers of two cores.
    pub servers: u32,
    /// Customers for each server; most ask for some of their quota, one in ten for three times it.
    pub customers_per_server: u64,
    /// Share of the gateways that a customer's requests come in through.
    pub spread: f64,
    /// Calls a second that the counter bears for each server.
    pub calls_per_server: f64,
    /// Of all chance.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        let (customers_per_server, calls_per_server) = (5, 5.2);
        Shape {
            gateways: 100,
            servers: 60,
            customers_per_server,
            spread: 0.7,
            calls_per_server,
            seed: 1,
        }
    }
}

/// What all gateways did together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Totals {
    /// How long it lasted.
    pub seconds: f64,
    /// Requests.
    pub asked: u64,
    /// Answered within their aim.
    pub served: u64,
    /// Declined for their quota.
    pub over_quota: u64,
    /// Of these, with half of the quota unused or more.
    pub with_room: u64,
    /// Declined for want of a server.
    pub no_server: u64,
    /// Failed otherwise.
    pub failed: u64,
    /// Units sent on.
    pub units: f64,
    /// Of these, beyond quotas.
    pub beyond: f64,
    /// Units that one gateway would have let in that saw all requests and sent each on at once.
    pub could: f64,
    /// Legs.
    pub legs: u64,
    /// Of these, turned away or without a connection.
    pub unrun: u64,
    /// Connections opened to servers.
    pub opened: u64,
    /// Probes.
    pub probes: u64,
    /// Calls to the counter.
    pub calls: u64,
    /// Messages between gateways.
    pub messages: u64,
    /// Most messages that one gateway took in within a second.
    pub most_messages: u32,
    /// The largest share that a cold server was sent of what makes it fall over.
    pub pushed: f64,
    /// Time that decisions took, in microseconds a request: of this machine, and noisy.
    pub decision_us: f64,
}

impl Totals {
    /// Per request.
    pub fn each(&self, count: u64) -> f64 {
        count as f64 / self.asked.max(1) as f64
    }

    /// Per second.
    pub fn a_second(&self, count: u64) -> f64 {
        count as f64 / self.seconds.max(f64::MIN_POSITIVE)
    }

    /// Units inside quotas, as a share of what one gateway that saw all would have let in.
    pub fn kept(&self) -> f64 {
        (self.units - self.beyond) / self.could.max(1.0)
    }

    /// Share of the units sent on that were beyond quotas.
    pub fn beyond_share(&self) -> f64 {
        self.beyond / self.units.max(1.0)
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |count| 100.0 * self.each(count);
        writeln!(f, "{} requests in {} s", self.asked, self.seconds)?;
        writeln!(
            f,
            "served in time             {:>8.1} %",
            percent(self.served)
        )?;
        writeln!(
            f,
            "declined for the quota     {:>8.1} %",
            percent(self.over_quota)
        )?;
        writeln!(
            f,
            "  with half of it unused   {:>8.1} %",
            percent(self.with_room)
        )?;
        writeln!(
            f,
            "declined, no server        {:>8.1} %",
            percent(self.no_server)
        )?;
        writeln!(
            f,
            "failed                     {:>8.1} %",
            percent(self.failed)
        )?;
        writeln!(
            f,
            "quotas used                {:>8.1} % of what one gateway would",
            100.0 * self.kept()
        )?;
        writeln!(
            f,
            "units beyond quotas        {:>8.1} %",
            100.0 * self.beyond_share()
        )?;
        writeln!(
            f,
            "legs a request             {:>8.3}",
            self.each(self.legs)
        )?;
        writeln!(f, "legs that never ran        {:>8}", self.unrun)?;
        writeln!(
            f,
            "connections a request      {:>8.3}",
            self.each(self.opened)
        )?;
        writeln!(f, "probes                     {:>8}", self.probes)?;
        writeln!(
            f,
            "calls a second             {:>8.1}",
            self.a_second(self.calls)
        )?;
        writeln!(
            f,
            "messages a second          {:>8.1}",
            self.a_second(self.messages)
        )?;
        writeln!(f, "most for one in a second   {:>8}", self.most_messages)?;
        writeln!(
            f,
            "cold server pushed         {:>8.2} of what makes it fall",
            self.pushed
        )?;
        writeln!(
            f,
            "decisions                  {:>8.1} us a request, of this machine",
            self.decision_us
        )
    }
}

/// Plays a trouble on a fleet of this shape.
pub fn play(shape: &Shape, trouble: Trouble) -> Totals {
    let mut fleet = Fleet::start(shape);
    fleet.run(4 * SECOND);
    match trouble {
        Trouble::Calm => {}
        Trouble::Restart => fleet.restart(),
        Trouble::Zone => fleet.lose_zone(),
        Trouble::Replace => fleet.replace(),
    }
    fleet.run(6 * SECOND);
    fleet.finish()
}

struct Customer {
    plan: usize,
    quota: Quota,
    /// As if all its requests came to one gateway.
    alone: Quota,
    first: u32,
}

/// A request that is not over.
struct Open {
    customer: CustomerId,
    attempts: u32,
    leg: Option<(u32, ServerId, Micros)>,
}

struct Fleet {
    now: Micros,
    settings: Settings,
    spread: u32,
    random: ChaCha8Rng,
    gateways: Vec<Balancer>,
    nodes: Vec<Node>,
    listed: Vec<ServerEntry>,
    customers: Vec<Customer>,
    /// Customers by how often they ask: drawn from it, each request is one's.
    asking: Vec<u64>,
    per_step: f64,
    owed: f64,
    counter: Counter,
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    number: u64,
    open: BTreeMap<RequestId, Open>,
    idle: BTreeMap<(usize, ServerId), Vec<Micros>>,
    taken_in: Vec<u32>,
    totals: Totals,
    busy: Duration,
}

fn settings(gateways: usize) -> Settings {
    let plan = |rate, burst, price, over_cost| Plan {
        rate_per_s: rate,
        burst,
        value_factor: price,
        over_quota_cost_share: over_cost,
        ..Plan::default()
    };
    let class = |worth, aim, repeat| Class {
        latency_target: aim,
        client_timeout: 4 * SECOND,
        late_value_share: 0.0,
        value: worth,
        idempotency: repeat,
        streaming: false,
    };
    Settings {
        gateway_count: gateways as u32,
        classes: vec![class(1.0, 1_500 * MS, Idempotency::Idempotent)],
        plans: vec![
            plan(1.2, 8.0, 0.8, 0.0),
            plan(2.9, 16.0, 1.3, 0.6),
            plan(8.8, 13.0, 1.8, 1.0),
        ],
        min_handle_interval: MS,
        counter_available: true,
        counter_timeout: 30 * MS,
        can_cancel: true,
        can_probe: true,
        max_attempts: 4,
        sends_retry_after: true,
        can_notify_gateways: true,
        max_retry_after: SECOND,
        cold_capacity_share: 0.15,
        warm_up_duration: 15 * SECOND,
        overload_multiple: 3.0,
        overload_window: 3 * SECOND,
        even_shares_counter_lost: false,
        ..Settings::default()
    }
}

fn entry(server: usize, state: ServerState, started: Micros) -> ServerEntry {
    let number = server as u32;
    ServerEntry {
        server: ServerId(number),
        zone: number % 3,
        machine_type: number % 2,
        cell: number / 4,
        state,
        weight: 1.0,
        started_at: started,
    }
}

impl Fleet {
    fn start(shape: &Shape) -> Fleet {
        let settings = settings(shape.gateways.max(1));
        let mut random = ChaCha8Rng::seed_from_u64(shape.seed);
        let count = u64::from(shape.servers) * shape.customers_per_server;
        let (mut customers, mut asking, mut units_a_second) = (Vec::new(), Vec::new(), 0.0);
        for number in 0..count {
            let plan = [0, 0, 1, 1, 2][number as usize % 5];
            let quota = Quota::full(&settings.plans[plan], START);
            let first = random.random_range(0..settings.gateway_count);
            customers.push(Customer {
                plan,
                quota,
                alone: quota,
                first,
            });
            let asks = settings.plans[plan].rate_per_s * if number % 10 == 4 { 3.0 } else { 0.45 };
            units_a_second += asks;
            asking.extend(std::iter::repeat_n(number, (asks * 100.0) as usize));
        }
        let mut fleet = Fleet {
            now: START,
            spread: ((shape.spread * shape.gateways as f64) as u32)
                .clamp(1, settings.gateway_count),
            gateways: Vec::new(),
            nodes: vec![Node::default(); shape.servers as usize],
            listed: (0..shape.servers as usize)
                .map(|n| entry(n, ServerState::Ready, 0))
                .collect(),
            customers,
            asking,
            per_step: units_a_second * STEP as f64 / SECOND as f64,
            owed: 0.0,
            counter: Counter::new(shape.calls_per_server * f64::from(shape.servers), 95 * MS),
            due: BTreeMap::new(),
            number: 0,
            open: BTreeMap::new(),
            idle: BTreeMap::new(),
            taken_in: vec![0; shape.gateways],
            totals: Totals::default(),
            busy: Duration::ZERO,
            settings,
            random,
        };
        let list = fleet.listed.clone();
        for number in 0..shape.gateways {
            let gateway = fleet.fresh(number);
            fleet.gateways.push(gateway);
            fleet.list(number, ListKind::Cached, list.clone(), 0);
        }
        fleet
    }

    fn fresh(&mut self, number: usize) -> Balancer {
        let settings = Settings {
            gateway_index: number as u32,
            ..self.settings.clone()
        };
        Balancer::new(settings, self.random.random())
    }

    // ----------------------------------------------------------------------------------- troubles

    fn restart(&mut self) {
        let old = self.listed.clone();
        let few = self.nodes.len() / 10;
        (0..few).for_each(|n| self.replace_one(n));
        self.run(500 * MS);
        for number in 0..self.gateways.len() * 7 / 10 {
            self.gateways[number] = self.fresh(number);
            // What was under way there ended with it.
            self.due.retain(|_, (gateway, _)| *gateway != number);
            self.idle.retain(|(gateway, _), _| *gateway != number);
            self.list(number, ListKind::Cached, old.clone(), 0);
        }
        (0..few).for_each(|n| self.nodes[n].gone = true);
        self.tell_all(3 * SECOND);
    }

    fn lose_zone(&mut self) {
        let zone: Vec<usize> = (0..self.nodes.len()).filter(|n| n % 3 == 0).collect();
        zone.iter().for_each(|n| self.nodes[*n].silent = true);
        self.run(3 * SECOND);
        for n in zone {
            self.nodes[n].restart(self.now);
            self.listed[n].started_at = self.now;
        }
        self.tell_all(SECOND);
    }

    fn replace(&mut self) {
        let each = self.nodes.len() / 10;
        for step in 0..6 {
            (step * each..(step + 1) * each).for_each(|n| self.replace_one(n));
            self.tell_all(SECOND);
            self.run(SECOND);
        }
    }

    /// Another server is there for one that drains.
    fn replace_one(&mut self, n: usize) {
        self.listed[n].state = ServerState::Draining;
        self.listed
            .push(entry(self.nodes.len(), ServerState::Ready, self.now));
        self.nodes.push(Node::started(self.now));
    }

    /// The list comes to each gateway within this time.
    fn tell_all(&mut self, within: Micros) {
        for gateway in 0..self.gateways.len() {
            let wait = self.random.random_range(200 * MS..within.max(201 * MS));
            self.list(gateway, ListKind::Full, self.listed.clone(), wait);
        }
    }

    fn list(&mut self, gateway: usize, kind: ListKind, entries: Vec<ServerEntry>, wait: Micros) {
        self.later(wait, gateway, Event::ServerList { kind, entries });
    }

    // ----------------------------------------------------------------------------------- time

    fn later(&mut self, wait: Micros, gateway: usize, event: Event) {
        self.number += 1;
        self.due
            .insert((self.now + wait, self.number), (gateway, event));
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            if (self.now - START) % SECOND < STEP {
                let most = self.taken_in.iter().copied().max().unwrap_or(0);
                self.totals.most_messages = self.totals.most_messages.max(most);
                self.taken_in.fill(0);
            }
            self.owed += self.per_step;
            while self.owed >= 1.0 {
                self.owed -= 1.0;
                self.ask();
            }
            while let Some(first) = self.due.first_entry().filter(|e| e.key().0 <= self.now) {
                let (gateway, event) = first.remove();
                self.hand(gateway, event);
            }
        }
    }

    fn finish(mut self) -> Totals {
        self.totals.seconds = (self.now - START) as f64 / SECOND as f64;
        self.totals.pushed = self
            .nodes
            .iter()
            .map(|node| node.pushed)
            .fold(0.0, f64::max);
        self.totals.decision_us = self.busy.as_micros() as f64 / self.totals.asked.max(1) as f64;
        self.totals
    }

    // ----------------------------------------------------------------------------------- hosting

    fn ask(&mut self) {
        let Some(customer) = self.asking.choose(&mut self.random).copied() else {
            return;
        };
        let known = &mut self.customers[customer as usize];
        let (plan, first) = (known.plan, known.first);
        self.totals.could += f64::from(u8::from(known.alone.take(
            &self.settings.plans[plan],
            self.now,
            1.0,
        )));
        let gateway =
            (first + self.random.random_range(0..self.spread)) as usize % self.gateways.len();
        self.number += 1;
        let (id, customer) = (RequestId(self.number), CustomerId(customer));
        let deadline = self.now + 4 * SECOND;
        let (spread, class, units, again) = (self.spread, 0, 1.0, false);
        self.open.insert(
            id,
            Open {
                customer,
                attempts: 0,
                leg: None,
            },
        );
        self.totals.asked += 1;
        let request = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            customer_gateways: spread,
            first_gateway: first,
            is_client_retry: again,
            ..Request::default()
        };
        self.hand(gateway, Event::Request(request));
    }

    /// A leg that has ended before, by the host's own doing, ends once only.
    fn ends(&mut self, gateway: usize, end: &AttemptEnd) -> bool {
        let Some(open) = self.open.get_mut(&end.request) else {
            return false;
        };
        if open
            .leg
            .take_if(|(attempt, ..)| *attempt == end.attempt)
            .is_none()
        {
            return false;
        }
        self.totals.unrun += u64::from(matches!(
            end.outcome,
            Outcome::Rejected | Outcome::ConnectFailed
        ));
        if end.outcome == Outcome::Ok {
            self.idle
                .entry((gateway, end.server))
                .or_default()
                .push(self.now);
            self.totals.served += u64::from(end.elapsed <= self.settings.classes[0].latency_target);
        }
        if end.request_finished {
            self.open.remove(&end.request);
        }
        true
    }

    fn hand(&mut self, gateway: usize, event: Event) {
        if let Event::AttemptEnd(end) = &event
            && !self.ends(gateway, end)
        {
            return;
        }
        let mut actions = Vec::new();
        let began = Instant::now();
        self.gateways[gateway].handle(self.now, &[event], &mut actions);
        self.busy += began.elapsed();
        for action in actions {
            self.act(gateway, action);
        }
    }

    fn act(&mut self, gateway: usize, action: Action) {
        match action {
            Action::Send {
                request, server, ..
            } => self.send(gateway, request, server),
            Action::Shed {
                request,
                over_quota,
                ..
            } => {
                self.declined(request, over_quota);
                self.stop(gateway, request, true);
            }
            Action::Fail(request) => {
                self.totals.failed += 1;
                self.stop(gateway, request, true);
            }
            Action::Cancel { request, .. } => self.stop(gateway, request, false),
            Action::AddToCounter {
                key: name,
                amount: add,
                ..
            } => {
                self.totals.calls += 1;
                let (wait, outcome, total) = self.counter.add(self.now, name, add);
                self.later(
                    wait,
                    gateway,
                    Event::CounterResult {
                        key: name,
                        outcome,
                        total,
                    },
                );
            }
            Action::NotifyGateway(to, notice) => {
                self.totals.messages += 1;
                self.taken_in[to as usize] += 1;
                self.later(MESSAGE, to as usize, Event::NoticeReceived(notice));
            }
            Action::Probe(server) => {
                self.totals.probes += 1;
                let node = &self.nodes[server.0 as usize];
                let dead = node.silent || node.gone;
                let (wait, outcome) = if dead {
                    (NO_ANSWER, Outcome::TimedOut)
                } else {
                    (5 * MS, Outcome::Ok)
                };
                self.later(
                    wait,
                    gateway,
                    Event::ProbeEnd {
                        server,
                        outcome,
                        load_report: None,
                    },
                );
            }
            Action::WakeAt(at) => self.later((at - self.now).max(0), gateway, Event::Timer),
            Action::WatchServerList | Action::Log(_) => {}
        }
    }

    fn declined(&mut self, request: RequestId, over_quota: bool) {
        self.totals.over_quota += u64::from(over_quota);
        self.totals.no_server += u64::from(!over_quota);
        let Some(open) = self.open.get(&request).filter(|_| over_quota) else {
            return;
        };
        let customer = &mut self.customers[open.customer.0 as usize];
        let room = customer
            .quota
            .has_room(&self.settings.plans[customer.plan], self.now);
        self.totals.with_room += u64::from(room);
    }

    /// A leg that is out is stopped; without one, a request that is over is forgotten.
    fn stop(&mut self, gateway: usize, request: RequestId, over: bool) {
        match self.open.get(&request).and_then(|open| open.leg) {
            Some(leg) => self.end(gateway, request, leg, (0, Outcome::Cancelled, over)),
            None if over => _ = self.open.remove(&request),
            None => {}
        }
    }

    /// Enters the end of a leg: after how long, how, and whether the request is over by it.
    fn end(
        &mut self,
        gateway: usize,
        request: RequestId,
        (attempt, server, sent): (u32, ServerId, Micros),
        (wait, outcome, finished): (Micros, Outcome, bool),
    ) {
        let took = self.now + wait - sent;
        let (actual_units, report) = (None, None);
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed: took,
            request_finished: finished,
            actual_units,
            load_report: report,
        };
        self.later(wait, gateway, Event::AttemptEnd(end));
    }

    fn send(&mut self, gateway: usize, request: RequestId, server: ServerId) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let leg = (open.attempts, server, now);
        open.attempts += 1;
        open.leg = Some(leg);
        self.totals.legs += 1;
        if leg.0 == 0 {
            let customer = &mut self.customers[open.customer.0 as usize];
            let inside = customer
                .quota
                .take(&self.settings.plans[customer.plan], now, 1.0);
            self.totals.units += 1.0;
            self.totals.beyond += f64::from(u8::from(!inside));
        }
        let idle = self.idle.entry((gateway, server)).or_default();
        idle.retain(|since| now - since < IDLE);
        self.totals.opened += u64::from(idle.pop().is_none());
        let node = &mut self.nodes[server.0 as usize];
        let how = if node.silent {
            (NO_ANSWER, Outcome::ConnectFailed, false)
        } else if node.gone {
            (MS, Outcome::ConnectFailed, false)
        } else {
            match node.take(now, &self.settings) {
                Some(ready) => (ready - now, Outcome::Ok, true),
                None => (MS, Outcome::Rejected, false),
            }
        };
        self.end(gateway, request, leg, how);
    }
}
