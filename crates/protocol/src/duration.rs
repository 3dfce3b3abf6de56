//! Durations in settings and items: a number followed by its unit, `ms` or `s`.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A duration in microseconds, written as `1500ms` or `2.5s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigDuration(pub i64);

impl ConfigDuration {
    /// Parses a duration; `None` if the text is not one, or is negative or beyond 9e15 microseconds.
    pub fn parse(text: &str) -> Option<ConfigDuration> {
        let text = text.trim();
        let (number, unit_us) = match text.strip_suffix("ms") {
            Some(number) => (number, 1e3),
            None => (text.strip_suffix('s')?, 1e6),
        };
        let number: f64 = number.trim().parse().ok()?;
        let duration_us = number * unit_us;
        (duration_us.is_finite() && (0.0..9e15).contains(&duration_us))
            .then_some(ConfigDuration(duration_us as i64))
    }

    /// The duration in whole milliseconds.
    pub fn as_millis(self) -> i64 {
        self.0 / 1000
    }
}

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ConfigDuration, D::Error> {
        let text = String::deserialize(deserializer)?;
        ConfigDuration::parse(&text)
            .ok_or_else(|| D::Error::custom(format!("{text:?} is no time such as 1500ms or 2.5s")))
    }
}

impl Serialize for ConfigDuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}ms", self.0 as f64 / 1000.0))
    }
}

#[cfg(test)]
mod tests;
