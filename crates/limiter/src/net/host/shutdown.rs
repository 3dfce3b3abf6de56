//! How the program ends: notice, drain, end.

use super::*;

impl Host {
    /// Told to end. New connections are taken for as long as the front may still send some, unless another process
    /// takes them.
    pub fn begin_shutdown(&mut self) {
        let now = self.now();
        if !self.lifecycle.begin_shutdown(now) {
            return;
        }
        if self.lifecycle.is_accepting(now, &self.limits) {
            self.log("told to end: taking connections through the notice, then finishing");
        } else {
            self.log("told to end: new connections are left to others, finishing");
            self.close_listeners();
        }
        self.deadlines.schedule(
            now + self.limits.shutdown_notice_period,
            Timer::NoticeExpired,
        );
        self.deadlines
            .schedule(now + self.limits.shutdown_timeout, Timer::ShutdownTimeout);
    }

    /// Listening sockets are only closed: one that is shared goes on to listen for the others.
    fn close_listeners(&mut self) {
        for (_, _, token) in self.listeners.drain(..) {
            self.loop_handle.remove(token);
        }
    }

    /// The notice of a drain or of the end is over: idle connections go.
    pub(super) fn handle_notice_expired(&mut self) {
        let now = self.now();
        if !self.lifecycle.should_close_idle(now, &self.limits) {
            return;
        }
        if !self.lifecycle.is_accepting(now, &self.limits) {
            // What has come until now is taken.
            self.accept_clients();
            self.close_listeners();
        }
        let acquirers = self
            .connections
            .iter()
            .filter(|(_, c)| matches!(c.role, Role::Client { .. }));
        for key in acquirers.map(|(key, _)| key).collect::<Vec<_>>() {
            // What is there already is taken; a close that crosses a request is made good by the client.
            self.read_connection(key);
            let Some(connection) = self.connections.get_mut(key) else {
                continue;
            };
            match connection.client.stage {
                Stage::Idle if connection.client.has_responded => _ = self.close(key),
                _ => self.schedule_client_deadline(key),
            }
        }
    }
}
