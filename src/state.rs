//! What a gateway remembers: plain data, and the bookkeeping of chance and due times. Nothing here decides.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

/// Scrambles a number: the same on every gateway.
pub(crate) fn splitmix64(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A call to the counter that is not answered yet. `id` is the request that waits for it, if one does.
#[derive(Clone, Copy, Default)]
pub(crate) struct CounterCall {
    pub(crate) request: Option<RequestId>,
    pub(crate) customer: CustomerId,
    pub(crate) window_index: i64,
    pub(crate) amount: f64,
    /// What of it stands for requests without a call of their own.
    pub(crate) extrapolated: f64,
    pub(crate) concurrency: bool,
    pub(crate) made_at: Micros,
    /// It carries over what the window before left over.
    pub(crate) is_carryover: bool,
}

/// One shared count of a customer, as this gateway knows it.
#[derive(Default)]
pub(crate) struct Meter {
    /// When the last call for it was made.
    pub(crate) last_call_at: Micros,
    /// Number of the window and its last known total; what of the one before it counts in it, as known here;
    /// what has spilled in it because the store was full.
    pub(crate) window_index: i64,
    pub(crate) known_total: f64,
    pub(crate) carryover: f64,
    pub(crate) overflow: f64,
    /// Units this gateway added in this window and had confirmed, those on their way, units it was asked for,
    /// units yet to be added.
    pub(crate) own_confirmed: f64,
    pub(crate) pending: f64,
    pub(crate) requested: f64,
    pub(crate) uncounted: f64,
    /// A total of this window has come in, so that the one before need not be read.
    pub(crate) total_received: bool,
    /// When the last total came in, what of it was added by others, and their units a second.
    pub(crate) last_total_at: Micros,
    pub(crate) added_by_others: f64,
    pub(crate) others_rate_per_s: f64,
    /// Units let through here since the last total came in, times the customer's gateways: what the fleet would have
    /// let through if all of them did as this one; what exceeds the window's filling counts in the next.
    pub(crate) extrapolated_since_total: f64,
    /// What the fleet would have let through in this window if all of its gateways did as this one, and what earlier
    /// windows left over: by it goes this gateway's even slice.
    pub(crate) extrapolated_in_window: f64,
    /// A total has shown the customer over its allowance; share of the allowance in use as last told.
    pub(crate) over_quota: bool,
    pub(crate) used_share: f64,
}

/// What this gateway knows of one customer.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) last_seen_at: Micros,
    /// Its units, and the seconds of its attempts.
    pub(crate) units: Meter,
    pub(crate) concurrency: Meter,
    /// Share of its requests that verdicts have let through.
    pub(crate) admit_share: f64,
    /// When its gateways were last told that it is over, and the share that this kept out then.
    pub(crate) last_notice_at: Micros,
    pub(crate) notice_reject_share: f64,
    /// Requests let through here that are not over.
    pub(crate) in_flight: i64,
    /// Units left under the ceiling here.
    pub(crate) hard_limit_tokens: f64,
    pub(crate) hard_limit_refilled_at: Micros,
}

/// Health of the counter as this gateway sees it.
#[derive(Default)]
pub(crate) struct CounterHealth {
    pub(crate) consecutive_failures: u32,
    /// When the last of them was heard of.
    pub(crate) last_failure_at: Micros,
    pub(crate) next_probe_at: Micros,
    /// When it was last told that another one has taken over.
    pub(crate) replaced_at: Micros,
    /// Share of the requests that make a call.
    pub(crate) base_call_share: f64,
    /// No call has failed since it was first asked or came back.
    pub(crate) in_slow_start: bool,
}

/// Attempts that a server ended lately, and how many of them it had answered well, both fading.
#[derive(Default)]
pub(crate) struct AttemptStats {
    pub(crate) successes: f64,
    pub(crate) attempts: f64,
    pub(crate) updated_at: Micros,
}

/// Bad ends in a row, and until when nothing is sent for them.
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
    /// Its place by chance in this gateway's order of servers, and whether it is among the first, which are used.
    pub(crate) subset_rank: f64,
    pub(crate) in_subset: bool,
    pub(crate) started_at: Micros,
    /// Attempts out from here, and since when no sign of life has come while some were.
    pub(crate) in_flight: u32,
    pub(crate) silent_since: Option<Micros>,
    /// Most attempts out from here, learned from how late its answers come.
    pub(crate) concurrency_limit: f64,
    /// For each plan that met bad ends there: its rest.
    pub(crate) backoffs: BTreeMap<usize, Backoff>,
    /// For each plan: how attempts ended there.
    pub(crate) plan_stats: BTreeMap<usize, AttemptStats>,
    /// Answer time over the fleet's mean for the class, and when it was last fed.
    pub(crate) latency_ratio: f64,
    pub(crate) latency_ratio_at: Micros,
    /// What others have there, by its report, and when that came.
    pub(crate) others_load: f64,
    pub(crate) others_load_at: Micros,
    /// Suspected: when the next trial is due and the step to the one after.
    pub(crate) suspicion: Option<(Micros, Micros)>,
    /// Its silence was confirmed by a probe.
    pub(crate) silence_confirmed: bool,
    /// Work sent to it while cold that its budget has not covered, and when that was reckoned.
    pub(crate) uncovered_work: f64,
    pub(crate) uncovered_work_at: Micros,
}

/// Where and when the first attempt was sent that may have had its effect.
#[derive(Clone, Copy)]
pub(crate) struct FirstExecution {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) sent_at: Micros,
}

/// A request that was taken and is not over, or has attempts out.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    /// Counter answers still awaited, whether one refused it, and what of it was added to which window.
    pub(crate) pending_calls: u32,
    pub(crate) is_denied: bool,
    pub(crate) counted: Vec<(bool, i64, f64)>,
    pub(crate) holds_slot: bool,
    /// Attempts made, and those out (number, server, when sent).
    pub(crate) attempts_sent: u32,
    pub(crate) in_flight: Vec<(u32, ServerId, Micros)>,
    pub(crate) first_execution: Option<FirstExecution>,
    /// Where its last attempt ended.
    pub(crate) last_server: Option<ServerId>,
    pub(crate) is_streaming: bool,
    pub(crate) is_finished: bool,
}

/// What falls due.
pub(crate) enum Timer {
    CounterWait(RequestId),
    RequestDeadline(RequestId),
    Housekeeping,
}

/// One gateway's decisions.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: u64,
    pub(crate) now: Micros,
    pub(crate) started_at: Option<Micros>,
    pub(crate) actions: Vec<Action>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// When customers were last looked through for those to forget.
    pub(crate) customers_swept_at: Micros,
    pub(crate) counter_calls: BTreeMap<CounterKey, VecDeque<CounterCall>>,
    pub(crate) counter_health: CounterHealth,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// How attempts ended at each kind of machine, for each plan and (the last number) for all.
    pub(crate) machine_type_stats: BTreeMap<(u32, usize), AttemptStats>,
    /// Work of a request of each class: the answer time where nothing waits.
    pub(crate) class_work: Vec<f64>,
    /// Mean answer time of each class over the fleet.
    pub(crate) class_mean_latency: Vec<f64>,
    /// Further attempts that may be made.
    pub(crate) retry_balance: f64,
    /// Gateways that use one server.
    pub(crate) gateways_per_server: f64,
    /// Usual worth of a request for its work.
    pub(crate) usual_value_rate: f64,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) timers: BTreeMap<(Micros, u64), Timer>,
    pub(crate) timer_sequence: u64,
    pub(crate) armed_wake_at: Option<Micros>,
}

impl Balancer {
    /// The next number of this instance's own chance, from 0 to below 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (splitmix64(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Notes something that falls due.
    pub(crate) fn schedule(&mut self, at: Micros, due: Timer) {
        self.timer_sequence += 1;
        self.timers.insert((at, self.timer_sequence), due);
    }

    /// A line for the operators' log.
    pub(crate) fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }
}

impl Customer {
    /// A customer of whom nothing is known; its ceiling fills from `since`, and it is
    /// taken to use this share of its allowance.
    pub(crate) fn unknown(plan: usize, since: Micros, used: f64) -> Customer {
        let meter = || Meter {
            window_index: i64::MIN / 2,
            used_share: used,
            ..Meter::default()
        };
        let (units, open) = (meter(), meter());
        Customer {
            plan,
            units,
            concurrency: open,
            admit_share: 1.0,
            last_notice_at: Micros::MIN / 2,
            hard_limit_refilled_at: since,
            ..Customer::default()
        }
    }
}

impl Server {
    /// A server of which nothing is known, not even a start.
    pub(crate) fn unknown(bound: f64, rank: f64) -> Server {
        Server {
            concurrency_limit: bound,
            subset_rank: rank,
            latency_ratio: 1.0,
            started_at: -1,
            ..Server::default()
        }
    }
}
