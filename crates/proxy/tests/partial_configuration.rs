//! What a proxy does with a part of the configuration: no request is forwarded by what the part lacks.

mod common;

use common::{ProxyHarness, START, item, request_text, route};
use protocol::items::{Item, ItemKind, ItemName};
use protocol::messages::ControlMessage;

const KEY: &str = "Authorization: Bearer k\r\n";
/// Longer than a confirmation is valid.
const SILENCE_MS: i64 = 10_000;

fn service() -> Item {
    item(ItemKind::Service, "s", 1, r#"{"hcheck":"/healthz"}"#)
}

fn tenant() -> Item {
    item(
        ItemKind::Tenant,
        "t",
        1,
        r#"{"apikeys":["k"],"prio":1,"per_s":0,"burst":0,"pins":[]}"#,
    )
}

/// A proxy that is connected to an agent which has sent these items and the servers, and has not said that they are all.
fn harness_with_part(items: Vec<Item>) -> ProxyHarness {
    let mut harness = ProxyHarness::without_state(START, &["a"], "");
    harness.send_cluster_view();
    harness.send_control(ControlMessage::Items(items));
    harness.send_server_list();
    harness
}

/// Sends a GET request; returns the status of the response that the proxy itself generates, and checks that no server received the
/// request.
fn refusal_status(harness: &mut ProxyHarness, path: &str, extra_headers: &str) -> u16 {
    let before = harness.request_count();
    let client = harness.send_from_new_client(request_text(
        &format!("GET {path}"),
        "r1",
        extra_headers,
        "",
    ));
    harness.settle();
    assert_eq!(
        harness.request_count(),
        before,
        "GET {path} was forwarded: {:?}",
        harness.take_request().map(|attempt| attempt.request)
    );
    harness.next_response(client).status
}

/// Sends a GET request that is forwarded; returns the tenant that the server was told.
fn forwarded_tenant(harness: &mut ProxyHarness, path: &str, extra_headers: &str) -> Option<String> {
    let client = harness.send_from_new_client(request_text(
        &format!("GET {path}"),
        "r2",
        extra_headers,
        "",
    ));
    let attempt = harness.next_request();
    let tenant = attempt.request.headers.get("X-Tenant").map(str::to_string);
    harness.respond_ok(&attempt);
    assert_eq!(harness.next_response(client).status, 200);
    tenant
}

/// Guards against requests without their key's tenant, forwarded by a proxy that has routes and no tenants yet.
#[test]
fn keyed_request_is_not_forwarded_before_the_tenants_have_arrived() {
    let mut harness = harness_with_part(vec![route("/k/", 1, "idem", ""), service()]);
    assert_eq!(refusal_status(&mut harness, "/k/1", KEY), 503);
    harness.send_control(ControlMessage::Items(vec![tenant()]));
    harness.confirm_complete_state();
    let tenant = forwarded_tenant(&mut harness, "/k/1", KEY);
    assert_eq!(tenant.as_deref(), Some("t"));
}

/// Guards against requests at the wrong service, by a route whose longer neighbour is yet to arrive.
#[test]
fn request_is_not_forwarded_by_a_shorter_prefix_before_the_longer_one_has_arrived() {
    let public = r#","public":true"#;
    let mut harness = harness_with_part(vec![route("/a/", 1, "idem", public), service()]);
    assert_eq!(refusal_status(&mut harness, "/a/b/1", ""), 503);
    let longer = r#"{"host":"h","prefix":"/a/b/","kind":"idem","timeout":"3s","target_time":"500ms","svc":"other","tries":1,"public":true}"#;
    harness.send_control(ControlMessage::Items(vec![item(
        ItemKind::Route,
        "/a/b/",
        1,
        longer,
    )]));
    harness.confirm_complete_state();
    // The servers of the other service are not there.
    assert_eq!(refusal_status(&mut harness, "/a/b/1", ""), 503);
    assert_eq!(forwarded_tenant(&mut harness, "/a/1", ""), None);
}

/// Guards against requests to servers of an evacuated zone whose evacuation is yet to arrive.
#[test]
fn request_is_not_sent_to_a_zone_before_its_evacuation_has_arrived() {
    let public = r#","public":true"#;
    let mut harness = harness_with_part(vec![route("/a/", 1, "idem", public), service()]);
    assert_eq!(refusal_status(&mut harness, "/a/1", ""), 503);
    let evacuated = item(ItemKind::Zone, "a", 1, "true");
    harness.send_control(ControlMessage::Items(vec![evacuated]));
    harness.confirm_complete_state();
    assert_eq!(refusal_status(&mut harness, "/a/1", ""), 503);
}

/// Guards against requests without their key's tenant, where an order follows an empty configuration that is complete.
#[test]
fn keyed_request_is_not_forwarded_after_the_half_of_the_first_order_that_has_no_tenants() {
    let mut harness = harness_with_part(Vec::new());
    harness.confirm_complete_state();
    harness.send_control(ControlMessage::Items(vec![
        route("/k/", 1, "idem", ""),
        service(),
    ]));
    harness.settle();
    assert_eq!(refusal_status(&mut harness, "/k/1", KEY), 503);
    harness.send_control(ControlMessage::Items(vec![tenant()]));
    harness.settle();
    let tenant = forwarded_tenant(&mut harness, "/k/1", KEY);
    assert_eq!(tenant.as_deref(), Some("t"));
}

/// Guards against requests without their key's tenant on a public route: an old configuration can't tell whose a new key is.
#[test]
fn request_with_an_unknown_key_on_a_public_route_is_not_forwarded_by_an_old_configuration() {
    let public = route("/p/", 1, "idem", r#","public":true"#);
    let mut harness = harness_with_part(vec![public, service(), tenant()]);
    harness.confirm_complete_state();
    harness.advance_ms(SILENCE_MS);
    let other_key = "Authorization: Bearer other\r\n";
    assert_eq!(refusal_status(&mut harness, "/p/1", other_key), 503);
    assert_eq!(forwarded_tenant(&mut harness, "/p/1", ""), None);
    let tenant = forwarded_tenant(&mut harness, "/p/1", KEY);
    assert_eq!(tenant.as_deref(), Some("t"));
}

#[test]
fn request_with_an_unknown_key_on_a_public_route_is_rejected_for_good_by_a_current_configuration() {
    let public = route("/p/", 1, "idem", r#","public":true"#);
    let mut harness = harness_with_part(vec![public, service(), tenant()]);
    harness.confirm_complete_state();
    let other_key = "Authorization: Bearer other\r\n";
    assert_eq!(refusal_status(&mut harness, "/p/1", other_key), 401);
    assert_eq!(forwarded_tenant(&mut harness, "/p/1", ""), None);
}

/// What is dropped is known to be dropped: the answer is final.
#[test]
fn key_of_the_last_tenant_is_rejected_for_good_after_the_tenant_was_removed() {
    let mut harness = harness_with_part(vec![route("/k/", 1, "idem", ""), service(), tenant()]);
    harness.confirm_complete_state();
    let removed = Item {
        spec: None,
        ver: 2,
        ..tenant()
    };
    harness.send_control(ControlMessage::Items(vec![removed]));
    harness.settle();
    assert_eq!(refusal_status(&mut harness, "/k/1", KEY), 401);
}

/// Guards against final answers by built-in or old limits to requests that the operators' limits allow.
#[test]
fn request_beyond_the_limits_is_rejected_for_good_by_a_current_configuration_only() {
    let public = r#","public":true"#;
    let limits = item(
        ItemKind::Limits,
        "",
        1,
        r#"{"hdr_bytes":400,"body_bytes":100,"hdr":"3s","idle":"15s"}"#,
    );
    let long_head = format!("X-Long: {}\r\n", "x".repeat(20_000));
    let long_body = "Content-Length: 40000000\r\n";
    let mut harness = harness_with_part(vec![route("/p/", 1, "idem", public), service()]);
    assert_eq!(refusal_status(&mut harness, "/p/1", &long_head), 503);
    assert_eq!(refusal_status(&mut harness, "/p/1", long_body), 503);
    harness.send_control(ControlMessage::Items(vec![limits]));
    harness.confirm_complete_state();
    assert_eq!(refusal_status(&mut harness, "/p/1", &long_head), 431);
    assert_eq!(refusal_status(&mut harness, "/p/1", long_body), 413);
    harness.advance_ms(SILENCE_MS);
    assert_eq!(refusal_status(&mut harness, "/p/1", &long_head), 503);
    assert_eq!(refusal_status(&mut harness, "/p/1", long_body), 503);
}

/// An order of which each item depends on others: a keyed route, one with a longer prefix to a service without servers, and the tenant.
fn order() -> Vec<Item> {
    let deep = r#"{"host":"h","prefix":"/k/deep/","kind":"idem","timeout":"3s","target_time":"500ms","svc":"other","tries":1}"#;
    vec![
        route("/k/", 1, "idem", ""),
        item(ItemKind::Route, "/k/deep/", 1, deep),
        service(),
        tenant(),
    ]
}

/// Every way to hand over an order in two parts, by the items of the first one.
fn cuts() -> impl Iterator<Item = (Vec<Item>, Vec<Item>)> {
    (0..1_usize << order().len()).map(|cut| {
        let numbered = order().into_iter().enumerate();
        let (first, rest): (Vec<_>, Vec<_>) =
            numbered.partition(|(number, _)| cut & (1 << number) != 0);
        let items = |part: Vec<(usize, Item)>| part.into_iter().map(|(_, item)| item).collect();
        (items(first), items(rest))
    })
}

/// Guards against requests that are forwarded by a part of an order, wherever that is cut.
#[test]
fn starting_proxy_forwards_nothing_by_any_part_of_an_order() {
    for (first, rest) in cuts() {
        let mut harness = harness_with_part(first);
        assert_eq!(refusal_status(&mut harness, "/k/1", KEY), 503);
        assert_eq!(refusal_status(&mut harness, "/k/deep/1", KEY), 503);
        harness.send_control(ControlMessage::Items(rest));
        harness.confirm_complete_state();
        let tenant = forwarded_tenant(&mut harness, "/k/1", KEY);
        assert_eq!(tenant.as_deref(), Some("t"));
        assert_eq!(refusal_status(&mut harness, "/k/deep/1", KEY), 503);
    }
}

/// Guards against a request without its key's tenant at a proxy that was complete before the order, wherever that is cut.
#[test]
fn complete_proxy_forwards_a_key_only_with_its_tenant_at_any_part_of_an_order() {
    for (first, rest) in cuts() {
        let knows = |name: &ItemName| first.iter().any(|item| item.name == *name);
        let [route, _, _, tenant] = &order()[..] else {
            unreachable!("the order has four items")
        };
        let is_known = knows(&route.name) && knows(&tenant.name);
        let mut harness = harness_with_part(Vec::new());
        harness.confirm_complete_state();
        harness.send_control(ControlMessage::Items(first));
        harness.settle();
        if is_known {
            let tenant = forwarded_tenant(&mut harness, "/k/1", KEY);
            assert_eq!(tenant.as_deref(), Some("t"));
        } else {
            refusal_status(&mut harness, "/k/1", KEY);
        }
        harness.send_control(ControlMessage::Items(rest));
        harness.settle();
        let tenant = forwarded_tenant(&mut harness, "/k/1", KEY);
        assert_eq!(tenant.as_deref(), Some("t"));
    }
}
