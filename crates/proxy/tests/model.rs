//! Random schedules: clients that come and go, all kinds of faulty servers, time that passes. The
//! invariants of each request are checked after each step.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use common::{At, Bench, End, MS, START, ask, good, item, lines, not_run, route};
use fastrand::Rng;
use protocol::items::{Item, ItemKind};
use protocol::messages::ControlMessage;
use test_case::test_case;

const SCHEDULES: u64 = 300;
const STEPS: usize = 60;
const CLIENTS: usize = 3;
/// Length of a streamed body.
const LONG: usize = 2_200_000;
/// Promises that the request has not run and never will.
const PROMISES: [u16; 4] = [503, 429, 408, 421];

/// Deliberate faults around the proxy, to show that the model detects them.
#[derive(Clone, Copy, PartialEq)]
enum Harm {
    /// Servers claim not to have run what they ran.
    Denies,
    /// The answer under a request's id belongs to another request.
    Whose,
}

/// The state of a request.
#[derive(Default)]
struct Course {
    mutating: bool,
    /// Servers that read it completely and did not say that they had not run it.
    runs: u32,
    /// Bodies of complete and successful answers to it.
    bodies: BTreeSet<Vec<u8>>,
    promised: bool,
    /// When it was sent, and whether a server broke off a long answer to it.
    sent: i64,
    broken: bool,
}

struct Model {
    harm: Option<Harm>,
    bench: Bench,
    random: Rng,
    courses: BTreeMap<String, Course>,
    /// By client: its connection, and the unanswered requests on it, oldest first.
    clients: Vec<Option<(usize, VecDeque<String>)>>,
    /// The parts of long bodies that they have not sent yet.
    rests: Vec<Vec<u8>>,
    /// Whether an answer announced that it is the last: a client sends nothing after it, also
    /// before the close arrives.
    lasts: Vec<bool>,
    /// Requests at work at servers.
    at_work: Vec<At>,
    /// Answers that were given, to be given a second time.
    given: Vec<(At, String)>,
    /// Long answers that have begun, and the rest of each.
    begun: Vec<(At, String)>,
    lives: u32,
    /// Version of the configuration.
    version: u64,
    statuses: BTreeMap<u16, u32>,
    /// Long answers that arrived completely, and truncated ones.
    long: [u32; 2],
    /// Long bodies that servers answered or abandoned midway, and that arrived completely.
    midways: u32,
    uploads: u32,
}

impl Model {
    fn new(seed: u64, harm: Option<Harm>) -> Model {
        let mut random = Rng::with_seed(seed);
        let servers = random.usize(2..=3);
        Model {
            harm,
            bench: Bench::at(START + seed as i64 * 1_000_003, &["a", "a", "b"][..servers]),
            random,
            courses: BTreeMap::new(),
            clients: (0..CLIENTS).map(|_| None).collect(),
            rests: vec![Vec::new(); CLIENTS],
            lasts: vec![false; CLIENTS],
            at_work: Vec::new(),
            given: Vec::new(),
            begun: Vec::new(),
            lives: 0,
            version: 1,
            statuses: BTreeMap::new(),
            long: [0; 2],
            midways: 0,
            uploads: 0,
        }
    }

    fn step(&mut self) {
        match self.random.u32(0..100) {
            0..30 => self.request(),
            30..74 => self.outcome(),
            74..75 => self.configure(),
            75..80 => self.surplus(),
            80..83 => self.close_idle(),
            83..85 => self.deafness(),
            85..87 => self.leave(),
            87..89 => self.relist(),
            89..93 => self.go_on(),
            93..97 => self.midway(),
            _ => {
                let ms = self.random.i64(1..300);
                self.bench.pass(ms);
            }
        }
        if self.random.u32(0..3) > 0 {
            self.send_on();
        }
        (0..self.random.usize(1..8)).for_each(|_| self.bench.turn());
        self.check();
    }

    /// A server sends this. Sometimes the platform's check arrives in the same turn, after it, and
    /// closes its connection.
    fn say(&mut self, at: &At, text: &str) {
        if self.random.u32(0..4) > 0 {
            return self.bench.reply(at, text);
        }
        let check = self.bench.check();
        // It is accepted, and its initial events are over: it comes after the server in the next
        // wait.
        (0..3).for_each(|_| self.bench.turn());
        let sent = self.bench.line(at).end.write(text.as_bytes());
        let ask = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        assert_eq!(self.bench.clients[check].write(ask), ask.len());
        self.bench
            .reply(at, &text.as_bytes()[sent.min(text.len())..]);
    }

    /// Newer versions of routes and limits with the same content.
    fn configure(&mut self) {
        self.version += 1;
        let public = r#","public":true"#;
        let kinds = [("/i/", "idem"), ("/m/", "mutating")];
        let mut items: Vec<Item> = kinds
            .iter()
            .map(|(prefix, kind)| route(prefix, self.version, kind, public))
            .collect();
        let limits = r#"{"hdr_bytes":16384,"body_bytes":4194304,"hdr":"2300ms","idle":"6s"}"#;
        items.push(item(ItemKind::Limits, "", self.version, limits));
        self.bench.tell(ControlMessage::Items(items));
    }

    /// Clients send more of their long bodies, as far as it is accepted.
    fn send_on(&mut self) {
        for (place, rest) in self.clients.iter().zip(&mut self.rests) {
            if let Some((client, _)) = place {
                let sent = self.bench.clients[*client].write(rest);
                rest.drain(..sent.min(rest.len()));
            }
        }
    }

    /// A server with part of a long body answers or abandons it; it reads nothing more there.
    fn midway(&mut self) {
        let lines = self.bench.stubs.iter_mut().flat_map(|stub| &mut stub.lines);
        let parts =
            lines.filter(|line| !line.end.input.is_empty() && line.end.open() && !line.end.deaf);
        let Some(line) = parts.last() else { return };
        let text =
            String::from_utf8_lossy(&line.end.input[..line.end.input.len().min(1_000)]).to_string();
        let id = text
            .split("X-Request-Id: ")
            .nth(1)
            .and_then(|text| text.split("\r\n").next());
        let Some(id) = id.filter(|_| text.contains("\r\n\r\n")) else {
            return;
        };
        let course = self.courses.get_mut(id).unwrap();
        self.midways += 1;
        line.end.deaf = true;
        let answer = match self.random.u32(0..4) {
            // It may have begun at the head.
            0 => {
                course.runs += 1;
                return line.end.close();
            }
            1 => not_run(id),
            2 => common::lines(500, &format!("X-Request-Id: {id}"), "failed"),
            _ => {
                course.bodies.insert(b"early".to_vec());
                good(id, "early")
            }
        };
        course.runs += u32::from(!answer.contains("X-Not-Run"));
        line.end.write(answer.as_bytes());
    }

    /// A client sends a request, perhaps pipelined after an unanswered one.
    fn request(&mut self) {
        let at = self.random.usize(0..CLIENTS);
        let bench = &mut self.bench;
        if self.clients[at].is_none() {
            self.lasts[at] = false;
        }
        let (client, owed) =
            self.clients[at].get_or_insert_with(|| (bench.client(), VecDeque::new()));
        if owed.len() > 1 || self.lasts[at] || !self.rests[at].is_empty() {
            return;
        }
        let id = format!("r{}", self.courses.len());
        let mutating = self.random.bool();
        let body = "b".repeat(if mutating {
            self.random.usize(0..2_000)
        } else {
            0
        });
        let (line, more) = match (mutating, body.len()) {
            (false, _) => ("GET /i/x", String::new()),
            (true, length) => ("POST /m/x", format!("Content-Length: {length}\r\n")),
        };
        let long = mutating && self.random.u32(0..20) == 0;
        let (more, body) = if long {
            (format!("Content-Length: {LONG}\r\n"), String::new())
        } else {
            (more, body)
        };
        self.rests[at] = if long { vec![b'l'; LONG] } else { Vec::new() };
        let text = ask(line, &id, &more, &body);
        owed.push_back(id.clone());
        self.courses.insert(
            id,
            Course {
                mutating,
                sent: self.bench.now(),
                ..Course::default()
            },
        );
        let client = *client;
        let (one, two) = text.split_at(self.random.usize(0..text.len()));
        [one, two]
            .into_iter()
            .for_each(|part| self.bench.send(client, part));
    }

    /// A server does something with a request that it has.
    fn outcome(&mut self) {
        if self.at_work.is_empty() {
            return;
        }
        let at = self
            .at_work
            .swap_remove(self.random.usize(0..self.at_work.len()));
        let id = at.id().to_string();
        let course = self.courses.get_mut(&id).unwrap();
        let body = format!("{id} {} ", at.stub).repeat(self.random.usize(1..300));
        let answer = good(&id, &body);
        let mut leaves = false;
        let text = match self.random.u32(0..30) {
            0..4 => {
                let body = format!("{id} {} ", at.stub).repeat(self.random.usize(20_000..40_000));
                let text =
                    good(&id, "").replace("Length: 0", &format!("Length: {}", body.len())) + &body;
                course.bodies.insert(body.into_bytes());
                let rest = text[self.random.usize(0..text.len())..].to_string();
                self.say(&at, &text[..text.len() - rest.len()]);
                return self.begun.push((at, rest));
            }
            8 => {
                course.bodies.insert(body.into_bytes());
                answer.repeat(2)
            }
            9 => {
                leaves = true;
                course.bodies.insert(body.clone().into_bytes());
                lines(
                    200,
                    &format!("X-Request-Id: {id}|X-Server-Seal: s|Connection: close"),
                    &body,
                )
            }
            10..14 => {
                course.runs -= u32::from(self.harm != Some(Harm::Denies));
                not_run(&id)
            }
            14 => {
                course.runs -= 1;
                lines(421, &format!("X-Request-Id: {id}"), "")
            }
            15 => lines(500, &format!("X-Request-Id: {id}"), "failed"),
            16 => {
                leaves = true;
                answer[..self.random.usize(0..answer.len())].to_string()
            }
            17 => "\x02garbage\r\n\r\n".to_string(),
            18 => answer.replace("X-Server-Seal", "X-Other"),
            19 => answer.replace("X-Server-Seal", "Content-Encoding: br\r\nX-Server-Seal"),
            20 => answer.replace("X-Request-Id", "X-Other"),
            21 => {
                leaves = true;
                String::new()
            }
            22 => {
                // An answer to another request, and its own one later.
                self.bench.reply(&at, good("other", "of another"));
                return self.at_work.push(at);
            }
            // Never any answer.
            23 => return,
            _ if self.harm == Some(Harm::Whose) => good(&id, "of another"),
            _ => {
                course.bodies.insert(body.into_bytes());
                answer
            }
        };
        self.say(&at, &text);
        if leaves {
            self.bench.hang_up(&at);
        }
        self.given.push((at, text));
    }

    /// A server continues a long answer, or breaks it off.
    fn go_on(&mut self) {
        if self.begun.is_empty() {
            return;
        }
        let n = self.random.usize(0..self.begun.len());
        let (at, mut rest) = self.begun.swap_remove(n);
        match self.random.u32(0..4) {
            0 => {
                self.courses.get_mut(at.id()).unwrap().broken = true;
                self.bench.hang_up(&at);
            }
            1 => {
                let left = rest.split_off(self.random.usize(0..=rest.len()));
                self.bench.reply(&at, rest);
                self.begun.push((at, left));
            }
            _ => self.say(&at, &rest),
        }
    }

    /// An answer is sent a second time, whatever its connection does by now. In the middle of
    /// another answer nobody could tell.
    fn surplus(&mut self) {
        if !self.given.is_empty() {
            let n = self.random.usize(0..self.given.len());
            let (at, text) = &self.given[n];
            let midst = |(other, _): &(At, String)| (other.stub, other.line) == (at.stub, at.line);
            if !self.begun.iter().any(midst) {
                self.bench.reply(at, text);
            }
        }
    }

    fn busy(&self) -> impl Iterator<Item = &At> {
        self.at_work
            .iter()
            .chain(self.begun.iter().map(|(at, _)| at))
    }

    /// A server closes its idle connections.
    fn close_idle(&mut self) {
        let stub = self.random.usize(0..self.bench.stubs.len());
        let busy: BTreeSet<usize> = self
            .busy()
            .filter(|at| at.stub == stub)
            .map(|at| at.line)
            .collect();
        for (n, line) in self.bench.stubs[stub].lines.iter_mut().enumerate() {
            if !busy.contains(&n) && line.asked.is_empty() {
                line.end.close();
            }
        }
    }

    /// A server stops reading, or resumes, perhaps after resetting what it had not read.
    fn deafness(&mut self) {
        let stub = self.random.usize(0..self.bench.stubs.len());
        if self.bench.stubs[stub].deaf && self.random.bool() {
            self.close_idle();
        }
        let deaf = &mut self.bench.stubs[stub].deaf;
        *deaf = !*deaf;
    }

    fn leave(&mut self) {
        let at = self.random.usize(0..CLIENTS);
        if let Some((client, _)) = self.clients[at].take() {
            self.bench.clients[client].close();
            self.rests[at].clear();
            self.lasts[at] = false;
        }
    }

    /// Servers are drained or return; some are new incarnations.
    fn relist(&mut self) {
        for stub in &mut self.bench.stubs {
            stub.listed.accepts_requests = self.random.u32(0..5) > 0;
            if self.random.u32(0..3) == 0 {
                self.lives += 1;
                stub.listed.id = format!("i-new-{}", self.lives);
            }
        }
        self.bench.list();
    }

    fn check(&mut self) {
        while let Some(at) = self.bench.take() {
            let course = self
                .courses
                .get_mut(at.id())
                .expect("an id that a client sent");
            assert!(
                !(course.mutating && course.runs > 0),
                "{} runs twice",
                at.id()
            );
            assert!(!course.promised, "{} runs after a promise", at.id());
            let busy = |other: &At| (other.stub, other.line) == (at.stub, at.line);
            assert!(
                !self.at_work.iter().any(busy),
                "two requests on one connection"
            );
            course.runs += 1;
            self.uploads += u32::from(at.request.body.len() == LONG);
            self.at_work.push(at);
        }
        for ((place, rest), last) in self
            .clients
            .iter_mut()
            .zip(&mut self.rests)
            .zip(&mut self.lasts)
        {
            let Some((client, owed)) = place else {
                continue;
            };
            while let Some(answer) = Some(&mut self.bench.clients[*client])
                .filter(|_| !owed.is_empty())
                .and_then(End::answer)
            {
                let id = owed.pop_front().unwrap();
                *self.statuses.entry(answer.status).or_default() += 1;
                if !answer.keep_alive {
                    *last = true;
                    // What was pipelined after it was never read, and never runs.
                    for id in owed.drain(..) {
                        let behind = self.courses.get_mut(&id).unwrap();
                        assert_eq!(behind.runs, 0);
                        behind.promised = true;
                    }
                }
                let course = &self.courses[&id];
                match answer.status {
                    200 => {
                        assert!(
                            course.bodies.contains(&answer.body),
                            "{id}: no whole body of its own"
                        );
                        assert!(answer.headers.contains("X-Server-Seal"));
                        self.long[0] += u32::from(answer.body.len() > 128 * 1024);
                        assert_eq!(answer.headers.get("X-Request-Id"), Some(id.as_str()));
                    }
                    500 => assert_eq!(answer.headers.get("X-Request-Id"), Some(id.as_str())),
                    status if PROMISES.contains(&status) => {
                        assert_eq!(
                            course.runs, 0,
                            "{id} ran and was promised not to with {status}"
                        );
                        self.courses.get_mut(&id).unwrap().promised = true;
                    }
                    status => assert!([502, 504].contains(&status), "{id}: {status}"),
                }
            }
            let end = &self.bench.clients[*client];
            if owed.is_empty() {
                assert!(end.input.is_empty(), "an answer where none is due");
            }
            if end.ended {
                if !end.input.is_empty() {
                    // Truncated: the server broke off, or the time was up. What was pipelined after
                    // it was never read.
                    let cut = &self.courses[&owed.pop_front().unwrap()];
                    assert!(cut.broken || self.bench.now() >= cut.sent + 2_900 * MS);
                    assert!(owed.iter().all(|id| self.courses[id].runs == 0));
                    owed.clear();
                    self.long[1] += 1;
                }
                // A client that did not send the rest of a body in time is disconnected.
                assert!(owed.is_empty() || !rest.is_empty(), "no answer to {owed:?}");
                rest.clear();
                *last = false;
                *place = None;
            }
        }
    }

    /// Everything owed arrives, whatever the servers fail to do.
    fn end(&mut self) {
        let owes = |model: &Model| {
            model
                .clients
                .iter()
                .flatten()
                .any(|(_, owed)| !owed.is_empty())
        };
        for _ in 0..110 {
            self.bench.settle();
            self.check();
            if !owes(self) {
                return;
            }
            self.bench.pass(250);
        }
        panic!("answers are owed");
    }
}

fn played(seed: u64, harm: Option<Harm>) -> Model {
    let mut model = Model::new(seed, harm);
    (0..STEPS).for_each(|_| model.step());
    model.end();
    model
}

#[test_case(Harm::Denies, 10; "a server denies what it ran")]
#[test_case(Harm::Whose, 3; "an answer is of another request")]
fn planted_faults_are_detected(harm: Harm, within: u64) {
    let broken = |seed: &u64| std::panic::catch_unwind(|| _ = played(*seed, Some(harm))).is_err();
    assert!(
        (0..within).any(|seed| broken(&seed)),
        "no schedule found it"
    );
}

#[test]
fn each_request_has_one_true_answer_whatever_servers_and_clients_do() {
    let (mut statuses, mut long): (BTreeMap<u16, u32>, _) = (BTreeMap::new(), [0; 4]);
    for seed in 0..SCHEDULES {
        // A failing schedule names its seed.
        let named = std::panic::catch_unwind(|| {
            let model = played(seed, None);
            (
                model.statuses,
                [model.long[0], model.long[1], model.midways, model.uploads],
            )
        });
        let Ok((met, more)) = named else {
            panic!("schedule {seed}")
        };
        (0..4).for_each(|n| long[n] += more[n]);
        met.into_iter()
            .for_each(|(status, count)| *statuses.entry(status).or_default() += count);
    }
    // Every kind of outcome occurred, and successes often.
    let met: Vec<u16> = statuses.keys().copied().collect();
    assert_eq!(met, [200, 500, 502, 503, 504], "{statuses:?}");
    assert!(long.iter().all(|met| *met > 20), "{long:?}");
    assert!(statuses[&200] * 3 > statuses.values().sum(), "{statuses:?}");
}
