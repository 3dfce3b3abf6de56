//! An agent whose machine's link is full: what it asks for arrives seconds later, but it arrives.

mod common;

use common::*;
use protocol::messages::{AgentMessage, ControlMessage};

/// How long every answer of the replica takes.
const DELAY: i64 = 3_000 * MS;
/// Within this the agent has what it asked for: twice the delay, for the connection and the answer.
const IN_FORCE: i64 = 2 * DELAY;

/// A connection of the agent to the replica, and when its answer arrives.
struct SlowLink {
    end: End<AgentMessage>,
    answered_at: Option<i64>,
    opened_at: i64,
    is_answered: bool,
}

/// The replica's end of all connections that the agent opens; answers on each arrive after [`DELAY`].
#[derive(Default)]
struct SlowReplica {
    links: Vec<SlowLink>,
    opened: usize,
}

impl SlowReplica {
    fn turn(&mut self, bench: &mut Bench, now: i64, told: &[ControlMessage]) {
        if let Some(end) = bench.link.take() {
            self.opened += 1;
            self.links.push(SlowLink {
                end,
                opened_at: now,
                answered_at: None,
                is_answered: false,
            });
        }
        self.links.retain_mut(|link| !link.end.look());
        for link in &mut self.links {
            let is_registered = link
                .end
                .heard
                .iter()
                .any(|heard| matches!(heard, AgentMessage::Hello(_)));
            let due = now - link.opened_at >= DELAY && is_registered;
            if due && !std::mem::replace(&mut link.is_answered, true) {
                link.answered_at = Some(now);
                told.iter().for_each(|message| link.end.say(message));
            }
        }
    }
}

#[test]
fn configuration_arrives_over_a_link_on_which_each_answer_takes_seconds() {
    let mut bench = Bench::new();
    bench.proxy();
    bench.proxy_hears(&[items(&[])]);
    let told = [who(None), items(&[3]), ControlMessage::Complete];
    let mut replica = SlowReplica::default();
    let mut passed = 0;
    let has_items = |bench: &Bench| bench.proxies[0].heard.contains(&items(&[3]));
    while passed < IN_FORCE && !has_items(&bench) {
        bench.pass(10);
        passed += 10 * MS;
        replica.turn(&mut bench, passed, &told);
    }
    (0..20).for_each(|_| bench.turn());
    assert!(
        has_items(&bench),
        "no items after {passed} us and {} connections",
        replica.opened
    );
}
