//! What is read: tenants, their usage, the audit trail, workers and the records of the fleet.

use nettleferry_tenancy::{Denied, Tenant};
use serde_json::json;

use crate::message::Answer;
use crate::problem::Problem;

use super::query::Query;
use super::{
    Api, Invocation, Keep, Live, Usage, Worker, internal, json_body, next, now_told, serving, wants,
};

impl<K: Keep> Api<K> {
    /// A tenant that is to be there.
    pub(super) fn known(&self, name: &str) -> Result<Tenant, Problem> {
        self.book.get(name).cloned().ok_or_else(|| Denied::Unknown(name.to_owned()).into())
    }

    /// A page of tenants.
    pub(super) fn list_tenants(&self, query: &Query) -> Result<Answer, Problem> {
        let all = self.book.page(query.text("after").unwrap_or(""), query.rows()?);
        let next = next(&all, query.rows()?, |t| t.name.clone());
        now_told(200, &json!({ "tenants": all, "next": next, "revision": self.book.revision() }))
    }

    /// A page of the tenants' usage.
    pub(super) fn list_usage(&self, query: &Query, live: &impl Live) -> Result<Answer, Problem> {
        let page = self.book.page(query.text("after").unwrap_or(""), query.rows()?);
        let next = next(&page, query.rows()?, |t| t.name.clone());
        let all: Vec<Usage> = page.into_iter().map(|t| live.usage(t)).collect();
        now_told(200, &json!({ "usage": all, "next": next }))
    }

    /// A page of the audit trail.
    pub(super) fn list_audit(&self, query: &Query) -> Result<Answer, Problem> {
        let after = query.number("after", 0, u64::MAX, 0)?;
        let rows = query.rows()?;
        let all = self.keep.audit(after, rows, query.text("tenant")).map_err(internal)?;
        let next = next(&all, rows, |e| e.revision);
        now_told(200, &json!({ "entries": all, "next": next }))
    }

    /// Controllers and the revisions that they run.
    pub(super) fn list_controllers(&self, live: &impl Live) -> Result<Answer, Problem> {
        let revision = self.book.revision();
        now_told(200, &json!({ "controllers": live.controllers(), "revision": revision }))
    }

    /// How far a change is; the last one where none is named.
    pub(super) fn read_change(&self, query: &Query, live: &impl Live) -> Result<Answer, Problem> {
        let revision = query.number("revision", 0, u64::MAX, self.book.revision())?;
        now_told(200, &live.progress(revision))
    }

    /// What a controller may use of the limits, by what it reports.
    pub(super) fn lend(&self, call: &Invocation<'_>, live: &mut impl Live) -> Result<Answer, Problem> {
        let number = call.query.controller()?;
        let life = call.query.number("life", 1, u64::MAX, 1)?;
        wants(call.request, &["application/json"])?;
        serving(live)?;
        now_told(200, &live.loans(&self.book, number, life, json_body(call.request.body)?)?)
    }

    /// An operator decides which book stands.
    pub(super) fn recover(&self, query: &Query, live: &mut impl Live) -> Result<Answer, Problem> {
        let take = query.text("take").unwrap_or("");
        now_told(200, &live.recover(&self.book, take, query.dry_run()?)?)
    }
}

/// Drains a worker by hand, or lets the list decide again.
pub(super) fn drain(name: &str, drained: bool, live: &mut impl Live) -> Result<Answer, Problem> {
    let gone = || Problem::new(404, "unknown-worker", format!("there is no worker {name}"));
    if !live.drain(name, drained) {
        return Err(gone());
    }
    let worker = live.workers().into_iter().find(|w| w.name == name).ok_or_else(gone)?;
    now_told(200, &Worker { drained, ..worker })
}

/// Takes lines of a controller's audit log.
pub(super) fn deliver_records(call: &Invocation<'_>, live: &mut impl Live) -> Result<Answer, Problem> {
    let number = call.query.controller()?;
    wants(call.request, &["application/json"])?;
    let lines: Vec<String> = serde_json::from_value(json_body(call.request.body)?)
        .map_err(|e| Problem::field("the body", format!("an array of lines: {e}")))?;
    now_told(200, &json!({ "last": live.deliver(number, lines)? }))
}

/// Audit logs that were delivered.
pub(super) fn read_records(query: &Query, live: &impl Live) -> Result<Answer, Problem> {
    let from = query.number("from", 0, u64::MAX, 0)?;
    now_told(200, &live.records(query.text("of"), from, query.rows()?)?)
}

/// Shuts out the known incarnations of a controller, or lets them in again.
pub(super) fn fence(query: &Query, out: bool, live: &mut impl Live) -> Result<Answer, Problem> {
    let number = query.controller()?;
    now_told(200, &live.fence(number, out))
}
