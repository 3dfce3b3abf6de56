//! Servers that operators have taken out. The set lies over discovery's list: whatever that says of such a server, here
//! it drains until the call back. No input or output, and nothing of the list itself.

use std::collections::BTreeMap;

use streamarch::{Micros, ServerEntry, ServerState};

/// A server that was called back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Back {
    taken_out: Micros,
    called: Micros,
}

/// Who is taken out since when, and who was called back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bans {
    out: BTreeMap<String, Micros>,
    back: BTreeMap<String, Back>,
}

impl Bans {
    /// Whether a server is taken out.
    pub fn out(&self, name: &str) -> bool {
        self.out.contains_key(name)
    }

    /// Takes a server out; false if it was out. The first call's time goes on to count.
    pub fn disable(&mut self, name: &str, now: Micros) -> bool {
        let first = !self.out(name);
        self.out.entry(name.to_string()).or_insert(now);
        first
    }

    /// Calls a server back, however often it was taken out; false if it was not.
    pub fn enable(&mut self, name: &str, now: Micros) -> bool {
        let Some(taken_out) = self.out.remove(name) else { return false };
        self.back.insert(name.to_string(), Back { taken_out, called: now });
        true
    }

    /// Discovery has dropped a server. A ban stays for its return, but a start that is only supposed is forgotten.
    pub fn gone(&mut self, name: &str) {
        self.back.remove(name);
    }

    /// An entry of the list as it holds with the bans over it.
    ///
    /// Danger: a server is restarted while it is out, and comes back cold, whether or not the list tells of that start.
    /// Where it tells of none since the ban, the call back counts as the start.
    pub fn over(&self, name: &str, listed: &ServerEntry) -> ServerEntry {
        let mut entry = listed.clone();
        if self.out(name) && entry.state == ServerState::Ready {
            entry.state = ServerState::Draining;
        }
        if let Some(back) = self.back.get(name).filter(|back| entry.started < back.taken_out) {
            entry.started = back.called;
        }
        entry
    }

    /// Names of those that are out.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.out.keys().map(String::as_str)
    }
}
