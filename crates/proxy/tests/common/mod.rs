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
const HANG: i64 = 400 * MS;

/// One end of a connection.
pub struct End {
    stream: Option<TcpStream>,
    pub input: Vec<u8>,
    /// The other side sends no more.
    pub ended: bool,
    /// Reads nothing.
    pub deaf: bool,
}

impl End {
    fn new(stream: TcpStream) -> End {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        End {
            stream: Some(stream),
            input: Vec::new(),
            ended: false,
            deaf: false,
        }
    }

    /// Closes it; one with unread bytes is reset.
    pub fn close(&mut self) {
        self.stream = None;
    }

    pub fn open(&self) -> bool {
        self.stream.is_some()
    }

    /// Reads what is available.
    pub fn look(&mut self) {
        let mut part = [0; 16 * 1024];
        while let Some(stream) = self.stream.as_mut().filter(|_| !self.ended && !self.deaf) {
            match stream.read(&mut part) {
                Ok(0) => self.ended = true,
                Ok(length) => self.input.extend_from_slice(&part[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => self.ended = true,
            }
        }
    }

    /// A complete answer, once there is one.
    pub fn answer(&mut self) -> Option<Response> {
        let (answer, length) = framing::parse_response(&self.input, false, &limits()).unwrap()?;
        self.input.drain(..length);
        Some(answer)
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
pub struct Line {
    pub end: End,
    pub asked: VecDeque<Request>,
}

/// A scripted server.
pub struct Stub {
    listener: TcpListener,
    pub listed: Server,
    pub lines: Vec<Line>,
    /// Reads nothing on its connections.
    pub deaf: bool,
    /// All its slots are taken: health checks wait for one.
    pub full: bool,
    /// Complete requests received, without health checks.
    pub count: usize,
    /// Health checks received.
    pub checks: usize,
}

/// Where a request has arrived.
pub struct At {
    pub stub: usize,
    pub line: usize,
    pub request: Request,
}

impl At {
    pub fn id(&self) -> &str {
        self.request.headers.get("X-Request-Id").unwrap()
    }
}

pub struct Bench {
    pub host: Host,
    hand: Arc<AtomicI64>,
    happenings: Vec<IoEvent>,
    feed: TcpListener,
    agent: Option<End>,
    /// What the proxy sent to its agent.
    pub told: Vec<AgentMessage>,
    list: (u64, u64),
    pub stubs: Vec<Stub>,
    pub clients: Vec<End>,
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
pub fn route(prefix: &str, ver: u64, kind: &str, more: &str) -> Item {
    let spec = format!(
        r#"{{"host":"h","prefix":"{prefix}","kind":"{kind}","timeout":"3s","target_time":"500ms","svc":"s","tries":3{more}}}"#
    );
    item(ItemKind::Route, prefix, ver, &spec)
}

/// A request as clients send it.
pub fn ask(line: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Time-Left: 3000\r\n{more}\r\n{body}"
    )
}

/// A server's answer with these fields, separated by `|`.
pub fn lines(status: u16, lines: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\n{}\r\nContent-Length: {length}\r\n\r\n{body}",
        lines.replace('|', "\r\n")
    )
}

/// A success.
pub fn good(id: &str, body: &str) -> String {
    lines(
        200,
        &format!("X-Request-Id: {id}|X-Server-Seal: seal-{body}"),
        body,
    )
}

pub fn not_run(id: &str) -> String {
    lines(503, &format!("X-Request-Id: {id}|X-Not-Run: 1"), "")
}

/// Bytes that reveal a shift or a gap.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 / 7) as u8).collect()
}

/// The same in chunks.
pub fn chunks(body: &[u8]) -> Vec<u8> {
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

impl Bench {
    /// A configured proxy: routes `/i/`, `/m/` and `/u/` of the three kinds that need no key, and
    /// the named servers by zone.
    pub fn new(zones: &[&str]) -> Bench {
        Bench::at(START, zones)
    }

    /// The same at another time, which also seeds it differently.
    pub fn at(start: i64, zones: &[&str]) -> Bench {
        Bench::with(start, zones, "")
    }

    /// The same with additional settings.
    pub fn with(start: i64, zones: &[&str], more: &str) -> Bench {
        let mut bench = Bench::started(start, zones, more);
        bench.configure();
        bench.complete();
        bench
    }

    /// The agent says that it has told everything that is in force now.
    pub fn complete(&mut self) {
        self.tell(ControlMessage::Complete);
        self.tell(ControlMessage::Confirmed { age_us: 0 });
        self.settle();
    }

    /// A proxy whose agent is there and has told nothing yet.
    pub fn started(start: i64, zones: &[&str], more: &str) -> Bench {
        let feed = TcpListener::bind("127.0.0.1:0").unwrap();
        feed.set_nonblocking(true).unwrap();
        let port = feed.local_addr().unwrap().port();
        let settings = Settings::parse(&format!(
            "node: e\nserves: [edge]\nip: 127.0.0.1\nzone: a\nregion: r\nzones: {{a: r, b: r, c: q}}\n\
            bind: {{http: '127.0.0.1:0', readyz: '127.0.0.1:0'}}\nport_range: [{}, {}]\n{more}",
            port - 1,
            port + 1
        ));
        let hand = Arc::new(AtomicI64::new(start));
        let host = Host::open(
            settings.unwrap(),
            Clock::manual(hand.clone()),
            LogRing::default(),
        )
        .unwrap();
        let mut bench = Bench {
            host,
            hand,
            happenings: Vec::new(),
            feed,
            agent: None,
            told: Vec::new(),
            list: (1, 0),
            stubs: Vec::new(),
            clients: Vec::new(),
        };
        bench.stubs = zones
            .iter()
            .enumerate()
            .map(|(n, zone)| Stub::new(&format!("i-{n}"), zone))
            .collect();
        bench.agent_there();
        bench
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
        self.tell(ControlMessage::ClusterView(ClusterView {
            limiter_count: 1,
            zone_limiter_count: 1,
            has_quorum: true,
            ..ClusterView::default()
        }));
        self.tell(ControlMessage::Items(items));
        self.list();
    }

    /// One round of everything.
    pub fn turn(&mut self) {
        self.host.step(0, &mut self.happenings).unwrap();
        if let Ok((stream, _)) = self.feed.accept() {
            self.agent = Some(End::new(stream));
        }
        if let Some(agent) = &mut self.agent {
            agent.look();
            while let Some(message) = frames::decode(&mut agent.input).unwrap() {
                self.told.push(message);
            }
        }
        self.stubs.iter_mut().for_each(Stub::look);
        self.clients.iter_mut().for_each(End::look);
    }

    /// Runs rounds until there is a result.
    pub fn until<T>(&mut self, what: &str, mut there: impl FnMut(&mut Bench) -> Option<T>) -> T {
        let start = self.now();
        while self.now() < start + HANG {
            if let Some(found) = there(self) {
                return found;
            }
            self.turn();
        }
        panic!("there is no {what}");
    }

    /// Enough rounds for everything in flight to arrive.
    pub fn settle(&mut self) {
        (0..12).for_each(|_| self.turn());
    }

    /// Time passes.
    pub fn pass(&mut self, ms: i64) {
        let until = self.hand.load(Ordering::SeqCst) + ms * MS;
        while self.hand.load(Ordering::SeqCst) < until {
            self.hand.fetch_add(20 * MS, Ordering::SeqCst);
            self.turn();
        }
        self.settle();
    }

    /// Time passes without a turn of the proxy: it is late with its input.
    pub fn late(&mut self, ms: i64) {
        self.hand.fetch_add(ms * MS, Ordering::SeqCst);
        self.settle();
    }

    pub fn now(&self) -> i64 {
        self.hand.load(Ordering::SeqCst)
    }

    /// An agent without any state is there.
    pub fn agent_there(&mut self) {
        self.agent = None;
        self.until("agent's link", |bench| {
            bench.hand.fetch_add(MS, Ordering::SeqCst);
            bench.agent.is_some().then_some(())
        });
    }

    pub fn tell(&mut self, message: ControlMessage) {
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, &message);
        let agent = self.agent.as_mut().unwrap();
        assert_eq!(agent.write(&bytes), bytes.len());
    }

    /// Sends the servers as they are listed, in a newer list.
    pub fn list(&mut self) {
        self.list.1 += 1;
        let servers = self.stubs.iter().map(|stub| stub.listed.clone()).collect();
        self.tell(ControlMessage::Servers {
            version: self.list,
            servers,
        });
        self.settle();
    }

    /// A client's connection.
    pub fn client(&mut self) -> usize {
        self.clients.push(End::new(
            TcpStream::connect(self.host.listen_addresses.0).unwrap(),
        ));
        self.clients.len() - 1
    }

    pub fn send(&mut self, client: usize, text: impl AsRef<[u8]>) {
        let mut bytes = text.as_ref();
        while !bytes.is_empty() {
            let length = self.clients[client].write(bytes);
            bytes = &bytes[length..];
            self.turn();
        }
    }

    /// A new client sends this.
    pub fn ask(&mut self, text: impl AsRef<[u8]>) -> usize {
        let client = self.client();
        self.send(client, text);
        client
    }

    /// The next answer on a client's connection.
    pub fn answer(&mut self, client: usize) -> Response {
        self.until("answer", |bench| bench.clients[client].answer())
    }

    /// The next request that arrives at a server.
    pub fn served(&mut self) -> At {
        self.until("request at a server", Bench::take)
    }

    /// A request that has arrived, if any.
    pub fn take(&mut self) -> Option<At> {
        self.stubs.iter_mut().enumerate().find_map(|(stub, s)| {
            let lines = s.lines.iter_mut().enumerate();
            let (line, request) =
                { lines }.find_map(|(n, line)| Some((n, line.asked.pop_front()?)))?;
            Some(At {
                stub,
                line,
                request,
            })
        })
    }

    pub fn line(&mut self, at: &At) -> &mut Line {
        &mut self.stubs[at.stub].lines[at.line]
    }

    /// A server sends this.
    pub fn reply(&mut self, at: &At, text: impl AsRef<[u8]>) {
        let mut bytes = text.as_ref();
        while !bytes.is_empty() {
            let length = self.line(at).end.write(bytes);
            bytes = &bytes[length..];
            self.turn();
        }
    }

    /// A server answers successfully.
    pub fn serve(&mut self, at: &At) {
        let answer = good(at.id(), &format!("of {}", at.id()));
        self.reply(at, answer);
    }

    /// A client's next request is served successfully; returns where.
    pub fn next(&mut self, client: usize) -> At {
        self.send(client, ask("GET /i/1", "two", "", ""));
        let at = self.served();
        self.serve(&at);
        assert_eq!(self.answer(client).body, b"of two");
        at
    }

    /// A server closes the connection of a request.
    pub fn hang_up(&mut self, at: &At) {
        self.line(at).end.close();
    }

    /// Complete requests that arrived at servers.
    pub fn count(&self) -> usize {
        self.stubs.iter().map(|stub| stub.count).sum()
    }

    /// Has this many requests answered one by one; returns how many arrived at each server.
    pub fn spread(&mut self, requests: usize) -> Vec<usize> {
        let mut counts = vec![0; self.stubs.len()];
        let client = self.client();
        for n in 0..requests {
            self.send(
                client,
                ask("GET /i/", &format!("spread-{n}-{client}"), "", ""),
            );
            let at = self.served();
            counts[at.stub] += 1;
            self.serve(&at);
            assert_eq!(self.answer(client).status, 200);
        }
        counts
    }

    /// The platform's connection, for its checks.
    pub fn check(&mut self) -> usize {
        self.clients.push(End::new(
            TcpStream::connect(self.host.listen_addresses.1).unwrap(),
        ));
        self.clients.len() - 1
    }

    /// The answer to the platform's check.
    pub fn ready(&mut self) -> u16 {
        let check = self.check();
        self.send(check, "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        self.answer(check).status
    }
}

impl Stub {
    pub fn new(id: &str, zone: &str) -> Stub {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let (id, zone) = (id.to_string(), zone.to_string());
        let listed = Server {
            id,
            svc: "s".into(),
            addr,
            zone,
            slots: 4,
            accepts_requests: true,
            warm_up_left_us: 0,
        };
        Stub {
            listener,
            listed,
            lines: Vec::new(),
            deaf: false,
            full: false,
            count: 0,
            checks: 0,
        }
    }

    /// Nothing listens at its listed address.
    pub fn refuse(&mut self) {
        // Port 1 is never assigned, so that no other test listens there.
        self.listed.addr = SocketAddr::from(([127, 0, 0, 1], 1));
    }

    fn look(&mut self) {
        while let Ok((stream, _)) = self.listener.accept() {
            self.lines.push(Line {
                end: End::new(stream),
                asked: VecDeque::new(),
            });
        }
        for line in self.lines.iter_mut().filter(|_| !self.deaf) {
            line.end.look();
            while let Some((request, length)) =
                framing::parse_request(&line.end.input, &limits()).unwrap()
            {
                line.end.input.drain(..length);
                self.checks += usize::from(request.target == "/healthz");
                if request.target == "/healthz" && self.full {
                    continue;
                }
                if request.target == "/healthz" {
                    let well = lines(200, &format!("X-Instance-Id: {}", self.listed.id), "");
                    line.end.write(well.as_bytes());
                } else {
                    self.count += 1;
                    line.asked.push_back(request);
                }
            }
        }
    }

    /// Connections that are open on both sides.
    pub fn open(&self) -> usize {
        self.lines
            .iter()
            .filter(|line| line.end.open() && !line.end.ended)
            .count()
    }
}
