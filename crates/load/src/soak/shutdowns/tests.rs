use std::time::Duration;

use emulator::system::machines::Role;

use super::{Action, draw};

#[test]
fn series_of_shutdowns_overlap_and_each_machine_starts_again() {
    let steps = draw(3, Duration::from_secs(8), 3, 6);
    assert_eq!(
        steps,
        draw(3, Duration::from_secs(8), 3, 6),
        "a seed repeats"
    );
    let count = |action: Action| steps.iter().filter(|step| step.action == action).count();
    assert!(count(Action::Terminate) > 10);
    assert_eq!(count(Action::Terminate), count(Action::Start));
    assert!(count(Action::Reload) > 0);
    assert!(steps.iter().any(|step| step.role == Role::Control));
}
