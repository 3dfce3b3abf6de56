//! What comes from the dataplane: framing, deadlines and the numbered table. Named here and nowhere else.

pub use dataplane::framing::{
    IncomingMessage, ParseError, Request, RequestHead, parse_framed_response, write_response,
};
pub use dataplane::limits::Limits as FrameLimits;
pub use dataplane::slots::{ConnectionKey, SlotMap};
