//! THE decision module. The ordinary path: each request adds its units to the customer's window count on the
//! counter service and passes if the sliding estimate stays within quota, behind a local count; when there is
//! no counter, requests pass. All else names the danger it meets.

mod meters;
mod placement;
mod quota;
mod requests;
mod servers;

use crate::interface::*;
use crate::state::*;

const SECOND: Micros = 1_000_000;
/// Gain of the share granted to a customer for each verdict.
const ADMIT_SHARE_GAIN: f64 = 0.6;
/// Time in which a verdict told by another gateway fades, and least time between two for one customer.
const NOTICE_DECAY_US: f64 = 4.0e6;
const MIN_NOTICE_INTERVAL: Micros = SECOND;
/// Period of the housekeeping: silent servers, idle customers.
const HOUSEKEEPING_INTERVAL: Micros = 20_000;
/// A request of less than usual worth for its work may fill this share of the bounds; gain of the usual.
const LOW_VALUE_LIMIT_SHARE: f64 = 0.4;
const VALUE_RATE_GAIN: f64 = 0.005;
/// Guessed mean work of a request before any answer.
const INITIAL_WORK_US: f64 = 100_000.0;
/// Gateways that use one server, where there are more; servers that one gateway uses, at least.
const MAX_GATEWAYS_PER_SERVER: f64 = 20.0;
const MIN_SUBSET_SIZE: f64 = 8.0;

/// Danger: gateways that refuse each for itself refuse any. By the shared level the last in the order wait.
pub fn should_shed(request: &Request) -> bool {
    request.shed_rank >= 1.0 - request.shed_share
}

impl Balancer {
    /// A gateway that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let (means, works) = (
            vec![0.0; settings.classes.len()],
            vec![INITIAL_WORK_US; settings.classes.len()],
        );
        let known = Balancer {
            settings,
            random: seed,
            class_mean_latency: means,
            class_work: works,
            ..Balancer::default()
        };
        let counter = CounterHealth {
            base_call_share: known.initial_call_share(),
            in_slow_start: true,
            ..CounterHealth::default()
        };
        let (sharers, retries) = (
            MAX_GATEWAYS_PER_SERVER.min(known.gateways()),
            known.settings.retry_budget.max_balance / 2.0,
        );
        Balancer {
            counter_health: counter,
            gateways_per_server: sharers,
            retry_balance: retries,
            ..known
        }
    }

    /// Takes what happened up to `now` and appends what is to be done, in order.
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
                    if self.requests.get(&id).is_some_and(|h| h.pending_calls > 0) =>
                {
                    self.decide(id)
                }
                Timer::CounterWait(_) => {}
                Timer::RequestDeadline(id) => self.give_up(id),
                Timer::Housekeeping => self.run_housekeeping(),
            }
        }
        if let Some((&(at, _), _)) = self.timers.first_key_value()
            && self.armed_wake_at.is_none_or(|armed| at < armed)
        {
            self.armed_wake_at = Some(at);
            self.actions.push(Action::WakeAt(at));
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
                    .map(|h| h.is_streaming = true)
            }
            Event::ClientDisconnected(id) => self.on_client_disconnected(*id),
            Event::CounterAnswered {
                key: name,
                outcome,
                total,
            } => self.on_counter_answer(*name, *outcome, *total),
            // Danger: a slow or crowded counter taken for lost. It is asked less until it answers in time.
            Event::LateCounterAnswer => {
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

    fn gateways(&self) -> f64 {
        f64::from(self.settings.gateway_count.max(1))
    }
}
