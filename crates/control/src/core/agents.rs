//! The agents linked to this replica: their leases, what they are told, and their adds to the count.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use protocol::items::{Item, ItemName};
use protocol::messages::{AgentMessage, ClusterView, ControlMessage};

use super::peer_messages::{ReplicaId, SingletonRole};
use super::transfer::split_into_chunks;
use super::{Core, Output};
use crate::limits;

/// What has changed of who is who.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewChange {
    Nothing,
    /// How many limiters there are, by little.
    Little,
    Much,
}

/// What the agents of a zone were told last.
#[derive(Clone, Debug)]
struct AnnouncedView {
    who: ClusterView,
    /// The table of replicas, then.
    replicas: u64,
}

/// What an agent holds, as it said.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AgentState {
    /// How many items.
    pub items: u32,
    digest: u64,
    /// That was all there is, then.
    whole: i64,
}

impl AgentState {
    /// How long it has held less than there is, in microseconds; counted from when it last said to hold all.
    pub fn behind(&self, now: i64, digest: u64) -> i64 {
        if self.digest == digest {
            0
        } else {
            now - self.whole
        }
    }
}

/// An agent that has not been told all yet.
#[derive(Clone, Debug)]
struct PendingSync {
    /// What it had at the start of its link, by parts.
    have: Vec<u64>,
    /// It was told all up to this name; what changes later is news, and told to it at once.
    after: Option<ItemName>,
    /// Pieces that it has not said to hold.
    open: usize,
    /// When it last said so, or was told something.
    moved: i64,
}

/// The links of agents.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentLinks {
    /// The zone of each one that wants news.
    zones: BTreeMap<u64, String>,
    /// What each zone was told last.
    told: BTreeMap<String, AnnouncedView>,
    /// Links that are for the count alone, and when something came on them.
    counting: BTreeMap<u64, i64>,
    /// What each holds as it said last, and when that was last all there is.
    holding: BTreeMap<u64, AgentState>,
    /// Those that are told all then: they have just started, and go to the replica of their own zone before that.
    later: BTreeMap<u64, i64>,
    /// What those know already that have not said yet who they are.
    have: BTreeMap<u64, Vec<u64>>,
    /// Those that are told all piece by piece.
    owing: BTreeMap<u64, PendingSync>,
    /// How many limiters there are is told again then at the earliest...
    counts: i64,
    /// ...and is owed.
    owed: bool,
}

impl AgentLinks {
    fn links(&self) -> Vec<u64> {
        self.zones.keys().copied().collect()
    }

    /// A link without a zone is one for the count.
    fn counts(&mut self, now: i64, link: u64) {
        if !self.zones.contains_key(&link) {
            self.counting.insert(link, now);
        }
        self.counting
            .retain(|_, heard| now - *heard <= limits::COUNTER_CONTACT_TIMEOUT);
    }

    /// What the agent on a link holds, if it has said so.
    pub(super) fn holding(&self, link: u64) -> Option<AgentState> {
        self.holding.get(&link).copied()
    }

    /// When something is owed to them.
    pub(super) fn wake(&self) -> Option<i64> {
        self.owed
            .then_some(self.counts)
            .into_iter()
            .chain(self.later.values().copied())
            .min()
    }
}

impl Core {
    /// A message of an agent.
    pub(super) fn agent(&mut self, now: i64, link: u64, up: AgentMessage, out: &mut Vec<Output>) {
        let changed = match up {
            AgentMessage::Hello(edge) => {
                let (zone, home) = (edge.zone.clone(), edge.zone.clone());
                self.overload_homes.joined(link, &edge.region);
                let changed = self.members.hello(now, link, edge);
                self.agents.zones.insert(link, zone.clone());
                let to = || vec![link];
                // All of a zone stand on the same: what is news goes to all of them afterwards.
                let told = self
                    .agents
                    .told
                    .get(&zone)
                    .cloned()
                    .unwrap_or_else(|| self.who(now, &zone));
                out.push(Output::SendToAgents(
                    to(),
                    ControlMessage::ClusterView(told.who.clone()),
                ));
                self.agents.told.insert(zone, told);
                if !self.agents.have.contains_key(&link) && self.has_home(now, &home) {
                    self.agents
                        .later
                        .insert(link, now + limits::HEARTBEAT_INTERVAL);
                } else {
                    self.tell_all(now, link, out);
                }
                changed
            }
            AgentMessage::KnownDigests(parts) => {
                self.agents.have.insert(link, parts);
                false
            }
            AgentMessage::ConfigState { items, digest } => {
                let before = self
                    .agents
                    .holding
                    .get(&link)
                    .map_or(now, |before| before.whole);
                let whole = if digest == self.news.holding().1 {
                    now
                } else {
                    before
                };
                self.agents.holding.insert(
                    link,
                    AgentState {
                        items,
                        digest,
                        whole,
                    },
                );
                self.credit(now, link, out);
                false
            }
            AgentMessage::Heartbeat(standing) => {
                let silent = |owed: &PendingSync| now - owed.moved > limits::CHUNK_ACK_TIMEOUT;
                if self.agents.owing.get(&link).is_some_and(silent) {
                    self.credit(now, link, out);
                }
                self.members.beat(now, link, standing)
            }
            AgentMessage::LoadReports(reports) => {
                let me = self.replicas.me().replica;
                self.overload_homes.told(now, me, link, &reports);
                false
            }
            AgentMessage::Clock(time) => {
                self.raise(now, time);
                self.agents.counts(now, link);
                out.push(Output::SendToAgents(
                    vec![link],
                    ControlMessage::Clock(now + self.ahead),
                ));
                false
            }
            AgentMessage::CounterBatch { batch, time, adds } => {
                self.raise(now, time);
                self.agents.counts(now, link);
                let share = self.reached();
                let behind = now + self.ahead - time > limits::MAX_CLOCK_DIFFERENCE;
                if behind {
                    out.push(Output::SendToAgents(
                        vec![link],
                        ControlMessage::Clock(now + self.ahead),
                    ));
                }
                let counts = !behind && !self.count.is_suspended(now);
                let down = match self.holds(now, SingletonRole::Counter).filter(|_| counts) {
                    Some(term) => ControlMessage::Totals {
                        batch,
                        totals: self.count.add(now, term, share, &adds),
                    },
                    None => ControlMessage::NotCounted(batch),
                };
                out.push(Output::SendToAgents(vec![link], down));
                false
            }
        };
        if changed {
            self.spread_members(out);
        }
    }

    /// An agent of this zone has a replica of its own, and that is well as far as is known here.
    fn has_home(&self, now: i64, zone: &str) -> bool {
        let replica = self
            .zones
            .iter()
            .position(|other| other == zone)
            .map(|replica| replica as ReplicaId);
        replica.is_some_and(|replica| {
            replica != self.replicas.me().replica && self.replicas.hears(now, replica)
        })
    }

    /// Tells an agent all that it lacks.
    fn tell_all(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let have = self.agents.have.remove(&link).unwrap_or_default();
        if self.listed.known() {
            let list = ControlMessage::Servers {
                version: self.listed.version(),
                servers: self.listed.list(now),
            };
            out.push(Output::SendToAgents(vec![link], list));
        }
        self.agents.owing.insert(
            link,
            PendingSync {
                have,
                after: None,
                open: 0,
                moved: now,
            },
        );
        self.tell_more(now, link, out);
    }

    /// An agent has taken a piece in.
    fn credit(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        if let Some(owed) = self.agents.owing.get_mut(&link) {
            owed.open = owed.open.saturating_sub(1);
            owed.moved = now;
            self.tell_more(now, link, out);
        }
    }

    /// Tells an agent the next pieces of what it lacks.
    fn tell_more(&mut self, now: i64, link: u64, out: &mut Vec<Output>) {
        let Some(owed) = self.agents.owing.get_mut(&link) else {
            return;
        };
        let room = limits::MAX_UNACKNOWLEDGED_CHUNKS.saturating_sub(owed.open);
        if room == 0 {
            return;
        }
        let lacking = self.news.lacking(&owed.have, owed.after.as_ref());
        let (mut pieces, mut more) = split_into_chunks(self.bounds, lacking, |item| item);
        more |= pieces.len() > room;
        pieces.truncate(room);
        for piece in pieces {
            owed.after = piece
                .last()
                .map(|item| item.name.clone())
                .or(owed.after.take());
            (owed.open, owed.moved) = (owed.open + 1, now);
            let items = piece.into_iter().cloned().collect();
            out.push(Output::SendToAgents(
                vec![link],
                ControlMessage::Items(items),
            ));
        }
        if !more {
            self.agents.owing.remove(&link);
            if self.whole && self.replicas.in_touch(now) {
                out.push(Output::SendToAgents(vec![link], ControlMessage::Complete));
            }
        }
    }

    /// Agents that were to find their own replica first, and have not left.
    pub(super) fn agents_turn(&mut self, now: i64, out: &mut Vec<Output>) {
        let due = self.agents.later.iter().filter(|(_, at)| **at <= now);
        for link in due.map(|(link, _)| *link).collect::<Vec<_>>() {
            self.agents.later.remove(&link);
            self.tell_all(now, link, out);
        }
    }

    /// The limiters' clock: whoever is ahead leads, and the time of day has no part in it. Replicas tell it on from agent to
    /// agent, the holder of the count to all, so that all limiters tell the windows of a tenant apart alike.
    pub(super) fn raise(&mut self, now: i64, time: i64) {
        let by = time.saturating_sub(now).saturating_sub(self.ahead);
        self.ahead += by.max(0);
        if by > limits::MAX_CLOCK_DIFFERENCE {
            // What was counted has other names from now on.
            self.count.suspend(now, by.min(limits::QUOTA_WINDOW));
        }
    }

    /// The share of the limiters that reach this count. The others go by even slices, which must be left for them.
    fn reached(&self) -> f64 {
        let all = self.members.lately();
        let here = self.agents.counting.len();
        if here >= all {
            1.0
        } else {
            (here as f64 / all as f64).max(limits::MIN_REACHED_SHARE)
        }
    }

    /// An agent's link is gone.
    pub(super) fn agent_gone(&mut self, _now: i64, link: u64, out: &mut Vec<Output>) {
        self.agents.zones.remove(&link);
        self.agents.counting.remove(&link);
        self.agents.have.remove(&link);
        self.agents.owing.remove(&link);
        self.agents.holding.remove(&link);
        self.agents.later.remove(&link);
        self.overload_homes.left(link);
        if self.members.gone(link) {
            self.spread_members(out);
        }
    }

    /// The holder of the count, as far as known, and its term.
    fn holder(&self, now: i64) -> Option<(SocketAddr, u64)> {
        let holder = self.duties[SingletonRole::Counter as usize].holder(now);
        let own = self
            .holds(now, SingletonRole::Counter)
            .map(|term| (self.replicas.me().replica, term));
        let (replica, term) = own.or(holder.map(|term| (term.by.replica, term.number)))?;
        Some((self.replicas.address(replica)?, term))
    }

    fn who(&self, now: i64, zone: &str) -> AnnouncedView {
        let (limiters, in_zone) = self.members.serving(zone);
        let who = ClusterView {
            replicas: self
                .replicas
                .for_agents(&self.zones)
                .map(|(zone, at)| (zone.to_string(), at))
                .collect(),
            counter: self.holder(now),
            has_quorum: self.replicas.in_touch(now) && !self.stopping,
            limiters: limiters.max(self.members.lately() as u32),
            limiters_in_zone: in_zone,
        };
        AnnouncedView {
            who,
            replicas: self.replicas.revision(),
        }
    }

    /// What is news to agents of a zone that were told `before`; it is looked for after most inputs, and costs little
    /// where it is nothing.
    fn news_since(&self, now: i64, zone: &str, told: &AnnouncedView) -> ViewChange {
        let before = &told.who;
        let (limiters, in_zone) = self.members.serving(zone);
        let limiters = limiters.max(self.members.lately() as u32);
        let in_touch = self.replicas.in_touch(now) && !self.stopping;
        if before.counter != self.holder(now)
            || before.has_quorum != in_touch
            || told.replicas != self.replicas.revision()
        {
            return ViewChange::Much;
        }
        // Danger: limiters that each take an even slice must not stay with a count that is too low by much.
        match before.limiters.abs_diff(limiters) {
            0 if before.limiters_in_zone == in_zone => ViewChange::Nothing,
            changed if changed * limits::MINOR_LIMITER_CHANGE_DIVISOR > before.limiters => {
                ViewChange::Much
            }
            _ => ViewChange::Little,
        }
    }

    /// Tells the agents who is who, where that has changed or as a sign of life.
    pub(super) fn tell_who(&mut self, now: i64, beat: bool, out: &mut Vec<Output>) {
        if self.agents.zones.is_empty() {
            self.agents.owed = false;
            return;
        }
        let mut zones: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, zone) in &self.agents.zones {
            zones.entry(zone).or_default().push(*link);
        }
        let (mut told, mut quiet, mut news) =
            (std::mem::take(&mut self.agents.told), Vec::new(), false);
        told.retain(|zone, _| zones.contains_key(zone));
        self.agents.owed = false;
        for (zone, links) in zones {
            let change = told.get(zone).map_or(ViewChange::Much, |before| {
                self.news_since(now, zone, before)
            });
            // Danger: when many limiters start, each would be told of each by all.
            let later = change == ViewChange::Little && now < self.agents.counts;
            self.agents.owed |= later;
            if change == ViewChange::Nothing || later {
                quiet.extend(links.into_iter().filter(|_| beat));
                continue;
            }
            let who = self.who(now, zone);
            out.push(Output::SendToAgents(
                links,
                ControlMessage::ClusterView(who.who.clone()),
            ));
            told.insert(zone.clone(), who);
            news = true;
        }
        if news {
            self.agents.counts = now + limits::LIMITER_COUNT_INTERVAL;
        }
        if !quiet.is_empty() {
            out.push(Output::SendToAgents(
                quiet,
                ControlMessage::Items(Vec::new()),
            ));
        }
        self.agents.told = told;
    }

    /// Tells the agents of items that are chosen.
    pub(super) fn tell_items(&self, items: Vec<Item>, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, ControlMessage::Items(items)));
        }
    }

    /// Tells the agents that they know all that is in force.
    pub(super) fn tell_whole(&self, out: &mut Vec<Output>) {
        let mut links = self.agents.links();
        links.retain(|link| {
            !self.agents.later.contains_key(link) && !self.agents.owing.contains_key(link)
        });
        if !links.is_empty() {
            out.push(Output::SendToAgents(links, ControlMessage::Complete));
        }
    }

    /// Tells the agents the platform's list.
    pub(super) fn tell_servers(&self, now: i64, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            let (version, servers) = (self.listed.version(), self.listed.list(now));
            out.push(Output::SendToAgents(
                links,
                ControlMessage::Servers { version, servers },
            ));
        }
    }
}
