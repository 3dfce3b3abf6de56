//! What a replica may say that reaches no majority, as docs/control-hardening.md has it.

use std::collections::BTreeMap;

use control::limits::{MEMBER_LEASE_DURATION, MEMBER_LEASE_DURATION_WITHOUT_QUORUM};
use control::operator_api::Reply;
use protocol::messages::NodeState;

use super::asks::svc;
use super::{DROPPED_ONCE, Pending, Player, REFERRED};
use crate::cluster::{MS, SECOND};
use crate::schedule::Ask;

/// What was under way when a replica was cut off has come by then.
const UNDER_WAY: i64 = 400 * MS;
/// Stated: nobody names an edge that was heard nowhere for this long. Whoever heard it last holds its lease, tells it on to
/// the last, and one that is cut off then holds that hearsay; the rest is the way, and the beats between.
pub const NAMED: i64 = MEMBER_LEASE_DURATION + MEMBER_LEASE_DURATION_WITHOUT_QUORUM + SECOND;

impl Player {
    /// Looks which replicas each machine can exchange messages with. Of machines that were replaced the votes may count until
    /// that is known.
    pub(super) fn look_who_is_reached(&mut self) {
        let now = self.cluster.now;
        self.reached
            .resize(self.cluster.nodes.len(), BTreeMap::new());
        for at in 0..self.reached.len() {
            let nodes = self.cluster.nodes.iter().enumerate();
            let open = nodes.filter(|(other, node)| {
                *other == at || node.core.is_some() && !node.frozen && !self.apart(at, *other)
            });
            let zones: Vec<usize> = open.map(|(_, node)| node.zone).collect();
            self.reached[at].extend(zones.into_iter().map(|zone| (zone, now)));
        }
    }

    /// A machine has exchanged messages with no majority since then, not even with one replica after the other.
    fn alone(&self, at: usize, since: i64) -> bool {
        let reached = self.reached.get(at).into_iter().flatten();
        let many = reached
            .filter(|(_, last)| **last + UNDER_WAY >= since)
            .count();
        many < self.cluster.zones.len() / 2 + 1
    }

    /// What operators are told by a replica that was alone all the while, and of references.
    pub(super) fn check_answer(
        &mut self,
        pending: &Pending,
        since: i64,
        to: i64,
        reply: Option<&Reply>,
    ) {
        let Some(reply) = reply else { return };
        let (ask, at) = (pending.ask, pending.to);
        if self.alone(at, since) && !matches!(reply, Reply::Unavailable(_)) {
            let (asked, status) = ((to - since) / MS, reply.clone().parts().0);
            let text =
                format!("machine {at}, out of touch, answers {ask:?} after {asked} ms: {status}");
            self.fault("alone", text);
        }
        let acknowledged = |item: u64, least: u64| {
            let acked = self.acked.get(&svc(item)).into_iter().flatten();
            acked
                .into_iter()
                .any(|(when, ver)| *when < since && *ver >= least)
        };
        let wrong = match (ask, reply) {
            (Ask::Refer(..), Reply::Invalid(_)) => acknowledged(REFERRED, 1).then_some("refused"),
            (Ask::Dangle(..), Reply::Done) => acknowledged(DROPPED_ONCE, 2).then_some("invalid"),
            _ => None,
        };
        if let Some(rule) = wrong {
            self.fault(rule, format!("machine {at} to {ask:?}: {reply:?}"));
        }
    }

    /// Nobody names an edge in answer to look-ups that was heard nowhere for long.
    pub(super) fn check_named(&mut self) {
        let now = self.cluster.now;
        let mut faults = Vec::new();
        for at in self.cluster.live() {
            let node = &self.cluster.nodes[at];
            let Some(core) = node.core.as_ref().filter(|_| !node.frozen) else {
                continue;
            };
            for told in core.members(node.clock.at(now) + self.cluster.off(at)) {
                let edge = told
                    .node
                    .name
                    .strip_prefix("edge-")
                    .and_then(|number| number.parse::<usize>().ok());
                let Some(edge) = edge.and_then(|edge| self.cluster.edges.get(edge)) else {
                    continue;
                };
                if told.state == NodeState::Ready && now - edge.heard > NAMED {
                    let silent = (now - edge.heard) / MS;
                    faults.push(format!(
                        "machine {at} names {}, heard nowhere for {silent} ms",
                        told.node.name
                    ));
                }
            }
        }
        faults
            .into_iter()
            .for_each(|text| self.fault("named", text));
    }
}
