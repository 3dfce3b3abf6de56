use quickcheck::{Gen, QuickCheck, TestResult};
use slotmap::SlotMap;

use super::*;

fn parse(line: &[u8]) -> Result<Option<OperatorCommand>, CommandError> {
    OperatorCommand::parse(line, &Limits::default())
}

#[test]
fn commands_are_parsed_with_either_line_ending_and_any_blanks() {
    for (line, command) in [
        ("ready\n", OperatorCommand::Ready),
        ("ready\r\n", OperatorCommand::Ready),
        (" drain \n", OperatorCommand::Drain),
        ("resume\nready\n", OperatorCommand::Resume),
        (
            "disable-server s-5be2a07c\r\n",
            OperatorCommand::DisableServer("s-5be2a07c".into()),
        ),
        (
            "enable-server\t s-1\n",
            OperatorCommand::EnableServer("s-1".into()),
        ),
    ] {
        assert_eq!(parse(line.as_bytes()), Ok(Some(command)), "{line:?}");
    }
}

#[test]
fn invalid_commands_are_rejected_with_their_error() {
    let long = [b"disable-server ".as_slice(), &[b'x'; 2_000]].concat();
    for (line, error) in [
        (b"\n".as_slice(), CommandError::Empty),
        (b" \r\n", CommandError::Empty),
        (b"Ready\n", CommandError::Unknown),
        (b"show\n", CommandError::Unknown),
        (b"disable-server\n", CommandError::MissingArgument),
        (b"disable-server a b\n", CommandError::TooManyArguments),
        (b"drain now\n", CommandError::TooManyArguments),
        (b"ready\0\n", CommandError::NotText),
        (b"disable-server \xff\n", CommandError::NotText),
        (b"disable-server \x1b[2J\n", CommandError::NotText),
        (&long, CommandError::TooLong),
    ] {
        assert_eq!(parse(line), Err(error), "{line:?}");
    }
}

/// For any bytes: a prefix parses either as incomplete or to the same result as the whole input.
#[test]
fn a_prefix_is_incomplete_or_parses_like_the_whole_input() {
    let check = |bytes: Vec<u8>, use_words: bool, cut: usize| {
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
        let line = if use_words { text } else { bytes };
        let whole = parse(&line);
        let prefix = parse(&line[..cut % (line.len() + 1)]);
        match (&whole, &prefix) {
            (_, Ok(None)) => TestResult::passed(),
            // The prefix holds a complete line, and what follows that line must not matter.
            _ => TestResult::from_bool(whole == prefix),
        }
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(2_000)
        .quickcheck(check as fn(Vec<u8>, bool, usize) -> TestResult);
}

#[test]
fn the_oldest_connection_is_replaced_at_the_limit_and_idle_ones_time_out() {
    let limits = Limits {
        max_operator_connections: 2,
        operator_idle_timeout: 100,
        ..Limits::default()
    };
    let mut keys = SlotMap::<ConnectionKey, ()>::with_key();
    let [a, b, c] = [(); 3].map(|()| keys.insert(()));
    let mut connections = OperatorConnections::default();
    assert_eq!(
        (
            connections.insert(a, 0, &limits),
            connections.insert(b, 50, &limits)
        ),
        (None, None)
    );
    assert_eq!(connections.first_timed_out(99, &limits), None);
    assert_eq!(connections.first_timed_out(100, &limits), Some(a));
    assert_eq!(connections.insert(c, 60, &limits), Some(a));
    connections.remove(b);
    assert_eq!(
        (
            connections.first_timed_out(159, &limits),
            connections.first_timed_out(160, &limits)
        ),
        (None, Some(c))
    );
    connections.remove(c);
    assert_eq!(connections.first_timed_out(160, &limits), None);
}
