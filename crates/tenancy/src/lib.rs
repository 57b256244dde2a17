//! The tenant model: limits and rights of tenants, changes to them, and the audit trail of these changes.
//!
//! This crate does no I/O and reads no clock. Times are passed in as values. It does not depend on files,
//! sockets, HTTP or the handling of calls.
//!
//! * [`model`]: a tenant with its limits and rights, as it is stored and sent.
//! * [`validation`]: the bounds of configured values. Each error names its field.
//! * [`snapshot`]: all tenants at one revision. A change is applied completely or rejected.
//! * [`replication`]: a replica of the snapshot of another controller.
//! * [`idempotency`]: stored responses to requests with an idempotency key.
//! * [`audit`]: who changed what and when, with the tenant before and after the change.

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

/// The sequence number of a change: 1 for the first one, incremented by one with each further change. A
/// snapshot without changes has revision 0.
pub type Revision = u64;
/// Milliseconds since the Unix epoch by the leader's wall clock, which may step.
pub type Millis = u64;
