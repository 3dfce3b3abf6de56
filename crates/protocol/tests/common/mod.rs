//! Golden encodings: the encoded bytes of examples, as text that is compared with a stored snapshot.

use std::fmt::{Debug, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Formats one line per example: its label and its `postcard` encoding in hexadecimal. Asserts that each encoding decodes to
/// the example.
pub fn encodings<T>(examples: &[(&str, T)]) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut text = String::new();
    for (label, example) in examples {
        let bytes = postcard::to_allocvec(example).unwrap();
        assert_eq!(
            &postcard::from_bytes::<T>(&bytes).unwrap(),
            example,
            "{label}"
        );
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{label}: {hex}").unwrap();
    }
    text
}

/// Like [`encodings`], for an enum. Asserts that each variant has an example: `postcard` encodes the position of a variant as
/// the first byte.
pub fn variants<T>(examples: &[(&str, T)]) -> String
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let position = |example: &T| postcard::to_allocvec(example).unwrap()[0];
    let mut positions: Vec<u8> = examples
        .iter()
        .map(|(_, example)| position(example))
        .collect();
    positions.dedup();
    let count = positions.len() as u8;
    assert_eq!(
        positions,
        (0..count).collect::<Vec<u8>>(),
        "examples must cover the variants in order, without gaps"
    );
    let next_variant = postcard::from_bytes::<T>(&[count]);
    assert_eq!(
        next_variant.unwrap_err(),
        postcard::Error::SerdeDeCustom,
        "the last variants have no example"
    );
    encodings(examples)
}
