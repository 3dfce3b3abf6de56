//! Lookups of edges by clients. A lookup before any permitted edge is ready waits up to a deadline for the first one, if one can
//! be expected: this replica is in contact with a quorum, or has just started.

use protocol::messages::Completeness;
use slog::warn;

use super::Host;
use crate::core::Replica;
use crate::dataplane_types::ConnectionKey;
use crate::limits;
use crate::lookup::{self, LookupQuery, PermittedRegions, PinIndex};
use crate::operator_api::Reply;

/// The lookup of a client that waits for the first ready edge.
#[derive(Debug)]
struct PendingLookup {
    connection: ConnectionKey,
    query: LookupQuery,
    deadline: i64,
}

/// The shortest interval between two log lines on lookups without an answer, in microseconds.
const LOG_INTERVAL: i64 = 1_000_000;

/// The lookups that wait for the first ready edge.
#[derive(Debug, Default)]
pub(super) struct PendingLookups {
    waiting: Vec<PendingLookup>,
    pin_index: PinIndex,
    /// When a lookup without an answer is logged again.
    next_log_at: i64,
}

impl PendingLookups {
    /// The earliest deadline; `i64::MAX` if no lookup waits.
    pub(super) fn wake_at(&self) -> i64 {
        let deadlines = self.waiting.iter().map(|lookup| lookup.deadline);
        deadlines.min().unwrap_or(i64::MAX)
    }
}

/// The regions to which clients may be led for a host. A replica that may lack routes can't tell that none is pinned.
fn permitted_regions(
    core: &Replica,
    now: i64,
    pin_index: &mut PinIndex,
    host: &str,
) -> PermittedRegions {
    if core.completeness(now) == Completeness::Partial {
        return PermittedRegions::Only(Vec::new());
    }
    pin_index.update(core.chosen_digest(), core.chosen_items());
    pin_index.permitted_regions(host)
}

impl Host {
    /// Answers a lookup, or queues it until the first edge is ready.
    pub(super) fn handle_lookup(&mut self, connection: ConnectionKey, query: LookupQuery) {
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
            query,
            deadline,
        };
        if !self.try_answer(now, &lookup) {
            self.lookups.waiting.push(lookup);
        }
    }

    /// Answers the queued lookups if an edge is ready or their deadline has passed.
    pub(super) fn answer_lookups(&mut self, now: i64) {
        let mut pending = std::mem::take(&mut self.lookups.waiting);
        pending.retain(|lookup| !self.try_answer(now, lookup));
        self.lookups.waiting.append(&mut pending);
    }

    /// Answers a client if that is possible now. Gives whether the lookup is finished.
    fn try_answer(&mut self, now: i64, lookup: &PendingLookup) -> bool {
        if !self.connections.contains_key(lookup.connection) {
            return true;
        }
        let members = self.core.members(now);
        let LookupQuery { host, region } = &lookup.query;
        let pin_index = &mut self.lookups.pin_index;
        let mut permitted_regions = || permitted_regions(&self.core, now, pin_index, host);
        let addresses = lookup::addresses(&members, region, &mut permitted_regions);
        if !addresses.is_empty() {
            let body = lookup::answer_body(&addresses, self.lookup_ttl_us);
            self.answer(lookup.connection, 200, &body);
            return true;
        }
        if now < lookup.deadline {
            return false;
        }
        if now >= self.lookups.next_log_at {
            self.lookups.next_log_at = now + LOG_INTERVAL;
            warn!(self.log, "no edge for a lookup"; "host" => host, "region" => region,
                "permitted_regions" => format!("{:?}", permitted_regions()), "edges" => members.len());
        }
        self.send_reply(lookup.connection, Reply::Unavailable("no limiter is ready"));
        true
    }
}
