//! Admission control at one limiter: the load that it reports, the levels that it receives, and its
//! own decision while it receives none.

use std::collections::BTreeMap;

use crate::admission_controller::{AdmissionController, AdmissionLevel};
use crate::load::{LoadCounts, LoadReport, RequestOutcome};
use crate::{LEVELS_LIFETIME, Micros};

#[derive(Clone, Debug)]
struct Service {
    load: LoadCounts,
    /// The latest level, and when the replica computed it.
    level: Option<(AdmissionLevel, Micros)>,
    /// Evaluates this limiter's own reports while it has no valid levels.
    local_controller: AdmissionController,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            load: LoadCounts::default(),
            level: None,
            local_controller: AdmissionController::new(0),
        }
    }
}

/// Admission control of all services at one limiter.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: BTreeMap<String, Service>,
    /// When the replica computed the latest levels.
    levels_computed_at: Option<Micros>,
}

impl Admission {
    /// The admission threshold of a service: requests beyond this position are rejected.
    pub fn threshold(&self, now: Micros, service_name: &str) -> f64 {
        let Some(service) = self.services.get(service_name) else {
            return 1.0;
        };
        match &service.level {
            Some((level, _)) if !self.has_stale_levels(now) => level.threshold,
            None if !self.has_stale_levels(now) => 1.0,
            _ => service
                .local_controller
                .level(service_name)
                .map_or(1.0, |level| level.threshold),
        }
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service_name: &str, band: usize, is_admitted: bool) {
        if !self.services.contains_key(service_name) {
            self.services
                .insert(service_name.to_string(), Service::default());
        }
        if let Some(service) = self.services.get_mut(service_name) {
            service.load.record_request(band, is_admitted);
        }
    }

    /// Removes an admitted request from the counts: its tenant was over its quota.
    pub fn record_over_quota(&mut self, service_name: &str, band: usize) {
        if let Some(service) = self.services.get_mut(service_name) {
            service.load.record_over_quota(band);
        }
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, now: Micros, service_name: &str, outcome: RequestOutcome) {
        if let Some(service) = self.services.get_mut(service_name) {
            service.load.record_outcome(now, outcome);
        }
    }

    /// Replaces all levels with those that the replica computed `age` ago.
    pub fn set_levels(&mut self, now: Micros, levels: Vec<AdmissionLevel>, age: Micros) {
        self.levels_computed_at = Some(now - age);
        self.services
            .values_mut()
            .for_each(|service| service.level = None);
        for level in levels {
            let service = self.services.entry(level.service.clone()).or_default();
            service.level = Some((level, now - age));
        }
    }

    /// Whether the latest levels are older than [`LEVELS_LIFETIME`], or there are none.
    pub fn has_stale_levels(&self, now: Micros) -> bool {
        self.levels_computed_at
            .is_none_or(|at| now - at > LEVELS_LIFETIME)
    }

    /// Returns the reports for the replica; to be called once per [`crate::EVALUATION_INTERVAL`].
    /// While its levels are stale, the limiter decides on its own: it admits an even share of the
    /// last rate for all limiters, or less if the outcomes of its own requests show overload.
    pub fn take_reports(&mut self, now: Micros) -> Vec<LoadReport> {
        let is_stale = self.has_stale_levels(now);
        let mut reports = Vec::new();
        for (service_name, service) in &mut self.services {
            let level = service.level.as_ref().map(|(level, _)| level);
            let even_share = level.and_then(|level| {
                Some(level.admitted_rate? / f64::from(level.limiter_count.max(1)))
            });
            let requested = service.level.is_some() || is_stale;
            let Some(report) = service.load.take_report(now, service_name, requested) else {
                continue;
            };
            if is_stale {
                service.local_controller.set_max_rate(even_share);
                service.local_controller.handle_report(now, 0, &report);
                service.local_controller.evaluate(now);
            } else if service.local_controller.admitted_rate().is_some() {
                service.local_controller = AdmissionController::new(0);
            }
            reports.push(report);
        }
        reports
    }
}
