//! A check of SQLite's write-ahead log before SQLite itself reads it. SQLite takes the first frame that does not match its
//! checksum for the end of the log, and silently drops what follows. That is correct after a loss of power, and wrong where
//! synced data is corrupt.
//!
//! A commit is synced before the next one begins to be written. So only the last commit can be torn by a loss of power:
//! where a later one follows the bad frame, synced data is corrupt. In the last commit itself corruption can't
//! be distinguished from a torn write: the whole commit is then dropped. The same applies to the commit before it if
//! the sector with its commit mark is lost.

use std::collections::{BTreeMap, BTreeSet};

/// The size of the header of the log.
const HEADER_BYTES: usize = 32;
/// The size of the header of each frame, which the content of a page follows.
const FRAME_HEADER_BYTES: usize = 24;
/// The first word of a log; its lowest bit says that the checksums are computed from big-endian words.
const MAGIC: u32 = 0x377f_0682;
/// The unit in which a disk writes: a sector is written whole or not at all.
const SECTOR_BYTES: usize = 512;
/// A commit of more frames may have changed more pages than the cache holds, and may then contain a page more than once.
const MAX_SINGLE_WRITE_FRAMES: usize = 64;

/// What a write-ahead log holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct WalContents {
    /// The offset of the newest frame of each page in the log.
    pub pages: BTreeMap<u32, usize>,
    /// The number of pages of the database after the last commit.
    pub size: Option<u32>,
    /// The number of commits.
    pub commits: usize,
    /// The number of frames of these commits.
    pub committed_frames: usize,
    /// Why the log can't be trusted.
    pub corruption: Option<String>,
}

/// A big-endian word; 0 beyond the end.
fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    bytes
        .get(offset..offset + 4)
        .and_then(|word| word.try_into().ok())
        .map_or(0, u32::from_be_bytes)
}

/// SQLite's checksum, continued from that of the preceding bytes.
fn wal_checksum(bytes: &[u8], big_endian: bool, initial: (u32, u32)) -> (u32, u32) {
    let word = |word: &[u8]| {
        let word = word.try_into().unwrap_or_default();
        if big_endian {
            u32::from_be_bytes(word)
        } else {
            u32::from_le_bytes(word)
        }
    };
    bytes
        .chunks_exact(8)
        .fold(initial, |(first, second), pair| {
            let first = first.wrapping_add(word(&pair[..4])).wrapping_add(second);
            (
                first,
                second.wrapping_add(word(&pair[4..])).wrapping_add(first),
            )
        })
}

/// The header of a frame, whether its checksum is valid or not.
#[derive(Clone, Copy)]
struct FrameSlot {
    offset: usize,
    page: u32,
    /// The number of pages of the database after this commit; 0 if no commit ends with this frame.
    commit_pages: u32,
    salts: u64,
}

impl FrameSlot {
    /// Whether page number, commit mark and salts are in one sector, and so were written at once.
    fn is_single_sector(&self) -> bool {
        self.offset % SECTOR_BYTES + 16 <= SECTOR_BYTES
    }
}

fn frame_slots(log: &[u8], page_bytes: usize) -> Vec<FrameSlot> {
    let slots = log.len().saturating_sub(HEADER_BYTES) / (FRAME_HEADER_BYTES + page_bytes);
    let slot = |number: usize| {
        let offset = HEADER_BYTES + number * (FRAME_HEADER_BYTES + page_bytes);
        let salts =
            u64::from(read_u32(log, offset + 8)) << 32 | u64::from(read_u32(log, offset + 12));
        FrameSlot {
            offset,
            page: read_u32(log, offset),
            commit_pages: read_u32(log, offset + 4),
            salts,
        }
    };
    (0..slots).map(slot).collect()
}

/// The page that the frame at this offset holds.
pub(super) fn page_content(log: &[u8], offset: usize, page_bytes: usize) -> &[u8] {
    &log[offset + FRAME_HEADER_BYTES..offset + FRAME_HEADER_BYTES + page_bytes]
}

/// Reads a log. `page_bytes`: the page size of the database; `page_matches`: whether a page of the file has this content.
pub(super) fn read(
    log: &[u8],
    page_bytes: usize,
    page_matches: impl Fn(u32, &[u8]) -> bool,
) -> WalContents {
    let mut contents = WalContents::default();
    if log.len() < HEADER_BYTES || page_bytes == 0 {
        return contents;
    }
    let slots = frame_slots(log, page_bytes);
    let content = |offset: usize| page_content(log, offset, page_bytes);
    let big_endian = read_u32(log, 0) & 1 == 1;
    let mut checksum = wal_checksum(&log[..24], big_endian, (0, 0));
    let is_header_valid =
        read_u32(log, 0) & !1 == MAGIC && checksum == (read_u32(log, 24), read_u32(log, 28));
    if !is_header_valid || read_u32(log, 8) as usize != page_bytes {
        // An interrupted restart of the log may have torn its header; then everything that the log held is in the file already,
        // which is checked here.
        let first_salts = slots.first().map(|slot| slot.salts);
        let frames: Vec<FrameSlot> = slots
            .iter()
            .copied()
            .take_while(|slot| Some(slot.salts) == first_salts)
            .collect();
        let committed = frames
            .iter()
            .rposition(|slot| slot.commit_pages != 0)
            .map_or(0, |last| last + 1);
        let newest: BTreeMap<u32, usize> = frames[..committed]
            .iter()
            .map(|slot| (slot.page, slot.offset))
            .collect();
        let is_outdated = newest
            .iter()
            .any(|(number, offset)| !page_matches(*number, content(*offset)));
        if is_outdated || (committed == 0 && !slots.is_empty()) {
            contents.corruption = Some(
                "write-ahead log header corrupt, and the database lacks pages of the log"
                    .to_string(),
            );
        }
        return contents;
    }
    let salts = u64::from(read_u32(log, 16)) << 32 | u64::from(read_u32(log, 20));
    let mut uncommitted = BTreeMap::new();
    let mut valid_frames = 0;
    for slot in &slots {
        let (header, content) = (&log[slot.offset..slot.offset + 8], content(slot.offset));
        checksum = wal_checksum(
            content,
            big_endian,
            wal_checksum(header, big_endian, checksum),
        );
        let stored_checksum = (
            read_u32(log, slot.offset + 16),
            read_u32(log, slot.offset + 20),
        );
        if slot.salts != salts || stored_checksum != checksum || slot.page == 0 {
            break;
        }
        valid_frames += 1;
        uncommitted.insert(slot.page, slot.offset);
        if slot.commit_pages != 0 {
            contents.pages.append(&mut uncommitted);
            contents.size = Some(slot.commit_pages);
            contents.commits += 1;
            contents.committed_frames = valid_frames;
        }
    }
    // Salts that differ in at most two bits are taken for those of this log with corrupt bits: those of other logs are random.
    let is_of_this_log = |slot: &&FrameSlot| (slot.salts ^ salts).count_ones() <= 2;
    let (mut commit_seen, mut known_pages) = (false, BTreeSet::new());
    for slot in slots[valid_frames..].iter().filter(is_of_this_log) {
        if commit_seen {
            contents.corruption = Some(format!(
                "write-ahead log frame {valid_frames} corrupt, and a later commit follows"
            ));
        }
        commit_seen |= slot.commit_pages != 0 && slot.is_single_sector();
    }
    // The commit mark may be corrupt itself; but a commit of few pages writes none of them twice, so that a repeated page
    // belongs to another commit.
    let tail: Vec<&FrameSlot> = slots[contents.committed_frames..]
        .iter()
        .filter(is_of_this_log)
        .collect();
    let has_repeated_page = tail
        .iter()
        .any(|slot| slot.is_single_sector() && !known_pages.insert(slot.page));
    if valid_frames < slots.len()
        && tail.len() <= MAX_SINGLE_WRITE_FRAMES
        && has_repeated_page
        && contents.corruption.is_none()
    {
        contents.corruption = Some(format!(
            "write-ahead log frame {valid_frames} corrupt, and more than one commit follows"
        ));
    }
    contents
}
