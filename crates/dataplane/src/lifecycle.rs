//! The life cycle of the process: serving, draining, shutting down. Without I/O. Readiness,
//! `Connection: close`, accepting and the closing of idle connections all follow from this state.

use serde::{Deserialize, Serialize};
use streamarch::Micros;

use crate::limits::Limits;

/// The state of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shutdown {
    since: Micros,
    /// All accepted requests are finished, or the time for it is over.
    finished: bool,
}

/// Whether operators drain the limiter, as its processes exchange it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainState {
    since: Option<Micros>,
    changed: Micros,
}

/// The life cycle state. Draining and shutting down follow the same rules and may overlap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lifecycle {
    /// The listening socket is shared: connections that wait on it may be accepted by another
    /// process.
    has_shared_socket: bool,
    drain: DrainState,
    shutdown: Option<Shutdown>,
}

impl Lifecycle {
    /// A process that has just started. `shared`: it inherited its listening socket.
    pub fn new(shared: bool) -> Lifecycle {
        Lifecycle {
            has_shared_socket: shared,
            ..Lifecycle::default()
        }
    }

    /// Begins to drain. False if that was so already: the time of the first call stays.
    pub fn begin_drain(&mut self, now: Micros) -> bool {
        let first = self.drain.since.is_none();
        if first {
            self.set_drain(Some(now), now);
        }
        first
    }

    /// Ends the drain. False if there was none.
    pub fn end_drain(&mut self, now: Micros) -> bool {
        let ended = self.drain.since.is_some();
        if ended {
            self.set_drain(None, now);
        }
        ended
    }

    /// With a clock behind another process's, the later call must still win.
    fn set_drain(&mut self, since: Option<Micros>, now: Micros) {
        self.drain = DrainState {
            since,
            changed: now.max(self.drain.changed + 1),
        };
    }

    /// The drain state for another process of this limiter.
    pub fn drain_state(&self) -> DrainState {
        self.drain
    }

    /// Merges another process's drain state; true if that changes anything.
    pub fn merge_drain_state(&mut self, told: DrainState) -> bool {
        let later = told.changed > self.drain.changed;
        let differs = told.since != self.drain.since;
        if later {
            self.drain = told;
        }
        later && differs
    }

    /// Begins the shutdown. False if that was so already: the time of the first call stays.
    pub fn begin_shutdown(&mut self, now: Micros) -> bool {
        let first = self.shutdown.is_none();
        self.shutdown.get_or_insert(Shutdown {
            since: now,
            finished: false,
        });
        first
    }

    /// No answer is owed any more, or the time for it is over.
    pub fn finish_shutdown(&mut self) {
        self.shutdown
            .iter_mut()
            .for_each(|ending| ending.finished = true);
    }

    /// Whether clients are wanted: neither draining nor shutting down.
    pub fn is_serving(&self) -> bool {
        self.drain.since.is_none() && self.shutdown.is_none()
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether the process may exit.
    pub fn is_finished(&self) -> bool {
        self.shutdown.is_some_and(|ending| ending.finished)
    }

    /// Whether new connections are accepted. While shutting down only during the notice period, and
    /// not from a shared socket: another process accepts those, and here they would soon be closed.
    /// While draining they are accepted: the process goes on, and each is served once.
    pub fn is_accepting(&self, now: Micros, limits: &Limits) -> bool {
        self.shutdown.is_none_or(|ending| {
            !self.has_shared_socket && now < ending.since + limits.shutdown_notice_period
        })
    }

    /// Whether connections are closed after each answer. With an own socket, a client told so
    /// during the notice period of the shutdown would only return on a new connection.
    pub fn should_close_after_response(&self, now: Micros, limits: &Limits) -> bool {
        let ending = |ending: Shutdown| {
            self.has_shared_socket || now >= ending.since + limits.shutdown_notice_period
        };
        self.drain.since.is_some() || self.shutdown.is_some_and(ending)
    }

    /// Whether idle connections are closed, and new ones have little time to send a request: the
    /// load balancer knows by now, and an idle connection could only be used by a request that
    /// crosses its close.
    pub fn should_close_idle(&self, now: Micros, limits: &Limits) -> bool {
        let starts = self
            .drain
            .since
            .into_iter()
            .chain(self.shutdown.map(|ending| ending.since));
        starts
            .min()
            .is_some_and(|since| now >= since + limits.shutdown_notice_period)
    }
}

#[cfg(test)]
mod tests;
