//! Shares the results of operator commands between two processes of this limiter while they overlap: a command to
//! either applies to both.

use super::*;
use crate::handover::OperationsRecord;
use crate::net::operations_file::{OperationsFile, PollOutcome};

impl Host {
    /// Opens the operations file in this directory and applies its record.
    pub(super) fn open_operations_file(&mut self, directory: &std::path::Path) {
        self.operations_file = Some(OperationsFile::new(directory));
        self.poll_operations_file();
    }

    fn operations_record(&self) -> OperationsRecord {
        let (disabled_servers, drain) = (
            self.routing_table.disabled_servers().clone(),
            self.lifecycle.drain_state(),
        );
        OperationsRecord {
            limiter: self.name.clone(),
            disabled_servers,
            drain,
        }
    }

    /// Applies the later changes of the other process, and writes those that its record lacks.
    pub(super) fn poll_operations_file(&mut self) {
        let now = self.now();
        self.deadlines.schedule(
            now + self.limits.handover_poll_interval,
            Timer::PollOperationsFile,
        );
        let Some(operations_file) = &mut self.operations_file else {
            return;
        };
        match operations_file.poll(&self.name) {
            PollOutcome::Unchanged => {}
            PollOutcome::Unusable(error) => self.warn(&format!("operations file ignored: {error}")),
            PollOutcome::Record(record) => {
                let update = self.routing_table.merge(&record.disabled_servers);
                let drain_changed = self.lifecycle.merge_drain_state(record.drain);
                if drain_changed {
                    self.schedule_drain_notice(now);
                }
                if drain_changed || !update.entries.is_empty() {
                    self.log("operator changes of another process applied");
                }
                self.apply_table_update(update);
                if self.operations_record() != record {
                    self.write_operations_file();
                }
            }
        }
    }

    /// Publishes the results of operator commands to the other process.
    pub(super) fn write_operations_file(&mut self) {
        let record = self.operations_record();
        let Some(operations_file) = &mut self.operations_file else {
            return;
        };
        if let Err(error) = operations_file.write(&record) {
            self.warn(&format!("cannot write operations file: {error}"));
        }
    }
}
