//! Configuration: what is read, and messages that name the faulty key.

mod common;

use common::{config, unreachable_address};
use limiter::config::Environment;

fn fault(text: &str) -> String {
    Environment::default()
        .parse(text)
        .expect_err("a fault")
        .to_string()
}

#[test]
fn a_faulty_key_is_named_with_those_it_lies_under() {
    let good = config(&[unreachable_address()], unreachable_address());
    assert!(Environment::default().parse(&good).is_ok());
    for (from, to, key) in [
        (
            "\"listen\":\"127.0.0.1:0\"",
            "\"listen\":\"here\"",
            "key 'listen'",
        ),
        (
            "\"listen\":\"127.0.0.1:0\",",
            "",
            "key 'listen': is missing",
        ),
        ("\"settings\"", "\"other\"", "key 'settings': is missing"),
        (
            "\"PeriodUs\":1",
            "\"PeriodUs\":\"1\"",
            "key 'settings.PeriodUs'",
        ),
        (
            "\"retryable\"",
            "\"often\"",
            "key 'settings.Lanes[0].Semantics': unknown semantics 'often'",
        ),
        (
            "\"Group\":\"cell\"",
            "\"Group\":\"rack\"",
            "key 'settings.Lanes[1].Group'",
        ),
        (
            "\"Name\":\"empresa\",",
            "",
            "key 'settings.Tariffs[1].Name': is missing",
        ),
        (
            "\"MaxAttempts\":4",
            "\"MaxAttempts\":-4",
            "key 'settings.Permissions.MaxAttempts'",
        ),
        (
            "\"Counter\":true",
            "\"Counter\":\"yes\"",
            "key 'settings.Specifics.Counter'",
        ),
        ("\"seed\":\"7\"", "\"seed\":\"x\"", "key 'seed'"),
    ] {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good, "{from}");
        assert!(fault(&text).starts_with(key), "{}", fault(&text));
    }
    assert!(fault("{").starts_with("not JSON"));
}

#[test]
fn variables_stand_above_keys_and_are_named_when_faulty() {
    let good = config(&[], unreachable_address());
    let with = |listen: &str| {
        Environment {
            listen: Some(listen.into()),
            ..Environment::default()
        }
        .parse(&good)
    };
    assert_eq!(with("127.0.0.1:9").unwrap().listen.port(), 9);
    assert!(
        with("nine")
            .unwrap_err()
            .to_string()
            .starts_with("key 'ROUTER_LISTEN'")
    );
}

#[test]
fn limits_keep_within_what_the_machine_allows() {
    let text = config(&[], unreachable_address()).replacen(
        '{',
        "{\"limits\":{\"sockets\":300,\"memory_mb\":192},",
        1,
    );
    let limits = Environment::default().parse(&text).unwrap().limits;
    assert_eq!(
        (
            limits.max_client_connections,
            limits.max_upstream_connections
        ),
        (156, 104)
    );
    assert!(
        limits.max_client_connections > 300 / 3,
        "silent connections come on top of the busy ones"
    );
    assert!(limits.max_pending_request_bytes < 32 << 20);
    assert!(
        limits.upstream_idle_timeout < 10_000_000,
        "well before the server's 15 s"
    );
    assert_eq!(limits.shutdown_timeout, 4_600_000);
    let of = |sockets: u32, memory: u32| {
        let machine = format!("{{\"limits\":{{\"sockets\":{sockets},\"memory_mb\":{memory}}},");
        Environment::default()
            .parse(&config(&[], unreachable_address()).replacen('{', &machine, 1))
            .unwrap()
            .limits
    };
    for (sockets, memory) in [(256, 32), (384, 48), (1_024, 32), (1_024, 192)] {
        let limits = of(sockets, memory);
        let all = limits.relay_window_bytes * limits.max_client_connections;
        assert!(
            all <= (memory as usize) << 18,
            "transfers on all connections have a quarter of the memory at the most"
        );
        assert!((8 << 10..=64 << 10).contains(&limits.relay_window_bytes));
    }
}

#[test]
fn the_second_front_and_raft_are_off_without_an_address_and_their_faults_are_named() {
    let mut read = Environment::default()
        .parse(&config(&[], unreachable_address()))
        .unwrap();
    read.apply_introspection(include_str!("../../../deploy/introspection.json"))
        .unwrap();
    read.apply_raft(include_str!("../../../deploy/raft.json"))
        .unwrap();
    assert!(
        read.introspection.is_none() && read.raft.is_none(),
        "as they are shipped"
    );
    let front = |rest: &str| format!("{{\"listen\":\"127.0.0.1:0\",{rest}}}");
    let caller = "\"upstreams\":[\"127.0.0.1:1\"],\"id\":\"a\",\"secret\":\"b\",\"callers\":[{\"id\":\"c\",\"secret\":\"d\"";
    for (text, key) in [
        (front("\"upstreams\":[]"), "key 'introspection.upstreams'"),
        (
            front("\"upstreams\":[\"x\"]"),
            "key 'introspection.upstreams[0]'",
        ),
        (
            front("\"upstreams\":[\"127.0.0.1:1\"],\"id\":\"a\""),
            "key 'introspection.secret'",
        ),
        (
            front(&format!("{caller}}}]")),
            "key 'introspection.callers[0].account'",
        ),
        (
            front(&format!(
                "{caller},\"account\":\"0000000000000001\",\"plan\":\"gold\"}}]"
            )),
            "key 'introspection.callers[0].plan'",
        ),
    ] {
        let error = read.apply_introspection(&text).unwrap_err().to_string();
        assert!(error.starts_with(key), "{error}");
    }
    let members = "\"members\":[{\"id\":1,\"address\":\"127.0.0.1:1\"}],\"folder\":\"f\"";
    for (text, key) in [
        (
            front(&format!(
                "{members},\"id\":2,\"secret\":\"0123456789abcdef\""
            )),
            "key 'raft.id'",
        ),
        (
            front(&format!("{members},\"id\":1,\"secret\":\"short\"")),
            "key 'raft.secret'",
        ),
    ] {
        let error = read.apply_raft(&text).unwrap_err().to_string();
        assert!(error.starts_with(key), "{error}");
    }
}

#[test]
fn slices_while_the_counter_is_lost_only_where_named_and_a_wrong_word_is_refused_by_its_key() {
    let mut read = Environment::default()
        .parse(&config(&[], unreachable_address()))
        .unwrap();
    read.apply_shared_state(include_str!("../../../deploy/shared.json"))
        .unwrap();
    assert!(!read.settings.even_shares_counter_lost, "as it is shipped");
    read.apply_shared_state(r#"{"counter_lost": "slices"}"#)
        .unwrap();
    assert!(read.settings.even_shares_counter_lost);
    let error = read
        .apply_shared_state(r#"{"counter_lost": "shares"}"#)
        .unwrap_err()
        .to_string();
    assert!(error.starts_with("key 'shared.counter_lost'"), "{error}");
    assert!(
        read.apply_shared_state(r#"{"counter_los": "open"}"#)
            .unwrap_err()
            .to_string()
            .contains("shared")
    );
}

#[test]
fn a_misspelt_key_of_our_own_files_is_named_and_one_of_the_platform_is_passed_over() {
    let platform = config(&[unreachable_address()], unreachable_address()).replacen(
        '{',
        "{\"new_of_the_platform\":{\"a\":[1]},",
        1,
    );
    let mut read = Environment::default().parse(&platform).unwrap();
    let error = |r: Result<(), limiter::config::ConfigError>| r.unwrap_err().to_string();
    assert_eq!(
        error(read.apply_introspection("{\"listen\":null,\"up_streams\":[]}")),
        "key 'introspection.up_streams': unknown key; did you mean 'upstreams'?"
    );
    assert_eq!(
        error(read.apply_raft("{\"members\":[{\"id\":1,\"adress\":\"127.0.0.1:1\"}]}")),
        "key 'raft.members[0].adress': unknown key; did you mean 'address'?"
    );
    assert!(error(read.apply_raft("{\"listen\"")).starts_with("not JSON"));
    assert!(
        read.introspection.is_none() && read.raft.is_none(),
        "a faulty file changes nothing"
    );
}

#[test]
fn absent_and_null_are_alike_and_numbers_may_be_decimal() {
    let text =
        config(&[], unreachable_address()).replacen("\"Instances\":1", "\"Instances\":1.0", 1);
    let text = text
        .replacen("\"Probes\":false", "\"Probes\":null", 1)
        .replacen("\"Counter\":true", "\"Counter\":1", 1);
    let settings = Environment::default().parse(&text).unwrap().settings;
    assert_eq!(
        (
            settings.gateway_count,
            settings.can_probe,
            settings.counter_available
        ),
        (1, false, true)
    );
}
