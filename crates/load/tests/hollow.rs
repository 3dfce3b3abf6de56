//! Hollow agents against control programs that are started for it.

use std::path::Path;

use emulator::system::machines::beside;
use load::system::hollow::{Plan, measure};

#[test]
fn hollow_agents_are_told_all_and_cost_their_control_programs_heartbeats_only() {
    let programs = beside(
        Path::new(env!("CARGO_BIN_EXE_streamarch-load")),
        env!("CARGO"),
    );
    let report = measure(&Plan {
        zones: 3,
        agents: 30,
        items: 20,
        settle: 1.5,
        seconds: 1.0,
        programs,
    })
    .unwrap();
    assert_eq!((report.control.len(), report.lost), (3, 0), "{report}");
    assert!(
        report
            .control
            .iter()
            .all(|spent| spent.resident > 1_000_000),
        "{report}"
    );
    // Two and a half beats and one question for the time each second, and as much back; no items in calm.
    let (sent, heard) = report.messages;
    assert!(
        (30.0..30.0 * 6.0).contains(&sent) && heard < 30.0 * 12.0,
        "{report}"
    );
    assert_eq!(report.kinds.get("items"), None, "{report}");
}
