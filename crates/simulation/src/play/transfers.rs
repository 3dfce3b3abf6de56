//! What is checked of state transfers: what a replica begins an incarnation with, and by when and for how many bytes one that
//! was away knows all that was acknowledged.

use control::core::Replica;
use control::core::ids::Incarnation;
use protocol::items::Item;

use super::Player;
use crate::cluster::{MS, SECOND};

/// Stated: a replica that runs and reaches more than half for this long knows what was acknowledged before then.
pub const WHOLE: i64 = 3 * SECOND;
/// Stated: most bytes of transfers that come to a process in its first seconds: so many at all...
const BASE: u64 = 12_000;
/// ...and so many for each item that there is, whatever was changed.
const AN_ITEM: u64 = 500;

fn lacks<'a>(items: impl Iterator<Item = &'a Item>, wanted: &Item) -> bool {
    items
        .into_iter()
        .find(|item| item.name == wanted.name)
        .is_none_or(|item| item.ver < wanted.ver)
}

impl Player {
    /// A replica whose disk was lost begins with all that was acknowledged; one that was away knows it in time.
    pub(super) fn check_transfers(&mut self) {
        let now = self.cluster.now;
        let mut faults = Vec::new();
        for (replica, at) in self.cluster.holding().into_iter().enumerate() {
            if self.cluster.nodes[at].core.is_none() {
                continue;
            }
            let started = self.started(at);
            let Some(core) = &self.cluster.nodes[at].core else {
                continue;
            };
            let key = (at, core.incarnation());
            if key.1 == Incarnation::NONE {
                self.gathering.insert(at, started);
            }
            // It may have gathered all in a run before, and been killed while that went to disk.
            let gathered = self.gathering.get(&at).copied().unwrap_or(started);
            if core.is_participant() && self.begun[replica] != Some(key) {
                let first = self.begun[replica].is_none();
                self.begun[replica] = Some(key);
                if !first {
                    // What is acknowledged while it asks need not be in the answers.
                    faults.extend(
                        self.missing(core, gathered - 100 * MS, true)
                            .map(|text| ("partial", at, text)),
                    );
                }
            }
            let process = (at, self.cluster.nodes[at].incarnation);
            let together = self
                .clique
                .as_ref()
                .filter(|(clique, _)| clique.contains(&process));
            if let Some((_, since)) = together.filter(|(_, since)| now - since > WHOLE) {
                // What was acknowledged while it was among them is news, and has its own rule at the limiters.
                let before = since.max(&0) - MS;
                faults.extend(
                    self.missing(core, before, false)
                        .map(|text| ("whole", at, text)),
                );
            }
            let items = self.acked.len() as u64;
            let (came, most) = (self.cluster.nodes[at].transferred, BASE + AN_ITEM * items);
            self.outcome.transferred = self.outcome.transferred.max(came);
            let young = now - started < WHOLE;
            if young && came > most {
                faults.push((
                    "bytes",
                    at,
                    format!("{came} bytes of transfers for {items} items"),
                ));
            }
        }
        faults
            .into_iter()
            .for_each(|(rule, at, text)| self.fault(rule, format!("machine {at}: {text}")));
    }

    /// When the process of a machine started.
    fn started(&mut self, at: usize) -> i64 {
        let (now, run) = (self.cluster.now, self.cluster.nodes[at].incarnation);
        *self.starts.entry((at, run)).or_insert(now)
    }

    /// An item that was acknowledged before an instant and is not there at its version: `held`, of what was accepted.
    fn missing(&self, core: &Replica, before: i64, held: bool) -> Option<String> {
        self.acked.iter().find_map(|(name, acked)| {
            let ver = acked
                .iter()
                .filter(|(at, _)| *at <= before)
                .map(|(_, ver)| *ver)
                .max()?;
            let wanted = Item {
                name: name.clone(),
                ver,
                spec: None,
            };
            let lacks = if held {
                lacks(core.accepted_items(), &wanted)
            } else {
                lacks(core.chosen_items(), &wanted)
            };
            lacks.then(|| format!("{name} {ver} was acknowledged and is not there"))
        })
    }
}
