//! Plan changes while the engines run: the plan that applies to each request at two limiters that share a counter.

use std::collections::BTreeMap;

use limiter::engine::{Authorisation, Engine, EngineAction, EngineRejection};
use limiter::plan_resolver::PlanResolver;
use limiter::slots::AuthorisationKey;
use plans::change::Change;
use streamarch::{
    Class, CounterKey, CustomerId, Idempotency, ListKind, Micros, Outcome, Plan, ServerEntry,
    ServerId, ServerState, Settings,
};

const SECOND_US: Micros = 1_000_000;
const START_US: Micros = 1_000 * SECOND_US;

fn settings() -> Settings {
    let class = Class {
        latency_target: SECOND_US,
        client_timeout: 4 * SECOND_US,
        late_value_share: 0.0,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    };
    let plan = |rate, burst| Plan {
        rate_per_s: rate,
        burst,
        value_factor: 1.0,
        over_quota_cost_share: 1.0,
        ..Plan::default()
    };
    Settings {
        gateway_count: 2,
        classes: vec![class],
        plans: vec![plan(5.0, 10.0), plan(20.0, 40.0)],
        min_handle_interval: 1,
        counter_available: true,
        counter_timeout: 30_000,
        max_attempts: 4,
        sends_retry_after: true,
        max_retry_after: SECOND_US,
        ..Settings::default()
    }
}

/// Two limiters with their own plan resolvers, and a shared counter that responds at once unless it is paused.
struct Cluster {
    engines: Vec<Engine>,
    totals: BTreeMap<CounterKey, f64>,
    now_us: Micros,
    counter_paused: bool,
    pending_counter_calls: Vec<(usize, CounterKey)>,
}

impl Cluster {
    fn new() -> Cluster {
        let plan_names = ["taller".to_string(), "empresa".to_string()];
        let server_entry = |n| ServerEntry {
            server: ServerId(n),
            zone: 0,
            machine_type: 0,
            cell: 0,
            state: ServerState::Ready,
            weight: 1.0,
            started_at: 0,
        };
        let new_engine = |limiter_index: u32| {
            let settings = Settings {
                gateway_index: limiter_index,
                ..settings()
            };
            let plan_resolver = PlanResolver::new(&plan_names, &settings.plans, 2 * SECOND_US);
            let mut engine = Engine::new(settings, u64::from(limiter_index) + 7, 1_000);
            engine.set_plan_resolver(plan_resolver);
            engine.update_servers(ListKind::Full, (0..4).map(server_entry).collect());
            engine
        };
        let engines = (0..2).map(new_engine).collect();
        Cluster {
            engines,
            totals: BTreeMap::new(),
            now_us: START_US,
            counter_paused: false,
            pending_counter_calls: Vec::new(),
        }
    }

    /// Applies a plan change at every limiter. It takes effect `delay_s` seconds from now.
    fn apply_change(&mut self, id: &str, delay_s: i64, operation: &str) {
        let effective_at_us = self.now_us + delay_s * SECOND_US;
        let text = format!(
            "{{\"id\":\"{id}\",\"at\":{effective_at_us},\"by\":\"op\",\"why\":\"test\",\"what\":{operation}}}"
        );
        let change = Change::read(&text).unwrap();
        for engine in &mut self.engines {
            engine
                .plan_resolver_mut()
                .unwrap()
                .apply(self.now_us, change.clone())
                .unwrap();
        }
    }

    fn submit_request(&mut self, limiter: usize) -> AuthorisationKey {
        let authorisation = Authorisation {
            plan: 0,
            customer: CustomerId(9),
            deadline: self.now_us + 4 * SECOND_US,
            units: 1.0,
            customer_limiters: 2,
            ..Authorisation::default()
        };
        self.engines[limiter]
            .submit(self.now_us, authorisation)
            .unwrap()
    }

    /// Runs a limiter's engine until it has no more actions; each attempt succeeds at once. Returns the number of attempts
    /// started and the number of requests declined.
    fn run_engine(&mut self, limiter: usize) -> (usize, usize) {
        let (mut started, mut declined) = (0, 0);
        for _ in 0..8 {
            self.now_us += 2;
            let mut actions = Vec::new();
            self.engines[limiter].run(self.now_us, &mut actions);
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    EngineAction::StartAttempt { key, attempt, .. } => {
                        started += 1;
                        self.engines[limiter].handle_attempt_ended(
                            self.now_us,
                            key,
                            attempt,
                            Outcome::Ok,
                            None,
                        );
                    }
                    EngineAction::AddToCounter { key, amount, .. } => {
                        *self.totals.entry(key).or_default() += amount;
                        self.pending_counter_calls.push((limiter, key));
                    }
                    EngineAction::Reject {
                        rejection: EngineRejection::Declined { .. },
                        ..
                    } => declined += 1,
                    _ => {}
                }
            }
            if !self.counter_paused {
                self.deliver_counter_results();
            }
        }
        (started, declined)
    }

    fn deliver_counter_results(&mut self) {
        for (limiter, name) in std::mem::take(&mut self.pending_counter_calls) {
            self.engines[limiter].handle_counter_result(name, Outcome::Ok, self.totals[&name]);
        }
    }

    fn serve_requests(&mut self, limiter: usize, request_count: usize) -> usize {
        let serve_one = |cluster: &mut Cluster| {
            cluster.submit_request(limiter);
            cluster.run_engine(limiter).0
        };
        (0..request_count).map(|_| serve_one(self)).sum()
    }

    fn resolved_plan(&self, limiter: usize, key: AuthorisationKey) -> (String, u64) {
        let resolved = self.engines[limiter].resolved_plan(key).unwrap();
        (resolved.name.clone(), resolved.book_version)
    }
}

const MOVE_TO_EMPRESA: &str = r#"{"move":{"account":"0000000000000009","plan":"empresa"}}"#;
const MOVE_BACK: &str = r#"{"move":{"account":"0000000000000009","plan":null}}"#;

#[test]
fn moving_a_customer_takes_effect_on_time_and_grants_no_second_burst() {
    let mut cluster = Cluster::new();
    let served = cluster.serve_requests(0, 30);
    assert!(
        (9..=11).contains(&served),
        "served {served} from a burst of 10"
    );
    cluster.apply_change("m", 0, MOVE_TO_EMPRESA);
    let (served_by_first, served_by_second) =
        (cluster.serve_requests(0, 20), cluster.serve_requests(1, 20));
    assert!(
        served_by_first + served_by_second <= 2,
        "served {served_by_first} and {served_by_second} right after the change"
    );
    // A second later the bucket holds 20 more, at the new rate.
    cluster.now_us += SECOND_US;
    let served_after_refill = cluster.serve_requests(0, 60);
    assert!(
        (16..=24).contains(&served_after_refill),
        "served {served_after_refill} of 20"
    );
}

#[test]
fn request_keeps_its_resolved_plan_and_a_retry_at_another_limiter_resolves_again() {
    let mut cluster = Cluster::new();
    cluster.apply_change("m", 1, MOVE_TO_EMPRESA);
    let first_key = cluster.submit_request(0);
    cluster.now_us += SECOND_US;
    let retry_key = cluster.submit_request(1);
    assert_eq!(cluster.resolved_plan(0, first_key), ("taller".into(), 1));
    assert_eq!(cluster.resolved_plan(1, retry_key), ("empresa".into(), 1));
    // A clock that steps back to before the change resolves to the plan that applied then.
    cluster.now_us -= SECOND_US / 2;
    let key_before_change = cluster.submit_request(1);
    assert_eq!(cluster.resolved_plan(1, key_before_change).0, "taller");
}

#[test]
fn plan_reduction_does_not_affect_requests_already_waiting_for_the_counter() {
    let mut cluster = Cluster::new();
    cluster.counter_paused = true;
    for _ in 0..6 {
        cluster.submit_request(0);
    }
    assert_eq!(
        cluster.run_engine(0).0,
        0,
        "the requests wait for the counter"
    );
    cluster.apply_change(
        "f",
        0,
        r#"{"figures":{"plan":"taller","figures":{"rate":1,"burst":2}}}"#,
    );
    cluster.counter_paused = false;
    cluster.deliver_counter_results();
    assert_eq!(
        cluster.run_engine(0),
        (6, 0),
        "admitted under the previous plan and within its quota"
    );
    let served_after_change = cluster.serve_requests(0, 20);
    assert!(
        served_after_change <= 3,
        "served {served_after_change} from the lower plan's burst of 2"
    );
}

#[test]
fn frequent_plan_changes_across_quota_windows_preserve_the_quota() {
    let mut cluster = Cluster::new();
    let (mut served, started_at_us) = (0, cluster.now_us);
    // 20 s with a change every half second, and requests to the two limiters in turn.
    for step in 0..40 {
        cluster.apply_change(
            &format!("c{step}"),
            0,
            if step % 2 == 0 {
                MOVE_TO_EMPRESA
            } else {
                MOVE_BACK
            },
        );
        for n in 0..20 {
            cluster.submit_request(n % 2);
            served += cluster.run_engine(n % 2).0;
            cluster.now_us += SECOND_US / 40;
        }
    }
    let elapsed_s = (cluster.now_us - started_at_us) as f64 / 1e6;
    // Half of the time at 5 per second and half at 20, after a burst of 10.
    let expected = 10.0 + elapsed_s * 12.5;
    assert!(
        (served as f64) <= expected * 1.05 && served as f64 >= expected * 0.8,
        "served {served} of {expected:.0} in {elapsed_s:.1} s"
    );
}

#[test]
fn unchanged_plans_keep_the_position_of_the_platform_configuration() {
    let mut cluster = Cluster::new();
    let key = cluster.submit_request(0);
    assert_eq!(cluster.resolved_plan(0, key), ("taller".into(), 0));
    assert_eq!(cluster.engines[0].resolved_plan(key).unwrap().position, 0);
    cluster.apply_change("other", 0, &MOVE_TO_EMPRESA.replace("0009", "0008"));
    let key = cluster.submit_request(0);
    assert_eq!(cluster.engines[0].resolved_plan(key).unwrap().position, 0);
}
