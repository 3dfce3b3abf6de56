use super::*;
use crate::dataplane_types::{FrameLimits, IncomingMessage, RequestHead};
use test_case::test_case;

fn read(method: &str, target: &str) -> Result<Command, Reply> {
    let mut input =
        format!("{method} {target} HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{}}").into_bytes();
    let mut incoming: IncomingMessage<RequestHead> = IncomingMessage::default();
    incoming
        .read(&mut input, 100, &FrameLimits::default())
        .unwrap();
    let (head, _, body) = incoming.into_parts().unwrap();
    parse_command(Request::new(head, body))
}

#[test_case("POST", "/api/cfg/patch", Ok(Command::ApplyPatch(b"{}".to_vec())); "a change")]
#[test_case("GET", "/api/cfg/get?x=1", Ok(Command::GetConfiguration); "a reading")]
#[test_case("GET", "/api/status", Ok(Command::GetStatus); "a look")]
#[test_case("POST", "/api/drain/a/begin", Ok(Command::SetEvacuation { zone: "a".into(), evacuate: true }); "an evacuation")]
#[test_case("POST", "/api/drain/a/finish", Ok(Command::SetEvacuation { zone: "a".into(), evacuate: false }); "its end")]
#[test_case("GET", "/api/drain/a/finish", Err(Reply::MethodNotAllowed); "another method")]
#[test_case("POST", "/api/drain/a/stop", Err(Reply::NotFound("path: /api/drain/a/stop".into())); "another word")]
#[test_case("POST", "/api/cfg/patch/x", Err(Reply::NotFound("path: /api/cfg/patch/x".into())); "a longer path")]
fn call_is_parsed_or_rejected(method: &str, target: &str, is: Result<Command, Reply>) {
    assert_eq!(read(method, target), is);
}
