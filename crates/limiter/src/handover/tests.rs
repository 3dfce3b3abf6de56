use super::*;

fn record() -> Record {
    let mut record = Record {
        limiter: "n3".to_string(),
        ..Record::default()
    };
    record.bans.disable("s-1", 7);
    record.bans.disable("s-2", 8);
    record.bans.enable("s-2", 9);
    record
}

#[test]
fn a_record_is_read_as_written_and_cut_or_changed_anywhere_not_at_all() {
    let bytes = record().encode();
    assert_eq!(Record::decode(&bytes, "n3"), Ok(record()));
    assert_eq!(Record::decode(&bytes, "n4"), Err(Unusable::Foreign));
    for at in 0..bytes.len() {
        assert_eq!(
            Record::decode(&bytes[..at], "n3"),
            Err(Unusable::Damaged),
            "cut at {at}"
        );
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert_eq!(
            Record::decode(&changed, "n3"),
            Err(Unusable::Damaged),
            "changed at {at}"
        );
    }
    assert_eq!(
        Record::decode(&[bytes.as_slice(), b" "].concat(), "n3"),
        Err(Unusable::Damaged)
    );
}
