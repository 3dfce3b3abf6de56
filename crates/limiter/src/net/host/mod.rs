//! The state of the event loop: the connections, the engines, and everything that runs between them.

mod clients;
mod cluster;
mod counter_calls;
mod datagrams;
mod discovery;
mod handover;
mod introspection;
mod operators;
mod reload;
mod responses;
mod shutdown;
mod uploads;
mod upstream_requests;

use std::collections::BTreeSet;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use slotmap::SecondaryMap;
use socket2::{Domain, Protocol, Socket, Type};
use streamarch::{ListKind, LoadReport, Micros, Outcome, ServerEntry, ServerId, Settings};

use self::cluster::ClusterNode;
use self::introspection::IntrospectionFrontend;
use self::operators::Operators;
use super::Clock;
use super::framing::{self, IncomingMessage, RequestHead, Response, ResponseHead};
use super::inherited_listener;
use super::operations_file::OperationsFile;
use crate::client_connection::{ClientConnection, Stage};
use crate::config::{Config, IntrospectionConfig};
use crate::counter_client::{self, CounterConnection, CounterResult};
use crate::deadlines::Deadlines;
use crate::engine::{Engine, EngineAction};
use crate::frontend::platform::{self, PlatformFrontend};
use crate::frontend::{Rejection, UpstreamRequest};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::peers::{self, Peers};
use crate::probes;
use crate::relay::Relay;
use crate::routing_table::{RoutingTable, TableUpdate, UnknownServer};
use crate::slots::{AuthorisationKey, ConnectionKey, SlotMap};
use crate::upload::Upload;
use crate::upstreams::{self, ConnectionPool, UpstreamPurpose, UpstreamState};

/// Position of the service of the records servers, which run clients' requests.
const RECORDS_SERVICE: usize = 0;
/// Position of the service of the introspection servers, which look up tokens.
const INTROSPECTION_SERVICE: usize = 1;

/// The position of a service, and the key of one of its authorisations.
type AuthorisationRef = (usize, AuthorisationKey);

/// The front end that a listener belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerKind {
    Platform,
    Introspection,
    Cluster,
}

/// An engine with the connections to its servers and its open requests.
struct Service {
    engine: Engine,
    pool: ConnectionPool,
    /// Authorisations whose final response is owed.
    pending: SecondaryMap<AuthorisationKey, PendingRequest>,
    /// The connections that carry the attempts in flight.
    attempt_connections: SecondaryMap<AuthorisationKey, ConnectionKey>,
}

impl Service {
    fn new(engine: Engine) -> Service {
        Service {
            engine,
            pool: ConnectionPool::default(),
            pending: SecondaryMap::new(),
            attempt_connections: SecondaryMap::new(),
        }
    }
}

/// The role of a connection.
#[derive(Clone, Copy, Debug)]
enum Role {
    /// From a client.
    Client {
        listener: ListenerKind,
        /// The authorisation whose final response it waits for.
        authorisation: Option<AuthorisationRef>,
    },
    /// To a server of this service.
    Upstream {
        service: usize,
        server: ServerId,
        state: UpstreamState,
    },
    /// To the counter; the index of the counter connection.
    Counter(usize),
    /// To discovery.
    DiscoveryWatch,
    /// To another member of the configuration cluster; its index among the peers.
    ClusterPeer(usize),
    /// From an operator.
    Operator,
}

/// A TCP connection with its buffers. Which fields are used depends on its role.
struct Connection {
    stream: Rc<TcpStream>,
    /// Its registration with the event loop.
    registration: Option<RegistrationToken>,
    role: Role,
    is_established: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes of `output` that are already written.
    written_bytes: usize,
    /// The state machine of a client's connection.
    client: ClientConnection,
    /// The earliest timer scheduled for a client's connection.
    timer_at: Micros,
    /// Reading has stopped while more input may be available. Polling is edge-triggered: no event will report it again.
    has_unread: bool,
    /// The message that is being received.
    read_state: ReadState,
    /// The client was sent `100 Continue` for its request.
    continue_sent: bool,
    /// When input last arrived.
    last_received_at: Micros,
    /// More of the request body that is streamed to the server is still to come.
    is_uploading: bool,
    /// The server's connection from which the client's response is being streamed.
    streaming_from: Option<ConnectionKey>,
    /// Bytes discarded after the client's last response.
    discarded_bytes: usize,
    /// The client asked to close the connection after the response, or its request was malformed.
    close_after_response: bool,
    /// The connection is closed once all output is written.
    close_when_written: bool,
    /// A write has failed. The kernel returns an error to one call only, so that an end of input says nothing afterwards.
    has_failed_write: bool,
    /// The peer has closed its sending direction in order, and all input before that was read.
    has_ended_in_order: bool,
}

/// The message that is being received on a connection.
#[derive(Debug, Default)]
enum ReadState {
    #[default]
    Idle,
    Request(IncomingMessage<RequestHead>),
    /// Part of a response has arrived; it is parsed from its start each time.
    ResponseStarted,
    Response(IncomingMessage<ResponseHead>),
    /// A request body that is streamed to a server.
    Upload(Upload),
    /// A response that is streamed to the client with this connection.
    Relay(Relay, ConnectionKey),
}

impl Connection {
    /// Bytes received that were neither processed nor forwarded yet.
    fn buffered_bytes(&self) -> usize {
        let body = match &self.read_state {
            ReadState::Request(incoming) => incoming.body.len(),
            ReadState::Upload(upload) => upload.buffered_bytes(),
            ReadState::Idle
            | ReadState::ResponseStarted
            | ReadState::Response(_)
            | ReadState::Relay(..) => 0,
        };
        self.input.len() + body
    }

    /// The streamed request body, while it is still arriving.
    fn active_upload(&self) -> Option<&Upload> {
        match &self.read_state {
            ReadState::Upload(upload) if !upload.is_complete() => Some(upload),
            _ => None,
        }
    }

    /// Whether the request is completely written.
    fn has_sent_all(&self) -> bool {
        self.backlog_bytes() == 0 && !self.is_uploading && !self.has_failed_write
    }

    /// Bytes of output that are not written yet.
    fn backlog_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }
}

/// Why reading into the input buffer stopped.
enum FillResult {
    /// All available input was read.
    WouldBlock,
    /// The buffer limit is reached; more input may be available.
    LimitReached,
    /// The other side has closed its sending direction.
    Eof,
    /// The connection failed.
    Failed,
}

/// Scheduled work.
#[derive(Debug)]
enum Timer {
    ConnectTimeout(ConnectionKey),
    /// The deadline of an attempt or a health check.
    UpstreamDeadline(ConnectionKey, UpstreamPurpose),
    /// Checks that more of a response that has begun has arrived.
    ResponseIdle(ConnectionKey, UpstreamPurpose),
    /// Checks that more of a streamed response has arrived.
    RelayIdle(ConnectionKey),
    /// The deadline of a client's connection.
    Client(ConnectionKey),
    /// The time-out of a call on this counter connection.
    CounterTimeout(usize),
    ExpireIdleUpstreams,
    RaftTick,
    /// Resumes accepting after a pause.
    RetryAccept,
    WatchRetry,
    /// Checks that the discovery watch has received input after the given time.
    WatchIdle(ConnectionKey, Micros),
    /// The end of the notice period of a drain or of the shutdown.
    NoticeExpired,
    ShutdownTimeout,
    OperatorIdle,
    PollOperationsFile,
}

/// A request whose final response is owed.
struct PendingRequest {
    /// The client's connection.
    connection: ConnectionKey,
    /// The request as it is sent to a server.
    upstream_request: UpstreamRequest,
    kind: RequestKind,
}

/// The kind of a request, which decides how its final response is handled.
enum RequestKind {
    /// A request in the platform's protocol.
    Platform,
    /// A request at the introspection front end whose bearer token was resolved to a customer.
    Bearer,
    /// The look-up of a bearer token; with its result the held request is submitted.
    TokenLookup(Box<introspection::BearerRequest>),
    /// A caller's introspection request for this token.
    Introspection(crate::frontend::introspection::Token),
}

/// The watch on discovery's list of servers.
#[derive(Default)]
struct DiscoveryWatch {
    connection: Option<ConnectionKey>,
    /// Reads the body of the response; set once its head is complete.
    body: Option<framing::BodyReader>,
    /// Received bytes of the next line.
    partial_line: Vec<u8>,
    last_received_at: Micros,
    /// The delay before the watch is opened again after a loss.
    retry_delay: Micros,
}

/// The state of the limiter's event loop.
pub struct Host {
    loop_handle: LoopHandle<'static, Host>,
    clock: Clock,
    limits: Limits,
    name: String,
    lifecycle: Lifecycle,
    operators: Option<Operators>,
    operations_file: Option<OperationsFile>,
    connections: SlotMap<ConnectionKey, Connection>,
    client_count: usize,
    deadlines: Deadlines<Timer>,
    /// Connections with new output to be written in this turn.
    unflushed: Vec<ConnectionKey>,
    /// Connections to be read again in this turn: their input had to wait.
    reread: Vec<ConnectionKey>,
    /// Bytes buffered of all clients' requests that are arriving or not answered yet.
    buffered_bytes: usize,
    /// Ids of the requests whose final responses are owed.
    open_request_ids: BTreeSet<String>,
    /// When it was last logged that accepting is paused.
    accept_pause_logged_at: Micros,
    /// The buffer of each read of a socket.
    read_buffer: Vec<u8>,
    /// The engines' actions; empty between uses, kept for its allocation.
    actions: Vec<EngineAction>,
    listeners: Vec<(ListenerKind, Rc<TcpListener>, RegistrationToken)>,
    is_accepting: bool,
    platform: PlatformFrontend,
    services: Vec<Service>,
    introspection: Option<IntrospectionFrontend>,
    cluster: Option<ClusterNode>,
    routing_table: RoutingTable,
    discovery_address: SocketAddr,
    /// The address in the configuration file, which the environment may override.
    discovery_address_in_file: Option<SocketAddr>,
    watch: DiscoveryWatch,
    counter_address: Option<SocketAddr>,
    counter_connections: Vec<CounterConnection>,
    peer_socket: Option<UdpSocket>,
    peers: Peers,
    plan_count: usize,
    /// Health checks request load reports.
    fetch_load_reports: bool,
    /// This and the settings are those of the start: a reload does not change them.
    listen_address: SocketAddr,
    settings: Settings,
}

/// Starts to connect; the connection is established later.
fn nonblocking_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM.nonblocking().cloexec(),
        Some(Protocol::TCP),
    )?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(EINPROGRESS) => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// Linux's error number for a connect that continues in the background. The standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Whether an idle connection is still usable: there is no input, and the other side has not closed it.
fn has_no_input(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

fn bind_listener(address: SocketAddr, limits: &Limits) -> io::Result<TcpListener> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    // Hundreds of connections may arrive at once. One that finds the queue full is retried only after a second.
    socket.listen(limits.listen_backlog)?;
    Ok(socket.into())
}

/// Opens the socket for other limiters' notices. `shared`: another process of this limiter may have bound the address
/// as well. Both have to allow that, and the one that bound last receives the datagrams.
fn bind_peer_socket(address: SocketAddr, shared: bool) -> io::Result<UdpSocket> {
    let kind = Type::DGRAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::UDP))?;
    socket.set_reuse_address(shared)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Registers a listener with the event loop; `accept` is called when connections are waiting.
fn register_listener(
    loop_handle: &LoopHandle<'static, Host>,
    listener: TcpListener,
    accept: fn(&mut Host),
) -> io::Result<(Rc<TcpListener>, RegistrationToken)> {
    let listener = Rc::new(listener);
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let on_ready = move |_: Readiness, _: &mut _, host: &mut Host| {
        accept(host);
        Ok(PostAction::Continue)
    };
    let registration = loop_handle
        .insert_source(source, on_ready)
        .map_err(|e| e.error)?;
    Ok((listener, registration))
}

impl Host {
    /// Opens the sockets. Until discovery answers, the list of servers is the one cached in the configuration.
    ///
    /// # Errors
    /// An address can't be used, or a file can't be read or written.
    pub fn open(
        config: Config,
        loop_handle: LoopHandle<'static, Host>,
        clock: Clock,
    ) -> io::Result<Host> {
        let limits = config.limits;
        let mut routing_table = RoutingTable::new(
            config.names.zones.clone(),
            config.names.machine_types.clone(),
        );
        let settings = config.settings;
        let initial_settings = settings.clone();
        let platform = PlatformFrontend {
            names: config.names,
            classes: settings.classes.clone(),
            limiter_count: settings.gateway_count,
        };
        let can_notify_peers = settings.can_notify_gateways;
        let cached_servers = routing_table
            .load_cached(&config.cached_servers)
            .unwrap_or_else(|error| {
                tracing::warn!(limiter = %config.name, "cached server list rejected: {error}");
                TableUpdate::new(ListKind::Cached)
            });
        let plan_count = settings.plans.len();
        let counter_address = config.counter.filter(|_| settings.counter_available);
        let mut listeners = Vec::new();
        let mut add_listener = |kind: ListenerKind, listener: TcpListener| {
            let (listener, registration) =
                register_listener(&loop_handle, listener, Host::accept_clients)?;
            listeners.push((kind, listener, registration));
            io::Result::Ok(())
        };
        let platform_listener = match config.inherited_listener {
            Some(number) => {
                inherited_listener::duplicate(number, config.listen).map_err(io::Error::other)?
            }
            None => bind_listener(config.listen, &limits)?,
        };
        add_listener(ListenerKind::Platform, platform_listener)?;
        let mut services = vec![Service::new(Engine::new(
            settings,
            config.seed,
            limits.max_authorisations,
        ))];
        let mut introspection = None;
        if let Some(introspection_config) = config.introspection {
            add_listener(
                ListenerKind::Introspection,
                bind_listener(introspection_config.listen, &limits)?,
            )?;
            services.push(Service::new(Engine::new(
                introspection_config.settings.clone(),
                !config.seed,
                limits.max_authorisations,
            )));
            introspection = Some(IntrospectionFrontend::new(introspection_config, plan_count));
        }
        let mut cluster_node = None;
        if let Some(cluster) = &config.raft {
            add_listener(
                ListenerKind::Cluster,
                bind_listener(cluster.listen, &limits)?,
            )?;
            cluster_node = Some(ClusterNode::open(cluster)?);
        }
        let peer_socket = match config.peer_listen.filter(|_| can_notify_peers) {
            Some(address) => {
                let socket = bind_peer_socket(address, config.inherited_listener.is_some())?;
                let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
                let on_ready = |_: Readiness, _: &mut _, host: &mut Host| {
                    host.read_peer_datagrams();
                    Ok(PostAction::Continue)
                };
                loop_handle
                    .insert_source(source, on_ready)
                    .map_err(|e| e.error)?;
                Some(socket)
            }
            None => None,
        };
        let mut host = Host {
            loop_handle,
            clock,
            name: config.name,
            lifecycle: Lifecycle::new(config.inherited_listener.is_some()),
            operators: None,
            operations_file: None,
            connections: SlotMap::with_key(),
            client_count: 0,
            deadlines: Deadlines::default(),
            unflushed: Vec::new(),
            reread: Vec::new(),
            buffered_bytes: 0,
            open_request_ids: BTreeSet::new(),
            accept_pause_logged_at: Micros::MIN / 2,
            read_buffer: vec![0; limits.read_buffer_bytes],
            actions: Vec::new(),
            listeners,
            is_accepting: true,
            platform,
            services,
            introspection,
            cluster: cluster_node,
            routing_table,
            discovery_address: config.discovery,
            discovery_address_in_file: config.file_discovery,
            watch: DiscoveryWatch {
                retry_delay: limits.watch_retry_delay,
                ..DiscoveryWatch::default()
            },
            counter_address,
            counter_connections: (0..limits.counter_connections)
                .map(|_| CounterConnection::default())
                .collect(),
            peer_socket,
            peers: Peers::new(config.peers),
            plan_count,
            fetch_load_reports: config.probes_report_load,
            listen_address: config.listen,
            settings: initial_settings,
            limits,
        };
        host.apply_table_update(cached_servers);
        if let Some(directory) = &config.handover_folder {
            host.open_operations_file(directory);
        }
        if let Some(address) = config.ops_listen {
            host.listen_to_operators(address)?;
        }
        host.list_introspection_servers();
        if host.cluster.is_some() {
            host.deadlines.schedule(host.now(), Timer::RaftTick);
        }
        host.open_discovery_watch();
        for index in 0..host.counter_connections.len() {
            host.connect_counter(index);
        }
        host.deadlines.schedule(
            host.now() + host.limits.upstream_idle_timeout / 4,
            Timer::ExpireIdleUpstreams,
        );
        host.log(&format!("serving on {}", host.addresses()?.0));
        Ok(host)
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// The addresses on which clients are accepted: the platform front end's, and the introspection front end's if it
    /// is enabled.
    ///
    /// # Errors
    /// The address of a socket can't be read, or the platform's listener is closed.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        let address = |kind| {
            self.listeners
                .iter()
                .find(|(k, _, _)| *k == kind)
                .map(|(_, l, _)| l.local_addr())
        };
        let platform = address(ListenerKind::Platform)
            .unwrap_or_else(|| Err(io::ErrorKind::NotConnected.into()))?;
        Ok((platform, address(ListenerKind::Introspection).transpose()?))
    }

    /// When the next turn is due without any event.
    pub fn next_wakeup(&self) -> Option<Micros> {
        if !self.reread.is_empty() {
            return Some(Micros::MIN);
        }
        let engines = self
            .services
            .iter()
            .filter_map(|service| service.engine.next_wakeup());
        self.deadlines.earliest().into_iter().chain(engines).min()
    }

    /// Whether the shutdown is finished.
    pub fn is_finished(&self) -> bool {
        self.lifecycle.is_finished()
    }

    fn log(&self, text: &str) {
        tracing::info!(limiter = %self.name, "{text}");
    }

    /// Logs what may need an operator's attention.
    fn warn(&self, text: &str) {
        tracing::warn!(limiter = %self.name, "{text}");
    }

    /// One turn after the input was read: handles due timers, runs the engines, and writes all output.
    pub fn run_turn(&mut self) {
        let now = self.now();
        while let Some(timer) = self.deadlines.pop_due(now) {
            self.handle_timer(now, timer);
        }
        for service in 0..self.services.len() {
            let mut actions = std::mem::take(&mut self.actions);
            self.services[service].engine.run(now, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(now, service, action);
            }
            self.actions = actions;
        }
        for index in 0..self.counter_connections.len() {
            self.write_counter_calls(now, index);
        }
        // One request of each connection per turn: a client that pipelines many does not delay the others.
        for key in std::mem::take(&mut self.reread) {
            self.read_connection(key);
        }
        for key in std::mem::take(&mut self.unflushed) {
            self.flush(key);
        }
        let is_finishing =
            self.lifecycle.is_shutting_down() && !self.lifecycle.is_accepting(now, &self.limits);
        if is_finishing && self.client_count == 0 && !self.lifecycle.is_finished() {
            self.log("all client connections closed, exiting");
            self.lifecycle.finish_shutdown();
        }
    }

    fn handle_timer(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::ConnectTimeout(key) => {
                if self.connections.get(key).is_some_and(|c| !c.is_established) {
                    self.handle_broken_connection(key);
                }
            }
            Timer::UpstreamDeadline(key, purpose) => {
                let role = self.connections.get(key).map(|c| c.role);
                let Some(Role::Upstream {
                    service,
                    server,
                    state,
                }) = role
                else {
                    return;
                };
                if state.purpose() == Some(purpose) {
                    self.end_upstream_request(
                        service,
                        server,
                        purpose,
                        state.outcome_if_timed_out(),
                        None,
                    );
                    self.close(key);
                }
            }
            Timer::ResponseIdle(key, purpose) => {
                let Some(connection) = self.connections.get(key) else {
                    return;
                };
                let Role::Upstream {
                    service,
                    server,
                    state,
                } = connection.role
                else {
                    return;
                };
                let deadline = connection.last_received_at + self.limits.response_idle_timeout;
                if state.purpose() == Some(purpose) && deadline > now {
                    self.deadlines
                        .schedule(deadline, Timer::ResponseIdle(key, purpose));
                } else if state.purpose() == Some(purpose) {
                    // The response is truncated although its connection stays open: the request has run, and the rest
                    // will not arrive.
                    self.end_upstream_request(service, server, purpose, Outcome::Error, None);
                    self.close(key);
                }
            }
            Timer::RelayIdle(key) => self.handle_relay_idle(now, key),
            Timer::Client(key) => self.handle_client_deadline(now, key),
            Timer::CounterTimeout(index) => self.expire_counter_calls(now, index),
            Timer::ExpireIdleUpstreams => {
                let idle_since = now - self.limits.upstream_idle_timeout;
                let expired = self
                    .services
                    .iter_mut()
                    .flat_map(|service| service.pool.take_expired(idle_since));
                for key in expired.collect::<Vec<_>>() {
                    self.close(key);
                }
                self.deadlines.schedule(
                    now + self.limits.upstream_idle_timeout / 4,
                    Timer::ExpireIdleUpstreams,
                );
            }
            Timer::RaftTick => self.raft_tick(now),
            Timer::RetryAccept => self.resume_accepting(),
            // A reload may have opened a new watch meanwhile.
            Timer::WatchRetry if self.watch.connection.is_some() => {}
            Timer::WatchRetry => self.open_discovery_watch(),
            Timer::WatchIdle(key, last_received_at) => {
                if self.watch.connection != Some(key) {
                } else if self.watch.last_received_at <= last_received_at {
                    self.warn("discovery watch timed out: reconnecting");
                    self.handle_broken_connection(key);
                } else {
                    let last_received_at = self.watch.last_received_at;
                    self.deadlines.schedule(
                        last_received_at + self.limits.watch_idle_timeout,
                        Timer::WatchIdle(key, last_received_at),
                    );
                }
            }
            Timer::NoticeExpired => self.handle_notice_expired(),
            Timer::ShutdownTimeout => self.lifecycle.finish_shutdown(),
            Timer::OperatorIdle => self.close_overdue_operators(now),
            Timer::PollOperationsFile => self.poll_operations_file(),
        }
    }

    /// Executes an action of a service's engine.
    fn execute_action(&mut self, now: Micros, service: usize, action: EngineAction) {
        match action {
            EngineAction::StartAttempt {
                key,
                attempt,
                server,
                deadline,
            } => self.start_attempt(now, (service, key), attempt, server, deadline),
            EngineAction::CancelAttempt { key, .. } => {
                self.detach_upload(service, key);
                if let Some(connection) = self.services[service].attempt_connections.remove(key) {
                    self.close(connection);
                }
            }
            EngineAction::Reject { key, rejection } => {
                self.handle_engine_rejection((service, key), rejection)
            }
            EngineAction::AddToCounter { key, amount, ttl } => {
                let index = (key.0 % self.counter_connections.len().max(1) as u64) as usize;
                let deadline = now + self.limits.counter_timeout;
                let (counter_connection, limits) = (&self.counter_connections[index], &self.limits);
                let is_unusable = counter_connection
                    .is_idle_since(now - limits.counter_idle_timeout)
                    || counter_connection.is_silent_since(now - limits.counter_stale_timeout);
                if let Some(old) = counter_connection.connection.filter(|_| is_unusable) {
                    // On an idle connection the call could cross the counter's close; on a stale one it would wait
                    // behind calls that a dead counter never answers.
                    self.handle_broken_connection(old);
                }
                self.counter_connections[index].enqueue(service, key, amount, ttl, deadline);
                self.deadlines
                    .schedule(deadline, Timer::CounterTimeout(index));
                if self.counter_connections[index].connection.is_none() {
                    self.connect_counter(index);
                }
            }
            EngineAction::Probe(server) => self.start_upstream_request(
                now,
                service,
                server,
                UpstreamPurpose::Probe,
                now + self.limits.probe_timeout,
            ),
            EngineAction::Notify(number, notice) => {
                let address = self.peers.address(number);
                if let (Some(address), Some(socket), Some(bytes)) =
                    (address, &self.peer_socket, peers::encode_notice(&notice))
                {
                    // A failure is ignored: datagrams may be lost anyway.
                    let _ = socket.send_to(&bytes, address);
                }
            }
            EngineAction::Log(text) => self.log(&text),
        }
    }

    /// Adds a connection and registers it with the event loop.
    fn register_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        is_established: bool,
    ) -> io::Result<ConnectionKey> {
        let now = self.now();
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let key = self.connections.insert(Connection {
            stream,
            registration: None,
            role,
            is_established,
            input: Vec::new(),
            output: Vec::new(),
            written_bytes: 0,
            client: ClientConnection::new(now),
            timer_at: Micros::MAX,
            has_unread: false,
            read_state: ReadState::Idle,
            continue_sent: false,
            last_received_at: now,
            is_uploading: false,
            streaming_from: None,
            discarded_bytes: 0,
            close_after_response: false,
            close_when_written: false,
            has_failed_write: false,
            has_ended_in_order: false,
        });
        let on_ready = move |_: Readiness, _: &mut _, host: &mut Host| {
            host.handle_ready(key);
            Ok(PostAction::Continue)
        };
        match self.loop_handle.insert_source(source, on_ready) {
            Ok(registration) => {
                self.connections[key].registration = Some(registration);
                Ok(key)
            }
            Err(error) => {
                self.connections.remove(key);
                Err(error.error.into())
            }
        }
    }

    /// Opens a connection, which must be established within the connect time-out.
    fn connect(&mut self, address: SocketAddr, role: Role) -> io::Result<ConnectionKey> {
        let key = self.register_connection(nonblocking_connect(address)?, role, false)?;
        self.deadlines.schedule(
            self.now() + self.limits.connect_timeout,
            Timer::ConnectTimeout(key),
        );
        Ok(key)
    }

    /// Closes a connection and removes it from all tables.
    fn close(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        if let Some(registration) = connection.registration {
            self.loop_handle.remove(registration);
        }
        match connection.role {
            Role::Client { .. } => {
                self.client_count -= 1;
                self.buffered_bytes -= connection.buffered_bytes();
                self.resume_accepting();
                // The rest of a streamed response has no receiver any more.
                connection
                    .streaming_from
                    .into_iter()
                    .for_each(|source| _ = self.close(source));
            }
            Role::Upstream {
                service, server, ..
            } => self.services[service].pool.record_closed(server, key),
            Role::Operator => self.remove_operator(key),
            Role::Counter(_) | Role::DiscoveryWatch | Role::ClusterPeer(_) => {}
        }
        Some(connection)
    }

    /// A connection was closed by the other side, failed, or was never established.
    fn handle_broken_connection(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.close(key) else {
            return;
        };
        match connection.role {
            Role::Client {
                authorisation: Some(authorisation),
                ..
            } => self.abandon_authorisation(now, authorisation),
            Role::Client {
                authorisation: None,
                ..
            } => {}
            Role::Upstream {
                service,
                server,
                state,
            } => {
                if let ReadState::Relay(_, client_key) = connection.read_state {
                    // The client's connection is closed as well, so that it notices the truncation.
                    self.close(client_key);
                }
                if let Some(purpose) = state.purpose() {
                    // Here only an introspection server's response may end with its connection: a truncated one is
                    // rejected by its content.
                    let ends_at_close =
                        service == INTROSPECTION_SERVICE && connection.has_ended_in_order;
                    let parsed = ends_at_close
                        .then(|| framing::parse_response(&connection.input, true, &self.limits));
                    let response = parsed
                        .and_then(Result::ok)
                        .flatten()
                        .map(|(response, _)| response);
                    self.end_upstream_request(
                        service,
                        server,
                        purpose,
                        state.outcome_if_broken(),
                        response,
                    );
                }
            }
            Role::Counter(index) => {
                let mut results = Vec::new();
                self.counter_connections[index].handle_disconnect(&mut results);
                self.deliver_counter_results(results);
            }
            Role::DiscoveryWatch => self.schedule_watch_retry(),
            Role::ClusterPeer(index) => self.handle_peer_lost(index),
            Role::Operator => {}
        }
    }

    /// No client waits for an authorisation any more: drops its pending request, and tells the engine.
    fn abandon_authorisation(&mut self, now: Micros, authorisation: AuthorisationRef) {
        self.take_pending(authorisation);
        let mut actions = std::mem::take(&mut self.actions);
        self.services[authorisation.0]
            .engine
            .handle_client_disconnected(now, authorisation.1, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(now, authorisation.0, action);
        }
        self.actions = actions;
    }

    /// Abandons the request of a client whose connection stays open; its response will not come from the engine.
    fn abandon_client_request(&mut self, key: ConnectionKey) {
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(key)
            && let Role::Client { authorisation, .. } = &mut connection.role
            && let Some(authorisation) = authorisation.take()
        {
            self.abandon_authorisation(now, authorisation);
        }
    }

    /// A connection is readable or writable, or was established.
    fn handle_ready(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if !connection.is_established {
            match connection.stream.take_error() {
                Ok(None) if connection.stream.peer_addr().is_ok() => {
                    connection.is_established = true
                }
                Ok(None) => return,
                _ => return self.handle_broken_connection(key),
            }
            self.handle_established(key);
        }
        if self
            .connections
            .get(key)
            .is_some_and(|c| c.written_bytes < c.output.len())
        {
            self.flush(key);
        }
        self.read_connection(key);
    }

    /// A connection that was opened here is established: queues its first output.
    fn handle_established(&mut self, key: ConnectionKey) {
        let now = self.now();
        match self.connections.get(key).map(|c| c.role) {
            Some(Role::Upstream { .. }) => self.send_upstream_request(now, key),
            Some(Role::Counter(index)) => {
                self.counter_connections[index].handle_connected(now);
                self.write_counter_calls(now, index);
            }
            Some(Role::DiscoveryWatch) => {
                let request = format!(
                    "GET /discovery/hosts?watch=1&from={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                    self.routing_table.list_version, self.discovery_address
                );
                self.queue_output(key, request.as_bytes());
                self.watch.last_received_at = now;
                self.deadlines.schedule(
                    now + self.limits.watch_idle_timeout,
                    Timer::WatchIdle(key, now),
                );
            }
            Some(Role::Client { .. } | Role::ClusterPeer(_) | Role::Operator) | None => {}
        }
    }

    /// How many bytes may be read from a connection now.
    fn read_capacity(&self, connection: &Connection) -> usize {
        let limits = &self.limits;
        let max_input_bytes = match (connection.role, connection.client.stage) {
            (Role::Client { .. }, Stage::Idle | Stage::Receiving) => {
                limits.max_head_bytes + 2 * limits.max_buffered_body_bytes
            }
            (Role::Client { .. }, Stage::Processing) if connection.active_upload().is_some() => {
                // Bounds memory when a client sends its body faster than the server reads it.
                let attempt = connection
                    .active_upload()
                    .and_then(Upload::attempt)
                    .and_then(|attempt| self.connections.get(attempt));
                let buffered_bytes = attempt.map_or(connection.buffered_bytes(), |attempt| {
                    attempt.backlog_bytes() + connection.input.len()
                });
                return limits.relay_window_bytes.saturating_sub(buffered_bytes);
            }
            // Bounds memory when a client keeps sending while its request is in progress. A little is read, so that a
            // disconnect is noticed.
            (Role::Client { .. }, Stage::Processing | Stage::Responding) => {
                limits.max_pipelined_bytes
            }
            (Role::Client { .. }, Stage::Lingering) => {
                return limits
                    .max_linger_bytes
                    .saturating_sub(connection.discarded_bytes);
            }
            (Role::Upstream { .. }, _) => {
                // Bounds memory when a client reads its streamed response more slowly than the server sends it.
                let max_input_bytes = match &connection.read_state {
                    ReadState::Relay(_, client_key) => {
                        let backlog_bytes = self
                            .connections
                            .get(*client_key)
                            .map_or(0, Connection::backlog_bytes);
                        limits.relay_window_bytes.saturating_sub(backlog_bytes)
                    }
                    _ => limits.max_head_bytes + 2 * limits.max_buffered_body_bytes,
                };
                return max_input_bytes.saturating_sub(connection.input.len());
            }
            (Role::Operator, _) => {
                return (limits.max_operator_line_bytes + 2).saturating_sub(connection.input.len());
            }
            // Bounds memory when a peer sends without end.
            _ => {
                let max_input_bytes = limits.max_head_bytes
                    + limits.max_buffered_body_bytes
                    + limits.max_watch_line_bytes;
                return max_input_bytes.saturating_sub(connection.input.len());
            }
        };
        // Each connection may buffer a request of usual size even when large ones have used up the shared limit.
        let shared_capacity = limits
            .max_pending_request_bytes
            .saturating_sub(self.buffered_bytes);
        let reserved_capacity = limits
            .max_pipelined_bytes
            .saturating_sub(connection.input.len());
        max_input_bytes
            .saturating_sub(connection.input.len())
            .min(shared_capacity.max(reserved_capacity))
    }

    /// Reads all available input into the buffer, up to its limit.
    fn fill_input(&mut self, key: ConnectionKey) -> Option<FillResult> {
        let now = self.now();
        loop {
            let capacity = self.connections.get(key).map(|c| self.read_capacity(c))?;
            let connection = self.connections.get_mut(key)?;
            let is_client = matches!(connection.role, Role::Client { .. });
            connection.has_unread = capacity == 0;
            if capacity == 0 {
                return Some(FillResult::LimitReached);
            }
            let size = capacity.min(self.read_buffer.len());
            match (&*connection.stream).read(&mut self.read_buffer[..size]) {
                Ok(0) if connection.has_failed_write => return Some(FillResult::Failed),
                Ok(0) => {
                    connection.has_ended_in_order = true;
                    return Some(FillResult::Eof);
                }
                Ok(length) if is_client && connection.client.stage == Stage::Lingering => {
                    connection.discarded_bytes += length
                }
                Ok(length) => {
                    connection.last_received_at = now;
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    self.buffered_bytes += if is_client { length } else { 0 };
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Some(FillResult::WouldBlock);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Some(FillResult::Failed),
            }
        }
    }

    /// Reads the available input and processes it; an end of input is handled after that.
    fn read_connection(&mut self, key: ConnectionKey) {
        for _ in 0..self.limits.max_reads_per_turn.max(1) {
            let Some(fill_result) = self.fill_input(key) else {
                return;
            };
            match self
                .connections
                .get(key)
                .map(|c| (c.role, c.input.is_empty()))
            {
                // A request that is read together with the end of its connection, as after a pause of this process, is
                // not submitted: its client has left, and the connection is closed below. Submitting it would cost a
                // call to the counter, and a burst of such calls starves those of the other limiters.
                Some((Role::Client { .. }, false)) if !matches!(fill_result, FillResult::Eof) => {
                    self.read_request(key)
                }
                Some((Role::Upstream { .. }, false)) => self.read_upstream_response(key),
                Some((Role::Counter(index), false)) => self.read_counter_responses(key, index),
                Some((Role::DiscoveryWatch, false)) => self.read_discovery_watch(key),
                Some((Role::ClusterPeer(_), false)) => self.read_cluster_responses(key),
                Some((Role::Operator, false)) => self.read_operator_command(key),
                _ => {}
            }
            match fill_result {
                FillResult::WouldBlock => return,
                FillResult::Eof => {
                    // This may be the regular end of a response.
                    self.handle_upstream_eof(key);
                    return self.handle_broken_connection(key);
                }
                FillResult::Failed => return self.handle_broken_connection(key),
                FillResult::LimitReached => {}
            }
            let Some(connection) = self.connections.get(key) else {
                return;
            };
            let has_capacity = self.read_capacity(connection) > 0;
            match connection.role {
                // Further input waits until the request before it is answered.
                Role::Client { .. } if !has_capacity => return,
                Role::Client { .. }
                    if connection.client.stage != Stage::Receiving
                        && connection.active_upload().is_none() =>
                {
                    return;
                }
                // Further input waits until the client has read what is buffered for it.
                Role::Upstream { .. } if !has_capacity => return,
                _ if !has_capacity => return self.handle_broken_connection(key),
                _ => {}
            }
        }
        // The bound on reads lets other connections have their turn first.
        self.reread.push(key);
    }

    /// Appends bytes to a connection's output, to be written at the end of the turn.
    fn queue_output(&mut self, key: ConnectionKey, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.output.extend_from_slice(bytes);
            self.unflushed.push(key);
        }
    }

    /// A write has failed. What a server has sent before may be its whole response, or say that the request was not run: it is
    /// read before the connection counts as broken.
    fn handle_failed_write(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.has_failed_write = true;
        connection.output.clear();
        connection.written_bytes = 0;
        if matches!(connection.role, Role::Upstream { .. }) {
            self.read_connection(key);
        }
        // The rest of a streamed response is read once its client has taken what was forwarded.
        let has_more = self.connections.get(key).is_some_and(|connection| {
            connection.has_unread && matches!(connection.read_state, ReadState::Relay(..))
        });
        if !has_more {
            self.handle_broken_connection(key);
        }
    }

    /// Writes a connection's output, as far as it is accepted.
    fn flush(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(key).filter(|c| c.is_established) else {
            return;
        };
        while connection.written_bytes < connection.output.len() {
            match (&*connection.stream).write(&connection.output[connection.written_bytes..]) {
                Ok(length) => {
                    connection.written_bytes += length;
                    connection.client.record_write_progress(now);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.handle_write_blocked(key);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.handle_failed_write(key),
            }
        }
        connection.output.clear();
        connection.written_bytes = 0;
        if connection.streaming_from.is_some() {
            return self.resume_relay(key);
        }
        if connection.is_uploading {
            return self.resume_upload(key);
        }
        // After one large message the buffer would otherwise keep its size for the lifetime of the connection.
        connection.output.shrink_to(4 * 1024);
        if let Role::Upstream { service, state, .. } = &mut connection.role {
            let previous_state = std::mem::replace(state, state.on_request_written());
            if let (true, Some(UpstreamPurpose::Attempt(authorisation, attempt))) =
                (previous_state != *state, state.purpose())
            {
                self.services[*service]
                    .engine
                    .handle_request_written(now, authorisation, attempt);
            }
        }
        match connection.role {
            Role::Client { .. } => self.handle_response_written(key),
            Role::Operator => self.finish_operator_command(key),
            _ if connection.close_when_written => _ = self.close(key),
            _ => {}
        }
    }
}
