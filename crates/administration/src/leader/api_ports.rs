//! Implements the API's [`Runtime`] interface with the services of the running leader.

use nettleferry_admin::Problem;
use nettleferry_admin::api::{
    ClockReading, ControllerRevision, ControllerState, LeaseGrant, RecoveryPending, Runtime, Usage, Worker,
};
use nettleferry_fleet::membership::{Incarnation, Version};
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_tenancy::{Revision, Tenant, TenantSnapshot};
use serde_json::{Value, json};

use super::context::LeaderContext;
use super::fleet_status::fleet_status;
use super::recovery::ReportSource;
use super::report_check::ReportFault;
use super::store::wall_ms;
use crate::messages::{AdminEvent, LimitDemand};

impl Runtime for LeaderContext {
    fn usage(&self, tenant: &Tenant) -> Usage {
        let unused = || Usage { tenant: tenant.name.clone(), uid: tenant.uid, ..Usage::default() };
        self.link.status().usage.get(&tenant.uid).cloned().unwrap_or_else(unused)
    }

    fn workers(&self) -> Vec<Worker> {
        let mut workers = self.link.status().workers.clone();
        for worker in &mut workers {
            worker.drained = self.drained_workers.contains(&worker.name);
        }
        workers
    }

    fn set_drained(&mut self, worker: &str, drained: bool) -> bool {
        if !self.link.status().workers.iter().any(|known| known.name == worker) {
            return false;
        }
        let changed = if drained {
            self.drained_workers.insert(worker.to_owned())
        } else {
            self.drained_workers.remove(worker)
        };
        if changed {
            self.link.send(AdminEvent::WorkersDrained(self.drained_workers.clone()));
        }
        true
    }

    fn controllers(&self) -> Vec<ControllerRevision> {
        let own = ControllerRevision {
            controller: self.identity.controller,
            revision: self.link.status().revision,
            seen_ms_ago: 0,
        };
        let mut all: Vec<ControllerRevision> = self.members.revisions().chain([own]).collect();
        all.sort_by_key(|row| row.controller);
        all
    }

    fn record_state(&mut self, controller: u32, state: ControllerState) -> Result<(), Problem> {
        let member = Incarnation { controller, incarnation: state.incarnation };
        if let Err(fault) = self.report_limits().check(controller, &state, wall_ms()) {
            self.refused_reports.count(controller, &fault);
            return Err(fault.problem());
        }
        let stopped = state.stopped;
        let version = reported_version(&state);
        let is_foreign =
            version.as_ref().is_some_and(|version| self.recovery.authority().is_foreign(version));
        self.members.heartbeat(self.now(), member, &state, is_foreign);
        if stopped && let Some(loans) = &mut self.loans {
            loans.free_loans(member);
        }
        self.check_member(controller, state.incarnation)?;
        if stopped {
            return Err(incarnation_ended());
        }
        if is_foreign {
            // The API decides how it responds, depending on the request. The report is counted here and shown in the
            // fleet status, but does not change the leader's duty.
            self.refused_reports.count(controller, &ReportFault::Foreign);
        }
        let is_superseded = self.members.is_superseded(member);
        if !is_superseded {
            self.members.record_report(controller, state.revision);
        }
        let source = ReportSource { controller, incarnation: Some(state.incarnation), is_superseded };
        if let Some(version) = version {
            self.recovery.version_reported(self.now(), source, Some(version));
        }
        Ok(())
    }

    fn check_member(&self, controller: u32, incarnation: u64) -> Result<(), Problem> {
        let member = Incarnation { controller, incarnation };
        if self.members.is_fenced(member) {
            let detail = "this life of the controller was shut out: it is let in again as another life";
            return Err(Problem::new(403, "fenced", detail));
        }
        if self.members.is_ended(member) {
            return Err(incarnation_ended());
        }
        Ok(())
    }

    fn grant_lease(&mut self, controller: u32, incarnation: u64) -> Option<LeaseGrant> {
        let member = Incarnation { controller, incarnation };
        self.members.grant_lease(self.now(), member, self.served)
    }

    fn set_fenced(&mut self, controller: u32, fenced: bool) -> Value {
        let incarnations = self.members.set_fenced(controller, fenced);
        json!({ "controller": controller, "lives": incarnations })
    }

    fn read_clock(&self) -> ClockReading {
        ClockReading { incarnation: self.identity.incarnation, at_ms: self.now() }
    }

    fn grant_loans(
        &mut self,
        snapshot: &TenantSnapshot,
        controller: u32,
        incarnation: u64,
        report: Value,
    ) -> Result<Value, Problem> {
        let loans_disabled =
            || Problem::new(409, "not-lent", "limits are not lent here: see (loans ...) in the settings");
        let (now, borrower) = (self.now(), Incarnation { controller, incarnation });
        let loans = self.loans.as_mut().ok_or_else(loans_disabled)?;
        let demands: Vec<LimitDemand> = serde_json::from_value(report)
            .map_err(|error| Problem::field("the body", format!("an array of demands: {error}")))?;
        // A loan has the span of a lease, and is granted only to an incarnation that holds a lease.
        let Some(span) = self.members.lease_span().filter(|_| self.members.may_act(now, borrower)) else {
            return Err(Problem::new(409, "no-lease", "this life holds no lease"));
        };
        let granted = loans.grant(Self::loan_period(now, span), snapshot, borrower, &demands);
        Ok(json!({ "span_ms": span, "loans": granted }))
    }

    fn append_audit_entries(&mut self, controller: u32, entries: Vec<String>) -> Result<u64, Problem> {
        let not_collected = || {
            let detail = "records are not gathered here: see (trail ...) in the settings";
            Problem::new(409, "not-gathered", detail)
        };
        Ok(self.audit.as_mut().ok_or_else(not_collected)?.append(controller, entries))
    }

    fn audit_logs(&self, owner: Option<&str>, from: u64, limit: usize) -> Result<Value, Problem> {
        let leader = self.identity.incarnation;
        let Some(audit) = &self.audit else { return Ok(json!({ "by": leader, "records": [] })) };
        let Some(owner) = owner else {
            return Ok(json!({ "by": leader, "records": audit.logs().summary() }));
        };
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let unknown = || Problem::new(404, "no-such-record", format!("nothing was delivered of {owner}"));
        let page = audit.logs().page(owner, from, limit).ok_or_else(unknown)?;
        Ok(json!({ "by": leader, "of": owner, "lines": page.entries, "next": page.next }))
    }

    fn change_progress(&self, revision: Revision) -> Value {
        let version = Version { epoch: self.served.epoch, revision };
        self.members.fleet_state(self.now()).describe(version)
    }

    fn check_serving(&self) -> Result<(), RecoveryPending> {
        self.recovery.check_serving()
    }

    fn fleet_status(&self) -> Value {
        fleet_status(self)
    }

    fn recover(&mut self, own: &TenantSnapshot, choice: &str, dry_run: bool) -> Result<Value, Problem> {
        self.recovery.decide(own, choice, dry_run)
    }
}

/// The version of the snapshot that a controller reported. `None` if it has no snapshot, or runs an earlier version of
/// the program that reports none.
fn reported_version(state: &ControllerState) -> Option<SnapshotVersion> {
    let ControllerState { store, epoch, revision, checksum, .. } = state;
    let (epoch, revision, checksum) = (*epoch, *revision, *checksum);
    (!store.is_empty() && epoch > 0).then(|| SnapshotVersion {
        store: store.clone(),
        epoch,
        revision,
        checksum,
    })
}

fn incarnation_ended() -> Problem {
    Problem::new(403, "ended", "it said that it takes no calls any more")
}
