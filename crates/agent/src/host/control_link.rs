//! The link to a control program, and the search for one.
//!
//! A connection is a *candidate* until its control program has sent a cluster view; then it becomes the link. Candidates
//! overlap: the next one is opened while the former ones still wait for an answer, as the network link of the machine may be so
//! congested that each answer takes seconds. A link that is silent, or whose control program has lost the quorum, is kept until
//! another one replaces it.

use std::collections::VecDeque;

use super::*;

/// The interval at which a search opens another candidate, in microseconds, as all durations here.
const SEARCH_INTERVAL: i64 = 250 * MS;
/// The search interval while there is a link, which is silent or whose control program has lost the quorum.
const SEARCH_INTERVAL_WITH_LINK: i64 = 700 * MS;
/// After the edge was registered on a candidate, no other candidate is opened or registered on for this long, except one to the
/// replica of the agent's own zone.
const ANSWER_TIMEOUT: i64 = LINK_IDLE_TIMEOUT;
/// A candidate that has not become the link after this time is closed.
const CANDIDATE_TIMEOUT: i64 = 8_000 * MS;
/// A link on which nothing was received for this long is closed, even if no other one has replaced it.
const SILENT_LINK_TIMEOUT: i64 = 8_000 * MS;
/// The maximum number of candidates.
const MAX_CANDIDATES: usize = 24;

/// The link to a control program.
pub(super) struct ControlLink {
    pub(super) connection: ConnectionId,
    pub(super) address: SocketAddr,
    /// When the control program first reported that it is not in contact with a quorum; `None` while it is.
    quorum_lost_at: Option<i64>,
    /// Whether everything in force was received on this link and its control program has not lost the quorum since.
    is_complete: bool,
    /// When the edge was registered on it; `None` after the cache was confirmed to contain everything in force at that time.
    registered_at: Option<i64>,
    /// When the unanswered requests for the limiters' clock were sent, oldest first. They are answered in this order.
    clock_requests: VecDeque<i64>,
    /// The number of the next answers that confirm nothing, as they belong to requests from before the link was complete.
    ignored_clock_answers: usize,
}

/// A connection to a control program that has not sent its cluster view yet.
pub(super) struct Candidate {
    pub(super) connection: ConnectionId,
    address: SocketAddr,
    is_established: bool,
    /// When the edge was registered on it.
    registered_at: Option<i64>,
    /// Whether it leads to the replica of the agent's own zone. It is opened although the link is healthy, and replaces it.
    is_home: bool,
    clock_requests: VecDeque<i64>,
}

impl Host {
    pub(super) fn is_link(&self, id: ConnectionId) -> bool {
        self.link.as_ref().is_some_and(|link| link.connection == id)
    }

    pub(super) fn is_candidate(&self, id: ConnectionId) -> bool {
        self.candidates
            .iter()
            .any(|candidate| candidate.connection == id)
    }

    /// Starts to connect to a control program. Returns whether the connection could be opened.
    fn open_candidate(&mut self, now: i64, address: SocketAddr, is_home: bool) -> bool {
        self.link_metrics.attempts += 1;
        let Ok(connection) = self.connections.connect(address, now) else {
            self.link_metrics.attempts_failed += 1;
            return false;
        };
        self.deadlines
            .schedule(now + CANDIDATE_TIMEOUT, Timer::CandidateTimeout(connection));
        self.candidates.push(Candidate {
            connection,
            address,
            is_established: false,
            registered_at: None,
            is_home,
            clock_requests: VecDeque::new(),
        });
        true
    }

    fn remove_candidate(&mut self, id: ConnectionId) -> Option<Candidate> {
        let index = self
            .candidates
            .iter()
            .position(|candidate| candidate.connection == id)?;
        Some(self.candidates.swap_remove(index))
    }

    fn close_candidate(&mut self, id: ConnectionId) -> Option<Candidate> {
        let candidate = self.remove_candidate(id)?;
        self.connections.close(id);
        Some(candidate)
    }

    /// Marks a candidate as established and registers the edge on it, unless another candidate is waiting for its answer.
    pub(super) fn handle_candidate_connected(&mut self, now: i64, id: ConnectionId) {
        let candidates = self.candidates.iter_mut();
        for candidate in candidates.filter(|candidate| candidate.connection == id) {
            candidate.is_established = true;
        }
        self.register_candidates(now);
    }

    /// Registers the edge on an established candidate, unless it was registered on another one less than [`ANSWER_TIMEOUT`]
    /// ago. A candidate to the replica of the agent's own zone does not wait for others.
    pub(super) fn register_candidates(&mut self, now: i64) {
        if self.node.is_none() {
            return;
        }
        let established = || self.candidates.iter().filter(|c| c.is_established);
        let next_unregistered = |is_home: bool| {
            established().find(|c| c.is_home == is_home && c.registered_at.is_none())
        };
        let is_answer_pending = established().any(|candidate| {
            let registered_at = candidate.registered_at;
            !candidate.is_home && registered_at.is_some_and(|at| now - at < ANSWER_TIMEOUT)
        });
        let other = next_unregistered(false).filter(|_| !is_answer_pending);
        let due: Vec<ConnectionId> = next_unregistered(true)
            .into_iter()
            .chain(other)
            .map(|candidate| candidate.connection)
            .collect();
        for id in due {
            self.register(now, id);
        }
    }

    /// Registers the edge on a candidate or on the link, which subscribes to the configuration.
    fn register(&mut self, now: i64, id: ConnectionId) {
        let Some(node) = self.node.clone() else {
            return;
        };
        if let Some(digests) = self.cache.known_digests() {
            self.send(id, &AgentMessage::KnownDigests(digests));
        }
        self.send(id, &AgentMessage::Hello(node));
        self.request_link_clock(now, id);
        self.send(id, &AgentMessage::Heartbeat(self.state));
        let candidates = self.candidates.iter_mut();
        let candidate = candidates
            .filter(|candidate| candidate.connection == id)
            .map(|candidate| &mut candidate.registered_at);
        let link = self.link.iter_mut().filter(|link| link.connection == id);
        let link = link.filter(|link| !link.is_complete);
        let link = link.map(|link| &mut link.registered_at);
        candidate
            .chain(link)
            .for_each(|registered_at| *registered_at = Some(now));
    }

    /// Registers the edge again after the proxy has sent information about the edge that differs from before.
    pub(super) fn handle_node_changed(&mut self, now: i64) {
        if let Some(link) = &self.link {
            let id = link.connection;
            self.register(now, id);
        }
        self.register_candidates(now);
    }

    /// Requests the limiters' clock on the link or a candidate. The answer also confirms that everything that was in force when
    /// the request was sent has been received before it.
    pub(super) fn request_link_clock(&mut self, now: i64, id: ConnectionId) {
        self.request_clock(now, id);
        let link = self.link.iter_mut().filter(|link| link.connection == id);
        let requests = link.map(|link| &mut link.clock_requests);
        let candidates = self.candidates.iter_mut();
        let candidates = candidates.filter(|candidate| candidate.connection == id);
        let requests = requests.chain(candidates.map(|candidate| &mut candidate.clock_requests));
        requests.for_each(|requests| requests.push_back(now));
    }

    /// Handles an answer to a clock request on the link: everything that was in force when it was requested has been received.
    pub(super) fn handle_clock_answer(&mut self, now: i64, id: ConnectionId) {
        let candidates = self.candidates.iter_mut();
        for candidate in candidates.filter(|candidate| candidate.connection == id) {
            candidate.clock_requests.pop_front();
        }
        let link = self.link.as_mut().filter(|link| link.connection == id);
        let Some(requested_at) = link.and_then(|link| {
            let requested_at = link.clock_requests.pop_front()?;
            let is_ignored = link.ignored_clock_answers > 0;
            link.ignored_clock_answers = link.ignored_clock_answers.saturating_sub(1);
            (link.is_complete && !is_ignored).then_some(requested_at)
        }) else {
            return;
        };
        self.cache.confirm_current_at(requested_at);
        self.send_confirmation(now);
    }

    /// Informs the proxy of the maximum age of its configuration.
    pub(super) fn send_confirmation(&mut self, now: i64) {
        if let Some((message, proxy)) = self.cache.confirmation(now).zip(self.proxy) {
            self.send(proxy, &message);
        }
    }

    /// Handles the message that everything in force was sent on a connection.
    pub(super) fn handle_complete(&mut self, now: i64, id: ConnectionId) {
        let Some(link) = self.link.as_mut().filter(|link| link.connection == id) else {
            return;
        };
        if std::mem::replace(&mut link.is_complete, true) {
            return;
        }
        // The answers to earlier requests may come from a control program that was not up to date, and must confirm nothing.
        link.ignored_clock_answers = link.clock_requests.len();
        if let Some(registered_at) = link.registered_at.take() {
            self.cache.confirm_current_at(registered_at);
            self.send_confirmation(now);
        }
        self.request_link_clock(now, id);
    }

    /// Handles a cluster view: the first one on a candidate makes it the link, or closes it if its control program has no
    /// quorum and there is a link already. While no whole configuration was received, such a candidate is kept until its
    /// time-out instead: its replica may have the snapshot that the replica of the link lacks since a restart.
    pub(super) fn handle_cluster_view(&mut self, now: i64, from: ConnectionId, view: ClusterView) {
        if self.is_candidate(from) && (view.has_quorum || self.link.is_none()) {
            self.promote(now, from);
        } else if self.is_candidate(from) {
            if !self.cache.is_partial() {
                self.close_candidate(from);
            }
            return self.selection.add_unconfirmed_replicas(&view.replicas);
        }
        let link = self.link.as_mut();
        let Some(link) = link.filter(|link| link.connection == from) else {
            return;
        };
        if view.has_quorum {
            link.quorum_lost_at = None;
            self.selection.set_replicas(&view.replicas);
            self.selection.reset();
        } else {
            link.quorum_lost_at.get_or_insert(now);
            (link.is_complete, link.registered_at) = (false, None);
            self.selection.add_unconfirmed_replicas(&view.replicas);
        }
        let has_quorum = view.has_quorum;
        self.forward(now, ControlMessage::ClusterView(view));
        self.update_counter_link(now);
        // The settings name only a few replicas: without this, all agents that start would stay linked to these.
        if has_quorum && !std::mem::replace(&mut self.has_tried_home, true) {
            self.try_home_replica(now);
        }
    }

    /// Makes a candidate the link, and closes the former link and all other candidates.
    fn promote(&mut self, now: i64, id: ConnectionId) {
        let Some(candidate) = self.remove_candidate(id) else {
            return;
        };
        if let Some(outage) = self.link_metrics.record_link(now)
            && outage.duration > MIN_REPORTED_OUTAGE
        {
            warn!(self.log, #IMMEDIATE, "control link restored after an outage";
                "peer" => candidate.address.to_string(), "outage_ms" => outage.duration / MS,
                "attempts" => outage.attempts, "timed_out" => outage.attempts_timed_out);
        }
        let former = self.link.replace(ControlLink {
            connection: candidate.connection,
            address: candidate.address,
            quorum_lost_at: None,
            is_complete: false,
            registered_at: candidate.registered_at,
            clock_requests: candidate.clock_requests,
            ignored_clock_answers: 0,
        });
        if let Some(former) = former {
            self.connections.close(former.connection);
        }
        self.close_candidates();
    }

    fn close_candidates(&mut self) {
        for candidate in std::mem::take(&mut self.candidates) {
            self.connections.close(candidate.connection);
        }
    }

    /// Handles the loss of the link, or the failure of a candidate.
    pub(super) fn handle_control_link_lost(&mut self, now: i64, id: ConnectionId) {
        self.connections.close(id);
        if let Some(link) = self.link.take_if(|link| link.connection == id) {
            self.link_metrics.record_loss(now);
            self.selection.skip_past(link.address);
            info!(self.log, "control link lost"; "peer" => link.address.to_string());
        } else if let Some(candidate) = self.remove_candidate(id) {
            self.link_metrics.attempts_failed += 1;
            if candidate.is_home {
                return;
            }
        }
        self.schedule_search(now + RETRY_DELAY);
    }

    /// Closes a candidate that has not become the link in time.
    pub(super) fn handle_candidate_timeout(&mut self, now: i64, id: ConnectionId) {
        if self.close_candidate(id).is_some() {
            self.link_metrics.attempts_timed_out += 1;
            self.schedule_search(now);
        }
    }

    /// Whether there is a link that is not silent and whose control program has not lost the quorum for too long.
    fn has_healthy_link(&self, now: i64) -> bool {
        self.link.as_ref().is_some_and(|link| {
            let quorum_lost_at = link.quorum_lost_at;
            !self.is_silent(now, link)
                && quorum_lost_at.is_none_or(|lost_at| now - lost_at <= LINK_QUORUM_LOSS_TIMEOUT)
        })
    }

    fn is_silent(&self, now: i64, link: &ControlLink) -> bool {
        self.node.is_some() && now - self.last_received_at(link) > LINK_IDLE_TIMEOUT
    }

    fn last_received_at(&self, link: &ControlLink) -> i64 {
        let connection = self.connections.get(link.connection);
        connection.map_or(i64::MIN, |connection| connection.last_received_at)
    }

    /// Schedules the next step of the search, unless an earlier one is scheduled.
    pub(super) fn schedule_search(&mut self, at: i64) {
        if at < self.next_search_at {
            self.next_search_at = at;
            self.deadlines.schedule(at, Timer::Search);
        }
    }

    /// Opens another candidate, unless there is a healthy link.
    pub(super) fn search(&mut self, now: i64) {
        if now < self.next_search_at {
            return;
        }
        self.next_search_at = i64::MAX;
        if self.has_healthy_link(now) {
            return;
        }
        self.register_candidates(now);
        let interval = if self.link.is_some() {
            SEARCH_INTERVAL_WITH_LINK
        } else {
            SEARCH_INTERVAL
        };
        let mut next_at = now + interval;
        if !self.is_awaiting_answer(now) && self.candidates.len() < MAX_CANDIDATES {
            match self.selection.next_attempt() {
                Some(attempt) => {
                    if attempt.is_last_of_round {
                        self.reload_settings();
                    }
                    // A second connection to the linked replica can help if the link is silent, but not if the replica has lost
                    // the quorum.
                    let link = self.link.as_ref().filter(|link| !self.is_silent(now, link));
                    let is_already_linked =
                        link.is_some_and(|link| link.address == attempt.address);
                    let is_opened =
                        !is_already_linked && self.open_candidate(now, attempt.address, false);
                    next_at = if is_opened {
                        next_at
                    } else {
                        now + RETRY_DELAY
                    };
                }
                None => next_at = now + RETRY_DELAY,
            }
        }
        self.schedule_search(next_at);
    }

    /// Whether an established candidate may still answer soon. Before a proxy has connected, an established candidate is
    /// enough, as the edge can't be registered on any.
    fn is_awaiting_answer(&self, now: i64) -> bool {
        let mut established = self
            .candidates
            .iter()
            .filter(|candidate| candidate.is_established && !candidate.is_home);
        established.any(|candidate| {
            let registered_at = candidate.registered_at;
            self.node.is_none() || registered_at.is_some_and(|at| now - at < ANSWER_TIMEOUT)
        })
    }

    /// Starts a search if the link is not healthy, and closes the link if it has been silent for [`SILENT_LINK_TIMEOUT`].
    pub(super) fn check_link(&mut self, now: i64) {
        if let Some(link) = &self.link
            && self.is_silent(now, link)
        {
            let (id, silent_for) = (link.connection, now - self.last_received_at(link));
            self.link_metrics.record_loss(now);
            if silent_for > SILENT_LINK_TIMEOUT {
                return self.handle_control_link_lost(now, id);
            }
        } else if self.link.is_some() {
            self.link_metrics.record_link(now);
        }
        if self.has_healthy_link(now) {
            // Candidates that were opened while the link was not healthy are not needed any more.
            let superseded: Vec<ConnectionId> = self
                .candidates
                .iter()
                .filter(|candidate| !candidate.is_home)
                .map(|candidate| candidate.connection)
                .collect();
            superseded
                .into_iter()
                .for_each(|id| _ = self.close_candidate(id));
        } else if self.next_search_at == i64::MAX {
            self.schedule_search(now);
        }
    }

    /// Opens a candidate to the replica of the agent's own zone, if the agent is linked to another replica.
    pub(super) fn try_home_replica(&mut self, now: i64) {
        let former: Vec<ConnectionId> = self
            .candidates
            .iter()
            .filter(|candidate| candidate.is_home)
            .map(|candidate| candidate.connection)
            .collect();
        former
            .into_iter()
            .for_each(|id| _ = self.close_candidate(id));
        let linked_address = self.link.as_ref().map(|link| link.address);
        let home = self.selection.home_replica();
        let home = home.filter(|home| linked_address.is_some_and(|linked| linked != *home));
        if let Some(address) = home {
            self.open_candidate(now, address, true);
        }
    }
}
