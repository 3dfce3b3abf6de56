use super::*;
use protocol::items::ItemName;
use test_case::test_case;

fn item(kind: ItemKind, name: &str, ver: u64, spec: Option<&str>) -> Item {
    Item {
        name: ItemName {
            kind,
            name: name.to_string(),
        },
        ver,
        spec: spec.map(str::to_string),
    }
}

fn route(name: &str, ver: u64, host: &str, prefix: &str, svc: &str) -> Item {
    let spec = format!(
        r#"{{"host":"{host}","prefix":"{prefix}","kind":"idem","timeout":"3s","target_time":"500ms","svc":"{svc}"}}"#
    );
    item(ItemKind::Route, name, ver, Some(&spec))
}

#[test_case("h", "/a/1", Some("one"); "a prefix")]
#[test_case("h", "/a/b/1?x=/c/", Some("two"); "the longest prefix")]
#[test_case("h:8080", "/a/b/", Some("two"); "a host with its port")]
#[test_case("H", "/a/b/", Some("two"); "a host in capitals")]
#[test_case("h", "/a", None; "a part of the prefix")]
#[test_case("h", "/?/a/", None; "a prefix in the query")]
#[test_case("g", "/a/1", None; "another host")]
fn route_with_the_longest_prefix_of_the_host_is_found(
    host: &str,
    target: &str,
    expected_service: Option<&str>,
) {
    let mut config_store = ConfigStore::default();
    config_store.apply(vec![
        route("x", 1, "h", "/a/", "one"),
        route("y", 1, "h", "/a/b/", "two"),
    ]);
    assert_eq!(
        config_store
            .find_route(host, target)
            .and_then(|route| route.svc.as_deref()),
        expected_service
    );
}

#[test]
fn updates_in_any_order_never_revert_to_an_older_version() {
    let mut config_store = ConfigStore::default();
    let change = |ver, svc| route("x", ver, "h", "/a/", svc);
    config_store.apply(vec![change(9, "nine")]);
    assert!(
        !config_store
            .apply(vec![change(7, "seven"), change(9, "other")])
            .0
            .has_new_items
    );
    assert_eq!(
        config_store.find_route("h", "/a/").unwrap().svc.as_deref(),
        Some("nine")
    );
    config_store.apply(vec![item(ItemKind::Route, "x", 12, None)]);
    config_store.apply(vec![change(11, "eleven")]);
    assert!(
        config_store.find_route("h", "/a/").is_none(),
        "removed at version 12, and version 11 arrives late"
    );
}

#[test]
fn restored_zone_is_reported_even_if_its_evacuation_was_not_received() {
    let mut config_store = ConfigStore::default();
    let zone = |ver, spec| vec![item(ItemKind::Zone, "z", ver, Some(spec))];
    assert_eq!(config_store.apply(zone(4, "false")).0.restored_zones, ["z"]);
    assert_eq!(
        config_store.apply(zone(5, "true")).0.restored_zones,
        Vec::<String>::new()
    );
    assert!(config_store.evacuated_zones().contains("z"));
    assert_eq!(config_store.apply(zone(6, "false")).0.restored_zones, ["z"]);
    assert!(
        config_store.apply(zone(6, "false")).0 == ConfigChange::default()
            && config_store.evacuated_zones().is_empty()
    );
}

#[test]
fn removed_key_belongs_to_no_tenant() {
    let mut config_store = ConfigStore::default();
    let tenant = |ver, keys: &str| {
        item(
            ItemKind::Tenant,
            "t",
            ver,
            Some(&format!(r#"{{"apikeys":[{keys}],"per_s":5,"burst":5}}"#)),
        )
    };
    assert!(!config_store.requires_api_keys());
    config_store.apply(vec![tenant(1, r#""k1","k2""#)]);
    assert_eq!(config_store.tenant_by_api_key("k1").unwrap().name, "t");
    config_store.apply(vec![tenant(3, r#""k2""#)]);
    assert!(
        config_store.tenant_by_api_key("k1").is_none()
            && config_store.tenant_by_api_key("k2").is_some()
            && config_store.requires_api_keys()
    );
}

#[test]
fn undecodable_item_does_not_replace_the_stored_one() {
    let mut config_store = ConfigStore::default();
    config_store.apply(vec![route("x", 1, "h", "/a/", "one")]);
    let (change, errors) = config_store.apply(vec![route("x", 2, "h", "bare", "two")]);
    assert!(!change.has_new_items && errors.len() == 1 && errors[0].0.contains("prefix"));
    assert_eq!(
        config_store.find_route("h", "/a/").unwrap().svc.as_deref(),
        Some("one")
    );
}
