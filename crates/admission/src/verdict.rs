//! Verdicts on calls, and the reasons of rejections.

use crate::Micros;
use crate::gcra::RateExceeded;

/// Why a call is rejected. Its number, as in `reason as usize`, is its place in [`RejectReason::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// There is no such tenant here.
    UnknownTenant,
    /// The tenant is suspended, or being removed.
    InactiveTenant,
    /// The tenant's rate.
    TenantRate,
    /// The class's rate.
    ClassRate,
    /// The tenant's open calls.
    TenantOpenCalls,
    /// The class's open calls.
    ClassOpenCalls,
    /// The tenant's calls that wait for a worker.
    TenantHeldCalls,
    /// Memory of the tenant's models.
    TenantMemory,
    /// The tenant's part of the running calls, while calls of others wait.
    FleetShare,
    /// The tenant's part of a full queue.
    FairShare,
}

impl RejectReason {
    /// All reasons, in the order of their numbers.
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

    /// The label in metrics.
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

/// A rejected call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// After how many microseconds a retry may be accepted, where that is known.
    pub retry_after: Option<Micros>,
}

impl Rejection {
    /// A rejection of which it is not known when it ends.
    pub(crate) fn new(reason: RejectReason) -> Self {
        Self { reason, retry_after: None }
    }

    /// A rejection by a rate.
    pub(crate) fn rate(reason: RejectReason, exceeded: RateExceeded) -> Self {
        Self { reason, retry_after: exceeded.retry_after }
    }
}

/// The verdict on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call counts as open and waiting from now on, until its end is reported.
    Admit,
    /// The call is rejected.
    Reject(Rejection),
}
