//! The planned end of a process: it is told to end, hands over, and ends within its grace.

use std::collections::BTreeMap;

use control::core::Input;
use control::limits;
use protocol::items::ItemName;

use super::{Cluster, Event, MS, SECOND};
use crate::harm::Bug;

/// From the signal to the forced end, as the settings tell it.
const GRACE: i64 = 6 * SECOND;
/// The least that a process stays, and how often it looks whether it may end.
const STAY: i64 = 300 * MS;
const LOOK: i64 = 50 * MS;

impl Cluster {
    /// A process is told to end: it gives back what it holds, hands over, and ends.
    pub fn stop(&mut self, at: usize) {
        if self.nodes[at].core.is_none() || self.nodes[at].stopping.is_some() {
            return;
        }
        self.nodes[at].stopping = Some(self.now);
        self.feed(at, Input::Shutdown);
        let incarnation = self.nodes[at].incarnation;
        let stay = if self.has(Bug::Leave) { MS } else { STAY };
        self.enter(self.now + stay, Event::End(at, incarnation));
    }

    /// A process that was told to end looks whether it may, as the host's loop does.
    pub(super) fn may_end(&mut self, at: usize) {
        let node = &self.nodes[at];
        let (Some(core), Some(told)) = (&node.core, node.stopping) else {
            return;
        };
        let since = self.now - told;
        let answered = core.is_idle() || since >= limits::SHUTDOWN_CALL_TIMEOUT;
        let handed = (answered && core.is_handed_over() && !node.frozen) || self.has(Bug::Leave);
        let grace = if node.frozen {
            GRACE
        } else {
            GRACE - limits::GRACE_MARGIN
        };
        if !handed && since < grace {
            let incarnation = node.incarnation;
            return self.enter(self.now + LOOK, Event::End(at, incarnation));
        }
        if handed {
            self.check_handover(at, told);
        }
        let again = self.nodes[at].again;
        self.kill(at);
        if again {
            self.start(at);
        }
    }

    /// A process that ends before its grace is over leaves nothing on fewer disks than a majority.
    fn check_handover(&mut self, at: usize, told: i64) {
        self.check_contents();
        let node = &self.nodes[at];
        let mut held: BTreeMap<ItemName, u64> = self
            .chosen(at)
            .into_iter()
            .map(|(name, item)| (name, item.ver))
            .collect();
        for (name, ver) in node.disk.versions() {
            // What was accepted and is not known to be chosen by anybody was never acknowledged.
            if self.contents.contains_key(&(name.clone(), ver)) {
                let known = held.entry(name.clone()).or_default();
                *known = ver.max(*known);
            }
        }
        let others: Vec<usize> = self
            .holding()
            .into_iter()
            .filter(|other| *other != at)
            .collect();
        let needed = (self.zones.len() / 2 + 1).min(self.zones.len() - 1);
        let mut faults = Vec::new();
        for (name, ver) in held {
            // A disk that was lost since may have been counted.
            let has = |other: &&usize| {
                let node = &self.nodes[**other];
                node.wiped.is_some_and(|wiped| wiped >= told)
                    || node.disk.version(&name) >= Some(ver)
            };
            let copies = others.iter().filter(has).count();
            if copies < needed {
                faults.push(format!(
                    "machine {at} ends, and {name} {ver} stands on {copies} disks without it"
                ));
            }
        }
        faults
            .into_iter()
            .for_each(|text| self.fault("handover", text));
    }
}
