//! A hundred gateways, sixty servers, one counter: what all do together stays within bounds, at every trouble.

use load::fleet::{Shape, Totals, Trouble, play};

/// What holds at any trouble. A counter of 312 calls a second is asked for more than that now and then.
fn within_bounds(trouble: Trouble) -> Totals {
    let totals = play(&Shape::default(), trouble);
    let shown = format!("{trouble:?}\n{totals}");
    assert!(totals.pushed < 0.6, "{shown}");
    assert!(totals.a_second(totals.calls) < 400.0, "{shown}");
    assert!(totals.most_messages <= 40, "{shown}");
    assert!(totals.each(totals.opened) < 0.25, "{shown}");
    assert!(totals.beyond_share() < 0.2, "{shown}");
    assert!(totals.kept() > 0.9, "{shown}");
    assert!(
        totals.each(totals.no_server + totals.failed) < 0.01,
        "{shown}"
    );
    totals
}

#[test]
fn most_gateways_restart_at_once_with_an_old_list() {
    within_bounds(Trouble::Restart);
}

#[test]
fn a_zone_goes_silent_and_comes_back_cold() {
    let totals = within_bounds(Trouble::Zone);
    assert!(totals.unrun < 1_000 && totals.pushed > 0.0, "{totals}");
}

#[test]
fn six_in_ten_servers_are_replaced_in_six_seconds() {
    let totals = within_bounds(Trouble::Replace);
    assert!(totals.pushed > 0.05, "cold servers are used too: {totals}");
}

#[test]
fn the_same_seed_gives_the_same_totals() {
    let shape = Shape {
        gateways: 20,
        servers: 12,
        ..Shape::default()
    };
    let play = || Totals {
        decision_us: 0.0,
        ..play(&shape, Trouble::Restart)
    };
    assert_eq!(play().to_string(), play().to_string());
}
