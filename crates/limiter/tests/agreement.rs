//! Three daemons agree on a configuration over loopback, and it holds where it is used.

mod common;

use common::*;

const SECRET: &str = "sixteen characters or more";

fn member(id: u32, addresses: &[String], folder: &std::path::Path) -> String {
    let members = addresses.iter().enumerate();
    let members: Vec<String> = members
        .map(|(n, a)| format!("{{\"id\":{},\"address\":\"{a}\"}}", n + 1))
        .collect();
    format!(
        r#"{{"listen":"{}","id":{id},"folder":"{}","secret":"{}","members":[{}]}}"#,
        addresses[id as usize - 1],
        folder.join(id.to_string()).display(),
        SECRET.replace(' ', "-"),
        members.join(",")
    )
}

fn configuration_request(method: &str, body: &str) -> String {
    format!(
        "{method} /configuration HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{body}",
        SECRET.replace(' ', "-"),
        body.len()
    )
}

fn introspection_status(at: std::net::SocketAddr) -> u16 {
    // clerk:other
    let text = "POST /introspect HTTP/1.1\r\nHost: x\r\nAuthorization: Basic Y2xlcms6b3RoZXI=\r\n\
                Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 7\r\n\r\ntoken=a";
    send_request(at, text).status
}

#[test]
fn members_agree_on_callers_and_a_caller_named_at_one_may_ask_at_another() {
    // A loopback address of this process's own: the members' addresses must be known before they listen.
    let pid = std::process::id();
    let addresses: Vec<String> = (1..=3)
        .map(|n| format!("127.{}.{}.{n}:19301", pid / 250 % 250 + 2, pid % 250 + 1))
        .collect();
    let folder = tempfile::tempdir().unwrap();
    let upstream = MockServer::start(|_, _| ok(r#"{"active":false}"#));
    let counter = start_counter();
    let front = format!(
        r#"{{"listen":"127.0.0.1:0","upstreams":["{}"],"id":"us","secret":"hush","callers":[]}}"#,
        upstream.address
    );
    let start = |id| {
        let member = member(id, &addresses, folder.path());
        Limiter::start_with_raft(&config(&[], counter.address), Some(&front), Some(&member))
    };
    let limiters: Vec<Limiter> = (1..=3).map(start).collect();
    let places: Vec<std::net::SocketAddr> = addresses.iter().map(|a| a.parse().unwrap()).collect();
    assert!(
        limiters
            .iter()
            .all(|l| introspection_status(l.introspection_address.unwrap()) == 401),
        "nobody may ask yet"
    );
    assert_eq!(
        send_request(places[0], "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n").status,
        401
    );
    let wrong = r#"{"callers":[{"id":"clerk","secret":"other","account":"5","plan":"taller"}]}"#;
    let answer = send_request(places[0], &configuration_request("PUT", wrong));
    assert!(answer.status == 400 && answer.body.starts_with(b"key 'callers[0].account'"));

    let right = wrong.replace("\"5\"", "\"0000000000000005\"");
    let (mut proposed, mut pointed) = (false, 0);
    let mut agreed = false;
    for _ in 0..2_000 {
        limiters
            .iter()
            .for_each(|limiter| limiter.advance_clock_us(50_000));
        if !proposed {
            for place in &places {
                match send_request(*place, &configuration_request("PUT", &right)) {
                    answer if answer.status == 202 => proposed = true,
                    answer if answer.status == 307 => {
                        let leader = answer.headers.get("Location").unwrap();
                        pointed +=
                            usize::from(addresses.iter().any(|a| leader.contains(a.as_str())));
                    }
                    answer => assert_eq!(answer.status, 503),
                }
                if proposed {
                    break;
                }
            }
        }
        agreed = places.iter().all(|place| {
            send_request(*place, &configuration_request("GET", "")).body == right.as_bytes()
        });
        if agreed {
            break;
        }
    }
    assert!(
        agreed,
        "proposed: {proposed}, pointed to the leader: {pointed} times"
    );
    assert!(
        limiters
            .iter()
            .all(|l| introspection_status(l.introspection_address.unwrap()) == 200)
    );
}
