//! Request handling: finds the route of a request, authorizes the caller, and executes the operation.
//!
//! * [`changes`]: operations that change tenants. [`replication`]: requests of followers. [`reads`]: all others.
//! * [`ports`]: the interfaces to the store and the running controller. [`limits`]: limits of requests.
//! * [`invocation`], [`query`]: the input of operations. [`responses`]: their output.

mod changes;
mod invocation;
mod limits;
mod ports;
mod query;
mod reads;
mod replication;
mod responses;

use std::time::Duration;

use nettleferry_tenancy::{Entry, Millis, Revision, TenantSnapshot};
use serde_json::json;

use crate::message::{Caller, Outcome, Request};
use crate::openapi;
use crate::problem::Problem;
use crate::routes::{Operation, Role, Route, RouteMatch, find};
use invocation::Invocation;
pub use limits::{
    DEFAULT_GRACE_MS, DEFAULT_PAGE_ROWS, MAX_BODY_BYTES, MAX_GRACE_MS, MAX_IDEMPOTENCY_KEY_BYTES,
    MAX_PAGE_ROWS, MAX_WATCH_WAIT_MS,
};
pub use ports::{
    ChangeStore, ChangeStoreError, ClockReading, ControllerRevision, ControllerState, LeaseGrant,
    RecoveryPending, Runtime, StoreIdentity, Usage, Worker,
};
use query::Query;
use responses::{internal, method_not_allowed, ready_json, ready_tenant};

/// The API on a snapshot of the tenants and the store that it was read from.
pub struct Api<S> {
    snapshot: TenantSnapshot,
    store: S,
    identity: StoreIdentity,
    /// Why changes are rejected, if the store is damaged.
    read_only: Option<String>,
}

impl<S: ChangeStore> Api<S> {
    /// Creates the API on a store and its snapshot. If `read_only` has a reason, all changes are rejected with it.
    pub fn new(
        snapshot: TenantSnapshot,
        store: S,
        identity: StoreIdentity,
        read_only: Option<String>,
    ) -> Self {
        Self { snapshot, store, identity, read_only }
    }

    /// The snapshot of the tenants, at the last committed revision.
    pub fn snapshot(&self) -> &TenantSnapshot {
        &self.snapshot
    }

    /// Replaces the snapshot and the store, and accepts changes again.
    pub fn replace(&mut self, snapshot: TenantSnapshot, store: S, identity: StoreIdentity) {
        *self = Self::new(snapshot, store, identity, None);
    }

    /// The identity of the store.
    pub fn identity(&self) -> &StoreIdentity {
        &self.identity
    }

    /// The store, for operations that the API does not offer.
    pub fn store(&mut self) -> &mut S {
        &mut self.store
    }

    /// All changes after a revision, in order.
    ///
    /// # Errors
    /// Returns an error if the store can't be read.
    pub fn entries(&self, after: Revision) -> Result<Vec<Entry>, ChangeStoreError> {
        self.store.entries(after, usize::MAX, None)
    }

    /// Removes all tenants whose grace period is over, and returns the entries of the removals in order. A removal that
    /// can't be committed is retried by the next call.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<Entry> {
        let mut all = Vec::new();
        while self.read_only.is_none()
            && let Some(entry) = self.snapshot.due_removal(now)
            && self.store.commit(&entry, None).is_ok()
            && self.snapshot.apply(&entry).is_ok()
        {
            all.push(entry);
        }
        all
    }

    /// Handles a request at the wall-clock time `now`. `held_for` is `None` for a new request. For a request whose
    /// previous outcome was [`Outcome::Wait`], it is the time since the request arrived.
    pub fn handle(
        &mut self,
        request: &Request<'_>,
        caller: &Caller,
        runtime: &mut impl Runtime,
        now: Millis,
        held_for: Option<Duration>,
    ) -> Outcome {
        let (path, query) = request.target.split_once('?').unwrap_or((request.target, ""));
        let found = match find(request.method, path) {
            RouteMatch::Route(route, name) => Ok((route, name)),
            RouteMatch::OtherMethods(methods) => return Outcome::Ready(method_not_allowed(&methods)),
            RouteMatch::NoSuchPath => Err(Problem::new(
                404,
                "no-such-path",
                format!("no route has the path {path}; see /v1/openapi.json"),
            )),
        };
        let outcome = found.and_then(|(route, name)| {
            if !is_permitted(route, caller) {
                let detail =
                    format!("the role of key {} does not permit {}", caller.name, route.operation_id);
                return Err(Problem::new(403, "forbidden", detail));
            }
            let query = Query::read(query, route)?;
            if route.operation == Operation::Watch {
                return self.watch(&query, runtime, held_for);
            }
            let invocation = Invocation { route, name, query, request, caller, now };
            self.dispatch(&invocation, runtime)
        });
        outcome.unwrap_or_else(|problem| Outcome::Ready(problem.response()))
    }

    /// Executes the operation of the request's route.
    fn dispatch(
        &mut self,
        invocation: &Invocation<'_>,
        runtime: &mut impl Runtime,
    ) -> Result<Outcome, Problem> {
        let query = &invocation.query;
        match invocation.route.operation {
            Operation::ListTenants => self.list_tenants(query),
            Operation::ReadTenant => ready_tenant(200, &self.existing_tenant(invocation.name)?),
            Operation::ReadUsage => ready_json(200, &runtime.usage(&self.existing_tenant(invocation.name)?)),
            Operation::ListUsage => self.list_usage(query, runtime),
            Operation::ListAudit => self.list_audit(query),
            Operation::ListWorkers => ready_json(200, &json!({ "workers": runtime.workers() })),
            Operation::DrainWorker => self.set_drained(invocation.name, true, runtime),
            Operation::UndrainWorker => self.set_drained(invocation.name, false, runtime),
            Operation::ListControllers => self.list_controllers(runtime),
            Operation::ReadSnapshot => self.read_snapshot(query, runtime),
            Operation::ReadFleet => ready_json(200, &runtime.fleet_status()),
            Operation::Recover => self.recover(query, runtime),
            Operation::Fence => self.set_fenced(query, true, runtime),
            Operation::Admit => self.set_fenced(query, false, runtime),
            Operation::AppendAuditEntries => self.append_audit_entries(invocation, runtime),
            Operation::GrantLoans => self.grant_loans(invocation, runtime),
            Operation::ReadAuditLogs => self.read_audit_logs(query, runtime),
            Operation::ReadChange => self.read_change(query, runtime),
            Operation::ReadDocument => ready_json(200, &openapi::document()),
            Operation::Watch => Err(internal("watch was dispatched as an operation that never waits")),
            Operation::CreateTenant => self.create_tenant(invocation, runtime),
            Operation::ChangeTenant => self.patch_tenant(invocation, runtime),
            Operation::RemoveTenant => self.remove_tenant(invocation, runtime),
            Operation::SuspendTenant => self.suspend_tenant(invocation, runtime),
            Operation::ResumeTenant => self.resume_tenant(invocation, runtime),
        }
    }
}

/// Whether the caller's role permits the route.
fn is_permitted(route: &Route, caller: &Caller) -> bool {
    match route.role {
        // Every role may read what controllers read, but only a controller or an admin may send a controller's reports.
        Role::Controller if route.method == "GET" => true,
        Role::Controller => matches!(caller.role, Role::Controller | Role::Admin),
        least => caller.role >= least,
    }
}
