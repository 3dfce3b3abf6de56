//! The types of the dataplane that this crate uses: framing, frame limits and the slot map. Only this module imports them.

pub use dataplane::framing::{
    IncomingMessage, ParseError, Request, RequestHead, parse_response, write_response,
};
pub use dataplane::limits::Limits as FrameLimits;
pub use dataplane::slots::{ConnectionKey, SlotMap};
