//! Losses of power and disks: disks of control programs reject writes, whole zones of programs are killed at once and start
//! again one by one, some of them without their disks. Meanwhile clients go on with the edges that they know.

use std::time::{Duration, Instant};

use emulator::system::machines::Role;
use emulator::system::operator::{Change, Operator};
use emulator::system::test_system::{SERVICES, route};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::faults::{Action, Step};

/// Between two losses of power: disks that were lost must have been rebuilt before others are lost.
const LOSS_GAP_MS: std::ops::Range<u64> = 5_000..7_000;
/// A disk rejects writes this long before a loss of power, or until it.
const DISK_FAILURE_LEAD_MS: std::ops::Range<u64> = 100..2_500;
/// Programs start again this long after a loss of power.
const RESTART_DELAY_MS: std::ops::Range<u64> = 50..1_200;
/// After a start a disk may reject writes again.
const SECOND_FAILURE_DELAY_MS: std::ops::Range<u64> = 50..600;
/// How long it then does so.
const SECOND_FAILURE_MS: std::ops::Range<u64> = 200..1_500;
/// The share of the control programs that are paused after a loss of power.
const PAUSED_CORES: f64 = 0.3;
/// How long they are.
const PAUSE_MS: std::ops::Range<u64> = 200..1_800;
/// Between two restarts of single edges.
const EDGE_GAP_MS: std::ops::Range<u64> = 400..1_400;
/// Routes in the configuration that nobody requests: more than one message holds.
const IDLE_ROUTES: usize = 1_200;

/// What one loss of power takes away.
struct PowerLoss {
    at: Duration,
    /// Control programs whose disks are lost.
    lost_disks: Vec<usize>,
    /// Control programs that are killed and keep their disks.
    killed_cores: Vec<usize>,
    edges: Vec<usize>,
}

fn step(at: Duration, action: Action, role: Role, machine: usize) -> Step {
    Step {
        at,
        action,
        role,
        machine,
    }
}

fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn draw_loss(rng: &mut ChaCha8Rng, at: Duration, cores: usize, edges: usize) -> PowerLoss {
    let mut order: Vec<usize> = (0..cores).collect();
    order.shuffle(rng);
    // What was acknowledged is on more than half of the disks: one of these has to be left.
    let most_lost = (cores - 1) / 2;
    let lost = rng.random_range(0..=most_lost);
    let (lost_disks, others) = order.split_at(lost);
    let takes_all = rng.random::<f64>() < 0.6;
    let killed_cores = if takes_all { others } else { &others[..1] };
    let mut edge_order: Vec<usize> = (0..edges).collect();
    edge_order.shuffle(rng);
    let killed_edges = if takes_all {
        edges
    } else {
        rng.random_range(1..=edges)
    };
    PowerLoss {
        at,
        lost_disks: lost_disks.to_vec(),
        killed_cores: killed_cores.to_vec(),
        edges: edge_order[..killed_edges].to_vec(),
    }
}

/// The steps of a loss of power, of the disks that fail before it, and of the starts after it.
fn loss_steps(rng: &mut ChaCha8Rng, loss: &PowerLoss, cores: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    // One that rejects writes misses the orders of that time.
    for core in 0..cores {
        if rng.random::<f64>() < 0.4 {
            let from = loss.at.saturating_sub(millis(rng, DISK_FAILURE_LEAD_MS));
            steps.push(step(from, Action::FailDisk, Role::Control, core));
            let until = loss.at + millis(rng, RESTART_DELAY_MS);
            steps.push(step(until, Action::MendDisk, Role::Control, core));
        }
    }
    for core in &loss.lost_disks {
        steps.push(step(loss.at, Action::LoseDisk, Role::Control, *core));
    }
    for core in &loss.killed_cores {
        steps.push(step(loss.at, Action::Kill, Role::Control, *core));
    }
    for core in loss.lost_disks.iter().chain(&loss.killed_cores) {
        let start = loss.at + millis(rng, RESTART_DELAY_MS);
        steps.push(step(start, Action::Start, Role::Control, *core));
        if rng.random::<f64>() < 0.3 {
            let from = start + millis(rng, SECOND_FAILURE_DELAY_MS);
            let until = from + millis(rng, SECOND_FAILURE_MS);
            steps.push(step(from, Action::FailDisk, Role::Control, *core));
            steps.push(step(until, Action::MendDisk, Role::Control, *core));
        }
    }
    // One that does not answer leaves a replica that rebuilds with a part.
    for core in 0..cores {
        if rng.random::<f64>() < PAUSED_CORES {
            let from = loss.at + millis(rng, RESTART_DELAY_MS);
            let until = from + millis(rng, PAUSE_MS);
            steps.push(step(from, Action::Pause, Role::Control, core));
            steps.push(step(until, Action::Resume, Role::Control, core));
        }
    }
    for edge in &loss.edges {
        let start = loss.at + millis(rng, RESTART_DELAY_MS);
        for role in [Role::Agent, Role::Proxy] {
            steps.push(step(loss.at, Action::Kill, role, *edge));
            steps.push(step(start, Action::Start, role, *edge));
        }
    }
    steps
}

/// Restarts of single edges, by a kill or SIGTERM, and reloads, one after the other.
fn edge_steps(rng: &mut ChaCha8Rng, length: Duration, edges: usize) -> Vec<Step> {
    let (mut steps, mut at) = (Vec::new(), millis(rng, EDGE_GAP_MS));
    while at < length {
        let edge = rng.random_range(0..edges);
        let (action, ends) = match rng.random_range(0..4) {
            0 => (Action::Terminate, true),
            1 => (Action::Reload, false),
            _ => (Action::Kill, true),
        };
        let start = at + millis(rng, RESTART_DELAY_MS);
        for role in [Role::Agent, Role::Proxy] {
            steps.push(step(at, action, role, edge));
            if ends {
                steps.push(step(start, Action::Start, role, edge));
            }
        }
        at += millis(rng, EDGE_GAP_MS);
    }
    steps
}

/// Draws the steps of a run, in the order in which they are due.
pub fn draw(seed: u64, length: Duration, cores: usize, edges: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut steps = edge_steps(&mut rng, length, edges);
    let mut at = Duration::from_millis(rng.random_range(1_500..3_000));
    while at < length {
        let loss = draw_loss(&mut rng, at, cores, edges);
        steps.extend(loss_steps(&mut rng, &loss, cores));
        at += millis(&mut rng, LOSS_GAP_MS);
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds routes that nobody requests, so that no message holds the whole configuration.
///
/// # Errors
/// The change is not acknowledged in time.
pub fn enlarge_configuration(operator: &mut Operator, until: Instant) -> Result<(), String> {
    let change = (0..IDLE_ROUTES).fold(Change::default(), |change, number| {
        let name = format!("idle-{number}");
        let spec = route(&format!("/{name}/"), SERVICES[number % SERVICES.len()]);
        change.set("routes", &name, 1, spec)
    });
    operator.change(&change, until)
}
