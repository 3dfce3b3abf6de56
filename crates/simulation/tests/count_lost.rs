//! The count is lost while a tenant surges: what passes stays below what is allowed, with room.

use simulation::draw::{Often, Plan, draw};
use simulation::play::play;
use test_case::test_case;

/// Most that may pass in any window, of what is allowed. Of 600 schedules each the worst reads 0.930 with 6 edges and 0.927
/// with 12; before the proxies kept to their shares in doubt 1.012 and 1.050.
const ROOM: f64 = 0.97;

#[test_case(6, 340, 30; "six edges")]
#[test_case(12, 85, 16; "twelve edges")]
fn a_count_that_is_lost_while_a_tenant_surges_lets_no_more_pass(
    edges: usize,
    first: u64,
    many: u64,
) {
    let plan = Plan {
        edges,
        often: Often::CountLost,
        ..Plan::default()
    };
    for seed in first..first + many {
        let outcome = play(&draw(seed, plan));
        assert!(
            outcome.faults.is_empty(),
            "seed {seed}: {:?}",
            outcome.faults
        );
        assert!(
            outcome.worst < ROOM,
            "seed {seed}: {:.3} of what is allowed",
            outcome.worst
        );
    }
}
