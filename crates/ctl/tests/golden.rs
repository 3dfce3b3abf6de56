//! The JSON that `streamarchctl` prints must keep its keys, as operators' scripts read it.

use std::collections::BTreeMap;

use control::core::status::{LimiterStatus, ReplicaStatus, RoleStatus, Status};
use control::disk::{CorruptRecord, Report};
use ctl::configuration::Configuration;
use ctl::diff::diff;
use ctl::status::{ReplicaAnswer, combine};
use serde::Serialize;

fn pretty_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap()
}

fn status() -> Status {
    let address = "10.1.0.10:7740".parse().ok();
    Status {
        zone: "alajuela".into(),
        program_version: "0.1.0".into(),
        incarnation: 3,
        run: 4,
        is_participant: true,
        has_quorum_contact: true,
        items: 350,
        digest: "0123456789abcdef".into(),
        server_list_version: (4, 9),
        replicas: vec![ReplicaStatus {
            zone: "heredia".into(),
            incarnation: 1,
            address,
            is_reachable: true,
        }],
        roles: vec![RoleStatus {
            role: "count".into(),
            holder: None,
            term: 0,
        }],
        limiters: vec![LimiterStatus {
            node: "edge-1".into(),
            zone: "alajuela".into(),
            replica: "alajuela".into(),
            is_connected: true,
            state: "leaving".into(),
            items: Some(349),
            lag_ms: Some(4_001),
        }],
        ..Status::default()
    }
}

#[test]
fn json_of_the_status_keeps_its_keys() {
    let address = |last_octet: u8| std::net::SocketAddr::from(([10, 1, 0, last_octet], 8688));
    let answers = vec![
        ReplicaAnswer {
            address: address(10),
            status: Some(status()),
            error: None,
        },
        ReplicaAnswer {
            address: address(11),
            status: None,
            error: Some("10.1.0.11:8688: refused".into()),
        },
    ];
    insta::assert_snapshot!("status", pretty_json(&combine(answers)));
}

#[test]
fn json_of_a_difference_keeps_its_keys() {
    let parse = |text: &str| Configuration::parse(text.as_bytes()).unwrap();
    let old = parse(
        r#"{"objs":[{"type":"svcs","meta":{"name":"a","ver":1},"spec":{"maxconn":1}},
            {"type":"svcs","meta":{"name":"b","ver":1},"spec":{}}]}"#,
    );
    let new = parse(
        r#"{"objs":[{"type":"svcs","meta":{"name":"a","ver":2},"spec":{"maxconn":2}},
            {"type":"svcs","meta":{"name":"c","ver":1},"spec":{}}]}"#,
    );
    insta::assert_snapshot!("difference", pretty_json(&diff(old, new)));
}

#[test]
fn json_of_a_verify_report_keeps_its_keys() {
    let fault = CorruptRecord {
        table: "chosen".into(),
        name: "svcs/a".into(),
        what: "does not match its checksum".into(),
    };
    let report = Report {
        schema: 1,
        incarnation: 3,
        run: 4,
        registers: 350,
        chosen: 349,
        highest: BTreeMap::from([("svcs", 7)]),
        commits: 2,
        faults: vec![fault],
    };
    insta::assert_snapshot!("report", pretty_json(&report));
}
