//! Discovery: the list of the records nodes, told with a delay, and a watch of its changes.

use std::collections::VecDeque;

use serde::Serialize;

use crate::Micros;

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Status {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Terminating,
    /// It is no longer there; only among changes.
    Gone,
}

/// A node as the list names it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its number in the world.
    pub node: usize,
    /// Its name.
    pub name: String,
    /// Its rack.
    pub rack: usize,
    /// What is said of it.
    pub status: Status,
    /// Unix time of its last start in milliseconds; 0 for long ago.
    pub since_ms: i64,
}

/// The list and its changes.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    entries: Vec<Entry>,
    /// Changes by version: the version after, and the entry as it is then.
    changes: Vec<(u64, Entry)>,
    pending: VecDeque<(Micros, Entry)>,
}

impl NodeList {
    /// A list as it stands at the start.
    pub fn new(entries: Vec<Entry>) -> NodeList {
        NodeList {
            entries,
            ..NodeList::default()
        }
    }

    /// Version of the list.
    pub fn index(&self) -> u64 {
        1 + self.changes.len() as u64
    }

    /// A node has changed; it will be told at an instant.
    pub fn change(&mut self, told: Micros, entry: Entry) {
        self.pending.push_back((told, entry));
    }

    /// When a change is told next.
    pub fn next(&self) -> Option<Micros> {
        self.pending.iter().map(|(at, _)| *at).min()
    }

    /// Tells what is due; whether there was anything.
    pub fn tell(&mut self, now: Micros) -> bool {
        let (due, rest): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = rest.into();
        for (_, entry) in &due {
            self.entries.retain(|e| e.node != entry.node);
            if entry.status != Status::Gone {
                self.entries.push(entry.clone());
            }
            self.changes.push((self.index() + 1, entry.clone()));
        }
        !due.is_empty()
    }

    /// What a watch from a version is told first, or next: the changes behind it, or the whole list if that version
    /// is not ours. `address` gives a node's address as the one who asks sees it.
    pub fn changes_since(&self, from: Option<u64>, address: impl Fn(usize) -> String) -> String {
        let known = from.filter(|from| (1..=self.index()).contains(from));
        let told: Vec<&Entry> = match known {
            Some(from) => self
                .changes
                .iter()
                .filter(|(index, _)| *index > from)
                .map(|(_, e)| e)
                .collect(),
            None => self.entries.iter().collect(),
        };
        let one = |e: &&Entry| {
            serde_json::json!({"name": e.name, "address": address(e.node), "zone": "a", "type": "std-2c",
                "group": e.rack, "status": e.status, "weight": 1.0, "since_ms": e.since_ms})
        };
        let endpoints: Vec<_> = told.iter().map(one).collect();
        let whole = known.is_none();
        serde_json::json!({"index": self.index(), "snapshot": whole, "endpoints": endpoints})
            .to_string()
    }
}

#[cfg(test)]
mod tests;
