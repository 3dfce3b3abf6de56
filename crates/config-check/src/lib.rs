//! Reads JSON configuration and reports errors with the path of the key and, for a misspelled key, the closest known
//! one.

use std::fmt;

use serde::de::DeserializeOwned;

/// An error in a configuration file and the key that it concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyError {
    /// Full path of the key; empty for the whole file.
    pub key: String,
    /// Description of the error.
    pub message: String,
}

impl KeyError {
    /// Creates an error for a key.
    pub fn new(key: impl Into<String>, message: impl Into<String>) -> KeyError {
        KeyError {
            key: key.into(),
            message: message.into(),
        }
    }

    /// The same error with the key's path prefixed by a parent key.
    pub fn under_parent(self, parent: &str) -> KeyError {
        let separator = if self.key.is_empty() || self.key.starts_with('[') {
            ""
        } else {
            "."
        };
        KeyError {
            key: format!("{parent}{separator}{}", self.key),
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

/// Parses a value from JSON text.
///
/// # Errors
/// The text is not JSON (with line and column), or a key is unknown, missing or of a wrong type (with its path).
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, KeyError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        match error.into_inner() {
            inner if inner.is_syntax() || inner.is_eof() => {
                KeyError::new("", format!("not JSON: {inner}"))
            }
            inner => to_key_error(
                if path == "." { String::new() } else { path },
                &inner.to_string(),
            ),
        }
    })?;
    // Without this check a second document after the first would be ignored silently.
    reader
        .end()
        .map_err(|error| KeyError::new("", format!("not JSON: {error}")))?;
    Ok(value)
}

/// Builds the error for a serde message; for an unknown name it adds the closest known name, or all known ones.
fn to_key_error(path: String, message: &str) -> KeyError {
    let quoted_names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let is_unknown_name =
        message.starts_with("unknown field") || message.starts_with("unknown variant");
    let [name, known_names @ ..] = quoted_names.as_slice() else {
        return KeyError::new(path, message);
    };
    if !is_unknown_name {
        return KeyError::new(path, message);
    }
    let closest = known_names
        .iter()
        .map(|known_name| {
            (
                strsim::damerau_levenshtein(&known_name.to_lowercase(), &name.to_lowercase()),
                known_name,
            )
        })
        .filter(|(distance, known_name)| *distance <= 1 + known_name.len() / 4)
        .min();
    let suggestion = match closest {
        Some((_, known_name)) => format!("did you mean '{known_name}'?"),
        None => format!("known are {}", known_names.join(", ")),
    };
    if message.starts_with("unknown variant") {
        return KeyError::new(path, format!("'{name}' is not known; {suggestion}"));
    }
    // The path of an unknown field ends with the field's name or with that of its parent.
    let key = if path.split('.').next_back() == Some(name) {
        path
    } else if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    };
    KeyError::new(key, format!("unknown key; {suggestion}"))
}

/// Checks that a number lies within inclusive bounds.
///
/// # Errors
/// The number is out of bounds or NaN.
pub fn check_within(key: &str, value: f64, min: f64, max: f64) -> Result<(), KeyError> {
    match value >= min && value <= max {
        true => Ok(()),
        false => Err(KeyError::new(
            key,
            format!("is {value}, not between {min} and {max}"),
        )),
    }
}

/// Checks that a pair is an ascending range within inclusive bounds.
///
/// # Errors
/// An end is out of bounds or NaN, or the ends are in descending order.
pub fn check_range(key: &str, [from, to]: [f64; 2], min: f64, max: f64) -> Result<(), KeyError> {
    check_within(&format!("{key}[0]"), from, min, max)?;
    check_within(&format!("{key}[1]"), to, min, max)?;
    match from <= to {
        true => Ok(()),
        false => Err(KeyError::new(key, format!("{from} to {to} is not a range"))),
    }
}

#[cfg(test)]
mod tests;
