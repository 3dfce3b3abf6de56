//! The bounds that are explored, by name.

use crate::bounds::Bounds;
use crate::numbers::Value;
use crate::state::Want;

/// Bounds, and what they are called.
#[derive(Clone, Debug)]
pub struct Named {
    /// The name.
    pub name: &'static str,
    /// They are explored by the tests; else only by the program.
    pub tested: bool,
    /// The bounds.
    pub bounds: Bounds,
}

/// Two writers that each want another content at one version.
fn conflict() -> Vec<(usize, Want)> {
    vec![
        (0, Want::Write(Value::new(1, 1))),
        (1, Want::Write(Value::new(1, 2))),
    ]
}

/// One sets the item and the other drops it; what was accepted is finished by a third.
fn drop() -> Vec<(usize, Want)> {
    vec![
        (0, Want::Write(Value::new(1, 1))),
        (1, Want::Write(Value::dropped(2))),
        (2, Want::Finish),
    ]
}

/// A call that is sent again to another replica, as its answer was lost.
fn resent() -> Vec<(usize, Want)> {
    let mut writers = conflict();
    writers.extend([(1, writers[0].1), (2, writers[1].1)]);
    writers
}

/// Two writers that come to one machine.
fn one_machine() -> Vec<(usize, Want)> {
    conflict().into_iter().map(|(_, want)| (0, want)).collect()
}

fn bounds(replicas: usize, writers: Vec<(usize, Want)>) -> Bounds {
    Bounds {
        replicas,
        writers,
        begun: 2,
        round: 2,
        restarts: 0,
        replaced: None,
        wiped: Vec::new(),
        losses: 0,
        told: false,
        hearsay: false,
        apart: false,
        fault: None,
    }
}

/// All named bounds.
pub fn all() -> Vec<Named> {
    let named = |name, tested, bounds| Named {
        name,
        tested,
        bounds,
    };
    let lost = |bounds: Bounds, wiped: &[usize]| Bounds {
        wiped: wiped.to_vec(),
        losses: 1,
        ..bounds
    };
    let replaced = |bounds: Bounds, replica| Bounds {
        replaced: Some(replica),
        ..bounds
    };
    let (conflict3, drop3) = (bounds(3, conflict()), bounds(3, drop()));
    let (conflict5, drop5) = (bounds(5, conflict()), bounds(5, drop()));
    let once = Bounds {
        round: 1,
        ..conflict5.clone()
    };
    vec![
        named(
            "restarts-3",
            true,
            Bounds {
                begun: 3,
                restarts: 2,
                told: true,
                ..conflict3.clone()
            },
        ),
        named(
            "conflict-restart-3",
            true,
            Bounds {
                restarts: 1,
                told: true,
                ..conflict3.clone()
            },
        ),
        named(
            "one-machine-3",
            true,
            Bounds {
                restarts: 1,
                ..bounds(3, one_machine())
            },
        ),
        named(
            "resent-3",
            false,
            Bounds {
                begun: 3,
                restarts: 1,
                told: true,
                ..bounds(3, resent())
            },
        ),
        named(
            "drop-3",
            true,
            Bounds {
                begun: 3,
                ..drop3.clone()
            },
        ),
        named(
            "drop-restart-3",
            false,
            Bounds {
                begun: 3,
                restarts: 1,
                told: true,
                ..drop3.clone()
            },
        ),
        named(
            "lost-3",
            true,
            lost(
                Bounds {
                    told: true,
                    ..conflict3.clone()
                },
                &[0, 2],
            ),
        ),
        named(
            "replaced-3",
            true,
            replaced(
                Bounds {
                    told: true,
                    ..conflict3.clone()
                },
                2,
            ),
        ),
        named(
            "replaced-writer-3",
            true,
            replaced(
                Bounds {
                    told: true,
                    ..conflict3.clone()
                },
                0,
            ),
        ),
        named(
            "replaced-and-lost-3",
            true,
            lost(replaced(conflict3.clone(), 2), &[0]),
        ),
        named(
            "conflict-5",
            true,
            Bounds {
                told: true,
                ..conflict5
            },
        ),
        named(
            "replaced-restarts-3",
            false,
            replaced(
                Bounds {
                    restarts: 1,
                    ..conflict3.clone()
                },
                2,
            ),
        ),
        named(
            "replaced-and-any-lost-3",
            false,
            lost(replaced(conflict3.clone(), 2), &[0, 1, 2, 3]),
        ),
        named(
            "drop-replaced-and-lost-3",
            false,
            lost(replaced(drop3, 2), &[0]),
        ),
        named(
            "three-rounds-lost-3",
            false,
            lost(
                Bounds {
                    begun: 3,
                    ..conflict3
                },
                &[0, 2],
            ),
        ),
        named(
            "drop-5",
            false,
            Bounds {
                told: true,
                ..drop5
            },
        ),
        named("lost-5", false, lost(once.clone(), &[4])),
        named("lost-writer-5", false, lost(once.clone(), &[0])),
        named("replaced-5", false, replaced(once.clone(), 4)),
        named("replaced-and-lost-5", false, lost(replaced(once, 4), &[3])),
    ]
}
