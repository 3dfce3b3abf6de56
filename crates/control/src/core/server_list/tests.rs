use super::*;
use test_case::test_case;

fn server(id: &str, up: bool, cold: i64) -> Server {
    let (addr, svc, zone) = (
        "10.0.0.1:80".parse().unwrap(),
        "s".to_string(),
        "a".to_string(),
    );
    Server {
        id: id.to_string(),
        svc,
        addr,
        zone,
        slots: 2,
        accepts_requests: up,
        warm_up_left_us: cold,
    }
}

#[test_case(vec![server("i", true, 2_000_000), server("j", true, 0)], false; "time goes on")]
#[test_case(vec![server("j", true, 0), server("i", true, 2_000_000)], false; "another order")]
#[test_case(vec![server("i", true, 1_700_000), server("j", true, 0)], false; "a little earlier warm")]
#[test_case(vec![server("i", true, 1_500_000), server("j", true, 0)], true; "much earlier warm")]
#[test_case(vec![server("i", true, 2_000_000), server("j", true, 90_000)], true; "turned cold")]
#[test_case(vec![server("i", false, 2_000_000), server("j", true, 0)], true; "one leaves")]
#[test_case(vec![server("i", true, 2_000_000)], true; "one is gone")]
fn unchanged_list_gets_no_new_version(next: Vec<Server>, news: bool) {
    let mut listed = ServerList::default();
    assert!(listed.update_from_platform(
        0,
        3,
        vec![server("i", true, 3_000_000), server("j", true, 0)]
    ));
    assert_eq!(listed.update_from_platform(1_000_000, 4, next), news);
    assert_eq!(listed.version(), if news { (4, 1) } else { (3, 1) });
}

#[test]
fn older_list_is_rejected_and_warm_up_counts_from_receipt() {
    let mut listed = ServerList::default();
    assert!(listed.update_from_replica(0, (2, 5), vec![server("i", true, 900)]));
    assert!(
        !listed.update_from_replica(0, (2, 4), vec![])
            && !listed.update_from_replica(0, (1, 9), vec![])
    );
    assert_eq!(listed.current(300)[0].warm_up_left_us, 600);
    assert_eq!(listed.current(1_000)[0].warm_up_left_us, 0);
}
