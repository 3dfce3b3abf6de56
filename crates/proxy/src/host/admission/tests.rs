use super::*;
use dataplane::framing::Head;
use test_case::test_case;

#[test_case(&[], &[], Some(&[]); "no regions named")]
#[test_case(&["a"], &[], Some(&["a"]); "the route's")]
#[test_case(&[], &["b"], Some(&["b"]); "the tenant's")]
#[test_case(&["a", "b"], &["b", "c"], Some(&["b"]); "both bind")]
#[test_case(&["a"], &["b"], None; "nowhere")]
fn regions_of_route_and_tenant_are_intersected(
    route: &[&str],
    tenant: &[&str],
    both: Option<&[&str]>,
) {
    let owned = |list: &[&str]| {
        list.iter()
            .map(|region| region.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        common_regions(&owned(route), &owned(tenant)),
        both.map(owned)
    );
}

#[test]
fn key_and_hop_by_hop_fields_are_not_forwarded() {
    let text = "GET /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nX-Tenant: forged\r\nX-Note: 1\r\n\
            Connection: x-own, X-Request-Id\r\nX-Own: 2\r\nX-Time-Left: 9\r\nX-Request-Id: i\r\n\r\n";
    let (head, _, _) = RequestHead::parse(text.as_bytes(), &Limits::default())
        .unwrap()
        .unwrap();
    let sent = String::from_utf8(forwarded_header_lines(&head.headers, Some("t"))).unwrap();
    assert_eq!(
        sent,
        "Host: h\r\nX-Note: 1\r\nX-Request-Id: i\r\nX-Tenant: t\r\n"
    );
}

#[test]
fn services_are_drawn_by_weight() {
    let text = r#"{"host":"h","prefix":"/","kind":"idem","timeout":"1s","target_time":"1s",
            "split":[{"svc":"a","wt":90},{"svc":"b","wt":0},{"svc":"c","wt":10}]}"#;
    let route: Route = serde_json::from_str(text).unwrap();
    fastrand::seed(1);
    let drawn: Vec<String> = (0..1_000).filter_map(|_| choose_service(&route)).collect();
    let count = |svc: &str| drawn.iter().filter(|drawn| *drawn == svc).count();
    assert!(count("b") == 0 && (50..=150).contains(&count("c")) && drawn.len() == 1_000);
}
