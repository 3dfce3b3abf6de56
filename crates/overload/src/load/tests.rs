use super::*;

#[test]
fn service_is_reported_only_for_a_while_after_overload() {
    let mut load = LoadCounts::default();
    load.record_request(3, true);
    load.record_outcome(0, RequestOutcome::Answered(100, 500));
    assert_eq!(load.take_report(EVALUATION_INTERVAL, "s", false), None);
    load.record_request(3, true);
    load.record_request(7, false);
    load.record_outcome(EVALUATION_INTERVAL, RequestOutcome::Answered(400, 500));
    let report = load
        .take_report(2 * EVALUATION_INTERVAL, "s", false)
        .unwrap();
    assert_eq!(
        (report.offered, report.admitted, report.in_time, report.slow),
        (vec![(3, 1), (7, 1)], 1, 0, 1)
    );
    assert_eq!(
        load.take_report(3 * EVALUATION_INTERVAL, "s", false)
            .map(|report| report.offered),
        Some(Vec::new())
    );
    assert_eq!(
        load.take_report(EVALUATION_INTERVAL + REPORTING_DURATION, "s", false),
        None
    );
    assert!(
        load.take_report(2 * EVALUATION_INTERVAL + REPORTING_DURATION, "s", true)
            .is_some(),
        "the report was requested"
    );
}
