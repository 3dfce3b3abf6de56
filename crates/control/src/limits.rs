//! All sizes, counts and durations of this program. Durations are in microseconds.

const MILLISECOND: i64 = 1_000;

// Heartbeats and contact.

/// The interval of the heartbeats to the other replicas and to the agents.
pub const HEARTBEAT_INTERVAL: i64 = 400 * MILLISECOND;
/// A replica of which no message was received for this long is unreachable.
pub const CONTACT_TIMEOUT: i64 = 1_200 * MILLISECOND;

// Leases on roles.

/// The duration of a lease grant at the voter.
pub const GRANT_DURATION: i64 = 1_500 * MILLISECOND;
/// How long a replica that has just started waits for its links to be established before it requests or grants a lease.
pub const STARTUP_DELAY: i64 = 200 * MILLISECOND;
/// How long before the earliest expiry of its grants a holder stops performing its role.
pub const GRANT_SAFETY_MARGIN: i64 = 200 * MILLISECOND;
/// A candidacy that has not acquired the lease within this time is given up.
pub const LEASE_REQUEST_TIMEOUT: i64 = 400 * MILLISECOND;
/// The delay between the requests of successive replicas for a vacant lease.
pub const LEASE_REQUEST_STAGGER: i64 = 150 * MILLISECOND;
/// How long a replica that failed to perform a role does not request its lease again.
pub const ROLE_FAILURE_PENALTY: i64 = 5_000 * MILLISECOND;

// Membership.

/// How long an edge still counts as a limiter after it was last known to serve.
pub const RECENTLY_SERVING_DURATION: i64 = 10_000_000;
/// The duration of an edge's lease: an edge that has not renewed it at any replica for this long is no member.
pub const MEMBER_LEASE_DURATION: i64 = 2_000 * MILLISECOND;
/// The lease duration of edges reported by other replicas, while this replica is not in contact with a quorum.
pub const MEMBER_LEASE_DURATION_WITHOUT_QUORUM: i64 = 10_000 * MILLISECOND;
/// The minimum interval between announcements of minor changes of the number of limiters.
pub const LIMITER_COUNT_INTERVAL: i64 = 100 * MILLISECOND;
/// A change of the number of limiters is minor if it is at most one in this many.
pub const MINOR_LIMITER_CHANGE_DIVISOR: u32 = 32;

// Proposals and quorum reads.

/// The interval at which unanswered messages of a proposal or read are resent.
pub const RESEND_INTERVAL: i64 = 300 * MILLISECOND;
/// The resend interval of a proposal with more than [`LARGE_CONTENT_BYTES`].
pub const LARGE_RESEND_INTERVAL: i64 = 900 * MILLISECOND;
/// The total size of the contents of a call, in bytes, above which it is large.
pub const LARGE_CONTENT_BYTES: usize = 20_000;
/// The minimum backoff of a rejected proposal.
pub const PROPOSAL_BACKOFF: i64 = MILLISECOND;
/// The minimum backoff of a rejected repair.
pub const REPAIR_BACKOFF: i64 = 250 * MILLISECOND;
/// The upper bound of the random part of the first backoff, in microseconds; it doubles with each further attempt.
pub const BACKOFF_JITTER: u64 = 60_000;
/// The maximum number of doublings of [`BACKOFF_JITTER`].
pub const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The delay before the repair of an accepted value that is not known to be chosen.
pub const REPAIR_DELAY: i64 = 600 * MILLISECOND;
/// The additional repair delay of each replica over the one with the next lower number.
pub const REPAIR_STAGGER: i64 = 200 * MILLISECOND;
/// A repair that has not completed within this time is given up.
pub const REPAIR_TIMEOUT: i64 = 900 * MILLISECOND;
/// The maximum number of registers under repair at a time, which bounds the size of the promises: they contain the
/// accepted values.
pub const MAX_REPAIRS_IN_FLIGHT: usize = 256;
/// How long a quorum read waits for proposals in progress before it completes them itself: a round trip between two
/// regions.
pub const READ_REPAIR_DELAY: i64 = 150 * MILLISECOND;
/// The time within which an operator's call is answered.
pub const CALL_TIMEOUT: i64 = 900 * MILLISECOND;
/// The time within which an operator's call with more than [`LARGE_CONTENT_BYTES`] is answered.
pub const LARGE_CALL_TIMEOUT: i64 = 2_500 * MILLISECOND;

// Catching up and recovery.

/// The minimum interval between requests to other replicas for missed updates.
pub const SYNC_REQUEST_INTERVAL: i64 = 600 * MILLISECOND;
/// A replica that has been in contact with a quorum for this long begins its catch-up read even if digests still
/// differ.
pub const CATCH_UP_DURATION: i64 = 3_000 * MILLISECOND;
/// How long a catch-up read waits for other replicas to repair the values that it has found; their repairs are
/// staggered.
pub const CATCH_UP_REPAIR_DELAY: i64 = 1_800 * MILLISECOND;
/// A catch-up read that has not completed within this time is given up and started again.
pub const CATCH_UP_READ_TIMEOUT: i64 = 3_000 * MILLISECOND;
/// The interval between the requests of a recovering replica.
pub const RECOVERY_REQUEST_INTERVAL: i64 = 300 * MILLISECOND;
/// A newer incarnation of which no replica of a quorum has received a message for this long is unreachable. This equals
/// the time for which a returned machine still counts as lost (the bound `sync_time`).
pub const RECLAIM_TIMEOUT: i64 = 4_000 * MILLISECOND;
/// Differing items are sent directly if they take at most a chunk divided by this number; otherwise their keys are sent
/// first, which take a tenth of the bytes.
pub const SMALL_DIFFERENCE_DIVISOR: usize = 16;
/// The maximum size of a chunk of items, in bytes.
pub const CHUNK_BYTES: usize = 256 * 1024;
/// The maximum size of an item in a message beyond its name and content, in bytes: its version, ballot and lengths.
pub const ITEM_OVERHEAD_BYTES: usize = 48;
/// The maximum size of all chunks that answer one request, in bytes: well under [`MAX_BACKLOG_BYTES`], and small enough
/// not to delay heartbeats.
pub const TRANSFER_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of chunks in flight to an agent, whose link has a low bandwidth.
pub const MAX_UNACKNOWLEDGED_CHUNKS: usize = 4;
/// An agent that has acknowledged no chunk for this long is sent the next one nevertheless.
pub const CHUNK_ACK_TIMEOUT: i64 = 2_500 * MILLISECOND;

// The shared counter.

/// The maximum difference between limiters' clocks. Beyond it they may number windows differently, and the additions of
/// the slower ones are not counted.
pub const MAX_CLOCK_DIFFERENCE: i64 = 500 * MILLISECOND;
/// The length of a quota window.
pub const QUOTA_WINDOW: i64 = 5_000 * MILLISECOND;
/// An agent reaches the counter if it used its link to the counter within this time.
pub const COUNTER_CONTACT_TIMEOUT: i64 = 1_400 * MILLISECOND;
/// The minimum share of the limiters that is assumed to reach the counter.
pub const MIN_REACHED_SHARE: f64 = 0.5;
/// The interval at which expired totals are removed.
pub const COUNTER_SWEEP_INTERVAL: i64 = 1_000 * MILLISECOND;

// Disk.

/// The interval at which writes are retried on a disk that rejects them.
pub const DISK_RETRY_INTERVAL: i64 = 250 * MILLISECOND;

// Connections.

/// The time within which a connection must be established.
pub const CONNECT_TIMEOUT: i64 = 1_000 * MILLISECOND;
/// A link between replicas on which nothing was received for this long is closed.
pub const PEER_LINK_TIMEOUT: i64 = 1_200 * MILLISECOND;
/// An agent's link on which nothing was received for this long is closed, as is a new connection without any input.
pub const AGENT_LINK_TIMEOUT: i64 = 2_000 * MILLISECOND;
/// The delay before a lost link is opened again.
pub const RECONNECT_DELAY: i64 = 250 * MILLISECOND;
/// The additional reconnect delay of the replica with the higher address, so that normally only one link is opened.
pub const RECONNECT_STAGGER: i64 = 200 * MILLISECOND;
/// A process whose event loop made no progress for this long has stalled: its peers have closed their links to it, and
/// data still received on them is as old as the stall.
pub const STALL_THRESHOLD: i64 = PEER_LINK_TIMEOUT;
/// The number of event loop iterations after a stall whose events may be outdated: one for the events already reported
/// when the process stalled, one for connections that waited to be accepted.
pub const STALL_ITERATIONS: u32 = 2;
/// The maximum number of bytes queued for a peer that does not read.
pub const MAX_BACKLOG_BYTES: usize = 16 * 1024 * 1024;
/// The maximum number of bytes read from a socket at a time.
pub const READ_BYTES: usize = 16 * 1024;
/// The number of bytes to collect from a caller before they are parsed, while more are available.
pub const CALLER_READ_BYTES: usize = 256 * 1024;
/// The maximum number of connections of operators and clients.
pub const MAX_CALLERS: usize = 600;
/// A caller that has not completed a request for this long is disconnected.
pub const CALLER_IDLE_TIMEOUT: i64 = 20_000 * MILLISECOND;

// The platform.

/// The interval at which the platform's list of servers is read.
pub const POLL_INTERVAL: i64 = 1_000 * MILLISECOND;
/// The time within which a page of the list must be received.
pub const PAGE_TIMEOUT: i64 = 1_000 * MILLISECOND;
/// The maximum size of a page of the list, in bytes.
pub const MAX_PAGE_BYTES: usize = 2 * 1024 * 1024;

// Shutdown.

/// The maximum time to wait for calls in progress after SIGTERM.
pub const SHUTDOWN_CALL_TIMEOUT: i64 = 2_000 * MILLISECOND;
/// How long before the end of its grace period the program exits, even if the handover is incomplete: this leaves time
/// for an orderly exit on a busy machine.
pub const GRACE_MARGIN: i64 = 1_000 * MILLISECOND;

// Lookups and responses.

/// How long clients cache the response to a lookup.
pub const LOOKUP_TTL: i64 = 2_000 * MILLISECOND;
/// How long a lookup is held until an edge is ready. Clients time out after a second, and try the next replica only
/// then or after a rejection.
pub const LOOKUP_WAIT: i64 = 700 * MILLISECOND;
/// How long after its start a replica may still learn of the edges.
pub const STARTUP_LOOKUP_WAIT: i64 = 3_000 * MILLISECOND;
/// The maximum number of addresses in the response to a lookup.
pub const MAX_LOOKUP_ADDRESSES: usize = 64;
/// The maximum number of limiters listed in a status.
pub const MAX_LISTED_LIMITERS: usize = 5_000;
/// The maximum size of the body of a call, in bytes.
pub const MAX_CALL_BYTES: u64 = 8 * 1024 * 1024;
/// The maximum number of replicas: a heartbeat has one bit for each.
pub const MAX_REPLICAS: usize = 128;
