//! The encoding of records: how each is written, checksummed, read and checked.

use std::fmt;

use eyre::WrapErr;
use protocol::items::{Item, ItemName};
use rusqlite::types::ValueRef;
use rusqlite::{Connection, OptionalExtension, Transaction, params};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::core::ids::Ballot;
use crate::core::registers::Register;
use crate::core::{Record, RecoveredState, ReplicaMetadata};

/// The tables that hold records.
pub(super) const TABLES: [&str; 3] = ["own", "registers", "chosen"];

/// What is wrong with one record, or with the file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CorruptRecord {
    /// The table; empty if the whole file is meant.
    pub table: String,
    /// The name of the record, as far as it can be read.
    pub name: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for CorruptRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.table.as_str() {
            "" => write!(f, "{}", self.what),
            table => write!(f, "{table} {}: {}", self.name, self.what),
        }
    }
}

/// The files hold data that was never written, or lack data that was.
#[derive(Clone, Debug)]
pub struct Corruption(pub Vec<CorruptRecord>);

impl Corruption {
    /// A corruption that concerns the file as a whole.
    pub(super) fn of(what: impl Into<String>) -> Corruption {
        Corruption(vec![CorruptRecord {
            table: String::new(),
            name: String::new(),
            what: what.into(),
        }])
    }
}

/// The greatest number of corrupt records that one log line names.
const MAX_NAMED_RECORDS: usize = 16;

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named: Vec<String> = self
            .0
            .iter()
            .take(MAX_NAMED_RECORDS)
            .map(CorruptRecord::to_string)
            .collect();
        write!(f, "{}", named.join("; "))?;
        match self.0.len().saturating_sub(MAX_NAMED_RECORDS) {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}

impl std::error::Error for Corruption {}

/// The checksum of a record. It covers the table and the name as well, so that a record stored in the place of another is detected.
pub(super) fn checksum(table: &str, name: &[u8], value: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(table.as_bytes());
    hasher.update(&(name.len() as u64).to_le_bytes());
    hasher.update(name);
    hasher.update(value);
    hasher.finalize()
}

fn encode<T: Serialize>(value: &T) -> eyre::Result<Vec<u8>> {
    postcard::to_allocvec(value).wrap_err("disk: encoding a record")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|error| format!("does not decode: {error}"))
}

/// A stored name as text: decoded, or its first bytes in hexadecimal if it is corrupt itself.
fn display_name(name: &[u8]) -> String {
    match decode::<ItemName>(name) {
        Ok(name) => name.to_string(),
        Err(_) => name
            .iter()
            .take(24)
            .map(|byte| format!("{byte:02x}"))
            .collect(),
    }
}

/// Writes a record.
pub(super) fn write_record(transaction: &Transaction<'_>, record: &Record) -> eyre::Result<()> {
    let (table, name, value) = match record {
        Record::Metadata(metadata) => ("own", None, encode(metadata)?),
        Record::Register(name, register) => ("registers", Some(encode(name)?), encode(register)?),
        Record::Chosen(ballot, item) => (
            "chosen",
            Some(encode(&item.name)?),
            encode(&(ballot, item))?,
        ),
    };
    let checksum = checksum(table, name.as_deref().unwrap_or_default(), &value);
    let context = || format!("disk: writing {table}");
    let sql = format!("INSERT OR REPLACE INTO {table} VALUES (?1, ?2, ?3)");
    let mut statement = transaction.prepare_cached(&sql).wrap_err_with(context)?;
    let written = match name {
        None => statement.execute(params![1, value, checksum]),
        Some(name) => statement.execute(params![name, value, checksum]),
    };
    written.map(|_| ()).wrap_err_with(context)
}

fn blob_bytes(value: ValueRef<'_>) -> Result<&[u8], String> {
    value.as_blob().map_err(|_| "is not a blob".to_string())
}

/// Passes the name and value of each record of a table to `read`, and adds corrupt records to `faults`. `checksums`: the
/// records have checksums, which are verified.
fn for_each_record(
    connection: &Connection,
    table: &str,
    checksums: bool,
    faults: &mut Vec<CorruptRecord>,
    mut read: impl FnMut(&[u8], &[u8]) -> Result<(), String>,
) -> eyre::Result<()> {
    let context = || format!("disk: reading {table}");
    let columns = match (table, checksums) {
        ("own", true) => "x'', value, sum",
        ("own", false) => "x'', value",
        (_, true) => "name, value, sum",
        (_, false) => "name, value",
    };
    let mut statement = connection
        .prepare(&format!("SELECT {columns} FROM {table}"))
        .wrap_err_with(context)?;
    let mut rows = statement.query([]).wrap_err_with(context)?;
    while let Some(row) = rows.next().wrap_err_with(context)? {
        let name_column = row.get_ref(0).wrap_err_with(context)?;
        let value = row.get_ref(1).wrap_err_with(context)?;
        let stored_checksum = if checksums {
            Some(row.get_ref(2).wrap_err_with(context)?)
        } else {
            None
        };
        let check = || {
            let (name, value) = (blob_bytes(name_column)?, blob_bytes(value)?);
            match stored_checksum {
                Some(stored)
                    if stored != ValueRef::Integer(i64::from(checksum(table, name, value))) =>
                {
                    Err("does not match its checksum".to_string())
                }
                _ => Ok((name, value)),
            }
        };
        if let Err(what) = check().and_then(|(name, value)| read(name, value)) {
            let name = name_column.as_blob().map(display_name).unwrap_or_default();
            faults.push(CorruptRecord {
                table: table.to_string(),
                name,
                what,
            });
        }
    }
    Ok(())
}

/// All records of a database, and the corrupt ones among them.
pub(super) fn read_all(
    connection: &Connection,
    checksums: bool,
) -> eyre::Result<(RecoveredState, Vec<CorruptRecord>)> {
    let (mut recovered, mut faults) = (RecoveredState::default(), Vec::new());
    let wrong_name = || "holds a record of another name".to_string();
    for_each_record(connection, "own", checksums, &mut faults, |_, value| {
        recovered.metadata = decode::<ReplicaMetadata>(value)?;
        Ok(())
    })?;
    for_each_record(
        connection,
        "registers",
        checksums,
        &mut faults,
        |name, value| {
            let (name, register) = (decode::<ItemName>(name)?, decode::<Register>(value)?);
            if register
                .accepted_value
                .as_ref()
                .is_some_and(|(_, item)| item.name != name)
            {
                return Err(wrong_name());
            }
            recovered.registers.push((name, register));
            Ok(())
        },
    )?;
    for_each_record(
        connection,
        "chosen",
        checksums,
        &mut faults,
        |name, value| {
            let (name, (ballot, item)) =
                (decode::<ItemName>(name)?, decode::<(Ballot, Item)>(value)?);
            if item.name != name {
                return Err(wrong_name());
            }
            recovered.chosen.push((ballot, item));
            Ok(())
        },
    )?;
    Ok((recovered, faults))
}

/// Writes the checksum of each record of a table that has none yet.
pub(super) fn add_checksums(transaction: &Transaction<'_>, table: &str) -> eyre::Result<()> {
    let context = || format!("disk: adding checksums to {table}");
    let key = if table == "own" { "one" } else { "name" };
    let next_sql = format!(
        "SELECT {key}, value FROM {table} WHERE ?1 IS NULL OR {key} > ?1 ORDER BY {key} LIMIT 1"
    );
    let sql = format!("UPDATE {table} SET sum = ?1 WHERE {key} = ?2");
    let mut update = transaction.prepare(&sql).wrap_err_with(context)?;
    let mut next = transaction.prepare(&next_sql).wrap_err_with(context)?;
    let mut last_key = rusqlite::types::Value::Null;
    loop {
        let read_row = |row: &rusqlite::Row<'_>| {
            Ok((
                row.get::<_, rusqlite::types::Value>(0)?,
                row.get::<_, Vec<u8>>(1)?,
            ))
        };
        let row = next
            .query_row([&last_key], read_row)
            .optional()
            .wrap_err_with(context)?;
        let Some((name, value)) = row else {
            return Ok(());
        };
        let bytes = match &name {
            rusqlite::types::Value::Blob(name) => name.as_slice(),
            _ => &[],
        };
        update
            .execute(params![checksum(table, bytes, &value), name])
            .wrap_err_with(context)?;
        last_key = name;
    }
}
