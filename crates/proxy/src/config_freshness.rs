//! Whether the proxy may lack a change that was acknowledged. Without I/O.
//!
//! "Not found" and "no such key" are final: a client does not come again. They are statements about the newest configuration,
//! and a proxy that can't be sure of it answers 503 instead. Requests that it can serve it serves all the same.

use protocol::invariant::Invariant;
use streamarch::Micros;

/// The part of the time in which a change has to be in force for which a confirmation holds. The rest is left for the replica
/// that confirmed it: one that has missed a change hears of it from the others within seconds.
const CONFIRMATION_DIVISOR: Micros = 2;

/// How old the configuration of this proxy may be.
#[derive(Clone, Debug)]
pub struct ConfigFreshness {
    /// How long a confirmation holds.
    confirmation_lifetime: Micros,
    /// Everything that was in force at this time is known.
    confirmed_at: Option<Micros>,
    final_refusals: Invariant,
}

impl ConfigFreshness {
    /// Of a proxy to which nothing was confirmed yet. `apply`: the time in which a change has to be in force.
    pub fn new(apply: Micros) -> ConfigFreshness {
        ConfigFreshness {
            confirmation_lifetime: apply / CONFIRMATION_DIVISOR,
            confirmed_at: None,
            final_refusals: Invariant::new("final_refusals_of_known_configuration"),
        }
    }

    /// Everything that was in force at this time is known.
    pub fn confirm(&mut self, at: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The clock has jumped ahead by this much: no time has passed.
    pub fn handle_clock_jump(&mut self, by: Micros) {
        self.confirmed_at = self.confirmed_at.map(|at| at.saturating_add(by.max(0)));
    }

    /// Whether a change that is missing would not have to be in force yet.
    pub fn is_current(&self, now: Micros) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.saturating_sub(at) <= self.confirmation_lifetime)
    }

    /// Checks an answer of the proxy itself before it is sent: 401, 403 and 404 are given by a current configuration only.
    pub fn check_response(&mut self, now: Micros, status: u16) {
        if matches!(status, 401 | 403 | 404) {
            let is_current = self.is_current(now);
            self.final_refusals.check(is_current);
        }
    }

    /// How often [`ConfigFreshness::check_response`] was asked for, and in vain.
    pub fn invariant(&self) -> &Invariant {
        &self.final_refusals
    }
}
