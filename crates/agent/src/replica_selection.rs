//! The selection of the control program that an agent links to. Without I/O.
//!
//! The replica of its own zone is tried first, then those of its region, then the others, in an order that differs from agent
//! to agent, so that the agents of a zone that has lost its replica spread. An agent moves on when a link can't be established
//! or is silent, and when the replica at its other end has lost contact with the quorum.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A link on which nothing is received is given up after this, in microseconds.
pub const LINK_IDLE_TIMEOUT: i64 = 1_200_000;
/// A replica without contact to a quorum is left after this, in microseconds: all of them may be, for a moment.
pub const LINK_QUORUM_LOSS_TIMEOUT: i64 = 700_000;
/// A link to the counter on which nothing is received is given up after this, in microseconds. The limiters' clock is
/// requested on it all the time, and a replica that has closed it may not be able to say so.
pub const COUNTER_LINK_IDLE_TIMEOUT: i64 = 2_000_000;
/// An agent that is linked elsewhere tries the replica of its own zone at this interval, in microseconds.
pub const HOME_RETRY_INTERVAL: i64 = 8_000_000;
/// The greatest number of reported replicas that are kept.
const MAX_UNCONFIRMED_REPLICAS: usize = 256;

/// A replica to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Its address.
    pub address: SocketAddr,
    /// All replicas have been tried with this one since the last success.
    pub is_last_of_round: bool,
}

/// The replicas to call, and their order.
#[derive(Debug)]
pub struct ReplicaSelection {
    zone: String,
    region: String,
    region_by_zone: BTreeMap<String, String>,
    /// Replicas by zone, as a replica with a quorum has told last.
    replica_by_zone: BTreeMap<String, SocketAddr>,
    /// Replicas that were reported by others without a quorum: these may have been replaced, as may those that they report.
    unconfirmed_replicas: Vec<SocketAddr>,
    /// Replicas of any zone, from the settings.
    seeds: Vec<SocketAddr>,
    next_index: usize,
    rotation: usize,
}

impl ReplicaSelection {
    /// A selection that knows no replicas yet. `shift`: by which the order of this agent differs from that of its neighbours.
    pub fn new(
        zone: &str,
        region: &str,
        region_by_zone: BTreeMap<String, String>,
        rotation: usize,
    ) -> ReplicaSelection {
        let (zone, region) = (zone.to_string(), region.to_string());
        let (replica_by_zone, unconfirmed_replicas, seeds) =
            (BTreeMap::new(), Vec::new(), Vec::new());
        ReplicaSelection {
            zone,
            region,
            region_by_zone,
            replica_by_zone,
            unconfirmed_replicas,
            seeds,
            next_index: 0,
            rotation,
        }
    }

    /// Takes over the seeds of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes over the replicas that a replica with a quorum has told.
    pub fn set_replicas(&mut self, replicas: &[(String, SocketAddr)]) {
        self.replica_by_zone = replicas.iter().cloned().collect();
        self.unconfirmed_replicas.clear();
    }

    /// Adds the replicas that a replica without a quorum has told. All known ones may have been replaced meanwhile, and the
    /// one that was replaced last knows where some of the others are.
    pub fn add_unconfirmed_replicas(&mut self, replicas: &[(String, SocketAddr)]) {
        let new = replicas
            .iter()
            .map(|(_, address)| *address)
            .filter(|address| {
                !self
                    .replica_by_zone
                    .values()
                    .any(|replica| replica == address)
            });
        for address in new.collect::<Vec<_>>() {
            self.unconfirmed_replicas.retain(|old| *old != address);
            self.unconfirmed_replicas.push(address);
        }
        let excess = self
            .unconfirmed_replicas
            .len()
            .saturating_sub(MAX_UNCONFIRMED_REPLICAS);
        self.unconfirmed_replicas.drain(..excess);
    }

    /// The replica of the own zone, if it is known.
    pub fn home_replica(&self) -> Option<SocketAddr> {
        self.replica_by_zone.get(&self.zone).copied()
    }

    /// The replicas in the order in which they are tried.
    fn ordered_replicas(&self) -> Vec<SocketAddr> {
        let rank = |zone: &String| match self.region_by_zone.get(zone) {
            _ if *zone == self.zone => 0,
            Some(region) if *region == self.region => 1,
            _ => 2,
        };
        let mut order: Vec<(u8, SocketAddr)> = Vec::new();
        for group_rank in 0..3 {
            let mut group: Vec<SocketAddr> = self
                .replica_by_zone
                .iter()
                .filter(|(zone, _)| rank(zone) == group_rank)
                .map(|(_, address)| *address)
                .collect();
            let rotation = self.rotation % group.len().max(1);
            group.rotate_left(rotation);
            order.extend(group.into_iter().map(|address| (group_rank, address)));
        }
        let mut order: Vec<SocketAddr> = order.into_iter().map(|(_, address)| address).collect();
        order.extend(&self.unconfirmed_replicas);
        // Seeds may be of any zone; those that no replica has told of come last, or are all there are.
        let seeds = self
            .seeds
            .iter()
            .cycle()
            .skip(self.rotation % self.seeds.len().max(1))
            .take(self.seeds.len());
        for seed in seeds {
            if !order.contains(seed) {
                order.push(*seed);
            }
        }
        order
    }

    /// The next replica to try; none if none is known.
    pub fn next_attempt(&mut self) -> Option<Attempt> {
        let order = self.ordered_replicas();
        let address = *order.get(self.next_index % order.len().max(1))?;
        self.next_index += 1;
        Some(Attempt {
            address,
            is_last_of_round: self.next_index.is_multiple_of(order.len()),
        })
    }

    /// A link to this replica was lost, or is of no use: the next attempt is the one after it.
    pub fn skip_past(&mut self, failed: SocketAddr) {
        self.next_index = self
            .ordered_replicas()
            .iter()
            .position(|address| *address == failed)
            .map_or(0, |index| index + 1);
    }

    /// A link is established and has told the replicas: the next search starts from the beginning.
    pub fn reset(&mut self) {
        self.next_index = 0;
    }
}

#[cfg(test)]
mod tests;
