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
fn a_record_round_trips_and_is_rejected_if_truncated_or_changed_at_any_byte() {
    let bytes = record().encode();
    assert_eq!(OperationsRecord::decode(&bytes, "n3"), Ok(record()));
    assert_eq!(
        OperationsRecord::decode(&bytes, "n4"),
        Err(RecordError::OtherLimiter)
    );
    for index in 0..bytes.len() {
        assert_eq!(
            OperationsRecord::decode(&bytes[..index], "n3"),
            Err(RecordError::Corrupt),
            "cut at {index}"
        );
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert_eq!(
            OperationsRecord::decode(&changed, "n3"),
            Err(RecordError::Corrupt),
            "changed at {index}"
        );
    }
    assert_eq!(
        OperationsRecord::decode(&[bytes.as_slice(), b" "].concat(), "n3"),
        Err(RecordError::Corrupt)
    );
}
