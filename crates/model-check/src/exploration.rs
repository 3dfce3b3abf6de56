//! Exploration of all states within bounds, and its report.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::{Duration, Instant};

use stateright::{Checker, CheckerBuilder, HasDiscoveries, Model};

use crate::bounds::Bounds;
use crate::model::Action;

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of distinct states.
    pub states: usize,
    /// Number of states visited, repeated visits included.
    pub visits: usize,
    /// Maximum number of steps from the initial state.
    pub depth: usize,
    /// Wall-clock duration of the exploration.
    pub elapsed: Duration,
    /// Whether all states within the bounds were explored before the timeout.
    pub complete: bool,
    /// Violated properties, each with the steps that lead to the violation.
    pub violations: BTreeMap<&'static str, Vec<Action>>,
}

/// Explores all states within bounds breadth-first, or as many as the timeout allows.
pub fn explore(bounds: &Bounds, threads: usize, timeout: Option<Duration>) -> Report {
    let checker = bounds.clone().checker().threads(threads);
    run(
        timeout.into_iter().fold(checker, CheckerBuilder::timeout),
        timeout,
    )
}

/// Returns the shortest sequence of steps that violates a property, or `None` if no state does.
pub fn shortest_violation(bounds: &Bounds, property: &'static str) -> Option<Vec<Action>> {
    // The checker reports the last of several discoveries, so the search repeats with a lower depth limit
    // until it finds no violation.
    let mut violation = None;
    loop {
        let max_steps = violation.as_ref().map_or(0, Vec::len);
        let stop_condition = HasDiscoveries::AllOf(BTreeSet::from([property]));
        let mut checker = bounds.clone().checker().finish_when(stop_condition);
        if max_steps > 0 {
            checker = checker.target_max_depth(max_steps + 1);
        }
        let Some(shorter) = run(checker, None).violations.remove(property) else {
            return violation;
        };
        violation = Some(shorter);
    }
}

fn run(checker: CheckerBuilder<Bounds>, timeout: Option<Duration>) -> Report {
    let began_at = Instant::now();
    let checker = checker.spawn_bfs().join();
    let violations = checker.discoveries().into_iter();
    let violations = violations
        .map(|(name, path)| (name, path.into_actions()))
        .collect();
    Report {
        states: checker.unique_state_count(),
        visits: checker.state_count(),
        depth: checker.max_depth(),
        elapsed: began_at.elapsed(),
        complete: timeout.is_none_or(|timeout| began_at.elapsed() < timeout),
        violations,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            states,
            visits,
            depth,
            elapsed,
            complete,
            violations,
        } = self;
        let seconds = elapsed.as_secs_f64();
        let coverage = if *complete { "all" } else { "NOT all" };
        write!(
            f,
            "{coverage} within bounds: {states} states, {visits} visits, depth {depth}, {seconds:.1} s; broken: "
        )?;
        if violations.is_empty() {
            return write!(f, "none");
        }
        for (name, steps) in violations {
            write!(f, "\n{name}, {} steps:", steps.len())?;
            steps
                .iter()
                .try_for_each(|step| write!(f, "\n  {step:?}"))?;
        }
        Ok(())
    }
}
