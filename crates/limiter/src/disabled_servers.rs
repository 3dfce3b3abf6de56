//! The servers that operators have disabled. The set overrides discovery's list: a disabled server counts as draining
//! until it is enabled again, whatever the list says. No I/O, and no copy of the list.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use streamarch::{Micros, ServerEntry, ServerState};

/// The last change that operators made to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    /// When the server was disabled.
    #[serde(rename = "out")]
    disabled_at: Micros,
    /// When it was enabled again; `None` while it is disabled.
    #[serde(rename = "back")]
    enabled_at: Option<Micros>,
}

impl Change {
    fn last_changed_at(&self) -> Micros {
        self.enabled_at.unwrap_or(self.disabled_at)
    }
}

/// The servers that operators have disabled at some time, by name, with the times of the last change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DisabledServers(BTreeMap<String, Change>);

impl DisabledServers {
    /// Whether the server is disabled now.
    pub fn is_disabled(&self, name: &str) -> bool {
        self.0
            .get(name)
            .is_some_and(|change| change.enabled_at.is_none())
    }

    /// The time to record for a change at `now`: later than the last change, because another process may have recorded
    /// that one by a clock that is ahead, and the later change must win.
    fn next_change_at(&self, name: &str, now: Micros) -> Micros {
        self.0
            .get(name)
            .map_or(now, |change| now.max(change.last_changed_at() + 1))
    }

    /// Disables a server. Returns false if it was disabled already; then the time of the first call is kept.
    pub fn disable(&mut self, name: &str, now: Micros) -> bool {
        let newly_disabled = !self.is_disabled(name);
        if newly_disabled {
            self.0.insert(
                name.to_string(),
                Change {
                    disabled_at: self.next_change_at(name, now),
                    enabled_at: None,
                },
            );
        }
        newly_disabled
    }

    /// Enables a server again, however often it was disabled. Returns false if it was not disabled.
    pub fn enable(&mut self, name: &str, now: Micros) -> bool {
        let enabled_at = self.next_change_at(name, now);
        let Some(change) = self
            .0
            .get_mut(name)
            .filter(|change| change.enabled_at.is_none())
        else {
            return false;
        };
        change.enabled_at = Some(enabled_at);
        true
    }

    /// Takes over the changes of another process of this limiter that are later than those known here. Returns the names of
    /// the servers that they concern.
    pub fn merge(&mut self, other: &DisabledServers) -> Vec<String> {
        let is_later = |(name, change): &(&String, &Change)| {
            self.0
                .get(*name)
                .is_none_or(|known| known.last_changed_at() < change.last_changed_at())
        };
        let changes: Vec<(String, Change)> = other
            .0
            .iter()
            .filter(is_later)
            .map(|(name, change)| (name.clone(), *change))
            .collect();
        self.0.extend(changes.iter().cloned());
        changes.into_iter().map(|(name, _)| name).collect()
    }

    /// The list's entry for a server with the operators' changes applied.
    ///
    /// A server is usually restarted while it is disabled and comes back cold, but the list may not show that start. If
    /// the list shows no start since the server was disabled, the time at which it was enabled counts as its start.
    pub fn apply_to(&self, name: &str, listed: &ServerEntry) -> ServerEntry {
        let mut entry = listed.clone();
        match self.0.get(name) {
            Some(Change {
                enabled_at: None, ..
            }) if entry.state == ServerState::Ready => entry.state = ServerState::Draining,
            Some(Change {
                disabled_at,
                enabled_at: Some(enabled_at),
            }) if entry.started_at < *disabled_at => entry.started_at = *enabled_at,
            _ => {}
        }
        entry
    }
}
