//! The operators: their calls, re-sends, and what came of them.

use std::collections::BTreeMap;

use control::operator_api::Reply;
use serde_json::Value;

use super::asks::{first, names, svc};
use super::{ACK, PATIENCE, Pending, Player, SETTLED};
use crate::cluster::{MS, SECOND};
use crate::history::{DROPPED, Did, Op};
use crate::schedule::Ask;

impl Player {
    /// The first call is sent until it is taken.
    pub(super) fn begin(&mut self, asked: &mut Option<(u64, i64)>) {
        let now = self.cluster.now;
        match asked {
            Some((call, _)) if self.cluster.reply(*call) == Some(Reply::Done) => {}
            Some((_, at)) if now - *at < PATIENCE => {}
            _ => {
                let at = self.cluster.holding()[(now / SECOND) as usize % self.cluster.zones.len()];
                *asked = Some((self.cluster.call(at, first(self.tenants)), now));
            }
        }
    }

    pub(super) fn issue(&mut self, ask: Ask) {
        for (name, ver, content) in ask.writes() {
            if content == DROPPED {
                self.cluster
                    .issued
                    .dropped
                    .entry(name)
                    .or_default()
                    .insert(ver);
            } else {
                self.cluster
                    .issued
                    .contents
                    .insert(content, (name, ver, true));
            }
        }
        if let Ask::Bad(ver, content) = ask {
            self.cluster
                .issued
                .contents
                .insert(content, (svc(0), ver, false));
        }
    }

    pub(super) fn ask(&mut self, ask: Ask, replica: usize, probe: bool) {
        let now = self.cluster.now;
        for (name, ver, _) in ask.writes() {
            let newest = self.asked.entry(name).or_default();
            *newest = ver.max(*newest);
        }
        let at = replica % self.cluster.zones.len();
        self.pending.push(Pending {
            ask,
            at,
            begun: now,
            call: None,
            to: at,
            next: now,
            tries: 0,
            probe,
            repeat: false,
        });
        self.operators();
    }

    /// The operators look for answers, and send again.
    pub(super) fn operators(&mut self) {
        let now = self.cluster.now;
        for mut pending in std::mem::take(&mut self.pending) {
            if let Some((call, since)) = pending.call {
                let answer = self.cluster.answers.remove(&call);
                let answer = self.arrives(&pending, call, answer);
                let silent = now - since >= PATIENCE;
                if answer.is_none() && !silent {
                    self.pending.push(pending);
                    continue;
                }
                pending.call = None;
                answer
                    .iter()
                    .for_each(|(_, reply)| self.heard(&pending, reply));
                let clear = self.answered(&pending, since, answer);
                if clear {
                    continue;
                }
                pending.next = now + 100 * MS * (pending.tries as i64).min(5);
            }
            if now - pending.begun >= ACK {
                self.given_up(&pending);
                continue;
            }
            if now >= pending.next {
                let at = self.machine(pending.at);
                pending.at += 1;
                pending.tries += 1;
                pending.to = at;
                if self.cluster.nodes[at].core.is_some() {
                    pending.call = Some((self.cluster.call(at, pending.ask.command()), now));
                } else {
                    pending.next = now + 100 * MS;
                }
            }
            self.pending.push(pending);
        }
    }

    /// An answer, or none. Gives whether it is clear.
    pub(super) fn answered(
        &mut self,
        pending: &Pending,
        since: i64,
        answer: Option<(i64, Reply)>,
    ) -> bool {
        let (ask, now) = (pending.ask, self.cluster.now);
        let (to, reply) = answer.map_or((i64::MAX, None), |(at, reply)| (at, Some(reply)));
        self.check_answer(pending, since, to, reply.as_ref());
        let writes = ask.writes();
        let alone = writes.len() == 1;
        for (name, ver, content) in writes {
            let (did, to) = match &reply {
                Some(Reply::Done) => (Did::Wrote(ver, content), to),
                Some(Reply::Conflict) if alone => (Did::Refused(ver, content), to),
                // Of a call with more items it is not told which one was the reason.
                Some(Reply::Conflict) => (Did::Void(ver, content), to),
                Some(Reply::Invalid(_)) => continue,
                _ => (Did::Unclear(ver, content), i64::MAX),
            };
            self.history.entry(name.to_string()).or_default().push(Op {
                from: since,
                to,
                did,
            });
            if reply == Some(Reply::Done) {
                // One that a higher version has overtaken is acknowledged as well, and has no effect.
                if self.asked.get(&name).is_none_or(|newest| *newest <= ver) {
                    self.contents.insert((name.clone(), ver), content);
                }
                self.acked.entry(name).or_default().push((to, ver));
            }
        }
        match (ask, reply) {
            (Ask::Read, Some(Reply::Items(body))) => {
                self.outcome.read += 1;
                self.was_read(since, to, &body);
                true
            }
            (Ask::Bad(..), Some(Reply::Done)) => {
                self.fault("invalid", format!("{ask:?} was acknowledged"));
                true
            }
            (Ask::Drain(on), Some(Reply::Done)) => {
                self.drained.push((to, on, true));
                true
            }
            (Ask::Drain(on), _) => {
                self.drained.push((now, on, false));
                false
            }
            (_, Some(Reply::Done)) => {
                if pending.repeat {
                    self.outcome.repeated += 1;
                } else if pending.probe {
                    let since = self
                        .clique
                        .as_ref()
                        .map(|(_, since)| *since)
                        .filter(|at| pending.begun >= *at);
                    if let Some(since) = since.filter(|since| self.recovered != Some(*since)) {
                        self.recovered = Some(since);
                        self.outcome.recovered = self.outcome.recovered.max(to - since);
                    }
                    if self
                        .clique
                        .as_ref()
                        .is_some_and(|(_, since)| pending.begun - since >= SETTLED)
                    {
                        self.outcome.taken = self.outcome.taken.max(to - pending.begun);
                    }
                } else {
                    self.outcome.acknowledged += 1;
                }
                true
            }
            (_, Some(Reply::Conflict)) => {
                self.outcome.refused += 1;
                true
            }
            (Ask::Bad(..) | Ask::Dangle(..) | Ask::Refer(..), Some(Reply::Invalid(_))) => true,
            (_, Some(Reply::Invalid(text))) => {
                self.fault("refused", format!("{ask:?}: {text}"));
                true
            }
            _ => false,
        }
    }

    pub(super) fn was_read(&mut self, from: i64, to: i64, body: &[u8]) {
        let Ok(read) = serde_json::from_slice::<Value>(body) else {
            return self.fault("read", "no JSON".to_string());
        };
        let mut found: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for object in read["objs"].as_array().into_iter().flatten() {
            let (kind, meta, spec) = (&object["type"], &object["meta"], &object["spec"]);
            let content = match kind.as_str() {
                Some("svcs") => spec["hcheck"]
                    .as_str()
                    .and_then(|text| text[1..].parse().ok()),
                Some("routes") => spec["timeout"]
                    .as_str()
                    .and_then(|text| text.strip_suffix("ms")?.parse().ok()),
                _ => None,
            };
            let key = format!(
                "{}/{}",
                kind.as_str().unwrap_or_default(),
                meta["name"].as_str().unwrap_or_default()
            );
            if let (Some(ver), Some(content)) = (meta["ver"].as_u64(), content) {
                found.insert(key, (ver, content));
            }
        }
        for name in names() {
            let key = name.to_string();
            let did = Did::Read(found.get(&key).copied());
            self.history
                .entry(key)
                .or_default()
                .push(Op { from, to, did });
        }
    }
}
