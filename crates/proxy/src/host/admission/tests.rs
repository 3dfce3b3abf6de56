use super::*;
use dataplane::framing::Head;
use test_case::test_case;

#[test_case(&[], &[], Some(&[]); "neither restricts the regions")]
#[test_case(&["a"], &[], Some(&["a"]); "the route restricts them")]
#[test_case(&[], &["b"], Some(&["b"]); "the tenant restricts them")]
#[test_case(&["a", "b"], &["b", "c"], Some(&["b"]); "both restrict them")]
#[test_case(&["a"], &["b"], None; "no region in common")]
fn regions_of_route_and_tenant_are_intersected(
    route: &[&str],
    tenant: &[&str],
    expected: Option<&[&str]>,
) {
    let to_strings = |list: &[&str]| {
        list.iter()
            .map(|region| region.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        common_regions(&to_strings(route), &to_strings(tenant)),
        expected.map(to_strings)
    );
}

#[test]
fn api_key_and_hop_by_hop_fields_are_not_forwarded() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Tenant: forged\r\nX-Note: 1\r\n\
            Connection: x-own, X-Request-Id\r\nX-Own: 2\r\nX-Time-Left: 9\r\nX-Request-Id: i\r\n\r\n";
    let (head, _, _) = RequestHead::parse(text.as_bytes(), &Limits::default())
        .unwrap()
        .unwrap();
    let forwarded = String::from_utf8(forwarded_header_lines(&head.headers, Some("t"))).unwrap();
    assert_eq!(
        forwarded,
        "Host: h\r\nX-Note: 1\r\nX-Request-Id: i\r\nX-Tenant: t\r\n"
    );
}

#[test]
fn services_are_selected_by_weight() {
    let text = r#"{"host":"h","prefix":"/","kind":"idem","timeout":"1s","target_time":"1s",
            "split":[{"svc":"a","wt":90},{"svc":"b","wt":0},{"svc":"c","wt":10}]}"#;
    let route: Route = serde_json::from_str(text).unwrap();
    fastrand::seed(1);
    let selected: Vec<String> = (0..1_000).filter_map(|_| choose_service(&route)).collect();
    let count = |service: &str| {
        selected
            .iter()
            .filter(|selected| *selected == service)
            .count()
    };
    assert!(count("b") == 0 && (50..=150).contains(&count("c")) && selected.len() == 1_000);
}
