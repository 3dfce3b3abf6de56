//! Random schedules of clients that connect and disconnect, server faults of all kinds, and time
//! that passes. The invariants of each request are checked after each step.

mod common;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use common::{
    Attempt, MS, ProxyHarness, START, TestStream, item, not_run_response, ok_response,
    request_text, response_text, route,
};
use fastrand::Rng;
use protocol::items::{Item, ItemKind};
use protocol::messages::ControlMessage;
use test_case::test_case;

/// Number of random schedules.
const SCHEDULE_COUNT: u64 = 300;
const STEPS_PER_SCHEDULE: usize = 60;
/// Number of concurrent clients.
const CLIENT_COUNT: usize = 3;
/// Length of a streamed body.
const STREAMED_BODY_BYTES: usize = 2_200_000;
/// Statuses that promise that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [503, 429, 408, 421];

/// Deliberate violations by the servers, which show that the model detects them.
#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    /// Servers reject requests as not run that they have run.
    FalseNotRun,
    /// A response with the id of a request has the body of another request.
    WrongBody,
}

/// What is known of a request.
#[derive(Default)]
struct RequestState {
    mutating: bool,
    /// Number of servers that read it completely and did not reject it as not run.
    runs: u32,
    /// Bodies of the complete successful responses that servers sent to it.
    valid_bodies: BTreeSet<Vec<u8>>,
    /// The client was told that it has not run, or it can't run any more.
    promised_not_run: bool,
    sent_at_us: i64,
    /// A server truncated a long response to it.
    response_truncated: bool,
}

/// A proxy, and the expected state of all its requests.
struct Model {
    injected_fault: Option<InjectedFault>,
    harness: ProxyHarness,
    rng: Rng,
    requests_by_id: BTreeMap<String, RequestState>,
    /// Each client's connection, if it is connected, and the unanswered requests on it, oldest
    /// first.
    clients: Vec<Option<(usize, VecDeque<String>)>>,
    /// For each client, the part of a long body that it has not sent yet.
    unsent_bodies: Vec<Vec<u8>>,
    /// For each client, whether a response announced that the connection closes: the client sends
    /// nothing after it, even before the close arrives.
    closing: Vec<bool>,
    /// Requests that servers have received and not answered.
    running: Vec<Attempt>,
    /// Responses that were sent and may be sent a second time.
    sent_responses: Vec<(Attempt, String)>,
    /// Long responses that have begun, and the rest of each.
    streaming: Vec<(Attempt, String)>,
    /// Number of replaced servers.
    incarnations: u32,
    /// Version of the configuration that the agent sent last.
    version: u64,
    /// Number of responses by status.
    statuses: BTreeMap<u16, u32>,
    /// Number of long responses that arrived completely, and of truncated ones.
    streamed_responses: [u32; 2],
    /// Number of long bodies that a server answered or abandoned before their end.
    interrupted_uploads: u32,
    /// Number of long bodies that arrived completely at a server.
    completed_uploads: u32,
}

impl Model {
    fn new(seed: u64, injected_fault: Option<InjectedFault>) -> Model {
        let mut rng = Rng::with_seed(seed);
        let servers = rng.usize(2..=3);
        Model {
            injected_fault,
            harness: ProxyHarness::new_at(
                START + seed as i64 * 1_000_003,
                &["a", "a", "b"][..servers],
            ),
            rng,
            requests_by_id: BTreeMap::new(),
            clients: (0..CLIENT_COUNT).map(|_| None).collect(),
            unsent_bodies: vec![Vec::new(); CLIENT_COUNT],
            closing: vec![false; CLIENT_COUNT],
            running: Vec::new(),
            sent_responses: Vec::new(),
            streaming: Vec::new(),
            incarnations: 0,
            version: 1,
            statuses: BTreeMap::new(),
            streamed_responses: [0; 2],
            interrupted_uploads: 0,
            completed_uploads: 0,
        }
    }

    fn step(&mut self) {
        match self.rng.u32(0..100) {
            0..30 => self.send_request(),
            30..74 => self.respond(),
            74..75 => self.update_config(),
            75..80 => self.send_duplicate_response(),
            80..83 => self.close_idle_connections(),
            83..85 => self.toggle_reading(),
            85..87 => self.disconnect_client(),
            87..89 => self.change_server_list(),
            89..93 => self.continue_streaming(),
            93..97 => self.interrupt_upload(),
            _ => {
                let ms = self.rng.i64(1..300);
                self.harness.advance_ms(ms);
            }
        }
        if self.rng.u32(0..3) > 0 {
            self.continue_uploads();
        }
        (0..self.rng.usize(1..8)).for_each(|_| self.harness.step());
        self.check_invariants();
    }

    /// A server sends this response. Sometimes a readiness probe that closes its connection arrives
    /// after it in the same turn of the proxy's event loop.
    fn respond_with(&mut self, attempt: &Attempt, text: &str) {
        if self.rng.u32(0..4) > 0 {
            return self.harness.send_response(attempt, text);
        }
        let probe = self.harness.connect_probe();
        // After these steps the probe's connection is accepted and its first events are handled, so
        // that it comes after the server's connection in the next turn.
        (0..3).for_each(|_| self.harness.step());
        let sent = self
            .harness
            .connection_mut(attempt)
            .stream
            .write(text.as_bytes());
        let probe_request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        assert_eq!(
            self.harness.clients[probe].write(probe_request),
            probe_request.len()
        );
        self.harness
            .send_response(attempt, &text.as_bytes()[sent.min(text.len())..]);
    }

    /// The agent sends newer versions of routes and limits, with the same content each time.
    fn update_config(&mut self) {
        self.version += 1;
        let extra_fields = r#","public":true"#;
        let kinds = [("/i/", "idem"), ("/m/", "mutating")];
        let mut items: Vec<Item> = kinds
            .iter()
            .map(|(prefix, kind)| route(prefix, self.version, kind, extra_fields))
            .collect();
        let limits = r#"{"hdr_bytes":16384,"body_bytes":4194304,"hdr":"2300ms","idle":"6s"}"#;
        items.push(item(ItemKind::Limits, "", self.version, limits));
        self.harness.send_control(ControlMessage::Items(items));
    }

    /// Clients send more of their long bodies, as much as their sockets accept.
    fn continue_uploads(&mut self) {
        for (slot, remaining) in self.clients.iter().zip(&mut self.unsent_bodies) {
            if let Some((client, _)) = slot {
                let sent = self.harness.clients[*client].write(remaining);
                remaining.drain(..sent.min(remaining.len()));
            }
        }
    }

    /// A server that has received part of a long body answers it or closes the connection. It reads
    /// nothing more from it.
    fn interrupt_upload(&mut self) {
        let connections = self
            .harness
            .servers
            .iter_mut()
            .flat_map(|server| &mut server.connections);
        let partial_uploads = connections.filter(|connection| {
            !connection.stream.received.is_empty()
                && connection.stream.is_open()
                && !connection.stream.reading_paused
        });
        let Some(connection) = partial_uploads.last() else {
            return;
        };
        let text = String::from_utf8_lossy(
            &connection.stream.received[..connection.stream.received.len().min(1_000)],
        )
        .to_string();
        let id = text
            .split("X-Request-Id: ")
            .nth(1)
            .and_then(|text| text.split("\r\n").next());
        let Some(id) = id.filter(|_| text.contains("\r\n\r\n")) else {
            return;
        };
        let state = self.requests_by_id.get_mut(id).unwrap();
        self.interrupted_uploads += 1;
        connection.stream.reading_paused = true;
        let response = match self.rng.u32(0..4) {
            // The server may have started to run the request when its head arrived.
            0 => {
                state.runs += 1;
                return connection.stream.close();
            }
            1 => not_run_response(id),
            2 => common::response_text(500, &format!("X-Request-Id: {id}"), "failed"),
            _ => {
                state.valid_bodies.insert(b"early".to_vec());
                ok_response(id, "early")
            }
        };
        state.runs += u32::from(!response.contains("X-Not-Run"));
        connection.stream.write(response.as_bytes());
    }

    /// A client sends a request, perhaps pipelined after an unanswered one.
    fn send_request(&mut self) {
        let client_index = self.rng.usize(0..CLIENT_COUNT);
        let harness = &mut self.harness;
        if self.clients[client_index].is_none() {
            self.closing[client_index] = false;
        }
        let (client, unanswered) = self.clients[client_index]
            .get_or_insert_with(|| (harness.connect_client(), VecDeque::new()));
        if unanswered.len() > 1
            || self.closing[client_index]
            || !self.unsent_bodies[client_index].is_empty()
        {
            return;
        }
        let id = format!("r{}", self.requests_by_id.len());
        let mutating = self.rng.bool();
        let body = "b".repeat(if mutating {
            self.rng.usize(0..2_000)
        } else {
            0
        });
        let (request_line, extra_headers) = match (mutating, body.len()) {
            (false, _) => ("GET /i/x", String::new()),
            (true, length) => ("POST /m/x", format!("Content-Length: {length}\r\n")),
        };
        let is_streamed = mutating && self.rng.u32(0..20) == 0;
        let (extra_headers, body) = if is_streamed {
            (
                format!("Content-Length: {STREAMED_BODY_BYTES}\r\n"),
                String::new(),
            )
        } else {
            (extra_headers, body)
        };
        self.unsent_bodies[client_index] = if is_streamed {
            vec![b'l'; STREAMED_BODY_BYTES]
        } else {
            Vec::new()
        };
        let text = request_text(request_line, &id, &extra_headers, &body);
        unanswered.push_back(id.clone());
        self.requests_by_id.insert(
            id,
            RequestState {
                mutating,
                sent_at_us: self.harness.now_us(),
                ..RequestState::default()
            },
        );
        let client = *client;
        let (first, second) = text.split_at(self.rng.usize(0..text.len()));
        [first, second]
            .into_iter()
            .for_each(|part| self.harness.send(client, part));
    }

    /// A server responds, correctly or not, to a request that it has received.
    fn respond(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let attempt = self
            .running
            .swap_remove(self.rng.usize(0..self.running.len()));
        let id = attempt.id().to_string();
        let state = self.requests_by_id.get_mut(&id).unwrap();
        let body = format!("{id} {} ", attempt.server).repeat(self.rng.usize(1..300));
        let response = ok_response(&id, &body);
        let mut closes_connection = false;
        let text = match self.rng.u32(0..30) {
            0..4 => {
                let body =
                    format!("{id} {} ", attempt.server).repeat(self.rng.usize(20_000..40_000));
                let text = ok_response(&id, "")
                    .replace("Length: 0", &format!("Length: {}", body.len()))
                    + &body;
                state.valid_bodies.insert(body.into_bytes());
                let remaining = text[self.rng.usize(0..text.len())..].to_string();
                self.respond_with(&attempt, &text[..text.len() - remaining.len()]);
                return self.streaming.push((attempt, remaining));
            }
            8 => {
                state.valid_bodies.insert(body.into_bytes());
                response.repeat(2)
            }
            9 => {
                closes_connection = true;
                state.valid_bodies.insert(body.clone().into_bytes());
                response_text(
                    200,
                    &format!("X-Request-Id: {id}|X-Server-Seal: s|Connection: close"),
                    &body,
                )
            }
            10..14 => {
                state.runs -= u32::from(self.injected_fault != Some(InjectedFault::FalseNotRun));
                not_run_response(&id)
            }
            14 => {
                state.runs -= 1;
                response_text(421, &format!("X-Request-Id: {id}"), "")
            }
            15 => response_text(500, &format!("X-Request-Id: {id}"), "failed"),
            16 => {
                closes_connection = true;
                response[..self.rng.usize(0..response.len())].to_string()
            }
            17 => "\x02garbage\r\n\r\n".to_string(),
            18 => response.replace("X-Server-Seal", "X-Other"),
            19 => response.replace("X-Server-Seal", "Content-Encoding: br\r\nX-Server-Seal"),
            20 => response.replace("X-Request-Id", "X-Other"),
            21 => {
                closes_connection = true;
                String::new()
            }
            22 => {
                // A response to another request; its own follows later.
                self.harness
                    .send_response(&attempt, ok_response("other", "of another"));
                return self.running.push(attempt);
            }
            // The server never responds.
            23 => return,
            // Without a length: an orderly close completes it, a reset truncates it.
            24..26 => {
                let head = format!("X-Request-Id: {id}\r\nX-Server-Seal: s\r\nConnection: close");
                let text = format!("HTTP/1.1 201 X\r\n{head}\r\n\r\n{body}");
                let is_reset = self.rng.bool();
                if !is_reset {
                    state.valid_bodies.insert(body.into_bytes());
                }
                self.respond_with(&attempt, &text);
                let stream = &mut self.harness.connection_mut(&attempt).stream;
                return if is_reset {
                    stream.reset()
                } else {
                    stream.close()
                };
            }
            _ if self.injected_fault == Some(InjectedFault::WrongBody) => {
                ok_response(&id, "of another")
            }
            _ => {
                state.valid_bodies.insert(body.into_bytes());
                response
            }
        };
        self.respond_with(&attempt, &text);
        if closes_connection {
            self.harness.close_server_connection(&attempt);
        }
        self.sent_responses.push((attempt, text));
    }

    /// A server continues a long response or truncates it.
    fn continue_streaming(&mut self) {
        if self.streaming.is_empty() {
            return;
        }
        let n = self.rng.usize(0..self.streaming.len());
        let (attempt, mut remaining) = self.streaming.swap_remove(n);
        match self.rng.u32(0..4) {
            0 => {
                self.requests_by_id
                    .get_mut(attempt.id())
                    .unwrap()
                    .response_truncated = true;
                self.harness.close_server_connection(&attempt);
            }
            1 => {
                let unsent = remaining.split_off(self.rng.usize(0..=remaining.len()));
                self.harness.send_response(&attempt, remaining);
                self.streaming.push((attempt, unsent));
            }
            _ => self.respond_with(&attempt, &remaining),
        }
    }

    /// A server sends a response a second time, whatever its connection is used for now. Not in the
    /// middle of another response, where the bytes could not be distinguished from its body.
    fn send_duplicate_response(&mut self) {
        if !self.sent_responses.is_empty() {
            let n = self.rng.usize(0..self.sent_responses.len());
            let (attempt, text) = &self.sent_responses[n];
            let is_on_this_connection = |(other, _): &(Attempt, String)| {
                (other.server, other.connection) == (attempt.server, attempt.connection)
            };
            if !self.streaming.iter().any(is_on_this_connection) {
                self.harness.send_response(attempt, text);
            }
        }
    }

    /// Requests whose response is not complete.
    fn busy_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.running
            .iter()
            .chain(self.streaming.iter().map(|(attempt, _)| attempt))
    }

    /// A server closes its idle connections.
    fn close_idle_connections(&mut self) {
        let server = self.rng.usize(0..self.harness.servers.len());
        let busy_connections: BTreeSet<usize> = self
            .busy_attempts()
            .filter(|attempt| attempt.server == server)
            .map(|attempt| attempt.connection)
            .collect();
        for (n, connection) in self.harness.servers[server]
            .connections
            .iter_mut()
            .enumerate()
        {
            if !busy_connections.contains(&n) && connection.requests.is_empty() {
                connection.stream.close();
            }
        }
    }

    /// A server stops reading, or resumes, sometimes after closing its idle connections, which
    /// resets those with unread bytes.
    fn toggle_reading(&mut self) {
        let server = self.rng.usize(0..self.harness.servers.len());
        if self.harness.servers[server].reading_paused && self.rng.bool() {
            self.close_idle_connections();
        }
        let paused = &mut self.harness.servers[server].reading_paused;
        *paused = !*paused;
    }

    /// A client closes its connection.
    fn disconnect_client(&mut self) {
        let client_index = self.rng.usize(0..CLIENT_COUNT);
        if let Some((client, _)) = self.clients[client_index].take() {
            self.harness.clients[client].close();
            self.unsent_bodies[client_index].clear();
            self.closing[client_index] = false;
        }
    }

    /// Servers are drained or return; some are replaced.
    fn change_server_list(&mut self) {
        for server in &mut self.harness.servers {
            server.list_entry.accepts_requests = self.rng.u32(0..5) > 0;
            if self.rng.u32(0..3) == 0 {
                self.incarnations += 1;
                server.list_entry.id = format!("i-new-{}", self.incarnations);
            }
        }
        self.harness.send_server_list();
    }

    /// Takes the requests that arrived at servers and the responses that arrived at clients, and
    /// checks the invariants of each request.
    fn check_invariants(&mut self) {
        while let Some(attempt) = self.harness.take_request() {
            let state = self
                .requests_by_id
                .get_mut(attempt.id())
                .expect("the id is one that a client sent");
            assert!(
                !(state.mutating && state.runs > 0),
                "{} runs twice",
                attempt.id()
            );
            assert!(
                !state.promised_not_run,
                "{} runs after the client was told that it has not run",
                attempt.id()
            );
            let is_on_this_connection = |other: &Attempt| {
                (other.server, other.connection) == (attempt.server, attempt.connection)
            };
            assert!(
                !self.running.iter().any(is_on_this_connection),
                "two requests on one connection"
            );
            state.runs += 1;
            self.completed_uploads += u32::from(attempt.request.body.len() == STREAMED_BODY_BYTES);
            self.running.push(attempt);
        }
        for ((slot, remaining), closing) in self
            .clients
            .iter_mut()
            .zip(&mut self.unsent_bodies)
            .zip(&mut self.closing)
        {
            let Some((client, unanswered)) = slot else {
                continue;
            };
            while let Some(response) = Some(&mut self.harness.clients[*client])
                .filter(|_| !unanswered.is_empty())
                .and_then(TestStream::take_response)
            {
                let id = unanswered.pop_front().unwrap();
                *self.statuses.entry(response.status).or_default() += 1;
                if !response.keep_alive {
                    *closing = true;
                    // Requests pipelined after it were never read, and never run.
                    for id in unanswered.drain(..) {
                        let pipelined = self.requests_by_id.get_mut(&id).unwrap();
                        assert_eq!(pipelined.runs, 0);
                        pipelined.promised_not_run = true;
                    }
                }
                let state = &self.requests_by_id[&id];
                match response.status {
                    200 | 201 => {
                        assert!(
                            state.valid_bodies.contains(&response.body),
                            "{id}: not the complete body of a response to it"
                        );
                        assert!(response.headers.contains("X-Server-Seal"));
                        self.streamed_responses[0] += u32::from(response.body.len() > 128 * 1024);
                        assert_eq!(response.headers.get("X-Request-Id"), Some(id.as_str()));
                    }
                    500 => assert_eq!(response.headers.get("X-Request-Id"), Some(id.as_str())),
                    status if NOT_RUN_STATUSES.contains(&status) => {
                        assert_eq!(
                            state.runs, 0,
                            "{id} ran although status {status} promises that it did not"
                        );
                        self.requests_by_id.get_mut(&id).unwrap().promised_not_run = true;
                    }
                    status => assert!([502, 504].contains(&status), "{id}: {status}"),
                }
            }
            let stream = &self.harness.clients[*client];
            if unanswered.is_empty() {
                assert!(stream.received.is_empty(), "a response without a request");
            }
            if stream.closed_by_peer {
                if !stream.received.is_empty() {
                    // A truncated response: the server truncated it, or the deadline passed.
                    // Requests pipelined after it were never read.
                    let truncated = &self.requests_by_id[&unanswered.pop_front().unwrap()];
                    assert!(
                        truncated.response_truncated
                            || self.harness.now_us() >= truncated.sent_at_us + 2_900 * MS
                    );
                    assert!(
                        unanswered
                            .iter()
                            .all(|id| self.requests_by_id[id].runs == 0)
                    );
                    unanswered.clear();
                    self.streamed_responses[1] += 1;
                }
                // Only a client that has not sent the rest of a body in time is disconnected
                // without a response.
                assert!(
                    unanswered.is_empty() || !remaining.is_empty(),
                    "no response to {unanswered:?}"
                );
                remaining.clear();
                *closing = false;
                *slot = None;
            }
        }
    }

    /// Checks that all outstanding responses arrive, although servers don't respond any more.
    fn drain(&mut self) {
        let has_unanswered = |model: &Model| {
            model
                .clients
                .iter()
                .flatten()
                .any(|(_, unanswered)| !unanswered.is_empty())
        };
        for _ in 0..110 {
            self.harness.settle();
            self.check_invariants();
            if !has_unanswered(self) {
                return;
            }
            self.harness.advance_ms(250);
        }
        panic!("there are still unanswered requests");
    }
}

fn run_schedule(seed: u64, injected_fault: Option<InjectedFault>) -> Model {
    let mut model = Model::new(seed, injected_fault);
    (0..STEPS_PER_SCHEDULE).for_each(|_| model.step());
    model.drain();
    model
}

#[test_case(InjectedFault::FalseNotRun, 10; "false rejection")]
#[test_case(InjectedFault::WrongBody, 3; "body of another request")]
fn injected_faults_are_detected(injected_fault: InjectedFault, max_schedules: u64) {
    let is_detected = |seed: &u64| {
        std::panic::catch_unwind(|| _ = run_schedule(*seed, Some(injected_fault))).is_err()
    };
    assert!(
        (0..max_schedules).any(|seed| is_detected(&seed)),
        "no schedule detected the fault"
    );
}

#[test]
fn each_request_gets_one_correct_response_under_random_faults() {
    let (mut statuses, mut streamed_counts): (BTreeMap<u16, u32>, _) = (BTreeMap::new(), [0; 4]);
    for seed in 0..SCHEDULE_COUNT {
        // A failing schedule reports its seed.
        let outcome = std::panic::catch_unwind(|| {
            let model = run_schedule(seed, None);
            (
                model.statuses,
                [
                    model.streamed_responses[0],
                    model.streamed_responses[1],
                    model.interrupted_uploads,
                    model.completed_uploads,
                ],
            )
        });
        let Ok((statuses_of_run, streamed_of_run)) = outcome else {
            panic!("the schedule with seed {seed} failed")
        };
        (0..4).for_each(|n| streamed_counts[n] += streamed_of_run[n]);
        statuses_of_run
            .into_iter()
            .for_each(|(status, count)| *statuses.entry(status).or_default() += count);
    }
    // All kinds of outcomes must have occurred, and successes in more than a third of the cases.
    let observed: Vec<u16> = statuses.keys().copied().collect();
    assert_eq!(observed, [200, 201, 500, 502, 503, 504], "{statuses:?}");
    assert!(
        streamed_counts.iter().all(|count| *count > 20),
        "{streamed_counts:?}"
    );
    assert!(statuses[&200] * 3 > statuses.values().sum(), "{statuses:?}");
}
