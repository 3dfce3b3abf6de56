//! The cases: each plays a disruption on a small deployment, and judges by what clients, servers and the operator have
//! seen.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use crate::http::{self, End, Message};
use crate::server::answer_body;
use crate::system::{Listed, Record, SIGHUP, SIGKILL, System, ZONES, first_patch, route};

/// `Err`: the case could not run. `Ok(Err)`: the rule was broken.
pub type Verdict = Result<Result<(), String>, String>;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "mixed" => mixed(trouble, record),
        "upload" => paused_uploads(trouble, record),
        "orders" => orders(trouble, record),
        "readers" => slow_readers(trouble, record),
        "heads" => heads(trouble, record),
        other => Err(format!("no case {other:?}")),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Starts a server process and lists it. `args`: its work in milliseconds, its mode, and the size of its answers.
fn start_server(
    system: &mut System,
    number: usize,
    life: usize,
    args: [&str; 3],
) -> Result<String, String> {
    let id = format!("i-{:08x}", 0x7f3a_0000 + number * 16 + life);
    let addr = system.server_address(number);
    let name = format!("server-{number}-{life}");
    let mut all = vec!["server".to_string(), addr.to_string(), id.clone()];
    all.extend(args.map(str::to_string));
    system.start_own(&name, &all)?;
    let deadline = Instant::now() + seconds(3.0);
    while !system.own_log(&name).contains("listening") {
        if Instant::now() > deadline {
            return Err(format!("{name} does not start"));
        }
        std::thread::sleep(seconds(0.02));
    }
    let mut servers = system.servers.lock().unwrap();
    servers.retain(|server| server.addr != addr);
    servers.push(Listed {
        id,
        svc: "escaneo".to_string(),
        addr,
        zone: ZONES[0].to_string(),
    });
    drop(servers);
    Ok(name)
}

/// Starts the system with this many servers, gives it its configuration, and waits until it is ready.
fn start(
    record: &Record,
    servers: usize,
    args: [&str; 3],
    routes: &str,
) -> Result<(System, Vec<String>), String> {
    let mut system = System::start(record.clone(), 1)?;
    let names: Result<Vec<String>, String> = (1..=servers)
        .map(|number| start_server(&mut system, number, 0, args))
        .collect();
    system.order("/api/cfg/patch", &first_patch(routes), seconds(20.0))?;
    system.wait_ready(seconds(20.0))?;
    // The servers are listed, and known to the edge.
    std::thread::sleep(seconds(2.5));
    Ok((system, names?))
}

/// Adds what the servers saw to the record; gives all of it.
fn server_lines(system: &System, names: &[String]) -> String {
    let mut all = String::new();
    for name in names {
        for line in system
            .own_log(name)
            .lines()
            .filter(|line| *line != "listening")
        {
            system.record.line(format!("{name}: {line}"));
            all += &format!("{line}\n");
        }
    }
    all
}

fn request_head(method: &str, path: &str, id: &str, time_left: Duration, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: registro.example\r\nX-Request-Id: {id}\r\nX-Time-Left: {}\r\nContent-Length: {length}\r\n\r\n",
        time_left.as_millis()
    )
}

/// Sends an upload on a connection of its own, and reads the answer meanwhile. Gives the answer, its end, and whether
/// the connection was reset. A reset is reported once: to the reader, or to the writer; the reader then gets an end of
/// the input, as if it were an orderly one.
fn upload(
    to: SocketAddr,
    id: &str,
    body: &[u8],
    time: Duration,
) -> Result<(Message, End, bool), String> {
    let mut stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).ok();
    let mut writer = stream.try_clone().map_err(|e| e.to_string())?;
    let head = request_head("POST", "/escaneo/x", id, time, body.len());
    let body = body.to_vec();
    let sending = std::thread::spawn(move || {
        writer.set_write_timeout(Some(time)).ok();
        // An early answer may end the connection before the body is sent.
        writer
            .write_all(head.as_bytes())
            .and_then(|()| writer.write_all(&body))
    });
    let deadline = Instant::now() + time + seconds(2.0);
    let (answer, end) = http::read_response(&mut stream, &mut Vec::new(), deadline);
    stream.shutdown(std::net::Shutdown::Both).ok();
    let sent = sending.join().map_err(|_| "client".to_string())?;
    let writer_reset = sent.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
    let has_length = answer.field("Content-Length").is_some();
    let end = if writer_reset && end == End::Complete && !has_length {
        End::Truncated
    } else {
        end
    };
    Ok((answer, end, writer_reset || end == End::Truncated))
}

/// MIXED: a server crashes in the middle of an answer without a length, given before it has read the whole request.
fn mixed(trouble: bool, record: &Record) -> Verdict {
    const SERVERS: usize = 8;
    const UPLOADS: usize = 4;
    const ARGS: [&str; 3] = ["100", "early", "20000"];
    let routes = route("r-escaneo", "/escaneo/", "upload", "8000ms", 2);
    let (mut system, mut names) = start(record, SERVERS, ARGS, &routes)?;
    let (mut all_names, mut broken) = (names.clone(), Vec::new());
    let body = vec![b's'; 12 * 1024 * 1024];
    // The last one goes to its server without the system between: it shows how the server's end looks to its peer.
    for number in 0..=UPLOADS {
        let is_direct = number == UPLOADS;
        let id = format!("9c41d07be2a3{number:04x}");
        let to = if is_direct {
            system.server_address(1)
        } else {
            system.edge(0)
        };
        let way = if is_direct {
            "directly to a server"
        } else {
            "to the edge"
        };
        record.line(format!("client: sends {id}, {} bytes, {way}", body.len()));
        let (answer, end, reset, crashed) = std::thread::scope(|scope| {
            let client = scope.spawn(|| upload(to, &id, &body, seconds(8.0)));
            let deadline = Instant::now() + seconds(4.0);
            let mut crashed = None;
            while trouble && crashed.is_none() && Instant::now() < deadline {
                let half = format!("half {id}");
                crashed = names
                    .iter()
                    .position(|name| system.own_log(name).contains(&half));
                std::thread::sleep(seconds(0.01));
            }
            if let Some(server) = crashed {
                std::thread::sleep(seconds(0.3));
                system.signal(&names[server], SIGKILL);
            }
            let (answer, end, reset) = client.join().map_err(|_| "client".to_string())??;
            Ok::<_, String>((answer, end, reset, crashed))
        })?;
        let whole = answer_body(&id, 20_000);
        record.line(format!(
            "client: {id} gets {:?} {end:?}, seal {:?}, Content-Length {:?}, {} bytes; the server's whole body has {}",
            answer.first_line,
            answer.field("X-Server-Seal"),
            answer.field("Content-Length"),
            answer.body.len(),
            whole.len()
        ));
        let is_success = (200..300).contains(&answer.status()) && end == End::Complete;
        if is_direct {
            record.line(format!(
                "client: the connection to the server was reset: {reset}"
            ));
        }
        if trouble && is_direct && !reset {
            return Err("a server's crash did not reset its connection".to_string());
        }
        if is_success && answer.body != whole && !is_direct {
            broken.push(id.clone());
        }
        if !trouble && (!is_success || answer.body != whole) {
            return Err(format!("{id} was not served without the disruption"));
        }
        if let Some(server) = crashed.filter(|_| !is_direct) {
            // It comes back after a while, with a new life.
            system.reap(&names[server]);
            std::thread::sleep(seconds(3.0));
            let life = number + 1;
            names[server] = start_server(&mut system, server + 1, life, ARGS)?;
            all_names.push(names[server].clone());
            std::thread::sleep(seconds(2.5));
        }
    }
    server_lines(&system, &all_names);
    Ok(if broken.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} of {UPLOADS} clients got a success, whole by its length, with half of the server's body: {}",
            broken.len(),
            broken.join(", ")
        ))
    })
}

/// LOST: uploads that pause for two seconds, on kept connections.
fn paused_uploads(trouble: bool, record: &Record) -> Verdict {
    const UPLOADS: usize = 6;
    const PIECE: usize = 64 * 1024;
    const PIECES: usize = 64;
    let time = seconds(13.0);
    let routes = route("r-escaneo", "/escaneo/", "upload", "14000ms", 2);
    let (system, names) = start(record, 2, ["50", "plain", "1000"], &routes)?;
    let to = system.edge(0);
    let play = |client: usize| {
        let mut stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).ok();
        let mut input = Vec::new();
        // A short request first: the connection is a kept one.
        let first = format!("11d07be2a35f{client:04x}");
        let head = request_head("POST", "/escaneo/first", &first, seconds(4.0), 3);
        stream
            .write_all(format!("{head}abc").as_bytes())
            .map_err(|e| e.to_string())?;
        let deadline = Instant::now() + seconds(5.0);
        let (answer, _) = http::read_response(&mut stream, &mut input, deadline);
        if answer.status() != 200 {
            return Err(format!("{first} got {:?}", answer.first_line));
        }
        let id = format!("22d07be2a35f{client:04x}");
        let began = Instant::now();
        let head = request_head("POST", "/escaneo/x", &id, time, PIECE * PIECES);
        record.line(format!("client: sends {id}, {} bytes", PIECE * PIECES));
        let mut writer = stream.try_clone().map_err(|e| e.to_string())?;
        let sender = std::thread::spawn(move || {
            writer.write_all(head.as_bytes())?;
            for piece in 0..PIECES {
                writer.write_all(&[b's'; PIECE])?;
                std::thread::sleep(seconds(0.07));
                if trouble && piece == 50 {
                    std::thread::sleep(seconds(2.0));
                }
            }
            Ok::<(), std::io::Error>(())
        });
        let deadline = began + time + seconds(2.0);
        let (answer, end) = http::read_response(&mut stream, &mut input, deadline);
        let taken = began.elapsed().as_secs_f64();
        record.line(format!(
            "client: {id} gets {:?} {end:?} after {taken:.3} s",
            answer.first_line
        ));
        let sent = sender.join().map_err(|_| "client".to_string())?;
        record.line(format!("client: {id}: sending the body: {sent:?}"));
        Ok((id, answer, end, taken))
    };
    let results: Vec<Result<(String, Message, End, f64), String>> = std::thread::scope(|scope| {
        let play = &play;
        let clients: Vec<_> = (0..UPLOADS)
            .map(|client| scope.spawn(move || play(client)))
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().map_err(|_| "client".to_string())?)
            .collect()
    });
    let seen = server_lines(&system, &names);
    let mut cut = Vec::new();
    for result in results {
        let (id, answer, end, taken) = result?;
        let passed_on = seen.contains(&format!("partial {id}"));
        if end == End::Nothing && passed_on && taken < time.as_secs_f64() {
            cut.push(id.clone());
        }
        if !trouble && answer.status() != 200 {
            return Err(format!("{id} was not served without the disruption"));
        }
    }
    Ok(if cut.len() > 3 {
        Err(format!(
            "{} requests from kept connections were passed on to a sound server, and the connections closed without an answer: {}",
            cut.len(),
            cut.join(", ")
        ))
    } else {
        Ok(())
    })
}

/// A client of the directory: asks, and keeps its connection. `again`: it asks again each time that its answer has run
/// out; otherwise once. Until the directory closes the connection, or the test is over.
struct Asking {
    stream: TcpStream,
    input: Vec<u8>,
    again: bool,
}

impl Asking {
    fn open(to: SocketAddr, again: bool) -> Option<Asking> {
        let stream = TcpStream::connect_timeout(&to, seconds(1.0)).ok()?;
        stream.set_nodelay(true).ok();
        Some(Asking {
            stream,
            input: Vec::new(),
            again,
        })
    }

    /// Whether it got an answer with addresses.
    fn ask(&mut self) -> bool {
        let ask = "GET /api/lookup?name=registro.example&region=meseta&zone=alajuela HTTP/1.1\r\nHost: directory\r\n\r\n";
        let deadline = Instant::now() + seconds(1.0);
        self.stream.write_all(ask.as_bytes()).is_ok()
            && http::read_response(&mut self.stream, &mut self.input, deadline)
                .0
                .status()
                == 200
    }
}

/// Acks: many users come at once and ask where to go, and then the operator gives an order.
fn orders(trouble: bool, record: &Record) -> Verdict {
    const USUAL: usize = 1_100;
    /// As many as 1.7 times the usual.
    const MORE: usize = 770;
    const THREADS: usize = 30;
    let ack = seconds(8.0);
    let routes = route("r-escaneo", "/escaneo/", "upload", "14000ms", 2);
    let (system, _) = start(record, 1, ["50", "plain", "1000"], &routes)?;
    let (stop, answered, refused) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        AtomicUsize::new(0),
    );
    // Each thread stands for a part of the clients.
    let clients = |part: usize, count: usize, again: bool| {
        let mut asking: Vec<Asking> = Vec::new();
        for client in 0..count {
            let to = system.dir((part + client) % ZONES.len());
            let opened =
                Asking::open(to, again).and_then(|mut client| client.ask().then_some(client));
            let count = if opened.is_some() {
                &answered
            } else {
                &refused
            };
            count.fetch_add(1, Relaxed);
            asking.extend(opened);
        }
        let mut asked_at = Instant::now();
        while !stop.load(Relaxed) {
            std::thread::sleep(seconds(0.1));
            // Answers hold for two seconds.
            if asked_at.elapsed() >= seconds(2.0) {
                asked_at = Instant::now();
                for client in asking.iter_mut().filter(|client| client.again) {
                    answered.fetch_add(usize::from(client.ask()), Relaxed);
                }
            }
        }
    };
    let order = std::thread::scope(|scope| {
        let clients = &clients;
        let part =
            |count: usize, part: usize| count / THREADS + usize::from(part < count % THREADS);
        for number in 0..THREADS {
            scope.spawn(move || clients(number, part(USUAL, number), true));
        }
        std::thread::sleep(seconds(4.0));
        let count = || (answered.load(Relaxed), refused.load(Relaxed));
        record.line(format!(
            "{USUAL} clients; lookups answered, failed: {:?}",
            count()
        ));
        if trouble {
            for number in 0..THREADS {
                scope.spawn(move || clients(number, part(MORE, number), false));
            }
        }
        std::thread::sleep(seconds(2.9));
        record.line(format!(
            "{} clients more; lookups answered, failed: {:?}",
            if trouble { MORE } else { 0 },
            count()
        ));
        record.line("operator: evacuates a zone");
        let order = system.order("/api/drain/canas/begin", "", ack);
        record.line(format!("lookups answered, failed: {:?}", count()));
        if order.is_err() {
            // How long it would have to wait; not judged.
            let later = system.order("/api/drain/canas/begin", "", seconds(40.0));
            record.line(format!("operator, after that: {later:?}"));
        }
        stop.store(true, Relaxed);
        order
    });
    if !trouble && order.is_err() {
        return Err("not acknowledged without the disruption".to_string());
    }
    Ok(order.map_err(|error| format!("in {} s: {error}", ack.as_secs())))
}

/// LOST: clients that read a long answer slowly, but all the time, after the SIGHUP of the machine that serves them.
fn slow_readers(trouble: bool, record: &Record) -> Verdict {
    const CLIENTS: usize = 5;
    /// Bytes a second that a client reads.
    const RATE: f64 = 112.0 * 1024.0;
    let time = seconds(90.0);
    let routes = route("r-escaneo", "/escaneo/", "idem", "90s", 1);
    let (system, names) = start(record, 2, ["50", "plain", "1000"], &routes)?;
    for program in ["proxy", "agent"] {
        system.signal(&format!("edge-alajuela-1/{program}"), SIGHUP);
    }
    std::thread::sleep(seconds(1.0));
    let to = system.edge(0);
    let play = |client: usize| {
        let mut stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).ok();
        // A short request first: the connection is a kept one.
        let first = format!("66d07be2a350{client:04x}");
        let head = request_head("GET", "/escaneo/first", &first, seconds(4.0), 0);
        stream
            .write_all(head.as_bytes())
            .map_err(|e| e.to_string())?;
        let deadline = Instant::now() + seconds(5.0);
        let (answer, _) = http::read_response(&mut stream, &mut Vec::new(), deadline);
        if answer.status() != 200 {
            return Err(format!("{first} got {:?}", answer.first_line));
        }
        let id = format!("66d07be2a351{client:04x}");
        let head = request_head("GET", "/escaneo/grande", &id, time, 0);
        let began = Instant::now();
        stream
            .write_all(head.as_bytes())
            .map_err(|e| e.to_string())?;
        record.line(format!("client: sends {id}"));
        // Reads a little at a time.
        let (mut read, mut longest_pause, mut whole, mut said) = (0_usize, 0.0_f64, None, 0);
        let (mut start, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
        let mut last = began;
        let end = loop {
            stream.set_read_timeout(Some(seconds(10.0))).ok();
            match stream.read(&mut piece) {
                Ok(0) => break "the connection was closed".to_string(),
                Ok(length) => {
                    read += length;
                    if whole.is_none() {
                        start.extend_from_slice(&piece[..length]);
                        whole = http::head_end(&start).and_then(|end| {
                            let head = http::parse_head(&start[..end]);
                            Some(end + head.field("Content-Length")?.parse::<usize>().ok()?)
                        });
                    }
                }
                Err(error) => break error.to_string(),
            }
            longest_pause = longest_pause.max(last.elapsed().as_secs_f64());
            last = Instant::now();
            if read / 1_000_000 > said {
                said = read / 1_000_000;
                record.line(format!("client: {id} has read {read} bytes"));
            }
            if whole.is_some_and(|whole| read >= whole) {
                break "complete".to_string();
            }
            if began.elapsed() > time {
                break "the deadline was reached".to_string();
            }
            if trouble {
                let due = seconds(read as f64 / RATE);
                std::thread::sleep(due.saturating_sub(began.elapsed()));
            }
        };
        let taken = began.elapsed().as_secs_f64();
        record.line(format!(
            "client: {id} read {read} bytes of {whole:?} in {taken:.1} s, with no pause over {longest_pause:.2} s; the end: {end}"
        ));
        Ok((id, end, taken))
    };
    let results: Vec<Result<(String, String, f64), String>> = std::thread::scope(|scope| {
        let play = &play;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || play(client)))
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().map_err(|_| "client".to_string())?)
            .collect()
    });
    server_lines(&system, &names);
    let mut cut = Vec::new();
    for result in results {
        let (id, end, taken) = result?;
        if end == "complete" || taken >= time.as_secs_f64() {
            continue;
        }
        if !trouble {
            return Err(format!("{id} was not served without the disruption: {end}"));
        }
        cut.push(id);
    }
    // More than three: the rule's bound for what happens at any time.
    Ok(if cut.len() > 3 {
        Err(format!(
            "{} requests were read whole and passed on, and their connections ended without a complete answer: {}",
            cut.len(),
            cut.join(", ")
        ))
    } else {
        Ok(())
    })
}

/// MIXED: `HEAD` and `GET` requests on kept connections, while the zone of the service's servers is evacuated.
fn heads(trouble: bool, record: &Record) -> Verdict {
    const CLIENTS: usize = 4;
    const PAIRS: usize = 5;
    let routes = route("r-escaneo", "/escaneo/", "idem", "4000ms", 2);
    let (system, names) = start(record, 2, ["20", "plain", "400"], &routes)?;
    if trouble {
        system.order("/api/drain/alajuela/begin", "", seconds(8.0))?;
    }
    std::thread::sleep(seconds(2.0));
    let to = system.edge(0);
    let play = |client: usize| {
        let mut stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
        stream.set_nodelay(true).ok();
        let (mut input, mut broken) = (Vec::new(), Vec::new());
        for pair in 0..PAIRS {
            for (kind, method) in ["HEAD", "GET"].into_iter().enumerate() {
                let id = format!("55d07be2a{kind}{client:02x}{pair:04x}");
                let head = format!(
                    "{method} /escaneo/x HTTP/1.1\r\nHost: registro.example\r\nX-Request-Id: {id}\r\nX-Time-Left: 3000\r\n\r\n"
                );
                stream
                    .write_all(head.as_bytes())
                    .map_err(|e| e.to_string())?;
                let deadline = Instant::now() + seconds(4.0);
                let (bytes, answer) = if method == "HEAD" {
                    // The answer to it has no body, whatever its head says.
                    http::read_head(&mut stream, &mut input, deadline)
                } else {
                    http::read_answer_bytes(&mut stream, &mut input, deadline)
                };
                record.line(format!("client: {method} {id} gets {bytes:?}"));
                match answer {
                    Some(answer) if answer.first_line.starts_with("HTTP/1.1 ") => {
                        if !trouble && answer.status() != 200 {
                            return Err(format!("{id} was not served without the disruption"));
                        }
                        // A client that follows `Connection: close` opens another one.
                        if answer.field("Connection") == Some("close") {
                            stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
                            input.clear();
                        }
                    }
                    _ => {
                        broken.push(id);
                        stream = TcpStream::connect(to).map_err(|e| e.to_string())?;
                        input.clear();
                    }
                }
            }
            std::thread::sleep(seconds(0.2));
        }
        Ok(broken)
    };
    let results: Vec<Result<Vec<String>, String>> = std::thread::scope(|scope| {
        let play = &play;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| scope.spawn(move || play(client)))
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().map_err(|_| "client".to_string())?)
            .collect()
    });
    if trouble {
        system.order("/api/drain/alajuela/finish", "", seconds(8.0))?;
    }
    server_lines(&system, &names);
    let broken: Vec<String> = results.into_iter().collect::<Result<Vec<_>, _>>()?.concat();
    Ok(if broken.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "{} answers began with bytes that are no answer in the protocol: {}",
            broken.len(),
            broken.join(", ")
        ))
    })
}
