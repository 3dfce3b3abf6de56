//! The layer round an axum router, on a paused clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use axum::routing::get;
use limiter::engine::Authorisation;
use streamarch::{Class, CounterKey, CustomerId, Idempotency, Plan, Settings};
use streamarch_middleware::{Counter, Gate, LocalCounter};
use tower::ServiceExt;

fn settings() -> Settings {
    let class = Class {
        latency_target: 500_000,
        client_timeout: 1_000_000,
        late_value_share: 0.0,
        value: 1.0,
        idempotency: Idempotency::Idempotent,
        streaming: false,
    };
    Settings {
        gateway_count: 1,
        classes: vec![class],
        plans: vec![Plan {
            rate_per_s: 1.0,
            burst: 4.0,
            value_factor: 1.0,
            over_quota_cost_share: 1.0,
            ..Plan::default()
        }],
        min_handle_interval: 1_000,
        counter_available: true,
        counter_timeout: 30_000,
        max_attempts: 4,
        sends_retry_after: true,
        max_retry_after: 1_000_000,
        ..Settings::default()
    }
}

/// A router whose `/` counts its calls, and `/slow` takes two seconds.
fn router(gate: &Gate) -> (Router, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let (counted, slow) = (calls.clone(), calls.clone());
    let layer = gate.layer(|request: &Request<Body>| {
        let customer = request
            .headers()
            .get("x-customer")?
            .to_str()
            .ok()?
            .parse()
            .ok()?;
        let (customer, deadline) = (CustomerId(customer), 1_000_000);
        Some(Authorisation {
            customer,
            deadline,
            units: 1.0,
            limiter_count: 1,
            ..Authorisation::default()
        })
    });
    let handler = move || async move {
        counted.fetch_add(1, Ordering::SeqCst);
        "served"
    };
    let late = move || async move {
        slow.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_secs(2)).await;
        (StatusCode::INTERNAL_SERVER_ERROR, "late")
    };
    (
        Router::new()
            .route("/", get(handler))
            .route("/slow", get(late))
            .layer(layer),
        calls,
    )
}

fn request(path: &str, customer: Option<u32>) -> Request<Body> {
    let mut request = Request::builder().uri(path);
    if let Some(customer) = customer {
        request = request.header("x-customer", customer);
    }
    request.body(Body::empty()).unwrap()
}

#[tokio::test(start_paused = true)]
async fn a_customer_beyond_its_quota_is_told_when_to_come_back_and_others_pass() {
    let gate = Gate::start(settings(), 7, 100, LocalCounter::default());
    let (router, calls) = router(&gate);
    let mut statuses = Vec::new();
    for _ in 0..10 {
        let answer = router.clone().oneshot(request("/", Some(5))).await.unwrap();
        assert_eq!(
            answer.status() == 429,
            answer.headers().contains_key("retry-after")
        );
        statuses.push(answer.status().as_u16());
    }
    assert_eq!(
        statuses.iter().filter(|s| **s == 200).count(),
        4,
        "{statuses:?}"
    );
    assert!(statuses.iter().all(|s| matches!(s, 200 | 429)));
    assert_eq!(
        router
            .clone()
            .oneshot(request("/", Some(6)))
            .await
            .unwrap()
            .status(),
        200
    );
    assert_eq!(
        router
            .clone()
            .oneshot(request("/", None))
            .await
            .unwrap()
            .status(),
        200
    );
    assert_eq!(
        calls.load(Ordering::SeqCst),
        6,
        "what is refused never runs"
    );
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert_eq!(
        router
            .oneshot(request("/", Some(5)))
            .await
            .unwrap()
            .status(),
        200
    );
    assert_eq!(gate.open(), 0);
}

#[tokio::test(start_paused = true)]
async fn what_the_service_answers_is_passed_on_even_late_and_it_is_called_once() {
    let gate = Gate::start(settings(), 7, 100, LocalCounter::default());
    let (router, calls) = router(&gate);
    let answer = router.oneshot(request("/slow", Some(5))).await.unwrap();
    assert_eq!(answer.status(), 500);
    assert_eq!(calls.load(Ordering::SeqCst), 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(gate.open(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_is_owed_nothing() {
    let gate = Gate::start(settings(), 7, 100, LocalCounter::default());
    let (router, _) = router(&gate);
    let call = router.oneshot(request("/slow", Some(5)));
    assert!(
        tokio::time::timeout(Duration::from_millis(100), call)
            .await
            .is_err()
    );
    assert_eq!(gate.open(), 0);
}

struct Silent;

impl Counter for Silent {
    async fn add(&self, _: CounterKey, _: f64, _: Duration) -> Option<f64> {
        std::future::pending().await
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_counter_lets_requests_pass_after_its_wait() {
    let gate = Gate::start(settings(), 7, 100, Silent);
    let (router, _) = router(&gate);
    let before = tokio::time::Instant::now();
    assert_eq!(
        router
            .oneshot(request("/", Some(5)))
            .await
            .unwrap()
            .status(),
        200
    );
    assert!(before.elapsed() >= Duration::from_millis(30));
}

#[tokio::test(start_paused = true)]
async fn no_more_are_held_than_may_be() {
    let gate = Gate::start(settings(), 7, 0, LocalCounter::default());
    let (router, calls) = router(&gate);
    let answer = router.oneshot(request("/", Some(5))).await.unwrap();
    assert_eq!(
        (answer.status().as_u16(), calls.load(Ordering::SeqCst)),
        (503, 0)
    );
    assert!(answer.headers().contains_key("retry-after"));
}
