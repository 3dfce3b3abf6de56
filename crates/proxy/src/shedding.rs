//! Overload at this proxy: in which order its requests wait, and what it tells home of what became of them. Without any
//! input or output; the module refuses.

use std::collections::BTreeMap;

use overload::admission::Admission;
use overload::judge::Level;
use overload::load::{Report, Sign};
use overload::order;
use overload::shedder::Shedder;
use protocol::items::{Route, Tenant};
use streamarch::{Micros, Outcome, Request};

/// A tenant that was over its quota within this is asked for its quota first.
const OVER: Micros = 2_000_000;

/// What a request asks for, as far as its turn goes by it.
#[derive(Clone, Copy, Debug)]
pub struct Asker<'a> {
    /// Its id, as the client sent it.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub svc: &'a str,
    /// Its tenant, by name.
    pub tenant: Option<(&'a str, &'a Tenant)>,
}

impl Asker<'_> {
    /// Its band of the order.
    pub fn band(&self) -> usize {
        order::band(tier(self.route, self.tenant), self.route.prio)
    }
}

/// Where a request stands under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Turn {
    /// Its band of the order.
    pub band: usize,
    /// Its place in the order.
    pub place: f64,
    /// The share of the order, from its end, that waits now.
    pub waits: f64,
}

impl Turn {
    /// The module's word on it.
    pub fn waiting(&self) -> bool {
        streamarch::waits(&Request {
            place: self.place,
            waits: self.waits,
            ..Request::default()
        })
    }
}

/// Its tenant's rank, else the route's.
pub fn tier(route: &Route, tenant: Option<(&str, &Tenant)>) -> u32 {
    tenant
        .and_then(|(_, tenant)| tenant.prio)
        .unwrap_or(route.prio)
}

/// What this proxy knows of overload.
#[derive(Debug, Default)]
pub struct Shedding {
    gate: Admission,
    node: Shedder,
    /// Tenants that were over their quota, and when that was last so.
    over: BTreeMap<String, Micros>,
}

impl Shedding {
    /// Where a request stands now: by its service's load, and by this node's own.
    pub fn turn(&self, now: Micros, asker: &Asker<'_>) -> Turn {
        let band = asker.band();
        let waits = 1.0 - self.gate.border(now, asker.svc).min(self.node.border());
        Turn {
            band,
            place: order::place(band, asker.id),
            waits,
        }
    }

    /// Whether its turn comes before its quota is asked: what waits uses up no quota then. Of a tenant over its quota
    /// that is refused first which is beyond it: else others would wait for it.
    pub fn before_quota(&self, now: Micros, asker: &Asker<'_>) -> bool {
        let over = asker.tenant.and_then(|(name, _)| self.over.get(name));
        over.is_none_or(|at| now - at > OVER)
    }

    /// A request has its turn.
    pub fn came(&mut self, svc: &str, turn: &Turn) {
        let sent = !turn.waiting();
        self.gate.came(svc, turn.band, sent);
        self.node.came(turn.band, sent);
    }

    /// What this node knows of its own load.
    pub fn node(&mut self) -> &mut Shedder {
        &mut self.node
    }

    /// A request was refused for its tenant's quota; `counted`: it had its turn before.
    pub fn over_quota(&mut self, now: Micros, tenant: &str, counted: Option<(&str, usize)>) {
        if let Some((svc, band)) = counted {
            self.gate.over_quota(svc, band);
        }
        self.over.insert(tenant.to_string(), now);
    }

    /// An attempt ended, after so long; what was aimed at.
    pub fn ended(
        &mut self,
        now: Micros,
        svc: &str,
        outcome: Outcome,
        (took, aim): (Micros, Micros),
    ) {
        let sign = match outcome {
            Outcome::Ok | Outcome::Error => Sign::Answered(took, aim),
            Outcome::Full | Outcome::Reset => Sign::Away,
            // A server that is not there says nothing of the load of those that are.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::Moot => {
                return;
            }
        };
        self.gate.ended(now, svc, sign);
    }

    /// No server was free for a request.
    pub fn no_room(&mut self, now: Micros, svc: &str) {
        self.gate.ended(now, svc, Sign::NoRoom);
    }

    /// Home told how much of the load of services is let through.
    pub fn levels(&mut self, now: Micros, age: Micros, levels: Vec<Level>) {
        self.gate.told(now, levels, age);
    }

    /// What home is to be told; due once a [`overload::STEP`].
    pub fn load(&mut self, now: Micros) -> Vec<Report> {
        self.over.retain(|_, at| now - *at <= OVER);
        self.node.step(now);
        self.gate.step(now)
    }
}
