//! The limiter as a tower [`Layer`] for an axum router or any service on [`http`] types. Requests are decided on as by the
//! daemon, with the wrapped service as the only server.
//!
//! A [`Limiter`] owns the engine, which runs on a task of its own; layers and their services are handles to it. Responses
//! of the wrapped service are passed on unchanged. A request that the decision module rejects is answered at once with 429
//! or 503 and `Retry-After`.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use limiter::engine::{Authorisation, Engine, EngineAction, EngineRejection};
use limiter::slots::AuthorisationKey;
use streamarch::{
    CounterKey, ListKind, Micros, Outcome, ServerEntry, ServerId, ServerState, Settings,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;
use tower_layer::Layer;
use tower_service::Service;

/// The server number that stands for the wrapped service.
const WRAPPED_SERVICE: ServerId = ServerId(0);

/// A counter service that all limiters share.
pub trait Counter: Send + Sync + 'static {
    /// Adds `amount` to the counter `key` and returns the total. A counter that the call creates lives for `ttl`. `None` if
    /// there was no response; the amount may have been added.
    fn add(
        &self,
        key: CounterKey,
        amount: f64,
        ttl: Duration,
    ) -> impl Future<Output = Option<f64>> + Send;
}

/// A counter service within this process, for a single limiter: total and end of life of each counter, by key.
#[derive(Debug, Default)]
pub struct LocalCounter(Mutex<BTreeMap<u64, (f64, Instant)>>);

impl Counter for LocalCounter {
    async fn add(&self, key: CounterKey, amount: f64, ttl: Duration) -> Option<f64> {
        let now = Instant::now();
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // Expired counters are removed to bound the memory.
        totals.retain(|_, (_, expires_at)| *expires_at > now);
        let (total, _) = totals.entry(key.0).or_insert((0.0, now + ttl));
        *total += amount;
        Some(*total)
    }
}

/// The engine's decision on a request.
enum Decision {
    /// It may run, as the attempt of this number.
    Admit(u32),
    /// It must not run.
    Reject(EngineRejection),
}

struct State {
    engine: Engine,
    /// Where to send the decisions on requests that wait for one.
    pending: BTreeMap<AuthorisationKey, oneshot::Sender<Decision>>,
}

struct Shared {
    state: Mutex<State>,
    /// Wakes the engine's task after an event.
    wake: Notify,
    started_at: Instant,
    /// The minimum retry delay that is sent to a rejected client.
    min_retry_after: Micros,
}

/// The engine's time at the start of its task. Not 0, because the decision module takes a server's start at 0 for one long
/// ago.
const CLOCK_START: Micros = 1_000_000;

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Micros {
        CLOCK_START + self.started_at.elapsed().as_micros() as Micros
    }
}

/// A handle to the engine that the layers share.
#[derive(Clone)]
pub struct Limiter(Arc<Shared>);

impl Limiter {
    /// Starts an engine on the current tokio runtime; its task ends after the last handle is dropped. A request is never
    /// retried, whatever the settings say: the wrapped service is called at most once for it. At most `max_open_requests`
    /// requests are open at once.
    pub fn start(
        mut settings: Settings,
        seed: u64,
        max_open_requests: usize,
        counter: impl Counter,
    ) -> Limiter {
        settings.max_attempts = 1;
        (settings.can_probe, settings.can_notify_gateways) = (false, false);
        let counter_timeout = Duration::from_micros(settings.counter_timeout.max(1) as u64);
        let mut engine = Engine::new(settings, seed, max_open_requests);
        let state = ServerState::Ready;
        let entry = ServerEntry {
            server: WRAPPED_SERVICE,
            zone: 0,
            machine_type: 0,
            cell: 0,
            state,
            weight: 1.0,
            started_at: 0,
        };
        engine.update_servers(ListKind::Full, vec![entry]);
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                engine,
                pending: BTreeMap::new(),
            }),
            wake: Notify::new(),
            started_at: Instant::now(),
            min_retry_after: limiter::limits::Limits::default().default_retry_after,
        });
        let weak = Arc::downgrade(&shared);
        let counter = Arc::new(counter);
        tokio::spawn(async move {
            while let Some(shared) = weak.upgrade() {
                let next_wakeup = run_engine(&shared, &counter, counter_timeout);
                // The task releases its strong reference at least once a second, so that it ends after the last handle is
                // dropped.
                let wake_at = shared.started_at
                    + Duration::from_micros((next_wakeup - CLOCK_START).max(0) as u64);
                let sleep_deadline = wake_at.min(Instant::now() + Duration::from_secs(1));
                tokio::select! {
                    () = shared.wake.notified() => {}
                    () = tokio::time::sleep_until(sleep_deadline) => {}
                }
            }
        });
        Limiter(shared)
    }

    /// Creates a layer. `identify` maps a request to its authorisation, whose deadline is given as the time that remains;
    /// for `None` the request is passed on without any limit.
    pub fn layer<F>(&self, identify: F) -> LimiterLayer<F> {
        LimiterLayer {
            limiter: self.clone(),
            identify: Arc::new(identify),
        }
    }

    /// The number of requests without a final response.
    pub fn open_request_count(&self) -> usize {
        self.0.lock().engine.open_request_count()
    }
}

/// Runs the engine and carries out its actions. Returns when it has to run next.
fn run_engine<C: Counter>(
    shared: &Arc<Shared>,
    counter: &Arc<C>,
    counter_timeout: Duration,
) -> Micros {
    let mut state = shared.lock();
    let mut actions = Vec::new();
    state.engine.run(shared.now(), &mut actions);
    for action in actions {
        match action {
            EngineAction::StartAttempt { key, attempt, .. } => {
                // The receiver may be gone: it has reported that to the engine, or is about to.
                _ = state
                    .pending
                    .remove(&key)
                    .map(|sender| sender.send(Decision::Admit(attempt)));
            }
            EngineAction::Reject { key, rejection } => {
                _ = state
                    .pending
                    .remove(&key)
                    .map(|sender| sender.send(Decision::Reject(rejection)));
            }
            EngineAction::AddToCounter { key, amount, ttl } => {
                let (shared, counter) = (shared.clone(), counter.clone());
                tokio::spawn(async move {
                    let ttl = Duration::from_micros(ttl.max(0) as u64);
                    let total =
                        tokio::time::timeout(counter_timeout, counter.add(key, amount, ttl))
                            .await
                            .ok()
                            .flatten();
                    let outcome = if total.is_some() {
                        Outcome::Ok
                    } else {
                        Outcome::TimedOut
                    };
                    shared
                        .lock()
                        .engine
                        .handle_counter_result(key, outcome, total.unwrap_or(0.0));
                    shared.wake.notify_one();
                });
            }
            // The wrapped service cannot be cancelled by the engine, and there are no probes or other limiters here.
            EngineAction::CancelAttempt { .. }
            | EngineAction::Probe(_)
            | EngineAction::Notify(..)
            | EngineAction::Log(_) => {}
        }
    }
    state.engine.next_wakeup().unwrap_or(Micros::MAX / 2)
}

/// Wraps services so that the limiter decides on their requests.
pub struct LimiterLayer<F> {
    limiter: Limiter,
    identify: Arc<F>,
}

impl<F> Clone for LimiterLayer<F> {
    fn clone(&self) -> LimiterLayer<F> {
        LimiterLayer {
            limiter: self.limiter.clone(),
            identify: self.identify.clone(),
        }
    }
}

impl<S, F> Layer<S> for LimiterLayer<F> {
    type Service = LimiterService<S, F>;

    fn layer(&self, inner: S) -> LimiterService<S, F> {
        LimiterService {
            limiter: self.limiter.clone(),
            identify: self.identify.clone(),
            inner,
        }
    }
}

/// A service whose requests the limiter decides on.
pub struct LimiterService<S, F> {
    limiter: Limiter,
    identify: Arc<F>,
    inner: S,
}

impl<S: Clone, F> Clone for LimiterService<S, F> {
    fn clone(&self) -> LimiterService<S, F> {
        LimiterService {
            limiter: self.limiter.clone(),
            identify: self.identify.clone(),
            inner: self.inner.clone(),
        }
    }
}

/// A request that the engine has accepted. Dropping it before its end tells the engine that the client has left.
struct OpenRequest {
    shared: Arc<Shared>,
    key: AuthorisationKey,
}

impl OpenRequest {
    fn report_end(&self, attempt: u32, outcome: Outcome) {
        let now = self.shared.now();
        self.shared
            .lock()
            .engine
            .handle_attempt_ended(now, self.key, attempt, outcome, None);
        self.shared.wake.notify_one();
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        state.pending.remove(&self.key);
        // Does nothing if the request has ended.
        state
            .engine
            .handle_client_disconnected(now, self.key, &mut Vec::new());
        drop(state);
        self.shared.wake.notify_one();
    }
}

/// The response to a rejected request.
fn rejection_response<B: Default>(
    rejection: EngineRejection,
    min_retry_after: Micros,
) -> Response<B> {
    let (status, retry_after) = limiter::frontend::platform::rejection_status(rejection);
    let mut response = Response::new(B::default());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    if matches!(rejection, EngineRejection::Declined { .. }) {
        // `Retry-After` is in whole seconds; rounded up.
        let seconds = (retry_after.max(min_retry_after) + 999_999) / 1_000_000;
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

impl<S, F, A, B> Service<Request<A>> for LimiterService<S, F>
where
    S: Service<Request<A>, Response = Response<B>> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: Send,
    F: Fn(&Request<A>) -> Option<Authorisation> + Send + Sync + 'static,
    A: Send + 'static,
    B: Default + Send + 'static,
{
    type Response = Response<B>;
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Response<B>, S::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: Request<A>) -> Self::Future {
        // The service that was polled ready must be the one that is called; a clone takes its place.
        let clone = self.inner.clone();
        let mut service = std::mem::replace(&mut self.inner, clone);
        let shared = self.limiter.0.clone();
        let Some(mut authorisation) = (self.identify)(&request) else {
            return Box::pin(service.call(request));
        };
        authorisation.deadline = authorisation.deadline.saturating_add(shared.now());
        Box::pin(async move {
            let (sender, decision) = oneshot::channel();
            let now = shared.now();
            let submitted = {
                let mut state = shared.lock();
                let submitted = state.engine.submit(now, authorisation);
                submitted.inspect(|key| _ = state.pending.insert(*key, sender))
            };
            let overloaded = EngineRejection::Declined {
                retry_after: 0,
                over_quota: false,
            };
            let Ok(key) = submitted else {
                return Ok(rejection_response(overloaded, shared.min_retry_after));
            };
            let open_request = OpenRequest {
                shared: shared.clone(),
                key,
            };
            shared.wake.notify_one();
            match decision.await {
                Ok(Decision::Admit(attempt)) => {
                    let result = service.call(request).await;
                    let is_ok = result
                        .as_ref()
                        .is_ok_and(|response| !response.status().is_server_error());
                    open_request
                        .report_end(attempt, if is_ok { Outcome::Ok } else { Outcome::Error });
                    result
                }
                Ok(Decision::Reject(rejection)) => {
                    Ok(rejection_response(rejection, shared.min_retry_after))
                }
                Err(_) => Ok(rejection_response(overloaded, shared.min_retry_after)),
            }
        })
    }
}
