//! The routing table: discovery's list as it stands here, what its lines say, and the operators' bans over it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde_json::Value;
use streamarch::{ListKind, Micros, ServerEntry, ServerId, ServerState};

use crate::disabled_servers::DisabledServers;

/// What a line of discovery changes.
#[derive(Debug, PartialEq)]
pub struct TableUpdate {
    /// How the entries are to be read.
    pub kind: ListKind,
    /// The entries for the module.
    pub entries: Vec<ServerEntry>,
    /// Where the servers are that may be used.
    pub addresses: Vec<(ServerId, SocketAddr)>,
    /// Of those, the ones that operators have taken out: no connection to them is kept for later.
    pub disabled: Vec<ServerId>,
    /// Servers that are gone.
    pub removed: Vec<ServerId>,
}

impl TableUpdate {
    /// Nothing yet, to be read like this.
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

/// Names of servers that are gone and still known to have been listed.
const PAST: usize = 4_096;

/// A server as discovery has it.
#[derive(Debug)]
struct ListedServer {
    entry: ServerEntry,
    address: Option<SocketAddr>,
}

/// Names and numbers of servers, and the version of the list.
#[derive(Debug, Default)]
pub struct RoutingTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Version of the list as held.
    pub list_version: u64,
    listed: BTreeMap<String, ListedServer>,
    past: VecDeque<String>,
    bans: DisabledServers,
    next: u32,
}

/// A call that names a server which no list has ever named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownServer;

impl std::fmt::Display for UnknownServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no server of this id was ever listed")
    }
}

impl std::error::Error for UnknownServer {}

/// Why a line of discovery is not taken.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedList(pub &'static str);

impl std::fmt::Display for MalformedList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "bad list: {}", self.0)
    }
}

impl std::error::Error for MalformedList {}

fn position(names: &[String], name: &Value) -> u32 {
    let found = name
        .as_str()
        .and_then(|name| names.iter().position(|n| n == name));
    found.map_or(0, |n| n as u32)
}

impl RoutingTable {
    /// An empty table; `zones` and `kinds` give the names their numbers.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> RoutingTable {
        RoutingTable {
            zones,
            kinds,
            ..RoutingTable::default()
        }
    }

    /// Some server may be used.
    pub fn has_usable_server(&self) -> bool {
        let ready = |(name, known): (&String, &ListedServer)| {
            known.entry.state == ServerState::Ready && !self.bans.is_disabled(name)
        };
        self.listed.iter().any(ready)
    }

    /// Some server is listed as ready, taken out or not.
    pub fn has_ready_server(&self) -> bool {
        self.listed
            .values()
            .any(|known| known.entry.state == ServerState::Ready)
    }

    /// Reads the list as last held.
    ///
    /// # Errors
    /// The list is malformed.
    pub fn load_cached(&mut self, list: &Value) -> Result<TableUpdate, MalformedList> {
        let mut news = self.read(list)?;
        news.kind = ListKind::Cached;
        Ok(news)
    }

    /// Reads one line of a watch; an empty one brings nothing.
    ///
    /// # Errors
    /// The line is malformed.
    pub fn apply_line(&mut self, line: &[u8]) -> Result<Option<TableUpdate>, MalformedList> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(None);
        }
        let value: Value = serde_json::from_slice(line).map_err(|_| MalformedList("not JSON"))?;
        self.read(&value).map(Some)
    }

    fn read(&mut self, list: &Value) -> Result<TableUpdate, MalformedList> {
        let index = list["index"].as_u64().ok_or(MalformedList("index"))?;
        let full = list["snapshot"]
            .as_bool()
            .ok_or(MalformedList("snapshot"))?;
        let lines = list["endpoints"]
            .as_array()
            .ok_or(MalformedList("endpoints"))?;
        let kind = if full {
            ListKind::Full
        } else {
            ListKind::Changes
        };
        let mut news = TableUpdate::new(kind);
        // All is read before any of it is taken: half a list must not replace a whole one.
        let read = lines
            .iter()
            .map(|line| self.entry(line))
            .collect::<Result<Vec<_>, _>>()?;
        if full {
            let named = |name: &str| read.iter().any(|(n, _, _)| n == name);
            let lost: Vec<String> = self.listed.keys().filter(|n| !named(n)).cloned().collect();
            lost.iter()
                .for_each(|name| self.drop_listed(name, &mut news));
        }
        for (name, address, mut entry) in read {
            let known = self.listed.get(&name).map(|known| known.entry.server);
            if entry.state == ServerState::Removed {
                // An end that nobody knew the start of says nothing.
                if let Some(server) = known {
                    entry.server = server;
                    self.drop_listed(&name, &mut news);
                    news.entries.push(entry);
                }
                continue;
            }
            entry.server = known.unwrap_or_else(|| {
                self.next += 1;
                ServerId(self.next)
            });
            self.listed
                .insert(name.clone(), ListedServer { entry, address });
            self.tell(&name, &mut news);
        }
        self.list_version = index;
        Ok(news)
    }

    fn drop_listed(&mut self, name: &str, news: &mut TableUpdate) {
        let Some(known) = self.listed.remove(name) else {
            return;
        };
        news.removed.push(known.entry.server);
        self.past.push_back(name.to_string());
        if self.past.len() > PAST {
            self.past.pop_front();
        }
    }

    /// What holds of a listed server now, with the bans over the list.
    fn tell(&self, name: &str, news: &mut TableUpdate) {
        let Some(known) = self.listed.get(name) else {
            return;
        };
        let server = known.entry.server;
        news.entries.push(self.bans.apply_to(name, &known.entry));
        news.addresses
            .extend(known.address.map(|address| (server, address)));
        news.disabled
            .extend(self.bans.is_disabled(name).then_some(server));
    }

    /// Takes a server out. Whether that changes anything, and what there is to tell.
    ///
    /// # Errors
    /// No list has ever named it.
    pub fn disable(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<(bool, TableUpdate), UnknownServer> {
        self.ban(name, |bans| bans.disable(name, now))
    }

    /// Uses a server again, however often it was taken out; likewise.
    ///
    /// # Errors
    /// No list has ever named it.
    pub fn enable(
        &mut self,
        name: &str,
        now: Micros,
    ) -> Result<(bool, TableUpdate), UnknownServer> {
        self.ban(name, |bans| bans.enable(name, now))
    }

    /// The servers that are taken out.
    pub fn disabled_servers(&self) -> &DisabledServers {
        &self.bans
    }

    /// Takes over the bans that another process of this limiter knows later.
    pub fn merge(&mut self, bans: &DisabledServers) -> TableUpdate {
        let mut news = TableUpdate::new(ListKind::Changes);
        self.bans
            .merge(bans)
            .iter()
            .for_each(|name| self.tell(name, &mut news));
        news
    }

    fn ban(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut DisabledServers) -> bool,
    ) -> Result<(bool, TableUpdate), UnknownServer> {
        // A ban of the process before holds here, also where its server has not been listed since.
        if !self.listed.contains_key(name)
            && !self.past.iter().any(|past| past == name)
            && !self.bans.is_disabled(name)
        {
            return Err(UnknownServer);
        }
        let changed = change(&mut self.bans);
        let mut news = TableUpdate::new(ListKind::Changes);
        self.tell(name, &mut news);
        Ok((changed, news))
    }

    fn entry(
        &self,
        line: &Value,
    ) -> Result<(String, Option<SocketAddr>, ServerEntry), MalformedList> {
        let name = line["name"].as_str().ok_or(MalformedList("name"))?;
        let state = match line["status"].as_str() {
            Some("Ready") => ServerState::Ready,
            Some("Terminating") => ServerState::Draining,
            Some("Gone") => ServerState::Removed,
            _ => return Err(MalformedList("status")),
        };
        let address = line["address"].as_str().and_then(|a| a.parse().ok());
        if address.is_none() && state != ServerState::Removed {
            return Err(MalformedList("address"));
        }
        let entry = ServerEntry {
            server: ServerId(0),
            zone: position(&self.zones, &line["zone"]),
            machine_type: position(&self.kinds, &line["type"]),
            cell: line["group"]
                .as_u64()
                .and_then(|g| u32::try_from(g).ok())
                .unwrap_or(0),
            state,
            weight: line["weight"].as_f64().unwrap_or(1.0),
            started_at: line["since_ms"].as_i64().unwrap_or(0).saturating_mul(1_000),
        };
        Ok((name.to_string(), address, entry))
    }
}

#[cfg(test)]
mod tests;
