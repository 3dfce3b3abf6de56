//! A small but complete system: the servers, the machines with the built programs, the operator, and an initial
//! configuration of two services, two routes and a tenant.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::client::{Failure, Reply, call};
use super::fleet::Fleet;
use super::machines::{Layout, Machines, zones};
use super::operator::{Change, Operator};
use super::platform;
use super::server::{HEALTH_PATH, ServerConfig};

/// Host name of all routes.
pub const HOST: &str = "town.example";
/// Name of the tenant.
pub const TENANT: &str = "guild";
/// API key of the tenant.
pub const TENANT_KEY: &str = "key-of-the-guild";
/// Names of the services.
pub const SERVICES: [&str; 2] = ["bakery", "press"];
/// Path prefix of idempotent requests.
pub const READ_PREFIX: &str = "/read/";
/// Path prefix of requests that must not be repeated.
pub const WRITE_PREFIX: &str = "/write/";
/// Calls per second that the platform accepts.
const PLATFORM_CALLS_PER_S: usize = 20;
/// Delay after which the platform's list shows a change, in microseconds.
const PLATFORM_LAG_US: i64 = 300_000;
/// Time after the list shows a server as draining from which on no request may reach it, in microseconds.
const DRAIN_US: i64 = 4_000_000;
/// Servers per service and zone.
const SERVERS_PER_ZONE: usize = 2;

/// Size of the system.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of zones, each in its own region and with one core machine.
    pub zones: usize,
    /// Edge machines per zone.
    pub edges: usize,
    /// See [`Layout::net`].
    pub net: (u8, u8),
}

/// A running system.
pub struct TestSystem {
    /// The platform's instance list and the servers.
    pub fleet: Fleet,
    /// The machines.
    pub machines: Machines,
    /// The operator.
    pub operator: Operator,
}

/// Configuration of a server of a service.
pub fn server_config(svc: &str, zone: &str) -> ServerConfig {
    let (svc, zone) = (svc.to_string(), zone.to_string());
    ServerConfig {
        svc,
        zone,
        max_concurrent: 8,
        max_waiting: 16,
        work: 8_000,
        warm_up: 1_000_000,
        keep_alive_s: 5,
    }
}

/// Configuration of a route to a service.
pub fn route(prefix: &str, svc: &str) -> Value {
    let kind = if prefix == WRITE_PREFIX {
        "mutating"
    } else {
        "idem"
    };
    json!({"host": HOST, "prefix": prefix, "kind": kind, "timeout": "3000ms", "target_time": "500ms", "prio": 1,
        "svc": svc, "tries": 3, "public": false, "pins": []})
}

/// Configuration of a service with health checks.
pub fn service() -> Value {
    json!({"hcheck": HEALTH_PATH, "maxconn": 200, "proto": "h1", "tls": false, "warmup": "1s", "cold_rate_s": 20.0})
}

/// The initial configuration, with all items at version 1.
pub fn initial_configuration() -> Change {
    let services = SERVICES.iter().fold(Change::default(), |change, svc| {
        change.set("svcs", svc, 1, service())
    });
    services
        .set("routes", "reads", 1, route(READ_PREFIX, SERVICES[0]))
        .set("routes", "writes", 1, route(WRITE_PREFIX, SERVICES[0]))
        .set(
            "tenants",
            TENANT,
            1,
            json!({"apikeys": [TENANT_KEY], "prio": 1, "per_s": 0, "burst": 0, "pins": []}),
        )
        .set(
            "limits",
            "",
            1,
            json!({"hdr_bytes": 16384, "body_bytes": 1048576, "hdr": "3000ms", "idle": "15000ms"}),
        )
}

impl TestSystem {
    /// Starts everything and waits until the initial configuration is accepted and all edges are ready.
    ///
    /// # Errors
    /// What could not be started, or was not ready in time.
    pub fn start(
        folder: &Path,
        programs: &Path,
        size: Size,
        until: Instant,
    ) -> Result<TestSystem, String> {
        let to_text = |error: std::io::Error| error.to_string();
        let fleet = Fleet::start(
            platform::PlatformConfig {
                visibility_delay: PLATFORM_LAG_US,
                page_size: 5,
                per_s: PLATFORM_CALLS_PER_S,
            },
            DRAIN_US,
        )
        .map_err(to_text)?;
        let zones = zones(size.zones);
        for (zone, _) in &zones {
            for svc in SERVICES.iter().flat_map(|svc| [svc; SERVERS_PER_ZONE]) {
                fleet
                    .start_server(server_config(svc, zone), true, None)
                    .map_err(to_text)?;
            }
        }
        let (folder, programs) = (folder.to_path_buf(), programs.to_path_buf());
        let (net, edges, platform) = (size.net, size.edges, fleet.platform());
        let plan = Layout {
            folder,
            programs_folder: programs,
            net,
            zones,
            edges,
            platform,
            per_s: PLATFORM_CALLS_PER_S,
        };
        let mut machines = Machines::new(plan).map_err(to_text)?;
        machines.start_cores().map_err(to_text)?;
        machines.start_edges().map_err(to_text)?;
        let operator = Operator::new((0..machines.cores()).map(|n| machines.ctl(n)).collect());
        let mut system = TestSystem {
            fleet,
            machines,
            operator,
        };
        system.operator.change(&initial_configuration(), until)?;
        if !system.machines.wait_until_ready(until) {
            return Err(format!(
                "not all edges became ready before the deadline; programs that exited: {}",
                system.machines.unexpected_exits().join("\n")
            ));
        }
        Ok(system)
    }

    /// Sends one request to an edge, without a retry.
    ///
    /// # Errors
    /// There is no answer before the deadline.
    pub fn send_request(&self, edge: usize, path: &str) -> Result<Reply, Failure> {
        static ASKED: AtomicU64 = AtomicU64::new(0);
        let id = format!("once-{}", ASKED.fetch_add(1, Ordering::Relaxed));
        let method = if path.starts_with(WRITE_PREFIX) {
            "POST"
        } else {
            "GET"
        };
        call(
            self.machines.http(edge),
            method,
            path,
            &request_headers(&id, 3_000),
            b"",
            Instant::now() + Duration::from_secs(4),
        )
    }

    /// The service that answers a request to an edge; `None` unless the status is 200.
    pub fn served_by(&self, edge: usize, path: &str) -> Option<String> {
        let reply = self
            .send_request(edge, path)
            .ok()
            .filter(|reply| reply.status == 200)?;
        Some(reply.text().split(' ').next()?.to_string())
    }
}

/// Headers of a client's request; `left`: how long the client waits, in milliseconds.
pub fn request_headers(id: &str, left: u128) -> String {
    format!(
        "Host: {HOST}\r\nAuthorization: Bearer {TENANT_KEY}\r\nX-Request-Id: {id}\r\nX-Time-Left: {left}\r\n"
    )
}
