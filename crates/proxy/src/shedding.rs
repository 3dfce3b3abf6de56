//! Load shedding at this proxy: the priority of its requests, and the load reports for the control
//! program. Performs no I/O; the decision module rejects the requests.

use std::collections::BTreeMap;

use overload::admission::Admission;
use overload::admission_controller::AdmissionLevel;
use overload::load::{LoadReport, RequestOutcome};
use overload::overload_detector::OverloadDetector;
use overload::priority;
use protocol::items::{Route, Tenant};
use streamarch::{Micros, Outcome, Request};

/// For a tenant that was over its quota within this time, the quota is checked before shedding.
const RECENTLY_OVER_QUOTA_WINDOW: Micros = 2_000_000;

/// The properties of a request that determine its priority.
#[derive(Clone, Copy, Debug)]
pub struct SheddingRequest<'a> {
    /// The request id that the client sent.
    pub request_id: &'a str,
    /// Its route.
    pub route: &'a Route,
    /// The service selected for it.
    pub service: &'a str,
    /// Its tenant's name and configuration.
    pub tenant: Option<(&'a str, &'a Tenant)>,
}

impl SheddingRequest<'_> {
    /// Its priority band.
    pub fn band(&self) -> usize {
        priority::band(priority_tier(self.route, self.tenant), self.route.prio)
    }
}

/// The priority of a request, and what is shed under the present load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SheddingPriority {
    /// Its priority band.
    pub band: usize,
    /// Its rank in the shedding order, from 0 to below 1.
    pub shed_rank: f64,
    /// The share of the order, from its end, that is currently rejected.
    pub shed_share: f64,
}

impl SheddingPriority {
    /// The priority of a request that is to be rejected in any case.
    pub const REJECTED: SheddingPriority = SheddingPriority {
        band: 0,
        shed_rank: 0.0,
        shed_share: 1.0,
    };

    /// Whether the decision module rejects the request.
    pub fn is_shed(&self) -> bool {
        streamarch::should_shed(&Request {
            shed_rank: self.shed_rank,
            shed_share: self.shed_share,
            ..Request::default()
        })
    }
}

/// The priority tier of a request: the tenant's if it has one, else the route's.
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
    /// Tenants that were recently over their quota, and when they last were.
    over_quota_at: BTreeMap<String, Micros>,
}

impl LoadShedding {
    /// The priority of a request under the load of its service and of this node.
    pub fn priority(&self, now: Micros, request: &SheddingRequest<'_>) -> SheddingPriority {
        let band = request.band();
        let shed_share = 1.0
            - self
                .admission
                .threshold(now, request.service)
                .min(self.overload_detector.threshold());
        SheddingPriority {
            band,
            shed_rank: priority::shed_rank(band, request.request_id),
            shed_share,
        }
    }

    /// Whether shedding is decided before the quota is checked, so that a shed request uses no quota.
    /// For a tenant that was recently over its quota the quota is checked first: otherwise its
    /// requests beyond the quota would displace those of other tenants.
    pub fn is_shedding_checked_first(&self, now: Micros, request: &SheddingRequest<'_>) -> bool {
        let over_quota_at = request
            .tenant
            .and_then(|(name, _)| self.over_quota_at.get(name));
        over_quota_at.is_none_or(|over_quota_at| now - over_quota_at > RECENTLY_OVER_QUOTA_WINDOW)
    }

    /// Counts a request that was admitted or shed.
    pub fn record_decision(&mut self, service: &str, priority: &SheddingPriority) {
        let is_admitted = !priority.is_shed();
        self.admission
            .record_request(service, priority.band, is_admitted);
        self.overload_detector
            .record_request(priority.band, is_admitted);
    }

    /// The overload detector of this node.
    pub fn overload_detector(&mut self) -> &mut OverloadDetector {
        &mut self.overload_detector
    }

    /// Counts a request that was rejected because of its tenant's quota. `recorded`: the service and
    /// band under which its shedding decision was recorded before, if it was.
    pub fn record_over_quota(
        &mut self,
        now: Micros,
        tenant: &str,
        recorded: Option<(&str, usize)>,
    ) {
        if let Some((service, band)) = recorded {
            self.admission.record_over_quota(service, band);
        }
        self.over_quota_at.insert(tenant.to_string(), now);
    }

    /// Counts the outcome of an attempt, with its latency and the latency target.
    pub fn record_outcome(
        &mut self,
        now: Micros,
        service: &str,
        outcome: Outcome,
        (latency, latency_target): (Micros, Micros),
    ) {
        let request_outcome = match outcome {
            Outcome::Ok | Outcome::Error => RequestOutcome::Answered(latency, latency_target),
            Outcome::Rejected | Outcome::Reset => RequestOutcome::Rejected,
            // An unreachable server says nothing about the load of the others.
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => {
                return;
            }
        };
        self.admission.record_outcome(now, service, request_outcome);
    }

    /// Counts a request for which no server was free.
    pub fn record_no_server(&mut self, now: Micros, service: &str) {
        self.admission
            .record_outcome(now, service, RequestOutcome::NoServer);
    }

    /// Applies the admission levels from the control program, which determined them `age` ago.
    pub fn set_admission_levels(&mut self, now: Micros, age: Micros, levels: Vec<AdmissionLevel>) {
        self.admission.set_levels(now, levels, age);
    }

    /// The load reports for the control program; to be called once per [`overload::EVALUATION_INTERVAL`].
    pub fn take_load_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        self.over_quota_at
            .retain(|_, over_quota_at| now - *over_quota_at <= RECENTLY_OVER_QUOTA_WINDOW);
        self.overload_detector.evaluate(now);
        self.admission.take_reports(now)
    }
}
