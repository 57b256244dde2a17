//! What there is, and who may ask for it: one table for answering and for the document.

use serde::{Deserialize, Serialize};

/// What a key's holder may do; each may what those before it may, but for [`Role::Controller`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A controller that follows: the snapshot and the changes.
    Controller,
    /// Reads.
    Viewer,
    /// Suspends and resumes tenants, drains workers.
    Operator,
    /// Everything.
    Admin,
}

impl Role {
    /// A role by its name.
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "controller" => Self::Controller,
            "viewer" => Self::Viewer,
            "operator" => Self::Operator,
            "admin" => Self::Admin,
            _ => return None,
        })
    }
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Operation {
    ListTenants,
    CreateTenant,
    ReadTenant,
    ChangeTenant,
    RemoveTenant,
    SuspendTenant,
    ResumeTenant,
    ReadUsage,
    ListUsage,
    ListAudit,
    ListWorkers,
    DrainWorker,
    UndrainWorker,
    ListControllers,
    Watch,
    ReadSnapshot,
    ReadFleet,
    Recover,
    Fence,
    Admit,
    ReadChange,
    DeliverRecords,
    ReadRecords,
    Lend,
    ReadDocument,
}

/// A route.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, with `{name}` for a part.
    pub path: &'static str,
    /// The least role.
    pub role: Role,
    /// What is done.
    pub operation: Operation,
    /// Its name in the document.
    pub id: &'static str,
    /// For people.
    pub summary: &'static str,
    /// Its query parameters and what they mean.
    pub query: &'static [(&'static str, &'static str)],
    /// It wants If-Match.
    pub conditional: bool,
    /// The schema of its body, where it has one, and of its answer.
    pub body: Option<&'static str>,
    /// See `body`.
    pub answer: &'static str,
    /// Status of success.
    pub status: u16,
}

const PAGE: &[(&str, &str)] = &[
    ("after", "names after this one; the `next` of the page before"),
    ("limit", "at most so many, 1 to 1000"),
];
const HOLDS: &[(&str, &str)] = &[
    ("controller", "its number, where a controller asks"),
    ("store", "of the book that it holds"),
    ("epoch", "of that store"),
    ("after", "the revision of that book"),
    ("sum", "its checksum"),
    LIFE,
    IN_FORCE,
    KEPT,
    ENDS,
    ENDED,
];
const LIFE: (&str, &str) =
    ("life", "the controller's life, chosen by chance at its start; 0 or not told: an earlier version");
const IN_FORCE: (&str, &str) = ("in_force", "the revision that the thread of its calls acts on");
const KEPT: (&str, &str) = ("kept", "the revision that is synced to its disk");
const ENDS: (&str, &str) = ("ends", "1: it takes no call without a lease");
const ENDED: (&str, &str) = ("ended", "1: it has heard that it is shut out, and takes no call any more");
const NUMBER: (&str, &str) = ("controller", "the number of the controller");
const DRY: (&str, &str) = ("dry_run", "true: the answer as it would be; nothing is changed");

macro_rules! route {
    ($method:literal $path:literal $role:ident $operation:ident $id:literal $summary:literal, $status:literal $answer:literal $(, $field:ident: $value:expr)*) => {
        Route { $($field: $value,)* ..Route {
            method: $method, path: $path, role: Role::$role, operation: Operation::$operation, id: $id, summary: $summary,
            query: &[], conditional: false, body: None, answer: $answer, status: $status,
        } }
    };
}

/// All routes.
pub const ROUTES: &[Route] = &[
    route!("GET" "/v1/tenants" Viewer ListTenants "listTenants" "Tenants by name, in pages", 200 "TenantPage", query: PAGE),
    route!("POST" "/v1/tenants" Admin CreateTenant "createTenant" "Create a tenant", 201 "Tenant", body: Some("NewTenant"), query: &[DRY]),
    route!("GET" "/v1/tenants/{name}" Viewer ReadTenant "readTenant" "A tenant", 200 "Tenant"),
    route!("PATCH" "/v1/tenants/{name}" Admin ChangeTenant "changeTenant" "Change a tenant by merge patch", 200 "Tenant", conditional: true, body: Some("TenantPatch"), query: &[DRY]),
    route!("DELETE" "/v1/tenants/{name}" Admin RemoveTenant "removeTenant" "Remove a tenant; open calls have the grace", 202 "Tenant", conditional: true, query: &[("grace_ms", "open calls may go on so long, 0 to 3600000; 10000 where not told"), DRY]),
    route!("POST" "/v1/tenants/{name}/suspend" Operator SuspendTenant "suspendTenant" "Turn its new calls away; open ones go on", 200 "Tenant", conditional: true, query: &[DRY]),
    route!("POST" "/v1/tenants/{name}/resume" Operator ResumeTenant "resumeTenant" "Take its calls again", 200 "Tenant", conditional: true, query: &[DRY]),
    route!("GET" "/v1/tenants/{name}/usage" Viewer ReadUsage "readUsage" "Its calls in hand and counts, at this controller", 200 "Usage"),
    route!("GET" "/v1/usage" Viewer ListUsage "listUsage" "The same of all tenants, in pages", 200 "UsagePage", query: PAGE),
    route!("GET" "/v1/audit" Viewer ListAudit "listAudit" "Who changed what, in order", 200 "AuditPage", query: &[("after", "entries after this revision"), ("limit", "at most so many, 1 to 1000"), ("tenant", "of this tenant alone")]),
    route!("GET" "/v1/workers" Viewer ListWorkers "listWorkers" "Workers as the controller has them", 200 "WorkerPage"),
    route!("POST" "/v1/workers/{name}/drain" Operator DrainWorker "drainWorker" "Nothing new to it from this controller, whatever the list says", 200 "Worker"),
    route!("POST" "/v1/workers/{name}/undrain" Operator UndrainWorker "undrainWorker" "What the list says of it holds again", 200 "Worker"),
    route!("GET" "/v1/controllers" Viewer ListControllers "listControllers" "Which revision each controller runs", 200 "ControllerPage"),
    route!("GET" "/v1/watch" Controller Watch "watch" "Changes after a revision; waits for one (long poll)", 200 "AuditPage", query: &[("after", "changes after this revision"), ("limit", "at most so many, 1 to 1000"), ("wait_ms", "wait so long for the first, 0 to 60000"), ("store", "the store that the revision is of; 410 where this is another"), ("epoch", "the store's epoch; 410 where this is another"), ("sum", "the checksum of the book that it holds"), ("controller", "its number, where a controller asks: it holds the revision it asks after"), LIFE, IN_FORCE, KEPT, ENDS, ENDED]),
    route!("GET" "/v1/snapshot" Controller ReadSnapshot "readSnapshot" "All tenants with their revision; 503 while it is open which book stands", 200 "Snapshot", query: HOLDS),
    route!("GET" "/v1/fleet" Viewer ReadFleet "readFleet" "Which book and step each controller is in, and why one waits", 200 "Fleet"),
    route!("POST" "/v1/fleet/recover" Admin Recover "recoverFleet" "Decide which book stands after a loss; shows the difference", 200 "Recovery", query: &[("take", "own, or the number of the controller whose book is to stand"), DRY]),
    route!("POST" "/v1/fleet/fence" Operator Fence "fenceController" "Shut out the lives of a controller that are known: they get no lease", 200 "Fence", query: &[NUMBER]),
    route!("POST" "/v1/fleet/admit" Operator Admit "admitController" "Let them in again, where they have not heard of it", 200 "Fence", query: &[NUMBER]),
    route!("GET" "/v1/fleet/change" Viewer ReadChange "readChange" "How far a change is: how many disks hold it, who may still act without it", 200 "Progress", query: &[("revision", "the change; the last one where not told")]),
    route!("POST" "/v1/fleet/records" Controller DeliverRecords "deliverRecords" "Lines of a controller's record, in order", 200 "Delivered", body: Some("Lines"), query: &[NUMBER]),
    route!("GET" "/v1/fleet/records" Viewer ReadRecords "readRecords" "Whose records were delivered, or a page of one", 200 "Records", query: &[("of", "a controller's number, or administration; not told: whose there are"), ("from", "the place of the first line; the `next` of the page before"), ("limit", "at most so many, 1 to 1000")]),
    route!("POST" "/v1/fleet/loans" Controller Lend "reportDemand" "What a controller could use of limits, and what it may", 200 "Loans", body: Some("Demands"), query: &[NUMBER, LIFE]),
    route!("GET" "/v1/openapi.json" Viewer ReadDocument "readDocument" "This document", 200 "Document"),
];

/// What a path matches.
#[derive(Debug)]
pub enum Found<'a> {
    /// This route, and the part that stands for `{name}`.
    Route(&'static Route, &'a str),
    /// The path is there, for these methods.
    Methods(Vec<&'static str>),
    /// No such path.
    None,
}

/// Finds a route.
pub fn find<'a>(method: &str, path: &'a str) -> Found<'a> {
    let mut methods = Vec::new();
    for route in ROUTES {
        let Some(name) = matches(route.path, path) else { continue };
        if route.method == method {
            return Found::Route(route, name);
        }
        methods.push(route.method);
    }
    if methods.is_empty() { Found::None } else { Found::Methods(methods) }
}

/// The part of a path that stands for `{name}`; empty where the template has none.
fn matches<'a>(template: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = template.split_once("{name}") else {
        return (template == path).then_some("");
    };
    let name = path.strip_prefix(before)?.strip_suffix(after)?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}
