//! The replicated configuration of a small cluster of instances: Raft messages and ticks, the HTTP interface, and
//! applying a committed document.

use super::*;
use crate::config::{self, RaftConfig};
use crate::frontend::introspection::constant_time_eq;
use crate::net::framing::Request;
use crate::raft::{self, Member, RaftError};

/// Another member of the cluster.
struct ClusterPeer {
    id: u64,
    address: SocketAddr,
    connection: Option<ConnectionKey>,
}

/// This instance as a member of the cluster.
pub(super) struct ClusterNode {
    member: Member,
    peers: Vec<ClusterPeer>,
    secret: String,
}

impl ClusterNode {
    /// Opens the member's journal; connections to the peers are opened when there is a message for them.
    pub(super) fn open(cluster: &RaftConfig) -> io::Result<ClusterNode> {
        let ids: Vec<u64> = cluster.members.iter().map(|(id, _)| *id).collect();
        let member = Member::open(cluster.id, &ids, &cluster.folder).map_err(io::Error::other)?;
        let other_members = cluster.members.iter().filter(|(id, _)| *id != cluster.id);
        let peers = other_members.map(|(id, address)| ClusterPeer {
            id: *id,
            address: *address,
            connection: None,
        });
        Ok(ClusterNode {
            member,
            peers: peers.collect(),
            secret: cluster.secret.clone(),
        })
    }
}

impl Host {
    /// One tick of the Raft protocol, and the timer for the next.
    pub(super) fn raft_tick(&mut self, now: Micros) {
        self.deadlines
            .schedule(now + self.limits.raft_tick_interval, Timer::RaftTick);
        if let Some(cluster) = &mut self.cluster {
            let result = cluster.member.tick();
            _ = self.apply_raft_result(result);
        }
    }

    /// Sends the messages of a step and applies a committed document. After a failure of the journal or the protocol
    /// this instance leaves the cluster until its next start: it could acknowledge entries or votes that it would lose.
    fn apply_raft_result(
        &mut self,
        result: Result<raft::StepOutput, RaftError>,
    ) -> Result<(), RaftError> {
        match result {
            Ok(output) => {
                output
                    .messages
                    .into_iter()
                    .for_each(|message| self.send_to_peer(message));
                if let Some(document) = output.document {
                    self.apply_document(&document);
                }
                Ok(())
            }
            Err(error) => {
                if matches!(error, RaftError::Io(_) | RaftError::Protocol(_)) {
                    self.warn(&format!(
                        "raft: {error}; not taking part in the cluster until the next start"
                    ));
                    self.cluster = None;
                }
                Err(error)
            }
        }
    }

    /// Queues a message to a peer, and connects to it if there is no connection.
    fn send_to_peer(&mut self, message: raft::OutgoingMessage) {
        let Some(cluster) = &self.cluster else {
            return;
        };
        let Some(index) = cluster.peers.iter().position(|peer| peer.id == message.to) else {
            return;
        };
        let (address, connection) = (
            cluster.peers[index].address,
            cluster.peers[index].connection,
        );
        let head = format!(
            "POST /raft HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            cluster.secret,
            message.bytes.len()
        );
        let key = match connection {
            Some(key) => key,
            None => match self.connect(address, Role::ClusterPeer(index)) {
                Ok(key) => key,
                Err(_) => return,
            },
        };
        if let Some(cluster) = &mut self.cluster {
            cluster.peers[index].connection = Some(key);
        }
        // Bounds memory while a peer reads nothing. Raft tolerates lost messages.
        if self
            .connections
            .get(key)
            .is_some_and(|c| c.output.len() < 4 * self.limits.max_buffered_body_bytes)
        {
            self.queue_output(key, head.as_bytes());
            self.queue_output(key, &message.bytes);
        }
    }

    /// Discards the HTTP responses of a peer: Raft's replies are messages of their own.
    pub(super) fn read_cluster_responses(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        loop {
            match framing::parse_response(&connection.input, false, &self.limits) {
                Ok(Some((_, length))) => _ = connection.input.drain(..length),
                Ok(None) => return,
                Err(_) => return self.handle_broken_connection(key),
            }
        }
    }

    /// The connection to a peer was closed; the next message opens a new one.
    pub(super) fn handle_peer_lost(&mut self, index: usize) {
        if let Some(cluster) = &mut self.cluster {
            cluster.peers[index].connection = None;
        }
    }

    /// Handles a request at the cluster's listener: a Raft message, or a read or change of the configuration.
    pub(super) fn read_cluster_request(&mut self, key: ConnectionKey, request: &Request) {
        let Some(cluster) = &mut self.cluster else {
            return self.respond(key, 503, &[], b"");
        };
        let token = request
            .headers
            .get("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        if !token.is_some_and(|token| constant_time_eq(token, &cluster.secret)) {
            return self.respond(key, 401, &[("WWW-Authenticate", "Bearer")], b"");
        }
        match (request.method.as_str(), request.target.as_str()) {
            ("POST", "/raft") => {
                let result = cluster.member.receive(&request.body);
                let status = if self.apply_raft_result(result).is_ok() {
                    200
                } else {
                    400
                };
                self.respond(key, status, &[], b"");
            }
            ("GET", "/configuration") => {
                let (document, index) = cluster.member.document();
                let (document, etag) = (document.to_vec(), format!("\"{index}\""));
                self.respond(
                    key,
                    200,
                    &[("Content-Type", "application/json"), ("ETag", &etag)],
                    &document,
                );
            }
            ("PUT", "/configuration") => {
                if let Err(error) = config::parse_callers(&request.body, &self.platform.names) {
                    return self.respond(key, 400, &[], error.to_string().as_bytes());
                }
                let result = cluster.member.propose(&request.body);
                match self.apply_raft_result(result) {
                    Ok(()) => self.respond(key, 202, &[], b""),
                    Err(RaftError::NotLeader(Some(leader))) => self.redirect_to_leader(key, leader),
                    Err(RaftError::BadDocument) => {
                        self.respond(key, 400, &[], b"no JSON object, or too long")
                    }
                    Err(error) => self.respond_retry_later(
                        key,
                        503,
                        self.limits.default_retry_after,
                        &[],
                        error.to_string().as_bytes(),
                    ),
                }
            }
            _ => self.respond(key, 404, &[], b""),
        }
    }

    /// Redirects the sender of a change to the leader.
    fn redirect_to_leader(&mut self, key: ConnectionKey, leader: u64) {
        let peers = self
            .cluster
            .as_ref()
            .map_or(&[][..], |cluster| &cluster.peers);
        let leader = peers.iter().find(|peer| peer.id == leader);
        match leader.map(|peer| format!("http://{}/configuration", peer.address)) {
            Some(location) => self.respond(key, 307, &[("Location", &location)], b""),
            None => self.respond_retry_later(key, 503, self.limits.default_retry_after, &[], b""),
        }
    }

    /// Applies a committed document.
    fn apply_document(&mut self, document: &[u8]) {
        match config::parse_callers(document, &self.platform.names) {
            Ok(Some(callers)) => {
                self.log(&format!(
                    "cluster configuration applied: {} callers",
                    callers.len()
                ));
                if let Some(introspection) = &mut self.introspection {
                    introspection.set_callers(callers);
                }
            }
            Ok(None) => self.log("cluster configuration applied: callers unchanged"),
            // Another member may have accepted plans that this one does not know.
            Err(error) => self.warn(&format!("cluster configuration rejected: {error}")),
        }
    }
}
