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
const GRANT_GAIN: f64 = 0.6;
/// Time in which a verdict told by another gateway fades, and least time between two for one customer.
const TOLD_TAU: f64 = 4.0e6;
const TELL_EVERY: Micros = SECOND;
/// Period of the housekeeping: silent servers, idle customers.
const TICK: Micros = 20_000;
/// A request of less than usual worth for its work may fill this share of the bounds; gain of the usual.
const CHEAP_SHARE: f64 = 0.4;
const WORTH_GAIN: f64 = 0.005;
/// Guessed mean work of a request before any answer.
const WORK_GUESS: f64 = 100_000.0;
/// Gateways that use one server, where there are more; servers that one gateway uses, at least.
const SHARERS: f64 = 20.0;
const USED_LEAST: f64 = 8.0;

/// Danger: gateways that refuse each for itself refuse any. By the shared level the last in the order wait.
pub fn should_shed(request: &Request) -> bool {
    request.shed_rank >= 1.0 - request.shed_share
}

impl Balancer {
    /// A gateway that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let (means, works) = (
            vec![0.0; settings.classes.len()],
            vec![WORK_GUESS; settings.classes.len()],
        );
        let known = Balancer {
            settings,
            random: seed,
            means,
            works,
            ..Balancer::default()
        };
        let counter = CounterHealth {
            pace: known.first_pace(),
            climbs: true,
            ..CounterHealth::default()
        };
        let (sharers, retries) = (
            SHARERS.min(known.gateways()),
            known.settings.retry_budget.max_balance / 2.0,
        );
        Balancer {
            counter,
            sharers,
            retries,
            ..known
        }
    }

    /// Takes what happened up to `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.booted.is_none() {
            self.booted = Some(self.now);
            self.due(self.now + TICK, Due::Tick);
            self.actions.extend(
                self.settings
                    .watch_server_list
                    .then_some(Action::WatchServerList),
            );
        }
        events.iter().for_each(|event| self.event(event));
        while let Some(entry) = self.dues.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Due::Wait(id) if self.held.get(&id).is_some_and(|h| h.calls > 0) => {
                    self.verdict(id)
                }
                Due::Wait(_) => {}
                Due::Deadline(id) => self.give_up(id),
                Due::Tick => self.tick(),
            }
        }
        if let Some((&(at, _), _)) = self.dues.first_key_value()
            && self.armed.is_none_or(|armed| at < armed)
        {
            self.armed = Some(at);
            self.actions.push(Action::WakeAt(at));
        }
        actions.append(&mut self.actions);
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::ServerList { kind, entries } => self.on_list(*kind, entries),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnd(end) => self.on_attempt_end(end),
            Event::StreamStarted { request, .. } => {
                _ = self.held.get_mut(request).map(|h| h.streaming = true)
            }
            Event::ClientDisconnected(id) => self.on_left(*id),
            Event::CounterAnswered {
                key: name,
                outcome,
                total,
            } => self.on_counted(*name, *outcome, *total),
            // Danger: a slow or crowded counter taken for lost. It is asked less until it answers in time.
            Event::LateCounterAnswer => self.counter.failures *= u32::from(self.counter_lost()),
            Event::CounterReplaced => (self.counter.since, self.counter.failures) = (self.now, 0),
            Event::ProbeEnd {
                server,
                outcome,
                load_report: report,
            } => self.on_probe(*server, *outcome, *report),
            Event::NoticeReceived(notice) => self.on_told(*notice),
            Event::PlanAdded(plan) => self.settings.plans.push(plan.clone()),
            Event::Timer => self.armed = None,
        }
    }

    fn gateways(&self) -> f64 {
        f64::from(self.settings.gateway_count.max(1))
    }
}
