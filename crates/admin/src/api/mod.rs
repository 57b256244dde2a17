//! What is answered: a request is found in the table of routes, permitted, and handed to its operation.
//!
//! Changes of tenants are made in [`changes`], what followers ask is answered in [`replication`], all that is read
//! in [`reads`]. [`ports`]: what the API needs of its surroundings. [`query`]: query parameters.

mod changes;
mod ports;
mod query;
mod reads;
mod replication;

use std::time::Duration;

use nettleferry_tenancy::{Book, Change, Entry, Millis, Revision, Tenant};
use serde::Serialize;
use serde_json::{Value, json};

use crate::message::{Answer, Caller, Request, Response};
use crate::openapi;
use crate::problem::Problem;
use crate::routes::{Found, Operation, Role, Route, find};
pub use ports::{
    ChangeStore, ChangeStoreError, ClockReading, ControllerRevision, ControllerState, LeaseGrant,
    RecoveryPending, Runtime, StoreIdentity, Usage, Worker,
};
use query::Query;

/// Bytes of a body at the most: the edge's limit is to be this one.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Most rows of a page, and how many where not told.
pub const MAX_PAGE_ROWS: usize = 1_000;
/// See [`MAX_PAGE_ROWS`].
pub const DEFAULT_PAGE_ROWS: usize = 100;
/// Longest grace of a removal, and the one where not told, milliseconds.
pub const MAX_GRACE_MS: Millis = 3_600_000;
/// See [`MAX_GRACE_MS`].
pub const DEFAULT_GRACE_MS: Millis = 10_000;
/// Longest wait of a watch, milliseconds.
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;
/// Longest idempotency key, bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Content types of bodies.
const JSON: &str = "application/json";
const MERGE_PATCH: &str = "application/merge-patch+json";
/// Seconds after which a client may retry while the fleet has not agreed on a snapshot.
const RECOVERY_RETRY_SECONDS: u64 = 1;

/// The API over a snapshot of the tenants and the store that it was read from.
pub struct Api<S> {
    snapshot: Book,
    store: S,
    identity: StoreIdentity,
    /// Why nothing may be changed: the store is damaged.
    read_only: Option<String>,
}

/// A request that was found in the table of routes, and is permitted.
struct Invocation<'a> {
    route: &'a Route,
    /// The name in its path, where it has one.
    name: &'a str,
    query: Query,
    request: &'a Request<'a>,
    caller: &'a Caller,
    now: Millis,
}

type ApiResult = Result<Response, Problem>;

fn json_response(status: u16, body: &impl Serialize) -> ApiResult {
    let body = serde_json::to_string(body).map_err(|e| Problem::new(500, "internal", e.to_string()))?;
    Ok(Response { status, content_type: JSON, headers: Vec::new(), body })
}

fn ready_json(status: u16, body: &impl Serialize) -> Result<Answer, Problem> {
    json_response(status, body).map(Answer::Ready)
}

fn ready_tenant(status: u16, of: &Tenant) -> Result<Answer, Problem> {
    tenant_response(status, of).map(Answer::Ready)
}

fn tenant_response(status: u16, tenant: &Tenant) -> ApiResult {
    let mut response = json_response(status, tenant)?;
    response.headers.push(("ETag", format!("\"{}\"", tenant.revision)));
    Ok(response)
}

impl<S: ChangeStore> Api<S> {
    /// An API over a store's snapshot. `read_only`: why nothing may be changed.
    pub fn new(snapshot: Book, store: S, identity: StoreIdentity, read_only: Option<String>) -> Self {
        Self { snapshot, store, identity, read_only }
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Book {
        &self.snapshot
    }

    /// Replaces the snapshot and the store.
    pub fn replace(&mut self, snapshot: Book, store: S, identity: StoreIdentity) {
        *self = Self::new(snapshot, store, identity, None);
    }

    /// Which store it is.
    pub fn identity(&self) -> &StoreIdentity {
        &self.identity
    }

    /// The store, for its owner.
    pub fn store(&mut self) -> &mut S {
        &mut self.store
    }

    /// Changes after a revision, in order.
    ///
    /// # Errors
    /// Where the store can't be read.
    pub fn entries(&self, after: Revision) -> Result<Vec<Entry>, ChangeStoreError> {
        self.store.entries(after, usize::MAX, None)
    }

    /// Removes tenants whose grace is over; the entries, in order. What can't be committed is retried next time.
    pub fn remove_expired(&mut self, now: Millis) -> Vec<Entry> {
        let mut all = Vec::new();
        while self.read_only.is_none()
            && let Some(entry) = self.snapshot.due(now)
            && self.store.commit(&entry, None).is_ok()
            && self.snapshot.take(&entry).is_ok()
        {
            all.push(entry);
        }
        all
    }

    /// Answers. `waited`: how long ago the request came first, for one that was told to wait.
    pub fn answer(
        &mut self,
        request: &Request<'_>,
        caller: &Caller,
        runtime: &mut impl Runtime,
        now: Millis,
        waited: Duration,
    ) -> Answer {
        let (path, query) = request.target.split_once('?').unwrap_or((request.target, ""));
        let found = match find(request.method, path) {
            Found::Route(route, name) => Ok((route, name)),
            Found::Methods(methods) => return Answer::Ready(method_not_allowed(&methods)),
            Found::None => {
                Err(Problem::new(404, "no-such-path", format!("there is no {path}; see /v1/openapi.json")))
            }
        };
        let answer = found.and_then(|(route, name)| {
            if !is_permitted(route, caller) {
                let detail = format!("the key {} may not {}", caller.name, route.id);
                return Err(Problem::new(403, "forbidden", detail));
            }
            let query = Query::read(query, route)?;
            if route.operation == Operation::Watch {
                return self.watch(&query, runtime, waited);
            }
            let call = Invocation { route, name, query, request, caller, now };
            self.operate(&call, runtime)
        });
        answer.unwrap_or_else(|problem| Answer::Ready(problem.response()))
    }

    /// Hands a request to its operation.
    fn operate(&mut self, call: &Invocation<'_>, runtime: &mut impl Runtime) -> Result<Answer, Problem> {
        let query = &call.query;
        let name = || call.name.to_owned();
        match call.route.operation {
            Operation::ListTenants => self.list_tenants(query),
            Operation::ReadTenant => ready_tenant(200, &self.existing_tenant(call.name)?),
            Operation::ReadUsage => ready_json(200, &runtime.usage(&self.existing_tenant(call.name)?)),
            Operation::ListUsage => self.list_usage(query, runtime),
            Operation::ListAudit => self.list_audit(query),
            Operation::ListWorkers => ready_json(200, &json!({ "workers": runtime.workers() })),
            Operation::DrainWorker => reads::set_drained(call.name, true, runtime),
            Operation::UndrainWorker => reads::set_drained(call.name, false, runtime),
            Operation::ListControllers => self.list_controllers(runtime),
            Operation::ReadSnapshot => self.read_snapshot(query, runtime),
            Operation::ReadFleet => ready_json(200, &runtime.fleet_status()),
            Operation::Recover => self.recover(query, runtime),
            Operation::Fence => reads::set_fenced(query, true, runtime),
            Operation::Admit => reads::set_fenced(query, false, runtime),
            Operation::DeliverRecords => reads::append_audit_entries(call, runtime),
            Operation::Lend => self.grant_loans(call, runtime),
            Operation::ReadRecords => reads::read_audit_logs(query, runtime),
            Operation::ReadChange => self.read_change(query, runtime),
            Operation::ReadDocument => ready_json(200, &openapi::document()),
            Operation::Watch => Err(internal("a watch is answered elsewhere")),
            Operation::CreateTenant => self.change(call, &changes::creation(call)?, runtime),
            Operation::ChangeTenant => self.change(call, &changes::patch(call)?, runtime),
            Operation::RemoveTenant => self.change(call, &changes::removal(call)?, runtime),
            Operation::SuspendTenant => self.change(call, &Change::Suspend { name: name() }, runtime),
            Operation::ResumeTenant => self.change(call, &Change::Resume { name: name() }, runtime),
        }
    }
}

/// May this caller ask for this?
fn is_permitted(route: &Route, caller: &Caller) -> bool {
    match route.role {
        // What a controller reads a viewer may read; what it tells nobody else does but who may do all.
        Role::Controller if route.method == "GET" => true,
        Role::Controller => matches!(caller.role, Role::Controller | Role::Admin),
        least => caller.role >= least,
    }
}

/// The answer to a method that a path does not know.
fn method_not_allowed(methods: &[&'static str]) -> Response {
    let detail = format!("{} is answered here", methods.join(", "));
    let mut response = Problem::new(405, "method-not-allowed", detail).response();
    response.headers.push(("Allow", methods.join(", ")));
    response
}

/// A fault of our own.
fn internal(cause: impl std::fmt::Display) -> Problem {
    Problem::new(500, "internal", cause.to_string())
}

/// Neither books nor changes while it is open which book stands.
fn serving(runtime: &impl Runtime) -> Result<(), Problem> {
    runtime.check_serving().map_err(|pending| Problem {
        retry_after: Some(RECOVERY_RETRY_SECONDS),
        ..Problem::new(503, "recovering", pending.to_string())
    })
}

/// What the next page begins after: the last row's key, where the page is full.
fn next<T, N>(page: &[T], rows: usize, key: impl Fn(&T) -> N) -> Option<N> {
    (page.len() == rows).then(|| page.last().map(key)).flatten()
}

/// Checks that the body has one of these content types.
fn expect_content_type(request: &Request<'_>, accepted: &[&str]) -> Result<(), Problem> {
    if request.content_type.is_some_and(|given| accepted.contains(&given)) {
        return Ok(());
    }
    let detail = format!("Content-Type is to be {}", accepted.join(" or "));
    Err(Problem { field: Some("Content-Type".to_owned()), ..Problem::new(415, "media-type", detail) })
}

/// The body as JSON.
fn json_body(body: &[u8]) -> Result<Value, Problem> {
    serde_json::from_slice(body)
        .map_err(|e| Problem { status: 400, ..Problem::field("the body", format!("no JSON: {e}")) })
}
