//! The second front's file: OAuth 2 token introspection, as client and as server.

use std::net::SocketAddr;

use config_check::Fault;
use serde::Deserialize;
use streamarch::{Class, Idempotency, Micros, Plan, Settings};

use crate::config::{Config, ConfigError, NameTables, parse_section, require};
use crate::frontend::introspection::{Caller, IntrospectionEndpoint};
use crate::frontend::platform;

/// The second front.
#[derive(Debug)]
pub struct IntrospectionConfig {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Who may ask us.
    pub callers: Vec<Caller>,
    /// The introspection servers that we ask.
    pub upstreams: Vec<SocketAddr>,
    /// How we ask them.
    pub endpoint: IntrospectionEndpoint,
    /// Most tokens that are remembered.
    pub cache_entries: usize,
    /// How long one is remembered at the most.
    pub cache_ttl: Micros,
    /// Settings of the module where it decides on asking: a class safe to repeat, the callers' plans, and last a
    /// plan without quota for what we ask on our own account.
    pub settings: Settings,
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
    listen: Option<SocketAddr>,
    callers: Vec<CallerFile>,
    upstreams: Vec<SocketAddr>,
    path: String,
    id: Option<String>,
    secret: Option<String>,
    cache_entries: u32,
    cache_s: f64,
}

impl Default for File {
    fn default() -> File {
        File {
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

/// Longest time that a token is remembered.
const CACHE_S: f64 = 86_400.0;

fn callers(files: Vec<CallerFile>, names: &NameTables) -> Result<Vec<Caller>, Fault> {
    let one = |(k, file): (usize, CallerFile)| {
        file.caller(names)
            .map_err(|e| e.under(&format!("callers[{k}]")))
    };
    files.into_iter().enumerate().map(one).collect()
}

impl CallerFile {
    fn caller(self, names: &NameTables) -> Result<Caller, Fault> {
        let account = require("account", self.account)?;
        let customer = platform::parse_customer_id(&account)
            .ok_or(Fault::at("account", "is not 16 hex digits"))?;
        let plan = self
            .plan
            .and_then(|plan| names.plans.iter().position(|name| *name == plan));
        Ok(Caller {
            client_id: require("id", self.id)?,
            client_secret: require("secret", self.secret)?,
            customer,
            plan: plan.ok_or_else(|| Fault::at("plan", "is not the name of a plan"))?,
        })
    }
}

impl Config {
    /// Takes in the second front's file. Without a listen address it stays off.
    ///
    /// # Errors
    /// The first key that is unknown, missing or cannot be used, under `introspection`.
    pub fn apply_introspection(&mut self, text: &str) -> Result<(), ConfigError> {
        let file: File = parse_section("introspection", text)?;
        let Some(listen) = file.listen else {
            return Ok(());
        };
        self.introspection = Some(
            self.second_front(listen, file)
                .map_err(|e| e.under("introspection"))?,
        );
        Ok(())
    }

    fn second_front(&self, listen: SocketAddr, file: File) -> Result<IntrospectionConfig, Fault> {
        if file.upstreams.is_empty() {
            return Err(Fault::at("upstreams", "is missing or empty"));
        }
        if !file.path.starts_with('/') || !file.path.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Fault::at("path", "is no path"));
        }
        config_check::within("cache_s", file.cache_s, 0.0, CACHE_S)?;
        let mut settings = self.settings.clone();
        let wait = self.limits.introspection_timeout;
        settings.classes = vec![Class {
            latency_target: wait / 4,
            client_timeout: wait,
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
            callers: callers(file.callers, &self.names)?,
            cache_entries: file.cache_entries as usize,
            cache_ttl: (file.cache_s * 1e6) as Micros,
            settings,
        })
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Document {
    callers: Option<Vec<CallerFile>>,
}

/// The callers in a document that instances agreed on; `None` if it names none.
///
/// # Errors
/// Text that is not JSON; the first key of a caller that cannot be used.
pub fn parse_callers(text: &[u8], names: &NameTables) -> Result<Option<Vec<Caller>>, ConfigError> {
    let text = std::str::from_utf8(text).map_err(|_| Fault::at("", "not JSON: not UTF-8"))?;
    let document: Document = config_check::read(text)?;
    Ok(document
        .callers
        .map(|files| callers(files, names))
        .transpose()?)
}
