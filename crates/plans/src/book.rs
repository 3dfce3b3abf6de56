//! The plan book: an ordered log of plan changes, and queries for the plan in effect at an instant.
//!
//! Versions number the changes in the order of their application; each change has an instant at which it takes effect.
//! Queries depend only on the log and on the instant asked for. If the clock steps back, they return what was in effect
//! at that earlier time, and two books with the same versions give the same results.

use std::collections::{BTreeMap, BTreeSet};

use config_check::KeyError;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Micros;
use crate::change::{Change, ChangeKind, PlatformPlans, RateLimit, parse_customer};

/// A change that was applied.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Version number, from 1 without gaps.
    pub version: u64,
    /// When the change was applied, in microseconds since the epoch.
    #[serde(rename = "taken")]
    pub applied_at: Micros,
    /// The applied change.
    pub change: Change,
}

/// The plan that applies to a request, fixed when the request is accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectivePlan {
    /// The book's version at that time.
    pub version: u64,
    /// The plan in effect, which may differ from the one that the request names.
    pub plan: String,
    /// That plan's rate limit.
    pub rate_limit: RateLimit,
    /// Since when this rate limit applies to the customer; `None` if it is the one from the platform's settings.
    pub effective_since: Option<Micros>,
}

/// A reservation, with cancellation taken into account.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation<'a> {
    /// Id of the change that created it.
    pub id: &'a str,
    /// The customer it belongs to.
    pub customer: u64,
    /// Units reserved.
    pub units: f64,
    /// Start, in microseconds since the epoch.
    pub starts_at: Micros,
    /// End or cancellation, whichever is earlier, in microseconds since the epoch.
    pub ends_at: Micros,
    /// Request class that may use it.
    pub class: &'a str,
    /// If given, only requests whose key has this prefix may use it.
    pub prefix: Option<&'a str>,
}

/// Outcome of [`PlanBook::apply`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was added as this version.
    Applied(u64),
    /// The same change was applied earlier, as this version.
    AlreadyApplied(u64),
}

/// Why a change was rejected; the book is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// A key is invalid, by itself or given the book's contents.
    Invalid(KeyError),
    /// Another change, applied as this version, has the same id.
    DuplicateId(u64),
    /// The change expects a version other than the current one.
    Conflict {
        /// The version that the change expects.
        expected_version: u64,
        /// The current version.
        version: u64,
    },
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ApplyError::Invalid(error) => write!(f, "{error}"),
            ApplyError::DuplicateId(version) => {
                write!(
                    f,
                    "key 'id': already used by the change of version {version}"
                )
            }
            ApplyError::Conflict {
                expected_version,
                version,
            } => {
                write!(
                    f,
                    "key 'after': expects version {expected_version}, the plan book is at version {version}"
                )
            }
        }
    }
}

impl std::error::Error for ApplyError {}

impl From<KeyError> for ApplyError {
    fn from(error: KeyError) -> ApplyError {
        ApplyError::Invalid(error)
    }
}

/// Why the entries of another book cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpError {
    /// Entries are missing between the current version and the first one received.
    MissingVersions {
        /// The current version.
        version: u64,
        /// The first version received.
        first_received: u64,
    },
    /// The two books have different changes as this version.
    Diverged(u64),
    /// The change of this version is invalid given the versions before it.
    Rejected(u64, ApplyError),
}

impl std::fmt::Display for CatchUpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CatchUpError::MissingVersions {
                version,
                first_received,
            } => {
                write!(
                    f,
                    "plan book is at version {version}, received entries begin at version {first_received}"
                )
            }
            CatchUpError::Diverged(version) => write!(f, "plan books differ in version {version}"),
            CatchUpError::Rejected(version, error) => {
                write!(f, "version {version} was rejected: {error}")
            }
        }
    }
}

impl std::error::Error for CatchUpError {}

/// Versioned log of plan changes over the plans of the platform's settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanBook {
    platform_plans: PlatformPlans,
    entries: Vec<Entry>,
    /// Version of each change, by the change's id.
    ids: BTreeMap<String, u64>,
    /// How far in the past a new change may take effect, in microseconds.
    max_lateness_us: Micros,
}

impl PlanBook {
    /// Creates a book over the platform's plans. `max_lateness_us`: how far in the past a change may take effect, in
    /// microseconds, which allows for changes that were delayed in transit.
    pub fn new(platform_plans: PlatformPlans, max_lateness_us: Micros) -> PlanBook {
        PlanBook {
            platform_plans,
            max_lateness_us,
            ..PlanBook::default()
        }
    }

    /// Version of the latest change; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.entries.len() as u64
    }

    /// All applied changes in order, with author, time and reason.
    pub fn history(&self) -> &[Entry] {
        &self.entries
    }

    /// The entries after a version, which a book at that version is missing. `None` if this book has not reached it.
    pub fn entries_after(&self, version: u64) -> Option<&[Entry]> {
        self.entries.get(usize::try_from(version).ok()?..)
    }

    /// SHA-256 over all changes, in hex; equal digests mean equal changes in the same order.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for entry in &self.entries {
            // Serializing cannot fail: the change is plain data.
            hash.update(serde_json::to_vec(&entry.change).unwrap_or_default());
            hash.update(b"\n");
        }
        hash.finalize()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Applies a change atomically.
    ///
    /// # Errors
    /// Why the change was rejected; the book is unchanged.
    pub fn apply(&mut self, now: Micros, change: Change) -> Result<ApplyOutcome, ApplyError> {
        change.check()?;
        if let Some(version) = self.ids.get(&change.id) {
            let is_same = self
                .entries
                .get(*version as usize - 1)
                .is_some_and(|entry| entry.change == change);
            return if is_same {
                Ok(ApplyOutcome::AlreadyApplied(*version))
            } else {
                Err(ApplyError::DuplicateId(*version))
            };
        }
        let version = self.version();
        if let Some(expected_version) = change
            .expected_version
            .filter(|expected| *expected != version)
        {
            return Err(ApplyError::Conflict {
                expected_version,
                version,
            });
        }
        if change.effective_at < now - self.max_lateness_us {
            let late_s = (now - change.effective_at) as f64 / 1e6;
            return Err(KeyError::new(
                "at",
                format!(
                    "is {late_s:.3} s in the past, {:.3} s at most",
                    self.max_lateness_us as f64 / 1e6
                ),
            )
            .into());
        }
        self.check_against_book(&change)
            .map_err(|error| error.under_parent(change.kind.key()))?;
        Ok(ApplyOutcome::Applied(self.append(now, change)))
    }

    /// Adds a change as the next version, and returns its number.
    fn append(&mut self, applied_at: Micros, change: Change) -> u64 {
        let version = self.version() + 1;
        self.ids.insert(change.id.clone(), version);
        self.entries.push(Entry {
            version,
            applied_at,
            change,
        });
        version
    }

    /// Checks a change against the book's contents.
    fn check_against_book(&self, change: &Change) -> Result<(), KeyError> {
        let check_plan = |plan: &str| match self.platform_plans.contains_key(plan) {
            true => Ok(()),
            false => {
                let names: Vec<&str> = self.platform_plans.keys().map(String::as_str).collect();
                Err(KeyError::new(
                    "plan",
                    format!(
                        "there is no plan '{plan}'; known plans: {}",
                        names.join(", ")
                    ),
                ))
            }
        };
        match &change.kind {
            ChangeKind::RateLimit { plan, .. } => check_plan(plan),
            ChangeKind::AssignPlan { plan, .. } => plan.as_deref().map_or(Ok(()), check_plan),
            ChangeKind::Reserve {
                account: text,
                units,
                ends_at,
                ..
            } => {
                let customer = parse_customer(text)
                    .ok_or_else(|| KeyError::new("account", "is not a customer"))?;
                self.check_grantable(customer, *units, change.effective_at, *ends_at)
            }
            ChangeKind::Cancel { reservation } => match self.reservation_span(reservation) {
                None => Err(KeyError::new(
                    "reservation",
                    format!("there is no reservation with the id '{reservation}'"),
                )),
                Some((_, ends_at)) if change.effective_at >= ends_at => Err(KeyError::new(
                    "reservation",
                    "has ended before the cancellation takes effect",
                )),
                Some((starts_at, _)) if change.effective_at < starts_at => Err(KeyError::new(
                    "reservation",
                    "begins only after the cancellation takes effect",
                )),
                Some(_) if self.cancelled_at(reservation).is_some() => Err(KeyError::new(
                    "reservation",
                    format!("'{reservation}' is already cancelled"),
                )),
                Some(_) => Ok(()),
            },
        }
    }

    /// Checks that the overlapping reservations of a customer do not exceed what its plan can grant while they last.
    /// For a customer without an assigned plan the most generous plan counts, because its requests name the plan.
    fn check_grantable(
        &self,
        customer: u64,
        units: f64,
        starts_at: Micros,
        ends_at: Micros,
    ) -> Result<(), KeyError> {
        let overlaps = |r: &Reservation| {
            r.customer == customer && r.starts_at < ends_at && starts_at < r.ends_at
        };
        let reserved_units: f64 = self
            .reservations()
            .iter()
            .filter(|r| overlaps(r))
            .map(|r| r.units)
            .sum();
        let assigned = self.assigned_plan(customer, starts_at);
        let max_units = self
            .platform_plans
            .keys()
            .filter(|plan| assigned.as_ref().is_none_or(|assigned| assigned == *plan))
            .filter_map(|plan| self.rate_limit_at(plan, starts_at))
            .map(|(rate_limit, _)| rate_limit.max_units_within(ends_at - starts_at))
            .fold(0.0, f64::max);
        match reserved_units + units <= max_units {
            true => Ok(()),
            false => Err(KeyError::new(
                "units",
                format!(
                    "{units} units on top of {reserved_units} already reserved exceed the {max_units:.3} that the plan can grant until then"
                ),
            )),
        }
    }

    /// The change in effect at an instant, and its start. The latest start wins; among equal starts the latest version.
    fn change_in_effect<T>(
        &self,
        at: Micros,
        get: impl Fn(&ChangeKind) -> Option<T>,
    ) -> Option<(T, Micros)> {
        let started = self
            .entries
            .iter()
            .filter(|entry| entry.change.effective_at <= at);
        let candidates = started
            .filter_map(|e| get(&e.change.kind).map(|t| (t, e.change.effective_at, e.version)));
        candidates
            .max_by_key(|(_, at, version)| (*at, *version))
            .map(|(t, at, _)| (t, at))
    }

    /// The rate limit of a plan at an instant, and since when; `None` as the latter if the book never changed it.
    fn rate_limit_at(&self, plan: &str, at: Micros) -> Option<(RateLimit, Option<Micros>)> {
        let changed_at = self.change_in_effect(at, |kind| match kind {
            ChangeKind::RateLimit {
                plan: name,
                rate_limit,
            } if name == plan => Some(*rate_limit),
            _ => None,
        });
        match changed_at {
            Some((rate_limit, since)) => Some((rate_limit, Some(since))),
            None => self
                .platform_plans
                .get(plan)
                .map(|rate_limit| (*rate_limit, None)),
        }
    }

    /// The latest assignment of a customer's plan at an instant, and since when it applies.
    fn assigned_plan_change(&self, customer: u64, at: Micros) -> Option<(Option<String>, Micros)> {
        self.change_in_effect(at, |kind| match kind {
            ChangeKind::AssignPlan {
                account: text,
                plan,
            } if parse_customer(text) == Some(customer) => Some(plan.clone()),
            _ => None,
        })
    }

    fn assigned_plan(&self, customer: u64, at: Micros) -> Option<String> {
        self.assigned_plan_change(customer, at)
            .and_then(|(plan, _)| plan)
    }

    /// The plan in effect for a customer's request that is accepted at an instant and names a plan. A plan assigned in
    /// the book overrides the one that the request names. Either way the book's rate limit for that plan applies.
    /// `None` if there is no such plan.
    pub fn effective_plan(
        &self,
        customer: u64,
        named_plan: &str,
        at: Micros,
    ) -> Option<EffectivePlan> {
        let assigned = self.assigned_plan_change(customer, at);
        let plan = assigned
            .as_ref()
            .and_then(|(plan, _)| plan.as_deref())
            .unwrap_or(named_plan);
        let (rate_limit, changed_at) = self.rate_limit_at(plan, at)?;
        let effective_since = changed_at.max(assigned.as_ref().map(|(_, since)| *since));
        Some(EffectivePlan {
            version: self.version(),
            plan: plan.to_string(),
            rate_limit,
            effective_since,
        })
    }

    /// The next instant after `now` at which a change takes effect or a reservation ends.
    pub fn next_change_at(&self, now: Micros) -> Option<Micros> {
        let reservation_ends = self
            .reservations()
            .into_iter()
            .map(|r| r.ends_at)
            .collect::<BTreeSet<_>>();
        self.entries
            .iter()
            .map(|e| e.change.effective_at)
            .chain(reservation_ends)
            .filter(|at| *at > now)
            .min()
    }

    /// Start and original end of a reservation, by the id of the change that created it.
    fn reservation_span(&self, id: &str) -> Option<(Micros, Micros)> {
        let entry = self.entries.get(*self.ids.get(id)? as usize - 1)?;
        match &entry.change.kind {
            ChangeKind::Reserve { ends_at, .. } => Some((entry.change.effective_at, *ends_at)),
            _ => None,
        }
    }

    /// When a reservation is cancelled, if it is.
    fn cancelled_at(&self, id: &str) -> Option<Micros> {
        self.entries
            .iter()
            .find_map(|entry| match &entry.change.kind {
                ChangeKind::Cancel { reservation } if reservation == id => {
                    Some(entry.change.effective_at)
                }
                _ => None,
            })
    }

    /// All reservations, including those that have ended.
    pub fn reservations(&self) -> Vec<Reservation<'_>> {
        self.entries
            .iter()
            .filter_map(|entry| self.reservation(entry))
            .collect()
    }

    fn reservation<'a>(&self, entry: &'a Entry) -> Option<Reservation<'a>> {
        let ChangeKind::Reserve {
            account: text,
            units,
            ends_at,
            class,
            prefix,
        } = &entry.change.kind
        else {
            return None;
        };
        let ends_at = self
            .cancelled_at(&entry.change.id)
            .map_or(*ends_at, |at| at.min(*ends_at));
        Some(Reservation {
            id: &entry.change.id,
            customer: parse_customer(text)?,
            units: *units,
            starts_at: entry.change.effective_at,
            ends_at,
            class,
            prefix: prefix.as_deref(),
        })
    }

    /// The reservation that a customer's request draws from: the earliest-ending one of those that match.
    pub fn reservation_for(
        &self,
        customer: u64,
        class: &str,
        key: &str,
        at: Micros,
    ) -> Option<Reservation<'_>> {
        let matches = |r: &Reservation| {
            r.customer == customer
                && r.class == class
                && (r.starts_at..r.ends_at).contains(&at)
                && r.prefix.is_none_or(|prefix| key.starts_with(prefix))
        };
        self.reservations()
            .into_iter()
            .filter(matches)
            .min_by(|a, b| (a.ends_at, a.id).cmp(&(b.ends_at, b.id)))
    }

    /// Applies the entries of another book that this one is missing, atomically. Entries already present are skipped.
    ///
    /// # Errors
    /// Entries are missing, differ or are invalid; the book is unchanged.
    pub fn catch_up(&mut self, entries: &[Entry]) -> Result<u64, CatchUpError> {
        let mut book = self.clone();
        for entry in entries {
            let version = book.version();
            if entry.version > version + 1 {
                return Err(CatchUpError::MissingVersions {
                    version,
                    first_received: entry.version,
                });
            }
            if entry.version <= version {
                let is_same =
                    book.entries.get((entry.version as usize).wrapping_sub(1)) == Some(entry);
                if !is_same {
                    return Err(CatchUpError::Diverged(entry.version));
                }
                continue;
            }
            let rejected = |error| CatchUpError::Rejected(entry.version, error);
            entry
                .change
                .check()
                .map_err(|error| rejected(error.into()))?;
            if let Some(earlier) = book.ids.get(&entry.change.id) {
                return Err(rejected(ApplyError::DuplicateId(*earlier)));
            }
            // Lateness was checked by the book that applied the change first; it may arrive here later.
            let key = entry.change.kind.key();
            book.check_against_book(&entry.change)
                .map_err(|error| rejected(error.under_parent(key).into()))?;
            book.append(entry.applied_at, entry.change.clone());
        }
        *self = book;
        Ok(self.version())
    }
}
