//! Entries of the audit log: views, events, and the counts of calls. Without an audit log nothing is recorded.

use nettleferry_audit_log::{Event, Recorder, View};
use nettleferry_tenancy::{Entry, Tenant};

use super::{AuditLog, Controller};
use crate::audit_log::ControllerNames;
use crate::tenants::Tenants;

impl Controller {
    /// Calls `entry` to record something, if there is an audit log. It is passed the recorder, the time in milliseconds
    /// on the controller's clock, and the resolver of the names of tenants and workers.
    pub(super) fn record(&mut self, entry: impl FnOnce(&mut Recorder, u64, &ControllerNames)) {
        if let Some(audit_log) = &mut self.audit_log {
            let names = ControllerNames { tenants: self.tenants.as_ref(), engine: &self.engine };
            entry(&mut audit_log.recorder, self.clock.now_ms(), &names);
        }
    }

    /// Closes the entry that counts calls and attempts. Called before tenants are changed or removed, while their names
    /// can still be resolved.
    pub(super) fn close_audit_entry(&mut self) {
        self.record(|recorder, _, names| recorder.close(names));
    }

    /// Passes recorded entries on to the writer thread.
    pub(super) fn write_audit_log(&mut self) {
        if let Some(AuditLog { recorder, writer }) = &mut self.audit_log {
            writer.submit(recorder);
        }
    }

    /// Records the view: the versions of the tenant snapshot, worker list, settings and program that the controller
    /// acts on from now on.
    pub(super) fn record_view(&mut self) {
        let view = View {
            store: self.snapshot_source.store.clone(),
            epoch: self.snapshot_source.epoch,
            revision: self.tenants.as_ref().map_or(0, Tenants::revision),
            worker_list: self.list_version,
            settings_checksum: self.config.checksum,
            program: env!("CARGO_PKG_VERSION").to_owned(),
        };
        self.record(|recorder, now, names| recorder.view_applied(now, view, names));
    }
}

/// The event for a change of a tenant's state. `None` where the state is the same: a change of limits is recorded only
/// by the revision in the next view.
pub(super) fn tenant_event(change: &Entry) -> Option<Event> {
    let state_name = |tenant: &Tenant| format!("{:?}", tenant.state).to_lowercase();
    let before = change.before.as_ref().map(state_name);
    let after = change.after.as_ref().map(state_name);
    let state = after.clone().unwrap_or_else(|| "gone".to_owned());
    (before != after).then(|| Event::Tenant { tenant: change.tenant.clone(), state })
}
