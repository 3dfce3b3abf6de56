//! Deliberate harm, each switched in and seen within a stated number of schedules; without it the same are clean.

use std::ops::RangeInclusive;

use drill::cluster::{Bug, Cluster, SECOND};
use drill::draw::{Often, Plan, draw};
use drill::play::play;
use test_case::test_case;

const ANY: Plan = Plan { cores: 6, edges: 3, load: 30, bug: None, often: Often::Any };
const DARK: Plan = Plan { often: Often::Dark, ..ANY };
const FROZEN: Plan = Plan { often: Often::Frozen, ..ANY };
/// One seat of three that counts twice is enough for two majorities.
const REPLACED: Plan = Plan { cores: 3, edges: 0, load: 0, often: Often::Replaced, bug: None };

#[test_case(Bug::Sync, DARK, 1..=2, &["apply", "content"]; "a sync is left out")]
#[test_case(Bug::Empty, ANY, 1..=6, &["lease"]; "the vote of an empty seat counts")]
#[test_case(Bug::Clock, ANY, 1..=1, &["duty"]; "a lease trusts the time of day")]
#[test_case(Bug::Stood, FROZEN, 1..=1, &["duty"]; "a duty goes on after its grant ended")]
#[test_case(Bug::Lives, ANY, 1..=6, &["lease"]; "lives are not passed on")]
#[test_case(Bug::Old, REPLACED, 1..=24, &["duty"]; "the vote of an old life counts")]
#[test_case(Bug::Tombstone, DARK, 1..=2, &["content"]; "a tombstone is forgotten")]
#[test_case(Bug::Promise, ANY, 1..=6, &["content"]; "a promise is forgotten")]
#[test_case(Bug::Term, ANY, 1..=1, &["duty"]; "a granted term is forgotten")]
#[test_case(Bug::Arrival, ANY, 1..=28, &["content"]; "values merge by arrival")]
#[test_case(Bug::Forget, ANY, 1..=1, &["back"]; "a proxy forgets what it showed")]
#[test_case(Bug::News, ANY, 1..=6, &["back"]; "news apply by arrival")]
#[test_case(Bug::Accepted, ANY, 1..=4, &["content"]; "a refusal counts as acceptance")]
#[test_case(Bug::Count, ANY, 1..=1, &["quota"]; "the count counts nothing")]
#[test_case(Bug::Twice, ANY, 1..=2, &["starved"]; "adds count twice")]
#[test_case(Bug::Totals, ANY, 1..=3, &["quota"]; "the totals of an old holder are believed")]
#[test_case(Bug::Resend, ANY, 1..=1, &["letters"]; "letters are sent again without pause")]
#[test_case(Bug::Calls, ANY, 1..=1, &["memory"]; "calls are taken again and again")]
#[test_case(Bug::Written, ANY, 1..=1, &["memory"]; "what waits is held for good")]
fn harm_is_found(bug: Bug, plan: Plan, mut seeds: RangeInclusive<u64>, rules: &[&str]) {
    let first = *seeds.start();
    let harmed = |seed| play(&draw(seed, Plan { bug: Some(bug), ..plan })).faults;
    let (last, faults) = seeds
        .find_map(|seed| Some((seed, harmed(seed))).filter(|(_, all)| !all.is_empty()))
        .expect("no schedule found it");
    assert!(rules.contains(&faults[0].rule), "{faults:?}");
    for seed in first..=last {
        let clean = play(&draw(seed, plan)).faults;
        assert!(clean.is_empty(), "seed {seed} without harm: {clean:?}");
    }
}

#[test]
fn a_play_that_goes_in_circles_ends() {
    let mut cluster = Cluster::with(1, 6, Some(Bug::Resend));
    cluster.run(4 * SECOND);
    cluster.cut(&[0, 1, 2], &[3, 4, 5]);
    cluster.run(60 * SECOND);
    assert!(cluster.stuck() && cluster.now < 8 * SECOND, "it went on to {}", cluster.now);
    assert_eq!(cluster.faults.last().map(|fault| fault.rule), Some("turn"));
}
