//! Quarantine of corrupt files: they are renamed and kept for inspection.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use eyre::WrapErr;

use super::DATABASE_FILE;

/// The suffixes of the files that SQLite keeps beside the database.
const SIDE_FILE_SUFFIXES: [&str; 3] = ["-wal", "-shm", "-journal"];
/// The start of the name of a quarantined file; its number follows.
const QUARANTINE_PREFIX: &str = "aside-";
/// The greatest number of databases in quarantine; the oldest are removed first.
const MAX_QUARANTINED: usize = 3;

/// The files in quarantine, by their numbers.
fn quarantined_files(folder: &Path) -> io::Result<Vec<(u32, PathBuf)>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let number = name
            .strip_prefix(QUARANTINE_PREFIX)
            .and_then(|name| name.split('-').next()?.parse().ok());
        if let Some(number) = number {
            files.push((number, entry.path()));
        }
    }
    files.sort();
    Ok(files)
}

/// Whether a file of this folder was quarantined before, so that this is no first start.
pub(super) fn has_quarantined(folder: &Path) -> bool {
    quarantined_files(folder).is_ok_and(|files| !files.is_empty())
}

/// Renames a database and the files beside it. Gives the new path of the database.
///
/// # Errors
/// A file can't be renamed, or the folder can't be synced.
pub(super) fn quarantine(
    folder: &Path,
    sync: impl Fn(&Path) -> io::Result<()>,
) -> eyre::Result<PathBuf> {
    let context = || {
        format!(
            "disk: quarantining {}",
            folder.join(DATABASE_FILE).display()
        )
    };
    let earlier = quarantined_files(folder).wrap_err_with(context)?;
    let new_number = earlier.last().map_or(1, |(number, _)| number + 1);
    let new_path = |suffix: &str| {
        folder.join(format!(
            "{QUARANTINE_PREFIX}{new_number}-{DATABASE_FILE}{suffix}"
        ))
    };
    // The database is renamed and that is synced before its log is renamed: after a loss of power in between, a database
    // without its log would be read as an intact, older one.
    for suffix in std::iter::once("").chain(SIDE_FILE_SUFFIXES) {
        match fs::rename(
            folder.join(format!("{DATABASE_FILE}{suffix}")),
            new_path(suffix),
        ) {
            Ok(()) => sync(folder).wrap_err_with(context)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error).wrap_err_with(context),
        }
    }
    let mut numbers: Vec<u32> = earlier.iter().map(|(number, _)| *number).collect();
    numbers.dedup();
    let excess = numbers.len().saturating_sub(MAX_QUARANTINED - 1);
    for (_, path) in earlier
        .iter()
        .filter(|(number, _)| numbers[..excess].contains(number))
    {
        fs::remove_file(path).wrap_err_with(context)?;
    }
    Ok(new_path(""))
}

/// Syncs a folder, so that the names in it are durable.
pub(super) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
