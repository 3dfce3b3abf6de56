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
    /// What is corrupt; a start with these files would quarantine them.
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

/// Reads a database file of any name, such as a quarantined one; its write-ahead log has the same name with `-wal` appended.
///
/// # Errors
/// As [`verify`].
pub fn verify_file(file: &Path) -> eyre::Result<Report> {
    let context = || format!("disk: reading {}", file.display());
    let bytes = std::fs::read(file).wrap_err_with(context)?;
    let mut wal_path = file.as_os_str().to_os_string();
    wal_path.push("-wal");
    let wal_bytes = match std::fs::read(&wal_path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Vec::new(),
        Err(error) => return Err(error).wrap_err_with(context),
    };
    if bytes.is_empty() && wal_bytes.is_empty() {
        return Err(eyre!(
            "disk: {} is empty: the program has not written anything yet",
            file.display()
        ));
    }
    let mut report = Report {
        schema: 0,
        incarnation: 0,
        run: 0,
        registers: 0,
        chosen: 0,
        highest: BTreeMap::new(),
        commits: 0,
        faults: Vec::new(),
    };
    let recovered = match merge_wal(bytes, &wal_bytes, &mut report) {
        Ok(image) => read_image(&image, &mut report),
        Err(corruption) => Err(corruption.into()),
    };
    match recovered {
        Ok(recovered) => summarize(&recovered, &mut report),
        Err(error) if is_corruption(&error) => match error.downcast::<Corruption>() {
            Ok(Corruption(faults)) => report.faults.extend(faults),
            Err(error) => report.faults.extend(Corruption::of(format!("{error:#}")).0),
        },
        Err(error) => return Err(error),
    }
    Ok(report)
}

/// The content of the file with its write-ahead log applied.
fn merge_wal(
    mut bytes: Vec<u8>,
    wal_bytes: &[u8],
    report: &mut Report,
) -> Result<Vec<u8>, Corruption> {
    if bytes.is_empty() {
        return Err(Corruption::of("write-ahead log without its database file"));
    }
    if let Some(corruption) = header_corruption(&bytes) {
        return Err(Corruption::of(corruption));
    }
    let page_bytes = page_size(&bytes);
    let page_offset = |number: u32| (number as usize).saturating_sub(1) * page_bytes;
    let wal_contents = wal::read(wal_bytes, page_bytes, |number, content| {
        bytes
            .get(page_offset(number)..)
            .is_some_and(|stored| stored.starts_with(content))
    });
    report.commits = wal_contents.commits;
    report.faults.extend(
        wal_contents
            .corruption
            .into_iter()
            .flat_map(|corruption| Corruption::of(corruption).0),
    );
    if let Some(size) = wal_contents.size {
        // A larger size than the pages can fill is corrupt, and must not exhaust the memory.
        if size as usize > bytes.len() / page_bytes + wal_contents.pages.len() {
            return Err(Corruption::of(
                "write-ahead log commits more pages than the database and the log hold",
            ));
        }
        bytes.resize(size as usize * page_bytes, 0);
        for (number, offset) in wal_contents
            .pages
            .into_iter()
            .filter(|(number, _)| *number <= size)
        {
            bytes[page_offset(number)..page_offset(number) + page_bytes]
                .copy_from_slice(wal::page_content(wal_bytes, offset, page_bytes));
        }
    }
    // Sets the file format versions to rollback journal: otherwise SQLite would look for a write-ahead log, which an
    // in-memory database does not have.
    bytes[18..20].fill(1);
    Ok(bytes)
}

/// Reads a database from memory.
fn read_image(image: &[u8], report: &mut Report) -> eyre::Result<RecoveredState> {
    let mut connection =
        Connection::open_in_memory().wrap_err("disk: opening an in-memory copy")?;
    let length_bytes = image.len();
    connection
        .deserialize_read_exact(MAIN_DB, image, length_bytes, true)
        .wrap_err("disk: opening an in-memory copy")?;
    let version = schema::stored_schema(&connection)?;
    quick_check(&connection)?;
    let schema::StoredSchema::Version(version) = version else {
        return Ok(RecoveredState::default());
    };
    report.schema = version;
    let (recovered, faults) = records::read_all(&connection, version > 0)?;
    report.faults.extend(faults);
    Ok(recovered)
}

/// Adds the figures of the recovered state to a report.
fn summarize(recovered: &RecoveredState, report: &mut Report) {
    (report.incarnation, report.run) = (
        recovered.metadata.incarnation.number,
        recovered.metadata.run,
    );
    (report.registers, report.chosen) = (recovered.registers.len(), recovered.chosen.len());
    let accepted = recovered
        .registers
        .iter()
        .filter_map(|(_, register)| register.accepted_value.as_ref());
    for (_, item) in accepted.chain(&recovered.chosen) {
        let highest = report
            .highest
            .entry(item.name.kind.wire_name())
            .or_default();
        *highest = (*highest).max(item.ver);
    }
}
