//! The servers, and which of them may currently receive requests. Performs no I/O.
//!
//! A server that is draining, is in an evacuated zone, is warming up or was replaced receives no new
//! requests. A server is warming up if the platform's list says so, or if the evacuation of its zone
//! has just ended: its caches may have gone cold in the meantime, and the list may be older than
//! the end of the evacuation.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::platform::Server;
use streamarch::{Micros, ServerEntry, ServerId, ServerState};

/// Weight of a slot of a server in the proxy's zone.
const SAME_ZONE_WEIGHT: f64 = 1.0;
/// Weight of a slot of a server in another zone of the proxy's region.
const SAME_REGION_WEIGHT: f64 = 0.5;
/// Weight of a slot of a server in another region. It adds a tenth of a second of latency, and is
/// meant for when the near servers are full.
const OTHER_REGION_WEIGHT: f64 = 0.0001;

/// A server and its state as this proxy knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Its id in the decision module, never reused for another instance.
    pub server_id: ServerId,
    /// Its entry in the platform's list.
    pub listing: Server,
    /// The end of its warm-up according to that list.
    pub warm_up_until: Micros,
    /// Another server responded at its address.
    pub is_replaced: bool,
}

/// The servers, by instance id.
#[derive(Debug)]
pub struct ServerTable {
    zone: String,
    zones: BTreeMap<String, String>,
    servers: BTreeMap<String, ServerRecord>,
    instance_ids: BTreeMap<ServerId, String>,
    next_server_id: u32,
    version: Option<(u64, u64)>,
    evacuated_zones: BTreeSet<String>,
    /// Zones whose evacuation ended, and until when their servers may have cold caches.
    cold_zones_until: BTreeMap<String, Micros>,
}

impl ServerTable {
    /// Creates an empty table. `zone`: the proxy's; `zones`: all zones with their regions.
    pub fn new(zone: &str, zones: BTreeMap<String, String>) -> ServerTable {
        ServerTable {
            zone: zone.to_string(),
            zones,
            servers: BTreeMap::new(),
            instance_ids: BTreeMap::new(),
            next_server_id: 1,
            version: None,
            evacuated_zones: BTreeSet::new(),
            cold_zones_until: BTreeMap::new(),
        }
    }

    /// Applies a server list unless it is older than the current one; returns whether it did.
    pub fn update(&mut self, now: Micros, version: (u64, u64), servers: Vec<Server>) -> bool {
        if self.version.is_some_and(|previous| previous > version) {
            return false;
        }
        self.version = Some(version);
        let mut previous_servers = std::mem::take(&mut self.servers);
        for server in servers {
            let warm_up_until = if server.warm_up_left_us > 0 {
                now + server.warm_up_left_us
            } else {
                0
            };
            let record = match previous_servers.remove(&server.id) {
                Some(previous) if previous.listing.addr == server.addr => ServerRecord {
                    warm_up_until,
                    listing: server,
                    ..previous
                },
                other => {
                    let server_id = other.map_or_else(
                        || self.allocate_server_id(&server.id),
                        |previous| previous.server_id,
                    );
                    ServerRecord {
                        server_id,
                        warm_up_until,
                        listing: server,
                        is_replaced: false,
                    }
                }
            };
            self.servers.insert(record.listing.id.clone(), record);
        }
        self.instance_ids
            .retain(|_, instance_id| self.servers.contains_key(instance_id));
        true
    }

    fn allocate_server_id(&mut self, instance_id: &str) -> ServerId {
        let server_id = ServerId(self.next_server_id);
        self.next_server_id += 1;
        self.instance_ids.insert(server_id, instance_id.to_string());
        server_id
    }

    /// Sets the evacuated zones. The servers of the zones whose evacuation just ended count as
    /// warming up for `warm_up_time`.
    pub fn set_evacuated_zones(
        &mut self,
        now: Micros,
        evacuated_zones: &BTreeSet<String>,
        restored_zones: Vec<String>,
        warm_up_time: Micros,
    ) {
        self.cold_zones_until.extend(
            restored_zones
                .into_iter()
                .map(|zone| (zone, now + warm_up_time)),
        );
        self.evacuated_zones = evacuated_zones.clone();
    }

    /// Records that another server responded at the address of this one.
    pub fn mark_replaced(&mut self, server_id: ServerId) {
        if let Some(record) = self
            .instance_ids
            .get(&server_id)
            .and_then(|instance_id| self.servers.get_mut(instance_id))
        {
            record.is_replaced = true;
        }
    }

    /// The server with this id; `None` if it is no longer listed.
    pub fn get(&self, server_id: ServerId) -> Option<&ServerRecord> {
        self.servers.get(self.instance_ids.get(&server_id)?)
    }

    /// Whether any server is listed.
    pub fn has_servers(&self) -> bool {
        !self.servers.is_empty()
    }

    /// The end of a server's warm-up, by the list and by the evacuation of its zone.
    fn warm_up_until(&self, record: &ServerRecord) -> Micros {
        record.warm_up_until.max(
            self.cold_zones_until
                .get(&record.listing.zone)
                .copied()
                .unwrap_or(0),
        )
    }

    /// The earliest end of a server's warm-up after `now`.
    pub fn next_warm_up_end(&self, now: Micros) -> Option<Micros> {
        self.servers
            .values()
            .map(|record| self.warm_up_until(record))
            .filter(|end| *end > now)
            .min()
    }

    /// The servers of a service in the named regions (none: all), as entries for the decision module.
    pub fn entries(&self, now: Micros, service: &str, regions: &[String]) -> Vec<ServerEntry> {
        let region_of = |zone: &str| self.zones.get(zone);
        let proxy_region = region_of(&self.zone);
        let is_allowed = |record: &&ServerRecord| {
            let region = region_of(&record.listing.zone);
            record.listing.svc == service
                && (regions.is_empty() || region.is_some_and(|region| regions.contains(region)))
        };
        let entry = |record: &ServerRecord| {
            let server = &record.listing;
            let slot_weight = match region_of(&server.zone) {
                _ if server.zone == self.zone => SAME_ZONE_WEIGHT,
                region if region == proxy_region => SAME_REGION_WEIGHT,
                _ => OTHER_REGION_WEIGHT,
            };
            let is_available = server.accepts_requests
                && !record.is_replaced
                && !self.evacuated_zones.contains(&server.zone);
            let is_ready = is_available && self.warm_up_until(record) <= now;
            ServerEntry {
                server: record.server_id,
                zone: 0,
                machine_type: 0,
                cell: 0,
                state: if is_ready {
                    ServerState::Ready
                } else {
                    ServerState::Draining
                },
                weight: f64::from(server.slots) * slot_weight,
                started_at: 0,
            }
        };
        self.servers
            .values()
            .filter(is_allowed)
            .map(entry)
            .collect()
    }

    /// Whether a server is in another region than the proxy.
    pub fn is_in_other_region(&self, server_id: ServerId) -> bool {
        let server_region = self
            .get(server_id)
            .and_then(|record| self.zones.get(&record.listing.zone));
        server_region != self.zones.get(&self.zone)
    }

    /// The address of a server, and its instance id.
    pub fn address_and_instance_id(&self, server_id: ServerId) -> Option<(SocketAddr, &str)> {
        self.get(server_id)
            .map(|record| (record.listing.addr, record.listing.id.as_str()))
    }
}

#[cfg(test)]
mod tests;
