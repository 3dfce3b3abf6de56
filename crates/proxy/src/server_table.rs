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
const SAME_ZONE: f64 = 1.0;
const SAME_REGION: f64 = 0.5;
const ELSEWHERE: f64 = 0.0001;

/// A server.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownServer {
    /// Its number in the module, never reused for another incarnation.
    pub number: ServerId,
    /// Its entry in the platform's list.
    pub server: Server,
    /// Warming up until then.
    pub warm_at: Micros,
    /// Another server answered at its address.
    pub wrong_server: bool,
}

/// The servers, by the ids of their incarnations.
#[derive(Debug)]
pub struct ServerTable {
    zone: String,
    zones: BTreeMap<String, String>,
    servers: BTreeMap<String, KnownServer>,
    numbers: BTreeMap<ServerId, String>,
    next: u32,
    version: Option<(u64, u64)>,
    evacuated: BTreeSet<String>,
    /// Zones whose evacuation ended, and until when their servers may be cold.
    returned: BTreeMap<String, Micros>,
}

impl ServerTable {
    /// An empty table. `zones`: all zones with their regions.
    pub fn new(zone: &str, zones: BTreeMap<String, String>) -> ServerTable {
        ServerTable {
            zone: zone.to_string(),
            zones,
            servers: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next: 1,
            version: None,
            evacuated: BTreeSet::new(),
            returned: BTreeMap::new(),
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
                Some(held) if held.server.addr == server.addr => KnownServer {
                    warm_at,
                    server,
                    ..held
                },
                other => {
                    let number = other.map_or_else(|| self.number(&server.id), |held| held.number);
                    KnownServer {
                        number,
                        warm_at,
                        server,
                        wrong_server: false,
                    }
                }
            };
            self.servers.insert(known.server.id.clone(), known);
        }
        self.numbers.retain(|_, id| self.servers.contains_key(id));
        true
    }

    fn number(&mut self, id: &str) -> ServerId {
        let number = ServerId(self.next);
        self.next += 1;
        self.numbers.insert(number, id.to_string());
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
        self.returned
            .extend(back.into_iter().map(|zone| (zone, now + warmup)));
        self.evacuated = zones.clone();
    }

    /// Another server answered at the address of this one.
    pub fn mark_wrong_server(&mut self, number: ServerId) {
        if let Some(known) = self
            .numbers
            .get(&number)
            .and_then(|id| self.servers.get_mut(id))
        {
            known.wrong_server = true;
        }
    }

    /// The server with this number.
    pub fn get(&self, number: ServerId) -> Option<&KnownServer> {
        self.servers.get(self.numbers.get(&number)?)
    }

    /// Whether any server is known.
    pub fn has_servers(&self) -> bool {
        !self.servers.is_empty()
    }

    fn warm_at(&self, known: &KnownServer) -> Micros {
        known
            .warm_at
            .max(self.returned.get(&known.server.zone).copied().unwrap_or(0))
    }

    /// When the next server finishes warming up, after `now`.
    pub fn next_warm(&self, now: Micros) -> Option<Micros> {
        self.servers
            .values()
            .map(|known| self.warm_at(known))
            .filter(|at| *at > now)
            .min()
    }

    /// The servers of a service in the named regions (none: all), as entries for the module.
    pub fn entries(&self, now: Micros, svc: &str, pins: &[String]) -> Vec<ServerEntry> {
        let region = |zone: &str| self.zones.get(zone);
        let own = region(&self.zone);
        let allowed = |known: &&KnownServer| {
            let region = region(&known.server.zone);
            known.server.svc == svc
                && (pins.is_empty() || region.is_some_and(|region| pins.contains(region)))
        };
        let entry = |known: &KnownServer| {
            let server = &known.server;
            let near = match region(&server.zone) {
                _ if server.zone == self.zone => SAME_ZONE,
                there if there == own => SAME_REGION,
                _ => ELSEWHERE,
            };
            let gets = server.accepts_requests
                && !known.wrong_server
                && !self.evacuated.contains(&server.zone);
            let ready = gets && self.warm_at(known) <= now;
            ServerEntry {
                server: known.number,
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
    pub fn is_remote(&self, number: ServerId) -> bool {
        let there = self
            .get(number)
            .and_then(|known| self.zones.get(&known.server.zone));
        there != self.zones.get(&self.zone)
    }

    /// The address of a server, and its id.
    pub fn address_of(&self, number: ServerId) -> Option<(SocketAddr, &str)> {
        self.get(number)
            .map(|known| (known.server.addr, known.server.id.as_str()))
    }
}

#[cfg(test)]
mod tests;
