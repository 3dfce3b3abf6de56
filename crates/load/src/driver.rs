//! The clients on sockets: a loop a thread, each with its part of the requests, connections of its own, and records in
//! memory until the run is over.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use emulator::http;
use emulator::reactor::{self, Reactor, Ready};
use slab::Slab;

use crate::Micros;
use crate::generator::{End, Generator, Order, Sending, Setup, write_request};
use crate::records::Try;

/// Bytes taken from a socket at once.
const READ: usize = 16 * 1024;
/// Longest answer that is taken in.
const ANSWER: usize = 4 * 1024 * 1024;
/// After an interrupt what is out may still be answered for so long.
const GRACE: Micros = 200_000;
/// Longest wait of a loop, so that an interrupt is seen.
const LOOK: Micros = 50_000;
/// Connections on their way up to a target at once.
const RISING: usize = 64;
/// Orders carried out before sockets are looked at again.
const AT_ONCE: usize = 256;

/// What a run shows while it goes on.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests taken up.
    pub taken: AtomicU64,
    /// Tries ended.
    pub ended: AtomicU64,
    /// Set to end the run before its time.
    pub stop: Arc<AtomicBool>,
}

/// What a run brought.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// Every try.
    pub tries: Vec<Try>,
    /// It was ended before its time.
    pub interrupted: bool,
    /// Times that the system gave no descriptor or no port.
    pub no_sockets: u64,
    /// Times that a try waited because all connections were taken.
    pub no_connections: u64,
    /// Connections opened.
    pub opened: u64,
    /// Length of the run.
    pub span: Micros,
}

/// Sends the whole schedule to the targets, on so many threads, and waits for its end.
///
/// # Errors
/// The system's, before the first request goes out.
pub fn run(
    setup: &Arc<Setup>,
    targets: &[SocketAddr],
    threads: usize,
    progress: &Progress,
) -> io::Result<Outcomes> {
    let most = (setup.scenario.generator.connections / threads).max(1);
    reactor::reserve_descriptors(setup.scenario.generator.connections + 64 * threads);
    let start = Instant::now();
    let reactors: Vec<Reactor> = (0..threads)
        .map(|_| Reactor::new())
        .collect::<io::Result<_>>()?;
    let clients = reactors
        .into_iter()
        .enumerate()
        .map(|(part, reactor)| Clients {
            setup: setup.clone(),
            generator: Generator::new(setup.clone(), part, threads),
            reactor,
            targets: targets
                .iter()
                .map(|at| Target {
                    at: *at,
                    idle: Vec::new(),
                    waiting: VecDeque::new(),
                    rising: 0,
                })
                .collect(),
            lines: Slab::new(),
            by_token: BTreeMap::new(),
            most,
            start,
            outcomes: Outcomes::default(),
            buffer: vec![0; READ],
        });
    let parts: Vec<Outcomes> = std::thread::scope(|scope| {
        let run = |clients: Clients| scope.spawn(move || clients.run(progress));
        let running: Vec<_> = clients.map(run).collect();
        running
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    if parts.len() < threads {
        return Err(io::Error::other("a part of the generator ended in a panic"));
    }
    let mut whole = Outcomes::default();
    for part in parts {
        whole.tries.extend(part.tries);
        whole.interrupted |= part.interrupted;
        whole.no_sockets += part.no_sockets;
        whole.no_connections += part.no_connections;
        whole.opened += part.opened;
        whole.span = whole.span.max(part.span);
    }
    whole.tries.sort_unstable_by_key(|t| (t.request, t.number));
    Ok(whole)
}

/// So many threads hold a rate in requests a second, on so many cores.
pub fn threads_for(rate: f64, cores: usize) -> usize {
    ((rate / 25_000.0).ceil() as usize).clamp(1, (cores / 2).max(1))
}

struct Target {
    at: SocketAddr,
    idle: Vec<usize>,
    /// Tries for which no connection is free, in their order. The next one that comes up or is answered takes the
    /// first: a try is not bound to a connection that was opened because of it.
    waiting: VecDeque<(usize, Sending)>,
    /// Connections on their way up.
    rising: usize,
}

struct Line {
    socket: TcpStream,
    target: usize,
    up: bool,
    token: Option<usize>,
    /// The request as it is written, kept whole until an answer begins: it may have to go out once more.
    out: Vec<u8>,
    done: usize,
    read: Vec<u8>,
    /// It has carried a request before this one.
    used: bool,
}

struct Clients {
    setup: Arc<Setup>,
    generator: Generator,
    reactor: Reactor,
    targets: Vec<Target>,
    lines: Slab<Line>,
    by_token: BTreeMap<usize, usize>,
    most: usize,
    start: Instant,
    outcomes: Outcomes,
    buffer: Vec<u8>,
}

impl Clients {
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn run(mut self, progress: &Progress) -> Outcomes {
        self.reactor.set_precise_timer();
        let mut ready: Vec<Ready> = Vec::new();
        let mut ends: Option<Micros> = None;
        let (mut taken, mut ended) = (0, 0);
        loop {
            let mut budget = AT_ONCE;
            while let Some(order) = self.generator.poll(self.now()) {
                match order {
                    Order::Send(token, sending) => self.send(token, sending),
                    Order::GiveUp(token) => self.give_up(token),
                }
                budget -= 1;
                if budget == 0 {
                    break;
                }
            }
            let (more_taken, more_ended) = self.generator.progress();
            progress
                .taken
                .fetch_add((more_taken - taken) as u64, Ordering::Relaxed);
            progress
                .ended
                .fetch_add((more_ended - ended) as u64, Ordering::Relaxed);
            (taken, ended) = (more_taken, more_ended);
            if progress.stop.load(Ordering::Relaxed) && ends.is_none() {
                self.generator.interrupt();
                self.outcomes.interrupted = true;
                ends = Some(self.now() + GRACE);
            }
            let now = self.now();
            if self.generator.done() || ends.is_some_and(|at| at <= now) {
                break;
            }
            let wait = self
                .generator
                .next()
                .map_or(LOOK, |at| (at - now).clamp(0, LOOK));
            if self.reactor.wait(Some(wait), &mut ready).is_err() {
                // Guards against a loop that fails at once for ever.
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
            ready.iter().for_each(|event| self.ready(event));
            (0..self.targets.len()).for_each(|target| self.raise(target));
        }
        let now = self.now();
        self.outcomes.span = now;
        self.outcomes.tries = self.generator.finish(now);
        self.outcomes
    }

    fn send(&mut self, token: usize, sending: Sending) {
        let target = usize::from(sending.target);
        if let Some(at) = self.targets[target].idle.pop() {
            return self.start_on(at, token, &sending);
        }
        self.targets[target].waiting.push_back((token, sending));
        self.raise(target);
    }

    /// Opens connections for what waits, a few at a time: a target that stood still for a moment would else be met by
    /// a storm of them, and stand still again.
    fn raise(&mut self, target: usize) {
        self.pass_over(target);
        while self.targets[target].rising < self.targets[target].waiting.len().min(RISING) {
            if self.lines.len() >= self.most && !self.spare() {
                self.outcomes.no_connections += 1;
                return;
            }
            match self.open(target) {
                Ok(_) => {
                    self.outcomes.opened += 1;
                    self.targets[target].rising += 1;
                }
                Err(error) if refused(&error) => {
                    let Some((token, _)) = self.targets[target].waiting.pop_front() else {
                        return;
                    };
                    self.generator.ended(token, self.now(), End::NotSent);
                }
                Err(_) => {
                    // No descriptor or no port: another look after the next wait.
                    self.outcomes.no_sockets += 1;
                    return;
                }
            }
        }
    }

    /// Closes an idle connection to another target, if there is one, to make room.
    fn spare(&mut self) -> bool {
        let Some(at) = self.targets.iter_mut().find_map(|t| t.idle.pop()) else {
            return false;
        };
        self.lines.remove(at);
        true
    }

    /// Drops the tries at the head of a queue whose clients have given up meanwhile.
    fn pass_over(&mut self, target: usize) {
        let waiting = &mut self.targets[target].waiting;
        while waiting
            .front()
            .is_some_and(|(token, sending)| !self.generator.waits(*token, sending.id))
        {
            waiting.pop_front();
        }
    }

    /// A connection is free: the first try that waits takes it.
    fn free(&mut self, at: usize) {
        let target = self.lines[at].target;
        self.pass_over(target);
        match self.targets[target].waiting.pop_front() {
            Some((token, sending)) => self.start_on(at, token, &sending),
            None => self.targets[target].idle.push(at),
        }
    }

    fn open(&mut self, target: usize) -> io::Result<usize> {
        let to = self.targets[target].at;
        let socket = reactor::connect(to)?;
        let at = self.lines.vacant_key();
        self.reactor.add(&socket, at as u64)?;
        let (out, read) = (Vec::new(), Vec::new());
        self.lines.insert(Line {
            socket,
            target,
            up: false,
            token: None,
            out,
            done: 0,
            read,
            used: false,
        });
        Ok(at)
    }

    fn start_on(&mut self, at: usize, token: usize, sending: &Sending) {
        let now = self.now();
        let Some(line) = self.lines.get_mut(at) else {
            return;
        };
        line.token = Some(token);
        line.out.clear();
        line.done = 0;
        write_request(&mut line.out, &self.setup, sending, sending.deadline - now);
        self.by_token.insert(token, at);
        self.write(at);
    }

    fn give_up(&mut self, token: usize) {
        // One that still waits for a connection is passed over when its turn comes.
        if let Some(at) = self.by_token.remove(&token) {
            self.lines.try_remove(at);
        }
    }

    fn ready(&mut self, event: &Ready) {
        let at = event.token as usize;
        let Some(line) = self.lines.get_mut(at) else {
            return;
        };
        if !line.up {
            if !event.writable && !event.readable {
                return;
            }
            match line.socket.take_error() {
                Ok(None) if line.socket.peer_addr().is_ok() => line.up = true,
                Ok(None) => return,
                _ => return self.broken(at),
            }
            let target = line.target;
            self.targets[target].rising -= 1;
            if self.lines[at].token.is_none() {
                self.free(at);
            }
        }
        if event.writable {
            self.write(at);
        }
        if event.readable {
            self.read(at, event.peer_closed);
        }
    }

    fn write(&mut self, at: usize) {
        loop {
            let Some(line) = self.lines.get_mut(at) else {
                return;
            };
            if line.token.is_none() || line.done == line.out.len() {
                return;
            }
            match line.socket.write(&line.out[line.done..]) {
                Ok(0) => return self.broken(at),
                Ok(length) => {
                    line.done += length;
                    if line.done == line.out.len()
                        && let Some(token) = line.token
                    {
                        let now = self.now();
                        self.generator.written(token, now);
                        return;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.broken(at),
            }
        }
    }

    fn read(&mut self, at: usize, to_the_end: bool) {
        loop {
            let Some(line) = self.lines.get_mut(at) else {
                return;
            };
            match line.socket.read(&mut self.buffer) {
                Ok(0) => {
                    if !self.answer(at, true) && !self.renew(at) {
                        self.broken(at);
                    }
                    return;
                }
                Ok(length) => {
                    line.read.extend_from_slice(&self.buffer[..length]);
                    if line.token.is_none() || line.read.len() > ANSWER {
                        return self.broken(at);
                    }
                    if self.answer(at, false) || (length < READ && !to_the_end) {
                        return;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.broken(at),
            }
        }
    }

    /// Takes an answer if it is whole; whether it was.
    fn answer(&mut self, at: usize, ended: bool) -> bool {
        let Some(line) = self.lines.get_mut(at) else {
            return true;
        };
        let Some(token) = line.token else {
            return false;
        };
        let whole = match http::answer(&line.read, ended) {
            Ok(Some(answer)) => answer,
            Ok(None) => return false,
            Err(http::Malformed) => {
                let cut = ended && line.read.is_empty();
                if !cut {
                    self.broken(at);
                }
                return !cut;
            }
        };
        // An answer ahead of the request's end answers something else, and what follows one belongs to nobody.
        let sound = line.done == line.out.len();
        let keep = sound && !whole.close && !ended && whole.length == line.read.len();
        line.read.clear();
        (line.token, line.used) = (None, true);
        self.by_token.remove(&token);
        let now = self.now();
        if !keep {
            self.lines.remove(at);
        }
        let end = End::Answered {
            status: whole.status,
            retry_after: whole.retry_after,
        };
        self.generator
            .ended(token, now, if sound { end } else { End::Broken });
        if keep {
            self.free(at);
        }
        true
    }

    /// Sends a request once more on a new connection, as the protocol has clients do, where a kept connection was
    /// closed in order before any byte of an answer: the close crossed the request. A reset tells nothing of the kind
    /// and is a failure.
    fn renew(&mut self, at: usize) -> bool {
        let Some(line) = self
            .lines
            .get(at)
            .filter(|l| l.used && l.read.is_empty() && l.token.is_some())
        else {
            return false;
        };
        let target = line.target;
        let Ok(fresh) = self.open(target) else {
            return false;
        };
        self.outcomes.opened += 1;
        self.targets[target].rising += 1;
        let old = self.lines.remove(at);
        let renewed = &mut self.lines[fresh];
        (renewed.token, renewed.out) = (old.token, old.out);
        self.by_token.extend(old.token.map(|token| (token, fresh)));
        true
    }

    fn broken(&mut self, at: usize) {
        let Some(line) = self.lines.try_remove(at) else {
            return;
        };
        let target = &mut self.targets[line.target];
        target.idle.retain(|idle| *idle != at);
        target.rising -= usize::from(!line.up);
        let refused = (!line.up).then(|| target.waiting.pop_front()).flatten();
        if let Some((token, _)) = refused.filter(|_| line.token.is_none()) {
            // A refusal is the answer to the try that has waited longest.
            let now = self.now();
            self.generator.ended(token, now, End::NotSent);
        }
        let Some(token) = line.token else { return };
        self.by_token.remove(&token);
        let whole = line.done == line.out.len() && line.up;
        let now = self.now();
        self.generator
            .ended(token, now, if whole { End::Broken } else { End::NotSent });
    }
}

fn refused(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
    )
}
