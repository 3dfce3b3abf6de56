//! Settings, a gateway with a manual clock, and a counter service for the tests.
#![allow(dead_code)]

use streamarch::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn request_class(idempotency: Idempotency, value: f64) -> Class {
    Class {
        latency_target: 500 * MS,
        client_timeout: SECOND,
        late_value_share: 0.0,
        value,
        idempotency,
        streaming: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate_per_s: rate,
        burst,
        value_factor: 1.0,
        over_quota_cost_share: 1.0,
        ..Plan::default()
    }
}

/// Classes: 0 idempotent, 1 keyed by zone, 2 not idempotent. Plans: 0 without quota, 1 with a burst of 10 units
/// and 5 per second, 2 with two attempts in flight.
pub fn settings() -> Settings {
    Settings {
        gateway_count: 2,
        classes: vec![
            request_class(Idempotency::Idempotent, 1.0),
            request_class(
                Idempotency::Keyed {
                    scope: DedupScope::Zone,
                    dedup_window: 2 * SECOND,
                },
                1.0,
            ),
            request_class(Idempotency::NotIdempotent, 1.0),
        ],
        plans: vec![
            Plan {
                value_factor: 1.0,
                ..Plan::default()
            },
            plan(5.0, 10.0),
            Plan {
                max_concurrent: 2,
                value_factor: 1.0,
                ..Plan::default()
            },
        ],
        min_handle_interval: 4 * MS,
        counter_available: true,
        counter_timeout: 30 * MS,
        can_cancel: true,
        can_probe: true,
        max_attempts: 5,
        sends_retry_after: true,
        max_retry_after: SECOND,
        cold_capacity_share: 0.2,
        warm_up_duration: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
        even_shares_counter_lost: false,
        ..Settings::default()
    }
}

pub struct Gateway {
    pub balancer: Balancer,
    pub now: Micros,
    pub next_id: u64,
}

impl Gateway {
    pub fn new(settings: Settings) -> Gateway {
        Gateway {
            balancer: Balancer::new(settings, 7),
            now: 100 * SECOND,
            next_id: 0,
        }
    }

    /// A gateway that knows `count` warm servers, evenly spread over zones 0 and 1.
    pub fn with_servers(settings: Settings, count: u32) -> Gateway {
        let mut gateway = Gateway::new(settings);
        let entries = (0..count)
            .map(|number| server_entry(number, ServerState::Ready, 0))
            .collect();
        gateway.handle_event(Event::ServerList {
            kind: ListKind::Cached,
            entries,
        });
        gateway
    }

    pub fn handle_event(&mut self, event: Event) -> Vec<Action> {
        self.handle_events(&[event])
    }

    pub fn handle_events(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, events, &mut actions);
        actions
    }

    /// Advances the clock, with a timer event every 4 ms as from a host.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 4 * MS).min(end);
            self.balancer
                .handle(self.now, &[Event::Timer], &mut actions);
        }
        actions
    }

    pub fn send_request(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = Request {
            id,
            class,
            plan,
            customer: CustomerId(customer),
            deadline: self.now + SECOND,
            units: 1.0,
            customer_gateways: 2,
            first_gateway: 0,
            is_client_retry: false,
            ..Request::default()
        };
        (id, self.handle_event(Event::Request(request)))
    }

    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle_event(Event::AttemptEnd(AttemptEnd {
            request: id,
            attempt,
            server,
            outcome,
            elapsed: 50 * MS,
            request_finished: outcome == Outcome::Ok,
            actual_units: None,
            load_report: None,
        }))
    }
}

pub fn server_entry(number: u32, state: ServerState, started_at: Micros) -> ServerEntry {
    ServerEntry {
        server: ServerId(number),
        zone: number % 2,
        machine_type: 0,
        cell: number / 2,
        state,
        weight: 1.0,
        started_at,
    }
}

pub fn sent_attempts(actions: &[Action]) -> Vec<(RequestId, ServerId)> {
    let attempt = |action: &Action| match action {
        Action::Send {
            request, server, ..
        } => Some((*request, *server)),
        _ => None,
    };
    actions.iter().filter_map(attempt).collect()
}

pub fn counter_calls(actions: &[Action]) -> Vec<(CounterKey, f64)> {
    let call = |action: &Action| match action {
        Action::AddToCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

pub fn shed_requests(actions: &[Action]) -> Vec<RequestId> {
    let shed_request = |action: &Action| match action {
        Action::Shed { request, .. } => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(shed_request).collect()
}

pub fn failed_requests(actions: &[Action]) -> Vec<RequestId> {
    let failed_request = |action: &Action| match action {
        Action::Fail(request) => Some(*request),
        _ => None,
    };
    actions.iter().filter_map(failed_request).collect()
}

/// A counter service that answers at once.
#[derive(Default)]
pub struct FakeCounter(pub std::collections::BTreeMap<CounterKey, f64>);

impl FakeCounter {
    /// Answers all calls among the actions, and the calls that follow from the answers. Returns all actions.
    pub fn answer(&mut self, gateway: &mut Gateway, actions: Vec<Action>) -> Vec<Action> {
        let mut all_actions = actions.clone();
        let mut pending = counter_calls(&actions);
        while !pending.is_empty() {
            let mut follow_ups = Vec::new();
            for (key, amount) in pending {
                let total = self.0.entry(key).or_default();
                *total += amount;
                follow_ups.extend(gateway.handle_event(Event::CounterResult {
                    key,
                    outcome: Outcome::Ok,
                    total: *total,
                }));
            }
            pending = counter_calls(&follow_ups);
            all_actions.extend(follow_ups);
        }
        all_actions
    }
}
