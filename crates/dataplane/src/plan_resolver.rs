//! By which plan a request is judged, where plans change in service: the plan book's word, as positions in the module.
//!
//! The module knows plans by position. Each set of figures that the book brings up takes the next position, once, and is
//! told to the module ahead of the first request that is judged by it. Without a change everything is as the request
//! names it.

use std::collections::BTreeMap;

use plans::book::{Book, Refusal, Taken};
use plans::change::{Base, Change, Figures};
use streamarch::{CustomerId, Micros, Plan};

/// Longest chain of changes looked at within one window.
const MAX_CHANGE_CHAIN: usize = 8;

/// Figures as a key: equal to the bit, or other ones.
type PlanBits = (u64, u64);

/// A plan that came up: its platform position, its figures, the position that requests name, and what it took over from
/// within the present window.
type AddedPlan = (usize, PlanBits, usize, Option<(Micros, usize)>);

/// The book, and where its plans stand in the module.
#[derive(Debug)]
pub struct PlanResolver {
    book: Book,
    names: Vec<String>,
    /// The module's plans: the platform's first, then those that came up.
    plans: Vec<Plan>,
    positions: BTreeMap<AddedPlan, usize>,
}

/// What a request is judged by, fixed when it is taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedPlan {
    /// Position in the module.
    pub position: usize,
    /// The plan's name.
    pub plan: String,
    /// The book's version.
    pub version: u64,
}

fn plan_bits(figures: Figures) -> PlanBits {
    (figures.rate.to_bits(), figures.burst.to_bits())
}

impl PlanResolver {
    /// The platform's plans, by name and position. `slack`: how far in the past a change may take effect.
    pub fn new(names: &[String], platform: &[Plan], slack: Micros) -> PlanResolver {
        let figures = |plan: &Plan| Figures {
            rate: plan.rate,
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

    /// The book.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Takes a change into the book.
    ///
    /// # Errors
    /// Why it was refused; the book is as it was.
    pub fn apply(&mut self, now: Micros, change: Change) -> Result<Taken, Refusal> {
        self.book.apply(now, change)
    }

    /// What a request is judged by that names a plan by its platform position. Plans that come up with it are put into
    /// `new`, in the order in which the module is to be told.
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
            plan: name,
            version: self.book.version(),
        }
    }

    /// Position in the module and platform position of what holds at an instant, as it is to be judged now.
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
        // What was before matters in the window of the change alone: there use under it may not be known here.
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
            rate,
            burst,
            window,
            changed,
            ..self.plans[plan].clone()
        };
        let position = self.plans.len();
        self.plans.push(figures.clone());
        self.positions.insert(came, position);
        new.push(figures);
        (position, plan)
    }
}
