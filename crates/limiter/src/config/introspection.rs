//! The operators' file of the token introspection front end, which is an OAuth 2 introspection client and server.

use std::net::SocketAddr;

use config_check::KeyError;
use serde::Deserialize;
use streamarch::{Class, Idempotency, Micros, Plan, Settings};

use crate::config::{Config, ConfigError, NameTables, parse_section, require};
use crate::frontend::introspection::{Caller, IntrospectionEndpoint};
use crate::frontend::platform;

/// The settings of the token introspection front end.
#[derive(Debug)]
pub struct IntrospectionConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The callers that may use the limiter's own introspection endpoint.
    pub callers: Vec<Caller>,
    /// Addresses of the introspection servers.
    pub upstreams: Vec<SocketAddr>,
    /// Their endpoint, and the limiter's credentials there.
    pub endpoint: IntrospectionEndpoint,
    /// Maximum number of cached tokens.
    pub cache_entries: usize,
    /// Maximum time that a token is cached.
    pub cache_ttl: Micros,
    /// Settings of the decision module for introspection requests: one class that is safe to repeat, the callers' plans, and
    /// as the last plan one without quota for the limiter's own requests.
    pub settings: Settings,
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct IntrospectionFile {
    listen: Option<SocketAddr>,
    callers: Vec<CallerFile>,
    upstreams: Vec<SocketAddr>,
    path: String,
    id: Option<String>,
    secret: Option<String>,
    cache_entries: u32,
    cache_s: f64,
}

impl Default for IntrospectionFile {
    fn default() -> IntrospectionFile {
        IntrospectionFile {
            listen: None,
            callers: Vec::new(),
            upstreams: Vec::new(),
            path: "/introspect".to_string(),
            id: None,
            secret: None,
            cache_entries: 1_024,
            cache_s: 30.0,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct CallerFile {
    id: Option<String>,
    secret: Option<String>,
    account: Option<String>,
    plan: Option<String>,
}

/// Upper bound of the setting `cache_s`.
const MAX_CACHE_S: f64 = 86_400.0;

fn parse_caller_list(files: Vec<CallerFile>, names: &NameTables) -> Result<Vec<Caller>, KeyError> {
    let parse_caller = |(index, file): (usize, CallerFile)| {
        file.parse(names)
            .map_err(|e| e.under_parent(&format!("callers[{index}]")))
    };
    files.into_iter().enumerate().map(parse_caller).collect()
}

impl CallerFile {
    fn parse(self, names: &NameTables) -> Result<Caller, KeyError> {
        let account = require("account", self.account)?;
        let customer = platform::parse_customer_id(&account)
            .ok_or(KeyError::new("account", "is not 16 hex digits"))?;
        let plan = self
            .plan
            .and_then(|plan| names.plans.iter().position(|name| *name == plan));
        Ok(Caller {
            client_id: require("id", self.id)?,
            client_secret: require("secret", self.secret)?,
            customer,
            plan: plan.ok_or_else(|| KeyError::new("plan", "is not the name of a plan"))?,
        })
    }
}

impl Config {
    /// Applies the token introspection file. Without a listen address the front end stays disabled.
    ///
    /// # Errors
    /// A key is unknown, missing or invalid; the error names the first one, below `introspection`.
    pub fn apply_introspection(&mut self, text: &str) -> Result<(), ConfigError> {
        let file: IntrospectionFile = parse_section("introspection", text)?;
        let Some(listen) = file.listen else {
            return Ok(());
        };
        self.introspection = Some(
            self.introspection_config(listen, file)
                .map_err(|e| e.under_parent("introspection"))?,
        );
        Ok(())
    }

    fn introspection_config(
        &self,
        listen: SocketAddr,
        file: IntrospectionFile,
    ) -> Result<IntrospectionConfig, KeyError> {
        if file.upstreams.is_empty() {
            return Err(KeyError::new("upstreams", "is missing or empty"));
        }
        if !file.path.starts_with('/') || !file.path.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(KeyError::new(
                "path",
                "is not an absolute path of visible ASCII characters",
            ));
        }
        config_check::check_within("cache_s", file.cache_s, 0.0, MAX_CACHE_S)?;
        let mut settings = self.settings.clone();
        let timeout = self.limits.introspection_timeout;
        settings.classes = vec![Class {
            latency_target: timeout / 4,
            client_timeout: timeout,
            late_value_share: 0.0,
            value: 1.0,
            idempotency: Idempotency::Idempotent,
            streaming: false,
        }];
        settings.plans.push(Plan {
            value_factor: 1.0,
            ..Plan::default()
        });
        (settings.can_probe, settings.can_notify_gateways) = (false, false);
        Ok(IntrospectionConfig {
            listen,
            upstreams: file.upstreams,
            endpoint: IntrospectionEndpoint {
                path: file.path,
                client_id: require("id", file.id)?,
                client_secret: require("secret", file.secret)?,
            },
            callers: parse_caller_list(file.callers, &self.names)?,
            cache_entries: file.cache_entries as usize,
            cache_ttl: (file.cache_s * 1e6) as Micros,
            settings,
        })
    }
}

/// The replicated configuration document; keys other than the list of callers are ignored.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Document {
    callers: Option<Vec<CallerFile>>,
}

/// The callers in a document that the Raft cluster has committed; `None` if it has no list of callers.
///
/// # Errors
/// The text is not JSON, or a key of a caller is missing or invalid; the error names the first one.
pub fn parse_callers(text: &[u8], names: &NameTables) -> Result<Option<Vec<Caller>>, ConfigError> {
    let text = std::str::from_utf8(text).map_err(|_| KeyError::new("", "not JSON: not UTF-8"))?;
    let document: Document = config_check::parse_json(text)?;
    Ok(document
        .callers
        .map(|files| parse_caller_list(files, names))
        .transpose()?)
}
