//! The format of the Raft journal stays the same byte for byte, because a journal outlives the program version that
//! wrote it.

use limiter::raft::Member;

fn hex_lines(bytes: &[u8]) -> String {
    let lines = bytes
        .chunks(32)
        .map(|line| line.iter().map(|byte| format!("{byte:02x}")).collect());
    lines.collect::<Vec<String>>().join("\n")
}

const DOCUMENT: &[u8] = br#"{"callers":[]}"#;

#[test]
fn journal_bytes_are_stable_and_can_be_read_back() {
    let directory = tempfile::tempdir().unwrap();
    let mut member = Member::open(1, &[1], directory.path()).unwrap();
    for _ in 0..100 {
        if member.is_leader() {
            break;
        }
        member.tick().unwrap();
    }
    member.propose(DOCUMENT).unwrap();
    assert_eq!(member.document().0, DOCUMENT);
    drop(member);
    let journal = std::fs::read(directory.path().join("raft.journal")).unwrap();
    insta::assert_snapshot!("raft-journal", hex_lines(&journal));
    let mut member = Member::open(1, &[1], directory.path()).unwrap();
    for _ in 0..100 {
        member.tick().unwrap();
    }
    assert_eq!(member.document().0, DOCUMENT);
}
