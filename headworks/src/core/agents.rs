//! The agents linked to this seat: their leases, what they are told, and their adds to the count.

use std::collections::BTreeMap;

use mains::items::Item;
use mains::messages::{Down, Standing, Up, Who};

use super::letters::{Body, Duty};
use super::{Core, Output};

/// The links of agents.
#[derive(Clone, Debug, Default)]
pub(super) struct Agents {
    /// The zone of each one that wants news.
    zones: BTreeMap<u64, String>,
    /// What each zone was told last.
    told: BTreeMap<String, Who>,
}

impl Agents {
    fn links(&self) -> Vec<u64> {
        self.zones.keys().copied().collect()
    }
}

impl Core {
    /// A message of an agent.
    pub(super) fn agent(&mut self, now: i64, link: u64, up: Up, out: &mut Vec<Output>) {
        let changed = match up {
            Up::Hello(edge) => {
                let zone = edge.zone.clone();
                self.weirs.joined(link, &edge.region);
                let changed = self.members.hello(now, link, edge);
                self.agents.zones.insert(link, zone.clone());
                let to = || vec![link];
                out.push(Output::Tell(to(), Down::Who(self.who(now, &zone))));
                let items = self.news.all().map(|(_, item)| item.clone()).collect();
                out.push(Output::Tell(to(), Down::Items(items)));
                if self.listed.known() {
                    let (version, servers) = (self.listed.version(), self.listed.list(now));
                    out.push(Output::Tell(to(), Down::Servers { version, servers }));
                }
                if self.whole {
                    out.push(Output::Tell(to(), Down::Whole));
                }
                changed
            }
            Up::Beat(standing) => self.members.beat(now, link, standing),
            Up::Load(reports) => {
                let me = self.seats.me().seat;
                self.weirs.told(now, me, link, &reports);
                false
            }
            Up::Clock(time) => {
                self.raise(now, time);
                out.push(Output::Tell(vec![link], Down::Time(now + self.ahead)));
                false
            }
            Up::Adds { batch, time, adds } => {
                self.raise(now, time);
                let down = match self.holds(now, Duty::Count) {
                    Some(term) => Down::Totals { batch, totals: self.count.add(now, term, &adds) },
                    None => Down::NotCounted(batch),
                };
                out.push(Output::Tell(vec![link], down));
                false
            }
        };
        if changed {
            self.spread(Body::Members(self.members.list()), out);
        }
    }

    /// The limiters' clock: whoever is ahead leads, and the time of day has no part in it. Seats tell it on from agent to
    /// agent, the holder of the count to all, so that all limiters tell the windows of a tenant apart alike.
    fn raise(&mut self, now: i64, time: i64) {
        self.ahead = self.ahead.max(time.saturating_sub(now));
    }

    /// An agent's link is gone.
    pub(super) fn agent_gone(&mut self, _now: i64, link: u64, out: &mut Vec<Output>) {
        self.agents.zones.remove(&link);
        self.weirs.left(link);
        if self.members.gone(link) {
            self.spread(Body::Members(self.members.list()), out);
        }
    }

    fn who(&self, now: i64, zone: &str) -> Who {
        let holder = self.duties[Duty::Count as usize].holder(now);
        let own = self.holds(now, Duty::Count).map(|term| (self.seats.me().seat, term));
        let holder = own.or(holder.map(|term| (term.by.seat, term.number)));
        let address = |(seat, term): (u8, u64)| Some((self.seats.address(seat)?, term));
        let (mut limiters, mut in_zone) = (0, 0);
        for told in self.members.all().into_iter().filter(|told| told.standing != Standing::Away) {
            limiters += 1;
            in_zone += u32::from(told.edge.zone == zone);
        }
        Who {
            seats: self.seats.for_agents(&self.zones),
            holder: holder.and_then(address),
            in_touch: self.seats.in_touch(now) && !self.stopping,
            limiters: limiters.max(self.members.lately() as u32),
            in_zone,
        }
    }

    /// Tells the agents who is who, where that has changed or as a sign of life.
    pub(super) fn tell_who(&mut self, now: i64, beat: bool, out: &mut Vec<Output>) {
        if self.agents.zones.is_empty() {
            return;
        }
        let mut zones: BTreeMap<&String, Vec<u64>> = BTreeMap::new();
        for (link, zone) in &self.agents.zones {
            zones.entry(zone).or_default().push(*link);
        }
        let mut told = BTreeMap::new();
        for (zone, links) in zones {
            let who = self.who(now, zone);
            if beat || self.agents.told.get(zone) != Some(&who) {
                out.push(Output::Tell(links, Down::Who(who.clone())));
            }
            told.insert(zone.clone(), who);
        }
        self.agents.told = told;
    }

    /// Tells the agents of items that are chosen.
    pub(super) fn tell_items(&self, items: Vec<Item>, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            out.push(Output::Tell(links, Down::Items(items)));
        }
    }

    /// Tells the agents that they know all that is in force.
    pub(super) fn tell_whole(&self, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            out.push(Output::Tell(links, Down::Whole));
        }
    }

    /// Tells the agents the platform's list.
    pub(super) fn tell_servers(&self, now: i64, out: &mut Vec<Output>) {
        let links = self.agents.links();
        if !links.is_empty() {
            let (version, servers) = (self.listed.version(), self.listed.list(now));
            out.push(Output::Tell(links, Down::Servers { version, servers }));
        }
    }
}
