//! Overload at this proxy: in which order its requests wait, and what it tells home of what became of them. Without any
//! input or output; the module refuses.

use std::collections::BTreeMap;

use overload::admission::Admission;
use overload::admission_controller::AdmissionLevel;
use overload::load::{LoadReport, RequestOutcome};
use overload::overload_detector::OverloadDetector;
use overload::priority;
use protocol::items::{Route, Tenant};
use streamarch::{Micros, Outcome, Request};

/// A tenant that was over its quota within this is asked for its quota first.
const OVER_QUOTA_DURATION: Micros = 2_000_000;

/// What a request asks for, as far as its turn goes by it.
#[derive(Clone, Copy, Debug)]
pub struct SheddingRequest<'a> {
    /// Its id, as the client sent it.
    pub id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub svc: &'a str,
    /// Its tenant, by name.
    pub tenant: Option<(&'a str, &'a Tenant)>,
}

impl SheddingRequest<'_> {
    /// Its band of the order.
    pub fn band(&self) -> usize {
        priority::band(tier(self.route, self.tenant), self.route.prio)
    }
}

/// Where a request stands under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingPriority {
    /// Its band of the order.
    pub band: usize,
    /// Its place in the order.
    pub position: f64,
    /// The share of the order, from its end, that waits now.
    pub shed_share: f64,
}

impl SheddingPriority {
    /// The module's word on it.
    pub fn is_shed(&self) -> bool {
        streamarch::waits(&Request {
            place: self.position,
            waits: self.shed_share,
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
pub struct LoadShedding {
    gate: Admission,
    node: OverloadDetector,
    /// Tenants that were over their quota, and when that was last so.
    over_quota_tenants: BTreeMap<String, Micros>,
}

impl LoadShedding {
    /// Where a request stands now: by its service's load, and by this node's own.
    pub fn priority(&self, now: Micros, asker: &SheddingRequest<'_>) -> SheddingPriority {
        let band = asker.band();
        let waits = 1.0
            - self
                .gate
                .threshold(now, asker.svc)
                .min(self.node.threshold());
        SheddingPriority {
            band,
            position: priority::position(band, asker.id),
            shed_share: waits,
        }
    }

    /// Whether its turn comes before its quota is asked: what waits uses up no quota then. Of a tenant over its quota
    /// that is refused first which is beyond it: else others would wait for it.
    pub fn is_shed_before_quota(&self, now: Micros, asker: &SheddingRequest<'_>) -> bool {
        let over = asker
            .tenant
            .and_then(|(name, _)| self.over_quota_tenants.get(name));
        over.is_none_or(|at| now - at > OVER_QUOTA_DURATION)
    }

    /// A request has its turn.
    pub fn record_admitted(&mut self, svc: &str, turn: &SheddingPriority) {
        let sent = !turn.is_shed();
        self.gate.record_request(svc, turn.band, sent);
        self.node.record_request(turn.band, sent);
    }

    /// What this node knows of its own load.
    pub fn node(&mut self) -> &mut OverloadDetector {
        &mut self.node
    }

    /// A request was refused for its tenant's quota; `counted`: it had its turn before.
    pub fn record_over_quota(&mut self, now: Micros, tenant: &str, counted: Option<(&str, usize)>) {
        if let Some((svc, band)) = counted {
            self.gate.record_over_quota(svc, band);
        }
        self.over_quota_tenants.insert(tenant.to_string(), now);
    }

    /// An attempt ended, after so long; what was aimed at.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        svc: &str,
        outcome: Outcome,
        (took, aim): (Micros, Micros),
    ) {
        let sign = match outcome {
            Outcome::Ok | Outcome::Error => RequestOutcome::Answered(took, aim),
            Outcome::Full | Outcome::Reset => RequestOutcome::Rejected,
            // A server that is not there says nothing of the load of those that are.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::Moot => {
                return;
            }
        };
        self.gate.record_outcome(now, svc, sign);
    }

    /// No server was free for a request.
    pub fn record_no_server(&mut self, now: Micros, svc: &str) {
        self.gate.record_outcome(now, svc, RequestOutcome::NoServer);
    }

    /// Home told how much of the load of services is let through.
    pub fn set_levels(&mut self, now: Micros, age: Micros, levels: Vec<AdmissionLevel>) {
        self.gate.set_levels(now, levels, age);
    }

    /// What home is to be told; due once a [`overload::STEP`].
    pub fn take_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        self.over_quota_tenants
            .retain(|_, at| now - *at <= OVER_QUOTA_DURATION);
        self.node.evaluate(now);
        self.gate.step(now)
    }
}
