//! What an agent was told, to be told to its proxy, also to one that starts later. Without any input or output.

use overload::judge::Level;
use protocol::digests::Digests;
use protocol::items::{Item, Items};
use protocol::messages::{AgentMessage, ClusterView, ControlMessage};
use protocol::platform::Server;

/// A list of servers, and when it was told, in microseconds.
#[derive(Clone, Debug)]
struct List {
    version: (u64, u64),
    servers: Vec<Server>,
    at: i64,
}

/// A limiter that has heard no replica for this long is alone: its lease is over, and the others leave nothing of tenants'
/// quotas for it any more, at the latest when replicas have started that never knew it...
pub const ALONE: i64 = 3_000_000;
/// ...and one that has heard none in touch with the core for this long: those that are leave something for so long.
pub const ASTRAY: i64 = 8_000_000;

/// What is known.
#[derive(Debug, Default)]
pub struct Known {
    items: Items,
    /// Of these, by parts.
    digests: Digests,
    list: Option<List>,
    who: Option<ClusterView>,
    /// A replica was heard last then, and one in touch with the core.
    heard: i64,
    in_touch: i64,
    /// The replica that spoke last said that it is in touch.
    touch: bool,
    /// That was so long ago that others count on this limiter no more, and its proxy was told so.
    alone: bool,
    whole: bool,
    /// The limiters' clock, and when it was told.
    time: Option<(i64, i64)>,
    /// Levels of services, and when they were judged.
    levels: Option<(Vec<Level>, i64)>,
}

impl Known {
    /// Takes news; gives what of it is new to the proxy.
    pub fn take(&mut self, now: i64, message: ControlMessage) -> Option<ControlMessage> {
        // Who is who comes only where it changes; whatever else is told is a sign of life beside it.
        self.heard = now;
        self.in_touch = if self.touch { now } else { self.in_touch };
        match message {
            ControlMessage::ClusterView(who) => {
                self.touch = who.has_quorum;
                if who.has_quorum {
                    (self.in_touch, self.alone) = (now, false);
                }
                // To the proxy it says whether this limiter is in touch.
                let who = ClusterView {
                    has_quorum: !self.alone,
                    ..who
                };
                let told = |who: &ClusterView| (who.limiters, who.counter, who.has_quorum);
                let same = self
                    .who
                    .as_ref()
                    .is_some_and(|held| told(held) == told(&who));
                self.who = Some(who.clone());
                (!same).then_some(ControlMessage::ClusterView(who))
            }
            ControlMessage::Items(items) => {
                let newer = |item: &Item| {
                    self.items
                        .get(&item.name)
                        .is_none_or(|held| held.ver < item.ver)
                };
                let new: Vec<Item> = items.into_iter().filter(newer).collect();
                for item in &new {
                    self.digests.toggle(&item.name, Digests::item_digest(item));
                    if let Some(old) = self.items.insert(item.name.clone(), item.clone()) {
                        self.digests.toggle(&old.name, Digests::item_digest(&old));
                    }
                }
                (!new.is_empty()).then_some(ControlMessage::Items(new))
            }
            ControlMessage::Servers { version, servers } => {
                if self
                    .list
                    .as_ref()
                    .is_some_and(|held| held.version >= version)
                {
                    return None;
                }
                self.list = Some(List {
                    version,
                    servers: servers.clone(),
                    at: now,
                });
                Some(ControlMessage::Servers { version, servers })
            }
            ControlMessage::Complete => {
                let first = !std::mem::replace(&mut self.whole, true);
                first.then_some(ControlMessage::Complete)
            }
            ControlMessage::Clock(time) => {
                // The one that is ahead leads.
                let newer = self.time(now).is_none_or(|held| held < time);
                self.time = if newer { Some((time, now)) } else { self.time };
                newer.then_some(ControlMessage::Clock(time))
            }
            ControlMessage::Levels { age, levels } => {
                self.levels = Some((levels.clone(), now - age));
                Some(ControlMessage::Levels { age, levels })
            }
            ControlMessage::Totals { .. } | ControlMessage::NotCounted(_) => None,
        }
    }

    /// The items, each at the newest version that was told.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Looks whether this limiter is alone by now; if so, what its proxy is told, once.
    pub fn look(&mut self, now: i64) -> Option<ControlMessage> {
        let who = self.who.as_mut()?;
        if self.alone || (now - self.heard < ALONE && now - self.in_touch < ASTRAY) {
            return None;
        }
        self.alone = true;
        (who.has_quorum, who.counter) = (false, None);
        Some(ControlMessage::ClusterView(who.clone()))
    }

    /// Digests of the items, for a control program that is to tell what is missing; nothing where none is known.
    pub fn have(&self) -> Option<Vec<u64>> {
        (!self.items.is_empty()).then(|| self.digests.buckets().to_vec())
    }

    /// How many items are known, and their digest, as the control program is told.
    pub fn holding(&self) -> AgentMessage {
        AgentMessage::ConfigState {
            items: self.items.len() as u32,
            digest: self.digests.combined(),
        }
    }

    /// Who is who, as last told.
    pub fn who(&self) -> Option<&ClusterView> {
        self.who.as_ref()
    }

    /// The limiters' clock.
    pub fn time(&self, now: i64) -> Option<i64> {
        self.time.map(|(time, at)| time + (now - at))
    }

    /// All that is known, for a proxy that knows nothing.
    pub fn all(&self, now: i64) -> Vec<ControlMessage> {
        let who = self.who.clone().map(ControlMessage::ClusterView);
        let items = ControlMessage::Items(self.items.values().cloned().collect());
        let list = self.list.as_ref().map(|list| {
            // What was left of their cold time when it was told, less what has passed since.
            let cooler = |server: &Server| Server {
                warm_up_left: (server.warm_up_left - (now - list.at)).max(0),
                ..server.clone()
            };
            ControlMessage::Servers {
                version: list.version,
                servers: list.servers.iter().map(cooler).collect(),
            }
        });
        let whole = self.whole.then_some(ControlMessage::Complete);
        let levels = self
            .levels
            .iter()
            .map(|(levels, at)| ControlMessage::Levels {
                age: now - at,
                levels: levels.clone(),
            });
        who.into_iter()
            .chain(self.time(now).map(ControlMessage::Clock))
            .chain([items])
            .chain(list)
            .chain(levels)
            .chain(whole)
            .collect()
    }
}

#[cfg(test)]
mod tests;
