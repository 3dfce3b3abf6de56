//! The operators' API: calls are parsed into commands, which the core carries out, and replies are written as JSON.

use serde_json::json;

use crate::dataplane_types::Request;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Sets and removes items; the body as it was received.
    ApplyPatch(Vec<u8>),
    /// Reads the configuration.
    GetConfiguration,
    /// Reads how this replica sees the system.
    GetStatus,
    /// Begins or ends the evacuation of a zone.
    SetEvacuation {
        /// The zone.
        zone: String,
        /// Whether the evacuation begins or ends.
        evacuate: bool,
    },
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command was carried out, and is on the disks of a quorum.
    Done,
    /// The configuration, as JSON.
    Items(Vec<u8>),
    /// How this replica sees the system, as JSON.
    Status(Vec<u8>),
    /// The call is invalid; the text names the key.
    Invalid(String),
    /// Another content stands at the version of an item.
    Conflict,
    /// Nothing of this name exists.
    NotFound(String),
    /// This replica can't carry out the command now; it may still come into force.
    Unavailable(&'static str),
    /// The path is not called with this method.
    MethodNotAllowed,
}

impl Reply {
    /// The HTTP status and body.
    pub fn parts(self) -> (u16, Vec<u8>) {
        let error =
            |status: u16, text: &str| (status, json!({"error": text}).to_string().into_bytes());
        match self {
            Reply::Done => (200, b"{}".to_vec()),
            Reply::Items(body) | Reply::Status(body) => (200, body),
            Reply::Invalid(text) => error(400, &text),
            Reply::Conflict => error(
                409,
                "ver: another change stands at this version or a higher one",
            ),
            Reply::NotFound(text) => error(404, &text),
            Reply::Unavailable(text) => error(503, text),
            Reply::MethodNotAllowed => error(405, "method"),
        }
    }
}

/// Parses a call.
///
/// # Errors
/// The reply to a call of an unknown path or with another method.
pub fn parse_command(request: Request) -> Result<Command, Reply> {
    let path = request.target.split('?').next().unwrap_or_default();
    let mut parts = path.split('/').skip(1);
    let command = match (
        parts.next(),
        parts.next(),
        parts.next(),
        parts.next(),
        parts.next(),
    ) {
        (Some("api"), Some("cfg"), Some("patch"), None, None) => {
            ("POST", Command::ApplyPatch(request.body))
        }
        (Some("api"), Some("cfg"), Some("get"), None, None) => ("GET", Command::GetConfiguration),
        (Some("api"), Some("status"), None, None, None) => ("GET", Command::GetStatus),
        (Some("api"), Some("drain"), Some(zone), Some(word @ ("begin" | "finish")), None) => (
            "POST",
            Command::SetEvacuation {
                zone: zone.to_string(),
                evacuate: word == "begin",
            },
        ),
        _ => return Err(Reply::NotFound(format!("path: {path}"))),
    };
    if request.method == command.0 {
        Ok(command.1)
    } else {
        Err(Reply::MethodNotAllowed)
    }
}

#[cfg(test)]
mod tests;
