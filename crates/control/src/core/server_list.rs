//! The platform's list as the replicas pass it on: whole, by version. Within it a server's coldness is kept as the moment
//! at which it is over, on the clock of whoever keeps it.

use protocol::platform::Server;

/// The version of a list that was read by a replica without the duty: any list of a poller goes before it.
pub const UNLEASED_VERSION: (u64, u64) = (0, 1);
/// A moment of being warm that moved by more than this is a change, in microseconds.
const MAX_WARM_UP_DRIFT: i64 = 400_000;

/// The newest list that is known.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    version: (u64, u64),
    /// Servers, and when each is warm.
    servers: Vec<(Server, i64)>,
}

impl ServerList {
    /// Its version; nothing is known at (0, 0).
    pub fn version(&self) -> (u64, u64) {
        self.version
    }

    /// It is known.
    pub fn is_known(&self) -> bool {
        self.version != (0, 0)
    }

    fn with_deadlines(now: i64, mut servers: Vec<Server>) -> Vec<(Server, i64)> {
        servers.sort_by(|a, b| (&a.svc, &a.id).cmp(&(&b.svc, &b.id)));
        servers
            .into_iter()
            .map(|server| (now + server.warm_up_left, server))
            .map(|(at, server)| (server, at))
            .collect()
    }

    fn differs(&self, now: i64, other: &[(Server, i64)]) -> bool {
        let one = |((old, was), (new, is)): (&(Server, i64), &(Server, i64))| {
            let same = old.id == new.id
                && old.svc == new.svc
                && old.addr == new.addr
                && old.zone == new.zone;
            let (was, is) = ((was - now).max(0), (is - now).max(0));
            !same
                || old.slots != new.slots
                || old.accepts_requests != new.accepts_requests
                || (was == 0) != (is == 0) && is > 0
                || (was - is).abs() > MAX_WARM_UP_DRIFT
        };
        self.servers.len() != other.len() || self.servers.iter().zip(other).any(one)
    }

    /// Takes what the poller of a term has read. Gives whether it is news.
    pub fn update_from_platform(&mut self, now: i64, term: u64, servers: Vec<Server>) -> bool {
        let servers = ServerList::with_deadlines(now, servers);
        let news = !self.is_known() || self.differs(now, &servers);
        if news {
            let number = if self.version.0 == term {
                self.version.1 + 1
            } else {
                1
            };
            *self = ServerList {
                version: (term, number),
                servers,
            };
        }
        news
    }

    /// Takes what another replica has. Gives whether it is newer.
    pub fn update_from_replica(
        &mut self,
        now: i64,
        version: (u64, u64),
        servers: Vec<Server>,
    ) -> bool {
        let newer = version > self.version;
        if newer {
            *self = ServerList {
                version,
                servers: ServerList::with_deadlines(now, servers),
            };
        }
        newer
    }

    /// The list, with coldness counted from now.
    pub fn current(&self, now: i64) -> Vec<Server> {
        let one = |(server, warm): &(Server, i64)| Server {
            warm_up_left: (warm - now).max(0),
            ..server.clone()
        };
        self.servers.iter().map(one).collect()
    }
}

#[cfg(test)]
mod tests;
