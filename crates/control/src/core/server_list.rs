//! The platform's list of servers as the replicas pass it on: complete, by version.

use std::net::SocketAddr;

use protocol::platform::Server;

use super::ids::SingletonRole;
use super::peer_messages::Payload;
use super::role_lease::RoleLease;
use super::{Output, Replica};

/// The version of a list that a replica read without the lease; any list of a lease holder is newer.
pub const UNLEASED_VERSION: (u64, u64) = (0, 1);
/// The end of a server's warm-up has changed if it moved by more than this, in microseconds.
const MAX_WARM_UP_DRIFT: i64 = 400_000;

/// A server, and when its warm-up ends on the clock of this process.
#[derive(Clone, Debug)]
struct ListedServer {
    server: Server,
    warm_at: i64,
}

impl ListedServer {
    fn new(now: i64, server: Server) -> ListedServer {
        ListedServer {
            warm_at: now + server.warm_up_left_us,
            server,
        }
    }

    /// Whether a later list says something else about the server at this place of the list.
    fn differs(&self, now: i64, later: &ListedServer) -> bool {
        let (old, new) = (&self.server, &later.server);
        let is_same =
            old.id == new.id && old.svc == new.svc && old.addr == new.addr && old.zone == new.zone;
        let old_left = (self.warm_at - now).max(0);
        let new_left = (later.warm_at - now).max(0);
        !is_same
            || old.slots != new.slots
            || old.accepts_requests != new.accepts_requests
            || old_left == 0 && new_left > 0
            || (old_left - new_left).abs() > MAX_WARM_UP_DRIFT
    }
}

/// The newest list that is known.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    /// The term of the poller, and the number of the list within it.
    version: (u64, u64),
    /// In the order of services and ids.
    servers: Vec<ListedServer>,
}

impl ServerList {
    /// The version: the term of the poller and the number of the list within it; (0, 0) while no list is known.
    pub fn version(&self) -> (u64, u64) {
        self.version
    }

    /// Whether any list is known.
    pub fn is_known(&self) -> bool {
        self.version != (0, 0)
    }

    fn sorted(now: i64, mut servers: Vec<Server>) -> Vec<ListedServer> {
        servers.sort_by(|a, b| (&a.svc, &a.id).cmp(&(&b.svc, &b.id)));
        let servers = servers.into_iter();
        servers
            .map(|server| ListedServer::new(now, server))
            .collect()
    }

    fn differs(&self, now: i64, later: &[ListedServer]) -> bool {
        let mut pairs = self.servers.iter().zip(later);
        self.servers.len() != later.len() || pairs.any(|(old, new)| old.differs(now, new))
    }

    /// Takes over what the poller of this term has read. Gives whether anything has changed.
    pub fn update_from_platform(&mut self, now: i64, term: u64, servers: Vec<Server>) -> bool {
        let servers = ServerList::sorted(now, servers);
        let changed = !self.is_known() || self.differs(now, &servers);
        if changed {
            let (last_term, last_number) = self.version;
            let number = if last_term == term {
                last_number + 1
            } else {
                1
            };
            let version = (term, number);
            *self = ServerList { version, servers };
        }
        changed
    }

    /// Takes over the list of another replica, if it is newer. Gives whether it was.
    pub fn update_from_replica(
        &mut self,
        now: i64,
        version: (u64, u64),
        servers: Vec<Server>,
    ) -> bool {
        let newer = version > self.version;
        if newer {
            let servers = ServerList::sorted(now, servers);
            *self = ServerList { version, servers };
        }
        newer
    }

    /// The list, with what is left of each warm-up now.
    pub fn current(&self, now: i64) -> Vec<Server> {
        let servers = self.servers.iter();
        let current = servers.map(|listed| Server {
            warm_up_left_us: (listed.warm_at - now).max(0),
            ..listed.server.clone()
        });
        current.collect()
    }
}

impl Replica {
    fn server_list_payload(&self, now: i64) -> Payload {
        Payload::ServerList {
            version: self.server_list.version(),
            servers: self.server_list.current(now),
        }
    }

    /// Sends the list to a replica that has requested it.
    pub(super) fn send_server_list(&self, now: i64, to: SocketAddr, out: &mut Vec<Output>) {
        if self.server_list.is_known() {
            self.send(vec![to], self.server_list_payload(now), out);
        }
    }

    /// Another replica has sent its list.
    pub(super) fn handle_server_list(
        &mut self,
        now: i64,
        version: (u64, u64),
        servers: Vec<Server>,
        out: &mut Vec<Output>,
    ) {
        if self.server_list.update_from_replica(now, version, servers) {
            self.announce_servers(now, out);
        }
    }

    /// The list was read from the platform by this process.
    pub(super) fn handle_server_list_read(
        &mut self,
        now: i64,
        servers: Vec<Server>,
        out: &mut Vec<Output>,
    ) {
        let list_term = self.server_list.version().0;
        let term = self.acting_term(now, SingletonRole::PlatformPoller);
        let changed = match term.filter(|term| *term >= list_term) {
            Some(term) => self.server_list.update_from_platform(now, term, servers),
            None if self.polls_before_lease() => {
                let list = &mut self.server_list;
                list.update_from_replica(now, UNLEASED_VERSION, servers)
            }
            None => false,
        };
        if changed {
            self.broadcast(self.server_list_payload(now), out);
            self.announce_servers(now, out);
        }
    }

    /// Whether this replica reads the list without the lease: it is the first one to request the lease on some role, has
    /// been here before, and knows no list. After a loss of power everywhere the proxies can serve nothing until they have
    /// a list, so that it must not wait for a lease.
    fn polls_before_lease(&self) -> bool {
        let ranks_first = self.role_leases.iter().any(RoleLease::ranks_first);
        let mut leases = self.role_leases.iter();
        let was_here = leases.any(|lease| lease.granted_term().number > 0);
        ranks_first
            && was_here
            && !self.server_list.is_known()
            && self.table.is_participant()
            && !self.shutting_down
    }

    /// Whether this replica is to read the list from the platform.
    pub fn polls_platform(&self, now: i64) -> bool {
        let term = self.acting_term(now, SingletonRole::PlatformPoller);
        term.is_some() || self.polls_before_lease()
    }
}

#[cfg(test)]
mod tests;
