//! A check of SQLite's write-ahead log before SQLite itself reads it. SQLite takes the first frame that does not match its
//! checksum for the end of the log, and silently drops what follows. That is right after a loss of power, and wrong where
//! something that was synced is corrupt.
//!
//! A commit is synced before the next one begins to be written. So only the last commit can be torn by a loss of power:
//! where a later one follows the bad frame, something that was synced is corrupt. In the last commit itself corruption can't
//! be distinguished from a torn write: then everything that it wrote is missing. So it is with the commit before it, if the
//! sector with its commit mark is gone.

use std::collections::{BTreeMap, BTreeSet};

const HEADER_BYTES: usize = 32;
const FRAME_HEADER_BYTES: usize = 24;
const MAGIC: u32 = 0x377f_0682;
const SECTOR_BYTES: usize = 512;
/// A commit of more frames may have changed more pages than the cache holds, and those are written more than once.
const MAX_SINGLE_WRITE_FRAMES: usize = 64;

/// What a write-ahead log holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WalContents {
    /// The position of the newest content of each page in the log.
    pub pages: BTreeMap<u32, usize>,
    /// The number of pages of the database after the last commit.
    pub size: Option<u32>,
    /// The number of commits, and of their frames.
    pub commits: usize,
    pub committed_frames: usize,
    /// Why the log can't be trusted.
    pub corruption: Option<String>,
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    bytes
        .get(at..at + 4)
        .and_then(|word| word.try_into().ok())
        .map_or(0, u32::from_be_bytes)
}

/// SQLite's checksum, continued from that of the bytes before.
fn wal_checksum(bytes: &[u8], big: bool, before: (u32, u32)) -> (u32, u32) {
    let word = |word: &[u8]| {
        let word = word.try_into().unwrap_or_default();
        if big {
            u32::from_be_bytes(word)
        } else {
            u32::from_le_bytes(word)
        }
    };
    bytes.chunks_exact(8).fold(before, |(one, two), pair| {
        let one = one.wrapping_add(word(&pair[..4])).wrapping_add(two);
        (one, two.wrapping_add(word(&pair[4..])).wrapping_add(one))
    })
}

/// The place of a frame, whatever its content.
#[derive(Clone, Copy)]
struct FrameSlot {
    at: usize,
    page: u32,
    commit: u32,
    salts: u64,
}

impl FrameSlot {
    /// Whether page number, commit mark and salts are in one sector, and so were written at once.
    fn is_single_sector(&self) -> bool {
        self.at % SECTOR_BYTES + 16 <= SECTOR_BYTES
    }
}

fn frame_slots(log: &[u8], page: usize) -> Vec<FrameSlot> {
    let slots = log.len().saturating_sub(HEADER_BYTES) / (FRAME_HEADER_BYTES + page);
    let slot = |number: usize| {
        let at = HEADER_BYTES + number * (FRAME_HEADER_BYTES + page);
        let salts = u64::from(read_u32(log, at + 8)) << 32 | u64::from(read_u32(log, at + 12));
        FrameSlot {
            at,
            page: read_u32(log, at),
            commit: read_u32(log, at + 4),
            salts,
        }
    };
    (0..slots).map(slot).collect()
}

/// The content of the page whose frame is at this position.
pub(super) fn page_content(log: &[u8], at: usize, page: usize) -> &[u8] {
    &log[at + FRAME_HEADER_BYTES..at + FRAME_HEADER_BYTES + page]
}

/// Reads a log. `page`: the size of the database's pages in bytes; `stands`: whether a page of the file has this content.
pub(super) fn read(log: &[u8], page: usize, stands: impl Fn(u32, &[u8]) -> bool) -> WalContents {
    let mut read = WalContents::default();
    if log.len() < HEADER_BYTES || page == 0 {
        return read;
    }
    let slots = frame_slots(log, page);
    let content = |at: usize| page_content(log, at, page);
    let big = read_u32(log, 0) & 1 == 1;
    let mut sums = wal_checksum(&log[..24], big, (0, 0));
    let whole = read_u32(log, 0) & !1 == MAGIC && sums == (read_u32(log, 24), read_u32(log, 28));
    if !whole || read_u32(log, 8) as usize != page {
        // The header is torn where the log was being restarted; then everything that it held before is in the file by now.
        let first = slots.first().map(|slot| slot.salts);
        let run: Vec<FrameSlot> = slots
            .iter()
            .copied()
            .take_while(|slot| Some(slot.salts) == first)
            .collect();
        let ends = run
            .iter()
            .rposition(|slot| slot.commit != 0)
            .map_or(0, |last| last + 1);
        let newest: BTreeMap<u32, usize> = run[..ends]
            .iter()
            .map(|slot| (slot.page, slot.at))
            .collect();
        let lacks = newest
            .iter()
            .any(|(number, at)| !stands(*number, content(*at)));
        if lacks || (ends == 0 && !slots.is_empty()) {
            read.corruption = Some(
                "the head of the log is harmed, and the file lacks what the log holds".to_string(),
            );
        }
        return read;
    }
    let salts = u64::from(read_u32(log, 16)) << 32 | u64::from(read_u32(log, 20));
    let mut open = BTreeMap::new();
    let mut good = 0;
    for slot in &slots {
        let (head, content) = (&log[slot.at..slot.at + 8], content(slot.at));
        sums = wal_checksum(content, big, wal_checksum(head, big, sums));
        let told = (read_u32(log, slot.at + 16), read_u32(log, slot.at + 20));
        if slot.salts != salts || told != sums || slot.page == 0 {
            break;
        }
        good += 1;
        open.insert(slot.page, slot.at);
        if slot.commit != 0 {
            read.pages.append(&mut open);
            read.size = Some(slot.commit);
            read.commits += 1;
            read.committed_frames = good;
        }
    }
    // Salts that differ in one or two bits are those of this log: other logs have random ones.
    let own = |slot: &&FrameSlot| (slot.salts ^ salts).count_ones() <= 2;
    let (mut over, mut known) = (false, BTreeSet::new());
    for slot in slots[good..].iter().filter(own) {
        if over {
            read.corruption = Some(format!(
                "frame {good} of the log is harmed, and a later commit follows"
            ));
        }
        over |= slot.commit != 0 && slot.is_single_sector();
    }
    // The commit mark may be corrupt itself; but a commit of few pages writes none of them twice.
    let tail: Vec<&FrameSlot> = slots[read.committed_frames..].iter().filter(own).collect();
    let twice = tail
        .iter()
        .any(|slot| slot.is_single_sector() && !known.insert(slot.page));
    if good < slots.len()
        && tail.len() <= MAX_SINGLE_WRITE_FRAMES
        && twice
        && read.corruption.is_none()
    {
        read.corruption = Some(format!(
            "frame {good} of the log is harmed, and more than one commit follows"
        ));
    }
    read
}
