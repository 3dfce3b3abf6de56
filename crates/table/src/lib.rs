//! Parquet tables compressed with zstd: written atomically, read back by column name.

use std::fmt;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use parquet::basic::{Compression, LogicalType, Repetition, Type as Physical, ZstdLevel};
use parquet::column::reader::ColumnReader;
use parquet::column::writer::ColumnWriter;
use parquet::data_type::ByteArray;
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::Type;

/// Rows per row group; bounds the memory that the writer needs in addition to the table.
const ROWS_PER_GROUP: usize = 1 << 18;

/// The values of a column; all columns of a table have the same length.
#[derive(Clone, Debug, PartialEq)]
pub enum ColumnValues {
    /// Integers.
    Integers(Vec<i64>),
    /// Integers or null.
    OptionalIntegers(Vec<Option<i64>>),
    /// UTF-8 strings.
    Strings(Vec<String>),
}

/// A table: its columns in order, each with its name.
pub type Table = Vec<(&'static str, ColumnValues)>;

/// Why a table cannot be written or read.
#[derive(Debug)]
pub enum TableError {
    /// An I/O error on a file.
    File(PathBuf, io::Error),
    /// The file is not a complete Parquet file, or the Parquet library reported an error.
    Format(PathBuf, ParquetError),
    /// The named column is missing or has another type.
    Column(PathBuf, String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::File(path, error) => write!(f, "{}: {error}", path.display()),
            TableError::Format(path, error) => {
                write!(
                    f,
                    "{}: not a complete Parquet table: {error}",
                    path.display()
                )
            }
            TableError::Column(path, name) => {
                write!(
                    f,
                    "{}: column '{name}' is missing or has another type",
                    path.display()
                )
            }
        }
    }
}

impl std::error::Error for TableError {}

impl ColumnValues {
    fn len(&self) -> usize {
        match self {
            ColumnValues::Integers(v) => v.len(),
            ColumnValues::OptionalIntegers(v) => v.len(),
            ColumnValues::Strings(v) => v.len(),
        }
    }

    fn parquet_type(&self, name: &str) -> Result<Type, ParquetError> {
        let (physical, repetition) = match self {
            ColumnValues::Integers(_) => (Physical::INT64, Repetition::REQUIRED),
            ColumnValues::OptionalIntegers(_) => (Physical::INT64, Repetition::OPTIONAL),
            ColumnValues::Strings(_) => (Physical::BYTE_ARRAY, Repetition::REQUIRED),
        };
        let logical_type = matches!(self, ColumnValues::Strings(_)).then_some(LogicalType::String);
        Type::primitive_type_builder(name, physical)
            .with_repetition(repetition)
            .with_logical_type(logical_type)
            .build()
    }
}

/// Writes a file atomically: first to a temporary file in the same folder, which is then renamed to `path`.
///
/// # Errors
/// An I/O error, or an error of `write`; neither the file nor the temporary file is left incomplete.
pub fn write_atomically<E>(
    path: &Path,
    to_error: impl Fn(io::Error) -> E,
    write: impl FnOnce(File) -> Result<File, E>,
) -> Result<(), E> {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(format!(".part-{}", std::process::id()));
    let temporary = path.with_file_name(name);
    let result = File::create(&temporary)
        .map_err(&to_error)
        .and_then(write)
        .and_then(|file| {
            file.sync_all().map_err(&to_error)?;
            fs::rename(&temporary, path).map_err(&to_error)
        });
    if result.is_err() {
        // If removal fails, the file was not created, or the error above already reports the problem of the disk.
        let _ = fs::remove_file(&temporary);
    }
    result
}

/// Writes a table to a file, atomically.
///
/// # Errors
/// An I/O error, most often a full disk; no incomplete file is left.
pub fn write(path: &Path, table: &Table) -> Result<(), TableError> {
    let format_error = |e| TableError::Format(path.to_path_buf(), e);
    write_atomically(
        path,
        |e| TableError::File(path.to_path_buf(), e),
        |file| write_to(file, table).map_err(format_error),
    )
}

fn write_to(file: File, table: &Table) -> Result<File, ParquetError> {
    let fields = table
        .iter()
        .map(|(name, values)| values.parquet_type(name).map(Arc::new))
        .collect::<Result<_, _>>()?;
    let schema = Arc::new(
        Type::group_type_builder("schema")
            .with_fields(fields)
            .build()?,
    );
    let properties = WriterProperties::builder()
        .set_compression(Compression::ZSTD(ZstdLevel::try_new(3)?))
        .build();
    let mut writer = SerializedFileWriter::new(file, schema, Arc::new(properties))?;
    let rows = table.first().map_or(0, |(_, values)| values.len());
    let mut start = 0;
    while start < rows {
        let end = (start + ROWS_PER_GROUP).min(rows);
        let mut group = writer.next_row_group()?;
        let mut columns = table.iter();
        while let Some(mut column) = group.next_column()? {
            let Some((_, values)) = columns.next() else {
                break;
            };
            match (values, column.untyped()) {
                (ColumnValues::Integers(v), ColumnWriter::Int64ColumnWriter(w)) => {
                    w.write_batch(&v[start..end], None, None)?;
                }
                (ColumnValues::OptionalIntegers(v), ColumnWriter::Int64ColumnWriter(w)) => {
                    let present: Vec<i64> = v[start..end].iter().flatten().copied().collect();
                    let levels: Vec<i16> = v[start..end]
                        .iter()
                        .map(|v| i16::from(v.is_some()))
                        .collect();
                    w.write_batch(&present, Some(&levels), None)?;
                }
                (ColumnValues::Strings(v), ColumnWriter::ByteArrayColumnWriter(w)) => {
                    let bytes: Vec<ByteArray> =
                        v[start..end].iter().map(|t| t.as_str().into()).collect();
                    w.write_batch(&bytes, None, None)?;
                }
                _ => {
                    return Err(ParquetError::General(
                        "the column's values do not match its type".into(),
                    ));
                }
            }
            column.close()?;
        }
        group.close()?;
        start = end;
    }
    writer.into_inner()
}

/// Reads the columns of a table file.
pub struct TableReader {
    path: PathBuf,
    reader: SerializedFileReader<File>,
}

/// Opens a table file.
///
/// # Errors
/// The file is missing, truncated or not a Parquet file.
pub fn open(path: &Path) -> Result<TableReader, TableError> {
    let file = File::open(path).map_err(|e| TableError::File(path.to_path_buf(), e))?;
    let reader =
        SerializedFileReader::new(file).map_err(|e| TableError::Format(path.to_path_buf(), e))?;
    Ok(TableReader {
        path: path.to_path_buf(),
        reader,
    })
}

impl TableReader {
    /// Number of rows.
    pub fn row_count(&self) -> usize {
        self.reader.metadata().file_metadata().num_rows().max(0) as usize
    }

    /// Names of the columns, in order.
    pub fn column_names(&self) -> Vec<String> {
        let schema = self.reader.metadata().file_metadata().schema_descr();
        schema
            .columns()
            .iter()
            .map(|c| c.name().to_string())
            .collect()
    }

    fn for_each_row_group(
        &self,
        name: &str,
        mut read: impl FnMut(ColumnReader, usize) -> Result<bool, ParquetError>,
    ) -> Result<(), TableError> {
        let column_error = || TableError::Column(self.path.clone(), name.to_string());
        let column = self
            .column_names()
            .iter()
            .position(|n| n == name)
            .ok_or_else(column_error)?;
        let format_error = |e| TableError::Format(self.path.clone(), e);
        for index in 0..self.reader.num_row_groups() {
            let group = self.reader.get_row_group(index).map_err(format_error)?;
            let rows = group.metadata().num_rows().max(0) as usize;
            let reader = group.get_column_reader(column).map_err(format_error)?;
            if !read(reader, rows).map_err(format_error)? {
                return Err(column_error());
            }
        }
        Ok(())
    }

    /// Reads a column of integers without nulls.
    ///
    /// # Errors
    /// The column is missing, has another type or contains nulls; the file is damaged.
    pub fn integers(&self, name: &str) -> Result<Vec<i64>, TableError> {
        let values = self.optional_integers(name)?;
        let integers: Option<Vec<i64>> = values.into_iter().collect();
        integers.ok_or_else(|| TableError::Column(self.path.clone(), name.to_string()))
    }

    /// Reads a column of integers that may contain nulls.
    ///
    /// # Errors
    /// The column is missing or has another type; the file is damaged.
    pub fn optional_integers(&self, name: &str) -> Result<Vec<Option<i64>>, TableError> {
        let mut all = Vec::with_capacity(self.row_count());
        self.for_each_row_group(name, |reader, rows| {
            let ColumnReader::Int64ColumnReader(mut reader) = reader else {
                return Ok(false);
            };
            let (mut values, mut levels) = (Vec::new(), Vec::new());
            let (records, _, _) =
                reader.read_records(rows, Some(&mut levels), None, &mut values)?;
            if levels.len() < records {
                all.extend(values.into_iter().map(Some));
            } else {
                let mut values = values.into_iter();
                all.extend(
                    levels
                        .iter()
                        .map(|level| if *level > 0 { values.next() } else { None }),
                );
            }
            Ok(true)
        })?;
        Ok(all)
    }

    /// Reads a column of strings.
    ///
    /// # Errors
    /// The column is missing or has another type; the file is damaged.
    pub fn strings(&self, name: &str) -> Result<Vec<String>, TableError> {
        let mut all = Vec::with_capacity(self.row_count());
        self.for_each_row_group(name, |reader, rows| {
            let ColumnReader::ByteArrayColumnReader(mut reader) = reader else {
                return Ok(false);
            };
            let mut values = Vec::new();
            reader.read_records(rows, None, None, &mut values)?;
            for value in values {
                all.push(value.as_utf8()?.to_string());
            }
            Ok(true)
        })?;
        Ok(all)
    }
}

#[cfg(test)]
mod tests;
