//! Operations that read or hand on: tenants, their usage, the audit trail, workers and the fleet's audit logs.

use nettleferry_tenancy::{Denied, Tenant};
use serde_json::json;

use crate::message::Answer;
use crate::problem::Problem;

use super::Api;
use super::invocation::{Invocation, expect_content_type, json_body};
use super::ports::{ChangeStore, Runtime, Usage, Worker};
use super::query::Query;
use super::responses::{JSON, internal, next, ready_json, serving};

impl<S: ChangeStore> Api<S> {
    /// A tenant by name; a problem where there is none.
    pub(super) fn existing_tenant(&self, name: &str) -> Result<Tenant, Problem> {
        self.snapshot.get(name).cloned().ok_or_else(|| Denied::Unknown(name.to_owned()).into())
    }

    /// A page of tenants.
    pub(super) fn list_tenants(&self, query: &Query) -> Result<Answer, Problem> {
        let all = self.snapshot.page(query.text("after").unwrap_or(""), query.rows()?);
        let next = next(&all, query.rows()?, |t| t.name.clone());
        ready_json(200, &json!({ "tenants": all, "next": next, "revision": self.snapshot.revision() }))
    }

    /// A page of the tenants' usage.
    pub(super) fn list_usage(&self, query: &Query, runtime: &impl Runtime) -> Result<Answer, Problem> {
        let page = self.snapshot.page(query.text("after").unwrap_or(""), query.rows()?);
        let next = next(&page, query.rows()?, |t| t.name.clone());
        let all: Vec<Usage> = page.into_iter().map(|t| runtime.usage(t)).collect();
        ready_json(200, &json!({ "usage": all, "next": next }))
    }

    /// A page of the audit trail.
    pub(super) fn list_audit(&self, query: &Query) -> Result<Answer, Problem> {
        let after = query.number("after", 0, u64::MAX, 0)?;
        let rows = query.rows()?;
        let all = self.store.entries(after, rows, query.text("tenant")).map_err(internal)?;
        let next = next(&all, rows, |e| e.revision);
        ready_json(200, &json!({ "entries": all, "next": next }))
    }

    /// Controllers and the revisions that they run.
    pub(super) fn list_controllers(&self, runtime: &impl Runtime) -> Result<Answer, Problem> {
        let revision = self.snapshot.revision();
        ready_json(200, &json!({ "controllers": runtime.controllers(), "revision": revision }))
    }

    /// How far a change has come; the last one where none is named.
    pub(super) fn read_change(&self, query: &Query, runtime: &impl Runtime) -> Result<Answer, Problem> {
        let revision = query.number("revision", 0, u64::MAX, self.snapshot.revision())?;
        ready_json(200, &runtime.change_progress(revision))
    }

    /// Lends shares of limits to a controller by the demand that it reports.
    pub(super) fn grant_loans(
        &self,
        call: &Invocation<'_>,
        runtime: &mut impl Runtime,
    ) -> Result<Answer, Problem> {
        let number = call.query.controller()?;
        let incarnation = call.query.number("life", 1, u64::MAX, 1)?;
        expect_content_type(call.request, &[JSON])?;
        serving(runtime)?;
        ready_json(
            200,
            &runtime.grant_loans(&self.snapshot, number, incarnation, json_body(call.request.body)?)?,
        )
    }

    /// An operator decides which snapshot counts.
    pub(super) fn recover(&self, query: &Query, runtime: &mut impl Runtime) -> Result<Answer, Problem> {
        let take = query.text("take").unwrap_or("");
        ready_json(200, &runtime.recover(&self.snapshot, take, query.dry_run()?)?)
    }

    /// Drains a worker by hand, or lets the list decide again.
    pub(super) fn set_drained(
        &self,
        name: &str,
        drained: bool,
        runtime: &mut impl Runtime,
    ) -> Result<Answer, Problem> {
        let gone = || Problem::new(404, "unknown-worker", format!("there is no worker {name}"));
        if !runtime.set_drained(name, drained) {
            return Err(gone());
        }
        let worker = runtime.workers().into_iter().find(|w| w.name == name).ok_or_else(gone)?;
        ready_json(200, &Worker { drained, ..worker })
    }

    /// Takes entries of a controller's audit log.
    pub(super) fn append_audit_entries(
        &self,
        call: &Invocation<'_>,
        runtime: &mut impl Runtime,
    ) -> Result<Answer, Problem> {
        let number = call.query.controller()?;
        expect_content_type(call.request, &[JSON])?;
        let entries: Vec<String> = serde_json::from_value(json_body(call.request.body)?)
            .map_err(|e| Problem::field("the body", format!("an array of lines: {e}")))?;
        ready_json(200, &json!({ "last": runtime.append_audit_entries(number, entries)? }))
    }

    /// Audit logs that were delivered.
    pub(super) fn read_audit_logs(&self, query: &Query, runtime: &impl Runtime) -> Result<Answer, Problem> {
        let from = query.number("from", 0, u64::MAX, 0)?;
        ready_json(200, &runtime.audit_logs(query.text("of"), from, query.rows()?)?)
    }

    /// Fences the known incarnations of a controller, or admits them again.
    pub(super) fn set_fenced(
        &self,
        query: &Query,
        fenced: bool,
        runtime: &mut impl Runtime,
    ) -> Result<Answer, Problem> {
        let number = query.controller()?;
        ready_json(200, &runtime.set_fenced(number, fenced))
    }
}
