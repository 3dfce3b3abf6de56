//! Copies: on how many disks an acknowledged change stands, at every moment of a schedule.

use control::core::ids::Incarnation;

use super::{Player, SYNC};
use crate::cluster::MS;

impl Player {
    /// Two rules. Of each acknowledged change the disks that hold it, and those that are empty and have to gather it, are
    /// a majority at any moment. And a replica that has been in touch for `sync_time` holds it on its own disk.
    pub(super) fn check_copies(&mut self) {
        let now = self.cluster.now;
        let holding = self.cluster.holding();
        for (replica, at) in holding.iter().enumerate() {
            let node = &self.cluster.nodes[*at];
            let touch = node
                .core
                .as_ref()
                .is_some_and(|core| core.has_quorum_contact(node.clock.at(now)));
            if !touch || !self.good(*at) || !self.lossless() {
                self.touch_since[replica] = now;
            }
        }
        let counted: Vec<usize> = holding
            .iter()
            .enumerate()
            .filter_map(|(replica, at)| self.counted(replica, *at))
            .collect();
        let empties = holding.len() - counted.len();
        let mut faults = Vec::new();
        for (name, acked) in &self.acked {
            let Some(newest) = acked.iter().map(|(_, ver)| *ver).max() else {
                continue;
            };
            let has = |at: usize, ver: u64| self.cluster.nodes[at].disk.version(name) >= Some(ver);
            let copies = counted.iter().filter(|at| has(**at, newest)).count();
            self.outcome.copies = self.outcome.copies.min(copies);
            if copies + empties < holding.len() / 2 + 1 {
                faults.push(format!(
                    "{name} {newest} stands on {copies} disks, {empties} are empty"
                ));
            }
            let due = acked
                .iter()
                .filter(|(when, _)| now > when + SYNC)
                .map(|(_, ver)| *ver)
                .max();
            for (replica, at) in holding.iter().enumerate() {
                let since = self.touch_since[replica];
                if now - since > SYNC && due.is_some_and(|due| !has(*at, due)) {
                    let text = format!("{name} {due:?} is not on the disk of {at}");
                    faults.push(format!("{text}, in touch for {} ms", (now - since) / MS));
                }
            }
        }
        faults
            .into_iter()
            .for_each(|text| self.fault("copies", text));
    }

    /// The machine whose disk counts for a slot; none while its incarnation is still gathering, or is gone.
    fn counted(&mut self, replica: usize, holding: usize) -> Option<usize> {
        let nodes = &self.cluster.nodes;
        let of_slot = || (0..nodes.len()).filter(|at| nodes[*at].zone == replica);
        let incarnation = |at: usize| nodes[at].disk.own.incarnation;
        let newest = of_slot()
            .map(incarnation)
            .fold(self.newest[replica], Incarnation::max);
        self.newest[replica] = newest;
        let runs = |at: &usize| *at == holding || nodes[*at].core.is_some();
        let whole = || of_slot().filter(runs).find(|at| incarnation(*at) == newest);
        (incarnation(holding) != Incarnation::NONE)
            .then(whole)
            .flatten()
    }
}
