//! Planned work on the programs: series of shutdowns over the edges, a few machines at a time, with shutdowns of control
//! programs and reloads amid them. Checks that no request is lost by it.

use std::time::{Duration, Instant};

use emulator::system::machines::Role;
use emulator::system::operator::{Change, Operator};
use emulator::system::test_system::{READ_PREFIX, SERVICES, TestSystem, route};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Shared;
use super::faults::{Action, Shutdown, Step};
use crate::system::clients::GivenUp;

/// The time from SIGTERM to SIGKILL, as the settings' `grace` has it.
const GRACE: Duration = Duration::from_secs(6);
/// In this last part of it a server's work may be cut.
const GRACE_END: Duration = Duration::from_secs(1);
/// Until the end of a program is seen, on a busy machine.
const OBSERVATION_DELAY: Duration = Duration::from_millis(300);
/// A machine starts again this long after it has ended; an edge takes 2 s at least to end.
const RESTART_DELAY_MS: std::ops::Range<u64> = 20..600;
/// Between two batches of one series.
const BATCH_GAP_MS: std::ops::Range<u64> = 150..700;
/// Between the starts of two series; one takes longer with many edges, so that they overlap.
const SERIES_GAP_MS: std::ops::Range<u64> = 900..2_500;
/// The share of the edges that one series shuts down.
const SERIES_SHARE: std::ops::Range<f64> = 0.3..0.8;
/// Machines at a time.
const MAX_BATCH: usize = 3;

/// The shutdown of a machine's programs at `at`, and their start once they have ended.
fn shutdown_steps(
    at: Duration,
    restart_delay: Duration,
    roles: &[Role],
    machine: usize,
) -> Vec<Step> {
    let step = |at: Duration, action: Action, role: Role| Step {
        at,
        action,
        role,
        machine,
    };
    roles
        .iter()
        .flat_map(|role| {
            [
                step(at, Action::Terminate, *role),
                step(at + restart_delay, Action::Start, *role),
            ]
        })
        .collect()
}

/// One series over a share of the edges, which begins at `at`.
fn draw_series(rng: &mut ChaCha8Rng, at: Duration, edges: usize) -> Vec<Step> {
    let mut machines: Vec<usize> = (0..edges).collect();
    machines.shuffle(rng);
    // One edge at least serves on.
    let most = (edges as f64 * rng.random_range(SERIES_SHARE)).ceil() as usize;
    machines.truncate(most.min(edges - 1).max(1));
    let batch = rng.random_range(1..=MAX_BATCH);
    let (mut steps, mut at) = (Vec::new(), at);
    for machines in machines.chunks(batch) {
        for machine in machines {
            let restart_delay = Duration::from_millis(rng.random_range(RESTART_DELAY_MS));
            let roles = [Role::Agent, Role::Proxy];
            steps.extend(shutdown_steps(at, restart_delay, &roles, *machine));
        }
        at += Duration::from_millis(rng.random_range(BATCH_GAP_MS));
    }
    steps
}

/// Draws the steps of a run, in the order in which they are due.
pub fn draw(seed: u64, length: Duration, cores: usize, edges: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(rng.random_range(300..1_200));
    let mut steps = Vec::new();
    while at < length {
        steps.extend(draw_series(&mut rng, at, edges));
        if rng.random::<bool>() {
            let restart_delay = Duration::from_millis(rng.random_range(RESTART_DELAY_MS));
            let core = rng.random_range(0..cores);
            steps.extend(shutdown_steps(at, restart_delay, &[Role::Control], core));
        }
        for _ in 0..rng.random_range(0..3) {
            steps.push(Step {
                at: at + Duration::from_millis(rng.random_range(0..900)),
                action: Action::Reload,
                role: *[Role::Agent, Role::Proxy]
                    .get(rng.random_range(0..2))
                    .unwrap_or(&Role::Proxy),
                machine: rng.random_range(0..edges),
            });
        }
        at += Duration::from_millis(rng.random_range(SERIES_GAP_MS));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Sets the tries of the clients' reads to 1 or 2, by the seed: a request whose server is slow has no or one other attempt.
///
/// # Errors
/// The change is not acknowledged in time.
pub fn limit_tries(operator: &mut Operator, seed: u64, until: Instant) -> Result<(), String> {
    let mut reads = route(READ_PREFIX, SERVICES[0]);
    reads["tries"] = (1 + seed % 2).into();
    operator.change(&Change::default().set("routes", "reads", 2, reads), until)
}

/// Whether a request at this edge ended in the last part of a grace period.
fn is_cut_by_grace(shutdowns: &[Shutdown], edge: usize, ended_at: Instant) -> bool {
    shutdowns
        .iter()
        .filter(|shutdown| shutdown.role == Role::Proxy && shutdown.machine == edge)
        .any(|shutdown| {
            let cut_from = shutdown.began_at + GRACE - GRACE_END;
            (cut_from..shutdown.began_at + GRACE).contains(&ended_at)
        })
}

/// Whether the proxy of this edge was in a shutdown at some time between these two.
pub(super) fn is_within_shutdown(
    shutdowns: &[Shutdown],
    edge: usize,
    (from, until): (Instant, Instant),
) -> bool {
    let of_proxy = |shutdown: &&Shutdown| shutdown.role == Role::Proxy && shutdown.machine == edge;
    shutdowns.iter().filter(of_proxy).any(|shutdown| {
        let ended_at = shutdown.ended_at.unwrap_or(shutdown.began_at + GRACE);
        shutdown.began_at <= until && ended_at >= from
    })
}

/// Checks what planned work may not do.
pub fn check(shared: &Shared, system: &TestSystem, shutdowns: &[Shutdown], given_up: &[GivenUp]) {
    for shutdown in shutdowns {
        let is_late = shutdown
            .ended_at
            .is_some_and(|ended_at| ended_at > shutdown.began_at + GRACE + OBSERVATION_DELAY);
        if is_late {
            shared.violate(format!("not ended within the grace period: {shutdown:?}"));
        }
    }
    for request in given_up {
        let (sent_at, ended_at) = request.sent_and_ended_at;
        let edge =
            (0..system.machines.edges()).find(|edge| system.machines.http(*edge) == request.edge);
        let is_excused = edge.is_some_and(|edge| is_cut_by_grace(shutdowns, edge, ended_at));
        if system.fleet.run_count(&request.id) > 0 && !is_excused {
            let taken = ended_at - sent_at;
            let since_shutdown = shutdowns
                .iter()
                .filter(|s| {
                    s.role == Role::Proxy && Some(s.machine) == edge && s.began_at < ended_at
                })
                .map(|s| ended_at - s.began_at)
                .min();
            shared.violate(format!(
                "given up while a server ran it: {} at edge {edge:?}, {} after {taken:?}, {since_shutdown:?} after SIGTERM",
                request.id, request.end
            ));
        }
    }
    let after_drain = system.fleet.counts().after_drain;
    if after_drain > 0 {
        shared.violate(format!(
            "{after_drain} requests came to servers that had left"
        ));
    }
}

#[cfg(test)]
mod tests;
