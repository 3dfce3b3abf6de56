use super::*;

const APPLY: Duration = Duration::from_secs(4);

#[test]
fn request_is_judged_by_the_versions_that_may_be_in_force() {
    let ledger = Ledger::default();
    ledger.record_sent("r", "/r/", 1, Some("a"));
    ledger.record_acknowledged("r", 1);
    ledger.record_sent("r", "/r/", 3, Some("b"));
    let now = Instant::now();
    let route = &ledger.routes()[0];
    assert!(!route.is_settled());
    let allowed = |after: u64| route.allowed(now + Duration::from_secs(after), APPLY);
    assert_eq!(
        allowed(1),
        (vec!["a", "b"], true),
        "none has to be in force yet"
    );
    assert_eq!(allowed(5), (vec!["a", "b"], false));
    ledger.record_acknowledged("r", 3);
    let route = &ledger.routes()[0];
    assert_eq!(route.allowed(now + 2 * APPLY, APPLY), (vec!["b"], false));
    ledger.record_sent("r", "/r/", 4, None);
    ledger.record_acknowledged("r", 4);
    let route = &ledger.routes()[0];
    assert_eq!(route.allowed(now + 2 * APPLY, APPLY), (vec![], true));
}
