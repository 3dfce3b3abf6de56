//! The pool of connections to servers. Each connection carries one attempt or health check at a
//! time; idle connections are kept for reuse.
//!
//! [`UpstreamState`] is the state machine of one connection. Without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use streamarch::{Micros, Outcome, ServerId};

use crate::framing::Response;
use crate::slots::{AuthorisationKey, ConnectionKey};

/// What a connection to a server is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPurpose {
    /// An attempt of an authorisation, with its number.
    Attempt(AuthorisationKey, u32),
    /// A health check.
    Probe,
}

/// The state of a connection to a server. `P` is the host's type for its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState<P = UpstreamPurpose> {
    /// The connection is not established; nothing has been written.
    Connecting(P),
    /// The connection is established, and the request not completely written.
    Sending(P),
    /// The request's last byte is written.
    AwaitingResponse(P),
    /// The final response is being streamed to the client: the purpose is fulfilled, but the
    /// connection is not free.
    Relaying,
    /// No request is in flight.
    Idle,
}

impl<P: Copy> UpstreamState<P> {
    /// The purpose, while there is one.
    pub fn purpose(self) -> Option<P> {
        match self {
            UpstreamState::Connecting(purpose)
            | UpstreamState::Sending(purpose)
            | UpstreamState::AwaitingResponse(purpose) => Some(purpose),
            UpstreamState::Relaying | UpstreamState::Idle => None,
        }
    }

    /// The state after the connection was established.
    pub fn on_connected(self) -> UpstreamState<P> {
        match self {
            UpstreamState::Connecting(purpose) => UpstreamState::Sending(purpose),
            other => other,
        }
    }

    /// The state after all output was written.
    pub fn on_request_written(self) -> UpstreamState<P> {
        match self {
            UpstreamState::Sending(purpose) => UpstreamState::AwaitingResponse(purpose),
            other => other,
        }
    }

    /// The outcome if the connection breaks now. Only a completely written request may have run.
    pub fn outcome_if_broken(self) -> Outcome {
        match self {
            UpstreamState::Connecting(_) | UpstreamState::Sending(_) => Outcome::ConnectFailed,
            UpstreamState::AwaitingResponse(_) | UpstreamState::Relaying | UpstreamState::Idle => {
                Outcome::Reset
            }
        }
    }

    /// The outcome if the attempt times out now. A request that is not completely written cannot
    /// have run.
    pub fn outcome_if_timed_out(self) -> Outcome {
        match self {
            UpstreamState::Connecting(_) | UpstreamState::Sending(_) => Outcome::ConnectFailed,
            UpstreamState::AwaitingResponse(_) | UpstreamState::Relaying | UpstreamState::Idle => {
                Outcome::TimedOut
            }
        }
    }
}

/// The outcome of an attempt that was answered with this response.
pub fn response_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Ok,
        503 | 504 if response.headers.get("X-Never-Ran") == Some("1") => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// A server in the pool.
#[derive(Debug)]
struct PooledServer<K> {
    address: SocketAddr,
    is_listed: bool,
    /// Operators have taken it out of service: its connections are not kept.
    is_out_of_service: bool,
    connection_count: usize,
    /// Idle connections, and since when. The one used last is reused first, so that the others
    /// expire.
    idle: Vec<(K, Micros)>,
}

/// The servers, and the connections to them by key.
#[derive(Debug)]
pub struct ConnectionPool<K = ConnectionKey> {
    servers: BTreeMap<ServerId, PooledServer<K>>,
    connection_count: usize,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> ConnectionPool<K> {
        ConnectionPool {
            servers: BTreeMap::new(),
            connection_count: 0,
        }
    }
}

impl<K: Copy + PartialEq> ConnectionPool<K> {
    /// Adds a server, or updates its address. Returns the idle connections to its earlier address,
    /// where another server may answer now; they are to be closed.
    pub fn add_server(&mut self, server: ServerId, address: SocketAddr) -> Vec<K> {
        let new = || PooledServer {
            address,
            is_listed: true,
            is_out_of_service: false,
            connection_count: 0,
            idle: Vec::new(),
        };
        let pooled = self.servers.entry(server).or_insert_with(new);
        let address_changed = std::mem::replace(&mut pooled.address, address) != address;
        (pooled.is_listed, pooled.is_out_of_service) = (true, false);
        if address_changed {
            pooled.idle.iter().map(|(key, _)| *key).collect()
        } else {
            Vec::new()
        }
    }

    /// Takes a server out of service until it is added again. Returns its idle connections, to be
    /// closed.
    pub fn take_out_of_service(&mut self, server: ServerId) -> Vec<K> {
        let Some(pooled) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        pooled.is_out_of_service = true;
        pooled.idle.iter().map(|(key, _)| *key).collect()
    }

    /// Removes a server that is no longer listed. Returns its idle connections, to be closed.
    pub fn remove_server(&mut self, server: ServerId) -> Vec<K> {
        let Some(pooled) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        pooled.is_listed = false;
        let idle = pooled.idle.iter().map(|(key, _)| *key).collect();
        if pooled.connection_count == 0 {
            self.servers.remove(&server);
        }
        idle
    }

    /// The address of a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|pooled| pooled.address)
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connection_count
    }

    /// Counts a connection that was opened.
    pub fn record_opened(&mut self, server: ServerId) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.connection_count += 1;
            self.connection_count += 1;
        }
    }

    /// Removes a connection that was closed, in whatever state it was.
    pub fn record_closed(&mut self, server: ServerId, key: K) {
        let Some(pooled) = self.servers.get_mut(&server) else {
            return;
        };
        pooled.idle.retain(|(idle, _)| *idle != key);
        pooled.connection_count = pooled.connection_count.saturating_sub(1);
        self.connection_count = self.connection_count.saturating_sub(1);
        if pooled.connection_count == 0 && !pooled.is_listed {
            self.servers.remove(&server);
        }
    }

    /// Returns a connection to the pool. False if the server is gone or out of service: the
    /// connection is to be closed.
    pub fn release(&mut self, server: ServerId, key: K, now: Micros) -> bool {
        let is_in_service =
            |pooled: &&mut PooledServer<K>| pooled.is_listed && !pooled.is_out_of_service;
        let Some(pooled) = self.servers.get_mut(&server).filter(is_in_service) else {
            return false;
        };
        pooled.idle.push((key, now));
        true
    }

    /// Takes an idle connection to a server out of the pool: the one used last.
    pub fn acquire(&mut self, server: ServerId) -> Option<K> {
        self.servers
            .get_mut(&server)?
            .idle
            .pop()
            .map(|(key, _)| key)
    }

    /// The connection that has been idle longest, of all servers.
    pub fn longest_idle_connection(&self) -> Option<K> {
        let longest_by_server = self
            .servers
            .values()
            .filter_map(|pooled| pooled.idle.first());
        longest_by_server
            .min_by_key(|(_, since)| *since)
            .map(|(key, _)| *key)
    }

    /// Takes the connections that have been idle since `idle_since` or longer out of the pool.
    pub fn take_expired(&mut self, idle_since: Micros) -> Vec<K> {
        let mut expired = Vec::new();
        for pooled in self.servers.values_mut() {
            expired.extend(
                pooled
                    .idle
                    .extract_if(.., |(_, since)| *since <= idle_since)
                    .map(|(key, _)| key),
            );
        }
        expired
    }
}
