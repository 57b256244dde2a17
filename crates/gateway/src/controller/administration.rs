//! Applies events of the administration in order: changes of tenants, leases, loans and drained workers.

use std::collections::BTreeSet;
use std::time::Instant;

use nettleferry::{ListForm, TenantId};
use nettleferry_administration::{AdminEvent, LoanGrant, SnapshotDocument};
use nettleferry_audit_log::Event as AuditEvent;
use nettleferry_audit_log::clock::ClockExchange;
use nettleferry_engine::Event;
use nettleferry_tenancy::Entry;

use super::audit::tenant_event;
use super::{Controller, SnapshotSource};
use crate::worker_list::ListUpdate;

impl Controller {
    /// Applies the events that the administration has sent since the last call.
    pub(super) fn handle_admin_events(&mut self) {
        let Some(server) = &self.admin_server else { return };
        let events: Vec<AdminEvent> = server.events().collect();
        for event in events {
            self.handle_admin_event(event);
        }
        // Publishes the new state without waiting for the next periodic update, so that the administration's next
        // requests see it.
        self.refresh();
    }

    fn handle_admin_event(&mut self, event: AdminEvent) {
        match event {
            AdminEvent::TenantChanged(change) => self.apply_tenant_change(&change),
            AdminEvent::SnapshotReplaced(document) => self.apply_snapshot(*document),
            AdminEvent::LeaderClock { earliest, latest, incarnation, at_ms } => {
                let exchange = ClockExchange {
                    sent: self.clock.at(earliest) / 1000,
                    received: self.clock.at(latest).div_ceil(1000),
                    leader_time: at_ms,
                };
                self.record(|recorder, _, _| recorder.clock_exchange(incarnation, exchange));
            }
            AdminEvent::Checkpoint(checkpoint) => {
                self.admin_server.iter().for_each(|server| server.acknowledge(checkpoint));
            }
            AdminEvent::LeaseRenewed { until, fencing_token } => self.renew_lease(until, fencing_token),
            AdminEvent::LoansGranted { until, loans } => self.apply_loans(until, loans),
            AdminEvent::Fenced => {
                if let Some(lease) = &mut self.lease {
                    lease.fence();
                }
                self.record(|recorder, now, names| recorder.event(now, AuditEvent::Fenced, names));
            }
            AdminEvent::SnapshotBehind(is_behind) => {
                self.tenants.iter_mut().for_each(|tenants| tenants.set_snapshot_behind(is_behind));
            }
            AdminEvent::WorkersDrained(workers) => self.apply_drained_workers(workers),
        }
    }

    fn apply_tenant_change(&mut self, change: &Entry) {
        self.close_audit_entry();
        let removed = self.tenants.as_mut().and_then(|tenants| tenants.apply(change));
        self.remove_tenants(removed);
        self.record_view();
        self.record(|recorder, now, names| {
            if let Some(event) = tenant_event(change) {
                recorder.event(now, event, names);
            }
        });
    }

    fn apply_snapshot(&mut self, document: SnapshotDocument) {
        self.close_audit_entry();
        let removed = self.tenants.as_mut().map(|tenants| tenants.replace(&document.snapshot));
        self.remove_tenants(removed.into_iter().flatten());
        self.snapshot_source = SnapshotSource { store: document.store, epoch: document.epoch };
        self.record_view();
    }

    /// Ends the calls of removed tenants. Every call gets its final answer before the tenant's id may be assigned to
    /// another tenant.
    fn remove_tenants(&mut self, removed: impl IntoIterator<Item = TenantId>) {
        for tenant in removed {
            self.engine.handle(self.clock.now(), Event::TenantRemoved { tenant }, &mut self.commands);
            self.execute_commands();
            self.count_call_steps();
            if let Some(tenants) = &mut self.tenants {
                tenants.forget(tenant);
            }
        }
    }

    /// Extends the lease to `until`, unless that time has passed, and sets the fencing token, which is 0 where the
    /// leader issued none.
    fn renew_lease(&mut self, until: Instant, fencing_token: u64) {
        if fencing_token > 0 {
            self.worker_links.set_fencing_token(fencing_token);
        }
        // The controller's clock is read first, so that time between the two readings shortens the lease, never extends
        // it.
        let now = self.clock.now_ms();
        let remaining_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        if let Some(lease) = self.lease.as_mut().filter(|_| remaining_ms > 0) {
            lease.renewed(now + remaining_ms);
        }
    }

    /// Applies loans that expire at `until`.
    fn apply_loans(&mut self, until: Instant, loans: Vec<LoanGrant>) {
        // The controller's clock is read first, as for leases.
        let now = self.clock.now();
        let remaining = until.saturating_duration_since(Instant::now()).as_micros() as u64;
        if let Some(tenants) = &mut self.tenants {
            tenants.grant_loans(now, now + remaining, loans);
        }
    }

    /// Replaces the set of workers that are drained through the administration, and applies the worker list again.
    fn apply_drained_workers(&mut self, workers: BTreeSet<String>) {
        let before = std::mem::replace(&mut self.drained_workers, workers);
        let changed: Vec<String> = before.symmetric_difference(&self.drained_workers).cloned().collect();
        for worker in changed {
            let drained = self.drained_workers.contains(&worker);
            let event = AuditEvent::Drained { worker, drained };
            self.record(|recorder, now, names| recorder.event(now, event, names));
        }
        let workers = self.listed_workers.clone();
        self.apply_list(ListUpdate { form: ListForm::Complete, workers });
    }
}
