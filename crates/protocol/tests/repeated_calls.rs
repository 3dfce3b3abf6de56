//! An accepted call that is sent again must stay valid after the items that it refers to were changed or removed. It was
//! rejected when its services no longer existed, although its items have no effect any more.

use protocol::items::{Item, Items, parse_patch};
use test_case::test_case;

const SERVICE: &str = r#"{"type":"svcs","meta":{"name":"a","ver":1},"spec":{}}"#;

fn route(name: &str, ver: u64, svc: &str) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"{name}","ver":{ver}}},"spec":{{"host":"h","prefix":"/{name}/","kind":"idem",
        "timeout":"3s","target_time":"1s","svc":"{svc}"}}}}"#
    )
}

fn upsert(objects: &[&str]) -> String {
    format!(r#"{{"upsert":{{"objs":[{}]}}}}"#, objects.join(","))
}

fn removal(kind: &str, name: &str, ver: u64) -> String {
    format!(r#"{{"remove":{{"{kind}":[{{"name":"{name}","ver":{ver}}}]}}}}"#)
}

/// The items in force after these calls, all of which must be valid.
fn items_after(calls: &[String]) -> Items {
    let mut in_force = Items::new();
    for call in calls {
        let items: Vec<Item> = parse_patch(call.as_bytes(), &in_force).expect(call);
        for item in items {
            if in_force
                .get(&item.name)
                .is_none_or(|old| old.ver < item.ver)
            {
                in_force.insert(item.name.clone(), item);
            }
        }
    }
    in_force
}

#[test_case(&[route("r", 2, "b")]; "the route refers to another service")]
#[test_case(&[]; "the route was removed")]
fn repeated_call_is_valid_after_its_service_was_removed(newer_route: &[String]) {
    let call = upsert(&[SERVICE, &route("r", 1, "a")]);
    let other = r#"{"type":"svcs","meta":{"name":"b","ver":1},"spec":{}}"#;
    let newer_route: Vec<&str> = newer_route.iter().map(String::as_str).collect();
    let next_call = if newer_route.is_empty() {
        removal("routes", "r", 2)
    } else {
        upsert(&newer_route)
    };
    let in_force = items_after(&[
        call.clone(),
        upsert(&[other]),
        next_call,
        removal("svcs", "a", 2),
    ]);
    assert!(parse_patch(call.as_bytes(), &in_force).is_ok());
    let route_alone = upsert(&[&route("r", 1, "a")]);
    assert!(parse_patch(route_alone.as_bytes(), &in_force).is_ok());
    // Calls that would come into force, or that were never accepted as they refer to an unknown service.
    for (ver, svc) in [(3, "a"), (1, "c"), (3, "c")] {
        let invalid = upsert(&[&route("r", ver, svc)]);
        assert!(
            parse_patch(invalid.as_bytes(), &in_force).is_err(),
            "{invalid}"
        );
    }
}

#[test]
fn repeated_removal_is_valid_beside_unrelated_routes() {
    let calls = [upsert(&[SERVICE]), removal("svcs", "a", 2)];
    let mut in_force = items_after(&calls);
    // A route to the removed service that another replica accepted at the same time as the removal.
    let stale = items_after(&calls[..1]);
    let concurrent_items = parse_patch(upsert(&[&route("r", 1, "a")]).as_bytes(), &stale).unwrap();
    in_force.extend(
        concurrent_items
            .into_iter()
            .map(|item| (item.name.clone(), item)),
    );
    assert!(parse_patch(calls[1].as_bytes(), &in_force).is_ok());
    assert!(parse_patch(upsert(&[&route("r", 1, "a")]).as_bytes(), &in_force).is_ok());
    let other = upsert(&[r#"{"type":"svcs","meta":{"name":"b","ver":1},"spec":{}}"#]);
    let items = parse_patch(other.as_bytes(), &in_force).unwrap();
    in_force.extend(items.into_iter().map(|item| (item.name.clone(), item)));
    assert!(parse_patch(removal("svcs", "b", 2).as_bytes(), &in_force).is_ok());
}
