use super::*;
use crate::messages::{AgentMessage, CounterAdd};

#[test]
fn messages_received_byte_by_byte_are_decoded_in_order() {
    let sent = [
        AgentMessage::Clock(5),
        AgentMessage::CounterBatch {
            batch: 3,
            clock_us: 8,
            adds: vec![CounterAdd {
                counter: 9,
                units: -1.5,
                ttl_us: 7,
            }],
        },
    ];
    let mut bytes = Vec::new();
    sent.iter().for_each(|message| encode(&mut bytes, message));
    let (mut input, mut decoded) = (Vec::new(), Vec::new());
    for byte in bytes {
        input.push(byte);
        decoded.extend(decode::<AgentMessage>(&mut input).unwrap());
    }
    assert_eq!(decoded, sent);
}

#[test]
fn invalid_message_is_distinguished_from_an_incomplete_one() {
    assert_eq!(
        decode::<AgentMessage>(&mut vec![255, 255, 255, 255]),
        Err(DecodeError::TooLong)
    );
    assert_eq!(
        decode::<AgentMessage>(&mut vec![1, 0, 0, 0, 99]),
        Err(DecodeError::Malformed)
    );
    assert_eq!(decode::<AgentMessage>(&mut vec![2, 0, 0, 0, 1]), Ok(None));
    assert_eq!(
        decode::<AgentMessage>(&mut vec![2, 0, 0, 0, 1, 9]),
        Err(DecodeError::Malformed)
    );
}
