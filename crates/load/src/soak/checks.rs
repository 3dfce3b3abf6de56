//! The checks of a soak, made while it runs and at its end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, Failure, Reply, call};
use emulator::system::test_system::{TestSystem, request_headers};
use emulator::system::wait_for;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use super::ledger::RouteHistory;
use super::operators::share_of_version;
use super::{CHECK_INTERVAL, Shared};
use crate::system::clients::Wrong;

/// What was acknowledged is in force within this, as the settings' `apply` has it.
const APPLY: Duration = Duration::from_secs(4);
/// After the last fault everything is in force within this.
const SETTLE: Duration = Duration::from_secs(9);
/// Ports of the reports of agents and proxies.
const METRICS_PORTS: [u16; 2] = [
    protocol::metrics::AGENT_METRICS_PORT,
    protocol::metrics::PROXY_METRICS_PORT,
];

/// Sends requests on the operators' routes to one edge, on a connection that is kept until it is gone.
pub(super) fn watch_edge(shared: &Shared, edge: SocketAddr, seed: u64, interval: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut connection, mut number) = (None, 0_u64);
    while !shared.is_over() {
        std::thread::sleep(interval);
        let Some(route) = shared.ledger.routes().choose(&mut rng).cloned() else {
            continue;
        };
        number += 1;
        let id = format!("soak-{seed}-{number}");
        let sent_at = Instant::now();
        let answer = ask(&mut connection, edge, &route.prefix, &id);
        if let Ok(reply) = answer {
            check_answer(shared, edge, &route.name, sent_at, &reply);
        }
    }
}

fn ask(
    connection: &mut Option<Connection>,
    edge: SocketAddr,
    prefix: &str,
    id: &str,
) -> Result<Reply, Failure> {
    let until = Instant::now() + Duration::from_secs(3);
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(edge, until)?,
    };
    let request = format!(
        "GET {prefix}x HTTP/1.1\r\n{}\r\n",
        request_headers(id, 3_000)
    );
    open.send(request.as_bytes(), until)?;
    let reply = open.read_reply(until)?;
    *connection = Some(open).filter(|_| !reply.close);
    Ok(reply)
}

fn service_of(reply: &Reply) -> String {
    let text = reply.text();
    text.split(' ').next().unwrap_or_default().to_string()
}

fn check_answer(shared: &Shared, edge: SocketAddr, name: &str, sent_at: Instant, reply: &Reply) {
    // As it stands after the answer: a change sent meanwhile may be in force.
    let routes = shared.ledger.routes();
    let Some(route) = routes.iter().find(|route| route.name == name) else {
        return;
    };
    let (services, may_be_refused) = route.allowed(sent_at, APPLY);
    match reply.status {
        401 | 403 | 404 => {
            shared.refusals.fetch_add(1, Ordering::Relaxed);
            if !may_be_refused {
                shared.violate(format!(
                    "{edge} {name}: {} although it was acknowledged: {route:?}",
                    reply.status
                ));
            }
        }
        200 | 201 if shared.is_in_contact(sent_at) => {
            shared.runs.fetch_add(1, Ordering::Relaxed);
            let service = service_of(reply);
            if !services.contains(&service.as_str()) {
                shared.violate(format!("{edge} {name}: run by {service}: {route:?}"));
            }
        }
        _ => {}
    }
}

/// Reads the configuration at all replicas by turns: everything that was acknowledged before is there.
pub(super) fn watch_configuration(shared: &Shared, ctl: &[SocketAddr], seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    while !shared.is_over() {
        std::thread::sleep(CHECK_INTERVAL);
        let Some(to) = ctl.choose(&mut rng) else {
            return;
        };
        let (sent_at, known) = (Instant::now(), shared.ledger.routes());
        let until = sent_at + Duration::from_millis(1_500);
        let Ok(reply) = call(*to, "GET", "/api/cfg/get", "", b"", until) else {
            continue;
        };
        let Some(versions) = Some(&reply)
            .filter(|reply| reply.status == 200)
            .and_then(read_versions)
        else {
            continue;
        };
        shared.reads.fetch_add(1, Ordering::Relaxed);
        check_contents(shared, *to, &reply);
        for route in &known {
            check_read(
                shared,
                *to,
                route,
                sent_at,
                versions.get(&route.name).copied(),
            );
        }
    }
}

/// Each route of the operators is read with the share that was sent under its version, digit by digit.
fn check_contents(shared: &Shared, from: SocketAddr, reply: &Reply) {
    let objects = reply.text().split("{\"type\":");
    for object in objects.filter(|object| object.contains("\"name\":\"soak-")) {
        let version = object
            .split("\"ver\":")
            .nth(1)
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
            .and_then(|digits| digits.parse().ok());
        let Some(version) = version else {
            shared.violate(format!("{from} read an item without a version: {object}"));
            continue;
        };
        shared.contents.fetch_add(1, Ordering::Relaxed);
        if !object.contains(&format!("\"share\":{}", share_of_version(version))) {
            shared.violate(format!(
                "{from} read another content than was sent: {object}"
            ));
        }
    }
}

fn read_versions(reply: &Reply) -> Option<HashMap<String, u64>> {
    let body: Value = serde_json::from_slice(reply.body()).ok()?;
    let version = |item: &Value| {
        let name = item["meta"]["name"].as_str()?;
        Some((name.to_string(), item["meta"]["ver"].as_u64()?))
    };
    Some(
        body["objs"]
            .as_array()?
            .iter()
            .filter_map(version)
            .collect(),
    )
}

fn check_read(
    shared: &Shared,
    from: SocketAddr,
    route: &RouteHistory,
    sent_at: Instant,
    read: Option<u64>,
) {
    let Some(least) = route.acknowledged_before(sent_at) else {
        return;
    };
    let later = route
        .versions
        .iter()
        .filter(|version| version.number >= least.number);
    let may_be_absent = later.clone().any(|version| version.service.is_none());
    let holds = match read {
        Some(version) => version >= least.number,
        // The ledger may not have had the removal when it was looked at before the read.
        None => {
            may_be_absent
                || shared.ledger.routes().iter().any(|now| {
                    now.name == route.name
                        && now
                            .versions
                            .iter()
                            .any(|v| v.number > least.number && v.service.is_none())
                })
        }
    };
    if !holds {
        shared.violate(format!("{from} read {} as {read:?}: {route:?}", route.name));
    }
}

/// After the last fault each edge serves each route by its newest version.
pub(super) fn check_settled(shared: &Shared, system: &TestSystem, http: &[SocketAddr]) {
    let until = Instant::now() + SETTLE;
    let (mut rng, mut number) = (ChaCha8Rng::seed_from_u64(7), 0_u64);
    for (edge, address) in http.iter().enumerate() {
        if wait_for(until, || system.machines.is_ready(edge).then_some(())).is_none() {
            shared.violate(format!(
                "edge {edge} is not ready {SETTLE:?} after the last fault"
            ));
        }
        for route in shared
            .ledger
            .routes()
            .iter()
            .filter(|route| route.is_settled())
        {
            let newest = route.versions.last().and_then(|version| version.service);
            let mut last = String::new();
            let served = wait_for(until, || {
                number += 1;
                let id = format!("settled-{}-{number}", rng.random::<u32>());
                let reply = ask(&mut None, *address, &route.prefix, &id).ok()?;
                last = format!("{} {}", reply.status, service_of(&reply).trim_end());
                let is_right = match newest {
                    Some(service) => {
                        matches!(reply.status, 200 | 201) && service_of(&reply) == service
                    }
                    None => reply.status == 404,
                };
                is_right.then_some(())
            });
            if served.is_none() {
                shared.violate(format!(
                    "edge {edge} does not serve {route:?} by its newest version: {last}"
                ));
            }
        }
    }
}

/// Checks what clients and servers have seen in the whole run.
pub(super) fn check_requests(shared: &Shared, system: &TestSystem, wrong: &Wrong) {
    for what in &wrong.mixed {
        shared.violate(format!("an answer that is not the server's: {what}"));
    }
    let counts = system.fleet.counts();
    if counts.without_tenant > 0 {
        shared.violate(format!(
            "{} requests reached a server without the tenant of their key",
            counts.without_tenant
        ));
    }
    if counts.repeated_mutating > 0 {
        shared.violate(format!("{} requests ran twice", counts.repeated_mutating));
    }
    let has_run = |id: &&String| system.fleet.run_count(id) > 0;
    for id in wrong.refused.iter().filter(has_run) {
        shared.violate(format!("{id} was refused and ran"));
    }
}

/// The programs' own invariants: how often they were checked. A violated one is a violation of the run.
pub(super) fn check_programs(shared: &Shared, http: &[SocketAddr]) -> u64 {
    let mut checks = 0;
    for (address, port) in http
        .iter()
        .flat_map(|a| METRICS_PORTS.map(|port| (*a, port)))
    {
        let to = SocketAddr::new(address.ip(), port);
        let until = Instant::now() + Duration::from_secs(2);
        let Ok(reply) = call(to, "GET", "/metrics", "", b"", until) else {
            shared.violate(format!("{to} reports no figures"));
            continue;
        };
        for line in reply
            .text()
            .lines()
            .filter(|line| line.starts_with("invariant_"))
        {
            let (name, value) = line.split_once(' ').unwrap_or_default();
            let value: u64 = value.parse().unwrap_or_default();
            if name.ends_with("_checks_total") {
                checks += value;
            } else if value > 0 {
                shared.violate(format!("{to}: {line}"));
            }
        }
    }
    checks
}
