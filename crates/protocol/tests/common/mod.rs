//! Golden encodings: the bytes of an example of each variant, as text that is compared with a stored snapshot.

use std::fmt::{Debug, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;

/// One line for each example, its label and its `postcard` bytes in hexadecimal. Each example must decode to itself, and
/// so what a snapshot holds decodes to what the example says.
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

/// The same of the variants of an enum, of which none may lack an example: `postcard` writes a variant's position first.
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
        "examples stand in the order of the variants"
    );
    let next_variant = postcard::from_bytes::<T>(&[count]);
    assert_eq!(
        next_variant.unwrap_err(),
        postcard::Error::SerdeDeCustom,
        "a variant has no example"
    );
    encodings(examples)
}
