//! Load shedding, aggregated over limiters: this replica decides for its linked limiters how much of the load of each
//! service is admitted. Their reports are summed by region, since the limiters of a region share its servers, and sent
//! to the other replicas.

use std::collections::BTreeMap;

use overload::EVALUATION_INTERVAL;
use overload::admission_controller::{AdmissionController, AdmissionLevel, ReplicaLoad};
use overload::load::LoadReport;
use protocol::messages::ControlMessage;

use super::ids::ReplicaId;
use super::peer_messages::Payload;
use super::replicas::Sender;
use super::{Output, Replica};

/// A region without admission levels is sent an empty list once in this many steps.
const EMPTY_LEVELS_INTERVAL: u64 = 2;

/// The admission controllers of this replica.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadAggregation {
    /// The region of each agent, by its link.
    regions: BTreeMap<u64, String>,
    /// The controllers, by region and service.
    controllers: BTreeMap<(String, String), AdmissionController>,
    next_step_at: i64,
    step_count: u64,
}

impl LoadAggregation {
    pub(super) fn add_agent(&mut self, link: u64, region: &str) {
        self.regions.insert(link, region.to_string());
    }

    pub(super) fn remove_agent(&mut self, link: u64) {
        self.regions.remove(&link);
        for controller in self.controllers.values_mut() {
            controller.remove_limiter(link);
        }
    }

    fn controller(
        &mut self,
        local: ReplicaId,
        region: &str,
        service: &str,
    ) -> &mut AdmissionController {
        let key = (region.to_string(), service.to_string());
        let entry = self.controllers.entry(key);
        entry.or_insert_with(|| AdmissionController::new(local.into()))
    }

    /// Handles the reports of the agent on a link.
    pub(super) fn handle_reports(
        &mut self,
        now: i64,
        local: ReplicaId,
        link: u64,
        reports: &[LoadReport],
    ) {
        let Some(region) = self.regions.get(&link).cloned() else {
            return;
        };
        for report in reports {
            let controller = self.controller(local, &region, &report.service);
            controller.handle_report(now, link, report);
        }
    }

    /// The time of the next step. Without controllers a step at each heartbeat of the replica suffices.
    pub(super) fn wake_at(&self) -> Option<i64> {
        (!self.controllers.is_empty()).then_some(self.next_step_at)
    }

    fn evaluate(&mut self, now: i64) {
        for controller in self.controllers.values_mut() {
            controller.evaluate(now);
        }
        self.controllers
            .retain(|_, controller| !controller.is_idle(now));
    }

    fn levels(&self, region: &str) -> Vec<AdmissionLevel> {
        let controllers = self.controllers.iter();
        let regional =
            controllers.filter(|((controller_region, _), _)| controller_region == region);
        let levels = regional.filter_map(|((_, service), controller)| controller.level(service));
        levels.collect()
    }
}

impl Replica {
    /// Another replica has sent the load that its limiters report for the services of a region.
    pub(super) fn handle_load_report(
        &mut self,
        now: i64,
        sender: Sender,
        region: &str,
        services: Vec<(String, ReplicaLoad)>,
    ) {
        let local = self.table.local().replica;
        for (service, share) in services {
            let controller = self.load.controller(local, region, &service);
            controller.handle_peer_load(now, sender.replica().into(), share);
        }
    }

    /// Evaluates the controllers if a step is due, and sends the resulting levels to the agents.
    pub(super) fn drive_load_aggregation(&mut self, now: i64, out: &mut Vec<Output>) {
        if now < self.load.next_step_at {
            return;
        }
        self.load.next_step_at = now + EVALUATION_INTERVAL;
        self.load.step_count += 1;
        self.load.evaluate(now);
        self.share_load(now, out);
        let mut links_by_region: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, region) in &self.load.regions {
            links_by_region.entry(region).or_default().push(*link);
        }
        let sends_empty = self.load.step_count.is_multiple_of(EMPTY_LEVELS_INTERVAL);
        for (region, links) in links_by_region {
            let levels = self.load.levels(region);
            if sends_empty || !levels.is_empty() {
                let message = ControlMessage::AdmissionLevels { age_us: 0, levels };
                out.push(Output::SendToAgents(links, message));
            }
        }
    }

    /// Sends the load that the local limiters report to the other replicas, since the limiters of a region may be
    /// linked to any of them.
    fn share_load(&self, now: i64, out: &mut Vec<Output>) {
        let mut shares_by_region: BTreeMap<&String, Vec<(String, ReplicaLoad)>> = BTreeMap::new();
        for ((region, service), controller) in &self.load.controllers {
            if let Some(share) = controller.replica_load(now) {
                let shares = shares_by_region.entry(region).or_default();
                shares.push((service.clone(), share));
            }
        }
        for (region, services) in shares_by_region {
            let payload = Payload::LoadReport {
                region: region.clone(),
                services,
            };
            self.broadcast(payload, out);
        }
    }
}
