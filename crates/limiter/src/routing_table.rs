//! The routing table: discovery's server list as known here, with the servers that operators have disabled. Parses the
//! lines of discovery's watch; no I/O.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde_json::Value;
use streamarch::{ListKind, Micros, ServerEntry, ServerId, ServerState};

use crate::disabled_servers::DisabledServers;

/// The changes that a line of discovery or a command of an operator makes to the table.
#[derive(Debug, PartialEq)]
pub struct TableUpdate {
    /// How to interpret the entries.
    pub kind: ListKind,
    /// The entries for the decision module.
    pub entries: Vec<ServerEntry>,
    /// The addresses of the listed servers among the entries.
    pub addresses: Vec<(ServerId, SocketAddr)>,
    /// Those of these servers that operators have disabled: no idle connections to them are kept.
    pub disabled: Vec<ServerId>,
    /// Servers that were removed from the list.
    pub removed: Vec<ServerId>,
}

impl TableUpdate {
    /// An empty update whose entries are to be interpreted as `kind`.
    pub fn new(kind: ListKind) -> TableUpdate {
        TableUpdate {
            kind,
            entries: Vec::new(),
            addresses: Vec::new(),
            disabled: Vec::new(),
            removed: Vec::new(),
        }
    }
}

/// Maximum number of removed servers whose names are remembered, so that operators can still name them.
const MAX_REMOVED_NAMES: usize = 4_096;

/// A server as listed by discovery.
#[derive(Debug)]
struct ListedServer {
    entry: ServerEntry,
    address: Option<SocketAddr>,
}

/// The listed servers by name, the numbers given to them, and the version of the list.
#[derive(Debug, Default)]
pub struct RoutingTable {
    zones: Vec<String>,
    machine_types: Vec<String>,
    /// Version of the list that was last applied.
    pub list_version: u64,
    listed: BTreeMap<String, ListedServer>,
    removed_names: VecDeque<String>,
    disabled: DisabledServers,
    last_server_number: u32,
}

/// A command names a server that no list has contained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownServer;

impl std::fmt::Display for UnknownServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no server of this id was ever listed")
    }
}

impl std::error::Error for UnknownServer {}

/// Why a server list is malformed.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedList(pub &'static str);

impl std::fmt::Display for MalformedList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "malformed server list: {}", self.0)
    }
}

impl std::error::Error for MalformedList {}

/// The position of `name` in `names`; 0 if it is absent or not a string.
fn position_of(names: &[String], name: &Value) -> u32 {
    let position = name
        .as_str()
        .and_then(|name| names.iter().position(|n| n == name));
    position.map_or(0, |n| n as u32)
}

impl RoutingTable {
    /// Creates an empty table. Zones and machine types are numbered by their positions in `zones` and `machine_types`.
    pub fn new(zones: Vec<String>, machine_types: Vec<String>) -> RoutingTable {
        RoutingTable {
            zones,
            machine_types,
            ..RoutingTable::default()
        }
    }

    /// Whether some server is listed as ready and not disabled.
    pub fn has_usable_server(&self) -> bool {
        let is_usable = |(name, server): (&String, &ListedServer)| {
            server.entry.state == ServerState::Ready && !self.disabled.is_disabled(name)
        };
        self.listed.iter().any(is_usable)
    }

    /// Whether some server is listed as ready, disabled or not.
    pub fn has_ready_server(&self) -> bool {
        self.listed
            .values()
            .any(|server| server.entry.state == ServerState::Ready)
    }

    /// Applies a complete list that was saved earlier and may be stale.
    ///
    /// # Errors
    /// The list is malformed.
    pub fn load_cached(&mut self, list: &Value) -> Result<TableUpdate, MalformedList> {
        let mut update = self.apply_list(list)?;
        update.kind = ListKind::Cached;
        Ok(update)
    }

    /// Applies one line of a watch. `None` for a blank line, which changes nothing.
    ///
    /// # Errors
    /// The line is malformed.
    pub fn apply_line(&mut self, line: &[u8]) -> Result<Option<TableUpdate>, MalformedList> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let value: Value = serde_json::from_slice(line).map_err(|_| MalformedList("not JSON"))?;
        self.apply_list(&value).map(Some)
    }

    fn apply_list(&mut self, list: &Value) -> Result<TableUpdate, MalformedList> {
        let version = list["index"]
            .as_u64()
            .ok_or(MalformedList("missing or invalid 'index'"))?;
        let is_full = list["snapshot"]
            .as_bool()
            .ok_or(MalformedList("missing or invalid 'snapshot'"))?;
        let endpoints = list["endpoints"]
            .as_array()
            .ok_or(MalformedList("missing or invalid 'endpoints'"))?;
        let kind = if is_full {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        let mut update = TableUpdate::new(kind);
        // All entries are parsed before the table changes: a malformed list must not be applied in part.
        let entries = endpoints
            .iter()
            .map(|endpoint| self.parse_entry(endpoint))
            .collect::<Result<Vec<_>, _>>()?;
        if is_full {
            let is_listed = |name: &str| entries.iter().any(|(n, _, _)| n == name);
            let missing: Vec<String> = self
                .listed
                .keys()
                .filter(|n| !is_listed(n))
                .cloned()
                .collect();
            missing
                .iter()
                .for_each(|name| self.remove_listed(name, &mut update));
        }
        for (name, address, mut entry) in entries {
            let known_server = self.listed.get(&name).map(|known| known.entry.server);
            if entry.state == ServerState::Removed {
                // The removal of a server that is not listed changes nothing.
                if let Some(server) = known_server {
                    entry.server = server;
                    self.remove_listed(&name, &mut update);
                    update.entries.push(entry);
                }
                continue;
            }
            entry.server = known_server.unwrap_or_else(|| {
                self.last_server_number += 1;
                ServerId(self.last_server_number)
            });
            self.listed
                .insert(name.clone(), ListedServer { entry, address });
            self.append_entry(&name, &mut update);
        }
        self.list_version = version;
        Ok(update)
    }

    fn remove_listed(&mut self, name: &str, update: &mut TableUpdate) {
        let Some(removed) = self.listed.remove(name) else {
            return;
        };
        update.removed.push(removed.entry.server);
        self.removed_names.push_back(name.to_string());
        if self.removed_names.len() > MAX_REMOVED_NAMES {
            self.removed_names.pop_front();
        }
    }

    /// Appends a listed server to the update, with its entry as overridden by the operators.
    fn append_entry(&self, name: &str, update: &mut TableUpdate) {
        let Some(listed) = self.listed.get(name) else {
            return;
        };
        let server = listed.entry.server;
        update
            .entries
            .push(self.disabled.apply_to(name, &listed.entry));
        update
            .addresses
            .extend(listed.address.map(|address| (server, address)));
        update
            .disabled
            .extend(self.disabled.is_disabled(name).then_some(server));
    }

    /// Disables a server. Returns whether that changed anything, and the update.
    ///
    /// # Errors
    /// No list has contained the server.
    pub fn disable(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<(bool, TableUpdate), UnknownServer> {
        self.change_disabled(name, |disabled| disabled.disable(name, now))
    }

    /// Enables a server again, however often it was disabled. Returns whether that changed anything, and the update.
    ///
    /// # Errors
    /// No list has contained the server.
    pub fn enable(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<(bool, TableUpdate), UnknownServer> {
        self.change_disabled(name, |disabled| disabled.enable(name, now))
    }

    /// The servers that operators have disabled.
    pub fn disabled_servers(&self) -> &DisabledServers {
        &self.disabled
    }

    /// Takes over later changes of disabled servers from another process of this limiter.
    pub fn merge(&mut self, other: &DisabledServers) -> TableUpdate {
        let mut update = TableUpdate::new(ListKind::Changes);
        self.disabled
            .merge(other)
            .iter()
            .for_each(|name| self.append_entry(name, &mut update));
        update
    }

    fn change_disabled(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut DisabledServers) -> bool,
    ) -> Result<(bool, TableUpdate), UnknownServer> {
        // A server that the previous process has disabled is accepted even if it has not been listed since.
        if !self.listed.contains_key(name)
            && !self.removed_names.iter().any(|removed| removed == name)
            && !self.disabled.is_disabled(name)
        {
            return Err(UnknownServer);
        }
        let changed = change(&mut self.disabled);
        let mut update = TableUpdate::new(ListKind::Changes);
        self.append_entry(name, &mut update);
        Ok((changed, update))
    }

    fn parse_entry(
        &self,
        endpoint: &Value,
    ) -> Result<(String, Option<SocketAddr>, ServerEntry), MalformedList> {
        let name = endpoint["name"]
            .as_str()
            .ok_or(MalformedList("missing or invalid 'name'"))?;
        let state = match endpoint["status"].as_str() {
            Some("Ready") => ServerState::Ready,
            Some("Terminating") => ServerState::Draining,
            Some("Gone") => ServerState::Removed,
            _ => return Err(MalformedList("missing or invalid 'status'")),
        };
        let address = endpoint["address"].as_str().and_then(|a| a.parse().ok());
        if address.is_none() && state != ServerState::Removed {
            return Err(MalformedList("missing or invalid 'address'"));
        }
        let entry = ServerEntry {
            server: ServerId(0),
            zone: position_of(&self.zones, &endpoint["zone"]),
            machine_type: position_of(&self.machine_types, &endpoint["type"]),
            cell: endpoint["group"]
                .as_u64()
                .and_then(|g| u32::try_from(g).ok())
                .unwrap_or(0),
            state,
            weight: endpoint["weight"].as_f64().unwrap_or(1.0),
            started_at: endpoint["since_ms"]
                .as_i64()
                .unwrap_or(0)
                .saturating_mul(1_000),
        };
        Ok((name.to_string(), address, entry))
    }
}

#[cfg(test)]
mod tests;
