//! The emulated services together, without I/O: callers report arrivals with the time and poll for events.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::counter::{Call, Counter};
use crate::faults::{FaultEvent, FaultKind, FaultTarget, schedule_faults};
use crate::node::{Admission, Job, Node, NodeConfig};
use crate::node_list::{Entry, NodeList, Status};
use crate::plan::WorldPlan;

/// Time after the publication of a drain in which requests may still arrive; later ones are counted.
const DRAIN_GRACE: Micros = 2_050_000;

/// An emulated service with listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Service {
    /// A records node, by its number.
    Node(usize),
    /// The counter.
    Counter,
    /// Discovery.
    Discovery,
}

/// A request to a records node.
#[derive(Clone, Copy, Debug)]
pub struct NodeRequest<'a> {
    /// Number of the node.
    pub node: usize,
    /// Number of the limiter that sent it.
    pub limiter: usize,
    /// Identifies the request to the caller.
    pub token: u64,
    /// Request id.
    pub id: &'a str,
    /// Idempotency key, if any.
    pub key: Option<&'a str>,
    /// Requested work in microseconds, if any.
    pub work: Option<Micros>,
}

/// Content of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// A node completed the work.
    Served,
    /// A node failed.
    Error,
    /// A node rejected the request without running it.
    Rejected,
    /// Total of a counter call.
    Total(f64),
    /// Utilization for a probe, 0 to 1.
    Util(f64),
    /// Bytes that are not an HTTP answer.
    Noise,
}

/// An event for the code that serves the world.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorldEvent {
    /// Send an answer to the request with this token.
    Answer(u64, Reply),
    /// Reset all open connections of a service.
    Reset(Service),
    /// Stop accepting connections for a service.
    StopListening(Service),
    /// Start accepting connections for a service.
    Open(Service),
    /// The list of nodes has changed: notify the watches.
    ListChanged,
}

/// Counts of arrivals and outcomes at the nodes, the counter and discovery.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Complete requests that arrived at a node.
    pub arrived: u64,
    /// Distinct ids that arrived.
    pub ids: u64,
    /// Arrivals of an id that had already arrived.
    pub again: u64,
    /// Arrivals while an earlier attempt with the same id was outstanding.
    pub copies: u64,
    /// Arrivals with an idempotency key.
    pub keyed: u64,
    /// Of these, repeats dropped because their rack knew the key.
    pub dropped: u64,
    /// Keys whose work was started more than once.
    pub keys_twice: u64,
    /// Requests served.
    pub served: u64,
    /// Requests that ended in an error.
    pub errors: u64,
    /// Requests rejected without being run.
    pub turned_away: u64,
    /// Requests whose client had stopped waiting when their work ended.
    pub for_nobody: u64,
    /// Arrivals at a node later than the grace of 2.05 s after its drain or removal was published.
    pub after_drain: u64,
    /// Answers replaced by malformed bytes.
    pub spoilt: u64,
    /// Calls to the counter.
    pub calls: u64,
    /// Calls to the counter per limiter and second from instant 0. Its size is bounded by the run's length and the
    /// number of limiters.
    #[serde(default)]
    pub calls_by: Vec<Vec<u64>>,
    /// Probes.
    pub probes: u64,
}

struct ListedNode {
    node: Node,
    listed: Entry,
    drain_announced_at: Option<Micros>,
    keys: HashMap<u64, Micros>,
}

#[derive(Clone, Copy, Debug)]
struct ServiceState {
    frozen_until: Micros,
    refuse_until: Micros,
    hang_until: Micros,
    spoil_until_and_share: (Micros, f64),
    slow_until: Micros,
    down_until: Micros,
    gone: bool,
}

const NO_FAULTS: ServiceState = ServiceState {
    frozen_until: Micros::MIN,
    refuse_until: Micros::MIN,
    hang_until: Micros::MIN,
    spoil_until_and_share: (Micros::MIN, 0.0),
    slow_until: Micros::MIN,
    down_until: Micros::MIN,
    gone: false,
};

enum PendingRequest {
    Work(Job, Option<u64>),
    Count(u64, String, f64, Micros),
    Probe(u64),
}

/// The emulated world.
pub struct World {
    plan: WorldPlan,
    limiters: usize,
    rng: ChaCha8Rng,
    nodes: Vec<ListedNode>,
    counter: Counter,
    node_list: NodeList,
    service_states: BTreeMap<Service, ServiceState>,
    partitioned_until: BTreeMap<(Service, usize), Micros>,
    fault_events: VecDeque<FaultEvent>,
    delayed_requests: VecDeque<(Service, usize, PendingRequest)>,
    due_replies: BTreeMap<(Micros, u64), (Service, usize, u64, Reply)>,
    outstanding: BTreeMap<u64, (usize, usize, u64)>,
    events: VecDeque<WorldEvent>,
    ids: ShardedMap<(u32, u32)>,
    key_runs: ShardedMap<u32>,
    counts: Counts,
    serial: u64,
    unix_ms: i64,
}

/// A map split into shards: growing one shard takes a thousandth of the time of growing the whole map, which at some
/// hundred thousand ids would stop all answers for tens of milliseconds.
struct ShardedMap<T>(Vec<HashMap<u64, T>>);

/// Shards of a [`ShardedMap`].
const SHARDS: u64 = 1_024;

impl<T: Default> ShardedMap<T> {
    fn new() -> ShardedMap<T> {
        ShardedMap((0..SHARDS).map(|_| HashMap::new()).collect())
    }

    fn entry(&mut self, hash: u64) -> &mut T {
        self.0[(hash % SHARDS) as usize].entry(hash).or_default()
    }
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl World {
    /// A world at instant 0 without faults; [`World::begin`] starts them. `unix_ms`: Unix time at instant 0, from which
    /// discovery's start times are computed.
    pub fn new(plan: &WorldPlan, seed: u64, limiters: usize, unix_ms: i64) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            limiters,
            nodes: Vec::new(),
            counter: Counter::new(
                plan.counter.parts,
                plan.counter.per_s,
                (plan.counter.ms * 1e3) as Micros,
            ),
            node_list: NodeList::default(),
            service_states: BTreeMap::new(),
            partitioned_until: BTreeMap::new(),
            fault_events: VecDeque::new(),
            delayed_requests: VecDeque::new(),
            due_replies: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            events: VecDeque::new(),
            ids: ShardedMap::new(),
            key_runs: ShardedMap::new(),
            counts: Counts::default(),
            serial: 0,
            unix_ms,
            plan: plan.clone(),
            rng: ChaCha8Rng::seed_from_u64(rng.random()),
        };
        (0..plan.nodes.count).for_each(|n| world.add_node(0, n / plan.nodes.rack, true));
        world.node_list = NodeList::new(world.nodes.iter().map(|n| n.listed.clone()).collect());
        world
    }

    fn add_node(&mut self, now: Micros, rack: usize, warm: bool) {
        let p = &self.plan.nodes;
        let config = NodeConfig {
            cores: p.cores,
            speed: self.rng.random_range(p.speed[0]..=p.speed[1]),
            queue: p.queue,
            cold_from: p.cold_from,
            warm_up: (p.cold_s * 1e6) as Micros,
            util_interval: (p.util_ms * 1e3) as Micros,
            cancel_running: p.cancel_running,
        };
        let number = self.nodes.len();
        let since_ms = if warm { 0 } else { self.unix_ms + now / 1_000 };
        let name = format!("s-{number:04}");
        let entry = Entry {
            node: number,
            name,
            rack,
            status: Status::Ready,
            since_ms,
        };
        self.nodes.push(ListedNode {
            node: Node::new(config, now, warm),
            listed: entry,
            drain_announced_at: None,
            keys: HashMap::new(),
        });
    }

    /// Starts the load: schedules the plan's faults from now on for `span` microseconds.
    pub fn begin(&mut self, now: Micros, span: Micros) {
        let scheduled = schedule_faults(
            &self.plan.faults,
            self.plan.nodes.count,
            span,
            &mut self.rng,
        );
        self.fault_events = scheduled
            .into_iter()
            .map(|t| FaultEvent {
                at: t.at + now,
                ..t
            })
            .collect();
    }

    /// All services, including those of replaced nodes.
    pub fn services(&self) -> Vec<Service> {
        (0..self.nodes.len())
            .map(Service::Node)
            .chain([Service::Counter, Service::Discovery])
            .collect()
    }

    /// Number of limiters that the world serves.
    pub fn limiters(&self) -> usize {
        self.limiters
    }

    /// The JSON list of nodes for a watch or a single request.
    pub fn list(&self, from: Option<u64>, address: impl Fn(usize) -> String) -> String {
        self.node_list.changes_since(from, address)
    }

    /// Version of the list.
    pub fn index(&self) -> u64 {
        self.node_list.index()
    }

    /// Until when no data passes between a service and a limiter; `None` if it does.
    pub fn blocked_until(&self, service: Service, limiter: usize, now: Micros) -> Option<Micros> {
        let cut = self
            .partitioned_until
            .get(&(service, limiter))
            .copied()
            .unwrap_or(Micros::MIN);
        let until = cut.max(self.service_state(service).frozen_until);
        (until > now).then_some(until)
    }

    fn service_state(&self, service: Service) -> ServiceState {
        self.service_states
            .get(&service)
            .copied()
            .unwrap_or(NO_FAULTS)
    }

    fn service_state_mut(&mut self, service: Service) -> &mut ServiceState {
        self.service_states.entry(service).or_insert(NO_FAULTS)
    }

    /// Handles a complete request to a node.
    pub fn handle_request(&mut self, now: Micros, request: NodeRequest<'_>) {
        let id = hash_of(request.id);
        let Some(listed_node) = self.nodes.get_mut(request.node) else {
            return;
        };
        self.counts.arrived += 1;
        if listed_node
            .drain_announced_at
            .is_some_and(|published_at| now > published_at + DRAIN_GRACE)
        {
            self.counts.after_drain += 1;
        }
        let (times, open) = self.ids.entry(id);
        if *times == 0 {
            self.counts.ids += 1;
        } else {
            self.counts.again += 1;
            self.counts.copies += u64::from(*open > 0);
        }
        *times += 1;
        *open += 1;
        self.outstanding
            .insert(request.token, (request.node, request.limiter, id));
        let work = request
            .work
            .unwrap_or_else(|| self.plan.nodes.draw_work(&mut self.rng));
        let key = request.key.map(hash_of);
        self.counts.keyed += u64::from(key.is_some());
        let job = Job {
            token: request.token,
            work,
        };
        self.deliver(
            now,
            Service::Node(request.node),
            request.limiter,
            PendingRequest::Work(job, key),
        );
    }

    /// Submits a request to a node. Work whose key its rack knows is dropped; the key of a rejected request is not
    /// recorded, since the request never ran.
    fn start_request(
        &mut self,
        now: Micros,
        number: usize,
        job: Job,
        key: Option<u64>,
    ) -> Admission {
        let keys_for = (self.plan.nodes.keys_ms * 1e3) as Micros;
        let rack = self.nodes[number].listed.rack;
        let known = |key: &u64| {
            let in_rack_and_known = |s: &ListedNode| {
                s.listed.rack == rack && s.keys.get(key).is_some_and(|at| now - at < keys_for)
            };
            self.nodes.iter().any(in_rack_and_known)
        };
        let repeat = key.as_ref().is_some_and(known);
        let work = if repeat { 0 } else { job.work };
        let taken = self.nodes[number].node.admit(now, Job { work, ..job });
        if taken == Admission::Admitted && repeat {
            self.counts.dropped += 1;
        } else if let Some(key) = key.filter(|_| taken == Admission::Admitted) {
            let runs = self.key_runs.entry(key);
            *runs += 1;
            self.counts.keys_twice += u64::from(*runs == 2);
            self.nodes[number].keys.insert(key, now);
        }
        taken
    }

    /// Handles a complete call to the counter.
    pub fn handle_counter_call(&mut self, now: Micros, limiter: usize, token: u64, call: Call<'_>) {
        self.counts.calls += 1;
        let second = usize::try_from(now / 1_000_000).unwrap_or(0);
        let calls_by_limiter = &mut self.counts.calls_by;
        calls_by_limiter.resize_with(calls_by_limiter.len().max(limiter + 1), Vec::new);
        let seconds = &mut calls_by_limiter[limiter];
        seconds.resize(seconds.len().max(second + 1), 0);
        seconds[second] += 1;
        let pending = PendingRequest::Count(token, call.name.to_string(), call.delta, call.life);
        self.deliver(now, Service::Counter, limiter, pending);
    }

    /// Handles a complete probe of a node.
    pub fn handle_probe(&mut self, now: Micros, node: usize, limiter: usize, token: u64) {
        self.counts.probes += 1;
        self.deliver(
            now,
            Service::Node(node),
            limiter,
            PendingRequest::Probe(token),
        );
    }

    fn deliver(&mut self, now: Micros, service: Service, limiter: usize, pending: PendingRequest) {
        if self.blocked_until(service, limiter, now).is_some() {
            self.delayed_requests.push_back((service, limiter, pending));
            return;
        }
        let state = self.service_state(service);
        let (token, reply, at) = match pending {
            _ if state.hang_until > now => return,
            PendingRequest::Work(job, key) => {
                let Service::Node(number) = service else {
                    return;
                };
                match self.start_request(now, number, job, key) {
                    Admission::Admitted => return,
                    Admission::Rejected => (job.token, Reply::Rejected, now),
                }
            }
            PendingRequest::Count(token, name, delta, life) => {
                let (total, at) = self.counter.add(
                    now,
                    Call {
                        name: &name,
                        delta,
                        life,
                    },
                );
                (token, Reply::Total(total), at)
            }
            PendingRequest::Probe(token) => {
                let Service::Node(number) = service else {
                    return;
                };
                (
                    token,
                    Reply::Util(self.nodes[number].node.utilization(now)),
                    now,
                )
            }
        };
        self.schedule_reply(at, service, limiter, token, reply);
    }

    fn schedule_reply(
        &mut self,
        at: Micros,
        service: Service,
        limiter: usize,
        token: u64,
        reply: Reply,
    ) {
        self.serial += 1;
        self.due_replies
            .insert((at, self.serial), (service, limiter, token, reply));
    }

    /// The connection of a request was closed: nobody waits for the answer any more.
    pub fn connection_closed(&mut self, now: Micros, token: u64) {
        if let Some((node, _, id)) = self.outstanding.remove(&token) {
            self.nodes[node].node.abandon(now, token);
            self.attempt_closed(id);
        }
    }

    fn attempt_closed(&mut self, id: u64) {
        let (_, open) = self.ids.entry(id);
        *open = open.saturating_sub(1);
    }

    /// When [`World::poll`] has something to do next.
    pub fn next_event_at(&self) -> Option<Micros> {
        let nodes = self.nodes.iter().filter_map(|n| n.node.next_event_at());
        let firsts = [
            self.fault_events.front().map(|t| t.at),
            self.due_replies.keys().next().map(|k| k.0),
            self.node_list.next_event_at(),
        ];
        nodes.chain(firsts.into_iter().flatten()).min()
    }

    /// Returns the events that are due by now, one at a time; `None` if there are no more.
    pub fn poll(&mut self, now: Micros) -> Option<WorldEvent> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Some(event);
            }
            if self.fault_events.front().is_some_and(|t| t.at <= now) {
                let fault_event = self.fault_events.pop_front()?;
                self.apply_fault_event(now, fault_event);
                continue;
            }
            if self.node_list.next_event_at().is_some_and(|at| at <= now)
                && self.node_list.publish_due(now)
            {
                return Some(WorldEvent::ListChanged);
            }
            let ended = self
                .nodes
                .iter_mut()
                .find_map(|n| n.node.take_finished(now));
            if let Some(job) = ended {
                let Some((number, limiter, _)) = self.outstanding.get(&job.token).copied() else {
                    self.counts.for_nobody += 1;
                    continue;
                };
                let failed = self.plan.nodes.errors > 0.0
                    && self.rng.random::<f64>() < self.plan.nodes.errors;
                let reply = if failed { Reply::Error } else { Reply::Served };
                self.schedule_reply(now, Service::Node(number), limiter, job.token, reply);
                continue;
            }
            let (at, serial) = *self.due_replies.keys().next()?;
            if at > now {
                return None;
            }
            let (service, limiter, token, reply) = self.due_replies.remove(&(at, serial))?;
            if let Some(until) = self.blocked_until(service, limiter, now) {
                self.due_replies
                    .insert((until, serial), (service, limiter, token, reply));
                continue;
            }
            return Some(WorldEvent::Answer(
                token,
                self.finish_reply(now, service, token, reply),
            ));
        }
    }

    fn finish_reply(&mut self, now: Micros, service: Service, token: u64, reply: Reply) -> Reply {
        if let Some((_, _, id)) = self.outstanding.remove(&token) {
            self.attempt_closed(id);
        }
        let (until, share) = self.service_state(service).spoil_until_and_share;
        if until > now && self.rng.random::<f64>() < share {
            self.counts.spoilt += 1;
            return Reply::Noise;
        }
        match reply {
            Reply::Served => self.counts.served += 1,
            Reply::Error => self.counts.errors += 1,
            Reply::Rejected => self.counts.turned_away += 1,
            _ => {}
        }
        reply
    }

    fn apply_fault_event(&mut self, now: Micros, fault_event: FaultEvent) {
        let service = match fault_event.target {
            FaultTarget::Node(number) => Service::Node(number),
            FaultTarget::Counter => Service::Counter,
            FaultTarget::Discovery => Service::Discovery,
            FaultTarget::Nodes(_) | FaultTarget::Limiter(_) => return,
        };
        if self.service_state(service).gone {
            return;
        }
        let until = fault_event.at + fault_event.duration;
        if !fault_event.is_start {
            return self.end_fault(now, service, fault_event);
        }
        match fault_event.kind {
            FaultKind::Freeze => {
                let state = self.service_state_mut(service);
                state.frozen_until = state.frozen_until.max(until);
                if let Service::Node(number) = service {
                    self.nodes[number].node.freeze(now, until);
                }
            }
            FaultKind::Refuse => {
                let state = self.service_state_mut(service);
                state.refuse_until = state.refuse_until.max(until);
                self.events.push_back(WorldEvent::StopListening(service));
            }
            FaultKind::Reset => self.reset_connections(service),
            FaultKind::Hang => {
                let state = self.service_state_mut(service);
                state.hang_until = state.hang_until.max(until);
            }
            FaultKind::Spoil => {
                self.service_state_mut(service).spoil_until_and_share = (until, fault_event.amount)
            }
            FaultKind::Slow => {
                let state = self.service_state_mut(service);
                state.slow_until = state.slow_until.max(until);
                self.set_slowdown(service, fault_event.amount);
            }
            FaultKind::Die => {
                let state = self.service_state_mut(service);
                state.down_until = state.down_until.max(until);
                self.events.push_back(WorldEvent::StopListening(service));
                self.reset_connections(service);
            }
            FaultKind::Drain | FaultKind::Replace => {
                let Service::Node(number) = service else {
                    return;
                };
                if fault_event.kind == FaultKind::Replace {
                    let rack = self.nodes[number].listed.rack;
                    self.add_node(now, rack, false);
                    let newest = self.nodes.len() - 1;
                    self.events
                        .push_back(WorldEvent::Open(Service::Node(newest)));
                    self.publish_status(now, newest, Status::Ready);
                }
                self.nodes[number].node.set_draining(true);
                self.publish_status(now, number, Status::Terminating);
            }
            FaultKind::Partition => {
                let cut = self
                    .partitioned_until
                    .entry((service, fault_event.limiter))
                    .or_insert(until);
                *cut = (*cut).max(until);
            }
            // Pauses apply to limiters only and are carried out outside the world.
            FaultKind::Pause => {}
        }
    }

    /// Ends a fault unless another one of its kind is still active.
    fn end_fault(&mut self, now: Micros, service: Service, fault_event: FaultEvent) {
        let state = self.service_state(service);
        match fault_event.kind {
            FaultKind::Refuse | FaultKind::Die
                if state.refuse_until.max(state.down_until) > now => {}
            FaultKind::Refuse => self.events.push_back(WorldEvent::Open(service)),
            FaultKind::Die => {
                self.restart_service(now, service);
                if let Service::Node(number) = service {
                    self.publish_status(now, number, Status::Ready);
                }
                self.events.push_back(WorldEvent::Open(service));
            }
            FaultKind::Slow if state.slow_until <= now => self.set_slowdown(service, 1.0),
            FaultKind::Drain | FaultKind::Replace => {
                let Service::Node(number) = service else {
                    return;
                };
                self.reset_connections(service);
                if fault_event.kind == FaultKind::Replace {
                    self.service_state_mut(service).gone = true;
                    self.events.push_back(WorldEvent::StopListening(service));
                    self.publish_status(now, number, Status::Gone);
                } else {
                    self.restart_service(now, service);
                    self.publish_status(now, number, Status::Ready);
                }
            }
            FaultKind::Freeze | FaultKind::Partition => {
                let pending: Vec<_> = self.delayed_requests.drain(..).collect();
                pending.into_iter().for_each(|(service, limiter, pending)| {
                    self.deliver(now, service, limiter, pending)
                });
            }
            _ => {}
        }
    }

    fn set_slowdown(&mut self, service: Service, times: f64) {
        match service {
            Service::Node(number) => self.nodes[number].node.slow(times),
            Service::Counter => self.counter.slow(times),
            Service::Discovery => {}
        }
    }

    fn restart_service(&mut self, now: Micros, service: Service) {
        match service {
            Service::Node(number) => {
                let listed_node = &mut self.nodes[number];
                listed_node.node.restart(now);
                listed_node.keys.clear();
                listed_node.listed.since_ms = self.unix_ms + now / 1_000;
            }
            Service::Counter => self.counter.clear(now),
            Service::Discovery => {}
        }
    }

    /// Resets a service's connections; its outstanding requests and answers are lost.
    fn reset_connections(&mut self, service: Service) {
        self.due_replies.retain(|_, (s, ..)| *s != service);
        self.delayed_requests.retain(|(s, ..)| *s != service);
        self.events.push_back(WorldEvent::Reset(service));
    }

    fn publish_status(&mut self, now: Micros, number: usize, status: Status) {
        let published_at = now + (self.plan.discovery.notice_ms * 1e3) as Micros;
        let listed_node = &mut self.nodes[number];
        listed_node.listed.status = status;
        listed_node.drain_announced_at = (status != Status::Ready).then(|| {
            listed_node
                .drain_announced_at
                .unwrap_or(published_at)
                .min(published_at)
        });
        self.node_list
            .schedule_change(published_at, listed_node.listed.clone());
    }

    /// Counts so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }
}

impl crate::plan::NodesPlan {
    /// Draws the work of a request that sets none, in microseconds.
    fn draw_work(&self, rng: &mut impl Rng) -> Micros {
        let mean = self.work_ms * 1e3;
        if self.work_cv <= 0.0 || mean <= 0.0 {
            return mean as Micros;
        }
        let sigma2 = (1.0 + self.work_cv * self.work_cv).ln();
        let work =
            LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt()).map_or(mean, |d| d.sample(rng));
        work.min(mean * 50.0) as Micros
    }
}
