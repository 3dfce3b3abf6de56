//! MIXED: servers answer some requests with `201 Created` and no length; such an answer ends with its connection. No success
//! that a client receives may have another body than the server's whole one.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::{Record, Run, Runs, System, bytes, hash, read_body, read_head};

/// How many clients there are, and the pause of each between two requests.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(100);
/// When the trouble begins and how long it lasts: the garble of the site file is at most 0.6 of the servers, 0.03 of their answers, 5.5 s.
const TROUBLE_AT: Duration = Duration::from_secs(4);
const TROUBLE_FOR: Duration = Duration::from_secs(5);
const LENGTH: Duration = Duration::from_secs(12);
/// Every so many answers of a server in trouble have no length: a share of 0.02.
const EACH: u64 = 50;

const CONFIGURATION: &str = r#"{"upsert":{"objs":[
{"type":"svcs","meta":{"name":"titulos","ver":3},"spec":{"hcheck":"/healthz","maxconn":120,"proto":"h1","tls":false,"warmup":"3s","cold_rate_s":20.0}},
{"type":"routes","meta":{"name":"r-issue","ver":3},"spec":{"host":"records.example","prefix":"/issue/","kind":"mutating","timeout":"4000ms","target_time":"600ms","prio":1,"svc":"titulos","tries":2,"public":false,"pins":[]}},
{"type":"tenants","meta":{"name":"school","ver":3},"spec":{"apikeys":["key-of-the-school"],"prio":1,"per_s":0,"burst":0,"pins":[]}},
{"type":"limits","meta":{"ver":3},"spec":{"hdr_bytes":16384,"body_bytes":67108864,"hdr":"3000ms","idle":"15000ms"}}]},"remove":{"routes":[]}}"#;

/// One connection at a server. `unframed`: whether the next answer goes without a length.
fn serve(id: &str, stream: TcpStream, runs: &Runs, record: &Record, unframed: &dyn Fn() -> bool) {
    let mut output = stream.try_clone().expect("a second handle");
    let mut input = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut input) {
        if read_body(&mut input, &mut request, false).is_err() {
            return;
        }
        if request.target() == "/healthz" {
            let answer = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.field("X-Want-Instance").is_some_and(|wanted| wanted != id) {
            let _ = output.write_all(
                format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
            );
            continue;
        }
        let request_id = request.field("X-Request-Id").unwrap_or("").to_string();
        thread::sleep(Duration::from_millis(15));
        let body = bytes(hash(request_id.as_bytes()), 400);
        let run = Run { status: 201, answer: hash(&body) };
        runs.lock().unwrap().entry(request_id.clone()).or_default().push(run);
        let without_length = unframed();
        if !without_length {
            record.note(format!("server {id} ran {request_id}, answers 201 with Content-Length: {}", body.len()));
        }
        let framing = if without_length { "Connection: close".to_string() } else { format!("Content-Length: {}", body.len()) };
        let head = format!(
            "HTTP/1.1 201 Created\r\nX-Request-Id: {request_id}\r\nX-Server-Seal: {id}.{:016x}\r\n{framing}\r\n\r\n",
            hash(&body)
        );
        if without_length {
            record.note(format!("server {id} ran {request_id}, answers 201 without a length: {} bytes of body, then closes", body.len()));
        }
        let whole = [head.as_bytes(), &body].concat();
        if output.write_all(&whole).is_err() || without_length {
            // All is written: the stream ends in order.
            let _ = output.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let system = System::start();
    let runs = Runs::default();
    let start = Arc::new(Mutex::new(None::<Instant>));
    for number in 0..6 {
        let (runs, record, start, answers) = (runs.clone(), record.clone(), start.clone(), AtomicU64::new(0));
        system.add_server("titulos", number % 3, move |id, stream| {
            let unframed = || {
                let now = start.lock().unwrap().map(|start: Instant| start.elapsed());
                let in_trouble = trouble
                    && number % 2 == 0
                    && now.is_some_and(|at| at >= TROUBLE_AT && at < TROUBLE_AT + TROUBLE_FOR);
                in_trouble && answers.fetch_add(1, Ordering::Relaxed) % EACH == EACH / 2
            };
            serve(id, stream, &runs, &record, &unframed);
        });
    }
    let acknowledged = system.order("POST", "/api/cfg/patch", CONFIGURATION, Duration::from_secs(20));
    if acknowledged.as_ref().map(|(status, _)| *status) != Some(200) || !system.wait_ready(Duration::from_secs(20)) {
        record.note(format!("the system was not ready: {acknowledged:?}"));
        return None;
    }
    record.note("configuration acknowledged, all edges ready");
    let begin = Instant::now();
    *start.lock().unwrap() = Some(begin);
    let wrong: Mutex<Vec<String>> = Mutex::default();
    let counts: Mutex<HashMap<String, u64>> = Mutex::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (runs, wrong, counts, system) = (&runs, &wrong, &counts, &system);
            scope.spawn(move || {
                let mut connection: Option<(BufReader<TcpStream>, TcpStream)> = None;
                let mut number = 0;
                while begin.elapsed() < LENGTH {
                    thread::sleep(PAUSE);
                    number += 1;
                    let id = format!("c{client:02}-{number:04}");
                    if connection.is_none() {
                        let addresses = system.lookup(client % 3);
                        let stream = addresses.get(number % addresses.len().max(1)).and_then(|a| TcpStream::connect(a).ok());
                        connection = stream.map(|stream| {
                            let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                            let _ = stream.set_nodelay(true);
                            (BufReader::new(stream.try_clone().expect("a second handle")), stream)
                        });
                    }
                    let Some((input, output)) = &mut connection else { continue };
                    let body = bytes(number as u64 * 64 + client as u64, 300);
                    let head = format!(
                        "POST /issue/{id} HTTP/1.1\r\nHost: records.example\r\nX-Request-Id: {id}\r\nX-Time-Left: 4000\r\nAuthorization: Bearer key-of-the-school\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    record.note(format!("client sends {id} to {:?}", output.peer_addr().ok()));
                    let sent = output.write_all(&[head.as_bytes(), &body].concat());
                    let answer = sent.and_then(|()| read_head(input)).ok().flatten().and_then(|mut answer| {
                        let whole = read_body(input, &mut answer, true).is_ok();
                        whole.then_some(answer)
                    });
                    let Some(answer) = answer else {
                        *counts.lock().unwrap().entry("no answer".into()).or_default() += 1;
                        connection = None;
                        continue;
                    };
                    *counts.lock().unwrap().entry(answer.status().to_string()).or_default() += 1;
                    record.note(format!("client got {} for {id}, {} bytes of body", answer.status(), answer.body.len()));
                    if (200..300).contains(&answer.status()) {
                        let made = runs.lock().unwrap().get(&id).and_then(|r| r.last().cloned());
                        let matches = made.as_ref().is_some_and(|run| run.status == answer.status() && run.answer == hash(&answer.body));
                        if !matches || answer.field("X-Server-Seal").is_none() || answer.field("X-Request-Id") != Some(&id) {
                            let text = format!(
                                "client got {} for {id} with a body of {} bytes (Content-Length: {:?}, seal {:?}); the server's body has 400 bytes",
                                answer.status(),
                                answer.body.len(),
                                answer.field("Content-Length"),
                                answer.field("X-Server-Seal")
                            );
                            wrong.lock().unwrap().push(text);
                        }
                    }
                    if answer.closes() {
                        connection = None;
                    }
                }
            });
        }
    });
    let (wrong, counts) = (wrong.into_inner().unwrap(), counts.into_inner().unwrap());
    for line in &wrong {
        record.note(line);
    }
    let ran = runs.lock().unwrap().len();
    record.note(format!("requests run at servers: {ran}; answers at clients: {counts:?}; successes with another body: {}", wrong.len()));
    let served = counts.get("201").copied().unwrap_or(0);
    if served < 1000 {
        record.note("too few requests were served to judge");
        return None;
    }
    Some(wrong.is_empty())
}
