//! A disk that is full, or that fails for a while: writes are rejected, kept, and done once they
//! are accepted again.

use test_case::test_case;

use super::*;
use crate::disk::write_queue::{WriteQueue, WriterEvent};

fn said(heard: Vec<WriterEvent>) -> Vec<String> {
    let said = heard.into_iter().map(|heard| match heard {
        WriterEvent::Written(number) => number.to_string(),
        WriterEvent::WritesRejected(why) => format!("refused: {why:#}"),
        WriterEvent::WritesResumed => "taken".to_string(),
        WriterEvent::Failed(why) => panic!("{why:#}"),
    });
    said.collect()
}

fn fail(folder: &Path, fails: Option<(usize, ErrorKind)>) {
    tapes().get_mut(folder).unwrap().fails = fails;
}

#[test_case(ErrorKind::StorageFull; "no room")]
#[test_case(ErrorKind::Other; "a fault")]
fn rejected_writes_are_queued_and_complete_later(kind: ErrorKind) {
    for left in 0.. {
        let folder = tempfile::tempdir().unwrap();
        let mut opened = open(folder.path(), true).unwrap();
        let first = [rows("s", 1), rows("t", 1)].concat();
        opened.store.commit(&first).unwrap();
        watch(folder.path());
        fail(folder.path(), Some((left, kind)));
        let mut desk = WriteQueue::new(opened.store);
        desk.enqueue((1, rows("s", 2)));
        desk.enqueue((2, rows("u", 1)));
        let heard = said(desk.commit_pending());
        if heard == ["1", "2"] {
            assert!(left >= 5, "{left}");
            return;
        }
        assert!(
            heard.len() == 1 && heard[0].contains("refused: disk: "),
            "{heard:?}"
        );
        // Power is lost now: either all of it is there, or nothing.
        let whole = [first.clone(), rows("s", 2), rows("u", 1)];
        let lost = open(lay(&files(folder.path())).path(), false).unwrap();
        assert!(
            lost.quarantined.is_none()
                && [after(&whole[..1]), after(&whole)].contains(&held(&lost)),
            "{left}"
        );
        // Reported once; later writes wait too.
        desk.enqueue((3, rows("s", 3)));
        assert_eq!(said(desk.commit_pending()), [""; 0]);
        fail(folder.path(), None);
        assert_eq!(said(desk.commit_pending()), ["taken", "1", "2", "3"]);
        desk.enqueue((4, rows("v", 1)));
        assert_eq!(said(desk.commit_pending()), ["4"]);
        drop(desk);
        let opened = open(folder.path(), false).unwrap();
        assert_eq!(opened.quarantined, None);
        assert_eq!(
            held(&opened),
            after(&[whole.concat(), rows("s", 3), rows("v", 1)])
        );
    }
}

#[test]
fn queue_of_rejected_writes_is_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let opened = open(folder.path(), true).unwrap();
    watch(folder.path());
    fail(folder.path(), Some((0, ErrorKind::StorageFull)));
    let mut desk = WriteQueue::new(opened.store);
    for ver in 1..=300 {
        desk.enqueue((ver, rows("s", ver)));
        desk.commit_pending();
    }
    assert_eq!(desk.pending_records(), 2);
    fail(folder.path(), None);
    assert_eq!(desk.commit_pending().len(), 301);
    drop(desk);
    assert_eq!(
        held(&open(folder.path(), false).unwrap()),
        after(&[rows("s", 300)])
    );
}

#[test]
fn start_on_a_full_disk_fails_without_damage() {
    let folder = tempfile::tempdir().unwrap();
    open(folder.path(), true)
        .unwrap()
        .store
        .commit(&rows("s", 1))
        .unwrap();
    watch(folder.path());
    fail(folder.path(), Some((0, ErrorKind::StorageFull)));
    let why = open(folder.path(), false).err().unwrap();
    assert!(format!("{why:#}").contains("disk: "), "{why:#}");
    fail(folder.path(), None);
    let opened = open(folder.path(), false).unwrap();
    assert!(opened.quarantined.is_none() && held(&opened) == after(&[rows("s", 1)]));
}
