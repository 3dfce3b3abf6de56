//! How two configurations differ, by item and key. In what order items, keys, secrets, pins and parts of a split stand
//! does not matter.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::configuration::{Configuration, SECRETS_KEY, random_salt};

/// A key whose value is another one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangedKey {
    /// The key.
    pub key: String,
    /// Its value before; none where it was not there.
    pub old: Option<Value>,
    /// Its value now.
    pub new: Option<Value>,
}

/// An item that is in both and not the same.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangedItem {
    /// The item.
    pub item: String,
    /// Its versions.
    #[serde(rename = "ver")]
    pub versions: (u64, u64),
    /// The keys that changed; none where only the version did.
    pub keys: Vec<ChangedKey>,
    /// Secrets are hashed with two salts: whether they are the same can't be told.
    #[serde(rename = "unsure")]
    pub has_incomparable_secrets: bool,
}

/// An item that is in one of them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnmatchedItem {
    /// The item.
    pub item: String,
    /// Its version.
    #[serde(rename = "ver")]
    pub version: u64,
}

/// How two configurations differ.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Diff {
    /// Items that are new.
    pub added: Vec<UnmatchedItem>,
    /// Items that are there no more.
    #[serde(rename = "dropped")]
    pub removed: Vec<UnmatchedItem>,
    /// Items that are in both and not the same.
    pub changed: Vec<ChangedItem>,
    /// Items that are the same.
    #[serde(rename = "same")]
    pub unchanged_count: usize,
}

/// What a key holds, without an order where none is meant.
fn normalized(key: &str, value: &Value) -> Value {
    let mut value = value.clone();
    if let (SECRETS_KEY | "pins" | "split", Some(elements)) = (key, value.as_array_mut()) {
        elements.sort_by_key(Value::to_string);
    }
    value
}

fn changed_keys(old: &Map<String, Value>, new: &Map<String, Value>) -> Vec<ChangedKey> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let compare_key = |name: &String| {
        let value_in =
            |spec: &Map<String, Value>| spec.get(name).map(|value| normalized(name, value));
        ChangedKey {
            key: name.clone(),
            old: value_in(old),
            new: value_in(new),
        }
    };
    names
        .into_iter()
        .map(compare_key)
        .filter(|key| key.old != key.new)
        .collect()
}

/// Compares two configurations. Secrets are hashed before anything else is done with them.
pub fn diff(old: Configuration, new: Configuration) -> Diff {
    let salt = old
        .salt
        .clone()
        .or_else(|| new.salt.clone())
        .unwrap_or_else(random_salt);
    let (old, new) = (
        old.with_hashed_secrets(&salt),
        new.with_hashed_secrets(&salt),
    );
    let have_same_salt = old.salt == new.salt;
    let mut diff = Diff::default();
    for (item, (old_version, old_spec)) in &old.items {
        let Some((new_version, new_spec)) = new.items.get(item) else {
            diff.removed.push(UnmatchedItem {
                item: item.clone(),
                version: *old_version,
            });
            continue;
        };
        let mut keys = changed_keys(old_spec, new_spec);
        let count_with_secrets = keys.len();
        let count = |value: &Option<Value>| value.as_ref().and_then(Value::as_array).map(Vec::len);
        keys.retain(|key| {
            have_same_salt || key.key != SECRETS_KEY || count(&key.old) != count(&key.new)
        });
        let has_incomparable_secrets = keys.len() < count_with_secrets;
        if keys.is_empty() && old_version == new_version && !has_incomparable_secrets {
            diff.unchanged_count += 1;
        } else {
            diff.changed.push(ChangedItem {
                item: item.clone(),
                versions: (*old_version, *new_version),
                keys,
                has_incomparable_secrets,
            });
        }
    }
    let added = new
        .items
        .iter()
        .filter(|(item, _)| !old.items.contains_key(*item));
    diff.added = added
        .map(|(item, (version, _))| UnmatchedItem {
            item: item.clone(),
            version: *version,
        })
        .collect();
    diff
}

impl Diff {
    /// They are the same.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.added
            .iter()
            .try_for_each(|item| writeln!(f, "+ {} at version {}", item.item, item.version))?;
        self.removed
            .iter()
            .try_for_each(|item| writeln!(f, "- {} at version {}", item.item, item.version))?;
        for item in &self.changed {
            let versions = match item.versions {
                (old, new) if old == new && item.keys.is_empty() => format!("version {old}"),
                (old, new) if old == new => format!("version {old} in both, with two contents"),
                (old, new) if old > new => format!("version {old} back to {new}"),
                (old, new) => format!("version {old} to {new}"),
            };
            writeln!(f, "~ {} {versions}", item.item)?;
            for key in &item.keys {
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
            if item.has_incomparable_secrets {
                writeln!(
                    f,
                    "    {SECRETS_KEY}: hashed with two salts, can't be compared"
                )?;
            }
        }
        let (added, removed, changed) = (self.added.len(), self.removed.len(), self.changed.len());
        writeln!(
            f,
            "{added} added, {removed} dropped, {changed} changed, {} the same",
            self.unchanged_count
        )
    }
}

#[cfg(test)]
mod tests;
