//! Resolves the plan of a request while plans change in service: translates the decisions of the
//! plan book into positions in the decision module.
//!
//! The module refers to plans by position. Each set of figures (rate and burst) that the book
//! brings into force gets the next position once, and is announced to the module before the first
//! request that uses it. Without changes, requests keep the position that they name.

use std::collections::BTreeMap;

use plans::book::{ApplyError, ApplyOutcome, PlanBook};
use plans::change::{Change, PlatformPlans, RateLimit};
use streamarch::{CustomerId, Micros, Plan};

/// Most changes within one window that are followed back.
const MAX_CHANGE_CHAIN: usize = 8;

/// Rate and burst as a key, compared bit by bit.
type FigureBits = (u64, u64);

/// Key of a plan that was added: the platform position of the plan in force, its figures, the
/// position that the request names, and when it replaced which position within the present window.
type AddedPlanKey = (usize, FigureBits, usize, Option<(Micros, usize)>);

/// The plan book, and the positions of its plans in the module.
#[derive(Debug)]
pub struct PlanResolver {
    book: PlanBook,
    /// Names of the platform's plans, by position.
    names: Vec<String>,
    /// The module's plans: those of the platform, then the added ones.
    plans: Vec<Plan>,
    added_positions: BTreeMap<AddedPlanKey, usize>,
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

fn figure_bits(figures: RateLimit) -> FigureBits {
    (figures.rate_per_s.to_bits(), figures.burst.to_bits())
}

impl PlanResolver {
    /// Creates a resolver for the platform's plans, given by name and position. `slack`: how far in
    /// the past a change may take effect, in microseconds.
    pub fn new(names: &[String], platform_plans: &[Plan], slack: Micros) -> PlanResolver {
        let figures = |plan: &Plan| RateLimit {
            rate_per_s: plan.rate_per_s,
            burst: plan.burst,
        };
        let base: PlatformPlans = names
            .iter()
            .cloned()
            .zip(platform_plans.iter().map(figures))
            .collect();
        let (names, plans) = (names.to_vec(), platform_plans.to_vec());
        PlanResolver {
            book: PlanBook::new(base, slack),
            names,
            plans,
            added_positions: BTreeMap::new(),
        }
    }

    /// The plan book.
    pub fn book(&self) -> &PlanBook {
        &self.book
    }

    /// Applies a change to the book.
    ///
    /// # Errors
    /// Why the change was rejected; the book is unchanged.
    pub fn apply(&mut self, now: Micros, change: Change) -> Result<ApplyOutcome, ApplyError> {
        self.book.apply(now, change)
    }

    /// Resolves the plan that a request names by its platform position. Plans that this adds are
    /// appended to `new_plans`, in the order in which they are to be announced to the module.
    pub fn resolve(
        &mut self,
        now: Micros,
        customer: CustomerId,
        named: usize,
        new_plans: &mut Vec<Plan>,
    ) -> ResolvedPlan {
        let (position, plan) =
            self.resolve_at(now, now, customer, named, MAX_CHANGE_CHAIN, new_plans);
        let name = self.names.get(plan).cloned().unwrap_or_default();
        ResolvedPlan {
            position,
            name,
            book_version: self.book.version(),
        }
    }

    /// The position in the module, and the platform position, of the plan in force at `at`.
    fn resolve_at(
        &mut self,
        at: Micros,
        now: Micros,
        customer: CustomerId,
        named: usize,
        remaining_changes: usize,
        new_plans: &mut Vec<Plan>,
    ) -> (usize, usize) {
        let Some(name) = self.names.get(named) else {
            return (named, named);
        };
        let Some(terms) = self.book.effective_plan(customer.0, name, at) else {
            return (named, named);
        };
        let Some(changed_at) = terms.effective_since else {
            return (named, named);
        };
        let plan = self
            .names
            .iter()
            .position(|n| *n == terms.plan)
            .unwrap_or(named);
        let window = self.plans[named].window_length();
        // The previous plan matters only in the window of the change: the usage that was counted
        // under it may not be known here.
        let is_recent = remaining_changes > 0 && now - changed_at < window;
        let previous = is_recent.then(|| {
            (
                changed_at,
                self.resolve_at(
                    changed_at - 1,
                    now,
                    customer,
                    named,
                    remaining_changes - 1,
                    new_plans,
                )
                .0,
            )
        });
        let key = (plan, figure_bits(terms.rate_limit), named, previous);
        if let Some(position) = self.added_positions.get(&key) {
            return (*position, plan);
        }
        let RateLimit {
            rate_per_s: rate,
            burst,
        } = terms.rate_limit;
        let added_plan = Plan {
            rate_per_s: rate,
            burst,
            inherited_window: window,
            predecessor: previous,
            ..self.plans[plan].clone()
        };
        let position = self.plans.len();
        self.plans.push(added_plan.clone());
        self.added_positions.insert(key, position);
        new_plans.push(added_plan);
        (position, plan)
    }
}
