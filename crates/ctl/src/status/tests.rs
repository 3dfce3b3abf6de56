use super::*;
use control::core::status::{ReplicaStatus, RoleStatus};
use test_case::test_case;

fn replica(zone: &str) -> Status {
    let replica = |zone: &str| ReplicaStatus {
        zone: zone.to_string(),
        heard: true,
        ..ReplicaStatus::default()
    };
    let duty = RoleStatus {
        duty: "poll".into(),
        holder: Some("a".into()),
        term: 3,
    };
    Status {
        zone: zone.to_string(),
        takes_part: true,
        in_touch: true,
        digest: "7".into(),
        replicas: ["a", "b"].map(replica).into(),
        duties: vec![duty],
        limiters: vec![LimiterStatus {
            node: "e".into(),
            replica: "a".into(),
            linked: true,
            standing: "ready".into(),
            behind: (zone == "a").then_some(0),
            items: (zone == "a").then_some(5),
            ..LimiterStatus::default()
        }],
        ..Status::default()
    }
}

#[test_case(|_| {}, &[]; "all is well")]
#[test_case(|s| s[1].in_touch = false, &["replica b is out of touch with more than half of the replicas"]; "cut off")]
#[test_case(|s| (s[1].takes_part, s[1].in_touch) = (false, false), &["replica b has not rebuilt its disk yet"]; "rebuilding")]
#[test_case(|s| s[0].disk_full = true, &["replica a has a full disk"]; "full")]
#[test_case(|s| s[0].replicas[1].heard = false, &["replica a does not hear replica b"]; "silent")]
#[test_case(|s| s[1].duties[0].holder = None, &["replica b knows nobody with the duty poll"]; "vacant")]
#[test_case(|s| s[1].digest = "8".into(), &["replicas a and b know other items (0 and 0)"]; "apart")]
#[test_case(|s| s[0].limiters[0].behind = Some(9_000), &["limiter e has lagged for up to 9000 ms"]; "lagging")]
#[test_case(|s| s[0].limiters[0].standing = "away".into(), &["limiter e is away"]; "away")]
fn findings_describe_the_faults(change: impl Fn(&mut Vec<Status>), expected: &[&str]) {
    let mut replicas = vec![replica("a"), replica("b")];
    change(&mut replicas);
    // In whatever order they were asked.
    for is_reversed in [false, true] {
        let answer = |status: &Status| ReplicaAnswer {
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            status: Some(status.clone()),
            error: None,
        };
        let mut answers: Vec<ReplicaAnswer> = replicas.iter().map(answer).collect();
        let items_differ = replicas[0].digest != replicas[1].digest;
        if is_reversed && !items_differ {
            answers.reverse();
        }
        let system = combine(answers);
        assert_eq!(system.findings, expected, "{system}");
        assert_eq!(system.limiters.len(), 1);
    }
}
