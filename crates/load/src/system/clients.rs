//! Clients of the whole system, open-loop: requests go out at the instants of their schedule, whatever has become of
//! those before. Each client asks a control program where to go, tries again as it is told, and looks at whose answer
//! it got.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, Failure, Reply, call};
use emulator::system::server::echo;
use emulator::system::test_system::{HOST, READ_PREFIX, TENANT, WRITE_PREFIX, request_headers};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use crate::Micros;
use crate::records::{Outcome, Try};

/// A client gives up after this.
const DEADLINE: Duration = Duration::from_secs(3);
/// Tries of a request at most.
const TRIES: u8 = 4;
/// First wait between two tries; each is twice as long.
const WAIT: Duration = Duration::from_millis(30);
/// Share of the requests that must not be repeated.
const WRITTEN: f64 = 0.3;
/// Share of the answers that end the client's use of its connection.
const LEAVES: f64 = 0.2;
/// Requests that are under way at once at most.
const AT_ONCE: usize = 64;
/// Longest time that an answer to where-to-go holds.
const TTL_MAX: Duration = Duration::from_secs(5);
/// The work of a slow request in milliseconds: longer than the target of its route.
const SLOW_WORK_MS: std::ops::Range<u32> = 600..1_400;
/// A request that ends this long before its client's deadline has not used up its time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// An answer to where-to-go comes within this, or another control program is asked.
const LOOK_UP: Duration = Duration::from_secs(1);

/// What may be served by whom at present; changed while the clients run.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Services that may run a prefix's requests.
    pub allowed: HashMap<&'static str, Vec<&'static str>>,
    /// Prefixes of further reads.
    pub more: Vec<&'static str>,
}

/// What clients saw that must never be.
#[derive(Clone, Debug, Default)]
pub struct Wrong {
    /// Answers that are not the server's to this request.
    pub mixed: Vec<String>,
    /// Answers by a service that no configuration in force lets go to it, and refusals of what it allows.
    pub stale: Vec<String>,
    /// Ids of requests that must not be repeated and were refused: they must not have run.
    pub refused: Vec<String>,
    /// Requests that ended without their server's answer before their deadline: no server may have been running them.
    pub given_up: Vec<GivenUp>,
}

/// A request that ended without its server's answer before its deadline.
#[derive(Clone, Debug)]
pub struct GivenUp {
    /// Its id.
    pub id: String,
    /// The edge that it was sent to.
    pub edge: SocketAddr,
    /// When it was sent completely, and when it ended.
    pub sent_and_ended_at: (Instant, Instant),
    /// The status of the answer, or the failure.
    pub end: String,
}

/// All clients.
pub struct Clients {
    /// When requests go out, since the start.
    pub instants: Vec<Micros>,
    /// The start.
    pub start: Instant,
    /// For what is drawn by chance.
    pub seed: u64,
    /// Zone, region, and the control programs to be asked from there, nearest first.
    pub places: Vec<(String, String, Vec<SocketAddr>)>,
    /// Where to go, by place.
    lists: Vec<Mutex<Vec<SocketAddr>>>,
    /// What may be served by whom.
    pub rules: Mutex<Rules>,
    /// An open connection is used until it is gone, also to an edge that is not listed any more.
    pub keeps_connections: bool,
    /// The share of the requests that take their server [`SLOW_WORK_MS`].
    pub slow_share: f64,
    wrong: Mutex<Wrong>,
    next: AtomicUsize,
    over: AtomicBool,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn id(seed: u64, request: usize, number: u8) -> String {
    format!("{:08x}{request:06x}{number:02x}", seed as u32)
}

impl Clients {
    /// Clients who begin now.
    pub fn new(
        instants: Vec<Micros>,
        seed: u64,
        places: Vec<(String, String, Vec<SocketAddr>)>,
        rules: Rules,
    ) -> Clients {
        let lists = places.iter().map(|_| Mutex::default()).collect();
        Clients {
            instants,
            start: Instant::now(),
            seed,
            places,
            lists,
            rules: Mutex::new(rules),
            keeps_connections: false,
            slow_share: 0.0,
            wrong: Mutex::default(),
            next: AtomicUsize::new(0),
            over: AtomicBool::new(false),
        }
    }

    /// Sends all and waits for their ends; `stop` ends it earlier.
    pub fn run(&self, stop: &AtomicBool) -> (Vec<Try>, Wrong) {
        let tries = std::thread::scope(|scope| {
            for place in 0..self.places.len() {
                scope.spawn(move || self.look_up(place));
            }
            let workers: Vec<_> = (0..AT_ONCE)
                .map(|_| scope.spawn(|| self.work(stop)))
                .collect();
            let tries = workers
                .into_iter()
                .filter_map(|worker| worker.join().ok())
                .flatten()
                .collect();
            self.over.store(true, Ordering::Relaxed);
            tries
        });
        (tries, std::mem::take(&mut *lock(&self.wrong)))
    }

    /// Keeps a place's list of addresses fresh. One that can't be had anew is used on.
    fn look_up(&self, place: usize) {
        let (zone, region, replicas) = &self.places[place];
        let path = format!("/api/lookup?name={HOST}&region={region}&zone={zone}");
        while !self.over.load(Ordering::Relaxed) {
            let found = replicas.iter().take(3).find_map(|replica| {
                let reply = call(*replica, "GET", &path, "", b"", Instant::now() + LOOK_UP).ok()?;
                let body: Value = serde_json::from_slice(reply.body())
                    .ok()
                    .filter(|_| reply.status == 200)?;
                let text = |v: &Value| v.as_str()?.parse().ok();
                let addresses: Vec<SocketAddr> =
                    body["addrs"].as_array()?.iter().filter_map(text).collect();
                let ttl = body["ttl"].as_str()?.strip_suffix("ms")?.parse().ok()?;
                Some((addresses, Duration::from_millis(ttl)))
                    .filter(|(addresses, _)| !addresses.is_empty())
            });
            let again =
                Instant::now() + found.as_ref().map_or(WAIT, |(_, ttl)| (*ttl).min(TTL_MAX));
            if let Some((addresses, _)) = found {
                *lock(&self.lists[place]) = addresses;
            }
            // In steps, so that the end is not held up.
            while Instant::now() < again && !self.over.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Takes up requests, each at its instant.
    fn work(&self, stop: &AtomicBool) -> Vec<Try> {
        let (mut tries, mut open) = (Vec::new(), HashMap::new());
        while !stop.load(Ordering::Relaxed) {
            let request = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(at) = self.instants.get(request) else {
                break;
            };
            let at = self.start + Duration::from_micros(*at as u64);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.request(request, at, &mut open, &mut tries);
        }
        tries
    }

    fn request(
        &self,
        request: usize,
        at: Instant,
        open: &mut HashMap<SocketAddr, Connection>,
        tries: &mut Vec<Try>,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(
            self.seed ^ (request as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
        let rules = lock(&self.rules).clone();
        let written = rng.random::<f64>() < WRITTEN;
        let reads: Vec<&str> = std::iter::once(READ_PREFIX)
            .chain(rules.more.iter().copied())
            .collect();
        let prefix = if written {
            WRITE_PREFIX
        } else {
            reads.choose(&mut rng).copied().unwrap_or(READ_PREFIX)
        };
        let path = format!("{prefix}{request}?of={}", rng.random::<u32>());
        let body = if written {
            format!("what {request} writes")
        } else {
            String::new()
        };
        let work_ms =
            (rng.random::<f64>() < self.slow_share).then(|| rng.random_range(SLOW_WORK_MS));
        let (until, mut intended, mut failed) = (at + DEADLINE, at, None);
        for number in 0..TRIES {
            let list = lock(&self.lists[request % self.places.len()]).clone();
            open.retain(|address, _| self.keeps_connections || list.contains(address));
            let others: Vec<_> = list
                .iter()
                .copied()
                .filter(|address| Some(*address) != failed)
                .collect();
            let kept = open.keys().copied().find(|_| self.keeps_connections);
            let to = kept.or(others.choose(&mut rng).or(list.first()).copied());
            let Some(to) = to else {
                tries.push(self.ended(request, number, intended, None, 0, Outcome::NotSent));
                intended = Instant::now() + WAIT;
                std::thread::sleep(WAIT);
                continue;
            };
            let id = id(self.seed, request, number);
            let (sent, answer) = one(to, &id, &path, (&body, work_ms), open, until);
            let outcome = match &answer {
                Ok(reply) => Outcome::of(reply.status),
                Err(Failure::NotSent(_)) => Outcome::NotSent,
                Err(Failure::TimedOut) => Outcome::Unanswered,
                Err(Failure::Closed | Failure::Broken(_) | Failure::UnexpectedBytes) => {
                    Outcome::Failed
                }
            };
            let status = answer.as_ref().map_or(0, |reply| reply.status);
            tries.push(self.ended(request, number, intended, sent, status, outcome));
            self.look(&answer, &id, (&path, prefix, &body), &rules);
            self.record_given_up(&answer, &id, to, sent, until);
            if answer.is_err() || rng.random::<f64>() < LEAVES {
                open.remove(&to);
            }
            let promised = matches!(status, 408 | 421 | 429 | 503);
            let again = !matches!(status, 400 | 401 | 404 | 413 | 431 | 200..=299);
            if written && !promised && outcome != Outcome::NotSent || !again {
                return;
            }
            failed = Some(to);
            let left = until.saturating_duration_since(Instant::now());
            let told = answer
                .ok()
                .and_then(|reply| reply.retry_after)
                .unwrap_or(0)
                .max(0) as u64;
            let wait =
                (WAIT * 2_u32.pow(number.into())).max(Duration::from_micros(told).min(left / 3));
            if wait >= left {
                return;
            }
            intended = Instant::now() + wait;
            std::thread::sleep(wait);
        }
    }

    fn ended(
        &self,
        request: usize,
        number: u8,
        intended: Instant,
        sent: Option<Instant>,
        status: u16,
        outcome: Outcome,
    ) -> Try {
        let since = |at: Instant| at.saturating_duration_since(self.start).as_micros() as Micros;
        let (intended, sent, ended) = (since(intended), sent.map(since), since(Instant::now()));
        Try {
            request: request as u32,
            number,
            target: 0,
            intended,
            sent,
            ended,
            status,
            outcome,
        }
    }

    /// Records a request that was sent completely and ended before its deadline by the edge's own failure.
    fn record_given_up(
        &self,
        answer: &Result<Reply, Failure>,
        id: &str,
        edge: SocketAddr,
        sent: Option<Instant>,
        until: Instant,
    ) {
        let ended_at = Instant::now();
        let Some(sent_at) = sent.filter(|_| ended_at + DEADLINE_MARGIN < until) else {
            return;
        };
        let end = match answer {
            Ok(reply) if matches!(reply.status, 502 | 504) => reply.status.to_string(),
            Err(failure @ (Failure::Closed | Failure::Broken(_))) => format!("{failure:?}"),
            _ => return,
        };
        lock(&self.wrong).given_up.push(GivenUp {
            id: id.to_string(),
            edge,
            sent_and_ended_at: (sent_at, ended_at),
            end,
        });
    }

    /// Whose answer it is, and whether the configuration in force allows it. `rules`: as they were before the sending.
    fn look(
        &self,
        answer: &Result<Reply, Failure>,
        id: &str,
        (path, prefix, body): (&str, &str, &str),
        rules: &Rules,
    ) {
        let method = if prefix == WRITE_PREFIX {
            "POST"
        } else {
            "GET"
        };
        let mut wrong = lock(&self.wrong);
        match answer {
            Ok(reply) if (200..300).contains(&reply.status) => {
                let (who, ran) = reply.text().trim_end().split_once('\n').unwrap_or_default();
                let own = ran == echo(id, method, path, TENANT, body.as_bytes());
                if !own
                    || reply.header("X-Server-Seal").is_none()
                    || reply.header("X-Request-Id") != Some(id)
                {
                    wrong.mixed.push(format!("{id} {path}: {:?}", reply.text()));
                }
                let svc = who.split(' ').next().unwrap_or_default();
                if !rules
                    .allowed
                    .get(prefix)
                    .is_some_and(|allowed| allowed.contains(&svc))
                {
                    wrong.stale.push(format!("{id} {path}: run by {svc:?}"));
                }
            }
            Ok(reply) if matches!(reply.status, 408 | 421 | 429 | 503) => {
                wrong
                    .refused
                    .extend((method == "POST").then(|| id.to_string()));
            }
            Ok(reply) if (300..500).contains(&reply.status) => {
                wrong.stale.push(format!(
                    "{id} {path}: {} {}",
                    reply.status,
                    reply.text().trim_end()
                ));
            }
            Err(Failure::UnexpectedBytes) => wrong
                .mixed
                .push(format!("{id} {path}: bytes behind the answer")),
            _ => {}
        }
    }
}

/// One try: on a connection that is open, or on a new one. Gives when it was written whole.
fn one(
    to: SocketAddr,
    id: &str,
    path: &str,
    (body, work_ms): (&str, Option<u32>),
    open: &mut HashMap<SocketAddr, Connection>,
    until: Instant,
) -> (Option<Instant>, Result<Reply, Failure>) {
    let mut connection = match open
        .remove(&to)
        .map_or_else(|| Connection::open(to, until), Ok)
    {
        Ok(connection) => connection,
        Err(failure) => return (None, Err(failure)),
    };
    let method = if body.is_empty() { "GET" } else { "POST" };
    let lines = request_headers(
        id,
        until.saturating_duration_since(Instant::now()).as_millis(),
    );
    let work = work_ms.map_or(String::new(), |ms| format!("X-Work-Ms: {ms}\r\n"));
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{lines}{work}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if let Err(failure) = connection.send(request.as_bytes(), until) {
        return (None, Err(failure));
    }
    let sent = Some(Instant::now());
    let answer = connection.read_reply(until);
    if answer.as_ref().is_ok_and(|reply| !reply.close) {
        open.insert(to, connection);
    }
    (sent, answer)
}
