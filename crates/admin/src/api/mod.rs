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

use nettleferry_tenancy::{Change, Entry, Millis, Revision, Tenant, TenantSnapshot};
use serde::Serialize;
use serde_json::{Value, json};

use crate::message::{Answer, Caller, Request, Response};
use crate::openapi;
use crate::problem::Problem;
use crate::routes::{Found, Operation, Role, Route, find};
pub use ports::{Holds, Keep, Live, Running, Usage, Worker};
use query::Query;

/// Bytes of a body at the most: the edge's limit is to be this one.
pub const MOST_BODY: usize = 1 << 20;
/// Most rows of a page, and how many where not told.
pub const MOST_ROWS: usize = 1_000;
/// See [`MOST_ROWS`].
pub const ROWS: usize = 100;
/// Longest grace of a removal, and the one where not told, milliseconds.
pub const MOST_GRACE: Millis = 3_600_000;
/// See [`MOST_GRACE`].
pub const GRACE: Millis = 10_000;
/// Longest wait of a watch, milliseconds.
pub const MOST_WAIT: u64 = 60_000;
/// Longest idempotency key, bytes.
pub const MOST_KEY: usize = 128;

/// The API over a book.
pub struct Api<K> {
    book: TenantSnapshot,
    keep: K,
    /// The store's own name, and its epoch.
    store: (String, u64),
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

type Told = Result<Response, Problem>;

fn told(status: u16, body: &impl Serialize) -> Told {
    let body = serde_json::to_string(body).map_err(|e| Problem::new(500, "internal", e.to_string()))?;
    Ok(Response { status, kind: "application/json", headers: Vec::new(), body })
}

fn now_told(status: u16, body: &impl Serialize) -> Result<Answer, Problem> {
    told(status, body).map(Answer::Now)
}

fn now_tenant(status: u16, of: &Tenant) -> Result<Answer, Problem> {
    tenant(status, of).map(Answer::Now)
}

fn tenant(status: u16, tenant: &Tenant) -> Told {
    let mut response = told(status, tenant)?;
    response.headers.push(("ETag", format!("\"{}\"", tenant.revision)));
    Ok(response)
}

impl<K: Keep> Api<K> {
    /// An API over what a store of this name held at its start.
    pub fn new(book: TenantSnapshot, keep: K, store: (String, u64), read_only: Option<String>) -> Self {
        Self { book, keep, store, read_only }
    }

    /// The book as it stands.
    pub fn book(&self) -> &TenantSnapshot {
        &self.book
    }

    /// Puts another book and store in the place of what was there.
    pub fn adopt(&mut self, book: TenantSnapshot, keep: K, store: (String, u64)) {
        *self = Self::new(book, keep, store, None);
    }

    /// The store's own name, and its epoch.
    pub fn store(&self) -> (&str, u64) {
        (&self.store.0, self.store.1)
    }

    /// What is kept, for its owner.
    pub fn keep(&mut self) -> &mut K {
        &mut self.keep
    }

    /// Changes after a revision, in order.
    pub fn entries(&self, after: Revision) -> Result<Vec<Entry>, String> {
        self.keep.audit(after, usize::MAX, None)
    }

    /// Ends the graces that are over; the entries, in order. What can't be kept is tried again next time.
    pub fn sweep(&mut self, now: Millis) -> Vec<Entry> {
        let mut all = Vec::new();
        while self.read_only.is_none()
            && let Some(entry) = self.book.due_removal(now)
            && self.keep.commit(&entry, None).is_ok()
            && self.book.apply(&entry).is_ok()
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
        live: &mut impl Live,
        now: Millis,
        waited: Duration,
    ) -> Answer {
        let (path, query) = request.target.split_once('?').unwrap_or((request.target, ""));
        let found = match find(request.method, path) {
            Found::Route(route, name) => Ok((route, name)),
            Found::Methods(methods) => return Answer::Now(other_method(&methods)),
            Found::None => {
                Err(Problem::new(404, "no-such-path", format!("there is no {path}; see /v1/openapi.json")))
            }
        };
        let answer = found.and_then(|(route, name)| {
            if !may(route, caller) {
                let detail = format!("the key {} may not {}", caller.name, route.id);
                return Err(Problem::new(403, "forbidden", detail));
            }
            let query = Query::read(query, route)?;
            if route.operation == Operation::Watch {
                return self.watch(&query, live, waited);
            }
            let call = Invocation { route, name, query, request, caller, now };
            self.operate(&call, live)
        });
        answer.unwrap_or_else(|problem| Answer::Now(problem.response()))
    }

    /// Hands a request to its operation.
    fn operate(&mut self, call: &Invocation<'_>, live: &mut impl Live) -> Result<Answer, Problem> {
        let query = &call.query;
        let name = || call.name.to_owned();
        match call.route.operation {
            Operation::ListTenants => self.list_tenants(query),
            Operation::ReadTenant => now_tenant(200, &self.known(call.name)?),
            Operation::ReadUsage => now_told(200, &live.usage(&self.known(call.name)?)),
            Operation::ListUsage => self.list_usage(query, live),
            Operation::ListAudit => self.list_audit(query),
            Operation::ListWorkers => now_told(200, &json!({ "workers": live.workers() })),
            Operation::DrainWorker => reads::drain(call.name, true, live),
            Operation::UndrainWorker => reads::drain(call.name, false, live),
            Operation::ListControllers => self.list_controllers(live),
            Operation::ReadSnapshot => self.read_snapshot(query, live),
            Operation::ReadFleet => now_told(200, &live.fleet()),
            Operation::Recover => self.recover(query, live),
            Operation::Fence => reads::fence(query, true, live),
            Operation::Admit => reads::fence(query, false, live),
            Operation::DeliverRecords => reads::deliver_records(call, live),
            Operation::Lend => self.lend(call, live),
            Operation::ReadRecords => reads::read_records(query, live),
            Operation::ReadChange => self.read_change(query, live),
            Operation::ReadDocument => now_told(200, &openapi::document()),
            Operation::Watch => Err(internal("a watch is answered elsewhere".to_owned())),
            Operation::CreateTenant => self.change(call, &changes::creation(call)?, live),
            Operation::ChangeTenant => self.change(call, &changes::patch(call)?, live),
            Operation::RemoveTenant => self.change(call, &changes::removal(call)?, live),
            Operation::SuspendTenant => self.change(call, &Change::Suspend { name: name() }, live),
            Operation::ResumeTenant => self.change(call, &Change::Resume { name: name() }, live),
        }
    }
}

/// May this caller ask for this?
fn may(route: &Route, caller: &Caller) -> bool {
    match route.role {
        // What a controller reads a viewer may read; what it tells nobody else does but who may do all.
        Role::Controller if route.method == "GET" => true,
        Role::Controller => matches!(caller.role, Role::Controller | Role::Admin),
        least => caller.role >= least,
    }
}

/// The answer to a method that a path does not know.
fn other_method(methods: &[&'static str]) -> Response {
    let detail = format!("{} is answered here", methods.join(", "));
    let mut response = Problem::new(405, "method-not-allowed", detail).response();
    response.headers.push(("Allow", methods.join(", ")));
    response
}

/// A fault of our own.
fn internal(what: String) -> Problem {
    Problem::new(500, "internal", what)
}

/// Neither books nor changes while it is open which book stands.
fn serving(live: &impl Live) -> Result<(), Problem> {
    let wait = |why| Problem { retry_after: Some(1), ..Problem::new(503, "recovering", why) };
    live.serving().map_err(wait)
}

/// What the next page begins after: the last row's key, where the page is full.
fn next<T, N>(page: &[T], rows: usize, key: impl Fn(&T) -> N) -> Option<N> {
    (page.len() == rows).then(|| page.last().map(key)).flatten()
}

/// Is the body of one of these kinds?
fn wants(request: &Request<'_>, kinds: &[&str]) -> Result<(), Problem> {
    if request.kind.is_some_and(|kind| kinds.contains(&kind)) {
        return Ok(());
    }
    let detail = format!("Content-Type is to be {}", kinds.join(" or "));
    Err(Problem { field: Some("Content-Type".to_owned()), ..Problem::new(415, "media-type", detail) })
}

/// The body as JSON.
fn json_body(body: &[u8]) -> Result<Value, Problem> {
    serde_json::from_slice(body)
        .map_err(|e| Problem { status: 400, ..Problem::field("the body", format!("no JSON: {e}")) })
}
