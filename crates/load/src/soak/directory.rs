//! A check of the directory: clients are led only to regions where all routes of their host may be served.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use emulator::system::client::call;
use emulator::system::operator::{Change, Operator};
use emulator::system::test_system::{SERVICES, route};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use super::{CHECK_INTERVAL, Shared};

/// The host that has a pinned route.
const PINNED_HOST: &str = "pinned.example";
/// A lookup is given up after this: a replica may hold it until an edge is ready.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// An edge or a directory, and its region.
pub(super) struct Place {
    /// Its address.
    pub(super) address: SocketAddr,
    /// Its region.
    pub(super) region: String,
}

/// The regions of the pinned route: all but the last one.
fn pins(regions: &[String]) -> &[String] {
    &regions[..regions.len().saturating_sub(1)]
}

/// Sets the pinned route, which stays the same for the whole run.
pub(super) fn configure(
    operator: &mut Operator,
    regions: &[String],
    until: Instant,
) -> Result<(), String> {
    let mut pinned_route = route("/", SERVICES[0]);
    pinned_route["host"] = json!(PINNED_HOST);
    pinned_route["pins"] = json!(pins(regions));
    let change = Change::default().set("routes", "pinned", 1, pinned_route);
    operator.change(&change, until)
}

/// Looks the pinned host up for clients of all regions, at all replicas, until the run is over.
pub(super) fn watch(
    shared: &Shared,
    directories: &[SocketAddr],
    edges: &[Place],
    regions: &[String],
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xd1ec);
    while !shared.is_over() {
        std::thread::sleep(CHECK_INTERVAL);
        let (Some(directory), Some(region)) =
            (directories.choose(&mut rng), regions.choose(&mut rng))
        else {
            return;
        };
        // Some clients name the port, or write the host in capitals.
        let host = match rng.random_range(0..3) {
            0 => PINNED_HOST.to_string(),
            1 => format!("{PINNED_HOST}:80"),
            _ => PINNED_HOST.to_uppercase(),
        };
        let path = format!("/api/lookup?name={host}&region={region}&zone=z");
        let until = Instant::now() + LOOKUP_TIMEOUT;
        let Ok(reply) = call(*directory, "GET", &path, "", b"", until) else {
            continue;
        };
        if reply.status != 200 {
            continue;
        }
        shared.lookups.fetch_add(1, Ordering::Relaxed);
        let is_permitted =
            |place: &Place| place.region == *region || pins(regions).contains(&place.region);
        for place in edges.iter().filter(|place| !is_permitted(place)) {
            if names(reply.body(), place.address) {
                shared.violate(format!(
                    "{directory} leads clients of {region} to {} in {}",
                    place.address, place.region
                ));
            }
        }
    }
}

/// Whether the answer to a lookup names this address.
fn names(body: &[u8], address: SocketAddr) -> bool {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let addresses = answer["addrs"].as_array();
    addresses.is_some_and(|addresses| addresses.contains(&json!(address.to_string())))
}
