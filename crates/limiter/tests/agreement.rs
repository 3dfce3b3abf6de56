//! Three limiters agree on a configuration by Raft over loopback, and each of them applies it.

mod common;

use common::*;

const SECRET: &str = "sixteen characters or more";

fn raft_config(id: u32, addresses: &[String], directory: &std::path::Path) -> String {
    let members = addresses.iter().enumerate();
    let members: Vec<String> = members
        .map(|(n, a)| format!("{{\"id\":{},\"address\":\"{a}\"}}", n + 1))
        .collect();
    format!(
        r#"{{"listen":"{}","id":{id},"folder":"{}","secret":"{}","members":[{}]}}"#,
        addresses[id as usize - 1],
        directory.join(id.to_string()).display(),
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

fn introspection_status(address: std::net::SocketAddr) -> u16 {
    // The credentials are the base64 of `clerk:other`.
    let text = "POST /introspect HTTP/1.1\r\nHost: x\r\nAuthorization: Basic Y2xlcms6b3RoZXI=\r\n\
                Content-Type: application/x-www-form-urlencoded\r\nContent-Length: 7\r\n\r\ntoken=a";
    send_request(address, text).status
}

#[test]
fn callers_configured_at_one_member_are_accepted_at_every_member() {
    // Loopback addresses derived from the process id, because the members' addresses must be known before they listen.
    let pid = std::process::id();
    let addresses: Vec<String> = (1..=3)
        .map(|n| format!("127.{}.{}.{n}:19301", pid / 250 % 250 + 2, pid % 250 + 1))
        .collect();
    let directory = tempfile::tempdir().unwrap();
    let upstream = MockServer::start(|_, _| ok(r#"{"active":false}"#));
    let counter = start_counter();
    let introspection_config = format!(
        r#"{{"listen":"127.0.0.1:0","upstreams":["{}"],"id":"us","secret":"hush","callers":[]}}"#,
        upstream.address
    );
    let start = |id| {
        let raft_config_text = raft_config(id, &addresses, directory.path());
        Limiter::start_with_raft(
            &config(&[], counter.address),
            Some(&introspection_config),
            Some(&raft_config_text),
        )
    };
    let limiters: Vec<Limiter> = (1..=3).map(start).collect();
    let member_addresses: Vec<std::net::SocketAddr> =
        addresses.iter().map(|a| a.parse().unwrap()).collect();
    assert!(
        limiters
            .iter()
            .all(|limiter| introspection_status(limiter.introspection_address.unwrap()) == 401),
        "no caller is configured yet"
    );
    assert_eq!(
        send_request(
            member_addresses[0],
            "GET /configuration HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        .status,
        401
    );
    let invalid_document =
        r#"{"callers":[{"id":"clerk","secret":"other","account":"5","plan":"taller"}]}"#;
    let response = send_request(
        member_addresses[0],
        &configuration_request("PUT", invalid_document),
    );
    assert!(response.status == 400 && response.body.starts_with(b"key 'callers[0].account'"));

    let valid_document = invalid_document.replace("\"5\"", "\"0000000000000005\"");
    let (mut proposed, mut redirect_count) = (false, 0);
    let mut agreed = false;
    for _ in 0..2_000 {
        limiters
            .iter()
            .for_each(|limiter| limiter.advance_clock_us(50_000));
        if !proposed {
            for member_address in &member_addresses {
                match send_request(
                    *member_address,
                    &configuration_request("PUT", &valid_document),
                ) {
                    response if response.status == 202 => proposed = true,
                    response if response.status == 307 => {
                        let leader = response.headers.get("Location").unwrap();
                        redirect_count +=
                            usize::from(addresses.iter().any(|a| leader.contains(a.as_str())));
                    }
                    response => assert_eq!(response.status, 503),
                }
                if proposed {
                    break;
                }
            }
        }
        agreed = member_addresses.iter().all(|member_address| {
            send_request(*member_address, &configuration_request("GET", "")).body
                == valid_document.as_bytes()
        });
        if agreed {
            break;
        }
    }
    assert!(
        agreed,
        "no agreement; accepted by the leader: {proposed}, redirects to the leader: {redirect_count}"
    );
    assert!(
        limiters
            .iter()
            .all(|limiter| introspection_status(limiter.introspection_address.unwrap()) == 200)
    );
}
