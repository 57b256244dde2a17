//! The subcommands of `admin` that send requests to a running controller.

use serde_json::{Value, json};

use super::super::error::{CommandError, UsageError};
use super::arguments::{Action, Conditions, TenantAction};
use super::client::{Client, percent_encoded};
use super::printer::Printer;

const TENANT_COLUMNS: [&str; 6] = ["name", "state", "revision", "limits", "models", "note"];
const USAGE_COLUMNS: [&str; 7] =
    ["tenant", "open_calls", "held_calls", "loaded_memory_bytes", "admitted", "refused", "ends"];
const WORKER_COLUMNS: [&str; 5] = ["name", "address", "zone", "listed", "drained"];
const AUDIT_COLUMNS: [&str; 5] = ["revision", "at_ms", "who", "action", "tenant"];
const CONTROLLER_COLUMNS: [&str; 3] = ["controller", "revision", "seen_ms_ago"];

/// A request that changes one tenant.
struct Change<'a> {
    method: &'static str,
    /// Text appended to the tenant's path: an action such as `/suspend`, or a query.
    suffix: &'a str,
    patch: Option<&'a Value>,
}

/// Sends the requests of a subcommand and prints their responses.
pub(super) struct Requests {
    pub(super) client: Client,
    pub(super) printer: Printer,
}

impl Requests {
    /// Runs one subcommand. Those that need no running controller do nothing here; [`super::Admin::run`] handles them.
    pub(super) fn run(&mut self, action: &Action) -> Result<(), CommandError> {
        match action {
            Action::Tenants(action) => self.tenants(action),
            Action::Limits { name, patch: None, .. } => self.show_tenant(name),
            Action::Limits { name, patch: Some(patch), conditions } => {
                let patch: Value = serde_json::from_str(patch).map_err(UsageError::PatchJson)?;
                let change = Change { method: "PATCH", suffix: "", patch: Some(&patch) };
                self.change(name, &change, conditions)
            }
            Action::Usage => {
                let usage = self.client.get_pages("/v1/usage", "usage")?;
                self.printer.rows(&usage, &USAGE_COLUMNS)
            }
            Action::Workers { drain, undrain } => self.workers(drain.as_deref(), undrain.as_deref()),
            Action::Audit { tenant, after } => self.audit(tenant.as_deref(), *after),
            Action::Controllers => {
                let page = self.client.get("/v1/controllers")?;
                self.printer.rows(rows(&page, "controllers"), &CONTROLLER_COLUMNS)
            }
            Action::Key { .. } | Action::Snapshot { .. } | Action::Restore { .. } | Action::Openapi => Ok(()),
        }
    }

    fn tenants(&mut self, action: &TenantAction) -> Result<(), CommandError> {
        let post = |suffix| Change { method: "POST", suffix, patch: None };
        match action {
            TenantAction::List => {
                let tenants = self.client.get_pages("/v1/tenants", "tenants")?;
                self.printer.rows(&tenants, &TENANT_COLUMNS)
            }
            TenantAction::Show { name } => self.show_tenant(name),
            TenantAction::Create { name, spec, once, dry_run } => {
                let body = new_tenant(name, spec)?;
                self.create(&body, once.as_deref(), *dry_run)
            }
            TenantAction::Suspend { name, conditions } => self.change(name, &post("/suspend"), conditions),
            TenantAction::Resume { name, conditions } => self.change(name, &post("/resume"), conditions),
            TenantAction::Remove { name, grace_ms, conditions } => {
                let suffix = format!("?grace_ms={grace_ms}");
                self.change(name, &Change { method: "DELETE", suffix: &suffix, patch: None }, conditions)
            }
        }
    }

    fn show_tenant(&mut self, name: &str) -> Result<(), CommandError> {
        let tenant = self.client.get(&tenant_path(name))?;
        self.printer.object(&tenant)
    }

    fn create(&mut self, body: &Value, once: Option<&str>, dry_run: bool) -> Result<(), CommandError> {
        let target = if dry_run { "/v1/tenants?dry_run=true" } else { "/v1/tenants" };
        let headers: Vec<(&str, &str)> = once.iter().map(|key| ("Idempotency-Key", *key)).collect();
        let created = self.client.request("POST", target, &headers, Some(body))?;
        if dry_run { self.printer.difference(&json!({}), &created) } else { self.printer.object(&created) }
    }

    fn change(&mut self, name: &str, change: &Change, conditions: &Conditions) -> Result<(), CommandError> {
        let path = tenant_path(name);
        let before = self.client.get(&path)?;
        let if_match = conditions.if_revision.map_or("*".to_owned(), |revision| format!("\"{revision}\""));
        let dry_run = match (conditions.dry_run, change.suffix.contains('?')) {
            (false, _) => "",
            (true, false) => "?dry_run=true",
            (true, true) => "&dry_run=true",
        };
        let target = format!("{path}{}{dry_run}", change.suffix);
        let headers = [("If-Match", if_match.as_str())];
        let after = self.client.request(change.method, &target, &headers, change.patch)?;
        if conditions.dry_run {
            self.printer.difference(&before, &after)
        } else {
            self.printer.object(&after)
        }
    }

    fn workers(&mut self, drain: Option<&str>, undrain: Option<&str>) -> Result<(), CommandError> {
        for (name, operation) in [(drain, "drain"), (undrain, "undrain")] {
            if let Some(name) = name {
                let target = format!("/v1/workers/{}/{operation}", percent_encoded(name));
                self.client.request("POST", &target, &[], None)?;
            }
        }
        let page = self.client.get("/v1/workers")?;
        self.printer.rows(rows(&page, "workers"), &WORKER_COLUMNS)
    }

    fn audit(&mut self, tenant: Option<&str>, after: u64) -> Result<(), CommandError> {
        let filter = tenant.map_or(String::new(), |tenant| format!("&tenant={}", percent_encoded(tenant)));
        let page = self.client.get(&format!("/v1/audit?after={after}&limit=1000{filter}"))?;
        self.printer.rows(rows(&page, "entries"), &AUDIT_COLUMNS)
    }
}

/// Builds the JSON of a new tenant from its fields in `spec` and its name.
fn new_tenant(name: &str, spec: &str) -> Result<Value, UsageError> {
    let mut body: Value = serde_json::from_str(spec).map_err(UsageError::TenantJson)?;
    let fields = body.as_object_mut().ok_or(UsageError::TenantNotObject)?;
    fields.insert("name".to_owned(), json!(name));
    Ok(body)
}

fn tenant_path(name: &str) -> String {
    format!("/v1/tenants/{}", percent_encoded(name))
}

fn rows<'a>(page: &'a Value, key: &str) -> &'a [Value] {
    page[key].as_array().map_or(&[], Vec::as_slice)
}
