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

#[test_case(|_| {}, &[]; "all is well")]
#[test_case(|s| s[1].has_quorum_contact = false, &["replica b is out of touch with more than half of the replicas"]; "cut off")]
#[test_case(|s| (s[1].is_participant, s[1].has_quorum_contact) = (false, false), &["replica b has not rebuilt its disk yet"]; "rebuilding")]
#[test_case(|s| s[0].disk_full = true, &["replica a has a full disk"]; "full")]
#[test_case(|s| s[0].replicas[1].is_reachable = false, &["replica a does not hear replica b"]; "silent")]
#[test_case(|s| s[1].roles[0].holder = None, &["replica b knows nobody with the duty poll"]; "vacant")]
#[test_case(|s| s[1].digest = "8".into(), &["replicas a and b know other items (0 and 0)"]; "apart")]
#[test_case(|s| s[0].limiters[0].lag_ms = Some(9_000), &["limiter e has lagged for up to 9000 ms"]; "lagging")]
#[test_case(|s| s[0].limiters[0].state = "away".into(), &["limiter e is away"]; "away")]
fn findings_name_what_is_wrong(change: impl Fn(&mut Vec<Status>), is: &[&str]) {
    let mut replicas = vec![replica("a"), replica("b")];
    change(&mut replicas);
    // In whatever order they were asked.
    for turned in [false, true] {
        let told = |status: &Status| Told {
            at: SocketAddr::from(([127, 0, 0, 1], 1)),
            status: Some(status.clone()),
            error: None,
        };
        let mut told: Vec<Told> = replicas.iter().map(told).collect();
        let apart = replicas[0].digest != replicas[1].digest;
        if turned && !apart {
            told.reverse();
        }
        let view = view(told);
        assert_eq!(view.findings, is, "{view}");
        assert_eq!(view.limiters.len(), 1);
    }
}
