//! The book: changes in numbered versions, and what holds at an instant.
//!
//! Versions are the order in which changes were taken; instants say when each takes effect. What holds at an instant is
//! a matter of the book alone, so that a clock that steps back only goes back to what held then, and two books with the
//! same versions never differ.

use std::collections::{BTreeMap, BTreeSet};

use config_check::KeyError;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::Micros;
use crate::change::{Change, ChangeKind, PlatformPlans, RateLimit, parse_customer};

/// A change that was taken.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its number, from 1 without gaps.
    pub version: u64,
    /// When it was taken.
    #[serde(rename = "taken")]
    pub applied_at: Micros,
    /// The change.
    pub change: Change,
}

/// What a request is judged by, fixed when it is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectivePlan {
    /// The book's version at the time of judging.
    pub version: u64,
    /// The plan that holds, which may not be the one that the request named.
    pub plan: String,
    /// That plan's figures.
    pub rate_limit: RateLimit,
    /// Since when these figures hold for this customer; `None`: they are the platform's.
    pub effective_since: Option<Micros>,
}

/// A reservation as it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation<'a> {
    /// The id of the change that made it.
    pub id: &'a str,
    /// Whose it is.
    pub customer: u64,
    /// Units set aside.
    pub units: f64,
    /// From when.
    pub starts_at: Micros,
    /// Until when: its end, or its cancelling.
    pub ends_at: Micros,
    /// For this class.
    pub class: &'a str,
    /// For keys that begin so.
    pub prefix: Option<&'a str>,
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is a new version.
    Applied(u64),
    /// The same change had been taken before, as this version.
    AlreadyApplied(u64),
}

/// Why a change was refused; the book is as it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// A key makes no sense, by itself or against the book.
    Invalid(KeyError),
    /// Another change has this id, taken as this version.
    DuplicateId(u64),
    /// It was written against another version than the present one.
    Conflict {
        /// The version that it was written against.
        expected_version: u64,
        /// The present one.
        version: u64,
    },
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ApplyError::Invalid(fault) => write!(f, "{fault}"),
            ApplyError::DuplicateId(version) => {
                write!(f, "key 'id': another change has it, version {version}")
            }
            ApplyError::Conflict {
                expected_version: after,
                version,
            } => {
                write!(
                    f,
                    "key 'after': written against version {after}, the book is at {version}"
                )
            }
        }
    }
}

impl std::error::Error for ApplyError {}

impl From<KeyError> for ApplyError {
    fn from(fault: KeyError) -> ApplyError {
        ApplyError::Invalid(fault)
    }
}

/// Why entries of another book can't be taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpError {
    /// Entries are missing between the present version and the first one given.
    MissingVersions {
        /// The present version.
        version: u64,
        /// The first one given.
        first_received: u64,
    },
    /// The books hold different changes as this version.
    Diverged(u64),
    /// The change of this version does not hold against the versions before it.
    Rejected(u64, ApplyError),
}

impl std::fmt::Display for CatchUpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CatchUpError::MissingVersions {
                version,
                first_received: first,
            } => {
                write!(f, "the book is at {version}, what came begins at {first}")
            }
            CatchUpError::Diverged(version) => write!(f, "the books differ in version {version}"),
            CatchUpError::Rejected(version, refusal) => {
                write!(f, "version {version} does not hold here: {refusal}")
            }
        }
    }
}

impl std::error::Error for CatchUpError {}

/// The plan book.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanBook {
    base: PlatformPlans,
    entries: Vec<Entry>,
    ids: BTreeMap<String, u64>,
    /// How far in the past a change may take effect.
    slack: Micros,
}

impl PlanBook {
    /// A book over the platform's plans. `slack`: how far in the past a change may take effect, for what was on its way.
    pub fn new(base: PlatformPlans, slack: Micros) -> PlanBook {
        PlanBook {
            base,
            slack,
            ..PlanBook::default()
        }
    }

    /// The number of the latest change; 0: none.
    pub fn version(&self) -> u64 {
        self.entries.len() as u64
    }

    /// All changes taken, in order, with who, when and why.
    pub fn history(&self) -> &[Entry] {
        &self.entries
    }

    /// The changes behind a version: what a book that has it lacks. `None`: that version is none of ours.
    pub fn entries_after(&self, version: u64) -> Option<&[Entry]> {
        self.entries.get(usize::try_from(version).ok()?..)
    }

    /// A digest of all versions: two books with the same one hold the same.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for entry in &self.entries {
            // Plain data: nothing in it can fail to be written.
            hash.update(serde_json::to_vec(&entry.change).unwrap_or_default());
            hash.update(b"\n");
        }
        hash.finalize()
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Takes a change, whole or not at all.
    ///
    /// # Errors
    /// Why it was refused; the book is as it was.
    pub fn apply(&mut self, now: Micros, change: Change) -> Result<ApplyOutcome, ApplyError> {
        change.check()?;
        if let Some(version) = self.ids.get(&change.id) {
            let same = self
                .entries
                .get(*version as usize - 1)
                .is_some_and(|entry| entry.change == change);
            return if same {
                Ok(ApplyOutcome::AlreadyApplied(*version))
            } else {
                Err(ApplyError::DuplicateId(*version))
            };
        }
        let version = self.version();
        if let Some(after) = change.expected_version.filter(|after| *after != version) {
            return Err(ApplyError::Conflict {
                expected_version: after,
                version,
            });
        }
        if change.effective_at < now - self.slack {
            let late = (now - change.effective_at) as f64 / 1e6;
            return Err(KeyError::new(
                "at",
                format!(
                    "is {late:.3} s in the past, {:.3} s at most",
                    self.slack as f64 / 1e6
                ),
            )
            .into());
        }
        self.fits(&change)
            .map_err(|fault| fault.under_parent(change.kind.key()))?;
        Ok(ApplyOutcome::Applied(self.enter(now, change)))
    }

    fn enter(&mut self, taken: Micros, change: Change) -> u64 {
        let version = self.version() + 1;
        self.ids.insert(change.id.clone(), version);
        self.entries.push(Entry {
            version,
            applied_at: taken,
            change,
        });
        version
    }

    /// Whether a change makes sense against what the book holds.
    fn fits(&self, change: &Change) -> Result<(), KeyError> {
        let known = |plan: &str| match self.base.contains_key(plan) {
            true => Ok(()),
            false => {
                let names: Vec<&str> = self.base.keys().map(String::as_str).collect();
                Err(KeyError::new(
                    "plan",
                    format!("there is no plan '{plan}'; known are {}", names.join(", ")),
                ))
            }
        };
        match &change.kind {
            ChangeKind::RateLimit { plan, .. } => known(plan),
            ChangeKind::AssignPlan { plan, .. } => plan.as_deref().map_or(Ok(()), known),
            ChangeKind::Reserve {
                account: text,
                units,
                ends_at: until,
                ..
            } => {
                let customer = parse_customer(text)
                    .ok_or_else(|| KeyError::new("account", "is no customer"))?;
                self.grantable(customer, *units, change.effective_at, *until)
            }
            ChangeKind::Cancel { reservation } => match self.made(reservation) {
                None => Err(KeyError::new(
                    "reservation",
                    format!("there is none with the id '{reservation}'"),
                )),
                Some((_, end)) if change.effective_at >= end => {
                    Err(KeyError::new("reservation", "has ended by then"))
                }
                Some((from, _)) if change.effective_at < from => {
                    Err(KeyError::new("reservation", "has not begun by then"))
                }
                Some(_) if self.cancelled(reservation).is_some() => Err(KeyError::new(
                    "reservation",
                    format!("'{reservation}' is cancelled already"),
                )),
                Some(_) => Ok(()),
            },
        }
    }

    /// Reservations of a customer may not together exceed what its plan could ever grant while they last. A customer
    /// whose plan the book does not know is taken at the most generous one: which plan holds, its requests say.
    fn grantable(
        &self,
        customer: u64,
        units: f64,
        from: Micros,
        until: Micros,
    ) -> Result<(), KeyError> {
        let beside =
            |r: &Reservation| r.customer == customer && r.starts_at < until && from < r.ends_at;
        let held: f64 = self
            .reservations()
            .iter()
            .filter(|r| beside(r))
            .map(|r| r.units)
            .sum();
        let moved = self.plan_of(customer, from);
        let most = self
            .base
            .keys()
            .filter(|plan| moved.as_ref().is_none_or(|moved| moved == *plan))
            .filter_map(|plan| self.figures(plan, from))
            .map(|(figures, _)| figures.max_units_within(until - from))
            .fold(0.0, f64::max);
        match held + units <= most {
            true => Ok(()),
            false => Err(KeyError::new(
                "units",
                format!(
                    "are {units} beside {held} reserved already; the plan could grant {most:.3} by then at most"
                ),
            )),
        }
    }

    /// The last change that holds at an instant: the latest instant first, and of one instant the latest version.
    fn holding<T>(
        &self,
        at: Micros,
        get: impl Fn(&ChangeKind) -> Option<T>,
    ) -> Option<(T, Micros)> {
        let due = self
            .entries
            .iter()
            .filter(|entry| entry.change.effective_at <= at);
        let named =
            due.filter_map(|e| get(&e.change.kind).map(|t| (t, e.change.effective_at, e.version)));
        named
            .max_by_key(|(_, at, version)| (*at, *version))
            .map(|(t, at, _)| (t, at))
    }

    fn figures(&self, plan: &str, at: Micros) -> Option<(RateLimit, Option<Micros>)> {
        let changed = self.holding(at, |what| match what {
            ChangeKind::RateLimit {
                plan: name,
                rate_limit: figures,
            } if name == plan => Some(*figures),
            _ => None,
        });
        match changed {
            Some((figures, since)) => Some((figures, Some(since))),
            None => self.base.get(plan).map(|figures| (*figures, None)),
        }
    }

    fn moved(&self, customer: u64, at: Micros) -> Option<(Option<String>, Micros)> {
        self.holding(at, |what| match what {
            ChangeKind::AssignPlan {
                account: text,
                plan,
            } if parse_customer(text) == Some(customer) => Some(plan.clone()),
            _ => None,
        })
    }

    fn plan_of(&self, customer: u64, at: Micros) -> Option<String> {
        self.moved(customer, at).and_then(|(plan, _)| plan)
    }

    /// What a customer's request is judged by that is taken at an instant and names a plan. The book's move stands above
    /// the plan that the request names; without one the request's plan holds, with the book's figures for it. `None`: no
    /// such plan.
    pub fn effective_plan(&self, customer: u64, named: &str, at: Micros) -> Option<EffectivePlan> {
        let moved = self.moved(customer, at);
        let plan = moved
            .as_ref()
            .and_then(|(plan, _)| plan.as_deref())
            .unwrap_or(named);
        let (figures, changed) = self.figures(plan, at)?;
        let since = changed.max(moved.as_ref().map(|(_, since)| *since));
        Some(EffectivePlan {
            version: self.version(),
            plan: plan.to_string(),
            rate_limit: figures,
            effective_since: since,
        })
    }

    /// The next instant at which anything takes effect.
    pub fn next_change_at(&self, now: Micros) -> Option<Micros> {
        let ends = self
            .reservations()
            .into_iter()
            .map(|r| r.ends_at)
            .collect::<BTreeSet<_>>();
        self.entries
            .iter()
            .map(|e| e.change.effective_at)
            .chain(ends)
            .filter(|at| *at > now)
            .min()
    }

    fn made(&self, id: &str) -> Option<(Micros, Micros)> {
        let entry = self.entries.get(*self.ids.get(id)? as usize - 1)?;
        match &entry.change.kind {
            ChangeKind::Reserve { ends_at: until, .. } => Some((entry.change.effective_at, *until)),
            _ => None,
        }
    }

    fn cancelled(&self, id: &str) -> Option<Micros> {
        self.entries
            .iter()
            .find_map(|entry| match &entry.change.kind {
                ChangeKind::Cancel { reservation } if reservation == id => {
                    Some(entry.change.effective_at)
                }
                _ => None,
            })
    }

    /// All reservations, those that have ended included.
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
            ends_at: until,
            class,
            prefix,
        } = &entry.change.kind
        else {
            return None;
        };
        let until = self
            .cancelled(&entry.change.id)
            .map_or(*until, |at| at.min(*until));
        Some(Reservation {
            id: &entry.change.id,
            customer: parse_customer(text)?,
            units: *units,
            starts_at: entry.change.effective_at,
            ends_at: until,
            class,
            prefix: prefix.as_deref(),
        })
    }

    /// The reservation that a customer's request takes from: of those that fit, the one that ends first.
    pub fn reservation_for(
        &self,
        customer: u64,
        class: &str,
        key: &str,
        at: Micros,
    ) -> Option<Reservation<'_>> {
        let fits = |r: &Reservation| {
            r.customer == customer
                && r.class == class
                && (r.starts_at..r.ends_at).contains(&at)
                && r.prefix.is_none_or(|prefix| key.starts_with(prefix))
        };
        self.reservations()
            .into_iter()
            .filter(fits)
            .min_by(|a, b| (a.ends_at, a.id).cmp(&(b.ends_at, b.id)))
    }

    /// Takes over what another book has beyond this one. Entries that are here already are passed over.
    ///
    /// # Errors
    /// Missing or different entries, or one that does not hold: the book is as it was.
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
                let same =
                    book.entries.get((entry.version as usize).wrapping_sub(1)) == Some(entry);
                if !same {
                    return Err(CatchUpError::Diverged(entry.version));
                }
                continue;
            }
            let refused = |refusal| CatchUpError::Rejected(entry.version, refusal);
            entry
                .change
                .check()
                .map_err(|fault| refused(fault.into()))?;
            if let Some(taken) = book.ids.get(&entry.change.id) {
                return Err(refused(ApplyError::DuplicateId(*taken)));
            }
            // The slack is the business of the book that took it first: here it may come late.
            let key = entry.change.kind.key();
            book.fits(&entry.change)
                .map_err(|fault| refused(fault.under_parent(key).into()))?;
            book.enter(entry.applied_at, entry.change.clone());
        }
        *self = book;
        Ok(self.version())
    }
}
