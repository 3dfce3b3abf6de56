//! The operators' API: calls are parsed into commands, which the core executes, and replies are written as JSON.

use serde_json::json;

use crate::dataplane_types::Request;

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Sets and removes items; holds the unparsed body.
    ApplyPatch(Vec<u8>),
    /// Reads the configuration.
    GetConfiguration,
    /// Reads the status of the system as known to this replica.
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
    /// The command was executed, and is on the disks of a quorum.
    Done,
    /// The configuration, as JSON.
    Items(Vec<u8>),
    /// The status of the system as known to this replica, as JSON.
    Status(Vec<u8>),
    /// The call is invalid; the text names the key.
    Invalid(String),
    /// An item has another content at this version, or a higher version.
    Conflict,
    /// There is no path or zone of this name.
    NotFound(String),
    /// This replica can't complete the command now; it may still take effect.
    Unavailable(&'static str),
    /// The path does not support this method.
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
    let mut segments = path.split('/').skip(1);
    let method_and_command = match (
        segments.next(),
        segments.next(),
        segments.next(),
        segments.next(),
        segments.next(),
    ) {
        (Some("api"), Some("cfg"), Some("patch"), None, None) => {
            ("POST", Command::ApplyPatch(request.body))
        }
        (Some("api"), Some("cfg"), Some("get"), None, None) => ("GET", Command::GetConfiguration),
        (Some("api"), Some("status"), None, None, None) => ("GET", Command::GetStatus),
        (Some("api"), Some("drain"), Some(zone), Some(action @ ("begin" | "finish")), None) => (
            "POST",
            Command::SetEvacuation {
                zone: zone.to_string(),
                evacuate: action == "begin",
            },
        ),
        _ => return Err(Reply::NotFound(format!("path: {path}"))),
    };
    if request.method == method_and_command.0 {
        Ok(method_and_command.1)
    } else {
        Err(Reply::MethodNotAllowed)
    }
}

#[cfg(test)]
mod tests;
