//! Time and id types.

/// A point in time or a duration in microseconds. Timestamps count from an arbitrary origin.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A request id, never reused within the lifetime of a controller.
    RequestId, u64);
id!(
    /// A worker id. It stays the same when the worker process restarts.
    WorkerId, u64);
id!(
    /// A function id: identifies the program that has to be loaded to serve a call.
    FunctionId, u64);
id!(
    /// A request class: its index in [`Settings::classes`](crate::Settings::classes).
    ClassId, usize);
id!(
    /// A tenant: its index in [`Settings::tenants`](crate::Settings::tenants).
    TenantId, usize);
id!(
    /// A zone: a failure domain with low latency between its workers and controllers.
    ZoneId, u32);
id!(
    /// A machine kind; workers of one kind have similar capacity.
    KindId, u32);
id!(
    /// A cell: a group of workers that share their record of idempotency keys.
    CellId, u64);
id!(
    /// Another controller that exchanges messages with this one.
    PeerId, u64);
