//! Configuration replicated among a few limiters by Raft: one JSON document, always replaced as a whole.
//!
//! [`Member`] runs the protocol of the `raft` crate; [`journal`] persists its log and vote. The host sends the messages
//! and calls the ticks; there is no network I/O here.

pub mod journal;

use std::fmt;
use std::io;
use std::path::Path;

use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message};
use raft::storage::MemStorage;
use raft::{RawNode, StateRole};

use journal::Journal;

/// Ticks without a leader before an election.
const ELECTION_TICKS: usize = 10;
/// Ticks between a leader's heartbeats.
const HEARTBEAT_TICKS: usize = 2;
/// Maximum size of the entries in one message: the message with its framing must fit into the largest HTTP body that is
/// accepted.
const MAX_MESSAGE_ENTRY_BYTES: u64 = 24 * 1024;
/// Maximum size of a document.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;
/// The journal is never compacted; a proposal that would make it larger than this is rejected.
const MAX_JOURNAL_BYTES: u64 = 16 * 1024 * 1024;

/// Why an operation of a member failed.
#[derive(Debug)]
pub enum RaftError {
    /// The journal or its folder cannot be read or written.
    Io(io::Error),
    /// An error of the `raft` crate.
    Protocol(raft::Error),
    /// Bytes that are not a Raft message, or a message that is not addressed to this member by another one.
    BadMessage,
    /// The document is longer than [`MAX_DOCUMENT_BYTES`], or is not a JSON object.
    BadDocument,
    /// The journal has reached its maximum size.
    Full,
    /// This member is not the leader; the id of the leader, if it is known.
    NotLeader(Option<u64>),
}

impl fmt::Display for RaftError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RaftError::Io(error) => write!(f, "journal: {error}"),
            RaftError::Protocol(error) => write!(f, "protocol: {error}"),
            RaftError::BadMessage => f.write_str("bad message"),
            RaftError::BadDocument => f.write_str("the document is too long or no JSON object"),
            RaftError::Full => f.write_str("the journal has no room"),
            RaftError::NotLeader(Some(leader)) => write!(f, "member {leader} leads"),
            RaftError::NotLeader(None) => f.write_str("no leader is known"),
        }
    }
}

impl std::error::Error for RaftError {}

impl From<io::Error> for RaftError {
    fn from(error: io::Error) -> RaftError {
        RaftError::Io(error)
    }
}

impl From<raft::Error> for RaftError {
    fn from(error: raft::Error) -> RaftError {
        RaftError::Protocol(error)
    }
}

/// A message to another member.
#[derive(Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Id of the receiving member.
    pub to: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What the host must act on after a step of the protocol.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Messages to send. The entries and votes that they acknowledge are on disk.
    pub messages: Vec<OutgoingMessage>,
    /// The new document, if one was committed.
    pub document: Option<Vec<u8>>,
}

/// A member of the Raft cluster.
pub struct Member {
    id: u64,
    node: RawNode<MemStorage>,
    journal: Journal,
    document: Vec<u8>,
    document_index: u64,
}

impl Member {
    /// Opens a member whose journal is in `folder`. `members` holds the ids of all members, including its own.
    ///
    /// # Errors
    /// The journal can't be opened, or the protocol rejects its content.
    pub fn open(id: u64, members: &[u64], folder: &Path) -> Result<Member, RaftError> {
        let store = MemStorage::new_with_conf_state((members.to_vec(), vec![]));
        let journal = Journal::open(folder, &store)?;
        let mut sorted = members.to_vec();
        sorted.sort_unstable();
        let rank = sorted.iter().position(|member| *member == id).unwrap_or(0);
        // Each member has an election time-out of its own instead of a random one: this avoids split votes and makes test
        // runs reproducible.
        let election_timeout_ticks = ELECTION_TICKS + 3 * rank;
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            min_election_tick: election_timeout_ticks,
            max_election_tick: election_timeout_ticks + 1,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: MAX_MESSAGE_ENTRY_BYTES,
            check_quorum: true,
            pre_vote: true,
            ..raft::Config::default()
        };
        let node = RawNode::new(
            &config,
            store,
            &slog::Logger::root(slog::Discard, slog::o!()),
        )?;
        Ok(Member {
            id,
            node,
            journal,
            document: b"{}".to_vec(),
            document_index: 0,
        })
    }

    /// Advances the protocol's clock by one tick.
    ///
    /// # Errors
    /// The journal can't be written, or the protocol fails.
    pub fn tick(&mut self) -> Result<StepOutput, RaftError> {
        self.node.tick();
        self.process_ready()
    }

    /// Handles a message of another member.
    ///
    /// # Errors
    /// The message is not valid for this member, the journal can't be written, or the protocol fails.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<StepOutput, RaftError> {
        let message = Message::parse_from_bytes(bytes).map_err(|_| RaftError::BadMessage)?;
        let is_member = self.node.raft.prs().get(message.from).is_some();
        if message.to != self.id || message.from == self.id || !is_member {
            return Err(RaftError::BadMessage);
        }
        match self.node.step(message) {
            // An outdated message is not an error of the sender.
            Ok(()) | Err(raft::Error::ProposalDropped | raft::Error::StepPeerNotFound) => {
                self.process_ready()
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Proposes a document. It takes effect once it is committed.
    ///
    /// # Errors
    /// This member is not the leader, the document is invalid, or the journal is full or can't be written.
    pub fn propose(&mut self, document: &[u8]) -> Result<StepOutput, RaftError> {
        if self.node.raft.state != StateRole::Leader {
            return Err(RaftError::NotLeader(
                Some(self.node.raft.leader_id).filter(|id| *id != 0),
            ));
        }
        let parsed = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(document);
        if document.len() > MAX_DOCUMENT_BYTES || parsed.is_err() {
            return Err(RaftError::BadDocument);
        }
        if self.journal.length_bytes() + document.len() as u64 > MAX_JOURNAL_BYTES {
            return Err(RaftError::Full);
        }
        self.node.propose(vec![], document.to_vec())?;
        self.process_ready()
    }

    /// The committed document, and the index of its entry in the log.
    pub fn document(&self) -> (&[u8], u64) {
        (&self.document, self.document_index)
    }

    /// Whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    fn apply(&mut self, entries: Vec<Entry>, output: &mut StepOutput) {
        for entry in entries {
            // A leader begins its term with an empty entry.
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                self.document = entry.data.to_vec();
                self.document_index = entry.index;
                output.document = Some(self.document.clone());
            }
        }
    }

    /// Processes the protocol's pending output: persists entries and votes before the messages that acknowledge them are
    /// returned for sending.
    fn process_ready(&mut self) -> Result<StepOutput, RaftError> {
        let mut output = StepOutput::default();
        let mut messages = Vec::new();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            messages.extend(ready.take_messages());
            self.apply(ready.take_committed_entries(), &mut output);
            self.node.mut_store().wl().append(ready.entries())?;
            if let Some(state) = ready.hs() {
                self.node.mut_store().wl().set_hardstate(state.clone());
            }
            // Otherwise the member could vote twice in a term, or lose an acknowledged entry, after a restart.
            self.journal.append(ready.entries(), ready.hs())?;
            messages.extend(ready.take_persisted_messages());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node
                    .mut_store()
                    .wl()
                    .mut_hard_state()
                    .set_commit(commit);
            }
            messages.extend(light.take_messages());
            self.apply(light.take_committed_entries(), &mut output);
            self.node.advance_apply();
        }
        for message in messages {
            let bytes = message
                .write_to_bytes()
                .map_err(|_| RaftError::BadMessage)?;
            output.messages.push(OutgoingMessage {
                to: message.to,
                bytes,
            });
        }
        Ok(output)
    }
}

#[cfg(test)]
mod tests;
