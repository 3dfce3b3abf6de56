//! An exported configuration: all items in force, each with its version. The API keys of tenants are secrets: they are replaced
//! by salted hashes, and the export contains the salt.

use std::collections::BTreeMap;

use eyre::{WrapErr, eyre};
use protocol::items::{self, Items};
use protocol::json_text::JsonText;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// The key in a tenant's specification whose values are secrets.
pub const SECRETS_KEY: &str = "apikeys";
/// The prefix of a hash that replaces a secret.
const HASH_PREFIX: &str = "hash:";

/// A configuration: its items by name, and the salt of its hashed secrets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version and the specification of each item. Specifications are kept as texts: parsed and printed again, their
    /// numbers could change.
    pub items: BTreeMap<String, (u64, JsonText)>,
    /// The salt of the hashes that replace the secrets; `None` if the secrets are in plain text.
    pub salt: Option<String>,
}

/// Generates a random salt.
pub fn random_salt() -> String {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let random_u64 = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", random_u64(), random_u64())
}

/// The salted hash that replaces a secret.
pub fn hash_secret(salt: &str, secret: &str) -> String {
    let digest = Sha256::digest(format!("{salt}:{secret}").as_bytes());
    let digits: String = digest
        .iter()
        .take(16)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("{HASH_PREFIX}{digits}")
}

/// The response of a replica, or an exported configuration.
#[derive(Deserialize)]
struct Document<'a> {
    #[serde(borrow)]
    objs: Option<&'a RawValue>,
    salt: Option<Value>,
}

/// A list of secrets with each of them replaced by its hash.
fn hash_secrets(salt: &str, secrets: &JsonText) -> JsonText {
    let hash = |secret: JsonText| match serde_json::from_str::<String>(secret.as_str()) {
        Ok(text) => JsonText::new(&json!(hash_secret(salt, &text)).to_string()),
        Err(_) => secret,
    };
    match secrets.elements() {
        Some(elements) => {
            let hashed: Vec<JsonText> = elements.into_iter().map(hash).collect();
            JsonText::from_elements(&hashed)
        }
        None => secrets.clone(),
    }
}

impl Configuration {
    /// Parses the response of a replica, or a configuration that was exported before.
    ///
    /// # Errors
    /// The text is not a valid configuration; the error names the item and the key.
    pub fn parse(text: &[u8]) -> eyre::Result<Configuration> {
        let document: Document<'_> =
            serde_json::from_slice(text).wrap_err("configuration: invalid JSON")?;
        let objects = document
            .objs
            .ok_or_else(|| eyre!("configuration: objs: missing"))?;
        let salt = match document.salt {
            None => None,
            Some(Value::String(salt)) => Some(salt),
            Some(_) => return Err(eyre!("configuration: salt: expected a string")),
        };
        // The items are validated in the same way as an operators' call.
        let call = format!("{{\"upsert\":{{\"objs\":{objects}}}}}");
        let parsed = items::parse_patch(call.as_bytes(), &Items::new());
        let parsed = parsed.map_err(|error| eyre!("configuration: {error}"))?;
        let mut items = BTreeMap::new();
        for item in parsed {
            let spec = item
                .spec
                .ok_or_else(|| eyre!("configuration: {}: removed", item.name))?;
            items.insert(item.name.to_string(), (item.ver, JsonText::new(&spec)));
        }
        Ok(Configuration { items, salt })
    }

    /// Replaces the secrets by hashes with this salt. A configuration with hashed secrets is returned unchanged.
    pub fn with_hashed_secrets(mut self, salt: &str) -> Configuration {
        if self.salt.is_some() {
            return self;
        }
        for (_, spec) in self.items.values_mut() {
            let Some(mut entries) = spec.entries() else {
                continue;
            };
            for (_, secrets) in entries.iter_mut().filter(|(key, _)| key == SECRETS_KEY) {
                *secrets = hash_secrets(salt, secrets);
            }
            *spec = JsonText::from_entries(&entries);
        }
        self.salt = Some(salt.to_string());
        self
    }

    /// Formats the configuration as JSON with one item per line, ordered by name.
    pub fn to_json_lines(&self) -> String {
        let item_json = |(name, (ver, spec)): (&String, &(u64, JsonText))| {
            let (kind, name) = name.split_once('/').unwrap_or((name, ""));
            let meta = if name.is_empty() {
                json!({"ver": ver})
            } else {
                json!({"name": name, "ver": ver})
            };
            format!(
                "{{\"type\":{},\"meta\":{meta},\"spec\":{spec}}}",
                json!(kind)
            )
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
