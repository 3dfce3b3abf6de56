//! The pool of connections to servers: one authorisation or probe at a time on each, idle ones kept for a while.
//!
//! [`LegState`] is what becomes of one connection, without any input or output.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use streamarch::{Micros, Outcome, ServerId};

use crate::framing::Response;
use crate::slots::{AuthorisationKey, ConnectionKey};

/// What a connection to a server is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamPurpose {
    /// A leg of an authorisation.
    Leg(AuthorisationKey, u32),
    /// A probe.
    Probe,
}

/// Where a connection to a server stands. `E`: what its holder uses connections for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState<E = UpstreamPurpose> {
    /// Not up yet; nothing has been written.
    Connecting(E),
    /// Up, the request not written whole yet.
    Sending(E),
    /// The request's last byte is written.
    Awaiting(E),
    /// Its answer is final and goes on to the client as it comes: the errand is over, the connection is not free.
    Relaying,
    /// Nothing is out on it.
    Idle,
}

impl<E: Copy> UpstreamState<E> {
    /// What it is used for.
    pub fn purpose(self) -> Option<E> {
        match self {
            UpstreamState::Connecting(errand)
            | UpstreamState::Sending(errand)
            | UpstreamState::Awaiting(errand) => Some(errand),
            UpstreamState::Relaying | UpstreamState::Idle => None,
        }
    }

    /// The connection is up.
    pub fn connected(self) -> UpstreamState<E> {
        match self {
            UpstreamState::Connecting(errand) => UpstreamState::Sending(errand),
            other => other,
        }
    }

    /// All that was to be written is written.
    pub fn written(self) -> UpstreamState<E> {
        match self {
            UpstreamState::Sending(errand) => UpstreamState::Awaiting(errand),
            other => other,
        }
    }

    /// The outcome if the connection breaks now. Only what had its last byte written may have run.
    pub fn outcome_if_broken(self) -> Outcome {
        match self {
            UpstreamState::Connecting(_) | UpstreamState::Sending(_) => Outcome::ConnectFailed,
            UpstreamState::Awaiting(_) | UpstreamState::Relaying | UpstreamState::Idle => {
                Outcome::Reset
            }
        }
    }

    /// The outcome if its time is up now. A connection that never came up has carried nothing.
    pub fn outcome_if_timed_out(self) -> Outcome {
        match self {
            UpstreamState::Connecting(_) | UpstreamState::Sending(_) => Outcome::ConnectFailed,
            UpstreamState::Awaiting(_) | UpstreamState::Relaying | UpstreamState::Idle => {
                Outcome::TimedOut
            }
        }
    }
}

/// The outcome that a whole answer stands for.
pub fn response_outcome(answer: &Response) -> Outcome {
    match answer.status {
        200 => Outcome::Ok,
        503 | 504 if answer.headers.get("X-Never-Ran") == Some("1") => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// A server as the pool knows it.
#[derive(Debug)]
struct PooledServer<K> {
    address: SocketAddr,
    listed: bool,
    /// Operators have taken it out: no connection to it rests.
    taken_out: bool,
    connections: usize,
    /// Idle connections and since when; the last one used is used first, so that the others can go.
    idle: Vec<(K, Micros)>,
}

/// Servers and the connections that are open to them, by their keys.
#[derive(Debug)]
pub struct Pool<K = ConnectionKey> {
    servers: BTreeMap<ServerId, PooledServer<K>>,
    connections: usize,
}

impl<K> Default for Pool<K> {
    fn default() -> Pool<K> {
        Pool {
            servers: BTreeMap::new(),
            connections: 0,
        }
    }
}

impl<K: Copy + PartialEq> Pool<K> {
    /// The routing table names this server, at this address. Gives the idle connections to another one: who answers
    /// there now is not this server.
    pub fn add_server(&mut self, server: ServerId, address: SocketAddr) -> Vec<K> {
        let new = || PooledServer {
            address,
            listed: true,
            taken_out: false,
            connections: 0,
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

    /// Operators have taken a server out: gives its idle connections, and keeps none until it is listed anew.
    pub fn take_out_of_service(&mut self, server: ServerId) -> Vec<K> {
        let Some(place) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        place.taken_out = true;
        place.idle.iter().map(|(key, _)| *key).collect()
    }

    /// The server is gone from the routing table; gives its idle connections, which are of no more use.
    pub fn remove_server(&mut self, server: ServerId) -> Vec<K> {
        let Some(place) = self.servers.get_mut(&server) else {
            return Vec::new();
        };
        place.listed = false;
        let idle = place.idle.iter().map(|(key, _)| *key).collect();
        if place.connections == 0 {
            self.servers.remove(&server);
        }
        idle
    }

    /// Where to reach a server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.get(&server).map(|place| place.address)
    }

    /// Connections in all.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// A connection was opened.
    pub fn connection_opened(&mut self, server: ServerId) {
        if let Some(place) = self.servers.get_mut(&server) {
            place.connections += 1;
            self.connections += 1;
        }
    }

    /// A connection was closed, whatever it did.
    pub fn connection_closed(&mut self, server: ServerId, key: K) {
        let Some(place) = self.servers.get_mut(&server) else {
            return;
        };
        place.idle.retain(|(idle, _)| *idle != key);
        place.connections = place.connections.saturating_sub(1);
        self.connections = self.connections.saturating_sub(1);
        if place.connections == 0 && !place.listed {
            self.servers.remove(&server);
        }
    }

    /// A connection has nothing to do. False if the server is gone or taken out: then it is to be closed.
    pub fn release(&mut self, server: ServerId, key: K, now: Micros) -> bool {
        let used = |place: &&mut PooledServer<K>| place.listed && !place.taken_out;
        let Some(place) = self.servers.get_mut(&server).filter(used) else {
            return false;
        };
        place.idle.push((key, now));
        true
    }

    /// An idle connection to a server, the one used last.
    pub fn acquire(&mut self, server: ServerId) -> Option<K> {
        self.servers
            .get_mut(&server)?
            .idle
            .pop()
            .map(|(key, _)| key)
    }

    /// The connection that has been idle longest anywhere.
    pub fn longest_idle(&self) -> Option<K> {
        let firsts = self.servers.values().filter_map(|place| place.idle.first());
        firsts.min_by_key(|(_, since)| *since).map(|(key, _)| *key)
    }

    /// Takes out the connections idle since `before` or longer.
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
