//! Notices from other limiters, received as UDP datagrams.

use super::*;

impl Host {
    /// Passes the received notices to the engine, and logs how many datagrams were rejected.
    pub(super) fn read_peer_datagrams(&mut self) {
        let Some(socket) = &self.peer_socket else {
            return;
        };
        let mut bytes = [0; 512];
        while let Ok((length, from)) = socket.recv_from(&mut bytes) {
            if let Some(notice) = self.peers.receive(from, &bytes[..length], self.plan_count) {
                self.services[RECORDS_SERVICE].engine.handle_notice(notice);
            }
        }
        if let Some(rejected) = self
            .peers
            .take_rejected_count(self.now(), self.limits.accept_pause_log_interval)
        {
            self.warn(&format!(
                "{rejected} datagrams rejected: invalid notice, or sender is not a limiter of this tier"
            ));
        }
    }
}
