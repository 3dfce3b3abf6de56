use super::parse_page;
use test_case::test_case;

const PAGE: &str = r#"{"insts":{"cols":["svc","addr","zone","ver","slots","state","warm_left","id"],
        "rows":[["s","10.128.0.9:8080","a","v1",2,"draining","1.5s","i-7"],["s","10.128.0.8:8080","a",null,null,"up",null,"i-8"]]},
        "next_cursor":"p-50"}"#;

#[test]
fn page_is_read_by_its_column_names() {
    let page = parse_page(PAGE.as_bytes()).unwrap();
    assert_eq!(page.next_cursor.as_deref(), Some("p-50"));
    assert_eq!(
        (
            page.servers[0].accepts_requests,
            page.servers[0].warm_up_left_us,
            page.servers[0].slots
        ),
        (false, 1_500_000, 2)
    );
    assert_eq!(
        (
            page.servers[1].accepts_requests,
            page.servers[1].warm_up_left_us,
            page.servers[1].slots
        ),
        (true, 0, 1)
    );
}

#[test_case(r#""i-8""#, "null", "id"; "a server without an id")]
#[test_case("10.128.0.8:8080", "nowhere", "addr"; "an invalid address")]
#[test_case("next_cursor\":\"p-50\"}", "", "list"; "a truncated page")]
fn error_of_an_invalid_page_names_the_key(from: &str, to: &str, key: &str) {
    let error = format!(
        "{:#}",
        parse_page(PAGE.replacen(from, to, 1).as_bytes()).unwrap_err()
    );
    assert!(error.contains(key), "{error}");
}
