//! Datagrams from other limiters.

use super::*;

impl Host {
    pub(super) fn read_datagrams(&mut self) {
        let Some(socket) = &self.datagrams else { return };
        let mut bytes = [0; 512];
        while let Ok((length, _)) = socket.recv_from(&mut bytes) {
            if let Some(notice) = peers::decode(&bytes[..length], self.plans) {
                self.services[RECORDS].engine.told(notice);
            }
        }
    }
}
