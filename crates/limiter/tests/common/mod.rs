//! Stand-ins on loopback for clients, servers, the counter and introspection servers; the clock is driven by hand.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

use limiter::config::Environment;
use limiter::limits::Limits;
use limiter::net::framing::{self, Request, Response};
use limiter::net::{Clock, Daemon, DaemonHandle};

/// Start of the driven clock: 100 ms before a full second.
pub const START: i64 = 1_000_900_000;
/// Guards a failing test against hanging for ever; nothing is measured by it.
pub const HANG: Duration = Duration::from_secs(20);

/// What a stand-in does with a request.
pub enum Reply {
    /// Answers.
    Answer(u16, Vec<(&'static str, &'static str)>, String),
    /// Answers 200 with this body, and once more unasked.
    Twice(&'static str),
    /// Sends these bytes.
    Raw(&'static [u8]),
    /// Closes the connection.
    Drop,
    /// Waits for a word of the test, then does this.
    Held(mpsc::Receiver<()>, Box<Reply>),
}

pub fn ok(body: &str) -> Reply {
    Reply::Answer(200, vec![], body.to_string())
}

/// A server on loopback that notes what it is asked.
pub struct StandIn {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Request>>>,
    pub closed: mpsc::Receiver<()>,
    /// Told each time an answer has been written.
    pub written: mpsc::Receiver<()>,
}

impl StandIn {
    /// Starts one; `reply` is told each request and how many came before.
    pub fn start(mut reply: impl FnMut(&Request, usize) -> Reply + Send + 'static) -> StandIn {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (ended, closed) = mpsc::channel();
        let (wrote, written) = mpsc::channel();
        let (log, shared) = (
            seen.clone(),
            Arc::new(Mutex::new(move |r: &Request, n| reply(r, n))),
        );
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (log, shared, ended, wrote) =
                    (log.clone(), shared.clone(), ended.clone(), wrote.clone());
                thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    let mut bytes = Vec::new();
                    while let Some(request) = next_request(&mut stream, &mut bytes) {
                        let count = {
                            let mut log = log.lock().unwrap();
                            log.push(request.clone());
                            log.len() - 1
                        };
                        let mut reply = (shared.lock().unwrap())(&request, count);
                        while let Reply::Held(word, then) = reply {
                            let _ = word.recv_timeout(HANG);
                            reply = *then;
                        }
                        let mut out = Vec::new();
                        match reply {
                            Reply::Answer(status, headers, body) => framing::write_response(
                                &mut out,
                                status,
                                &headers,
                                body.as_bytes(),
                                false,
                            ),
                            Reply::Twice(body) => (0..2).for_each(|_| {
                                framing::write_response(&mut out, 200, &[], body.as_bytes(), false)
                            }),
                            Reply::Raw(bytes) => out.extend_from_slice(bytes),
                            Reply::Drop | Reply::Held(..) => break,
                        }
                        if stream.write_all(&out).is_err() {
                            break;
                        }
                        let _ = wrote.send(());
                    }
                    let _ = ended.send(());
                });
            }
        });
        StandIn {
            address,
            seen,
            closed,
            written,
        }
    }

    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

fn next_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    let mut part = [0; 4096];
    loop {
        if let Some((request, length)) = framing::parse_request(bytes, &Limits::default()).ok()? {
            bytes.drain(..length);
            return Some(request);
        }
        match stream.read(&mut part).ok()? {
            0 => return None,
            length => bytes.extend_from_slice(&part[..length]),
        }
    }
}

/// A counter that answers at once.
pub fn counter() -> StandIn {
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    StandIn::start(move |request, _| {
        let (name, query) = request.target.split_once('?').unwrap();
        let delta = query
            .split('&')
            .find_map(|p| p.strip_prefix("delta="))
            .unwrap();
        let total = totals.entry(name.to_string()).or_default();
        *total += delta.parse::<f64>().unwrap();
        ok(&total.to_string())
    })
}

/// An address where nobody listens. Guards against one that the system gives to another test meanwhile: port 1
/// is never given out.
pub fn nobody() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

const SETTINGS: &str = r#"{"Instances":1,"SlotNo":0,"PeriodUs":1,"Discovery":"push",
 "FailureDomains":["a"],"Skus":["m"],"Report":{"How":"probe"},
 "Lanes":[{"Name":"lookup","ObjectiveUs":1200000,"GiveUpUs":4000000,"Semantics":"retryable","Group":"all","Value":1},
          {"Name":"sign-off","ObjectiveUs":1000000,"GiveUpUs":4000000,"Semantics":"dedup","Group":"cell","RepeatWindowUs":8000000,"Value":2}],
 "Tariffs":[{"Name":"taller","UnitsPerS":1.0,"StoreSize":4.0,"WorthFactor":1.0,"OverCost":1.0},
            {"Name":"empresa","UnitsPerS":1000.0,"StoreSize":4000.0,"WorthFactor":1.0,"OverCost":1.0}],
 "Specifics":{"Counter":true,"CounterTimeoutUs":30000,"MostUnits":4},
 "Permissions":{"Cancelling":true,"Probes":false,"MaxAttempts":4,"RetryAfter":true,"MaxRetryAfterUs":1000000,
  "ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MostHeld":1000},
 "Rules":{"ColdFrom":0.2,"ColdUs":1000000,"FallMultiple":3,"FallUs":1000000}}"#;

/// The configuration of a limiter in front of these servers.
pub fn config(servers: &[SocketAddr], counter: SocketAddr) -> String {
    config_at(nobody(), servers, counter)
}

/// The same with discovery at this address.
pub fn config_at(discovery: SocketAddr, servers: &[SocketAddr], counter: SocketAddr) -> String {
    let endpoint = |(n, address): (usize, &SocketAddr)| {
        format!(
            "{{\"name\":\"s-{n}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
             \"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}}"
        )
    };
    let endpoints: Vec<String> = servers.iter().enumerate().map(endpoint).collect();
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"7\",\"counter\":\"{counter}\",\
         \"known\":{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}},\"settings\":{SETTINGS}}}",
        endpoints.join(",")
    )
}

/// A limiter that runs on a thread of its own.
pub struct Limiter {
    pub platform: SocketAddr,
    pub introspection: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    hand: Arc<AtomicI64>,
    remote: DaemonHandle,
    thread: Option<thread::JoinHandle<()>>,
}

impl Limiter {
    pub fn start(config: &str, introspection: Option<&str>) -> Limiter {
        Limiter::start_with(config, introspection, None)
    }

    pub fn start_with(config: &str, introspection: Option<&str>, raft: Option<&str>) -> Limiter {
        let mut config = Environment::default()
            .parse(config)
            .expect("a good configuration");
        raft.into_iter()
            .for_each(|text| config.apply_raft(text).expect("good members"));
        introspection.into_iter().for_each(|text| {
            config
                .apply_introspection(text)
                .expect("a good second front")
        });
        let hand = Arc::new(AtomicI64::new(START));
        let clock = Clock::manual(hand.clone());
        let (tell, told) = mpsc::channel();
        let thread = thread::spawn(move || {
            let daemon = Daemon::open(config, clock).expect("sockets open");
            let (platform, second) = daemon.addresses().unwrap();
            tell.send((
                platform,
                second,
                daemon.operators_address(),
                daemon.handle(),
            ))
            .unwrap();
            daemon.run().expect("runs to its end");
        });
        let (platform, introspection, operators, remote) = told.recv().unwrap();
        Limiter {
            platform,
            introspection,
            operators,
            hand,
            remote,
            thread: Some(thread),
        }
    }

    /// Calls as operators do, and gives the answer's line.
    pub fn call(&self, line: &str) -> String {
        call(self.operators.expect("an operators' address"), line)
    }

    /// A connection at the operators' address.
    pub fn operator(&self) -> Client {
        Client::connect(self.operators.expect("an operators' address"))
    }

    /// Moves the clock on.
    pub fn pass(&self, micros: i64) {
        self.hand.fetch_add(micros, Ordering::SeqCst);
        self.remote.wake();
    }

    pub fn now(&self) -> i64 {
        self.hand.load(Ordering::SeqCst)
    }

    /// Gives it a new configuration.
    pub fn reload(&self, config: &str) {
        self.remote.reload(
            Environment::default()
                .parse(config)
                .expect("a good configuration"),
        );
    }

    /// Tells it to end.
    pub fn stop(&self) {
        self.remote.stop();
    }

    /// Waits for its end.
    pub fn join(mut self) {
        self.thread
            .take()
            .unwrap()
            .join()
            .expect("ended without a panic");
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        Client {
            stream,
            bytes: Vec::new(),
        }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// The next answer; `None` when the connection ends first.
    pub fn answer(&mut self) -> Option<Response> {
        let mut part = [0; 4096];
        loop {
            if let Some((answer, length)) =
                framing::parse_response(&self.bytes, false, &Limits::default()).unwrap()
            {
                self.bytes.drain(..length);
                return Some(answer);
            }
            match self.stream.read(&mut part) {
                Ok(0) => return None,
                Ok(length) => self.bytes.extend_from_slice(&part[..length]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("no answer: {error}"),
            }
        }
    }

    /// All that comes until the connection ends.
    pub fn rest(&mut self) -> String {
        let mut text = String::from_utf8(std::mem::take(&mut self.bytes)).unwrap();
        match self.stream.read_to_string(&mut text) {
            Ok(_) => text,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => text,
            Err(error) => panic!("no end: {error}"),
        }
    }

    /// Asks and takes the answer.
    pub fn ask(&mut self, text: &str) -> Response {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// Calls as operators do, and gives the answer's line; empty if the connection ends without one.
pub fn call(address: SocketAddr, line: &str) -> String {
    let mut client = Client::connect(address);
    client.send(line);
    client.rest().trim_end().to_string()
}

/// Discovery's side of a watch: its request is read and its head answered.
pub fn watched(mut stream: TcpStream) -> (TcpStream, String) {
    stream.set_nonblocking(false).unwrap();
    let mut bytes = vec![0; 1024];
    let length = stream.read(&mut bytes).unwrap();
    let line = String::from_utf8_lossy(&bytes[..length])
        .lines()
        .next()
        .unwrap()
        .to_string();
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .unwrap();
    (stream, line)
}

/// Writes a line in two chunks: a line is not a chunk.
pub fn tell(stream: &mut TcpStream, line: &str) {
    let (a, b) = line.split_at(line.len() / 2);
    for part in [a, b] {
        stream
            .write_all(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes())
            .unwrap();
    }
}

/// A request that carries a key.
pub fn sign_off(key: &str) -> String {
    format!(
        "POST /sign-off?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: t-{key}\r\n\
         X-Qos: sign-off\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nIdempotency-Key: {key}\r\n\
         X-Call-Terms: units=2,spread=1,first=0\r\nContent-Length: 5\r\n\r\nhours"
    )
}

/// A request that is safe to repeat.
pub fn lookup(id: &str) -> String {
    format!(
        "GET /lookup?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\n\
         X-Qos: lookup\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// Asks on a connection of its own.
pub fn ask(address: SocketAddr, text: &str) -> Response {
    Client::connect(address).ask(text)
}
