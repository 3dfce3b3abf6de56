//! Where the process stands between its start and its end, without any input or output. `/up`, the operators' `ready`,
//! `Connection: close`, accepting and the closing of idle connections follow from here and from nowhere else.

use serde::{Deserialize, Serialize};
use streamarch::Micros;

use crate::limits::Limits;

/// How the process ends once it was told to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shutdown {
    since: Micros,
    /// All that was taken is finished, or the time for it is over.
    finished: bool,
}

/// Whether operators have clients sent away, as it passes between the processes of a limiter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    since: Option<Micros>,
    changed: Micros,
}

/// Serving, sending clients away, ending. A drain and the end go by the same rules, and may come together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lifecycle {
    /// The listening socket is shared: what waits there is another process's as well.
    has_shared_socket: bool,
    drain: Drain,
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

    /// Operators have clients sent away. False if that is so already; the first call's time goes on to count.
    pub fn begin_drain(&mut self, now: Micros) -> bool {
        let first = self.drain.since.is_none();
        if first {
            self.set_drain(Some(now), now);
        }
        first
    }

    /// The drain is over. False if there was none.
    pub fn end_drain(&mut self, now: Micros) -> bool {
        let ended = self.drain.since.is_some();
        if ended {
            self.set_drain(None, now);
        }
        ended
    }

    /// Guards against a clock that is behind another process's: the later call holds.
    fn set_drain(&mut self, since: Option<Micros>, now: Micros) {
        self.drain = Drain {
            since,
            changed: now.max(self.drain.changed + 1),
        };
    }

    /// The drain as another process of this limiter is to know it.
    pub fn drain_state(&self) -> Drain {
        self.drain
    }

    /// Takes over what another process knows later; true if that changes anything.
    pub fn merge(&mut self, told: Drain) -> bool {
        let later = told.changed > self.drain.changed;
        let differs = told.since != self.drain.since;
        if later {
            self.drain = told;
        }
        later && differs
    }

    /// Told to end. False if that was so already: the first call's time goes on to count.
    pub fn begin_shutdown(&mut self, now: Micros) -> bool {
        let first = self.shutdown.is_none();
        self.shutdown.get_or_insert(Shutdown {
            since: now,
            finished: false,
        });
        first
    }

    /// Nothing is owed any more, or the time for it is over.
    pub fn finish(&mut self) {
        self.shutdown
            .iter_mut()
            .for_each(|ending| ending.finished = true);
    }

    /// Clients are wanted: neither a drain nor the end is on.
    pub fn is_serving(&self) -> bool {
        self.drain.since.is_none() && self.shutdown.is_none()
    }

    /// Told to end.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// The process may exit.
    pub fn is_finished(&self) -> bool {
        self.shutdown.is_some_and(|ending| ending.finished)
    }

    /// New connections are taken. At the end through the notice, but none from a shared socket: another process takes
    /// those, and what is taken here would have to be ended soon after. In a drain they are taken: the process runs on,
    /// and who comes is served once.
    pub fn is_accepting(&self, now: Micros, limits: &Limits) -> bool {
        self.shutdown.is_none_or(|ending| {
            !self.has_shared_socket && now < ending.since + limits.shutdown_notice
        })
    }

    /// Each answer is the last of its connection. Where the socket is our own, a client told so during the notice of
    /// the end would only come back with a new connection.
    pub fn closes_after_response(&self, now: Micros, limits: &Limits) -> bool {
        let ending = |ending: Shutdown| {
            self.has_shared_socket || now >= ending.since + limits.shutdown_notice
        };
        self.drain.since.is_some() || self.shutdown.is_some_and(ending)
    }

    /// Idle connections are closed, and who connects now has only a short time to say something: the front has heard
    /// by now, and what is idle would be used by nobody but a client whose request crosses the close.
    pub fn closes_idle(&self, now: Micros, limits: &Limits) -> bool {
        let starts = self
            .drain
            .since
            .into_iter()
            .chain(self.shutdown.map(|ending| ending.since));
        starts
            .min()
            .is_some_and(|since| now >= since + limits.shutdown_notice)
    }
}

#[cfg(test)]
mod tests;
