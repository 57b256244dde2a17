//! The reasons for which the call of a tenant is rejected, with the messages for the client.

use nettleferry::Micros;
use nettleferry_admission::{RejectReason, Rejection};

/// Time after which a client is to retry while the snapshot is missing or outdated, microseconds.
const RETRY_WITHOUT_SNAPSHOT: Micros = 500_000;

/// Why a call was rejected, as the client is told, and whether a retry may help.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallRejection {
    /// The caller is not allowed to make the call, so a retry does not help. Otherwise a retry may succeed.
    pub(crate) denied: bool,
    /// Message for the client.
    pub(crate) message: String,
    /// Time after which a retry may succeed, microseconds; `None` where it is not known or a retry does not help.
    pub(crate) retry_after: Option<Micros>,
}

impl CallRejection {
    /// The call names no tenant, and anonymous calls are not allowed.
    pub(super) fn no_tenant() -> Self {
        Self::denied("this call names no tenant: send the metadata nettleferry-tenant".to_owned())
    }

    /// No tenant has this name.
    pub(super) fn unknown_tenant(name: &str) -> Self {
        Self::denied(message(RejectReason::UnknownTenant, name))
    }

    /// The tenant may not call this model.
    pub(super) fn model_denied(name: &str, model: &str) -> Self {
        Self::denied(format!("tenant {name} has no right to call {model}"))
    }

    /// This controller has no snapshot yet, so it does not know which tenants exist.
    pub(super) fn without_snapshot() -> Self {
        let message = "which tenants there are is not known here yet: try again".to_owned();
        Self { denied: false, message, retry_after: Some(RETRY_WITHOUT_SNAPSHOT) }
    }

    /// Other controllers have applied later changes of tenants than this one.
    pub(super) fn snapshot_behind() -> Self {
        let message = "other controllers have later changes of the tenants: try again, or there".to_owned();
        Self { denied: false, message, retry_after: Some(RETRY_WITHOUT_SNAPSHOT) }
    }

    /// Admission control rejected a call of the tenant `name`.
    pub(super) fn by_admission(rejection: &Rejection, name: &str) -> Self {
        Self {
            denied: rejection.reason == RejectReason::InactiveTenant,
            message: message(rejection.reason, name),
            retry_after: rejection.retry_after,
        }
    }

    fn denied(message: String) -> Self {
        Self { denied: true, message, retry_after: None }
    }
}

fn message(reason: RejectReason, name: &str) -> String {
    match reason {
        RejectReason::UnknownTenant => format!("there is no tenant {name}"),
        RejectReason::InactiveTenant => format!("tenant {name} is suspended or being removed"),
        RejectReason::TenantRate => format!("tenant {name} is over its rate"),
        RejectReason::ClassRate => format!("tenant {name} is over its rate in this class"),
        RejectReason::TenantOpenCalls => format!("tenant {name} has as many open calls as it may"),
        RejectReason::ClassOpenCalls => {
            format!("tenant {name} has as many open calls in this class as it may")
        }
        RejectReason::TenantHeldCalls => format!("tenant {name} has as many calls waiting as it may"),
        RejectReason::TenantMemory => format!("tenant {name} uses as much memory of models as it may"),
        RejectReason::FleetShare => format!("tenant {name} has its part of the fleet, and others wait"),
        RejectReason::FairShare => format!("many calls wait, and tenant {name} has its part of the places"),
    }
}
