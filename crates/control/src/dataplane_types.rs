//! What comes from the dataplane: framing, deadlines and the numbered table. Named here and nowhere else.

pub use dataplane::framing::{
    Incoming, Malformed, Request, RequestHead, framed_answer, write_answer,
};
pub use dataplane::limits::Limits as FrameLimits;
pub use dataplane::slots::{ConnectionKey, SlotMap};
