//! The operators of a soak: they add, move and remove routes until the run is over.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use emulator::system::client::Connection;
use emulator::system::operator::{Change, Operator};
use emulator::system::test_system::{SERVICES, route};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::Shared;

/// An operator gives up an order after this.
const ORDER: Duration = Duration::from_secs(8);
/// The share of the orders that set a route; the others remove one.
const SET_ORDERS: f64 = 0.6;
/// The share of the orders that are first sent without waiting for the answer.
const LOST_ANSWERS: f64 = 0.3;
/// Routes of each operator: so many that a version mostly lasts longer than `APPLY`, or anything would be allowed.
const ROUTES: usize = 40;

/// A number of many digits that is sent with this version of a route.
pub(super) fn share_of_version(version: u64) -> f64 {
    1.0 / (version as f64 + 10.0)
}

/// Adds, moves and removes routes one after the other; some orders are first sent by somebody who does not wait for the
/// answer. Gives how many were acknowledged.
pub(super) fn operate(shared: &Shared, ctl: Vec<SocketAddr>, number: u64, seed: u64) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 2 + number);
    let mut operator = Operator::new(ctl.clone());
    let (mut version, mut acknowledged) = (1, 0);
    while !shared.orders_over.load(Ordering::Relaxed) {
        version += rng.random_range(1..4);
        let name = format!("soak-{number}-{}", rng.random_range(0..ROUTES));
        let prefix = format!("/{name}/");
        let service = SERVICES
            .choose(&mut rng)
            .copied()
            .filter(|_| rng.random::<f64>() < SET_ORDERS);
        let change = match service {
            Some(service) => {
                let mut spec = route(&prefix, service);
                spec["share"] = json!(share_of_version(version));
                Change::default().set("routes", &name, version, spec)
            }
            None => Change::default().drop("routes", &name, version),
        };
        shared.ledger.record_sent(&name, &prefix, version, service);
        if rng.random::<f64>() < LOST_ANSWERS
            && let Some(to) = ctl.choose(&mut rng)
        {
            send_and_leave(*to, &change, rng.random_range(0..20));
        }
        if operator.change(&change, Instant::now() + ORDER).is_ok() {
            shared.ledger.record_acknowledged(&name, version);
            acknowledged += 1;
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(20..400)));
    }
    acknowledged
}

/// Sends an order whose answer nobody reads.
fn send_and_leave(to: SocketAddr, change: &Change, stays_ms: u64) {
    let until = Instant::now() + Duration::from_secs(1);
    if let Ok(mut connection) = Connection::open(to, until) {
        let body = change.body();
        let head = format!(
            "POST /api/cfg/patch HTTP/1.1\r\nHost: core\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        // It is of no interest whether it arrives.
        let _ = connection.send(format!("{head}{body}").as_bytes(), until);
        std::thread::sleep(Duration::from_millis(stays_ms));
    }
}
