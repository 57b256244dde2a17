//! Who may call, decided before the decision module sees a call: no I/O, no clock.
//!
//! May know: tenants, classes and models as numbers, limits, how many calls are in hand. Must not know: names,
//! sockets, the module, the engine, where limits come from. Times are whole microseconds on a clock that never
//! goes back; one that does is taken to stand still. Equal events give equal verdicts.
//!
//! * [`gcra`]: a rate with a burst.
//! * [`admission`]: a tenant's limits and its classes', one verdict a call.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod gcra;

pub use admission::{Admission, Counters, Policy, Verdict, Why};
pub use gcra::Gcra;

/// Microseconds.
pub type Micros = u64;
