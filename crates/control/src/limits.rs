//! All sizes, counts and times of this program in one place. Spans are in microseconds; each turns an instant into an
//! absolute deadline where something begins.

const MS: i64 = 1_000;

/// Between two beats to the other replicas and to the agents.
pub const HEARTBEAT_INTERVAL: i64 = 400 * MS;
/// A replica that was not heard for this long is out of touch.
pub const CONTACT_TIMEOUT: i64 = 1_200 * MS;
/// A grant of a duty lasts this long at the voter.
pub const GRANT_DURATION: i64 = 1_500 * MS;
/// A replica that has just started waits so long for its links before it bids or grants.
pub const STARTUP_DELAY: i64 = 200 * MS;
/// A holder stops so long before its grants may end.
pub const GRANT_SAFETY_MARGIN: i64 = 200 * MS;
/// A bid that has not won after this is given up.
pub const LEASE_REQUEST_TIMEOUT: i64 = 400 * MS;
/// Between the replicas' bids for one duty.
pub const LEASE_REQUEST_STAGGER: i64 = 150 * MS;
/// An edge that serves no more counts among the limiters for so long.
pub const RECENTLY_SERVING_DURATION: i64 = 10_000_000;
/// An edge that was heard nowhere for this long is no member.
pub const MEMBER_LEASE_DURATION: i64 = 2_000 * MS;
/// The same of hearsay while this replica is out of touch itself.
pub const MEMBER_LEASE_DURATION_WITHOUT_QUORUM: i64 = 10_000 * MS;
/// Messages of a round that were not answered are sent again after this...
pub const RESEND_INTERVAL: i64 = 300 * MS;
/// ...and those with large contents after this in all.
pub const LARGE_RESEND_INTERVAL: i64 = 900 * MS;
/// A round that was refused waits for this at the least, and for more by chance, before it begins anew...
pub const PROPOSAL_BACKOFF: i64 = MS;
/// ...one that only finishes what others began for this...
pub const REPAIR_BACKOFF: i64 = 250 * MS;
/// ...by chance this much at first, and twice as much after each refusal...
pub const BACKOFF_JITTER: u64 = 60_000;
/// ...so many times.
pub const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Contents of this many bytes are large.
pub const LARGE_CONTENT_BYTES: usize = 20_000;
/// A value that was accepted and not heard to be chosen is finished after this...
pub const REPAIR_DELAY: i64 = 600 * MS;
/// ...and this more by the number of the replica.
pub const REPAIR_STAGGER: i64 = 200 * MS;
/// A reading waits so long for what is under way before it finishes it itself: the way between two regions and back.
pub const READ_REPAIR_DELAY: i64 = 150 * MS;
/// A round of repair is given up after this.
pub const REPAIR_TIMEOUT: i64 = 900 * MS;
/// Between two askings of one replica for what it has more.
pub const SYNC_REQUEST_INTERVAL: i64 = 600 * MS;
/// Between two askings of a replica that rebuilds.
pub const RECOVERY_REQUEST_INTERVAL: i64 = 300 * MS;
/// A replica that was set aside by a newer incarnation which none of a majority has heard for this long rebuilds: as long
/// as one that is back counts as lost (`sync_time`).
pub const RECLAIM_TIMEOUT: i64 = 4_000 * MS;
/// A call of the operators is answered within this...
pub const CALL_TIMEOUT: i64 = 900 * MS;
/// ...and one with a large body within this.
pub const LARGE_CALL_TIMEOUT: i64 = 2_500 * MS;
/// A replica that is in touch for this long after its start knows the whole of what is chosen.
pub const CATCH_UP_DURATION: i64 = 3_000 * MS;
/// A replica that could not do a duty does not bid for it for this long.
pub const ROLE_FAILURE_PENALTY: i64 = 5_000 * MS;
/// Limiters' clocks that are further apart than this may give windows other names: such adds are not counted.
pub const MAX_CLOCK_DIFFERENCE: i64 = 500 * MS;
/// The rules' window of quotas.
pub const QUOTA_WINDOW: i64 = 5_000 * MS;
/// An agent reaches the count if it was heard on its link for the count within this.
pub const COUNTER_CONTACT_TIMEOUT: i64 = 1_400 * MS;
/// The least share of the limiters that is taken to reach the count: more is left to slices by nobody.
pub const MIN_REACHED_SHARE: f64 = 0.5;
/// Names of the count whose time is over are dropped this often.
pub const COUNTER_SWEEP_INTERVAL: i64 = 1_000 * MS;

/// A disk that refuses writes is tried again after this.
pub const DISK_RETRY_INTERVAL: i64 = 250 * MS;
/// A connection must come up within this.
pub const CONNECT_TIMEOUT: i64 = 1_000 * MS;
/// A link between replicas on which nothing came for this long is closed.
pub const PEER_LINK_TIMEOUT: i64 = 1_200 * MS;
/// The same of an agent's link, and of a connection that has not said whose it is.
pub const AGENT_LINK_TIMEOUT: i64 = 2_000 * MS;
/// A lost link is opened anew after this...
pub const RECONNECT_DELAY: i64 = 250 * MS;
/// ...and this later by the one that has the higher address, so that normally one link is opened.
pub const RECONNECT_STAGGER: i64 = 200 * MS;
/// Between two askings of the platform for its list.
pub const POLL_INTERVAL: i64 = 1_000 * MS;
/// A page of the list comes within this.
pub const PAGE_TIMEOUT: i64 = 1_000 * MS;
/// A caller that has not brought a whole call, or asks nothing, is let go after this.
pub const CALLER_IDLE_TIMEOUT: i64 = 20_000 * MS;
/// After SIGTERM calls that are under way are waited for no longer than this.
pub const SHUTDOWN_CALL_TIMEOUT: i64 = 2_000 * MS;
/// After SIGTERM the program ends so long before its grace is over, whatever is not handed over: a busy machine must still
/// end it in order.
pub const GRACE_MARGIN: i64 = 1_000 * MS;
/// Clients keep an answer to where-to-go for this.
pub const LOOKUP_TTL: i64 = 2_000 * MS;
/// A client is kept waiting so long for the first edge that is known to be ready: it gives a replica a second, and asks the
/// next one only then or after a refusal.
pub const LOOKUP_WAIT: i64 = 700 * MS;
/// A replica that has just started is expected to hear of the edges within this.
pub const STARTUP_LOOKUP_WAIT: i64 = 3_000 * MS;
/// A process whose loop did not turn for this long stood still. Its peers have closed their links with it after [`SILENT`], so
/// that what still comes on these is as old.
pub const STALL_THRESHOLD: i64 = PEER_LINK_TIMEOUT;
/// After that, what the loop finds in so many turns may have come before: one for the connections that were waiting to be
/// accepted, one for what was already reported when it stood still.
pub const STALL_ITERATIONS: u32 = 2;

/// Between two tellings to agents of how many limiters there are, where nothing else is news...
pub const LIMITER_COUNT_INTERVAL: i64 = 100 * MS;
/// ...and this has changed by less than one in so many.
pub const MINOR_LIMITER_CHANGE_DIVISOR: u32 = 32;
/// What differs is told at once if it is at most this part of a piece; else names go first, at a tenth of the bytes.
pub const SMALL_DIFFERENCE_DIVISOR: usize = 16;
/// Most registers that are being finished at a time: the promises on them carry what they hold.
pub const MAX_REPAIRS_IN_FLIGHT: usize = 256;
/// Contents of this many bytes go into one message, where many are told.
pub const CHUNK_BYTES: usize = 256 * 1024;
/// What an item takes beside its name and content in a message, in bytes, at most: its version, ballot and lengths.
pub const ITEM_OVERHEAD_BYTES: usize = 48;
/// Bytes of pieces that answer one question of a state transfer: well under [`BACKLOG`], and beats are not held up.
pub const TRANSFER_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Most pieces of a transfer that are on their way to an agent, whose link is narrow...
pub const MAX_UNACKNOWLEDGED_CHUNKS: usize = 4;
/// ...and one more each time that it has not said for this long that one has come.
pub const CHUNK_ACK_TIMEOUT: i64 = 2_500 * MS;
/// Most replicas: each is a bit in a beat.
pub const MAX_REPLICAS: usize = 128;
/// Longest body of a call, in bytes.
pub const MAX_CALL_BYTES: u64 = 8 * 1024 * 1024;
/// Longest page of the platform's list, in bytes.
pub const MAX_PAGE_BYTES: usize = 2 * 1024 * 1024;
/// Held for a peer that does not read, in bytes.
pub const MAX_BACKLOG_BYTES: usize = 16 * 1024 * 1024;
/// Bytes asked of a socket at a time.
pub const READ_BYTES: usize = 16 * 1024;
/// Of a caller so many bytes are read before they are looked at, if more are there.
pub const CALLER_READ_BYTES: usize = 256 * 1024;
/// Most connections of callers.
pub const MAX_CALLERS: usize = 600;
/// Most limiters in an answer to how the system stands.
pub const MAX_LISTED_LIMITERS: usize = 5_000;
/// Most addresses in an answer to where-to-go.
pub const MAX_LOOKUP_ADDRESSES: usize = 64;
