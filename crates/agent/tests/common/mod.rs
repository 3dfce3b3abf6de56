//! A test bench with an agent between a scripted replica of the core and scripted proxies, all in the thread of the test. The
//! test advances the clock.

#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, Instant};

use agent::host::Host;
use dataplane::clock::Clock;
use protocol::connections::IoEvent;
use protocol::frames;
use protocol::items::{Item, ItemKind, ItemName};
use protocol::log_ring::LogRing;
use protocol::messages::{AgentMessage, ClusterView, ControlMessage, NodeInfo, NodeState};
use protocol::platform::Server;
use protocol::settings::Settings;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Microseconds per millisecond.
pub const MS: i64 = 1_000;
/// The time in real time after which a wait fails, so that a failing test does not hang.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The scripted end of a link, which receives messages of type `T`.
pub struct LinkEnd<T> {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    /// The messages that were received and not yet taken by the test.
    pub received: Vec<T>,
}

impl<T: DeserializeOwned> LinkEnd<T> {
    pub fn new(stream: TcpStream) -> LinkEnd<T> {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        LinkEnd {
            stream,
            input: Vec::new(),
            received: Vec::new(),
        }
    }

    pub fn send(&mut self, message: &impl Serialize) {
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, message);
        self.stream.write_all(&bytes).unwrap();
    }

    /// Reads and decodes the available messages. Returns whether the agent has closed the connection.
    pub fn receive(&mut self) -> bool {
        let mut buffer = [0; 4096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return true,
                Ok(length) => self.input.extend_from_slice(&buffer[..length]),
                Err(error) => {
                    while let Some(message) = frames::decode(&mut self.input).unwrap() {
                        self.received.push(message);
                    }
                    return error.kind() != ErrorKind::WouldBlock;
                }
            }
        }
    }
}

/// The text of a settings file with this first port and this seed peer.
pub fn settings(port: u16, seed: &str) -> String {
    format!(
        "node: e\nserves: []\nip: 127.0.0.1\nzone: a\nregion: r\nzones: {{a: r}}\n\
        port_range: [{port}, {}]\nseed_peers: ['{seed}']\n",
        port + 2
    )
}

/// The agent, the replica's listener and the scripted ends of the agent's connections.
pub struct Bench {
    pub host: Host,
    pub clock_us: Arc<AtomicI64>,
    pub events: Vec<IoEvent>,
    pub agent_address: SocketAddr,
    pub replica: TcpListener,
    /// The connection that the agent opened last, while it is open.
    pub link: Option<LinkEnd<AgentMessage>>,
    pub proxies: Vec<LinkEnd<ControlMessage>>,
}

impl Bench {
    /// Starts an agent whose seed peer is the replica of the bench.
    pub fn new() -> Bench {
        Bench::start("127.0.0.2:1", None)
    }

    /// Starts an agent with this seed peer, whose settings are also written to `settings_path`.
    pub fn start(seed: &str, settings_path: Option<&Path>) -> Bench {
        let clock_us = Arc::new(AtomicI64::new(1_000_000_000));
        for _ in 0..50 {
            // The replica listens on the first port and the agent on the next one. If that is in use, other ports are tried.
            let replica = TcpListener::bind("127.0.0.2:0").unwrap();
            let port = replica.local_addr().unwrap().port();
            let text = settings(port, seed);
            let Ok(settings) = Settings::parse(&text) else {
                continue;
            };
            settings_path
                .into_iter()
                .for_each(|path| std::fs::write(path, &text).unwrap());
            let path = settings_path.map(Path::to_path_buf);
            let agent_address = settings.agent_address();
            let clock = Clock::manual(clock_us.clone());
            let Ok(host) = Host::open(settings, path, clock, &LogRing::default()) else {
                continue;
            };
            replica.set_nonblocking(true).unwrap();
            let (events, proxies) = (Vec::new(), Vec::new());
            return Bench {
                host,
                clock_us,
                events,
                agent_address,
                replica,
                link: None,
                proxies,
            };
        }
        panic!("found no two free adjacent ports");
    }

    /// Runs one iteration of the agent's event loop, and receives at the scripted ends.
    pub fn run_once(&mut self) {
        self.host.run_once(0, &mut self.events).unwrap();
        if let Ok((stream, _)) = self.replica.accept() {
            self.link = Some(LinkEnd::new(stream));
        }
        if self.link.as_mut().is_some_and(LinkEnd::receive) {
            self.link = None;
        }
        self.proxies.retain_mut(|proxy| !proxy.receive());
    }

    /// Runs the agent until a condition holds, without advancing the clock.
    pub fn run_until(&mut self, description: &str, mut condition: impl FnMut(&Bench) -> bool) {
        let started_at = Instant::now();
        while !condition(self) {
            assert!(
                started_at.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {description}"
            );
            self.run_once();
        }
    }

    /// Advances the clock in steps of 10 ms, and runs the agent once after each.
    pub fn advance_ms(&mut self, duration_ms: i64) {
        for _ in 0..duration_ms / 10 {
            self.clock_us.fetch_add(10 * MS, Ordering::SeqCst);
            self.run_once();
        }
    }

    /// Connects a proxy to the agent, which sends its edge and reports itself ready.
    pub fn connect_proxy(&mut self) {
        self.proxies.push(LinkEnd::new(
            TcpStream::connect(self.agent_address).unwrap(),
        ));
        let proxy = self.proxies.last_mut().unwrap();
        proxy.send(&AgentMessage::Hello(edge()));
        proxy.send(&AgentMessage::Heartbeat(NodeState::Ready));
    }

    /// Sends messages from the replica to the agent, once there is a link.
    pub fn send_from_replica(&mut self, messages: &[ControlMessage]) {
        self.run_until("a link", |bench| bench.link.is_some());
        messages
            .iter()
            .for_each(|message| self.link.as_mut().unwrap().send(message));
    }

    /// Asserts that the last proxy receives exactly these messages, apart from confirmations.
    pub fn expect_at_proxy(&mut self, messages: &[ControlMessage]) {
        let is_content =
            |message: &ControlMessage| !matches!(message, ControlMessage::Confirmed { .. });
        self.run_until("messages at the proxy", |bench| {
            let received = &bench.proxies.last().unwrap().received;
            received
                .iter()
                .filter(|message| is_content(message))
                .count()
                >= messages.len()
        });
        (0..20).for_each(|_| self.run_once());
        let mut received = std::mem::take(&mut self.proxies.last_mut().unwrap().received);
        received.retain(is_content);
        assert_eq!(received, messages);
    }

    /// Takes the ages in microseconds that were confirmed to the proxy, and discards its other messages.
    pub fn take_confirmed_ages(&mut self) -> Vec<i64> {
        (0..20).for_each(|_| self.run_once());
        let received = std::mem::take(&mut self.proxies.last_mut().unwrap().received);
        let confirmed_age = |message: &ControlMessage| match message {
            ControlMessage::Confirmed { age_us } => Some(*age_us),
            _ => None,
        };
        received.iter().filter_map(confirmed_age).collect()
    }

    /// Waits until the replica has received this message, and discards all that it has received.
    pub fn expect_at_replica(&mut self, message: &AgentMessage) {
        let has_received = |bench: &Bench| {
            bench
                .link
                .as_ref()
                .is_some_and(|link| link.received.contains(message))
        };
        self.run_until("a message at the replica", has_received);
        self.link.as_mut().unwrap().received.clear();
    }
}

pub fn edge() -> NodeInfo {
    let http_address = "10.1.0.3:80".parse().unwrap();
    NodeInfo {
        name: "e".into(),
        zone: "a".into(),
        region: "r".into(),
        http_address,
    }
}

/// The cluster view of a replica with a quorum, with this counter.
pub fn cluster_view(counter: Option<(SocketAddr, u64)>) -> ControlMessage {
    ControlMessage::ClusterView(ClusterView {
        counter,
        has_quorum: true,
        limiter_count: 1,
        zone_limiter_count: 1,
        ..ClusterView::default()
    })
}

/// Items `z0`, `z1` and so on with these versions.
pub fn items(versions: &[u64]) -> ControlMessage {
    let item = |(index, ver): (usize, &u64)| Item {
        name: ItemName {
            kind: ItemKind::Zone,
            name: format!("z{index}"),
        },
        ver: *ver,
        spec: Some("true".into()),
    };
    ControlMessage::Items(versions.iter().enumerate().map(item).collect())
}

/// A list with a single server that warms up for this long.
pub fn servers(version: (u64, u64), warm_up_left_us: i64) -> ControlMessage {
    let addr = "10.128.0.9:80".parse().unwrap();
    let server = Server {
        id: "i".into(),
        svc: "s".into(),
        addr,
        zone: "a".into(),
        slots: 1,
        accepts_requests: true,
        warm_up_left_us,
    };
    ControlMessage::Servers {
        version,
        servers: vec![server],
    }
}
