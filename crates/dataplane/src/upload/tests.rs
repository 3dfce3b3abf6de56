use slotmap::SlotMap;

use super::*;

/// An upload of at most 100 bytes, of which 4 forwarded ones stay buffered.
fn upload(framing: BodyFraming) -> Upload {
    Upload::new(
        framing,
        BodyReader::new(framing, 100).unwrap(),
        Vec::new(),
        4,
    )
}

#[test]
fn buffered_body_can_be_sent_by_several_attempts() {
    let mut keys = SlotMap::<ConnectionKey, ()>::with_key();
    let (first, second) = (keys.insert(()), keys.insert(()));
    let mut upload = upload(BodyFraming::Length(8));
    let (mut out, mut second_out) = (Vec::new(), Vec::new());
    upload.read(&mut b"ab".to_vec(), None).unwrap();
    upload.start_attempt(first, &mut out);
    upload.read(&mut b"cd".to_vec(), Some(&mut out)).unwrap();
    assert_eq!(
        (out.as_slice(), upload.is_discarded(), upload.attempt()),
        (b"abcd".as_slice(), false, Some(first))
    );
    upload.end_attempt();
    upload.start_attempt(second, &mut second_out);
    upload
        .read(&mut b"efghIJ".to_vec(), Some(&mut second_out))
        .unwrap();
    assert_eq!(
        (second_out.as_slice(), upload.is_complete()),
        (b"abcdefgh".as_slice(), true)
    );
    assert!(
        upload.is_discarded() && upload.buffered_bytes() == 0,
        "the body can be sent by no third attempt"
    );
}

#[test]
fn chunked_body_ends_once_per_attempt_and_following_bytes_stay() {
    let mut keys = SlotMap::<ConnectionKey, ()>::with_key();
    let mut upload = upload(BodyFraming::Chunked);
    let (mut input, mut out, mut second_out) = (
        b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\nGET".to_vec(),
        Vec::new(),
        Vec::new(),
    );
    upload.start_attempt(keys.insert(()), &mut out);
    upload.read(&mut input, Some(&mut out)).unwrap();
    upload.read(&mut input, Some(&mut out)).unwrap();
    assert_eq!(
        (out.as_slice(), input.as_slice()),
        (b"3\r\nabc\r\n0\r\n\r\n".as_slice(), b"GET".as_slice())
    );
    upload.start_attempt(keys.insert(()), &mut second_out);
    assert_eq!(second_out, out);
    assert_eq!(
        super::Upload::read(
            &mut self::upload(BodyFraming::Chunked),
            &mut b"x".to_vec(),
            None
        ),
        Err(ParseError::Syntax)
    );
}
