use super::*;

const MAKE: NodeConfig = NodeConfig {
    cores: 2,
    speed: 1.0,
    queue: 1,
    cold_from: 0.5,
    warm_up: 1_000,
    util_interval: 100,
    cancel_running: false,
};

fn job(token: u64, work: Micros) -> Job {
    Job { token, work }
}

#[test]
fn a_freeze_delays_running_requests_by_its_length() {
    let mut node = Node::new(MAKE, 0, true);
    assert_eq!(node.admit(0, job(1, 100)), Admission::Admitted);
    node.freeze(40, 540);
    assert_eq!(
        (node.next_event_at(), node.take_finished(300)),
        (Some(540), None)
    );
    assert_eq!(
        (node.take_finished(540), node.next_event_at()),
        (None, Some(600))
    );
    assert_eq!(node.take_finished(600), Some(job(1, 100)));
}

#[test]
fn requests_queued_during_a_freeze_run_without_further_arrivals() {
    let mut node = Node::new(MAKE, 0, true);
    node.freeze(0, 500);
    node.admit(100, job(1, 100));
    assert_eq!(
        (node.take_finished(500), node.next_event_at()),
        (None, Some(600))
    );
}

#[test]
fn a_full_queue_rejects_and_a_cold_node_is_slower() {
    let mut node = Node::new(MAKE, 0, false);
    let took: Vec<_> = (0..4).map(|n| node.admit(0, job(n, 100))).collect();
    assert_eq!(
        took,
        [
            Admission::Admitted,
            Admission::Admitted,
            Admission::Admitted,
            Admission::Rejected
        ]
    );
    assert_eq!(node.next_event_at(), Some(200));
    assert!(node.abandon(10, 2) && !node.abandon(10, 1));
    assert_eq!(node.pending_requests(), 2);
    assert!(node.speed_share(500) > 0.74 && node.speed_share(1_000) == 1.0);
}

#[test]
fn utilization_is_the_busy_share_of_the_cores() {
    let mut node = Node::new(MAKE, 0, true);
    node.admit(0, job(1, 50));
    node.take_finished(50);
    assert!((node.utilization(100) - 0.25).abs() < 1e-9);
}
