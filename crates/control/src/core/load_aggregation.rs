//! How much of the load of services is let through: a replica is home to all services for the limiters linked to it. What
//! they saw is summed up by region, since a region's limiters share its servers, and shared with the other replicas.

use std::collections::BTreeMap;

use overload::STEP;
use overload::judge::{Judge, Level, Share};
use overload::load::Report;
use protocol::messages::ControlMessage;

use super::peer_messages::{Payload, ReplicaId};
use super::{Output, Replica};

/// A region without levels is told that there are none every so many steps.
const EMPTY_LEVELS_INTERVAL: u64 = 2;

/// The judges of this replica.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadAggregation {
    /// The region of each agent, by its link.
    regions: BTreeMap<u64, String>,
    /// By region and service.
    controllers: BTreeMap<(String, String), Judge>,
    next_step_at: i64,
    steps: u64,
}

impl LoadAggregation {
    pub(super) fn add_agent(&mut self, link: u64, region: &str) {
        self.regions.insert(link, region.to_string());
    }

    pub(super) fn remove_agent(&mut self, link: u64) {
        self.regions.remove(&link);
        self.controllers
            .values_mut()
            .for_each(|judge| judge.left(link));
    }

    fn controller(&mut self, me: ReplicaId, region: &str, svc: &str) -> &mut Judge {
        let key = (region.to_string(), svc.to_string());
        self.controllers
            .entry(key)
            .or_insert_with(|| Judge::new(me.into()))
    }

    pub(super) fn handle_reports(
        &mut self,
        now: i64,
        me: ReplicaId,
        link: u64,
        reports: &[Report],
    ) {
        let Some(region) = self.regions.get(&link).cloned() else {
            return;
        };
        for report in reports {
            self.controller(me, &region, &report.svc)
                .report(now, link, report);
        }
    }

    pub(super) fn handle_peer_share(
        &mut self,
        now: i64,
        (me, by): (ReplicaId, ReplicaId),
        region: &str,
        services: Vec<(String, Share)>,
    ) {
        for (svc, share) in services {
            self.controller(me, region, &svc)
                .shared(now, by.into(), share);
        }
    }

    /// Where nothing is judged the replica's own beat is often enough.
    pub(super) fn wake_at(&self) -> Option<i64> {
        (!self.controllers.is_empty()).then_some(self.next_step_at)
    }

    fn evaluate(&mut self, now: i64) {
        self.controllers
            .values_mut()
            .for_each(|judge| judge.look(now));
        self.controllers.retain(|_, judge| !judge.idle(now));
    }

    fn levels(&self, region: &str) -> Vec<Level> {
        let judged = self.controllers.iter().filter(|((at, _), _)| at == region);
        judged
            .filter_map(|((_, svc), judge)| judge.level(svc))
            .collect()
    }
}

impl Replica {
    /// The judges look at what they were told, and what they find is told on.
    pub(super) fn drive_load_aggregation(&mut self, now: i64, out: &mut Vec<Output>) {
        if now < self.load.next_step_at {
            return;
        }
        (self.load.next_step_at, self.load.steps) = (now + STEP, self.load.steps + 1);
        self.load.evaluate(now);
        self.share_load(now, out);
        let mut regions: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, region) in &self.load.regions {
            regions.entry(region).or_default().push(*link);
        }
        let mut tell = Vec::new();
        for (region, links) in regions {
            let levels = self.load.levels(region);
            if !levels.is_empty() || self.load.steps.is_multiple_of(EMPTY_LEVELS_INTERVAL) {
                tell.push(Output::SendToAgents(
                    links,
                    ControlMessage::Levels { age: 0, levels },
                ));
            }
        }
        out.append(&mut tell);
    }

    /// The other replicas hear what was told here of a region's services: its limiters may be linked to any of them.
    fn share_load(&mut self, now: i64, out: &mut Vec<Output>) {
        let mut regions: BTreeMap<&String, Vec<(String, Share)>> = BTreeMap::new();
        for ((region, svc), judge) in &self.load.controllers {
            if let Some(share) = judge.to_share(now) {
                regions
                    .entry(region)
                    .or_default()
                    .push((svc.clone(), share));
            }
        }
        for (region, services) in regions {
            self.broadcast(
                Payload::LoadReport {
                    region: region.clone(),
                    services,
                },
                out,
            );
        }
    }
}
