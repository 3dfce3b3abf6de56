//! Configuration that a few instances of ours agree on by Raft: one JSON document, replaced as a whole.
//!
//! [`Member`] is the protocol without any input or output, on the `raft` crate; [`journal`] keeps its log and vote.
//! Messages, ticks and the wire are the host's.

pub mod journal;

use std::fmt;
use std::io;
use std::path::Path;

use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message};
use raft::storage::MemStorage;
use raft::{RawNode, StateRole};

use journal::Journal;

/// Ticks without a leader before an election, and between a leader's heartbeats.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Bytes of entries in one message: with its frame it must fit a body.
const MESSAGE_BYTES: u64 = 24 * 1024;
/// Longest document.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024;
/// The journal is not compacted; a proposal that would let it grow beyond this is turned down.
const JOURNAL_BYTES: u64 = 16 * 1024 * 1024;

/// Why a member cannot do what is asked.
#[derive(Debug)]
pub enum RaftError {
    /// The folder or the journal in it.
    Io(io::Error),
    /// The protocol's own.
    Protocol(raft::Error),
    /// Bytes that are no message, or one that is not for this member.
    BadMessage,
    /// The document is too long, or is no JSON object.
    BadDocument,
    /// The journal has no room.
    Full,
    /// Another member leads, if any is known: ask that one.
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
    /// Which member.
    pub to: u64,
    /// The message as bytes.
    pub bytes: Vec<u8>,
}

/// What has come of the last steps.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// To be sent; all that they promise is on disk.
    pub messages: Vec<OutgoingMessage>,
    /// The document, if it has changed.
    pub document: Option<Vec<u8>>,
}

/// One of the instances that agree.
pub struct Member {
    id: u64,
    node: RawNode<MemStorage>,
    journal: Journal,
    document: Vec<u8>,
    index: u64,
}

impl Member {
    /// A member with its log and vote in `folder`; `members` are all of them, itself included.
    ///
    /// # Errors
    /// The journal can't be opened, or the protocol rejects its content.
    pub fn open(id: u64, members: &[u64], folder: &Path) -> Result<Member, RaftError> {
        let store = MemStorage::new_with_conf_state((members.to_vec(), vec![]));
        let journal = Journal::open(folder, &store)?;
        let mut sorted = members.to_vec();
        sorted.sort_unstable();
        let place = sorted.iter().position(|member| *member == id).unwrap_or(0);
        // Guards against split votes, and has every run of the tests end alike: each waits a time of its own.
        let patience = ELECTION_TICKS + 3 * place;
        let config = raft::Config {
            id,
            election_tick: ELECTION_TICKS,
            min_election_tick: patience,
            max_election_tick: patience + 1,
            heartbeat_tick: HEARTBEAT_TICKS,
            max_size_per_msg: MESSAGE_BYTES,
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
            index: 0,
        })
    }

    /// Time goes on.
    ///
    /// # Errors
    /// The journal can't be written, or the protocol fails.
    pub fn tick(&mut self) -> Result<StepOutput, RaftError> {
        self.node.tick();
        self.news()
    }

    /// A message came.
    ///
    /// # Errors
    /// The message is not valid for this member, the journal can't be written, or the protocol fails.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<StepOutput, RaftError> {
        let message = Message::parse_from_bytes(bytes).map_err(|_| RaftError::BadMessage)?;
        let known = self.node.raft.prs().get(message.from).is_some();
        if message.to != self.id || message.from == self.id || !known {
            return Err(RaftError::BadMessage);
        }
        match self.node.step(message) {
            // One that is out of date is no fault of the sender's.
            Ok(()) | Err(raft::Error::ProposalDropped | raft::Error::StepPeerNotFound) => {
                self.news()
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Proposes a document; it holds once it is committed.
    ///
    /// # Errors
    /// This member does not lead, the document is invalid, or the journal is full or can't be written.
    pub fn propose(&mut self, document: &[u8]) -> Result<StepOutput, RaftError> {
        if self.node.raft.state != StateRole::Leader {
            return Err(RaftError::NotLeader(
                Some(self.node.raft.leader_id).filter(|id| *id != 0),
            ));
        }
        let object = serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(document);
        if document.len() > MAX_DOCUMENT_BYTES || object.is_err() {
            return Err(RaftError::BadDocument);
        }
        if self.journal.length_bytes() + document.len() as u64 > JOURNAL_BYTES {
            return Err(RaftError::Full);
        }
        self.node.propose(vec![], document.to_vec())?;
        self.news()
    }

    /// The committed document, and the place of its entry in the log.
    pub fn document(&self) -> (&[u8], u64) {
        (&self.document, self.index)
    }

    /// This member leads.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    fn apply(&mut self, entries: Vec<Entry>, news: &mut StepOutput) {
        for entry in entries {
            // The first entry of a leader's term is empty.
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.data.is_empty() {
                self.document = entry.data.to_vec();
                self.index = entry.index;
                news.document = Some(self.document.clone());
            }
        }
    }

    /// Takes what the protocol has ready: on disk first, then to the others.
    fn news(&mut self) -> Result<StepOutput, RaftError> {
        let mut news = StepOutput::default();
        let mut messages = Vec::new();
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            messages.extend(ready.take_messages());
            self.apply(ready.take_committed_entries(), &mut news);
            self.node.mut_store().wl().append(ready.entries())?;
            if let Some(state) = ready.hs() {
                self.node.mut_store().wl().set_hardstate(state.clone());
            }
            // Guards against a second vote, or a forgotten entry, after a restart.
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
            self.apply(light.take_committed_entries(), &mut news);
            self.node.advance_apply();
        }
        for message in messages {
            let bytes = message
                .write_to_bytes()
                .map_err(|_| RaftError::BadMessage)?;
            news.messages.push(OutgoingMessage {
                to: message.to,
                bytes,
            });
        }
        Ok(news)
    }
}

#[cfg(test)]
mod tests;
