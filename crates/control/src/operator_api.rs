//! What operators ask: each call is decoded into a command, which the core carries out.

use serde_json::json;

use crate::dataplane_types::Request;

/// A call of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Changes items: the body, as it came.
    ApplyPatch(Vec<u8>),
    /// Reads all items.
    GetConfiguration,
    /// Reads how this replica sees the system.
    GetStatus,
    /// Begins or ends the evacuation of a zone.
    SetEvacuation {
        /// The zone.
        zone: String,
        /// It begins.
        evacuate: bool,
    },
}

/// How a call ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is done, and on disk at more than half of the replicas.
    Done,
    /// All items, as they are read back.
    Items(Vec<u8>),
    /// How this replica sees the system.
    Status(Vec<u8>),
    /// It makes no sense; the text names the key.
    Invalid(String),
    /// Something else stands at this version or a higher one.
    Conflict,
    /// Nothing of this name.
    NotFound(String),
    /// Not here, or not now. It may still come into force.
    Unavailable(&'static str),
    /// This way of asking is not known.
    MethodNotAllowed,
}

impl Reply {
    /// Status and body of the answer.
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

/// Decodes a call.
///
/// # Errors
/// The reply to what is none.
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
