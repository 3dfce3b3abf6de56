//! Size of the files after thousands of changes.

use super::*;
use crate::disk::{CHECKPOINT_BYTES, DATABASE_FILE};

/// Changes of one item that are committed together.
const TOGETHER: usize = 40;
/// Bound of the file's bytes for one item of these trials: two rows, in pages that are partly
/// empty.
const AN_ITEM: u64 = 1_024;
/// The pages of a file without items.
const EMPTY: u64 = 64 * 1_024;

/// Most bytes of the file and of its log during this many changes of this many items, a fifth of
/// them removals.
fn most(items: u64, changes: u64) -> (u64, u64) {
    let folder = tempfile::tempdir().unwrap();
    let mut store = Store::open(folder.path(), true).unwrap().store;
    let length = |end: &str| {
        std::fs::metadata(folder.path().join(format!("{DATABASE_FILE}{end}")))
            .map_or(0, |metadata| metadata.len())
    };
    let (mut most, mut rows) = ((0, 0), Vec::new());
    for number in 0..changes {
        let mut item = item(&format!("item-{:05}", number % items), 1 + number / items);
        item.spec = (number % 5 != 0).then(|| "x".repeat(260));
        let ballot = Ballot {
            round: number,
            ..Ballot::default()
        };
        let register = Register {
            promised_ballot: ballot,
            accepted_value: Some((ballot, item.clone())),
        };
        rows.push(Record::Register(item.name.clone(), register));
        rows.push(Record::Chosen(ballot, item));
        if rows.len() >= 2 * TOGETHER || number + 1 == changes {
            store.commit(&rows).unwrap();
            rows.clear();
            most = (most.0.max(length("")), most.1.max(length("-wal")));
        }
    }
    most
}

#[test]
fn files_do_not_grow_with_changes() {
    let (few, many) = (most(60, 1_000), most(60, 10_000));
    println!("60 items: {few:?} bytes of file and log after 1000 changes, {many:?} after 10000");
    // A commit may exceed the length at which the log is truncated.
    let log = CHECKPOINT_BYTES + 256 * 1_024;
    assert!(many.0 <= EMPTY + 60 * AN_ITEM && many.1 <= log, "{many:?}");
    assert!(few.0 <= many.0 && few.1 <= log);
}

#[test]
#[ignore = "prints figures; run by hand"]
fn files_of_many_items_after_ten_thousand_changes() {
    for items in [60, 1_000, 10_000] {
        let (file, log) = most(items, 10_000);
        println!("{items} items, 10000 changes: file {file}, log {log} bytes at the most");
        assert!(file <= EMPTY + items * AN_ITEM, "{file}");
    }
}
