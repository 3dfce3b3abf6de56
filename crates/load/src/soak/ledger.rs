//! What operators have sent for each route, what was acknowledged, and what an edge may make of a request by that.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A version of a route that was sent.
#[derive(Clone, Debug)]
pub struct Version {
    /// Its number.
    pub number: u64,
    /// The service that it names; none if it removes the route.
    pub service: Option<&'static str>,
    /// When it was acknowledged.
    pub acknowledged_at: Option<Instant>,
}

/// A route, and all versions of it in the order in which they were sent.
#[derive(Clone, Debug)]
pub struct RouteHistory {
    /// The name of the item.
    pub name: String,
    /// The prefix of its requests.
    pub prefix: String,
    /// The versions.
    pub versions: Vec<Version>,
}

impl RouteHistory {
    /// The newest version that was acknowledged before `at`.
    pub fn acknowledged_before(&self, at: Instant) -> Option<&Version> {
        let mut versions = self.versions.iter().rev();
        versions.find(|version| {
            version
                .acknowledged_at
                .is_some_and(|acknowledged| acknowledged < at)
        })
    }

    /// The services by which a request sent at `sent_at` may be run, and whether it may be refused for good: by the newest
    /// version that had been acknowledged for `apply`, and by all later ones.
    pub fn allowed(&self, sent_at: Instant, apply: Duration) -> (Vec<&'static str>, bool) {
        let in_force = sent_at
            .checked_sub(apply)
            .and_then(|at| self.acknowledged_before(at));
        let least = in_force.map_or(0, |version| version.number);
        let possible = self
            .versions
            .iter()
            .filter(|version| version.number >= least);
        let services = possible.clone().filter_map(|version| version.service);
        let refused =
            in_force.is_none() || possible.clone().any(|version| version.service.is_none());
        (services.collect(), refused)
    }

    /// Whether the newest version was acknowledged, so that what has to be in force is known.
    pub fn is_settled(&self) -> bool {
        let newest = self.versions.last();
        newest.is_some_and(|version| version.acknowledged_at.is_some())
    }
}

/// All routes of a run.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Vec<RouteHistory>>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Vec<RouteHistory>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a version is about to be sent.
    pub fn record_sent(
        &self,
        name: &str,
        prefix: &str,
        number: u64,
        service: Option<&'static str>,
    ) {
        let version = Version {
            number,
            service,
            acknowledged_at: None,
        };
        let mut routes = self.lock();
        match routes.iter_mut().find(|route| route.name == name) {
            Some(route) => route.versions.push(version),
            None => routes.push(RouteHistory {
                name: name.to_string(),
                prefix: prefix.to_string(),
                versions: vec![version],
            }),
        }
    }

    /// Notes that a version was acknowledged.
    pub fn record_acknowledged(&self, name: &str, number: u64) {
        let mut routes = self.lock();
        let versions = routes
            .iter_mut()
            .filter(|route| route.name == name)
            .flat_map(|route| &mut route.versions);
        for version in versions.filter(|version| version.number == number) {
            version.acknowledged_at = Some(Instant::now());
        }
    }

    /// The routes as they stand.
    pub fn routes(&self) -> Vec<RouteHistory> {
        self.lock().clone()
    }
}

#[cfg(test)]
mod tests;
