//! Where the decision module sits: one engine judges tenants by the shared count, and one for each service and set of
//! regions places what was let in. Without any input or output.
//!
//! A tenant's quota holds over all services together, so that one engine asks for it: a request that it lets through
//! is handed on to the engine of its service at once. Requests of tenants without a limit go there straight.

mod fallback;
mod judging;
mod placing;

use std::collections::BTreeMap;

use dataplane::engine::{Authorisation, Ending, Engine, Order};
use dataplane::slots::AuthorisationKey;
use protocol::items::{Route, Tenant};
use protocol::messages::CounterAdd;
use protocol::settings::Bounds;
use slotmap::SecondaryMap;
use streamarch::{CounterName, Micros, Outcome, ServerId, Settings};

use self::fallback::{Fallback, Share};
use self::judging::{ALONE, ASKERS, COUNT_WAIT, customer, judging};
use self::placing::{AIMS, class_of};
use crate::shedding::{Asker, Shedding, Turn, tier};

slotmap::new_key_type! {
    /// A request whose final answer is owed.
    pub struct RequestKey;
}

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Longest time that clients are told to stay away.
const STAY_AWAY: Micros = SECOND;
/// Shortest time for which they are where a share is used up: the count may be back by then.
const SHARE_AWAY: Micros = 100 * MS;

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
    /// Add to the shared count; [`RequestRouter::counted`] follows.
    Count(CounterAdd),
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
    /// What its turn goes by.
    pub fn asker(&self) -> Asker<'a> {
        let Asked {
            id,
            route,
            svc,
            tenant,
            ..
        } = *self;
        Asker {
            id,
            route,
            svc,
            tenant,
        }
    }
}

struct Basin {
    /// Its service; none where tenants are judged.
    svc: String,
    /// Within which its answers are of use.
    aim: Micros,
    engine: Engine,
    requests: SecondaryMap<AuthorisationKey, RequestKey>,
    /// Those whose turn has not come: the module refuses them.
    waiting: SecondaryMap<AuthorisationKey, ()>,
}

impl Basin {
    fn new(svc: &str, engine: Engine) -> Basin {
        let (requests, waiting) = (SecondaryMap::new(), SecondaryMap::new());
        Basin {
            svc: svc.to_string(),
            aim: 0,
            engine,
            requests,
            waiting,
        }
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
    /// Its tenant's share of this proxy is used up; it may come again then.
    beyond: Option<Micros>,
}

/// Figures and position by tenant.
type Plans = BTreeMap<String, ((u64, u64), usize)>;

/// The engines.
pub struct RequestRouter {
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
    /// The newest term that was heard of.
    newest_term: u64,
    basins: Vec<Basin>,
    shedding: Shedding,
    /// Positions by service and regions.
    places: BTreeMap<(String, Vec<String>), usize>,
    onward: SecondaryMap<AuthorisationKey, Onward>,
    /// Tenants' shares while the count is in doubt.
    fallback: Fallback,
    /// Tenants' plans in the judging engine, usual and lean: figures and position.
    plans: [Plans; 2],
    positions: usize,
    orders: Vec<Order>,
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

/// Most requests that one engine holds.
const MOST: usize = 4_000;

impl RequestRouter {
    /// No service is known yet.
    pub fn new(seed: u64, bounds: Bounds) -> RequestRouter {
        let judge = Basin::new("", judging(seed, MOST));
        RequestRouter {
            seed,
            bounds,
            limiters: 1,
            spread: ASKERS,
            alone: false,
            careful: 0,
            young: None,
            fewer: None,
            holder: None,
            newest_term: 0,
            basins: vec![judge],
            shedding: Shedding::default(),
            places: BTreeMap::new(),
            onward: SecondaryMap::new(),
            fallback: Fallback::default(),
            plans: Default::default(),
            positions: 0,
            orders: Vec::new(),
        }
    }

    /// Takes a request; [`RequestRouter::turn`] says what follows. None if too many are held.
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
        let deadline = asked.deadline;
        let mut onward = Onward {
            basin,
            class,
            turn,
            first,
            tenant: name,
            deadline,
            beyond: None,
        };
        let Some((name, tenant)) = limited else {
            return self.place(now, asked.request, &onward, turn);
        };
        let plan = self.plan(now, name, tenant);
        let spread = if self.alone || now < self.careful {
            (ALONE * self.spread).min(ASKERS)
        } else {
            self.spread
        };
        let share = Share::of(tenant.per_s, tenant.burst, self.bounds.quota_slack, spread);
        onward.beyond = self.fallback.take(now, name, share).err();
        let refused = Turn {
            waits: 1.0,
            ..Turn::default()
        };
        let Turn { place, waits, .. } = match onward.beyond {
            Some(_) => refused,
            None if first => turn,
            None => Turn::default(),
        };
        let authorisation = Authorisation {
            class: 0,
            plan,
            customer: customer(name),
            deadline: asked.deadline,
            units: 1.0,
            spread,
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

    /// When there is something to decide next.
    pub fn next(&self) -> Option<Micros> {
        self.basins
            .iter()
            .filter_map(|basin| basin.engine.next())
            .min()
    }

    /// Lets the module decide on what has come in. `moved` hears of requests that were let through to a service.
    pub fn turn(
        &mut self,
        now: Micros,
        steps: &mut Vec<Step>,
        mut moved: impl FnMut(RequestKey, Ticket),
    ) {
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
                let Some((request, onward)) = request.zip(onward) else {
                    return;
                };
                let turn = if onward.first {
                    Turn::default()
                } else {
                    onward.turn
                };
                if !onward.first {
                    self.shedding.came(&self.basins[onward.basin].svc, &turn);
                }
                match self.place(now, request, &onward, turn) {
                    Some(ticket) => moved(request, ticket),
                    None => {
                        let ending = Ending::Declined {
                            stay_away: STAY_AWAY / 4,
                            over_quota: false,
                        };
                        steps.push(Step::Answer(request, ending));
                    }
                }
            }
            Order::StartLeg {
                key, leg, server, ..
            } => match basin.requests.get(key) {
                Some(request) => {
                    let ticket = Ticket { engine: at, key };
                    steps.push(Step::Send {
                        request: *request,
                        ticket,
                        leg,
                        server,
                    });
                }
                None => _ = basin.engine.leg_ended(now, key, leg, Outcome::Moot, None),
            },
            Order::StopLeg { key, leg } => steps.push(Step::Stop(Ticket { engine: at, key }, leg)),
            Order::Answer { key, ending } => {
                let onward = if at == 0 {
                    self.onward.remove(key)
                } else {
                    None
                };
                let beyond = onward.as_ref().and_then(|onward| onward.beyond);
                if let Some(onward) = onward.as_ref().filter(|onward| onward.beyond.is_none()) {
                    self.fallback.give_back(&onward.tenant);
                }
                let ending = beyond.map_or(ending, |wait| Ending::Declined {
                    stay_away: wait.clamp(SHARE_AWAY, STAY_AWAY),
                    over_quota: true,
                });
                match (ending, onward) {
                    (
                        Ending::Declined {
                            over_quota: true, ..
                        },
                        Some(onward),
                    ) => {
                        let counted = (self.basins[onward.basin].svc.as_str(), onward.turn.band);
                        self.shedding.over_quota(
                            now,
                            &onward.tenant,
                            onward.first.then_some(counted),
                        );
                    }
                    (Ending::Declined { .. }, _)
                        if at > 0 && self.basins[at].waiting.remove(key).is_none() =>
                    {
                        self.shedding.no_room(now, &self.basins[at].svc);
                    }
                    _ => {}
                }
                let basin = &mut self.basins[at];
                steps.extend(
                    basin
                        .requests
                        .remove(key)
                        .map(|request| Step::Answer(request, ending)),
                );
            }
            Order::Count { name, add, life } => {
                steps.push(Step::Count(CounterAdd {
                    counter: name.0,
                    units: add,
                    ttl: life,
                }));
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

    /// A body has gone on to a server and is no longer here: no other one can have it.
    pub fn body_gone(&mut self, ticket: Ticket) {
        self.basins[ticket.engine].engine.body_gone(ticket.key);
    }

    /// The last byte of a leg is written.
    pub fn leg_written(&mut self, now: Micros, ticket: Ticket) {
        self.basins[ticket.engine]
            .engine
            .leg_written(now, ticket.key);
    }

    /// The client left.
    pub fn left(&mut self, now: Micros, ticket: Ticket, steps: &mut Vec<Step>) {
        let basin = &mut self.basins[ticket.engine];
        basin.requests.remove(ticket.key);
        if ticket.engine == 0
            && let Some(onward) = self
                .onward
                .remove(ticket.key)
                .filter(|onward| onward.beyond.is_none())
        {
            self.fallback.give_back(&onward.tenant);
        }
        let mut orders = std::mem::take(&mut self.orders);
        basin.engine.client_left(now, ticket.key, &mut orders);
        for order in orders.drain(..) {
            self.carry_out(now, ticket.engine, order, steps, &mut |_, _| {});
        }
        self.orders = orders;
    }

    /// The shared count answered, or failed to.
    pub fn counted(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.fallback.counted(outcome == Outcome::Ok);
        self.basins[0]
            .engine
            .counted(CounterName(name), outcome, total);
    }

    /// It answered a call whose outcome had been told before.
    pub fn count_late(&mut self) {
        self.basins[0].engine.counter_late();
    }

    /// The shared count is held by another one, by its term; none while there is none.
    pub fn count_held(&mut self, term: Option<u64>) {
        let Some(term) = term else { return };
        let before = self.holder.replace(term);
        if before.is_some_and(|held| held != term) {
            self.basins[0].engine.counter_new();
        }
        // One that starts does not know either for how long this holder has counted. Danger: a replica that heard nothing for
        // long names the holder of a former term; that one counts nothing any more, and the count has not moved.
        if term > self.newest_term {
            self.newest_term = term;
            self.fallback.moved();
        }
    }

    /// A probe waits for a slot as requests do: an answer that takes no longer than this is none of a silent server.
    pub fn probe_wait(&self, engine: usize) -> Micros {
        self.basins[engine].aim / 2
    }

    /// A probe ended.
    pub fn probed(&mut self, engine: usize, server: ServerId, outcome: Outcome) {
        self.basins[engine]
            .engine
            .probe_ended(server, outcome, None);
    }

    /// Requests whose final answer is owed.
    pub fn open_requests(&self) -> usize {
        self.basins.iter().map(|basin| basin.engine.open()).sum()
    }
}

#[cfg(test)]
mod tests;
