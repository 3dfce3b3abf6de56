use super::*;

#[test]
fn load_report_is_parsed_and_invalid_input_is_not() {
    let report = parse_load_report("TEXT inflight=7, queue=2, util=0.61, new=1").unwrap();
    assert_eq!(
        (
            report.active_requests,
            report.queued_requests,
            report.cpu_utilization
        ),
        (Some(7.0), Some(2.0), Some(0.61))
    );
    assert_eq!(parse_load_report("TEXT util=NaN"), None);
    assert_eq!(parse_load_report(""), None);
}
