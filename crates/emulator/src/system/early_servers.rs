//! Servers that answer a long request before they have read its body. Some read on and finish their answer; others end with
//! unread input, by which the operating system resets their connections, and start again later under a new id.
//!
//! What is done with a request follows from its id alone ([`Plan::of`]), so that its client knows which answer is the whole one.

mod connection;
mod plan;

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::Scope;
use std::time::Duration;

use socket2::SockRef;

use self::connection::serve_connection;
pub use self::plan::{AnswerFraming, Course, LONG_BODY_BYTES, Plan, answer_body};
use super::fleet::Fleet;
use crate::serving::listen;

/// Longest wait for a connection or for bytes, after which a thread looks whether its server has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// From the end of a server to its next start at the same address.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// For so long after its end the list still shows a server, as it does on a platform that notices crashes late.
const LISTED_AFTER_END: Duration = Duration::from_millis(900);

/// How far a server got with its answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// The head of the request was read.
    Arrived,
    /// The server has read what it reads before it answers.
    Begun,
    /// Half of the body is written.
    HalfWritten,
    /// All of it is written.
    Written,
}

/// The handling of one request by one server.
#[derive(Clone, Copy, Debug)]
pub struct Handling {
    /// How far the answer got.
    pub progress: Progress,
    /// The server ended meanwhile: whether it left input unread, by which its connection was reset.
    pub left_unread_input: Option<bool>,
}

/// All handlings of all servers, by request id.
#[derive(Debug, Default)]
pub struct Handlings(Mutex<HashMap<String, Vec<Handling>>>);

impl Handlings {
    /// The handlings of a request, in the order in which they began.
    pub fn of(&self, id: &str) -> Vec<Handling> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(id).cloned().unwrap_or_default()
    }

    /// The number of handlings whose server ended with unread input.
    pub fn ended_with_unread_input(&self) -> u64 {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let ended = |handling: &&Handling| handling.left_unread_input == Some(true);
        all.values().flatten().filter(ended).count() as u64
    }

    /// Records the arrival of a request; returns its number among those of the request.
    fn record_arrival(&self, id: &str) -> usize {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let handlings = all.entry(id.to_string()).or_default();
        handlings.push(Handling {
            progress: Progress::Arrived,
            left_unread_input: None,
        });
        handlings.len() - 1
    }

    fn update(&self, id: &str, number: usize, change: impl FnOnce(&mut Handling)) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(handling) = all.get_mut(id).and_then(|list| list.get_mut(number)) {
            change(handling);
        }
    }
}

/// One run of a server, from its start to its end.
struct ServerRun {
    id: String,
    has_ended: AtomicBool,
}

impl ServerRun {
    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }
}

/// Serves `count` servers of a service, in these zones by turns, until `is_over` holds. Returns when all have ended.
///
/// # Errors
/// An address can't be bound.
pub fn serve<'scope>(
    scope: &'scope Scope<'scope, '_>,
    fleet: &'scope Fleet,
    handlings: &'scope Handlings,
    (svc, zones): (&'scope str, &'scope [String]),
    count: usize,
    is_over: &'scope (dyn Fn() -> bool + Sync),
) -> io::Result<()> {
    for number in 0..count {
        let zone = zones
            .get(number % zones.len().max(1))
            .map_or("", String::as_str);
        let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        drop(listener);
        scope.spawn(move || {
            let mut starts = 0;
            while !is_over() {
                let id = format!("e-{number:02x}{starts:04x}");
                starts += 1;
                if run_server(scope, fleet, handlings, (svc, zone), (id, address), is_over).is_err()
                {
                    // The port may be taken for a moment by a connection that is being closed.
                    std::thread::sleep(POLL_INTERVAL);
                    continue;
                }
                std::thread::sleep(RESTART_DELAY);
            }
        });
    }
    Ok(())
}

/// Runs a server until it ends or all is over.
fn run_server<'scope>(
    scope: &'scope Scope<'scope, '_>,
    fleet: &'scope Fleet,
    handlings: &'scope Handlings,
    (svc, zone): (&str, &str),
    (id, address): (String, SocketAddr),
    is_over: &'scope (dyn Fn() -> bool + Sync),
) -> io::Result<()> {
    let listener = listen(address)?;
    listener.set_nonblocking(false)?;
    SockRef::from(&listener).set_read_timeout(Some(POLL_INTERVAL))?;
    fleet.list_server(&id, svc, zone, address);
    let run = Arc::new(ServerRun {
        id: id.clone(),
        has_ended: AtomicBool::new(false),
    });
    while !run.has_ended() && !is_over() {
        if let Ok((stream, _)) = listener.accept() {
            let run = run.clone();
            scope.spawn(move || serve_connection(stream, &run, handlings, is_over));
        }
    }
    drop(listener);
    run.has_ended.store(true, Ordering::Relaxed);
    if is_over() {
        fleet.unlist_server(&id);
    } else {
        scope.spawn(move || {
            std::thread::sleep(LISTED_AFTER_END);
            fleet.unlist_server(&id);
        });
    }
    Ok(())
}
