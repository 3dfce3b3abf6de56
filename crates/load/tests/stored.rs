//! A recorded trace that an earlier program wrote is read by the program as it is now.

use std::path::Path;

use load::trace::{Row, read, store};

const CSV: &[u8] = b"at,account,plan,class,units,limiter,id\n\
    0,0000000000000009,taller,sign-off,2,1,a\n\
    0.25,000000000000000a,empresa,search,1,,b\n";

fn recorded() -> Vec<Row> {
    read::csv(CSV).unwrap()
}

#[test]
fn a_stored_trace_is_read_as_it_was_recorded() {
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored/trace.parquet");
    assert_eq!(store::read(&stored).unwrap(), recorded());
    let folder = tempfile::tempdir().unwrap();
    let written = folder.path().join("trace.parquet");
    store::write(&written, &recorded()).unwrap();
    assert_eq!(
        std::fs::read(written).unwrap(),
        std::fs::read(stored).unwrap()
    );
}
