//! Admission control by tenant: whether a call is accepted, decided before the decision module sees it. No I/O, no
//! clock.
//!
//! May know: tenants, classes and models as numbers, limits, how many calls are open. Must not know: names, sockets,
//! the decision module, the engine, where limits come from. Times are microseconds on a clock that never goes back;
//! one that does is taken to stand still. Equal events give equal verdicts.
//!
//! * [`admission`]: all tenants of a controller, one verdict a call.
//! * [`policy`]: the limits of a tenant and its classes. [`verdict`]: why a call is rejected.
//! * [`gcra`]: a rate with a burst.

#![forbid(unsafe_code)]

mod account;
pub mod admission;
pub mod gcra;
pub mod policy;
pub mod verdict;

pub use account::Counters;
pub use admission::{Admission, CallRequest, MODEL_IDLE_TIMEOUT};
pub use gcra::{Gcra, RateExceeded};
pub use policy::{Limits, Policy, RateLimit};
pub use verdict::{RejectReason, Rejection, Verdict};

/// Microseconds.
pub type Micros = u64;
