use super::ConfigDuration;
use test_case::test_case;

#[test_case("1500ms", Some(1_500_000); "milliseconds")]
#[test_case("2.5s", Some(2_500_000); "fractional seconds")]
#[test_case("0ms", Some(0); "zero")]
#[test_case("5", None; "missing unit")]
#[test_case("-1s", None; "negative")]
#[test_case("infs", None; "not a finite number")]
fn duration_is_a_number_and_a_unit(text: &str, duration_us: Option<i64>) {
    assert_eq!(
        ConfigDuration::parse(text).map(|duration| duration.0),
        duration_us
    );
}
