//! Where the decision module sits: one engine judges tenants by the shared count, and one for each service and set of
//! regions places what was let in. Without any input or output.
//!
//! A tenant's quota holds over all services together, so that one engine asks for it: a request that it lets through
//! is handed on to the engine of its service at once. Requests of tenants without a limit go there straight.

use std::collections::BTreeMap;
use std::hash::Hasher;

use culvert::engine::{Authorisation, Ending, Engine, Order};
use culvert::slots::AuthorisationKey;
use fnv::FnvHasher;
use mains::items::{Repeat as Kind, Route, Tenant};
use mains::messages::Add;
use mains::settings::Bounds;
use slotmap::SecondaryMap;
use streamarch::{
    Class, CounterName, CustomerId, FirstBound, ListKind, Micros, Outcome, Plan, Repeat, RetryBudget,
    ServerEntry, ServerId, ServerState, Settings,
};

use crate::shedding::{Asker, Shedding, Turn, tier};

slotmap::new_key_type! {
    /// A request whose final answer is owed.
    pub struct RequestKey;
}

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Aims that classes are told apart by; a route's aim counts as the nearest.
const AIMS: [Micros; 8] =
    [100 * MS, 200 * MS, 400 * MS, 600 * MS, 1_000 * MS, 2_000 * MS, 4_000 * MS, 10_000 * MS];
/// Worths by rank, the highest first; what comes behind counts as the last.
const WORTHS: [f64; 4] = [4.0, 2.0, 1.0, 0.5];
/// Limiters up to which the module asks the count for every request.
const ASKERS: u32 = 64;
/// A total is waited for so long: there and back over the farthest link, and the rounds of the programs between. The
/// host tells the module when that is over.
const COUNT_WAIT: Micros = 300 * MS;
/// The module itself gives up a wait after a share of the aim; of this one it is longer than the host's.
const JUDGING_AIM: Micros = 10 * SECOND;
/// Longest time that clients are told to stay away.
const STAY_AWAY: Micros = SECOND;
/// While there is no count, who is over its quota is told to stay away for about this at the least: after all have lost power
/// clients would use up their tries on slices of the quota before the count is back.
const LEAST_AWAY: Micros = 300 * MS;
/// A tenant may have its burst on top in each span in which quotas are counted. Of it this part comes back evenly over the
/// span, beside its rate...
const BURST_FLOW: f64 = 0.1;
/// ...and this part may be had at one instant. What is left is for a count that was lost with its holder and starts full.
const BURST_SHARE: f64 = 0.45;
/// A small tenant has up to this part of the rules' slack at one instant.
const SLACK_SHARE: f64 = 0.6;
/// Windows of the count.
const COUNTED: Micros = SECOND;
/// Share of the rules' bounds on further tries that is used: the rest is for windows that slide and clocks that differ.
const RETRY_SHARE: f64 = 0.6;
/// A lower number of limiters counts after this; and so long a proxy goes by more than it is told, at its start.
const FEWER: Micros = 10 * SECOND;
const FIRST: Micros = 1_500 * MS;
/// For so many at the least, since all may be starting.
const MANY: u32 = 16;
/// Clocks go on at once by less than this where windows slide a little only.
const JUMP: Micros = 250 * MS;
/// The rules' window of quotas.
const WINDOW: Micros = 5 * SECOND;
/// Slices of a limiter that is alone are for so many times as many.
const ALONE: u32 = 3;
/// Stands for all servers where a tenant is only judged, and takes as many as come at once.
const THROUGH: ServerId = ServerId(0);
const ALL: FirstBound = FirstBound(1e9);

/// An authorisation, and the engine that holds it: 0 judges tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Position of the engine.
    pub engine: usize,
    /// Its authorisation.
    pub key: AuthorisationKey,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send the request to a server.
    Send {
        /// The request.
        request: RequestKey,
        /// By which its end is told.
        ticket: Ticket,
        /// Number of the leg.
        leg: u32,
        /// Where to.
        server: ServerId,
    },
    /// Close the connection of a leg; its end is known.
    Stop(Ticket, u32),
    /// Give the final answer.
    Answer(RequestKey, Ending),
    /// Add to the shared count; [`Manifold::counted`] follows.
    Count(Add),
    /// Look whether a server is well, for the engine of this position.
    Probe(usize, ServerId),
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Asked<'a> {
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
    /// The regions where it may be served; none: everywhere.
    pub pins: &'a [String],
    /// When the final answer is due.
    pub deadline: Micros,
}

impl<'a> Asked<'a> {
    fn asker(&self) -> Asker<'a> {
        let Asked { id, route, svc, tenant, .. } = *self;
        Asker { id, route, svc, tenant }
    }
}

struct Basin {
    /// Its service; none where tenants are judged.
    svc: String,
    engine: Engine,
    requests: SecondaryMap<AuthorisationKey, RequestKey>,
    /// Those whose turn has not come: the module refuses them.
    waiting: SecondaryMap<AuthorisationKey, ()>,
}

impl Basin {
    fn new(svc: &str, engine: Engine) -> Basin {
        let (requests, waiting) = (SecondaryMap::new(), SecondaryMap::new());
        Basin { svc: svc.to_string(), engine, requests, waiting }
    }
}

/// Where a request goes once its tenant was judged.
struct Onward {
    basin: usize,
    class: usize,
    turn: Turn,
    /// It had its turn before its tenant was judged.
    first: bool,
    tenant: String,
    deadline: Micros,
}

/// The engines.
pub struct Manifold {
    seed: u64,
    bounds: Bounds,
    limiters: u32,
    /// Even slices of quotas are for so many.
    spread: u32,
    /// The core counts on this limiter no more.
    alone: bool,
    /// The same until then, after the clock has gone on at once.
    careful: Micros,
    /// Until when it has just started.
    young: Option<Micros>,
    /// When a lower number of limiters was first told, and the highest that was told since.
    fewer: Option<(Micros, u32)>,
    /// The term of the one that holds the shared count.
    holder: Option<u64>,
    basins: Vec<Basin>,
    shedding: Shedding,
    /// Positions by service and regions.
    places: BTreeMap<(String, Vec<String>), usize>,
    onward: SecondaryMap<AuthorisationKey, Onward>,
    /// Tenants' plans in the judging engine: figures and position.
    plans: BTreeMap<String, ((u64, u64), usize)>,
    positions: usize,
    orders: Vec<Order>,
}

fn customer(tenant: &str) -> CustomerId {
    let mut hasher = FnvHasher::default();
    hasher.write(tenant.as_bytes());
    // All limiters come to the same number: it names the shared counts.
    CustomerId(hasher.finish() >> 2)
}

fn nearest(aim: Micros) -> usize {
    let off = |at: &usize| (AIMS[*at] - aim).abs();
    (0..AIMS.len()).min_by_key(off).unwrap_or(0)
}

fn class_of(route: &Route, prio: u32) -> usize {
    let rank = (prio as usize).min(WORTHS.len() - 1);
    let repeat = usize::from(route.kind != Kind::Idem);
    (repeat * WORTHS.len() + rank) * AIMS.len() + nearest(route.target_time.0)
}

fn classes() -> Vec<Class> {
    let class = |repeat: Repeat, worth: f64, aim: Micros| Class {
        aim,
        deadline: 10 * aim,
        late_worth: 0.1,
        worth,
        repeat,
        stream: false,
    };
    let repeats = [Repeat::Safe, Repeat::Unsafe];
    let ranks = repeats.iter().flat_map(|repeat| WORTHS.map(|worth| (*repeat, worth)));
    ranks.flat_map(|(repeat, worth)| AIMS.map(|aim| class(repeat, worth, aim))).collect()
}

/// What both kinds of engines are told.
fn settings(limiters: u32) -> Settings {
    Settings {
        gateways: limiters.max(1),
        period: 1,
        may_cancel: true,
        retry_after: true,
        max_retry_after: STAY_AWAY,
        counter_timeout: COUNT_WAIT,
        ..Settings::default()
    }
}

/// The engine that judges tenants. It knows one server, which takes all that is let through.
fn judging(seed: u64, most: usize) -> Engine {
    let aim = JUDGING_AIM;
    let worth =
        Class { aim, deadline: 10 * aim, late_worth: 0.0, worth: 1.0, repeat: Repeat::Safe, stream: false };
    let settings = Settings {
        classes: vec![worth],
        counter: true,
        lost_slices: true,
        slice_first: true,
        first_bound: ALL,
        least_away: LEAST_AWAY,
        max_attempts: 1,
        ..settings(ASKERS)
    };
    let mut engine = Engine::new(settings, seed, most);
    let through = ServerEntry {
        server: THROUGH,
        zone: 0,
        kind: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: 0,
    };
    engine.listed(ListKind::Full, vec![through]);
    engine
}

/// The rules' bound on further tries holds over all limiters: of the share each one spends less on its own first tries,
/// of what is allowed on top it has its even part, halved between the engines that one service may have.
fn retries(limiters: u32, bounds: &Bounds) -> RetryBudget {
    let most = bounds.retry_slack * RETRY_SHARE / 2.0 / f64::from(limiters.max(1));
    RetryBudget { earn: bounds.retry_ratio * RETRY_SHARE, most: most.max(1.0), unrun: 1.0 }
}

fn placing(limiters: u32, seed: u64, most: usize, bounds: &Bounds) -> Engine {
    let plans = vec![Plan { price: 1.0, ..Plan::default() }];
    let retries = retries(limiters, bounds);
    let settings = Settings {
        classes: classes(),
        plans,
        may_probe: true,
        max_attempts: 8,
        retries,
        ..settings(limiters)
    };
    Engine::new(settings, seed, most)
}

/// Most requests that one engine holds.
const MOST: usize = 4_000;

impl Manifold {
    /// No service is known yet.
    pub fn new(seed: u64, bounds: Bounds) -> Manifold {
        let judge = Basin::new("", judging(seed, MOST));
        Manifold {
            seed,
            bounds,
            limiters: 1,
            spread: ASKERS,
            alone: false,
            careful: 0,
            young: None,
            fewer: None,
            holder: None,
            basins: vec![judge],
            shedding: Shedding::default(),
            places: BTreeMap::new(),
            onward: SecondaryMap::new(),
            plans: BTreeMap::new(),
            positions: 0,
            orders: Vec::new(),
        }
    }

    /// So many limiters there are. For slices more count at once, and fewer only after a while: leases that run out
    /// while the core is in trouble would make every slice larger, and those that are cut off go on using theirs. A
    /// proxy that has just started takes them for twice as many: a core in trouble may not have heard of all yet.
    pub fn limiters(&mut self, now: Micros, limiters: u32) {
        self.limiters = limiters.clamp(1, ASKERS);
        let young = now < *self.young.get_or_insert(now + FIRST);
        let (since, most) = self.fewer.unwrap_or((now, 1));
        let most = most.max(self.limiters);
        if young {
            (self.spread, self.fewer) = ((2 * most).clamp(MANY, ASKERS), Some((now - FEWER, most)));
        } else if self.limiters >= self.spread {
            (self.spread, self.fewer) = (self.limiters, None);
        } else if now - since >= FEWER {
            (self.spread, self.fewer) = (most, None);
        } else {
            self.fewer = Some((since, most));
        }
    }

    /// This limiter has heard nothing of the core for long. The others leave nothing for it any more, so that it takes its
    /// slices for a part of what they were.
    pub fn alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// The limiters' clock goes on to `now` by so much at once: what was let through lately counts in windows that are over,
    /// and the slices of new ones come on top. They are taken for a part until as much time has passed.
    pub fn jumped(&mut self, now: Micros, by: Micros) {
        // Danger: no time has passed. A proxy that has just started would take its first hearsay for all there is.
        let by = by.max(0);
        self.young = self.young.map(|until| until + by);
        self.fewer = self.fewer.map(|(since, most)| (since + by, most));
        if by > JUMP && self.positions > 0 {
            self.careful = now + by.min(WINDOW);
        }
    }

    /// Services and regions that have an engine, by its position.
    pub fn places(&self) -> impl Iterator<Item = (&str, &[String], usize)> {
        self.places.iter().map(|((svc, pins), at)| (svc.as_str(), pins.as_slice(), *at))
    }

    /// The servers of an engine, whole.
    pub fn listed(&mut self, engine: usize, entries: Vec<ServerEntry>) {
        self.basins[engine].engine.listed(ListKind::Full, entries);
    }

    /// Whether there is an engine for a service in these regions; without one, [`Manifold::open`] is due.
    pub fn has(&self, svc: &str, pins: &[String]) -> Option<usize> {
        // Looked up for each request: the key is built only where there are regions.
        self.places.iter().find(|((s, p), _)| s == svc && p == pins).map(|(_, at)| *at)
    }

    /// An engine for a service in these regions, which knows these servers.
    pub fn open(&mut self, svc: &str, pins: &[String], entries: Vec<ServerEntry>) -> usize {
        let at = self.basins.len();
        let engine = placing(self.limiters, self.seed.wrapping_add(at as u64), MOST, &self.bounds);
        self.basins.push(Basin::new(svc, engine));
        self.places.insert((svc.to_string(), pins.to_vec()), at);
        self.listed(at, entries);
        at
    }

    /// The position of a tenant's figures in the judging engine.
    fn plan(&mut self, name: &str, tenant: &Tenant) -> usize {
        let figures = (tenant.per_s.to_bits(), tenant.burst.to_bits());
        if let Some((_, position)) = self.plans.get(name).filter(|(held, _)| *held == figures) {
            return *position;
        }
        let position = self.positions;
        self.positions += 1;
        self.plans.insert(name.to_string(), (figures, position));
        let span = (self.bounds.quota_window.0 as f64 / SECOND as f64).max(1.0);
        let slack = self.bounds.quota_slack * SLACK_SHARE;
        let plan = Plan {
            rate: tenant.per_s + BURST_FLOW * tenant.burst / span,
            burst: (BURST_SHARE * tenant.burst).max(slack.min(tenant.burst)).max(1.0),
            price: 1.0,
            over_cost: 1.0,
            repaid: tenant.per_s,
            // With a length that is named, what a tenant has left stays when its figures change.
            window: COUNTED,
            ..Plan::default()
        };
        self.basins[0].engine.plan_added(plan);
        position
    }

    /// Takes a request; [`Manifold::turn`] says what follows. None if too many are held.
    pub fn take(&mut self, now: Micros, asked: &Asked<'_>) -> Option<Ticket> {
        let basin = self.has(asked.svc, asked.pins)?;
        let asker = asked.asker();
        let turn = self.shedding.turn(now, &asker);
        let limited = asked.tenant.filter(|(_, tenant)| tenant.per_s > 0.0);
        let first = limited.is_none() || self.shedding.before_quota(now, &asker);
        if first {
            self.shedding.came(asked.svc, &turn);
        }
        let class = class_of(asked.route, tier(asked.route, asked.tenant));
        let name = limited.map_or(String::new(), |(name, _)| name.to_string());
        let onward = Onward { basin, class, turn, first, tenant: name, deadline: asked.deadline };
        let Some((name, tenant)) = limited else { return self.place(now, asked.request, &onward, turn) };
        let plan = self.plan(name, tenant);
        let Turn { place, waits, .. } = if first { turn } else { Turn::default() };
        let authorisation = Authorisation {
            class: 0,
            plan,
            customer: customer(name),
            deadline: asked.deadline,
            units: 1.0,
            spread: if self.alone || now < self.careful {
                (ALONE * self.spread).min(ASKERS)
            } else {
                self.spread
            },
            place,
            waits,
            ..Authorisation::default()
        };
        let judge = &mut self.basins[0];
        let key = judge.engine.take(now, authorisation).ok()?;
        judge.requests.insert(key, asked.request);
        self.onward.insert(key, onward);
        Some(Ticket { engine: 0, key })
    }

    /// Whether a request waits by what its head says: its body need not come then.
    pub fn waits(&mut self, now: Micros, asker: &Asker<'_>) -> bool {
        let turn = self.shedding.turn(now, asker);
        let waits = turn.waiting() && self.shedding.before_quota(now, asker);
        if waits {
            self.shedding.came(asker.svc, &turn);
        }
        waits
    }

    /// What this proxy knows of overload.
    pub fn shedding(&mut self) -> &mut Shedding {
        &mut self.shedding
    }

    /// Goes on to its service. What had its turn before does not wait a second time.
    fn place(&mut self, now: Micros, request: RequestKey, onward: &Onward, turn: Turn) -> Option<Ticket> {
        let &Onward { basin, class, deadline, .. } = onward;
        let Turn { place, waits, .. } = turn;
        let authorisation =
            Authorisation { class, deadline, spread: 1, place, waits, ..Authorisation::default() };
        let key = self.basins[basin].engine.take(now, authorisation).ok()?;
        self.basins[basin].requests.insert(key, request);
        if turn.waiting() {
            self.basins[basin].waiting.insert(key, ());
        }
        Some(Ticket { engine: basin, key })
    }

    /// When there is something to decide next.
    pub fn next(&self) -> Option<Micros> {
        self.basins.iter().filter_map(|basin| basin.engine.next()).min()
    }

    /// Lets the module decide on what has come in. `moved` hears of requests that were let through to a service.
    pub fn turn(&mut self, now: Micros, steps: &mut Vec<Step>, mut moved: impl FnMut(RequestKey, Ticket)) {
        for at in 0..self.basins.len() {
            let mut orders = std::mem::take(&mut self.orders);
            self.basins[at].engine.handle(now, &mut orders);
            for order in orders.drain(..) {
                self.carry_out(now, at, order, steps, &mut moved);
            }
            self.orders = orders;
        }
    }

    fn carry_out(
        &mut self,
        now: Micros,
        at: usize,
        order: Order,
        steps: &mut Vec<Step>,
        moved: &mut impl FnMut(RequestKey, Ticket),
    ) {
        let basin = &mut self.basins[at];
        match order {
            Order::StartLeg { key, leg, .. } if at == 0 => {
                basin.engine.leg_ended(now, key, leg, Outcome::Ok, None);
                let (request, onward) = (basin.requests.remove(key), self.onward.remove(key));
                let Some((request, onward)) = request.zip(onward) else { return };
                let turn = if onward.first { Turn::default() } else { onward.turn };
                if !onward.first {
                    self.shedding.came(&self.basins[onward.basin].svc, &turn);
                }
                match self.place(now, request, &onward, turn) {
                    Some(ticket) => moved(request, ticket),
                    None => {
                        let ending = Ending::Declined { stay_away: STAY_AWAY / 4, over_quota: false };
                        steps.push(Step::Answer(request, ending));
                    }
                }
            }
            Order::StartLeg { key, leg, server, .. } => match basin.requests.get(key) {
                Some(request) => {
                    let ticket = Ticket { engine: at, key };
                    steps.push(Step::Send { request: *request, ticket, leg, server });
                }
                None => _ = basin.engine.leg_ended(now, key, leg, Outcome::Moot, None),
            },
            Order::StopLeg { key, leg } => steps.push(Step::Stop(Ticket { engine: at, key }, leg)),
            Order::Answer { key, ending } => {
                let onward = self.onward.remove(key);
                match (ending, onward) {
                    (Ending::Declined { over_quota: true, .. }, Some(onward)) => {
                        let counted = (self.basins[onward.basin].svc.as_str(), onward.turn.band);
                        self.shedding.over_quota(now, &onward.tenant, onward.first.then_some(counted));
                    }
                    (Ending::Declined { .. }, _)
                        if at > 0 && self.basins[at].waiting.remove(key).is_none() =>
                    {
                        self.shedding.no_room(now, &self.basins[at].svc);
                    }
                    _ => {}
                }
                let basin = &mut self.basins[at];
                steps.extend(basin.requests.remove(key).map(|request| Step::Answer(request, ending)));
            }
            Order::Count { name, add, life } => {
                steps.push(Step::Count(Add { name: name.0, units: add, life }));
            }
            Order::Probe(server) => steps.push(Step::Probe(at, server)),
            Order::Tell(..) | Order::Log(_) => {}
        }
    }

    /// A leg ended. True if its answer is the final answer.
    pub fn leg_ended(&mut self, now: Micros, ticket: Ticket, leg: u32, outcome: Outcome) -> bool {
        let basin = &mut self.basins[ticket.engine];
        if let Some((class, sent)) = basin.engine.out_since(ticket.key) {
            let times = (now - sent, AIMS[class % AIMS.len()]);
            self.shedding.ended(now, &basin.svc, outcome, times);
        }
        let last = basin.engine.leg_ended(now, ticket.key, leg, outcome, None);
        if last {
            basin.requests.remove(ticket.key);
        }
        last
    }

    /// The last byte of a leg is written.
    pub fn leg_written(&mut self, now: Micros, ticket: Ticket) {
        self.basins[ticket.engine].engine.leg_written(now, ticket.key);
    }

    /// The client left.
    pub fn left(&mut self, now: Micros, ticket: Ticket, steps: &mut Vec<Step>) {
        let basin = &mut self.basins[ticket.engine];
        basin.requests.remove(ticket.key);
        self.onward.remove(ticket.key);
        let mut orders = std::mem::take(&mut self.orders);
        basin.engine.client_left(now, ticket.key, &mut orders);
        for order in orders.drain(..) {
            self.carry_out(now, ticket.engine, order, steps, &mut |_, _| {});
        }
        self.orders = orders;
    }

    /// The shared count answered, or failed to.
    pub fn counted(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.basins[0].engine.counted(CounterName(name), outcome, total);
    }

    /// It answered a call whose outcome had been told before.
    pub fn count_late(&mut self) {
        self.basins[0].engine.counter_late();
    }

    /// The shared count is held by another one, by its term; none while there is none.
    pub fn count_held(&mut self, term: Option<u64>) {
        let Some(term) = term else { return };
        if self.holder.replace(term).is_some_and(|held| held != term) {
            self.basins[0].engine.counter_new();
        }
    }

    /// A probe ended.
    pub fn probed(&mut self, engine: usize, server: ServerId, outcome: Outcome) {
        self.basins[engine].engine.probe_ended(server, outcome, None);
    }

    /// Requests whose final answer is owed.
    pub fn open_requests(&self) -> usize {
        self.basins.iter().map(|basin| basin.engine.open()).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use mains::items::Items;
    use slotmap::SlotMap;

    const START: Micros = 10 * SECOND;

    fn route(kind: &str) -> Route {
        let text = format!(
            r#"{{"host":"h","prefix":"/a/","kind":"{kind}","timeout":"3s","target_time":"500ms","prio":2,"svc":"s","tries":2}}"#
        );
        serde_json::from_str(&text).unwrap()
    }

    fn tenant(per_s: f64) -> Tenant {
        serde_json::from_str(&format!(r#"{{"per_s":{per_s},"burst":{per_s}}}"#)).unwrap()
    }

    fn server(number: u32) -> ServerEntry {
        ServerEntry {
            server: ServerId(number),
            zone: 0,
            kind: 0,
            cell: 0,
            state: ServerState::Ready,
            weight: 2.0,
            started: 0,
        }
    }

    struct Bench {
        manifold: Manifold,
        keys: SlotMap<RequestKey, ()>,
        now: Micros,
        counts: BTreeMap<u64, f64>,
        sent: usize,
        refused: usize,
        count_answers: bool,
    }

    impl Bench {
        fn new(limiters: u32) -> Bench {
            assert!(Items::new().is_empty());
            let mut manifold = Manifold::new(7, Bounds::default());
            manifold.limiters(START - FIRST, limiters);
            manifold.limiters(START, limiters);
            manifold.open("s", &[], (1..=20).map(server).collect());
            let (keys, counts) = (SlotMap::with_key(), BTreeMap::new());
            Bench { manifold, keys, now: START, counts, sent: 0, refused: 0, count_answers: true }
        }

        fn ask(&mut self, tenant: Option<&Tenant>) -> RequestKey {
            let request = self.keys.insert(());
            let (route, deadline) = (route("idem"), self.now + 3 * SECOND);
            let tenant = tenant.map(|tenant| ("t", tenant));
            let asked = Asked { request, id: "i", route: &route, svc: "s", tenant, pins: &[], deadline };
            self.manifold.take(self.now, &asked).unwrap();
            request
        }

        /// Turns until nothing follows; servers answer at once, the count if it is there.
        fn settle(&mut self) {
            for _ in 0..8 {
                let mut steps = Vec::new();
                self.manifold.turn(self.now, &mut steps, |_, _| {});
                for step in steps {
                    match step {
                        Step::Send { ticket, leg, .. } => {
                            self.sent += 1;
                            assert!(self.manifold.leg_ended(self.now, ticket, leg, Outcome::Ok));
                        }
                        Step::Answer(_, Ending::Declined { over_quota: true, .. }) => self.refused += 1,
                        Step::Count(add) if self.count_answers => {
                            let total = self.counts.entry(add.name).or_default();
                            *total += add.units;
                            self.manifold.counted(add.name, Outcome::Ok, *total);
                        }
                        Step::Count(add) => self.manifold.counted(add.name, Outcome::ConnectFailed, 0.0),
                        other => panic!("{other:?}"),
                    }
                }
                self.now += 1;
            }
        }
    }

    #[test]
    fn a_request_without_a_limit_makes_no_call_and_one_with_it_is_counted_first() {
        let mut bench = Bench::new(4);
        bench.ask(None);
        bench.settle();
        assert_eq!((bench.sent, bench.counts.len()), (1, 0));
        bench.ask(Some(&tenant(100.0)));
        bench.settle();
        assert_eq!(bench.sent, 2);
        assert!(bench.counts.values().any(|total| (*total - 1.0).abs() < 0.1), "{:?}", bench.counts);
    }

    #[test]
    fn all_that_come_in_one_turn_are_let_through() {
        let mut bench = Bench::new(1);
        let limited = tenant(100.0);
        (0..20).for_each(|_| _ = bench.ask(Some(&limited)));
        bench.settle();
        assert_eq!((bench.sent, bench.refused), (20, 0));
    }

    #[test]
    fn a_tenant_beyond_its_quota_is_refused_and_no_other() {
        let mut bench = Bench::new(1);
        let limited = tenant(20.0);
        for _ in 0..500 {
            bench.ask(Some(&limited));
            bench.ask(None);
            bench.settle();
            bench.now += 10 * MS;
        }
        let limited = bench.sent - 500;
        // Five seconds: 100 for the rate, 20 on top, and no more than the rules' margin beyond.
        assert!((80..=145).contains(&limited) && bench.refused == 500 - limited, "{limited}");
    }

    #[test]
    fn without_the_count_a_limiter_keeps_to_its_slice() {
        let mut bench = Bench::new(10);
        bench.count_answers = false;
        let limited = tenant(100.0);
        for _ in 0..1_000 {
            bench.ask(Some(&limited));
            bench.settle();
            bench.now += 5 * MS;
        }
        // Of 600 in five seconds a tenth.
        assert!((40..=66).contains(&bench.sent), "{}", bench.sent);
    }

    #[test_case::test_case(|m: &mut Manifold| m.alone(true); "alone")]
    #[test_case::test_case(|m: &mut Manifold| m.jumped(START, SECOND); "the clock went on at once")]
    fn others_leave_nothing_and_a_slice_is_a_third_of_what_it_was(trouble: fn(&mut Manifold)) {
        let mut bench = Bench::new(10);
        let limited = tenant(100.0);
        bench.ask(Some(&limited));
        bench.settle();
        trouble(&mut bench.manifold);
        bench.count_answers = false;
        bench.sent = 0;
        while bench.now < START + SECOND {
            bench.ask(Some(&limited));
            bench.settle();
            bench.now += 5 * MS;
        }
        // Of 155 in the first second a thirtieth, where it was a tenth.
        assert!((2..=8).contains(&bench.sent), "{}", bench.sent);
        trouble(&mut bench.manifold);
        bench.manifold.alone(false);
        bench.now += SECOND;
        for _ in 0..200 {
            bench.ask(Some(&limited));
            bench.settle();
            bench.now += 5 * MS;
        }
        assert!((13..=32).contains(&bench.sent), "{}", bench.sent);
    }

    #[test]
    fn a_count_that_moves_grants_no_window_twice() {
        // Ten limiters, a tenant at eight times its quota, and the count moves each second, to one that is empty.
        let mut limiters: Vec<Bench> = (0..10).map(|_| Bench::new(10)).collect();
        let (limited, mut counts) = (tenant(100.0), BTreeMap::new());
        for round in 0..500 {
            if round % 100 == 50 {
                counts.clear();
                limiters.iter_mut().for_each(|limiter| limiter.manifold.count_held(Some(round)));
            }
            for limiter in &mut limiters {
                std::mem::swap(&mut counts, &mut limiter.counts);
                limiter.ask(Some(&limited));
                limiter.settle();
                std::mem::swap(&mut counts, &mut limiter.counts);
                limiter.now = START + (round as Micros + 1) * 10 * MS;
            }
        }
        let sent: usize = limiters.iter().map(|limiter| limiter.sent).sum();
        // Five seconds at 100, 100 on top, and the rules' margin; refused all that is beyond.
        assert!((350..=680).contains(&sent), "{sent}");
    }

    #[test]
    fn leases_that_run_out_for_a_moment_make_no_slice_larger() {
        let mut manifold = Manifold::new(7, Bounds::default());
        let told = [
            (0, 3, 16),
            (1, 12, 24),
            (4, 5, 12),
            (5, 5, 12),
            (14, 3, 12),
            (15, 4, 5),
            (16, 12, 12),
            (17, 4, 12),
        ];
        for (second, limiters, spread) in told {
            manifold.limiters(second * SECOND, limiters);
            assert_eq!(manifold.spread, spread, "at {second}");
        }
    }

    #[test]
    fn a_clock_that_goes_on_at_once_makes_no_slice_larger() {
        let mut manifold = Manifold::new(7, Bounds::default());
        // Of one that has just started, and of one that was told of fewer.
        for (told, second, limiters, spread) in [(0, 0, 1, 16), (0, 9, 1, 16), (11, 11, 4, 4), (11, 12, 1, 4)]
        {
            let now = second * SECOND;
            if told < second {
                manifold.jumped(now, (second - told) * SECOND);
            }
            manifold.limiters(now, limiters);
            assert_eq!(manifold.spread, spread, "at {second}");
        }
        manifold.jumped(30 * SECOND, 18 * SECOND);
        manifold.limiters(30 * SECOND, 1);
        assert_eq!(manifold.spread, 4);
    }

    #[test]
    fn new_figures_of_a_tenant_take_a_position_of_their_own() {
        let mut bench = Bench::new(1);
        for per_s in [10.0, 10.0, 20.0, 10.0] {
            bench.ask(Some(&tenant(per_s)));
            bench.settle();
        }
        assert_eq!((bench.manifold.positions, bench.sent), (3, 4));
    }
}
