use super::Settings;
use test_case::test_case;

const TEXT: &str = "node: edge-a-1\nserves: [edge]\nip: 10.1.0.3\nzone: a\nregion: r\nzones: {a: r, b: s}\n\
        bind: {http: '10.1.0.3:80'}\nport_range: [7740, 7755]\nseed_peers: ['10.1.0.35:8688']\n\
        limits: {mem_mb: 260, new_one: 3}\nbounds: {drain: 2.5s, revoked: false}\nnew: [1]\n";

#[test]
fn unknown_keys_are_ignored_and_missing_ones_have_defaults() {
    let settings = Settings::parse(TEXT).unwrap();
    assert_eq!(
        (settings.bounds.drain.0, settings.bounds.apply.0),
        (2_500_000, 4_000_000)
    );
    assert_eq!(settings.seed_addresses()[0].to_string(), "10.1.0.35:7740");
    assert!(!settings.bootstrap && settings.cloud_api.is_none());
}

#[test_case("10.1.0.3", "127.0.0.1:7741"; "a host with one machine")]
#[test_case("127.0.2.3", "127.0.2.3:7741"; "a host with several machines")]
fn agent_address_is_on_loopback(ip: &str, agent_address: &str) {
    let settings =
        Settings::parse(&TEXT.replacen("ip: 10.1.0.3", &format!("ip: {ip}"), 1)).unwrap();
    assert_eq!(settings.agent_address().to_string(), agent_address);
}

#[test_case("zone: a", "zone: b", "zone"; "a zone of another region")]
#[test_case("[7740, 7755]", "[7740, 7740]", "port_range"; "too few ports")]
#[test_case("mem_mb: 260", "mem_mb: 0", "mem_mb"; "a memory limit of zero")]
#[test_case("drain: 2.5s", "drain: 2.5", "bounds"; "a duration without a unit")]
#[test_case("ip: 10.1.0.3", "ip: here", "ip"; "an invalid address")]
fn error_of_an_invalid_setting_names_the_key(from: &str, to: &str, key: &str) {
    let error = format!(
        "{:#}",
        Settings::parse(&TEXT.replacen(from, to, 1)).unwrap_err()
    );
    assert!(error.contains(key), "{error}");
}
