//! What is done with a request, drawn from its id.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests with bodies of at least this length are answered early. A proxy streams them, so that no buffer takes them in.
pub const LONG_BODY_BYTES: u64 = 256 * 1024;
/// Lengths of answers: buffered, and streamed by a proxy.
const ANSWER_BYTES: [usize; 3] = [300, 20_000, 300_000];
/// The longest answer that buffers on its way take in at once, so that it has arrived before its server ends.
const MAX_CERTAIN_ANSWER_BYTES: usize = 20_000;
/// How much of a long body a server reads before it answers.
const READ_BEFORE_BYTES: std::ops::Range<u64> = 0..120_000;
/// Between the first part of an answer and what follows: the client's body fills all buffers meanwhile.
const PAUSE_MS: std::ops::Range<u64> = 40..350;

/// How an answer says where it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// By its length.
    Length,
    /// In chunks.
    Chunked,
    /// By the end of its connection.
    Close,
}

/// What happens after the first part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Course {
    /// The server reads the body to its end and writes the second half of the answer.
    ReadsOn,
    /// The server writes half of the answer and ends.
    EndsAfterHalf,
    /// The server writes the whole answer and ends.
    EndsAfterAll,
    /// The server writes the whole answer, closes its sending direction in order, and ends later.
    EndsAfterClose,
    /// The server says that the request was not run, and ends.
    EndsAfterRejection,
}

/// What is done with a request that has a long body.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How the answer is framed.
    pub framing: AnswerFraming,
    /// The answer is one of HTTP/1.0.
    pub is_old_version: bool,
    /// The status of the answer.
    pub status: u16,
    /// The length of its body.
    pub answer_bytes: usize,
    /// What happens after its first part.
    pub course: Course,
    /// How much of the request's body is read before.
    pub read_before: u64,
    /// How long the server waits after the first part.
    pub pause: Duration,
}

impl Plan {
    /// The plan for the request with this id.
    pub fn of(id: &str) -> Plan {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let mut rng = ChaCha8Rng::seed_from_u64(hasher.finish());
        let course = match rng.random_range(0..10) {
            0..4 => Course::ReadsOn,
            4..7 => Course::EndsAfterHalf,
            7 => Course::EndsAfterAll,
            8 => Course::EndsAfterClose,
            _ => Course::EndsAfterRejection,
        };
        let framing = match course {
            Course::EndsAfterClose => AnswerFraming::Close,
            // Without a length it would be complete only at an end in order.
            Course::EndsAfterAll => AnswerFraming::Length,
            _ => [
                AnswerFraming::Close,
                AnswerFraming::Close,
                AnswerFraming::Length,
                AnswerFraming::Chunked,
            ]
            .choose(&mut rng)
            .copied()
            .unwrap_or(AnswerFraming::Close),
        };
        let mut lengths = ANSWER_BYTES.to_vec();
        if matches!(course, Course::EndsAfterAll | Course::EndsAfterClose) {
            lengths.retain(|length| *length <= MAX_CERTAIN_ANSWER_BYTES);
        }
        Plan {
            framing,
            is_old_version: framing != AnswerFraming::Chunked && rng.random::<f64>() < 0.3,
            status: if rng.random::<bool>() { 200 } else { 201 },
            answer_bytes: lengths.choose(&mut rng).copied().unwrap_or_default(),
            course,
            read_before: rng.random_range(READ_BEFORE_BYTES),
            pause: Duration::from_millis(rng.random_range(PAUSE_MS)),
        }
    }
}

/// The body of the answer to a request: its id again and again.
pub fn answer_body(id: &str, length: usize) -> Vec<u8> {
    let line = format!("{id}\n");
    line.bytes().cycle().take(length).collect()
}
