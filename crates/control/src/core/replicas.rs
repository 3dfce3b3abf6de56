//! Who holds each replica: its newest incarnation, its address, when it was last heard.

use std::net::SocketAddr;

use super::peer_messages::{Incarnation, Payload, PeerMessage, ProcessId, ReplicaId};
use crate::limits;

#[derive(Clone, Debug, Default)]
struct ReplicaSlot {
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    /// The address is of this incarnation; else of one before, and whoever knows better is believed.
    address_confirmed: bool,
    /// When the holder of the newest incarnation was last heard.
    last_heard: Option<i64>,
    /// It hears this replica, as it last said.
    hears_us: bool,
}

/// The table of replicas as one of them sees it.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    local: ProcessId,
    local_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    slots: Vec<ReplicaSlot>,
    superseded: bool,
    /// Rises whenever an incarnation or an address has changed.
    revision: u64,
    /// The newer incarnation is one that this machine itself began and never ended: nobody else has it.
    abandoned: bool,
}

/// What a message has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reception {
    /// It comes from the newest incarnation of its replica.
    pub is_current: bool,
    /// An incarnation or an address has changed.
    pub changed: bool,
    /// The replica was out of touch before.
    pub returned: bool,
}

impl ReplicaTable {
    /// `count` replicas, of which this is one.
    pub fn new(
        me: ProcessId,
        count: usize,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> ReplicaTable {
        let mut places = vec![ReplicaSlot::default(); count];
        if let Some(place) = places.get_mut(usize::from(me.replica)) {
            *place = ReplicaSlot {
                incarnation: me.incarnation,
                address: Some(address),
                address_confirmed: true,
                last_heard: None,
                hears_us: true,
            };
        }
        ReplicaTable {
            local: me,
            local_address: address,
            seeds,
            slots: places,
            superseded: false,
            revision: 0,
            abandoned: false,
        }
    }

    /// Takes in what was on disk about the others.
    pub fn restore(&mut self, incarnations: &[Incarnation], addresses: &[Option<SocketAddr>]) {
        for (at, place) in self
            .slots
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| *at != usize::from(self.local.replica))
        {
            place.incarnation = incarnations.get(at).copied().unwrap_or_default();
            place.address = addresses.get(at).copied().flatten();
            place.address_confirmed = place.address.is_some();
        }
    }

    /// This replica, its incarnation and its run.
    pub fn local(&self) -> ProcessId {
        self.local
    }

    /// Where this one is reached.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Number of replicas.
    pub fn replica_count(&self) -> usize {
        self.slots.len()
    }

    /// More than half of the replicas.
    pub fn quorum(&self) -> usize {
        self.slots.len() / 2 + 1
    }

    /// More than half of the other replicas, which a replica with an empty disk needs.
    pub fn recovery_quorum(&self) -> usize {
        let others = self.slots.len() - 1;
        (others / 2 + 1).min(others)
    }

    /// This process votes and answers: it has an incarnation, and none newer of its replica is known.
    pub fn is_participant(&self) -> bool {
        self.local.incarnation != Incarnation::NONE && !self.superseded
    }

    /// Its replica has a newer incarnation: it is of no more use.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// It is set aside by an incarnation that it began itself before its disk was lost again, and that nobody leads.
    pub fn is_abandoned(&self) -> bool {
        self.abandoned
    }

    /// Gives its incarnation up, to begin one after the newest that is known.
    pub fn relinquish(&mut self) {
        self.local.incarnation = Incarnation::NONE;
        (self.superseded, self.abandoned) = (false, false);
    }

    /// Begins an incarnation.
    pub fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.local.incarnation = incarnation;
        let place = &mut self.slots[usize::from(self.local.replica)];
        (place.incarnation, place.address_confirmed) = (incarnation, true);
    }

    /// The newest incarnations that are known.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.slots.iter().map(|place| place.incarnation).collect()
    }

    /// Where the replicas are, as far as it is sure.
    pub fn addresses(&self) -> Vec<Option<SocketAddr>> {
        self.slots
            .iter()
            .map(|place| place.address.filter(|_| place.address_confirmed))
            .collect()
    }

    /// Some replica has an incarnation, and where it is then is not known.
    pub fn has_unconfirmed_address(&self) -> bool {
        self.slots
            .iter()
            .any(|place| place.incarnation != Incarnation::NONE && !place.address_confirmed)
    }

    /// Another one lacks an address that is known here.
    pub fn knows_more(&self, incarnations: &[Incarnation], told: &[Option<SocketAddr>]) -> bool {
        let known = |(at, place): (usize, &ReplicaSlot)| {
            let lacks = told.get(at).is_some_and(Option::is_none)
                && incarnations.get(at) == Some(&place.incarnation);
            place.address_confirmed && place.incarnation != Incarnation::NONE && lacks
        };
        self.slots.iter().enumerate().any(known)
    }

    /// The newest incarnation of a replica.
    pub fn newest_incarnation(&self, replica: ReplicaId) -> Incarnation {
        self.slots
            .get(usize::from(replica))
            .map(|place| place.incarnation)
            .unwrap_or_default()
    }

    /// Where a replica is reached.
    pub fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        self.slots.get(usize::from(replica))?.address
    }

    /// Where the other replicas are reached.
    pub fn other_addresses(&self) -> Vec<SocketAddr> {
        let me = usize::from(self.local.replica);
        let others = self.slots.iter().enumerate().filter(|(at, _)| *at != me);
        others
            .filter_map(|(_, place)| place.address)
            .filter(|address| *address != self.local_address)
            .collect()
    }

    /// Whom to keep a link with: the other replicas, and who may know them.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.other_addresses();
        peers.extend(
            self.seeds
                .iter()
                .copied()
                .filter(|seed| *seed != self.local_address),
        );
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Where the replicas are that are known, by their zones, for agents.
    pub fn addresses_by_zone<'a>(
        &self,
        zones: &'a [String],
    ) -> impl Iterator<Item = (&'a str, SocketAddr)> {
        let at = |(replica, zone): (usize, &'a String)| {
            Some((zone.as_str(), self.address(replica as ReplicaId)?))
        };
        zones.iter().enumerate().filter_map(at)
    }

    /// A vote of this incarnation of a replica counts.
    pub fn is_current(&self, replica: ReplicaId, incarnation: Incarnation) -> bool {
        incarnation != Incarnation::NONE && self.newest_incarnation(replica) == incarnation
    }

    /// Rises whenever an incarnation or an address has changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes an incarnation in, whoever told of it.
    pub fn learn_incarnation(
        &mut self,
        replica: ReplicaId,
        incarnation: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let news = self.apply_incarnation(replica, incarnation, address);
        self.revision += u64::from(news);
        news
    }

    fn apply_incarnation(
        &mut self,
        replica: ReplicaId,
        incarnation: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let own = replica == self.local.replica;
        let Some(place) = self.slots.get_mut(usize::from(replica)) else {
            return false;
        };
        if own && incarnation >= place.incarnation {
            let newer = incarnation > place.incarnation;
            place.incarnation = incarnation;
            // One that rebuilds has no incarnation yet, and takes a newer one than this.
            self.superseded |= newer && self.local.incarnation != Incarnation::NONE;
            // Danger: were its own address told with the newer incarnation, the others would take it for the newer one's.
            place.address_confirmed &= !self.superseded;
            // Danger: an incarnation that was recorded by few, and lost with the disk, may come after the one that was begun in
            // its place. Its replica would be set aside by it, and be held by nobody.
            let abandoned = self.superseded && address == Some(self.local_address);
            return (abandoned && !std::mem::replace(&mut self.abandoned, abandoned)) || newer;
        }
        if incarnation > place.incarnation {
            let sure = address.is_some();
            *place = ReplicaSlot {
                incarnation,
                address: address.or(place.address),
                address_confirmed: sure,
                last_heard: None,
                hears_us: false,
            };
            return true;
        }
        // Danger: two replicas that were replaced at once would each keep to where the other one was.
        let news = !own
            && incarnation == place.incarnation
            && !place.address_confirmed
            && address.is_some();
        if news {
            (place.address, place.address_confirmed) = (address, true);
        }
        news
    }

    /// Takes in who sent a message, and the incarnations that it knows.
    pub fn record_message(
        &mut self,
        now: i64,
        from: SocketAddr,
        peer_message: &PeerMessage,
    ) -> Reception {
        let replica = usize::from(peer_message.sender.replica);
        if peer_message.incarnations.len() != self.slots.len() || replica >= self.slots.len() {
            return Reception::default();
        }
        let told: &[Option<SocketAddr>] = match &peer_message.payload {
            Payload::ReplicaAddresses(addresses) => addresses,
            _ => &[],
        };
        let mut changed = false;
        for (at, incarnation) in peer_message.incarnations.iter().enumerate() {
            changed |= self.learn_incarnation(
                at as ReplicaId,
                *incarnation,
                told.get(at).copied().flatten(),
            );
        }
        if peer_message.sender.incarnation != Incarnation::NONE {
            changed |= self.learn_incarnation(
                peer_message.sender.replica,
                peer_message.sender.incarnation,
                Some(from),
            );
        }
        let counts = self.is_current(peer_message.sender.replica, peer_message.sender.incarnation)
            && peer_message.sender.replica != self.local.replica;
        let place = &mut self.slots[replica];
        let mut returned = false;
        if counts {
            // The one that speaks knows best where it is.
            changed |= place.address.replace(from) != Some(from) || !place.address_confirmed;
            place.address_confirmed = true;
            returned = place
                .last_heard
                .is_none_or(|heard| now - heard > limits::CONTACT_TIMEOUT);
            place.last_heard = Some(now);
            if let Payload::Heartbeat(beat) = &peer_message.payload {
                place.hears_us = beat.reachable & (1 << self.local.replica) != 0;
            }
        }
        self.revision += u64::from(changed);
        Reception {
            is_current: counts,
            changed,
            returned,
        }
    }

    /// A replica was heard of late.
    pub fn is_reachable(&self, now: i64, replica: ReplicaId) -> bool {
        let heard = self
            .slots
            .get(usize::from(replica))
            .and_then(|place| place.last_heard);
        replica == self.local.replica
            || heard.is_some_and(|heard| now - heard <= limits::CONTACT_TIMEOUT)
    }

    /// The replicas that were heard of late, a bit each.
    pub fn reachable_replicas(&self, now: i64) -> u128 {
        (0..self.slots.len())
            .filter(|replica| self.is_reachable(now, *replica as ReplicaId))
            .fold(0, |bits, replica| bits | 1 << replica)
    }

    /// It hears, and is heard by, more than half of all, itself included.
    pub fn has_quorum_contact(&self, now: i64) -> bool {
        let both = |(at, place): &(usize, &ReplicaSlot)| {
            place.hears_us && self.is_reachable(now, *at as ReplicaId)
        };
        self.is_participant() && self.slots.iter().enumerate().filter(both).count() >= self.quorum()
    }
}
