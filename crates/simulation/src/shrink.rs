//! The shortest schedule that still breaks the same rule: steps are left out, in halves and then one by one.

use crate::play::play;
use crate::schedule::Schedule;

/// Shrinks a schedule that breaks a rule; `None` if it breaks none. Gives also the number of schedules played.
pub fn shrink(schedule: &Schedule) -> Option<(Schedule, usize)> {
    let rule = play(schedule).faults.first()?.rule;
    let mut played = 1;
    let mut best = schedule.clone();
    let mut fails = |schedule: &Schedule| {
        played += 1;
        play(schedule).faults.iter().any(|fault| fault.rule == rule)
    };
    let simpler = [
        Schedule {
            load: 0,
            ..best.clone()
        },
        Schedule {
            load: 0,
            edges: 0,
            ..best.clone()
        },
    ];
    for simple in simpler {
        if fails(&simple) {
            best = simple;
        }
    }
    let mut chunk = best.steps.len().div_ceil(2).max(1);
    loop {
        let (mut at, before) = (0, best.steps.len());
        while at < best.steps.len() {
            let mut less = best.clone();
            less.steps.drain(at..(at + chunk).min(best.steps.len()));
            if fails(&less) {
                best = less
            } else {
                at += chunk
            }
        }
        if chunk == 1 && best.steps.len() == before {
            break;
        }
        chunk = (chunk / 2).max(1);
    }
    Some((best, played))
}
