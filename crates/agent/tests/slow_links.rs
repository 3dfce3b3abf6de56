//! An agent on a machine with a congested network link must receive the configuration although each answer takes seconds. It
//! must not close connections whose answer is only late.

mod common;

use common::*;
use protocol::messages::{AgentMessage, ControlMessage};

/// The delay of each answer of the replica, in microseconds.
const ANSWER_DELAY: i64 = 3_000 * MS;
/// The agent must have the configuration within this time, in microseconds: one delay for the connection, one for the answer.
const MAX_TRANSFER_TIME: i64 = 2 * ANSWER_DELAY;

/// A connection of the agent to the replica, and when the replica answered on it.
struct SlowLink {
    end: LinkEnd<AgentMessage>,
    answered_at: Option<i64>,
    opened_at: i64,
    is_answered: bool,
}

/// The replica's ends of all connections that the agent opens. It answers on each after [`ANSWER_DELAY`].
#[derive(Default)]
struct SlowReplica {
    links: Vec<SlowLink>,
    opened_count: usize,
}

impl SlowReplica {
    fn run_once(&mut self, bench: &mut Bench, now: i64, answers: &[ControlMessage]) {
        if let Some(end) = bench.link.take() {
            self.opened_count += 1;
            self.links.push(SlowLink {
                end,
                opened_at: now,
                answered_at: None,
                is_answered: false,
            });
        }
        self.links.retain_mut(|link| !link.end.receive());
        for link in &mut self.links {
            let is_registered = link
                .end
                .received
                .iter()
                .any(|message| matches!(message, AgentMessage::Hello(_)));
            let is_due = now - link.opened_at >= ANSWER_DELAY && is_registered;
            if is_due && !std::mem::replace(&mut link.is_answered, true) {
                link.answered_at = Some(now);
                answers.iter().for_each(|message| link.end.send(message));
            }
        }
    }
}

#[test]
fn configuration_arrives_over_a_link_on_which_each_answer_takes_seconds() {
    let mut bench = Bench::new();
    bench.connect_proxy();
    bench.expect_at_proxy(&[items(&[])]);
    let answers = [cluster_view(None), items(&[3]), ControlMessage::Complete];
    let mut replica = SlowReplica::default();
    let mut elapsed_us = 0;
    let has_items = |bench: &Bench| bench.proxies[0].received.contains(&items(&[3]));
    while elapsed_us < MAX_TRANSFER_TIME && !has_items(&bench) {
        bench.advance_ms(10);
        elapsed_us += 10 * MS;
        replica.run_once(&mut bench, elapsed_us, &answers);
    }
    (0..20).for_each(|_| bench.run_once());
    assert!(
        has_items(&bench),
        "no items after {elapsed_us} us and {} connections",
        replica.opened_count
    );
}
