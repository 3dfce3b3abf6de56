use super::*;
use control::core::status::{ReplicaStatus, RoleStatus};
use test_case::test_case;

fn replica(zone: &str) -> Status {
    let replica = |zone: &str| ReplicaStatus {
        zone: zone.to_string(),
        is_reachable: true,
        ..ReplicaStatus::default()
    };
    let duty = RoleStatus {
        role: "poll".into(),
        holder: Some("a".into()),
        term: 3,
    };
    Status {
        zone: zone.to_string(),
        is_participant: true,
        has_quorum_contact: true,
        digest: "7".into(),
        replicas: ["a", "b"].map(replica).into(),
        roles: vec![duty],
        limiters: vec![LimiterStatus {
            node: "e".into(),
            replica: "a".into(),
            is_connected: true,
            state: "ready".into(),
            lag_ms: (zone == "a").then_some(0),
            items: (zone == "a").then_some(5),
            ..LimiterStatus::default()
        }],
        ..Status::default()
    }
}

#[test_case(|_| {}, &[]; "no faults")]
#[test_case(|s| s[1].has_quorum_contact = false, &["replica b is out of touch with more than half of the replicas"]; "a replica without a quorum")]
#[test_case(|s| (s[1].is_participant, s[1].has_quorum_contact) = (false, false), &["replica b has not rebuilt its disk yet"]; "a replica that rebuilds its disk")]
#[test_case(|s| s[0].disk_full = true, &["replica a has a full disk"]; "a full disk")]
#[test_case(|s| s[0].replicas[1].is_reachable = false, &["replica a does not hear replica b"]; "a silent replica")]
#[test_case(|s| s[1].roles[0].holder = None, &["replica b knows nobody with the duty poll"]; "a duty without a holder")]
#[test_case(|s| s[1].digest = "8".into(), &["replicas a and b know other items (0 and 0)"]; "different items")]
#[test_case(|s| s[0].limiters[0].lag_ms = Some(9_000), &["limiter e has lagged for up to 9000 ms"]; "a limiter that lags")]
#[test_case(|s| s[0].limiters[0].state = "away".into(), &["limiter e is away"]; "a limiter that is away")]
fn findings_describe_the_faults(change: impl Fn(&mut Vec<Status>), expected: &[&str]) {
    let mut replicas = vec![replica("a"), replica("b")];
    change(&mut replicas);
    // The findings must not depend on the order of the answers.
    for is_reversed in [false, true] {
        let answer = |status: &Status| ReplicaAnswer {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            status: Some(status.clone()),
            error: None,
        };
        let mut answers: Vec<ReplicaAnswer> = replicas.iter().map(answer).collect();
        // The order of the two replicas in this finding follows the answers.
        let items_differ = replicas[0].digest != replicas[1].digest;
        if is_reversed && !items_differ {
            answers.reverse();
        }
        let system = combine(answers);
        assert_eq!(system.findings, expected, "{system}");
        assert_eq!(system.limiters.len(), 1);
    }
}
