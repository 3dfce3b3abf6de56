use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

fn shaped(text: &str, seconds: f64) -> Vec<Micros> {
    let arrival: Arrival = config_check::parse_json(text).unwrap();
    arrival.check(&Workshops::default()).unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let points = arrival.points(seconds, 2.0, &mut rng);
    instants(
        &points,
        arrival.random || arrival.shape == Shape::Poisson,
        &mut rng,
    )
}

#[test]
fn constant_is_even_and_ramps_follow_their_integral() {
    let even = shaped(r#"{"shape":"constant","rate":500}"#, 10.0);
    assert_eq!(even.len(), 5_000);
    assert!(even.windows(2).all(|w| (w[1] - w[0] - 2_000).abs() <= 1));
    let ramp = shaped(r#"{"shape":"ramp","rate":0,"to_rate":100}"#, 10.0);
    assert_eq!(ramp.len(), 500);
    // Half of the time brings a quarter of a ramp from nothing.
    assert_eq!(ramp.iter().filter(|at| **at < 5_000_000).count(), 125);
    let step = shaped(r#"{"shape":"step","steps":[[0,10],[2,0],[4,100]]}"#, 5.0);
    assert_eq!(
        step.iter()
            .filter(|at| (2_000_000..4_000_000).contains(*at))
            .count(),
        0
    );
    assert_eq!(step.len(), 120);
}

#[test]
fn poisson_varies_as_it_should() {
    let at = shaped(r#"{"shape":"poisson","rate":1000}"#, 20.0);
    assert!((at.len() as f64 - 20_000.0).abs() < 600.0, "{}", at.len());
    let mut by_second = [0_f64; 20];
    at.iter()
        .for_each(|at| by_second[(*at / 1_000_000) as usize] += 1.0);
    let mean = at.len() as f64 / 20.0;
    let variance = by_second.iter().map(|n| (n - mean).powi(2)).sum::<f64>() / 19.0;
    assert!(
        (0.4..2.5).contains(&(variance / mean)),
        "{variance} over {mean}"
    );
}

#[test]
fn bursts_are_six_times_the_rate_and_as_long_as_said() {
    let at = shaped(
        r#"{"shape":"bursts","rate":100,"length_s":[2,2],"every_s":[10,10]}"#,
        100.0,
    );
    let busy = (0..1_000)
        .filter(|k| at.iter().filter(|at| **at / 100_000 == *k).count() > 50)
        .count();
    assert!(
        (180..=220).contains(&busy),
        "{busy} tenths of a second above half of the burst's rate"
    );
    let surge = shaped(r#"{"shape":"surge","rate":10,"to_rate":200}"#, 10.0);
    let in_second = |s: i64| surge.iter().filter(|at| **at / 1_000_000 == s).count();
    assert!(
        in_second(7) > 3 * in_second(4) && in_second(9) <= 11,
        "{:?}",
        (0..10).map(in_second).collect::<Vec<_>>()
    );
}
