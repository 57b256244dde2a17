//! What is answered.

use std::time::Duration;

use nettleferry_tenancy::{Applied, Book, Change, Condition, Denied, Entry, Millis, Once, Revision, Tenant};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::message::{Answer, Caller, Request, Response};
use crate::openapi;
use crate::problem::Problem;
use crate::routes::{Found, Operation, Role, Route, find};

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

/// What is kept of changes; errors are for people.
pub trait Keep {
    /// Keeps a change; durable when it returns.
    fn commit(&mut self, entry: &Entry, once: Option<(&str, &Once)>) -> Result<(), String>;
    /// The answer kept under a key.
    fn once(&self, key: &str) -> Result<Option<Once>, String>;
    /// Entries after a revision.
    fn audit(&self, after: Revision, most: usize, of: Option<&str>) -> Result<Vec<Entry>, String>;
}

/// What a tenant has in hand and what became of its calls, at one controller since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Its name.
    pub tenant: String,
    /// Which tenant of that name.
    pub uid: Revision,
    /// Calls without a final answer.
    pub open_calls: u32,
    /// Of them, those that no worker has.
    pub held_calls: u32,
    /// Bytes of the models in use.
    pub loaded_memory_bytes: u64,
    /// Calls taken.
    pub admitted: u64,
    /// Calls turned away by admission.
    pub refused: u64,
    /// Open calls by class.
    pub open_by_class: std::collections::BTreeMap<String, u32>,
    /// Calls by their one final answer.
    pub ends: std::collections::BTreeMap<String, u64>,
}

/// A worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// What the list says: on, draining, gone.
    pub listed: String,
    /// Drained by hand.
    pub drained: bool,
}

/// A controller and the revision it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Its number.
    pub controller: u32,
    /// The revision that is in force there.
    pub revision: Revision,
    /// How long ago it said so.
    pub seen_ms_ago: u64,
}

/// The running controller, as far as it is known here.
pub trait Live {
    /// A tenant's calls.
    fn usage(&self, tenant: &Tenant) -> Usage;
    /// Workers by name.
    fn workers(&self) -> Vec<Worker>;
    /// Drains a worker by hand, or lets the list decide again. False: there is none of that name.
    fn drain(&mut self, worker: &str, drained: bool) -> bool;
    /// Controllers.
    fn controllers(&self) -> Vec<Running>;
    /// A controller that follows has told which book it holds. Error: it was shut out.
    fn follows(&mut self, controller: u32, holds: Holds) -> Result<(), Problem>;
    /// It is answered now with all that holds: how long it may act on that, in milliseconds, and its place among the
    /// lives of the fleet; `None`: no lease.
    fn lease(&mut self, controller: u32, life: u64) -> Option<(u64, u64)>;
    /// Shuts out the lives of a controller that are known, or lets them in again.
    fn fence(&mut self, controller: u32, out: bool) -> Value;
    /// Our clock: whose life it is of, and what it reads, in milliseconds.
    fn clock(&self) -> (u64, u64);
    /// What a controller could use of limits, as it reports; what it may use.
    fn loans(&mut self, book: &Book, controller: u32, life: u64, report: Value) -> Result<Value, Problem>;
    /// Lines of a controller's record, as it delivers them; what is held of it now.
    fn deliver(&mut self, controller: u32, lines: Vec<String>) -> Result<u64, Problem>;
    /// Records that were delivered: whose there are, or a page of one.
    fn records(&self, of: Option<&str>, from: u64, most: usize) -> Result<Value, Problem>;
    /// How far a change is: who holds it, who may still act without it.
    fn progress(&self, revision: Revision) -> Value;
    /// May the book be given and changed? Else why not, for people.
    fn serving(&self) -> Result<(), String>;
    /// What the fleet is known to run and hold.
    fn fleet(&self) -> Value;
    /// An operator's word on which book is to stand: `own`, this one, or a controller's number.
    fn recover(&mut self, own: &Book, take: &str, dry_run: bool) -> Result<Value, Problem>;
}

/// Which book a controller holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// The store; empty: it holds none.
    pub store: String,
    /// The store's epoch.
    pub epoch: u64,
    /// The revision.
    pub revision: Revision,
    /// The book's checksum.
    pub sum: u32,
    /// The controller's life: chosen by chance at its start; 0: an earlier version, which tells none.
    pub life: u64,
    /// Of that store and epoch: the revision that the thread of its calls acts on.
    pub in_force: Revision,
    /// The revision that is synced to its disk.
    pub kept: Revision,
    /// It takes no call without a lease.
    pub ends: bool,
    /// It has heard that it is shut out, and takes no call any more.
    pub ended: bool,
}

/// The API over a book.
pub struct Api<K> {
    book: Book,
    keep: K,
    /// The store's own name, and its epoch.
    store: (String, u64),
    /// Why nothing may be changed: the store is damaged.
    read_only: Option<String>,
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

/// Query parameters, each known and given once.
struct Query(Vec<(String, String)>);

impl Query {
    fn read(query: &str, route: &Route) -> Result<Self, Problem> {
        let mut all: Vec<(String, String)> = Vec::new();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            if !route.query.iter().any(|(known, _)| *known == name) {
                let known: Vec<&str> = route.query.iter().map(|q| q.0).collect();
                let known = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
                return Err(Problem::field(&*name, format!("no such query parameter; known here: {known}")));
            }
            if all.iter().any(|(n, _)| *n == name) {
                return Err(Problem::field(&*name, "given twice"));
            }
            all.push((name.into_owned(), value.into_owned()));
        }
        Ok(Self(all))
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    fn number(&self, name: &str, least: u64, most: u64, usual: u64) -> Result<u64, Problem> {
        let Some(text) = self.text(name) else { return Ok(usual) };
        let number = text.parse().ok().filter(|n| (least..=most).contains(n));
        number.ok_or_else(|| Problem::field(name, format!("a whole number from {least} to {most}")))
    }

    /// The number of a controller, which is to be told.
    fn controller(&self) -> Result<u32, Problem> {
        let number = self.number("controller", 0, u64::from(u32::MAX), u64::MAX)?;
        u32::try_from(number).map_err(|_| Problem::field("controller", "the number of the controller"))
    }

    fn rows(&self) -> Result<usize, Problem> {
        Ok(self.number("limit", 1, MOST_ROWS as u64, ROWS as u64)? as usize)
    }

    fn dry_run(&self) -> Result<bool, Problem> {
        match self.text("dry_run") {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(_) => Err(Problem::field("dry_run", "true or false")),
        }
    }
}

impl<K: Keep> Api<K> {
    /// An API over what a store of this name held at its start.
    pub fn new(book: Book, keep: K, store: (String, u64), read_only: Option<String>) -> Self {
        Self { book, keep, store, read_only }
    }

    /// The book as it stands.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Puts another book and store in the place of what was there.
    pub fn adopt(&mut self, book: Book, keep: K, store: (String, u64)) {
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
            && let Some(entry) = self.book.due(now)
            && self.keep.commit(&entry, None).is_ok()
            && self.book.take(&entry).is_ok()
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
            Found::Methods(methods) => {
                let mut response = Problem::new(
                    405,
                    "method-not-allowed",
                    format!("{} is answered here", methods.join(", ")),
                )
                .response();
                response.headers.push(("Allow", methods.join(", ")));
                return Answer::Now(response);
            }
            Found::None => {
                Err(Problem::new(404, "no-such-path", format!("there is no {path}; see /v1/openapi.json")))
            }
        };
        let answer = found.and_then(|(route, name)| {
            let may = match route.role {
                // What a controller reads a viewer may read; what it tells nobody else does but who may do all.
                Role::Controller if route.method == "GET" => true,
                Role::Controller => matches!(caller.role, Role::Controller | Role::Admin),
                least => caller.role >= least,
            };
            if !may {
                let detail = format!("the key {} may not {}", caller.name, route.id);
                return Err(Problem::new(403, "forbidden", detail));
            }
            let query = Query::read(query, route)?;
            if route.operation == Operation::Watch {
                return self.watch(&query, live, waited);
            }
            self.operate(route, name, &query, request, caller, live, now)
        });
        answer.unwrap_or_else(|problem| Answer::Now(problem.response()))
    }

    #[allow(clippy::too_many_arguments)]
    fn operate(
        &mut self,
        route: &Route,
        name: &str,
        query: &Query,
        request: &Request<'_>,
        caller: &Caller,
        live: &mut impl Live,
        now: Millis,
    ) -> Result<Answer, Problem> {
        let known = |book: &Book| -> Result<Tenant, Problem> {
            book.get(name).cloned().ok_or_else(|| Denied::Unknown(name.to_owned()).into())
        };
        let internal = |what: String| Problem::new(500, "internal", what);
        let name = || name.to_owned();
        let change = match route.operation {
            Operation::ListTenants => {
                let all = self.book.page(query.text("after").unwrap_or(""), query.rows()?);
                let next = next(&all, query.rows()?, |t| t.name.clone());
                return now_told(
                    200,
                    &json!({ "tenants": all, "next": next, "revision": self.book.revision() }),
                );
            }
            Operation::ReadTenant => return now_tenant(200, &known(&self.book)?),
            Operation::ReadUsage => return now_told(200, &live.usage(&known(&self.book)?)),
            Operation::ListUsage => {
                let page = self.book.page(query.text("after").unwrap_or(""), query.rows()?);
                let next = next(&page, query.rows()?, |t| t.name.clone());
                let all: Vec<Usage> = page.into_iter().map(|t| live.usage(t)).collect();
                return now_told(200, &json!({ "usage": all, "next": next }));
            }
            Operation::ListAudit => {
                let after = query.number("after", 0, u64::MAX, 0)?;
                let rows = query.rows()?;
                let all = self.keep.audit(after, rows, query.text("tenant")).map_err(internal)?;
                let next = next(&all, rows, |e| e.revision);
                return now_told(200, &json!({ "entries": all, "next": next }));
            }
            Operation::ListWorkers => return now_told(200, &json!({ "workers": live.workers() })),
            Operation::DrainWorker | Operation::UndrainWorker => {
                let drained = route.operation == Operation::DrainWorker;
                let gone = || Problem::new(404, "unknown-worker", format!("there is no worker {}", name()));
                if !live.drain(&name(), drained) {
                    return Err(gone());
                }
                let worker = live.workers().into_iter().find(|w| w.name == name()).ok_or_else(gone)?;
                return now_told(200, &Worker { drained, ..worker });
            }
            Operation::ListControllers => {
                let revision = self.book.revision();
                return now_told(200, &json!({ "controllers": live.controllers(), "revision": revision }));
            }
            Operation::ReadSnapshot => {
                let who = follows(query, live)?;
                serving(live)?;
                let (store, epoch) = &self.store;
                let sum = self.book.sum();
                let (lease_ms, place) = who.and_then(|(number, life)| live.lease(number, life)).unzip();
                let clock = read_clock(live, Duration::ZERO);
                let body = json!({ "store": store, "epoch": epoch, "sum": sum, "book": self.book, "lease_ms": lease_ms, "place": place, "clock": clock });
                return now_told(200, &body);
            }
            Operation::ReadFleet => return now_told(200, &live.fleet()),
            Operation::Recover => {
                let take = query.text("take").unwrap_or("");
                return now_told(200, &live.recover(&self.book, take, query.dry_run()?)?);
            }
            Operation::Fence | Operation::Admit => {
                let number = query.controller()?;
                return now_told(200, &live.fence(number, route.operation == Operation::Fence));
            }
            Operation::DeliverRecords => {
                let number = query.controller()?;
                wants(request, &["application/json"])?;
                let lines: Vec<String> = serde_json::from_value(json_body(request.body)?)
                    .map_err(|e| Problem::field("the body", format!("an array of lines: {e}")))?;
                return now_told(200, &json!({ "last": live.deliver(number, lines)? }));
            }
            Operation::Lend => {
                let number = query.controller()?;
                let life = query.number("life", 1, u64::MAX, 1)?;
                wants(request, &["application/json"])?;
                serving(live)?;
                return now_told(200, &live.loans(&self.book, number, life, json_body(request.body)?)?);
            }
            Operation::ReadRecords => {
                let from = query.number("from", 0, u64::MAX, 0)?;
                return now_told(200, &live.records(query.text("of"), from, query.rows()?)?);
            }
            Operation::ReadChange => {
                let revision = query.number("revision", 0, u64::MAX, self.book.revision())?;
                return now_told(200, &live.progress(revision));
            }
            Operation::ReadDocument => return now_told(200, &openapi::document()),
            Operation::Watch => return Err(internal("a watch is answered elsewhere".to_owned())),
            Operation::CreateTenant => {
                let (name, spec) = new_tenant(request)?;
                Change::Create { name, spec }
            }
            Operation::ChangeTenant => {
                wants(request, &["application/merge-patch+json", "application/json"])?;
                Change::Patch { name: name(), patch: json_body(request.body)? }
            }
            Operation::RemoveTenant => {
                let grace_ms = query.number("grace_ms", 0, MOST_GRACE, GRACE)?;
                Change::Remove { name: name(), grace_ms }
            }
            Operation::SuspendTenant => Change::Suspend { name: name() },
            Operation::ResumeTenant => Change::Resume { name: name() },
        };
        serving(live)
            .map_err(|p| Problem { detail: format!("nothing can be changed: {}", p.detail), ..p })?;
        if let Some(why) = &self.read_only {
            return Err(Problem::new(503, "read-only", format!("nothing can be changed: {why}")));
        }
        let condition = if route.conditional { condition(request.if_match)? } else { Condition::Any };
        self.change(route, &change, condition, request, caller, now, query.dry_run()?)
    }

    #[allow(clippy::too_many_arguments)]
    fn change(
        &mut self,
        route: &Route,
        change: &Change,
        condition: Condition,
        request: &Request<'_>,
        caller: &Caller,
        now: Millis,
        dry_run: bool,
    ) -> Result<Answer, Problem> {
        let key = match request.once.filter(|_| route.operation == Operation::CreateTenant && !dry_run) {
            Some(key) if key.is_empty() || key.len() > MOST_KEY => {
                return Err(Problem::field("Idempotency-Key", format!("1 to {MOST_KEY} bytes")));
            }
            // A key is its holder's own.
            Some(key) => Some(format!("{}/{key}", caller.name)),
            None => None,
        };
        let fingerprint = u64::from(crc32fast::hash(request.body)) << 32 | request.body.len() as u64;
        let internal = |what: String| Problem::new(500, "internal", what);
        if let Some(key) = &key
            && let Some(before) = self.keep.once(key).map_err(internal)?
        {
            if before.fingerprint != fingerprint {
                let detail = "this Idempotency-Key came before with another body";
                return Err(Problem {
                    field: Some("Idempotency-Key".to_owned()),
                    ..Problem::new(422, "key-reused", detail)
                });
            }
            let headers = vec![
                ("ETag", format!("\"{}\"", before.revision)),
                ("Idempotency-Replayed", "true".to_owned()),
            ];
            let response =
                Response { status: before.status, kind: "application/json", headers, body: before.body };
            return Ok(Answer::Changed { response, revision: before.revision, binds: true });
        }
        let Applied { tenant: after, entry } = self.book.judge(change, condition, &caller.name, now)?;
        let after = after.ok_or_else(|| internal("a change left no tenant".to_owned()))?;
        let response = tenant(route.status, &after)?;
        if dry_run {
            return Ok(Answer::Now(Response { status: 200, ..response }));
        }
        // What was asked for was so already: it counts when it is so everywhere.
        let Some(entry) = entry else {
            return Ok(Answer::Changed { response, revision: after.revision, binds: true });
        };
        let once = key.as_ref().map(|key| {
            let (status, body, revision) = (response.status, response.body.clone(), after.revision);
            (key.as_str(), Once { fingerprint, status, revision, body, at_ms: now })
        });
        let kept = self.keep.commit(&entry, once.as_ref().map(|(key, once)| (*key, once)));
        kept.map_err(|what| {
            Problem::new(503, "not-kept", format!("the change was not kept, and has not happened: {what}"))
        })?;
        self.book.take(&entry).map_err(|gap| internal(gap.to_string()))?;
        Ok(Answer::Changed { response, revision: entry.revision, binds: entry.binds() })
    }

    fn watch(&self, query: &Query, live: &mut impl Live, waited: Duration) -> Result<Answer, Problem> {
        let after = query.number("after", 0, u64::MAX, 0)?;
        let rows = query.rows()?;
        let wait = Duration::from_millis(query.number("wait_ms", 0, MOST_WAIT, 0)?);
        let who = follows(query, live)?;
        serving(live)?;
        let epoch = query.number("epoch", 0, u64::MAX, self.store.1)?;
        if query.text("store").is_some_and(|store| store != self.store.0) || epoch != self.store.1 {
            return Err(Problem::new(410, "another-store", "this is another store: take the snapshot"));
        }
        if after > self.book.revision() {
            let detail = format!("revision {after} is not there; the last one is {}", self.book.revision());
            return Err(Problem::new(409, "ahead", detail));
        }
        if after == self.book.revision() && waited < wait {
            return Ok(Answer::Later(wait));
        }
        let all = self.keep.audit(after, rows, None).map_err(|what| Problem::new(500, "internal", what))?;
        // A book that began from a snapshot does not have what came before it.
        if all.first().is_some_and(|entry| entry.revision != after + 1) {
            return Err(Problem::new(410, "too-old", "changes so old are not kept: take the snapshot"));
        }
        let next = next(&all, rows, |e| e.revision);
        // Who has not all of it yet may act on none of it.
        let whole = all.last().map_or(after, |entry| entry.revision) == self.book.revision();
        let lease = who.filter(|_| whole).and_then(|(number, life)| live.lease(number, life));
        let ((lease_ms, place), clock) = (lease.unzip(), read_clock(live, waited));
        let page =
            json!({ "entries": all, "next": next, "lease_ms": lease_ms, "place": place, "clock": clock });
        now_told(200, &page)
    }
}

/// What our clock reads as the answer leaves, and for how long the request was held.
fn read_clock(live: &impl Live, held: Duration) -> Value {
    let (by, at_ms) = live.clock();
    json!({ "by": by, "at_ms": at_ms, "held_ms": held.as_millis() as u64 })
}

/// A controller that asks tells which book it holds; its number and life.
fn follows(query: &Query, live: &mut impl Live) -> Result<Option<(u32, u64)>, Problem> {
    if query.text("controller").is_none() {
        return Ok(None);
    }
    let number = query.number("controller", 0, u64::from(u32::MAX), 0)?;
    let number = u32::try_from(number).unwrap_or(u32::MAX);
    let revision = query.number("after", 0, u64::MAX, 0)?;
    let life = query.number("life", 0, u64::MAX, 0)?;
    // Earlier versions tell no life, and what they hold is what they act on.
    let same = if life == 0 { revision } else { 0 };
    let holds = Holds {
        store: query.text("store").unwrap_or("").to_owned(),
        epoch: query.number("epoch", 0, u64::MAX, 0)?,
        revision,
        sum: query.number("sum", 0, u64::from(u32::MAX), 0)? as u32,
        life,
        in_force: query.number("in_force", 0, u64::MAX, same)?,
        kept: query.number("kept", 0, u64::MAX, 0)?,
        ends: query.number("ends", 0, 1, 0)? == 1,
        ended: query.number("ended", 0, 1, 0)? == 1,
    };
    live.follows(number, holds)?;
    Ok(Some((number, life)))
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

fn condition(if_match: Option<&str>) -> Result<Condition, Problem> {
    let Some(told) = if_match else {
        let detail = "send If-Match with the tenant's ETag, or * to change it whatever it is";
        return Err(Problem::new(428, "condition-wanted", detail));
    };
    if told.trim() == "*" {
        return Ok(Condition::Any);
    }
    let number = told.trim().strip_prefix('"').and_then(|t| t.strip_suffix('"')).and_then(|t| t.parse().ok());
    let one =
        || Problem { status: 400, ..Problem::field("If-Match", "one ETag in quotes, such as \"17\", or *") };
    number.map(Condition::Is).ok_or_else(one)
}

fn wants(request: &Request<'_>, kinds: &[&str]) -> Result<(), Problem> {
    if request.kind.is_some_and(|kind| kinds.contains(&kind)) {
        return Ok(());
    }
    let detail = format!("Content-Type is to be {}", kinds.join(" or "));
    Err(Problem { field: Some("Content-Type".to_owned()), ..Problem::new(415, "media-type", detail) })
}

fn json_body(body: &[u8]) -> Result<Value, Problem> {
    serde_json::from_slice(body)
        .map_err(|e| Problem { status: 400, ..Problem::field("the body", format!("no JSON: {e}")) })
}

fn new_tenant(request: &Request<'_>) -> Result<(String, Value), Problem> {
    wants(request, &["application/json"])?;
    let Value::Object(mut body) = json_body(request.body)? else {
        return Err(Problem::field("the body", "a JSON object with the tenant's name"));
    };
    match body.remove("name") {
        Some(Value::String(name)) => Ok((name, Value::Object(body))),
        Some(_) => Err(Problem::field("name", "is to be a string")),
        None => Err(Problem::field("name", "is missing")),
    }
}
