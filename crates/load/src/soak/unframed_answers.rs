//! Answers without a length: now and then a server's next answers have none, and end with their connections. Nobody may notice.

use std::time::Duration;

use emulator::system::fleet::Fleet;
use emulator::system::server::AnswerFault;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Shared;

/// Between two steps, in milliseconds.
const STEP_GAP_MS: std::ops::Range<u64> = 50..250;
/// How many answers of the chosen server have no length.
const MAX_ANSWERS: usize = 3;

/// Chooses servers until the run is over.
pub(super) fn inject(shared: &Shared, fleet: &Fleet, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1e57);
    while !shared.is_over() {
        let serving = fleet.serving();
        if let Some((number, _)) = serving.choose(&mut rng) {
            let answers = rng.random_range(1..=MAX_ANSWERS);
            fleet.inject_faults(*number, &[AnswerFault::Unframed].repeat(answers));
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(STEP_GAP_MS)));
    }
}
