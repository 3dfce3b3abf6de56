//! The versions of the schema, and the migration of a file of an older version to the current one.
//!
//! The version is in `PRAGMA user_version` and again, with a checksum, in the table `schema`; every later version has to keep
//! that table as it is. This distinguishes a newer file from a corrupt one: both places must have the same version.
//!
//! | version | content |
//! | --- | --- |
//! | 0 | no version: no tables yet, or those of the first builds, without `schema` and without checksums |
//! | 1 | the table `schema`; each record of `own`, `registers` and `chosen` has its checksum in `sum` |

use eyre::{WrapErr, eyre};
use rusqlite::{Connection, OptionalExtension, params};

use super::records::{self, Corruption};

/// The current version, which this program writes.
pub const CURRENT_VERSION: u32 = 1;

/// The tables of the records.
const CREATE_TABLES: &str =
    "CREATE TABLE own (one INTEGER PRIMARY KEY CHECK (one = 1), value BLOB NOT NULL, sum INTEGER NOT NULL);
    CREATE TABLE registers (name BLOB PRIMARY KEY, value BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE chosen (name BLOB PRIMARY KEY, value BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;";
/// The table of the schema version.
const CREATE_SCHEMA_TABLE: &str = "CREATE TABLE schema (one INTEGER PRIMARY KEY CHECK (one = 1), version INTEGER NOT NULL, sum INTEGER NOT NULL);";

/// The schema of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoredSchema {
    /// There are no tables yet.
    Empty,
    /// The tables of this version.
    Version(u32),
}

fn version_checksum(version: i64) -> u32 {
    records::checksum("schema", &[], &version.to_le_bytes())
}

fn table_exists(connection: &Connection, table: &str) -> eyre::Result<bool> {
    let sql = "SELECT 1 FROM sqlite_schema WHERE type = 'table' AND name = ?1";
    let row = connection.query_row(sql, [table], |_| Ok(())).optional();
    row.map(|row| row.is_some())
        .wrap_err("disk: reading the schema")
}

/// The schema of a database.
///
/// # Errors
/// It is corrupt, or newer than this program knows.
pub(super) fn stored_schema(connection: &Connection) -> eyre::Result<StoredSchema> {
    let context = "disk: reading the schema's version";
    let header_version = connection
        .query_row("PRAGMA user_version", [], |row| row.get::<_, i64>(0))
        .wrap_err(context)?;
    let stated = if table_exists(connection, "schema")? {
        let read_row = |row: &rusqlite::Row<'_>| Ok((row.get::<_, i64>(0)?, row.get::<_, i64>(1)?));
        let stated = connection
            .query_row("SELECT version, sum FROM schema", [], read_row)
            .wrap_err(context)?;
        Some(stated)
            .filter(|(version, sum)| *sum == i64::from(version_checksum(*version)))
            .map(|(version, _)| version)
    } else {
        Some(0)
    };
    if stated != Some(header_version) {
        let what = match stated {
            Some(stated) => {
                format!("header has schema version {header_version}, table schema has {stated}")
            }
            None => "schema version does not match its checksum".to_string(),
        };
        return Err(Corruption::of(what).into());
    }
    match u32::try_from(header_version) {
        Ok(0) if !table_exists(connection, "own")? => Ok(StoredSchema::Empty),
        Ok(version) if version <= CURRENT_VERSION => Ok(StoredSchema::Version(version)),
        _ => Err(eyre!(
            "disk: database has schema version {header_version}, this program supports versions up to {CURRENT_VERSION}; file left unchanged"
        )),
    }
}

/// Migrates a file to the current version, in one transaction.
///
/// # Errors
/// It is corrupt, or the disk rejects writes.
pub(super) fn migrate(connection: &mut Connection, stored: StoredSchema) -> eyre::Result<()> {
    if stored == StoredSchema::Version(CURRENT_VERSION) {
        return Ok(());
    }
    let context = || format!("disk: migrating to schema version {CURRENT_VERSION}");
    let transaction = connection.transaction().wrap_err_with(context)?;
    if stored == StoredSchema::Empty {
        transaction
            .execute_batch(CREATE_TABLES)
            .wrap_err_with(context)?;
    } else {
        // A record that does not decode must not get a checksum that says that it is valid.
        let (_, faults) = records::read_all(&transaction, false)?;
        if !faults.is_empty() {
            return Err(Corruption(faults).into());
        }
        for table in records::TABLES {
            let sql = format!("ALTER TABLE {table} ADD COLUMN sum INTEGER NOT NULL DEFAULT 0");
            transaction.execute_batch(&sql).wrap_err_with(context)?;
            records::add_checksums(&transaction, table)?;
        }
    }
    let version = i64::from(CURRENT_VERSION);
    transaction
        .execute_batch(CREATE_SCHEMA_TABLE)
        .wrap_err_with(context)?;
    let sql = "INSERT INTO schema VALUES (1, ?1, ?2)";
    transaction
        .execute(sql, params![version, version_checksum(version)])
        .wrap_err_with(context)?;
    transaction
        .pragma_update(None, "user_version", version)
        .wrap_err_with(context)?;
    transaction.commit().wrap_err_with(context)
}
