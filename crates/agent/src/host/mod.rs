//! The event loop of an agent: the link to a control program, the link to the shared counter, and the connection of the proxy.

mod control_link;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use dataplane::clock::Clock;
use dataplane::deadlines::Deadlines;
use eyre::WrapErr;
use protocol::connections::{ConnectionId, Connections, IoEvent};
use protocol::frames;
use protocol::log_ring::{IMMEDIATE, LogRing};
use protocol::messages::{
    AgentMessage, ClusterView, ControlMessage, CounterAdd, NodeInfo, NodeState,
};
use protocol::metrics::{AGENT_METRICS_PORT, MetricsEndpoint, MetricsText};
use protocol::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use slog::{Logger, error, info, warn};

use self::control_link::{Candidate, ControlLink};
use crate::config_cache::ConfigCache;
use crate::link_metrics::LinkMetrics;
use crate::replica_selection::{
    COUNTER_LINK_IDLE_TIMEOUT, HOME_RETRY_INTERVAL, LINK_IDLE_TIMEOUT, LINK_QUORUM_LOSS_TIMEOUT,
    ReplicaSelection,
};

/// Microseconds per millisecond.
const MS: i64 = 1_000;
/// The interval of the heartbeats to the control program, in microseconds, as all durations here.
const HEARTBEAT_INTERVAL: i64 = 400 * MS;
/// The interval at which the limiters' clock is requested again, as clocks drift.
const CLOCK_REQUEST_INTERVAL: i64 = 800 * MS;
/// The delay before the next attempt after a link has failed.
const RETRY_DELAY: i64 = 30 * MS;
/// The link to the counter has to be established within this time. It is far longer than a round trip, as the network link of
/// the machine may be congested.
const COUNTER_CONNECT_TIMEOUT: i64 = 3_000 * MS;
/// The agent ends this long before the end of its grace period, so that it is not killed.
const GRACE_MARGIN: i64 = 200 * MS;
/// The end of an outage of the control link that was longer than this is written to the log immediately.
const MIN_REPORTED_OUTAGE: i64 = 1_000 * MS;
/// The maximum number of batches that wait for the counter. Beyond it the oldest one is discarded; by then the proxy no longer
/// waits for its answer.
const MAX_PENDING_BATCHES: usize = 2_000;

/// The link to the replica that keeps the shared counter.
#[derive(Clone, Copy)]
struct CounterLink {
    connection: ConnectionId,
    address: SocketAddr,
    term: u64,
}

/// A batch of the proxy that was forwarded to the counter and has not been answered.
struct PendingBatch {
    proxy: ConnectionId,
    /// The number of the batch on the connection of the proxy.
    number: u64,
}

#[derive(Debug)]
enum Timer {
    /// The time for establishing the link to the counter is over.
    CounterConnectTimeout(ConnectionId),
    /// The time for a candidate to become the link is over.
    CandidateTimeout(ConnectionId),
    /// A heartbeat and the checks of the links are due.
    Upkeep,
    /// The next step of the search for a link is due.
    Search,
    /// The link to the counter is to be opened again.
    ReconnectCounter,
    /// The replica of the agent's own zone is to be tried again.
    TryHomeReplica,
    /// The grace period is about to end.
    GracePeriodEnd,
}

/// The state of the event loop.
pub struct Host {
    clock: Clock,
    settings: Settings,
    settings_path: Option<PathBuf>,
    /// The error of the last reload of the settings, empty if there was none, so that a persistent error is logged once.
    last_settings_error: String,
    log: Logger,
    connections: Connections,
    deadlines: Deadlines<Timer>,
    selection: ReplicaSelection,
    cache: ConfigCache,
    link: Option<ControlLink>,
    candidates: Vec<Candidate>,
    /// When the search for a link continues; `i64::MAX` if no step is scheduled.
    next_search_at: i64,
    counter_link: Option<CounterLink>,
    /// The batches that wait for the counter, by their number on its link.
    pending_batches: BTreeMap<u64, PendingBatch>,
    last_batch_number: u64,
    clock_requested_at: i64,
    proxy: Option<ConnectionId>,
    node: Option<NodeInfo>,
    state: NodeState,
    /// Whether the replica of the agent's own zone was tried once since the start.
    has_tried_home: bool,
    metrics_endpoint: MetricsEndpoint,
    link_metrics: LinkMetrics,
    is_shutting_down: bool,
    is_finished: bool,
}

/// Checks that the settings contain everything that an agent needs.
///
/// # Errors
/// A key is missing or empty; the error names it.
pub fn check(settings: &Settings) -> eyre::Result<()> {
    eyre::ensure!(
        !settings.seed_peers.is_empty(),
        "seed_peers: the address of at least one control program is required"
    );
    Ok(())
}

impl Host {
    /// Creates an agent that listens for its proxy. The file at `settings_path` is read again whenever no control program can
    /// be reached.
    ///
    /// # Errors
    /// The event loop can't be created, or the address can't be bound.
    pub fn open(
        settings: Settings,
        settings_path: Option<PathBuf>,
        clock: Clock,
        log_ring: &LogRing,
    ) -> eyre::Result<Host> {
        let signals = [SIGTERM, SIGHUP];
        let mut connections = Connections::new(&signals).wrap_err("opening the event loop")?;
        let address = settings.agent_address();
        let listener = connections.listen(address);
        listener.wrap_err_with(|| format!("listening for the proxy on {address}"))?;
        // The rotation depends on the address, so that agents try the replicas in different orders.
        let rotation = settings.ip.octets().map(usize::from).iter().sum();
        let (zone, region) = (&settings.zone, &settings.region);
        let zones = settings.zones.clone();
        let mut selection = ReplicaSelection::new(zone, region, zones, rotation);
        selection.set_seeds(settings.seed_addresses());
        let mut deadlines = Deadlines::default();
        let now = clock.now();
        deadlines.schedule(now, Timer::Search);
        deadlines.schedule(now + HEARTBEAT_INTERVAL, Timer::Upkeep);
        deadlines.schedule(now + HOME_RETRY_INTERVAL, Timer::TryHomeReplica);
        Ok(Host {
            log: log_ring.logger("agent", &settings.node),
            clock,
            settings,
            settings_path,
            last_settings_error: String::new(),
            connections,
            deadlines,
            selection,
            cache: ConfigCache::default(),
            link: None,
            candidates: Vec::new(),
            next_search_at: now,
            counter_link: None,
            pending_batches: BTreeMap::new(),
            last_batch_number: 0,
            clock_requested_at: 0,
            proxy: None,
            node: None,
            state: NodeState::Unavailable,
            has_tried_home: false,
            metrics_endpoint: MetricsEndpoint::default(),
            link_metrics: LinkMetrics::default(),
            is_shutting_down: false,
            is_finished: false,
        })
    }

    /// Serves metrics to operators. If the port can't be bound, the agent goes on without the endpoint.
    pub fn serve_metrics(&mut self) {
        let ip = self.settings.ip;
        let listener = self
            .metrics_endpoint
            .listen(&mut self.connections, ip, AGENT_METRICS_PORT);
        if let Err(error) = listener {
            warn!(self.log, "cannot serve metrics"; "error" => error.to_string());
        }
    }

    fn handle_metrics_event(&mut self, now: i64, event: IoEvent) {
        let (link_metrics, cache) = (&self.link_metrics, &self.cache);
        self.metrics_endpoint
            .handle_event(&mut self.connections, event, || {
                let mut text = MetricsText::default();
                link_metrics.add_metrics(now, &mut text);
                cache.add_metrics(&mut text);
                text
            });
    }

    /// Runs until SIGTERM.
    ///
    /// # Errors
    /// Polling the connections has failed.
    pub fn run(mut self) -> eyre::Result<()> {
        let mut events = Vec::new();
        while !self.is_finished {
            self.run_once(HEARTBEAT_INTERVAL, &mut events)?;
        }
        info!(self.log, #IMMEDIATE, "shutdown finished"; "proxy_connected" => self.proxy.is_some());
        Ok(())
    }

    /// Runs one iteration of the event loop: waits for events or timers for at most `max_wait_us`, and handles them. Afterwards
    /// `events` contains those that occurred while writing, for the next iteration.
    ///
    /// # Errors
    /// Polling the connections has failed.
    pub fn run_once(&mut self, max_wait_us: i64, events: &mut Vec<IoEvent>) -> eyre::Result<()> {
        let now = self.clock.now();
        let next_timer = self.deadlines.earliest().unwrap_or(i64::MAX);
        let deadline = if events.is_empty() {
            next_timer.min(now + max_wait_us)
        } else {
            now
        };
        let clock = self.clock.clone();
        let result = self
            .connections
            .wait(Some(deadline), || clock.now(), events);
        result.wrap_err("waiting for events")?;
        let now = self.clock.now();
        for event in events.drain(..) {
            self.handle_event(now, event);
        }
        while let Some(timer) = self.deadlines.pop_due(now) {
            self.handle_timer(now, timer);
        }
        self.connections.flush_all(events);
        Ok(())
    }

    fn is_counter_link(&self, id: ConnectionId) -> bool {
        self.counter_link.is_some_and(|link| link.connection == id)
    }

    fn is_connected(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(id);
        connection.is_some_and(|connection| connection.is_connected())
    }

    fn handle_event(&mut self, now: i64, event: IoEvent) {
        match event {
            event if self.metrics_endpoint.owns(&event) => self.handle_metrics_event(now, event),
            IoEvent::Accepted(_, id) => self.handle_proxy_connected(now, id),
            IoEvent::Signal(SIGTERM) => self.begin_shutdown(now),
            IoEvent::Signal(_) => self.reload_settings(),
            IoEvent::Connected(id) if self.is_counter_link(id) => self.request_clock(now, id),
            IoEvent::Connected(id) => self.handle_candidate_connected(now, id),
            IoEvent::Received(id) if self.proxy == Some(id) => self.read_proxy(now, id),
            IoEvent::Received(id) => self.read_control(now, id),
            IoEvent::Flushed(_) => {}
            IoEvent::PeerClosed(id) | IoEvent::Failed(id) => self.handle_connection_lost(now, id),
        }
    }

    fn handle_timer(&mut self, now: i64, timer: Timer) {
        match timer {
            Timer::CounterConnectTimeout(id) => {
                let is_open = self.connections.get(id).is_some();
                if is_open && !self.is_connected(id) {
                    self.handle_connection_lost(now, id);
                }
            }
            Timer::CandidateTimeout(id) => self.handle_candidate_timeout(now, id),
            Timer::Upkeep => self.run_upkeep(now),
            Timer::Search => self.search(now),
            Timer::ReconnectCounter => self.update_counter_link(now),
            Timer::TryHomeReplica => {
                let next_at = now + HOME_RETRY_INTERVAL;
                self.deadlines.schedule(next_at, Timer::TryHomeReplica);
                self.try_home_replica(now);
            }
            Timer::GracePeriodEnd => self.is_finished = true,
        }
    }

    fn send<T: serde::Serialize>(&mut self, to: ConnectionId, message: &T) {
        if let Some(output) = self.connections.output(to) {
            frames::encode(output, message);
        }
    }

    /// Takes over a new connection of the proxy, closes the former one, and sends a snapshot of the cache.
    fn handle_proxy_connected(&mut self, now: i64, id: ConnectionId) {
        if let Some(former) = self.proxy.replace(id) {
            self.connections.close(former);
        }
        self.pending_batches.clear();
        for message in self.cache.snapshot(now) {
            self.send(id, &message);
        }
    }

    /// Reads the settings again, as they may name other seeds by now.
    fn reload_settings(&mut self) {
        let Some(path) = &self.settings_path else {
            return;
        };
        match Settings::load(path) {
            Ok(settings) => self.selection.set_seeds(settings.seed_addresses()),
            Err(error) => {
                let error = format!("{error:#}");
                // Reloads are frequent while no replica can be reached: a persistent error is logged once.
                if error != self.last_settings_error {
                    warn!(self.log, #IMMEDIATE, "settings rejected"; "error" => &error);
                }
                self.last_settings_error = error;
            }
        }
    }

    /// Opens a link to the replica that keeps the counter, and closes the former one, if its address or term has changed.
    fn update_counter_link(&mut self, now: i64) {
        let view = self.cache.cluster_view();
        let holder = view.and_then(|view| view.counter);
        let linked_holder = self.counter_link.map(|link| (link.address, link.term));
        if linked_holder == holder {
            return;
        }
        if let Some(former) = self.counter_link.take() {
            self.connections.close(former.connection);
        }
        let Some((address, term)) = holder else {
            return;
        };
        match self.connections.connect(address, now) {
            Ok(connection) => {
                let deadline = now + COUNTER_CONNECT_TIMEOUT;
                self.deadlines
                    .schedule(deadline, Timer::CounterConnectTimeout(connection));
                self.counter_link = Some(CounterLink {
                    connection,
                    address,
                    term,
                });
            }
            Err(_) => {
                let retry_at = now + RETRY_DELAY;
                self.deadlines.schedule(retry_at, Timer::ReconnectCounter);
            }
        }
    }

    fn handle_connection_lost(&mut self, now: i64, id: ConnectionId) {
        if self.is_link(id) || self.is_candidate(id) {
            return self.handle_control_link_lost(now, id);
        }
        self.connections.close(id);
        if self.is_counter_link(id) {
            self.counter_link = None;
            self.deadlines
                .schedule(now + RETRY_DELAY, Timer::ReconnectCounter);
        } else if self.proxy == Some(id) {
            self.proxy = None;
            self.set_state(NodeState::Unavailable);
            self.is_finished |= self.is_shutting_down;
        }
    }

    /// Sets the state of the edge as the proxy reports it. While the agent shuts down, a ready edge is draining.
    fn set_state(&mut self, state: NodeState) {
        let state = if self.is_shutting_down && state == NodeState::Ready {
            NodeState::Draining
        } else {
            state
        };
        if std::mem::replace(&mut self.state, state) != state {
            self.send_heartbeat();
        }
    }

    fn send_heartbeat(&mut self) {
        if let Some(link) = &self.link
            && self.node.is_some()
        {
            let id = link.connection;
            self.send(id, &AgentMessage::Heartbeat(self.state));
        }
    }

    /// Decodes and handles the messages that were received from a control program.
    fn read_control(&mut self, now: i64, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(id) {
            match frames::decode::<ControlMessage>(&mut connection.input) {
                Ok(Some(message)) => self.handle_control_message(now, id, message),
                Ok(None) => return,
                Err(error) => {
                    error!(self.log, "invalid message from a control program, closing the connection";
                        "error" => error.to_string());
                    return self.handle_connection_lost(now, id);
                }
            }
        }
    }

    fn handle_control_message(&mut self, now: i64, from: ConnectionId, message: ControlMessage) {
        match message {
            ControlMessage::CounterTotals { batch, totals } => {
                if let Some(PendingBatch { proxy, number }) = self.pending_batches.remove(&batch) {
                    let batch = number;
                    self.send(proxy, &ControlMessage::CounterTotals { batch, totals });
                }
            }
            ControlMessage::NotCounted(batch) => {
                if let Some(PendingBatch { proxy, number }) = self.pending_batches.remove(&batch) {
                    self.send(proxy, &ControlMessage::NotCounted(number));
                }
            }
            ControlMessage::ClusterView(view) => self.handle_cluster_view(now, from, view),
            // The clock is not corrected for the network delay: as the clock that is furthest ahead wins, such estimates would
            // drive it forward.
            ControlMessage::Clock(_) => {
                self.forward(now, message);
                self.handle_clock_answer(now, from);
            }
            ControlMessage::Servers { .. } | ControlMessage::SnapshotComplete => {
                self.forward(now, message)
            }
            ControlMessage::Complete => {
                self.forward(now, message);
                self.handle_complete(now, from);
            }
            // Only agents send this message.
            ControlMessage::Confirmed { .. } => {}
            ControlMessage::Items(ref items) => {
                let has_items = !items.is_empty();
                self.forward(now, message);
                if has_items && self.is_link(from) {
                    self.send(from, &self.cache.config_state());
                }
            }
            // While several connections are open, only the levels from the link count.
            ControlMessage::AdmissionLevels { .. } if !self.is_link(from) => {}
            ControlMessage::AdmissionLevels { .. } => self.forward(now, message),
        }
    }

    /// Applies a message to the cache and forwards the new part to the proxy.
    fn forward(&mut self, now: i64, message: ControlMessage) {
        if let Some(message) = self.cache.apply(now, message)
            && let Some(proxy) = self.proxy
        {
            self.send(proxy, &message);
        }
    }

    /// Decodes and handles the messages that were received from the proxy.
    fn read_proxy(&mut self, now: i64, id: ConnectionId) {
        while let Some(connection) = self.connections.get_mut(id) {
            match frames::decode::<AgentMessage>(&mut connection.input) {
                Ok(Some(message)) => self.handle_proxy_message(now, id, message),
                Ok(None) => return,
                Err(error) => {
                    error!(self.log, "invalid message from the proxy, closing the connection"; "error" => error.to_string());
                    return self.handle_connection_lost(now, id);
                }
            }
        }
    }

    fn handle_proxy_message(&mut self, now: i64, from: ConnectionId, message: AgentMessage) {
        match message {
            AgentMessage::Hello(node) => {
                let is_new = self.node.replace(node.clone()) != Some(node);
                if is_new {
                    self.handle_node_changed(now);
                }
            }
            AgentMessage::Heartbeat(state) => self.set_state(state),
            AgentMessage::CounterBatch {
                batch,
                clock_us,
                adds,
            } => {
                let pending = PendingBatch {
                    proxy: from,
                    number: batch,
                };
                self.forward_batch(now, pending, clock_us, adds);
            }
            AgentMessage::LoadReports(reports) => {
                let link = self.link.as_ref();
                if let Some(id) = link.map(|link| link.connection) {
                    self.send(id, &AgentMessage::LoadReports(reports));
                }
            }
            AgentMessage::Clock(_)
            | AgentMessage::KnownDigests(_)
            | AgentMessage::ConfigState { .. } => {}
        }
    }

    /// Forwards a batch of the proxy to the counter, or answers at once that it was not counted.
    fn forward_batch(
        &mut self,
        now: i64,
        pending: PendingBatch,
        clock_us: i64,
        adds: Vec<CounterAdd>,
    ) {
        let link = self.counter_link;
        let link = link.filter(|link| self.is_connected(link.connection));
        // Without the shared clock, the windows of this limiter differ from those of the others.
        let link = link.filter(|_| self.cache.limiter_clock(now).is_some());
        let Some(link) = link else {
            let not_counted = ControlMessage::NotCounted(pending.number);
            return self.send(pending.proxy, &not_counted);
        };
        self.last_batch_number += 1;
        let batch = self.last_batch_number;
        self.pending_batches.insert(batch, pending);
        // A counter that does not answer must not exhaust the memory.
        if self.pending_batches.len() > MAX_PENDING_BATCHES {
            self.pending_batches.pop_first();
        }
        let message = AgentMessage::CounterBatch {
            batch,
            clock_us,
            adds,
        };
        self.send(link.connection, &message);
    }

    /// Requests the limiters' clock, and sends it as the agent has it.
    fn request_clock(&mut self, now: i64, to: ConnectionId) {
        let time = self.cache.limiter_clock(now).unwrap_or(0);
        self.send(to, &AgentMessage::Clock(time));
    }

    /// Sends a heartbeat, and checks the links and whether this limiter is isolated.
    fn run_upkeep(&mut self, now: i64) {
        let next_at = now + HEARTBEAT_INTERVAL;
        self.deadlines.schedule(next_at, Timer::Upkeep);
        if let Some((message, proxy)) = self.cache.check_isolation(now).zip(self.proxy) {
            self.send(proxy, &message);
        }
        self.send_heartbeat();
        if now - self.clock_requested_at >= CLOCK_REQUEST_INTERVAL {
            self.clock_requested_at = now;
            self.request_clocks(now);
        }
        self.close_silent_counter_link(now);
        self.check_link(now);
    }

    /// Requests the clock on all links, and sends the control program the summary of the items.
    fn request_clocks(&mut self, now: i64) {
        let counter_link = self.counter_link.map(|link| link.connection);
        if let Some(id) = counter_link.filter(|id| self.is_connected(*id)) {
            self.request_clock(now, id);
        }
        let link = self.link.as_ref().map(|link| link.connection);
        let candidates = self.candidates.iter().map(|candidate| candidate.connection);
        for id in link.into_iter().chain(candidates).collect::<Vec<_>>() {
            if self.is_connected(id) {
                self.request_link_clock(now, id);
            }
        }
        if let Some(id) = link {
            self.send(id, &self.cache.config_state());
        }
    }

    fn close_silent_counter_link(&mut self, now: i64) {
        let Some(link) = self.counter_link else {
            return;
        };
        let connection = self.connections.get(link.connection);
        let is_silent = connection.is_some_and(|connection| {
            connection.is_connected()
                && now - connection.last_received_at > COUNTER_LINK_IDLE_TIMEOUT
        });
        if is_silent {
            self.handle_connection_lost(now, link.connection);
        }
    }

    /// Starts to shut down: the edge drains until the proxy has ended or the grace period is over.
    fn begin_shutdown(&mut self, now: i64) {
        if std::mem::replace(&mut self.is_shutting_down, true) {
            return;
        }
        self.set_state(self.state);
        self.is_finished |= self.proxy.is_none();
        let end_at = now + self.settings.bounds.grace.0 - GRACE_MARGIN;
        self.deadlines.schedule(end_at, Timer::GracePeriodEnd);
    }
}
