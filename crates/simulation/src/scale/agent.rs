//! An agent as the scale runs play it: where it is linked by [`Links`], what it knows by [`Known`], or by counting where
//! thousands of copies of all items would only fill the memory.

use std::net::SocketAddr;

use agent::config_cache::ConfigCache;
use agent::replica_selection::ReplicaSelection;
use protocol::digests::Digests;
use protocol::items::Item;
use protocol::messages::{AgentMessage, ControlMessage, NodeInfo};

/// What an agent was told, as it travels.
#[derive(Clone, Debug)]
pub enum News {
    /// The message itself.
    Whole(std::rc::Rc<ControlMessage>),
    /// So many items, for an agent that counts; the one that is watched is among them at this version.
    Items(usize, Option<u64>),
}

/// An agent.
pub struct Agent {
    /// As it names itself.
    pub edge: NodeInfo,
    /// Where to call.
    pub links: ReplicaSelection,
    /// What it knows; none for one that counts.
    pub known: Option<ConfigCache>,
    /// Number and peer of its link, while it has one or opens it.
    pub link: Option<(u64, usize)>,
    /// The same of that to the holder of the count.
    pub count: Option<(u64, usize)>,
    /// Items that were told to it.
    pub items: usize,
    /// All was told.
    pub whole: bool,
    /// It has looked for the replica of its zone.
    pub homed: bool,
    /// When it knew all.
    pub done: Option<i64>,
    /// When it knew the watched version.
    pub seen: Option<i64>,
    /// The holder of the count, as last told.
    pub holder: Option<SocketAddr>,
    /// The limiters' clock was asked for then.
    pub asked: i64,
}

impl Agent {
    /// What it says first on a link.
    pub fn greeting(&self, have: Option<Vec<u64>>) -> Vec<AgentMessage> {
        let have = have.map(AgentMessage::KnownDigests).into_iter();
        let rest = [
            AgentMessage::Hello(self.edge.clone()),
            AgentMessage::Clock(0),
            AgentMessage::Heartbeat(protocol::messages::NodeState::Ready),
        ];
        have.chain(rest).collect()
    }

    /// What it has, for the replica that it greets; nothing before it has all. `base`: digests of all items as they were at
    /// the start, `change`: of the watched one before and after its change.
    pub fn have(&self, all: usize, base: &Digests, change: &[Item; 2]) -> Option<Vec<u64>> {
        if self.items < all {
            return None;
        }
        if let Some(known) = &self.known {
            return known.known_digests();
        }
        let mut digests = base.clone();
        for item in change.iter().filter(|_| self.seen.is_some()) {
            digests.toggle(&item.name, Digests::item_digest(item));
        }
        Some(digests.buckets().to_vec())
    }

    /// Takes news in; `all` is how many items there are, `watched` the name and version that is waited for.
    pub fn hear(
        &mut self,
        now: i64,
        news: News,
        all: usize,
        watched: (&protocol::items::ItemName, u64),
    ) {
        match news {
            News::Items(count, version) => {
                self.items += count;
                self.see(now, version, watched.1);
            }
            News::Whole(down) => {
                match &*down {
                    ControlMessage::Items(items) => {
                        self.items += items.len();
                        let found = items
                            .iter()
                            .find(|item| item.name == *watched.0)
                            .map(|item| item.ver);
                        self.see(now, found, watched.1);
                    }
                    ControlMessage::ClusterView(who) => {
                        if who.has_quorum {
                            self.links.set_replicas(&who.replicas);
                            self.links.reset();
                        }
                        self.holder = who.counter.map(|(at, _)| at);
                    }
                    ControlMessage::Complete => self.whole = true,
                    _ => {}
                }
                if let Some(known) = &mut self.known {
                    known.apply(now, (*down).clone());
                }
            }
        }
        if self.whole && self.items >= all && self.done.is_none() {
            self.done = Some(now);
        }
    }

    fn see(&mut self, now: i64, found: Option<u64>, wanted: u64) {
        if found.is_some_and(|found| found >= wanted) && self.seen.is_none() {
            self.seen = Some(now);
        }
    }
}
