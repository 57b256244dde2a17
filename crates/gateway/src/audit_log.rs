//! Names for the numbers that the audit log counts by at this controller.

use nettleferry::{TenantId, WorkerId};
use nettleferry_audit_log::recorder::NameResolver;
use nettleferry_engine::Engine;

use crate::tenants::Tenants;

/// The tenant number under which calls without a tenant are counted.
pub(crate) const NO_TENANT: u64 = u64::MAX;

/// The names of tenants and workers.
pub(crate) struct ControllerNames<'a> {
    /// The administration's tenants; `None`: there is no administration.
    pub(crate) tenants: Option<&'a Tenants>,
    /// Knows the workers.
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
