//! Admission control by tenant: decides whether a call is accepted, before the decision module assigns it to
//! a worker.
//!
//! The crate does no I/O and reads no clock, and the same sequence of inputs yields the same verdicts.
//! Tenants, classes and models are plain numbers. The crate does not depend on names, sockets, the decision
//! module, the engine or the source of the limits. Times are microseconds on a monotonic clock. A time that
//! lies before the latest one passed in counts as that latest one.
//!
//! * [`admission`]: the tenants of a controller, and the verdict on each call.
//! * [`policy`]: the limits of a tenant and its classes. [`verdict`]: verdicts and the reasons of rejections.
//! * [`gcra`]: a rate limiter with bursts.

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

/// A time or a duration in microseconds.
pub type Micros = u64;
