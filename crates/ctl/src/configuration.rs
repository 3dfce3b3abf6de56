//! A configuration as it is written out: all items that stand, each with its version. Keys of tenants are secrets: they
//! are shown as hashes with a salt, which stands beside the items.

use std::collections::BTreeMap;

use eyre::{WrapErr, eyre};
use protocol::items::{self, Items};
use serde_json::{Map, Value, json};
use sha2::{Digest, Sha256};

/// The key of secrets in a tenant.
pub const SECRETS_KEY: &str = "apikeys";
/// What a hash begins with.
const HASH_PREFIX: &str = "hash:";

/// A configuration: its items as they were read, by name, and how its secrets stand in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version and content of each item.
    pub items: BTreeMap<String, (u64, Map<String, Value>)>,
    /// The salt of the hashes that stand for its secrets; none where these are plain.
    pub salt: Option<String>,
}

/// A salt that nobody has used.
pub fn random_salt() -> String {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let random_u64 = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", random_u64(), random_u64())
}

/// The hash that stands for a secret.
pub fn hash_secret(salt: &str, secret: &str) -> String {
    let digest = Sha256::digest(format!("{salt}:{secret}").as_bytes());
    let digits: String = digest
        .iter()
        .take(16)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("{HASH_PREFIX}{digits}")
}

impl Configuration {
    /// Reads what a replica answers, or what was written out before.
    ///
    /// # Errors
    /// It is none; the message names the item and the key.
    pub fn parse(text: &[u8]) -> eyre::Result<Configuration> {
        let value: Value = serde_json::from_slice(text).wrap_err("configuration: no JSON")?;
        let objects = value
            .get("objs")
            .ok_or_else(|| eyre!("configuration: objs: missing"))?;
        let salt = match value.get("salt") {
            None => None,
            Some(Value::String(salt)) => Some(salt.clone()),
            Some(_) => return Err(eyre!("configuration: salt: no text")),
        };
        // Checked as a call of the operators would be.
        let call = json!({"upsert": {"objs": objects}}).to_string();
        let parsed = items::parse_patch(call.as_bytes(), &Items::new());
        let parsed = parsed.map_err(|error| eyre!("configuration: {error}"))?;
        let mut items = BTreeMap::new();
        for item in parsed {
            let text = item.spec.as_deref().unwrap_or_default();
            let spec = serde_json::from_str(text)
                .wrap_err_with(|| format!("configuration: {}", item.name))?;
            items.insert(item.name.to_string(), (item.ver, spec));
        }
        Ok(Configuration { items, salt })
    }

    /// The same with hashes in place of secrets; as it is where it has such already.
    pub fn with_hashed_secrets(mut self, salt: &str) -> Configuration {
        if self.salt.is_some() {
            return self;
        }
        for (_, spec) in self.items.values_mut() {
            let secrets = spec.get_mut(SECRETS_KEY).and_then(Value::as_array_mut);
            for secret in secrets.into_iter().flatten() {
                if let Value::String(text) = secret {
                    *text = hash_secret(salt, text);
                }
            }
        }
        self.salt = Some(salt.to_string());
        self
    }

    /// As it is written out, an item a line, in the order of names.
    pub fn to_json_lines(&self) -> String {
        let item_json = |(name, (ver, spec)): (&String, &(u64, Map<String, Value>))| {
            let (kind, name) = name.split_once('/').unwrap_or((name, ""));
            let meta = if name.is_empty() {
                json!({"ver": ver})
            } else {
                json!({"name": name, "ver": ver})
            };
            json!({"type": kind, "meta": meta, "spec": spec}).to_string()
        };
        let lines: Vec<String> = self.items.iter().map(item_json).collect();
        let salt = self
            .salt
            .as_ref()
            .map(|salt| format!("\"salt\":{},", json!(salt)))
            .unwrap_or_default();
        format!("{{{salt}\"objs\":[\n{}\n]}}\n", lines.join(",\n"))
    }
}

#[cfg(test)]
mod tests;
