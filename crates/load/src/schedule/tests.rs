use super::*;

const TEXT: &str = r#"{"seconds":60,"arrivals":[{"shape":"poisson","rate":200},
        {"shape":"spells","plan":"taller","workshops":2,"length_s":[60,60],"every_s":[60,60]}]}"#;

#[test]
fn the_same_seed_lays_the_same_schedule_and_another_does_not() {
    let scenario = Scenario::read(TEXT).unwrap();
    let lay = |seed| Schedule::lay(&scenario, seed, 3);
    assert_eq!(lay(7), lay(7));
    assert_ne!(lay(7).requests, lay(8).requests);
    assert!(lay(7).requests.windows(2).all(|w| w[0].at <= w[1].at));
}

#[test]
fn limiters_are_favoured_unevenly_and_the_favour_shifts() {
    let text = r#"{"seconds":60,"arrivals":[{"shape":"constant","rate":500}],"workshops":{"count":1},
            "limiters":{"count":3,"spread":[3,3],"uneven":0.8,"shift_s":[10,10]}}"#;
    let schedule = Schedule::lay(&Scenario::read(text).unwrap(), 1, 3);
    let mut favourites = std::collections::BTreeSet::new();
    for spell in 0..6 {
        let mut counts = [0_usize; 3];
        let within = |r: &&Intended| r.at / 10_000_000 == spell;
        schedule
            .requests
            .iter()
            .filter(within)
            .for_each(|r| counts[usize::from(r.limiter)] += 1);
        let most = *counts.iter().max().unwrap();
        assert!((3_900..4_800).contains(&most), "{counts:?}");
        favourites.insert(counts.iter().position(|n| *n == most));
    }
    assert!(favourites.len() > 1);
}
