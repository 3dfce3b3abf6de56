//! A disk that is full, or that fails for a while: writes are rejected, stay queued, and complete
//! once the disk accepts them again.

use test_case::test_case;

use super::*;
use crate::disk::write_queue::{WriteQueue, WriterEvent};

/// The events as text: a completed write as its request id.
fn describe(events: Vec<WriterEvent>) -> Vec<String> {
    let descriptions = events.into_iter().map(|event| match event {
        WriterEvent::Written(id) => id.to_string(),
        WriterEvent::WritesRejected(error) => format!("rejected: {error:#}"),
        WriterEvent::WritesResumed => "resumed".to_string(),
        WriterEvent::Failed(error) => panic!("{error:#}"),
    });
    descriptions.collect()
}

/// Sets how many more operations on a folder succeed, and the error of later ones.
fn set_failure(folder: &Path, fail_after: Option<(usize, ErrorKind)>) {
    recordings().get_mut(folder).unwrap().fail_after = fail_after;
}

#[test_case(ErrorKind::StorageFull; "disk full")]
#[test_case(ErrorKind::Other; "I/O error")]
fn rejected_writes_are_queued_and_complete_later(kind: ErrorKind) {
    for successes in 0.. {
        let folder = tempfile::tempdir().unwrap();
        let mut opened = open(folder.path(), true).unwrap();
        let initial_records = [change_records("s", 1), change_records("t", 1)].concat();
        opened.store.commit(&initial_records).unwrap();
        start_recording(folder.path());
        set_failure(folder.path(), Some((successes, kind)));
        let mut queue = WriteQueue::new(opened.store);
        queue.enqueue((1, change_records("s", 2)));
        queue.enqueue((2, change_records("u", 1)));
        let events = describe(queue.commit_pending());
        if events == ["1", "2"] {
            assert!(successes >= 5, "{successes}");
            return;
        }
        assert!(
            events.len() == 1 && events[0].contains("rejected: disk: "),
            "{events:?}"
        );
        // After a loss of power at this point either all of the commit is stored, or nothing.
        let commits = [
            initial_records.clone(),
            change_records("s", 2),
            change_records("u", 1),
        ];
        let reopened = open(write_files(&read_files(folder.path())).path(), false).unwrap();
        assert!(
            reopened.quarantined.is_none()
                && [state_after(&commits[..1]), state_after(&commits)]
                    .contains(&state_of(&reopened)),
            "{successes}"
        );
        // The rejection is reported once; later writes are queued as well.
        queue.enqueue((3, change_records("s", 3)));
        assert_eq!(describe(queue.commit_pending()), [""; 0]);
        set_failure(folder.path(), None);
        assert_eq!(describe(queue.commit_pending()), ["resumed", "1", "2", "3"]);
        queue.enqueue((4, change_records("v", 1)));
        assert_eq!(describe(queue.commit_pending()), ["4"]);
        drop(queue);
        let opened = open(folder.path(), false).unwrap();
        assert_eq!(opened.quarantined, None);
        assert_eq!(
            state_of(&opened),
            state_after(&[
                commits.concat(),
                change_records("s", 3),
                change_records("v", 1)
            ])
        );
    }
}

#[test]
fn queue_of_rejected_writes_is_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let opened = open(folder.path(), true).unwrap();
    start_recording(folder.path());
    set_failure(folder.path(), Some((0, ErrorKind::StorageFull)));
    let mut queue = WriteQueue::new(opened.store);
    for ver in 1..=300 {
        queue.enqueue((ver, change_records("s", ver)));
        queue.commit_pending();
    }
    assert_eq!(queue.pending_records(), 2);
    set_failure(folder.path(), None);
    assert_eq!(queue.commit_pending().len(), 301);
    drop(queue);
    assert_eq!(
        state_of(&open(folder.path(), false).unwrap()),
        state_after(&[change_records("s", 300)])
    );
}

#[test]
fn start_on_a_full_disk_fails_without_damage() {
    let folder = tempfile::tempdir().unwrap();
    open(folder.path(), true)
        .unwrap()
        .store
        .commit(&change_records("s", 1))
        .unwrap();
    start_recording(folder.path());
    set_failure(folder.path(), Some((0, ErrorKind::StorageFull)));
    let error = open(folder.path(), false).err().unwrap();
    assert!(format!("{error:#}").contains("disk: "), "{error:#}");
    set_failure(folder.path(), None);
    let opened = open(folder.path(), false).unwrap();
    assert!(
        opened.quarantined.is_none() && state_of(&opened) == state_after(&[change_records("s", 1)])
    );
}
