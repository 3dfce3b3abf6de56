//! The operators' file of what limiters do with state they share when part of the fleet hears nothing
//! (`deploy/shared.json`, `docs/shared-state.md`). Everything in it is off unless it is named.

use serde::Deserialize;

use crate::config::{Config, ConfigError, parse_section};

/// What a limiter grants while the counter is lost.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum CounterLost {
    /// DESIGN's: open without a counter, by what the limiter knows itself.
    #[default]
    Open,
    /// Each customer at most its even slice of the window at each of its limiters.
    Slices,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    counter_lost: CounterLost,
}

impl Config {
    /// Takes in the file of shared state.
    ///
    /// # Errors
    /// A key that is unknown or a value that is none of those named, under `shared`.
    pub fn apply_shared_state(&mut self, text: &str) -> Result<(), ConfigError> {
        let file: File = parse_section("shared", text)?;
        self.settings.even_shares_counter_lost = file.counter_lost == CounterLost::Slices;
        Ok(())
    }
}
