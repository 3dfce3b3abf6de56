//! A scripted replica of the core and a scripted proxy around an agent, in the thread of the test. The clock is driven by hand.

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

pub const MS: i64 = 1_000;
/// Guards a failing test against hanging for ever; nothing is measured by it.
pub const HANG: Duration = Duration::from_secs(20);

/// One end of a link; it hears `T`.
pub struct End<T> {
    pub stream: TcpStream,
    pub input: Vec<u8>,
    pub heard: Vec<T>,
}

impl<T: DeserializeOwned> End<T> {
    pub fn new(stream: TcpStream) -> End<T> {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        End {
            stream,
            input: Vec::new(),
            heard: Vec::new(),
        }
    }

    pub fn say(&mut self, message: &impl Serialize) {
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, message);
        self.stream.write_all(&bytes).unwrap();
    }

    /// True once the other side has closed it.
    pub fn look(&mut self) -> bool {
        let mut part = [0; 4096];
        loop {
            match self.stream.read(&mut part) {
                Ok(0) => return true,
                Ok(length) => self.input.extend_from_slice(&part[..length]),
                Err(error) => {
                    while let Some(message) = frames::decode(&mut self.input).unwrap() {
                        self.heard.push(message);
                    }
                    return error.kind() != ErrorKind::WouldBlock;
                }
            }
        }
    }
}

pub fn settings(port: u16, seed: &str) -> String {
    format!(
        "node: e\nserves: []\nip: 127.0.0.1\nzone: a\nregion: r\nzones: {{a: r}}\n\
        port_range: [{port}, {}]\nseed_peers: ['{seed}']\n",
        port + 2
    )
}

pub struct Bench {
    pub host: Host,
    pub hand: Arc<AtomicI64>,
    pub happenings: Vec<IoEvent>,
    pub feed: SocketAddr,
    pub replica: TcpListener,
    pub link: Option<End<AgentMessage>>,
    pub proxies: Vec<End<ControlMessage>>,
}

impl Bench {
    /// An agent that has just started.
    pub fn new() -> Bench {
        Bench::started("127.0.0.2:1", None)
    }

    /// One whose settings name this seed, and stand in a file.
    pub fn started(seed: &str, file: Option<&Path>) -> Bench {
        let hand = Arc::new(AtomicI64::new(1_000_000_000));
        for _ in 0..50 {
            // The replica has the first port, the agent listens on the next: if that one is taken, others are drawn.
            let replica = TcpListener::bind("127.0.0.2:0").unwrap();
            let port = replica.local_addr().unwrap().port();
            let text = settings(port, seed);
            let Ok(settings) = Settings::parse(&text) else {
                continue;
            };
            file.into_iter()
                .for_each(|file| std::fs::write(file, &text).unwrap());
            let path = file.map(Path::to_path_buf);
            let feed = settings.agent_address();
            let clock = Clock::manual(hand.clone());
            let Ok(host) = Host::open(settings, path, clock, &LogRing::default()) else {
                continue;
            };
            replica.set_nonblocking(true).unwrap();
            let (happenings, proxies) = (Vec::new(), Vec::new());
            return Bench {
                host,
                hand,
                happenings,
                feed,
                replica,
                link: None,
                proxies,
            };
        }
        panic!("no two ports in a row are free");
    }

    pub fn turn(&mut self) {
        self.host.run_once(0, &mut self.happenings).unwrap();
        if let Ok((stream, _)) = self.replica.accept() {
            self.link = Some(End::new(stream));
        }
        if self.link.as_mut().is_some_and(End::look) {
            self.link = None;
        }
        self.proxies.retain_mut(|proxy| !proxy.look());
    }

    pub fn until(&mut self, what: &str, mut there: impl FnMut(&Bench) -> bool) {
        let start = Instant::now();
        while !there(self) {
            assert!(start.elapsed() < HANG, "there is no {what}");
            self.turn();
        }
    }

    pub fn pass(&mut self, ms: i64) {
        for _ in 0..ms / 10 {
            self.hand.fetch_add(10 * MS, Ordering::SeqCst);
            self.turn();
        }
    }

    /// A proxy starts, says who it is and serves.
    pub fn proxy(&mut self) {
        self.proxies
            .push(End::new(TcpStream::connect(self.feed).unwrap()));
        let proxy = self.proxies.last_mut().unwrap();
        proxy.say(&AgentMessage::Hello(edge()));
        proxy.say(&AgentMessage::Heartbeat(NodeState::Ready));
    }

    pub fn replica_says(&mut self, messages: &[ControlMessage]) {
        self.until("link", |bench| bench.link.is_some());
        messages
            .iter()
            .for_each(|message| self.link.as_mut().unwrap().say(message));
    }

    /// What the proxy hears, apart from confirmations.
    pub fn proxy_hears(&mut self, messages: &[ControlMessage]) {
        let is_content =
            |message: &ControlMessage| !matches!(message, ControlMessage::Confirmed { .. });
        self.until("news", |bench| {
            let heard = &bench.proxies.last().unwrap().heard;
            heard.iter().filter(|message| is_content(message)).count() >= messages.len()
        });
        (0..20).for_each(|_| self.turn());
        let mut heard = std::mem::take(&mut self.proxies.last_mut().unwrap().heard);
        heard.retain(is_content);
        assert_eq!(heard, messages);
    }

    /// The ages that were confirmed to the proxy since this was asked last.
    pub fn confirmed_ages(&mut self) -> Vec<i64> {
        (0..20).for_each(|_| self.turn());
        let heard = std::mem::take(&mut self.proxies.last_mut().unwrap().heard);
        let age = |message: &ControlMessage| match message {
            ControlMessage::Confirmed { age_us: age } => Some(*age),
            _ => None,
        };
        heard.iter().filter_map(age).collect()
    }

    pub fn replica_hears(&mut self, message: &AgentMessage) {
        let hears = |bench: &Bench| {
            bench
                .link
                .as_ref()
                .is_some_and(|link| link.heard.contains(message))
        };
        self.until("word at the replica", hears);
        self.link.as_mut().unwrap().heard.clear();
    }
}

pub fn edge() -> NodeInfo {
    let http = "10.1.0.3:80".parse().unwrap();
    NodeInfo {
        name: "e".into(),
        zone: "a".into(),
        region: "r".into(),
        http_address: http,
    }
}

pub fn who(holder: Option<(SocketAddr, u64)>) -> ControlMessage {
    ControlMessage::ClusterView(ClusterView {
        counter: holder,
        has_quorum: true,
        limiter_count: 1,
        zone_limiter_count: 1,
        ..ClusterView::default()
    })
}

pub fn items(versions: &[u64]) -> ControlMessage {
    let item = |(n, ver): (usize, &u64)| Item {
        name: ItemName {
            kind: ItemKind::Zone,
            name: format!("z{n}"),
        },
        ver: *ver,
        spec: Some("true".into()),
    };
    ControlMessage::Items(versions.iter().enumerate().map(item).collect())
}

pub fn servers(version: (u64, u64), cold: i64) -> ControlMessage {
    let addr = "10.128.0.9:80".parse().unwrap();
    let server = Server {
        id: "i".into(),
        svc: "s".into(),
        addr,
        zone: "a".into(),
        slots: 1,
        accepts_requests: true,
        warm_up_left_us: cold,
    };
    ControlMessage::Servers {
        version,
        servers: vec![server],
    }
}
