//! The operators' socket, without any I/O: parsing of command lines, and the limits on operators' connections.

use std::collections::VecDeque;
use std::fmt;

use streamarch::Micros;

use crate::limits::Limits;
use crate::slots::ConnectionKey;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Reports whether this process accepts clients.
    Ready,
    /// Disables a server, named by its id.
    DisableServer(String),
    /// Enables a server again, named by its id.
    EnableServer(String),
    /// Starts to drain: clients are sent away.
    Drain,
    /// Ends the drain.
    Resume,
}

/// Why a line is not a valid command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// Longer than `max_operator_line_bytes`.
    TooLong,
    /// Not printable ASCII.
    NotText,
    /// Blank.
    Empty,
    /// An unknown command.
    Unknown,
    /// The server's id is missing.
    MissingArgument,
    /// More arguments than the command takes.
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
    /// Parses the first line of a connection's input; `None` while the line is incomplete. Anything after it is ignored.
    ///
    /// # Errors
    /// The line is not a valid command.
    pub fn parse(bytes: &[u8], limits: &Limits) -> Result<Option<OperatorCommand>, CommandError> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        if line_end.unwrap_or(bytes.len()) > limits.max_operator_line_bytes {
            return Err(CommandError::TooLong);
        }
        let Some(end) = line_end else { return Ok(None) };
        let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
        // Also protects the log, where a server's id is written as it was given.
        let is_text = |byte: &u8| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t');
        let line = std::str::from_utf8(line)
            .ok()
            .filter(|line| line.bytes().all(|byte| is_text(&byte)));
        let mut words = line.ok_or(CommandError::NotText)?.split_ascii_whitespace();
        let name = words.next().ok_or(CommandError::Empty)?;
        let mut id = || {
            words
                .next()
                .map(str::to_string)
                .ok_or(CommandError::MissingArgument)
        };
        let command = match name {
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
            Ok(Some(command))
        }
    }
}

/// The open connections of operators, oldest first.
///
/// Their duration and number are bounded, because an operator's client may never finish its command. When the bound is
/// reached, a new connection replaces the oldest one; clients' connections are never closed for it.
#[derive(Debug, Default)]
pub struct OperatorConnections {
    opened: VecDeque<(ConnectionKey, Micros)>,
}

impl OperatorConnections {
    /// Adds a connection. Returns the connection to close if the bound is exceeded.
    pub fn insert(
        &mut self,
        key: ConnectionKey,
        now: Micros,
        limits: &Limits,
    ) -> Option<ConnectionKey> {
        self.opened.push_back((key, now));
        let over_limit = self.opened.len() > limits.max_operator_connections;
        over_limit
            .then(|| self.opened.pop_front())
            .flatten()
            .map(|(oldest, _)| oldest)
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.opened.retain(|(open, _)| *open != key);
    }

    /// The oldest connection, if it has been open for `operator_idle_timeout` or longer.
    pub fn first_timed_out(&self, now: Micros, limits: &Limits) -> Option<ConnectionKey> {
        self.opened
            .front()
            .filter(|(_, opened_at)| *opened_at + limits.operator_idle_timeout <= now)
            .map(|(key, _)| *key)
    }
}

#[cfg(test)]
mod tests;
