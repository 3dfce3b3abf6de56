//! Tables in Parquet with zstd: written whole or not at all, read back by column name.

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

/// Rows of a group: what is held in memory beside the table itself.
const GROUP: usize = 1 << 18;

/// A column: a name and as many values as every other.
#[derive(Clone, Debug, PartialEq)]
pub enum ColumnValues {
    /// Whole numbers.
    Integers(Vec<i64>),
    /// Whole numbers that may be missing.
    OptionalIntegers(Vec<Option<i64>>),
    /// Texts.
    Strings(Vec<String>),
}

/// A table: columns by name, in order.
pub type Table = Vec<(&'static str, ColumnValues)>;

/// Why a table can't be written or read.
#[derive(Debug)]
pub enum TableError {
    /// The system's word on a file.
    File(PathBuf, io::Error),
    /// The file is no whole Parquet file, or the format's own fault.
    Format(PathBuf, ParquetError),
    /// A column is missing or of another type.
    Column(PathBuf, String),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::File(path, error) => write!(f, "{}: {error}", path.display()),
            TableError::Format(path, error) => {
                write!(f, "{}: not a whole table: {error}", path.display())
            }
            TableError::Column(path, name) => {
                write!(f, "{}: no column '{name}' of its type", path.display())
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

    fn field(&self, name: &str) -> Result<Type, ParquetError> {
        let (physical, repetition) = match self {
            ColumnValues::Integers(_) => (Physical::INT64, Repetition::REQUIRED),
            ColumnValues::OptionalIntegers(_) => (Physical::INT64, Repetition::OPTIONAL),
            ColumnValues::Strings(_) => (Physical::BYTE_ARRAY, Repetition::REQUIRED),
        };
        let text = matches!(self, ColumnValues::Strings(_)).then_some(LogicalType::String);
        Type::primitive_type_builder(name, physical)
            .with_repetition(repetition)
            .with_logical_type(text)
            .build()
    }
}

/// Writes a file whole or not at all: beside its place first, then moved there.
///
/// # Errors
/// The system's; nothing half-written is left at either place.
pub fn write_atomically<E>(
    path: &Path,
    fail: impl Fn(io::Error) -> E,
    write: impl FnOnce(File) -> Result<File, E>,
) -> Result<(), E> {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(format!(".part-{}", std::process::id()));
    let beside = path.with_file_name(name);
    let done = File::create(&beside)
        .map_err(&fail)
        .and_then(write)
        .and_then(|file| {
            file.sync_all().map_err(&fail)?;
            fs::rename(&beside, path).map_err(&fail)
        });
    if done.is_err() {
        // What can't be removed was not made either, or the error above names the disk's fault.
        let _ = fs::remove_file(&beside);
    }
    done
}

/// Writes a table.
///
/// # Errors
/// The system's, most often a full disk; then nothing is left.
pub fn write(path: &Path, table: &Table) -> Result<(), TableError> {
    let format = |e| TableError::Format(path.to_path_buf(), e);
    write_atomically(
        path,
        |e| TableError::File(path.to_path_buf(), e),
        |file| write_to(file, table).map_err(format),
    )
}

fn write_to(file: File, table: &Table) -> Result<File, ParquetError> {
    let fields = table
        .iter()
        .map(|(name, values)| values.field(name).map(Arc::new))
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
    let mut at = 0;
    while at < rows {
        let end = (at + GROUP).min(rows);
        let mut group = writer.next_row_group()?;
        let mut columns = table.iter();
        while let Some(mut column) = group.next_column()? {
            let Some((_, values)) = columns.next() else {
                break;
            };
            match (values, column.untyped()) {
                (ColumnValues::Integers(v), ColumnWriter::Int64ColumnWriter(w)) => {
                    w.write_batch(&v[at..end], None, None)?;
                }
                (ColumnValues::OptionalIntegers(v), ColumnWriter::Int64ColumnWriter(w)) => {
                    let there: Vec<i64> = v[at..end].iter().flatten().copied().collect();
                    let levels: Vec<i16> =
                        v[at..end].iter().map(|v| i16::from(v.is_some())).collect();
                    w.write_batch(&there, Some(&levels), None)?;
                }
                (ColumnValues::Strings(v), ColumnWriter::ByteArrayColumnWriter(w)) => {
                    let bytes: Vec<ByteArray> =
                        v[at..end].iter().map(|t| t.as_str().into()).collect();
                    w.write_batch(&bytes, None, None)?;
                }
                _ => return Err(ParquetError::General("a column of another type".into())),
            }
            column.close()?;
        }
        group.close()?;
        at = end;
    }
    writer.into_inner()
}

/// A table's columns as they stand in a file.
pub struct TableReader {
    path: PathBuf,
    reader: SerializedFileReader<File>,
}

/// Opens a table.
///
/// # Errors
/// A file that is missing, cut or no Parquet file.
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
    /// Rows.
    pub fn row_count(&self) -> usize {
        self.reader.metadata().file_metadata().num_rows().max(0) as usize
    }

    /// Column names.
    pub fn column_names(&self) -> Vec<String> {
        let schema = self.reader.metadata().file_metadata().schema_descr();
        schema
            .columns()
            .iter()
            .map(|c| c.name().to_string())
            .collect()
    }

    fn each(
        &self,
        name: &str,
        mut take: impl FnMut(ColumnReader, usize) -> Result<bool, ParquetError>,
    ) -> Result<(), TableError> {
        let lacks = || TableError::Column(self.path.clone(), name.to_string());
        let column = self
            .column_names()
            .iter()
            .position(|n| n == name)
            .ok_or_else(lacks)?;
        let format = |e| TableError::Format(self.path.clone(), e);
        for number in 0..self.reader.num_row_groups() {
            let group = self.reader.get_row_group(number).map_err(format)?;
            let rows = group.metadata().num_rows().max(0) as usize;
            let reader = group.get_column_reader(column).map_err(format)?;
            if !take(reader, rows).map_err(format)? {
                return Err(lacks());
            }
        }
        Ok(())
    }

    /// A column of whole numbers, all there.
    ///
    /// # Errors
    /// The column is missing or of another type; the file is damaged.
    pub fn integers(&self, name: &str) -> Result<Vec<i64>, TableError> {
        let perhaps = self.optional_integers(name)?;
        let all: Option<Vec<i64>> = perhaps.into_iter().collect();
        all.ok_or_else(|| TableError::Column(self.path.clone(), name.to_string()))
    }

    /// A column of whole numbers, some of which may be missing.
    ///
    /// # Errors
    /// As [`Stored::numbers`].
    pub fn optional_integers(&self, name: &str) -> Result<Vec<Option<i64>>, TableError> {
        let mut all = Vec::with_capacity(self.row_count());
        self.each(name, |reader, rows| {
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

    /// A column of texts.
    ///
    /// # Errors
    /// As [`Stored::numbers`].
    pub fn strings(&self, name: &str) -> Result<Vec<String>, TableError> {
        let mut all = Vec::with_capacity(self.row_count());
        self.each(name, |reader, rows| {
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
