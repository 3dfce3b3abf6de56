use super::*;

#[test]
fn tables_are_read_back_unchanged_and_truncated_files_are_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("t.parquet");
    let table: Table = vec![
        ("n", ColumnValues::Integers(vec![1, -2, 3])),
        (
            "p",
            ColumnValues::OptionalIntegers(vec![None, Some(7), None]),
        ),
        (
            "t",
            ColumnValues::Strings(vec!["a".into(), String::new(), "ñ".into()]),
        ),
    ];
    write(&path, &table).unwrap();
    let reader = open(&path).unwrap();
    assert_eq!(
        (reader.row_count(), reader.column_names()),
        (3, vec!["n".into(), "p".into(), "t".into()])
    );
    assert_eq!(
        ColumnValues::Integers(reader.integers("n").unwrap()),
        table[0].1
    );
    assert_eq!(
        ColumnValues::OptionalIntegers(reader.optional_integers("p").unwrap()),
        table[1].1
    );
    assert_eq!(
        ColumnValues::Strings(reader.strings("t").unwrap()),
        table[2].1
    );
    assert!(matches!(reader.integers("x"), Err(TableError::Column(..))));
    assert!(matches!(reader.integers("t"), Err(TableError::Column(..))));
    let bytes = fs::read(&path).unwrap();
    for length in (0..bytes.len()).step_by(7) {
        fs::write(&path, &bytes[..length]).unwrap();
        assert!(open(&path).is_err(), "truncated at {length}");
    }
    assert_eq!(
        fs::read_dir(folder.path()).unwrap().count(),
        1,
        "no temporary file is left"
    );
}
