//! The platform's list of servers as the replicas distribute it: complete lists, ordered by version.

use std::net::SocketAddr;

use protocol::platform::Server;

use super::ids::SingletonRole;
use super::peer_messages::Payload;
use super::role_lease::RoleLease;
use super::{Output, Replica};

/// The version of a list that a replica has read without the lease; any list of a lease holder is newer.
pub const UNLEASED_VERSION: (u64, u64) = (0, 1);
/// The end of a server's warm-up counts as unchanged if it moves by at most this time, in microseconds.
const MAX_WARM_UP_DRIFT_US: i64 = 400_000;

/// A server, and when its warm-up ends on the clock of this process.
#[derive(Clone, Debug)]
struct ListedServer {
    server: Server,
    warm_up_ends_at: i64,
}

impl ListedServer {
    fn new(now: i64, server: Server) -> ListedServer {
        ListedServer {
            warm_up_ends_at: now + server.warm_up_left_us,
            server,
        }
    }

    /// Whether the entry at the same position of a later list differs.
    fn differs(&self, now: i64, later: &ListedServer) -> bool {
        let (old, new) = (&self.server, &later.server);
        let is_same =
            old.id == new.id && old.svc == new.svc && old.addr == new.addr && old.zone == new.zone;
        let old_remaining = (self.warm_up_ends_at - now).max(0);
        let new_remaining = (later.warm_up_ends_at - now).max(0);
        !is_same
            || old.slots != new.slots
            || old.accepts_requests != new.accepts_requests
            || old_remaining == 0 && new_remaining > 0
            || (old_remaining - new_remaining).abs() > MAX_WARM_UP_DRIFT_US
    }
}

/// The newest known list.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    /// The term of the poller, and the number of the list within it.
    version: (u64, u64),
    /// Sorted by service and id.
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

    fn sort_servers(now: i64, mut servers: Vec<Server>) -> Vec<ListedServer> {
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

    /// Replaces the list by one that the poller of this term has read. Returns whether it differs.
    pub fn update_from_platform(&mut self, now: i64, term: u64, servers: Vec<Server>) -> bool {
        let servers = ServerList::sort_servers(now, servers);
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

    /// Replaces the list by that of another replica if that is newer. Returns whether it is.
    pub fn update_from_replica(
        &mut self,
        now: i64,
        version: (u64, u64),
        servers: Vec<Server>,
    ) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            let servers = ServerList::sort_servers(now, servers);
            *self = ServerList { version, servers };
        }
        is_newer
    }

    /// The list, with the remaining warm-up times at `now`.
    pub fn current(&self, now: i64) -> Vec<Server> {
        let servers = self.servers.iter();
        let current = servers.map(|listed| Server {
            warm_up_left_us: (listed.warm_up_ends_at - now).max(0),
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

    /// This process has read the list from the platform.
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
            None if self.should_poll_without_lease() => {
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

    /// Whether this replica reads the list without the lease: it is the first in the order of requests for the lease on
    /// a role, it ran before this start, and it knows no list. After a power loss at all sites the proxies cannot serve
    /// requests until they have a list, so that reading it must not wait for a lease.
    fn should_poll_without_lease(&self) -> bool {
        let ranks_first = self.role_leases.iter().any(RoleLease::ranks_first);
        let mut leases = self.role_leases.iter();
        let ran_before = leases.any(|lease| lease.granted_term().number > 0);
        ranks_first
            && ran_before
            && !self.server_list.is_known()
            && self.table.is_participant()
            && !self.is_shutting_down
    }

    /// Whether this replica should read the list from the platform.
    pub fn should_poll_platform(&self, now: i64) -> bool {
        let term = self.acting_term(now, SingletonRole::PlatformPoller);
        term.is_some() || self.should_poll_without_lease()
    }
}

#[cfg(test)]
mod tests;
