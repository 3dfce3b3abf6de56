//! The file of the instances that agree on a configuration by Raft.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use config_check::Fault;
use serde::Deserialize;

use crate::config::{Config, ConfigError, parse_section, require};

/// The instances that agree on a configuration by Raft.
#[derive(Debug)]
pub struct RaftConfig {
    /// Where this one listens for the others.
    pub listen: SocketAddr,
    /// Its number.
    pub id: u64,
    /// All of them, this one included.
    pub members: Vec<(u64, SocketAddr)>,
    /// Where its log and vote are kept.
    pub folder: PathBuf,
    /// What they show each other.
    pub secret: String,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct File {
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

/// Shortest secret, in characters.
const SECRET: usize = 16;

impl MemberFile {
    fn member(&self) -> Result<(u64, SocketAddr), Fault> {
        match self.id {
            0 => Err(Fault::at("id", "is not above 0")),
            id => Ok((u64::from(id), require("address", self.address)?)),
        }
    }
}

impl Config {
    /// Takes in the file of the instances that agree. Without a listen address this one takes no part.
    ///
    /// # Errors
    /// The first key that is unknown, missing or cannot be used, under `raft`.
    pub fn apply_raft(&mut self, text: &str) -> Result<(), ConfigError> {
        let file: File = parse_section("raft", text)?;
        let Some(listen) = file.listen else {
            return Ok(());
        };
        self.raft = Some(file.cluster(listen).map_err(|e| e.under("raft"))?);
        Ok(())
    }
}

impl File {
    fn cluster(self, listen: SocketAddr) -> Result<RaftConfig, Fault> {
        let one = |(k, m): (usize, &MemberFile)| {
            m.member().map_err(|e| e.under(&format!("members[{k}]")))
        };
        let members = self
            .members
            .iter()
            .enumerate()
            .map(one)
            .collect::<Result<Vec<_>, _>>()?;
        let id = u64::from(self.id);
        if members.iter().filter(|(member, _)| *member == id).count() != 1 {
            return Err(Fault::at("id", "is not that of exactly one of the members"));
        }
        let distinct: BTreeSet<u64> = members.iter().map(|(id, _)| *id).collect();
        if distinct.len() != members.len() {
            return Err(Fault::at("members", "has an id twice"));
        }
        let secret = require("secret", self.secret)?;
        if secret.len() < SECRET || !secret.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Fault::at("secret", "is not 16 or more visible characters"));
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
