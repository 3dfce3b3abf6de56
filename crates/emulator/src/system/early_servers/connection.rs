//! One connection to a server, in a thread of its own.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::plan::{AnswerFraming, Course, LONG_BODY_BYTES, Plan, answer_body};
use super::{Handlings, POLL_INTERVAL, Progress, ServerRun};
use crate::system::server::HEALTH_PATH;

/// Bytes read at once.
const READ_BYTES: usize = 64 * 1024;
/// Most header fields of a request.
const MAX_FIELDS: usize = 64;
/// A write that takes longer is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// The end of a body in chunks. Bodies that are sent to these servers contain no digit.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The parts of a request's head that are used.
struct Head {
    is_health_check: bool,
    id: String,
    wanted_instance: Option<String>,
    /// `None`: the body comes in chunks.
    body_bytes: Option<u64>,
}

/// How a wait for bytes or for time has ended.
enum Wait {
    Done,
    /// The peer has closed or reset the connection.
    PeerGone,
    /// The server has ended, or all is over.
    Ended,
}

struct ServerConnection<'a> {
    stream: TcpStream,
    run: &'a ServerRun,
    handlings: &'a Handlings,
    is_over: &'a (dyn Fn() -> bool + Sync),
    input: Vec<u8>,
}

/// Serves a connection until it or its server ends. Dropping the stream closes it as the end of a process does: with unread
/// input it is reset.
pub(super) fn serve_connection(
    stream: TcpStream,
    run: &ServerRun,
    handlings: &Handlings,
    is_over: &(dyn Fn() -> bool + Sync),
) {
    let configured = stream
        .set_nonblocking(false)
        .and_then(|()| stream.set_nodelay(true))
        .and_then(|()| stream.set_read_timeout(Some(POLL_INTERVAL)))
        .and_then(|()| stream.set_write_timeout(Some(WRITE_TIMEOUT)));
    if configured.is_err() {
        return;
    }
    let mut connection = ServerConnection {
        stream,
        run,
        handlings,
        is_over,
        input: Vec::new(),
    };
    while connection.serve_request() {}
}

impl ServerConnection<'_> {
    fn has_ended(&self) -> bool {
        self.run.has_ended() || (self.is_over)()
    }

    /// Reads until the condition holds for the input.
    fn read_until(&mut self, is_enough: impl Fn(&[u8]) -> bool) -> Wait {
        let mut buffer = vec![0; READ_BYTES];
        while !is_enough(&self.input) {
            if self.has_ended() {
                return Wait::Ended;
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Wait::PeerGone,
                Ok(length) => self.input.extend_from_slice(&buffer[..length]),
                Err(error) if is_timeout(&error) => {}
                Err(_) => return Wait::PeerGone,
            }
        }
        Wait::Done
    }

    /// Waits without reading.
    fn pause(&self, duration: Duration) -> Wait {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            if self.has_ended() {
                return Wait::Ended;
            }
            std::thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        Wait::Done
    }

    /// Serves the next request; returns whether another one may follow.
    fn serve_request(&mut self) -> bool {
        let has_head = |input: &[u8]| input.windows(4).any(|bytes| bytes == b"\r\n\r\n");
        if !matches!(self.read_until(has_head), Wait::Done) {
            return false;
        }
        let Some((head, length)) = parse_head(&self.input) else {
            return false;
        };
        self.input.drain(..length);
        let instance = format!("X-Instance-Id: {}\r\n", self.run.id);
        if head.is_health_check {
            return self.write(&framed(200, &instance, b""));
        }
        let id_line = format!("X-Request-Id: {}\r\n{instance}", head.id);
        if head.wanted_instance.is_some_and(|id| id != self.run.id) {
            let lines = format!("{id_line}X-Not-Run: another\r\nConnection: close\r\n");
            self.write(&framed(421, &lines, b""));
            return false;
        }
        let number = self.handlings.record_arrival(&head.id);
        match head.body_bytes {
            Some(length) if length < LONG_BODY_BYTES => {
                if !matches!(self.read_body(Some(length)), Wait::Done) {
                    self.record_end(&head.id, number);
                    return false;
                }
                self.record_progress(&head.id, number, Progress::Begun);
                let lines = format!("{id_line}X-Server-Seal: {}\r\n", self.run.id);
                let body = answer_body(&head.id, Plan::of(&head.id).answer_bytes);
                let is_written = self.write(&framed(200, &lines, &body));
                self.record_progress(&head.id, number, Progress::Written);
                is_written
            }
            body_bytes => self.answer_early((&head.id, number), &id_line, body_bytes),
        }
    }

    /// Reads a body to its end, and removes it from the input.
    fn read_body(&mut self, length: Option<u64>) -> Wait {
        let Some(length) = length else {
            // Only the last bytes are kept: they say where it ends.
            loop {
                let excess = self.input.len().saturating_sub(LAST_CHUNK.len());
                self.input.drain(..excess);
                if self.input.ends_with(LAST_CHUNK) {
                    self.input.clear();
                    return Wait::Done;
                }
                let known = self.input.len();
                match self.read_until(|input| input.len() > known) {
                    Wait::Done => {}
                    other => return other,
                }
            }
        };
        let mut remaining = length;
        loop {
            let taken = remaining.min(self.input.len() as u64);
            self.input.drain(..taken as usize);
            remaining -= taken;
            if remaining == 0 {
                return Wait::Done;
            }
            match self.read_until(|input| !input.is_empty()) {
                Wait::Done => {}
                other => return other,
            }
        }
    }

    /// Answers a request with a long body by its plan; returns whether another one may follow.
    fn answer_early(
        &mut self,
        (id, number): (&str, usize),
        id_line: &str,
        body_bytes: Option<u64>,
    ) -> bool {
        let plan = Plan::of(id);
        let read_before = plan.read_before as usize;
        if !matches!(
            self.read_until(|input| input.len() >= read_before),
            Wait::Done
        ) {
            self.record_end(id, number);
            return false;
        }
        self.record_progress(id, number, Progress::Begun);
        let body = answer_body(id, plan.answer_bytes);
        let answer = Answer::of(&plan, id_line, &self.run.id, &body);
        match plan.course {
            Course::EndsAfterRejection => {
                let lines = format!("{id_line}X-Not-Run: full\r\n");
                self.write(&framed(503, &lines, b""));
                self.record_progress(id, number, Progress::Written);
                self.end_server(id, number, plan.pause)
            }
            Course::EndsAfterHalf => {
                self.write(&answer.first);
                self.record_progress(id, number, Progress::HalfWritten);
                self.end_server(id, number, plan.pause)
            }
            Course::EndsAfterAll | Course::EndsAfterClose => {
                self.write(&[&answer.first[..], &answer.second].concat());
                if plan.course == Course::EndsAfterClose {
                    // A peer that has gone meanwhile has reset the connection.
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
                self.record_progress(id, number, Progress::Written);
                self.end_server(id, number, plan.pause)
            }
            Course::ReadsOn => {
                if !self.write(&answer.first) {
                    return false;
                }
                self.record_progress(id, number, Progress::HalfWritten);
                let mut wait = self.pause(plan.pause);
                if matches!(wait, Wait::Done) {
                    // What was read before counts as a part of the body.
                    wait = self.read_body(body_bytes);
                }
                if !matches!(wait, Wait::Done) {
                    self.record_end(id, number);
                    return false;
                }
                let is_written = self.write(&answer.second);
                self.record_progress(id, number, Progress::Written);
                is_written && plan.framing != AnswerFraming::Close && !plan.is_old_version
            }
        }
    }

    /// Ends the whole server after a pause. All its connections end with it.
    fn end_server(&mut self, id: &str, number: usize, pause: Duration) -> bool {
        self.pause(pause);
        self.run.has_ended.store(true, Ordering::Relaxed);
        self.record_end(id, number);
        false
    }

    fn record_progress(&self, id: &str, number: usize, progress: Progress) {
        self.handlings
            .update(id, number, |handling| handling.progress = progress);
    }

    /// Records whether the connection holds unread input now that it is about to be closed.
    fn record_end(&self, id: &str, number: usize) {
        let has_unread = matches!(self.stream.peek(&mut [0]), Ok(length) if length > 0);
        self.handlings.update(id, number, |handling| {
            handling.left_unread_input = Some(has_unread);
        });
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

fn parse_head(input: &[u8]) -> Option<(Head, usize)> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = request.parse(input).ok()? else {
        return None;
    };
    let field = |name: &str| {
        let mut fields = request.headers.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(field.value).ok()
    };
    let is_chunked = field("Transfer-Encoding").is_some();
    let announced = field("Content-Length").and_then(|length| length.parse().ok());
    let head = Head {
        is_health_check: request.path == Some(HEALTH_PATH),
        id: field("X-Request-Id").unwrap_or_default().to_string(),
        wanted_instance: field("X-Want-Instance").map(str::to_string),
        body_bytes: (!is_chunked).then_some(announced.unwrap_or(0)),
    };
    Some((head, length))
}

/// An answer with its length.
fn framed(status: u16, lines: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    crate::http::write_answer(&mut bytes, status, lines, body);
    bytes
}

/// The two parts in which an answer is written; the first has the head and half of the body.
struct Answer {
    first: Vec<u8>,
    second: Vec<u8>,
}

impl Answer {
    fn of(plan: &Plan, id_line: &str, server: &str, body: &[u8]) -> Answer {
        let framing = match plan.framing {
            AnswerFraming::Length => format!("Content-Length: {}\r\n", body.len()),
            AnswerFraming::Chunked => "Transfer-Encoding: chunked\r\n".to_string(),
            AnswerFraming::Close => "Connection: close\r\n".to_string(),
        };
        let version = u8::from(!plan.is_old_version);
        let head = format!(
            "HTTP/1.{version} {} -\r\n{id_line}X-Server-Seal: {server}\r\n{framing}\r\n",
            plan.status
        );
        let (start, end) = body.split_at(body.len() / 2);
        let [start, end] = match plan.framing {
            AnswerFraming::Chunked => [chunk(start), [&chunk(end)[..], LAST_CHUNK].concat()],
            AnswerFraming::Length | AnswerFraming::Close => [start.to_vec(), end.to_vec()],
        };
        Answer {
            first: [head.into_bytes(), start].concat(),
            second: end,
        }
    }
}

fn chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}
