//! A call that was taken may be sent again after what it names was changed or dropped.

use protocol::items::{Item, Items, parse_patch};
use test_case::test_case;

const SERVICE: &str = r#"{"type":"svcs","meta":{"name":"a","ver":1},"spec":{}}"#;

fn route(name: &str, ver: u64, svc: &str) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"{name}","ver":{ver}}},"spec":{{"host":"h","prefix":"/{name}/","kind":"idem",
        "timeout":"3s","target_time":"1s","svc":"{svc}"}}}}"#
    )
}

fn set(objects: &[&str]) -> String {
    format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, objects.join(","))
}

fn drop(kind: &str, name: &str, ver: u64) -> String {
    format!(r#"{{"remove":{{"{kind}":[{{"name":"{name}","ver":{ver}}}]}}}}"#)
}

/// What stands after these calls, each of which is in order.
fn after(calls: &[String]) -> Items {
    let mut standing = Items::new();
    for call in calls {
        let items: Vec<Item> = parse_patch(call.as_bytes(), &standing).expect(call);
        for item in items {
            if standing
                .get(&item.name)
                .is_none_or(|old| old.ver < item.ver)
            {
                standing.insert(item.name.clone(), item);
            }
        }
    }
    standing
}

#[test_case(&[route("r", 2, "b")]; "the route goes to another service")]
#[test_case(&[]; "the route was dropped")]
fn repeated_call_is_valid_after_its_service_was_removed(moved: &[String]) {
    let call = set(&[SERVICE, &route("r", 1, "a")]);
    let other = r#"{"type":"svcs","meta":{"name":"b","ver":1},"spec":{}}"#;
    let moved: Vec<&str> = moved.iter().map(String::as_str).collect();
    let next = if moved.is_empty() {
        drop("routes", "r", 2)
    } else {
        set(&moved)
    };
    let standing = after(&[call.clone(), set(&[other]), next, drop("svcs", "a", 2)]);
    assert!(parse_patch(call.as_bytes(), &standing).is_ok());
    let alone = set(&[&route("r", 1, "a")]);
    assert!(parse_patch(alone.as_bytes(), &standing).is_ok());
    // It would come into force, or was never taken: no such service ever stood.
    for (ver, svc) in [(3, "a"), (1, "c"), (3, "c")] {
        let wrong = set(&[&route("r", ver, svc)]);
        assert!(parse_patch(wrong.as_bytes(), &standing).is_err(), "{wrong}");
    }
}

#[test]
fn repeated_removal_is_valid_beside_unrelated_routes() {
    let calls = [set(&[SERVICE]), drop("svcs", "a", 2)];
    let mut standing = after(&calls);
    // Taken elsewhere at the same time as the drop: a route that names what is gone.
    let stale = after(&calls[..1]);
    let racing = parse_patch(set(&[&route("r", 1, "a")]).as_bytes(), &stale).unwrap();
    standing.extend(racing.into_iter().map(|item| (item.name.clone(), item)));
    assert!(parse_patch(calls[1].as_bytes(), &standing).is_ok());
    assert!(parse_patch(set(&[&route("r", 1, "a")]).as_bytes(), &standing).is_ok());
    let other = set(&[r#"{"type":"svcs","meta":{"name":"b","ver":1},"spec":{}}"#]);
    let items = parse_patch(other.as_bytes(), &standing).unwrap();
    standing.extend(items.into_iter().map(|item| (item.name.clone(), item)));
    assert!(parse_patch(drop("svcs", "b", 2).as_bytes(), &standing).is_ok());
}
