//! What is checked of the machines at each event.

use std::collections::BTreeMap;

use control::core::Replica;
use control::core::ids::SingletonRole;
use control::limits::GRANT_DURATION;
use protocol::items::{Item, ItemName};

use super::{Cluster, MS};

impl Cluster {
    /// A machine holds a duty at this instant, in this term.
    pub fn holds(&self, at: usize, duty: SingletonRole) -> Option<u64> {
        let node = &self.nodes[at];
        node.core
            .as_ref()?
            .acting_term(node.clock.at(self.now) + self.off(at), duty)
    }

    /// Who holds a duty now.
    pub fn holders(&self, duty: SingletonRole) -> Vec<(usize, u64)> {
        (0..self.nodes.len())
            .filter_map(|at| Some((at, self.holds(at, duty)?)))
            .collect()
    }

    /// At most one holder of the count at any instant; two that poll for as long as a grant lasts at the most. Never two of
    /// one term, and terms that rise.
    pub(super) fn check(&mut self, at: usize) {
        let pollers = self.holders(SingletonRole::PlatformPoller).len();
        let since = *self.pollers.get_or_insert(self.now);
        if pollers < 2 {
            self.pollers = None;
        } else if self.now - since > GRANT_DURATION {
            self.fault(
                "duty",
                format!("{pollers} poll for {} ms", (self.now - since) / MS),
            );
        }
        for duty in SingletonRole::ALL {
            let Some(term) = self.holds(at, duty) else {
                continue;
            };
            let first = *self.terms.entry((duty, term)).or_insert(at);
            if first != at {
                self.fault(
                    "duty",
                    format!("{duty:?}: two holders of term {term}, {first} and {at}"),
                );
            }
            let other = self
                .holders(duty)
                .into_iter()
                .find(|(other, _)| *other != at);
            if let Some((other, _)) = other.filter(|_| duty == SingletonRole::Counter) {
                self.fault("duty", format!("{duty:?} is held by {at} and {other}"));
            }
            let newest = self
                .terms
                .range((duty, 0)..=(duty, u64::MAX))
                .next_back()
                .map(|((_, t), _)| *t);
            if newest.is_some_and(|newest| newest > term) && duty == SingletonRole::Counter {
                self.fault("duty", format!("{duty:?}: term {term} after {newest:?}"));
            }
        }
    }

    /// Notes what each machine knows to be chosen: one version has one content, and none goes back.
    pub fn check_contents(&mut self) {
        let mut faults = Vec::new();
        for (at, node) in self.nodes.iter().enumerate() {
            for item in node.core.iter().flat_map(Replica::chosen_items) {
                let key = (item.name.clone(), item.ver);
                let first = self
                    .contents
                    .entry(key)
                    .or_insert_with(|| item.spec.clone());
                if *first != item.spec {
                    faults.push((
                        "content",
                        format!("two contents of {} {}", item.name, item.ver),
                    ));
                }
                let shown = self
                    .shown
                    .entry((at, node.incarnation, item.name.clone()))
                    .or_default();
                if *shown > item.ver {
                    faults.push((
                        "back",
                        format!("machine {at}: {} {} after {shown}", item.name, item.ver),
                    ));
                }
                *shown = item.ver;
            }
        }
        for (at, edge) in self.edges.iter().enumerate() {
            for item in edge.known_items() {
                let chosen = self.contents.get(&(item.name.clone(), item.ver));
                if chosen.is_some_and(|spec| *spec != item.spec) {
                    faults.push((
                        "content",
                        format!("edge {at}: another content of {} {}", item.name, item.ver),
                    ));
                }
            }
        }
        faults
            .into_iter()
            .for_each(|(rule, text)| self.fault(rule, text));
    }

    /// What a machine knows to be chosen.
    pub fn chosen(&self, at: usize) -> BTreeMap<ItemName, Item> {
        let items = self.nodes[at].core.iter().flat_map(Replica::chosen_items);
        items
            .map(|item| (item.name.clone(), item.clone()))
            .collect()
    }

    /// All replicas know the same to be chosen.
    pub fn agree(&self) -> bool {
        let replicas = self.holding();
        replicas
            .iter()
            .all(|at| self.chosen(*at) == self.chosen(replicas[0]))
    }
}
