//! The configuration that an agent has received, cached for its proxy, which may connect later or again. Without I/O.

use overload::admission_controller::AdmissionLevel;
use protocol::digests::Digests;
use protocol::items::{Item, Items};
use protocol::messages::{AgentMessage, ClusterView, Completeness, ControlMessage};
use protocol::metrics::MetricsText;
use protocol::platform::Server;

/// A list of servers, with its version and the time in microseconds at which it was received.
#[derive(Clone, Debug)]
struct CachedServerList {
    version: (u64, u64),
    servers: Vec<Server>,
    received_at: i64,
}

/// A limiter that has received nothing from a replica for this long is isolated, in microseconds: its lease has expired, and
/// the other limiters no longer leave it a share of the quotas, at the latest after a restart of replicas that do not know it.
pub const ISOLATION_TIMEOUT: i64 = 3_000_000;
/// A limiter that has received nothing from a replica with a quorum for this long is isolated too, in microseconds: replicas
/// without a quorum count it as a limiter, and so reserve its share, for that long.
pub const QUORUM_LOSS_TIMEOUT: i64 = 8_000_000;

/// The cache of the configuration and of the state of the cluster.
#[derive(Debug, Default)]
pub struct ConfigCache {
    items: Items,
    /// Digests of the items, by bucket.
    digests: Digests,
    server_list: Option<CachedServerList>,
    cluster_view: Option<ClusterView>,
    /// When a message was last received.
    last_received_at: i64,
    /// When a message of a replica with a quorum was last received.
    last_quorum_at: i64,
    /// Whether the current replica is in contact with a quorum.
    has_quorum: bool,
    /// Whether this limiter is isolated, and the proxy was notified of it.
    is_isolated: bool,
    completeness: Completeness,
    /// The cache contains everything that was in force at this time.
    confirmed_at: Option<i64>,
    /// The limiters' clock when it was received, and the time of the receipt on the local clock.
    limiter_clock: Option<(i64, i64)>,
    /// The admission levels of services, and when they were determined.
    levels: Option<(Vec<AdmissionLevel>, i64)>,
}

impl ConfigCache {
    /// Applies a message. Returns the part of it that is new to the proxy, as a message to forward.
    pub fn apply(&mut self, now: i64, message: ControlMessage) -> Option<ControlMessage> {
        // Every message proves that the replica is alive: the cluster view itself is sent only when it changes.
        self.last_received_at = now;
        self.last_quorum_at = if self.has_quorum {
            now
        } else {
            self.last_quorum_at
        };
        match message {
            ControlMessage::ClusterView(view) => {
                self.has_quorum = view.has_quorum;
                if view.has_quorum {
                    (self.last_quorum_at, self.is_isolated) = (now, false);
                }
                // Towards the proxy, `has_quorum` means that this limiter is not isolated.
                let view = ClusterView {
                    has_quorum: !self.is_isolated,
                    ..view
                };
                let content =
                    |view: &ClusterView| (view.limiter_count, view.counter, view.has_quorum);
                let is_unchanged = self
                    .cluster_view
                    .as_ref()
                    .is_some_and(|cached| content(cached) == content(&view));
                self.cluster_view = Some(view.clone());
                (!is_unchanged).then_some(ControlMessage::ClusterView(view))
            }
            ControlMessage::Items(items) => {
                let is_newer = |item: &Item| {
                    self.items
                        .get(&item.name)
                        .is_none_or(|cached| cached.ver < item.ver)
                };
                let new: Vec<Item> = items.into_iter().filter(is_newer).collect();
                for item in &new {
                    self.digests.toggle(&item.name, Digests::item_digest(item));
                    if let Some(old) = self.items.insert(item.name.clone(), item.clone()) {
                        self.digests.toggle(&old.name, Digests::item_digest(&old));
                    }
                }
                (!new.is_empty()).then_some(ControlMessage::Items(new))
            }
            ControlMessage::Servers { version, servers } => {
                if self
                    .server_list
                    .as_ref()
                    .is_some_and(|cached| cached.version >= version)
                {
                    return None;
                }
                self.server_list = Some(CachedServerList {
                    version,
                    servers: servers.clone(),
                    received_at: now,
                });
                Some(ControlMessage::Servers { version, servers })
            }
            ControlMessage::SnapshotComplete => self.raise_completeness(Completeness::Snapshot),
            ControlMessage::Complete => self.raise_completeness(Completeness::Complete),
            ControlMessage::Clock(time) => {
                // The clock that is furthest ahead wins.
                let is_ahead = self.limiter_clock(now).is_none_or(|cached| cached < time);
                self.limiter_clock = if is_ahead {
                    Some((time, now))
                } else {
                    self.limiter_clock
                };
                is_ahead.then_some(ControlMessage::Clock(time))
            }
            ControlMessage::AdmissionLevels { age_us, levels } => {
                self.levels = Some((levels.clone(), now - age_us));
                Some(ControlMessage::AdmissionLevels { age_us, levels })
            }
            ControlMessage::CounterTotals { .. }
            | ControlMessage::NotCounted(_)
            | ControlMessage::Confirmed { .. } => None,
        }
    }

    /// Whether any item may be missing: nothing was received yet that was whole.
    pub fn is_partial(&self) -> bool {
        self.completeness == Completeness::Partial
    }

    fn raise_completeness(&mut self, to: Completeness) -> Option<ControlMessage> {
        self.completeness.raise(to).then(|| to.message()).flatten()
    }

    /// Records that the cache contains everything that was in force at this time.
    pub fn confirm_current_at(&mut self, confirmed_at: i64) {
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// The message that informs the proxy of the maximum age of its configuration; `None` while it is unknown.
    pub fn confirmation(&self, now: i64) -> Option<ControlMessage> {
        let age_us = now - self.confirmed_at?;
        Some(ControlMessage::Confirmed { age_us })
    }

    /// The items, each in the highest version that was received.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Checks whether this limiter has become isolated. If so, returns the message that notifies the proxy, once.
    pub fn check_isolation(&mut self, now: i64) -> Option<ControlMessage> {
        let view = self.cluster_view.as_mut()?;
        if self.is_isolated
            || (now - self.last_received_at < ISOLATION_TIMEOUT
                && now - self.last_quorum_at < QUORUM_LOSS_TIMEOUT)
        {
            return None;
        }
        self.is_isolated = true;
        (view.has_quorum, view.counter) = (false, None);
        Some(ControlMessage::ClusterView(view.clone()))
    }

    /// Digests of the items, from which a control program determines the missing ones; `None` if there are no items.
    pub fn known_digests(&self) -> Option<Vec<u64>> {
        (!self.items.is_empty()).then(|| self.digests.buckets().to_vec())
    }

    /// The summary of the items for the control program.
    pub fn config_state(&self) -> AgentMessage {
        AgentMessage::ConfigState {
            item_count: self.items.len() as u32,
            digest: self.digests.combined(),
        }
    }

    /// Adds the metrics of the cache to a report.
    pub fn add_metrics(&self, text: &mut MetricsText) {
        text.add_gauge(
            "agent_config_items",
            "items that the agent has, removed ones included",
            self.items.len(),
        );
        text.add_gauge(
            "agent_config_digest",
            "digest of their names and versions: equal where they are",
            self.digests.combined(),
        );
    }

    /// The cluster view, without the counter while this limiter is isolated.
    pub fn cluster_view(&self) -> Option<&ClusterView> {
        self.cluster_view.as_ref()
    }

    /// The limiters' clock in microseconds; `None` before it was received.
    pub fn limiter_clock(&self, now: i64) -> Option<i64> {
        self.limiter_clock
            .map(|(time, received_at)| time + (now - received_at))
    }

    /// The messages that bring a newly connected proxy up to date.
    pub fn snapshot(&self, now: i64) -> Vec<ControlMessage> {
        let view = self.cluster_view.clone().map(ControlMessage::ClusterView);
        let items = ControlMessage::Items(self.items.values().cloned().collect());
        let list = self.server_list.as_ref().map(|list| {
            // The remaining warm-up times at the receipt of the list, less the time since.
            let with_remaining_warm_up = |server: &Server| Server {
                warm_up_left_us: (server.warm_up_left_us - (now - list.received_at)).max(0),
                ..server.clone()
            };
            ControlMessage::Servers {
                version: list.version,
                servers: list.servers.iter().map(with_remaining_warm_up).collect(),
            }
        });
        let complete = self.completeness.message();
        let levels =
            self.levels
                .iter()
                .map(|(levels, determined_at)| ControlMessage::AdmissionLevels {
                    age_us: now - determined_at,
                    levels: levels.clone(),
                });
        view.into_iter()
            .chain(self.limiter_clock(now).map(ControlMessage::Clock))
            .chain([items])
            .chain(list)
            .chain(levels)
            .chain(complete)
            .chain(self.confirmation(now))
            .collect()
    }
}

#[cfg(test)]
mod tests;
