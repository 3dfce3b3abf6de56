//! Two operators under one number, and calls sent again, at the replicas' cores.

use control::operator_api::{Command, Reply};
use simulation::cluster::{Cluster, MS, SECOND, service};

fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.run_to(3 * SECOND);
    cluster
}

/// Sets these services, each with its version and content, in one call.
fn services(all: &[(&str, u64, u64)]) -> Command {
    let object = |(name, ver, content): &(&str, u64, u64)| {
        format!(
            r#"{{"type":"svcs","meta":{{"name":"{name}","ver":{ver}}},"spec":{{"hcheck":"/{content}"}}}}"#
        )
    };
    let objects: Vec<String> = all.iter().map(object).collect();
    Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, objects.join(",")).into_bytes())
}

/// The content of a service as all replicas know it.
fn content(cluster: &Cluster, name: &str) -> Option<String> {
    cluster
        .chosen(0)
        .into_values()
        .find(|item| item.name.name == name)
        .and_then(|item| item.spec)
}

#[test]
fn rejected_call_has_no_effect() {
    let mut refused = 0;
    for seed in 0..60 {
        let mut cluster = started(seed);
        assert_eq!(
            cluster.ask(1, services(&[("a", 4, 1), ("b", 4, 1)])),
            Some(Reply::Done)
        );
        // The second call takes one of the first one's items before, while or after that has
        // reached a few replicas.
        let both = cluster.call(0, services(&[("a", 5, 2), ("b", 5, 2)]));
        cluster.run((seed as i64 % 12) * 12 * MS);
        let one = cluster.call(5, service("b", 5, 3));
        cluster.run(3 * SECOND);
        let replies = [both, one].map(|call| cluster.reply(call));
        assert!(cluster.agree());
        let taken = |name: &str| content(&cluster, name).is_some_and(|spec| spec.contains("/2"));
        if replies[0] == Some(Reply::Conflict) {
            refused += 1;
            assert!(
                !taken("a") && !taken("b"),
                "{seed}: {replies:?}, and a part is in force"
            );
        }
        let again = cluster.ask(3, services(&[("a", 5, 2), ("b", 5, 2)]));
        let may = match replies[0] {
            Some(Reply::Done) => again == Some(Reply::Done),
            Some(Reply::Conflict) => again == Some(Reply::Conflict),
            _ => matches!(again, Some(Reply::Unavailable(_))),
        };
        assert!(may, "{seed}: {replies:?}, and again {again:?}");
    }
    assert!(refused > 0, "no call was refused");
}

#[test]
fn leftovers_of_a_rejected_call_are_not_completed() {
    let mut found = 0;
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
        let again = cluster.ask(3, services(&[("a", 5, 2), ("b", 5, 2)]));
        cluster.heal();
        cluster.run(4 * SECOND);
        assert!(cluster.agree());
        if other == Some(Reply::Done) && again == Some(Reply::Conflict) {
            found += 1;
            assert!(
                content(&cluster, "a").is_some_and(|spec| spec.contains("/1")),
                "{seed}"
            );
        }
    }
    assert!(found > 0, "no call was refused");
}

#[test]
fn accepted_call_is_acknowledged_again_at_every_replica() {
    let mut cluster = started(9);
    let route = r#"{"type":"routes","meta":{"name":"r","ver":5},"spec":{"host":"h","prefix":"/r/","kind":"idem",
        "timeout":"3s","target_time":"1s","svc":"s"}}"#;
    let object = r#"{"type":"svcs","meta":{"name":"s","ver":5},"spec":{"hcheck":"/1"}}"#;
    let call =
        Command::ApplyPatch(format!(r#"{{"upsert":{{"objs":[{object},{route}]}}}}"#).into_bytes());
    let drop = |kind: &str, name: &str, ver: u64| {
        Command::ApplyPatch(
            format!(r#"{{"remove":{{"{kind}":[{{"name":"{name}","ver":{ver}}}]}}}}"#).into_bytes(),
        )
    };
    assert_eq!(cluster.ask(2, call.clone()), Some(Reply::Done));
    let everywhere = |cluster: &mut Cluster, command: &Command, when: &str| {
        for at in cluster.holding() {
            assert_eq!(
                cluster.ask(at, command.clone()),
                Some(Reply::Done),
                "at {at} {when}"
            );
        }
    };
    everywhere(&mut cluster, &call, "at once");
    for at in 0..6 {
        cluster.power(at);
        cluster.start(at);
    }
    cluster.run(2 * SECOND);
    everywhere(&mut cluster, &call, "after a loss of power");
    let new = cluster.add(4);
    cluster.start(new);
    cluster.run(3 * SECOND);
    everywhere(&mut cluster, &call, "at a newcomer too");
    for on in [true, false, true] {
        let zone = Command::SetEvacuation {
            zone: "c".into(),
            evacuate: on,
        };
        assert_eq!(cluster.ask(1, zone), Some(Reply::Done));
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
    everywhere(&mut cluster, &call, "after 200 changes of others");
    // The items that it names are removed; then neither the repeat nor the repeats of the removals
    // have an effect.
    let gone = [drop("routes", "r", 6), drop("svcs", "s", 6)];
    for order in &gone {
        assert_eq!(cluster.ask(0, order.clone()), Some(Reply::Done));
    }
    for order in gone.iter().chain([&call]) {
        everywhere(&mut cluster, order, "after it was dropped");
    }
    assert_eq!(content(&cluster, "s"), None);
    assert!(
        cluster.agree() && cluster.faults.is_empty(),
        "{:?}",
        cluster.faults
    );
}
