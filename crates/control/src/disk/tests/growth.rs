//! The size of the files after thousands of changes.

use super::*;
use crate::disk::{CHECKPOINT_BYTES, DATABASE_FILE};

/// The changes that are committed together.
const CHANGES_PER_COMMIT: usize = 40;
/// The greatest size of the file per item of these tests: two records, in pages that are partly
/// empty.
const MAX_BYTES_PER_ITEM: u64 = 1_024;
/// The size of a file without items.
const EMPTY_FILE_BYTES: u64 = 64 * 1_024;

/// The greatest sizes of the file and of its write-ahead log in bytes, after each commit of this
/// many changes of this many items. A fifth of the changes are removals.
fn max_file_sizes(items: u64, changes: u64) -> (u64, u64) {
    let folder = tempfile::tempdir().unwrap();
    let mut store = Store::open(folder.path(), true).unwrap().store;
    let file_bytes = |suffix: &str| {
        std::fs::metadata(folder.path().join(format!("{DATABASE_FILE}{suffix}")))
            .map_or(0, |metadata| metadata.len())
    };
    let (mut max_sizes, mut records) = ((0, 0), Vec::new());
    for change in 0..changes {
        let mut item = item(&format!("item-{:05}", change % items), 1 + change / items);
        item.spec = (change % 5 != 0).then(|| "x".repeat(260));
        let ballot = Ballot {
            round: change,
            ..Ballot::default()
        };
        let register = Register {
            promised_ballot: ballot,
            accepted_value: Some((ballot, item.clone())),
        };
        records.push(Record::Register(item.name.clone(), register));
        records.push(Record::Chosen(ballot, item));
        if records.len() >= 2 * CHANGES_PER_COMMIT || change + 1 == changes {
            store.commit(&records).unwrap();
            records.clear();
            max_sizes = (
                max_sizes.0.max(file_bytes("")),
                max_sizes.1.max(file_bytes("-wal")),
            );
        }
    }
    max_sizes
}

#[test]
fn files_do_not_grow_with_changes() {
    let (few, many) = (max_file_sizes(60, 1_000), max_file_sizes(60, 10_000));
    println!("60 items: {few:?} bytes of file and log after 1000 changes, {many:?} after 10000");
    // The log may exceed the checkpoint threshold by one commit.
    let max_wal_bytes = CHECKPOINT_BYTES + 256 * 1_024;
    assert!(
        many.0 <= EMPTY_FILE_BYTES + 60 * MAX_BYTES_PER_ITEM && many.1 <= max_wal_bytes,
        "{many:?}"
    );
    assert!(few.0 <= many.0 && few.1 <= max_wal_bytes);
}

#[test]
#[ignore = "prints the sizes; run by hand"]
fn files_of_many_items_after_ten_thousand_changes() {
    for items in [60, 1_000, 10_000] {
        let (file_bytes, wal_bytes) = max_file_sizes(items, 10_000);
        println!(
            "{items} items, 10000 changes: file {file_bytes}, write-ahead log {wal_bytes} bytes at most"
        );
        assert!(
            file_bytes <= EMPTY_FILE_BYTES + items * MAX_BYTES_PER_ITEM,
            "{file_bytes}"
        );
    }
}
