use super::*;

fn record() -> OperationsRecord {
    let mut record = OperationsRecord {
        limiter: "n3".to_string(),
        ..OperationsRecord::default()
    };
    record.disabled_servers.disable("s-1", 7);
    record.disabled_servers.disable("s-2", 8);
    record.disabled_servers.enable("s-2", 9);
    record
}

#[test]
fn a_record_is_read_as_written_and_cut_or_changed_anywhere_not_at_all() {
    let bytes = record().encode();
    assert_eq!(OperationsRecord::decode(&bytes, "n3"), Ok(record()));
    assert_eq!(
        OperationsRecord::decode(&bytes, "n4"),
        Err(RecordError::OtherLimiter)
    );
    for at in 0..bytes.len() {
        assert_eq!(
            OperationsRecord::decode(&bytes[..at], "n3"),
            Err(RecordError::Corrupt),
            "cut at {at}"
        );
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert_eq!(
            OperationsRecord::decode(&changed, "n3"),
            Err(RecordError::Corrupt),
            "changed at {at}"
        );
    }
    assert_eq!(
        OperationsRecord::decode(&[bytes.as_slice(), b" "].concat(), "n3"),
        Err(RecordError::Corrupt)
    );
}
