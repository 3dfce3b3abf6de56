//! The agents linked to this replica: the distribution of items, server lists and cluster views to them, and their
//! additions to the shared counter.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::items::{Item, ItemName};
use protocol::messages::{
    AgentMessage, ClusterView, Completeness, ControlMessage, CounterAdd, NodeInfo,
};

use super::events::Event;
use super::ids::{ReplicaId, SingletonRole};
use super::transfer::split_into_chunks;
use super::{Output, Replica};
use crate::limits;

/// How much a cluster view differs from the announced one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewChange {
    None,
    /// Only numbers of limiters differ, the total by at most one in [`limits::MINOR_LIMITER_CHANGE_DIVISOR`].
    Minor,
    Major,
}

/// Whether agents whose cluster view has not changed are sent a keep-alive message instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Announcement {
    /// Only changed views are sent.
    IfChanged,
    /// Agents with an unchanged view are sent a keep-alive message.
    WithKeepAlive,
}

/// The cluster view last sent to the agents of a zone.
#[derive(Clone, Debug)]
struct AnnouncedView {
    view: ClusterView,
    /// The revision of the table of replicas from which the view was built.
    table_revision: u64,
}

/// The items that an agent has, according to its last report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgentState {
    /// The number of items, including removed ones.
    pub(super) items: u32,
    digest: u64,
    /// When the agent last reported the same items as this replica has.
    up_to_date_at: i64,
}

impl AgentState {
    /// An upper bound of the time for which the agent's items have differed from those with this digest, in
    /// microseconds; 0 if they are the same.
    pub(super) fn lag_us(&self, now: i64, digest: u64) -> i64 {
        if self.digest == digest {
            0
        } else {
            now - self.up_to_date_at
        }
    }
}

/// The initial transfer of items to an agent.
#[derive(Clone, Debug)]
struct PendingSync {
    /// Digests of the items that the agent had when it connected.
    digests: Vec<u64>,
    /// All items up to this name were sent. Items chosen later are announced at once.
    start_after: Option<ItemName>,
    /// The number of chunks that the agent has not acknowledged.
    unacknowledged_chunks: usize,
    /// When a chunk was last sent or acknowledged.
    progressed_at: i64,
}

/// The links of agents, by the numbers that the host gives them.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentLinks {
    /// The zone of each agent that is sent the configuration.
    agent_zones: BTreeMap<u64, String>,
    /// The view last sent to each zone.
    announced_views: BTreeMap<String, AnnouncedView>,
    /// Links used for the counter alone, and when each was last used.
    counter_links: BTreeMap<u64, i64>,
    agent_states: BTreeMap<u64, AgentState>,
    /// The times at which initial transfers begin to agents that have just started: most of them move to the replica of
    /// their own zone before that.
    deferred_syncs: BTreeMap<u64, i64>,
    /// Digests of the items that an agent has, received before its hello message.
    known_digests: BTreeMap<u64, Vec<u64>>,
    /// Initial transfers in progress.
    pending_syncs: BTreeMap<u64, PendingSync>,
    /// A changed number of limiters is not announced before this time.
    next_count_update_at: i64,
    /// A changed number of limiters has not been announced yet.
    has_unannounced_count: bool,
}

impl AgentLinks {
    fn links(&self) -> Vec<u64> {
        self.agent_zones.keys().copied().collect()
    }

    /// Records the use of a link for the counter, unless the link has a zone and so serves other purposes as well.
    fn record_counter_link(&mut self, now: i64, link: u64) {
        if !self.agent_zones.contains_key(&link) {
            self.counter_links.insert(link, now);
        }
        let timeout = limits::COUNTER_CONTACT_TIMEOUT;
        self.counter_links
            .retain(|_, used_at| now - *used_at <= timeout);
    }

    /// The items that the agent on a link has, if it has reported them.
    pub(super) fn agent_state(&self, link: u64) -> Option<AgentState> {
        self.agent_states.get(&link).copied()
    }

    /// The time at which an announcement or initial transfer to any agent is due.
    pub(super) fn wake_at(&self) -> Option<i64> {
        let count_update_at = self
            .has_unannounced_count
            .then_some(self.next_count_update_at);
        let deferred_sync_at = self.deferred_syncs.values().copied().min();
        count_update_at.into_iter().chain(deferred_sync_at).min()
    }

    fn remove(&mut self, link: u64) {
        self.agent_zones.remove(&link);
        self.counter_links.remove(&link);
        self.known_digests.remove(&link);
        self.pending_syncs.remove(&link);
        self.agent_states.remove(&link);
        self.deferred_syncs.remove(&link);
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
        self.agents.agent_zones.insert(link, zone.clone());
        // All agents of a zone are sent the same view, so that one message announces a change to all of them.
        let announced = self.agents.announced_views.get(&zone).cloned();
        let announced = announced.unwrap_or_else(|| self.cluster_view(now, &zone));
        let view = ControlMessage::ClusterView(announced.view.clone());
        out.push(Output::SendToAgents(vec![link], view));
        self.agents.announced_views.insert(zone.clone(), announced);
        let is_new = !self.agents.known_digests.contains_key(&link);
        if is_new && self.has_reachable_zone_replica(now, &zone) {
            let start_at = now + limits::HEARTBEAT_INTERVAL;
            self.agents.deferred_syncs.insert(link, start_at);
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
        let previous = self.agents.agent_states.get(&link);
        let complete_at = if digest == self.chosen.summary().digest {
            now
        } else {
            previous.map_or(now, |previous| previous.up_to_date_at)
        };
        let state = AgentState {
            items,
            digest,
            up_to_date_at: complete_at,
        };
        self.agents.agent_states.insert(link, state);
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
        let share = self.counter_reach_share();
        let is_late = now + self.clock_offset - time > limits::MAX_CLOCK_DIFFERENCE;
        if is_late {
            self.send_clock(now, link, out);
        }
        let may_count = !is_late && !self.counter.is_suspended(now);
        let term = self.acting_term(now, SingletonRole::Counter);
        let answer = match term.filter(|_| may_count) {
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

    /// Whether another replica, which belongs to the zone of an agent, is reachable.
    fn has_reachable_zone_replica(&self, now: i64, zone: &str) -> bool {
        let position = self.zones.iter().position(|other| other == zone);
        let zone_replica = position.map(|position| position as ReplicaId);
        zone_replica.is_some_and(|replica| {
            replica != self.table.local().replica && self.table.is_reachable(now, replica)
        })
    }

    /// Starts to send an agent the server list and the items that it lacks.
    fn start_sync(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let digests = self.agents.known_digests.remove(&link);
        if !self.catch_up.has_been_up_to_date() {
            let items = self.chosen.len();
            out.push(Output::Log(Event::PartialTransfer { link, items }));
        }
        if self.server_list.is_known() {
            out.push(Output::SendToAgents(vec![link], self.servers_message(now)));
        }
        let sync = PendingSync {
            digests: digests.unwrap_or_default(),
            start_after: None,
            unacknowledged_chunks: 0,
            progressed_at: now,
        };
        self.agents.pending_syncs.insert(link, sync);
        self.send_chunks(now, link, out);
    }

    /// Sends the next chunk to an agent that has acknowledged nothing for [`limits::CHUNK_ACK_TIMEOUT`].
    fn resume_stalled_sync(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let sync = self.agents.pending_syncs.get(&link);
        if sync.is_some_and(|sync| now - sync.progressed_at > limits::CHUNK_ACK_TIMEOUT) {
            self.handle_chunk_ack(now, link, out);
        }
    }

    /// An agent has acknowledged a chunk.
    fn handle_chunk_ack(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        if let Some(sync) = self.agents.pending_syncs.get_mut(&link) {
            sync.unacknowledged_chunks = sync.unacknowledged_chunks.saturating_sub(1);
            sync.progressed_at = now;
            self.send_chunks(now, link, out);
        }
    }

    /// Sends an agent chunks up to the maximum number in flight.
    fn send_chunks(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let Some(sync) = self.agents.pending_syncs.get_mut(&link) else {
            return;
        };
        let remaining =
            limits::MAX_UNACKNOWLEDGED_CHUNKS.saturating_sub(sync.unacknowledged_chunks);
        if remaining == 0 {
            return;
        }
        let missing = self
            .chosen
            .items_missing_from(&sync.digests, sync.start_after.as_ref());
        let split = split_into_chunks(self.transfer_limits, missing, |item| item);
        let has_more = split.has_more || split.chunks.len() > remaining;
        for chunk in split.chunks.into_iter().take(remaining) {
            if let Some(last) = chunk.last() {
                sync.start_after = Some(last.name.clone());
            }
            sync.unacknowledged_chunks += 1;
            sync.progressed_at = now;
            let items = ControlMessage::Items(chunk.into_iter().cloned().collect());
            out.push(Output::SendToAgents(vec![link], items));
        }
        if !has_more {
            self.agents.pending_syncs.remove(&link);
            let message = self.completeness(now).message();
            out.extend(message.map(|message| Output::SendToAgents(vec![link], message)));
        }
    }

    /// How much of the configuration this replica knows.
    pub fn completeness(&self, now: i64) -> Completeness {
        if self.catch_up.is_up_to_date() && self.table.has_quorum_contact(now) {
            Completeness::Complete
        } else if self.catch_up.has_been_up_to_date() {
            Completeness::Snapshot
        } else {
            Completeness::Partial
        }
    }

    /// Starts the deferred transfers to agents that have not moved to the replica of their own zone in time.
    pub(super) fn drive_deferred_syncs(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self.agents.deferred_syncs.iter();
        let due = due.filter(|(_, start_at)| **start_at <= now);
        for link in due.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.agents.deferred_syncs.remove(&link);
            self.start_sync(now, link, out);
        }
    }

    /// Advances the shared clock by which the limiters number quota windows. It follows the fastest clock and is
    /// independent of the time of day. The replicas send it to each other and to their agents, so that all limiters
    /// number windows alike.
    pub(super) fn advance_clock(&mut self, now: i64, time: i64) {
        let ahead = time.saturating_sub(now).saturating_sub(self.clock_offset);
        self.clock_offset += ahead.max(0);
        if ahead > limits::MAX_CLOCK_DIFFERENCE {
            // The window numbers jump: additions so far were counted under other numbers.
            self.counter.suspend(now, ahead.min(limits::QUOTA_WINDOW));
        }
    }

    /// The share of the limiters that reach this counter. The others use even slices of the quotas without it, which
    /// must remain available to them.
    fn counter_reach_share(&self) -> f64 {
        let limiters = self.membership.recently_serving_count();
        let reaching_limiters = self.agents.counter_links.len();
        if reaching_limiters >= limiters {
            return 1.0;
        }
        let share = reaching_limiters as f64 / limiters as f64;
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

    /// The address and the term of the replica that holds the lease on the counter, as far as known.
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
            has_quorum: self.table.has_quorum_contact(now) && !self.is_shutting_down,
            limiter_count: serving.total.max(recently_serving),
            zone_limiter_count: serving.in_zone,
        };
        AnnouncedView {
            view,
            table_revision: self.table.revision(),
        }
    }

    /// How much the view of a zone has changed since it was announced. This runs after most inputs, and is cheap if
    /// nothing has changed.
    fn view_change(&self, now: i64, zone: &str, announced: &AnnouncedView) -> ViewChange {
        let previous = &announced.view;
        let has_quorum = self.table.has_quorum_contact(now) && !self.is_shutting_down;
        if previous.counter != self.counter_holder(now)
            || previous.has_quorum != has_quorum
            || announced.table_revision != self.table.revision()
        {
            return ViewChange::Major;
        }
        let serving = self.membership.serving_counts(zone);
        let recently_serving = self.membership.recently_serving_count() as u32;
        let limiters = serving.total.max(recently_serving);
        let difference = previous.limiter_count.abs_diff(limiters);
        if difference == 0 && previous.zone_limiter_count == serving.in_zone {
            ViewChange::None
        } else if difference * limits::MINOR_LIMITER_CHANGE_DIVISOR > previous.limiter_count {
            // Limiters that each use an even slice of a quota exceed it if they keep a number that is much too low.
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
        self.agents.has_unannounced_count = false;
        if self.agents.agent_zones.is_empty() {
            return;
        }
        let mut links_by_zone: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, zone) in &self.agents.agent_zones {
            links_by_zone.entry(zone).or_default().push(*link);
        }
        let mut announced = std::mem::take(&mut self.agents.announced_views);
        announced.retain(|zone, _| links_by_zone.contains_key(zone));
        let mut unchanged = Vec::new();
        let mut has_announced = false;
        for (zone, links) in links_by_zone {
            let change = match announced.get(zone) {
                Some(announced) => self.view_change(now, zone, announced),
                None => ViewChange::Major,
            };
            // Without the delay, each of many starting limiters would be announced to all others separately.
            let is_deferred = change == ViewChange::Minor && now < self.agents.next_count_update_at;
            self.agents.has_unannounced_count |= is_deferred;
            if change == ViewChange::None || is_deferred {
                unchanged.extend(links);
                continue;
            }
            let view = self.cluster_view(now, zone);
            let message = ControlMessage::ClusterView(view.view.clone());
            let previous = announced.get(zone);
            let regained_quorum =
                view.view.has_quorum && previous.is_some_and(|previous| !previous.view.has_quorum);
            out.push(Output::SendToAgents(links.clone(), message));
            // An agent treats its items as incomplete from the loss of the quorum on.
            if regained_quorum && self.catch_up.is_up_to_date() {
                self.announce_complete_to(links, out);
            }
            announced.insert(zone.clone(), view);
            has_announced = true;
        }
        self.agents.announced_views = announced;
        if has_announced {
            self.agents.next_count_update_at = now + limits::LIMITER_COUNT_INTERVAL;
        }
        if announcement == Announcement::WithKeepAlive && !unchanged.is_empty() {
            let keep_alive = ControlMessage::Items(Vec::new());
            out.push(Output::SendToAgents(unchanged, keep_alive));
        }
    }

    /// Sends a message to the agents on these links, if there are any.
    fn send_to_agents(&self, links: Vec<u64>, message: ControlMessage, out: &mut Vec<Output>) {
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, message));
        }
    }

    /// Sends newly chosen items to the agents.
    pub(super) fn announce_items(&self, items: Vec<Item>, out: &mut Vec<Output>) {
        self.send_to_agents(self.agents.links(), ControlMessage::Items(items), out);
    }

    /// Notifies the agents whose initial transfer is complete that they have all items in force.
    pub(super) fn announce_complete(&self, out: &mut Vec<Output>) {
        self.announce_complete_to(self.agents.links(), out);
    }

    fn announce_complete_to(&self, mut links: Vec<u64>, out: &mut Vec<Output>) {
        links.retain(|link| {
            let is_deferred = self.agents.deferred_syncs.contains_key(link);
            !is_deferred && !self.agents.pending_syncs.contains_key(link)
        });
        self.send_to_agents(links, ControlMessage::Complete, out);
    }

    fn servers_message(&self, now: i64) -> ControlMessage {
        ControlMessage::Servers {
            version: self.server_list.version(),
            servers: self.server_list.current(now),
        }
    }

    /// Sends the platform's list of servers to the agents.
    pub(super) fn announce_servers(&self, now: i64, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, self.servers_message(now)));
        }
    }
}
