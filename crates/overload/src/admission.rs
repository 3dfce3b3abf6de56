//! Admission control at one limiter: the load it reports, the levels it received, and its own
//! decision while it receives none.

use std::collections::BTreeMap;

use crate::admission_controller::{AdmissionController, AdmissionLevel};
use crate::load::{LoadCounts, LoadReport, RequestOutcome};
use crate::{LEVELS_LIFETIME, Micros};

#[derive(Clone, Debug)]
struct Service {
    load: LoadCounts,
    /// The latest level, and when the replica computed it.
    levels: Option<(AdmissionLevel, Micros)>,
    /// Evaluates this limiter's own reports while no levels arrive.
    local: AdmissionController,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            load: LoadCounts::default(),
            levels: None,
            local: AdmissionController::new(0),
        }
    }
}

/// The services of one limiter.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: BTreeMap<String, Service>,
    /// When the latest levels were computed.
    levels_received_at: Option<Micros>,
}

impl Admission {
    /// The admission threshold of a service: requests beyond this position are rejected.
    pub fn threshold(&self, now: Micros, svc: &str) -> f64 {
        let Some(service) = self.services.get(svc) else {
            return 1.0;
        };
        match &service.levels {
            Some((level, _)) if !self.has_stale_levels(now) => level.threshold,
            None if !self.has_stale_levels(now) => 1.0,
            _ => service
                .local
                .level(svc)
                .map_or(1.0, |level| level.threshold),
        }
    }

    /// Counts a request for a service; `sent`: it was admitted.
    pub fn record_request(&mut self, svc: &str, band: usize, sent: bool) {
        if !self.services.contains_key(svc) {
            self.services.insert(svc.to_string(), Service::default());
        }
        if let Some(service) = self.services.get_mut(svc) {
            service.load.record_request(band, sent);
        }
    }

    /// Removes an admitted request from the counts: its tenant was over its quota.
    pub fn record_over_quota(&mut self, svc: &str, band: usize) {
        if let Some(service) = self.services.get_mut(svc) {
            service.load.record_over_quota(band);
        }
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, now: Micros, svc: &str, outcome: RequestOutcome) {
        if let Some(service) = self.services.get_mut(svc) {
            service.load.record_outcome(now, outcome);
        }
    }

    /// Replaces all levels with those from the replica, which computed them `age` ago.
    pub fn set_levels(&mut self, now: Micros, levels: Vec<AdmissionLevel>, age: Micros) {
        self.levels_received_at = Some(now - age);
        self.services
            .values_mut()
            .for_each(|service| service.levels = None);
        for level in levels {
            let service = self.services.entry(level.service.clone()).or_default();
            service.levels = Some((level, now - age));
        }
    }

    /// Whether no levels arrived within [`LEVELS_LIFETIME`].
    pub fn has_stale_levels(&self, now: Micros) -> bool {
        self.levels_received_at
            .is_none_or(|at| now - at > LEVELS_LIFETIME)
    }

    /// Returns the reports for the replica; due once a [`crate::EVALUATION_INTERVAL`]. While no levels arrive the
    /// limiter decides on its own: it admits its even share of the last rate for all limiters, or
    /// less if its own outcomes show overload.
    pub fn take_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        let stale = self.has_stale_levels(now);
        let mut reports = Vec::new();
        for (svc, service) in &mut self.services {
            let level = service.levels.as_ref().map(|(level, _)| level);
            let share = level.and_then(|level| {
                Some(level.admitted_rate? / f64::from(level.limiter_count.max(1)))
            });
            let requested = service.levels.is_some() || stale;
            let Some(report) = service.load.take_report(now, svc, requested) else {
                continue;
            };
            if stale {
                service.local.set_max_rate(share);
                service.local.handle_report(now, 0, &report);
                service.local.evaluate(now);
            } else if service.local.admitted_rate().is_some() {
                service.local = AdmissionController::new(0);
            }
            reports.push(report);
        }
        reports
    }
}
