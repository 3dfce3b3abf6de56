//! The queue of writes, and the thread that commits them. A rejected write is retried together with everything
//! that is queued: no write is dropped, and the event loop is notified when the disk starts to reject writes and when it
//! accepts them again.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use protocol::items::ItemName;

use super::{Store, is_corruption};
use crate::core::Record;
use crate::limits;

/// The greatest number of writes that go into one commit.
const MAX_GROUP_COMMIT: usize = 64;
/// The stack size of the writer thread.
const STACK_BYTES: usize = 512 * 1024;

/// The records to be written under a request id.
pub type WriteRequest = (u64, Vec<Record>);

/// What the writer thread reports to the event loop.
#[derive(Debug)]
pub enum WriterEvent {
    /// The write with this request id is on disk. Writes are reported in the order in which they were requested.
    Written(u64),
    /// The disk rejects writes, for this reason. What was requested is still queued.
    WritesRejected(eyre::Report),
    /// The disk accepts writes again.
    WritesResumed,
    /// The database is corrupt; the thread has ended.
    Failed(eyre::Report),
}

/// The identity of a record: a later one with the same key replaces it.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum RecordKey {
    Metadata,
    Register(ItemName),
    Chosen(ItemName),
}

fn record_key(record: &Record) -> RecordKey {
    match record {
        Record::Metadata(_) => RecordKey::Metadata,
        Record::Register(name, _) => RecordKey::Register(name.clone()),
        Record::Chosen(_, item) => RecordKey::Chosen(item.name.clone()),
    }
}

/// A store and the writes that are queued for it.
pub(super) struct WriteQueue {
    store: Store,
    request_ids: Vec<u64>,
    /// Only the newest record of each key: a disk that stays full must not exhaust the memory.
    records: BTreeMap<RecordKey, Record>,
    /// The last commit was rejected.
    is_rejecting: bool,
}

impl WriteQueue {
    pub(super) fn new(store: Store) -> WriteQueue {
        WriteQueue {
            store,
            request_ids: Vec::new(),
            records: BTreeMap::new(),
            is_rejecting: false,
        }
    }

    pub(super) fn enqueue(&mut self, (id, records): WriteRequest) {
        self.request_ids.push(id);
        self.records.extend(
            records
                .into_iter()
                .map(|record| (record_key(&record), record)),
        );
    }

    /// The number of records that are queued.
    #[cfg(test)]
    pub(super) fn pending_records(&self) -> usize {
        self.records.len()
    }

    /// Tries to write everything that is queued in one commit. Repeated rejections are reported once.
    pub(super) fn commit_pending(&mut self) -> Vec<WriterEvent> {
        match self.store.commit(self.records.values()) {
            Ok(()) => {
                self.records.clear();
                let resumed =
                    std::mem::take(&mut self.is_rejecting).then_some(WriterEvent::WritesResumed);
                resumed
                    .into_iter()
                    .chain(self.request_ids.drain(..).map(WriterEvent::Written))
                    .collect()
            }
            Err(error) if is_corruption(&error) => vec![WriterEvent::Failed(error)],
            Err(_) if self.is_rejecting => Vec::new(),
            Err(error) => {
                self.is_rejecting = true;
                vec![WriterEvent::WritesRejected(error)]
            }
        }
    }
}

/// Starts the thread that owns the store. It reports to `events`.
///
/// # Errors
/// No thread can be started.
pub fn spawn(
    store: Store,
    events: calloop::channel::Sender<WriterEvent>,
) -> eyre::Result<Sender<WriteRequest>> {
    let (requests, queue) = mpsc::channel();
    let thread = thread::Builder::new()
        .name("disk".to_string())
        .stack_size(STACK_BYTES);
    thread
        .spawn(move || run_writer(WriteQueue::new(store), &queue, &events))
        .wrap_err("disk: starting the writer thread")?;
    Ok(requests)
}

/// Commits requested writes until the event loop or the store is gone.
fn run_writer(
    mut writes: WriteQueue,
    queue: &Receiver<WriteRequest>,
    events: &calloop::channel::Sender<WriterEvent>,
) {
    loop {
        let mut remaining = MAX_GROUP_COMMIT;
        if writes.is_rejecting {
            // Writes requested until the next attempt are queued, and committed with it.
            let retry_at =
                Instant::now() + Duration::from_micros(limits::DISK_RETRY_INTERVAL as u64);
            loop {
                match queue.recv_timeout(retry_at.saturating_duration_since(Instant::now())) {
                    Ok(request) => writes.enqueue(request),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        } else {
            let Ok(first) = queue.recv() else { return };
            writes.enqueue(first);
            remaining -= 1;
        }
        queue
            .try_iter()
            .take(remaining)
            .for_each(|request| writes.enqueue(request));
        for event in writes.commit_pending() {
            let is_final = matches!(event, WriterEvent::Failed(_));
            if events.send(event).is_err() || is_final {
                return;
            }
        }
    }
}
