//! All sizes, counts and durations of a data plane in one type, set at the start.

use streamarch::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Sizes, counts and durations (in microseconds). A duration becomes an absolute deadline when the
/// operation that it limits begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a message, in bytes.
    pub max_head_bytes: usize,
    /// Longest body that is buffered completely before it is forwarded, in bytes. Longer request
    /// bodies are buffered up to [`Limits::max_buffered_request_bytes`], longer responses are
    /// streamed.
    pub max_buffered_body_bytes: usize,
    /// Longest request body that is buffered completely, in bytes; longer ones are streamed.
    pub max_buffered_request_bytes: u64,
    /// Longest request body, in bytes.
    pub max_request_bytes: u64,
    /// Longest streamed response, in bytes.
    pub max_response_bytes: u64,
    /// Most bytes buffered of a streamed response or body that its receiver has not read.
    pub relay_window_bytes: usize,
    /// Most reads of one connection before others have their turn.
    pub max_reads_per_turn: usize,
    /// Longest line of the discovery watch, in bytes.
    pub max_watch_line_bytes: usize,
    /// Most interim responses (1xx) before the final one.
    pub max_interim_responses: usize,
    /// Most bytes per read of a socket.
    pub read_buffer_bytes: usize,
    /// Longest datagram between limiters, in bytes.
    pub max_datagram_bytes: usize,
    /// Most client connections.
    pub max_client_connections: usize,
    /// Beyond this many client connections each one is closed after its response.
    pub max_persistent_connections: usize,
    /// Most bytes read ahead from a client while its request is in progress or its response is not
    /// written.
    pub max_pipelined_bytes: usize,
    /// Most bytes read from a client after its last response, and discarded.
    pub max_linger_bytes: usize,
    /// Most bytes buffered of all clients' requests that are arriving or not answered yet.
    pub max_pending_request_bytes: usize,
    /// Time-out for a client to send a request completely.
    pub request_timeout: Micros,
    /// Time for a body to arrive, in addition to the time for its bytes at
    /// [`Limits::min_body_bytes_per_s`].
    pub body_grace_period: Micros,
    /// Minimum rate of a body, in bytes per second.
    pub min_body_bytes_per_s: u64,
    /// Time-out for more bytes of a body to arrive.
    pub body_idle_timeout: Micros,
    /// Most time that is added to a request's deadline for a streamed body.
    pub max_upload_extension: Micros,
    /// Idle time-out of a client's connection that has carried a response.
    pub client_idle_timeout: Micros,
    /// A connection accepted more recently than this is not evicted, as its first request may be
    /// on its way.
    pub first_request_grace_period: Micros,
    /// Time-out for a client to read more of its response.
    pub client_write_timeout: Micros,
    /// Time for a client to read the last response before the connection is closed.
    pub linger_timeout: Micros,
    /// Length of the listening socket's queue.
    pub listen_backlog: i32,
    /// Shortest interval between log lines about paused accepting.
    pub accept_pause_log_interval: Micros,
    /// Most connections to servers, including idle ones.
    pub max_upstream_connections: usize,
    /// Number of connections to the counter.
    pub counter_connections: usize,
    /// Longest response of the counter, a number, in bytes.
    pub max_counter_response_bytes: usize,
    /// Most authorisations in progress.
    pub max_authorisations: usize,
    /// Most units of one authorisation, in thousandths.
    pub max_units_thousandths: u64,
    /// An authorisation ends this long before its client gives up, so that the response can still
    /// reach it.
    pub response_margin: Micros,
    /// Time-out of establishing a connection to a server.
    pub connect_timeout: Micros,
    /// Time-out for more bytes of a response that has begun and is not complete.
    pub response_idle_timeout: Micros,
    /// Time-out for more bytes of a streamed response.
    pub relay_idle_timeout: Micros,
    /// Idle time-out of a connection to a server, well below the server's own.
    pub upstream_idle_timeout: Micros,
    /// An idle connection to the counter is not reused after this time.
    pub counter_idle_timeout: Micros,
    /// Time-out of a counter call.
    pub counter_timeout: Micros,
    /// A counter connection without any response for this long is closed.
    pub counter_stale_timeout: Micros,
    /// Time-out of a health check.
    pub probe_timeout: Micros,
    /// A watch without input for this long is reconnected.
    pub watch_idle_timeout: Micros,
    /// First delay before a lost watch is reconnected; it doubles up to
    /// [`Limits::max_watch_retry_delay`].
    pub watch_retry_delay: Micros,
    /// Longest delay before a lost watch is reconnected.
    pub max_watch_retry_delay: Micros,
    /// Time-out of an introspection call, unless the call names one.
    pub introspection_timeout: Micros,
    /// Retry delay that is sent to clients, unless the module gives one.
    pub default_retry_after: Micros,
    /// Delay before accepting is retried after it failed.
    pub accept_retry_delay: Micros,
    /// Interval between two ticks of the Raft protocol.
    pub raft_tick_interval: Micros,
    /// New connections are accepted for this long after SIGTERM. Idle connections are closed from
    /// then on, or this long after a drain began.
    pub shutdown_notice_period: Micros,
    /// Time for the first request of a connection that is accepted while idle ones are being
    /// closed.
    pub draining_request_timeout: Micros,
    /// Interval between two checks for operator calls handled by another process of this limiter.
    pub handover_poll_interval: Micros,
    /// Longest operator call, in bytes.
    pub max_operator_line_bytes: usize,
    /// Most connections at the operators' address.
    pub max_operator_connections: usize,
    /// Time-out of an operator connection without a complete call.
    pub operator_idle_timeout: Micros,
    /// After SIGTERM the program ends within this time.
    pub shutdown_timeout: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 * 1024,
            max_buffered_body_bytes: 64 * 1024,
            max_buffered_request_bytes: 2 * 1024 * 1024,
            max_request_bytes: 34 * 1024 * 1024,
            max_response_bytes: 34 * 1024 * 1024,
            relay_window_bytes: 64 * 1024,
            max_reads_per_turn: 8,
            max_watch_line_bytes: 1024 * 1024,
            max_interim_responses: 8,
            read_buffer_bytes: 32 * 1024,
            max_datagram_bytes: 256,
            max_client_connections: 560,
            max_persistent_connections: 420,
            max_pipelined_bytes: 4 * 1024,
            max_linger_bytes: 256 * 1024,
            max_pending_request_bytes: 8 * 1024 * 1024,
            request_timeout: 2_300 * MS,
            body_grace_period: SECOND,
            min_body_bytes_per_s: 32 * 1024,
            body_idle_timeout: 700 * MS,
            max_upload_extension: 20 * SECOND,
            client_idle_timeout: 6 * SECOND,
            first_request_grace_period: 60 * MS,
            client_write_timeout: 4 * SECOND,
            linger_timeout: 500 * MS,
            listen_backlog: 1_024,
            accept_pause_log_interval: 10 * SECOND,
            max_upstream_connections: 400,
            counter_connections: 4,
            max_counter_response_bytes: 64,
            max_authorisations: 20_000,
            max_units_thousandths: 1_000_000,
            response_margin: 12 * MS,
            connect_timeout: 250 * MS,
            response_idle_timeout: 300 * MS,
            relay_idle_timeout: 4 * SECOND,
            upstream_idle_timeout: 9 * SECOND,
            counter_idle_timeout: 3 * SECOND,
            counter_timeout: 120 * MS,
            counter_stale_timeout: 160 * MS,
            probe_timeout: 250 * MS,
            watch_idle_timeout: 7 * SECOND,
            watch_retry_delay: 100 * MS,
            max_watch_retry_delay: 2 * SECOND,
            introspection_timeout: 2 * SECOND,
            default_retry_after: 200 * MS,
            accept_retry_delay: 30 * MS,
            raft_tick_interval: 50 * MS,
            shutdown_notice_period: 550 * MS,
            draining_request_timeout: 500 * MS,
            handover_poll_interval: 100 * MS,
            max_operator_line_bytes: 512,
            max_operator_connections: 8,
            operator_idle_timeout: 10 * SECOND,
            shutdown_timeout: 4_600 * MS,
        }
    }
}
