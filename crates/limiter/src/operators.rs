//! The operators' address, without any input or output: a line is read as a call, and who may be calling is bounded.

use std::collections::VecDeque;
use std::fmt;

use streamarch::Micros;

use crate::limits::Limits;
use crate::slots::ConnectionKey;

/// What operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Whether this process takes clients.
    Ready,
    /// Take a server out.
    DisableServer(String),
    /// Use it again.
    EnableServer(String),
    /// Send clients away.
    Drain,
    /// End of the drain.
    Resume,
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// Longer than any call.
    TooLong,
    /// Not printable ASCII.
    NotText,
    /// Nothing in it.
    Empty,
    /// No such call.
    Unknown,
    /// An argument is missing.
    MissingArgument,
    /// More arguments than the call has.
    TooManyArguments,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandError::TooLong => "the line is too long",
            CommandError::NotText => "the line is no text",
            CommandError::Empty => "the line is empty",
            CommandError::Unknown => {
                "no such call: ready, disable-server ID, enable-server ID, drain, resume"
            }
            CommandError::MissingArgument => "the server's id is missing",
            CommandError::TooManyArguments => "too many words",
        })
    }
}

impl std::error::Error for CommandError {}

impl fmt::Display for OperatorCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorCommand::Ready => f.write_str("ready"),
            OperatorCommand::DisableServer(id) => write!(f, "disable-server {id}"),
            OperatorCommand::EnableServer(id) => write!(f, "enable-server {id}"),
            OperatorCommand::Drain => f.write_str("drain"),
            OperatorCommand::Resume => f.write_str("resume"),
        }
    }
}

impl OperatorCommand {
    /// The call in what has come on a connection, once its line is whole. What follows the line is passed over.
    ///
    /// # Errors
    /// The bytes are no call of an operator.
    pub fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<OperatorCommand>, CommandError> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        if end.unwrap_or(bytes.len()) > limits.max_operator_line_bytes {
            return Err(CommandError::TooLong);
        }
        let Some(end) = end else { return Ok(None) };
        let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
        // Guards the log as well: a name is shown there as it was given.
        let text = |byte: &u8| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t');
        let line = std::str::from_utf8(line)
            .ok()
            .filter(|line| line.bytes().all(|byte| text(&byte)));
        let mut words = line.ok_or(CommandError::NotText)?.split_ascii_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let mut id = || {
            words
                .next()
                .map(str::to_string)
                .ok_or(CommandError::MissingArgument)
        };
        let call = match name {
            "ready" => OperatorCommand::Ready,
            "drain" => OperatorCommand::Drain,
            "resume" => OperatorCommand::Resume,
            "disable-server" => OperatorCommand::DisableServer(id()?),
            "enable-server" => OperatorCommand::EnableServer(id()?),
            _ => return Err(CommandError::Unknown),
        };
        if words.next().is_some() {
            Err(CommandError::TooManyArguments)
        } else {
            Ok(Some(call))
        }
    }
}

/// Who is connected at the operators' address, in the order in which they came.
///
/// Guards against callers that finish no call: they have a bounded time and a bounded number of descriptors, and a
/// caller that comes when all are taken has the oldest one's. Clients' connections are never touched for it.
#[derive(Debug, Default)]
pub struct OperatorConnections {
    known: VecDeque<(ConnectionKey, Micros)>,
}

impl OperatorConnections {
    /// One came. Gives who is to go for it.
    pub fn insert(
        &mut self,
        key: ConnectionKey,
        now: Micros,
        limits: &Limits,
    ) -> Option<ConnectionKey> {
        self.known.push_back((key, now));
        let full = self.known.len() > limits.max_operator_connections;
        full.then(|| self.known.pop_front())
            .flatten()
            .map(|(oldest, _)| oldest)
    }

    /// One is gone.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.known.retain(|(known, _)| *known != key);
    }

    /// The earliest one whose time is up.
    pub fn first_timed_out(&self, now: Micros, limits: &Limits) -> Option<ConnectionKey> {
        self.known
            .front()
            .filter(|(_, since)| *since + limits.operator_idle_timeout <= now)
            .map(|(key, _)| *key)
    }
}

#[cfg(test)]
mod tests;
