//! The servers, and which of them may receive requests now. Without I/O.
//!
//! A server that is draining, stands in an evacuated zone, is warming up or was replaced receives
//! no new requests. Warming up are those listed so, and those of a zone whose evacuation just
//! ended: their caches may have gone cold meanwhile, and the list is older than that.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use protocol::platform::Server;
use streamarch::{Micros, ServerEntry, ServerId, ServerState};

/// Capacity weight by distance, in addition to the slots: a server in another region costs its
/// clients a tenth of a second and is there for when the near ones are full.
const SAME_ZONE_WEIGHT: f64 = 1.0;
const SAME_REGION_WEIGHT: f64 = 0.5;
const OTHER_REGION_WEIGHT: f64 = 0.0001;

/// A server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Its number in the module, never reused for another incarnation.
    pub server_id: ServerId,
    /// Its entry in the platform's list.
    pub listing: Server,
    /// Warming up until then.
    pub warm_up_until: Micros,
    /// Another server answered at its address.
    pub is_replaced: bool,
}

/// The servers, by the ids of their incarnations.
#[derive(Debug)]
pub struct ServerTable {
    zone: String,
    zones: BTreeMap<String, String>,
    servers: BTreeMap<String, ServerRecord>,
    instance_ids: BTreeMap<ServerId, String>,
    next_server_id: u32,
    version: Option<(u64, u64)>,
    evacuated_zones: BTreeSet<String>,
    /// Zones whose evacuation ended, and until when their servers may be cold.
    cold_zones_until: BTreeMap<String, Micros>,
}

impl ServerTable {
    /// An empty table. `zones`: all zones with their regions.
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

    /// Applies a server list unless it is older than the present one.
    pub fn update(&mut self, now: Micros, version: (u64, u64), servers: Vec<Server>) -> bool {
        if self.version.is_some_and(|held| held > version) {
            return false;
        }
        self.version = Some(version);
        let mut before = std::mem::take(&mut self.servers);
        for server in servers {
            let warm_at = if server.warm_up_left > 0 {
                now + server.warm_up_left
            } else {
                0
            };
            let known = match before.remove(&server.id) {
                Some(held) if held.listing.addr == server.addr => ServerRecord {
                    warm_up_until: warm_at,
                    listing: server,
                    ..held
                },
                other => {
                    let number = other.map_or_else(
                        || self.allocate_server_id(&server.id),
                        |held| held.server_id,
                    );
                    ServerRecord {
                        server_id: number,
                        warm_up_until: warm_at,
                        listing: server,
                        is_replaced: false,
                    }
                }
            };
            self.servers.insert(known.listing.id.clone(), known);
        }
        self.instance_ids
            .retain(|_, id| self.servers.contains_key(id));
        true
    }

    fn allocate_server_id(&mut self, id: &str) -> ServerId {
        let number = ServerId(self.next_server_id);
        self.next_server_id += 1;
        self.instance_ids.insert(number, id.to_string());
        number
    }

    /// Sets the evacuated zones, and those whose evacuation just ended: their servers may be cold
    /// for `warmup`.
    pub fn set_evacuated_zones(
        &mut self,
        now: Micros,
        zones: &BTreeSet<String>,
        back: Vec<String>,
        warmup: Micros,
    ) {
        self.cold_zones_until
            .extend(back.into_iter().map(|zone| (zone, now + warmup)));
        self.evacuated_zones = zones.clone();
    }

    /// Another server answered at the address of this one.
    pub fn mark_replaced(&mut self, number: ServerId) {
        if let Some(known) = self
            .instance_ids
            .get(&number)
            .and_then(|id| self.servers.get_mut(id))
        {
            known.is_replaced = true;
        }
    }

    /// The server with this number.
    pub fn get(&self, number: ServerId) -> Option<&ServerRecord> {
        self.servers.get(self.instance_ids.get(&number)?)
    }

    /// Whether any server is known.
    pub fn has_servers(&self) -> bool {
        !self.servers.is_empty()
    }

    fn warm_up_until(&self, known: &ServerRecord) -> Micros {
        known.warm_up_until.max(
            self.cold_zones_until
                .get(&known.listing.zone)
                .copied()
                .unwrap_or(0),
        )
    }

    /// When the next server finishes warming up, after `now`.
    pub fn next_warm_up_end(&self, now: Micros) -> Option<Micros> {
        self.servers
            .values()
            .map(|known| self.warm_up_until(known))
            .filter(|at| *at > now)
            .min()
    }

    /// The servers of a service in the named regions (none: all), as entries for the module.
    pub fn entries(&self, now: Micros, svc: &str, pins: &[String]) -> Vec<ServerEntry> {
        let region = |zone: &str| self.zones.get(zone);
        let own = region(&self.zone);
        let allowed = |known: &&ServerRecord| {
            let region = region(&known.listing.zone);
            known.listing.svc == svc
                && (pins.is_empty() || region.is_some_and(|region| pins.contains(region)))
        };
        let entry = |known: &ServerRecord| {
            let server = &known.listing;
            let near = match region(&server.zone) {
                _ if server.zone == self.zone => SAME_ZONE_WEIGHT,
                there if there == own => SAME_REGION_WEIGHT,
                _ => OTHER_REGION_WEIGHT,
            };
            let gets = server.accepts_requests
                && !known.is_replaced
                && !self.evacuated_zones.contains(&server.zone);
            let ready = gets && self.warm_up_until(known) <= now;
            ServerEntry {
                server: known.server_id,
                zone: 0,
                machine_type: 0,
                cell: 0,
                state: if ready {
                    ServerState::Ready
                } else {
                    ServerState::Draining
                },
                weight: f64::from(server.slots) * near,
                started_at: 0,
            }
        };
        self.servers.values().filter(allowed).map(entry).collect()
    }

    /// Whether a server is in another region.
    pub fn is_in_other_region(&self, number: ServerId) -> bool {
        let there = self
            .get(number)
            .and_then(|known| self.zones.get(&known.listing.zone));
        there != self.zones.get(&self.zone)
    }

    /// The address of a server, and its id.
    pub fn address_and_instance_id(&self, number: ServerId) -> Option<(SocketAddr, &str)> {
        self.get(number)
            .map(|known| (known.listing.addr, known.listing.id.as_str()))
    }
}

#[cfg(test)]
mod tests;
