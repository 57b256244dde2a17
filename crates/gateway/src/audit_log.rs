//! Names for the numbers of the audit log at this controller.

use nettleferry::{TenantId, WorkerId};
use nettleferry_audit_log::recorder::NameResolver;
use nettleferry_engine::Engine;

use crate::tenants::Tenants;

/// Calls that name no tenant are counted under this number.
pub const NOBODY: u64 = u64::MAX;

/// Who is who at this controller.
pub struct Known<'a> {
    pub tenants: Option<&'a Tenants>,
    pub engine: &'a Engine,
}

impl NameResolver for Known<'_> {
    fn tenant(&self, id: u64) -> String {
        if id == NOBODY {
            return "(none)".to_owned();
        }
        let name = self.tenants.and_then(|tenants| tenants.name(TenantId(id as usize)));
        name.map_or_else(|| format!("(tenant {id} of the settings)"), |name| name.to_string())
    }

    fn worker(&self, id: u64) -> String {
        self.engine.names().worker_name(WorkerId(id)).to_string()
    }
}
