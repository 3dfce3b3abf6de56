use super::*;
use crate::dataplane_types::{FrameLimits, IncomingMessage, RequestHead};
use test_case::test_case;

fn parse(method: &str, target: &str) -> Result<Command, Reply> {
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
#[test_case("GET", "/api/cfg/get?x=1", Ok(Command::GetConfiguration); "configuration")]
#[test_case("GET", "/api/status", Ok(Command::GetStatus); "status")]
#[test_case("POST", "/api/drain/a/begin", Ok(Command::SetEvacuation { zone: "a".into(), evacuate: true }); "begin of an evacuation")]
#[test_case("POST", "/api/drain/a/finish", Ok(Command::SetEvacuation { zone: "a".into(), evacuate: false }); "end of an evacuation")]
#[test_case("GET", "/api/drain/a/finish", Err(Reply::MethodNotAllowed); "wrong method")]
#[test_case("POST", "/api/drain/a/stop", Err(Reply::NotFound("path: /api/drain/a/stop".into())); "unknown action")]
#[test_case("POST", "/api/cfg/patch/x", Err(Reply::NotFound("path: /api/cfg/patch/x".into())); "surplus path segment")]
fn call_is_parsed_or_rejected(method: &str, target: &str, expected: Result<Command, Reply>) {
    assert_eq!(parse(method, target), expected);
}
