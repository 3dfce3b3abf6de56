//! While a new process of this limiter and the one before overlap, both go by what operators asked of either.

use super::*;
use crate::handover::OperationsRecord;
use crate::net::operations_file::{OperationsFile, PollOutcome};

impl Host {
    /// Shares in the record of the folder from now on, and takes over what stands there.
    pub(super) fn open_operations_file(&mut self, folder: &std::path::Path) {
        self.operations_file = Some(OperationsFile::new(folder));
        self.poll_operations_file();
    }

    fn operations_record(&self) -> OperationsRecord {
        let (bans, drain) = (
            self.routing_table.disabled_servers().clone(),
            self.lifecycle.drain_state(),
        );
        OperationsRecord {
            limiter: self.name.clone(),
            disabled_servers: bans,
            drain,
        }
    }

    /// Takes over what the other process knows later, and writes what it lacks.
    pub(super) fn poll_operations_file(&mut self) {
        let now = self.now();
        self.deadlines.schedule(
            now + self.limits.handover_poll_interval,
            Timer::PollOperationsFile,
        );
        let Some(handover) = &mut self.operations_file else {
            return;
        };
        match handover.poll(&self.name) {
            PollOutcome::Unchanged => {}
            PollOutcome::Unusable(why) => {
                self.warn(&format!("operations record not taken over: {why}"))
            }
            PollOutcome::Record(told) => {
                let news = self.routing_table.merge(&told.disabled_servers);
                let drain = self.lifecycle.merge_drain_state(told.drain);
                if drain {
                    self.schedule_drain_notice(now);
                }
                if drain || !news.entries.is_empty() {
                    self.log("operations record taken over from another process");
                }
                self.apply_table_update(news);
                if self.operations_record() != told {
                    self.write_operations_file();
                }
            }
        }
    }

    /// Operators asked for something: the other process is to know.
    pub(super) fn write_operations_file(&mut self) {
        let record = self.operations_record();
        let Some(handover) = &mut self.operations_file else {
            return;
        };
        if let Err(error) = handover.write(&record) {
            self.warn(&format!("operations record not written: {error}"));
        }
    }
}
