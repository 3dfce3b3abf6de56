//! The plan book: versioned changes at run time to plans' rate limits, customers' plans and reservations.
//!
//! The crate validates changes and determines their effect; it does no I/O and does not read the clock. `change`
//! defines the changes that operators request, `book` applies or rejects each one atomically and answers what is in
//! effect at an instant, `token_bucket` carries a customer's remaining units over a change of its rate limit.
//! Admission of single requests stays with the decision module.

pub mod book;
pub mod change;
pub mod token_bucket;

/// Microseconds since the epoch, or a duration in microseconds.
pub type Micros = i64;
