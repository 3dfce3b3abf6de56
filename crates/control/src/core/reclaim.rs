//! Taking a slot back: a replica that was set aside by a newer incarnation of its slot, which nobody hears any more.
//!
//! Two machines may rebuild one slot at the same time, and the one whose incarnation comes later may be gone before the
//! other one hears of it. Its slot would be held by nobody for good. The one that is left asks the others, and rebuilds
//! under an incarnation of its own once none of a majority has heard the newer one for [`limits::RECLAIM`]. That is as
//! safe as the rebuild of an empty disk, as it gathers anew what a majority of the others holds.

use std::collections::BTreeMap;

use super::peer_messages::{Incarnation, Payload, ReplicaId};
use super::recovery::Recovery;
use super::{Output, Replica};
use crate::limits;

/// A replica that was set aside.
#[derive(Clone, Debug)]
pub(super) struct Superseded {
    /// The newer incarnation was last known to be heard then, or this replica was set aside.
    last_heard: i64,
    /// When each other replica last said that it does not hear the newer one.
    not_heard_by: BTreeMap<ReplicaId, i64>,
    wake_at: i64,
}

impl Replica {
    /// Asks the others about the newer incarnation, and takes the slot back if it is gone.
    pub(super) fn drive_reclaim(&mut self, now: i64, out: &mut Vec<Output>) {
        if !self.table.is_superseded() || self.shutting_down {
            self.superseded = None;
            return;
        }
        let begin = || Superseded {
            last_heard: now,
            not_heard_by: BTreeMap::new(),
            wake_at: now,
        };
        let displaced = self.superseded.get_or_insert_with(begin);
        if now < displaced.wake_at {
            return;
        }
        displaced.wake_at = now + limits::HEARTBEAT_INTERVAL;
        displaced
            .not_heard_by
            .retain(|_, at| now - *at <= limits::CONTACT_TIMEOUT);
        if now - displaced.last_heard >= limits::RECLAIM_TIMEOUT
            && displaced.not_heard_by.len() >= self.table.recovery_quorum()
        {
            out.push(Output::LogImmediately(
                "nobody hears the newer incarnation of this replica: rebuilding".to_string(),
            ));
            self.superseded = None;
            self.table.relinquish();
            self.recovery = Some(Recovery::default());
            return self.drive_recovery(now, out);
        }
        self.broadcast(
            Payload::HandoverRequest {
                id: 0,
                items: Vec::new(),
            },
            out,
        );
    }

    /// Another replica says which incarnation of this slot it hears.
    pub(super) fn handle_slot_report(&mut self, now: i64, replica: ReplicaId, whole: Incarnation) {
        let own = self.table.local().incarnation;
        let Some(displaced) = &mut self.superseded else {
            return;
        };
        if whole > own {
            displaced.last_heard = now;
            displaced.not_heard_by.clear();
        } else {
            displaced.not_heard_by.insert(replica, now);
        }
    }

    /// When it wants to ask again.
    pub(super) fn reclaim_wake_at(&self) -> Option<i64> {
        self.superseded.as_ref().map(|displaced| displaced.wake_at)
    }
}
