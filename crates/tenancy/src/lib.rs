//! Tenants as state: what they may do, how that is changed, and what a change leaves behind.
//!
//! May know: tenants, changes, who requests them, times as values. Must not know: files, sockets, HTTP, clocks, calls.
//!
//! * [`model`]: a tenant, its limits and rights, as they are stored and shown. [`validation`]: which values are valid;
//!   each error names its field.
//! * [`snapshot`]: all tenants at one revision; a change is applied completely or rejected.
//! * [`replication`]: a snapshot that follows another controller's.
//! * [`idempotency`]: responses that are repeated. [`audit`]: who changed what and when, with the state before and
//!   after.

#![forbid(unsafe_code)]

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

/// The number of a change: each change has the next one. 0: nothing was changed yet.
pub type Revision = u64;
/// Milliseconds since 1970 by the leader's wall clock, which may step.
pub type Millis = u64;
