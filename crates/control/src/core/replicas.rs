//! Who holds each replica: its newest incarnation, its address, when it was last heard.

use std::net::SocketAddr;

use super::peer_messages::{Incarnation, Payload, PeerMessage, ProcessId, ReplicaId};
use crate::limits;

#[derive(Clone, Debug, Default)]
struct ReplicaSlot {
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    /// The address is of this incarnation; else of one before, and whoever knows better is believed.
    sure: bool,
    /// When the holder of the newest incarnation was last heard.
    heard: Option<i64>,
    /// It hears this replica, as it last said.
    hears: bool,
}

/// The table of replicas as one of them sees it.
#[derive(Clone, Debug)]
pub struct ReplicaTable {
    me: ProcessId,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    places: Vec<ReplicaSlot>,
    aside: bool,
    /// Rises whenever an incarnation or an address has changed.
    revision: u64,
    /// The newer incarnation is one that this machine itself began and never ended: nobody else has it.
    abandoned: bool,
}

/// What a message has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reception {
    /// It comes from the newest incarnation of its replica.
    pub counts: bool,
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
                sure: true,
                heard: None,
                hears: true,
            };
        }
        ReplicaTable {
            me,
            address,
            seeds,
            places,
            aside: false,
            revision: 0,
            abandoned: false,
        }
    }

    /// Takes in what was on disk about the others.
    pub fn restore(&mut self, incarnations: &[Incarnation], addresses: &[Option<SocketAddr>]) {
        for (at, place) in self
            .places
            .iter_mut()
            .enumerate()
            .filter(|(at, _)| *at != usize::from(self.me.replica))
        {
            place.incarnation = incarnations.get(at).copied().unwrap_or_default();
            place.address = addresses.get(at).copied().flatten();
            place.sure = place.address.is_some();
        }
    }

    /// This replica, its incarnation and its run.
    pub fn me(&self) -> ProcessId {
        self.me
    }

    /// Where this one is reached.
    pub fn here(&self) -> SocketAddr {
        self.address
    }

    /// Number of replicas.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    /// More than half of the replicas.
    pub fn majority(&self) -> usize {
        self.places.len() / 2 + 1
    }

    /// More than half of the other replicas, which a replica with an empty disk needs.
    pub fn others(&self) -> usize {
        let others = self.places.len() - 1;
        (others / 2 + 1).min(others)
    }

    /// This process votes and answers: it has an incarnation, and none newer of its replica is known.
    pub fn takes_part(&self) -> bool {
        self.me.incarnation != Incarnation::NONE && !self.aside
    }

    /// Its replica has a newer incarnation: it is of no more use.
    pub fn aside(&self) -> bool {
        self.aside
    }

    /// It is set aside by an incarnation that it began itself before its disk was lost again, and that nobody leads.
    pub fn abandoned(&self) -> bool {
        self.abandoned
    }

    /// Gives its incarnation up, to begin one after the newest that is known.
    pub fn end(&mut self) {
        self.me.incarnation = Incarnation::NONE;
        (self.aside, self.abandoned) = (false, false);
    }

    /// Begins an incarnation.
    pub fn begin(&mut self, incarnation: Incarnation) {
        self.me.incarnation = incarnation;
        let place = &mut self.places[usize::from(self.me.replica)];
        (place.incarnation, place.sure) = (incarnation, true);
    }

    /// The newest incarnations that are known.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.places.iter().map(|place| place.incarnation).collect()
    }

    /// Where the replicas are, as far as it is sure.
    pub fn addresses(&self) -> Vec<Option<SocketAddr>> {
        self.places
            .iter()
            .map(|place| place.address.filter(|_| place.sure))
            .collect()
    }

    /// Some replica has an incarnation, and where it is then is not known.
    pub fn unsure(&self) -> bool {
        self.places
            .iter()
            .any(|place| place.incarnation != Incarnation::NONE && !place.sure)
    }

    /// Another one lacks an address that is known here.
    pub fn knows_more(&self, incarnations: &[Incarnation], told: &[Option<SocketAddr>]) -> bool {
        let known = |(at, place): (usize, &ReplicaSlot)| {
            let lacks = told.get(at).is_some_and(Option::is_none)
                && incarnations.get(at) == Some(&place.incarnation);
            place.sure && place.incarnation != Incarnation::NONE && lacks
        };
        self.places.iter().enumerate().any(known)
    }

    /// The newest incarnation of a replica.
    pub fn newest(&self, replica: ReplicaId) -> Incarnation {
        self.places
            .get(usize::from(replica))
            .map(|place| place.incarnation)
            .unwrap_or_default()
    }

    /// Where a replica is reached.
    pub fn address(&self, replica: ReplicaId) -> Option<SocketAddr> {
        self.places.get(usize::from(replica))?.address
    }

    /// Where the other replicas are reached.
    pub fn rest(&self) -> Vec<SocketAddr> {
        let me = usize::from(self.me.replica);
        let others = self.places.iter().enumerate().filter(|(at, _)| *at != me);
        others
            .filter_map(|(_, place)| place.address)
            .filter(|address| *address != self.address)
            .collect()
    }

    /// Whom to keep a link with: the other replicas, and who may know them.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let mut peers = self.rest();
        peers.extend(
            self.seeds
                .iter()
                .copied()
                .filter(|seed| *seed != self.address),
        );
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Where the replicas are that are known, by their zones, for agents.
    pub fn for_agents<'a>(
        &self,
        zones: &'a [String],
    ) -> impl Iterator<Item = (&'a str, SocketAddr)> {
        let at = |(replica, zone): (usize, &'a String)| {
            Some((zone.as_str(), self.address(replica as ReplicaId)?))
        };
        zones.iter().enumerate().filter_map(at)
    }

    /// A vote of this incarnation of a replica counts.
    pub fn counts(&self, replica: ReplicaId, incarnation: Incarnation) -> bool {
        incarnation != Incarnation::NONE && self.newest(replica) == incarnation
    }

    /// Rises whenever an incarnation or an address has changed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes an incarnation in, whoever told of it.
    pub fn learn(
        &mut self,
        replica: ReplicaId,
        incarnation: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let news = self.learned(replica, incarnation, address);
        self.revision += u64::from(news);
        news
    }

    fn learned(
        &mut self,
        replica: ReplicaId,
        incarnation: Incarnation,
        address: Option<SocketAddr>,
    ) -> bool {
        let own = replica == self.me.replica;
        let Some(place) = self.places.get_mut(usize::from(replica)) else {
            return false;
        };
        if own && incarnation >= place.incarnation {
            let newer = incarnation > place.incarnation;
            place.incarnation = incarnation;
            // One that rebuilds has no incarnation yet, and takes a newer one than this.
            self.aside |= newer && self.me.incarnation != Incarnation::NONE;
            // Danger: were its own address told with the newer incarnation, the others would take it for the newer one's.
            place.sure &= !self.aside;
            // Danger: an incarnation that was recorded by few, and lost with the disk, may come after the one that was begun in
            // its place. Its replica would be set aside by it, and be held by nobody.
            let abandoned = self.aside && address == Some(self.address);
            return (abandoned && !std::mem::replace(&mut self.abandoned, abandoned)) || newer;
        }
        if incarnation > place.incarnation {
            let sure = address.is_some();
            *place = ReplicaSlot {
                incarnation,
                address: address.or(place.address),
                sure,
                heard: None,
                hears: false,
            };
            return true;
        }
        // Danger: two replicas that were replaced at once would each keep to where the other one was.
        let news = !own && incarnation == place.incarnation && !place.sure && address.is_some();
        if news {
            (place.address, place.sure) = (address, true);
        }
        news
    }

    /// Takes in who sent a message, and the incarnations that it knows.
    pub fn hear(&mut self, now: i64, from: SocketAddr, peer_message: &PeerMessage) -> Reception {
        let replica = usize::from(peer_message.by.replica);
        if peer_message.incarnations.len() != self.places.len() || replica >= self.places.len() {
            return Reception::default();
        }
        let told: &[Option<SocketAddr>] = match &peer_message.body {
            Payload::ReplicaAddresses(addresses) => addresses,
            _ => &[],
        };
        let mut changed = false;
        for (at, incarnation) in peer_message.incarnations.iter().enumerate() {
            changed |= self.learn(
                at as ReplicaId,
                *incarnation,
                told.get(at).copied().flatten(),
            );
        }
        if peer_message.by.incarnation != Incarnation::NONE {
            changed |= self.learn(
                peer_message.by.replica,
                peer_message.by.incarnation,
                Some(from),
            );
        }
        let counts = self.counts(peer_message.by.replica, peer_message.by.incarnation)
            && peer_message.by.replica != self.me.replica;
        let place = &mut self.places[replica];
        let mut returned = false;
        if counts {
            // The one that speaks knows best where it is.
            changed |= place.address.replace(from) != Some(from) || !place.sure;
            place.sure = true;
            returned = place
                .heard
                .is_none_or(|heard| now - heard > limits::CONTACT_TIMEOUT);
            place.heard = Some(now);
            if let Payload::Heartbeat(beat) = &peer_message.body {
                place.hears = beat.hears & (1 << self.me.replica) != 0;
            }
        }
        self.revision += u64::from(changed);
        Reception {
            counts,
            changed,
            returned,
        }
    }

    /// A replica was heard of late.
    pub fn hears(&self, now: i64, replica: ReplicaId) -> bool {
        let heard = self
            .places
            .get(usize::from(replica))
            .and_then(|place| place.heard);
        replica == self.me.replica
            || heard.is_some_and(|heard| now - heard <= limits::CONTACT_TIMEOUT)
    }

    /// The replicas that were heard of late, a bit each.
    pub fn heard(&self, now: i64) -> u128 {
        (0..self.places.len())
            .filter(|replica| self.hears(now, *replica as ReplicaId))
            .fold(0, |bits, replica| bits | 1 << replica)
    }

    /// It hears, and is heard by, more than half of all, itself included.
    pub fn in_touch(&self, now: i64) -> bool {
        let both =
            |(at, place): &(usize, &ReplicaSlot)| place.hears && self.hears(now, *at as ReplicaId);
        self.takes_part() && self.places.iter().enumerate().filter(both).count() >= self.majority()
    }
}
