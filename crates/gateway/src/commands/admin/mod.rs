//! `admin`: the administration from the command line, over its API.

mod client;
mod table;

use std::path::PathBuf;

use clap::{Args, Subcommand};
use nettleferry_tenant_store::{Snapshot, Store};
use serde_json::{Value, json};

use super::{CommandError, announce, read};
pub use client::{Api, Client, escaped};

/// Administer tenants, limits, workers and the audit trail of a running controller.
#[derive(Args)]
pub struct Admin {
    #[command(flatten)]
    api: Api,
    /// JSON for programs instead of tables
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Args)]
struct Conditions {
    /// Only if the tenant is still at this revision; else whatever it is
    #[arg(long, value_name = "REVISION")]
    if_revision: Option<u64>,
    /// Show what would change, and change nothing
    #[arg(long)]
    dry_run: bool,
}

#[derive(Subcommand)]
enum What {
    /// Make a key: the token for its holder, the line for the settings
    Key {
        /// Who it is, in the audit trail
        name: String,
        /// viewer, operator, admin or controller
        #[arg(value_parser = ["viewer", "operator", "admin", "controller"])]
        role: String,
    },
    /// Tenants: list, show, create, suspend, resume, remove
    #[command(subcommand)]
    Tenants(Tenants),
    /// A tenant's limits, rights, weight and note: set them by a merge patch, or show them
    Limits {
        /// The tenant
        name: String,
        /// Such as '{"limits":{"rate_per_second":50,"open_calls":null}}'; null takes away. None: show
        patch: Option<String>,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Calls in hand and counts, by tenant
    Usage,
    /// Workers: list, drain by hand, undrain
    Workers {
        /// Drain this worker
        #[arg(long, value_name = "WORKER", conflicts_with = "undrain")]
        drain: Option<String>,
        /// Let the list decide on this worker again
        #[arg(long, value_name = "WORKER")]
        undrain: Option<String>,
    },
    /// Who changed what
    Audit {
        /// Of this tenant alone
        #[arg(long)]
        tenant: Option<String>,
        /// After this revision
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Which revision each controller runs
    Controllers,
    /// Write all of a store that no controller has open to a snapshot file
    Snapshot {
        /// The store
        store: PathBuf,
        /// The snapshot
        file: PathBuf,
    },
    /// Fill a new store from a snapshot file
    Restore {
        /// The snapshot
        file: PathBuf,
        /// The store: a file that is not there yet
        store: PathBuf,
    },
    /// Print the API's OpenAPI document
    Openapi,
}

#[derive(Subcommand)]
enum Tenants {
    /// All of them
    List,
    /// One
    Show {
        /// Its name
        name: String,
    },
    /// A new one
    Create {
        /// Its name
        name: String,
        /// What is said of it, as JSON: limits, classes, weight, models, note
        #[arg(default_value = "{}")]
        spec: String,
        /// A request that comes again under the same key is not done again
        #[arg(long, value_name = "KEY")]
        once: Option<String>,
        /// Show what would be made, and make nothing
        #[arg(long)]
        dry_run: bool,
    },
    /// Turn its new calls away
    Suspend {
        /// Its name
        name: String,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Take its calls again
    Resume {
        /// Its name
        name: String,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Remove it; its open calls may go on for the grace
    Remove {
        /// Its name
        name: String,
        /// Milliseconds
        #[arg(long, default_value_t = 10_000)]
        grace_ms: u64,
        #[command(flatten)]
        conditions: Conditions,
    },
}

impl Admin {
    pub fn run(self) -> Result<u8, CommandError> {
        match &self.what {
            What::Key { name, role } => {
                let (token, hash) = nettleferry_administration::make_key(name).map_err(CommandError::File)?;
                announce(&format!("token: {token}"))?;
                announce(&format!("settings: (key {name} {role} \"{hash}\")"))?;
                return Ok(0);
            }
            What::Snapshot { store, file } => {
                let told = |e: &dyn std::fmt::Display| CommandError::File(e.to_string());
                let (store, book) = Store::open(store).map_err(|e| told(&e))?;
                store.snapshot().map_err(|e| told(&e))?.write(file).map_err(|e| told(&e))?;
                announce(&format!("{} tenants at revision {}", book.tenants().len(), book.revision()))?;
                return Ok(0);
            }
            What::Restore { file, store } => return restore(file, store),
            What::Openapi => {
                announce(&format!("{:#}", nettleferry_admin::openapi::document()))?;
                return Ok(0);
            }
            _ => {}
        }
        let mut client = Client::new(&self.api)?;
        self.over(&mut client)
    }

    fn over(&self, client: &mut Client) -> Result<u8, CommandError> {
        match &self.what {
            What::Tenants(Tenants::List) => {
                let all = client.pages("/v1/tenants", "tenants")?;
                self.show(&all, &["name", "state", "revision", "limits", "models", "note"])
            }
            What::Tenants(Tenants::Show { name }) => self.one(&client.get(&tenant(name))?),
            What::Tenants(Tenants::Create { name, spec, once, dry_run }) => {
                let mut body: Value = serde_json::from_str(spec)
                    .map_err(|e| CommandError::Usage(format!("the tenant's JSON: {e}")))?;
                match &mut body {
                    Value::Object(body) => _ = body.insert("name".to_owned(), json!(name)),
                    _ => return Err(CommandError::Usage("the tenant's JSON is to be an object".to_owned())),
                }
                let target = if *dry_run { "/v1/tenants?dry_run=true" } else { "/v1/tenants" };
                let once: Vec<(&str, &str)> =
                    once.iter().map(|key| ("Idempotency-Key", key.as_str())).collect();
                let after = client.ask("POST", target, &once, Some(&body))?;
                if *dry_run { self.difference(&json!({}), &after) } else { self.one(&after) }
            }
            What::Tenants(Tenants::Suspend { name, conditions }) => {
                self.change(client, "POST", name, "/suspend", conditions, None)
            }
            What::Tenants(Tenants::Resume { name, conditions }) => {
                self.change(client, "POST", name, "/resume", conditions, None)
            }
            What::Tenants(Tenants::Remove { name, grace_ms, conditions }) => {
                self.change(client, "DELETE", name, &format!("?grace_ms={grace_ms}"), conditions, None)
            }
            What::Limits { name, patch: None, .. } => self.one(&client.get(&tenant(name))?),
            What::Limits { name, patch: Some(patch), conditions } => {
                let patch = serde_json::from_str(patch)
                    .map_err(|e| CommandError::Usage(format!("the patch: {e}")))?;
                self.change(client, "PATCH", name, "", conditions, Some(&patch))
            }
            What::Usage => {
                let all = client.pages("/v1/usage", "usage")?;
                let columns = [
                    "tenant",
                    "open_calls",
                    "held_calls",
                    "loaded_memory_bytes",
                    "admitted",
                    "refused",
                    "ends",
                ];
                self.show(&all, &columns)
            }
            What::Workers { drain, undrain } => {
                for (name, what) in [(drain, "drain"), (undrain, "undrain")] {
                    if let Some(name) = name {
                        client.ask(
                            "POST",
                            &format!("/v1/workers/{}/{what}", client::escaped(name)),
                            &[],
                            None,
                        )?;
                    }
                }
                let all = client.get("/v1/workers")?;
                self.show(rows(&all, "workers"), &["name", "address", "zone", "listed", "drained"])
            }
            What::Audit { tenant, after } => {
                let of = tenant.as_ref().map_or(String::new(), |t| format!("&tenant={}", client::escaped(t)));
                let all = client.get(&format!("/v1/audit?after={after}&limit=1000{of}"))?;
                self.show(rows(&all, "entries"), &["revision", "at_ms", "who", "action", "tenant"])
            }
            What::Controllers => {
                let all = client.get("/v1/controllers")?;
                self.show(rows(&all, "controllers"), &["controller", "revision", "seen_ms_ago"])
            }
            What::Key { .. } | What::Snapshot { .. } | What::Restore { .. } | What::Openapi => Ok(0),
        }
    }

    fn change(
        &self,
        client: &mut Client,
        method: &str,
        name: &str,
        more: &str,
        conditions: &Conditions,
        patch: Option<&Value>,
    ) -> Result<u8, CommandError> {
        let before = client.get(&tenant(name))?;
        let condition = conditions.if_revision.map_or("*".to_owned(), |r| format!("\"{r}\""));
        let dry = match (conditions.dry_run, more.contains('?')) {
            (false, _) => "",
            (true, false) => "?dry_run=true",
            (true, true) => "&dry_run=true",
        };
        let target = format!("{}{more}{dry}", tenant(name));
        let after = client.ask(method, &target, &[("If-Match", &condition)], patch)?;
        if conditions.dry_run { self.difference(&before, &after) } else { self.one(&after) }
    }

    fn show(&self, rows: &[Value], columns: &[&str]) -> Result<u8, CommandError> {
        let text = if self.json { format!("{:#}", json!(rows)) } else { table::rows(rows, columns) };
        announce(&text)?;
        Ok(0)
    }

    fn one(&self, value: &Value) -> Result<u8, CommandError> {
        let text = if self.json { format!("{value:#}") } else { table::fields(value) };
        announce(&text)?;
        Ok(0)
    }

    fn difference(&self, before: &Value, after: &Value) -> Result<u8, CommandError> {
        if self.json {
            return self.one(&json!({ "before": before, "after": after, "dry_run": true }));
        }
        let lines = table::difference(before, after);
        announce(if lines.is_empty() { "nothing would change" } else { &lines })?;
        Ok(0)
    }
}

fn restore(file: &std::path::Path, store: &std::path::Path) -> Result<u8, CommandError> {
    let told = |e: &dyn std::fmt::Display| CommandError::File(e.to_string());
    let snapshot = Snapshot::read(file).map_err(|e| told(&e))?;
    if store.exists() {
        let what = format!("{} is there; move it away first: a snapshot fills a new store", store.display());
        return Err(CommandError::File(what));
    }
    let (mut store, _) = Store::open(store).map_err(|e| told(&e))?;
    store.restore(&snapshot, nettleferry_net::clock::wall() / 1000).map_err(|e| told(&e))?;
    announce(&format!("{} tenants at revision {}", snapshot.tenants.len(), snapshot.revision))?;
    Ok(0)
}

fn tenant(name: &str) -> String {
    format!("/v1/tenants/{}", client::escaped(name))
}

fn rows<'a>(page: &'a Value, key: &str) -> &'a [Value] {
    page[key].as_array().map_or(&[], Vec::as_slice)
}

/// The key of a file or of the environment.
fn token(api: &Api) -> Result<String, CommandError> {
    if let Some(file) = &api.key_file {
        return Ok(read(file)?.trim().to_owned());
    }
    std::env::var("NETTLEFERRY_KEY").map_err(|_| {
        CommandError::Usage("no key: --key-file FILE, or NETTLEFERRY_KEY in the environment".to_owned())
    })
}
