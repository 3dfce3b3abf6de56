use super::*;
use crate::framing::{self, Head, IncomingMessage};
use crate::limits::Limits;

/// Streams an answer that arrives in two pieces; returns what the client has received, and whether
/// it is complete.
fn relayed(bytes: &[u8], cut: usize, ends: bool) -> Option<(Vec<u8>, bool)> {
    let limits = Limits::default();
    let (mut out, mut input) = (Vec::new(), Vec::new());
    let (mut incoming, mut relay) = (IncomingMessage::<ResponseHead>::default(), None::<Relay>);
    for piece in [&bytes[..cut], &bytes[cut..]] {
        input.extend_from_slice(piece);
        if let Some(relay) = &mut relay {
            relay.forward(&mut input, &mut out).ok()?;
            continue;
        }
        incoming.read(&mut input, 1_000, &limits).ok()?;
        if incoming.head().is_some() {
            let extent = incoming.framing;
            let (head, reader, come) = std::mem::take(&mut incoming).into_parts()?;
            let lines = head
                .headers
                .iter()
                .filter(|(name, _)| *name == "Content-Type");
            relay = Some(Relay::begin(
                (&head, extent),
                reader,
                &come,
                lines,
                false,
                &mut out,
            ));
        }
    }
    let mut relay = relay?;
    let whole = relay.is_complete() || (ends && relay.handle_close(&mut out));
    Some((out, whole))
}

#[test]
fn every_framing_and_split_yields_the_same_body_or_a_detectable_truncation() {
    let limits = Limits::default();
    for (answer, ends) in [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nContent-Type: a/b\r\n\r\nabcdefgh",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n5\r\ndefgh\r\n0\r\nT: 1\r\n\r\n",
            false,
        ),
        (
            "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nConnection: keep, Close\r\n\r\nabcdefgh",
            true,
        ),
    ] {
        let (head, _, from) = ResponseHead::parse(answer.as_bytes(), &limits)
            .unwrap()
            .unwrap();
        for cut in 0..=answer.len() {
            let (out, whole) = relayed(answer.as_bytes(), cut, ends).unwrap();
            let (read, length) = framing::parse_response(&out, false, &limits)
                .unwrap()
                .expect("whole");
            assert!(whole && length == out.len(), "cut at {cut} of {answer:?}");
            assert_eq!(
                (read.body.as_slice(), read.status),
                (b"abcdefgh".as_slice(), 200)
            );
            assert_eq!(
                read.headers.get("Content-Type"),
                head.headers.get("Content-Type")
            );
        }
        // The client can detect a truncation at any byte.
        for end in from..answer.len() {
            let (out, whole) = relayed(&answer.as_bytes()[..end], from, false).unwrap();
            assert!(
                !whole && framing::parse_response(&out, false, &limits) == Ok(None),
                "ends at {end} of {answer:?}"
            );
        }
    }
}
