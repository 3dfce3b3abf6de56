//! The selection of the control program that an agent links to. Without I/O.
//!
//! The replica of the agent's own zone is tried first, then those of its region, then the others. The order within a group
//! differs between agents, so that the agents of a zone that has lost its replica spread over the others. An agent tries the
//! next replica when a link can't be established, when it is silent, and when its replica has lost contact with the quorum.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A link on which nothing was received for this long counts as silent, and the agent looks for another one, in microseconds.
pub const LINK_IDLE_TIMEOUT: i64 = 1_200_000;
/// The agent looks for another replica after its replica has had no contact with a quorum for this long, in microseconds. It
/// does not do so immediately, as all replicas may lose the quorum for a moment.
pub const LINK_QUORUM_LOSS_TIMEOUT: i64 = 700_000;
/// A link to the counter on which nothing was received for this long is closed, in microseconds. The agent requests the
/// limiters' clock on it at intervals, so a working one is never silent; a replica that has closed it may not be able to
/// notify the agent.
pub const COUNTER_LINK_IDLE_TIMEOUT: i64 = 2_000_000;
/// The interval at which an agent that is linked to another zone tries the replica of its own zone, in microseconds.
pub const HOME_RETRY_INTERVAL: i64 = 8_000_000;
/// The maximum number of unconfirmed replicas that are kept.
const MAX_UNCONFIRMED_REPLICAS: usize = 256;

/// An attempt to link to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The address of the replica.
    pub address: SocketAddr,
    /// With this attempt, all known replicas have been tried since the last success.
    pub is_last_of_round: bool,
}

/// The known replicas and the order in which they are tried.
#[derive(Debug)]
pub struct ReplicaSelection {
    zone: String,
    region: String,
    region_by_zone: BTreeMap<String, String>,
    /// The replicas by zone, as a replica with a quorum last reported them.
    replica_by_zone: BTreeMap<String, SocketAddr>,
    /// Replicas that only replicas without a quorum have reported. Both may have been replaced meanwhile.
    unconfirmed_replicas: Vec<SocketAddr>,
    /// Replicas from the settings, of any zone.
    seeds: Vec<SocketAddr>,
    /// The position of the next attempt in the order, modulo the number of replicas.
    next_index: usize,
    /// The number of places by which this agent rotates the order of each group.
    rotation: usize,
}

impl ReplicaSelection {
    /// Creates a selection without replicas. Agents with different values of `rotation` try the replicas of a group in
    /// different orders.
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

    /// Sets the seeds, which are the replicas named in the settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets the replicas as a replica with a quorum has reported them.
    pub fn set_replicas(&mut self, replicas: &[(String, SocketAddr)]) {
        self.replica_by_zone = replicas.iter().cloned().collect();
        self.unconfirmed_replicas.clear();
    }

    /// Adds the replicas that a replica without a quorum has reported. All known replicas may have been replaced meanwhile, and
    /// the one that was replaced last still knows the addresses of some current ones.
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

    /// The replica of the agent's own zone, if it is known.
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
        // Seeds may be of any zone. Those that no replica has reported come last; at the start they are the only replicas.
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

    /// Returns the next replica to try; `None` if no replica is known.
    pub fn next_attempt(&mut self) -> Option<Attempt> {
        let order = self.ordered_replicas();
        let address = *order.get(self.next_index % order.len().max(1))?;
        self.next_index += 1;
        Some(Attempt {
            address,
            is_last_of_round: self.next_index.is_multiple_of(order.len()),
        })
    }

    /// Continues with the replica after this one in the order, because the link to it was lost or it is of no use.
    pub fn skip_past(&mut self, failed: SocketAddr) {
        self.next_index = self
            .ordered_replicas()
            .iter()
            .position(|address| *address == failed)
            .map_or(0, |index| index + 1);
    }

    /// Restarts the order from its beginning for the next search, once a link is established and has reported the replicas.
    pub fn reset(&mut self) {
        self.next_index = 0;
    }
}

#[cfg(test)]
mod tests;
