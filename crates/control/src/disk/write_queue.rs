//! The queue of writes, and the thread that works through it. A disk that refuses a write is tried again with all that
//! waits: nothing of it is given up, and the loop hears when it begins and when it is over.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use protocol::items::ItemName;

use super::{Store, is_corruption};
use crate::core::Record;
use crate::limits;

/// Most writes that go into one commit.
const MAX_GROUP_COMMIT: usize = 64;
/// Stack of the thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// What is to be written, under a number.
pub type WriteRequest = (u64, Vec<Record>);

/// What the loop hears of the disk.
#[derive(Debug)]
pub enum WriterEvent {
    /// What was ordered under this number is on disk. Numbers come in their order.
    Written(u64),
    /// The disk refuses writes, and why. What was ordered waits.
    WritesRejected(eyre::Report),
    /// It takes writes again.
    WritesResumed,
    /// It can't be used any more.
    Failed(eyre::Report),
}

/// What row it is: a later one of the same takes its place.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum RecordKey {
    Own,
    Register(ItemName),
    Chosen(ItemName),
}

fn record_key(row: &Record) -> RecordKey {
    match row {
        Record::Metadata(_) => RecordKey::Own,
        Record::Register(name, _) => RecordKey::Register(name.clone()),
        Record::Chosen(_, item) => RecordKey::Chosen(item.name.clone()),
    }
}

/// A store and what waits for it.
pub(super) struct WriteQueue {
    store: Store,
    request_ids: Vec<u64>,
    /// Only the newest of each row: a disk that is full for long must not fill the memory.
    records: BTreeMap<RecordKey, Record>,
    rejecting: bool,
}

impl WriteQueue {
    pub(super) fn new(store: Store) -> WriteQueue {
        WriteQueue {
            store,
            request_ids: Vec::new(),
            records: BTreeMap::new(),
            rejecting: false,
        }
    }

    pub(super) fn enqueue(&mut self, (number, rows): WriteRequest) {
        self.request_ids.push(number);
        self.records
            .extend(rows.into_iter().map(|row| (record_key(&row), row)));
    }

    /// Rows that wait.
    #[cfg(test)]
    pub(super) fn pending_records(&self) -> usize {
        self.records.len()
    }

    /// Tries to write all that waits, in one commit.
    pub(super) fn commit_pending(&mut self) -> Vec<WriterEvent> {
        match self.store.commit(self.records.values()) {
            Ok(()) => {
                self.records.clear();
                let again =
                    std::mem::take(&mut self.rejecting).then_some(WriterEvent::WritesResumed);
                again
                    .into_iter()
                    .chain(self.request_ids.drain(..).map(WriterEvent::Written))
                    .collect()
            }
            Err(error) if is_corruption(&error) => vec![WriterEvent::Failed(error)],
            Err(_) if self.rejecting => Vec::new(),
            Err(error) => {
                self.rejecting = true;
                vec![WriterEvent::WritesRejected(error)]
            }
        }
    }
}

/// Starts the thread that owns the store. `done` hears of each number that is on disk, in order, and of a disk that
/// refuses.
///
/// # Errors
/// No thread can be started.
pub fn spawn(
    store: Store,
    done: calloop::channel::Sender<WriterEvent>,
) -> eyre::Result<Sender<WriteRequest>> {
    let (orders, queue) = mpsc::channel();
    let thread = thread::Builder::new()
        .name("disk".to_string())
        .stack_size(STACK_BYTES);
    thread
        .spawn(move || run_writer(WriteQueue::new(store), &queue, &done))
        .wrap_err("disk: starting its thread")?;
    Ok(orders)
}

fn run_writer(
    mut desk: WriteQueue,
    queue: &Receiver<WriteRequest>,
    done: &calloop::channel::Sender<WriterEvent>,
) {
    loop {
        let mut most = MAX_GROUP_COMMIT;
        if desk.rejecting {
            // What is ordered meanwhile is taken in, and written with the next try.
            let next = Instant::now() + Duration::from_micros(limits::DISK_RETRY_INTERVAL as u64);
            loop {
                match queue.recv_timeout(next.saturating_duration_since(Instant::now())) {
                    Ok(order) => desk.enqueue(order),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        } else {
            let Ok(first) = queue.recv() else { return };
            desk.enqueue(first);
            most -= 1;
        }
        queue
            .try_iter()
            .take(most)
            .for_each(|order| desk.enqueue(order));
        for report in desk.commit_pending() {
            let last = matches!(report, WriterEvent::Failed(_));
            if done.send(report).is_err() || last {
                return;
            }
        }
    }
}
