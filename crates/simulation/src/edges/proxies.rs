//! The proxies of the edges.

use dataplane::engine::EngineRejection;
use protocol::items::ItemName;
use protocol::messages::{AgentMessage, ControlMessage};
use proxy::config_store::ConfigStore;
use proxy::router::{RouterAction, RoutingRequest};
use streamarch::Outcome;

use super::{BASE, Batch, COUNT_WAIT, Due, HOST, LIMITS, LOAD, PREFIX, SURGING};
use crate::chance::mix;
use crate::cluster::{Cluster, SECOND};
use crate::harm::Bug;

impl Cluster {
    pub(super) fn proxy_heard(&mut self, at: usize, message: ControlMessage) {
        let (now, steady) = (self.local(at), self.steady(at));
        let proxy = &mut self.edges[at].proxy;
        match message {
            ControlMessage::ClusterView(who) => {
                proxy.router.set_limiter_count(now, who.limiter_count);
                proxy.router.set_isolated(!who.has_quorum);
                proxy
                    .router
                    .set_counter_term(who.counter.map(|(_, term)| term));
            }
            ControlMessage::Items(items) => {
                let forgets =
                    self.has(Bug::Forget) && mix(&[self.seed, 8, now as u64]).is_multiple_of(8);
                let items = if self.has(Bug::News) {
                    self.by_arrival(at, items)
                } else {
                    items
                };
                let anew = forgets || self.has(Bug::News);
                let proxy = &mut self.edges[at].proxy;
                if anew {
                    proxy.config_store = ConfigStore::default();
                }
                let (touched, faults) = proxy.config_store.apply(items);
                if touched.zones_changed {
                    let evacuated = proxy.config_store.evacuated_zones().clone();
                    proxy.server_table.set_evacuated_zones(
                        now,
                        &evacuated,
                        touched.restored_zones,
                        4 * SECOND,
                    );
                    self.list(at);
                }
                for fault in faults {
                    self.fault("invalid", format!("edge {at}: {fault}"));
                }
                self.check_edge(at);
            }
            ControlMessage::Servers { version, servers } => {
                let list = servers
                    .first()
                    .and_then(|server| server.id[1..].split('-').next()?.parse().ok());
                if proxy.server_table.update(now, version, servers) {
                    let list: u64 = list.unwrap_or(0);
                    let before = std::mem::replace(&mut proxy.list, list);
                    if before > list {
                        self.fault("servers", format!("edge {at}: list {list} after {before}"));
                    }
                    self.list(at);
                }
            }
            ControlMessage::Complete => proxy.told = true,
            ControlMessage::SnapshotComplete => {}
            ControlMessage::Clock(time) => {
                proxy.ahead = proxy.ahead.max(time - steady);
                proxy.router.handle_clock_jump(time, time - now);
            }
            // The simulation's servers answer at once: nothing is under strain.
            ControlMessage::CounterTotals { .. }
            | ControlMessage::NotCounted(_)
            | ControlMessage::AdmissionLevels { .. }
            | ControlMessage::Confirmed { .. } => {}
        }
        self.stands(at);
    }

    pub(super) fn list(&mut self, at: usize) {
        let now = self.local(at);
        let proxy = &mut self.edges[at].proxy;
        let places: Vec<_> = proxy
            .router
            .service_engines()
            .map(|(s, p, n)| (s.to_string(), p.to_vec(), n))
            .collect();
        for (svc, pins, place) in places {
            let entries = proxy.server_table.entries(now, &svc, &pins);
            proxy.router.update_servers(place, entries);
        }
    }

    /// What an edge shows never goes back in its incarnation, and is nothing that was refused for its contents.
    pub(super) fn check_edge(&mut self, at: usize) {
        let names: Vec<ItemName> = self.names.clone();
        for name in names {
            let before = self.edges[at].proxy.shown.get(&name).copied().unwrap_or(0);
            let ver = match self.edges[at].shows(&name) {
                Some(content) => match self.issued.contents.get(&content) {
                    Some((_, _, false)) => {
                        self.fault(
                            "invalid",
                            format!("edge {at} shows {name} with content {content}"),
                        );
                        continue;
                    }
                    Some((_, ver, true)) => *ver,
                    None => continue,
                },
                // Dropped, at the lowest version that it can be.
                None if before == 0 => 0,
                None => {
                    let dropped = self.issued.dropped.get(&name);
                    let after = dropped.and_then(|vers| vers.range(before..).next().copied());
                    after.unwrap_or(0)
                }
            };
            if ver < before {
                self.fault(
                    "back",
                    format!("edge {at} shows {name} at {ver} after {before}"),
                );
            }
            self.edges[at].proxy.shown.insert(name, ver);
        }
    }

    /// The version of an item that an edge shows.
    pub fn edge_shows(&self, at: usize, name: &ItemName) -> u64 {
        self.edges[at].proxy.shown.get(name).copied().unwrap_or(0)
    }

    /// Requests come in.
    pub(super) fn load(&mut self, at: usize) {
        let now = self.local(at);
        if self.load + self.surge == 0
            || !self.edges[at].ready()
            || !self.edges[at].proxy.server_table.has_servers()
        {
            return;
        }
        self.tell_count(at);
        for tenant in 0..LIMITS.len() {
            // The second tenant asks at one edge, at twice its limit.
            let rate = match tenant {
                0 => self.load as f64,
                SURGING => self.surge as f64,
                _ if at == 0 && self.load > 0 => LIMITS[1].per_s * 2.0,
                _ => continue,
            };
            let slot = (self.now / LOAD) as f64;
            let due = (rate * LOAD as f64 / SECOND as f64 * slot) as u64
                - (rate * LOAD as f64 / SECOND as f64 * (slot - 1.0).max(0.0)) as u64;
            for _ in 0..due {
                let proxy = &mut self.edges[at].proxy;
                let Some(route) = proxy.config_store.find_route(HOST, PREFIX).cloned() else {
                    return;
                };
                let named = proxy
                    .config_store
                    .tenant_by_api_key(&format!("key{tenant}"))
                    .cloned();
                let Some(named) = named else { return };
                if proxy.router.engine_index(BASE, &[]).is_none() {
                    let entries = proxy.server_table.entries(now, BASE, &[]);
                    proxy
                        .router
                        .create_engine(BASE, &[], route.target_time.0, entries);
                }
                let request = proxy.keys.insert(tenant);
                let tenant = Some((named.name.as_str(), &named.tenant));
                let asked = RoutingRequest {
                    key: request,
                    request_id: "i",
                    route: &route,
                    service: BASE,
                    tenant,
                    allowed_regions: &[],
                    deadline: now + 3 * SECOND,
                };
                self.grants.asked += 1;
                if proxy.router.submit(now, &asked).is_none() {
                    proxy.keys.remove(request);
                }
            }
        }
        self.turn(at);
    }

    pub(super) fn tell_count(&mut self, at: usize) {
        let holder = self.edges[at]
            .agent
            .known
            .cluster_view()
            .and_then(|who| who.counter);
        self.edges[at]
            .proxy
            .router
            .set_counter_term(holder.map(|(_, term)| term));
    }

    /// The module decides; servers answer at once.
    pub(super) fn turn(&mut self, at: usize) {
        let now = self.local(at);
        let mut steps = Vec::new();
        for _ in 0..8 {
            let proxy = &mut self.edges[at].proxy;
            proxy.router.run(now, &mut steps, |_, _| {});
            if steps.is_empty() {
                break;
            }
            for step in std::mem::take(&mut steps) {
                let proxy = &mut self.edges[at].proxy;
                match step {
                    RouterAction::SendAttempt {
                        request,
                        handle: ticket,
                        attempt: leg,
                        ..
                    } => {
                        proxy.router.handle_attempt_written(now, ticket, leg);
                        proxy
                            .router
                            .handle_attempt_ended(now, ticket, leg, Outcome::Ok);
                        let Some(tenant) = proxy.keys.remove(request) else {
                            continue;
                        };
                        if let Some((sent, most)) = self.grants.sent(self.now, tenant) {
                            self.fault(
                                "quota",
                                format!("tenant {tenant}: {sent} in 5 s, {most:.0} allowed"),
                            );
                        }
                    }
                    RouterAction::Reject(
                        request,
                        EngineRejection::Declined { .. }
                        | EngineRejection::Failed
                        | EngineRejection::Expired { .. },
                    ) => {
                        proxy.keys.remove(request);
                    }
                    RouterAction::AddToCounter(add) => proxy.adds.push(add),
                    RouterAction::CancelAttempt(..) | RouterAction::Probe(..) => {}
                }
            }
            self.send_adds(at);
        }
        let proxy = &mut self.edges[at].proxy;
        if let Some(next) = proxy.router.next_wakeup() {
            let ahead = proxy.ahead;
            let when = self.edges[at].clock.when(next - ahead).max(self.now + 1);
            let proxy = &mut self.edges[at].proxy;
            if proxy.wake <= self.now || when < proxy.wake {
                proxy.wake = when;
                self.later(at, when - self.now, Due::Wake);
            }
        }
    }

    pub(super) fn send_adds(&mut self, at: usize) {
        let proxy = &mut self.edges[at].proxy;
        if proxy.adds.is_empty() {
            return;
        }
        let adds = std::mem::take(&mut proxy.adds);
        proxy.batch += 1;
        let (number, incarnation) = (proxy.batch, proxy.incarnation);
        let names = adds.iter().map(|add| add.counter).collect();
        proxy.batches.push_back(Batch {
            number,
            names,
            expired: false,
        });
        self.later(at, COUNT_WAIT, Due::Batch(number));
        let steady = self.steady(at);
        let agent = &mut self.edges[at].agent;
        let up = agent
            .count
            .filter(|(id, ..)| self.conns.get(id).is_some_and(|conn| conn.up));
        let up = up.filter(|_| agent.known.limiter_clock(steady).is_some());
        let Some((id, ..)) = up else {
            return self.totals(at, incarnation, number, None);
        };
        agent.batch += 1;
        let batch = agent.batch;
        agent.batches.insert(batch, (incarnation, number));
        if agent.batches.len() > 2_000 {
            agent.batches.pop_first();
        }
        let time = self.local(at);
        self.say(
            id,
            AgentMessage::CounterBatch {
                batch,
                clock_us: time,
                adds,
            },
        );
    }

    pub(super) fn totals(
        &mut self,
        at: usize,
        incarnation: u64,
        number: u64,
        totals: Option<&[f64]>,
    ) {
        let proxy = &mut self.edges[at].proxy;
        if proxy.incarnation != incarnation {
            return;
        }
        let Some(place) = proxy
            .batches
            .iter()
            .position(|batch| batch.number == number)
        else {
            return;
        };
        let Some(batch) = proxy.batches.remove(place) else {
            return;
        };
        match totals {
            Some(_) if batch.expired => proxy.router.handle_late_counter_result(),
            None if batch.expired => {}
            totals => {
                for (place, name) in batch.names.iter().enumerate() {
                    match totals.and_then(|totals| totals.get(place)) {
                        Some(total) => {
                            proxy
                                .router
                                .handle_counter_result(*name, Outcome::Ok, *total)
                        }
                        None => {
                            proxy
                                .router
                                .handle_counter_result(*name, Outcome::ConnectFailed, 0.0)
                        }
                    }
                }
            }
        }
        // What follows is decided on in the next turn of the loop.
        let wake = self.now + 1;
        self.edges[at].proxy.wake = wake;
        self.later(at, 1, Due::Wake);
    }
}
