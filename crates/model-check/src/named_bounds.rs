//! Predefined bounds, selected by name.

use crate::bounds::Bounds;
use crate::packed_types::Value;
use crate::state::Goal;

/// Bounds with a name.
#[derive(Clone, Debug)]
pub struct NamedBounds {
    /// Name on the command line.
    pub name: &'static str,
    /// Whether the bounds are small enough for the tests; otherwise only the program explores them.
    pub run_in_tests: bool,
    /// Limits of the exploration.
    pub bounds: Bounds,
}

/// Two writers propose different contents of the same version.
fn conflict() -> Vec<(usize, Goal)> {
    vec![
        (0, Goal::Write(Value::new(1, 1))),
        (1, Goal::Write(Value::new(1, 2))),
    ]
}

/// One machine writes the item, another drops it, and a third finishes an accepted value.
fn drop_and_finish() -> Vec<(usize, Goal)> {
    vec![
        (0, Goal::Write(Value::new(1, 1))),
        (1, Goal::Write(Value::dropped(2))),
        (2, Goal::Finish),
    ]
}

/// Two conflicting writes, each retried on another replica because the reply was lost.
fn retried_on_other_replica() -> Vec<(usize, Goal)> {
    let mut writers = conflict();
    writers.extend([(1, writers[0].1), (2, writers[1].1)]);
    writers
}

/// Two conflicting writes that arrive at the same machine.
fn one_machine() -> Vec<(usize, Goal)> {
    conflict().into_iter().map(|(_, goal)| (0, goal)).collect()
}

fn bounds(replicas: usize, writers: Vec<(usize, Goal)>) -> Bounds {
    Bounds {
        replicas,
        writers,
        max_rounds_begun: 2,
        max_round: 2,
        max_restarts: 0,
        replaced_replica: None,
        wipeable_machines: Vec::new(),
        max_disk_losses: 0,
        learn_chosen: false,
        learn_every_incarnation: false,
        no_symmetry_reduction: false,
        fault: None,
    }
}

/// Returns all predefined bounds, including those that only the program explores.
pub fn all() -> Vec<NamedBounds> {
    let named = |name, run_in_tests, bounds| NamedBounds {
        name,
        run_in_tests,
        bounds,
    };
    let with_disk_loss = |bounds: Bounds, wipeable: &[usize]| Bounds {
        wipeable_machines: wipeable.to_vec(),
        max_disk_losses: 1,
        ..bounds
    };
    let with_replacement = |bounds: Bounds, replica| Bounds {
        replaced_replica: Some(replica),
        ..bounds
    };
    let (conflict3, drop3) = (bounds(3, conflict()), bounds(3, drop_and_finish()));
    let (conflict5, drop5) = (bounds(5, conflict()), bounds(5, drop_and_finish()));
    let single_round = Bounds {
        max_round: 1,
        ..conflict5.clone()
    };
    vec![
        named(
            "restarts-3",
            true,
            Bounds {
                max_rounds_begun: 3,
                max_restarts: 2,
                learn_chosen: true,
                ..conflict3.clone()
            },
        ),
        named(
            "conflict-restart-3",
            true,
            Bounds {
                max_restarts: 1,
                learn_chosen: true,
                ..conflict3.clone()
            },
        ),
        named(
            "one-machine-3",
            true,
            Bounds {
                max_restarts: 1,
                ..bounds(3, one_machine())
            },
        ),
        named(
            "resent-3",
            false,
            Bounds {
                max_rounds_begun: 3,
                max_restarts: 1,
                learn_chosen: true,
                ..bounds(3, retried_on_other_replica())
            },
        ),
        named(
            "drop-3",
            true,
            Bounds {
                max_rounds_begun: 3,
                ..drop3.clone()
            },
        ),
        named(
            "drop-restart-3",
            false,
            Bounds {
                max_rounds_begun: 3,
                max_restarts: 1,
                learn_chosen: true,
                ..drop3.clone()
            },
        ),
        named(
            "lost-3",
            true,
            with_disk_loss(
                Bounds {
                    learn_chosen: true,
                    ..conflict3.clone()
                },
                &[0, 2],
            ),
        ),
        named(
            "replaced-3",
            true,
            with_replacement(
                Bounds {
                    learn_chosen: true,
                    ..conflict3.clone()
                },
                2,
            ),
        ),
        named(
            "replaced-writer-3",
            true,
            with_replacement(
                Bounds {
                    learn_chosen: true,
                    ..conflict3.clone()
                },
                0,
            ),
        ),
        named(
            "replaced-and-lost-3",
            true,
            with_disk_loss(with_replacement(conflict3.clone(), 2), &[0]),
        ),
        named(
            "conflict-5",
            true,
            Bounds {
                learn_chosen: true,
                ..conflict5
            },
        ),
        named(
            "replaced-restarts-3",
            false,
            with_replacement(
                Bounds {
                    max_restarts: 1,
                    ..conflict3.clone()
                },
                2,
            ),
        ),
        named(
            "replaced-and-any-lost-3",
            false,
            with_disk_loss(with_replacement(conflict3.clone(), 2), &[0, 1, 2, 3]),
        ),
        named(
            "drop-replaced-and-lost-3",
            false,
            with_disk_loss(with_replacement(drop3, 2), &[0]),
        ),
        named(
            "three-rounds-lost-3",
            false,
            with_disk_loss(
                Bounds {
                    max_rounds_begun: 3,
                    ..conflict3
                },
                &[0, 2],
            ),
        ),
        named(
            "drop-5",
            false,
            Bounds {
                learn_chosen: true,
                ..drop5
            },
        ),
        named("lost-5", false, with_disk_loss(single_round.clone(), &[4])),
        named(
            "lost-writer-5",
            false,
            with_disk_loss(single_round.clone(), &[0]),
        ),
        named(
            "replaced-5",
            false,
            with_replacement(single_round.clone(), 4),
        ),
        named(
            "replaced-and-lost-5",
            false,
            with_disk_loss(with_replacement(single_round, 4), &[3]),
        ),
    ]
}
