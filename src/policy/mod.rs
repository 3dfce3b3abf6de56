//! The decisions. In the normal case each request first passes a local check, then adds its units to the
//! customer's counter for the current window on the counter service, and is admitted if the sliding-window
//! estimate stays within quota. Without a counter service requests are admitted by the local check alone.

mod meters;
mod placement;
mod quota;
mod requests;
mod servers;

use crate::interface::*;
use crate::state::*;

const SECOND: Micros = 1_000_000;
/// Gain of a customer's admit share for each counter total and each notice.
const ADMIT_SHARE_GAIN: f64 = 0.6;
/// Time constant with which the effect of a notice from another gateway decays.
const NOTICE_DECAY_US: f64 = 4.0e6;
/// Minimum interval between two notices for one customer.
const MIN_NOTICE_INTERVAL: Micros = SECOND;
/// Interval of the housekeeping: checks for silent servers, removal of idle customers.
const HOUSEKEEPING_INTERVAL: Micros = 20_000;
/// Minimum share of the concurrency limits that is open to a request of less than the usual value per work.
const LOW_VALUE_LIMIT_SHARE: f64 = 0.4;
/// Gain of the usual value per work for each request.
const VALUE_RATE_GAIN: f64 = 0.005;
/// Assumed work of a request before the first response.
const INITIAL_WORK_US: f64 = 100_000.0;
/// Target number of gateways that send to the same server, in larger fleets.
const MAX_GATEWAYS_PER_SERVER: f64 = 20.0;
/// Minimum number of servers that a gateway sends to.
const MIN_SUBSET_SIZE: f64 = 8.0;

/// Whether the request is shed at the current overload level. All gateways share the level and the order of
/// ranks, so that they shed the same requests; each deciding for itself would shed arbitrary ones.
pub fn should_shed(request: &Request) -> bool {
    request.shed_rank >= 1.0 - request.shed_share
}

impl Balancer {
    /// A gateway that has just started. `seed` seeds its random choices.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let (class_mean_latency, class_work) = (
            vec![0.0; settings.classes.len()],
            vec![INITIAL_WORK_US; settings.classes.len()],
        );
        let balancer = Balancer {
            settings,
            random_state: seed,
            class_mean_latency,
            class_work,
            ..Balancer::default()
        };
        let counter_health = CounterHealth {
            base_call_share: balancer.initial_call_share(),
            in_slow_start: true,
            ..CounterHealth::default()
        };
        let (gateways_per_server, retry_balance) = (
            MAX_GATEWAYS_PER_SERVER.min(balancer.gateway_count()),
            balancer.settings.retry_budget.max_balance / 2.0,
        );
        Balancer {
            counter_health,
            gateways_per_server,
            retry_balance,
            ..balancer
        }
    }

    /// Handles the events that happened up to `now` and appends the resulting actions, in order. Also runs
    /// the timers that are due.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.started_at.is_none() {
            self.started_at = Some(self.now);
            self.schedule(self.now + HOUSEKEEPING_INTERVAL, Timer::Housekeeping);
            self.actions.extend(
                self.settings
                    .watch_server_list
                    .then_some(Action::WatchServerList),
            );
        }
        events.iter().for_each(|event| self.handle_event(event));
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Timer::CounterWait(id)
                    if self
                        .requests
                        .get(&id)
                        .is_some_and(|state| state.pending_calls > 0) =>
                {
                    self.decide(id)
                }
                Timer::CounterWait(_) => {}
                Timer::RequestDeadline(id) => self.give_up(id),
                Timer::Housekeeping => self.run_housekeeping(),
            }
        }
        if let Some((&(due_at, _), _)) = self.timers.first_key_value()
            && self
                .armed_wake_at
                .is_none_or(|armed_wake_at| due_at < armed_wake_at)
        {
            self.armed_wake_at = Some(due_at);
            self.actions.push(Action::WakeAt(due_at));
        }
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::ServerList { kind, entries } => self.on_server_list(*kind, entries),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnd(end) => self.on_attempt_end(end),
            Event::StreamStarted { request, .. } => {
                _ = self
                    .requests
                    .get_mut(request)
                    .map(|state| state.is_streaming = true)
            }
            Event::ClientDisconnected(id) => self.on_client_disconnected(*id),
            Event::CounterResult {
                key: name,
                outcome,
                total,
            } => self.on_counter_answer(*name, *outcome, *total),
            // A slow or overloaded counter must not count as lost: it gets fewer calls until it answers in
            // time.
            Event::LateCounterResult => {
                self.counter_health.consecutive_failures *= u32::from(self.is_counter_lost())
            }
            Event::CounterReplaced => {
                (
                    self.counter_health.replaced_at,
                    self.counter_health.consecutive_failures,
                ) = (self.now, 0)
            }
            Event::ProbeEnd {
                server,
                outcome,
                load_report: report,
            } => self.on_probe_end(*server, *outcome, *report),
            Event::NoticeReceived(notice) => self.on_notice(*notice),
            Event::PlanAdded(plan) => self.settings.plans.push(plan.clone()),
            Event::Timer => self.armed_wake_at = None,
        }
    }

    fn gateway_count(&self) -> f64 {
        f64::from(self.settings.gateway_count.max(1))
    }
}
