//! The faults of a run: which processes are killed, stopped, paused or signalled, and when. Two or three begin within a
//! second of each other, the later ones amid what the first has set going.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use emulator::system::client::call;
use emulator::system::machines::{Machines, Role};
use emulator::system::wait_for;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

/// Faults that overlap begin within this of the first.
const OVERLAP: Duration = Duration::from_millis(900);
/// How long most faults last, in milliseconds.
const SHORT_FAULT_MS: std::ops::Range<u64> = 100..2_500;
/// How long some last, in milliseconds: a change may have to be in force before they are over.
const LONG_FAULT_MS: std::ops::Range<u64> = 6_000..9_000;
/// How long a process that is cut off is paused: longer than any of its peers waits on a silent link.
const CUT_PAUSE: Duration = Duration::from_millis(2_200);
/// The chance that a fault is long.
const LONG_FAULTS: f64 = 0.2;
/// A control program reports its status within this.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// A process that ends late is looked at again after this.
const RECHECK: Duration = Duration::from_millis(50);

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// SIGKILL; the process starts again later.
    Kill,
    /// SIGTERM; the process starts again once it has ended.
    Terminate,
    /// SIGSTOP; to the others it is as cut off, and what it hears later is old.
    Pause,
    /// It opens and accepts no connections and is paused until its peers have given up those that it has: then it runs on, cut
    /// off from everything.
    Cut,
    /// The pause of a cut is over.
    RunCutOff,
    /// The end of a cut.
    Heal,
    /// The disk of a control program rejects writes.
    FailDisk,
    /// The end of that.
    MendDisk,
    /// A control program is killed, and its disk is lost.
    LoseDisk,
    /// SIGHUP.
    Reload,
    /// The end of a kill or of a graceful shutdown.
    Start,
    /// The end of a pause.
    Resume,
}

/// A step of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it is due, since the start of the faults.
    pub at: Duration,
    /// What is done.
    pub action: Action,
    /// Which program.
    pub role: Role,
    /// On which machine.
    pub machine: usize,
}

/// Draws the steps of one fault that begins at `at`.
fn draw_fault(rng: &mut ChaCha8Rng, at: Duration, cores: usize, edges: usize) -> Vec<Step> {
    let is_long = rng.random::<f64>() < LONG_FAULTS;
    let range = if is_long {
        LONG_FAULT_MS
    } else {
        SHORT_FAULT_MS
    };
    let lasting = Duration::from_millis(rng.random_range(range));
    let edge = rng.random_range(0..edges);
    let (action, end) = *[
        (Action::Kill, Some(Action::Start)),
        (Action::Kill, Some(Action::Start)),
        (Action::Terminate, Some(Action::Start)),
        (Action::Pause, Some(Action::Resume)),
        (Action::Cut, Some(Action::Heal)),
        (Action::Reload, None),
    ]
    .choose(rng)
    .unwrap_or(&(Action::Kill, Some(Action::Start)));
    let one_core = vec![(Role::Control, rng.random_range(0..cores))];
    let all_cores: Vec<_> = (0..cores).map(|core| (Role::Control, core)).collect();
    let half_of_cores = all_cores[..cores.div_ceil(2)].to_vec();
    let whole_edge = vec![(Role::Agent, edge), (Role::Proxy, edge)];
    let mut targets = vec![
        vec![(Role::Agent, edge)],
        vec![(Role::Proxy, edge)],
        whole_edge,
        one_core.clone(),
    ];
    // Without more than half of the control programs for long, nothing is acknowledged that could be missed.
    if !is_long {
        targets.extend([one_core, all_cores, half_of_cores]);
    }
    let targets = targets.choose(rng).cloned().unwrap_or_default();
    let steps = |at: Duration, action: Action| {
        let step = move |(role, machine): &(Role, usize)| Step {
            at,
            action,
            role: *role,
            machine: *machine,
        };
        targets.iter().map(step).collect::<Vec<_>>()
    };
    let ends = end.map_or(Vec::new(), |end| steps(at + lasting, end));
    let resumes = if action == Action::Cut {
        steps(at + CUT_PAUSE.min(lasting), Action::RunCutOff)
    } else {
        Vec::new()
    };
    [steps(at, action), resumes, ends].concat()
}

/// Draws the steps of a run, in the order in which they are due.
pub fn draw(seed: u64, length: Duration, cores: usize, edges: usize) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut steps, mut at) = (
        Vec::new(),
        Duration::from_millis(rng.random_range(300..1_200)),
    );
    while at < length {
        for _ in 0..rng.random_range(2..=3) {
            let later = OVERLAP.mul_f64(rng.random::<f64>());
            steps.extend(draw_fault(&mut rng, at + later, cores, edges));
        }
        at += Duration::from_millis(rng.random_range(1_500..3_500));
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// A shutdown that was carried out.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Which program.
    pub role: Role,
    /// On which machine.
    pub machine: usize,
    /// When it was told to end.
    pub began_at: Instant,
    /// When its end was seen.
    pub ended_at: Option<Instant>,
}

/// Notes the end of the shutdown of a program, if it is in one.
fn record_end(shutdowns: &mut [Shutdown], role: Role, machine: usize) {
    let last = shutdowns
        .iter_mut()
        .rev()
        .find(|shutdown| (shutdown.role, shutdown.machine) == (role, machine));
    if let Some(shutdown) = last {
        shutdown.ended_at.get_or_insert(Instant::now());
    }
}

/// The control programs that have lost their disks and have not rebuilt their state yet.
#[derive(Debug, Default)]
struct LostDisks(BTreeSet<usize>);

impl LostDisks {
    /// Whether this core machine may lose its disk too, so that less than half of them lack their state; if so, it counts as lost.
    fn may_lose_another(&mut self, machines: &Machines, core: usize) -> bool {
        self.0.retain(|lost| !takes_part(machines, *lost));
        self.0.insert(core);
        let may_lose = self.0.len() <= (machines.cores() - 1) / 2;
        if !may_lose {
            self.0.remove(&core);
        }
        may_lose
    }
}

/// Whether a control program reports that it takes part: it has rebuilt its state if its disk was lost.
fn takes_part(machines: &Machines, core: usize) -> bool {
    let until = Instant::now() + STATUS_TIMEOUT;
    call(machines.ctl(core), "GET", "/api/status", "", b"", until)
        .ok()
        .and_then(|reply| serde_json::from_slice::<Value>(reply.body()).ok())
        .is_some_and(|status| status["takes_part"] == true)
}

/// A control program that starts on a disk that rejects writes ends with an error (`docs/disk.md`): what started it starts it again.
fn restart_after_disk_failure(machines: &mut Machines, core: usize) -> Result<(), String> {
    let has_ended = !machines.is_shutting_down(Role::Control, core)
        && machines
            .wait_for_exit(Role::Control, core, Instant::now())
            .is_some();
    if has_ended {
        let started = machines.start(Role::Control, core);
        started.map_err(|error| format!("starting control {core}: {error}"))?;
    }
    Ok(())
}

/// Carries out the steps and gives when the last one was done, and the shutdowns. Everything runs afterwards, unless `stop`
/// was set meanwhile.
pub fn play(
    machines: &mut Machines,
    steps: Vec<Step>,
    began: Instant,
    stop: &AtomicBool,
) -> Result<(Instant, Vec<Shutdown>), String> {
    let (mut shutdowns, mut lost_disks) = (Vec::new(), LostDisks::default());
    let mut due: std::collections::VecDeque<Step> = steps.into();
    while let Some(mut step) = due.pop_front() {
        let stopped = || stop.load(Ordering::Relaxed).then_some(());
        if wait_for(began + step.at, stopped).is_some() {
            break;
        }
        let (role, machine) = (step.role, step.machine);
        match step.action {
            Action::Kill => machines.kill(role, machine),
            Action::Terminate => {
                // One that is paused would not hear it.
                machines.resume(role, machine);
                if machines.is_running(role, machine) && !machines.is_shutting_down(role, machine) {
                    shutdowns.push(Shutdown {
                        role,
                        machine,
                        began_at: Instant::now(),
                        ended_at: None,
                    });
                }
                machines.terminate(role, machine);
            }
            Action::Pause => machines.pause(role, machine),
            // One that does not run has no disk to fail.
            Action::FailDisk => _ = machines.fail_disk(machine, true),
            Action::MendDisk => {
                let _ = machines.fail_disk(machine, false);
                restart_after_disk_failure(machines, machine)?;
            }
            // Beyond what the system is to bear, acknowledged orders may be lost.
            Action::LoseDisk if !lost_disks.may_lose_another(machines, machine) => {
                machines.kill(role, machine);
            }
            Action::LoseDisk => machines
                .lose_disk(machine)
                .map_err(|error| format!("the disk of {machine}: {error}"))?,
            Action::Resume | Action::RunCutOff => machines.resume(role, machine),
            // One that has been killed meanwhile is not there to be cut off or healed.
            Action::Cut => {
                if machines.refuse_connections(role, machine, true).is_ok() {
                    machines.pause(role, machine);
                }
            }
            Action::Heal => {
                let _ = machines.refuse_connections(role, machine, false);
                machines.resume(role, machine);
            }
            Action::Reload => machines.reload_settings(role, machine),
            Action::Start => {
                let was_told = machines.is_shutting_down(role, machine);
                if was_told
                    && machines
                        .wait_for_exit(role, machine, Instant::now())
                        .is_none()
                {
                    // It may have been paused meanwhile.
                    machines.resume(role, machine);
                    step.at = began.elapsed() + RECHECK;
                    let place = due.partition_point(|other| other.at <= step.at);
                    due.insert(place, step);
                } else if !machines.is_running(role, machine) {
                    record_end(&mut shutdowns, role, machine);
                    let started = machines.start(role, machine);
                    started.map_err(|error| format!("starting {role:?} {machine}: {error}"))?;
                }
            }
        }
    }
    Ok((Instant::now(), shutdowns))
}
