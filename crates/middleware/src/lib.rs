//! The engine as a tower [`Layer`]: requests of an axum router, or of any service on [`http`] types, pass the same
//! decisions as those of the daemon. The wrapped service stands for the one server there is.
//!
//! A [`Gate`] holds the engine and runs on a task of its own; layers and their services are handles to it. What
//! the wrapped service answers is passed on unchanged; a request that the module turns down is answered 429 or 503
//! at once, with `Retry-After`.

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

/// The server that the wrapped service stands for.
const INNER: ServerId = ServerId(0);

/// What the module asks of a counter that all limiters share.
pub trait Counter: Send + Sync + 'static {
    /// Adds to a number and gives the total; a new name lives for `life`. `None`: no answer, perhaps added.
    fn add(
        &self,
        name: CounterKey,
        add: f64,
        life: Duration,
    ) -> impl Future<Output = Option<f64>> + Send;
}

/// A counter within this process, for a single limiter.
#[derive(Debug, Default)]
pub struct LocalCounter(Mutex<BTreeMap<u64, (f64, Instant)>>);

impl Counter for LocalCounter {
    async fn add(&self, name: CounterKey, add: f64, life: Duration) -> Option<f64> {
        let now = Instant::now();
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        // Bounds the memory: what has ended its life goes.
        totals.retain(|_, (_, end)| *end > now);
        let (total, _) = totals.entry(name.0).or_insert((0.0, now + life));
        *total += add;
        Some(*total)
    }
}

/// What a service is told about a request.
enum Verdict {
    /// It may run, as this leg.
    Go(u32),
    /// It may not.
    End(EngineRejection),
}

struct Inner {
    engine: Engine,
    waiting: BTreeMap<AuthorisationKey, oneshot::Sender<Verdict>>,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Notify,
    start: Instant,
    stay_away: Micros,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Micros {
        // Not from 0: the module takes a start at 0 for long ago.
        1_000_000 + self.start.elapsed().as_micros() as Micros
    }
}

/// The engine behind the layers.
#[derive(Clone)]
pub struct Gate(Arc<Shared>);

impl Gate {
    /// Starts an engine on the present tokio runtime; it ends with the last handle. Of the settings' attempts only
    /// the first is used: the wrapped service is called once for a request.
    pub fn start(
        mut settings: Settings,
        seed: u64,
        most_held: usize,
        counter: impl Counter,
    ) -> Gate {
        settings.max_attempts = 1;
        (settings.can_probe, settings.can_notify_gateways) = (false, false);
        let wait = Duration::from_micros(settings.counter_timeout.max(1) as u64);
        let mut engine = Engine::new(settings, seed, most_held);
        let state = ServerState::Ready;
        let entry = ServerEntry {
            server: INNER,
            zone: 0,
            machine_type: 0,
            cell: 0,
            state,
            weight: 1.0,
            started_at: 0,
        };
        engine.update_servers(ListKind::Full, vec![entry]);
        let shared = Arc::new(Shared {
            inner: Mutex::new(Inner {
                engine,
                waiting: BTreeMap::new(),
            }),
            changed: Notify::new(),
            start: Instant::now(),
            stay_away: limiter::limits::Limits::default().default_retry_after,
        });
        let weak = Arc::downgrade(&shared);
        let counter = Arc::new(counter);
        tokio::spawn(async move {
            while let Some(shared) = weak.upgrade() {
                let wake = turn(&shared, &counter, wait);
                // Held only while it works, so that the last handle can end it: it looks again now and then.
                let at = shared.start + Duration::from_micros((wake - 1_000_000).max(0) as u64);
                let pause = at.min(Instant::now() + Duration::from_secs(1));
                tokio::select! {
                    () = shared.changed.notified() => {}
                    () = tokio::time::sleep_until(pause) => {}
                }
            }
        });
        Gate(shared)
    }

    /// A layer whose requests `identify` turns into authorisations; `None` lets a request by, unmetered. The
    /// deadline is given as the time that is left.
    pub fn layer<F>(&self, identify: F) -> LimiterLayer<F> {
        LimiterLayer {
            gate: self.clone(),
            identify: Arc::new(identify),
        }
    }

    /// Requests whose final answer is owed.
    pub fn open(&self) -> usize {
        self.0.lock().engine.open_request_count()
    }
}

/// Lets the engine decide and carries out its orders; gives when it has something to do next.
fn turn<C: Counter>(shared: &Arc<Shared>, counter: &Arc<C>, wait: Duration) -> Micros {
    let mut inner = shared.lock();
    let mut orders = Vec::new();
    inner.engine.run(shared.now(), &mut orders);
    for order in orders {
        match order {
            EngineAction::StartAttempt {
                key, attempt: leg, ..
            } => {
                // A receiver that is gone has told the engine so, or is about to.
                _ = inner
                    .waiting
                    .remove(&key)
                    .map(|sender| sender.send(Verdict::Go(leg)));
            }
            EngineAction::Reject {
                key,
                rejection: ending,
            } => {
                _ = inner
                    .waiting
                    .remove(&key)
                    .map(|sender| sender.send(Verdict::End(ending)));
            }
            EngineAction::AddToCounter {
                name,
                amount: add,
                ttl: life,
            } => {
                let (shared, counter) = (shared.clone(), counter.clone());
                tokio::spawn(async move {
                    let life = Duration::from_micros(life.max(0) as u64);
                    let total = tokio::time::timeout(wait, counter.add(name, add, life))
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
                        .handle_counter_result(name, outcome, total.unwrap_or(0.0));
                    shared.changed.notify_one();
                });
            }
            // The service that runs cannot be called back, and there are no probes and no other limiters here.
            EngineAction::CancelAttempt { .. }
            | EngineAction::Probe(_)
            | EngineAction::Notify(..)
            | EngineAction::Log(_) => {}
        }
    }
    inner.engine.next_wakeup().unwrap_or(Micros::MAX / 2)
}

/// Wraps services so that their requests pass the gate.
pub struct LimiterLayer<F> {
    gate: Gate,
    identify: Arc<F>,
}

impl<F> Clone for LimiterLayer<F> {
    fn clone(&self) -> LimiterLayer<F> {
        LimiterLayer {
            gate: self.gate.clone(),
            identify: self.identify.clone(),
        }
    }
}

impl<S, F> Layer<S> for LimiterLayer<F> {
    type Service = LimiterService<S, F>;

    fn layer(&self, inner: S) -> LimiterService<S, F> {
        LimiterService {
            gate: self.gate.clone(),
            identify: self.identify.clone(),
            inner,
        }
    }
}

/// A service behind the gate.
pub struct LimiterService<S, F> {
    gate: Gate,
    identify: Arc<F>,
    inner: S,
}

impl<S: Clone, F> Clone for LimiterService<S, F> {
    fn clone(&self) -> LimiterService<S, F> {
        LimiterService {
            gate: self.gate.clone(),
            identify: self.identify.clone(),
            inner: self.inner.clone(),
        }
    }
}

/// An authorisation that the engine holds; dropped before its end, the client has left.
struct Held {
    shared: Arc<Shared>,
    key: AuthorisationKey,
}

impl Held {
    fn ended(&self, leg: u32, outcome: Outcome) {
        let now = self.shared.now();
        self.shared
            .lock()
            .engine
            .handle_attempt_ended(now, self.key, leg, outcome, None);
        self.shared.changed.notify_one();
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut inner = self.shared.lock();
        inner.waiting.remove(&self.key);
        // What has ended is not in the table any more, and this does nothing.
        inner
            .engine
            .handle_client_disconnected(now, self.key, &mut Vec::new());
        drop(inner);
        self.shared.changed.notify_one();
    }
}

fn ending<B: Default>(ending: EngineRejection, least: Micros) -> Response<B> {
    let (status, stay_away) = limiter::frontend::platform::rejection_status(ending);
    let mut response = Response::new(B::default());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    if matches!(ending, EngineRejection::Declined { .. }) {
        // Whole seconds: what HTTP's own `Retry-After` knows.
        let seconds = (stay_away.max(least) + 999_999) / 1_000_000;
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
        // The clone that was polled ready is the one to call; a fresh one takes its place.
        let fresh = self.inner.clone();
        let mut inner = std::mem::replace(&mut self.inner, fresh);
        let shared = self.gate.0.clone();
        let Some(mut authorisation) = (self.identify)(&request) else {
            return Box::pin(inner.call(request));
        };
        authorisation.deadline = authorisation.deadline.saturating_add(shared.now());
        Box::pin(async move {
            let (sender, verdict) = oneshot::channel();
            let now = shared.now();
            let taken = {
                let mut inner = shared.lock();
                let taken = inner.engine.submit(now, authorisation);
                taken.inspect(|key| _ = inner.waiting.insert(*key, sender))
            };
            let full = EngineRejection::Declined {
                retry_after: 0,
                over_quota: false,
            };
            let Ok(key) = taken else {
                return Ok(ending(full, shared.stay_away));
            };
            let held = Held {
                shared: shared.clone(),
                key,
            };
            shared.changed.notify_one();
            match verdict.await {
                Ok(Verdict::Go(leg)) => {
                    let answer = inner.call(request).await;
                    let good = answer
                        .as_ref()
                        .is_ok_and(|response| !response.status().is_server_error());
                    held.ended(leg, if good { Outcome::Ok } else { Outcome::Error });
                    answer
                }
                Ok(Verdict::End(end)) => Ok(ending(end, shared.stay_away)),
                Err(_) => Ok(ending(full, shared.stay_away)),
            }
        })
    }
}
