//! All sizes, counts and times of the limiter in one type: filled at start, handed down.

use streamarch::Micros;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Sizes, counts and spans. The spans turn an instant into an absolute deadline where something begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a message, in bytes.
    pub max_head_bytes: usize,
    /// Longest body of a message that is taken in whole before it goes on, in bytes. Of the longer ones a request's is
    /// kept whole up to the next figure, and an answer's is relayed.
    pub max_buffered_body_bytes: usize,
    /// Longest body of a request that is kept whole before it goes on, in bytes.
    pub max_buffered_request_bytes: u64,
    /// Longest body of a request, in bytes.
    pub max_request_bytes: u64,
    /// Longest answer that is relayed, in bytes.
    pub max_response_bytes: u64,
    /// Held of a relayed answer that its client has not taken in, and of a body that its server has not, in bytes.
    pub relay_window_bytes: usize,
    /// Times that what has come on one connection is read before others have their turn.
    pub max_reads_per_turn: usize,
    /// Longest line of discovery, in bytes.
    pub max_watch_line_bytes: usize,
    /// Most interim answers ahead of an answer.
    pub max_interim_responses: usize,
    /// Bytes asked of a socket at a time.
    pub read_bytes: usize,
    /// Longest datagram between limiters, in bytes.
    pub max_datagram_bytes: usize,
    /// Most connections of the acquirer side.
    pub max_client_connections: usize,
    /// Beyond so many of them each answer is the last of its connection.
    pub max_persistent_clients: usize,
    /// Taken in from a client while its request is out or its answer is not written, in bytes.
    pub pipelined_bytes: usize,
    /// Taken in from a client after its last answer, and thrown away, in bytes.
    pub linger_bytes: usize,
    /// Held of all clients' requests that are coming in or not answered yet, in bytes.
    pub partial_bytes: usize,
    /// A connection of the acquirer side brings its first request whole within this, and each later one.
    pub request_timeout: Micros,
    /// A body may go on for this long, and as long as its bytes take at the least pace, so many of them a second.
    pub body_grace: Micros,
    /// See there.
    pub min_body_bytes_per_s: u64,
    /// A body that has come in part brings more within this.
    pub body_idle_timeout: Micros,
    /// Most time that is added to a request's for a body which goes on while it comes.
    pub max_upload_extension: Micros,
    /// One that has been answered may be idle for this long.
    pub client_idle_timeout: Micros,
    /// One that was taken so lately that its first request may be on its way is not closed to make room.
    pub first_request_grace: Micros,
    /// A client takes in an answer within this.
    pub client_write_timeout: Micros,
    /// After the last answer a client has this long to read it before the connection is closed for good.
    pub linger_timeout: Micros,
    /// Connections that may wait with the system to be taken.
    pub listen_backlog: i32,
    /// That accepting is paused is logged no more often than this.
    pub accept_pause_log_interval: Micros,
    /// Most connections to servers, idle ones included.
    pub max_upstream_connections: usize,
    /// Connections to the counter.
    pub counter_connections: usize,
    /// Longest answer of the counter, in bytes: a number.
    pub max_total_bytes: usize,
    /// Most authorisations held at once.
    pub max_authorisations: usize,
    /// Most units that one authorisation may take, in thousandths.
    pub max_units_thousandths: u64,
    /// An authorisation ends so long before its client gives up: the way back takes time.
    pub response_margin: Micros,
    /// A connection to a server must come up within this.
    pub connect_timeout: Micros,
    /// An answer that has begun and is not whole brings more within this.
    pub response_idle_timeout: Micros,
    /// One that is being relayed brings more within this.
    pub relay_idle_timeout: Micros,
    /// An idle connection to a server is closed after this, well before the server would.
    pub upstream_idle_timeout: Micros,
    /// An idle connection to the counter is not used again after this.
    pub counter_idle_timeout: Micros,
    /// A counter call without an answer by then has timed out.
    pub counter_timeout: Micros,
    /// A counter connection that has answered nothing for this long is given up.
    pub counter_stale_timeout: Micros,
    /// A probe without an answer by then has timed out.
    pub probe_timeout: Micros,
    /// A watch that is silent for this long is opened anew.
    pub watch_idle_timeout: Micros,
    /// First wait before a lost watch is opened anew; doubled up to the longest.
    pub watch_retry_delay: Micros,
    /// Longest such wait.
    pub max_watch_retry_delay: Micros,
    /// A call of our introspection server that names no time is answered within this.
    pub introspection_timeout: Micros,
    /// Advice to come back where the module gives none.
    pub default_retry_after: Micros,
    /// Accepting that the system refused is tried again after this.
    pub accept_retry_delay: Micros,
    /// Between two ticks of the protocol by which instances agree.
    pub raft_tick_interval: Micros,
    /// After SIGTERM new connections are taken for this long; after it, or this long into a drain, idle ones go.
    pub shutdown_notice: Micros,
    /// A connection that comes while idle ones are being closed brings its request whole within this.
    pub draining_request_timeout: Micros,
    /// Between two looks at what another process of this limiter was asked by operators.
    pub handover_poll_interval: Micros,
    /// Longest call of operators, in bytes.
    pub max_operator_line_bytes: usize,
    /// Most connections at the operators' address.
    pub max_operator_connections: usize,
    /// One that has finished no call is closed after this.
    pub operator_idle_timeout: Micros,
    /// After SIGTERM the program ends at the latest after this.
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
            read_bytes: 32 * 1024,
            max_datagram_bytes: 256,
            max_client_connections: 560,
            max_persistent_clients: 420,
            pipelined_bytes: 4 * 1024,
            linger_bytes: 256 * 1024,
            partial_bytes: 8 * 1024 * 1024,
            request_timeout: 2_300 * MS,
            body_grace: SECOND,
            min_body_bytes_per_s: 32 * 1024,
            body_idle_timeout: 700 * MS,
            max_upload_extension: 20 * SECOND,
            client_idle_timeout: 6 * SECOND,
            first_request_grace: 60 * MS,
            client_write_timeout: 4 * SECOND,
            linger_timeout: 500 * MS,
            listen_backlog: 1_024,
            accept_pause_log_interval: 10 * SECOND,
            max_upstream_connections: 400,
            counter_connections: 4,
            max_total_bytes: 64,
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
            shutdown_notice: 550 * MS,
            draining_request_timeout: 500 * MS,
            handover_poll_interval: 100 * MS,
            max_operator_line_bytes: 512,
            max_operator_connections: 8,
            operator_idle_timeout: 10 * SECOND,
            shutdown_timeout: 4_600 * MS,
        }
    }
}
