//! Resolves the ids of tenants and workers, by which the audit log counts calls and attempts, to names.

use nettleferry::{TenantId, WorkerId};
use nettleferry_audit_log::recorder::NameResolver;
use nettleferry_engine::Engine;

use crate::tenants::Tenants;

/// Tenant id under which the audit log counts calls that name no tenant.
pub(crate) const NO_TENANT: u64 = u64::MAX;

/// Resolves tenant and worker ids for the entries that this controller writes.
pub(crate) struct ControllerNames<'a> {
    /// The tenants; `None` where the settings configure no administration.
    pub(crate) tenants: Option<&'a Tenants>,
    /// The engine, which has the names of all workers.
    pub(crate) engine: &'a Engine,
}

impl NameResolver for ControllerNames<'_> {
    fn tenant(&self, id: u64) -> String {
        if id == NO_TENANT {
            return "(none)".to_owned();
        }
        let name = self.tenants.and_then(|tenants| tenants.name(TenantId(id as usize)));
        name.map_or_else(|| format!("(tenant {id} of the settings)"), |name| name.to_string())
    }

    fn worker(&self, id: u64) -> String {
        self.engine.names().worker_name(WorkerId(id)).to_string()
    }
}
