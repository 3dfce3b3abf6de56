//! Test harness: a proxy host with a scripted agent, scripted servers and clients, all in the
//! thread of the test. The test advances the clock, and sockets are non-blocking: nothing here
//! sleeps.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
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

/// Initial value of the manual clock, in microseconds.
pub const START: i64 = 1_000_000_000;
/// A millisecond in the unit of the clock, microseconds.
pub const MS: i64 = 1_000;
/// An awaited event must occur before the clock has advanced this far, which takes some ten
/// thousand steps, as each reading advances it by 1 µs. Keeps a failing test from hanging, and
/// detects events that only occur because of a timeout.
const MAX_WAIT_US: i64 = 400 * MS;

/// The test's end of a TCP connection.
pub struct TestStream {
    socket: Option<TcpStream>,
    pub received: Vec<u8>,
    /// The peer has closed or reset the connection.
    pub closed_by_peer: bool,
    /// While set, nothing is read from the socket.
    pub reading_paused: bool,
}

impl TestStream {
    fn new(socket: TcpStream) -> TestStream {
        socket.set_nonblocking(true).unwrap();
        socket.set_nodelay(true).unwrap();
        TestStream {
            socket: Some(socket),
            received: Vec::new(),
            closed_by_peer: false,
            reading_paused: false,
        }
    }

    /// Closes the socket. With unread bytes in its receive buffer, the connection is reset.
    pub fn close(&mut self) {
        self.socket = None;
    }

    /// Resets the connection.
    pub fn reset(&mut self) {
        if let Some(socket) = self.socket.take() {
            let linger = Some(std::time::Duration::ZERO);
            socket2::SockRef::from(&socket).set_linger(linger).unwrap();
        }
    }

    /// Closes the sending direction in order; the other one stays open.
    pub fn shutdown_write(&mut self) {
        if let Some(socket) = &self.socket {
            socket.shutdown(Shutdown::Write).unwrap();
        }
    }

    /// The address of the test's end. Panics if it is closed.
    pub fn local_address(&self) -> SocketAddr {
        self.socket.as_ref().unwrap().local_addr().unwrap()
    }

    pub fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Appends all bytes that the socket has to `received`.
    pub fn read_available(&mut self) {
        let mut buffer = [0; 16 * 1024];
        while let Some(socket) = self
            .socket
            .as_mut()
            .filter(|_| !self.closed_by_peer && !self.reading_paused)
        {
            match socket.read(&mut buffer) {
                Ok(0) => self.closed_by_peer = true,
                Ok(length) => self.received.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.closed_by_peer = true,
            }
        }
    }

    /// Removes the first complete response from `received`, if there is one.
    pub fn take_response(&mut self) -> Option<Response> {
        let (response, length) =
            framing::parse_response(&self.received, false, &limits()).unwrap()?;
        self.received.drain(..length);
        Some(response)
    }

    /// Writes what fits into the send buffer; returns the number of bytes. On a closed connection
    /// all bytes count as written.
    pub fn write(&mut self, bytes: &[u8]) -> usize {
        let Some(socket) = self.socket.as_mut() else {
            return bytes.len();
        };
        match socket.write(bytes) {
            Ok(length) => length,
            Err(error) if error.kind() == ErrorKind::WouldBlock => 0,
            // The peer has closed the connection.
            Err(_) => bytes.len(),
        }
    }
}

/// A connection that a scripted server has accepted.
pub struct ServerConnection {
    pub stream: TestStream,
    /// Complete requests that the test has not taken yet.
    pub requests: VecDeque<Request>,
}

/// A scripted server. It answers health checks by itself; the test answers all other requests.
pub struct StubServer {
    listener: TcpListener,
    /// The server's entry in the list that the agent sends to the proxy.
    pub list_entry: Server,
    pub connections: Vec<ServerConnection>,
    /// While set, the server reads nothing on its connections.
    pub reading_paused: bool,
    /// All slots are in use: health checks get no response.
    pub saturated: bool,
    /// The queue is full as well: health checks are rejected.
    pub queue_full: bool,
    /// Complete requests received, except health checks.
    pub request_count: usize,
    /// Health checks received.
    pub health_check_count: usize,
}

/// A request that has arrived at a server.
pub struct Attempt {
    /// Index in [`ProxyHarness::servers`].
    pub server: usize,
    /// Index in [`StubServer::connections`].
    pub connection: usize,
    pub request: Request,
}

impl Attempt {
    pub fn id(&self) -> &str {
        self.request.headers.get("X-Request-Id").unwrap()
    }
}

/// A proxy host with everything that it is connected to.
pub struct ProxyHarness {
    pub host: Host,
    clock_us: Arc<AtomicI64>,
    io_events: Vec<IoEvent>,
    agent_listener: TcpListener,
    agent: Option<TestStream>,
    /// All messages that the proxy has sent to its agent.
    pub agent_messages: Vec<AgentMessage>,
    server_list_version: (u64, u64),
    pub servers: Vec<StubServer>,
    /// Connections to the proxy: of clients, and of readiness probes.
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

/// A route of host `h` to service `s`, of this kind and with its prefix as its name. `extra_fields`
/// are appended to its JSON object.
pub fn route(prefix: &str, ver: u64, kind: &str, extra_fields: &str) -> Item {
    let spec = format!(
        r#"{{"host":"h","prefix":"{prefix}","kind":"{kind}","timeout":"3s","target_time":"500ms","svc":"s","tries":3{extra_fields}}}"#
    );
    item(ItemKind::Route, prefix, ver, &spec)
}

/// A client's request with a deadline 3 s away.
pub fn request_text(request_line: &str, id: &str, extra_headers: &str, body: &str) -> String {
    format!(
        "{request_line} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Time-Left: 3000\r\n{extra_headers}\r\n{body}"
    )
}

/// A server's response with these header lines, separated by `|`.
pub fn response_text(status: u16, header_lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\n{}\r\nContent-Length: {length}\r\n\r\n{body}",
        header_lines.replace('|', "\r\n")
    )
}

/// A successful response with its seal.
pub fn ok_response(id: &str, body: &str) -> String {
    response_text(
        200,
        &format!("X-Request-Id: {id}|X-Server-Seal: seal-{body}"),
        body,
    )
}

/// A rejection by a server that has not run the request.
pub fn not_run_response(id: &str) -> String {
    response_text(503, &format!("X-Request-Id: {id}|X-Not-Run: 1"), "")
}

/// A body in which a shift or a gap is detected by comparison.
pub fn patterned_body(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 / 7) as u8).collect()
}

/// A body in chunked transfer coding.
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
    /// A ready proxy with the public routes `/i/` (idempotent), `/m/` (mutating) and `/u/`
    /// (upload), and one server per listed zone.
    pub fn new(zones: &[&str]) -> ProxyHarness {
        ProxyHarness::new_at(START, zones)
    }

    /// As [`ProxyHarness::new`], with another start of the clock, which also seeds the proxy.
    pub fn new_at(start_us: i64, zones: &[&str]) -> ProxyHarness {
        ProxyHarness::with_settings(start_us, zones, "")
    }

    /// As [`ProxyHarness::new_at`], with additional lines in the settings file.
    pub fn with_settings(start_us: i64, zones: &[&str], extra_settings: &str) -> ProxyHarness {
        let mut harness = ProxyHarness::without_state(start_us, zones, extra_settings);
        harness.configure();
        harness.confirm_complete_state();
        harness
    }

    /// The agent confirms that the proxy has the complete and current state.
    pub fn confirm_complete_state(&mut self) {
        self.send_control(ControlMessage::Complete);
        self.send_control(ControlMessage::Confirmed { age_us: 0 });
        self.settle();
    }

    /// A proxy whose agent is connected and has sent nothing yet.
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
        // The proxy draws its seed and its choices from the generator of this thread.
        fastrand::seed(start_us as u64);
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

    /// The agent sends the configuration and the servers, but does not confirm that they are
    /// complete.
    pub fn configure(&mut self) {
        let extra_fields = r#","public":true"#;
        let kinds = [("/i/", "idem"), ("/m/", "mutating"), ("/u/", "upload")];
        let mut items: Vec<Item> = kinds
            .iter()
            .map(|(prefix, kind)| route(prefix, 1, kind, extra_fields))
            .collect();
        items.push(item(ItemKind::Service, "s", 1, r#"{"hcheck":"/healthz"}"#));
        self.send_cluster_view();
        self.send_control(ControlMessage::Items(items));
        self.send_server_list();
    }

    /// The agent sends that this is the only limiter, and that its replica has a quorum.
    pub fn send_cluster_view(&mut self) {
        self.send_control(ControlMessage::ClusterView(ClusterView {
            limiter_count: 1,
            zone_limiter_count: 1,
            has_quorum: true,
            ..ClusterView::default()
        }));
    }

    /// Runs one turn of the proxy's event loop and reads what has arrived at the agent, the servers
    /// and the clients.
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

    /// Steps until the condition yields a result; panics after [`MAX_WAIT_US`].
    pub fn step_until<T>(
        &mut self,
        description: &str,
        mut condition: impl FnMut(&mut ProxyHarness) -> Option<T>,
    ) -> T {
        let start_us = self.now_us();
        while self.now_us() < start_us + MAX_WAIT_US {
            if let Some(result) = condition(self) {
                return result;
            }
            self.step();
        }
        panic!("there is no {description}");
    }

    /// Runs enough steps for everything in flight to arrive.
    pub fn settle(&mut self) {
        (0..12).for_each(|_| self.step());
    }

    /// Advances the clock in increments of 20 ms, with a step after each.
    pub fn advance_ms(&mut self, ms: i64) {
        let end_us = self.clock_us.load(Ordering::SeqCst) + ms * MS;
        while self.clock_us.load(Ordering::SeqCst) < end_us {
            self.clock_us.fetch_add(20 * MS, Ordering::SeqCst);
            self.step();
        }
        self.settle();
    }

    /// Advances the clock at once and settles only then: the proxy handles its pending input late.
    pub fn stall_ms(&mut self, ms: i64) {
        self.clock_us.fetch_add(ms * MS, Ordering::SeqCst);
        self.settle();
    }

    pub fn now_us(&self) -> i64 {
        self.clock_us.load(Ordering::SeqCst)
    }

    /// Drops the agent's connection and waits for the proxy to connect to a new agent, which has no
    /// state.
    pub fn connect_agent(&mut self) {
        self.agent = None;
        self.step_until("connection of the agent", |harness| {
            harness.clock_us.fetch_add(MS, Ordering::SeqCst);
            harness.agent.is_some().then_some(())
        });
    }

    /// The agent sends a message to the proxy.
    pub fn send_control(&mut self, message: ControlMessage) {
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, &message);
        let agent = self.agent.as_mut().unwrap();
        assert_eq!(agent.write(&bytes), bytes.len());
    }

    /// The agent sends the current server entries as a list of the next version.
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

    /// Opens a client connection; returns its index.
    pub fn connect_client(&mut self) -> usize {
        self.clients.push(TestStream::new(
            TcpStream::connect(self.host.listen_addresses.0).unwrap(),
        ));
        self.clients.len() - 1
    }

    /// Sends all bytes on a client connection, with a step after each write.
    pub fn send(&mut self, client: usize, bytes: impl AsRef<[u8]>) {
        let mut bytes = bytes.as_ref();
        while !bytes.is_empty() {
            let length = self.clients[client].write(bytes);
            bytes = &bytes[length..];
            self.step();
        }
    }

    /// Sends all bytes on a new client connection; returns its index.
    pub fn send_from_new_client(&mut self, bytes: impl AsRef<[u8]>) -> usize {
        let client = self.connect_client();
        self.send(client, bytes);
        client
    }

    /// Waits for the next response on a client connection.
    pub fn next_response(&mut self, client: usize) -> Response {
        self.step_until("response", |harness| {
            harness.clients[client].take_response()
        })
    }

    /// Waits for the next request that arrives at a server.
    pub fn next_request(&mut self) -> Attempt {
        self.step_until("request at a server", ProxyHarness::take_request)
    }

    /// Takes a request that has arrived at a server, if there is one.
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

    /// Sends all bytes on the connection on which the request arrived, with a step after each
    /// write.
    pub fn send_response(&mut self, attempt: &Attempt, bytes: impl AsRef<[u8]>) {
        let mut bytes = bytes.as_ref();
        while !bytes.is_empty() {
            let length = self.connection_mut(attempt).stream.write(bytes);
            bytes = &bytes[length..];
            self.step();
        }
    }

    /// The server answers the request with a successful response that names its id.
    pub fn respond_ok(&mut self, attempt: &Attempt) {
        let response = ok_response(attempt.id(), &format!("of {}", attempt.id()));
        self.send_response(attempt, response);
    }

    /// Sends a request on a client connection and has it served; returns where it arrived.
    pub fn round_trip(&mut self, client: usize) -> Attempt {
        self.send(client, request_text("GET /i/1", "two", "", ""));
        let attempt = self.next_request();
        self.respond_ok(&attempt);
        assert_eq!(self.next_response(client).body, b"of two");
        attempt
    }

    /// The server closes the connection on which the request arrived.
    pub fn close_server_connection(&mut self, attempt: &Attempt) {
        self.connection_mut(attempt).stream.close();
    }

    /// Number of complete requests that arrived at all servers, except health checks.
    pub fn request_count(&self) -> usize {
        self.servers.iter().map(|stub| stub.request_count).sum()
    }

    /// Sends this many requests one by one and has them served; returns how many arrived at each
    /// server.
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

    /// Opens a connection to the port of the platform's readiness probe; returns its index.
    pub fn connect_probe(&mut self) -> usize {
        self.clients.push(TestStream::new(
            TcpStream::connect(self.host.listen_addresses.1).unwrap(),
        ));
        self.clients.len() - 1
    }

    /// The status of the response to the platform's readiness probe.
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
            warm_up_left_us: 0,
        };
        StubServer {
            listener,
            list_entry,
            connections: Vec::new(),
            reading_paused: false,
            saturated: false,
            queue_full: false,
            request_count: 0,
            health_check_count: 0,
        }
    }

    /// Replaces the listed address by one on which nothing listens.
    pub fn make_unreachable(&mut self) {
        // The system never assigns port 1, so that no other test listens there.
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
                if request.target == "/healthz" && self.queue_full {
                    let rejected = response_text(503, "X-Not-Run: 1", "");
                    connection.stream.write(rejected.as_bytes());
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

    /// Number of connections that are open on both sides.
    pub fn open_connections(&self) -> usize {
        self.connections
            .iter()
            .filter(|connection| connection.stream.is_open() && !connection.stream.closed_by_peer)
            .count()
    }
}
