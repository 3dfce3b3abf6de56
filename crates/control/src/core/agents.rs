//! The agents linked to this replica: their leases, what they are told, and their adds to the count.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::items::{Item, ItemName};
use protocol::messages::{AgentMessage, ClusterView, ControlMessage};

use super::peer_messages::{ReplicaId, SingletonRole};
use super::transfer::split_into_chunks;
use super::{Output, Replica};
use crate::limits;

/// What has changed of who is who.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewChange {
    Nothing,
    /// How many limiters there are, by little.
    Minor,
    Major,
}

/// What the agents of a zone were told last.
#[derive(Clone, Debug)]
struct AnnouncedView {
    view: ClusterView,
    /// The table of replicas, then.
    table_revision: u64,
}

/// What an agent holds, as it said.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgentState {
    /// How many items.
    pub items: u32,
    digest: u64,
    /// That was all there is, then.
    complete_at: i64,
}

impl AgentState {
    /// How long it has held less than there is, in microseconds; counted from when it last said to hold all.
    pub fn behind(&self, now: i64, digest: u64) -> i64 {
        if self.digest == digest {
            0
        } else {
            now - self.complete_at
        }
    }
}

/// An agent that has not been told all yet.
#[derive(Clone, Debug)]
struct PendingSync {
    /// What it had at the start of its link, by parts.
    digests: Vec<u64>,
    /// It was told all up to this name; what changes later is news, and told to it at once.
    after: Option<ItemName>,
    /// Pieces that it has not said to hold.
    unacknowledged: usize,
    /// When it last said so, or was told something.
    progressed_at: i64,
}

/// The links of agents.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentLinks {
    /// The zone of each one that wants news.
    zones: BTreeMap<u64, String>,
    /// What each zone was told last.
    announced: BTreeMap<String, AnnouncedView>,
    /// Links that are for the count alone, and when something came on them.
    counting: BTreeMap<u64, i64>,
    /// What each holds as it said last, and when that was last all there is.
    states: BTreeMap<u64, AgentState>,
    /// Those that are told all then: they have just started, and go to the replica of their own zone before that.
    deferred: BTreeMap<u64, i64>,
    /// What those know already that have not said yet who they are.
    known_digests: BTreeMap<u64, Vec<u64>>,
    /// Those that are told all piece by piece.
    pending: BTreeMap<u64, PendingSync>,
    /// How many limiters there are is told again then at the earliest...
    next_count_update: i64,
    /// ...and is owed.
    count_update_due: bool,
}

impl AgentLinks {
    fn links(&self) -> Vec<u64> {
        self.zones.keys().copied().collect()
    }

    /// A link without a zone is one for the count.
    fn record_counter_link(&mut self, now: i64, link: u64) {
        if !self.zones.contains_key(&link) {
            self.counting.insert(link, now);
        }
        self.counting
            .retain(|_, heard| now - *heard <= limits::COUNTER_CONTACT_TIMEOUT);
    }

    /// What the agent on a link holds, if it has said so.
    pub(super) fn state(&self, link: u64) -> Option<AgentState> {
        self.states.get(&link).copied()
    }

    /// When something is owed to them.
    pub(super) fn wake_at(&self) -> Option<i64> {
        self.count_update_due
            .then_some(self.next_count_update)
            .into_iter()
            .chain(self.deferred.values().copied())
            .min()
    }
}

impl Replica {
    /// A message of an agent.
    pub(super) fn handle_agent_message(
        &mut self,
        now: i64,
        link: u64,
        up: AgentMessage,
        out: &mut Vec<Output>,
    ) {
        let changed = match up {
            AgentMessage::Hello(edge) => {
                let (zone, home) = (edge.zone.clone(), edge.zone.clone());
                self.load.add_agent(link, &edge.region);
                let changed = self.membership.handle_hello(now, link, edge);
                self.agents.zones.insert(link, zone.clone());
                let to = || vec![link];
                // All of a zone stand on the same: what is news goes to all of them afterwards.
                let told = self
                    .agents
                    .announced
                    .get(&zone)
                    .cloned()
                    .unwrap_or_else(|| self.cluster_view(now, &zone));
                out.push(Output::SendToAgents(
                    to(),
                    ControlMessage::ClusterView(told.view.clone()),
                ));
                self.agents.announced.insert(zone, told);
                if !self.agents.known_digests.contains_key(&link)
                    && self.has_reachable_home(now, &home)
                {
                    self.agents
                        .deferred
                        .insert(link, now + limits::HEARTBEAT_INTERVAL);
                } else {
                    self.start_sync(now, link, out);
                }
                changed
            }
            AgentMessage::KnownDigests(parts) => {
                self.agents.known_digests.insert(link, parts);
                false
            }
            AgentMessage::ConfigState { items, digest } => {
                let before = self
                    .agents
                    .states
                    .get(&link)
                    .map_or(now, |before| before.complete_at);
                let whole = if digest == self.chosen.agent_digest().1 {
                    now
                } else {
                    before
                };
                self.agents.states.insert(
                    link,
                    AgentState {
                        items,
                        digest,
                        complete_at: whole,
                    },
                );
                self.handle_chunk_ack(now, link, out);
                false
            }
            AgentMessage::Heartbeat(standing) => {
                let silent =
                    |owed: &PendingSync| now - owed.progressed_at > limits::CHUNK_ACK_TIMEOUT;
                if self.agents.pending.get(&link).is_some_and(silent) {
                    self.handle_chunk_ack(now, link, out);
                }
                self.membership.handle_heartbeat(now, link, standing)
            }
            AgentMessage::LoadReports(reports) => {
                let me = self.table.local().replica;
                self.load.handle_reports(now, me, link, &reports);
                false
            }
            AgentMessage::Clock(time) => {
                self.advance_clock(now, time);
                self.agents.record_counter_link(now, link);
                out.push(Output::SendToAgents(
                    vec![link],
                    ControlMessage::Clock(now + self.clock_offset),
                ));
                false
            }
            AgentMessage::CounterBatch { batch, time, adds } => {
                self.advance_clock(now, time);
                self.agents.record_counter_link(now, link);
                let share = self.reached_share();
                let behind = now + self.clock_offset - time > limits::MAX_CLOCK_DIFFERENCE;
                if behind {
                    out.push(Output::SendToAgents(
                        vec![link],
                        ControlMessage::Clock(now + self.clock_offset),
                    ));
                }
                let counts = !behind && !self.counter.is_suspended(now);
                let down = match self
                    .acting_term(now, SingletonRole::Counter)
                    .filter(|_| counts)
                {
                    Some(term) => ControlMessage::Totals {
                        batch,
                        totals: self.counter.add(now, term, share, &adds),
                    },
                    None => ControlMessage::NotCounted(batch),
                };
                out.push(Output::SendToAgents(vec![link], down));
                false
            }
        };
        if changed {
            self.broadcast_membership(out);
        }
    }

    /// An agent of this zone has a replica of its own, and that is well as far as is known here.
    fn has_reachable_home(&self, now: i64, zone: &str) -> bool {
        let replica = self
            .zones
            .iter()
            .position(|other| other == zone)
            .map(|replica| replica as ReplicaId);
        replica.is_some_and(|replica| {
            replica != self.table.local().replica && self.table.is_reachable(now, replica)
        })
    }

    /// Tells an agent all that it lacks.
    fn start_sync(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let have = self.agents.known_digests.remove(&link).unwrap_or_default();
        if self.server_list.is_known() {
            let list = ControlMessage::Servers {
                version: self.server_list.version(),
                servers: self.server_list.current(now),
            };
            out.push(Output::SendToAgents(vec![link], list));
        }
        self.agents.pending.insert(
            link,
            PendingSync {
                digests: have,
                after: None,
                unacknowledged: 0,
                progressed_at: now,
            },
        );
        self.send_chunks(now, link, out);
    }

    /// An agent has taken a piece in.
    fn handle_chunk_ack(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        if let Some(owed) = self.agents.pending.get_mut(&link) {
            owed.unacknowledged = owed.unacknowledged.saturating_sub(1);
            owed.progressed_at = now;
            self.send_chunks(now, link, out);
        }
    }

    /// Tells an agent the next pieces of what it lacks.
    fn send_chunks(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let Some(owed) = self.agents.pending.get_mut(&link) else {
            return;
        };
        let room = limits::MAX_UNACKNOWLEDGED_CHUNKS.saturating_sub(owed.unacknowledged);
        if room == 0 {
            return;
        }
        let lacking = self
            .chosen
            .items_missing_from(&owed.digests, owed.after.as_ref());
        let (mut pieces, mut more) = split_into_chunks(self.transfer_limits, lacking, |item| item);
        more |= pieces.len() > room;
        pieces.truncate(room);
        for piece in pieces {
            owed.after = piece
                .last()
                .map(|item| item.name.clone())
                .or(owed.after.take());
            (owed.unacknowledged, owed.progressed_at) = (owed.unacknowledged + 1, now);
            let items = piece.into_iter().cloned().collect();
            out.push(Output::SendToAgents(
                vec![link],
                ControlMessage::Items(items),
            ));
        }
        if !more {
            self.agents.pending.remove(&link);
            if self.up_to_date && self.table.has_quorum_contact(now) {
                out.push(Output::SendToAgents(vec![link], ControlMessage::Complete));
            }
        }
    }

    /// Agents that were to find their own replica first, and have not left.
    pub(super) fn drive_deferred_syncs(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self.agents.deferred.iter().filter(|(_, at)| **at <= now);
        for link in due.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.agents.deferred.remove(&link);
            self.start_sync(now, link, out);
        }
    }

    /// The limiters' clock: whoever is ahead leads, and the time of day has no part in it. Replicas tell it on from agent to
    /// agent, the holder of the count to all, so that all limiters tell the windows of a tenant apart alike.
    pub(super) fn advance_clock(&mut self, now: i64, time: i64) {
        let by = time.saturating_sub(now).saturating_sub(self.clock_offset);
        self.clock_offset += by.max(0);
        if by > limits::MAX_CLOCK_DIFFERENCE {
            // What was counted has other names from now on.
            self.counter.suspend(now, by.min(limits::QUOTA_WINDOW));
        }
    }

    /// The share of the limiters that reach this count. The others go by even slices, which must be left for them.
    fn reached_share(&self) -> f64 {
        let all = self.membership.recently_serving_count();
        let here = self.agents.counting.len();
        if here >= all {
            1.0
        } else {
            (here as f64 / all as f64).max(limits::MIN_REACHED_SHARE)
        }
    }

    /// An agent's link is gone.
    pub(super) fn handle_agent_disconnected(
        &mut self,
        _now: i64,
        link: u64,
        out: &mut Vec<Output>,
    ) {
        self.agents.zones.remove(&link);
        self.agents.counting.remove(&link);
        self.agents.known_digests.remove(&link);
        self.agents.pending.remove(&link);
        self.agents.states.remove(&link);
        self.agents.deferred.remove(&link);
        self.load.remove_agent(link);
        if self.membership.handle_disconnect(link) {
            self.broadcast_membership(out);
        }
    }

    /// The holder of the count, as far as known, and its term.
    fn counter_holder(&self, now: i64) -> Option<(SocketAddr, u64)> {
        let holder = self.role_leases[SingletonRole::Counter as usize].known_holder(now);
        let own = self
            .acting_term(now, SingletonRole::Counter)
            .map(|term| (self.table.local().replica, term));
        let (replica, term) = own.or(holder.map(|term| (term.holder.replica, term.number)))?;
        Some((self.table.address(replica)?, term))
    }

    fn cluster_view(&self, now: i64, zone: &str) -> AnnouncedView {
        let (limiters, in_zone) = self.membership.serving_counts(zone);
        let who = ClusterView {
            replicas: self
                .table
                .addresses_by_zone(&self.zones)
                .map(|(zone, at)| (zone.to_string(), at))
                .collect(),
            counter: self.counter_holder(now),
            has_quorum: self.table.has_quorum_contact(now) && !self.shutting_down,
            limiters: limiters.max(self.membership.recently_serving_count() as u32),
            limiters_in_zone: in_zone,
        };
        AnnouncedView {
            view: who,
            table_revision: self.table.revision(),
        }
    }

    /// What is news to agents of a zone that were told `before`; it is looked for after most inputs, and costs little
    /// where it is nothing.
    fn view_change(&self, now: i64, zone: &str, told: &AnnouncedView) -> ViewChange {
        let before = &told.view;
        let (limiters, in_zone) = self.membership.serving_counts(zone);
        let limiters = limiters.max(self.membership.recently_serving_count() as u32);
        let in_touch = self.table.has_quorum_contact(now) && !self.shutting_down;
        if before.counter != self.counter_holder(now)
            || before.has_quorum != in_touch
            || told.table_revision != self.table.revision()
        {
            return ViewChange::Major;
        }
        // Danger: limiters that each take an even slice must not stay with a count that is too low by much.
        match before.limiters.abs_diff(limiters) {
            0 if before.limiters_in_zone == in_zone => ViewChange::Nothing,
            changed if changed * limits::MINOR_LIMITER_CHANGE_DIVISOR > before.limiters => {
                ViewChange::Major
            }
            _ => ViewChange::Minor,
        }
    }

    /// Tells the agents who is who, where that has changed or as a sign of life.
    pub(super) fn announce_view(&mut self, now: i64, beat: bool, out: &mut Vec<Output>) {
        if self.agents.zones.is_empty() {
            self.agents.count_update_due = false;
            return;
        }
        let mut zones: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, zone) in &self.agents.zones {
            zones.entry(zone).or_default().push(*link);
        }
        let (mut told, mut quiet, mut news) = (
            std::mem::take(&mut self.agents.announced),
            Vec::new(),
            false,
        );
        told.retain(|zone, _| zones.contains_key(zone));
        self.agents.count_update_due = false;
        for (zone, links) in zones {
            let change = told.get(zone).map_or(ViewChange::Major, |before| {
                self.view_change(now, zone, before)
            });
            // Danger: when many limiters start, each would be told of each by all.
            let later = change == ViewChange::Minor && now < self.agents.next_count_update;
            self.agents.count_update_due |= later;
            if change == ViewChange::Nothing || later {
                quiet.extend(links.into_iter().filter(|_| beat));
                continue;
            }
            let who = self.cluster_view(now, zone);
            out.push(Output::SendToAgents(
                links,
                ControlMessage::ClusterView(who.view.clone()),
            ));
            told.insert(zone.clone(), who);
            news = true;
        }
        if news {
            self.agents.next_count_update = now + limits::LIMITER_COUNT_INTERVAL;
        }
        if !quiet.is_empty() {
            out.push(Output::SendToAgents(
                quiet,
                ControlMessage::Items(Vec::new()),
            ));
        }
        self.agents.announced = told;
    }

    /// Tells the agents of items that are chosen.
    pub(super) fn announce_items(&self, items: Vec<Item>, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, ControlMessage::Items(items)));
        }
    }

    /// Tells the agents that they know all that is in force.
    pub(super) fn announce_complete(&self, out: &mut Vec<Output>) {
        let mut links = self.agents.links();
        links.retain(|link| {
            !self.agents.deferred.contains_key(link) && !self.agents.pending.contains_key(link)
        });
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, ControlMessage::Complete));
        }
    }

    /// Tells the agents the platform's list.
    pub(super) fn announce_servers(&self, now: i64, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            let (version, servers) = (self.server_list.version(), self.server_list.current(now));
            out.push(Output::SendToAgents(
                links,
                ControlMessage::Servers { version, servers },
            ));
        }
    }
}
