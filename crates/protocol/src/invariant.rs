//! Conditions that must hold whenever they are checked. A program counts checks and violations and goes on; a build with
//! debug assertions, as the tests have it, panics at the first violation.

/// A condition, and how often it was checked and violated.
#[derive(Clone, Debug)]
pub struct Invariant {
    name: &'static str,
    checks: u64,
    violations: u64,
}

impl Invariant {
    /// An invariant that was not checked yet; the name is part of the names of its figures.
    pub const fn new(name: &'static str) -> Invariant {
        Invariant {
            name,
            checks: 0,
            violations: 0,
        }
    }

    /// Checks it, and gives whether it holds.
    ///
    /// # Panics
    /// With debug assertions, if it does not hold.
    pub fn check(&mut self, holds: bool) -> bool {
        self.checks += 1;
        self.violations += u64::from(!holds);
        debug_assert!(holds, "the invariant {} is violated", self.name);
        holds
    }

    /// Its name.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// How often it was checked.
    pub fn checks(&self) -> u64 {
        self.checks
    }

    /// How often it did not hold.
    pub fn violations(&self) -> u64 {
        self.violations
    }
}
