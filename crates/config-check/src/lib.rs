//! Reading JSON with faults named by key: the path to it, and the key that was meant where one is near.

use std::fmt;

use serde::de::DeserializeOwned;

/// What is wrong with a file, and at which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError {
    /// The key, with those it lies under; empty for the whole.
    pub key: String,
    /// What is wrong with it.
    pub message: String,
}

impl KeyError {
    /// A fault at a key.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> KeyError {
        KeyError {
            key: key.into(),
            message: message.into(),
        }
    }

    /// The same fault with its key below another one.
    pub fn under_parent(self, parent: &str) -> KeyError {
        let dot = if self.key.is_empty() || self.key.starts_with('[') {
            ""
        } else {
            "."
        };
        KeyError {
            key: format!("{parent}{dot}{}", self.key),
            message: self.message,
        }
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            "" => write!(f, "{}", self.message),
            key => write!(f, "key '{key}': {}", self.message),
        }
    }
}

impl std::error::Error for KeyError {}

/// Reads a value from JSON text.
///
/// # Errors
/// Text that is not JSON, with line and column; a key that is unknown, of a wrong type or missing, by its path.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, KeyError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        match error.into_inner() {
            inner if inner.is_syntax() || inner.is_eof() => {
                KeyError::new("", format!("not JSON: {inner}"))
            }
            inner => explain(
                if path == "." { String::new() } else { path },
                &inner.to_string(),
            ),
        }
    })?;
    // Guards against a second document behind the first, which would be passed over in silence.
    reader
        .end()
        .map_err(|error| KeyError::new("", format!("not JSON: {error}")))?;
    Ok(value)
}

/// Turns serde's words on an unknown name into ours, with the name that was meant.
fn explain(path: String, text: &str) -> KeyError {
    let quoted: Vec<&str> = text.split('`').skip(1).step_by(2).collect();
    let unknown = text.starts_with("unknown field") || text.starts_with("unknown variant");
    let [name, known @ ..] = quoted.as_slice() else {
        return KeyError::new(path, text);
    };
    if !unknown {
        return KeyError::new(path, text);
    }
    let near = known
        .iter()
        .map(|k| {
            (
                strsim::damerau_levenshtein(&k.to_lowercase(), &name.to_lowercase()),
                k,
            )
        })
        .filter(|(distance, k)| *distance <= 1 + k.len() / 4)
        .min();
    let meant = match near {
        Some((_, k)) => format!("did you mean '{k}'?"),
        None => format!("known are {}", known.join(", ")),
    };
    if text.starts_with("unknown variant") {
        return KeyError::new(path, format!("'{name}' is not known; {meant}"));
    }
    // The path of an unknown field may end with its name or with what holds it.
    let key = if path.split('.').next_back() == Some(name) {
        path
    } else if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    };
    KeyError::new(key, format!("unknown key; {meant}"))
}

/// Checks that a number lies within bounds, both of them allowed.
///
/// # Errors
/// A number outside, or no number, by the key.
pub fn check_within(key: &str, value: f64, low: f64, high: f64) -> Result<(), KeyError> {
    match value >= low && value <= high {
        true => Ok(()),
        false => Err(KeyError::new(
            key,
            format!("is {value}, not between {low} and {high}"),
        )),
    }
}

/// Checks that a pair is a range within bounds.
///
/// # Errors
/// As [`within`]; the ends in the wrong order.
pub fn check_range(key: &str, [from, to]: [f64; 2], low: f64, high: f64) -> Result<(), KeyError> {
    check_within(&format!("{key}[0]"), from, low, high)?;
    check_within(&format!("{key}[1]"), to, low, high)?;
    match from <= to {
        true => Ok(()),
        false => Err(KeyError::new(key, format!("{from} to {to} is no range"))),
    }
}

#[cfg(test)]
mod tests;
