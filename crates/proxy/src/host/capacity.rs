//! The load of this node: how far its event loop is behind, and how full its buffers and tables
//! are. Chooses the connection to evict when the node is full.

use std::cmp::Reverse;

use dataplane::client_connection::Stage;

use super::*;

/// Most client connections at a time; beyond that, one is evicted.
const MAX_CLIENTS: usize = 2_600;
/// Most bytes of buffered requests, over all clients.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;
/// File descriptors that are not available for connections: those in other use, and a reserve for
/// files.
const RESERVED_DESCRIPTORS: usize = 240;
/// A wait that ended within this time returned events that occurred before it began.
const MAX_IMMEDIATE_WAIT: Micros = 300;

impl Host {
    /// Most connections of all kinds: the descriptor limit less the reserved descriptors.
    fn max_connections(&self) -> usize {
        (self.settings.limits.nofile as usize)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(1)
    }

    /// Records how far the event loop is behind with its present input, and how full the node is.
    /// `began`, `until`: the beginning and the intended end of the wait; `count`: its input events.
    ///
    /// The events of a wait may have occurred at any time during the iteration before it; if that
    /// wait did not return all events, even earlier. A wait that ends late delays due timers.
    pub(super) fn record_node_load(&mut self, began: Micros, until: Micros, count: usize) {
        let (woken_at, returned_all) = self.connections.last_poll();
        let is_immediate = woken_at - began <= MAX_IMMEDIATE_WAIT;
        let input_delay = if is_immediate {
            began - self.input_read_until
        } else {
            0
        };
        let timer_delay = if until > began {
            (woken_at - until).max(0)
        } else {
            0
        };
        if returned_all {
            self.input_read_until = woken_at;
        }
        let fill_levels = [
            self.client_count as f64 / MAX_CLIENTS as f64,
            self.buffered_bytes as f64 / MAX_BUFFERED_BYTES as f64,
            self.connections.len() as f64 / self.max_connections() as f64,
        ];
        let overload_detector = self.router.shedding().overload_detector();
        overload_detector.record_intake(count, input_delay.max(timer_delay));
        overload_detector.set_fill_level(fill_levels.into_iter().fold(0.0, f64::max));
    }

    /// Evicts a client's connection if there are too many after one was accepted: the one of the
    /// lowest eviction rank, among equals the one whose last request had the lowest priority.
    pub(super) fn evict_excess_client(&mut self, now: Micros) {
        if self.client_count <= MAX_CLIENTS && self.connections.len() < self.max_connections() {
            return;
        }
        let eviction_order = |connection_id: ConnectionId, client: &Client| {
            // A connection with unhandled input is not evicted: among the events of this wait, its
            // next request may come after the new connection.
            let has_input = self
                .connections
                .get(connection_id)
                .is_some_and(|connection| !connection.input.is_empty());
            if has_input && client.connection.stage != Stage::Lingering {
                return None;
            }
            let (rank, since) = client.connection.eviction_rank(now, &self.limits)?;
            Some((rank, Reverse(client.band), since))
        };
        let clients = self
            .roles
            .iter()
            .filter_map(|(connection_id, role)| match role {
                Role::Client(client) => {
                    Some((eviction_order(connection_id, client)?, connection_id))
                }
                _ => None,
            });
        if let Some((_, connection_id)) = clients.min() {
            self.remove_client(now, connection_id, CloseReason::Evicted);
        }
    }

    /// The connection whose request is to be evicted, if more is buffered than allowed. Of the
    /// requests that are still arriving, it is the one of the lowest priority, among equals the
    /// largest.
    pub(super) fn find_request_to_evict(&self) -> Option<ConnectionId> {
        let receiving = self
            .roles
            .iter()
            .filter_map(|(connection_id, role)| match role {
                Role::Client(client) if client.connection.stage == Stage::Receiving => {
                    Some(((client.band, client.buffered_bytes), connection_id))
                }
                _ => None,
            });
        receiving
            .max()
            .filter(|_| self.buffered_bytes > MAX_BUFFERED_BYTES)
            .map(|(_, connection_id)| connection_id)
    }
}
