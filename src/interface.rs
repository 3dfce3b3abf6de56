//! The interface of the decision module: settings, events and actions as plain data types without logic.
//!
//! Times are whole microseconds on the host's monotonic clock.

/// An instant on the host's clock, or a duration, in microseconds.
pub type Micros = i64;

/// Identifies a request. The host assigns it and never reuses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a server behind the gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Identifies a customer whose use is metered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub u64);

/// Key of a counter in the counter service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterKey(pub u64);

/// Whether a request that may already have been executed can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Can be sent again to any server at any time.
    Idempotent,
    /// Carries an idempotency key: a duplicate is dropped only by servers in `scope`, and only within the window.
    Keyed {
        /// The servers that share their record of keys.
        scope: DedupScope,
        /// How long a key is remembered, from the start of the first attempt that may have been executed.
        dedup_window: Micros,
    },
    /// Must never be executed twice.
    NotIdempotent,
}

/// The servers among which a duplicate of a keyed request is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests with common objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this time earns the full value.
    pub latency_target: Micros,
    /// How long a client waits for the response in total, over all attempts.
    pub client_timeout: Micros,
    /// Share of the value that a response after the latency target earns.
    pub late_value_share: f64,
    /// Value of one request.
    pub value: f64,
    /// Whether requests of this class can be sent again.
    pub idempotency: Idempotency,
    /// The response is streamed.
    pub streaming: bool,
}

/// A plan: the quotas of each of its customers, over all gateways together. 0 stands for no such quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Refill rate of the token bucket, in units per second.
    pub rate_per_s: f64,
    /// Capacity of the token bucket, in units; it starts full.
    pub burst: f64,
    /// Maximum number of attempts in flight at once.
    pub max_concurrent: u32,
    /// Factor on the value of a request.
    pub value_factor: f64,
    /// Share of a request's value that it costs to admit it beyond the quota.
    pub over_quota_cost_share: f64,
    /// Share of a request's value that it earns when it is admitted beyond the quota.
    pub over_quota_value_share: f64,
    /// Refill rate of the hard limit's token bucket, in units per second.
    pub hard_limit_rate_per_s: f64,
    /// Capacity of the hard limit's token bucket, in units; it starts full.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit's token bucket may go below zero.
    pub hard_limit_slack: f64,
    /// Overuse carries over into later windows up to the burst plus this many units; the rest is forgiven.
    pub max_carryover: f64,
    /// Length of the counting windows that a plan replaced at run time keeps for its customers; 0 derives the length
    /// from burst and rate.
    pub inherited_window: Micros,
    /// Where the plan replaced another at run time: since when it applies, and the index of the plan before it.
    pub predecessor: Option<(Micros, usize)>,
}

/// Shortest and longest counting window. The counter service keeps a key for a minute at most, and two windows must
/// fit.
const WINDOW_BOUNDS: (Micros, Micros) = (1_000_000, 20_000_000);

impl Plan {
    /// Length of the windows in which the use of the plan's customers is counted: about burst over rate, so that one
    /// window refills the token bucket; or the length inherited from the plan that this one replaced.
    pub fn window_length(&self) -> Micros {
        match self.inherited_window {
            0 => ((self.burst / self.rate_per_s * 1e6) as Micros)
                .clamp(WINDOW_BOUNDS.0, WINDOW_BOUNDS.1),
            inherited => inherited,
        }
    }
}

/// Token bucket for retries, which bounds a retry storm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries added to the balance by each new request.
    pub earned_per_request: f64,
    /// Maximum balance; a gateway starts with half of it.
    pub max_balance: f64,
    /// Cost of a retry after an attempt that was not executed; after one that may have been, a retry costs 1.
    pub unexecuted_cost: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            earned_per_request: 0.1,
            max_balance: 20.0,
            unexecuted_cost: 0.2,
        }
    }
}

/// Initial concurrency limit of a server, over all gateways together; its responses adjust the limit from there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InitialConcurrency(pub f64);

impl Default for InitialConcurrency {
    fn default() -> InitialConcurrency {
        InitialConcurrency(12.0)
    }
}

/// The settings that a gateway starts with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub gateway_count: u32,
    /// Index of this gateway, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// Request classes; [`Request::class`] is an index into them.
    pub classes: Vec<Class>,
    /// Plans; [`Request::plan`] is an index into them.
    pub plans: Vec<Plan>,
    /// Shortest interval between two calls of [`Balancer::handle`](crate::Balancer::handle).
    pub min_handle_interval: Micros,
    /// The gateway must subscribe to the server list; otherwise changes are pushed to it.
    pub watch_server_list: bool,
    /// A counter service can be called.
    pub counter_available: bool,
    /// Timeout of a call to the counter service.
    pub counter_timeout: Micros,
    /// A request's units are an estimate; the response carries the actual units.
    pub units_are_estimates: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// Servers can be probed.
    pub can_probe: bool,
    /// A request may have two attempts in flight at once.
    pub can_hedge: bool,
    /// While a server does not respond, a second attempt is sent and the first one is kept; the host cancels the other
    /// one when either is answered. If not set, the first attempt is cancelled before the second one is sent.
    pub hedges_silent_servers: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Bounds the retries of all requests together.
    pub retry_budget: RetryBudget,
    /// Concurrency limit of a server that has just become known.
    pub initial_concurrency: InitialConcurrency,
    /// Shed clients are told when to retry.
    pub sends_retry_after: bool,
    /// Gateways can send each other short messages.
    pub can_notify_gateways: bool,
    /// Longest retry delay that a client honours.
    pub max_retry_after: Micros,
    /// Approximate minimum retry delay of requests rejected over quota while the counter is lost.
    pub min_retry_after_counter_lost: Micros,
    /// Minimum time without a response after which a server with attempts in flight is suspected. It also holds before
    /// the first response, when no usual response time is known.
    pub min_silence_timeout: Micros,
    /// A cold server starts with at least this share of its capacity.
    pub cold_capacity_share: f64,
    /// A server is warm at the latest this long after its start.
    pub warm_up_duration: Micros,
    /// A cold server that is sent more than this multiple of its current capacity throughout `overload_window` fails.
    pub overload_multiple: f64,
    /// How long the excess must last for a cold server to fail.
    pub overload_window: Micros,
    /// While the counter is lost, a gateway admits of each customer no more than its even share of the window;
    /// otherwise it fails open, limited only by its local count.
    pub even_shares_counter_lost: bool,
    /// Within its even share of a window a gateway admits requests without waiting for the counter calls it makes;
    /// beyond it a request is admitted only on a total, even while the counter is lost.
    pub even_share_first: bool,
    /// Minimum share of its units that a call adds for a request that is unlikely to be admitted. Too little, and
    /// several calls in flight at once each find the room that is there for one; too much, and each keeps others out
    /// until its units are given back.
    pub min_counted_share: f64,
}

/// State of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and gets no new ones.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Zone of the server.
    pub zone: u32,
    /// Machine type of the server.
    pub machine_type: u32,
    /// Cell of the server.
    pub cell: u32,
    /// State of the server.
    pub state: ServerState,
    /// Capacity relative to other servers.
    pub weight: f64,
    /// When the server last started; 0 for long ago.
    pub started_at: Micros,
}

/// How the entries of a server list event are to be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list; a server that is absent has been removed.
    Full,
    /// The complete list from a cache, possibly stale.
    Cached,
    /// A request for the list failed; there are no entries.
    Failed,
}

/// A load report; a value that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in progress.
    pub active_requests: Option<f64>,
    /// Requests in the queue.
    pub queued_requests: Option<f64>,
    /// Share of the server's processors in use.
    pub cpu_utilization: Option<f64>,
    /// Recent service time, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub served_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success.
    Ok,
    /// The server responded with an error; the request may have been executed.
    Error,
    /// Rejected before it was looked at; it was not executed.
    Rejected,
    /// No response within the timeout; it may have been executed or still be executing.
    TimedOut,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never transmitted; it was not executed.
    NotSent,
}

/// A request as accepted by this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Identifies the request.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its plan in the settings.
    pub plan: usize,
    /// The customer that the request counts for.
    pub customer: CustomerId,
    /// When the client gives up.
    pub deadline: Micros,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of gateways that this customer's requests arrive at.
    pub customer_gateways: u32,
    /// Index of the first of those gateways; the others follow, wrapping around.
    pub first_gateway: u32,
    /// Maximum number of attempts of this request; 0 for that of the settings.
    pub max_attempts: u32,
    /// The client marked the request as a retry of its own.
    pub is_client_retry: bool,
    /// Rank in the shedding order, from 0 to below 1, the same at all gateways; the highest ranks are shed first.
    pub shed_rank: f64,
    /// Share of the shedding order that is currently shed, as distributed to all gateways.
    pub shed_share: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0, in the order in which they were sent.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from its sending to its end.
    pub elapsed: Micros,
    /// The request has finished, with this attempt or earlier.
    pub request_finished: bool,
    /// Actual units, if the response carried them.
    pub actual_units: Option<f64>,
    /// Load report of the server, if the response carried one.
    pub load_report: Option<LoadReport>,
}

/// A notice between gateways: a customer is over its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuotaNotice {
    /// The customer that a shared counter has shown to be over its quota.
    pub customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
}

/// An input to the decision module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The server list, or a change of it.
    ServerList {
        /// How to apply the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A request was accepted; it gets exactly one final response.
    Request(Request),
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A streamed response has started; the attempt's timeout and the request's deadline no longer apply.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client disconnected; it gets no response.
    ClientDisconnected(RequestId),
    /// A call to the counter service ended.
    CounterResult {
        /// Key of the counter.
        key: CounterKey,
        /// Outcome of the call.
        outcome: Outcome,
        /// Value of the counter after the call, where the call succeeded.
        total: f64,
    },
    /// A call to the counter service was answered after its timeout: it is alive but slow.
    LateCounterResult,
    /// Another counter service has taken over; it starts empty.
    CounterReplaced,
    /// A probe ended.
    ProbeEnd {
        /// The server.
        server: ServerId,
        /// Outcome of the probe.
        outcome: Outcome,
        /// Load report of the server, if the response carried one.
        load_report: Option<LoadReport>,
    },
    /// Another gateway reports that a customer is over its quota.
    NoticeReceived(OverQuotaNotice),
    /// A plan was added at run time; it gets the next index.
    PlanAdded(Plan),
    /// The time of an [`Action::WakeAt`] has come.
    Timer,
}

/// An instruction to the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Timeout of the attempt; 0 for until the client gives up.
        timeout: Micros,
    },
    /// Final response: rejected, and safe for the client to retry.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client is to wait before it retries; 0 for no such hint.
        retry_after: Micros,
        /// Rejected because the customer is over its quota, and not for want of a server or of time.
        over_quota: bool,
    },
    /// Final response: failed; the request may have been executed.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Add to a counter of the counter service; the answer is the new total.
    AddToCounter {
        /// Key of the counter.
        key: CounterKey,
        /// The amount to add; negative to give units back, 0 to read the total.
        amount: f64,
        /// Lifetime of the counter, if this call creates it.
        ttl: Micros,
    },
    /// Send a notice to the gateway with this index.
    NotifyGateway(u32, OverQuotaNotice),
    /// Probe a server.
    Probe(ServerId),
    /// Subscribe to changes of the server list.
    WatchServerList,
    /// Deliver [`Event::Timer`] at this time.
    WakeAt(Micros),
    /// A line for the operators' log.
    Log(String),
}
