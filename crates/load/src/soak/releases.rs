//! Releases of servers while a soak runs: a new server starts, an old one drains and is stopped once its requests are done.
//! Servers freeze for a while now and then, so that they look silent.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use emulator::Micros;
use emulator::system::fleet::Fleet;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Shared;

/// Between two steps, in milliseconds.
const STEP_GAP_MS: std::ops::Range<u64> = 300..1_200;
/// The share of the steps that replace a server; the others freeze one.
const RELEASES: f64 = 0.4;
/// How long a server is frozen: longer than the target of its routes, and less than their time-out.
const FREEZE_US: std::ops::Range<Micros> = 700_000..1_700_000;
/// Servers that are frozen at a time.
const MAX_FROZEN: usize = 3;
/// From the drain of a server to its end: the list shows it late, and a request may last 3 s.
const DRAIN: Duration = Duration::from_secs(8);
/// A new server warms up for so long before one of its kind may drain.
const WARM_UP: Duration = Duration::from_millis(2_500);

/// Plays releases and freezes for `length`, then stops the servers that are still draining when they are due.
pub fn play(shared: &Shared, fleet: &Fleet, seed: u64, length: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5e1e_a5e5);
    let began = Instant::now();
    let mut due_drains: VecDeque<(Instant, usize)> = VecDeque::new();
    let mut due_stops: VecDeque<(Instant, usize)> = VecDeque::new();
    while !shared.is_over() {
        let now = Instant::now();
        while let Some((_, number)) = due_drains.pop_front_if(|(at, _)| *at <= now) {
            fleet.drain_server(number);
            due_stops.push_back((now + DRAIN, number));
        }
        while let Some((_, number)) = due_stops.pop_front_if(|(at, _)| *at <= now) {
            fleet.stop_server(number);
        }
        if began.elapsed() < length {
            let is_draining = |number: usize| due_drains.iter().any(|(_, due)| *due == number);
            let serving = fleet.serving();
            let candidates: Vec<_> = serving
                .iter()
                .filter(|(number, _)| !is_draining(*number))
                .collect();
            let Some((number, config)) = candidates.choose(&mut rng) else {
                continue;
            };
            if rng.random::<f64>() >= RELEASES {
                let frozen_servers = rng.random_range(1..=MAX_FROZEN);
                for (number, _) in candidates.choose_multiple(&mut rng, frozen_servers) {
                    fleet.freeze(*number, rng.random_range(FREEZE_US));
                }
            } else if fleet.start_server(config.clone(), false, None).is_ok() {
                due_drains.push_back((now + WARM_UP, *number));
            }
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(STEP_GAP_MS)));
    }
}
