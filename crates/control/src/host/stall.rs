//! A process that stood still finds its links full of what is long over: beats, leases and votes as they were when it stopped.
//! Its peers have given these links up since. It gives them up as well, before it reads anything on them, so that no message
//! is taken for younger than a link may be silent.

use protocol::log_ring::IMMEDIATE;
use slog::info;

use super::Host;
use super::connections::Role;
use crate::dataplane_types::ConnectionKey;
use crate::limits;

/// When the loop last turned, and for how many turns what is found may be old.
#[derive(Debug, Default)]
pub(super) struct StallDetector {
    turned: i64,
    turns: u32,
}

impl StallDetector {
    /// The loop has turned.
    pub(super) fn turned(&mut self, now: i64) {
        self.turned = now;
        self.turns = self.turns.saturating_sub(1);
    }

    /// What comes in now may have waited since before.
    pub(super) fn lasts(&self) -> bool {
        self.turns > 0
    }

    /// Gives for how long the process stood still, once.
    fn stood(&mut self, now: i64) -> Option<i64> {
        let stood = now - self.turned;
        if stood < limits::STALL_THRESHOLD {
            return None;
        }
        (self.turned, self.turns) = (now, limits::STALL_ITERATIONS);
        Some(stood)
    }
}

impl Host {
    /// Looks whether the process stood still; if so, all its links are given up.
    pub(super) fn look_for_stall(&mut self) {
        let Some(stood) = self.stall.stood(self.now()) else {
            return;
        };
        info!(self.log, #IMMEDIATE, "stood still: all links are given up"; "ms" => stood / 1_000);
        let old = self
            .connections
            .iter()
            .filter(|(_, connection)| match connection.role {
                Role::Unidentified | Role::Replica { .. } | Role::Agent | Role::Platform => true,
                // These end by themselves, where the caller is gone.
                Role::Operator | Role::Client => false,
            });
        for key in old.map(|(key, _)| key).collect::<Vec<ConnectionKey>>() {
            self.close(key);
        }
        self.feed(crate::core::Input::Tick);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_loop_that_turns_never_stood_still_and_one_that_did_says_so_once() {
        let mut stall = StallDetector::default();
        for turn in 1..100 {
            assert_eq!(stall.stood(turn * 200_000), None);
            stall.turned(turn * 200_000);
        }
        assert!(!stall.lasts());
        let now = 99 * 200_000 + limits::STALL_THRESHOLD;
        assert_eq!(
            (stall.stood(now), stall.stood(now + 1)),
            (Some(limits::STALL_THRESHOLD), None)
        );
        (0..limits::STALL_ITERATIONS).for_each(|_| {
            assert!(stall.lasts());
            stall.turned(now + 2);
        });
        assert!(!stall.lasts());
    }
}
