//! The operators' file that sets how limiters handle shared state while part of the fleet is unreachable
//! (`deploy/shared.json`, `docs/shared-state.md`). Everything in it is off by default.

use serde::Deserialize;

use crate::config::{Config, ConfigError, parse_section};

/// What a limiter admits while the counter is unreachable.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
enum CounterLost {
    /// Requests are admitted by what the limiter itself has counted.
    #[default]
    #[serde(rename = "open")]
    LocalCounts,
    /// Each customer may use at most its even share of the window's quota at each of its limiters.
    #[serde(rename = "slices")]
    EvenShares,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SharedStateFile {
    counter_lost: CounterLost,
}

impl Config {
    /// Applies the shared state file.
    ///
    /// # Errors
    /// A key is unknown or a value is invalid; the error names the key, below `shared`.
    pub fn apply_shared_state(&mut self, text: &str) -> Result<(), ConfigError> {
        let file: SharedStateFile = parse_section("shared", text)?;
        self.settings.even_shares_counter_lost = file.counter_lost == CounterLost::EvenShares;
        Ok(())
    }
}
