//! The host: connections, and who is behind them.

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

/// Positions of the services: the records servers, and the introspection servers that we ask.
const RECORDS_SERVICE: usize = 0;
const INTROSPECTION_SERVICE: usize = 1;

/// An authorisation of a service.
type AuthorisationRef = (usize, AuthorisationKey);

/// The fronts that listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerKind {
    Platform,
    Introspection,
    Cluster,
}

/// An engine with its servers and what is out.
struct Service {
    engine: Engine,
    pool: ConnectionPool,
    pending: SecondaryMap<AuthorisationKey, PendingRequest>,
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

/// Whose a connection is.
#[derive(Clone, Copy, Debug)]
enum Role {
    /// The acquirer side: a client's, and what it waits for.
    Client {
        door: ListenerKind,
        waits: Option<AuthorisationRef>,
    },
    /// A server's, of the service whose engine sends to it.
    Upstream {
        service: usize,
        server: ServerId,
        state: UpstreamState,
    },
    /// The counter's, by its line.
    Counter(usize),
    /// Discovery's.
    DiscoveryWatch,
    /// Another member's, among those that agree on the configuration.
    ClusterPeer(usize),
    /// An operator's.
    Operator,
}

struct Connection {
    stream: Rc<TcpStream>,
    registration: Option<RegistrationToken>,
    role: Role,
    is_established: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    written_bytes: usize,
    /// Of the acquirer side: where it stands, and the earliest deadline entered for it.
    client: ClientConnection,
    timer_at: Micros,
    /// Reading has stopped though more may be there: no event will tell of it again.
    has_unread: bool,
    /// What is coming in, where it is read as it comes.
    read_state: ReadState,
    /// Of the acquirer side: the client has been told that the body of its request is wanted.
    continue_sent: bool,
    /// When something last came.
    last_received_at: Micros,
    /// Of a server: more of the request that is being written is still to come.
    is_uploading: bool,
    /// Of the acquirer side: the server's connection from which the answer is being relayed.
    streaming_from: Option<ConnectionKey>,
    /// Bytes thrown away after the last answer.
    discarded_bytes: usize,
    /// The client asked that the answer be the last.
    close_after_response: bool,
    /// To be closed once all is written.
    close_when_written: bool,
}

/// A message that is coming in on a connection.
#[derive(Debug, Default)]
enum ReadState {
    #[default]
    Idle,
    Request(IncomingMessage<RequestHead>),
    /// A part of an answer is there, which is looked at anew each time.
    ResponseStarted,
    Response(IncomingMessage<ResponseHead>),
    /// A body that goes on to a server as it comes, and how many bytes of it have.
    Upload(Upload),
    /// An answer that goes on to this client as it comes.
    Relay(Relay, ConnectionKey),
}

impl Connection {
    /// Bytes held of what has come and was not taken yet.
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

    /// The body that still comes of a request which was taken.
    fn active_upload(&self) -> Option<&Upload> {
        match &self.read_state {
            ReadState::Upload(upload) if !upload.is_complete() => Some(upload),
            _ => None,
        }
    }

    /// The request that was to be written is, to its end.
    fn has_sent_all(&self) -> bool {
        self.backlog_bytes() == 0 && !self.is_uploading
    }

    /// Bytes that were not written yet.
    fn backlog_bytes(&self) -> usize {
        self.output.len() - self.written_bytes
    }
}

/// How far reading went.
enum FillResult {
    /// Nothing more is there for now.
    WouldBlock,
    /// More may be there, and is not to be taken in now.
    LimitReached,
    /// The other side sends no more.
    Eof,
    /// The connection broke.
    Failed,
}

/// What falls due.
#[derive(Debug)]
enum Timer {
    ConnectTimeout(ConnectionKey),
    UpstreamDeadline(ConnectionKey, UpstreamPurpose),
    /// An answer to the errand has begun, and more of it is to have come by now.
    ResponseIdle(ConnectionKey, UpstreamPurpose),
    /// More of an answer that is being relayed is to have come by now.
    RelayIdle(ConnectionKey),
    Client(ConnectionKey),
    CounterTimeout(usize),
    ExpireIdleUpstreams,
    RaftTick,
    RetryAccept,
    WatchRetry,
    WatchIdle(ConnectionKey, Micros),
    NoticeExpired,
    ShutdownTimeout,
    OperatorIdle,
    PollOperationsFile,
}

/// An authorisation whose final answer is owed.
struct PendingRequest {
    connection: ConnectionKey,
    forward: UpstreamRequest,
    kind: RequestKind,
}

/// What the answer to an authorisation is for.
enum RequestKind {
    /// A request in the platform's protocol.
    Platform,
    /// The same work asked for with a bearer token, whose it is being known.
    Bearer,
    /// Finding out whose a bearer token is; then the request goes on.
    TokenLookup(Box<introspection::BearerRequest>),
    /// A caller's question about a token.
    Introspection(crate::frontend::introspection::Token),
}

#[derive(Default)]
struct DiscoveryWatch {
    connection: Option<ConnectionKey>,
    /// Where the answer stands, once its head has been read.
    body: Option<framing::BodyReader>,
    partial_line: Vec<u8>,
    last_received_at: Micros,
    retry_delay: Micros,
}

/// All that runs on the loop.
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
    unflushed: Vec<ConnectionKey>,
    /// Clients' connections to be looked at again: what has come on them had to wait.
    reread: Vec<ConnectionKey>,
    /// Bytes of clients' requests that are coming in or not answered yet, on all connections together.
    buffered_bytes: usize,
    /// Ids of the requests whose final answers are owed.
    open_request_ids: BTreeSet<String>,
    /// When it was last logged that there is no room.
    accept_pause_logged_at: Micros,
    read_buffer: Vec<u8>,
    actions: Vec<EngineAction>,
    listeners: Vec<(ListenerKind, Rc<TcpListener>, RegistrationToken)>,
    is_accepting: bool,
    platform: PlatformFrontend,
    services: Vec<Service>,
    introspection: Option<IntrospectionFrontend>,
    cluster: Option<ClusterNode>,
    routing_table: RoutingTable,
    discovery_address: SocketAddr,
    discovery_address_in_file: Option<SocketAddr>,
    watch: DiscoveryWatch,
    counter_address: Option<SocketAddr>,
    counter_connections: Vec<CounterConnection>,
    peer_socket: Option<UdpSocket>,
    peers: Peers,
    plan_count: usize,
    fetch_load_reports: bool,
    /// As at the start: a reload changes neither.
    listen_address: SocketAddr,
    settings: Settings,
}

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

/// Linux's number for a connect that goes on in the background; the standard library has no stable name for it.
const EINPROGRESS: i32 = 115;

/// Whether an idle connection is still whole: nothing has come on it, no end either.
fn has_no_input(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

fn bind_listener(address: SocketAddr, limits: &Limits) -> io::Result<TcpListener> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    // Guards against connections that come by hundreds: one too many for the queue tries again a second later.
    socket.listen(limits.listen_backlog)?;
    Ok(socket.into())
}

/// `shared`: another process of this limiter may hold the address as well. Both have to ask for that, and the one that
/// bound last hears what comes.
fn bind_peer_socket(address: SocketAddr, shared: bool) -> io::Result<UdpSocket> {
    let kind = Type::DGRAM.nonblocking().cloexec();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::UDP))?;
    socket.set_reuse_address(shared)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

fn register_listener(
    handle: &LoopHandle<'static, Host>,
    listener: TcpListener,
    accept: fn(&mut Host),
) -> io::Result<(Rc<TcpListener>, RegistrationToken)> {
    let listener = Rc::new(listener);
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let ready = move |_: Readiness, _: &mut _, host: &mut Host| {
        accept(host);
        Ok(PostAction::Continue)
    };
    let token = handle.insert_source(source, ready).map_err(|e| e.error)?;
    Ok((listener, token))
}

impl Host {
    /// Opens the sockets and starts from the list as last held.
    ///
    /// # Errors
    /// An address can't be used, or a file can't be read or written.
    pub fn open(
        config: Config,
        handle: LoopHandle<'static, Host>,
        clock: Clock,
    ) -> io::Result<Host> {
        let limits = config.limits;
        let mut table = RoutingTable::new(
            config.names.zones.clone(),
            config.names.machine_types.clone(),
        );
        let settings = config.settings;
        let module = settings.clone();
        let platform = PlatformFrontend {
            names: config.names,
            classes: settings.classes.clone(),
            limiter_count: settings.gateway_count,
        };
        let tell = settings.can_notify_gateways;
        let known = table
            .load_cached(&config.cached_servers)
            .unwrap_or_else(|error| {
                tracing::warn!(limiter = %config.name, "known list not taken: {error}");
                TableUpdate::new(ListKind::Cached)
            });
        let plans = settings.plans.len();
        let counter = config.counter.filter(|_| settings.counter_available);
        let mut listeners = Vec::new();
        let mut open_door = |door: ListenerKind, listener: TcpListener| {
            let (listener, token) = register_listener(&handle, listener, Host::accept_clients)?;
            listeners.push((door, listener, token));
            io::Result::Ok(())
        };
        let platform_listener = match config.inherited_listener {
            Some(number) => {
                inherited_listener::duplicate(number, config.listen).map_err(io::Error::other)?
            }
            None => bind_listener(config.listen, &limits)?,
        };
        open_door(ListenerKind::Platform, platform_listener)?;
        let mut services = vec![Service::new(Engine::new(
            settings,
            config.seed,
            limits.max_authorisations,
        ))];
        let mut tokens = None;
        if let Some(front) = config.introspection {
            open_door(
                ListenerKind::Introspection,
                bind_listener(front.listen, &limits)?,
            )?;
            services.push(Service::new(Engine::new(
                front.settings.clone(),
                !config.seed,
                limits.max_authorisations,
            )));
            tokens = Some(IntrospectionFrontend::new(front, plans));
        }
        let mut agreement = None;
        if let Some(cluster) = &config.raft {
            open_door(
                ListenerKind::Cluster,
                bind_listener(cluster.listen, &limits)?,
            )?;
            agreement = Some(ClusterNode::open(cluster)?);
        }
        let datagrams = match config.peer_listen.filter(|_| tell) {
            Some(address) => {
                let socket = bind_peer_socket(address, config.inherited_listener.is_some())?;
                let source = Generic::new(socket.try_clone()?, Interest::READ, Mode::Level);
                let read = |_: Readiness, _: &mut _, host: &mut Host| {
                    host.read_peer_datagrams();
                    Ok(PostAction::Continue)
                };
                handle.insert_source(source, read).map_err(|e| e.error)?;
                Some(socket)
            }
            None => None,
        };
        let mut host = Host {
            loop_handle: handle,
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
            introspection: tokens,
            cluster: agreement,
            routing_table: table,
            discovery_address: config.discovery,
            discovery_address_in_file: config.file_discovery,
            watch: DiscoveryWatch {
                retry_delay: limits.watch_retry_delay,
                ..DiscoveryWatch::default()
            },
            counter_address: counter,
            counter_connections: (0..limits.counter_connections)
                .map(|_| CounterConnection::default())
                .collect(),
            peer_socket: datagrams,
            peers: Peers::new(config.peers),
            plan_count: plans,
            fetch_load_reports: config.probes_report_load,
            listen_address: config.listen,
            settings: module,
            limits,
        };
        host.apply_table_update(known);
        if let Some(folder) = &config.handover_folder {
            host.open_operations_file(folder);
        }
        if let Some(address) = config.ops_listen {
            host.listen_to_operators(address)?;
        }
        host.list_introspection_servers();
        if host.cluster.is_some() {
            host.deadlines.schedule(host.now(), Timer::RaftTick);
        }
        host.open_discovery_watch();
        for line in 0..host.counter_connections.len() {
            host.connect_counter(line);
        }
        host.deadlines.schedule(
            host.now() + host.limits.upstream_idle_timeout / 4,
            Timer::ExpireIdleUpstreams,
        );
        host.log(&format!("serving on {}", host.addresses()?.0));
        Ok(host)
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Where the fronts listen: the platform's, and introspection's if it is on.
    ///
    /// # Errors
    /// The system does not tell an address.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        let of = |door| {
            self.listeners
                .iter()
                .find(|(d, _, _)| *d == door)
                .map(|(_, l, _)| l.local_addr())
        };
        let platform = of(ListenerKind::Platform)
            .unwrap_or_else(|| Err(io::ErrorKind::NotConnected.into()))?;
        Ok((platform, of(ListenerKind::Introspection).transpose()?))
    }

    /// When something is due next.
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

    /// All is done that was to be done.
    pub fn is_finished(&self) -> bool {
        self.lifecycle.is_finished()
    }

    fn log(&self, text: &str) {
        tracing::info!(limiter = %self.name, "{text}");
    }

    /// Logs what those on call may have to act on.
    fn warn(&self, text: &str) {
        tracing::warn!(limiter = %self.name, "{text}");
    }

    /// What is due, what the module decides, what is to be written.
    pub fn run_turn(&mut self) {
        let now = self.now();
        while let Some(due) = self.deadlines.pop_due(now) {
            self.handle_timer(now, due);
        }
        for service in 0..self.services.len() {
            let mut orders = std::mem::take(&mut self.actions);
            self.services[service].engine.run(now, &mut orders);
            for order in orders.drain(..) {
                self.execute_action(now, service, order);
            }
            self.actions = orders;
        }
        for line in 0..self.counter_connections.len() {
            self.write_counter_calls(now, line);
        }
        // One request of each: a client that sends many at once waits for the others.
        for key in std::mem::take(&mut self.reread) {
            self.read_connection(key);
        }
        for key in std::mem::take(&mut self.unflushed) {
            self.flush(key);
        }
        let left =
            self.lifecycle.is_shutting_down() && !self.lifecycle.is_accepting(now, &self.limits);
        if left && self.client_count == 0 && !self.lifecycle.is_finished() {
            self.log("all answered, ending");
            self.lifecycle.finish_shutdown();
        }
    }

    fn handle_timer(&mut self, now: Micros, due: Timer) {
        match due {
            Timer::ConnectTimeout(key) => {
                if self.connections.get(key).is_some_and(|c| !c.is_established) {
                    self.handle_broken_connection(key);
                }
            }
            Timer::UpstreamDeadline(key, errand) => {
                let role = self.connections.get(key).map(|c| c.role);
                let Some(Role::Upstream {
                    service,
                    server,
                    state,
                }) = role
                else {
                    return;
                };
                if state.purpose() == Some(errand) {
                    self.end_upstream_request(
                        service,
                        server,
                        errand,
                        state.outcome_if_timed_out(),
                        None,
                    );
                    self.close(key);
                }
            }
            Timer::ResponseIdle(key, errand) => {
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
                let until = connection.last_received_at + self.limits.response_idle_timeout;
                if state.purpose() == Some(errand) && until > now {
                    self.deadlines
                        .schedule(until, Timer::ResponseIdle(key, errand));
                } else if state.purpose() == Some(errand) {
                    // Guards against an answer that is spoilt where its connection stays open: the request has run,
                    // and what is missing of it will not come.
                    self.end_upstream_request(service, server, errand, Outcome::Error, None);
                    self.close(key);
                }
            }
            Timer::RelayIdle(key) => self.handle_relay_idle(now, key),
            Timer::Client(key) => self.handle_client_deadline(now, key),
            Timer::CounterTimeout(line) => self.expire_counter_calls(now, line),
            Timer::ExpireIdleUpstreams => {
                let before = now - self.limits.upstream_idle_timeout;
                let old = self
                    .services
                    .iter_mut()
                    .flat_map(|service| service.pool.take_expired(before));
                for key in old.collect::<Vec<_>>() {
                    self.close(key);
                }
                self.deadlines.schedule(
                    now + self.limits.upstream_idle_timeout / 4,
                    Timer::ExpireIdleUpstreams,
                );
            }
            Timer::RaftTick => self.raft_tick(now),
            Timer::RetryAccept => self.resume_accepting(),
            // A reload may have opened one meanwhile.
            Timer::WatchRetry if self.watch.connection.is_some() => {}
            Timer::WatchRetry => self.open_discovery_watch(),
            Timer::WatchIdle(key, heard) => {
                if self.watch.connection != Some(key) {
                } else if self.watch.last_received_at <= heard {
                    self.warn("discovery silent: watch opened anew");
                    self.handle_broken_connection(key);
                } else {
                    let heard = self.watch.last_received_at;
                    self.deadlines.schedule(
                        heard + self.limits.watch_idle_timeout,
                        Timer::WatchIdle(key, heard),
                    );
                }
            }
            Timer::NoticeExpired => self.handle_notice_expired(),
            Timer::ShutdownTimeout => self.lifecycle.finish_shutdown(),
            Timer::OperatorIdle => self.close_overdue_operators(now),
            Timer::PollOperationsFile => self.poll_operations_file(),
        }
    }

    fn execute_action(&mut self, now: Micros, service: usize, order: EngineAction) {
        match order {
            EngineAction::StartAttempt {
                key,
                attempt: leg,
                server,
                deadline,
            } => self.start_attempt(now, (service, key), leg, server, deadline),
            EngineAction::CancelAttempt { key, .. } => {
                self.detach_upload(service, key);
                if let Some(connection) = self.services[service].attempt_connections.remove(key) {
                    self.close(connection);
                }
            }
            EngineAction::Reject {
                key,
                rejection: ending,
            } => self.handle_engine_rejection((service, key), ending),
            EngineAction::AddToCounter {
                name,
                amount: add,
                ttl: life,
            } => {
                let line = (name.0 % self.counter_connections.len().max(1) as u64) as usize;
                let deadline = now + self.limits.counter_timeout;
                let (known, limits) = (&self.counter_connections[line], &self.limits);
                let of_no_use = known.is_idle_since(now - limits.counter_idle_timeout)
                    || known.is_silent_since(now - limits.counter_stale_timeout);
                if let Some(old) = known.connection.filter(|_| of_no_use) {
                    // Guards against a call that crosses the counter's close of an idle connection, or that waits
                    // behind calls which a counter that died will never answer.
                    self.handle_broken_connection(old);
                }
                self.counter_connections[line].enqueue(service, name, add, life, deadline);
                self.deadlines
                    .schedule(deadline, Timer::CounterTimeout(line));
                if self.counter_connections[line].connection.is_none() {
                    self.connect_counter(line);
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
                let to = self.peers.address(number);
                if let (Some(to), Some(socket), Some(bytes)) =
                    (to, &self.peer_socket, peers::encode_notice(&notice))
                {
                    // A datagram that cannot be sent is lost, as any may be.
                    let _ = socket.send_to(&bytes, to);
                }
            }
            EngineAction::Log(text) => self.log(&text),
        }
    }

    fn register_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        up: bool,
    ) -> io::Result<ConnectionKey> {
        let now = self.now();
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let key = self.connections.insert(Connection {
            stream,
            registration: None,
            role,
            is_established: up,
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
        });
        let ready = move |_: Readiness, _: &mut _, host: &mut Host| {
            host.handle_ready(key);
            Ok(PostAction::Continue)
        };
        match self.loop_handle.insert_source(source, ready) {
            Ok(token) => {
                self.connections[key].registration = Some(token);
                Ok(key)
            }
            Err(error) => {
                self.connections.remove(key);
                Err(error.error.into())
            }
        }
    }

    /// Opens a connection; it must come up within the limit for that.
    fn connect(&mut self, address: SocketAddr, role: Role) -> io::Result<ConnectionKey> {
        let key = self.register_connection(nonblocking_connect(address)?, role, false)?;
        self.deadlines.schedule(
            self.now() + self.limits.connect_timeout,
            Timer::ConnectTimeout(key),
        );
        Ok(key)
    }

    /// Takes a connection out of all tables.
    fn close(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(key)?;
        if let Some(token) = connection.registration {
            self.loop_handle.remove(token);
        }
        match connection.role {
            Role::Client { .. } => {
                self.client_count -= 1;
                self.buffered_bytes -= connection.buffered_bytes();
                self.resume_accepting();
                // What a server still sends is for nobody.
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

    /// The other side closed or broke a connection, or it never came up.
    fn handle_broken_connection(&mut self, key: ConnectionKey) {
        let now = self.now();
        let Some(connection) = self.close(key) else {
            return;
        };
        match connection.role {
            Role::Client {
                waits: Some(ticket),
                ..
            } => self.abandon_authorisation(now, ticket),
            Role::Client { waits: None, .. } => {}
            Role::Upstream {
                service,
                server,
                state,
            } => {
                if let ReadState::Relay(_, to) = connection.read_state {
                    // Cut off here too, so that the client can tell.
                    self.close(to);
                }
                if let Some(errand) = state.purpose() {
                    // Only an introspection server's answer may end with its connection: it is judged by its text.
                    let ended = (service == INTROSPECTION_SERVICE)
                        .then(|| framing::parse_response(&connection.input, true, &self.limits));
                    let answer = ended
                        .and_then(Result::ok)
                        .flatten()
                        .map(|(answer, _)| answer);
                    self.end_upstream_request(
                        service,
                        server,
                        errand,
                        state.outcome_if_broken(),
                        answer,
                    );
                }
            }
            Role::Counter(line) => {
                let mut counted = Vec::new();
                self.counter_connections[line].handle_disconnect(&mut counted);
                self.deliver_counter_results(counted);
            }
            Role::DiscoveryWatch => self.schedule_watch_retry(),
            Role::ClusterPeer(at) => self.handle_peer_lost(at),
            Role::Operator => {}
        }
    }

    /// Nobody waits for an authorisation any more.
    fn abandon_authorisation(&mut self, now: Micros, ticket: AuthorisationRef) {
        self.take_pending(ticket);
        let mut orders = std::mem::take(&mut self.actions);
        self.services[ticket.0]
            .engine
            .handle_client_disconnected(now, ticket.1, &mut orders);
        for order in orders.drain(..) {
            self.execute_action(now, ticket.0, order);
        }
        self.actions = orders;
    }

    /// The request of a connection that stays is over without the engine's answer.
    fn abandon_client_request(&mut self, key: ConnectionKey) {
        let now = self.now();
        if let Some(connection) = self.connections.get_mut(key)
            && let Role::Client { waits, .. } = &mut connection.role
            && let Some(ticket) = waits.take()
        {
            self.abandon_authorisation(now, ticket);
        }
    }

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

    fn handle_established(&mut self, key: ConnectionKey) {
        let now = self.now();
        match self.connections.get(key).map(|c| c.role) {
            Some(Role::Upstream { .. }) => self.send_upstream_request(now, key),
            Some(Role::Counter(line)) => {
                self.counter_connections[line].handle_connected(now);
                self.write_counter_calls(now, line);
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

    /// How many bytes may be taken in now on a connection.
    fn read_capacity(&self, connection: &Connection) -> usize {
        let limits = &self.limits;
        let most = match (connection.role, connection.client.stage) {
            (Role::Client { .. }, Stage::Idle | Stage::Receiving) => {
                limits.max_head_bytes + 2 * limits.max_buffered_body_bytes
            }
            // Guards the memory against a client that sends on and on while its request is out. A little is read,
            // so that its leaving is seen.
            (Role::Client { .. }, Stage::Processing) if connection.active_upload().is_some() => {
                // Guards it against a client that is faster than the server which gets its body.
                let leg = connection
                    .active_upload()
                    .and_then(Upload::attempt)
                    .and_then(|leg| self.connections.get(leg));
                let held = leg.map_or(connection.buffered_bytes(), |leg| {
                    leg.backlog_bytes() + connection.input.len()
                });
                return limits.relay_window_bytes.saturating_sub(held);
            }
            (Role::Client { .. }, Stage::Processing | Stage::Responding) => {
                limits.max_pipelined_bytes
            }
            (Role::Client { .. }, Stage::Lingering) => {
                return limits
                    .max_linger_bytes
                    .saturating_sub(connection.discarded_bytes);
            }
            (Role::Upstream { .. }, _) => {
                // Guards the memory against a client that is slower than the server whose answer it gets.
                let most = match &connection.read_state {
                    ReadState::Relay(_, to) => {
                        let held = self
                            .connections
                            .get(*to)
                            .map_or(0, Connection::backlog_bytes);
                        limits.relay_window_bytes.saturating_sub(held)
                    }
                    _ => limits.max_head_bytes + 2 * limits.max_buffered_body_bytes,
                };
                return most.saturating_sub(connection.input.len());
            }
            (Role::Operator, _) => {
                return (limits.max_operator_line_bytes + 2).saturating_sub(connection.input.len());
            }
            // Guards the memory against a peer that only ever sends.
            _ => {
                let most = limits.max_head_bytes
                    + limits.max_buffered_body_bytes
                    + limits.max_watch_line_bytes;
                return most.saturating_sub(connection.input.len());
            }
        };
        // A usual request has room also where large ones have taken all that may be held.
        let shared = limits
            .max_pending_request_bytes
            .saturating_sub(self.buffered_bytes);
        let own = limits
            .max_pipelined_bytes
            .saturating_sub(connection.input.len());
        most.saturating_sub(connection.input.len())
            .min(shared.max(own))
    }

    /// Takes in all there is and may be taken in.
    fn fill_input(&mut self, key: ConnectionKey) -> Option<FillResult> {
        let now = self.now();
        loop {
            let room = self.connections.get(key).map(|c| self.read_capacity(c))?;
            let connection = self.connections.get_mut(key)?;
            let acquirer = matches!(connection.role, Role::Client { .. });
            connection.has_unread = room == 0;
            if room == 0 {
                return Some(FillResult::LimitReached);
            }
            let size = room.min(self.read_buffer.len());
            match (&*connection.stream).read(&mut self.read_buffer[..size]) {
                Ok(0) => return Some(FillResult::Eof),
                Ok(length) if acquirer && connection.client.stage == Stage::Lingering => {
                    connection.discarded_bytes += length
                }
                Ok(length) => {
                    connection.last_received_at = now;
                    connection
                        .input
                        .extend_from_slice(&self.read_buffer[..length]);
                    self.buffered_bytes += if acquirer { length } else { 0 };
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Some(FillResult::WouldBlock);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Some(FillResult::Failed),
            }
        }
    }

    /// Reads what there is, and looks at it; only then at an end.
    fn read_connection(&mut self, key: ConnectionKey) {
        for _ in 0..self.limits.max_reads_per_turn.max(1) {
            let Some(come) = self.fill_input(key) else {
                return;
            };
            match self
                .connections
                .get(key)
                .map(|c| (c.role, c.input.is_empty()))
            {
                // Danger: a client that has gone (its end read with its request, as after a pause) is abandoned just
                // below; handed in, its request would first cost a call of the counter, and a burst of them starves
                // the other limiters' calls.
                Some((Role::Client { .. }, false)) if !matches!(come, FillResult::Eof) => {
                    self.read_request(key)
                }
                Some((Role::Upstream { .. }, false)) => self.read_upstream_response(key),
                Some((Role::Counter(line), false)) => self.read_counter_responses(key, line),
                Some((Role::DiscoveryWatch, false)) => self.read_discovery_watch(key),
                Some((Role::ClusterPeer(_), false)) => self.read_cluster_responses(key),
                Some((Role::Operator, false)) => self.read_operator_command(key),
                _ => {}
            }
            match come {
                FillResult::WouldBlock => return,
                FillResult::Eof => {
                    // That may be the end of an answer, in order.
                    self.handle_upstream_eof(key);
                    return self.handle_broken_connection(key);
                }
                FillResult::Failed => return self.handle_broken_connection(key),
                FillResult::LimitReached => {}
            }
            let Some(connection) = self.connections.get(key) else {
                return;
            };
            let room = self.read_capacity(connection) > 0;
            match connection.role {
                // The rest waits until the request before it is answered.
                Role::Client { .. } if !room => return,
                Role::Client { .. }
                    if connection.client.stage != Stage::Receiving
                        && connection.active_upload().is_none() =>
                {
                    return;
                }
                // The rest waits until the client has taken in what is there.
                Role::Upstream { .. } if !room => return,
                _ if !room => return self.handle_broken_connection(key),
                _ => {}
            }
        }
        // Others have their turn first.
        self.reread.push(key);
    }

    fn queue_output(&mut self, key: ConnectionKey, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.output.extend_from_slice(bytes);
            self.unflushed.push(key);
        }
    }

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
                Err(_) => return self.handle_broken_connection(key),
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
        // Guards the memory on a long day: one large message must not be paid for as long as the connection lasts.
        connection.output.shrink_to(4 * 1024);
        if let Role::Upstream { service, state, .. } = &mut connection.role {
            let before = std::mem::replace(state, state.on_request_written());
            if let (true, Some(UpstreamPurpose::Attempt(authorisation, _))) =
                (before != *state, state.purpose())
            {
                self.services[*service]
                    .engine
                    .handle_request_written(now, authorisation);
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
