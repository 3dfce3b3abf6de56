//! How two configurations differ, by item and key. In what order items, keys, secrets, pins and parts of a split stand
//! does not matter.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::configuration::{Configuration, SECRETS, salt};

/// A key whose value is another one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Key {
    /// The key.
    pub key: String,
    /// Its value before; none where it was not there.
    pub old: Option<Value>,
    /// Its value now.
    pub new: Option<Value>,
}

/// An item that is in both and not the same.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Changed {
    /// The item.
    pub item: String,
    /// Its versions.
    pub ver: (u64, u64),
    /// The keys that changed; none where only the version did.
    pub keys: Vec<Key>,
    /// Secrets are hashed with two salts: whether they are the same can't be told.
    pub unsure: bool,
}

/// An item that is in one of them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Alone {
    /// The item.
    pub item: String,
    /// Its version.
    pub ver: u64,
}

/// How two configurations differ.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Diff {
    /// Items that are new.
    pub added: Vec<Alone>,
    /// Items that are there no more.
    pub dropped: Vec<Alone>,
    /// Items that are in both and not the same.
    pub changed: Vec<Changed>,
    /// Items that are the same.
    pub same: usize,
}

/// What a key holds, without an order where none is meant.
fn plain(key: &str, value: &Value) -> Value {
    let mut value = value.clone();
    if let (SECRETS | "pins" | "split", Some(parts)) = (key, value.as_array_mut()) {
        parts.sort_by_key(Value::to_string);
    }
    value
}

fn keys(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<Key> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let one = |name: &String| {
        let of = |spec: &Map<String, Value>| spec.get(name).map(|value| plain(name, value));
        Key {
            key: name.clone(),
            old: of(old),
            new: of(new),
        }
    };
    names
        .into_iter()
        .map(one)
        .filter(|key| key.old != key.new)
        .collect()
}

/// Compares two configurations. Secrets are hashed before anything else is done with them.
pub fn diff(old: Configuration, new: Configuration) -> Diff {
    let salt = old
        .salt
        .clone()
        .or_else(|| new.salt.clone())
        .unwrap_or_else(salt);
    let (old, new) = (old.hidden(&salt), new.hidden(&salt));
    let salts = old.salt == new.salt;
    let mut diff = Diff::default();
    for (item, (ver, spec)) in &old.items {
        let Some((newer, other)) = new.items.get(item) else {
            diff.dropped.push(Alone {
                item: item.clone(),
                ver: *ver,
            });
            continue;
        };
        let mut keys = keys(spec, other);
        let before = keys.len();
        let count = |value: &Option<Value>| value.as_ref().and_then(Value::as_array).map(Vec::len);
        keys.retain(|key| salts || key.key != SECRETS || count(&key.old) != count(&key.new));
        let unsure = keys.len() < before;
        if keys.is_empty() && ver == newer && !unsure {
            diff.same += 1;
        } else {
            diff.changed.push(Changed {
                item: item.clone(),
                ver: (*ver, *newer),
                keys,
                unsure,
            });
        }
    }
    let added = new
        .items
        .iter()
        .filter(|(item, _)| !old.items.contains_key(*item));
    diff.added = added
        .map(|(item, (ver, _))| Alone {
            item: item.clone(),
            ver: *ver,
        })
        .collect();
    diff
}

impl Diff {
    /// They are the same.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.dropped.is_empty() && self.changed.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.added
            .iter()
            .try_for_each(|one| writeln!(f, "+ {} at version {}", one.item, one.ver))?;
        self.dropped
            .iter()
            .try_for_each(|one| writeln!(f, "- {} at version {}", one.item, one.ver))?;
        for one in &self.changed {
            let moved = match one.ver {
                (old, new) if old == new && one.keys.is_empty() => format!("version {old}"),
                (old, new) if old == new => format!("version {old} in both, with two contents"),
                (old, new) if old > new => format!("version {old} back to {new}"),
                (old, new) => format!("version {old} to {new}"),
            };
            writeln!(f, "~ {} {moved}", one.item)?;
            for key in &one.keys {
                let text = |value: &Option<Value>| {
                    value
                        .as_ref()
                        .map_or("nothing".to_string(), Value::to_string)
                };
                writeln!(
                    f,
                    "    {}: {} -> {}",
                    key.key,
                    text(&key.old),
                    text(&key.new)
                )?;
            }
            if one.unsure {
                writeln!(f, "    {SECRETS}: hashed with two salts, can't be compared")?;
            }
        }
        let (added, dropped, changed) = (self.added.len(), self.dropped.len(), self.changed.len());
        writeln!(
            f,
            "{added} added, {dropped} dropped, {changed} changed, {} the same",
            self.same
        )
    }
}

#[cfg(test)]
mod tests;
