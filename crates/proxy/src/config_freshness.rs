//! Whether the proxy may lack a configuration change that was acknowledged to an operator. Performs no I/O.
//!
//! "Not found" and "no such key" are final responses: a client does not retry. They are statements about the newest
//! configuration, so that a proxy whose configuration may be out of date responds with 503 instead. Requests that it can
//! serve are served regardless.

use protocol::invariant::Invariant;
use streamarch::Micros;

/// A confirmation is valid for the time within which a change must be in force, divided by this. The rest of that time is
/// left for the replica that sent the confirmation: one that has missed a change learns of it from the others within seconds.
const CONFIRMATION_DIVISOR: Micros = 2;

/// How old the configuration of this proxy may be.
#[derive(Clone, Debug)]
pub struct ConfigFreshness {
    /// How long a confirmation is valid.
    confirmation_lifetime: Micros,
    /// This proxy has all changes that were in force at this time; `None` before the first confirmation.
    confirmed_at: Option<Micros>,
    final_refusals: Invariant,
}

impl ConfigFreshness {
    /// The state before the first confirmation. `max_apply_time`: the time within which a change must be in force.
    pub fn new(max_apply_time: Micros) -> ConfigFreshness {
        ConfigFreshness {
            confirmation_lifetime: max_apply_time / CONFIRMATION_DIVISOR,
            confirmed_at: None,
            final_refusals: Invariant::new("final_refusals_of_known_configuration"),
        }
    }

    /// Confirms that this proxy has all changes that were in force at this time.
    pub fn confirm(&mut self, at: Micros) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// The clock has jumped ahead by this time: no time has passed.
    pub fn handle_clock_jump(&mut self, jump: Micros) {
        self.confirmed_at = self
            .confirmed_at
            .map(|confirmed_at| confirmed_at.saturating_add(jump.max(0)));
    }

    /// Whether the configuration is recent enough: a change that is missing here need not be in force yet.
    pub fn is_current(&self, now: Micros) -> bool {
        self.confirmed_at.is_some_and(|confirmed_at| {
            now.saturating_sub(confirmed_at) <= self.confirmation_lifetime
        })
    }

    /// Checks the invariant for a response that the proxy itself generates: 401, 403 and 404 are sent only while the
    /// configuration is current.
    pub fn check_response(&mut self, now: Micros, status: u16) {
        if matches!(status, 401 | 403 | 404) {
            let is_current = self.is_current(now);
            self.final_refusals.check(is_current);
        }
    }

    /// The invariant that [`ConfigFreshness::check_response`] checks.
    pub fn invariant(&self) -> &Invariant {
        &self.final_refusals
    }
}
