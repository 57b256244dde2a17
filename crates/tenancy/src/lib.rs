//! Tenants as state: what they may do, how that is changed, and what a change leaves behind.
//!
//! May know: tenants, changes, who asks, times as values. Must not know: files, sockets, HTTP, clocks, calls.
//!
//! * [`model`]: a tenant, its limits and rights, as they are stored and shown. [`check`]: what is sound, each
//!   fault with the field that holds it.
//! * [`book`]: all tenants under one revision: a change is taken whole or refused, and names what it changed.
//! * [`follow`]: a book that follows another one.
//! * [`once`]: answers to be given again. [`audit`]: who changed what, when, before and after.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod audit;
pub mod idempotency;
pub mod model;
pub mod replication;
pub mod snapshot;
pub mod validation;

pub use audit::{Action, Entry};
pub use idempotency::IdempotentResponse;
pub use model::{ClassLimits, Limits, Spec, State, Tenant};
pub use snapshot::{Applied, Change, Condition, Denied, TenantSnapshot};
pub use validation::FieldError;

/// A revision: each change has the next one. 0: nothing was changed yet.
pub type Revision = u64;
/// Milliseconds since 1970, as the administrator's clock told them.
pub type Millis = u64;
