//! Lookups of edges by clients. A lookup before any edge is ready waits up to a deadline for the first one, if one can be
//! expected: this replica is in contact with a quorum, or has just started.

use super::Host;
use crate::dataplane_types::ConnectionKey;
use crate::operator_api::Reply;
use crate::{limits, lookup};

/// The lookup of a client that waits for the first ready edge.
#[derive(Debug)]
struct PendingLookup {
    connection: ConnectionKey,
    /// The requested region.
    region: String,
    deadline: i64,
}

/// The lookups that wait for the first ready edge.
#[derive(Debug, Default)]
pub(super) struct PendingLookups(Vec<PendingLookup>);

impl PendingLookups {
    /// The earliest deadline; `i64::MAX` if no lookup waits.
    pub(super) fn wake_at(&self) -> i64 {
        let deadlines = self.0.iter().map(|lookup| lookup.deadline);
        deadlines.min().unwrap_or(i64::MAX)
    }
}

impl Host {
    /// Answers a lookup, or queues it until the first edge is ready.
    pub(super) fn handle_lookup(&mut self, connection: ConnectionKey, region: String) {
        let now = self.now();
        let may_become_ready =
            self.core.has_quorum_contact(now) || now < limits::STARTUP_LOOKUP_WAIT;
        let deadline = if may_become_ready && self.shutdown_started_at.is_none() {
            now + limits::LOOKUP_WAIT
        } else {
            now
        };
        let lookup = PendingLookup {
            connection,
            region,
            deadline,
        };
        if !self.try_answer(now, &lookup) {
            self.lookups.0.push(lookup);
        }
    }

    /// Answers the queued lookups if an edge is ready or their deadline has passed.
    pub(super) fn answer_lookups(&mut self, now: i64) {
        let mut pending = std::mem::take(&mut self.lookups.0);
        pending.retain(|lookup| !self.try_answer(now, lookup));
        self.lookups.0.append(&mut pending);
    }

    /// Answers a client if that is possible now. Gives whether the lookup is finished.
    fn try_answer(&mut self, now: i64, lookup: &PendingLookup) -> bool {
        if !self.connections.contains_key(lookup.connection) {
            return true;
        }
        let members = self.core.members(now);
        let addresses = lookup::addresses(&members, &lookup.region);
        if !addresses.is_empty() {
            let body = lookup::answer_body(&addresses, self.lookup_ttl_us);
            self.answer(lookup.connection, 200, &body);
            return true;
        }
        if now < lookup.deadline {
            return false;
        }
        self.send_reply(lookup.connection, Reply::Unavailable("no limiter is ready"));
        true
    }
}
