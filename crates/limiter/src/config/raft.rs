//! The operators' file of the Raft cluster that replicates the configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use config_check::KeyError;
use serde::Deserialize;

use crate::config::{Config, ConfigError, parse_section, require};

/// This limiter's place in the Raft cluster.
#[derive(Debug)]
pub struct RaftConfig {
    /// Where this member listens for the others.
    pub listen: SocketAddr,
    /// Id of this member.
    pub id: u64,
    /// Ids and addresses of all members, including this one.
    pub members: Vec<(u64, SocketAddr)>,
    /// Folder of this member's journal.
    pub folder: PathBuf,
    /// The secret by which the members authenticate to each other.
    pub secret: String,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RaftFile {
    listen: Option<SocketAddr>,
    id: u32,
    members: Vec<MemberFile>,
    folder: Option<PathBuf>,
    secret: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct MemberFile {
    id: u32,
    address: Option<SocketAddr>,
}

/// Minimum length of the secret, in characters.
const MIN_SECRET_LENGTH: usize = 16;

impl MemberFile {
    fn parse(&self) -> Result<(u64, SocketAddr), KeyError> {
        match self.id {
            0 => Err(KeyError::new("id", "is not above 0")),
            id => Ok((u64::from(id), require("address", self.address)?)),
        }
    }
}

impl Config {
    /// Applies the Raft cluster's file. Without a listen address Raft stays disabled.
    ///
    /// # Errors
    /// A key is unknown, missing or invalid; the error names the first one, below `raft`.
    pub fn apply_raft(&mut self, text: &str) -> Result<(), ConfigError> {
        let file: RaftFile = parse_section("raft", text)?;
        let Some(listen) = file.listen else {
            return Ok(());
        };
        self.raft = Some(
            file.into_config(listen)
                .map_err(|e| e.under_parent("raft"))?,
        );
        Ok(())
    }
}

impl RaftFile {
    fn into_config(self, listen: SocketAddr) -> Result<RaftConfig, KeyError> {
        let parse_member = |(index, member): (usize, &MemberFile)| {
            member
                .parse()
                .map_err(|e| e.under_parent(&format!("members[{index}]")))
        };
        let members = self
            .members
            .iter()
            .enumerate()
            .map(parse_member)
            .collect::<Result<Vec<_>, _>>()?;
        let id = u64::from(self.id);
        if members.iter().filter(|(member, _)| *member == id).count() != 1 {
            return Err(KeyError::new("id", "is not the id of exactly one member"));
        }
        let distinct_ids: BTreeSet<u64> = members.iter().map(|(id, _)| *id).collect();
        if distinct_ids.len() != members.len() {
            return Err(KeyError::new("members", "contains an id twice"));
        }
        let secret = require("secret", self.secret)?;
        if secret.len() < MIN_SECRET_LENGTH || !secret.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(KeyError::new(
                "secret",
                "is not 16 or more visible characters",
            ));
        }
        let folder = require("folder", self.folder)?;
        Ok(RaftConfig {
            listen,
            id,
            members,
            folder,
            secret,
        })
    }
}
