//! Times, and the numbers by which the module knows requests, workers and functions.

/// A point in time or a span, in microseconds. The clock has no particular start.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A request, unique among all that a controller is ever given.
    RequestId, u64);
id!(
    /// A worker; it keeps its id when its process restarts.
    WorkerId, u64);
id!(
    /// A function: the program a call needs loaded.
    FunctionId, u64);
id!(
    /// A request class, as its place in [`Settings::classes`](crate::Settings::classes).
    ClassId, usize);
id!(
    /// A tenant, as its place in [`Settings::tenants`](crate::Settings::tenants).
    TenantId, usize);
id!(
    /// A zone: workers and controllers in one zone share their fate and are near each other.
    ZoneId, u32);
id!(
    /// A machine kind; workers of one kind are of like size.
    KindId, u32);
id!(
    /// A cell: workers that share which keys they have seen.
    CellId, u64);
id!(
    /// Another controller.
    PeerId, u64);
