//! Two operators that set different contents of one version, and retried calls, in a cluster of
//! cores.

use control::operator_api::{Command, Reply};
use simulation::cluster::{Cluster, MS, SECOND, service};

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.run_to(3 * SECOND);
    cluster
}

/// One call that sets these services, each with its version and content.
fn services(services: &[(&str, u64, u64)]) -> Command {
    let object = |(name, ver, content): &(&str, u64, u64)| {
        format!(
            r#"{{"type":"svcs","meta":{{"name":"{name}","ver":{ver}}},"spec":{{"hcheck":"/{content}"}}}}"#
        )
    };
    let objects: Vec<String> = services.iter().map(object).collect();
    Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, objects.join(",")).into_bytes())
}

/// The chosen content of a service, as the first replica knows it.
fn content(cluster: &Cluster, name: &str) -> Option<String> {
    cluster
        .chosen(0)
        .into_values()
        .find(|item| item.name.name == name)
        .and_then(|item| item.spec)
}

#[test]
fn rejected_call_has_no_effect() {
    let mut rejected = 0;
    for seed in 0..60 {
        let mut cluster = started(seed);
        assert_eq!(
            cluster.ask(1, services(&[("a", 4, 1), ("b", 4, 1)])),
            Some(Reply::Done)
        );
        // The second call sets one of the first call's items before, while or after the first one
        // has reached a few replicas.
        let first = cluster.call(0, services(&[("a", 5, 2), ("b", 5, 2)]));
        cluster.run((seed as i64 % 12) * 12 * MS);
        let second = cluster.call(5, service("b", 5, 3));
        cluster.run(3 * SECOND);
        let replies = [first, second].map(|call| cluster.reply(call));
        assert!(cluster.agree());
        let is_applied =
            |name: &str| content(&cluster, name).is_some_and(|spec| spec.contains("/2"));
        if replies[0] == Some(Reply::Conflict) {
            rejected += 1;
            assert!(
                !is_applied("a") && !is_applied("b"),
                "{seed}: {replies:?}, but a part was applied"
            );
        }
        let retried = cluster.ask(3, services(&[("a", 5, 2), ("b", 5, 2)]));
        let is_consistent = match replies[0] {
            Some(Reply::Done) => retried == Some(Reply::Done),
            Some(Reply::Conflict) => retried == Some(Reply::Conflict),
            _ => matches!(retried, Some(Reply::Unavailable(_))),
        };
        assert!(is_consistent, "{seed}: {replies:?}, on retry {retried:?}");
    }
    assert!(rejected > 0, "no call was rejected");
}

#[test]
fn partly_accepted_proposal_of_a_rejected_call_is_not_completed() {
    let mut rejected = 0;
    for seed in 0..40 {
        let mut cluster = started(seed);
        assert_eq!(
            cluster.ask(1, services(&[("a", 4, 1), ("b", 4, 1)])),
            Some(Reply::Done)
        );
        // The proposal reaches a few replicas at most, which are then cut off.
        cluster.call(0, services(&[("a", 5, 2), ("b", 5, 2)]));
        cluster.run((60 + seed as i64 % 10 * 14) * MS);
        cluster.cut(&[0, 1], &[2, 3, 4, 5]);
        cluster.run(1_500 * MS);
        let other = cluster.ask(4, service("b", 5, 3));
        let retried = cluster.ask(3, services(&[("a", 5, 2), ("b", 5, 2)]));
        cluster.heal();
        cluster.run(4 * SECOND);
        assert!(cluster.agree());
        if other == Some(Reply::Done) && retried == Some(Reply::Conflict) {
            rejected += 1;
            assert!(
                content(&cluster, "a").is_some_and(|spec| spec.contains("/1")),
                "{seed}"
            );
        }
    }
    assert!(rejected > 0, "no call was rejected");
}

#[test]
fn accepted_call_is_acknowledged_again_at_every_replica() {
    let mut cluster = started(9);
    let route = r#"{"type":"routes","meta":{"name":"r","ver":5},"spec":{"host":"h","prefix":"/r/","kind":"idem",
        "timeout":"3s","target_time":"1s","svc":"s"}}"#;
    let object = r#"{"type":"svcs","meta":{"name":"s","ver":5},"spec":{"hcheck":"/1"}}"#;
    let call =
        Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{object},{route}]}}}}"#).into_bytes());
    let removal = |kind: &str, name: &str, ver: u64| {
        Command::ApplyPatch(
            format!(r#"{{"remove":{{"{kind}":[{{"name":"{name}","ver":{ver}}}]}}}}"#).into_bytes(),
        )
    };
    assert_eq!(cluster.ask(2, call.clone()), Some(Reply::Done));
    let assert_done_everywhere = |cluster: &mut Cluster, command: &Command, when: &str| {
        for replica in cluster.holding() {
            assert_eq!(
                cluster.ask(replica, command.clone()),
                Some(Reply::Done),
                "at {replica} {when}"
            );
        }
    };
    assert_done_everywhere(&mut cluster, &call, "at once");
    for replica in 0..6 {
        cluster.power(replica);
        cluster.start(replica);
    }
    cluster.run(2 * SECOND);
    assert_done_everywhere(&mut cluster, &call, "after a loss of power");
    let new_node = cluster.add(4);
    cluster.start(new_node);
    cluster.run(3 * SECOND);
    assert_done_everywhere(&mut cluster, &call, "with a replaced node");
    for evacuate in [true, false, true] {
        let evacuation = Command::SetEvacuation {
            zone: "c".into(),
            evacuate,
        };
        assert_eq!(cluster.ask(1, evacuation), Some(Reply::Done));
    }
    for ver in 1..=200 {
        assert_eq!(
            cluster.ask(
                ver as usize % 4,
                service(&format!("o{}", ver % 20), ver, ver)
            ),
            Some(Reply::Done)
        );
    }
    assert_done_everywhere(&mut cluster, &call, "after 200 changes of other items");
    // The items of the call are removed; then neither a retry of the call nor retries of the
    // removals have an effect.
    let removals = [removal("routes", "r", 6), removal("svcs", "s", 6)];
    for command in &removals {
        assert_eq!(cluster.ask(0, command.clone()), Some(Reply::Done));
    }
    for command in removals.iter().chain([&call]) {
        assert_done_everywhere(&mut cluster, command, "after its items were removed");
    }
    assert_eq!(content(&cluster, "s"), None);
    assert!(
        cluster.agree() && cluster.faults.is_empty(),
        "{:?}",
        cluster.faults
    );
}
