//! Operations that read tenants, usage and the audit trail, and operations that the running controller executes, such
//! as those on workers, loans and the fleet's audit logs.

use nettleferry_tenancy::{Denied, Tenant};
use serde_json::json;

use crate::message::Outcome;
use crate::problem::Problem;

use super::Api;
use super::invocation::{Invocation, expect_content_type, json_body};
use super::ports::{ChangeStore, Runtime, Usage, Worker};
use super::query::Query;
use super::responses::{JSON, check_serving, internal, next_cursor, ready_json};

impl<S: ChangeStore> Api<S> {
    /// The tenant with this name. Fails if it does not exist.
    pub(super) fn existing_tenant(&self, name: &str) -> Result<Tenant, Problem> {
        self.snapshot.get(name).cloned().ok_or_else(|| Denied::Unknown(name.to_owned()).into())
    }

    /// Returns a page of the tenants, by name.
    pub(super) fn list_tenants(&self, query: &Query) -> Result<Outcome, Problem> {
        let all = self.snapshot.page(query.text("after").unwrap_or(""), query.rows()?);
        let next = next_cursor(&all, query.rows()?, |t| t.name.clone());
        ready_json(200, &json!({ "tenants": all, "next": next, "revision": self.snapshot.revision() }))
    }

    /// Returns a page of the usage of all tenants, by name.
    pub(super) fn list_usage(&self, query: &Query, runtime: &impl Runtime) -> Result<Outcome, Problem> {
        let page = self.snapshot.page(query.text("after").unwrap_or(""), query.rows()?);
        let next = next_cursor(&page, query.rows()?, |t| t.name.clone());
        let all: Vec<Usage> = page.into_iter().map(|t| runtime.usage(t)).collect();
        ready_json(200, &json!({ "usage": all, "next": next }))
    }

    /// Returns a page of the audit trail, optionally of one tenant only.
    pub(super) fn list_audit(&self, query: &Query) -> Result<Outcome, Problem> {
        let after = query.number("after", 0, u64::MAX, 0)?;
        let rows = query.rows()?;
        let all = self.store.entries(after, rows, query.text("tenant")).map_err(internal)?;
        let next = next_cursor(&all, rows, |e| e.revision);
        ready_json(200, &json!({ "entries": all, "next": next }))
    }

    /// Returns all controllers and the revision that is in force at each.
    pub(super) fn list_controllers(&self, runtime: &impl Runtime) -> Result<Outcome, Problem> {
        let revision = self.snapshot.revision();
        ready_json(200, &json!({ "controllers": runtime.controllers(), "revision": revision }))
    }

    /// Returns the progress of the change that the request names; the last change if it names none.
    pub(super) fn read_change(&self, query: &Query, runtime: &impl Runtime) -> Result<Outcome, Problem> {
        let revision = query.number("revision", 0, u64::MAX, self.snapshot.revision())?;
        ready_json(200, &runtime.change_progress(revision))
    }

    /// Lends shares of limits to a controller, according to the demand that it reports.
    pub(super) fn grant_loans(
        &self,
        invocation: &Invocation<'_>,
        runtime: &mut impl Runtime,
    ) -> Result<Outcome, Problem> {
        let number = invocation.query.controller()?;
        let incarnation = invocation.query.number("life", 1, u64::MAX, 1)?;
        expect_content_type(invocation.request, &[JSON])?;
        check_serving(runtime)?;
        ready_json(
            200,
            &runtime.grant_loans(&self.snapshot, number, incarnation, json_body(invocation.request.body)?)?,
        )
    }

    /// Executes an operator's decision on which snapshot is authoritative.
    pub(super) fn recover(&self, query: &Query, runtime: &mut impl Runtime) -> Result<Outcome, Problem> {
        let choice = query.text("take").unwrap_or("");
        ready_json(200, &runtime.recover(&self.snapshot, choice, query.dry_run()?)?)
    }

    /// Drains a worker by hand, or ends such a drain so that the worker list determines its state again.
    pub(super) fn set_drained(
        &self,
        name: &str,
        drained: bool,
        runtime: &mut impl Runtime,
    ) -> Result<Outcome, Problem> {
        let unknown_worker = || Problem::new(404, "unknown-worker", format!("there is no worker {name}"));
        if !runtime.set_drained(name, drained) {
            return Err(unknown_worker());
        }
        let worker = runtime.workers().into_iter().find(|w| w.name == name).ok_or_else(unknown_worker)?;
        ready_json(200, &Worker { drained, ..worker })
    }

    /// Appends entries to the collected audit log of a controller.
    pub(super) fn append_audit_entries(
        &self,
        invocation: &Invocation<'_>,
        runtime: &mut impl Runtime,
    ) -> Result<Outcome, Problem> {
        let number = invocation.query.controller()?;
        expect_content_type(invocation.request, &[JSON])?;
        let entries: Vec<String> = serde_json::from_value(json_body(invocation.request.body)?)
            .map_err(|error| Problem::field("the body", format!("must be an array of strings: {error}")))?;
        ready_json(200, &json!({ "last": runtime.append_audit_entries(number, entries)? }))
    }

    /// Returns a list of the collected audit logs, or a page of the one that the request names.
    pub(super) fn read_audit_logs(&self, query: &Query, runtime: &impl Runtime) -> Result<Outcome, Problem> {
        let from = query.number("from", 0, u64::MAX, 0)?;
        ready_json(200, &runtime.audit_logs(query.text("of"), from, query.rows()?)?)
    }

    /// Fences the known incarnations of a controller, or admits fenced ones again.
    pub(super) fn set_fenced(
        &self,
        query: &Query,
        fenced: bool,
        runtime: &mut impl Runtime,
    ) -> Result<Outcome, Problem> {
        let number = query.controller()?;
        ready_json(200, &runtime.set_fenced(number, fenced))
    }
}
