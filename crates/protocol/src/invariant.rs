//! Conditions that must hold whenever they are checked. A release build counts checks and violations and goes on; a build with
//! debug assertions, such as that of the tests, panics at the first violation.

/// A condition, with the number of its checks and violations.
#[derive(Clone, Debug)]
pub struct Invariant {
    name: &'static str,
    checks: u64,
    violations: u64,
}

impl Invariant {
    /// Creates an invariant that has not been checked yet. Its name is part of the names of its metrics.
    pub const fn new(name: &'static str) -> Invariant {
        Invariant {
            name,
            checks: 0,
            violations: 0,
        }
    }

    /// Counts a check, and returns whether the invariant holds.
    ///
    /// # Panics
    /// With debug assertions, if the invariant does not hold.
    pub fn check(&mut self, holds: bool) -> bool {
        self.checks += 1;
        self.violations += u64::from(!holds);
        debug_assert!(holds, "invariant {} is violated", self.name);
        holds
    }

    /// The name, as in the names of its metrics.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// The number of checks.
    pub fn checks(&self) -> u64 {
        self.checks
    }

    /// The number of checks that failed.
    pub fn violations(&self) -> u64 {
        self.violations
    }
}
