//! Servers that operators have taken out. The set lies over discovery's list: whatever that says of such a server, here
//! it drains until the call back. No input or output, and nothing of the list itself.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use streamarch::{Micros, ServerEntry, ServerState};

/// What operators last asked for of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Mark {
    /// When it was taken out.
    out: Micros,
    /// When it was called back, if it was.
    back: Option<Micros>,
}

impl Mark {
    fn changed(&self) -> Micros {
        self.back.unwrap_or(self.out)
    }
}

/// Who was taken out when, and who was called back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DisabledServers(BTreeMap<String, Mark>);

impl DisabledServers {
    /// Whether a server is taken out.
    pub fn is_disabled(&self, name: &str) -> bool {
        self.0.get(name).is_some_and(|mark| mark.back.is_none())
    }

    /// Guards against a clock that is behind the one by which another process marked the server: the later call holds.
    fn next(&self, name: &str, now: Micros) -> Micros {
        self.0
            .get(name)
            .map_or(now, |mark| now.max(mark.changed() + 1))
    }

    /// Takes a server out; false if it was out. The first call's time goes on to count.
    pub fn disable(&mut self, name: &str, now: Micros) -> bool {
        let first = !self.is_disabled(name);
        if first {
            self.0.insert(
                name.to_string(),
                Mark {
                    out: self.next(name, now),
                    back: None,
                },
            );
        }
        first
    }

    /// Calls a server back, however often it was taken out; false if it was not.
    pub fn enable(&mut self, name: &str, now: Micros) -> bool {
        let called = self.next(name, now);
        let Some(mark) = self.0.get_mut(name).filter(|mark| mark.back.is_none()) else {
            return false;
        };
        mark.back = Some(called);
        true
    }

    /// Takes over what another process of this limiter knows later. Gives the names of which something has changed.
    pub fn merge(&mut self, other: &DisabledServers) -> Vec<String> {
        let later = |(name, mark): &(&String, &Mark)| {
            self.0
                .get(*name)
                .is_none_or(|known| known.changed() < mark.changed())
        };
        let news: Vec<(String, Mark)> = other
            .0
            .iter()
            .filter(later)
            .map(|(name, mark)| (name.clone(), *mark))
            .collect();
        self.0.extend(news.iter().cloned());
        news.into_iter().map(|(name, _)| name).collect()
    }

    /// An entry of the list as it holds with the bans over it.
    ///
    /// Danger: a server is restarted while it is out, and comes back cold, whether or not the list tells of that start.
    /// Where it tells of none since the ban, the call back counts as the start.
    pub fn apply_to(&self, name: &str, listed: &ServerEntry) -> ServerEntry {
        let mut entry = listed.clone();
        match self.0.get(name) {
            Some(Mark { back: None, .. }) if entry.state == ServerState::Ready => {
                entry.state = ServerState::Draining
            }
            Some(Mark {
                out,
                back: Some(back),
            }) if entry.started_at < *out => entry.started_at = *back,
            _ => {}
        }
        entry
    }
}
