//! Resolves the plan of a request where plans change in service: the plan book's decisions, as
//! positions in the module.
//!
//! The module knows plans by position. Each set of limits that the book brings into force takes the
//! next position once, and is announced to the module ahead of the first request that uses it.
//! Without changes, requests keep the position that they name.

use std::collections::BTreeMap;

use plans::book::{Book, Refusal, Taken};
use plans::change::{Base, Change, Figures};
use streamarch::{CustomerId, Micros, Plan};

/// Longest chain of changes followed within one window.
const MAX_CHANGE_CHAIN: usize = 8;

/// Limits as a key, compared bit by bit.
type PlanBits = (u64, u64);

/// A plan that was added: its platform position, its limits, the position that requests name, and
/// the plan it replaced within the present window.
type AddedPlan = (usize, PlanBits, usize, Option<(Micros, usize)>);

/// The plan book, and the positions of its plans in the module.
#[derive(Debug)]
pub struct PlanResolver {
    book: Book,
    names: Vec<String>,
    /// The module's plans: those of the platform, then the added ones.
    plans: Vec<Plan>,
    positions: BTreeMap<AddedPlan, usize>,
}

/// The plan of a request, fixed when it is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedPlan {
    /// Position in the module.
    pub position: usize,
    /// The plan's name.
    pub name: String,
    /// Version of the book.
    pub book_version: u64,
}

fn plan_bits(figures: Figures) -> PlanBits {
    (figures.rate.to_bits(), figures.burst.to_bits())
}

impl PlanResolver {
    /// The platform's plans, by name and position. `slack`: how far in the past a change may take
    /// effect, in microseconds.
    pub fn new(names: &[String], platform: &[Plan], slack: Micros) -> PlanResolver {
        let figures = |plan: &Plan| Figures {
            rate: plan.rate_per_s,
            burst: plan.burst,
        };
        let base: Base = names
            .iter()
            .cloned()
            .zip(platform.iter().map(figures))
            .collect();
        let (names, known) = (names.to_vec(), platform.to_vec());
        PlanResolver {
            book: Book::new(base, slack),
            names,
            plans: known,
            positions: BTreeMap::new(),
        }
    }

    /// The plan book.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Applies a change to the book.
    ///
    /// # Errors
    /// Why the change was rejected; the book is unchanged.
    pub fn apply(&mut self, now: Micros, change: Change) -> Result<Taken, Refusal> {
        self.book.apply(now, change)
    }

    /// Resolves the plan that a request names by platform position. Plans added by it are appended
    /// to `new`, in the order in which they are to be announced to the module.
    pub fn resolve(
        &mut self,
        now: Micros,
        customer: CustomerId,
        named: usize,
        new: &mut Vec<Plan>,
    ) -> ResolvedPlan {
        let (position, plan) = self.at(now, now, customer, named, MAX_CHANGE_CHAIN, new);
        let name = self.names.get(plan).cloned().unwrap_or_default();
        ResolvedPlan {
            position,
            name,
            book_version: self.book.version(),
        }
    }

    /// The position in the module, and the platform position, of the plan in force at an instant.
    fn at(
        &mut self,
        at: Micros,
        now: Micros,
        customer: CustomerId,
        named: usize,
        chain: usize,
        new: &mut Vec<Plan>,
    ) -> (usize, usize) {
        let Some(name) = self.names.get(named) else {
            return (named, named);
        };
        let Some(terms) = self.book.terms(customer.0, name, at) else {
            return (named, named);
        };
        let Some(since) = terms.since else {
            return (named, named);
        };
        let plan = self
            .names
            .iter()
            .position(|n| *n == terms.plan)
            .unwrap_or(named);
        let window = self.plans[named].window_length();
        // The previous plan matters only in the window of the change: there the use under it may
        // not be known here.
        let fresh = chain > 0 && now - since < window;
        let changed = fresh.then(|| {
            (
                since,
                self.at(since - 1, now, customer, named, chain - 1, new).0,
            )
        });
        let came = (plan, plan_bits(terms.figures), named, changed);
        if let Some(position) = self.positions.get(&came) {
            return (*position, plan);
        }
        let Figures { rate, burst } = terms.figures;
        let figures = Plan {
            rate_per_s: rate,
            burst,
            inherited_window: window,
            predecessor: changed,
            ..self.plans[plan].clone()
        };
        let position = self.plans.len();
        self.plans.push(figures.clone());
        self.positions.insert(came, position);
        new.push(figures);
        (position, plan)
    }
}
