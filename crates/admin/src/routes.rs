//! The table of routes and of the roles that may use them; requests are answered, and the document is made, from it.

use serde::{Deserialize, Serialize};

/// What a key's holder may do; each role includes those before it, apart from [`Role::Controller`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A follower: reads the snapshot and the changes, and reports.
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

/// What a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A page of tenants.
    ListTenants,
    /// Creates a tenant.
    CreateTenant,
    /// One tenant.
    ReadTenant,
    /// Changes a tenant by merge patch.
    ChangeTenant,
    /// Removes a tenant after a grace.
    RemoveTenant,
    /// Rejects new calls of a tenant.
    SuspendTenant,
    /// Accepts calls of a suspended tenant again.
    ResumeTenant,
    /// Usage of one tenant.
    ReadUsage,
    /// A page of the usage of all tenants.
    ListUsage,
    /// A page of the audit trail.
    ListAudit,
    /// All workers.
    ListWorkers,
    /// Drains a worker by hand.
    DrainWorker,
    /// Lets the worker list decide on a worker again.
    UndrainWorker,
    /// Controllers and their revisions.
    ListControllers,
    /// Changes after a revision, as a long poll.
    Watch,
    /// The snapshot of all tenants.
    ReadSnapshot,
    /// The state of the fleet.
    ReadFleet,
    /// Decides which snapshot counts after a loss.
    Recover,
    /// Fences the known incarnations of a controller.
    Fence,
    /// Admits fenced incarnations again.
    Admit,
    /// How far a change has come.
    ReadChange,
    /// Appends entries of a controller's audit log.
    AppendAuditEntries,
    /// The collected audit logs.
    ReadAuditLogs,
    /// Lends shares of limits by reported demand.
    GrantLoans,
    /// The OpenAPI document.
    ReadDocument,
}

/// A query parameter of a route.
#[derive(Clone, Copy, Debug)]
pub struct QueryParameter {
    /// Its name.
    pub name: &'static str,
    /// What it means, for the document.
    pub description: &'static str,
}

const fn parameter(name: &'static str, description: &'static str) -> QueryParameter {
    QueryParameter { name, description }
}

/// A route.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, with `{name}` for a part.
    pub path: &'static str,
    /// The least role that may use it.
    pub role: Role,
    /// What it does.
    pub operation: Operation,
    /// Its name in the document.
    pub id: &'static str,
    /// A summary for the document.
    pub summary: &'static str,
    /// Its query parameters.
    pub query: &'static [QueryParameter],
    /// Whether it requires If-Match.
    pub conditional: bool,
    /// The schema of its body, where it has one.
    pub body: Option<&'static str>,
    /// The schema of its response.
    pub response: &'static str,
    /// The status of success.
    pub status: u16,
}

const PAGE: &[QueryParameter] = &[
    parameter("after", "names after this one; the `next` of the page before"),
    parameter("limit", "at most so many, 1 to 1000"),
];
const CONTROLLER_STATE: &[QueryParameter] = &[
    parameter("controller", "its number, where a controller asks"),
    parameter("store", "of the book that it holds"),
    parameter("epoch", "of that store"),
    parameter("after", "the revision of that book"),
    parameter("sum", "its checksum"),
    INCARNATION,
    IN_FORCE,
    DURABLE,
    STOPS_WITHOUT_LEASE,
    STOPPED,
];
const INCARNATION: QueryParameter = parameter(
    "life",
    "the controller's life, chosen by chance at its start; 0 or not told: an earlier version",
);
const IN_FORCE: QueryParameter = parameter("in_force", "the revision that the thread of its calls acts on");
const DURABLE: QueryParameter = parameter("kept", "the revision that is synced to its disk");
const STOPS_WITHOUT_LEASE: QueryParameter = parameter("ends", "1: it takes no call without a lease");
const STOPPED: QueryParameter =
    parameter("ended", "1: it has heard that it is shut out, and takes no call any more");
const CONTROLLER_NUMBER: QueryParameter = parameter("controller", "the number of the controller");
const DRY_RUN: QueryParameter = parameter("dry_run", "true: the answer as it would be; nothing is changed");

macro_rules! route {
    ($method:literal $path:literal $role:ident $operation:ident $id:literal $summary:literal, $status:literal $response:literal $(, $field:ident: $value:expr)*) => {
        Route { $($field: $value,)* ..Route {
            method: $method, path: $path, role: Role::$role, operation: Operation::$operation, id: $id, summary: $summary,
            query: &[], conditional: false, body: None, response: $response, status: $status,
        } }
    };
}

/// All routes.
pub const ROUTES: &[Route] = &[
    route!("GET" "/v1/tenants" Viewer ListTenants "listTenants" "Tenants by name, in pages", 200 "TenantPage", query: PAGE),
    route!("POST" "/v1/tenants" Admin CreateTenant "createTenant" "Create a tenant", 201 "Tenant", body: Some("NewTenant"), query: &[DRY_RUN]),
    route!("GET" "/v1/tenants/{name}" Viewer ReadTenant "readTenant" "A tenant", 200 "Tenant"),
    route!("PATCH" "/v1/tenants/{name}" Admin ChangeTenant "changeTenant" "Change a tenant by merge patch", 200 "Tenant", conditional: true, body: Some("TenantPatch"), query: &[DRY_RUN]),
    route!("DELETE" "/v1/tenants/{name}" Admin RemoveTenant "removeTenant" "Remove a tenant; open calls have the grace", 202 "Tenant", conditional: true, query: &[parameter("grace_ms", "open calls may go on so long, 0 to 3600000; 10000 where not told"), DRY_RUN]),
    route!("POST" "/v1/tenants/{name}/suspend" Operator SuspendTenant "suspendTenant" "Turn its new calls away; open ones go on", 200 "Tenant", conditional: true, query: &[DRY_RUN]),
    route!("POST" "/v1/tenants/{name}/resume" Operator ResumeTenant "resumeTenant" "Take its calls again", 200 "Tenant", conditional: true, query: &[DRY_RUN]),
    route!("GET" "/v1/tenants/{name}/usage" Viewer ReadUsage "readUsage" "Its calls in hand and counts, at this controller", 200 "Usage"),
    route!("GET" "/v1/usage" Viewer ListUsage "listUsage" "The same of all tenants, in pages", 200 "UsagePage", query: PAGE),
    route!("GET" "/v1/audit" Viewer ListAudit "listAudit" "Who changed what, in order", 200 "AuditPage", query: &[parameter("after", "entries after this revision"), parameter("limit", "at most so many, 1 to 1000"), parameter("tenant", "of this tenant alone")]),
    route!("GET" "/v1/workers" Viewer ListWorkers "listWorkers" "Workers as the controller has them", 200 "WorkerPage"),
    route!("POST" "/v1/workers/{name}/drain" Operator DrainWorker "drainWorker" "Nothing new to it from this controller, whatever the list says", 200 "Worker"),
    route!("POST" "/v1/workers/{name}/undrain" Operator UndrainWorker "undrainWorker" "What the list says of it holds again", 200 "Worker"),
    route!("GET" "/v1/controllers" Viewer ListControllers "listControllers" "Which revision each controller runs", 200 "ControllerPage"),
    route!("GET" "/v1/watch" Controller Watch "watch" "Changes after a revision; waits for one (long poll)", 200 "AuditPage", query: &[parameter("after", "changes after this revision"), parameter("limit", "at most so many, 1 to 1000"), parameter("wait_ms", "wait so long for the first, 0 to 60000"), parameter("store", "the store that the revision is of; 410 where this is another"), parameter("epoch", "the store's epoch; 410 where this is another"), parameter("sum", "the checksum of the book that it holds"), parameter("controller", "its number, where a controller asks: it holds the revision it asks after"), INCARNATION, IN_FORCE, DURABLE, STOPS_WITHOUT_LEASE, STOPPED]),
    route!("GET" "/v1/snapshot" Controller ReadSnapshot "readSnapshot" "All tenants with their revision; 503 while it is open which book stands", 200 "Snapshot", query: CONTROLLER_STATE),
    route!("GET" "/v1/fleet" Viewer ReadFleet "readFleet" "Which book and step each controller is in, and why one waits", 200 "Fleet"),
    route!("POST" "/v1/fleet/recover" Admin Recover "recoverFleet" "Decide which book stands after a loss; shows the difference", 200 "Recovery", query: &[parameter("take", "own, or the number of the controller whose book is to stand"), DRY_RUN]),
    route!("POST" "/v1/fleet/fence" Operator Fence "fenceController" "Shut out the lives of a controller that are known: they get no lease", 200 "Fence", query: &[CONTROLLER_NUMBER]),
    route!("POST" "/v1/fleet/admit" Operator Admit "admitController" "Let them in again, where they have not heard of it", 200 "Fence", query: &[CONTROLLER_NUMBER]),
    route!("GET" "/v1/fleet/change" Viewer ReadChange "readChange" "How far a change is: how many disks hold it, who may still act without it", 200 "Progress", query: &[parameter("revision", "the change; the last one where not told")]),
    route!("POST" "/v1/fleet/records" Controller AppendAuditEntries "deliverRecords" "Lines of a controller's record, in order", 200 "Delivered", body: Some("Lines"), query: &[CONTROLLER_NUMBER]),
    route!("GET" "/v1/fleet/records" Viewer ReadAuditLogs "readRecords" "Whose records were delivered, or a page of one", 200 "Records", query: &[parameter("of", "a controller's number, or administration; not told: whose there are"), parameter("from", "the place of the first line; the `next` of the page before"), parameter("limit", "at most so many, 1 to 1000")]),
    route!("POST" "/v1/fleet/loans" Controller GrantLoans "reportDemand" "What a controller could use of limits, and what it may", 200 "Loans", body: Some("Demands"), query: &[CONTROLLER_NUMBER, INCARNATION]),
    route!("GET" "/v1/openapi.json" Viewer ReadDocument "readDocument" "This document", 200 "Document"),
];

/// What a request's method and path match.
#[derive(Debug)]
pub enum RouteMatch<'a> {
    /// A route, and the part of the path that stands for `{name}`.
    Route(&'static Route, &'a str),
    /// The path exists, for these methods only.
    OtherMethods(Vec<&'static str>),
    /// There is no such path.
    NoSuchPath,
}

/// Finds a route.
pub fn find<'a>(method: &str, path: &'a str) -> RouteMatch<'a> {
    let mut methods = Vec::new();
    for route in ROUTES {
        let Some(name) = matches(route.path, path) else { continue };
        if route.method == method {
            return RouteMatch::Route(route, name);
        }
        methods.push(route.method);
    }
    if methods.is_empty() { RouteMatch::NoSuchPath } else { RouteMatch::OtherMethods(methods) }
}

/// The part of a path that stands for `{name}`; empty where the template has none.
fn matches<'a>(template: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = template.split_once("{name}") else {
        return (template == path).then_some("");
    };
    let name = path.strip_prefix(before)?.strip_suffix(after)?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}
