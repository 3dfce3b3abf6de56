//! The configuration that a few instances agree on: its messages, its ticks, and what is done with a document.

use super::*;
use crate::config::{self, RaftConfig};
use crate::frontend::introspection::constant_time_eq;
use crate::net::framing::Request;
use crate::raft::{self, Member, RaftError};

struct ClusterPeer {
    id: u64,
    address: SocketAddr,
    connection: Option<ConnectionKey>,
}

/// This instance among the members.
pub(super) struct ClusterNode {
    member: Member,
    peers: Vec<ClusterPeer>,
    secret: String,
}

impl ClusterNode {
    pub(super) fn open(cluster: &RaftConfig) -> io::Result<ClusterNode> {
        let ids: Vec<u64> = cluster.members.iter().map(|(id, _)| *id).collect();
        let member = Member::open(cluster.id, &ids, &cluster.folder).map_err(io::Error::other)?;
        let others = cluster.members.iter().filter(|(id, _)| *id != cluster.id);
        let others = others.map(|(id, address)| ClusterPeer {
            id: *id,
            address: *address,
            connection: None,
        });
        Ok(ClusterNode {
            member,
            peers: others.collect(),
            secret: cluster.secret.clone(),
        })
    }
}

impl Host {
    pub(super) fn raft_tick(&mut self, now: Micros) {
        self.deadlines
            .schedule(now + self.limits.raft_tick_interval, Timer::RaftTick);
        if let Some(agreement) = &mut self.cluster {
            let stepped = agreement.member.tick();
            _ = self.apply_raft_result(stepped);
        }
    }

    /// Sends what is to be sent and takes a new document. A member whose journal fails takes no further part: it
    /// could promise what it would forget.
    fn apply_raft_result(
        &mut self,
        stepped: Result<raft::StepOutput, RaftError>,
    ) -> Result<(), RaftError> {
        match stepped {
            Ok(news) => {
                news.messages
                    .into_iter()
                    .for_each(|letter| self.send_to_peer(letter));
                if let Some(document) = news.document {
                    self.apply_document(&document);
                }
                Ok(())
            }
            Err(error) => {
                if matches!(error, RaftError::Io(_) | RaftError::Protocol(_)) {
                    self.warn(&format!("raft: {error}; no further part is taken"));
                    self.cluster = None;
                }
                Err(error)
            }
        }
    }

    fn send_to_peer(&mut self, letter: raft::OutgoingMessage) {
        let Some(agreement) = &self.cluster else {
            return;
        };
        let Some(at) = agreement
            .peers
            .iter()
            .position(|other| other.id == letter.to)
        else {
            return;
        };
        let (address, known) = (agreement.peers[at].address, agreement.peers[at].connection);
        let head = format!(
            "POST /raft HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            agreement.secret,
            letter.bytes.len()
        );
        let key = match known {
            Some(key) => key,
            None => match self.connect(address, Role::ClusterPeer(at)) {
                Ok(key) => key,
                Err(_) => return,
            },
        };
        if let Some(agreement) = &mut self.cluster {
            agreement.peers[at].connection = Some(key);
        }
        // Guards the memory where a member takes nothing in: the protocol bears the loss of messages.
        if self
            .connections
            .get(key)
            .is_some_and(|c| c.output.len() < 4 * self.limits.max_buffered_body_bytes)
        {
            self.queue_output(key, head.as_bytes());
            self.queue_output(key, &letter.bytes);
        }
    }

    /// Other members' answers say nothing that the protocol's own messages don't.
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

    pub(super) fn handle_peer_lost(&mut self, at: usize) {
        if let Some(agreement) = &mut self.cluster {
            agreement.peers[at].connection = None;
        }
    }

    /// A request at the members' own address.
    pub(super) fn read_cluster_request(&mut self, key: ConnectionKey, request: &Request) {
        let Some(agreement) = &mut self.cluster else {
            return self.respond(key, 503, &[], b"");
        };
        let shown = request
            .headers
            .get("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        if !shown.is_some_and(|shown| constant_time_eq(shown, &agreement.secret)) {
            return self.respond(key, 401, &[("WWW-Authenticate", "Bearer")], b"");
        }
        match (request.method.as_str(), request.target.as_str()) {
            ("POST", "/raft") => {
                let stepped = agreement.member.receive(&request.body);
                let status = if self.apply_raft_result(stepped).is_ok() {
                    200
                } else {
                    400
                };
                self.respond(key, status, &[], b"");
            }
            ("GET", "/configuration") => {
                let (document, index) = agreement.member.document();
                let (document, tag) = (document.to_vec(), format!("\"{index}\""));
                self.respond(
                    key,
                    200,
                    &[("Content-Type", "application/json"), ("ETag", &tag)],
                    &document,
                );
            }
            ("PUT", "/configuration") => {
                if let Err(error) = config::parse_callers(&request.body, &self.platform.names) {
                    return self.respond(key, 400, &[], error.to_string().as_bytes());
                }
                let stepped = agreement.member.propose(&request.body);
                match self.apply_raft_result(stepped) {
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

    fn redirect_to_leader(&mut self, key: ConnectionKey, leader: u64) {
        let others = self
            .cluster
            .as_ref()
            .map_or(&[][..], |agreement| &agreement.peers);
        let place = others.iter().find(|other| other.id == leader);
        match place.map(|other| format!("http://{}/configuration", other.address)) {
            Some(place) => self.respond(key, 307, &[("Location", &place)], b""),
            None => self.respond_retry_later(key, 503, self.limits.default_retry_after, &[], b""),
        }
    }

    /// The members agree on this: from now on it holds here too.
    fn apply_document(&mut self, document: &[u8]) {
        match config::parse_callers(document, &self.platform.names) {
            Ok(Some(callers)) => {
                self.log(&format!(
                    "configuration agreed on: {} callers",
                    callers.len()
                ));
                if let Some(tokens) = &mut self.introspection {
                    tokens.set_callers(callers);
                }
            }
            Ok(None) => self.log("configuration agreed on: callers as before"),
            // Other members may know plans that this one does not.
            Err(error) => self.warn(&format!("configuration not taken: {error}")),
        }
    }
}
