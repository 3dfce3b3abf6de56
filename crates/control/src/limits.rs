//! All sizes, counts and durations of this program. Durations are in microseconds; an absolute deadline is made of one where
//! something begins.

const MILLISECOND: i64 = 1_000;
// Heartbeats and contact.

/// The interval of the heartbeats to the other replicas and to the agents.
pub const HEARTBEAT_INTERVAL: i64 = 400 * MILLISECOND;
/// A replica that was not heard for this long is not reachable.
pub const CONTACT_TIMEOUT: i64 = 1_200 * MILLISECOND;

// Leases on roles.

/// How long a voter grants a lease on a role.
pub const GRANT_DURATION: i64 = 1_500 * MILLISECOND;
/// How long a replica that has just started waits for its links before it requests or grants a lease.
pub const STARTUP_DELAY: i64 = 200 * MILLISECOND;
/// How long before its grants may expire a holder stops.
pub const GRANT_SAFETY_MARGIN: i64 = 200 * MILLISECOND;
/// A lease request that has not won after this is given up.
pub const LEASE_REQUEST_TIMEOUT: i64 = 400 * MILLISECOND;
/// The delay between the replicas' requests for a vacant lease, in their order.
pub const LEASE_REQUEST_STAGGER: i64 = 150 * MILLISECOND;
/// How long a replica that could not perform a role does not request its lease.
pub const ROLE_FAILURE_PENALTY: i64 = 5_000 * MILLISECOND;

// Membership.

/// How long an edge that serves no longer counts among the limiters.
pub const RECENTLY_SERVING_DURATION: i64 = 10_000_000;
/// An edge that was not heard by any replica for this long is no member.
pub const MEMBER_LEASE_DURATION: i64 = 2_000 * MILLISECOND;
/// The same for edges that other replicas report, while this replica is not in contact with a quorum.
pub const MEMBER_LEASE_DURATION_WITHOUT_QUORUM: i64 = 10_000 * MILLISECOND;
/// The least interval at which a slightly changed number of limiters is announced to agents.
pub const LIMITER_COUNT_INTERVAL: i64 = 100 * MILLISECOND;
/// A change of the number of limiters is slight below one in this many.
pub const MINOR_LIMITER_CHANGE_DIVISOR: u32 = 32;

// Proposals and quorum reads.

/// A message of a proposal or read that was not answered is resent after this.
pub const RESEND_INTERVAL: i64 = 300 * MILLISECOND;
/// The same for a proposal with more than [`LARGE_CONTENT_BYTES`].
pub const LARGE_RESEND_INTERVAL: i64 = 900 * MILLISECOND;
/// Contents above this size, in bytes, are large.
pub const LARGE_CONTENT_BYTES: usize = 20_000;
/// The least time that a rejected proposal waits before it starts again.
pub const PROPOSAL_BACKOFF: i64 = MILLISECOND;
/// The same for a repair.
pub const REPAIR_BACKOFF: i64 = 250 * MILLISECOND;
/// The bound of the random time that a rejected proposal waits on top at first; it doubles with each rejection.
pub const BACKOFF_JITTER: u64 = 60_000;
/// How often that bound doubles.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// A value that was accepted and is not known to be chosen is repaired after this.
pub const REPAIR_DELAY: i64 = 600 * MILLISECOND;
/// The additional delay of that, by the number of the replica.
pub const REPAIR_STAGGER: i64 = 200 * MILLISECOND;
/// A repair is given up after this.
pub const REPAIR_TIMEOUT: i64 = 900 * MILLISECOND;
/// The greatest number of registers in repair at a time: the promises for them carry what they hold.
pub const MAX_REPAIRS_IN_FLIGHT: usize = 256;
/// How long a quorum read waits for proposals in progress before it completes them itself: a round trip between two
/// regions.
pub const READ_REPAIR_DELAY: i64 = 150 * MILLISECOND;
/// An operator's call is answered within this.
pub const CALL_TIMEOUT: i64 = 900 * MILLISECOND;
/// An operator's call with more than [`LARGE_CONTENT_BYTES`] is answered within this.
pub const LARGE_CALL_TIMEOUT: i64 = 2_500 * MILLISECOND;

// Catching up and recovery.

/// The least interval of two requests to other replicas for what was missed.
pub const SYNC_REQUEST_INTERVAL: i64 = 600 * MILLISECOND;
/// A replica that has been in contact with a quorum for this long after its start reads what it may lack, whatever the
/// digests say.
pub const CATCH_UP_DURATION: i64 = 3_000 * MILLISECOND;
/// How long that read waits for what it has found to be repaired by others, whose repairs are staggered.
pub const CATCH_UP_REPAIR_DELAY: i64 = 1_800 * MILLISECOND;
/// That read is given up after this, and begun anew.
pub const CATCH_UP_READ_TIMEOUT: i64 = 3_000 * MILLISECOND;
/// The interval of the requests of a recovering replica.
pub const RECOVERY_REQUEST_INTERVAL: i64 = 300 * MILLISECOND;
/// A newer incarnation that no replica of a quorum has heard for this long is unreachable: as long as a machine
/// that is back counts as lost (`sync_time`).
pub const RECLAIM_TIMEOUT: i64 = 4_000 * MILLISECOND;
/// What differs is sent at once if it is at most this part of a chunk; otherwise keys are sent first, at a tenth of
/// the bytes.
pub const SMALL_DIFFERENCE_DIVISOR: usize = 16;
/// The size of a chunk of items, in bytes.
pub const CHUNK_BYTES: usize = 256 * 1024;
/// What an item takes in a message beside its name and content, in bytes at most: its version, ballot and lengths.
pub const ITEM_OVERHEAD_BYTES: usize = 48;
/// The size of all chunks that answer one request, in bytes: well under [`MAX_BACKLOG_BYTES`], and heartbeats are
/// not held up.
pub const TRANSFER_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The greatest number of chunks in flight to an agent, whose link is narrow.
pub const MAX_UNACKNOWLEDGED_CHUNKS: usize = 4;
/// An agent that has acknowledged no chunk for this long is sent the next one all the same.
pub const CHUNK_ACK_TIMEOUT: i64 = 2_500 * MILLISECOND;

// The shared counter.

/// Limiters whose clocks are further apart may name windows differently: additions of those behind are not counted.
pub const MAX_CLOCK_DIFFERENCE: i64 = 500 * MILLISECOND;
/// The window of quotas.
pub const QUOTA_WINDOW: i64 = 5_000 * MILLISECOND;
/// An agent reaches the counter if its link for that was used within this.
pub const COUNTER_CONTACT_TIMEOUT: i64 = 1_400 * MILLISECOND;
/// The least share of the limiters that is assumed to reach the counter.
pub const MIN_REACHED_SHARE: f64 = 0.5;
/// The interval at which expired totals are dropped.
pub const COUNTER_SWEEP_INTERVAL: i64 = 1_000 * MILLISECOND;

// Disk.

/// A disk that rejects writes is tried again after this.
pub const DISK_RETRY_INTERVAL: i64 = 250 * MILLISECOND;

// Connections.

/// A connection has to be established within this.
pub const CONNECT_TIMEOUT: i64 = 1_000 * MILLISECOND;
/// A link between replicas on which nothing was received for this long is closed.
pub const PEER_LINK_TIMEOUT: i64 = 1_200 * MILLISECOND;
/// The same for an agent's link, and for a connection from which nothing was received yet.
pub const AGENT_LINK_TIMEOUT: i64 = 2_000 * MILLISECOND;
/// A lost link is opened again after this.
pub const RECONNECT_DELAY: i64 = 250 * MILLISECOND;
/// The additional delay at the replica with the higher address, so that normally one link is opened.
pub const RECONNECT_STAGGER: i64 = 200 * MILLISECOND;
/// A process whose event loop made no progress for this long has stalled: its peers have closed their links with
/// it, and what is still received on these is as old.
pub const STALL_THRESHOLD: i64 = PEER_LINK_TIMEOUT;
/// After a stall, what the event loop finds in this many iterations may be outdated: one for connections that
/// waited to be accepted, one for what had been reported when it stalled.
pub const STALL_ITERATIONS: u32 = 2;
/// The greatest number of bytes queued for a peer that does not read.
pub const MAX_BACKLOG_BYTES: usize = 16 * 1024 * 1024;
/// The number of bytes read from a socket at a time.
pub const READ_BYTES: usize = 16 * 1024;
/// The number of bytes read from a caller before they are handled, if more are there.
pub const CALLER_READ_BYTES: usize = 256 * 1024;
/// The greatest number of connections of operators and clients.
pub const MAX_CALLERS: usize = 600;
/// A caller that has not sent a whole request for this long is disconnected.
pub const CALLER_IDLE_TIMEOUT: i64 = 20_000 * MILLISECOND;

// The platform.

/// The interval at which the platform's list is read.
pub const POLL_INTERVAL: i64 = 1_000 * MILLISECOND;
/// A page of the list has to be received within this.
pub const PAGE_TIMEOUT: i64 = 1_000 * MILLISECOND;
/// The greatest size of a page of the list, in bytes.
pub const MAX_PAGE_BYTES: usize = 2 * 1024 * 1024;

// Shutdown.

/// After SIGTERM calls in progress are waited for no longer than this.
pub const SHUTDOWN_CALL_TIMEOUT: i64 = 2_000 * MILLISECOND;
/// How long before the end of its grace period the program ends, whatever is not handed over: a busy machine must
/// still end it in order.
pub const GRACE_MARGIN: i64 = 1_000 * MILLISECOND;

// Lookups and answers.

/// How long clients keep the answer to a lookup.
pub const LOOKUP_TTL: i64 = 2_000 * MILLISECOND;
/// How long a client waits for the first ready edge: it gives a replica a second, and asks the next one only then
/// or after a rejection.
pub const LOOKUP_WAIT: i64 = 700 * MILLISECOND;
/// How long after its start a replica is expected to hear of the edges.
pub const STARTUP_LOOKUP_WAIT: i64 = 3_000 * MILLISECOND;
/// The greatest number of addresses in the answer to a lookup.
pub const MAX_LOOKUP_ADDRESSES: usize = 64;
/// The greatest number of limiters in a status.
pub const MAX_LISTED_LIMITERS: usize = 5_000;
/// The greatest size of the body of a call, in bytes.
pub const MAX_CALL_BYTES: u64 = 8 * 1024 * 1024;
/// The greatest number of replicas: each is a bit of a heartbeat.
pub const MAX_REPLICAS: usize = 128;
