//! The agents linked to this replica: what each of them is sent, and their additions to the shared counter.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::items::{Item, ItemName};
use protocol::messages::{AgentMessage, ClusterView, ControlMessage, CounterAdd, NodeInfo};

use super::ids::{ReplicaId, SingletonRole};
use super::transfer::split_into_chunks;
use super::{Output, Replica};
use crate::limits;

/// How much a cluster view differs from the one that was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewChange {
    None,
    /// The number of limiters differs by little.
    Minor,
    Major,
}

/// Whether agents whose cluster view has not changed are sent a sign of life in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Announcement {
    /// Only a view that has changed is sent.
    IfChanged,
    /// A sign of life is sent where the view has not changed.
    WithKeepAlive,
}

/// The cluster view that the agents of a zone were sent last.
#[derive(Clone, Debug)]
struct AnnouncedView {
    view: ClusterView,
    /// The revision of the table of replicas that it was made of.
    table_revision: u64,
}

/// The items that an agent has, as it reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgentState {
    /// How many items, removed ones included.
    pub(super) items: u32,
    digest: u64,
    /// When it last reported the same items as this replica has.
    complete_at: i64,
}

impl AgentState {
    /// For how long the agent has had other items than those with this digest, in microseconds at most; 0 if it has the same.
    pub(super) fn behind(&self, now: i64, digest: u64) -> i64 {
        if self.digest == digest {
            0
        } else {
            now - self.complete_at
        }
    }
}

/// The initial transfer of the items to an agent.
#[derive(Clone, Debug)]
struct PendingSync {
    /// Digests of the items that the agent had when it connected.
    digests: Vec<u64>,
    /// Everything up to this name was sent. Items that are chosen later are announced at once.
    after: Option<ItemName>,
    /// Chunks that the agent has not acknowledged.
    unacknowledged: usize,
    /// When a chunk was last sent or acknowledged.
    progressed_at: i64,
}

/// The links of agents, by the numbers that the host gives them.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentLinks {
    /// The zone of each agent that is sent the configuration.
    zones: BTreeMap<u64, String>,
    /// The view that each zone was sent last.
    announced: BTreeMap<String, AnnouncedView>,
    /// Links for the counter alone, and when each was last used.
    counter_links: BTreeMap<u64, i64>,
    states: BTreeMap<u64, AgentState>,
    /// Agents that have just started and are sent everything at this time: most of them leave for the replica of their own
    /// zone before that.
    deferred: BTreeMap<u64, i64>,
    /// Digests of the items that an agent has, from before it says which edge it belongs to.
    known_digests: BTreeMap<u64, Vec<u64>>,
    /// Initial transfers in progress.
    pending: BTreeMap<u64, PendingSync>,
    /// A changed number of limiters is not announced before this time.
    next_count_update: i64,
    /// A changed number of limiters has not been announced yet.
    count_update_due: bool,
}

impl AgentLinks {
    fn links(&self) -> Vec<u64> {
        self.zones.keys().copied().collect()
    }

    /// Takes note of the use of a link for the counter; one of these has no zone.
    fn record_counter_link(&mut self, now: i64, link: u64) {
        if !self.zones.contains_key(&link) {
            self.counter_links.insert(link, now);
        }
        let timeout = limits::COUNTER_CONTACT_TIMEOUT;
        self.counter_links
            .retain(|_, used_at| now - *used_at <= timeout);
    }

    /// The items that the agent on a link has, if it has reported them.
    pub(super) fn state(&self, link: u64) -> Option<AgentState> {
        self.states.get(&link).copied()
    }

    /// When something is to be sent to any of them.
    pub(super) fn wake_at(&self) -> Option<i64> {
        let count_update = self.count_update_due.then_some(self.next_count_update);
        let deferred = self.deferred.values().copied().min();
        count_update.into_iter().chain(deferred).min()
    }

    fn remove(&mut self, link: u64) {
        self.zones.remove(&link);
        self.counter_links.remove(&link);
        self.known_digests.remove(&link);
        self.pending.remove(&link);
        self.states.remove(&link);
        self.deferred.remove(&link);
    }
}

impl Replica {
    /// Handles a message of the agent on a link.
    pub(super) fn handle_agent_message(
        &mut self,
        now: i64,
        link: u64,
        message: AgentMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            AgentMessage::Hello(node) => self.handle_agent_hello(now, link, node, out),
            AgentMessage::KnownDigests(digests) => {
                self.agents.known_digests.insert(link, digests);
            }
            AgentMessage::ConfigState {
                item_count: items,
                digest,
            } => self.handle_config_state(now, link, items, digest, out),
            AgentMessage::Heartbeat(state) => {
                self.resume_stalled_sync(now, link, out);
                if self.membership.handle_heartbeat(now, link, state) {
                    self.broadcast_membership(out);
                }
            }
            AgentMessage::LoadReports(reports) => {
                let local = self.table.local().replica;
                self.load.handle_reports(now, local, link, &reports);
            }
            AgentMessage::Clock(time) => {
                self.advance_clock(now, time);
                self.agents.record_counter_link(now, link);
                self.send_clock(now, link, out);
            }
            AgentMessage::CounterBatch {
                batch,
                clock_us: time,
                adds,
            } => self.handle_counter_batch(now, link, batch, time, &adds, out),
        }
    }

    fn handle_agent_hello(&mut self, now: i64, link: u64, node: NodeInfo, out: &mut Vec<Output>) {
        let zone = node.zone.clone();
        self.load.add_agent(link, &node.region);
        let changed = self.membership.handle_hello(now, link, node);
        self.agents.zones.insert(link, zone.clone());
        // All agents of a zone have the same view, so that a change can be sent to all of them alike.
        let announced = self.agents.announced.get(&zone).cloned();
        let announced = announced.unwrap_or_else(|| self.cluster_view(now, &zone));
        let view = ControlMessage::ClusterView(announced.view.clone());
        out.push(Output::SendToAgents(vec![link], view));
        self.agents.announced.insert(zone.clone(), announced);
        let is_new = !self.agents.known_digests.contains_key(&link);
        if is_new && self.has_reachable_home(now, &zone) {
            let start_at = now + limits::HEARTBEAT_INTERVAL;
            self.agents.deferred.insert(link, start_at);
        } else {
            self.start_sync(now, link, out);
        }
        if changed {
            self.broadcast_membership(out);
        }
    }

    fn handle_config_state(
        &mut self,
        now: i64,
        link: u64,
        items: u32,
        digest: u64,
        out: &mut Vec<Output>,
    ) {
        let former = self.agents.states.get(&link);
        let complete_at = if digest == self.chosen.summary().digest {
            now
        } else {
            former.map_or(now, |former| former.complete_at)
        };
        let state = AgentState {
            items,
            digest,
            complete_at,
        };
        self.agents.states.insert(link, state);
        self.handle_chunk_ack(now, link, out);
    }

    fn handle_counter_batch(
        &mut self,
        now: i64,
        link: u64,
        batch: u64,
        time: i64,
        adds: &[CounterAdd],
        out: &mut Vec<Output>,
    ) {
        self.advance_clock(now, time);
        self.agents.record_counter_link(now, link);
        let share = self.reached_share();
        let is_late = now + self.clock_offset - time > limits::MAX_CLOCK_DIFFERENCE;
        if is_late {
            self.send_clock(now, link, out);
        }
        let counts = !is_late && !self.counter.is_suspended(now);
        let term = self.acting_term(now, SingletonRole::Counter);
        let answer = match term.filter(|_| counts) {
            Some(term) => ControlMessage::CounterTotals {
                batch,
                totals: self.counter.add(now, term, share, adds),
            },
            None => ControlMessage::NotCounted(batch),
        };
        out.push(Output::SendToAgents(vec![link], answer));
    }

    fn send_clock(&self, now: i64, link: u64, out: &mut Vec<Output>) {
        let clock = ControlMessage::Clock(now + self.clock_offset);
        out.push(Output::SendToAgents(vec![link], clock));
    }

    /// Whether the zone of an agent has a replica of its own, other than this one, that is reachable.
    fn has_reachable_home(&self, now: i64, zone: &str) -> bool {
        let position = self.zones.iter().position(|other| other == zone);
        let home = position.map(|position| position as ReplicaId);
        home.is_some_and(|home| {
            home != self.table.local().replica && self.table.is_reachable(now, home)
        })
    }

    /// Starts to send an agent everything that it lacks.
    fn start_sync(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let digests = self.agents.known_digests.remove(&link);
        if self.server_list.is_known() {
            out.push(Output::SendToAgents(vec![link], self.servers_message(now)));
        }
        let sync = PendingSync {
            digests: digests.unwrap_or_default(),
            after: None,
            unacknowledged: 0,
            progressed_at: now,
        };
        self.agents.pending.insert(link, sync);
        self.send_chunks(now, link, out);
    }

    /// An agent that has acknowledged nothing for [`limits::CHUNK_ACK_TIMEOUT`] is sent the next chunk all the same.
    fn resume_stalled_sync(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let sync = self.agents.pending.get(&link);
        if sync.is_some_and(|sync| now - sync.progressed_at > limits::CHUNK_ACK_TIMEOUT) {
            self.handle_chunk_ack(now, link, out);
        }
    }

    /// An agent has taken in a chunk.
    fn handle_chunk_ack(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        if let Some(sync) = self.agents.pending.get_mut(&link) {
            sync.unacknowledged = sync.unacknowledged.saturating_sub(1);
            sync.progressed_at = now;
            self.send_chunks(now, link, out);
        }
    }

    /// Sends an agent as many chunks as may be in flight to it.
    fn send_chunks(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let Some(sync) = self.agents.pending.get_mut(&link) else {
            return;
        };
        let free = limits::MAX_UNACKNOWLEDGED_CHUNKS.saturating_sub(sync.unacknowledged);
        if free == 0 {
            return;
        }
        let missing = self
            .chosen
            .items_missing_from(&sync.digests, sync.after.as_ref());
        let split = split_into_chunks(self.transfer_limits, missing, |item| item);
        let has_more = split.has_more || split.chunks.len() > free;
        for chunk in split.chunks.into_iter().take(free) {
            if let Some(last) = chunk.last() {
                sync.after = Some(last.name.clone());
            }
            sync.unacknowledged += 1;
            sync.progressed_at = now;
            let items = ControlMessage::Items(chunk.into_iter().cloned().collect());
            out.push(Output::SendToAgents(vec![link], items));
        }
        if !has_more {
            self.agents.pending.remove(&link);
            if self.catch_up.is_up_to_date() && self.table.has_quorum_contact(now) {
                out.push(Output::SendToAgents(vec![link], ControlMessage::Complete));
            }
        }
    }

    /// Starts to send everything to the agents that were to find the replica of their own zone first and have not left.
    pub(super) fn drive_deferred_syncs(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self.agents.deferred.iter();
        let due = due.filter(|(_, start_at)| **start_at <= now);
        for link in due.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.agents.deferred.remove(&link);
            self.start_sync(now, link, out);
        }
    }

    /// Advances the clock by which the limiters name the windows of quotas. Whoever is ahead leads, and the time of day has
    /// no part in it. The replicas tell it to each other and to their agents, so that all limiters name windows alike.
    pub(super) fn advance_clock(&mut self, now: i64, time: i64) {
        let ahead = time.saturating_sub(now).saturating_sub(self.clock_offset);
        self.clock_offset += ahead.max(0);
        if ahead > limits::MAX_CLOCK_DIFFERENCE {
            // The windows have other names from now on than those that were counted under.
            self.counter.suspend(now, ahead.min(limits::QUOTA_WINDOW));
        }
    }

    /// The share of the limiters that reach this counter. The others use even slices of the quotas, which must be left for
    /// them.
    fn reached_share(&self) -> f64 {
        let limiters = self.membership.recently_serving_count();
        let reached = self.agents.counter_links.len();
        if reached >= limiters {
            return 1.0;
        }
        let share = reached as f64 / limiters as f64;
        share.max(limits::MIN_REACHED_SHARE)
    }

    /// An agent's link was closed.
    pub(super) fn handle_agent_disconnected(&mut self, link: u64, out: &mut Vec<Output>) {
        self.agents.remove(link);
        self.load.remove_agent(link);
        if self.membership.handle_disconnect(link) {
            self.broadcast_membership(out);
        }
    }

    /// The address and the term of the replica that keeps the counter, as far as known.
    fn counter_holder(&self, now: i64) -> Option<(SocketAddr, u64)> {
        let local = self.table.local().replica;
        let acting = self.acting_term(now, SingletonRole::Counter);
        let (replica, term) = match acting {
            Some(term) => (local, term),
            None => {
                let known = self.lease(SingletonRole::Counter).known_holder(now)?;
                (known.holder.replica, known.number)
            }
        };
        Some((self.table.address(replica)?, term))
    }

    fn cluster_view(&self, now: i64, zone: &str) -> AnnouncedView {
        let serving = self.membership.serving_counts(zone);
        let recently_serving = self.membership.recently_serving_count() as u32;
        let replicas = self.table.addresses_by_zone(&self.zones);
        let replicas = replicas.map(|(zone, address)| (zone.to_string(), address));
        let view = ClusterView {
            replicas: replicas.collect(),
            counter: self.counter_holder(now),
            has_quorum: self.table.has_quorum_contact(now) && !self.shutting_down,
            limiter_count: serving.total.max(recently_serving),
            zone_limiter_count: serving.in_zone,
        };
        AnnouncedView {
            view,
            table_revision: self.table.revision(),
        }
    }

    /// How much the view of a zone has changed since it was announced. This is asked after most inputs, and is cheap where
    /// nothing has.
    fn view_change(&self, now: i64, zone: &str, announced: &AnnouncedView) -> ViewChange {
        let former = &announced.view;
        let has_quorum = self.table.has_quorum_contact(now) && !self.shutting_down;
        if former.counter != self.counter_holder(now)
            || former.has_quorum != has_quorum
            || announced.table_revision != self.table.revision()
        {
            return ViewChange::Major;
        }
        let serving = self.membership.serving_counts(zone);
        let recently_serving = self.membership.recently_serving_count() as u32;
        let limiters = serving.total.max(recently_serving);
        let difference = former.limiter_count.abs_diff(limiters);
        if difference == 0 && former.zone_limiter_count == serving.in_zone {
            ViewChange::None
        } else if difference * limits::MINOR_LIMITER_CHANGE_DIVISOR > former.limiter_count {
            // Hazard: limiters that each take an even slice of a quota must not go on with a number that is much too low.
            ViewChange::Major
        } else {
            ViewChange::Minor
        }
    }

    /// Sends the agents of each zone its cluster view, where that has changed.
    pub(super) fn announce_view(
        &mut self,
        now: i64,
        announcement: Announcement,
        out: &mut Vec<Output>,
    ) {
        self.agents.count_update_due = false;
        if self.agents.zones.is_empty() {
            return;
        }
        let mut links_by_zone: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, zone) in &self.agents.zones {
            links_by_zone.entry(zone).or_default().push(*link);
        }
        let mut announced = std::mem::take(&mut self.agents.announced);
        announced.retain(|zone, _| links_by_zone.contains_key(zone));
        let mut unchanged = Vec::new();
        let mut has_announced = false;
        for (zone, links) in links_by_zone {
            let change = match announced.get(zone) {
                Some(announced) => self.view_change(now, zone, announced),
                None => ViewChange::Major,
            };
            // Hazard: when many limiters start, each of them would otherwise be announced to all others at once.
            let defer = change == ViewChange::Minor && now < self.agents.next_count_update;
            self.agents.count_update_due |= defer;
            if change == ViewChange::None || defer {
                unchanged.extend(links);
                continue;
            }
            let view = self.cluster_view(now, zone);
            let message = ControlMessage::ClusterView(view.view.clone());
            let former = announced.get(zone);
            let regained = view.view.has_quorum && former.is_some_and(|f| !f.view.has_quorum);
            out.push(Output::SendToAgents(links.clone(), message));
            // An agent takes what it has for incomplete from the loss of the quorum on.
            if regained && self.catch_up.is_up_to_date() {
                self.announce_complete_to(links, out);
            }
            announced.insert(zone.clone(), view);
            has_announced = true;
        }
        self.agents.announced = announced;
        if has_announced {
            self.agents.next_count_update = now + limits::LIMITER_COUNT_INTERVAL;
        }
        if announcement == Announcement::WithKeepAlive && !unchanged.is_empty() {
            let keep_alive = ControlMessage::Items(Vec::new());
            out.push(Output::SendToAgents(unchanged, keep_alive));
        }
    }

    /// Sends a message to all agents that are sent the configuration.
    fn send_to_agents(&self, links: Vec<u64>, message: ControlMessage, out: &mut Vec<Output>) {
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, message));
        }
    }

    /// Sends the agents items that were chosen.
    pub(super) fn announce_items(&self, items: Vec<Item>, out: &mut Vec<Output>) {
        self.send_to_agents(self.agents.links(), ControlMessage::Items(items), out);
    }

    /// Tells the agents whose initial transfer is complete that they have everything that is in force.
    pub(super) fn announce_complete(&self, out: &mut Vec<Output>) {
        self.announce_complete_to(self.agents.links(), out);
    }

    fn announce_complete_to(&self, mut links: Vec<u64>, out: &mut Vec<Output>) {
        links.retain(|link| {
            let is_deferred = self.agents.deferred.contains_key(link);
            !is_deferred && !self.agents.pending.contains_key(link)
        });
        self.send_to_agents(links, ControlMessage::Complete, out);
    }

    fn servers_message(&self, now: i64) -> ControlMessage {
        ControlMessage::Servers {
            version: self.server_list.version(),
            servers: self.server_list.current(now),
        }
    }

    /// Sends the agents the platform's list of servers.
    pub(super) fn announce_servers(&self, now: i64, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, self.servers_message(now)));
        }
    }
}
