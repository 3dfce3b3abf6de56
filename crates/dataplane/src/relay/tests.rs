use super::*;
use crate::framing::{self, Head, IncomingMessage};
use crate::limits::Limits;

/// Streams a response that arrives in two pieces. Returns what the client has received, and whether
/// the response is complete. `closes`: the server closes the connection after it.
fn relay_in_two_pieces(bytes: &[u8], cut: usize, closes: bool) -> Option<(Vec<u8>, bool)> {
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
            let framing = incoming.framing;
            let (head, reader, received_body) = std::mem::take(&mut incoming).into_parts()?;
            let headers = head
                .headers
                .iter()
                .filter(|(name, _)| *name == "Content-Type");
            relay = Some(Relay::begin(
                (&head, framing),
                reader,
                &received_body,
                headers,
                false,
                &mut out,
            ));
        }
    }
    let mut relay = relay?;
    let is_complete = relay.is_complete() || (closes && relay.handle_close(&mut out));
    Some((out, is_complete))
}

#[test]
fn response_is_relayed_or_its_truncation_is_detectable_for_every_framing_and_split() {
    let limits = Limits::default();
    for (response, closes) in [
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
        let (head, _, from) = ResponseHead::parse(response.as_bytes(), &limits)
            .unwrap()
            .unwrap();
        for cut in 0..=response.len() {
            let (out, is_complete) = relay_in_two_pieces(response.as_bytes(), cut, closes).unwrap();
            let (received, length) = framing::parse_response(&out, false, &limits)
                .unwrap()
                .expect("the client received a complete response");
            assert!(
                is_complete && length == out.len(),
                "cut at {cut} of {response:?}"
            );
            assert_eq!(
                (received.body.as_slice(), received.status),
                (b"abcdefgh".as_slice(), 200)
            );
            assert_eq!(
                received.headers.get("Content-Type"),
                head.headers.get("Content-Type")
            );
        }
        // The client can detect a truncation at any byte.
        for end in from..response.len() {
            let (out, is_complete) =
                relay_in_two_pieces(&response.as_bytes()[..end], from, false).unwrap();
            assert!(
                !is_complete && framing::parse_response(&out, false, &limits) == Ok(None),
                "ends at {end} of {response:?}"
            );
        }
    }
}
