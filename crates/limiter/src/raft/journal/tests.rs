use super::*;
use raft::storage::Storage;

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        data: format!("e{index}").into_bytes().into(),
        ..Entry::default()
    }
}

#[test]
fn a_journal_truncated_at_any_byte_opens_with_the_complete_records_before() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("raft.journal");
    let mut journal = Journal::open(folder.path(), &MemStorage::new()).unwrap();
    let mut record_ends = vec![0];
    for index in 1..=3 {
        let state = HardState {
            term: index,
            vote: 2,
            ..HardState::default()
        };
        journal.append(&[entry(index, 1)], Some(&state)).unwrap();
        record_ends.push(journal.length_bytes());
    }
    let complete = fs::read(&path).unwrap();
    for cut in 0..=complete.len() {
        fs::write(&path, &complete[..cut]).unwrap();
        let store = MemStorage::new();
        Journal::open(folder.path(), &store).unwrap();
        let records = record_ends.iter().filter(|end| **end <= cut as u64).count() as u64 - 1;
        let last = store.last_index().unwrap();
        assert!(
            last == records || last == records + 1,
            "cut at {cut}: {last}"
        );
        assert_eq!(store.initial_state().unwrap().hard_state.term, records);
    }
}

#[test]
fn an_entry_of_a_later_term_replaces_an_uncommitted_one() {
    let folder = tempfile::tempdir().unwrap();
    let mut journal = Journal::open(folder.path(), &MemStorage::new()).unwrap();
    journal
        .append(&[entry(1, 1), entry(2, 1), entry(3, 1)], None)
        .unwrap();
    journal.append(&[entry(2, 2)], None).unwrap();
    let store = MemStorage::new();
    Journal::open(folder.path(), &store).unwrap();
    assert_eq!(
        (store.last_index().unwrap(), store.term(2).unwrap()),
        (2, 2)
    );
}
