//! Trouble at the replica that holds the shared count at that instant.

use control::core::ids::SingletonRole;

use super::Player;
use crate::schedule::Holder;

impl Player {
    /// Where nobody holds the count, trouble comes to nobody.
    pub(super) fn trouble_holder(&mut self, trouble: Holder) {
        if trouble == Holder::Mend {
            let Some(at) = self.holder.take() else { return };
            self.cluster.cuts.retain(|(a, b)| *a != at && *b != at);
            self.cluster.freeze(at, false);
            return self.cluster.start(at);
        }
        let Some((at, _)) = self
            .cluster
            .holders(SingletonRole::Counter)
            .first()
            .copied()
        else {
            return;
        };
        self.holder = Some(at);
        match trouble {
            Holder::Kill => self.cluster.kill(at),
            Holder::Wipe if self.may_lose(at) => {
                self.cluster.wipe(at);
                self.mend();
            }
            Holder::Wipe | Holder::Mend => {}
            Holder::Cut => {
                let others: Vec<usize> = (0..self.cluster.nodes.len())
                    .filter(|other| *other != at)
                    .collect();
                self.cluster.cut(&[at], &others);
            }
            Holder::Freeze => self.cluster.freeze(at, true),
        }
    }
}
