//! Links with the other replicas and with agents. Two replicas need one link, whichever of them opened it. Each end sends
//! keep-alive frames on an idle link, so that a broken link is detected.

use std::net::SocketAddr;

use protocol::frames;
use protocol::messages::AgentMessage;
use slog::{debug, warn};
use slotmap::Key;

use super::Host;
use super::connections::Role;
use crate::core::Input;
use crate::core::peer_messages::Frame;
use crate::dataplane_types::ConnectionKey;
use crate::limits;

/// The first bytes of a link between replicas. An agent's first bytes are the length of a frame, which is never as great.
const REPLICA_PREAMBLE: [u8; 4] = [255; 4];
/// Of two links with one peer the unused one is closed after this time, in microseconds.
const DUPLICATE_LINK_TIMEOUT_US: i64 = 3_000_000;
/// A keep-alive frame is sent on a link that was idle for this time, in microseconds: a little less than the heartbeat
/// interval.
const KEEP_ALIVE_INTERVAL_US: i64 = limits::HEARTBEAT_INTERVAL - 100_000;

impl Host {
    /// Distinguishes a replica from an agent by the first bytes.
    pub(super) fn identify(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let Some(first) = connection.input.first_chunk::<4>() else {
            return;
        };
        if *first == REPLICA_PREAMBLE {
            connection.input.drain(..REPLICA_PREAMBLE.len());
            connection.role = Role::Replica { peer: None };
            self.read_replica(key);
        } else {
            connection.role = Role::Agent;
            self.read_agent(key);
        }
    }

    /// Handles a connection that was opened by this process and is established now.
    pub(super) fn handle_connected(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.last_received_at = now;
        if let Role::Replica { peer: Some(peer) } = connection.role {
            let mut bytes = REPLICA_PREAMBLE.to_vec();
            frames::encode(&mut bytes, &Frame::SenderAddress(self.address));
            self.write(key, &bytes);
            self.handle_peer_linked(key, peer);
        }
    }

    /// Uses a link for messages to this peer.
    fn handle_peer_linked(&mut self, key: ConnectionKey, peer: SocketAddr) {
        self.links.insert(peer, key);
        self.reconnect_at.remove(&peer);
        self.step_core(Input::PeerConnected(peer));
    }

    pub(super) fn read_replica(&mut self, key: ConnectionKey) {
        loop {
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            let frame = match frames::decode::<Frame>(&mut connection.input) {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(error) => {
                    warn!(self.log, "reading a replica's link failed"; "error" => error.to_string(),
                        "peer" => format!("{:?}", connection.role));
                    return self.close(key);
                }
            };
            match (frame, connection.role) {
                (Frame::KeepAlive, _) => {}
                (Frame::SenderAddress(address), Role::Replica { peer: None }) => {
                    connection.role = Role::Replica {
                        peer: Some(address),
                    };
                    let mut bytes = Vec::new();
                    frames::encode(&mut bytes, &Frame::SenderAddress(self.address));
                    self.write(key, &bytes);
                    self.handle_peer_linked(key, address);
                }
                (Frame::SenderAddress(_), _) => {}
                (Frame::PeerMessage(message), Role::Replica { peer: Some(peer) }) => {
                    self.step_core(Input::PeerMessage(peer, message));
                }
                (Frame::PeerMessage(_), _) => return self.close(key),
            }
        }
    }

    pub(super) fn read_agent(&mut self, key: ConnectionKey) {
        loop {
            let Some(connection) = self.connections.get_mut(key) else {
                return;
            };
            match frames::decode::<AgentMessage>(&mut connection.input) {
                Ok(Some(message)) => {
                    self.step_core(Input::AgentMessage(key.data().as_ffi(), message))
                }
                Ok(None) => return,
                Err(error) => {
                    warn!(self.log, "reading an agent's link failed"; "error" => error.to_string(),
                        "peer" => format!("{:?}", connection.stream.peer_addr().ok()));
                    return self.close(key);
                }
            }
        }
    }

    /// Handles the end of a link with a peer: another link with it is used, if there is one.
    pub(super) fn handle_link_lost(&mut self, key: ConnectionKey, peer: Option<SocketAddr>) {
        let Some(peer) = peer.filter(|peer| self.links.get(peer) == Some(&key)) else {
            return;
        };
        debug!(self.log, "link closed"; "peer" => peer.to_string());
        let other_link = self.connections.iter().find(|(_, connection)| {
            connection.is_connected
                && matches!(connection.role, Role::Replica { peer: Some(other) } if other == peer)
        });
        match other_link.map(|(key, _)| key) {
            Some(other) => _ = self.links.insert(peer, other),
            None => {
                self.links.remove(&peer);
                let now = self.now();
                self.reconnect_at
                    .insert(peer, now + limits::RECONNECT_DELAY);
            }
        }
    }

    /// Opens missing links, sends keep-alive frames, and closes duplicate links.
    pub(super) fn maintain_links(&mut self, now: i64) {
        let mut connecting: Vec<SocketAddr> = Vec::new();
        let (mut idle, mut duplicates) = (Vec::new(), Vec::new());
        for (key, connection) in &self.connections {
            let Role::Replica { peer: Some(peer) } = connection.role else {
                continue;
            };
            if !connection.is_connected {
                connecting.push(peer);
                continue;
            }
            // If each end closed a duplicate, both links might be closed: only the replica with the lower address closes one.
            let is_used = self.links.get(&peer) == Some(&key);
            if !is_used
                && self.address < peer
                && now - connection.opened_at >= DUPLICATE_LINK_TIMEOUT_US
            {
                duplicates.push(key);
            } else if now - connection.last_sent_at >= KEEP_ALIVE_INTERVAL_US {
                idle.push(key);
            }
        }
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, &Frame::KeepAlive);
        idle.into_iter().for_each(|key| self.write(key, &bytes));
        duplicates.into_iter().for_each(|key| self.close(key));
        for peer in self.peers.clone() {
            if peer == self.address || self.links.contains_key(&peer) || connecting.contains(&peer)
            {
                continue;
            }
            // Two replicas that lack a link don't open one each: the one with the higher address waits.
            let stagger = if self.address > peer {
                limits::RECONNECT_STAGGER
            } else {
                0
            };
            let connect_at = *self.reconnect_at.entry(peer).or_insert(now);
            if now >= connect_at + stagger {
                self.reconnect_at
                    .insert(peer, now + limits::RECONNECT_DELAY);
                self.connect(peer, Role::Replica { peer: Some(peer) });
            }
        }
        self.reconnect_at
            .retain(|peer, _| self.peers.contains(peer));
    }
}
