//! How the program ends: notice, drain, end.

use super::*;

impl Host {
    /// Told to end. New connections are taken for as long as the front may still send some.
    pub fn drain(&mut self) {
        if self.phase != Phase::Serving {
            return;
        }
        self.log("told to end: taking connections through the notice, then finishing");
        self.phase = Phase::Notice;
        let now = self.now();
        self.deadlines.enter(now + self.limits.notice, Due::NoticeOver);
        self.deadlines.enter(now + self.limits.drain, Due::DrainOver);
    }

    pub(super) fn notice_over(&mut self) {
        self.accept();
        self.phase = Phase::Draining;
        for (_, _, token) in self.listeners.drain(..) {
            self.handle.remove(token);
        }
        let acquirers = self.connections.iter().filter(|(_, c)| matches!(c.role, Role::Acquirer { .. }));
        for key in acquirers.map(|(key, _)| key).collect::<Vec<_>>() {
            // What is there already is taken; a close that crosses a request is made good by the client.
            self.read(key);
            let Some(connection) = self.connections.get_mut(key) else { continue };
            if connection.visit.stage == Stage::Idle {
                self.close(key);
            }
        }
    }
}
