//! Clients that ask where to go. One that asks before any edge is known to be ready waits a little for the first one, where
//! one can be expected: this replica is in touch, or has just started.

use super::Host;
use crate::dataplane_types::ConnectionKey;
use crate::operator_api::Reply;
use crate::{limits, lookup};

/// Clients that wait for the first edge: the region that each asked for, and until when it waits.
#[derive(Debug, Default)]
pub(super) struct PendingLookups(Vec<(ConnectionKey, String, i64)>);

impl PendingLookups {
    /// The first of them waits until then.
    pub(super) fn wake_at(&self) -> i64 {
        self.0
            .iter()
            .map(|(_, _, until)| *until)
            .min()
            .unwrap_or(i64::MAX)
    }
}

impl Host {
    /// Answers a client, or keeps it waiting for the first edge.
    pub(super) fn handle_lookup(&mut self, key: ConnectionKey, region: String) {
        let now = self.now();
        let expects = self.core.has_quorum_contact(now) || now < limits::STARTUP_LOOKUP_WAIT;
        let until = if expects && self.shutdown_started_at.is_none() {
            now + limits::LOOKUP_WAIT
        } else {
            now
        };
        if !self.try_answer(now, key, &region, until) {
            self.lookups.0.push((key, region, until));
        }
    }

    /// Answers those that wait, once there is something to answer or their time is over.
    pub(super) fn answer_lookups(&mut self, now: i64) {
        let mut waiting = std::mem::take(&mut self.lookups.0);
        waiting.retain(|(key, region, until)| !self.try_answer(now, *key, region, *until));
        self.lookups.0.append(&mut waiting);
    }

    /// Gives whether nothing is owed to the client any more.
    fn try_answer(&mut self, now: i64, key: ConnectionKey, region: &str, until: i64) -> bool {
        if !self.connections.contains_key(key) {
            return true;
        }
        let addresses = lookup::addresses(&self.core.members(now), region);
        if !addresses.is_empty() {
            self.answer(key, 200, &lookup::answer_body(&addresses, self.ttl));
            return true;
        }
        if now < until {
            return false;
        }
        let (status, body) = Reply::Unavailable("no limiter is ready").parts();
        self.answer(key, status, &body);
        true
    }
}
