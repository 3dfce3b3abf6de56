//! Limiters that stand still and go on (SIGSTOP, SIGCONT), by the scenario's plan of faults: the grey failure, in
//! which a process keeps its sockets and its state while time passes it by. A thread of its own sends the signals
//! at their times; all that was stopped is let go on before the limiters are told to end.

use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use emulator::faults::{FaultKind, FaultTarget, schedule_faults};
use emulator::plan::WorldPlan;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};

use crate::Micros;

/// Signals to processes by the plan; dropped or ended, it lets all go on.
pub struct Pauses {
    /// Held while a signal is sent; true once the pauses are over, so that nothing is stopped after.
    ended: Arc<Mutex<bool>>,
    pids: Vec<i32>,
    thread: Option<JoinHandle<u64>>,
}

fn signal(pid: i32, signal: Signal) {
    if let Some(pid) = Pid::from_raw(pid) {
        // One that has ended already is not there to be told.
        let _ = kill_process(pid, signal);
    }
}

impl Pauses {
    /// Begins now with the load, for `span`; `pids` are the limiters' by their numbers.
    pub fn begin(plan: &WorldPlan, pids: Vec<i32>, span: Micros) -> Pauses {
        let mut rng = ChaCha8Rng::seed_from_u64(0);
        let laid = schedule_faults(&plan.faults, plan.nodes.count, span, &mut rng);
        let mut laid: Vec<_> = laid
            .into_iter()
            .filter(|t| t.kind == FaultKind::Pause)
            .collect();
        let ended = Arc::new(Mutex::new(false));
        let (told, known) = (ended.clone(), pids.clone());
        let start = Instant::now();
        let thread = (!laid.is_empty()).then(|| {
            laid.sort_by_key(|t| t.at);
            thread::spawn(move || {
                let mut sent = 0;
                for turn in laid {
                    let FaultTarget::Limiter(number) = turn.target else {
                        continue;
                    };
                    let at = start + Duration::from_micros(turn.at.max(0) as u64);
                    // Waits in steps, so that the end of the run is not held up by a pause to come.
                    while Instant::now() < at {
                        if told.lock().map_or(true, |ended| *ended) {
                            return sent;
                        }
                        thread::sleep((at - Instant::now()).min(Duration::from_millis(50)));
                    }
                    let Ok(ended) = told.lock() else { return sent };
                    let Some(pid) = known.get(number).copied().filter(|_| !*ended) else {
                        return sent;
                    };
                    signal(
                        pid,
                        if turn.is_start {
                            Signal::STOP
                        } else {
                            Signal::CONT
                        },
                    );
                    sent += u64::from(turn.is_start);
                }
                sent
            })
        });
        Pauses {
            ended,
            pids,
            thread,
        }
    }

    /// Ends the pauses: no more are begun, all are let go on. How many were begun.
    pub fn end(&mut self) -> u64 {
        if let Ok(mut ended) = self.ended.lock() {
            *ended = true;
        }
        self.pids.iter().for_each(|pid| signal(*pid, Signal::CONT));
        self.thread
            .take()
            .map_or(0, |thread| thread.join().unwrap_or(0))
    }
}

impl Drop for Pauses {
    fn drop(&mut self) {
        self.end();
    }
}

#[cfg(test)]
mod tests;
