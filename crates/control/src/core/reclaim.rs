//! Reclaiming a replica whose newer incarnation is unreachable.
//!
//! Two machines may recover one replica at the same time, and the one with the newer incarnation may fail before the
//! other learns of it. The replica would then stay vacant for good. The superseded process therefore queries the other
//! replicas, and recovers under a new incarnation once more than half of them report the newer one as unreachable and
//! none has reported it as reachable for [`limits::RECLAIM_TIMEOUT`]. This is as safe as the recovery of an empty disk,
//! since it collects the accepted values of a quorum of the others again.

use std::collections::BTreeMap;

use super::events::Event;
use super::ids::{Incarnation, ReplicaId};
use super::recovery::Recovery;
use super::{Output, Replica};
use crate::limits;

/// The state of a superseded process regarding the newer incarnation of its replica.
#[derive(Clone, Debug)]
pub(super) struct Supersession {
    /// When any replica last reported the newer incarnation as reachable.
    last_heard_at: i64,
    /// When each other replica last reported the newer incarnation as unreachable.
    unreachable_reports: BTreeMap<ReplicaId, i64>,
    next_request_at: i64,
}

impl Replica {
    /// Queries the other replicas about the newer incarnation, and begins to recover once it is unreachable.
    pub(super) fn drive_reclaim(&mut self, now: i64, out: &mut Vec<Output>) {
        if !self.table.is_superseded() || self.is_shutting_down {
            self.supersession = None;
            return;
        }
        let supersession = self.supersession.get_or_insert_with(|| Supersession {
            last_heard_at: now,
            unreachable_reports: BTreeMap::new(),
            next_request_at: now,
        });
        if now < supersession.next_request_at {
            return;
        }
        supersession.next_request_at = now + limits::HEARTBEAT_INTERVAL;
        let reports = &mut supersession.unreachable_reports;
        reports.retain(|_, reported_at| now - *reported_at <= limits::CONTACT_TIMEOUT);
        let is_unreachable = reports.len() >= self.table.recovery_quorum_size();
        if is_unreachable && now - supersession.last_heard_at >= limits::RECLAIM_TIMEOUT {
            out.push(Output::Log(Event::IncarnationReclaimed));
            self.supersession = None;
            self.table.relinquish_incarnation();
            self.recovery = Some(Recovery::default());
            return self.drive_recovery(now, out);
        }
        self.broadcast(Replica::handover_query(), out);
    }

    /// Another replica reports the newest incarnation of this one that is reachable from it; [`Incarnation::NONE`] if
    /// none is.
    pub(super) fn handle_slot_report(
        &mut self,
        now: i64,
        from: ReplicaId,
        reachable_incarnation: Incarnation,
    ) {
        let local = self.table.local().incarnation;
        let Some(supersession) = &mut self.supersession else {
            return;
        };
        if reachable_incarnation > local {
            supersession.last_heard_at = now;
            supersession.unreachable_reports.clear();
        } else {
            supersession.unreachable_reports.insert(from, now);
        }
    }

    /// The time at which [`Replica::drive_reclaim`] is due.
    pub(super) fn reclaim_wake_at(&self) -> Option<i64> {
        let supersession = self.supersession.as_ref();
        supersession.map(|supersession| supersession.next_request_at)
    }
}
