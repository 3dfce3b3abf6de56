//! Compares and prints JSON texts without loss: numbers as decimals of any length, strings by their characters, objects without regard to
//! the order of their keys. A parsed `serde_json::Value` can't serve here, as it rounds numbers, keeps only the last of several
//! equal keys, and can't be built of every text that is valid JSON.

use std::fmt;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Most levels of nesting that are compared by value; deeper ones are compared by their text.
const MAX_DEPTH: usize = 64;

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
pub struct Entries<'a>(pub Vec<(String, &'a RawValue)>);

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
