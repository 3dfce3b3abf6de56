//! Quotas over the whole fleet: what each workshop was served in each window, by all limiters together, against what
//! its plan allows in that window (`rate × window + burst`). The fleet's totals, not one limiter's word.
//!
//! Windows are laid from the start of the load and only whole ones within it are judged, so that the ramp at the end
//! of a run reads as nothing. A request counts in the window in which it was served.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::records::{Fate, Outcome};
use crate::scenario::PlanPlan;
use crate::schedule::Schedule;

/// Of a workshop's window, what was asked and what was served, in units.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// The workshop, by its position.
    pub workshop: u32,
    /// Since the start of the load, in seconds.
    pub from_s: f64,
    /// Units of the requests intended in it.
    pub asked: f64,
    /// Units served in it.
    pub served: f64,
    /// What the plan allows in it.
    pub quota: f64,
}

/// How well the quotas held over the fleet.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bounds {
    /// The length of a window, in seconds.
    pub window_s: f64,
    /// Windows of workshops that were judged: whole ones in which something was asked.
    pub windows: u64,
    /// The worst window: served over quota. 1.0 is the quota kept to the unit.
    pub overuse_ratio: f64,
    /// That window.
    pub worst: Window,
    /// Windows served beyond 1.10 of their quota.
    pub over_tenth: u64,
    /// Of windows in which at least the quota was asked: the least share of the quota that was served; 1.0 where there
    /// were none.
    pub least_share: f64,
    /// That window.
    pub least: Window,
    /// Window by window from the start: the worst ratio of any workshop in it, and windows beyond 1.10.
    pub by_window: Vec<(f64, u64)>,
}

/// The bounds of a run whose load lasted `span`, by windows of `window`.
pub fn of(
    schedule: &Schedule,
    plans: &[PlanPlan],
    fates: &[Fate],
    window: Micros,
    span: Micros,
) -> Bounds {
    let window = window.max(1);
    let whole = (span / window).max(0) as usize;
    let workshops = schedule.workshops.len();
    let mut cells = vec![Window::default(); workshops * whole];
    let cell = |workshop: u32, at: Micros| {
        let k = usize::try_from(at / window).ok().filter(|k| *k < whole)?;
        Some(workshop as usize * whole + k)
    };
    for (request, fate) in schedule.requests.iter().zip(fates) {
        let units = f64::from(request.units);
        if let Some(k) = cell(request.workshop, request.at) {
            cells[k].asked += units;
        }
        let served = fate.ended.filter(|_| fate.outcome == Outcome::Served);
        if let Some(k) = served.and_then(|at| cell(request.workshop, at)) {
            cells[k].served += units;
        }
    }
    let length_s = window as f64 / 1e6;
    let by_window = vec![(0.0, 0); whole];
    let mut bounds = Bounds {
        window_s: length_s,
        least_share: 1.0,
        by_window,
        ..Bounds::default()
    };
    for (k, cell) in cells.iter_mut().enumerate() {
        let workshop = k / whole.max(1);
        let Some(plan) = schedule
            .workshops
            .get(workshop)
            .and_then(|w| plans.get(usize::from(w.plan)))
        else {
            continue;
        };
        (cell.workshop, cell.from_s) = (workshop as u32, (k % whole) as f64 * length_s);
        cell.quota = plan.rate * length_s + plan.burst;
        if cell.asked == 0.0 || cell.quota <= 0.0 {
            continue;
        }
        bounds.windows += 1;
        let ratio = cell.served / cell.quota;
        bounds.over_tenth += u64::from(ratio > 1.10);
        let at = &mut bounds.by_window[k % whole];
        *at = (at.0.max(ratio), at.1 + u64::from(ratio > 1.10));
        if ratio > bounds.overuse_ratio {
            (bounds.overuse_ratio, bounds.worst) = (ratio, *cell);
        }
        if cell.asked >= cell.quota && ratio < bounds.least_share {
            (bounds.least_share, bounds.least) = (ratio, *cell);
        }
    }
    bounds
}

#[cfg(test)]
mod tests;
