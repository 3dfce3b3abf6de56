//! A single ordered queue of all deadlines, which are absolute times on the host's clock.

use std::collections::BTreeMap;

use streamarch::Micros;

/// Scheduled entries, ordered by time and then by insertion.
#[derive(Debug)]
pub struct Deadlines<T> {
    entries: BTreeMap<(Micros, u64), T>,
    next_sequence: u64,
}

impl<T> Default for Deadlines<T> {
    fn default() -> Deadlines<T> {
        Deadlines {
            entries: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> Deadlines<T> {
    /// Schedules an entry. Entries cannot be cancelled: the receiver ignores obsolete ones.
    pub fn schedule(&mut self, deadline: Micros, entry: T) {
        self.entries.insert((deadline, self.next_sequence), entry);
        self.next_sequence += 1;
    }

    /// The earliest deadline.
    pub fn earliest(&self) -> Option<Micros> {
        self.entries
            .first_key_value()
            .map(|((deadline, _), _)| *deadline)
    }

    /// Removes and returns the earliest entry if it is due at `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<T> {
        let entry = self.entries.first_entry().filter(|e| e.key().0 <= now)?;
        Some(entry.remove())
    }
}

#[cfg(test)]
mod tests;
