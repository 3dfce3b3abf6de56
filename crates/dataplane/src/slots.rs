//! Keys of slot tables. A key carries its slot's generation, so that a late event for an earlier
//! occupant finds nothing.

pub use slotmap::{Key, SlotMap};

slotmap::new_key_type! {
    /// An authorisation in the engine's table.
    pub struct AuthorisationKey;
    /// A connection in the event loop's table.
    pub struct ConnectionKey;
}
