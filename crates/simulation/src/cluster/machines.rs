//! The machines of the core: their processes start, end, stand still; their disks go and fill up.

use std::collections::VecDeque;
use std::net::SocketAddr;

use control::core::ids::Incarnation;
use control::core::transfer::TransferLimits;
use control::core::{Input, Replica, ReplicaConfig};
use control::limits::{CALL_TIMEOUT, PEER_LINK_TIMEOUT};

use super::{Cluster, Event, MS, Node, SECOND};
use crate::chance::{Steady, mix};
use crate::disk::Disk;
use crate::harm::Bug;

/// So little that the few items of a schedule go in many pieces, and in several questions.
const BOUNDS: TransferLimits = TransferLimits {
    chunk_bytes: 300,
    response_bytes: 900,
};

impl Cluster {
    /// A machine in a zone, not started, with an empty disk.
    pub fn add(&mut self, zone: usize) -> usize {
        let at = self.nodes.len();
        let address = SocketAddr::from(([10, 0, zone as u8, at as u8], 7740));
        let drawn = mix(&[self.seed, 1, at as u64]);
        let clock = Steady {
            offset: (drawn % 1_000) as i64 * SECOND,
            ppm: (drawn >> 20) as i64 % 401 - 200,
        };
        self.nodes.push(Node {
            zone,
            address,
            core: None,
            disk: Disk::default(),
            incarnation: 0,
            clock,
            frozen: false,
            stood: 0,
            stopping: None,
            again: false,
            wiped: Some(self.now),
            slow: 0,
            inbox: VecDeque::new(),
            busy: 0,
            peers: Vec::new(),
            tick: 0,
            started_at: 0,
            told: Vec::new(),
            second: (0, 0),
            most: 0,
            transferred: 0,
        });
        at
    }

    /// Starts a machine's process with what is on its disk.
    pub fn start(&mut self, at: usize) {
        if self.nodes[at].core.is_some() {
            self.nodes[at].again = self.nodes[at].stopping.is_some();
            return;
        }
        let seeds = self.seeds();
        let bug = self.bug;
        let node = &mut self.nodes[at];
        let empty = node.disk.own.incarnation == Incarnation::NONE;
        match bug {
            Some(Bug::Empty) if empty => node.disk.own.incarnation = Incarnation::FIRST,
            Some(Bug::Tombstone) => node.disk.forget_dropped(),
            Some(Bug::Term) => node.disk.own.terms.clear(),
            Some(Bug::Run) => node.disk.own.run = 0,
            _ => {}
        }
        node.incarnation += 1;
        node.started_at = self.now;
        node.transferred = 0;
        let setup = ReplicaConfig {
            zones: self.zones.clone(),
            zone: self.zones[node.zone].clone(),
            address: Some(node.address),
            seed_addresses: seeds,
            random_seed: mix(&[self.seed, 2, at as u64, node.incarnation]),
            recovered: node.disk.restore(),
            transfer_limits: BOUNDS,
        };
        let core = Replica::new(node.clock.at(self.now), setup);
        node.peers = core.peer_addresses();
        node.core = Some(core);
        (node.frozen, node.slow, node.busy) = (false, 0, 0);
        if node.disk.full {
            self.feed(at, Input::DiskFull(true));
        }
        self.feed(at, Input::Tick);
    }

    /// Those that the settings name at a start: they stood in the operators' list then.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        self.holding()
            .into_iter()
            .take(3)
            .map(|at| self.nodes[at].address)
            .collect()
    }

    /// Kills a machine's process; of what was on its way to disk, some may have got there.
    pub fn kill(&mut self, at: usize) {
        let kept = self
            .chance
            .below(self.nodes[at].disk.waiting.len() as u64 + 1) as usize;
        self.end(at, kept);
    }

    /// A machine loses power, and with it all that was not synced.
    pub fn power(&mut self, at: usize) {
        self.end(at, 0);
    }

    pub(super) fn end(&mut self, at: usize, kept: usize) {
        let node = &mut self.nodes[at];
        if node.core.take().is_none() {
            return;
        }
        (node.stopping, node.again) = (None, false);
        node.inbox.clear();
        node.disk.cut(if node.disk.full { 0 } else { kept });
        self.links.retain(|(a, b)| *a != at && *b != at);
        let conns: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, conn)| conn.node == at)
            .map(|(id, _)| *id)
            .collect();
        for id in conns {
            self.reset(id, false);
        }
    }

    /// A machine loses its disk; it is down then.
    pub fn wipe(&mut self, at: usize) {
        self.power(at);
        self.nodes[at].disk = Disk::default();
        self.nodes[at].wiped = Some(self.now);
    }

    /// A process stands still, or goes on with all that has come meanwhile.
    pub fn freeze(&mut self, at: usize, frozen: bool) {
        let runs = self.nodes[at].core.is_some();
        let was = std::mem::replace(&mut self.nodes[at].frozen, frozen && runs);
        if !was && frozen {
            self.nodes[at].stood = self.now;
        }
        if was && !frozen {
            if self.has(Bug::Stood) {
                let node = &mut self.nodes[at];
                node.clock.offset -= self.now - node.stood;
            }
            self.catch_up(at);
        }
    }

    /// A process goes on that stood still for longer than its links may be silent: it gives them up, as its peers have, and
    /// callers that waited have gone.
    pub fn go_on(&mut self, at: usize) {
        let (now, stood, incarnation) =
            (self.now, self.nodes[at].stood, self.nodes[at].incarnation);
        for (when, input) in std::mem::take(&mut self.nodes[at].inbox) {
            let kept = match &input {
                Input::PeerMessage(..) | Input::PeerConnected(_) | Input::AgentMessage(..) => {
                    self.has(Bug::Queued) && when < stood + PEER_LINK_TIMEOUT
                }
                Input::ServerListRead(_) => false,
                Input::OperatorCall(..) => now - when < SECOND,
                _ => true,
            };
            match input {
                input if kept => self.nodes[at].inbox.push_back((when, input)),
                Input::OperatorCall(call, command, _) if self.has(Bug::Late) => {
                    // Read as the links are back; the time that it may take counts from then.
                    let read = now + SECOND;
                    let deadline = self.nodes[at].clock.at(read) + CALL_TIMEOUT;
                    let input = Box::new(Input::OperatorCall(call, command, deadline));
                    self.enter(read, Event::Feed(at, incarnation, input));
                }
                _ => {}
            }
        }
        self.freeze(at, false);
        self.reset_links(at);
    }

    /// All links of a machine end; its peers and agents open others.
    pub fn reset_links(&mut self, at: usize) {
        self.links.retain(|(a, b)| *a != at && *b != at);
        self.end_conns(at);
    }

    /// Each input takes a process so much longer.
    pub fn slow(&mut self, at: usize, by: i64) {
        if std::mem::replace(&mut self.nodes[at].slow, by) > 0 && by == 0 && !self.nodes[at].frozen
        {
            self.catch_up(at);
        }
    }

    pub(super) fn catch_up(&mut self, at: usize) {
        while let Some((_, input)) = self.nodes[at].inbox.pop_front() {
            self.handle(at, input);
        }
        self.nodes[at].busy = 0;
        self.handle(at, Input::Tick);
    }

    /// A disk takes nothing more, or again.
    pub fn fill(&mut self, at: usize, full: bool) {
        if std::mem::replace(&mut self.nodes[at].disk.full, full) == full {
            return;
        }
        self.feed(at, Input::DiskFull(full));
        let (incarnation, last) = (
            self.nodes[at].incarnation,
            self.nodes[at]
                .disk
                .waiting
                .back()
                .map(|(number, _)| *number),
        );
        if let Some(last) = last.filter(|_| !full) {
            self.enter(self.now + 2 * MS, Event::Synced(at, incarnation, last));
        }
    }

    /// The machine that has each replica last.
    pub fn holding(&self) -> Vec<usize> {
        let last = |zone| (0..self.nodes.len()).rfind(|at| self.nodes[*at].zone == zone);
        (0..self.zones.len()).filter_map(last).collect()
    }

    /// The machines whose processes run.
    pub fn live(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].core.is_some())
            .collect()
    }
}
