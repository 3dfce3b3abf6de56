//! Discovery: the list of the records nodes, published with a delay, and watches of its changes.

use std::collections::VecDeque;

use serde::Serialize;

use crate::Micros;

/// Status of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Status {
    /// It accepts work.
    Ready,
    /// It only finishes the work it has.
    Terminating,
    /// It was removed; appears only among changes.
    Gone,
}

/// A node's entry in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Number of the node in the world.
    pub node: usize,
    /// Name of the node.
    pub name: String,
    /// Number of its rack.
    pub rack: usize,
    /// Published status.
    pub status: Status,
    /// Unix time of its last start in milliseconds; 0 if it started long ago.
    pub since_ms: i64,
}

/// The list of nodes and its changes.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    entries: Vec<Entry>,
    /// Changes with the resulting version and the entry as of that version.
    changes: Vec<(u64, Entry)>,
    pending: VecDeque<(Micros, Entry)>,
}

impl NodeList {
    /// A list with its initial entries.
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

    /// Schedules the changed entry of a node for publication at an instant.
    pub fn schedule_change(&mut self, visible_at: Micros, entry: Entry) {
        self.pending.push_back((visible_at, entry));
    }

    /// When the next change is published.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.pending.iter().map(|(at, _)| *at).min()
    }

    /// Publishes the changes that are due; returns whether there were any.
    pub fn publish_due(&mut self, now: Micros) -> bool {
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

    /// The JSON message for a watch at a version: the changes after it, or the whole list if the version is unknown.
    /// `address` returns a node's address as the requesting limiter sees it.
    pub fn changes_since(&self, from: Option<u64>, address: impl Fn(usize) -> String) -> String {
        let known = from.filter(|from| (1..=self.index()).contains(from));
        let visible: Vec<&Entry> = match known {
            Some(from) => self
                .changes
                .iter()
                .filter(|(index, _)| *index > from)
                .map(|(_, e)| e)
                .collect(),
            None => self.entries.iter().collect(),
        };
        let endpoint_json = |e: &&Entry| {
            serde_json::json!({"name": e.name, "address": address(e.node), "zone": "a", "type": "std-2c",
                "group": e.rack, "status": e.status, "weight": 1.0, "since_ms": e.since_ms})
        };
        let endpoints: Vec<_> = visible.iter().map(endpoint_json).collect();
        let whole = known.is_none();
        serde_json::json!({"index": self.index(), "snapshot": whole, "endpoints": endpoints})
            .to_string()
    }
}

#[cfg(test)]
mod tests;
