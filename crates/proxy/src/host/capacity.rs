//! How late and how full this node is, and which connection is evicted when it is full.

use std::cmp::Reverse;

use dataplane::client_connection::Stage;

use super::*;

/// Most clients' connections at a time; beyond that one is evicted.
const MAX_CLIENTS: usize = 2_600;
/// Most bytes of buffered requests, over all clients.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;
/// Descriptors used for other than connections, and those reserved for files.
const RESERVED_DESCRIPTORS: usize = 240;
/// A wait that ended this soon returned events from before it began.
const MAX_IMMEDIATE_WAIT: Micros = 300;

impl Host {
    /// Most connections of all kinds.
    fn max_connections(&self) -> usize {
        (self.settings.limits.nofile as usize)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(1)
    }

    /// Records how late the loop is with its present input, and how full the node is. The events of
    /// a wait may have occurred during the whole turn before it; where a wait did not return all,
    /// even earlier. A wait that ends late delayed the work that was due.
    pub(super) fn record_node_load(&mut self, began: Micros, until: Micros, count: usize) {
        let (woken, all) = self.connections.last_wake();
        let at_once = woken - began <= MAX_IMMEDIATE_WAIT;
        let behind = if at_once {
            began - self.input_read_until
        } else {
            0
        };
        let late = if until > began {
            (woken - until).max(0)
        } else {
            0
        };
        if all {
            self.input_read_until = woken;
        }
        let shares = [
            self.client_count as f64 / MAX_CLIENTS as f64,
            self.buffered_bytes as f64 / MAX_BUFFERED_BYTES as f64,
            self.connections.len() as f64 / self.max_connections() as f64,
        ];
        let node = self.router.shedding().overload_detector();
        node.record_intake(count, behind.max(late));
        node.set_fill_level(shares.into_iter().fold(0.0, f64::max));
    }

    /// A connection was accepted: if there are too many, the least valuable is evicted. Among
    /// equals it is one whose last request had the lowest tier.
    pub(super) fn evict_excess_client(&mut self, now: Micros) {
        if self.client_count <= MAX_CLIENTS && self.connections.len() < self.max_connections() {
            return;
        }
        let spared = |key: ConnectionId, client: &Client| {
            // Of the events of this wait, this connection's next request may come after the new
            // connection.
            let read = self
                .connections
                .get(key)
                .is_some_and(|connection| !connection.input.is_empty());
            if read && client.connection.stage != Stage::Lingering {
                return None;
            }
            let (rank, since) = client.connection.eviction_rank(now, &self.limits)?;
            Some((rank, Reverse(client.band), since))
        };
        let clients = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Client(client) => Some((spared(key, client)?, key)),
            _ => None,
        });
        if let Some((_, key)) = clients.min() {
            self.remove_client(now, key, CloseReason::Evicted);
        }
    }

    /// If more is buffered than allowed: the request to evict, of those whose body is still
    /// arriving. It is of the lowest tier, and the largest among equals.
    pub(super) fn find_request_to_evict(&self) -> Option<ConnectionId> {
        let coming = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Client(client) if client.connection.stage == Stage::Receiving => {
                Some(((client.band, client.buffered_bytes), key))
            }
            _ => None,
        });
        coming
            .max()
            .filter(|_| self.buffered_bytes > MAX_BUFFERED_BYTES)
            .map(|(_, key)| key)
    }
}
