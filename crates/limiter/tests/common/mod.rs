//! Mock servers, counter and introspection servers and test clients on loopback, and a limiter whose clock is advanced
//! by the tests.
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

/// Start of the manual clock: 100 ms before a full second.
pub const CLOCK_START_US: i64 = 1_000_900_000;
/// Time after which a failing test gives up instead of hanging. No test measures time by it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// What a mock server does with a request.
pub enum Reply {
    /// Sends a response of this status, headers and body.
    Respond(u16, Vec<(&'static str, &'static str)>, String),
    /// Sends a response of status 200 with this body, and a second, unsolicited one.
    RespondTwice(&'static str),
    /// Sends these bytes as they are.
    RawBytes(&'static [u8]),
    /// Closes the connection.
    Close,
    /// Waits for a message on the channel, then does this.
    Delay(mpsc::Receiver<()>, Box<Reply>),
}

pub fn ok(body: &str) -> Reply {
    Reply::Respond(200, vec![], body.to_string())
}

/// A server on loopback that records the requests that it receives.
pub struct MockServer {
    pub address: SocketAddr,
    /// All requests received so far.
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Receives a message each time a connection ends.
    pub connection_closed: mpsc::Receiver<()>,
    /// Receives a message each time a response has been written.
    pub response_written: mpsc::Receiver<()>,
}

impl MockServer {
    /// Starts a server; `reply` gets each request and the number of requests before it.
    pub fn start(mut reply: impl FnMut(&Request, usize) -> Reply + Send + 'static) -> MockServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (closed_sender, connection_closed) = mpsc::channel();
        let (written_sender, response_written) = mpsc::channel();
        let (request_log, shared_reply) = (
            requests.clone(),
            Arc::new(Mutex::new(move |r: &Request, n| reply(r, n))),
        );
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (request_log, shared_reply, closed_sender, written_sender) = (
                    request_log.clone(),
                    shared_reply.clone(),
                    closed_sender.clone(),
                    written_sender.clone(),
                );
                thread::spawn(move || {
                    let mut stream = stream.unwrap();
                    let mut bytes = Vec::new();
                    while let Some(request) = next_request(&mut stream, &mut bytes) {
                        let earlier_requests = {
                            let mut request_log = request_log.lock().unwrap();
                            request_log.push(request.clone());
                            request_log.len() - 1
                        };
                        let mut reply = (shared_reply.lock().unwrap())(&request, earlier_requests);
                        while let Reply::Delay(release_receiver, next_reply) = reply {
                            let _ = release_receiver.recv_timeout(TEST_TIMEOUT);
                            reply = *next_reply;
                        }
                        let mut response_bytes = Vec::new();
                        match reply {
                            Reply::Respond(status, headers, body) => framing::write_response(
                                &mut response_bytes,
                                status,
                                &headers,
                                body.as_bytes(),
                                false,
                            ),
                            Reply::RespondTwice(body) => (0..2).for_each(|_| {
                                framing::write_response(
                                    &mut response_bytes,
                                    200,
                                    &[],
                                    body.as_bytes(),
                                    false,
                                )
                            }),
                            Reply::RawBytes(bytes) => response_bytes.extend_from_slice(bytes),
                            Reply::Close | Reply::Delay(..) => break,
                        }
                        if stream.write_all(&response_bytes).is_err() {
                            break;
                        }
                        let _ = written_sender.send(());
                    }
                    let _ = closed_sender.send(());
                });
            }
        });
        MockServer {
            address,
            requests,
            connection_closed,
            response_written,
        }
    }

    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }
}

fn next_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Request> {
    let mut buffer = [0; 4096];
    loop {
        if let Some((request, length)) = framing::parse_request(bytes, &Limits::default()).ok()? {
            bytes.drain(..length);
            return Some(request);
        }
        match stream.read(&mut buffer).ok()? {
            0 => return None,
            length => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Starts a counter that responds at once.
pub fn start_counter() -> MockServer {
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    MockServer::start(move |request, _| {
        let (name, query) = request.target.split_once('?').unwrap();
        let delta = query
            .split('&')
            .find_map(|p| p.strip_prefix("delta="))
            .unwrap();
        let counter_total = totals.entry(name.to_string()).or_default();
        *counter_total += delta.parse::<f64>().unwrap();
        ok(&counter_total.to_string())
    })
}

/// An address without a listener. Port 1 is never assigned by the system, so no other test can be listening there.
pub fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

const PLATFORM_SETTINGS: &str = r#"{"Instances":1,"SlotNo":0,"PeriodUs":1,"Discovery":"push",
 "FailureDomains":["a"],"Skus":["m"],"Report":{"How":"probe"},
 "Lanes":[{"Name":"lookup","ObjectiveUs":1200000,"GiveUpUs":4000000,"Semantics":"retryable","Group":"all","Value":1},
          {"Name":"sign-off","ObjectiveUs":1000000,"GiveUpUs":4000000,"Semantics":"dedup","Group":"cell","RepeatWindowUs":8000000,"Value":2}],
 "Tariffs":[{"Name":"taller","UnitsPerS":1.0,"StoreSize":4.0,"WorthFactor":1.0,"OverCost":1.0},
            {"Name":"empresa","UnitsPerS":1000.0,"StoreSize":4000.0,"WorthFactor":1.0,"OverCost":1.0}],
 "Specifics":{"Counter":true,"CounterTimeoutUs":30000,"MostUnits":4},
 "Permissions":{"Cancelling":true,"Probes":false,"MaxAttempts":4,"RetryAfter":true,"MaxRetryAfterUs":1000000,
  "ConnIdleUs":15000000,"ConnectTimeoutUs":250000,"MostHeld":1000},
 "Rules":{"ColdFrom":0.2,"ColdUs":1000000,"FallMultiple":3,"FallUs":1000000}}"#;

/// The platform's configuration of a limiter in front of these servers.
pub fn config(servers: &[SocketAddr], counter: SocketAddr) -> String {
    config_with_discovery(unreachable_address(), servers, counter)
}

/// The same configuration with discovery at this address.
pub fn config_with_discovery(
    discovery: SocketAddr,
    servers: &[SocketAddr],
    counter: SocketAddr,
) -> String {
    let endpoint = |(n, address): (usize, &SocketAddr)| {
        format!(
            "{{\"name\":\"s-{n}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"m\",\"group\":1,\
             \"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}}"
        )
    };
    let endpoints: Vec<String> = servers.iter().enumerate().map(endpoint).collect();
    format!(
        "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"{discovery}\",\"seed\":\"7\",\"counter\":\"{counter}\",\
         \"known\":{{\"index\":1,\"snapshot\":true,\"endpoints\":[{}]}},\"settings\":{PLATFORM_SETTINGS}}}",
        endpoints.join(",")
    )
}

/// A limiter that runs on its own thread, with a manual clock.
pub struct Limiter {
    pub platform_address: SocketAddr,
    pub introspection_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
    clock_us: Arc<AtomicI64>,
    remote: DaemonHandle,
    thread: Option<thread::JoinHandle<()>>,
}

impl Limiter {
    pub fn start(config: &str, introspection: Option<&str>) -> Limiter {
        Limiter::start_with_raft(config, introspection, None)
    }

    pub fn start_with_raft(
        config: &str,
        introspection: Option<&str>,
        raft: Option<&str>,
    ) -> Limiter {
        let mut config = Environment::default()
            .parse(config)
            .expect("the configuration is valid");
        raft.into_iter().for_each(|text| {
            config
                .apply_raft(text)
                .expect("the Raft configuration is valid")
        });
        introspection.into_iter().for_each(|text| {
            config
                .apply_introspection(text)
                .expect("the introspection configuration is valid")
        });
        let clock_us = Arc::new(AtomicI64::new(CLOCK_START_US));
        let clock = Clock::manual(clock_us.clone());
        let (started_sender, started_receiver) = mpsc::channel();
        let thread = thread::spawn(move || {
            let daemon = Daemon::open(config, clock).expect("the limiter opens its sockets");
            let (platform_address, introspection_address) = daemon.addresses().unwrap();
            started_sender
                .send((
                    platform_address,
                    introspection_address,
                    daemon.operators_address(),
                    daemon.handle(),
                ))
                .unwrap();
            daemon.run().expect("the limiter runs without an error");
        });
        let (platform_address, introspection_address, operator_address, remote) =
            started_receiver.recv().unwrap();
        Limiter {
            platform_address,
            introspection_address,
            operator_address,
            clock_us,
            remote,
            thread: Some(thread),
        }
    }

    /// Sends a command to the operators' address and returns the response line.
    pub fn send_operator_command(&self, command: &str) -> String {
        send_operator_command(
            self.operator_address
                .expect("the operators' address is configured"),
            command,
        )
    }

    /// Opens a connection to the operators' address.
    pub fn connect_operator(&self) -> Client {
        Client::connect(
            self.operator_address
                .expect("the operators' address is configured"),
        )
    }

    /// Advances the clock by `duration_us` and wakes the event loop.
    pub fn advance_clock_us(&self, duration_us: i64) {
        self.clock_us.fetch_add(duration_us, Ordering::SeqCst);
        self.remote.wake();
    }

    pub fn now_us(&self) -> i64 {
        self.clock_us.load(Ordering::SeqCst)
    }

    /// Reloads the limiter with a new configuration.
    pub fn reload(&self, config: &str) {
        self.remote.reload(
            Environment::default()
                .parse(config)
                .expect("the configuration is valid"),
        );
    }

    /// Starts the shutdown.
    pub fn stop(&self) {
        self.remote.stop();
    }

    /// Waits until the limiter has shut down.
    pub fn join(mut self) {
        self.thread
            .take()
            .unwrap()
            .join()
            .expect("the limiter ends without a panic");
    }
}

/// A connection of a test client.
pub struct Client {
    pub stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client {
            stream,
            received: Vec::new(),
        }
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Response> {
        let mut buffer = [0; 4096];
        loop {
            if let Some((response, length)) =
                framing::parse_response(&self.received, false, &Limits::default()).unwrap()
            {
                self.received.drain(..length);
                return Some(response);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(length) => self.received.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(error) => panic!("reading a response failed: {error}"),
            }
        }
    }

    /// Reads until the connection ends.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::from_utf8(std::mem::take(&mut self.received)).unwrap();
        match self.stream.read_to_string(&mut text) {
            Ok(_) => text,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => text,
            Err(error) => panic!("the connection did not end: {error}"),
        }
    }

    /// Sends a request and reads the response.
    pub fn send_request(&mut self, text: &str) -> Response {
        self.send(text);
        self.read_response()
            .expect("the connection ended before a response")
    }
}

/// Sends a command to an operators' address and returns the response line, empty if the connection ends without one.
pub fn send_operator_command(address: SocketAddr, command: &str) -> String {
    let mut client = Client::connect(address);
    client.send(command);
    client.read_to_end().trim_end().to_string()
}

/// Accepts a watch as discovery does: reads the request and sends the head of the response. Returns the connection and
/// the request line.
pub fn accept_watch(mut stream: TcpStream) -> (TcpStream, String) {
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

/// Writes a line in two chunks, because a line need not arrive as one chunk.
pub fn write_chunked_line(stream: &mut TcpStream, line: &str) {
    let (a, b) = line.split_at(line.len() / 2);
    for chunk in [a, b] {
        stream
            .write_all(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes())
            .unwrap();
    }
}

/// A request with an idempotency key.
pub fn keyed_request(key: &str) -> String {
    format!(
        "POST /sign-off?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: t-{key}\r\n\
         X-Qos: sign-off\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nIdempotency-Key: {key}\r\n\
         X-Call-Terms: units=2,spread=1,first=0\r\nContent-Length: 5\r\n\r\nhours"
    )
}

/// An idempotent request.
pub fn idempotent_request(id: &str) -> String {
    format!(
        "GET /lookup?account=0000000000000005 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: {id}\r\n\
         X-Qos: lookup\r\nX-Tier: empresa\r\nX-Expires-In: 2.5\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}

/// Sends a request on a new connection and reads the response.
pub fn send_request(address: SocketAddr, text: &str) -> Response {
    Client::connect(address).send_request(text)
}
