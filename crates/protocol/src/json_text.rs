//! Compares and prints JSON texts without loss: numbers as decimals of any length, strings by their characters, objects without regard to
//! the order of their keys. A parsed `serde_json::Value` can't serve here, as it rounds numbers, keeps only the last of several
//! equal keys, and can't be built of every text that is valid JSON.

use std::fmt;

use serde::de::{MapAccess, Visitor};
use serde::ser::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::json;
use serde_json::value::RawValue;

/// Most levels of nesting that are compared by value; deeper ones are compared by their text.
const MAX_DEPTH: usize = 64;

/// The indentation of a level in [`pretty`].
const INDENT: &str = "  ";

/// A JSON value as its text. Two are equal if they are the same value.
#[derive(Clone, Debug)]
pub struct JsonText(String);

impl JsonText {
    /// A value from a text that is known to be JSON.
    pub fn new(text: &str) -> JsonText {
        JsonText(compact(text))
    }

    /// The text, without white space between its tokens.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The entries of an object; `None` for other values.
    pub fn entries(&self) -> Option<Vec<(String, JsonText)>> {
        let Entries(entries) = parse(&self.0)?;
        let with_text = |(key, value): (String, &RawValue)| (key, JsonText::new(value.get()));
        Some(entries.into_iter().map(with_text).collect())
    }

    /// The elements of an array; `None` for other values.
    pub fn elements(&self) -> Option<Vec<JsonText>> {
        let elements: Vec<&RawValue> = parse(&self.0)?;
        let with_text = |element: &RawValue| JsonText::new(element.get());
        Some(elements.into_iter().map(with_text).collect())
    }

    /// An object with these entries.
    pub fn from_entries(entries: &[(String, JsonText)]) -> JsonText {
        let entries = entries.iter();
        let text = |(key, value): &(String, JsonText)| format!("{}:{}", json!(key), value.0);
        JsonText(format!(
            "{{{}}}",
            entries.map(text).collect::<Vec<_>>().join(",")
        ))
    }

    /// An array with these elements.
    pub fn from_elements(elements: &[JsonText]) -> JsonText {
        let elements: Vec<&str> = elements.iter().map(JsonText::as_str).collect();
        JsonText(format!("[{}]", elements.join(",")))
    }
}

impl PartialEq for JsonText {
    fn eq(&self, other: &JsonText) -> bool {
        is_same_json(&self.0, &other.0)
    }
}

impl fmt::Display for JsonText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for JsonText {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let value: &RawValue = serde_json::from_str(&self.0).map_err(S::Error::custom)?;
        value.serialize(serializer)
    }
}

/// The text without the white space between its tokens; everything else stays as it is.
pub fn compact(text: &str) -> String {
    let (mut is_in_string, mut is_escaped) = (false, false);
    let is_kept = |character: &char| {
        let is_kept = is_in_string || !matches!(character, ' ' | '\t' | '\n' | '\r');
        is_in_string ^= *character == '"' && !is_escaped;
        is_escaped = is_in_string && *character == '\\' && !is_escaped;
        is_kept
    };
    text.chars().filter(is_kept).collect()
}

/// The text with each entry and element on a line of its own, indented by its depth.
pub fn pretty(text: &str) -> String {
    let compact = compact(text);
    let (mut out, mut depth, mut is_in_string, mut is_escaped) = (String::new(), 0, false, false);
    let mut characters = compact.chars().peekable();
    let start_line = |out: &mut String, depth: usize| {
        out.push('\n');
        out.push_str(&INDENT.repeat(depth));
    };
    while let Some(character) = characters.next() {
        let is_structural = !is_in_string;
        is_in_string ^= character == '"' && !is_escaped;
        is_escaped = is_in_string && character == '\\' && !is_escaped;
        match character {
            '{' | '[' if is_structural => {
                out.push(character);
                match characters.next_if(|next| matches!(next, '}' | ']')) {
                    Some(end) => out.push(end),
                    None => {
                        depth += 1;
                        start_line(&mut out, depth);
                    }
                }
            }
            '}' | ']' if is_structural => {
                depth = depth.saturating_sub(1);
                start_line(&mut out, depth);
                out.push(character);
            }
            ',' if is_structural => {
                out.push(character);
                start_line(&mut out, depth);
            }
            ':' if is_structural => out.push_str(": "),
            _ => out.push(character),
        }
    }
    out
}

/// Whether two texts are the same JSON value. Texts that are not JSON are the same only if they are equal.
pub fn is_same_json(a: &str, b: &str) -> bool {
    a == b
        || match (parse::<&RawValue>(a), parse::<&RawValue>(b)) {
            (Some(a), Some(b)) => is_same_value(a, b, 0),
            _ => false,
        }
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Option<T> {
    serde_json::from_str(text).ok()
}

fn is_same_value(a: &RawValue, b: &RawValue, depth: usize) -> bool {
    let (a, b) = (a.get(), b.get());
    if a == b {
        return true;
    }
    if depth == MAX_DEPTH {
        return false;
    }
    match (a.as_bytes().first(), b.as_bytes().first()) {
        (Some(b'{'), Some(b'{')) => is_same_object(a, b, depth),
        (Some(b'['), Some(b'[')) => is_same_array(a, b, depth),
        (Some(b'"'), Some(b'"')) => match (parse::<String>(a), parse::<String>(b)) {
            (Some(a), Some(b)) => a == b,
            _ => false,
        },
        (Some(b'-' | b'0'..=b'9'), Some(b'-' | b'0'..=b'9')) => {
            match (Decimal::parse(a), Decimal::parse(b)) {
                (Some(a), Some(b)) => a == b,
                _ => false,
            }
        }
        _ => false,
    }
}

fn is_same_array(a: &str, b: &str, depth: usize) -> bool {
    match (parse::<Vec<&RawValue>>(a), parse::<Vec<&RawValue>>(b)) {
        (Some(a), Some(b)) => {
            a.len() == b.len()
                && a.iter()
                    .zip(&b)
                    .all(|(a, b)| is_same_value(a, b, depth + 1))
        }
        _ => false,
    }
}

fn is_same_object(a: &str, b: &str, depth: usize) -> bool {
    let (Some(Entries(mut a)), Some(Entries(mut b))) = (parse(a), parse(b)) else {
        return false;
    };
    // Equal keys keep their order, in which the later one may override the earlier one.
    a.sort_by(|(key, _), (other, _)| key.cmp(other));
    b.sort_by(|(key, _), (other, _)| key.cmp(other));
    a.len() == b.len()
        && a.iter()
            .zip(&b)
            .all(|((a_key, a), (b_key, b))| a_key == b_key && is_same_value(a, b, depth + 1))
}

/// The entries of an object in their order, with each value as its text. Equal keys are all kept.
struct Entries<'a>(Vec<(String, &'a RawValue)>);

impl<'de> Deserialize<'de> for Entries<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Entries<'de>, D::Error> {
        struct EntriesVisitor;
        impl<'de> Visitor<'de> for EntriesVisitor {
            type Value = Entries<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Entries<'de>, A::Error> {
                let mut entries = Vec::new();
                while let Some(entry) = map.next_entry()? {
                    entries.push(entry);
                }
                Ok(Entries(entries))
            }
        }
        deserializer.deserialize_map(EntriesVisitor)
    }
}

/// A number without rounding: its digits, without zeros at either end, times a power of ten.
#[derive(Debug, PartialEq, Eq)]
struct Decimal {
    is_negative: bool,
    digits: String,
    exponent: i64,
}

impl Decimal {
    /// Parses a JSON number; `None` if its exponent exceeds the range.
    fn parse(text: &str) -> Option<Decimal> {
        let (mantissa, exponent) = match text.split_once(['e', 'E']) {
            Some((mantissa, exponent)) => (mantissa, exponent.parse::<i64>().ok()?),
            None => (text, 0),
        };
        let unsigned = mantissa.trim_start_matches('-');
        let (integer, fraction) = unsigned.split_once('.').unwrap_or((unsigned, ""));
        let all_digits = format!("{integer}{fraction}");
        let without_trailing = all_digits.trim_end_matches('0');
        let trailing_zeros = (all_digits.len() - without_trailing.len()) as i64;
        let digits = without_trailing.trim_start_matches('0').to_string();
        if digits.is_empty() {
            return Some(Decimal {
                is_negative: false,
                digits,
                exponent: 0,
            });
        }
        let exponent = exponent
            .checked_sub(fraction.len() as i64)?
            .checked_add(trailing_zeros)?;
        Some(Decimal {
            is_negative: mantissa.starts_with('-'),
            digits,
            exponent,
        })
    }
}

#[cfg(test)]
mod tests;
