//! The links between machines.

use std::net::SocketAddr;

use control::core::Input;
use control::core::peer_messages::{Payload, PeerMessage};

use super::{Cluster, Event, MS};
use crate::chance::mix;
use crate::harm::Bug;

impl Cluster {
    /// Cuts every link between two groups.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(|b| (*a, *b))) {
            self.cuts.extend([(a, b), (b, a)]);
        }
        let cuts = &self.cuts;
        self.links.retain(|pair| !cuts.contains(pair));
    }

    /// All links are whole again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// A number by chance for this pair, the same whatever happens elsewhere.
    pub(super) fn draw(&mut self, from: usize, to: usize) -> u64 {
        let count = self.drawn.entry((from, to)).or_default();
        *count += 1;
        mix(&[self.seed, 3, from as u64, to as u64, *count])
    }

    pub(crate) fn way(&self, one: usize, other: usize) -> i64 {
        if one / 2 == other / 2 { 900 } else { 55 * MS }
    }

    pub(super) fn deliver(&mut self, from: usize, to: SocketAddr, peer_message: &PeerMessage) {
        let Some(to) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        let linked = self.links.contains(&(from, to)) && !self.cuts.contains(&(from, to));
        self.echo(from, to, peer_message);
        if !linked || self.draw(from, to) % 1_000 < self.drops {
            if self.has(Bug::Resend) {
                let (incarnation, address) = (self.nodes[from].incarnation, self.nodes[to].address);
                let again =
                    Event::Resend(from, incarnation, address, Box::new(peer_message.clone()));
                self.enter(self.now + MS, again);
            }
            return;
        }
        let Some(peer_message) = self.harmed_sent(from, to, peer_message) else {
            return;
        };
        if matches!(
            peer_message.payload,
            Payload::ChosenChunk { .. }
                | Payload::IncarnationRecorded { .. }
                | Payload::DigestEntries { .. }
        ) {
            let size = postcard::serialize_with_flavor(
                &peer_message,
                postcard::ser_flavors::Size::default(),
            );
            self.nodes[to].transferred += size.unwrap_or_default() as u64;
        }
        let way = self.way(self.nodes[from].zone, self.nodes[to].zone);
        let copies = 1 + u32::from(self.twice > 0 && self.draw(from, to) % 1_000 < self.twice);
        if self.has(Bug::Old) {
            let zone = self.nodes[to].zone;
            let others = self
                .live()
                .into_iter()
                .filter(|at| *at != to && self.nodes[*at].zone == zone);
            for old in others.collect::<Vec<_>>() {
                self.enter(
                    self.now + way,
                    Event::PeerMessage(from, old, Box::new(peer_message.clone())),
                );
            }
        }
        for _ in 0..copies {
            let late = if self.late > 0 {
                (self.draw(from, to) % self.late) as i64
            } else {
                0
            };
            let peer_message = Box::new(peer_message.clone());
            let held = self
                .held
                .get(&to)
                .filter(|(end, _)| self.now < *end)
                .map_or(0, |(_, until)| *until);
            self.enter(
                (self.now + way + late).max(held),
                Event::PeerMessage(from, to, peer_message),
            );
        }
    }

    pub(super) fn dial(&mut self) {
        let mut pairs = Vec::new();
        for at in self.live() {
            let peers = self.nodes[at].peers.iter();
            let known =
                peers.filter_map(|peer| self.nodes.iter().position(|node| node.address == *peer));
            pairs.extend(known.map(|peer| (at, peer)));
        }
        for (at, peer) in pairs {
            let up = self.nodes[peer].core.is_some() && at != peer;
            let open = !self.cuts.contains(&(at, peer)) && !self.cuts.contains(&(peer, at));
            if up && open && !self.links.contains(&(at, peer)) {
                self.links.extend([(at, peer), (peer, at)]);
                for (one, other) in [(at, peer), (peer, at)] {
                    let address = self.nodes[other].address;
                    self.feed(one, Input::PeerConnected(address));
                }
            }
        }
        self.silent_conns();
        self.enter(self.now + 100 * MS, Event::Dial);
    }
}
