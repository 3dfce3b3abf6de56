use quickcheck::{Gen, QuickCheck, TestResult};
use slotmap::SlotMap;

use super::*;

fn read(line: &[u8]) -> Result<Option<OperatorCommand>, CommandError> {
    OperatorCommand::parse(line, &Limits::default())
}

#[test]
fn calls_are_read_with_either_end_of_line_and_any_blanks() {
    for (line, call) in [
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
        assert_eq!(read(line.as_bytes()), Ok(Some(call)), "{line:?}");
    }
}

#[test]
fn what_is_no_call_is_named() {
    let long = [b"disable-server ".as_slice(), &[b'x'; 2_000]].concat();
    for (line, fault) in [
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
        max_operator_connections: 2,
        operator_idle_timeout: 100,
        ..Limits::default()
    };
    let mut keys = SlotMap::<ConnectionKey, ()>::with_key();
    let [a, b, c] = [(); 3].map(|()| keys.insert(()));
    let mut callers = OperatorConnections::default();
    assert_eq!(
        (
            callers.insert(a, 0, &limits),
            callers.insert(b, 50, &limits)
        ),
        (None, None)
    );
    assert_eq!(callers.first_timed_out(99, &limits), None);
    assert_eq!(callers.first_timed_out(100, &limits), Some(a));
    assert_eq!(callers.insert(c, 60, &limits), Some(a));
    callers.remove(b);
    assert_eq!(
        (
            callers.first_timed_out(159, &limits),
            callers.first_timed_out(160, &limits)
        ),
        (None, Some(c))
    );
    callers.remove(c);
    assert_eq!(callers.first_timed_out(160, &limits), None);
}
