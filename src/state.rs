//! The state of a gateway: plain data, the random number generator and the timers. The decisions are in `policy/`.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

/// SplitMix64 as a hash: all gateways compute the same value.
pub(crate) fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A call to the counter service that has not been answered yet.
#[derive(Clone, Copy, Default)]
pub(crate) struct CounterCall {
    /// The request that waits for the answer, if any.
    pub(crate) request: Option<RequestId>,
    pub(crate) customer: CustomerId,
    pub(crate) window_index: i64,
    pub(crate) amount: f64,
    /// Part of the amount that stands for requests without a call of their own.
    pub(crate) extrapolated: f64,
    /// Counts attempts in flight; otherwise units.
    pub(crate) concurrency: bool,
    pub(crate) made_at: Micros,
    /// Adds the carryover of the previous window to the current one.
    pub(crate) is_carryover: bool,
}

/// A shared counter of one customer, as this gateway knows it.
#[derive(Default)]
pub(crate) struct Meter {
    /// When this gateway last called the counter service for it.
    pub(crate) last_call_at: Micros,
    pub(crate) window_index: i64,
    /// Last known total of the window, including units on their way to the counter.
    pub(crate) known_total: f64,
    /// Overuse of the previous window that counts in this one, as known here.
    pub(crate) carryover: f64,
    /// Refill that was lost in this window because the token bucket was full.
    pub(crate) overflow: f64,
    /// Units that this gateway added in this window and that the counter confirmed.
    pub(crate) own_confirmed: f64,
    /// Units in calls that have not been answered.
    pub(crate) pending: f64,
    /// Units of all requests that arrived here in this window.
    pub(crate) requested: f64,
    /// Units to be added with the next call.
    pub(crate) uncounted: f64,
    /// A total of this window has been received, so the previous window need not be read.
    pub(crate) total_received: bool,
    pub(crate) last_total_at: Micros,
    /// Part of the last total that other gateways added.
    pub(crate) added_by_others: f64,
    pub(crate) others_rate_per_s: f64,
    /// Units admitted here since the last total, times the customer's gateways: an estimate for the fleet, if all of
    /// them admitted as much as this one. What exceeds a window's refill counts in the next window.
    pub(crate) extrapolated_since_total: f64,
    /// The same estimate for the whole window, with the carryover of earlier ones. This gateway's even share of the
    /// quota is judged by it.
    pub(crate) extrapolated_in_window: f64,
    /// The last total showed the customer over its quota.
    pub(crate) over_quota: bool,
    /// Share of the quota in use according to the last total.
    pub(crate) used_share: f64,
}

/// What this gateway knows of one customer.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) last_seen_at: Micros,
    pub(crate) units: Meter,
    /// Attempts in flight.
    pub(crate) concurrency: Meter,
    /// Moving average of the share of its requests that counter totals admitted.
    pub(crate) admit_share: f64,
    /// When a notice that it is over quota was last sent or received.
    pub(crate) last_notice_at: Micros,
    /// Share of its requests that notices rejected at that time; it decays.
    pub(crate) notice_reject_share: f64,
    /// Requests admitted here that have not ended.
    pub(crate) in_flight: i64,
    /// Units left in this gateway's bucket of the hard limit.
    pub(crate) hard_limit_tokens: f64,
    pub(crate) hard_limit_refilled_at: Micros,
}

/// Health of the counter service as this gateway sees it.
#[derive(Default)]
pub(crate) struct CounterHealth {
    pub(crate) consecutive_failures: u32,
    /// When the last failure was counted.
    pub(crate) last_failure_at: Micros,
    pub(crate) next_probe_at: Micros,
    /// When another counter service last took over.
    pub(crate) replaced_at: Micros,
    /// Share of requests that make a call, before it is adjusted per request.
    pub(crate) base_call_share: f64,
    /// Every call since the start, or since the counter was lost or found again, was answered in time.
    pub(crate) in_slow_start: bool,
}

/// Counts of recent attempts and of the successful ones; both decay exponentially.
#[derive(Default)]
pub(crate) struct AttemptStats {
    pub(crate) successes: f64,
    pub(crate) attempts: f64,
    pub(crate) updated_at: Micros,
}

/// Consecutive failures, and until when they keep attempts away.
#[derive(Default)]
pub(crate) struct Backoff {
    pub(crate) consecutive_failures: u32,
    pub(crate) ends_at: Micros,
}

/// What this gateway knows of one server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) machine_type: u32,
    pub(crate) weight: f64,
    pub(crate) is_ready: bool,
    pub(crate) is_removed: bool,
    /// Random rank of the server at this gateway.
    pub(crate) subset_rank: f64,
    /// Is among the lowest ranks, to which this gateway sends its requests.
    pub(crate) in_subset: bool,
    pub(crate) started_at: Micros,
    /// Attempts in flight from this gateway.
    pub(crate) in_flight: u32,
    /// Since when the server has not responded although attempts were in flight.
    pub(crate) silent_since: Option<Micros>,
    /// Limit on the attempts in flight from this gateway, adapted to how late the responses are.
    pub(crate) concurrency_limit: f64,
    /// Backoff by plan, for those whose attempts failed there.
    pub(crate) backoffs: BTreeMap<usize, Backoff>,
    /// Outcomes of attempts by plan.
    pub(crate) plan_stats: BTreeMap<usize, AttemptStats>,
    /// Response time relative to the fleet's mean for the class, as of `latency_ratio_at`.
    pub(crate) latency_ratio: f64,
    pub(crate) latency_ratio_at: Micros,
    /// Load that other gateways put on the server, by its last report.
    pub(crate) others_load: f64,
    pub(crate) others_load_at: Micros,
    /// Set while the server is suspected: when the next trial is due, and the interval after it.
    pub(crate) suspicion: Option<(Micros, Micros)>,
    /// The silence is confirmed: a probe failed too, or servers cannot be probed.
    pub(crate) silence_confirmed: bool,
    /// Work sent to the cold server beyond its budget, in microseconds, as of `uncovered_work_at`.
    pub(crate) uncovered_work: f64,
    pub(crate) uncovered_work_at: Micros,
}

/// The first attempt of a request that may have been executed.
#[derive(Clone, Copy)]
pub(crate) struct FirstExecution {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) sent_at: Micros,
}

/// A request that has not ended, or that still has attempts in flight.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    /// Counter calls that have not been answered.
    pub(crate) pending_calls: u32,
    /// The local check or a counter total found the customer over quota.
    pub(crate) is_denied: bool,
    /// What was added for it: whether to the concurrency counter, the window, and the amount.
    pub(crate) counted: Vec<(bool, i64, f64)>,
    /// Is counted in the customer's requests in flight.
    pub(crate) holds_slot: bool,
    pub(crate) attempts_sent: u32,
    /// Attempts in flight: number, server and when sent.
    pub(crate) in_flight: Vec<(u32, ServerId, Micros)>,
    pub(crate) first_execution: Option<FirstExecution>,
    /// The server at which its last attempt ended.
    pub(crate) last_server: Option<ServerId>,
    /// The host could not transmit an attempt: it will transmit no further one.
    pub(crate) is_untransmittable: bool,
    pub(crate) is_streaming: bool,
    /// A server has answered it.
    pub(crate) is_answered: bool,
    pub(crate) is_finished: bool,
}

/// What a timer is for.
pub(crate) enum Timer {
    CounterWait(RequestId),
    RequestDeadline(RequestId),
    Housekeeping,
}

/// The decisions of one gateway: takes [`Event`]s and returns [`Action`]s.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random_state: u64,
    pub(crate) now: Micros,
    pub(crate) started_at: Option<Micros>,
    pub(crate) actions: Vec<Action>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// When idle customers were last removed.
    pub(crate) customers_swept_at: Micros,
    pub(crate) counter_calls: BTreeMap<CounterKey, VecDeque<CounterCall>>,
    pub(crate) counter_health: CounterHealth,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Outcomes of attempts by machine type and plan; plan `usize::MAX` stands for all plans.
    pub(crate) machine_type_stats: BTreeMap<(u32, usize), AttemptStats>,
    /// Work of a request by class, in microseconds: the response time without queueing.
    pub(crate) class_work: Vec<f64>,
    /// Mean response time by class over the fleet, in microseconds.
    pub(crate) class_mean_latency: Vec<f64>,
    /// Retries available in the retry budget.
    pub(crate) retry_balance: f64,
    /// Number of gateways that send to the same server.
    pub(crate) gateways_per_server: f64,
    /// Moving average of the value per work of requests.
    pub(crate) usual_value_rate: f64,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) timers: BTreeMap<(Micros, u64), Timer>,
    pub(crate) timer_sequence: u64,
    /// Time of the wake-up that the host was last asked for.
    pub(crate) armed_wake_at: Option<Micros>,
}

impl Balancer {
    /// The next pseudo-random number of this instance, from 0 to below 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (splitmix64(self.random_state) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub(crate) fn schedule(&mut self, due_at: Micros, timer: Timer) {
        self.timer_sequence += 1;
        self.timers.insert((due_at, self.timer_sequence), timer);
    }

    pub(crate) fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }
}

impl Customer {
    /// A customer of whom nothing is known, assumed to use `used_share` of its quota. The bucket of its hard limit
    /// fills from `started_at`.
    pub(crate) fn unknown(plan: usize, started_at: Micros, used_share: f64) -> Customer {
        let meter = || Meter {
            window_index: i64::MIN / 2,
            used_share,
            ..Meter::default()
        };
        let (units, concurrency) = (meter(), meter());
        Customer {
            plan,
            units,
            concurrency,
            admit_share: 1.0,
            last_notice_at: Micros::MIN / 2,
            hard_limit_refilled_at: started_at,
            ..Customer::default()
        }
    }
}

impl Server {
    /// A server of which nothing is known, not even when it started.
    pub(crate) fn unknown(concurrency_limit: f64, subset_rank: f64) -> Server {
        Server {
            concurrency_limit,
            subset_rank,
            latency_ratio: 1.0,
            started_at: -1,
            ..Server::default()
        }
    }
}
