//! Shutdown of the program: notice period, finishing the accepted requests, end.

use super::*;

impl Host {
    /// Begins the shutdown. New connections are accepted during the notice period, as the load balancer may still send
    /// some, unless another process accepts them on the shared socket.
    pub fn begin_shutdown(&mut self) {
        let now = self.now();
        if !self.lifecycle.begin_shutdown(now) {
            return;
        }
        if self.lifecycle.is_accepting(now, &self.limits) {
            self.log("shutting down: accepting connections until the end of the notice period");
        } else {
            self.log(
                "shutting down: another process accepts new connections, finishing open requests",
            );
            self.close_listeners();
        }
        self.deadlines.schedule(
            now + self.limits.shutdown_notice_period,
            Timer::NoticeExpired,
        );
        self.deadlines
            .schedule(now + self.limits.shutdown_timeout, Timer::ShutdownTimeout);
    }

    /// Closes this process's descriptors of the listening sockets without shutting the sockets down: a shared socket
    /// keeps listening for the other processes.
    fn close_listeners(&mut self) {
        for (_, _, registration) in self.listeners.drain(..) {
            self.loop_handle.remove(registration);
        }
    }

    /// The notice period of a drain or of the shutdown is over: closes idle client connections.
    pub(super) fn handle_notice_expired(&mut self) {
        let now = self.now();
        if !self.lifecycle.should_close_idle(now, &self.limits) {
            return;
        }
        if !self.lifecycle.is_accepting(now, &self.limits) {
            // Connections already in the listeners' queues are still served.
            self.accept_clients();
            self.close_listeners();
        }
        let clients = self
            .connections
            .iter()
            .filter(|(_, c)| matches!(c.role, Role::Client { .. }));
        for key in clients.map(|(key, _)| key).collect::<Vec<_>>() {
            // A request that has already arrived is served; one that crosses the close is retried by its client.
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
