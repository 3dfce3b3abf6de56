//! Which control program an agent keeps its link to. Without any input or output.
//!
//! The replica of its own zone is asked first, then those of its region, then the others, in an order of its own so that
//! the agents of a zone that lost its replica spread. It moves on when a link does not come up, falls silent, or when the
//! replica it speaks to has lost touch with the core.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A link that does not come up, or is silent, is given up after this, in microseconds.
pub const SILENT: i64 = 1_200_000;
/// A replica that is out of touch is left after this: all may be, for a moment.
pub const OUT_OF_TOUCH: i64 = 700_000;
/// The same of the link to the count, on which the limiters' clock is asked for all the time: a replica that has closed it may
/// not be able to say so.
pub const COUNT_SILENT: i64 = 2_000_000;
/// The own zone's replica is tried again after this by an agent linked elsewhere.
pub const HOMEWARD: i64 = 8_000_000;
/// Most replicas that are kept by hearsay.
const HEARSAY: usize = 256;

/// Where to call.
#[derive(Debug)]
pub struct Links {
    zone: String,
    region: String,
    zones: BTreeMap<String, String>,
    /// Replicas by zone, as last told.
    replicas: BTreeMap<String, SocketAddr>,
    /// Replicas that others named which are out of touch themselves: they may have been replaced, as may those that they name.
    hearsay: Vec<SocketAddr>,
    /// From the settings: of any zone.
    seeds: Vec<SocketAddr>,
    turn: usize,
    shift: usize,
}

impl Links {
    /// Nothing was told yet. `shift`: by which this agent's order differs from its neighbours'.
    pub fn new(zone: &str, region: &str, zones: BTreeMap<String, String>, shift: usize) -> Links {
        let (zone, region) = (zone.to_string(), region.to_string());
        let (replicas, hearsay, seeds) = (BTreeMap::new(), Vec::new(), Vec::new());
        Links {
            zone,
            region,
            zones,
            replicas,
            hearsay,
            seeds,
            turn: 0,
            shift,
        }
    }

    /// The settings name these.
    pub fn seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// A replica named these.
    pub fn told(&mut self, replicas: &[(String, SocketAddr)]) {
        self.replicas = replicas.iter().cloned().collect();
        self.hearsay.clear();
    }

    /// A replica that is out of touch named these. All that are known may have been replaced meanwhile, and who was replaced
    /// last knows where some of the others are.
    pub fn heard_of(&mut self, replicas: &[(String, SocketAddr)]) {
        let new = replicas
            .iter()
            .map(|(_, at)| *at)
            .filter(|at| !self.replicas.values().any(|replica| replica == at));
        for at in new.collect::<Vec<_>>() {
            self.hearsay.retain(|old| *old != at);
            self.hearsay.push(at);
        }
        let over = self.hearsay.len().saturating_sub(HEARSAY);
        self.hearsay.drain(..over);
    }

    /// The own zone's replica, if it is known.
    pub fn home(&self) -> Option<SocketAddr> {
        self.replicas.get(&self.zone).copied()
    }

    /// In the order in which they are tried.
    fn order(&self) -> Vec<SocketAddr> {
        let rank = |zone: &String| match self.zones.get(zone) {
            _ if *zone == self.zone => 0,
            Some(region) if *region == self.region => 1,
            _ => 2,
        };
        let mut order: Vec<(u8, SocketAddr)> = Vec::new();
        for wanted in 0..3 {
            let mut equal: Vec<SocketAddr> = self
                .replicas
                .iter()
                .filter(|(zone, _)| rank(zone) == wanted)
                .map(|(_, at)| *at)
                .collect();
            let shift = self.shift % equal.len().max(1);
            equal.rotate_left(shift);
            order.extend(equal.into_iter().map(|at| (wanted, at)));
        }
        let mut order: Vec<SocketAddr> = order.into_iter().map(|(_, at)| at).collect();
        order.extend(&self.hearsay);
        // Seeds may be of any zone; those that no replica was told of come last, or are all there is.
        let seeds = self
            .seeds
            .iter()
            .cycle()
            .skip(self.shift % self.seeds.len().max(1))
            .take(self.seeds.len());
        for seed in seeds {
            if !order.contains(seed) {
                order.push(*seed);
            }
        }
        order
    }

    /// The next to try; none if nobody is known. True if all were tried since the last success.
    pub fn advance(&mut self) -> Option<(SocketAddr, bool)> {
        let order = self.order();
        let at = *order.get(self.turn % order.len().max(1))?;
        self.turn += 1;
        Some((at, self.turn.is_multiple_of(order.len())))
    }

    /// A link to this one was lost, or is of no use: the search goes on behind it.
    pub fn left(&mut self, from: SocketAddr) {
        self.turn = self
            .order()
            .iter()
            .position(|at| *at == from)
            .map_or(0, |at| at + 1);
    }

    /// A link is up and was told who is who: the next search begins anew.
    pub fn settled(&mut self) {
        self.turn = 0;
    }
}

#[cfg(test)]
mod tests;
