//! Operators' calls: rejects a call, or starts a proposal or a quorum read for it.

use protocol::items::{self, Item, ItemKind, ItemName};

use super::proposal::Intent;
use super::quorum_read::ReadPurpose;
use super::{Output, Replica};
use crate::operator_api::{Command, Reply};

/// The response to a change while the disk rejects writes; it directs operators to the disk of this replica.
pub(super) const DISK_REJECTS_WRITES: &str =
    "the disk of this replica is full or fails: it takes no writes";

impl Replica {
    /// Handles an operator's call, which must be answered before the deadline.
    pub(super) fn handle_call(
        &mut self,
        now: i64,
        call: u64,
        command: Command,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        // The status is answered in any state, since operators need it most of a replica that can do nothing else.
        if command == Command::GetStatus {
            return out.push(Output::Answer(call, Reply::Status(self.status(now).json())));
        }
        if let Some(reason) = self.rejection(now, &command) {
            return out.push(Output::Answer(call, Reply::Unavailable(reason)));
        }
        match command {
            Command::GetStatus => {}
            Command::GetConfiguration => {
                self.start_read(now, ReadPurpose::Configuration { call }, deadline, out)
            }
            Command::SetEvacuation { zone, .. } if !self.zones.contains(&zone) => {
                let reply = Reply::NotFound(format!("zone: {zone:?}"));
                out.push(Output::Answer(call, reply));
            }
            Command::SetEvacuation { zone, evacuate } => {
                let name = ItemName {
                    kind: ItemKind::Zone,
                    name: zone,
                };
                let intent = Intent::SetEvacuation(name, evacuate);
                self.propose(now, call, intent, deadline, out);
            }
            Command::ApplyPatch(body) => self.apply_patch(now, call, body, deadline, out),
        }
    }

    /// The reason why this replica cannot execute a command now, if any.
    fn rejection(&self, now: i64, command: &Command) -> Option<&'static str> {
        if !self.table.is_participant() {
            Some("this replica has not rebuilt, or was replaced")
        } else if self.is_shutting_down {
            Some("this process is about to end")
        } else if !self.table.has_quorum_contact(now) {
            Some("more than half of the replicas are out of touch")
        } else if self.disk.is_full && *command != Command::GetConfiguration {
            Some(DISK_REJECTS_WRITES)
        } else {
            None
        }
    }

    fn apply_patch(
        &mut self,
        now: i64,
        call: u64,
        body: Vec<u8>,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        // Checked against chosen items alone: an accepted item that the patch refers to may still be lost.
        match items::parse_patch(&body, &self.chosen) {
            Ok(items)
                if self.catch_up.is_up_to_date() || !items::depends_on_other_items(&items) =>
            {
                self.propose_items(now, call, items, deadline, out);
            }
            // An item that the patch refers to may have been changed or removed through another replica, and this one
            // may not know that yet.
            _ => {
                let purpose = ReadPurpose::Patch { call, patch: body };
                self.start_read(now, purpose, deadline, out)
            }
        }
    }

    /// Proposes validated items.
    pub(super) fn propose_items(
        &mut self,
        now: i64,
        call: u64,
        items: Vec<Item>,
        deadline: i64,
        out: &mut Vec<Output>,
    ) {
        if items.is_empty() {
            return out.push(Output::Answer(call, Reply::Done));
        }
        self.propose(now, call, Intent::SetItems(items), deadline, out);
    }
}
