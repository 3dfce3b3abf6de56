//! One limiter's side: what it counts, what it was told, and what it goes by when it hears nothing.

use std::collections::BTreeMap;

use crate::judge::{Judge, Level};
use crate::load::{Load, Report, Sign};
use crate::{DEAF, Micros};

#[derive(Clone, Debug)]
struct Service {
    load: Load,
    /// What was told, and when it was judged.
    told: Option<(Level, Micros)>,
    /// Judges from own figures alone while nothing is told.
    own: Judge,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            load: Load::default(),
            told: None,
            own: Judge::new(0),
        }
    }
}

/// The services of one limiter.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    services: BTreeMap<String, Service>,
    /// When home was last heard.
    heard: Option<Micros>,
}

impl Admission {
    /// The border for a service: requests beyond it are turned away.
    pub fn border(&self, now: Micros, svc: &str) -> f64 {
        let Some(service) = self.services.get(svc) else {
            return 1.0;
        };
        match &service.told {
            Some((level, _)) if !self.deaf(now) => level.border,
            None if !self.deaf(now) => 1.0,
            _ => service.own.level(svc).map_or(1.0, |level| level.border),
        }
    }

    /// A request came for a service; `sent`: it was let through.
    pub fn came(&mut self, svc: &str, band: usize, sent: bool) {
        if !self.services.contains_key(svc) {
            self.services.insert(svc.to_string(), Service::default());
        }
        if let Some(service) = self.services.get_mut(svc) {
            service.load.came(band, sent);
        }
    }

    /// A request that was let through was refused for its tenant's quota.
    pub fn over_quota(&mut self, svc: &str, band: usize) {
        if let Some(service) = self.services.get_mut(svc) {
            service.load.over_quota(band);
        }
    }

    /// Something became of a request.
    pub fn ended(&mut self, now: Micros, svc: &str, sign: Sign) {
        if let Some(service) = self.services.get_mut(svc) {
            service.load.ended(now, sign);
        }
    }

    /// Home told these levels, and no others hold; they were judged so long ago.
    pub fn told(&mut self, now: Micros, levels: Vec<Level>, age: Micros) {
        self.heard = Some(now - age);
        self.services
            .values_mut()
            .for_each(|service| service.told = None);
        for level in levels {
            let service = self.services.entry(level.svc.clone()).or_default();
            service.told = Some((level, now - age));
        }
    }

    /// Nothing was told for so long that it holds no more.
    pub fn deaf(&self, now: Micros) -> bool {
        self.heard.is_none_or(|at| now - at > DEAF)
    }

    /// What home is to be told; due once a [`crate::STEP`]. While home is silent the limiter goes by its own share: the
    /// even part of what all were last told, less where its own answers say so, and never more.
    pub fn step(&mut self, now: Micros) -> Vec<Report> {
        let deaf = self.deaf(now);
        let mut reports = Vec::new();
        for (svc, service) in &mut self.services {
            let told = service.told.as_ref().map(|(level, _)| level);
            let share = told.and_then(|level| Some(level.rate? / f64::from(level.limiters.max(1))));
            let asked = service.told.is_some() || deaf;
            let Some(report) = service.load.report(now, svc, asked) else {
                continue;
            };
            if deaf {
                service.own.bound(share);
                service.own.report(now, 0, &report);
                service.own.look(now);
            } else if service.own.rate().is_some() {
                service.own = Judge::new(0);
            }
            reports.push(report);
        }
        reports
    }
}
