//! What an operator asks for.

use std::collections::BTreeMap;

use config_check::{KeyError, check_within};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// Highest rate or burst, in units.
const HIGHEST: f64 = 1e9;
/// Longest text of an id, a name or a reason, in bytes.
const TEXT: usize = 256;
/// Longest reservation.
const LONGEST: Micros = 31 * 86_400 * 1_000_000;

/// A plan's figures.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Units a second.
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// What is changed: in JSON an object with one key, the kind of change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeKind {
    /// A plan's figures.
    #[serde(rename = "figures")]
    RateLimit {
        /// The plan, by name.
        plan: String,
        /// Its figures from then on.
        #[serde(rename = "figures")]
        rate_limit: RateLimit,
    },
    /// A customer's plan, whatever its requests name.
    #[serde(rename = "move")]
    AssignPlan {
        /// The customer, in 16 hex digits.
        account: String,
        /// Its plan from then on; `None`: the one that its requests name.
        plan: Option<String>,
    },
    /// Units set aside.
    Reserve {
        /// The customer, in 16 hex digits.
        account: String,
        /// Units.
        units: f64,
        /// Until when, in microseconds since the epoch.
        #[serde(rename = "until")]
        ends_at: Micros,
        /// For this class alone.
        class: String,
        /// For keys that begin so, if given.
        #[serde(default)]
        prefix: Option<String>,
    },
    /// A reservation is given up before its end.
    Cancel {
        /// The id of the change that made it.
        reservation: String,
    },
}

/// A change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Its id: the same change sent twice is taken once.
    pub id: String,
    /// When it takes effect, in microseconds since the epoch.
    #[serde(rename = "at")]
    pub effective_at: Micros,
    /// The version that it was written against, where that matters: if anything was changed since, it is refused.
    #[serde(default, rename = "after")]
    pub expected_version: Option<u64>,
    /// Who asks for it.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
    /// What is changed.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// A customer in 16 hex digits.
pub fn parse_customer(text: &str) -> Option<u64> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|number| plain && *number < CUSTOMERS)
}

fn text(key: &str, text: &str) -> Result<(), KeyError> {
    match !text.trim().is_empty() && text.len() <= TEXT && !text.chars().any(char::is_control) {
        true => Ok(()),
        false => Err(KeyError::new(
            key,
            format!("is not 1 to {TEXT} printable bytes"),
        )),
    }
}

impl RateLimit {
    fn check(&self) -> Result<(), KeyError> {
        check_within("figures.rate", self.rate_per_s, 0.0, HIGHEST)?;
        check_within("figures.burst", self.burst, 0.0, HIGHEST)
    }

    /// The most units that a customer may ever use within a span.
    pub fn max_units_within(&self, span: Micros) -> f64 {
        self.burst + self.rate_per_s * span.max(0) as f64 / 1e6
    }
}

impl Change {
    /// Reads a change from JSON.
    ///
    /// # Errors
    /// Text that is not JSON; a key that is unknown, missing, of a wrong type or out of its bounds.
    pub fn read(text: &str) -> Result<Change, KeyError> {
        let change: Change = config_check::parse_json(text)?;
        change.check()?;
        Ok(change)
    }

    /// Checks what needs no book.
    ///
    /// # Errors
    /// The first key that makes no sense by itself.
    pub fn check(&self) -> Result<(), KeyError> {
        text("id", &self.id)?;
        text("by", &self.requested_by)?;
        text("why", &self.reason)?;
        check_within("at", self.effective_at as f64, 0.0, 1e17)?;
        self.kind
            .check(self.effective_at)
            .map_err(|fault| fault.under_parent(self.kind.key()))
    }
}

impl ChangeKind {
    /// Where its keys lie.
    pub(crate) fn key(&self) -> &'static str {
        match self {
            ChangeKind::RateLimit { .. } => "what.figures",
            ChangeKind::AssignPlan { .. } => "what.move",
            ChangeKind::Reserve { .. } => "what.reserve",
            ChangeKind::Cancel { .. } => "what.cancel",
        }
    }

    fn check(&self, at: Micros) -> Result<(), KeyError> {
        let known = |account_text: &str| match parse_customer(account_text) {
            Some(_) => Ok(()),
            None => Err(KeyError::new("account", "is not 16 hex digits below 2^33")),
        };
        match self {
            ChangeKind::RateLimit {
                plan,
                rate_limit: figures,
            } => {
                text("plan", plan)?;
                figures.check()
            }
            ChangeKind::AssignPlan { account, plan } => {
                known(account)?;
                plan.as_deref().map_or(Ok(()), |plan| text("plan", plan))
            }
            ChangeKind::Reserve {
                account,
                units,
                ends_at: until,
                class,
                prefix,
            } => {
                known(account)?;
                check_within("units", *units, f64::MIN_POSITIVE, HIGHEST)?;
                text("class", class)?;
                prefix
                    .as_deref()
                    .map_or(Ok(()), |prefix| text("prefix", prefix))?;
                match *until - at {
                    span if span <= 0 => Err(KeyError::new("until", "is not after 'at'")),
                    span if span > LONGEST => {
                        Err(KeyError::new("until", "is over 31 days after 'at'"))
                    }
                    _ => Ok(()),
                }
            }
            ChangeKind::Cancel { reservation } => text("reservation", reservation),
        }
    }
}

/// The plans of the platform's settings by name, which the book starts from.
pub type PlatformPlans = BTreeMap<String, RateLimit>;
