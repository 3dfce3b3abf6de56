//! Changes that operators request.

use std::collections::BTreeMap;

use config_check::{KeyError, check_within};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// Customer numbers are below this.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Largest rate, burst or reservation, in units.
const MAX_UNITS: f64 = 1e9;
/// Longest text of an id, a name or a reason, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Longest reservation, in microseconds (31 days).
const MAX_RESERVATION_US: Micros = 31 * 86_400 * 1_000_000;

/// The rate limit of a plan.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Units per second.
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// Burst: units that may be used at once.
    pub burst: f64,
}

/// Kind of a change and its parameters; in JSON an object with the kind as its only key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeKind {
    /// Sets the rate limit of a plan.
    #[serde(rename = "figures")]
    RateLimit {
        /// Name of the plan.
        plan: String,
        /// The new rate limit.
        #[serde(rename = "figures")]
        rate_limit: RateLimit,
    },
    /// Assigns a plan to a customer, overriding the plan that its requests name.
    #[serde(rename = "move")]
    AssignPlan {
        /// The customer, as 16 hex digits.
        account: String,
        /// The new plan; `None` returns to the plan that its requests name.
        plan: Option<String>,
    },
    /// Reserves units for a customer.
    Reserve {
        /// The customer, as 16 hex digits.
        account: String,
        /// Units reserved.
        units: f64,
        /// End of the reservation, in microseconds since the epoch.
        #[serde(rename = "until")]
        ends_at: Micros,
        /// Request class that may use it.
        class: String,
        /// If given, only requests whose key has this prefix may use it.
        #[serde(default)]
        prefix: Option<String>,
    },
    /// Cancels a reservation before its end.
    Cancel {
        /// Id of the change that created the reservation.
        reservation: String,
    },
}

/// A requested change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Unique id; a change that is sent again with the same id is applied once.
    pub id: String,
    /// Instant at which the change takes effect, in microseconds since the epoch.
    #[serde(rename = "at")]
    pub effective_at: Micros,
    /// Version of the book that the change expects, if any: with another current version the change is rejected.
    #[serde(default, rename = "after")]
    pub expected_version: Option<u64>,
    /// Who requested the change.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// Reason for the change.
    #[serde(rename = "why")]
    pub reason: String,
    /// Kind and parameters.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
}

/// Parses a customer number from 16 hex digits; `None` if it is malformed or out of range.
pub fn parse_customer(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|number| is_hex && *number < CUSTOMER_LIMIT)
}

fn check_text(key: &str, text: &str) -> Result<(), KeyError> {
    match !text.trim().is_empty()
        && text.len() <= MAX_TEXT_BYTES
        && !text.chars().any(char::is_control)
    {
        true => Ok(()),
        false => Err(KeyError::new(
            key,
            format!("is not 1 to {MAX_TEXT_BYTES} printable bytes"),
        )),
    }
}

impl RateLimit {
    fn check(&self) -> Result<(), KeyError> {
        check_within("figures.rate", self.rate_per_s, 0.0, MAX_UNITS)?;
        check_within("figures.burst", self.burst, 0.0, MAX_UNITS)
    }

    /// Most units that a customer can use within a span of microseconds.
    pub fn max_units_within(&self, span: Micros) -> f64 {
        self.burst + self.rate_per_s * span.max(0) as f64 / 1e6
    }
}

impl Change {
    /// Reads a change from JSON.
    ///
    /// # Errors
    /// The text is not JSON, or a key is unknown, missing, of a wrong type or out of bounds.
    pub fn read(text: &str) -> Result<Change, KeyError> {
        let change: Change = config_check::parse_json(text)?;
        change.check()?;
        Ok(change)
    }

    /// Checks everything that does not depend on the book.
    ///
    /// # Errors
    /// The first invalid key.
    pub fn check(&self) -> Result<(), KeyError> {
        check_text("id", &self.id)?;
        check_text("by", &self.requested_by)?;
        check_text("why", &self.reason)?;
        check_within("at", self.effective_at as f64, 0.0, 1e17)?;
        self.kind
            .check(self.effective_at)
            .map_err(|error| error.under_parent(self.kind.key()))
    }
}

impl ChangeKind {
    /// Path of the keys of this kind, as a prefix for error messages.
    pub(crate) fn key(&self) -> &'static str {
        match self {
            ChangeKind::RateLimit { .. } => "what.figures",
            ChangeKind::AssignPlan { .. } => "what.move",
            ChangeKind::Reserve { .. } => "what.reserve",
            ChangeKind::Cancel { .. } => "what.cancel",
        }
    }

    fn check(&self, effective_at: Micros) -> Result<(), KeyError> {
        let check_account = |account_text: &str| match parse_customer(account_text) {
            Some(_) => Ok(()),
            None => Err(KeyError::new("account", "is not 16 hex digits below 2^33")),
        };
        match self {
            ChangeKind::RateLimit { plan, rate_limit } => {
                check_text("plan", plan)?;
                rate_limit.check()
            }
            ChangeKind::AssignPlan { account, plan } => {
                check_account(account)?;
                plan.as_deref()
                    .map_or(Ok(()), |plan| check_text("plan", plan))
            }
            ChangeKind::Reserve {
                account,
                units,
                ends_at,
                class,
                prefix,
            } => {
                check_account(account)?;
                check_within("units", *units, f64::MIN_POSITIVE, MAX_UNITS)?;
                check_text("class", class)?;
                prefix
                    .as_deref()
                    .map_or(Ok(()), |prefix| check_text("prefix", prefix))?;
                match *ends_at - effective_at {
                    span if span <= 0 => Err(KeyError::new("until", "is not after 'at'")),
                    span if span > MAX_RESERVATION_US => {
                        Err(KeyError::new("until", "is over 31 days after 'at'"))
                    }
                    _ => Ok(()),
                }
            }
            ChangeKind::Cancel { reservation } => check_text("reservation", reservation),
        }
    }
}

/// The plans of the platform's settings by name: what is in effect without any change.
pub type PlatformPlans = BTreeMap<String, RateLimit>;
