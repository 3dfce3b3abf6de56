use super::*;
use crate::schedule::{Intended, Workshop};

#[test]
fn the_worst_window_over_the_fleet_and_the_least_where_the_quota_was_asked() {
    let plan = PlanPlan {
        rate: 1.0,
        burst: 2.0,
        ..PlanPlan::default()
    };
    let workshops = vec![
        Workshop {
            customer: 1,
            plan: 0,
            set: (2, 0)
        };
        2
    ];
    let at = |at: Micros, workshop: u32| Intended {
        at,
        workshop,
        class: 0,
        units: 1,
        limiter: 0,
    };
    // Workshop 0 asks 8 in the first window of 4 s and is served 7 of them, by any limiter; workshop 1 asks 6 in
    // the second and is served 3; what is asked after the last whole window is not judged.
    let mut requests: Vec<Intended> = (0..8).map(|k| at(k * 400_000, 0)).collect();
    requests.extend((0..6).map(|k| at(4_000_000 + k * 100_000, 1)));
    requests.push(at(8_500_000, 0));
    let fate = |served: bool, ended: Micros| Fate {
        outcome: if served {
            Outcome::Served
        } else {
            Outcome::Declined
        },
        ended: Some(ended),
        tries: 1,
        first_sent: Some(0),
    };
    let mut fates: Vec<Fate> = requests.iter().map(|r| fate(true, r.at + 1_000)).collect();
    fates[7] = fate(false, 3_000_000);
    for f in &mut fates[8..11] {
        f.outcome = Outcome::Declined;
    }
    let schedule = Schedule {
        workshops,
        requests,
    };
    let bounds = of(&schedule, &[plan], &fates, 4_000_000, 9_000_000);
    assert_eq!(
        bounds.windows, 2,
        "two windows asked something, the third is not whole"
    );
    assert_eq!(
        (
            bounds.overuse_ratio,
            bounds.worst.workshop,
            bounds.worst.quota
        ),
        (7.0 / 6.0, 0, 6.0)
    );
    assert_eq!(bounds.over_tenth, 1);
    assert_eq!(bounds.by_window, vec![(7.0 / 6.0, 1), (0.5, 0)]);
    assert_eq!(
        (
            bounds.least_share,
            bounds.least.workshop,
            bounds.least.from_s
        ),
        (0.5, 1, 4.0)
    );
}
