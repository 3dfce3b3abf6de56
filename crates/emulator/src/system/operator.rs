//! The operator: sends configurations and evacuations to any control program until they are accepted, and keeps what
//! must be read back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::client::{Failure, Reply, call};

/// Time limit for the answer to one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after the first failed call; each further pause is longer by half.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Items that one call sets or drops.
#[derive(Clone, Debug, Default)]
pub struct Change(Vec<(String, String, u64, Option<Value>)>);

impl Change {
    /// Sets an item; `kind` is its type as named in calls, and the name is empty for the limits.
    #[must_use]
    pub fn set(mut self, kind: &str, name: &str, ver: u64, spec: Value) -> Change {
        self.0.push((kind.into(), name.into(), ver, Some(spec)));
        self
    }

    /// Drops an item.
    #[must_use]
    pub fn drop(mut self, kind: &str, name: &str, ver: u64) -> Change {
        self.0.push((kind.into(), name.into(), ver, None));
        self
    }

    /// The body of the call.
    pub fn body(&self) -> String {
        let (mut objs, mut remove) = (Vec::new(), BTreeMap::<&str, Vec<Value>>::new());
        for (kind, name, ver, spec) in &self.0 {
            let meta = if name.is_empty() {
                json!({"ver": ver})
            } else {
                json!({"name": name, "ver": ver})
            };
            match spec {
                Some(spec) => objs.push(json!({"type": kind, "meta": meta, "spec": spec})),
                None => remove.entry(kind).or_default().push(meta),
            }
        }
        json!({"upsert": {"objs": objs}, "remove": remove}).to_string()
    }
}

/// The operator.
#[derive(Debug)]
pub struct Operator {
    ctl: Vec<SocketAddr>,
    next_ctl: usize,
    /// Acknowledged version and content, by kind and name.
    acknowledged: BTreeMap<(String, String), (u64, Option<Value>)>,
}

impl Operator {
    /// An operator that calls the control programs at these addresses.
    pub fn new(ctl: Vec<SocketAddr>) -> Operator {
        Operator {
            ctl,
            next_ctl: 0,
            acknowledged: BTreeMap::new(),
        }
    }

    /// Sends a change until it is accepted.
    ///
    /// # Errors
    /// It was refused, or not accepted before the deadline.
    pub fn change(&mut self, change: &Change, until: Instant) -> Result<(), String> {
        self.call_until_accepted("POST", "/api/cfg/patch", &change.body(), until)?;
        for (kind, name, ver, spec) in &change.0 {
            let acknowledged = self
                .acknowledged
                .entry((kind.clone(), name.clone()))
                .or_insert((0, None));
            if *ver > acknowledged.0 {
                *acknowledged = (*ver, spec.clone());
            }
        }
        Ok(())
    }

    /// Begins or finishes the evacuation of a zone.
    ///
    /// # Errors
    /// It was refused, or not accepted before the deadline.
    pub fn set_zone_evacuation(
        &mut self,
        zone: &str,
        begin: bool,
        until: Instant,
    ) -> Result<(), String> {
        let word = if begin { "begin" } else { "finish" };
        self.call_until_accepted("POST", &format!("/api/drain/{zone}/{word}"), "", until)
            .map(drop)
    }

    /// Names of the items whose state read back differs from what was acknowledged; empty if there are none.
    ///
    /// # Errors
    /// There is no answer before the deadline.
    pub fn differences(&mut self, until: Instant) -> Result<Vec<String>, String> {
        let reply = self.call_until_accepted("GET", "/api/cfg/get", "", until)?;
        let read_back: Value =
            serde_json::from_slice(reply.body()).map_err(|e| format!("reading back: {e}"))?;
        let item = |object: &Value| {
            let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
            let (kind, name) = (text(&object["type"]), text(&object["meta"]["name"]));
            Some((
                (kind, name),
                (
                    object["meta"]["ver"].as_u64()?,
                    Some(object["spec"].clone()),
                ),
            ))
        };
        let objects = read_back["objs"]
            .as_array()
            .ok_or("reading back: no objs")?;
        let read_back: BTreeMap<_, _> = objects.iter().filter_map(item).collect();
        let is_set = self
            .acknowledged
            .iter()
            .filter(|(_, (_, spec))| spec.is_some());
        let differs = is_set
            .filter(|(name, item)| read_back.get(*name) != Some(*item))
            .map(|(name, _)| name);
        let is_set = |name: &(String, String)| {
            self.acknowledged
                .get(name)
                .is_some_and(|(_, spec)| spec.is_some())
        };
        let unexpected = read_back.keys().filter(|name| !is_set(name));
        Ok(differs
            .chain(unexpected)
            .map(|(kind, name)| format!("{kind}/{name}"))
            .collect())
    }

    /// Calls the control programs in turn until one accepts.
    fn call_until_accepted(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        until: Instant,
    ) -> Result<Reply, String> {
        let (mut pause, mut refused) = (FIRST_RETRY_PAUSE, 0);
        let mut last_error = "no address of a control program configured".to_string();
        while Instant::now() < until && !self.ctl.is_empty() {
            let to = self.ctl[self.next_ctl % self.ctl.len()];
            match call_following_redirects(to, method, path, body, until) {
                Ok(reply) if (200..300).contains(&reply.status) => return Ok(reply),
                Ok(reply) => {
                    last_error =
                        format!("{method} {path} at {to}: {} {}", reply.status, reply.text());
                    refused += u32::from(
                        (400..500).contains(&reply.status) && !matches!(reply.status, 408 | 429),
                    );
                    if refused >= 3 || matches!(reply.status, 400 | 409 | 412 | 413 | 422) {
                        return Err(last_error);
                    }
                }
                Err(failure) => last_error = format!("{method} {path} at {to}: {failure:?}"),
            }
            self.next_ctl += 1;
            std::thread::sleep(pause.min(until.saturating_duration_since(Instant::now())));
            pause = pause * 3 / 2;
        }
        Err(last_error)
    }
}

/// Makes a call that follows at most two redirects with status 307.
fn call_following_redirects(
    mut to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    until: Instant,
) -> Result<Reply, Failure> {
    let mut path = path.to_string();
    for _ in 0..2 {
        let reply = call_once(to, method, &path, body, until)?;
        let location = reply.header("Location").filter(|_| reply.status == 307);
        let location =
            location.and_then(|location| location.strip_prefix("http://")?.split_once('/'));
        let Some((address, rest)) = location.and_then(|(at, rest)| Some((at.parse().ok()?, rest)))
        else {
            return Ok(reply);
        };
        (to, path) = (address, format!("/{rest}"));
    }
    call_once(to, method, &path, body, until)
}

fn call_once(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    until: Instant,
) -> Result<Reply, Failure> {
    let until = until.min(Instant::now() + CALL_TIMEOUT);
    call(
        to,
        method,
        path,
        "Content-Type: application/json\r\n",
        body.as_bytes(),
        until,
    )
}
