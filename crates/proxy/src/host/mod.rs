//! The host of a proxy: the event loop that owns all connections, in a single thread. Each iteration
//! reads all input, then handles due timers and runs the router's engines, then writes all output.

mod admission;
mod agent_link;
mod attempts;
mod capacity;
mod clients;
mod close_reasons;
mod metrics;
mod probes;
mod response_ends;
mod response_streams;
mod responses;
mod shutdown;
mod throttled_log;
mod uploads;
mod upstreams;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use dataplane::client_connection::ClientConnection;
use dataplane::clock::Clock;
use dataplane::deadlines::Deadlines;
use dataplane::engine::EngineRejection;
use dataplane::framing::{BodyFraming, IncomingMessage, RequestHead, ResponseHead};
use dataplane::lifecycle::Lifecycle;
use dataplane::limits::Limits;
use dataplane::slots::AuthorisationKey;
use dataplane::upload::Upload;
use dataplane::upstreams::{ConnectionPool, UpstreamState};
use eyre::{WrapErr, eyre};
use protocol::connections::{ConnectionId, Connections, IoEvent};
use protocol::invariant::Invariant;
use protocol::items::Route;
use protocol::log_ring::{IMMEDIATE, LogRing};
use protocol::messages::{Completeness, CounterAdd, NodeInfo, NodeState};
use protocol::metrics::MetricsEndpoint;
use protocol::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use slog::{Logger, info};
use slotmap::{SecondaryMap, SlotMap};
use streamarch::{Micros, Outcome, ServerId};

use self::attempts::AttemptRecord;
use self::close_reasons::CloseReason;
use self::metrics::ProxyMetrics;
use self::response_streams::ResponseStream;
use self::shutdown::{SHUTDOWN_GRACE_MARGIN, SHUTDOWN_NOTICE_PERIOD};
use self::throttled_log::LogThrottle;
use crate::adaptive_timeout::AdaptiveTimeout;
use crate::config_freshness::ConfigFreshness;
use crate::config_store::ConfigStore;
use crate::response_class::ResponseClass;
use crate::router::{
    MAX_COUNTER_TIMEOUT, MIN_COUNTER_TIMEOUT, RequestHandle, RequestKey, RequestRouter,
    RouterAction,
};
use crate::server_table::ServerTable;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Interval between two heartbeats to the agent.
const HEARTBEAT_INTERVAL: Micros = 400 * MS;
/// Delay before the agent's link is retried.
const AGENT_RECONNECT_DELAY: Micros = 100 * MS;
/// Shortest time-out of a connection attempt to a server; the farthest servers need more than a tenth of a second.
const MIN_CONNECT_TIMEOUT: Micros = 350 * MS;
/// Longest time-out of a connection attempt to a server, for when this machine's link is congested.
const MAX_CONNECT_TIMEOUT: Micros = 1_000 * MS;
/// Longest response that is buffered before it is forwarded; also the most that is buffered of a
/// streamed one. An interrupted response up to this length can be retried at another server, a
/// longer one can't.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 128 * 1024;
/// Longest response that is streamed. It is never buffered as a whole; the bound protects against
/// endless responses.
const MAX_STREAMED_RESPONSE_BYTES: u64 = 1024 * 1024 * 1024;
/// Longest wait for events if there is no earlier deadline.
const MAX_IDLE_WAIT: Micros = SECOND;

/// What a connection to a server is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamPurpose {
    /// The attempt of this number of a request.
    Attempt(RequestKey, RequestHandle, u32),
    /// A health check for the engine at this index.
    Probe(usize),
}

/// The role of a connection.
enum Role {
    Client(Box<Client>),
    Upstream(Box<UpstreamConnection>),
    /// The platform's readiness check. `close_after_response`: the connection is closed after the
    /// response that is being written.
    ReadinessCheck {
        close_after_response: bool,
    },
    /// The link to the agent.
    Agent,
}

/// A client's connection.
struct Client {
    connection: ClientConnection,
    incoming: IncomingMessage<RequestHead>,
    request: Option<RequestKey>,
    /// The earliest deadline scheduled for it.
    scheduled_deadline: Micros,
    /// The connection is closed after this response.
    close_after_response: bool,
    /// `100 Continue` was sent for the present request.
    continue_sent: bool,
    /// Whether the present request is to be shed by its head has been checked.
    shedding_checked: bool,
    /// Its part of the bytes buffered for all clients.
    buffered_bytes: usize,
    /// The priority band of its last request.
    band: usize,
    /// The server's connection from which its response is streamed.
    response_source: Option<ConnectionId>,
    /// The request body that is being streamed.
    upload: Option<Upload<ConnectionId>>,
}

/// A connection to a server.
struct UpstreamConnection {
    server: ServerId,
    opened_at: Micros,
    state: UpstreamState<UpstreamPurpose>,
    incoming: IncomingMessage<ResponseHead>,
    response_class: Option<ResponseClass>,
    /// The response has no body, whatever its head says.
    expects_no_body: bool,
    /// An idle connection may be reused until then.
    reusable_until: Micros,
    /// The response that is being streamed from it.
    response_stream: Option<ResponseStream>,
    /// The request body that is being streamed to it is not complete yet.
    is_uploading: bool,
    /// Bytes written on the connection before its present use.
    bytes_sent_before: u64,
    /// A response without a request id has arrived on it.
    had_response_without_id: bool,
}

/// A request without a final response yet.
struct Request {
    client: ConnectionId,
    method: String,
    target: String,
    /// The header fields as servers receive them, encoded.
    header_lines: Vec<u8>,
    body: Vec<u8>,
    id: String,
    route: Rc<Route>,
    deadline: Micros,
    /// The time allowed by its client and its route.
    allowed_time: Micros,
    /// The framing of the body if it is streamed.
    body_framing: Option<BodyFraming>,
    handle: RequestHandle,
    /// The attempts that were sent to servers, in order.
    attempts: Vec<AttemptRecord>,
    /// A server may have run it.
    may_have_run: bool,
    /// A server's failure, which is forwarded if no better response arrives.
    failed_response: Option<(ResponseHead, Vec<u8>)>,
}

/// Scheduled work.
#[derive(Debug)]
enum Timer {
    ConnectTimeout(ConnectionId),
    ClientDeadline(ConnectionId),
    ProbeTimeout(ConnectionId),
    /// The deadline of the response that is streamed from this connection.
    ResponseStreamDeadline(ConnectionId),
    /// The deadline of a request whose streamed body has arrived completely.
    RequestDeadline(RequestKey),
    CounterBatchTimeout,
    ExpireIdleConnections,
    WarmUpEnd,
    Heartbeat,
    LoadReport,
    ConnectAgent,
    ShutdownNoticeEnd,
    ShutdownTimeout,
}

/// A batch of counter adds in flight.
struct CounterBatch {
    number: u64,
    counters: Vec<u64>,
    sent_at: Micros,
    /// If no totals have arrived by then, the batch has timed out.
    deadline: Micros,
    /// Its time-out was reported to the router.
    is_timed_out: bool,
}

/// The state of the proxy's event loop.
pub struct Host {
    clock: Clock,
    settings: Settings,
    limits: Limits,
    /// The value of the `Keep-Alive` field sent to clients.
    client_keep_alive: String,
    log: Logger,
    log_ring: LogRing,
    connections: Connections,
    roles: SecondaryMap<ConnectionId, Role>,
    client_count: usize,
    /// Bytes buffered for all clients' requests.
    buffered_bytes: usize,
    /// The listeners for clients and for readiness checks.
    listeners: (usize, usize),
    /// The addresses on which clients and readiness checks are accepted.
    pub listen_addresses: (SocketAddr, SocketAddr),
    deadlines: Deadlines<Timer>,
    lifecycle: Lifecycle,
    config_store: ConfigStore,
    server_table: ServerTable,
    router: RequestRouter,
    requests: SlotMap<RequestKey, Request>,
    upstream_pool: ConnectionPool<ConnectionId>,
    /// The connection of each attempt in flight, by engine index, authorisation and number.
    attempt_connections: HashMap<(usize, AuthorisationKey, u32), ConnectionId>,
    router_actions: Vec<RouterAction>,
    agent_connection: Option<ConnectionId>,
    /// How much of the configuration the agent has sent.
    completeness: Completeness,
    config_freshness: ConfigFreshness,
    /// Additions to the shared counter that are sent at the end of the iteration.
    pending_adds: Vec<CounterAdd>,
    /// Batches of additions without totals yet.
    counter_batches: VecDeque<CounterBatch>,
    last_batch_number: u64,
    counter_timeout: AdaptiveTimeout,
    /// The time-out of connection attempts to servers.
    connect_timeout: AdaptiveTimeout,
    /// When the counter batches are next checked for time-outs.
    batch_check_at: Micros,
    /// Connections whose input is handled again in the next iteration.
    pending_reads: Vec<ConnectionId>,
    /// The state last announced to the agent.
    announced_state: NodeState,
    /// All input that arrived before this time has been read.
    input_read_until: Micros,
    /// For connections that are closed before their response was complete.
    close_log: LogThrottle,
    /// For requests that the proxy ends while a server may be running them.
    failure_log: LogThrottle,
    /// For requests that may have run and had no good answer.
    no_answer_log: LogThrottle,
    /// For connections of servers that end within a response.
    response_log: LogThrottle,
    /// A request with an API key is forwarded only with the key's tenant.
    forwarded_keys: Invariant,
    metrics_endpoint: MetricsEndpoint,
    metrics: ProxyMetrics,
}

/// Checks that the settings contain the keys that a proxy requires.
///
/// # Errors
/// A key is missing.
pub fn check_settings(settings: &Settings) -> eyre::Result<()> {
    settings
        .bind
        .http
        .ok_or_else(|| eyre!("bind.http is missing"))?;
    settings
        .bind
        .readyz
        .ok_or_else(|| eyre!("bind.readyz is missing"))?;
    Ok(())
}

/// Listens on the address under this key of the settings.
fn open_listener(
    connections: &mut Connections,
    key: &str,
    address: Option<SocketAddr>,
) -> eyre::Result<(usize, SocketAddr)> {
    let address = address.ok_or_else(|| eyre!("{key} is missing"))?;
    connections
        .listen(address)
        .wrap_err_with(|| format!("listening on {key} {address}"))
}

impl Host {
    /// Opens the listening sockets.
    ///
    /// # Errors
    /// An address is missing in the settings, or can't be bound.
    pub fn open(settings: Settings, clock: Clock, log_ring: LogRing) -> eyre::Result<Host> {
        let mut connections =
            Connections::new(&[SIGTERM, SIGHUP]).wrap_err("opening the event loop")?;
        let (client_listener, http) =
            open_listener(&mut connections, "bind.http", settings.bind.http)?;
        let (readiness_listener, readyz) =
            open_listener(&mut connections, "bind.readyz", settings.bind.readyz)?;
        let log = log_ring.logger("proxy", &settings.node);
        let limits = Limits {
            shutdown_notice_period: SHUTDOWN_NOTICE_PERIOD,
            shutdown_timeout: settings.bounds.grace.0 - SHUTDOWN_GRACE_MARGIN,
            connect_timeout: MIN_CONNECT_TIMEOUT,
            max_buffered_body_bytes: MAX_BUFFERED_RESPONSE_BYTES,
            max_response_bytes: MAX_STREAMED_RESPONSE_BYTES,
            ..Limits::default()
        };
        let now = clock.now();
        let mut deadlines = Deadlines::default();
        deadlines.schedule(now, Timer::ConnectAgent);
        deadlines.schedule(now + HEARTBEAT_INTERVAL, Timer::Heartbeat);
        deadlines.schedule(now + overload::EVALUATION_INTERVAL, Timer::LoadReport);
        deadlines.schedule(
            now + limits.upstream_idle_timeout / 4,
            Timer::ExpireIdleConnections,
        );
        let server_table = ServerTable::new(&settings.zone, settings.zones.clone());
        info!(log, "serving on {http}");
        Ok(Host {
            clock,
            client_keep_alive: responses::keep_alive_value(limits.client_idle_timeout),
            limits,
            log,
            log_ring,
            connections,
            roles: SecondaryMap::new(),
            client_count: 0,
            buffered_bytes: 0,
            listeners: (client_listener, readiness_listener),
            listen_addresses: (http, readyz),
            deadlines,
            lifecycle: Lifecycle::new(false),
            config_store: ConfigStore::default(),
            server_table,
            router: RequestRouter::new(fastrand::u64(..), settings.bounds.clone()),
            requests: SlotMap::with_key(),
            upstream_pool: ConnectionPool::default(),
            attempt_connections: HashMap::new(),
            router_actions: Vec::new(),
            agent_connection: None,
            completeness: Completeness::Partial,
            config_freshness: ConfigFreshness::new(settings.bounds.apply.0),
            pending_adds: Vec::new(),
            counter_batches: VecDeque::new(),
            last_batch_number: 0,
            counter_timeout: AdaptiveTimeout::new(MIN_COUNTER_TIMEOUT, MAX_COUNTER_TIMEOUT),
            connect_timeout: AdaptiveTimeout::new(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT),
            batch_check_at: Micros::MAX,
            pending_reads: Vec::new(),
            announced_state: NodeState::Unavailable,
            input_read_until: now,
            close_log: LogThrottle::default(),
            failure_log: LogThrottle::default(),
            no_answer_log: LogThrottle::default(),
            response_log: LogThrottle::default(),
            forwarded_keys: Invariant::new("forwarded_keys_have_a_tenant"),
            metrics_endpoint: MetricsEndpoint::default(),
            metrics: ProxyMetrics::default(),
            settings,
        })
    }

    /// The bytes of all buffered messages, including allocated capacity.
    pub fn buffered_bytes(&self) -> usize {
        let buffered_by = |role: &Role| match role {
            Role::Client(client) => {
                client.incoming.body.capacity()
                    + client.upload.as_ref().map_or(0, Upload::buffered_bytes)
            }
            Role::Upstream(upstream) => upstream.incoming.body.capacity(),
            Role::ReadinessCheck { .. } | Role::Agent => 0,
        };
        let bodies = self
            .requests
            .values()
            .map(|request| request.body.capacity());
        self.connections.buffered_bytes()
            + self.roles.values().map(buffered_by).sum::<usize>()
            + bodies.sum::<usize>()
    }

    /// Runs until the program has shut down.
    ///
    /// # Errors
    /// Waiting for events failed.
    pub fn run(mut self) -> eyre::Result<()> {
        let mut events = Vec::new();
        while !self.is_finished() {
            self.step(MAX_IDLE_WAIT, &mut events)?;
        }
        Ok(())
    }

    /// Whether the program may exit.
    pub fn is_finished(&self) -> bool {
        self.lifecycle.is_finished()
    }

    /// One iteration of the event loop: waits for events or deadlines, at most for `max_wait`, and
    /// handles them. Events caused by writing are left in `events` for the next iteration.
    ///
    /// # Errors
    /// Waiting for events failed.
    pub fn step(&mut self, max_wait: Micros, events: &mut Vec<IoEvent>) -> eyre::Result<()> {
        let has_work = !events.is_empty() || !self.pending_reads.is_empty();
        let earliest_deadline = [self.deadlines.earliest(), self.router.next_wakeup()]
            .into_iter()
            .flatten()
            .min();
        let now = self.clock.now();
        let until = if has_work {
            now
        } else {
            earliest_deadline.unwrap_or(Micros::MAX).min(now + max_wait)
        };
        let clock = self.clock.clone();
        self.connections
            .wait(Some(until), || clock.now(), events)
            .wrap_err("waiting for events")?;
        let input_events = events
            .iter()
            .filter(|event| matches!(event, IoEvent::Received(_) | IoEvent::Accepted(..)));
        self.record_node_load(now, until, input_events.count());
        self.process_events(events);
        Ok(())
    }

    /// Handles the events and due timers, runs the router, and writes all output.
    fn process_events(&mut self, events: &mut Vec<IoEvent>) {
        let now = self.clock.now();
        for connection_id in std::mem::take(&mut self.pending_reads) {
            self.connections.resume_reading(connection_id, now, events);
            events.push(IoEvent::Received(connection_id));
        }
        for event in events.drain(..) {
            self.handle_event(now, event);
        }
        while let Some(timer) = self.deadlines.pop_due(now) {
            self.handle_timer(now, timer);
        }
        self.run_router(now);
        self.send_counter_batch(now);
        self.connections.flush_all(events);
    }

    /// Runs the router and performs its actions, until there are none left.
    fn run_router(&mut self, now: Micros) {
        // Performing the actions for a request may lead to further ones, a few times in a row at
        // most; the bound protects against an endless loop.
        for _ in 0..16 {
            let mut actions = std::mem::take(&mut self.router_actions);
            let requests = &mut self.requests;
            self.router.run(now, &mut actions, |request, handle| {
                requests
                    .get_mut(request)
                    .into_iter()
                    .for_each(|request| request.handle = handle);
            });
            let is_idle = actions.is_empty();
            for action in actions.drain(..) {
                self.perform_router_action(now, action);
            }
            if self.router_actions.is_empty() {
                self.router_actions = actions;
            }
            if is_idle && self.router_actions.is_empty() {
                return;
            }
        }
    }

    fn perform_router_action(&mut self, now: Micros, action: RouterAction) {
        match action {
            RouterAction::SendAttempt {
                request,
                handle,
                attempt,
                server,
            } => self.send_attempt(now, request, handle, attempt, server),
            RouterAction::CancelAttempt(handle, attempt) => {
                self.cancel_attempt(now, handle, attempt)
            }
            RouterAction::Reject(request, rejection) => {
                self.finish_request(now, request, rejection)
            }
            RouterAction::AddToCounter(add) => self.pending_adds.push(add),
            RouterAction::Probe(engine, server) => self.start_probe(now, engine, server),
        }
    }

    fn handle_event(&mut self, now: Micros, event: IoEvent) {
        match event {
            event if self.metrics_endpoint.owns(&event) => self.handle_metrics_event(now, event),
            IoEvent::Accepted(listener, connection_id) if listener == self.listeners.0 => {
                self.accept_client(now, connection_id)
            }
            IoEvent::Accepted(_, connection_id) => {
                _ = self.roles.insert(
                    connection_id,
                    Role::ReadinessCheck {
                        close_after_response: false,
                    },
                )
            }
            IoEvent::Signal(SIGTERM) => self.begin_shutdown(now),
            // SIGHUP has no effect: the settings file contains nothing that a proxy reloads.
            IoEvent::Signal(_) => {}
            IoEvent::Connected(connection_id) => self.handle_connected(now, connection_id),
            IoEvent::Received(connection_id) => self.handle_received(now, connection_id),
            IoEvent::Flushed(connection_id) => self.handle_flushed(now, connection_id),
            IoEvent::PeerClosed(connection_id) => self.handle_peer_closed(now, connection_id),
            IoEvent::Failed(connection_id) => self.handle_connection_lost(now, connection_id),
        }
    }

    fn handle_connected(&mut self, now: Micros, connection_id: ConnectionId) {
        match self.roles.get_mut(connection_id) {
            Some(Role::Upstream(upstream)) => {
                self.connect_timeout.record(now - upstream.opened_at);
                upstream.state = upstream.state.on_connected();
                if let Some(UpstreamPurpose::Attempt(request, ..)) = upstream.state.purpose() {
                    self.start_upload(request, connection_id);
                }
            }
            Some(Role::Agent) => self.handle_agent_connected(now, connection_id),
            Some(Role::Client(_) | Role::ReadinessCheck { .. }) | None => {}
        }
    }

    fn handle_received(&mut self, now: Micros, connection_id: ConnectionId) {
        match self.roles.get(connection_id) {
            Some(Role::Client(_)) => self.handle_client_input(now, connection_id),
            Some(Role::Upstream(_)) => self.handle_upstream_input(now, connection_id),
            Some(Role::ReadinessCheck {
                close_after_response: false,
            }) => self.handle_readiness_check(connection_id),
            Some(Role::Agent) => self.handle_agent_input(now, connection_id),
            Some(Role::ReadinessCheck {
                close_after_response: true,
            })
            | None => {}
        }
    }

    fn handle_flushed(&mut self, now: Micros, connection_id: ConnectionId) {
        match self.roles.get_mut(connection_id) {
            Some(Role::Client(_)) => self.handle_response_written(now, connection_id),
            // Only a part of the output has been written.
            Some(Role::Upstream(_)) if self.connections.has_pending_output(connection_id) => {}
            Some(Role::Upstream(upstream)) if upstream.is_uploading => {
                if let Some(UpstreamPurpose::Attempt(request, ..)) = upstream.state.purpose() {
                    self.resume_upload(request);
                }
            }
            Some(Role::Upstream(upstream)) => {
                let previous_state = upstream.state;
                upstream.state = previous_state.on_request_written();
                if let (true, Some(UpstreamPurpose::Attempt(_, handle, number))) =
                    (previous_state != upstream.state, upstream.state.purpose())
                {
                    self.router.handle_attempt_written(now, handle, number);
                }
            }
            Some(Role::ReadinessCheck {
                close_after_response: true,
            }) => self.remove_connection(connection_id),
            Some(Role::ReadinessCheck { .. } | Role::Agent) | None => {}
        }
    }

    fn handle_peer_closed(&mut self, now: Micros, connection_id: ConnectionId) {
        match self.roles.get(connection_id) {
            Some(Role::Upstream(_)) => self.handle_upstream_end(now, connection_id),
            _ => self.handle_connection_lost(now, connection_id),
        }
    }

    fn handle_connection_lost(&mut self, now: Micros, connection_id: ConnectionId) {
        match self.roles.get(connection_id) {
            Some(Role::Client(_)) => {
                self.remove_client(now, connection_id, CloseReason::ClientClosed)
            }
            Some(Role::Upstream(_)) => self.handle_upstream_closed(now, connection_id),
            Some(Role::Agent) => self.handle_agent_lost(now, connection_id),
            Some(Role::ReadinessCheck { .. }) | None => self.remove_connection(connection_id),
        }
    }

    fn remove_connection(&mut self, connection_id: ConnectionId) {
        self.roles.remove(connection_id);
        self.connections.close(connection_id);
    }

    fn handle_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::ConnectTimeout(id)
                if self
                    .connections
                    .get(id)
                    .is_some_and(|connection| !connection.is_connected()) =>
            {
                if let Some(Role::Upstream(upstream)) = self.roles.get(id) {
                    self.connect_timeout.record(now - upstream.opened_at);
                }
                self.handle_connection_lost(now, id)
            }
            Timer::ConnectTimeout(_) => {}
            Timer::ClientDeadline(id) => self.handle_client_deadline(now, id),
            Timer::ProbeTimeout(id) => self.handle_probe_timeout(id),
            Timer::ResponseStreamDeadline(id) => self.handle_response_stream_deadline(now, id),
            Timer::RequestDeadline(request) => self.handle_request_deadline(now, request),
            Timer::CounterBatchTimeout => self.handle_counter_batch_timeout(now),
            Timer::ExpireIdleConnections => self.close_expired_idle_upstreams(now),
            Timer::WarmUpEnd => self.update_servers(now),
            Timer::Heartbeat => self.handle_heartbeat_timer(now),
            Timer::LoadReport => self.send_load_reports(now),
            Timer::ConnectAgent => self.connect_to_agent(now),
            Timer::ShutdownNoticeEnd => self.handle_shutdown_notice_end(now),
            Timer::ShutdownTimeout => self.handle_shutdown_timeout(now),
        }
    }

    /// The state of this node. It is ready once the agent has sent its complete state, and a route
    /// and a server are known.
    fn node_state(&self) -> NodeState {
        match (
            self.lifecycle.is_shutting_down(),
            self.completeness == Completeness::Complete
                && self.config_store.has_routes()
                && self.server_table.has_servers(),
        ) {
            (true, _) => NodeState::Draining,
            (false, true) => NodeState::Ready,
            (false, false) => NodeState::Unavailable,
        }
    }

    fn node_info(&self) -> NodeInfo {
        let Settings {
            node, zone, region, ..
        } = &self.settings;
        NodeInfo {
            name: node.clone(),
            zone: zone.clone(),
            region: region.clone(),
            http_address: self.listen_addresses.0,
        }
    }

    /// Writes the buffered log lines to standard error.
    pub fn flush_log(&self) {
        self.log_ring.write_out();
    }
}
