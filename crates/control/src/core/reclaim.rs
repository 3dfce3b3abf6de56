//! Taking a slot back: a replica that was set aside by a newer incarnation of its slot, which nobody hears any more.
//!
//! Two machines may rebuild one slot at the same time, and the one whose incarnation comes later may be gone before the
//! other one hears of it. Its slot would be held by nobody for good. The one that is left asks the others, and rebuilds
//! under an incarnation of its own once none of a majority has heard the newer one for [`limits::RECLAIM`]. That is as
//! safe as the rebuild of an empty disk, as it gathers anew what a majority of the others holds.

use std::collections::BTreeMap;

use super::peer_messages::{Incarnation, Payload, ReplicaId};
use super::recovery::Recovery;
use super::{Core, Output};
use crate::limits;

/// A replica that was set aside.
#[derive(Clone, Debug)]
pub(super) struct Superseded {
    /// The newer incarnation was last known to be heard then, or this replica was set aside.
    heard: i64,
    /// When each other replica last said that it does not hear the newer one.
    silent: BTreeMap<ReplicaId, i64>,
    wake: i64,
}

impl Core {
    /// Asks the others about the newer incarnation, and takes the slot back if it is gone.
    pub(super) fn reclaim_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        if !self.replicas.aside() || self.stopping {
            self.displaced = None;
            return;
        }
        let begin = || Superseded {
            heard: now,
            silent: BTreeMap::new(),
            wake: now,
        };
        let displaced = self.displaced.get_or_insert_with(begin);
        if now < displaced.wake {
            return;
        }
        displaced.wake = now + limits::HEARTBEAT_INTERVAL;
        displaced
            .silent
            .retain(|_, at| now - *at <= limits::CONTACT_TIMEOUT);
        if now - displaced.heard >= limits::RECLAIM_TIMEOUT
            && displaced.silent.len() >= self.replicas.others()
        {
            out.push(Output::LogImmediately(
                "nobody hears the newer incarnation of this replica: rebuilding".to_string(),
            ));
            self.displaced = None;
            self.replicas.end();
            self.rebuild = Some(Recovery::default());
            return self.rebuild_turn(now, out);
        }
        self.spread(
            Payload::HandoverRequest {
                id: 0,
                items: Vec::new(),
            },
            out,
        );
    }

    /// Another replica says which incarnation of this slot it hears.
    pub(super) fn slot_heard(&mut self, now: i64, replica: ReplicaId, whole: Incarnation) {
        let own = self.replicas.me().incarnation;
        let Some(displaced) = &mut self.displaced else {
            return;
        };
        if whole > own {
            displaced.heard = now;
            displaced.silent.clear();
        } else {
            displaced.silent.insert(replica, now);
        }
    }

    /// When it wants to ask again.
    pub(super) fn reclaim_wake(&self) -> Option<i64> {
        self.displaced.as_ref().map(|displaced| displaced.wake)
    }
}
