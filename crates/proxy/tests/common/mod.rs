//! A proxy between scripted stand-ins for its agent, servers and clients, all in the thread of the
//! test. The clock is driven by the test, and sockets are only polled: nothing here waits.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use dataplane::clock::Clock;
use dataplane::framing::{self, Request, Response};
use dataplane::limits::Limits;
use protocol::connections::IoEvent;
use protocol::frames;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::log_ring::LogRing;
use protocol::messages::{AgentMessage, ClusterView, ControlMessage};
use protocol::platform::Server;
use protocol::settings::Settings;
use proxy::host::Host;

/// Start of the driven clock.
pub const START: i64 = 1_000_000_000;
pub const MS: i64 = 1_000;
/// An awaited event must occur while polling alone advances the clock this far, some ten thousand
/// rounds. Keeps a failing test from hanging, and detects events that only occur because of a
/// time-out.
const MAX_WAIT_US: i64 = 400 * MS;

/// One end of a connection.
pub struct TestStream {
    stream: Option<TcpStream>,
    pub received: Vec<u8>,
    /// The other side sends no more.
    pub closed_by_peer: bool,
    /// Reads nothing.
    pub reading_paused: bool,
}

impl TestStream {
    fn new(stream: TcpStream) -> TestStream {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        TestStream {
            stream: Some(stream),
            received: Vec::new(),
            closed_by_peer: false,
            reading_paused: false,
        }
    }

    /// Closes it; one with unread bytes is reset.
    pub fn close(&mut self) {
        self.stream = None;
    }

    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Reads what is available.
    pub fn read_available(&mut self) {
        let mut buffer = [0; 16 * 1024];
        while let Some(stream) = self
            .stream
            .as_mut()
            .filter(|_| !self.closed_by_peer && !self.reading_paused)
        {
            match stream.read(&mut buffer) {
                Ok(0) => self.closed_by_peer = true,
                Ok(length) => self.received.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.closed_by_peer = true,
            }
        }
    }

    /// A complete answer, once there is one.
    pub fn take_response(&mut self) -> Option<Response> {
        let (response, length) =
            framing::parse_response(&self.received, false, &limits()).unwrap()?;
        self.received.drain(..length);
        Some(response)
    }

    /// Writes what fits; returns how much.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        let Some(stream) = self.stream.as_mut() else {
            return bytes.len();
        };
        match stream.write(bytes) {
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            // The other side has closed it.
            Err(_) => bytes.len(),
        }
    }
}

/// A connection as a server sees it.
pub struct ServerConnection {
    pub stream: TestStream,
    pub requests: VecDeque<Request>,
}

/// A scripted server.
pub struct StubServer {
    listener: TcpListener,
    pub list_entry: Server,
    pub connections: Vec<ServerConnection>,
    /// Reads nothing on its connections.
    pub reading_paused: bool,
    /// All its slots are taken: health checks wait for one.
    pub saturated: bool,
    /// Complete requests received, without health checks.
    pub request_count: usize,
    /// Health checks received.
    pub health_check_count: usize,
}

/// Where a request has arrived.
pub struct Attempt {
    pub server: usize,
    pub connection: usize,
    pub request: Request,
}

impl Attempt {
    pub fn id(&self) -> &str {
        self.request.headers.get("X-Request-Id").unwrap()
    }
}

pub struct ProxyHarness {
    pub host: Host,
    clock_us: Arc<AtomicI64>,
    io_events: Vec<IoEvent>,
    agent_listener: TcpListener,
    agent: Option<TestStream>,
    /// What the proxy sent to its agent.
    pub agent_messages: Vec<AgentMessage>,
    server_list_version: (u64, u64),
    pub servers: Vec<StubServer>,
    pub clients: Vec<TestStream>,
}

pub fn item(kind: ItemKind, name: &str, ver: u64, spec: &str) -> Item {
    Item {
        name: ItemName {
            kind,
            name: name.to_string(),
        },
        ver,
        spec: Some(spec.to_string()),
    }
}

/// A route of host `h` to service `s`, by its kind, named by its prefix.
pub fn route(prefix: &str, ver: u64, kind: &str, extra_fields: &str) -> Item {
    let spec = format!(
        r#"{{"host":"h","prefix":"{prefix}","kind":"{kind}","timeout":"3s","target_time":"500ms","svc":"s","tries":3{extra_fields}}}"#
    );
    item(ItemKind::Route, prefix, ver, &spec)
}

/// A request as clients send it.
pub fn request_text(request_line: &str, id: &str, extra_headers: &str, body: &str) -> String {
    format!(
        "{request_line} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Time-Left: 3000\r\n{extra_headers}\r\n{body}"
    )
}

/// A server's answer with these fields, separated by `|`.
pub fn response_text(status: u16, lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\n{}\r\nContent-Length: {length}\r\n\r\n{body}",
        lines.replace('|', "\r\n")
    )
}

/// A success.
pub fn ok_response(id: &str, body: &str) -> String {
    response_text(
        200,
        &format!("X-Request-Id: {id}|X-Server-Seal: seal-{body}"),
        body,
    )
}

pub fn not_run_response(id: &str) -> String {
    response_text(503, &format!("X-Request-Id: {id}|X-Not-Run: 1"), "")
}

/// Bytes that reveal a shift or a gap.
pub fn patterned_body(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 / 7) as u8).collect()
}

/// The same in chunks.
pub fn chunked_body(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    body.chunks(70_001)
        .for_each(|part| framing::write_chunk(&mut bytes, part));
    [&bytes[..], b"0\r\n\r\n"].concat()
}

fn limits() -> Limits {
    Limits {
        max_buffered_body_bytes: 64 << 20,
        ..Limits::default()
    }
}

impl ProxyHarness {
    /// A configured proxy: routes `/i/`, `/m/` and `/u/` of the three kinds that need no key, and
    /// the named servers by zone.
    pub fn new(zones: &[&str]) -> ProxyHarness {
        ProxyHarness::new_at(START, zones)
    }

    /// The same at another time, which also seeds it differently.
    pub fn new_at(start_us: i64, zones: &[&str]) -> ProxyHarness {
        ProxyHarness::with_settings(start_us, zones, "")
    }

    /// The same with additional settings.
    pub fn with_settings(start_us: i64, zones: &[&str], extra_settings: &str) -> ProxyHarness {
        let mut harness = ProxyHarness::without_state(start_us, zones, extra_settings);
        harness.configure();
        harness.confirm_complete_state();
        harness
    }

    /// The agent says that it has told everything that is in force now.
    pub fn confirm_complete_state(&mut self) {
        self.send_control(ControlMessage::Complete);
        self.send_control(ControlMessage::Confirmed { age: 0 });
        self.settle();
    }

    /// A proxy whose agent is there and has told nothing yet.
    pub fn without_state(start_us: i64, zones: &[&str], extra_settings: &str) -> ProxyHarness {
        let agent_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        agent_listener.set_nonblocking(true).unwrap();
        let port = agent_listener.local_addr().unwrap().port();
        let settings = Settings::parse(&format!(
            "node: e\nserves: [edge]\nip: 127.0.0.1\nzone: a\nregion: r\nzones: {{a: r, b: r, c: q}}\n\
            bind: {{http: '127.0.0.1:0', readyz: '127.0.0.1:0'}}\nport_range: [{}, {}]\n{extra_settings}",
            port - 1,
            port + 1
        ));
        let clock_us = Arc::new(AtomicI64::new(start_us));
        let host = Host::open(
            settings.unwrap(),
            Clock::manual(clock_us.clone()),
            LogRing::default(),
        )
        .unwrap();
        let mut harness = ProxyHarness {
            host,
            clock_us,
            io_events: Vec::new(),
            agent_listener,
            agent: None,
            agent_messages: Vec::new(),
            server_list_version: (1, 0),
            servers: Vec::new(),
            clients: Vec::new(),
        };
        harness.servers = zones
            .iter()
            .enumerate()
            .map(|(n, zone)| StubServer::new(&format!("i-{n}"), zone))
            .collect();
        harness.connect_agent();
        harness
    }

    /// The agent tells the configuration and the servers, but not that this is everything.
    pub fn configure(&mut self) {
        let public = r#","public":true"#;
        let kinds = [("/i/", "idem"), ("/m/", "mutating"), ("/u/", "upload")];
        let mut items: Vec<Item> = kinds
            .iter()
            .map(|(prefix, kind)| route(prefix, 1, kind, public))
            .collect();
        items.push(item(ItemKind::Service, "s", 1, r#"{"hcheck":"/healthz"}"#));
        self.send_control(ControlMessage::ClusterView(ClusterView {
            limiters: 1,
            limiters_in_zone: 1,
            has_quorum: true,
            ..ClusterView::default()
        }));
        self.send_control(ControlMessage::Items(items));
        self.send_server_list();
    }

    /// One round of everything.
    pub fn step(&mut self) {
        self.host.step(0, &mut self.io_events).unwrap();
        if let Ok((stream, _)) = self.agent_listener.accept() {
            self.agent = Some(TestStream::new(stream));
        }
        if let Some(agent) = &mut self.agent {
            agent.read_available();
            while let Some(message) = frames::decode(&mut agent.received).unwrap() {
                self.agent_messages.push(message);
            }
        }
        self.servers.iter_mut().for_each(StubServer::read_available);
        self.clients.iter_mut().for_each(TestStream::read_available);
    }

    /// Runs rounds until there is a result.
    pub fn step_until<T>(
        &mut self,
        description: &str,
        mut condition: impl FnMut(&mut ProxyHarness) -> Option<T>,
    ) -> T {
        let start = self.now_us();
        while self.now_us() < start + MAX_WAIT_US {
            if let Some(result) = condition(self) {
                return result;
            }
            self.step();
        }
        panic!("there is no {description}");
    }

    /// Enough rounds for everything in flight to arrive.
    pub fn settle(&mut self) {
        (0..12).for_each(|_| self.step());
    }

    /// Time passes.
    pub fn advance_ms(&mut self, ms: i64) {
        let until = self.clock_us.load(Ordering::SeqCst) + ms * MS;
        while self.clock_us.load(Ordering::SeqCst) < until {
            self.clock_us.fetch_add(20 * MS, Ordering::SeqCst);
            self.step();
        }
        self.settle();
    }

    /// Time passes without a turn of the proxy: it is late with its input.
    pub fn stall_ms(&mut self, ms: i64) {
        self.clock_us.fetch_add(ms * MS, Ordering::SeqCst);
        self.settle();
    }

    pub fn now_us(&self) -> i64 {
        self.clock_us.load(Ordering::SeqCst)
    }

    /// An agent without any state is there.
    pub fn connect_agent(&mut self) {
        self.agent = None;
        self.step_until("agent's link", |harness| {
            harness.clock_us.fetch_add(MS, Ordering::SeqCst);
            harness.agent.is_some().then_some(())
        });
    }

    pub fn send_control(&mut self, message: ControlMessage) {
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, &message);
        let agent = self.agent.as_mut().unwrap();
        assert_eq!(agent.write(&bytes), bytes.len());
    }

    /// Sends the servers as they are listed, in a newer list.
    pub fn send_server_list(&mut self) {
        self.server_list_version.1 += 1;
        let servers = self
            .servers
            .iter()
            .map(|stub| stub.list_entry.clone())
            .collect();
        self.send_control(ControlMessage::Servers {
            version: self.server_list_version,
            servers,
        });
        self.settle();
    }

    /// A client's connection.
    pub fn connect_client(&mut self) -> usize {
        self.clients.push(TestStream::new(
            TcpStream::connect(self.host.listen_addresses.0).unwrap(),
        ));
        self.clients.len() - 1
    }

    pub fn send(&mut self, client: usize, bytes: impl AsRef<[u8]>) {
        let mut bytes = bytes.as_ref();
        while !bytes.is_empty() {
            let length = self.clients[client].write(bytes);
            bytes = &bytes[length..];
            self.step();
        }
    }

    /// A new client sends this.
    pub fn send_from_new_client(&mut self, bytes: impl AsRef<[u8]>) -> usize {
        let client = self.connect_client();
        self.send(client, bytes);
        client
    }

    /// The next answer on a client's connection.
    pub fn next_response(&mut self, client: usize) -> Response {
        self.step_until("answer", |harness| harness.clients[client].take_response())
    }

    /// The next request that arrives at a server.
    pub fn next_request(&mut self) -> Attempt {
        self.step_until("request at a server", ProxyHarness::take_request)
    }

    /// A request that has arrived, if any.
    pub fn take_request(&mut self) -> Option<Attempt> {
        self.servers
            .iter_mut()
            .enumerate()
            .find_map(|(server, stub)| {
                let connections = stub.connections.iter_mut().enumerate();
                let (connection, request) = { connections }
                    .find_map(|(n, connection)| Some((n, connection.requests.pop_front()?)))?;
                Some(Attempt {
                    server,
                    connection,
                    request,
                })
            })
    }

    pub fn connection_mut(&mut self, attempt: &Attempt) -> &mut ServerConnection {
        &mut self.servers[attempt.server].connections[attempt.connection]
    }

    /// A server sends this.
    pub fn send_response(&mut self, attempt: &Attempt, bytes: impl AsRef<[u8]>) {
        let mut bytes = bytes.as_ref();
        while !bytes.is_empty() {
            let length = self.connection_mut(attempt).stream.write(bytes);
            bytes = &bytes[length..];
            self.step();
        }
    }

    /// A server answers successfully.
    pub fn respond_ok(&mut self, attempt: &Attempt) {
        let response = ok_response(attempt.id(), &format!("of {}", attempt.id()));
        self.send_response(attempt, response);
    }

    /// A client's next request is served successfully; returns where.
    pub fn round_trip(&mut self, client: usize) -> Attempt {
        self.send(client, request_text("GET /i/1", "two", "", ""));
        let attempt = self.next_request();
        self.respond_ok(&attempt);
        assert_eq!(self.next_response(client).body, b"of two");
        attempt
    }

    /// A server closes the connection of a request.
    pub fn close_server_connection(&mut self, attempt: &Attempt) {
        self.connection_mut(attempt).stream.close();
    }

    /// Complete requests that arrived at servers.
    pub fn request_count(&self) -> usize {
        self.servers.iter().map(|stub| stub.request_count).sum()
    }

    /// Has this many requests answered one by one; returns how many arrived at each server.
    pub fn requests_per_server(&mut self, requests: usize) -> Vec<usize> {
        let mut counts = vec![0; self.servers.len()];
        let client = self.connect_client();
        for n in 0..requests {
            self.send(
                client,
                request_text("GET /i/", &format!("spread-{n}-{client}"), "", ""),
            );
            let attempt = self.next_request();
            counts[attempt.server] += 1;
            self.respond_ok(&attempt);
            assert_eq!(self.next_response(client).status, 200);
        }
        counts
    }

    /// The platform's connection, for its checks.
    pub fn connect_probe(&mut self) -> usize {
        self.clients.push(TestStream::new(
            TcpStream::connect(self.host.listen_addresses.1).unwrap(),
        ));
        self.clients.len() - 1
    }

    /// The answer to the platform's check.
    pub fn probe_readiness(&mut self) -> u16 {
        let probe = self.connect_probe();
        self.send(probe, "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        self.next_response(probe).status
    }
}

impl StubServer {
    pub fn new(id: &str, zone: &str) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let (id, zone) = (id.to_string(), zone.to_string());
        let list_entry = Server {
            id,
            svc: "s".into(),
            addr,
            zone,
            slots: 4,
            accepts_requests: true,
            warm_up_left: 0,
        };
        StubServer {
            listener,
            list_entry,
            connections: Vec::new(),
            reading_paused: false,
            saturated: false,
            request_count: 0,
            health_check_count: 0,
        }
    }

    /// Nothing listens at its listed address.
    pub fn make_unreachable(&mut self) {
        // Port 1 is never assigned, so that no other test listens there.
        self.list_entry.addr = SocketAddr::from(([127, 0, 0, 1], 1));
    }

    fn read_available(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            self.connections.push(ServerConnection {
                stream: TestStream::new(stream),
                requests: VecDeque::new(),
            });
        }
        for connection in self.connections.iter_mut().filter(|_| !self.reading_paused) {
            connection.stream.read_available();
            while let Some((request, length)) =
                framing::parse_request(&connection.stream.received, &limits()).unwrap()
            {
                connection.stream.received.drain(..length);
                self.health_check_count += usize::from(request.target == "/healthz");
                if request.target == "/healthz" && self.saturated {
                    continue;
                }
                if request.target == "/healthz" {
                    let healthy =
                        response_text(200, &format!("X-Instance-Id: {}", self.list_entry.id), "");
                    connection.stream.write(healthy.as_bytes());
                } else {
                    self.request_count += 1;
                    connection.requests.push_back(request);
                }
            }
        }
    }

    /// Connections that are open on both sides.
    pub fn open_connections(&self) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.stream.is_open() && !connection.stream.closed_by_peer)
            .count()
    }
}
