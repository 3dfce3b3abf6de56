//! The differences between two configurations by item and key. The order of items, keys, secrets, pins and the services of a
//! split does not matter.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use protocol::json_text::JsonText;
use serde::Serialize;

use crate::configuration::{Configuration, SECRETS_KEY, random_salt};

/// A key of an item whose value has changed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangedKey {
    /// The key.
    pub key: String,
    /// The old value; `None` if the key was added.
    pub old: Option<JsonText>,
    /// The new value; `None` if the key was removed.
    pub new: Option<JsonText>,
}

/// An item that differs between the configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangedItem {
    /// The name of the item.
    pub item: String,
    /// The old and the new version.
    #[serde(rename = "ver")]
    pub versions: (u64, u64),
    /// The keys that have changed; empty if only the version has.
    pub keys: Vec<ChangedKey>,
    /// Whether the secrets can't be compared, as they are hashed with different salts.
    #[serde(rename = "unsure")]
    pub has_incomparable_secrets: bool,
}

/// An item that only one of the configurations contains.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UnmatchedItem {
    /// The name of the item.
    pub item: String,
    /// The version of the item.
    #[serde(rename = "ver")]
    pub version: u64,
}

/// The differences between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Diff {
    /// The items that only the new configuration contains.
    pub added: Vec<UnmatchedItem>,
    /// The items that only the old configuration contains.
    #[serde(rename = "dropped")]
    pub removed: Vec<UnmatchedItem>,
    /// The items that differ.
    pub changed: Vec<ChangedItem>,
    /// The number of items that are equal in both.
    #[serde(rename = "same")]
    pub unchanged_count: usize,
}

/// The value of a key, sorted if it is a list whose order has no meaning.
fn normalized(key: &str, value: &JsonText) -> JsonText {
    match (key, value.elements()) {
        (SECRETS_KEY | "pins" | "split", Some(mut elements)) => {
            elements.sort_by(|a, b| a.as_str().cmp(b.as_str()));
            JsonText::from_elements(&elements)
        }
        _ => value.clone(),
    }
}

fn changed_keys(old: &JsonText, new: &JsonText) -> Vec<ChangedKey> {
    let values_by_key = |spec: &JsonText| -> BTreeMap<String, JsonText> {
        spec.entries().unwrap_or_default().into_iter().collect()
    };
    let (old, new) = (values_by_key(old), values_by_key(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let compare_key = |name: &String| {
        let value_in =
            |spec: &BTreeMap<String, JsonText>| spec.get(name).map(|value| normalized(name, value));
        ChangedKey {
            key: name.clone(),
            old: value_in(&old),
            new: value_in(&new),
        }
    };
    names
        .into_iter()
        .map(compare_key)
        .filter(|key| key.old != key.new)
        .collect()
}

/// Compares two configurations. Secrets are hashed before the comparison, so that the result never contains them.
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
        let count = |value: &Option<JsonText>| {
            let elements = value.as_ref().and_then(JsonText::elements);
            elements.map(|elements| elements.len())
        };
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
    /// Whether the configurations are equal.
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
                let text = |value: &Option<JsonText>| {
                    value
                        .as_ref()
                        .map_or("nothing".to_string(), JsonText::to_string)
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
