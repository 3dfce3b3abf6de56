//! The pool of connections to servers: one attempt or health check at a time on each, and idle ones
//! kept for reuse.
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

/// The state of a connection to a server. `E`: the host's type for its purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState<E = UpstreamPurpose> {
    /// Not established; nothing has been written.
    Connecting(E),
    /// Established, and the request not completely written.
    Sending(E),
    /// The request's last byte is written.
    AwaitingResponse(E),
    /// The final answer is being streamed to the client: the purpose is fulfilled, but the
    /// connection is not free.
    Relaying,
    /// Nothing is in flight on it.
    Idle,
}

impl<E: Copy> UpstreamState<E> {
    /// The purpose, while there is one.
    pub fn purpose(self) -> Option<E> {
        match self {
            UpstreamState::Connecting(errand)
            | UpstreamState::Sending(errand)
            | UpstreamState::AwaitingResponse(errand) => Some(errand),
            UpstreamState::Relaying | UpstreamState::Idle => None,
        }
    }

    /// The state after the connection was established.
    pub fn on_connected(self) -> UpstreamState<E> {
        match self {
            UpstreamState::Connecting(errand) => UpstreamState::Sending(errand),
            other => other,
        }
    }

    /// The state after all output was written.
    pub fn on_request_written(self) -> UpstreamState<E> {
        match self {
            UpstreamState::Sending(errand) => UpstreamState::AwaitingResponse(errand),
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

    /// The outcome if the time is up now. A connection that was never established has carried
    /// nothing.
    pub fn outcome_if_timed_out(self) -> Outcome {
        match self {
            UpstreamState::Connecting(_) | UpstreamState::Sending(_) => Outcome::ConnectFailed,
            UpstreamState::AwaitingResponse(_) | UpstreamState::Relaying | UpstreamState::Idle => {
                Outcome::TimedOut
            }
        }
    }
}

/// The outcome that a complete response stands for.
pub fn response_outcome(answer: &Response) -> Outcome {
    match answer.status {
        200 => Outcome::Ok,
        503 | 504 if answer.headers.get("X-Never-Ran") == Some("1") => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// A server in the pool.
#[derive(Debug)]
struct PooledServer<K> {
    address: SocketAddr,
    listed: bool,
    /// Operators have taken it out of service: its connections are not kept.
    taken_out: bool,
    connection_count: usize,
    /// Idle connections and since when. The last one used is reused first, so that the others
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
    /// Adds a server, or updates its address; returns its idle connections to an earlier address,
    /// where another server may answer now.
    pub fn add_server(&mut self, server: ServerId, address: SocketAddr) -> Vec<K> {
        let new = || PooledServer {
            address,
            listed: true,
            taken_out: false,
            connection_count: 0,
            idle: Vec::new(),
        };
        let place = self.servers.entry(server).or_insert_with(new);
        let moved = std::mem::replace(&mut place.address, address) != address;
        (place.listed, place.taken_out) = (true, false);
        if moved {
            place.idle.iter().map(|(key, _)| *key).collect()
        } else {
            Vec::new()
        }
    }

    /// Takes a server out of service until it is added again; returns its idle connections, to be
    /// closed.
    pub fn take_out_of_service(&mut self, server: ServerId) -> Vec<K> {
        let Some(place) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        place.taken_out = true;
        place.idle.iter().map(|(key, _)| *key).collect()
    }

    /// Removes a server that is no longer listed; returns its idle connections, to be closed.
    pub fn remove_server(&mut self, server: ServerId) -> Vec<K> {
        let Some(place) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        place.listed = false;
        let idle = place.idle.iter().map(|(key, _)| *key).collect();
        if place.connection_count == 0 {
            self.servers.remove(&server);
        }
        idle
    }

    /// The address of a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|place| place.address)
    }

    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connection_count
    }

    /// A connection was opened.
    pub fn record_opened(&mut self, server: ServerId) {
        if let Some(place) = self.servers.get_mut(&server) {
            place.connection_count += 1;
            self.connection_count += 1;
        }
    }

    /// A connection was closed, in whatever state.
    pub fn record_closed(&mut self, server: ServerId, key: K) {
        let Some(place) = self.servers.get_mut(&server) else {
            return;
        };
        place.idle.retain(|(idle, _)| *idle != key);
        place.connection_count = place.connection_count.saturating_sub(1);
        self.connection_count = self.connection_count.saturating_sub(1);
        if place.connection_count == 0 && !place.listed {
            self.servers.remove(&server);
        }
    }

    /// Returns a connection to the pool. False if the server is gone or out of service: the
    /// connection is to be closed.
    pub fn release(&mut self, server: ServerId, key: K, now: Micros) -> bool {
        let used = |place: &&mut PooledServer<K>| place.listed && !place.taken_out;
        let Some(place) = self.servers.get_mut(&server).filter(used) else {
            return false;
        };
        place.idle.push((key, now));
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
        let firsts = self.servers.values().filter_map(|place| place.idle.first());
        firsts.min_by_key(|(_, since)| *since).map(|(key, _)| *key)
    }

    /// Takes the connections idle since `before` or longer out of the pool.
    pub fn take_expired(&mut self, before: Micros) -> Vec<K> {
        let mut old = Vec::new();
        for place in self.servers.values_mut() {
            old.extend(
                place
                    .idle
                    .extract_if(.., |(_, since)| *since <= before)
                    .map(|(key, _)| key),
            );
        }
        old
    }
}
