//! The agents of the edges and their connections.

use std::net::SocketAddr;

use agent::replica_selection::{
    COUNTER_LINK_IDLE_TIMEOUT, HOME_RETRY_INTERVAL, LINK_IDLE_TIMEOUT, LINK_QUORUM_LOSS_TIMEOUT,
};
use control::core::Input;
use control::limits::AGENT_LINK_TIMEOUT;
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo as Told, NodeState};
use streamarch::Outcome;

use super::{AGAIN, BEAT, CONNECT, Conn, Due, LOAD, Link};
use crate::cluster::{Cluster, CompletenessClaim, Event, MS};
use crate::harm::Bug;

impl Cluster {
    pub(super) fn lose(&mut self, id: u64) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.dead = true;
        }
    }

    pub(super) fn connect(&mut self, at: usize, to: SocketAddr) -> u64 {
        self.conn += 1;
        let id = self.conn;
        let node = self
            .nodes
            .iter()
            .position(|node| node.address == to)
            .unwrap_or(0);
        let (incarnation, node_incarnation) =
            (self.edges[at].incarnation, self.nodes[node].incarnation);
        let way = self.way(self.edges[at].zone, self.nodes[node].zone);
        let conn = Conn {
            edge: at,
            incarnation,
            node,
            node_incarnation,
            up: false,
            dead: false,
            heard: self.now,
        };
        self.conns.insert(id, conn);
        self.later(at, CONNECT, Due::Connect(id));
        if !self.apart(at, node) {
            let event = if self.nodes[node].core.is_some() {
                Event::Up(id)
            } else {
                Event::Lost(id)
            };
            self.enter(self.now + 2 * way, event);
        }
        id
    }

    pub(super) fn conn_up(&mut self, id: u64) {
        let Some(conn) = self
            .conns
            .get_mut(&id)
            .filter(|conn| !conn.dead && !conn.up)
        else {
            return;
        };
        conn.up = true;
        conn.heard = self.now;
        let (at, node, node_incarnation) = (conn.edge, conn.node, conn.node_incarnation);
        if self.nodes[node].core.is_none() || self.nodes[node].incarnation != node_incarnation {
            return self.lost(at, id);
        }
        if self.edges[at]
            .agent
            .count
            .is_some_and(|(count, ..)| count == id)
        {
            self.edges[at].agent.counted = self.now;
            return self.ask_time(at, id);
        }
        if let Some(link) = self.edges[at]
            .agent
            .link
            .as_mut()
            .filter(|link| link.conn == id)
        {
            link.heard = self.now;
        }
        let zone = self.edges[at].zone;
        let edge = Told {
            name: format!("edge-{at}"),
            zone: self.zones[zone].clone(),
            region: format!("r{}", zone / 2),
            http_address: SocketAddr::from(([10, 1, 0, at as u8], 8686)),
        };
        let standing = self.edges[at].agent.standing;
        self.say(id, AgentMessage::Hello(edge));
        self.ask_time(at, id);
        self.say(id, AgentMessage::Heartbeat(standing));
    }

    pub(super) fn say(&mut self, id: u64, up: AgentMessage) {
        let Some(conn) = self.conns.get(&id).filter(|conn| conn.up && !conn.dead) else {
            return;
        };
        let (edge, node) = (conn.edge, conn.node);
        if self.apart(edge, node) {
            return self.lose(id);
        }
        let way = self.way(self.edges[edge].zone, self.nodes[node].zone);
        self.enter(self.now + way, Event::ToReplica(id, up));
    }

    pub(super) fn at_replica(&mut self, id: u64, up: AgentMessage) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(&id).filter(|conn| !conn.dead) else {
            return;
        };
        let (edge, node, incarnation) = (conn.edge, conn.node, conn.node_incarnation);
        conn.heard = now;
        if self.apart(edge, node) {
            return self.lose(id);
        }
        if self.nodes[node].incarnation == incarnation {
            if matches!(up, AgentMessage::Heartbeat(_) | AgentMessage::Hello(_))
                && self.nodes[node].core.is_some()
            {
                self.edges[edge].heard = now;
            }
            for _ in 0..self.harmed_up(id, &up) {
                self.feed(node, Input::AgentMessage(id, up.clone()));
            }
        }
    }

    pub(crate) fn tell(&mut self, id: u64, down: ControlMessage) {
        let Some(conn) = self.conns.get(&id).filter(|conn| !conn.dead) else {
            return;
        };
        let (edge, node) = (conn.edge, conn.node);
        if self.apart(edge, node) {
            return self.lose(id);
        }
        let down = self.harmed_down(id, node, down);
        let way = self.way(self.edges[edge].zone, self.nodes[node].zone);
        self.enter(self.now + way, Event::ToEdge(id, down));
    }

    /// One end of a connection is gone; the other one hears of it, unless they are apart.
    pub(crate) fn reset(&mut self, id: u64, by_edge: bool) {
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        conn.dead = true;
        let (edge, node) = (conn.edge, conn.node);
        if self.apart(edge, node) {
            return;
        }
        let way = self.way(self.edges[edge].zone, self.nodes[node].zone);
        self.enter(
            self.now + way,
            if by_edge {
                Event::Gone(id)
            } else {
                Event::Lost(id)
            },
        );
    }

    pub(super) fn replica_lost(&mut self, id: u64) {
        let Some(conn) = self.conns.remove(&id) else {
            return;
        };
        if self.nodes[conn.node].incarnation == conn.node_incarnation {
            self.feed(conn.node, Input::AgentDisconnected(id));
        }
    }

    /// A machine closes connections on which it has heard nothing for long.
    pub(crate) fn silent_conns(&mut self) {
        let now = self.now;
        let silent = |conn: &&Conn| {
            let node = &self.nodes[conn.node];
            conn.up && now - conn.heard >= AGENT_LINK_TIMEOUT && !node.frozen && node.core.is_some()
        };
        let gone: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, conn)| silent(conn))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            let conn = &self.conns[&id];
            let (edge, incarnation) = (conn.edge, conn.incarnation);
            // The agent sees it by its silence, or by the reset.
            if self.edges[edge].incarnation == incarnation
                && self.edges[edge].up
                && !self.edges[edge].frozen
            {
                self.lost(edge, id);
            }
            self.replica_lost(id);
        }
    }

    /// A machine gives up the connections of all its agents.
    pub(crate) fn end_conns(&mut self, node: usize) {
        let of = |conn: &Conn| conn.up && conn.node == node;
        let ended: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, conn)| of(conn))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            let conn = &self.conns[&id];
            let (edge, incarnation) = (conn.edge, conn.incarnation);
            let runs = &self.edges[edge];
            if runs.incarnation == incarnation && runs.up && !runs.frozen && !self.apart(edge, node)
            {
                self.lost(edge, id);
            }
            self.replica_lost(id);
        }
    }

    /// An agent's connection is gone.
    pub(super) fn lost(&mut self, at: usize, id: u64) {
        self.reset(id, true);
        let agent = &mut self.edges[at].agent;
        if agent.link.as_ref().is_some_and(|link| link.conn == id) {
            let to = agent.link.take().map(|link| link.to);
            to.into_iter().for_each(|to| agent.links.skip_past(to));
            self.later(at, AGAIN, Due::Again);
        } else if agent.count.is_some_and(|(count, ..)| count == id) {
            agent.count = None;
            self.later(at, AGAIN, Due::CountAgain);
        } else if agent.homeward.is_some_and(|(home, _)| home == id) {
            agent.homeward = None;
        }
    }

    pub(super) fn agent_heard(&mut self, id: u64, message: ControlMessage) {
        let (at, now) = (self.conns[&id].edge, self.now);
        // Whatever it is, it is a sign of life.
        if let Some(link) = self.edges[at]
            .agent
            .link
            .as_mut()
            .filter(|link| link.conn == id)
        {
            link.heard = now;
        }
        if self.edges[at]
            .agent
            .count
            .is_some_and(|(count, ..)| count == id)
        {
            self.edges[at].agent.counted = now;
        }
        match message {
            ControlMessage::CounterTotals { batch, totals } => {
                if let Some((incarnation, batch)) = self.edges[at].agent.batches.remove(&batch) {
                    self.totals(at, incarnation, batch, Some(&totals));
                }
            }
            ControlMessage::NotCounted(batch) => {
                if let Some((incarnation, batch)) = self.edges[at].agent.batches.remove(&batch) {
                    self.totals(at, incarnation, batch, None);
                }
            }
            ControlMessage::ClusterView(ref who) => {
                let agent = &mut self.edges[at].agent;
                let (in_touch, replicas) = (who.has_quorum, who.replicas.clone());
                if let Some((_, to)) = agent.homeward.filter(|(home, _)| *home == id && in_touch) {
                    agent.homeward = None;
                    let new = Link {
                        conn: id,
                        to,
                        told: true,
                        astray: None,
                        heard: now,
                    };
                    if let Some(old) = agent.link.replace(new) {
                        self.reset(old.conn, true);
                    }
                }
                let agent = &mut self.edges[at].agent;
                let Some(link) = agent.link.as_mut().filter(|link| link.conn == id) else {
                    return;
                };
                (link.told, link.heard) = (true, now);
                link.astray = if in_touch {
                    None
                } else {
                    link.astray.or(Some(now))
                };
                if in_touch {
                    agent.links.set_replicas(&replicas);
                    agent.links.reset();
                } else {
                    agent.links.add_unconfirmed_replicas(&replicas);
                }
                self.pass_on(at, message);
                self.open_count(at);
            }
            ControlMessage::Items(items) => {
                let news = !items.is_empty();
                self.pass_on(at, ControlMessage::Items(items));
                if news
                    && self.edges[at]
                        .agent
                        .link
                        .as_ref()
                        .is_some_and(|link| link.conn == id)
                {
                    let holding = self.edges[at].agent.known.config_state();
                    self.say(id, holding);
                }
            }
            message => self.pass_on(at, message),
        }
    }

    pub(super) fn ask_time(&mut self, at: usize, id: u64) {
        let now = self.steady(at);
        let agent = &mut self.edges[at].agent;
        let time = agent.known.limiter_clock(now).unwrap_or(0);
        self.say(id, AgentMessage::Clock(time));
    }

    pub(super) fn pass_on(&mut self, at: usize, message: ControlMessage) {
        let now = self.steady(at);
        let all = matches!(message, ControlMessage::Items(_)) && self.has(Bug::News);
        let completeness = message.completeness();
        let message = if all {
            Some(message)
        } else {
            self.edges[at].agent.known.apply(now, message)
        };
        // With this harm items bypass the agent's cache, which the claim is compared with.
        if completeness.is_some() && !self.has(Bug::News) {
            self.record_completeness_claim(at);
        }
        if let Some(message) = message {
            self.proxy_heard(at, message);
        }
    }

    /// The agent's replica says that what it has sent is whole.
    fn record_completeness_claim(&mut self, at: usize) {
        let agent = &self.edges[at].agent;
        let link = agent.link.as_ref();
        let Some(conn) = link.and_then(|link| self.conns.get(&link.conn)) else {
            return;
        };
        let items = agent.known.items();
        let claim = CompletenessClaim {
            edge: at,
            started_at: self.nodes[conn.node].started_at,
            versions: items.map(|item| (item.name.clone(), item.ver)).collect(),
        };
        self.completeness_claims.push(claim);
    }

    pub(super) fn open_link(&mut self, at: usize) {
        if self.edges[at].agent.link.is_some() {
            return;
        }
        let Some(attempt) = self.edges[at].agent.links.next_attempt() else {
            return;
        };
        let to = attempt.address;
        if attempt.is_last_of_round {
            // The settings are read anew.
            let seeds = self.seeds();
            self.edges[at].agent.links.set_seeds(seeds);
        }
        let conn = self.connect(at, to);
        self.edges[at].agent.link = Some(Link {
            conn,
            to,
            told: false,
            astray: None,
            heard: self.now,
        });
    }

    pub(super) fn open_count(&mut self, at: usize) {
        let holder = self.edges[at]
            .agent
            .known
            .cluster_view()
            .and_then(|who| who.counter);
        if self.edges[at].agent.count.map(|(_, to, term)| (to, term)) == holder {
            return;
        }
        if let Some((old, ..)) = self.edges[at].agent.count.take() {
            self.reset(old, true);
        }
        let Some((to, term)) = holder else { return };
        let conn = self.connect(at, to);
        self.edges[at].agent.count = Some((conn, to, term));
    }

    pub(super) fn due(&mut self, at: usize, due: Due) {
        match due {
            Due::Again => self.open_link(at),
            Due::CountAgain => self.open_count(at),
            Due::Connect(id) => {
                if self
                    .conns
                    .get(&id)
                    .is_some_and(|conn| !conn.up && conn.incarnation == self.edges[at].incarnation)
                {
                    self.lost(at, id);
                    self.conns.remove(&id);
                }
            }
            Due::Look => {
                self.later(at, BEAT, Due::Look);
                self.stands(at);
                let now = self.steady(at);
                if let Some(message) = self.edges[at].agent.known.check_isolation(now) {
                    self.proxy_heard(at, message);
                }
                let (now, agent) = (self.steady(at), &mut self.edges[at].agent);
                if now - agent.asked_last >= 800 * MS {
                    agent.asked_last = now;
                    let ids = agent.count.map(|(id, ..)| id).into_iter();
                    let ids: Vec<u64> = ids
                        .chain(agent.link.as_ref().map(|link| link.conn))
                        .collect();
                    ids.into_iter().for_each(|id| self.ask_time(at, id));
                }
                let agent = &self.edges[at].agent;
                let up = |id: &u64| self.conns.get(id).is_none_or(|conn| conn.up);
                let count = agent.count.map(|(id, ..)| id).filter(up);
                if let Some(id) =
                    count.filter(|_| self.now - agent.counted > COUNTER_LINK_IDLE_TIMEOUT)
                {
                    self.lost(at, id);
                }
                let agent = &self.edges[at].agent;
                let standing = agent.standing;
                let Some(link) = &agent.link else { return };
                let (conn, silent) = (link.conn, self.now - link.heard > LINK_IDLE_TIMEOUT);
                let astray = link
                    .astray
                    .is_some_and(|since| self.now - since > LINK_QUORUM_LOSS_TIMEOUT);
                self.say(conn, AgentMessage::Heartbeat(standing));
                if silent || astray {
                    self.lost(at, conn);
                }
            }
            Due::Home => {
                self.later(at, HOME_RETRY_INTERVAL, Due::Home);
                if let Some((old, _)) = self.edges[at].agent.homeward.take() {
                    self.reset(old, true);
                }
                let agent = &self.edges[at].agent;
                let linked = agent
                    .link
                    .as_ref()
                    .filter(|link| link.told)
                    .map(|link| link.to);
                let home = agent
                    .links
                    .home_replica()
                    .filter(|home| linked.is_some_and(|to| to != *home));
                if let Some(home) = home {
                    let conn = self.connect(at, home);
                    self.edges[at].agent.homeward = Some((conn, home));
                }
            }
            Due::Batch(number) => {
                let proxy = &mut self.edges[at].proxy;
                let batch = proxy
                    .batches
                    .iter_mut()
                    .find(|batch| batch.number == number && !batch.expired);
                let Some(batch) = batch else { return };
                batch.expired = true;
                for name in batch.names.clone() {
                    proxy
                        .router
                        .handle_counter_result(name, Outcome::TimedOut, 0.0);
                }
                while proxy.batches.len() > 1_000 {
                    proxy.batches.pop_front();
                }
                self.turn(at);
            }
            Due::Load => {
                self.later(at, LOAD, Due::Load);
                self.load(at);
            }
            Due::Wake => self.turn(at),
        }
    }

    pub(super) fn stands(&mut self, at: usize) {
        let standing = if self.edges[at].ready() {
            NodeState::Ready
        } else {
            NodeState::Unavailable
        };
        let agent = &mut self.edges[at].agent;
        if std::mem::replace(&mut agent.standing, standing) != standing
            && let Some(conn) = agent.link.as_ref().map(|link| link.conn)
        {
            self.say(conn, AgentMessage::Heartbeat(standing));
        }
    }
}
