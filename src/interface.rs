//! The interface of the decision module: settings, events and actions as plain data.
//!
//! Time is in whole microseconds of the host's clock, which only moves forward. Nothing here decides.

/// Microseconds on the host's clock, or a span of them.
pub type Micros = i64;

/// A request, named by the host; never used twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server behind the gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A customer whose use is metered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CustomerId(pub u64);

/// A number kept by the counter service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CounterKey(pub u64);

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat anywhere at any time.
    Idempotent,
    /// Carries a key: only servers of the group drop a repeat, and only within the window.
    Keyed {
        /// The servers that share what they know of keys.
        scope: DedupScope,
        /// How long they remember, from the first sending that may have run.
        dedup_window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The servers that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_target: Micros,
    /// How long a client waits in all.
    pub client_timeout: Micros,
    /// Share of the worth that a later answer earns.
    pub late_value_share: f64,
    /// Worth of one request.
    pub value: f64,
    /// What repeats are harmless.
    pub idempotency: Idempotency,
    /// The answer arrives as a stream.
    pub streaming: bool,
}

/// A plan: quotas that hold for each of its customers over all gateways together. 0 means no such quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units per second at which the store fills.
    pub rate_per_s: f64,
    /// Most units the store holds; it starts full.
    pub burst: f64,
    /// Most attempts out at once.
    pub max_concurrent: u32,
    /// Factor on the worth of a request.
    pub value_factor: f64,
    /// Share of its worth that a try sent on beyond the quota costs.
    pub over_quota_cost_share: f64,
    /// Share of its worth that a request sent on beyond the quota earns.
    pub over_quota_value_share: f64,
    /// Units per second at which the hard ceiling's store fills.
    pub hard_limit_rate_per_s: f64,
    /// Most units the ceiling's store holds; it starts full.
    pub hard_limit_burst: f64,
    /// Units by which that store may fall below nothing.
    pub hard_limit_slack: f64,
    /// Units beyond the burst of which over-use is paid back in later windows; what is beyond that is forgiven.
    pub max_carryover: f64,
    /// A plan that changed in service keeps the length of the windows that its customers had; 0: by burst and rate.
    pub inherited_window: Micros,
    /// Since when it holds, and the position of the plan that held before, where it changed in service.
    pub predecessor: Option<(Micros, usize)>,
}

/// Shortest and longest window; names are kept a minute at most, two windows must fit in.
const WINDOWS: (Micros, Micros) = (1_000_000, 20_000_000);

impl Plan {
    /// Length of the windows in which its customers' use is counted: about burst over rate, so that what the store
    /// holds is refilled in one; or the length that was kept when the plan changed in service.
    pub fn window_length(&self) -> Micros {
        match self.inherited_window {
            0 => ((self.burst / self.rate_per_s * 1e6) as Micros).clamp(WINDOWS.0, WINDOWS.1),
            kept => kept,
        }
    }
}

/// What further attempts may be made: bounds a retry storm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts earned by each new request...
    pub earned_per_request: f64,
    /// ...and the most that can be saved up; half of it is there at the start.
    pub max_balance: f64,
    /// What a further attempt takes of it if none before has run; one that may have run takes 1.
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

/// Attempts that all gateways together may have out at a server at first, before its answers have taught the bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InitialConcurrency(pub f64);

impl Default for InitialConcurrency {
    fn default() -> InitialConcurrency {
        InitialConcurrency(12.0)
    }
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways.
    pub gateway_count: u32,
    /// Number of this gateway, from 0.
    pub gateway_index: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// Classes, by position.
    pub classes: Vec<Class>,
    /// Plans, by position.
    pub plans: Vec<Plan>,
    /// Shortest time between two calls of `handle`.
    pub min_handle_interval: Micros,
    /// The server list must be asked for (else changes are pushed).
    pub watch_server_list: bool,
    /// A counter service may be called.
    pub counter_available: bool,
    /// A call without an answer by then has timed out.
    pub counter_timeout: Micros,
    /// Units are a guess, the true ones come with the answer.
    pub units_are_estimates: bool,
    /// An attempt may be cancelled.
    pub can_cancel: bool,
    /// Servers may be probed.
    pub can_probe: bool,
    /// A request may have two attempts out at once.
    pub can_hedge: bool,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Further attempts in all.
    pub retry_budget: RetryBudget,
    /// Attempts out at a server, at first.
    pub initial_concurrency: InitialConcurrency,
    /// Clients are told how long to stay away.
    pub sends_retry_after: bool,
    /// Gateways may send each other short messages.
    pub can_notify_gateways: bool,
    /// Longest time to stay away that a client honours.
    pub max_retry_after: Micros,
    /// While the counter is lost, clients refused for their quota are told to stay away for about this at the least.
    pub min_retry_after_counter_lost: Micros,
    /// A server that owes answers is suspected of silence no sooner than after this, whatever is usual: before any answer
    /// nothing is.
    pub min_silence_timeout: Micros,
    /// A cold server starts with this share of its capacity or more...
    pub cold_capacity_share: f64,
    /// ...and is warm no later than this.
    pub warm_up_duration: Micros,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, a cold server falls over.
    pub overload_window: Micros,
    /// While the counter is lost, a gateway lets each customer use no more than its even slice of the window;
    /// else DESIGN's open without a counter, by what is known here.
    pub even_shares_counter_lost: bool,
    /// Within its even slice of a window a gateway lets requests pass at once, their calls made and not waited for;
    /// beyond it none passes without a total, whatever becomes of the counter.
    pub even_share_first: bool,
    /// A call whose request is not likely to pass adds at least this part of its units: of those that are out at once each may find
    /// room that is there for one, and each that adds more keeps others out until it is given back.
    pub min_counted_share: f64,
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its work; nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub machine_type: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: ServerState,
    /// Its size beside other servers.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Micros,
}

/// How the entries of a list event are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// The complete list; what is absent is gone.
    Full,
    /// The complete list as last held, perhaps stale.
    Cached,
    /// A request for the list failed; no entries.
    Failed,
}

/// A load report; what a server does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in hand.
    pub active_requests: Option<f64>,
    /// Requests waiting.
    pub queued_requests: Option<f64>,
    /// Share of its processors in use.
    pub cpu_utilization: Option<f64>,
    /// Recent time to serve, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub served_per_s: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Rejected,
    /// No answer in time; may have run, may still be running.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Not transmitted at all; never ran.
    NotSent,
}

/// A request as taken by this gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its plan in the settings.
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// The client gives up this try then.
    pub deadline: Micros,
    /// Units it takes from the quota.
    pub units: f64,
    /// Number of gateways that this customer's requests come through...
    pub customer_gateways: u32,
    /// ...and the number of the first; the others follow, counted round.
    pub first_gateway: u32,
    /// A client's repeat, where clients say so.
    pub is_client_retry: bool,
    /// Its place in the order in which requests wait under overload, from 0 to below 1, the same at all gateways...
    pub shed_rank: f64,
    /// ...and the share of that order, from its end, that waits now, as all gateways were told.
    pub shed_share: f64,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0, in order of sending.
    pub attempt: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request has finished, by this or earlier.
    pub request_finished: bool,
    /// True units, if they came with this answer.
    pub actual_units: Option<f64>,
    /// Load report of the server, if one came along.
    pub load_report: Option<LoadReport>,
}

/// What gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuotaNotice {
    /// The customer that a shared count has shown over its quota...
    pub customer: CustomerId,
    /// ...and the position of its plan in the settings.
    pub plan: usize,
}

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the servers.
    ServerList {
        /// How to read the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A request was taken; one final answer is owed.
    Request(Request),
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A streamed answer has begun; its time-out and the deadline no longer run.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client left; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// The counter answered, or failed to.
    CounterAnswered {
        /// The number that was named.
        key: CounterKey,
        /// How the call ended.
        outcome: Outcome,
        /// The number after the call, where it succeeded.
        total: f64,
    },
    /// An answer of the counter came whose call had run out of time before: it is alive, only late.
    LateCounterAnswer,
    /// Another counter has taken over. It starts empty.
    CounterReplaced,
    /// A probe ended.
    ProbeEnd {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The load report that came along.
        load_report: Option<LoadReport>,
    },
    /// Another gateway tells that a customer is over its quota.
    NoticeReceived(OverQuotaNotice),
    /// A plan came up in service; it takes the next position.
    PlanAdded(Plan),
    /// A timer that the module asked for has run out.
    Timer,
}

/// What the module asks the host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time-out; 0 for until the client gives up.
        timeout: Micros,
    },
    /// Final answer: refused; trying again is harmless.
    Shed {
        /// The request.
        request: RequestId,
        /// How long the client had better stay away; 0 for no advice.
        retry_after: Micros,
        /// For its quota; else for want of a server or of time.
        over_quota: bool,
    },
    /// Final answer: failed; promises nothing.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Add to a number of the counter service and learn the total.
    AddToCounter {
        /// The number.
        key: CounterKey,
        /// What to add.
        amount: f64,
        /// If the name is new, it is forgotten after this time.
        expires_in: Micros,
    },
    /// Send another gateway, by its number, a notice.
    NotifyGateway(u32, OverQuotaNotice),
    /// Check a server.
    Probe(ServerId),
    /// Subscribe to changes of the server list.
    WatchServerList,
    /// Deliver [`Event::Timer`] at this time.
    WakeAt(Micros),
    /// A line for the operators' log.
    Log(String),
}
