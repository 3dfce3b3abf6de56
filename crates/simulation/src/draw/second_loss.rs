//! Sequences of two losses, the second right after the repair or replacement that followed the first. Each schedule of
//! [`Often::SecondLoss`](super::Often::SecondLoss) begins with one of them.

use super::Draft;
use crate::cluster::{MS, SECOND};
use crate::schedule::What;

/// A replica that is back counts as lost for this long: the bound `sync_time`.
const SYNC: i64 = 4 * SECOND;
/// With so many replicas two of them may be without their disks at once; with fewer, one.
const TWO_AT_ONCE: usize = 5;

impl Draft {
    /// Draws one of the sequences; gives when its last trouble begins.
    pub(super) fn second_loss(&mut self, at: i64) -> i64 {
        let first = self.replica();
        let second =
            (first + 1 + self.chance.below(self.plan.cores as u64 - 1) as usize) % self.plan.cores;
        let few = self.plan.cores < TWO_AT_ONCE;
        match self.chance.below(if few { 3 } else { 6 }) {
            0 => self.disk_then_disk(at, first, second, few),
            1 => self.replacement_then_dark(at, first),
            2 => self.two_candidates(at, first),
            3 => self.two_disks_at_once(at, first, second),
            4 => self.region_during_rebuild(at, first, second),
            _ => self.replacement_during_rebuild(at, first, second),
        }
    }

    /// Changes just before an instant, of which one is asked for at this replica: some are on a bare majority then.
    fn changes(&mut self, at: i64, replica: usize) {
        for one in 0..2 {
            let (when, ver) = (at - self.spell(0, 250 * MS), self.version(at));
            let asked = if one == 0 { replica } else { self.replica() };
            self.set(when, one, ver, asked);
        }
    }

    /// The disk is lost; the machine is back after a while. Gives when.
    fn disk(&mut self, at: i64, replica: usize) -> i64 {
        self.changes(at, replica);
        let back = at + self.spell(100 * MS, SECOND);
        self.add(at, What::Wipe(replica));
        self.add(back, What::Start(replica));
        back
    }

    /// Another machine comes first, then the one before it is told to end.
    fn planned(&mut self, at: i64, replica: usize) {
        self.changes(at, replica);
        self.add(at, What::Replace(replica));
        let told = at + self.spell(0, 700 * MS);
        self.changes(told, replica);
        self.add(told, What::Leave(replica));
    }

    fn disk_then_disk(&mut self, at: i64, first: usize, second: usize, few: bool) -> i64 {
        let back = self.disk(at, first);
        let least = if few { SYNC + SECOND } else { 0 };
        let again = back + self.spell(least, 2 * SYNC);
        self.disk(again, second);
        again
    }

    fn replacement_then_dark(&mut self, at: i64, replica: usize) -> i64 {
        self.planned(at, replica);
        let dark = at + self.spell(0, 2 * SYNC);
        self.changes(dark, replica);
        // The one that was replaced does not come back.
        self.add(dark, What::Retire(replica));
        self.add(dark, What::Dark);
        dark
    }

    /// A second empty machine for a slot while the first one rebuilds; then that one is gone.
    fn two_candidates(&mut self, at: i64, replica: usize) -> i64 {
        self.changes(at, replica);
        self.add(at, What::Replace(replica));
        let rival = at + self.spell(0, 600 * MS);
        self.add(rival, What::Rival(replica));
        let gone = rival + self.spell(0, 2 * SECOND);
        self.add(gone, What::Retire(replica));
        gone
    }

    fn two_disks_at_once(&mut self, at: i64, first: usize, second: usize) -> i64 {
        self.disk(at, first);
        if self.chance.below(2) == 0 {
            self.disk(at, second);
        } else {
            self.planned(at, second);
        }
        at
    }

    /// Both replicas of a region lose power, not their disks, while another one rebuilds.
    fn region_during_rebuild(&mut self, at: i64, first: usize, second: usize) -> i64 {
        let back = self.disk(at, first);
        let other = if second / 2 == first / 2 {
            (first / 2 * 2 + 2) % self.plan.cores
        } else {
            second
        };
        let (lost, end) = (
            back + self.spell(0, 700 * MS),
            back + self.spell(SECOND, 4 * SECOND),
        );
        for replica in [other / 2 * 2, (other / 2 * 2 + 1).min(self.plan.cores - 1)] {
            self.changes(lost, replica);
            self.add(lost, What::Power(replica));
            self.add(end, What::Start(replica));
        }
        lost
    }

    fn replacement_during_rebuild(&mut self, at: i64, first: usize, second: usize) -> i64 {
        let back = self.disk(at, first);
        let planned = back + self.spell(0, 500 * MS);
        self.planned(planned, second);
        planned
    }
}
