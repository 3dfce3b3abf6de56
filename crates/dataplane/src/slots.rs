//! Keys of slot maps. A key contains the generation of its slot, so that a late event for an
//! earlier occupant of the slot finds nothing.

pub use slotmap::{Key, SlotMap};

slotmap::new_key_type! {
    /// An authorisation in the engine's table.
    pub struct AuthorisationKey;
    /// A connection in the event loop's table.
    pub struct ConnectionKey;
}
