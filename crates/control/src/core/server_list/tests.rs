use super::*;
use test_case::test_case;

fn server(id: &str, accepts_requests: bool, warm_up_left: i64) -> Server {
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
        accepts_requests,
        warm_up_left_us: warm_up_left,
    }
}

#[test_case(vec![server("i", true, 2_000_000), server("j", true, 0)], false; "warm-up has progressed")]
#[test_case(vec![server("j", true, 0), server("i", true, 2_000_000)], false; "different order")]
#[test_case(vec![server("i", true, 1_700_000), server("j", true, 0)], false; "warm-up ends slightly earlier")]
#[test_case(vec![server("i", true, 1_500_000), server("j", true, 0)], true; "warm-up ends much earlier")]
#[test_case(vec![server("i", true, 2_000_000), server("j", true, 90_000)], true; "warm-up restarted")]
#[test_case(vec![server("i", false, 2_000_000), server("j", true, 0)], true; "server rejects requests")]
#[test_case(vec![server("i", true, 2_000_000)], true; "server removed")]
fn unchanged_list_gets_no_new_version(next: Vec<Server>, is_changed: bool) {
    let mut list = ServerList::default();
    assert!(list.update_from_platform(
        0,
        3,
        vec![server("i", true, 3_000_000), server("j", true, 0)]
    ));
    assert_eq!(list.update_from_platform(1_000_000, 4, next), is_changed);
    assert_eq!(list.version(), if is_changed { (4, 1) } else { (3, 1) });
}

#[test]
fn older_list_is_rejected_and_warm_up_counts_from_receipt() {
    let mut list = ServerList::default();
    assert!(list.update_from_replica(0, (2, 5), vec![server("i", true, 900)]));
    assert!(
        !list.update_from_replica(0, (2, 4), vec![])
            && !list.update_from_replica(0, (1, 9), vec![])
    );
    assert_eq!(list.current(300)[0].warm_up_left_us, 600);
    assert_eq!(list.current(1_000)[0].warm_up_left_us, 0);
}
