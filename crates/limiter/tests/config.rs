//! Configuration: accepted texts, derived limits, and errors that name the invalid key.

mod common;

use common::{config, unreachable_address};
use limiter::config::Environment;

fn config_error(text: &str) -> String {
    Environment::default()
        .parse(text)
        .expect_err("the configuration is invalid")
        .to_string()
}

#[test]
fn error_names_the_full_path_of_an_invalid_key() {
    let valid_config = config(&[unreachable_address()], unreachable_address());
    assert!(Environment::default().parse(&valid_config).is_ok());
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
        let text = valid_config.replacen(from, to, 1);
        assert_ne!(text, valid_config, "{from}");
        assert!(
            config_error(&text).starts_with(key),
            "{}",
            config_error(&text)
        );
    }
    assert!(config_error("{").starts_with("not JSON"));
}

#[test]
fn environment_variables_override_keys_and_are_named_in_errors() {
    let valid_config = config(&[], unreachable_address());
    let parse_with_listen = |listen: &str| {
        Environment {
            listen: Some(listen.into()),
            ..Environment::default()
        }
        .parse(&valid_config)
    };
    assert_eq!(parse_with_listen("127.0.0.1:9").unwrap().listen.port(), 9);
    assert!(
        parse_with_listen("nine")
            .unwrap_err()
            .to_string()
            .starts_with("key 'ROUTER_LISTEN'")
    );
}

#[test]
fn limits_are_derived_from_the_sockets_and_memory_of_the_machine() {
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
        "silent connections are allowed in addition to busy ones"
    );
    assert!(limits.max_pending_request_bytes < 32 << 20);
    assert!(
        limits.upstream_idle_timeout < 10_000_000,
        "well before the server closes an idle connection after 15 s"
    );
    assert_eq!(limits.shutdown_timeout, 4_600_000);
    let limits_for = |sockets: u32, memory: u32| {
        let machine_limits =
            format!("{{\"limits\":{{\"sockets\":{sockets},\"memory_mb\":{memory}}},");
        Environment::default()
            .parse(&config(&[], unreachable_address()).replacen('{', &machine_limits, 1))
            .unwrap()
            .limits
    };
    for (sockets, memory) in [(256, 32), (384, 48), (1_024, 32), (1_024, 192)] {
        let limits = limits_for(sockets, memory);
        let total_window_bytes = limits.relay_window_bytes * limits.max_client_connections;
        assert!(
            total_window_bytes <= (memory as usize) << 18,
            "transfers on all connections use at most a quarter of the memory"
        );
        assert!((8 << 10..=64 << 10).contains(&limits.relay_window_bytes));
    }
}

#[test]
fn introspection_and_raft_are_off_without_an_address_and_errors_name_the_key() {
    let mut config = Environment::default()
        .parse(&config(&[], unreachable_address()))
        .unwrap();
    config
        .apply_introspection(include_str!("../../../deploy/introspection.json"))
        .unwrap();
    config
        .apply_raft(include_str!("../../../deploy/raft.json"))
        .unwrap();
    assert!(
        config.introspection.is_none() && config.raft.is_none(),
        "both are off in the shipped files"
    );
    let enabled_config = |rest: &str| format!("{{\"listen\":\"127.0.0.1:0\",{rest}}}");
    let caller = "\"upstreams\":[\"127.0.0.1:1\"],\"id\":\"a\",\"secret\":\"b\",\"callers\":[{\"id\":\"c\",\"secret\":\"d\"";
    for (text, key) in [
        (
            enabled_config("\"upstreams\":[]"),
            "key 'introspection.upstreams'",
        ),
        (
            enabled_config("\"upstreams\":[\"x\"]"),
            "key 'introspection.upstreams[0]'",
        ),
        (
            enabled_config("\"upstreams\":[\"127.0.0.1:1\"],\"id\":\"a\""),
            "key 'introspection.secret'",
        ),
        (
            enabled_config(&format!("{caller}}}]")),
            "key 'introspection.callers[0].account'",
        ),
        (
            enabled_config(&format!(
                "{caller},\"account\":\"0000000000000001\",\"plan\":\"gold\"}}]"
            )),
            "key 'introspection.callers[0].plan'",
        ),
    ] {
        let error = config.apply_introspection(&text).unwrap_err().to_string();
        assert!(error.starts_with(key), "{error}");
    }
    let members = "\"members\":[{\"id\":1,\"address\":\"127.0.0.1:1\"}],\"folder\":\"f\"";
    for (text, key) in [
        (
            enabled_config(&format!(
                "{members},\"id\":2,\"secret\":\"0123456789abcdef\""
            )),
            "key 'raft.id'",
        ),
        (
            enabled_config(&format!("{members},\"id\":1,\"secret\":\"short\"")),
            "key 'raft.secret'",
        ),
    ] {
        let error = config.apply_raft(&text).unwrap_err().to_string();
        assert!(error.starts_with(key), "{error}");
    }
}

#[test]
fn even_shares_without_a_counter_are_opt_in_and_unknown_values_are_rejected() {
    let mut config = Environment::default()
        .parse(&config(&[], unreachable_address()))
        .unwrap();
    config
        .apply_shared_state(include_str!("../../../deploy/shared.json"))
        .unwrap();
    assert!(
        !config.settings.even_shares_counter_lost,
        "off in the shipped file"
    );
    config
        .apply_shared_state(r#"{"counter_lost": "slices"}"#)
        .unwrap();
    assert!(config.settings.even_shares_counter_lost);
    let error = config
        .apply_shared_state(r#"{"counter_lost": "shares"}"#)
        .unwrap_err()
        .to_string();
    assert!(error.starts_with("key 'shared.counter_lost'"), "{error}");
    assert!(
        config
            .apply_shared_state(r#"{"counter_los": "open"}"#)
            .unwrap_err()
            .to_string()
            .contains("shared")
    );
}

#[test]
fn unknown_keys_are_rejected_in_our_files_and_ignored_in_the_platform_configuration() {
    let platform_config = config(&[unreachable_address()], unreachable_address()).replacen(
        '{',
        "{\"new_of_the_platform\":{\"a\":[1]},",
        1,
    );
    let mut config = Environment::default().parse(&platform_config).unwrap();
    let error = |r: Result<(), limiter::config::ConfigError>| r.unwrap_err().to_string();
    assert_eq!(
        error(config.apply_introspection("{\"listen\":null,\"up_streams\":[]}")),
        "key 'introspection.up_streams': unknown key; did you mean 'upstreams'?"
    );
    assert_eq!(
        error(config.apply_raft("{\"members\":[{\"id\":1,\"adress\":\"127.0.0.1:1\"}]}")),
        "key 'raft.members[0].adress': unknown key; did you mean 'address'?"
    );
    assert!(error(config.apply_raft("{\"listen\"")).starts_with("not JSON"));
    assert!(
        config.introspection.is_none() && config.raft.is_none(),
        "an invalid file changes nothing"
    );
}

#[test]
fn null_equals_absent_and_integers_may_be_written_as_decimals() {
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
