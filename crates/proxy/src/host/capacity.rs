//! How late and how full this node is, and who goes first where it has no more room.

use std::cmp::Reverse;

use dataplane::visits::Stage;

use super::*;

/// Most connections of clients at a time; what is beyond makes room.
const MAX_CLIENTS: usize = 2_600;
/// Most bytes of requests that are held for all clients together.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;
/// Descriptors that are no connections, and those that are kept for files.
const RESERVED_DESCRIPTORS: usize = 240;
/// A wait that was over so soon brought what was there before it began.
const AT_ONCE: Micros = 300;

impl Host {
    /// Most connections of all kinds.
    fn descriptors(&self) -> usize {
        (self.settings.limits.nofile as usize)
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(1)
    }

    /// How late the loop is with what it takes now, and how full it is. What a wait brought at once may have come during
    /// the whole turn before it; where a wait did not bring all, since earlier still. One that ends late kept what was due.
    pub(super) fn measure_load(&mut self, began: Micros, until: Micros, count: usize) {
        let (woken, all) = self.connections.last_wake();
        let at_once = woken - began <= AT_ONCE;
        let behind = if at_once {
            began - self.caught_up_at
        } else {
            0
        };
        let late = if until > began {
            (woken - until).max(0)
        } else {
            0
        };
        if all {
            self.caught_up_at = woken;
        }
        let shares = [
            self.clients as f64 / MAX_CLIENTS as f64,
            self.buffered_bytes as f64 / MAX_BUFFERED_BYTES as f64,
            self.connections.len() as f64 / self.descriptors() as f64,
        ];
        let node = self.router.shedding().node();
        node.record_intake(count, behind.max(late));
        node.set_fill(shares.into_iter().fold(0.0, f64::max));
    }

    /// A connection was taken: if there are too many, the one that can best be spared goes. Among those alike it is one
    /// whose last request was of the lowest tier.
    pub(super) fn make_room(&mut self, now: Micros) {
        if self.clients <= MAX_CLIENTS && self.connections.len() < self.descriptors() {
            return;
        }
        let spared = |key: ConnectionId, client: &Client| {
            // Danger: of what this wait brought, this connection's next request may stand behind the new connection.
            let read = self
                .connections
                .get(key)
                .is_some_and(|wire| !wire.input.is_empty());
            if read && client.visit.stage != Stage::Lingering {
                return None;
            }
            let (rank, since) = client.visit.spared(now, &self.limits)?;
            Some((rank, Reverse(client.band), since))
        };
        let clients = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Client(client) => Some((spared(key, client)?, key)),
            _ => None,
        });
        if let Some((_, key)) = clients.min() {
            self.client_gone(now, key, CloseReason::Evicted);
        }
    }

    /// If more is held than there is room for: the request that goes for it, of those whose body is still coming. It is of
    /// the lowest tier, and among those alike the largest.
    pub(super) fn evict_buffered(&self) -> Option<ConnectionId> {
        let coming = self.roles.iter().filter_map(|(key, role)| match role {
            Role::Client(client) if client.visit.stage == Stage::Partial => {
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
