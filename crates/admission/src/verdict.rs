//! Verdicts on calls and the reasons for rejections.

use crate::Micros;
use crate::gcra::RateExceeded;

/// Why a call is rejected. The discriminant of a variant (`reason as usize`) is its index in [`RejectReason::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The tenant is not known to this controller.
    UnknownTenant,
    /// The tenant is suspended or is being removed.
    InactiveTenant,
    /// The tenant's rate limit is exceeded.
    TenantRate,
    /// The rate limit of the call's class is exceeded.
    ClassRate,
    /// The tenant has reached its limit on open calls.
    TenantOpenCalls,
    /// The call's class has reached its limit on open calls.
    ClassOpenCalls,
    /// The tenant has reached its limit on calls that wait for a worker.
    TenantHeldCalls,
    /// The call's model does not fit within the tenant's memory limit.
    TenantMemory,
    /// The tenant has reached its share of the running calls while calls of other tenants wait.
    FleetShare,
    /// The queue of waiting calls is full, and the tenant has reached its share of it.
    FairShare,
}

impl RejectReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 10] = [
        Self::UnknownTenant,
        Self::InactiveTenant,
        Self::TenantRate,
        Self::ClassRate,
        Self::TenantOpenCalls,
        Self::ClassOpenCalls,
        Self::TenantHeldCalls,
        Self::TenantMemory,
        Self::FleetShare,
        Self::FairShare,
    ];

    /// The label of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::UnknownTenant => "unknown_tenant",
            Self::InactiveTenant => "inactive_tenant",
            Self::TenantRate => "tenant_rate",
            Self::ClassRate => "class_rate",
            Self::TenantOpenCalls => "tenant_open_calls",
            Self::ClassOpenCalls => "class_open_calls",
            Self::TenantHeldCalls => "tenant_held_calls",
            Self::TenantMemory => "tenant_memory",
            Self::FleetShare => "fleet_share",
            Self::FairShare => "fair_share",
        }
    }
}

/// The rejection of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The reason of the rejection.
    pub reason: RejectReason,
    /// Microseconds after which a retry may be admitted; `None` if that is not known.
    pub retry_after: Option<Micros>,
}

impl Rejection {
    /// A rejection without a known time for a retry.
    pub(crate) fn new(reason: RejectReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A rejection by a rate limit.
    pub(crate) fn rate(reason: RejectReason, exceeded: RateExceeded) -> Self {
        Self { reason, retry_after: exceeded.retry_after }
    }
}

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call is admitted. It counts as open and waiting until its start or end is reported.
    Admit,
    /// The call is rejected.
    Reject(Rejection),
}
