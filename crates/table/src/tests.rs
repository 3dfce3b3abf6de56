use super::*;

#[test]
fn a_table_comes_back_as_it_was_and_a_cut_one_is_refused() {
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
    let stored = open(&path).unwrap();
    assert_eq!(
        (stored.row_count(), stored.column_names()),
        (3, vec!["n".into(), "p".into(), "t".into()])
    );
    assert_eq!(
        ColumnValues::Integers(stored.integers("n").unwrap()),
        table[0].1
    );
    assert_eq!(
        ColumnValues::OptionalIntegers(stored.optional_integers("p").unwrap()),
        table[1].1
    );
    assert_eq!(
        ColumnValues::Strings(stored.strings("t").unwrap()),
        table[2].1
    );
    assert!(matches!(stored.integers("x"), Err(TableError::Column(..))));
    assert!(matches!(stored.integers("t"), Err(TableError::Column(..))));
    let bytes = fs::read(&path).unwrap();
    for cut in (0..bytes.len()).step_by(7) {
        fs::write(&path, &bytes[..cut]).unwrap();
        assert!(open(&path).is_err(), "cut at {cut}");
    }
    assert_eq!(
        fs::read_dir(folder.path()).unwrap().count(),
        1,
        "nothing half-written is left"
    );
}
