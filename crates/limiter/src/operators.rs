//! The operators' address, without any input or output: a line is read as a call, and who may be calling is bounded.

use std::collections::VecDeque;
use std::fmt;

use streamarch::Micros;

use crate::limits::Limits;
use crate::slots::ConnectionKey;

/// What operators ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
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
pub enum Fault {
    /// Longer than any call.
    TooLong,
    /// Not printable ASCII.
    NotText,
    /// Nothing in it.
    Empty,
    /// No such call.
    Unknown,
    /// An argument is missing.
    Missing,
    /// More arguments than the call has.
    Superfluous,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::TooLong => "the line is too long",
            Fault::NotText => "the line is no text",
            Fault::Empty => "the line is empty",
            Fault::Unknown => {
                "no such call: ready, disable-server ID, enable-server ID, drain, resume"
            }
            Fault::Missing => "the server's id is missing",
            Fault::Superfluous => "too many words",
        })
    }
}

impl std::error::Error for Fault {}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Call::Ready => f.write_str("ready"),
            Call::DisableServer(id) => write!(f, "disable-server {id}"),
            Call::EnableServer(id) => write!(f, "enable-server {id}"),
            Call::Drain => f.write_str("drain"),
            Call::Resume => f.write_str("resume"),
        }
    }
}

impl Call {
    /// The call in what has come on a connection, once its line is whole. What follows the line is passed over.
    pub fn read(bytes: &[u8], limits: &Limits) -> Result<Option<Call>, Fault> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        if end.unwrap_or(bytes.len()) > limits.operator_line {
            return Err(Fault::TooLong);
        }
        let Some(end) = end else { return Ok(None) };
        let line = bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]);
        // Guards the log as well: a name is shown there as it was given.
        let text = |byte: &u8| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t');
        let line = std::str::from_utf8(line)
            .ok()
            .filter(|line| line.bytes().all(|byte| text(&byte)));
        let mut words = line.ok_or(Fault::NotText)?.split_ascii_whitespace();
        let name = words.next().ok_or(Fault::Empty)?;
        let mut id = || words.next().map(str::to_string).ok_or(Fault::Missing);
        let call = match name {
            "ready" => Call::Ready,
            "drain" => Call::Drain,
            "resume" => Call::Resume,
            "disable-server" => Call::DisableServer(id()?),
            "enable-server" => Call::EnableServer(id()?),
            _ => return Err(Fault::Unknown),
        };
        if words.next().is_some() {
            Err(Fault::Superfluous)
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
pub struct Callers {
    known: VecDeque<(ConnectionKey, Micros)>,
}

impl Callers {
    /// One came. Gives who is to go for it.
    pub fn came(
        &mut self,
        key: ConnectionKey,
        now: Micros,
        limits: &Limits,
    ) -> Option<ConnectionKey> {
        self.known.push_back((key, now));
        let full = self.known.len() > limits.operator_connections;
        full.then(|| self.known.pop_front())
            .flatten()
            .map(|(oldest, _)| oldest)
    }

    /// One is gone.
    pub fn left(&mut self, key: ConnectionKey) {
        self.known.retain(|(known, _)| *known != key);
    }

    /// The earliest one whose time is up.
    pub fn overdue(&self, now: Micros, limits: &Limits) -> Option<ConnectionKey> {
        self.known
            .front()
            .filter(|(_, since)| *since + limits.operator_wait <= now)
            .map(|(key, _)| *key)
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck, TestResult};
    use slotmap::SlotMap;

    use super::*;

    fn read(line: &[u8]) -> Result<Option<Call>, Fault> {
        Call::read(line, &Limits::default())
    }

    #[test]
    fn calls_are_read_with_either_end_of_line_and_any_blanks() {
        for (line, call) in [
            ("ready\n", Call::Ready),
            ("ready\r\n", Call::Ready),
            (" drain \n", Call::Drain),
            ("resume\nready\n", Call::Resume),
            (
                "disable-server s-5be2a07c\r\n",
                Call::DisableServer("s-5be2a07c".into()),
            ),
            ("enable-server\t s-1\n", Call::EnableServer("s-1".into())),
        ] {
            assert_eq!(read(line.as_bytes()), Ok(Some(call)), "{line:?}");
        }
    }

    #[test]
    fn what_is_no_call_is_named() {
        let long = [b"disable-server ".as_slice(), &[b'x'; 2_000]].concat();
        for (line, fault) in [
            (b"\n".as_slice(), Fault::Empty),
            (b" \r\n", Fault::Empty),
            (b"Ready\n", Fault::Unknown),
            (b"show\n", Fault::Unknown),
            (b"disable-server\n", Fault::Missing),
            (b"disable-server a b\n", Fault::Superfluous),
            (b"drain now\n", Fault::Superfluous),
            (b"ready\0\n", Fault::NotText),
            (b"disable-server \xff\n", Fault::NotText),
            (b"disable-server \x1b[2J\n", Fault::NotText),
            (&long, Fault::TooLong),
        ] {
            assert_eq!(read(line), Err(fault), "{line:?}");
        }
    }

    /// Whatever comes, in whatever pieces: a call is read exactly where its whole line is there, and the same one.
    #[test]
    fn random_bytes_and_splits_are_read_alike() {
        let check = |bytes: Vec<u8>, plain: bool, cut: usize| {
            let words = [
                "ready",
                "drain",
                "enable-server",
                " ",
                "\r",
                "\n",
                "s-1",
                "x",
                "\t",
                "\u{e9}",
            ];
            let text: Vec<u8> = bytes
                .iter()
                .flat_map(|b| words[usize::from(*b) % words.len()].bytes())
                .collect();
            let line = if plain { text } else { bytes };
            let whole = read(&line);
            let part = read(&line[..cut % (line.len() + 1)]);
            match (&whole, &part) {
                (_, Ok(None)) => TestResult::passed(),
                // Only a line that was whole is read, and what came behind it changes nothing.
                _ => TestResult::from_bool(whole == part),
            }
        };
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, 7))
            .tests(2_000)
            .quickcheck(check as fn(Vec<u8>, bool, usize) -> TestResult);
    }

    #[test]
    fn the_oldest_caller_goes_for_a_new_one_and_none_stays_for_ever() {
        let limits = Limits {
            operator_connections: 2,
            operator_wait: 100,
            ..Limits::default()
        };
        let mut keys = SlotMap::<ConnectionKey, ()>::with_key();
        let [a, b, c] = [(); 3].map(|()| keys.insert(()));
        let mut callers = Callers::default();
        assert_eq!(
            (callers.came(a, 0, &limits), callers.came(b, 50, &limits)),
            (None, None)
        );
        assert_eq!(callers.overdue(99, &limits), None);
        assert_eq!(callers.overdue(100, &limits), Some(a));
        assert_eq!(callers.came(c, 60, &limits), Some(a));
        callers.left(b);
        assert_eq!(
            (callers.overdue(159, &limits), callers.overdue(160, &limits)),
            (None, Some(c))
        );
        callers.left(c);
        assert_eq!(callers.overdue(160, &limits), None);
    }
}
