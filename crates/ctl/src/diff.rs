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
mod tests {
    use super::*;
    use test_case::test_case;

    const OLD: &str = r#"{"objs":[
        {"type":"tenants","meta":{"name":"t","ver":3},"spec":{"apikeys":["a","b"],"per_s":5}},
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"hcheck":"/h","maxconn":9}}]}"#;
    const TURNED: &str = r#"{"objs":[
        {"type":"svcs","meta":{"name":"s","ver":1},"spec":{"maxconn":9,"hcheck":"/h"}},
        {"type":"tenants","meta":{"name":"t","ver":3},"spec":{"per_s":5,"apikeys":["b","a"]}}]}"#;

    fn read(text: &str) -> Configuration {
        Configuration::read(text.as_bytes()).unwrap()
    }

    #[test_case("", "", "0 added, 0 dropped, 0 changed, 2 the same\n"; "another order")]
    #[test_case(r#""ver":1"#, r#""ver":4"#, "~ svcs/s version 1 to 4\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a version alone")]
    #[test_case(r#""ver":3"#, r#""ver":2"#, "~ tenants/t version 3 back to 2\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a version that went back")]
    #[test_case(r#""ver":1},"spec":{"maxconn":9,"#, r#""ver":2},"spec":{"#, "~ svcs/s version 1 to 2\n    maxconn: 9 -> nothing\n0 added, 0 dropped, 1 changed, 1 the same\n"; "a key that went")]
    #[test_case(r#""per_s":5"#, r#""per_s":6"#, "~ tenants/t version 3 in both, with two contents\n    per_s: 5 -> 6\n0 added, 0 dropped, 1 changed, 1 the same\n"; "two contents of one version")]
    #[test_case(r#""name":"s""#, r#""name":"r""#, "+ svcs/r at version 1\n- svcs/s at version 1\n1 added, 1 dropped, 0 changed, 1 the same\n"; "another name")]
    fn what_differs_is_named_by_item_and_key(from: &str, to: &str, is: &str) {
        let new = if from.is_empty() {
            TURNED.to_string()
        } else {
            TURNED.replacen(from, to, 1)
        };
        assert_eq!(diff(read(OLD), read(&new)).to_string(), is);
    }

    #[test]
    fn secrets_are_compared_and_never_shown() {
        let changed = read(&OLD.replacen("\"b\"", "\"other-secret\"", 1));
        for found in [
            diff(read(OLD), changed.clone()),
            diff(read(OLD).hidden("x"), changed.clone()),
            diff(read(OLD), changed.clone().hidden("x")),
        ] {
            let keys: Vec<&str> = found.changed[0]
                .keys
                .iter()
                .map(|key| key.key.as_str())
                .collect();
            assert_eq!((keys, found.changed[0].unsure), (vec![SECRETS], false));
            assert!(!found.to_string().contains("other-secret"), "{found}");
            assert!(
                !serde_json::to_string(&found)
                    .unwrap()
                    .contains("other-secret")
            );
        }
        assert!(diff(read(OLD).hidden("x"), read(OLD)).is_empty());
        let two = diff(read(OLD).hidden("x"), changed.hidden("y"));
        assert!(
            two.changed[0].unsure && two.to_string().contains("two salts"),
            "{two}"
        );
    }
}
