//! The layer around an axum router, on a paused clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use axum::routing::get;
use limiter::engine::Authorisation;
use streamarch::{Class, CounterKey, CustomerId, Idempotency, Plan, Settings};
use streamarch_middleware::{Counter, Limiter, LocalCounter};
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

/// A router whose `/` answers at once and whose `/slow` fails after two seconds; both count their calls.
fn router(limiter: &Limiter) -> (Router, Arc<AtomicUsize>) {
    let calls = Arc::new(AtomicUsize::new(0));
    let (handler_calls, slow_calls) = (calls.clone(), calls.clone());
    let layer = limiter.layer(|request: &Request<Body>| {
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
            customer_limiters: 1,
            ..Authorisation::default()
        })
    });
    let handler = move || async move {
        handler_calls.fetch_add(1, Ordering::SeqCst);
        "served"
    };
    let slow_handler = move || async move {
        slow_calls.fetch_add(1, Ordering::SeqCst);
        tokio::time::sleep(Duration::from_secs(2)).await;
        (StatusCode::INTERNAL_SERVER_ERROR, "late")
    };
    (
        Router::new()
            .route("/", get(handler))
            .route("/slow", get(slow_handler))
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
async fn a_customer_over_quota_gets_retry_after_and_others_are_served() {
    let limiter = Limiter::start(settings(), 7, 100, LocalCounter::default());
    let (router, calls) = router(&limiter);
    let mut statuses = Vec::new();
    for _ in 0..10 {
        let response = router.clone().oneshot(request("/", Some(5))).await.unwrap();
        assert_eq!(
            response.status() == 429,
            response.headers().contains_key("retry-after")
        );
        statuses.push(response.status().as_u16());
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
        "rejected requests are never run"
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
    assert_eq!(limiter.open_request_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_late_response_is_passed_on_and_the_service_is_called_once() {
    let limiter = Limiter::start(settings(), 7, 100, LocalCounter::default());
    let (router, calls) = router(&limiter);
    let response = router.oneshot(request("/slow", Some(5))).await.unwrap();
    assert_eq!(response.status(), 500);
    assert_eq!(calls.load(Ordering::SeqCst), 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(limiter.open_request_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_client_leaves_is_no_longer_open() {
    let limiter = Limiter::start(settings(), 7, 100, LocalCounter::default());
    let (router, _) = router(&limiter);
    let call = router.oneshot(request("/slow", Some(5)));
    assert!(
        tokio::time::timeout(Duration::from_millis(100), call)
            .await
            .is_err()
    );
    assert_eq!(limiter.open_request_count(), 0);
}

/// A counter that never responds.
struct SilentCounter;

impl Counter for SilentCounter {
    async fn add(&self, _: CounterKey, _: f64, _: Duration) -> Option<f64> {
        std::future::pending().await
    }
}

#[tokio::test(start_paused = true)]
async fn requests_are_admitted_after_the_counter_timeout() {
    let limiter = Limiter::start(settings(), 7, 100, SilentCounter);
    let (router, _) = router(&limiter);
    let started_at = tokio::time::Instant::now();
    assert_eq!(
        router
            .oneshot(request("/", Some(5)))
            .await
            .unwrap()
            .status(),
        200
    );
    assert!(started_at.elapsed() >= Duration::from_millis(30));
}

#[tokio::test(start_paused = true)]
async fn requests_beyond_the_limit_of_open_ones_are_rejected() {
    let limiter = Limiter::start(settings(), 7, 0, LocalCounter::default());
    let (router, calls) = router(&limiter);
    let response = router.oneshot(request("/", Some(5))).await.unwrap();
    assert_eq!(
        (response.status().as_u16(), calls.load(Ordering::SeqCst)),
        (503, 0)
    );
    assert!(response.headers().contains_key("retry-after"));
}
