//! The plan book: plans' figures, customers' plans and reservations, changed in service, in numbered versions.
//!
//! It decides what a change means and whether it makes sense; it does no I/O and has no clock of its own. `change` is
//! what an operator asks for, `book` takes it or refuses it whole and says what holds at an instant, `store` keeps a
//! customer's allowance level across a change. The decision module goes on deciding on each request.

pub mod book;
pub mod change;
pub mod token_bucket;

/// Microseconds since the epoch, or a span.
pub type Micros = i64;
