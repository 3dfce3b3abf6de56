//! Clients with long uploads to servers that answer early and end with unread input, and the checks of what they get: a whole
//! answer or none.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use emulator::http;
use emulator::system::early_servers::{
    Course, Handling, Handlings, LONG_BODY_BYTES, Plan, Progress, answer_body,
};
use emulator::system::operator::{Change, Operator};
use emulator::system::test_system::{request_headers, route, service};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use super::Shared;
use super::faults::Shutdown as ProgramShutdown;
use super::shutdowns::is_within_shutdown;

/// The service of the servers that answer early.
pub(super) const SERVICE: &str = "archive";
/// Servers that answer early.
pub(super) const SERVERS: usize = 12;
/// Clients that upload one body after the other.
const CLIENTS: u64 = 4;
/// Prefixes of uploads that must not and that may be repeated.
const PREFIXES: [(&str, &str); 2] = [("/upload/", "upload"), ("/replace/", "idem")];
/// Lengths of bodies: buffered by a proxy, streamed, and more than all buffers between a client and a server take in.
const BODY_BYTES: [usize; 4] = [1_000, 300_000, 12 << 20, 12 << 20];
/// Bodies up to this length are buffered by a proxy, which sends them to another server after a rejection. That server may end
/// without a word.
const MAX_RESENT_BODY_BYTES: usize = 2 << 20;
/// The limit of bodies in the configuration.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Bytes of a body that are written at once, and so the length of a chunk.
const PIECE_BYTES: usize = 64 * 1024;
/// A client gives an upload up after this.
const DEADLINE: Duration = Duration::from_secs(5);
/// Between two uploads of a client.
const GAP_MS: std::ops::Range<u64> = 5..60;
/// After a rejection.
const REJECTION_GAP_MS: std::ops::Range<u64> = 100..300;
/// The share of the uploads after which a client opens a new connection.
const LEAVES: f64 = 0.15;

/// How an upload ended for its client.
#[derive(Debug)]
enum UploadEnd {
    /// A complete answer.
    Answered {
        status: u16,
        is_sealed: bool,
        body: Vec<u8>,
    },
    /// The connection ended without a complete answer.
    Cut,
    /// There was no complete answer before the deadline.
    TimedOut,
}

impl UploadEnd {
    /// Whether the answer promises that the request has not run.
    fn is_rejection(&self) -> bool {
        matches!(
            self,
            UploadEnd::Answered {
                status: 408 | 421 | 429 | 503,
                ..
            }
        )
    }
}

#[derive(Debug)]
struct Upload {
    id: String,
    edge: usize,
    is_idempotent: bool,
    body_bytes: usize,
    sent_and_ended_at: (Instant, Instant),
    end: UploadEnd,
}

/// Counts of what was checked.
#[derive(Debug, Default)]
pub(super) struct UploadCounts {
    successes: AtomicU64,
    early_successes: AtomicU64,
    failures: AtomicU64,
    rejections: AtomicU64,
}

impl UploadCounts {
    /// How often each check was made.
    pub(super) fn checks(&self, handlings: &Handlings) -> Vec<(&'static str, u64)> {
        let count = |of: &AtomicU64| of.load(Ordering::Relaxed);
        vec![
            ("uploads answered", count(&self.successes)),
            (
                "answers before a server's end",
                count(&self.early_successes),
            ),
            ("uploads failed", count(&self.failures)),
            ("uploads not run", count(&self.rejections)),
            (
                "unread input at an end",
                handlings.ended_with_unread_input(),
            ),
        ]
    }
}

/// All uploads of a run.
#[derive(Debug, Default)]
pub(super) struct Uploads(Mutex<Vec<Upload>>);

/// Adds the service, its routes, and a limit that allows long bodies.
pub(super) fn configure(operator: &mut Operator, until: Instant) -> Result<(), String> {
    let mut change = Change::default()
        .set("svcs", SERVICE, 1, service())
        .set(
            "limits",
            "",
            2,
            json!({"hdr_bytes": 16384, "body_bytes": MAX_BODY_BYTES, "hdr": "3000ms", "idle": "15000ms"}),
        );
    for (prefix, kind) in PREFIXES {
        let mut uploads = route(prefix, SERVICE);
        uploads["kind"] = json!(kind);
        uploads["timeout"] = json!("5000ms");
        change = change.set("routes", kind, 1, uploads);
    }
    operator.change(&change, until)
}

/// Uploads bodies to the edges until the run is over.
pub(super) fn send(shared: &Shared, uploads: &Uploads, edges: &[SocketAddr], seed: u64) {
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || run_client(shared, uploads, edges, (seed, client)));
        }
    });
}

fn run_client(
    shared: &Shared,
    uploads: &Uploads,
    edges: &[SocketAddr],
    (seed, client): (u64, u64),
) {
    let mut rng = ChaCha8Rng::seed_from_u64((seed << 8 | client) ^ 0x00b1_0ad5);
    let mut open: Option<(usize, TcpStream)> = None;
    let (mut number, mut gap_ms) = (0, GAP_MS);
    while !shared.is_over() {
        std::thread::sleep(Duration::from_millis(rng.random_range(gap_ms.clone())));
        // A connection is used until it is gone, also while its edge shuts down.
        let kept = open.take().filter(|_| rng.random::<f64>() >= LEAVES);
        let edge = kept
            .as_ref()
            .map_or_else(|| rng.random_range(0..edges.len()), |(edge, _)| *edge);
        let Some(stream) = kept
            .map(|(_, stream)| stream)
            .or_else(|| TcpStream::connect_timeout(&edges[edge], Duration::from_secs(1)).ok())
        else {
            continue;
        };
        number += 1;
        let id = format!("{:08x}{client:02x}{number:06x}", seed as u32);
        let is_idempotent = rng.random::<f64>() < 0.3;
        let body_bytes = BODY_BYTES.choose(&mut rng).copied().unwrap_or_default();
        let request = UploadRequest {
            id: &id,
            prefix: PREFIXES[usize::from(is_idempotent)].0,
            body_bytes,
            is_chunked: rng.random::<f64>() < 0.3,
        };
        let sent_at = Instant::now();
        let (end, keeps_open) = request.send(&stream, sent_at + DEADLINE);
        gap_ms = if end.is_rejection() {
            REJECTION_GAP_MS
        } else {
            GAP_MS
        };
        let upload = Upload {
            id,
            edge,
            is_idempotent,
            body_bytes,
            sent_and_ended_at: (sent_at, Instant::now()),
            end,
        };
        if let Ok(mut all) = uploads.0.lock() {
            all.push(upload);
        }
        open = keeps_open.then_some((edge, stream));
    }
}

struct UploadRequest<'a> {
    id: &'a str,
    prefix: &'a str,
    body_bytes: usize,
    is_chunked: bool,
}

impl UploadRequest<'_> {
    /// Sends the request while its answer is read. Returns how it ended, and whether the connection can be used again.
    fn send(&self, stream: &TcpStream, until: Instant) -> (UploadEnd, bool) {
        std::thread::scope(|scope| {
            let writing = scope.spawn(|| self.write(stream, until));
            let (end, keeps_open) = read_end(stream, until);
            if !keeps_open {
                // Ends the writing of a body that nobody reads.
                let _ = stream.shutdown(Shutdown::Both);
            }
            let is_sent = writing.join().is_ok_and(|result| result.is_ok());
            (end, keeps_open && is_sent)
        })
    }

    fn write(&self, mut stream: &TcpStream, until: Instant) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(DEADLINE))?;
        let framing = if self.is_chunked {
            "Transfer-Encoding: chunked".to_string()
        } else {
            format!("Content-Length: {}", self.body_bytes)
        };
        let left = until.saturating_duration_since(Instant::now());
        let fields = request_headers(self.id, left.as_millis());
        let (prefix, id) = (self.prefix, self.id);
        let head = format!("POST {prefix}{id} HTTP/1.1\r\n{fields}{framing}\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let piece = [b'u'; PIECE_BYTES];
        let mut remaining = self.body_bytes;
        while remaining > 0 {
            let data = &piece[..remaining.min(PIECE_BYTES)];
            if self.is_chunked {
                stream.write_all(format!("{:x}\r\n", data.len()).as_bytes())?;
            }
            stream.write_all(data)?;
            if self.is_chunked {
                stream.write_all(b"\r\n")?;
            }
            remaining -= data.len();
        }
        if self.is_chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

/// Reads the answer. One that would be complete only by the end of its connection is not: a proxy frames what it forwards.
fn read_end(mut stream: &TcpStream, until: Instant) -> (UploadEnd, bool) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; PIECE_BYTES]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return (UploadEnd::TimedOut, false);
        }
        match stream.read(&mut buffer) {
            Ok(0) => return (UploadEnd::Cut, false),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return (UploadEnd::Cut, false),
        }
        match http::answer(&bytes, false) {
            Ok(None) => {}
            Err(http::Malformed) => return (UploadEnd::Cut, false),
            Ok(Some(answer)) => {
                let end = UploadEnd::Answered {
                    status: answer.status,
                    is_sealed: http::header(&bytes, "X-Server-Seal").is_some(),
                    body: decode_body(&bytes, &answer),
                };
                return (end, !answer.close && answer.length == bytes.len());
            }
        }
    }
}

/// The body of a complete answer, without its coding.
fn decode_body(bytes: &[u8], answer: &http::Answer) -> Vec<u8> {
    let encoded = &bytes[answer.head..answer.length];
    if http::header(bytes, "Transfer-Encoding").is_none() {
        return encoded.to_vec();
    }
    let (mut body, mut rest) = (Vec::new(), encoded);
    while let Some(line_end) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
        let size = std::str::from_utf8(&rest[..line_end]).unwrap_or_default();
        let size = usize::from_str_radix(size, 16).unwrap_or_default();
        let start = line_end + 2;
        if size == 0 || rest.len() < start + size + 2 {
            break;
        }
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
    body
}

/// Checks what the clients got against what the servers did.
pub(super) fn check(
    shared: &Shared,
    uploads: &Uploads,
    handlings: &Handlings,
    counts: &UploadCounts,
    shutdowns: &[ProgramShutdown],
) {
    let Ok(uploads) = uploads.0.lock() else {
        return;
    };
    for upload in uploads.iter() {
        check_upload(shared, upload, handlings, counts, shutdowns);
    }
}

fn check_upload(
    shared: &Shared,
    upload: &Upload,
    handlings: &Handlings,
    counts: &UploadCounts,
    shutdowns: &[ProgramShutdown],
) {
    let (id, plan) = (&upload.id, Plan::of(&upload.id));
    let handled = handlings.of(id);
    let runs = { handled.iter() }
        .filter(|handling| handling.progress > Progress::Arrived)
        .count();
    let is_rejection =
        upload.body_bytes as u64 >= LONG_BODY_BYTES && plan.course == Course::EndsAfterRejection;
    let violate = |text: &str| {
        let (sent_at, ended_at) = upload.sent_and_ended_at;
        let taken = ended_at - sent_at;
        let end = match &upload.end {
            UploadEnd::Answered { status, body, .. } => format!("{status}, {} bytes", body.len()),
            other => format!("{other:?}"),
        };
        shared.violate(format!(
            "{text}: upload {id} of {} bytes at edge {}: {end} after {taken:?}; {plan:?}; {handled:?}",
            upload.body_bytes, upload.edge
        ));
    };
    if !upload.is_idempotent && runs > 1 && !is_rejection {
        violate("ran twice");
    }
    match &upload.end {
        UploadEnd::Answered {
            status,
            is_sealed,
            body,
        } if (200..300).contains(status) => {
            counts.successes.fetch_add(1, Ordering::Relaxed);
            let ended = |handling: &Handling| handling.left_unread_input.is_some();
            if handled.iter().any(ended) {
                counts.early_successes.fetch_add(1, Ordering::Relaxed);
            }
            // An end in order in the midst of an answer without a length can't be told from its end.
            let is_excused = { handled.iter() }.any(|handling| {
                handling.left_unread_input == Some(false) && handling.progress != Progress::Written
            });
            if !is_sealed || (*body != answer_body(id, plan.answer_bytes) && !is_excused) {
                violate("a success that is not the server's whole answer");
            }
        }
        end if end.is_rejection() => {
            counts.rejections.fetch_add(1, Ordering::Relaxed);
            if !upload.is_idempotent && runs > 0 && !is_rejection {
                violate("refused, and a server has begun to run it");
            }
        }
        end => {
            counts.failures.fetch_add(1, Ordering::Relaxed);
            let may_be_resent = is_rejection && upload.body_bytes <= MAX_RESENT_BODY_BYTES;
            let is_certain = |handling: &Handling| {
                handling.progress == Progress::Written && handling.left_unread_input == Some(true)
            };
            let by_own_failure = matches!(
                end,
                UploadEnd::Answered { status: 502, .. } | UploadEnd::Cut
            );
            let is_in_shutdown =
                is_within_shutdown(shutdowns, upload.edge, upload.sent_and_ended_at);
            if by_own_failure && !may_be_resent && !is_in_shutdown && handled.iter().any(is_certain)
            {
                violate("a complete answer from before the reset was lost");
            }
        }
    }
}
