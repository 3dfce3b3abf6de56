//! A records node: cores that run requests, a queue, and a cold start.

use std::collections::VecDeque;

use crate::Micros;

/// Configuration of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// Number of requests that run concurrently.
    pub cores: usize,
    /// Speed of a core; at 1, work takes its nominal time.
    pub speed: f64,
    /// Maximum number of waiting requests.
    pub queue: usize,
    /// Share of the full speed right after a start.
    pub cold_from: f64,
    /// Time from a start to full speed, in microseconds.
    pub warm_up: Micros,
    /// Interval at which the reported utilization is updated, in microseconds.
    pub util_interval: Micros,
    /// Whether abandoning a request also cancels it if it is running.
    pub cancel_running: bool,
}

/// A request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Identifies the request to the caller.
    pub token: u64,
    /// Its work on a core of speed 1, in microseconds.
    pub work: Micros,
}

/// A records node. Callers pass the time, which must not decrease.
#[derive(Clone, Debug)]
pub struct Node {
    config: NodeConfig,
    started: Micros,
    waiting: VecDeque<Job>,
    /// End and job per core; `None` for an idle core.
    running: Vec<Option<(Micros, Job)>>,
    frozen_until: Option<Micros>,
    slowdown: f64,
    draining: bool,
    /// Busy time of all cores up to `busy_accounted_until`.
    busy_time: Micros,
    busy_accounted_until: Micros,
    util: f64,
    util_window: (Micros, Micros),
}

/// Outcome of the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted,
    /// It is rejected without being run: the queue is full or the node is draining.
    Rejected,
}

impl Node {
    /// A node that starts now; if `warm`, it is at full speed.
    pub fn new(config: NodeConfig, now: Micros, warm: bool) -> Node {
        Node {
            config,
            started: if warm { now - config.warm_up } else { now },
            waiting: VecDeque::new(),
            running: vec![None; config.cores],
            frozen_until: None,
            slowdown: 1.0,
            draining: false,
            busy_time: 0,
            busy_accounted_until: now,
            util: 0.0,
            util_window: (now, 0),
        }
    }

    /// Share of the full speed that the node has now.
    pub fn speed_share(&self, now: Micros) -> f64 {
        let age = now - self.started;
        if self.config.warm_up <= 0 || age >= self.config.warm_up {
            return 1.0;
        }
        let progress = age.max(0) as f64 / self.config.warm_up as f64;
        self.config.cold_from + (1.0 - self.config.cold_from) * progress
    }

    fn update_utilization(&mut self, now: Micros) {
        let cores = self.running.iter().flatten().count() as Micros;
        if self.frozen_until.is_none() {
            self.busy_time += cores * (now - self.busy_accounted_until).max(0);
        }
        self.busy_accounted_until = self.busy_accounted_until.max(now);
        let (since, busy) = self.util_window;
        if now - since >= self.config.util_interval {
            let capacity = (now - since) * self.config.cores as Micros;
            self.util = ((self.busy_time - busy) as f64 / capacity as f64).clamp(0.0, 1.0);
            self.util_window = (now, self.busy_time);
        }
    }

    fn start_waiting_jobs(&mut self, now: Micros) {
        if self.frozen_until.is_some() {
            return;
        }
        let speed = self.config.speed * self.speed_share(now) / self.slowdown;
        for core in self.running.iter_mut().filter(|core| core.is_none()) {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            *core = Some((now + (job.work as f64 / speed).round() as Micros, job));
        }
    }

    /// Admits or rejects a request. While the node is frozen, callers must hold back arriving requests.
    pub fn admit(&mut self, now: Micros, job: Job) -> Admission {
        self.update_utilization(now);
        let free = self.running.iter().filter(|core| core.is_none()).count();
        if self.draining || self.waiting.len() >= self.config.queue + free {
            return Admission::Rejected;
        }
        self.waiting.push_back(job);
        self.start_waiting_jobs(now);
        Admission::Admitted
    }

    /// When a request or a freeze ends next.
    pub fn next_event_at(&self) -> Option<Micros> {
        match self.frozen_until {
            Some(until) => Some(until),
            None => self.running.iter().flatten().map(|(end, _)| *end).min(),
        }
    }

    /// Takes one request that has finished by now; to be called until there is none.
    pub fn take_finished(&mut self, now: Micros) -> Option<Job> {
        if self.frozen_until.is_some_and(|until| until <= now) {
            self.frozen_until = None;
            self.busy_accounted_until = self.busy_accounted_until.max(now);
            // Queued requests start now even if no further request arrives.
            self.start_waiting_jobs(now);
        }
        if self.frozen_until.is_some() {
            return None;
        }
        if self.next_event_at().is_none_or(|end| end > now) {
            return None;
        }
        // Before the core is released, since it was busy until now.
        self.update_utilization(now);
        let due = |core: &&mut Option<(Micros, Job)>| core.is_some_and(|(end, _)| end <= now);
        let first = self
            .running
            .iter_mut()
            .filter(due)
            .min_by_key(|core| core.map(|(end, _)| end))?;
        let (_, job) = first.take()?;
        self.start_waiting_jobs(now);
        Some(job)
    }

    /// Abandons a request that nobody waits for any more. Returns whether it was still queued and so will never run.
    pub fn abandon(&mut self, now: Micros, token: u64) -> bool {
        self.update_utilization(now);
        let before = self.waiting.len();
        self.waiting.retain(|job| job.token != token);
        let was_waiting = self.waiting.len() < before;
        if self.config.cancel_running {
            let is_job =
                |core: &&mut Option<(Micros, Job)>| core.is_some_and(|(_, job)| job.token == token);
            self.running
                .iter_mut()
                .filter(is_job)
                .for_each(|core| *core = None);
            self.start_waiting_jobs(now);
        }
        was_waiting
    }

    /// Freezes the node until an instant; running requests end later by the length of the freeze.
    pub fn freeze(&mut self, now: Micros, until: Micros) {
        self.update_utilization(now);
        let before = self.frozen_until.unwrap_or(now);
        let extension = (until - before).max(0);
        self.running
            .iter_mut()
            .flatten()
            .for_each(|(end, _)| *end += extension);
        self.frozen_until = Some(until.max(before));
    }

    /// Whether the node is frozen.
    pub fn is_frozen(&self) -> bool {
        self.frozen_until.is_some()
    }

    /// Work that starts from now on takes `times` as long.
    pub fn slow(&mut self, times: f64) {
        self.slowdown = times.max(1e-3);
    }

    /// Starts or ends rejecting new requests.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Restarts the node cold; all its requests are lost.
    pub fn restart(&mut self, now: Micros) {
        *self = Node::new(self.config, now, false);
    }

    /// When the node last started.
    pub fn started(&self) -> Micros {
        self.started
    }

    /// Utilization of the cores in the last interval, 0 to 1.
    pub fn utilization(&mut self, now: Micros) -> f64 {
        self.update_utilization(now);
        self.util
    }

    /// Number of running and waiting requests.
    pub fn pending_requests(&self) -> usize {
        self.waiting.len() + self.running.iter().flatten().count()
    }
}

#[cfg(test)]
mod tests;
