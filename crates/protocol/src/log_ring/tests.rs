use super::{IMMEDIATE, LogRing, MAX_LINES};
use slog::info;

#[test]
fn log_ring_keeps_only_the_newest_lines() {
    let ring = LogRing::default();
    let log = ring.logger("proxy", "edge-1");
    (0..MAX_LINES + 3).for_each(|number| info!(log, "line {}", number; "peer" => "10.0.0.1"));
    let lines = ring.take_lines();
    assert_eq!(
        (lines.len(), lines[0].as_str()),
        (MAX_LINES + 1, "(3 older lines were discarded)")
    );
    assert!(
        lines[1].contains("line 3") && lines[1].contains("peer=10.0.0.1"),
        "{}",
        lines[1]
    );
    assert!(ring.take_lines().is_empty());
    // A line that was written immediately is not written a second time with the buffer.
    info!(log, #IMMEDIATE, "rebuilt");
    assert!(ring.take_lines().is_empty());
}
