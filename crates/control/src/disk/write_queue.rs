//! The queue of writes, and the thread that works through it. A disk that refuses a write is tried again with all that
//! waits: nothing of it is given up, and the loop hears when it begins and when it is over.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use protocol::items::ItemName;

use super::{Store, harmed};
use crate::core::Record;
use crate::limits;

/// Most writes that go into one commit.
const GROUP: usize = 64;
/// Stack of the thread, in bytes.
const STACK: usize = 512 * 1024;

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

fn place(row: &Record) -> RecordKey {
    match row {
        Record::Metadata(_) => RecordKey::Own,
        Record::Register(name, _) => RecordKey::Register(name.clone()),
        Record::Chosen(_, item) => RecordKey::Chosen(item.name.clone()),
    }
}

/// A store and what waits for it.
pub(super) struct WriteQueue {
    store: Store,
    numbers: Vec<u64>,
    /// Only the newest of each row: a disk that is full for long must not fill the memory.
    rows: BTreeMap<RecordKey, Record>,
    refused: bool,
}

impl WriteQueue {
    pub(super) fn new(store: Store) -> WriteQueue {
        WriteQueue {
            store,
            numbers: Vec::new(),
            rows: BTreeMap::new(),
            refused: false,
        }
    }

    pub(super) fn order(&mut self, (number, rows): WriteRequest) {
        self.numbers.push(number);
        self.rows
            .extend(rows.into_iter().map(|row| (place(&row), row)));
    }

    /// Rows that wait.
    #[cfg(test)]
    pub(super) fn waiting(&self) -> usize {
        self.rows.len()
    }

    /// Tries to write all that waits, in one commit.
    pub(super) fn write(&mut self) -> Vec<WriterEvent> {
        match self.store.commit(self.rows.values()) {
            Ok(()) => {
                self.rows.clear();
                let again = std::mem::take(&mut self.refused).then_some(WriterEvent::WritesResumed);
                again
                    .into_iter()
                    .chain(self.numbers.drain(..).map(WriterEvent::Written))
                    .collect()
            }
            Err(error) if harmed(&error) => vec![WriterEvent::Failed(error)],
            Err(_) if self.refused => Vec::new(),
            Err(error) => {
                self.refused = true;
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
        .stack_size(STACK);
    thread
        .spawn(move || serve(WriteQueue::new(store), &queue, &done))
        .wrap_err("disk: starting its thread")?;
    Ok(orders)
}

fn serve(
    mut desk: WriteQueue,
    queue: &Receiver<WriteRequest>,
    done: &calloop::channel::Sender<WriterEvent>,
) {
    loop {
        let mut most = GROUP;
        if desk.refused {
            // What is ordered meanwhile is taken in, and written with the next try.
            let next = Instant::now() + Duration::from_micros(limits::DISK_RETRY_INTERVAL as u64);
            loop {
                match queue.recv_timeout(next.saturating_duration_since(Instant::now())) {
                    Ok(order) => desk.order(order),
                    Err(RecvTimeoutError::Timeout) => break,
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        } else {
            let Ok(first) = queue.recv() else { return };
            desk.order(first);
            most -= 1;
        }
        queue
            .try_iter()
            .take(most)
            .for_each(|order| desk.order(order));
        for report in desk.write() {
            let last = matches!(report, WriterEvent::Failed(_));
            if done.send(report).is_err() || last {
                return;
            }
        }
    }
}
