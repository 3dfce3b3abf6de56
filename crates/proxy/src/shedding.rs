//! Load shedding at this proxy: the priority of its requests, and the load reports for the control
//! program. Without I/O; the decision module rejects the requests.

use std::collections::BTreeMap;

use overload::admission::Admission;
use overload::admission_controller::AdmissionLevel;
use overload::load::{LoadReport, RequestOutcome};
use overload::overload_detector::OverloadDetector;
use overload::priority;
use protocol::items::{Route, Tenant};
use streamarch::{Micros, Outcome, Request};

/// A tenant that was over its quota within this time has its quota checked first.
const RECENTLY_OVER_QUOTA_WINDOW: Micros = 2_000_000;

/// What the priority of a request depends on.
#[derive(Clone, Copy, Debug)]
pub struct SheddingRequest<'a> {
    /// Its id, as the client sent it.
    pub request_id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service chosen for it.
    pub service: &'a str,
    /// Its tenant, by name.
    pub tenant: Option<(&'a str, &'a Tenant)>,
}

impl SheddingRequest<'_> {
    /// Its priority band.
    pub fn band(&self) -> usize {
        priority::band(priority_tier(self.route, self.tenant), self.route.prio)
    }
}

/// The priority of a request under the present load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingPriority {
    /// Its priority band.
    pub band: usize,
    /// Its position in the priority order.
    pub position: f64,
    /// The share of the order, from its end, that is rejected now.
    pub shed_share: f64,
}

impl SheddingPriority {
    /// The priority of a request that is to be rejected in any case.
    pub const REJECTED: SheddingPriority = SheddingPriority {
        band: 0,
        position: 0.0,
        shed_share: 1.0,
    };

    /// Whether the module rejects it.
    pub fn is_shed(&self) -> bool {
        streamarch::should_shed(&Request {
            shed_rank: self.position,
            shed_share: self.shed_share,
            ..Request::default()
        })
    }
}

/// The tenant's tier if it has one, else the route's.
pub fn priority_tier(route: &Route, tenant: Option<(&str, &Tenant)>) -> u32 {
    tenant
        .and_then(|(_, tenant)| tenant.prio)
        .unwrap_or(route.prio)
}

/// The load shedding state of this proxy.
#[derive(Debug, Default)]
pub struct LoadShedding {
    admission: Admission,
    overload_detector: OverloadDetector,
    /// When each tenant was last over its quota.
    over_quota_at: BTreeMap<String, Micros>,
}

impl LoadShedding {
    /// The priority of a request now, by the load of its service and of this node.
    pub fn priority(&self, now: Micros, asker: &SheddingRequest<'_>) -> SheddingPriority {
        let band = asker.band();
        let waits = 1.0
            - self
                .admission
                .threshold(now, asker.service)
                .min(self.overload_detector.threshold());
        SheddingPriority {
            band,
            position: priority::position(band, asker.request_id),
            shed_share: waits,
        }
    }

    /// Whether shedding is decided before the quota is checked, so that a rejected request uses up
    /// no quota. For a tenant that was lately over its quota the quota is checked first: otherwise
    /// requests beyond it would displace those of others.
    pub fn is_shedding_checked_first(&self, now: Micros, asker: &SheddingRequest<'_>) -> bool {
        let over = asker
            .tenant
            .and_then(|(name, _)| self.over_quota_at.get(name));
        over.is_none_or(|at| now - at > RECENTLY_OVER_QUOTA_WINDOW)
    }

    /// Counts a request whose shedding was decided.
    pub fn record_decision(&mut self, svc: &str, turn: &SheddingPriority) {
        let sent = !turn.is_shed();
        self.admission.record_request(svc, turn.band, sent);
        self.overload_detector.record_request(turn.band, sent);
    }

    /// The load of this node.
    pub fn overload_detector(&mut self) -> &mut OverloadDetector {
        &mut self.overload_detector
    }

    /// Counts a request that was rejected because of its tenant's quota; `counted`: the service and
    /// band under which it was counted before.
    pub fn record_over_quota(&mut self, now: Micros, tenant: &str, counted: Option<(&str, usize)>) {
        if let Some((svc, band)) = counted {
            self.admission.record_over_quota(svc, band);
        }
        self.over_quota_at.insert(tenant.to_string(), now);
    }

    /// Counts the outcome of an attempt, with the time it took and the latency target.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        svc: &str,
        outcome: Outcome,
        (took, aim): (Micros, Micros),
    ) {
        let sign = match outcome {
            Outcome::Ok | Outcome::Error => RequestOutcome::Answered(took, aim),
            Outcome::Rejected | Outcome::Reset => RequestOutcome::Rejected,
            // An unreachable server says nothing about the load of the others.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => {
                return;
            }
        };
        self.admission.record_outcome(now, svc, sign);
    }

    /// Counts a request for which no server was free.
    pub fn record_no_server(&mut self, now: Micros, svc: &str) {
        self.admission
            .record_outcome(now, svc, RequestOutcome::NoServer);
    }

    /// Applies the levels from the control program.
    pub fn set_admission_levels(&mut self, now: Micros, age: Micros, levels: Vec<AdmissionLevel>) {
        self.admission.set_levels(now, levels, age);
    }

    /// The reports for the control program; due once a [`overload::STEP`].
    pub fn take_load_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        self.over_quota_at
            .retain(|_, at| now - *at <= RECENTLY_OVER_QUOTA_WINDOW);
        self.overload_detector.evaluate(now);
        self.admission.take_reports(now)
    }
}
