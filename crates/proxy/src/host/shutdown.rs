//! The graceful shutdown after SIGTERM: accepted requests are completed, clients are sent elsewhere, and what remains at the
//! end of the grace period is rejected.

use super::*;

/// From SIGTERM on, clients that look up an edge are sent elsewhere. Clients that connect
/// nevertheless are served for this long.
pub(super) const SHUTDOWN_NOTICE_PERIOD: Micros = 2_200 * MS;
/// Time reserved at the end of the grace period between SIGTERM and SIGKILL.
pub(super) const SHUTDOWN_GRACE_MARGIN: Micros = 400 * MS;

impl Host {
    /// Begins the graceful shutdown: accepted requests are completed first.
    pub fn begin_shutdown(&mut self, now: Micros) {
        if self.lifecycle.begin_shutdown(now) {
            info!(self.log, "shutting down");
            self.deadlines.schedule(
                now + self.limits.shutdown_notice_period,
                Timer::ShutdownNoticeEnd,
            );
            self.deadlines
                .schedule(now + self.limits.shutdown_timeout, Timer::ShutdownTimeout);
            self.send_heartbeat();
        }
    }

    pub(super) fn handle_shutdown_notice_end(&mut self, now: Micros) {
        self.connections.stop_listening(self.listeners.0);
        let clients: Vec<ConnectionId> = self
            .roles
            .iter()
            .filter(|(_, role)| matches!(role, Role::Client(_)))
            .map(|(connection_id, _)| connection_id)
            .collect();
        clients
            .into_iter()
            .for_each(|connection_id| self.handle_client_deadline(now, connection_id));
        self.finish_if_drained();
    }

    /// The time to complete accepted requests is over: those that remain are rejected. If a server
    /// has received the request, the response states that it may have run.
    pub(super) fn handle_shutdown_timeout(&mut self, now: Micros) {
        let open_requests: Vec<RequestKey> = self.requests.keys().collect();
        let unfinished_requests = open_requests.len();
        open_requests
            .into_iter()
            .for_each(|request| self.finish_request(now, request, EngineRejection::Failed));
        self.finish_shutdown(now, unfinished_requests);
    }

    /// Ends the event loop after this iteration.
    fn finish_shutdown(&mut self, now: Micros, unfinished_requests: usize) {
        let started_at = self.lifecycle.shutdown_started_at().unwrap_or(now);
        if !self.lifecycle.is_finished() {
            info!(self.log, #IMMEDIATE, "shutdown finished"; "ms" => (now - started_at) / MS, "unfinished_requests" => unfinished_requests, "clients" => self.client_count);
        }
        self.lifecycle.finish_shutdown();
    }

    /// While shutting down: finishes if every request has its response and no client is connected.
    pub(super) fn finish_if_drained(&mut self) {
        if self.lifecycle.is_shutting_down() && self.requests.is_empty() && self.client_count == 0 {
            self.finish_shutdown(self.clock.now(), 0);
        }
    }
}
