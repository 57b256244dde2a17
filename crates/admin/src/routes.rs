//! The table of routes, with the role that each requires. It determines how requests are dispatched and what the
//! OpenAPI document contains.

use serde::{Deserialize, Serialize};

/// The rights that an API key grants. Operators may do all that viewers may, and admins may do everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// For followers: reads the snapshot and the changes, and sends reports.
    Controller,
    /// Reads all tenants, usage, workers, logs and the state of the fleet.
    Viewer,
    /// Also suspends and resumes tenants, drains workers, and fences controllers.
    Operator,
    /// Also creates, changes and removes tenants, and decides recoveries.
    Admin,
}

impl Role {
    /// The role with this name in the settings; `None` if no role has it.
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

/// The operation that a route executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Lists tenants, in pages.
    ListTenants,
    /// Creates a tenant.
    CreateTenant,
    /// Returns a tenant.
    ReadTenant,
    /// Changes a tenant by merge patch.
    ChangeTenant,
    /// Removes a tenant after a grace period.
    RemoveTenant,
    /// Rejects new calls of a tenant.
    SuspendTenant,
    /// Accepts calls of a suspended tenant again.
    ResumeTenant,
    /// Returns the usage of a tenant.
    ReadUsage,
    /// Lists the usage of all tenants, in pages.
    ListUsage,
    /// Lists the entries of the audit trail, in pages.
    ListAudit,
    /// Lists all workers.
    ListWorkers,
    /// Drains a worker by hand: this controller assigns nothing new to it, whatever the worker list says.
    DrainWorker,
    /// Ends a worker's drain by hand, so that the worker list determines its state again.
    UndrainWorker,
    /// Lists controllers and the revision that is in force at each.
    ListControllers,
    /// Returns the changes after a revision, as a long poll.
    Watch,
    /// Returns the snapshot of all tenants.
    ReadSnapshot,
    /// Returns the state of the fleet.
    ReadFleet,
    /// Decides which snapshot is authoritative after a loss.
    Recover,
    /// Fences the known incarnations of a controller.
    Fence,
    /// Admits fenced incarnations of a controller again.
    Admit,
    /// Returns the progress of a change.
    ReadChange,
    /// Appends entries of a controller's audit log.
    AppendAuditEntries,
    /// Returns a list of the collected audit logs, or a page of one.
    ReadAuditLogs,
    /// Lends shares of limits to a controller according to the demand that it reports.
    GrantLoans,
    /// Returns the OpenAPI document.
    ReadDocument,
}

/// A query parameter of a route.
#[derive(Clone, Copy, Debug)]
pub struct QueryParameter {
    /// The name of the parameter in the query string.
    pub name: &'static str,
    /// The parameter's description in the OpenAPI document.
    pub description: &'static str,
}

const fn parameter(name: &'static str, description: &'static str) -> QueryParameter {
    QueryParameter { name, description }
}

/// A method and path of the API, with its properties.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The HTTP method, such as `GET`.
    pub method: &'static str,
    /// The path, in which `{name}` stands for one variable segment.
    pub path: &'static str,
    /// The lowest role that may use the route.
    pub role: Role,
    /// The operation that the route executes.
    pub operation: Operation,
    /// The `operationId` in the OpenAPI document.
    pub operation_id: &'static str,
    /// The summary in the OpenAPI document.
    pub summary: &'static str,
    /// The query parameters that the route accepts.
    pub query: &'static [QueryParameter],
    /// Whether requests must have an If-Match header.
    pub conditional: bool,
    /// The schema of the request's body, if there is one.
    pub body: Option<&'static str>,
    /// The schema of a successful response.
    pub response: &'static str,
    /// The status code of a successful response.
    pub status: u16,
}

const PAGE: &[QueryParameter] = &[
    parameter("after", "return names after this one: the `next` of the previous page"),
    parameter("limit", "maximum number of rows, 1 to 1000"),
];
const CONTROLLER_STATE: &[QueryParameter] = &[
    parameter("controller", "number of the controller, if a controller sends the request"),
    parameter("store", "name of the store that the controller's snapshot is of"),
    parameter("epoch", "epoch of that store"),
    parameter("after", "revision of the controller's snapshot"),
    parameter("sum", "CRC-32 of the controller's snapshot"),
    INCARNATION,
    IN_FORCE,
    DURABLE,
    STOPS_WITHOUT_LEASE,
    STOPPED,
];
const INCARNATION: QueryParameter = parameter(
    "life",
    "incarnation of the controller, a random number chosen at its start; 0 or absent: an earlier version",
);
const IN_FORCE: QueryParameter = parameter("in_force", "revision that the controller's call thread acts on");
const DURABLE: QueryParameter = parameter("kept", "revision that is synced to the controller's disk");
const STOPS_WITHOUT_LEASE: QueryParameter =
    parameter("ends", "1: the controller accepts no calls without a lease");
const STOPPED: QueryParameter =
    parameter("ended", "1: the controller knows that it is fenced and has stopped accepting calls");
const CONTROLLER_NUMBER: QueryParameter = parameter("controller", "number of the controller");
const DRY_RUN: QueryParameter = parameter("dry_run", "true: return the result without changing anything");

macro_rules! route {
    ($method:literal $path:literal $role:ident $operation:ident $id:literal $summary:literal, $status:literal $response:literal $(, $field:ident: $value:expr)*) => {
        Route { $($field: $value,)* ..Route {
            method: $method, path: $path, role: Role::$role, operation: Operation::$operation, operation_id: $id, summary: $summary,
            query: &[], conditional: false, body: None, response: $response, status: $status,
        } }
    };
}

/// All routes of the API.
pub const ROUTES: &[Route] = &[
    route!("GET" "/v1/tenants" Viewer ListTenants "listTenants" "List tenants by name, in pages", 200 "TenantPage", query: PAGE),
    route!("POST" "/v1/tenants" Admin CreateTenant "createTenant" "Create a tenant", 201 "Tenant", body: Some("NewTenant"), query: &[DRY_RUN]),
    route!("GET" "/v1/tenants/{name}" Viewer ReadTenant "readTenant" "Read a tenant", 200 "Tenant"),
    route!("PATCH" "/v1/tenants/{name}" Admin ChangeTenant "changeTenant" "Change a tenant by merge patch", 200 "Tenant", conditional: true, body: Some("TenantPatch"), query: &[DRY_RUN]),
    route!("DELETE" "/v1/tenants/{name}" Admin RemoveTenant "removeTenant" "Remove a tenant after a grace period for its open calls", 202 "Tenant", conditional: true, query: &[parameter("grace_ms", "grace period of open calls in milliseconds, 0 to 3600000; default 10000"), DRY_RUN]),
    route!("POST" "/v1/tenants/{name}/suspend" Operator SuspendTenant "suspendTenant" "Reject new calls of a tenant; open calls continue", 200 "Tenant", conditional: true, query: &[DRY_RUN]),
    route!("POST" "/v1/tenants/{name}/resume" Operator ResumeTenant "resumeTenant" "Accept calls of a suspended tenant again", 200 "Tenant", conditional: true, query: &[DRY_RUN]),
    route!("GET" "/v1/tenants/{name}/usage" Viewer ReadUsage "readUsage" "Open calls and call counts of a tenant at this controller", 200 "Usage"),
    route!("GET" "/v1/usage" Viewer ListUsage "listUsage" "List the usage of all tenants by name, in pages", 200 "UsagePage", query: PAGE),
    route!("GET" "/v1/audit" Viewer ListAudit "listAudit" "List the audit trail of tenant changes, in order", 200 "AuditPage", query: &[parameter("after", "return entries after this revision"), parameter("limit", "maximum number of entries, 1 to 1000"), parameter("tenant", "return entries of this tenant only")]),
    route!("GET" "/v1/workers" Viewer ListWorkers "listWorkers" "List the workers that the controller knows", 200 "WorkerPage"),
    route!("POST" "/v1/workers/{name}/drain" Operator DrainWorker "drainWorker" "Assign nothing new from this controller to a worker, whatever the worker list says", 200 "Worker"),
    route!("POST" "/v1/workers/{name}/undrain" Operator UndrainWorker "undrainWorker" "End a drain by hand, so that the worker list determines the worker's state again", 200 "Worker"),
    route!("GET" "/v1/controllers" Viewer ListControllers "listControllers" "List controllers and the revision that is in force at each", 200 "ControllerPage"),
    route!("GET" "/v1/watch" Controller Watch "watch" "Changes after a revision; waits for one (long poll)", 200 "AuditPage", query: &[parameter("after", "return changes after this revision"), parameter("limit", "maximum number of changes, 1 to 1000"), parameter("wait_ms", "maximum time to wait for a change in milliseconds, 0 to 60000"), parameter("store", "name of the store that the revision belongs to; 410 if this is another store"), parameter("epoch", "epoch of that store; 410 if this store has another epoch"), parameter("sum", "CRC-32 of the controller's snapshot"), parameter("controller", "number of the controller, if a controller sends the request; its snapshot is at the revision `after`"), INCARNATION, IN_FORCE, DURABLE, STOPS_WITHOUT_LEASE, STOPPED]),
    route!("GET" "/v1/snapshot" Controller ReadSnapshot "readSnapshot" "All tenants with their revision; 503 while the fleet has not agreed on a snapshot", 200 "Snapshot", query: CONTROLLER_STATE),
    route!("GET" "/v1/fleet" Viewer ReadFleet "readFleet" "Snapshot version of each controller, and why the fleet waits for a recovery", 200 "Fleet"),
    route!("POST" "/v1/fleet/recover" Admin Recover "recoverFleet" "Decide which snapshot is authoritative after a loss; returns the differences", 200 "Recovery", query: &[parameter("take", "own, or the number of the controller whose snapshot is to be authoritative"), DRY_RUN]),
    route!("POST" "/v1/fleet/fence" Operator Fence "fenceController" "Fence the known incarnations of a controller: they get no lease", 200 "Fence", query: &[CONTROLLER_NUMBER]),
    route!("POST" "/v1/fleet/admit" Operator Admit "admitController" "Admit fenced incarnations of a controller again, unless they know of the fence already", 200 "Fence", query: &[CONTROLLER_NUMBER]),
    route!("GET" "/v1/fleet/change" Viewer ReadChange "readChange" "Progress of a change: how many controllers have persisted it, and which may still act without it", 200 "Progress", query: &[parameter("revision", "revision of the change; default: the last one")]),
    route!("POST" "/v1/fleet/records" Controller AppendAuditEntries "deliverRecords" "Append lines to the collected audit log of a controller, in order", 200 "Delivered", body: Some("Lines"), query: &[CONTROLLER_NUMBER]),
    route!("GET" "/v1/fleet/records" Viewer ReadAuditLogs "readRecords" "List the collected audit logs, or read a page of one", 200 "Records", query: &[parameter("of", "owner of the log: a controller's number, or administration; absent: list all logs"), parameter("from", "index of the first line: the `next` of the previous page"), parameter("limit", "maximum number of lines, 1 to 1000")]),
    route!("POST" "/v1/fleet/loans" Controller GrantLoans "reportDemand" "Report a controller's demand for limits; returns its loans", 200 "Loans", body: Some("Demands"), query: &[CONTROLLER_NUMBER, INCARNATION]),
    route!("GET" "/v1/openapi.json" Viewer ReadDocument "readDocument" "This document", 200 "Document"),
];

/// The result of looking up a request's method and path in the table of routes.
#[derive(Debug)]
pub enum RouteMatch<'a> {
    /// A route, and the part of the path that stands for `{name}`.
    Route(&'static Route, &'a str),
    /// The path exists, but only with these methods.
    OtherMethods(Vec<&'static str>),
    /// No route has this path.
    NoSuchPath,
}

/// Finds the route of a method and a path.
pub fn find<'a>(method: &str, path: &'a str) -> RouteMatch<'a> {
    let mut methods = Vec::new();
    for route in ROUTES {
        let Some(name) = match_path(route.path, path) else { continue };
        if route.method == method {
            return RouteMatch::Route(route, name);
        }
        methods.push(route.method);
    }
    if methods.is_empty() { RouteMatch::NoSuchPath } else { RouteMatch::OtherMethods(methods) }
}

/// The part of a path that stands for `{name}`, which is empty if the template has no `{name}`. `None` if the path does
/// not match the template.
fn match_path<'a>(template: &str, path: &'a str) -> Option<&'a str> {
    let Some((before, after)) = template.split_once("{name}") else {
        return (template == path).then_some("");
    };
    let name = path.strip_prefix(before)?.strip_suffix(after)?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}
