//! What is checked while a schedule is played, and at its end.

use std::collections::BTreeSet;

use control::core::Input;
use control::core::ids::SingletonRole;
use control::operator_api::{Command, Reply};
use protocol::items::ItemKind;
use protocol::messages::NodeState;
use serde_json::Value;

use super::asks::{name, servers};
use super::{
    ACK, APPLY, CONTACT, HELD, LETTERS, LOOK, OUT, PROBE, Player, RECOVERED, SERVED, SETTLED,
    TAKEN, TOLD, VACANT,
};
use crate::cluster::{Event, MS, SECOND};
use crate::edges::LIMITS;
use crate::history::{self, DROPPED};
use crate::schedule::Ask;

/// Whether a spec has this content.
pub(super) fn says(spec: Option<&str>, content: u64) -> bool {
    spec.map_or(content == DROPPED, |spec| {
        spec.contains(&format!("\"/{content}\"")) || spec.contains(&format!("\"{content}ms\""))
    })
}

impl Player {
    /// A machine that runs, takes part, and whose disk does.
    pub(super) fn good(&self, at: usize) -> bool {
        let node = &self.cluster.nodes[at];
        let takes_part = node.core.as_ref().is_some_and(|core| core.is_participant());
        takes_part
            && node.stopping.is_none()
            && !node.frozen
            && node.slow == 0
            && !node.disk.full
            && node.disk.stalled <= self.cluster.now
    }

    pub(super) fn apart(&self, a: usize, b: usize) -> bool {
        self.cluster.cuts.contains(&(a, b)) || self.cluster.cuts.contains(&(b, a))
    }

    pub(super) fn lossless(&self) -> bool {
        self.cluster.drops == 0 && self.cluster.late <= 50_000
    }

    /// Looks who can do what now, and since when.
    pub(super) fn settle(&mut self) {
        let now = self.cluster.now;
        let replicas = self.cluster.holding();
        let majority = replicas.len() / 2 + 1;
        let incarnation = |at: usize| (at, self.cluster.nodes[at].incarnation);
        let holds = |clique: &BTreeSet<(usize, u64)>| {
            let all: Vec<usize> = clique.iter().map(|(at, _)| *at).collect();
            clique
                .iter()
                .all(|(at, l)| replicas.contains(at) && incarnation(*at).1 == *l && self.good(*at))
                && all.iter().all(|a| all.iter().all(|b| !self.apart(*a, *b)))
        };
        let kept = self
            .clique
            .as_ref()
            .is_some_and(|(clique, _)| self.lossless() && holds(clique));
        if !kept {
            let mut all: Vec<usize> = replicas
                .iter()
                .copied()
                .filter(|at| self.good(*at))
                .collect();
            while let Some(worst) = all
                .iter()
                .map(|a| (all.iter().filter(|b| self.apart(*a, **b)).count(), *a))
                .filter(|(many, _)| *many > 0)
                .max()
            {
                all.retain(|at| *at != worst.1);
            }
            let found = (all.len() >= majority && self.lossless())
                .then(|| all.into_iter().map(incarnation).collect());
            self.clique = found.map(|clique| (clique, now));
        }
        let whole = replicas.iter().all(|at| self.good(*at))
            && self.lossless()
            && self.cluster.twice == 0
            && !self
                .cluster
                .cuts
                .iter()
                .any(|(a, b)| *a.max(b) < crate::edges::EDGES)
            && self.cluster.live().iter().all(|at| replicas.contains(at));
        if !whole {
            self.core_since = now;
        }
        for at in 0..self.cluster.edges.len() {
            let edge = &self.cluster.edges[at];
            let id = crate::edges::EDGES + at;
            if !edge.up
                || edge.frozen
                || self.cluster.cuts.iter().any(|(a, b)| *a == id || *b == id)
            {
                self.edge_since[at] = now;
            }
        }
    }

    /// What is looked at all the time.
    pub(super) fn look(&mut self) {
        let now = self.cluster.now;
        self.look_who_is_reached();
        self.operators();
        self.platform();
        self.settle();
        self.check_named();
        self.mend();
        self.cluster.check_contents();
        self.check_acknowledged();
        self.check_refused();
        self.check_copies();
        self.check_transfers();
        self.check_bad();
        self.check_completeness();
        self.probes();
        self.check_duties();
        self.check_members();
        for at in 0..self.cluster.edges.len() {
            if now >= self.core_since.max(self.edge_since[at]) + CONTACT {
                self.check_applied(at);
            }
        }
        for at in self.cluster.live() {
            let Some(core) = &self.cluster.nodes[at].core else {
                continue;
            };
            let sizes = core.pending_counts();
            let held = sizes.proposals + sizes.reads + sizes.calls + sizes.writes;
            self.outcome.held = self.outcome.held.max(held);
            if held > HELD {
                self.fault("memory", format!("machine {at} holds {sizes:?}"));
            }
            let most = self.cluster.nodes[at].most;
            if most > LETTERS {
                self.fault("letters", format!("machine {at} sent {most} in a second"));
            }
        }
    }

    /// What was acknowledged at a version is what stands at it, wherever that version is known.
    pub(super) fn check_acknowledged(&mut self) {
        let mut faults = Vec::new();
        for ((name, ver), content) in &self.contents {
            let Some(spec) = self.cluster.contents.get(&(name.clone(), *ver)) else {
                continue;
            };
            if !says(spec.as_deref(), *content) {
                faults.push(format!(
                    "{name} {ver} was acknowledged with {content}, and stands as {spec:?}"
                ));
            }
        }
        faults
            .into_iter()
            .for_each(|text| self.fault("changed", text));
    }

    /// Nothing of an invalid call is in force at a replica.
    pub(super) fn check_bad(&mut self) {
        let bad: Vec<String> = self
            .cluster
            .issued
            .contents
            .iter()
            .filter(|(_, (_, _, valid))| !valid)
            .map(|(content, _)| format!("/{content}\""))
            .collect();
        if bad.is_empty() {
            return;
        }
        let mut found = None;
        for node in &self.cluster.nodes {
            for item in node
                .core
                .iter()
                .flat_map(|core| core.chosen_items())
                .filter(|item| item.name.name == "s0")
            {
                if item
                    .spec
                    .as_ref()
                    .is_some_and(|spec| bad.iter().any(|bad| spec.contains(bad)))
                {
                    found = Some(item.name.clone());
                }
            }
        }
        if let Some(name) = found {
            self.fault("invalid", format!("{name} of a call that was invalid"));
        }
    }

    /// The one that holds the duty reads the platform's list.
    pub(super) fn platform(&mut self) {
        let now = self.cluster.now;
        self.list += u64::from(now / SECOND != (now - LOOK) / SECOND);
        self.next_poll.resize(self.cluster.nodes.len(), 0);
        for at in self.cluster.live() {
            let frozen = self.cluster.nodes[at].frozen;
            if self
                .cluster
                .holds(at, SingletonRole::PlatformPoller)
                .is_some()
                && !frozen
                && now >= self.next_poll[at]
            {
                self.next_poll[at] = now + 700 * MS;
                let list = servers(self.list, &self.cluster.zones);
                let incarnation = self.cluster.nodes[at].incarnation;
                self.cluster.enter(
                    now + 30 * MS,
                    Event::Feed(at, incarnation, Box::new(Input::ServerListRead(list))),
                );
            }
        }
    }

    /// More than half of the replicas run and reach each other: they take writes.
    pub(super) fn probes(&mut self) {
        let now = self.cluster.now;
        let Some((clique, since)) = self.clique.clone() else {
            self.pending.retain(|pending| !pending.probe);
            return;
        };
        self.pending
            .retain(|pending| !pending.probe || pending.begun >= since);
        if self.recovered != Some(since) && now - since > RECOVERED {
            return self.fault(
                "recover",
                format!("no write was taken {} ms after trouble", (now - since) / MS),
            );
        }
        let late = self
            .pending
            .iter()
            .find(|p| p.probe && p.begun - since >= SETTLED && now - p.begun > TAKEN);
        if let Some(late) = late {
            let text = format!(
                "{:?}, asked at {:.2} s after {} tries",
                late.ask,
                late.begun as f64 / 1e6,
                late.tries
            );
            return self.fault(
                "recover",
                format!(
                    "no write is taken by {clique:?}, settled for {} ms: {text}",
                    (now - since) / MS
                ),
            );
        }
        if now >= self.next_probe
            && self.probing
            && !self.pending.iter().any(|pending| pending.probe)
        {
            self.next_probe = now + PROBE;
            self.probe += 1;
            let members: Vec<usize> = clique
                .iter()
                .map(|(at, _)| self.cluster.nodes[*at].zone)
                .collect();
            let replica = members[self.probe as usize % members.len()];
            self.ask(Ask::Set(9, self.probe, self.probe), replica, true);
            // The re-sends of a probe stay among those that can take it.
            if let Some(pending) = self.pending.iter_mut().rfind(|pending| pending.probe) {
                pending.at = replica;
            }
        }
        for pending in self.pending.iter_mut().filter(|pending| pending.probe) {
            let members: Vec<usize> = clique
                .iter()
                .map(|(at, _)| self.cluster.nodes[*at].zone)
                .collect();
            if !members.contains(&(pending.at % self.cluster.zones.len())) {
                pending.at = members[pending.tries as usize % members.len()];
            }
        }
    }

    pub(super) fn check_duties(&mut self) {
        let now = self.cluster.now;
        let since = self.clique.as_ref().map(|(_, since)| *since);
        for duty in SingletonRole::ALL {
            let at = duty as usize;
            if since.is_none() || !self.cluster.holders(duty).is_empty() {
                self.vacant[at] = now;
                continue;
            }
            let vacant = now - self.vacant[at].max(since.unwrap_or(now));
            self.outcome.vacant = self.outcome.vacant.max(vacant);
            if vacant > VACANT {
                self.fault(
                    "vacant",
                    format!("{duty:?} is done by nobody for {} ms", vacant / MS),
                );
            }
        }
    }

    pub(super) fn check_members(&mut self) {
        let now = self.cluster.now;
        for (at, edge) in self.cluster.edges.iter().enumerate() {
            if !edge.ready() {
                self.ready_since[at] = now;
            }
        }
        if now < self.core_since + 3 * SECOND {
            return;
        }
        let mut faults = Vec::new();
        for replica in self.cluster.holding() {
            let Some(core) = &self.cluster.nodes[replica].core else {
                continue;
            };
            let members = core.members(self.cluster.nodes[replica].clock.at(now));
            for (at, edge) in self.cluster.edges.iter().enumerate() {
                let node = format!("edge-{at}");
                let told = members.iter().find(|told| told.node.name == node);
                if now - edge.heard > OUT && told.is_some() {
                    faults.push(format!(
                        "{node} is a member at {replica} {} ms after it was heard",
                        (now - edge.heard) / MS
                    ));
                }
                let calm =
                    now >= (self.edge_since[at] + 4 * SECOND).max(self.ready_since[at] + TOLD);
                if calm && told.is_none_or(|told| told.state != NodeState::Ready) {
                    faults.push(format!("{node} serves and is no member at {replica}"));
                }
            }
        }
        faults
            .into_iter()
            .for_each(|text| self.fault("lease", text));
    }

    /// A limiter in touch has what was acknowledged long enough ago.
    pub(super) fn check_applied(&mut self, at: usize) {
        let now = self.cluster.now;
        let mut faults = Vec::new();
        for (name, acked) in &self.acked {
            let due = acked
                .iter()
                .filter(|(when, _)| now > when + APPLY)
                .map(|(_, ver)| *ver)
                .max();
            let mut shown = self.cluster.edge_shows(at, name);
            if self.cluster.edges[at].shows(name).is_none() {
                let dropped = self
                    .cluster
                    .issued
                    .dropped
                    .get(name)
                    .and_then(|vers| vers.last().copied());
                shown = shown.max(dropped.unwrap_or(0));
            }
            if due.is_some_and(|due| due > shown) && self.cluster.names.contains(name) {
                faults.push(format!(
                    "edge {at} shows {name} at {shown}, {due:?} was acknowledged"
                ));
            }
        }
        faults
            .into_iter()
            .for_each(|text| self.fault("apply", text));
    }

    /// An edge that was told that it has the whole configuration has all that was acknowledged before the start of the replica that
    /// told it.
    fn check_completeness(&mut self) {
        for claim in std::mem::take(&mut self.cluster.completeness_claims) {
            let mut missing = Vec::new();
            for (name, acked) in &self.acked {
                let due = acked
                    .iter()
                    .filter(|(when, _)| *when < claim.started_at)
                    .map(|(_, ver)| *ver)
                    .max();
                let known = claim.versions.get(name).copied();
                if due > known {
                    missing.push(format!("{name} at {due:?}, has {known:?}"));
                }
            }
            if !missing.is_empty() {
                let edge = claim.edge;
                let missing = missing.join(", ");
                self.fault("snapshot", format!("edge {edge} lacks {missing}"));
            }
        }
    }

    /// What must hold after the calm.
    pub(super) fn end(&mut self) {
        let replicas = self.cluster.holding();
        for at in [
            replicas[0],
            replicas[replicas.len() / 2],
            replicas[replicas.len() - 1],
        ] {
            let from = self.cluster.now;
            match self.cluster.ask(at, Command::GetConfiguration) {
                Some(Reply::Items(body)) => {
                    let to = self.cluster.now;
                    self.was_read(from, to, &body);
                    self.check_read(&body);
                }
                other => self.fault("end", format!("reading at {at}: {other:?}")),
            }
        }
        if !self.cluster.agree() {
            self.fault(
                "end",
                "the replicas do not know the same to be chosen".to_string(),
            );
        }
        for duty in SingletonRole::ALL {
            if self.cluster.holders(duty).len() != 1 {
                self.fault(
                    "end",
                    format!("{duty:?} is done by {:?}", self.cluster.holders(duty)),
                );
            }
        }
        for at in &replicas {
            let Some(core) = &self.cluster.nodes[*at].core else {
                continue;
            };
            let sizes = core.pending_counts();
            if sizes.proposals + sizes.calls + sizes.reads + sizes.writes + sizes.repairs > 0 {
                self.fault("memory", format!("machine {at} still holds {sizes:?}"));
            }
        }
        let chosen = self.cluster.chosen(replicas[0]);
        let zone = chosen
            .get(&name(ItemKind::Zone, "c"))
            .is_some_and(|item| item.spec.as_deref() == Some("true"));
        for at in 0..self.cluster.edges.len() {
            let edge = &self.cluster.edges[at];
            let mut wrong = Vec::new();
            if edge.evacuates("c") != zone {
                wrong.push(format!(
                    "edge {at} evacuates zone c: {}",
                    edge.evacuates("c")
                ));
            }
            let held = edge.held();
            if held > 200 {
                wrong.push(format!("edge {at} holds {held}"));
            }
            wrong.into_iter().for_each(|text| self.fault("end", text));
        }
        // The first tenant asks for its rate and a half at all edges together, the second for twice its own at one.
        let edges = self.cluster.edges.len() as f64;
        let asks = [
            self.cluster.load as f64 * edges,
            if self.cluster.load > 0 {
                edges.min(1.0) * 2.0 * LIMITS[1].per_s
            } else {
                0.0
            },
        ];
        let asks_much = |(tenant, asks): &(usize, f64)| *asks >= LIMITS[*tenant].per_s * 1.5;
        for (tenant, _) in asks.into_iter().enumerate().filter(asks_much) {
            let share = self.cluster.grants.share(self.cluster.now, tenant);
            self.outcome.least = if tenant == 0 {
                share
            } else {
                self.outcome.least.min(share)
            };
            if share < SERVED {
                self.fault(
                    "starved",
                    format!("in calm tenant {tenant} has {share:.2} of its rate"),
                );
            }
        }
        // The last order about the zone stands, where none of the other kind was open after it.
        if let Some((at, on, true)) = self.drained.iter().max_by_key(|(at, ..)| *at).copied()
            && !self
                .drained
                .iter()
                .any(|(other, word, _)| *word != on && *other >= at - ACK)
            && zone != on
        {
            self.fault(
                "lost",
                format!("evacuation {on} was acknowledged and {zone} stands"),
            );
        }
        for (item, ops) in std::mem::take(&mut self.history) {
            if item.ends_with("/s9") {
                continue;
            }
            if let Err(text) = history::explained(&ops) {
                self.fault("history", format!("{item}: {text}"));
            }
        }
    }

    /// What was acknowledged is read back, or something newer.
    pub(super) fn check_read(&mut self, body: &[u8]) {
        let Ok(read) = serde_json::from_slice::<Value>(body) else {
            return;
        };
        let objects = read["objs"].as_array().cloned().unwrap_or_default();
        let mut lost = Vec::new();
        for (name, acked) in &self.acked {
            let newest = acked.iter().map(|(_, ver)| *ver).max().unwrap_or(0);
            let found = objects.iter().find(|object| {
                object["type"] == name.kind.wire_name()
                    && object["meta"]["name"] == name.name.as_str()
            });
            let ver = found.and_then(|object| object["meta"]["ver"].as_u64());
            let dropped = self
                .cluster
                .issued
                .dropped
                .get(name)
                .and_then(|vers| vers.last().copied());
            let stands = ver.unwrap_or(dropped.unwrap_or(0));
            if stands < newest {
                lost.push(format!(
                    "{name} {newest} was acknowledged, {ver:?} is read back"
                ));
            }
        }
        lost.into_iter().for_each(|text| self.fault("lost", text));
    }
}
