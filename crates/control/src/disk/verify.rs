//! Verification of a replica's files without changing any of their bytes: file and log are read into memory and merged there.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

use eyre::{WrapErr, eyre};
use rusqlite::{Connection, MAIN_DB};
use serde::Serialize;

use super::records::{CorruptRecord, Corruption};
use super::{
    DATABASE_FILE, header_corruption, is_corruption, page_size, quick_check, records, schema, wal,
};
use crate::core::RecoveredState;

/// What a replica's files hold. The names of the fields are the keys of the JSON that operators' scripts read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The version of the schema; 0 if there is none.
    pub schema: u32,
    /// The number of the replica's incarnation; 0 if it has not recovered.
    pub incarnation: u32,
    /// How often its process has started in this incarnation.
    pub run: u32,
    /// The number of registers.
    pub registers: usize,
    /// The number of items that are known to be chosen.
    pub chosen: usize,
    /// The highest version of each kind of item, accepted or chosen.
    pub highest: BTreeMap<&'static str, u64>,
    /// The number of commits in the write-ahead log.
    pub commits: usize,
    /// What is wrong; a start with these files would quarantine them.
    pub faults: Vec<CorruptRecord>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "schema version  {}", self.schema)?;
        writeln!(
            f,
            "incarnation, run       {}, {}",
            self.incarnation, self.run
        )?;
        writeln!(f, "registers       {}", self.registers)?;
        writeln!(f, "chosen items    {}", self.chosen)?;
        for (kind, ver) in &self.highest {
            writeln!(f, "highest version {ver} of {kind}")?;
        }
        writeln!(f, "commits in log  {}", self.commits)?;
        if self.faults.is_empty() {
            return write!(f, "no faults");
        }
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|fault| format!("FAULT {fault}"))
            .collect();
        write!(f, "{}", faults.join("\n"))
    }
}

/// Reads the files of a replica's folder while its program does not run.
///
/// # Errors
/// There are no files, they can't be read, or they are of a newer schema version.
pub fn verify(folder: &Path) -> eyre::Result<Report> {
    verify_file(&folder.join(DATABASE_FILE))
}

/// Reads a file by its own name, such as one that was quarantined; its log has the same name and `-wal`.
///
/// # Errors
/// As [`verify`].
pub fn verify_file(file: &Path) -> eyre::Result<Report> {
    let step = || format!("disk: reading {}", file.display());
    let bytes = std::fs::read(file).wrap_err_with(step)?;
    let mut beside = file.as_os_str().to_os_string();
    beside.push("-wal");
    let log = match std::fs::read(&beside) {
        Ok(log) => log,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error).wrap_err_with(step),
    };
    if bytes.is_empty() && log.is_empty() {
        return Err(eyre!(
            "disk: {} is empty: its program has not come to write anything",
            file.display()
        ));
    }
    let mut found = Report {
        schema: 0,
        incarnation: 0,
        run: 0,
        registers: 0,
        chosen: 0,
        highest: BTreeMap::new(),
        commits: 0,
        faults: Vec::new(),
    };
    let read = match merge_wal(bytes, &log, &mut found) {
        Ok(image) => read_image(&image, &mut found),
        Err(harm) => Err(harm.into()),
    };
    match read {
        Ok(restored) => summarize(&restored, &mut found),
        Err(error) if is_corruption(&error) => match error.downcast::<Corruption>() {
            Ok(Corruption(faults)) => found.faults.extend(faults),
            Err(error) => found.faults.extend(Corruption::of(format!("{error:#}")).0),
        },
        Err(error) => return Err(error),
    }
    Ok(found)
}

/// The content of the file with its log applied.
fn merge_wal(mut bytes: Vec<u8>, log: &[u8], found: &mut Report) -> Result<Vec<u8>, Corruption> {
    if bytes.is_empty() {
        return Err(Corruption::of("the log stands without its file"));
    }
    if let Some(harm) = header_corruption(&bytes) {
        return Err(Corruption::of(harm));
    }
    let page = page_size(&bytes);
    let place = |number: u32| (number as usize).saturating_sub(1) * page;
    let read = wal::read(log, page, |number, content| {
        bytes
            .get(place(number)..)
            .is_some_and(|there| there.starts_with(content))
    });
    found.commits = read.commits;
    found.faults.extend(
        read.corruption
            .into_iter()
            .flat_map(|harm| Corruption::of(harm).0),
    );
    if let Some(size) = read.size {
        // A size that no log can have filled is corrupt, and must not use up the memory.
        if size as usize > bytes.len() / page + read.pages.len() {
            return Err(Corruption::of("the log names more pages than there are"));
        }
        bytes.resize(size as usize * page, 0);
        for (number, at) in read.pages.into_iter().filter(|(number, _)| *number <= size) {
            bytes[place(number)..place(number) + page]
                .copy_from_slice(wal::page_content(log, at, page));
        }
    }
    // There is no log in memory; without this SQLite would look for one.
    bytes[18..20].fill(1);
    Ok(bytes)
}

fn read_image(image: &[u8], found: &mut Report) -> eyre::Result<RecoveredState> {
    let mut connection = Connection::open_in_memory().wrap_err("disk: opening a copy")?;
    let length = image.len();
    connection
        .deserialize_read_exact(MAIN_DB, image, length, true)
        .wrap_err("disk: opening a copy")?;
    let version = schema::stored_schema(&connection)?;
    quick_check(&connection)?;
    let schema::StoredSchema::Version(version) = version else {
        return Ok(RecoveredState::default());
    };
    found.schema = version;
    let (restored, faults) = records::read_all(&connection, version > 0)?;
    found.faults.extend(faults);
    Ok(restored)
}

fn summarize(restored: &RecoveredState, found: &mut Report) {
    (found.incarnation, found.run) = (restored.metadata.incarnation.number, restored.metadata.run);
    (found.registers, found.chosen) = (restored.registers.len(), restored.chosen.len());
    let accepted = restored
        .registers
        .iter()
        .filter_map(|(_, register)| register.accepted_value.as_ref());
    for (_, item) in accepted.chain(&restored.chosen) {
        let highest = found.highest.entry(item.name.kind.wire_name()).or_default();
        *highest = (*highest).max(item.ver);
    }
}
