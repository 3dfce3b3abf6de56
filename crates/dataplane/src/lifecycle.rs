//! The life cycle of the process: serving, draining, shutting down. Readiness, `Connection: close`,
//! accepting and the closing of idle connections all follow from this state. Without I/O.

use serde::{Deserialize, Serialize};
use streamarch::Micros;

use crate::limits::Limits;

/// The state of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shutdown {
    started_at: Micros,
    /// All accepted requests are finished, or the time for them is over.
    is_finished: bool,
}

/// Whether operators drain the limiter, as its processes exchange it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainState {
    /// When the drain began, if one is in progress.
    #[serde(rename = "since")]
    started_at: Option<Micros>,
    #[serde(rename = "changed")]
    changed_at: Micros,
}

/// The life cycle state. A drain and a shutdown follow the same rules and may overlap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lifecycle {
    /// The listening socket is shared: another process may accept the connections that wait on it.
    has_shared_socket: bool,
    drain: DrainState,
    shutdown: Option<Shutdown>,
}

impl Lifecycle {
    /// A process that has just started. `has_shared_socket`: it inherited its listening socket.
    pub fn new(has_shared_socket: bool) -> Lifecycle {
        Lifecycle {
            has_shared_socket,
            ..Lifecycle::default()
        }
    }

    /// Begins to drain. False if a drain is in progress: it keeps the time of the first call.
    pub fn begin_drain(&mut self, now: Micros) -> bool {
        let is_first = self.drain.started_at.is_none();
        if is_first {
            self.set_drain(Some(now), now);
        }
        is_first
    }

    /// Ends the drain. False if there was none.
    pub fn end_drain(&mut self, now: Micros) -> bool {
        let was_draining = self.drain.started_at.is_some();
        if was_draining {
            self.set_drain(None, now);
        }
        was_draining
    }

    /// The time of the change always increases: the later call must win even if the clock of this
    /// process is behind that of another.
    fn set_drain(&mut self, started_at: Option<Micros>, now: Micros) {
        self.drain = DrainState {
            started_at,
            changed_at: now.max(self.drain.changed_at + 1),
        };
    }

    /// The drain state for another process of this limiter.
    pub fn drain_state(&self) -> DrainState {
        self.drain
    }

    /// Merges the drain state of another process. True if that changes whether, or since when, this
    /// process drains.
    pub fn merge_drain_state(&mut self, other: DrainState) -> bool {
        let is_later = other.changed_at > self.drain.changed_at;
        let differs = other.started_at != self.drain.started_at;
        if is_later {
            self.drain = other;
        }
        is_later && differs
    }

    /// Begins the shutdown. False if one is in progress: it keeps the time of the first call.
    pub fn begin_shutdown(&mut self, now: Micros) -> bool {
        let is_first = self.shutdown.is_none();
        self.shutdown.get_or_insert(Shutdown {
            started_at: now,
            is_finished: false,
        });
        is_first
    }

    /// No response is owed any more, or the time for them is over.
    pub fn finish_shutdown(&mut self) {
        self.shutdown
            .iter_mut()
            .for_each(|shutdown| shutdown.is_finished = true);
    }

    /// Whether the process should receive clients: it neither drains nor shuts down.
    pub fn is_serving(&self) -> bool {
        self.drain.started_at.is_none() && self.shutdown.is_none()
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// When the shutdown began, if one is in progress.
    pub fn shutdown_started_at(&self) -> Option<Micros> {
        self.shutdown.map(|shutdown| shutdown.started_at)
    }

    /// Whether the process may exit.
    pub fn is_finished(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_finished)
    }

    /// Whether new connections are accepted. During a shutdown they are accepted only within the
    /// notice period, and not from a shared socket: another process accepts those, and here they
    /// would soon be closed. During a drain they are accepted, since the process keeps running;
    /// each is closed after one response.
    pub fn is_accepting(&self, now: Micros, limits: &Limits) -> bool {
        self.shutdown.is_none_or(|shutdown| {
            !self.has_shared_socket && now < shutdown.started_at + limits.shutdown_notice_period
        })
    }

    /// Whether requests that arrive are rejected: in the second half of the time for a shutdown, its
    /// end might cut them.
    pub fn should_reject_requests(&self, now: Micros, limits: &Limits) -> bool {
        self.shutdown
            .is_some_and(|shutdown| now >= shutdown.started_at + limits.shutdown_timeout / 2)
    }

    /// Whether connections are closed after each response. If the socket is not shared, a client
    /// whose connection is closed during the notice period of a shutdown would only return on a new
    /// connection to this process.
    pub fn should_close_after_response(&self, now: Micros, limits: &Limits) -> bool {
        let closes = |shutdown: Shutdown| {
            self.has_shared_socket || now >= shutdown.started_at + limits.shutdown_notice_period
        };
        self.drain.started_at.is_some() || self.shutdown.is_some_and(closes)
    }

    /// Whether idle connections are closed, and new ones have little time to send a request. The
    /// load balancer knows of the drain or shutdown by then: an idle connection could only be used
    /// by a request that crosses its close.
    pub fn should_close_idle(&self, now: Micros, limits: &Limits) -> bool {
        let starts = self
            .drain
            .started_at
            .into_iter()
            .chain(self.shutdown.map(|shutdown| shutdown.started_at));
        starts
            .min()
            .is_some_and(|started_at| now >= started_at + limits.shutdown_notice_period)
    }
}

#[cfg(test)]
mod tests;
