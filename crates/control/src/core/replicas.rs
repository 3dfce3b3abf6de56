//! The table of replicas: the newest known incarnation of each, its address, and when its last message was received.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::ids::{Incarnation, ProcessId, ReplicaId, Voter};
use super::peer_messages::{Payload, PeerMessage};
use crate::limits;

/// The process that sent a message, and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sender {
    pub(super) address: SocketAddr,
    pub(super) process: ProcessId,
}

impl Sender {
    pub(super) fn replica(&self) -> ReplicaId {
        self.process.replica
    }

    pub(super) fn voter(&self) -> Voter {
        self.process.voter()
    }
}

/// The state of one replica as known here.
#[derive(Clone, Debug, Default)]
struct ReplicaSlot {
    /// The newest known incarnation.
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    /// The address belongs to the newest incarnation. Otherwise it is that of an earlier one, and is replaced by any
    /// reported address.
    address_confirmed: bool,
    /// When the last message of the newest incarnation was received.
    last_heard_at: Option<i64>,
    /// Whether it receives messages of the local replica, as of its last heartbeat.
    receives_local_messages: bool,
}

impl ReplicaSlot {
    fn has_incarnation(&self) -> bool {
        self.incarnation != Incarnation::NONE
    }
}

/// The table of replicas as known to one of them.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    local: ProcessId,
    local_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    slots: Vec<ReplicaSlot>,
    /// Another process holds a newer incarnation of this replica.
    is_superseded: bool,
    /// This machine itself began that newer incarnation and never completed it: no process holds it.
    is_abandoned: bool,
    /// Increased whenever an incarnation or an address changes.
    revision: u64,
}

/// The effects of a received message on the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiptOutcome {
    /// The sender is the newest known incarnation of another replica.
    pub is_current: bool,
    /// An incarnation or an address has changed.
    pub table_changed: bool,
    /// The sender had been unreachable: it had sent no message for [`limits::CONTACT_TIMEOUT`].
    pub sender_returned: bool,
}

impl ReplicaTable {
    /// Creates a table of `replica_count` replicas, of which `local` is one.
    pub fn new(
        local: ProcessId,
        replica_count: usize,
        local_address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> ReplicaTable {
        let mut slots = vec![ReplicaSlot::default(); replica_count];
        if let Some(slot) = slots.get_mut(usize::from(local.replica)) {
            *slot = ReplicaSlot {
                incarnation: local.incarnation,
                address: Some(local_address),
                address_confirmed: true,
                last_heard_at: None,
                receives_local_messages: true,
            };
        }
        ReplicaTable {
            local,
            local_address,
            seeds,
            slots,
            is_superseded: false,
            is_abandoned: false,
            revision: 0,
        }
    }

    /// Restores the incarnations and addresses of the other replicas from disk.
    pub fn restore(&mut self, incarnations: &[Incarnation], addresses: &[Option<SocketAddr>]) {
        let local = usize::from(self.local.replica);
        let slots = self.slots.iter_mut().enumerate();
        for (replica, slot) in slots.filter(|(replica, _)| *replica != local) {
            slot.incarnation = incarnations.get(replica).copied().unwrap_or_default();
            slot.address = addresses.get(replica).copied().flatten();
            slot.address_confirmed = slot.address.is_some();
        }
    }

    /// The process that this table belongs to.
    pub fn local(&self) -> ProcessId {
        self.local
    }

    /// The address of this process.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// The number of replicas.
    pub fn replica_count(&self) -> usize {
        self.slots.len()
    }

    /// The size of a quorum: more than half of the replicas.
    pub fn quorum_size(&self) -> usize {
        self.slots.len() / 2 + 1
    }

    /// The number of replicas that a recovery needs: more than half of the other replicas.
    pub fn recovery_quorum_size(&self) -> usize {
        let others = self.slots.len() - 1;
        (others / 2 + 1).min(others)
    }

    /// Whether these votes form a quorum. A vote counts only from the newest known incarnation of its replica; the
    /// incarnations listed in a message are learned before its vote is counted.
    pub fn is_quorum(&self, votes: &BTreeMap<ReplicaId, Incarnation>) -> bool {
        let counted = votes
            .iter()
            .filter(|(replica, incarnation)| self.is_current(**replica, **incarnation));
        counted.count() >= self.quorum_size()
    }

    /// Whether this process votes and answers calls: it has an incarnation, and no newer one of its replica is known.
    pub fn is_participant(&self) -> bool {
        self.local.incarnation != Incarnation::NONE && !self.is_superseded
    }

    /// Whether another process holds a newer incarnation of this replica.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Whether this process is superseded by an incarnation that it began itself before its disk was lost again.
    pub fn is_abandoned(&self) -> bool {
        self.is_abandoned
    }

    /// Gives up the local incarnation, so that a new one after the newest known can begin.
    pub fn relinquish_incarnation(&mut self) {
        self.local.incarnation = Incarnation::NONE;
        self.is_superseded = false;
        self.is_abandoned = false;
    }

    /// Begins an incarnation of the local replica.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.local.incarnation = incarnation;
        let slot = &mut self.slots[usize::from(self.local.replica)];
        slot.incarnation = incarnation;
        slot.address_confirmed = true;
    }

    /// The newest known incarnation of each replica.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.slots.iter().map(|slot| slot.incarnation).collect()
    }

    /// The confirmed address of each replica.
    pub fn addresses(&self) -> Vec<Option<SocketAddr>> {
        let confirmed = |slot: &ReplicaSlot| slot.address.filter(|_| slot.address_confirmed);
        self.slots.iter().map(confirmed).collect()
    }

    /// Whether any replica has an incarnation whose address is not confirmed.
    pub fn has_unconfirmed_address(&self) -> bool {
        let mut slots = self.slots.iter();
        slots.any(|slot| slot.has_incarnation() && !slot.address_confirmed)
    }

    /// Whether a confirmed address is known here that is missing from these tables of another replica.
    pub fn has_address_missing_from(
        &self,
        incarnations: &[Incarnation],
        addresses: &[Option<SocketAddr>],
    ) -> bool {
        let mut slots = self.slots.iter().enumerate();
        slots.any(|(replica, slot)| {
            let lacks_address = addresses.get(replica).is_some_and(Option::is_none);
            let same_incarnation = incarnations.get(replica) == Some(&slot.incarnation);
            slot.address_confirmed && slot.has_incarnation() && lacks_address && same_incarnation
        })
    }

    /// The newest known incarnation of a replica.
    pub fn newest_incarnation(&self, replica: ReplicaId) -> Incarnation {
        let slot = self.slots.get(usize::from(replica));
        slot.map(|slot| slot.incarnation).unwrap_or_default()
    }

    /// The address of a replica, confirmed or not.
    pub fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        self.slots.get(usize::from(replica))?.address
    }

    /// The addresses of the other replicas.
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let local = usize::from(self.local.replica);
        let others = self.slots.iter().enumerate();
        let others = others.filter(|(replica, _)| *replica != local);
        let addresses = others.filter_map(|(_, slot)| slot.address);
        addresses
            .filter(|address| *address != self.local_address)
            .collect()
    }

    /// The addresses to keep links to: those of the other replicas, and the seed addresses.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied();
        let mut peers = self.other_addresses();
        peers.extend(seeds.filter(|seed| *seed != self.local_address));
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// The zone and address of each replica whose address is known.
    pub fn addresses_by_zone<'a>(
        &self,
        zones: &'a [String],
    ) -> impl Iterator<Item = (&'a str, SocketAddr)> {
        let with_address = |(replica, zone): (usize, &'a String)| {
            Some((zone.as_str(), self.address(replica as ReplicaId)?))
        };
        zones.iter().enumerate().filter_map(with_address)
    }

    /// Whether this is the newest known incarnation of a replica, so that its votes count.
    pub fn is_current(&self, replica: ReplicaId, incarnation: Incarnation) -> bool {
        incarnation != Incarnation::NONE && self.newest_incarnation(replica) == incarnation
    }

    /// A number that increases whenever an incarnation or an address changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Learns about an incarnation of a replica, and the address of its process if that is known. Returns whether the
    /// table changed.
    pub fn learn_incarnation(
        &mut self,
        replica: ReplicaId,
        incarnation: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let is_local = replica == self.local.replica;
        let Some(slot) = self.slots.get_mut(usize::from(replica)) else {
            return false;
        };
        let has_changed = if is_local && incarnation >= slot.incarnation {
            self.learn_local_incarnation(incarnation, address)
        } else if incarnation > slot.incarnation {
            *slot = ReplicaSlot {
                incarnation,
                address: address.or(slot.address),
                address_confirmed: address.is_some(),
                last_heard_at: None,
                receives_local_messages: false,
            };
            true
        } else {
            // Without this, two replicas that were replaced at the same time would keep each other's previous address.
            let confirms = !is_local
                && incarnation == slot.incarnation
                && !slot.address_confirmed
                && address.is_some();
            if confirms {
                slot.address = address;
                slot.address_confirmed = true;
            }
            confirms
        };
        self.revision += u64::from(has_changed);
        has_changed
    }

    /// Learns about an incarnation of the local replica that is at least as new as the known one.
    fn learn_local_incarnation(
        &mut self,
        incarnation: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let slot = &mut self.slots[usize::from(self.local.replica)];
        let is_newer = incarnation > slot.incarnation;
        slot.incarnation = incarnation;
        // A recovering process has no incarnation yet, and will choose one above this.
        self.is_superseded |= is_newer && self.local.incarnation != Incarnation::NONE;
        // The local address must not be sent along with the newer incarnation: the others would attribute it to that
        // one.
        slot.address_confirmed &= !self.is_superseded;
        // An incarnation that few replicas recorded before its disk was lost may be reported after its replacement has
        // begun. It would supersede this process for good, although no process holds it.
        let is_abandoned = self.is_superseded && address == Some(self.local_address);
        let newly_abandoned = is_abandoned && !self.is_abandoned;
        self.is_abandoned |= is_abandoned;
        newly_abandoned || is_newer
    }

    /// Updates the table from a message: the sender and its address, and the incarnations that the message lists.
    pub fn record_message(
        &mut self,
        now: i64,
        from: SocketAddr,
        message: &PeerMessage,
    ) -> ReceiptOutcome {
        let process = message.sender;
        let index = usize::from(process.replica);
        if message.incarnations.len() != self.slots.len() || index >= self.slots.len() {
            return ReceiptOutcome::default();
        }
        let mut has_changed = self.learn_from_message(message);
        if process.incarnation != Incarnation::NONE {
            has_changed |= self.learn_incarnation(process.replica, process.incarnation, Some(from));
        }
        let is_current = self.is_current(process.replica, process.incarnation)
            && process.replica != self.local.replica;
        let mut sender_returned = false;
        if is_current {
            let slot = &mut self.slots[index];
            // The address from which the sender itself is reached takes precedence over reported ones.
            has_changed |= slot.address.replace(from) != Some(from) || !slot.address_confirmed;
            slot.address_confirmed = true;
            let last_heard_at = slot.last_heard_at.replace(now);
            sender_returned = last_heard_at
                .is_none_or(|last_heard_at| now - last_heard_at > limits::CONTACT_TIMEOUT);
            if let Payload::Heartbeat(heartbeat) = &message.payload {
                slot.receives_local_messages =
                    heartbeat.reachable_replicas & (1 << self.local.replica) != 0;
            }
        }
        self.revision += u64::from(has_changed);
        ReceiptOutcome {
            is_current,
            table_changed: has_changed,
            sender_returned,
        }
    }

    /// Learns the incarnations that a message lists, and the addresses if that is its payload.
    fn learn_from_message(&mut self, message: &PeerMessage) -> bool {
        let addresses: &[Option<SocketAddr>] = match &message.payload {
            Payload::ReplicaAddresses(addresses) => addresses,
            _ => &[],
        };
        let mut has_changed = false;
        for (replica, incarnation) in message.incarnations.iter().enumerate() {
            let address = addresses.get(replica).copied().flatten();
            has_changed |= self.learn_incarnation(replica as ReplicaId, *incarnation, address);
        }
        has_changed
    }

    /// Whether a message of the replica was received within [`limits::CONTACT_TIMEOUT`]; always true for the local one.
    pub fn is_reachable(&self, now: i64, replica: ReplicaId) -> bool {
        let slot = self.slots.get(usize::from(replica));
        let last_heard_at = slot.and_then(|slot| slot.last_heard_at);
        replica == self.local.replica
            || last_heard_at
                .is_some_and(|last_heard_at| now - last_heard_at <= limits::CONTACT_TIMEOUT)
    }

    /// The reachable replicas, one bit each.
    pub fn reachable_replicas(&self, now: i64) -> u128 {
        let replicas = 0..self.slots.len();
        let reachable = replicas.filter(|replica| self.is_reachable(now, *replica as ReplicaId));
        reachable.fold(0, |bits, replica| bits | 1 << replica)
    }

    /// Whether messages pass in both directions between this process and a quorum, itself included.
    pub fn has_quorum_contact(&self, now: i64) -> bool {
        let slots = self.slots.iter().enumerate();
        let in_contact = slots.filter(|(replica, slot)| {
            slot.receives_local_messages && self.is_reachable(now, *replica as ReplicaId)
        });
        self.is_participant() && in_contact.count() >= self.quorum_size()
    }
}
