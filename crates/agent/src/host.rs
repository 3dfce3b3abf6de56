//! The host of an agent: the link to a control program, the one to the holder of the count, and the proxy's.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use dataplane::clock::Clock;
use dataplane::deadlines::Deadlines;
use eyre::WrapErr;
use protocol::connections::{ConnectionId, Connections, IoEvent};
use protocol::frames;
use protocol::log_ring::{IMMEDIATE, LogRing};
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo, NodeState};
use protocol::settings::Settings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use slog::{Logger, error, info, warn};

use crate::known::Known;
use crate::links::{COUNT_SILENT, HOMEWARD, Links, OUT_OF_TOUCH, SILENT};

const MS: i64 = 1_000;
/// Between two signs of life to the control program.
const BEAT: i64 = 400 * MS;
/// Between two askings for the limiters' clock: steady clocks go apart a little.
const ASK_TIME: i64 = 800 * MS;
/// After a link that failed the next one is tried so much later.
const AGAIN: i64 = 30 * MS;
/// A connection must come up within this.
const CONNECT: i64 = 250 * MS;
/// What is left of the grace period at the end.
const GRACE_LEFT: i64 = 200 * MS;

/// A link to a control program.
struct Link {
    key: ConnectionId,
    to: SocketAddr,
    /// Its news begins.
    told: bool,
    /// Since when the one at its other end is out of touch with the core.
    astray: Option<i64>,
}

#[derive(Debug)]
enum Due {
    Connect(ConnectionId),
    Look,
    Again,
    CountAgain,
    Home,
    End,
}

/// All that runs on the loop.
pub struct Host {
    clock: Clock,
    settings: Settings,
    file: Option<PathBuf>,
    /// What was last wrong with it.
    fault: String,
    log: Logger,
    wires: Connections,
    deadlines: Deadlines<Due>,
    links: Links,
    known: Known,
    link: Option<Link>,
    /// A link to the own zone's replica that is being tried beside the one elsewhere.
    homeward: Option<(ConnectionId, SocketAddr)>,
    count: Option<(ConnectionId, SocketAddr, u64)>,
    /// Batches that are out, by their number on the count's link: the proxy's connection, and its number there.
    batches: BTreeMap<u64, (ConnectionId, u64)>,
    batch: u64,
    /// The limiters' clock was asked for last.
    asked_last: i64,
    proxy: Option<ConnectionId>,
    edge: Option<NodeInfo>,
    standing: NodeState,
    /// The own zone's replica was looked for since the start.
    homed: bool,
    ending: bool,
    finished: bool,
}

/// What an agent wants of its settings.
///
/// # Errors
/// A key holds nothing of use.
pub fn check(settings: &Settings) -> eyre::Result<()> {
    eyre::ensure!(
        !settings.seed_peers.is_empty(),
        "seed_peers is empty: nobody to call"
    );
    Ok(())
}

impl Host {
    /// Opens the address where the proxy calls. `file`: the settings, to be read again when nobody is found.
    ///
    /// # Errors
    /// The address is not to be had.
    pub fn open(
        settings: Settings,
        file: Option<PathBuf>,
        clock: Clock,
        ring: &LogRing,
    ) -> eyre::Result<Host> {
        let mut wires = Connections::new(&[SIGTERM, SIGHUP]).wrap_err("opening the loop")?;
        let feed = settings.agent_address();
        wires
            .listen(feed)
            .wrap_err_with(|| format!("listening for the proxy on {feed}"))?;
        let shift = settings
            .ip
            .octets()
            .iter()
            .map(|part| usize::from(*part))
            .sum();
        let mut links = Links::new(
            &settings.zone,
            &settings.region,
            settings.zones.clone(),
            shift,
        );
        links.seeds(settings.seed_addresses());
        let mut deadlines = Deadlines::default();
        let now = clock.now();
        deadlines.enter(now, Due::Again);
        deadlines.enter(now + BEAT, Due::Look);
        deadlines.enter(now + HOMEWARD, Due::Home);
        Ok(Host {
            log: ring.logger("agent", &settings.node),
            clock,
            settings,
            file,
            fault: String::new(),
            wires,
            deadlines,
            links,
            known: Known::default(),
            link: None,
            homeward: None,
            count: None,
            batches: BTreeMap::new(),
            batch: 0,
            asked_last: 0,
            proxy: None,
            edge: None,
            standing: NodeState::Unavailable,
            homed: false,
            ending: false,
            finished: false,
        })
    }

    /// Runs until told to end.
    ///
    /// # Errors
    /// The system's wait failed.
    pub fn run(mut self) -> eyre::Result<()> {
        let mut happenings = Vec::new();
        while !self.finished {
            self.step(BEAT, &mut happenings)?;
        }
        Ok(())
    }

    /// One round of the loop: waits for what happens or is due, at most so long, and takes it in. What writing brought
    /// stands in `happenings` afterwards, for the next round.
    ///
    /// # Errors
    /// The system's wait failed.
    pub fn step(&mut self, longest: i64, happenings: &mut Vec<IoEvent>) -> eyre::Result<()> {
        let now = self.clock.now();
        let due = self
            .deadlines
            .earliest()
            .unwrap_or(i64::MAX)
            .min(now + longest);
        let until = if happenings.is_empty() { due } else { now };
        let clock = self.clock.clone();
        self.wires
            .wait(Some(until), || clock.now(), happenings)
            .wrap_err("waiting")?;
        let now = self.clock.now();
        for happening in happenings.drain(..) {
            self.happened(now, happening);
        }
        while let Some(due) = self.deadlines.take_due(now) {
            self.due(now, due);
        }
        self.wires.flush_all(happenings);
        Ok(())
    }

    fn is_link(&self, key: ConnectionId) -> bool {
        self.link.as_ref().is_some_and(|link| link.key == key)
    }

    fn is_count(&self, key: ConnectionId) -> bool {
        self.count.is_some_and(|(count, ..)| count == key)
    }

    fn is_homeward(&self, key: ConnectionId) -> bool {
        self.homeward.is_some_and(|(home, _)| home == key)
    }

    fn happened(&mut self, now: i64, happening: IoEvent) {
        match happening {
            IoEvent::Accepted(_, key) => self.proxy_came(now, key),
            IoEvent::Signal(SIGTERM) => self.end(now),
            IoEvent::Signal(_) => self.reread(),
            IoEvent::Connected(key) if self.is_count(key) => self.ask_time(now, key),
            IoEvent::Connected(key) => self.greet(now, key),
            IoEvent::Received(key) => self.came(now, key),
            IoEvent::Flushed(_) => {}
            IoEvent::PeerClosed(key) | IoEvent::Failed(key) => self.lost(now, key),
        }
    }

    fn put<T: serde::Serialize>(&mut self, key: ConnectionId, message: &T) {
        if let Some(out) = self.wires.output(key) {
            frames::encode(out, message);
        }
    }

    fn greet(&mut self, now: i64, key: ConnectionId) {
        if let Some(edge) = self.edge.clone() {
            if let Some(have) = self.known.have() {
                self.put(key, &AgentMessage::KnownDigests(have));
            }
            self.put(key, &AgentMessage::Hello(edge));
            self.ask_time(now, key);
            self.put(key, &AgentMessage::Heartbeat(self.standing));
        }
    }

    fn proxy_came(&mut self, now: i64, key: ConnectionId) {
        if let Some(old) = self.proxy.replace(key) {
            self.wires.close(old);
        }
        self.batches.clear();
        for message in self.known.all(now) {
            self.put(key, &message);
        }
    }

    /// The settings may name other seeds by now.
    fn reread(&mut self) {
        let Some(file) = &self.file else { return };
        match Settings::load(file) {
            Ok(settings) => self.links.seeds(settings.seed_addresses()),
            Err(fault) => {
                let fault = format!("{fault:#}");
                // It is read over and over: what stays wrong is said once.
                if fault != self.fault {
                    warn!(self.log, #IMMEDIATE, "settings not taken: {fault}"; "step" => "reading settings anew");
                }
                self.fault = fault;
            }
        }
    }

    fn open_link(&mut self, now: i64) {
        if self.link.is_some() {
            return;
        }
        let Some((to, round)) = self.links.advance() else {
            return self.deadlines.enter(now + AGAIN, Due::Again);
        };
        if round {
            self.reread();
        }
        match self.wires.connect(to, now) {
            Ok(key) => {
                self.deadlines.enter(now + CONNECT, Due::Connect(key));
                self.link = Some(Link {
                    key,
                    to,
                    told: false,
                    astray: None,
                });
            }
            Err(_) => self.deadlines.enter(now + AGAIN, Due::Again),
        }
    }

    /// The link to the holder of the count follows who is who.
    fn open_count(&mut self, now: i64) {
        let holder = self.known.who().and_then(|who| who.counter);
        if self.count.map(|(_, to, term)| (to, term)) == holder {
            return;
        }
        if let Some((old, ..)) = self.count.take() {
            self.wires.close(old);
        }
        let Some((to, term)) = holder else { return };
        match self.wires.connect(to, now) {
            Ok(key) => {
                self.deadlines.enter(now + CONNECT, Due::Connect(key));
                self.count = Some((key, to, term));
            }
            Err(_) => self.deadlines.enter(now + AGAIN, Due::CountAgain),
        }
    }

    fn lost(&mut self, now: i64, key: ConnectionId) {
        self.wires.close(key);
        if self.is_link(key) {
            let to = self.link.take().map(|link| link.to);
            to.into_iter().for_each(|to| self.links.left(to));
            info!(self.log, "link lost"; "step" => "keeping the link", "peer" => to.map(|to| to.to_string()));
            self.deadlines.enter(now + AGAIN, Due::Again);
        } else if self.is_count(key) {
            self.count = None;
            self.deadlines.enter(now + AGAIN, Due::CountAgain);
        } else if self.is_homeward(key) {
            self.homeward = None;
        } else if self.proxy == Some(key) {
            self.proxy = None;
            self.stands(NodeState::Unavailable);
            self.finished |= self.ending;
        }
    }

    fn stands(&mut self, standing: NodeState) {
        let standing = if self.ending && standing == NodeState::Ready {
            NodeState::Draining
        } else {
            standing
        };
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.beat();
        }
    }

    fn beat(&mut self) {
        if let Some(link) = &self.link
            && self.edge.is_some()
        {
            let key = link.key;
            self.put(key, &AgentMessage::Heartbeat(self.standing));
        }
    }

    fn came(&mut self, now: i64, key: ConnectionId) {
        if self.proxy == Some(key) {
            return self.proxy_said(now, key);
        }
        loop {
            let Some(wire) = self.wires.get_mut(key) else {
                return;
            };
            match frames::decode::<ControlMessage>(&mut wire.input) {
                Ok(Some(message)) => self.heard(now, key, message),
                Ok(None) => return,
                Err(fault) => {
                    error!(self.log, "{fault}"; "step" => "reading news", "peer" => "control program");
                    return self.lost(now, key);
                }
            }
        }
    }

    fn heard(&mut self, now: i64, key: ConnectionId, message: ControlMessage) {
        match message {
            ControlMessage::Totals { batch, totals } => {
                if let Some((proxy, batch)) = self.batches.remove(&batch) {
                    self.put(proxy, &ControlMessage::Totals { batch, totals });
                }
            }
            ControlMessage::NotCounted(batch) => {
                if let Some((proxy, batch)) = self.batches.remove(&batch) {
                    self.put(proxy, &ControlMessage::NotCounted(batch));
                }
            }
            ControlMessage::ClusterView(ref who) => {
                let (in_touch, replicas) = (who.has_quorum, who.replicas.clone());
                if let Some((_, to)) = self.homeward.filter(|(home, _)| *home == key && in_touch) {
                    self.homeward = None;
                    if let Some(old) = self.link.replace(Link {
                        key,
                        to,
                        told: true,
                        astray: None,
                    }) {
                        self.wires.close(old.key);
                    }
                }
                let Some(link) = self.link.as_mut().filter(|link| link.key == key) else {
                    return;
                };
                link.told = true;
                link.astray = if in_touch {
                    None
                } else {
                    link.astray.or(Some(now))
                };
                if in_touch {
                    self.links.told(&replicas);
                    self.links.settled();
                } else {
                    self.links.heard_of(&replicas);
                }
                self.pass_on(now, message);
                self.open_count(now);
                // The settings name a few replicas: not all agents that start are to stay with these.
                if in_touch && !std::mem::replace(&mut self.homed, true) {
                    self.try_home(now);
                }
            }
            // Nothing is added for the way: guesses of it would drive the clock on, as whoever is ahead leads.
            ControlMessage::Clock(_)
            | ControlMessage::Servers { .. }
            | ControlMessage::Complete => self.pass_on(now, message),
            ControlMessage::Items(ref items) => {
                let news = !items.is_empty();
                self.pass_on(now, message);
                if news && self.is_link(key) {
                    self.put(key, &self.known.holding());
                }
            }
            // Two links are open for a moment; only the one that is kept tells who is let through.
            ControlMessage::Levels { .. } if !self.is_link(key) => {}
            ControlMessage::Levels { .. } => self.pass_on(now, message),
        }
    }

    fn pass_on(&mut self, now: i64, message: ControlMessage) {
        if let Some(message) = self.known.take(now, message)
            && let Some(proxy) = self.proxy
        {
            self.put(proxy, &message);
        }
    }

    fn proxy_said(&mut self, now: i64, key: ConnectionId) {
        loop {
            let Some(wire) = self.wires.get_mut(key) else {
                return;
            };
            match frames::decode::<AgentMessage>(&mut wire.input) {
                Ok(Some(AgentMessage::Hello(edge))) => {
                    let new = self.edge.replace(edge.clone()) != Some(edge);
                    if let Some(link) = self.link.as_ref().filter(|_| new) {
                        let link = link.key;
                        self.greet(now, link);
                    }
                }
                Ok(Some(AgentMessage::Heartbeat(standing))) => self.stands(standing),
                Ok(Some(AgentMessage::CounterBatch { batch, time, adds })) => {
                    self.adds(now, key, batch, time, adds)
                }
                Ok(Some(AgentMessage::LoadReports(reports))) => {
                    if let Some(link) = self
                        .link
                        .as_ref()
                        .filter(|link| link.told)
                        .map(|link| link.key)
                    {
                        self.put(link, &AgentMessage::LoadReports(reports));
                    }
                }
                Ok(Some(
                    AgentMessage::Clock(_)
                    | AgentMessage::KnownDigests(_)
                    | AgentMessage::ConfigState { .. },
                )) => {}
                Ok(None) => return,
                Err(fault) => {
                    error!(self.log, "{fault}"; "step" => "reading", "peer" => "proxy");
                    return self.lost(now, key);
                }
            }
        }
    }

    fn adds(
        &mut self,
        now: i64,
        proxy: ConnectionId,
        batch: u64,
        time: i64,
        adds: Vec<protocol::messages::CounterAdd>,
    ) {
        let up = self
            .count
            .filter(|(key, ..)| self.wires.get(*key).is_some_and(|wire| wire.is_connected()));
        // Without the clock of the others its windows are not theirs.
        let up = up.filter(|_| self.known.time(now).is_some());
        let Some((key, ..)) = up else {
            return self.put(proxy, &ControlMessage::NotCounted(batch));
        };
        self.batch += 1;
        self.batches.insert(self.batch, (proxy, batch));
        // Guards the memory against a holder that answers nothing: the proxy has given the oldest up.
        if self.batches.len() > 2_000 {
            self.batches.pop_first();
        }
        self.put(
            key,
            &AgentMessage::CounterBatch {
                batch: self.batch,
                time,
                adds,
            },
        );
    }

    fn due(&mut self, now: i64, due: Due) {
        match due {
            Due::Connect(key) if self.wires.get(key).is_some_and(|wire| !wire.is_connected()) => {
                self.lost(now, key)
            }
            Due::Connect(_) => {}
            Due::Look => self.look(now),
            Due::Again => self.open_link(now),
            Due::CountAgain => self.open_count(now),
            Due::Home => self.go_home(now),
            Due::End => self.finished = true,
        }
    }

    /// Asks for the limiters' clock, and tells it.
    fn ask_time(&mut self, now: i64, key: ConnectionId) {
        self.put(key, &AgentMessage::Clock(self.known.time(now).unwrap_or(0)));
    }

    /// A sign of life, and a look at how the link does.
    fn look(&mut self, now: i64) {
        self.deadlines.enter(now + BEAT, Due::Look);
        if let Some((message, proxy)) = self.known.look(now).zip(self.proxy) {
            self.put(proxy, &message);
        }
        self.beat();
        if now - self.asked_last >= ASK_TIME {
            self.asked_last = now;
            let keys = self
                .count
                .map(|(key, ..)| key)
                .into_iter()
                .chain(self.link.as_ref().map(|link| link.key));
            for key in keys
                .filter(|key| self.wires.get(*key).is_some_and(|wire| wire.is_connected()))
                .collect::<Vec<_>>()
            {
                self.ask_time(now, key);
            }
            if let Some(link) = &self.link {
                let key = link.key;
                self.put(key, &self.known.holding());
            }
        }
        let count = self
            .count
            .and_then(|(key, ..)| Some((key, self.wires.get(key)?)));
        if let Some((key, _)) = count
            .filter(|(_, wire)| wire.is_connected() && now - wire.last_received_at > COUNT_SILENT)
        {
            self.lost(now, key);
        }
        let Some(link) = &self.link else { return };
        let heard = self
            .wires
            .get(link.key)
            .map_or(i64::MIN, |wire| wire.last_received_at);
        let silent = now - heard > SILENT && self.edge.is_some();
        if silent || link.astray.is_some_and(|since| now - since > OUT_OF_TOUCH) {
            let key = link.key;
            self.lost(now, key);
        }
    }

    /// An agent that is linked elsewhere looks whether the replica of its zone is back.
    fn go_home(&mut self, now: i64) {
        self.deadlines.enter(now + HOMEWARD, Due::Home);
        self.try_home(now);
    }

    fn try_home(&mut self, now: i64) {
        if let Some((old, _)) = self.homeward.take() {
            self.wires.close(old);
        }
        let linked = self
            .link
            .as_ref()
            .filter(|link| link.told)
            .map(|link| link.to);
        let Some(home) = self
            .links
            .home()
            .filter(|home| linked.is_some_and(|to| to != *home))
        else {
            return;
        };
        if let Ok(key) = self.wires.connect(home, now) {
            self.deadlines.enter(now + CONNECT, Due::Connect(key));
            self.homeward = Some((key, home));
        }
    }

    fn end(&mut self, now: i64) {
        if std::mem::replace(&mut self.ending, true) {
            return;
        }
        let standing = self.standing;
        self.stands(standing);
        self.finished |= self.proxy.is_none();
        self.deadlines
            .enter(now + self.settings.bounds.grace.0 - GRACE_LEFT, Due::End);
    }
}
