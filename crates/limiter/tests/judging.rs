//! Plans that change while the engine runs: what each request is judged by, at two limiters that share a counter.

use std::collections::BTreeMap;

use limiter::engine::{Authorisation, Engine, EngineAction, EngineRejection};
use limiter::plan_resolver::PlanResolver;
use limiter::slots::AuthorisationKey;
use plans::change::Change;
use streamarch::{
    Class, CounterKey, CustomerId, Idempotency, ListKind, Micros, Outcome, Plan, ServerEntry,
    ServerId, ServerState, Settings,
};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

fn settings() -> Settings {
    let class = Class {
        latency_target: SECOND,
        client_timeout: 4 * SECOND,
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
        max_retry_after: SECOND,
        ..Settings::default()
    }
}

/// Limiters with a book each, and one counter that answers at once, or when it is told to.
struct Tier {
    engines: Vec<Engine>,
    totals: BTreeMap<CounterKey, f64>,
    now: Micros,
    silent: bool,
    owed: Vec<(usize, CounterKey)>,
}

impl Tier {
    fn new() -> Tier {
        let names = ["taller".to_string(), "empresa".to_string()];
        let server = |n| ServerEntry {
            server: ServerId(n),
            zone: 0,
            machine_type: 0,
            cell: 0,
            state: ServerState::Ready,
            weight: 1.0,
            started_at: 0,
        };
        let one = |number: u32| {
            let settings = Settings {
                gateway_index: number,
                ..settings()
            };
            let judging = PlanResolver::new(&names, &settings.plans, 2 * SECOND);
            let mut engine = Engine::new(settings, u64::from(number) + 7, 1_000);
            engine.set_plan_resolver(judging);
            engine.update_servers(ListKind::Full, (0..4).map(server).collect());
            engine
        };
        let engines = (0..2).map(one).collect();
        Tier {
            engines,
            totals: BTreeMap::new(),
            now: START,
            silent: false,
            owed: Vec::new(),
        }
    }

    /// A change, given to every limiter. `after`: seconds from now.
    fn change(&mut self, id: &str, after: i64, what: &str) {
        let at = self.now + after * SECOND;
        let text = format!(
            "{{\"id\":\"{id}\",\"at\":{at},\"by\":\"op\",\"why\":\"test\",\"what\":{what}}}"
        );
        let change = Change::read(&text).unwrap();
        for engine in &mut self.engines {
            engine
                .plan_resolver_mut()
                .unwrap()
                .apply(self.now, change.clone())
                .unwrap();
        }
    }

    fn ask(&mut self, limiter: usize) -> AuthorisationKey {
        let asking = Authorisation {
            plan: 0,
            customer: CustomerId(9),
            deadline: self.now + 4 * SECOND,
            units: 1.0,
            limiter_count: 2,
            ..Authorisation::default()
        };
        self.engines[limiter].submit(self.now, asking).unwrap()
    }

    /// Lets a limiter decide; how many legs went out, each of them served, and what was declined.
    fn turn(&mut self, limiter: usize) -> (usize, usize) {
        let (mut sent, mut declined) = (0, 0);
        for _ in 0..8 {
            self.now += 2;
            let mut orders = Vec::new();
            self.engines[limiter].run(self.now, &mut orders);
            if orders.is_empty() {
                break;
            }
            for order in orders {
                match order {
                    EngineAction::StartAttempt {
                        key, attempt: leg, ..
                    } => {
                        sent += 1;
                        self.engines[limiter].handle_attempt_ended(
                            self.now,
                            key,
                            leg,
                            Outcome::Ok,
                            None,
                        );
                    }
                    EngineAction::AddToCounter {
                        name, amount: add, ..
                    } => {
                        *self.totals.entry(name).or_default() += add;
                        self.owed.push((limiter, name));
                    }
                    EngineAction::Reject {
                        rejection: EngineRejection::Declined { .. },
                        ..
                    } => declined += 1,
                    _ => {}
                }
            }
            if !self.silent {
                self.count();
            }
        }
        (sent, declined)
    }

    fn count(&mut self) {
        for (limiter, name) in std::mem::take(&mut self.owed) {
            self.engines[limiter].handle_counter_result(name, Outcome::Ok, self.totals[&name]);
        }
    }

    fn served(&mut self, limiter: usize, tries: usize) -> usize {
        let one = |tier: &mut Tier| {
            tier.ask(limiter);
            tier.turn(limiter).0
        };
        (0..tries).map(|_| one(self)).sum()
    }

    fn judged(&self, limiter: usize, key: AuthorisationKey) -> (String, u64) {
        let judged = self.engines[limiter].resolved_plan(key).unwrap();
        (judged.name.clone(), judged.book_version)
    }
}

const MOVE: &str = r#"{"move":{"account":"0000000000000009","plan":"empresa"}}"#;
const BACK: &str = r#"{"move":{"account":"0000000000000009","plan":null}}"#;

#[test]
fn a_move_takes_effect_at_its_instant_and_grants_no_second_burst_at_either_limiter() {
    let mut tier = Tier::new();
    let used = tier.served(0, 30);
    assert!((9..=11).contains(&used), "{used} of a store of 10");
    tier.change("m", 0, MOVE);
    let (here, there) = (tier.served(0, 20), tier.served(1, 20));
    assert!(
        here + there <= 2,
        "{here} and {there} right after the change"
    );
    // A second later 20 have flowed in, by the new rate.
    tier.now += SECOND;
    let flowed = tier.served(0, 60);
    assert!((16..=24).contains(&flowed), "{flowed} of 20");
}

#[test]
fn a_request_keeps_what_it_was_judged_by_and_its_retry_elsewhere_is_judged_anew() {
    let mut tier = Tier::new();
    tier.change("m", 1, MOVE);
    let first = tier.ask(0);
    tier.now += SECOND;
    let retry = tier.ask(1);
    assert_eq!(tier.judged(0, first), ("taller".into(), 1));
    assert_eq!(tier.judged(1, retry), ("empresa".into(), 1));
    // A clock that steps back over the instant: what holds then is what held then.
    tier.now -= SECOND / 2;
    let before = tier.ask(1);
    assert_eq!(tier.judged(1, before).0, "taller");
}

#[test]
fn a_lower_plan_while_calls_are_out_takes_nothing_back_from_those_that_wait() {
    let mut tier = Tier::new();
    tier.silent = true;
    for _ in 0..6 {
        tier.ask(0);
    }
    assert_eq!(tier.turn(0).0, 0, "they wait for the counter");
    tier.change(
        "f",
        0,
        r#"{"figures":{"plan":"taller","figures":{"rate":1,"burst":2}}}"#,
    );
    tier.silent = false;
    tier.count();
    assert_eq!(
        tier.turn(0),
        (6, 0),
        "taken under the plan before, and within it"
    );
    let after = tier.served(0, 20);
    assert!(after <= 3, "{after} of the 2 that the lower plan holds");
}

#[test]
fn back_and_forth_and_the_turn_of_a_window_leave_the_quota_whole() {
    let mut tier = Tier::new();
    let (mut served, begin) = (0, tier.now);
    // Twenty seconds, with a change every half second; at either limiter in turn.
    for step in 0..40 {
        tier.change(
            &format!("c{step}"),
            0,
            if step % 2 == 0 { MOVE } else { BACK },
        );
        for k in 0..20 {
            tier.ask(k % 2);
            served += tier.turn(k % 2).0;
            tier.now += SECOND / 40;
        }
    }
    let span = (tier.now - begin) as f64 / 1e6;
    // Half of the time at 5 a second, half at 20, from a store of 10.
    let granted = 10.0 + span * 12.5;
    assert!(
        (served as f64) <= granted * 1.05 && served as f64 >= granted * 0.8,
        "{served} of {granted:.0} in {span:.1} s"
    );
}

#[test]
fn without_a_change_positions_are_the_platforms() {
    let mut tier = Tier::new();
    let key = tier.ask(0);
    assert_eq!(tier.judged(0, key), ("taller".into(), 0));
    assert_eq!(tier.engines[0].resolved_plan(key).unwrap().position, 0);
    tier.change("other", 0, &MOVE.replace("0009", "0008"));
    let key = tier.ask(0);
    assert_eq!(tier.engines[0].resolved_plan(key).unwrap().position, 0);
}
