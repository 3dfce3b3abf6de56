//! One limiter's side: what it counts, what it was told, and what it goes by when it hears nothing.

use std::collections::BTreeMap;

use crate::admission_controller::{AdmissionController, AdmissionLevel};
use crate::load::{LoadCounts, LoadReport, RequestOutcome};
use crate::{LEVELS_LIFETIME, Micros};

#[derive(Clone, Debug)]
struct Service {
    load: LoadCounts,
    /// What was told, and when it was judged.
    levels: Option<(AdmissionLevel, Micros)>,
    /// Judges from own figures alone while nothing is told.
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
    /// When home was last heard.
    levels_received_at: Option<Micros>,
}

impl Admission {
    /// The border for a service: requests beyond it are turned away.
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

    /// A request came for a service; `sent`: it was let through.
    pub fn record_request(&mut self, svc: &str, band: usize, sent: bool) {
        if !self.services.contains_key(svc) {
            self.services.insert(svc.to_string(), Service::default());
        }
        if let Some(service) = self.services.get_mut(svc) {
            service.load.came(band, sent);
        }
    }

    /// A request that was let through was refused for its tenant's quota.
    pub fn record_over_quota(&mut self, svc: &str, band: usize) {
        if let Some(service) = self.services.get_mut(svc) {
            service.load.over_quota(band);
        }
    }

    /// Something became of a request.
    pub fn record_outcome(&mut self, now: Micros, svc: &str, sign: RequestOutcome) {
        if let Some(service) = self.services.get_mut(svc) {
            service.load.ended(now, sign);
        }
    }

    /// Home told these levels, and no others hold; they were judged so long ago.
    pub fn set_levels(&mut self, now: Micros, levels: Vec<AdmissionLevel>, age: Micros) {
        self.levels_received_at = Some(now - age);
        self.services
            .values_mut()
            .for_each(|service| service.levels = None);
        for level in levels {
            let service = self.services.entry(level.svc.clone()).or_default();
            service.levels = Some((level, now - age));
        }
    }

    /// Nothing was told for so long that it holds no more.
    pub fn has_stale_levels(&self, now: Micros) -> bool {
        self.levels_received_at
            .is_none_or(|at| now - at > LEVELS_LIFETIME)
    }

    /// What home is to be told; due once a [`crate::STEP`]. While home is silent the limiter goes by its own share: the
    /// even part of what all were last told, less where its own answers say so, and never more.
    pub fn step(&mut self, now: Micros) -> Vec<LoadReport> {
        let deaf = self.has_stale_levels(now);
        let mut reports = Vec::new();
        for (svc, service) in &mut self.services {
            let told = service.levels.as_ref().map(|(level, _)| level);
            let share = told.and_then(|level| Some(level.rate? / f64::from(level.limiters.max(1))));
            let asked = service.levels.is_some() || deaf;
            let Some(report) = service.load.report(now, svc, asked) else {
                continue;
            };
            if deaf {
                service.local.limit_rate(share);
                service.local.handle_report(now, 0, &report);
                service.local.evaluate(now);
            } else if service.local.rate().is_some() {
                service.local = AdmissionController::new(0);
            }
            reports.push(report);
        }
        reports
    }
}
