//! An agent between a scripted replica of the core and a scripted proxy, in the thread of the test: who starts anew hears
//! all, and nobody goes back. The clock is driven by hand.

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
use protocol::messages::{
    AgentMessage, ClusterView, ControlMessage, CounterAdd, NodeInfo, NodeState,
};
use protocol::platform::Server;
use protocol::settings::Settings;
use serde::Serialize;
use serde::de::DeserializeOwned;

const MS: i64 = 1_000;
/// Guards a failing test against hanging for ever; nothing is measured by it.
const HANG: Duration = Duration::from_secs(20);

/// One end of a link; it hears `T`.
struct End<T> {
    stream: TcpStream,
    input: Vec<u8>,
    heard: Vec<T>,
}

impl<T: DeserializeOwned> End<T> {
    fn new(stream: TcpStream) -> End<T> {
        stream.set_nonblocking(true).unwrap();
        End {
            stream,
            input: Vec::new(),
            heard: Vec::new(),
        }
    }

    fn say(&mut self, message: &impl Serialize) {
        let mut bytes = Vec::new();
        frames::encode(&mut bytes, message);
        self.stream.write_all(&bytes).unwrap();
    }

    /// True once the other side has closed it.
    fn look(&mut self) -> bool {
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

fn settings(port: u16, seed: &str) -> String {
    format!(
        "node: e\nserves: []\nip: 127.0.0.1\nzone: a\nregion: r\nzones: {{a: r}}\n\
        port_range: [{port}, {}]\nseed_peers: ['{seed}']\n",
        port + 2
    )
}

struct Bench {
    host: Host,
    hand: Arc<AtomicI64>,
    happenings: Vec<IoEvent>,
    feed: SocketAddr,
    replica: TcpListener,
    link: Option<End<AgentMessage>>,
    proxies: Vec<End<ControlMessage>>,
}

impl Bench {
    /// An agent that has just started.
    fn new() -> Bench {
        Bench::started("127.0.0.2:1", None)
    }

    /// One whose settings name this seed, and stand in a file.
    fn started(seed: &str, file: Option<&Path>) -> Bench {
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
            let clock = Clock::driven(hand.clone());
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

    fn turn(&mut self) {
        self.host.run_once(0, &mut self.happenings).unwrap();
        if let Ok((stream, _)) = self.replica.accept() {
            self.link = Some(End::new(stream));
        }
        if self.link.as_mut().is_some_and(End::look) {
            self.link = None;
        }
        self.proxies.retain_mut(|proxy| !proxy.look());
    }

    fn until(&mut self, what: &str, mut there: impl FnMut(&Bench) -> bool) {
        let start = Instant::now();
        while !there(self) {
            assert!(start.elapsed() < HANG, "there is no {what}");
            self.turn();
        }
    }

    fn pass(&mut self, ms: i64) {
        for _ in 0..ms / 10 {
            self.hand.fetch_add(10 * MS, Ordering::SeqCst);
            self.turn();
        }
    }

    /// A proxy starts, says who it is and serves.
    fn proxy(&mut self) {
        self.proxies
            .push(End::new(TcpStream::connect(self.feed).unwrap()));
        let proxy = self.proxies.last_mut().unwrap();
        proxy.say(&AgentMessage::Hello(edge()));
        proxy.say(&AgentMessage::Heartbeat(NodeState::Ready));
    }

    fn replica_says(&mut self, messages: &[ControlMessage]) {
        self.until("link", |bench| bench.link.is_some());
        messages
            .iter()
            .for_each(|message| self.link.as_mut().unwrap().say(message));
    }

    fn proxy_hears(&mut self, messages: &[ControlMessage]) {
        self.until("news", |bench| {
            bench.proxies.last().unwrap().heard.len() >= messages.len()
        });
        (0..20).for_each(|_| self.turn());
        assert_eq!(
            std::mem::take(&mut self.proxies.last_mut().unwrap().heard),
            messages
        );
    }

    fn replica_hears(&mut self, message: &AgentMessage) {
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

fn edge() -> NodeInfo {
    let http = "10.1.0.3:80".parse().unwrap();
    NodeInfo {
        name: "e".into(),
        zone: "a".into(),
        region: "r".into(),
        http,
    }
}

fn who(holder: Option<(SocketAddr, u64)>) -> ControlMessage {
    ControlMessage::ClusterView(ClusterView {
        counter: holder,
        has_quorum: true,
        limiters: 1,
        limiters_in_zone: 1,
        ..ClusterView::default()
    })
}

fn items(versions: &[u64]) -> ControlMessage {
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

fn servers(version: (u64, u64), cold: i64) -> ControlMessage {
    let addr = "10.128.0.9:80".parse().unwrap();
    let server = Server {
        id: "i".into(),
        svc: "s".into(),
        addr,
        zone: "a".into(),
        slots: 1,
        accepts_requests: true,
        warm_up_left: cold,
    };
    ControlMessage::Servers {
        version,
        servers: vec![server],
    }
}

#[test]
fn restarted_proxy_is_sent_everything_without_a_core() {
    let mut bench = Bench::new();
    bench.proxy();
    let told = [
        who(None),
        items(&[3, 5]),
        servers((2, 7), 0),
        ControlMessage::Complete,
    ];
    bench.replica_says(&told);
    // Nothing was known when it came.
    let news = [&[items(&[])], &told[..]].concat();
    bench.proxy_hears(&news);
    bench.replica_hears(&AgentMessage::Heartbeat(NodeState::Ready));
    bench.proxies.clear();
    bench.replica_hears(&AgentMessage::Heartbeat(NodeState::Unavailable));
    bench.link = None;
    bench.proxy();
    bench.proxy_hears(&told);
    // The next replica hears who is here, and how it stands, and brings nothing but what is newer.
    bench.pass(200);
    bench.replica_hears(&AgentMessage::Hello(edge()));
    bench.replica_says(&[
        who(None),
        items(&[2, 5]),
        servers((2, 6), 0),
        ControlMessage::Complete,
        items(&[4]),
    ]);
    bench.proxy_hears(&[items(&[4])]);
}

#[test]
fn agent_feeds_its_proxy_and_renews_its_lease() {
    let mut bench = Bench::new();
    // The replica hears of no edge before there is a proxy.
    bench.until("link", |bench| bench.link.is_some());
    bench.pass(900);
    assert!(
        bench
            .link
            .as_ref()
            .unwrap()
            .heard
            .iter()
            .all(|heard| matches!(
                heard,
                AgentMessage::Clock(0) | AgentMessage::ConfigState { items: 0, .. }
            ))
    );
    bench.proxy();
    bench.replica_hears(&AgentMessage::Hello(edge()));
    bench.replica_hears(&AgentMessage::Heartbeat(NodeState::Ready));
    // Cold times run on while they are kept here.
    bench.replica_says(&[servers((1, 1), 500 * MS), ControlMessage::Complete]);
    bench.proxy_hears(&[
        items(&[]),
        servers((1, 1), 500 * MS),
        ControlMessage::Complete,
    ]);
    bench.pass(600);
    bench.proxy();
    bench.proxy_hears(&[items(&[]), servers((1, 1), 0), ControlMessage::Complete]);
}

#[test]
fn batches_go_to_the_counter_or_are_reported_as_not_counted() {
    let mut bench = Bench::new();
    bench.proxy();
    bench.proxy_hears(&[items(&[])]);
    let adds = |batch| AgentMessage::CounterBatch {
        batch,
        time: 5,
        adds: vec![CounterAdd {
            counter: 9,
            units: 1.0,
            ttl: 7,
        }],
    };
    bench.proxies[0].say(&adds(41));
    bench.proxy_hears(&[ControlMessage::NotCounted(41)]);
    let holder = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = (holder.local_addr().unwrap(), 1);
    bench.replica_says(&[who(Some(at))]);
    bench.proxy_hears(&[who(Some(at))]);
    // The limiters' clock is not known yet: in what window the adds are nobody could say.
    bench.proxies[0].say(&adds(41));
    bench.proxy_hears(&[ControlMessage::NotCounted(41)]);
    bench.replica_says(&[ControlMessage::Clock(7_000_000_000_000)]);
    bench.until("time", |bench| !bench.proxies[0].heard.is_empty());
    let told = std::mem::take(&mut bench.proxies[0].heard);
    assert!(
        matches!(told[..], [ControlMessage::Clock(time)] if time - 7_000_000_000_000 < 1_000_000),
        "{told:?}"
    );
    holder.set_nonblocking(true).unwrap();
    let mut count: Option<End<AgentMessage>> = None;
    bench.until("link to the count", |_| {
        count = holder.accept().ok().map(|(stream, _)| End::new(stream));
        count.is_some()
    });
    let mut count = count.unwrap();
    bench.until("first word there", |_| {
        !count.look() && !count.heard.is_empty()
    });
    bench.proxies[0].say(&adds(42));
    bench.until("adds there", |_| !count.look() && count.heard.len() > 1);
    assert!(
        matches!(count.heard[0], AgentMessage::Clock(_)),
        "{:?}",
        count.heard
    );
    assert_eq!(count.heard[1..], [adds(1)]);
    count.say(&ControlMessage::Totals {
        batch: 1,
        totals: vec![3.0],
    });
    bench.proxy_hears(&[ControlMessage::Totals {
        batch: 42,
        totals: vec![3.0],
    }]);
}

#[test]
fn agent_without_replicas_reloads_its_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("local.yaml");
    // Nobody listens there: the replica that the file named at the start is gone.
    let mut bench = Bench::started("127.0.0.3:1", Some(&file));
    bench.pass(600);
    assert!(bench.link.is_none());
    // A faulty file changes nothing, and the next one counts.
    std::fs::write(&file, "node: [").unwrap();
    bench.pass(600);
    let port = bench.replica.local_addr().unwrap().port();
    std::fs::write(&file, settings(port, "127.0.0.2:1")).unwrap();
    bench.pass(600);
    bench.until("link", |bench| bench.link.is_some());
}
