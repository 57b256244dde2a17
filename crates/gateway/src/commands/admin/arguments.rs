//! Command-line arguments of `admin`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

#[derive(Args)]
pub(super) struct Conditions {
    /// Change the tenant only if it is at this revision; by default the revision is not checked
    #[arg(long, value_name = "REVISION")]
    pub(super) if_revision: Option<u64>,
    /// Show the changes without applying them
    #[arg(long)]
    pub(super) dry_run: bool,
}

#[derive(Subcommand)]
pub(super) enum Action {
    /// Generate an API key; prints the token for its holder and the line for the settings file
    Key {
        /// Name of the holder, as shown in the audit trail
        name: String,
        /// Role of the key
        #[arg(value_parser = ["viewer", "operator", "admin", "controller"])]
        role: String,
    },
    /// List, show, create, suspend, resume or remove tenants
    #[command(subcommand)]
    Tenants(TenantAction),
    /// Change a tenant's limits, classes, models, weight and note with a JSON merge patch, or show the tenant
    Limits {
        /// Name of the tenant
        name: String,
        /// Merge patch, such as '{"limits":{"rate_per_second":50,"open_calls":null}}'; null removes a value. Without a
        /// patch the tenant is shown
        patch: Option<String>,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Show open and held calls, memory of loaded models and call counters, by tenant
    Usage,
    /// List workers, and drain or undrain one manually
    Workers {
        /// Drain this worker until it is undrained
        #[arg(long, value_name = "WORKER", conflicts_with = "undrain")]
        drain: Option<String>,
        /// End the manual drain of this worker; its state in the worker list applies again
        #[arg(long, value_name = "WORKER")]
        undrain: Option<String>,
    },
    /// Show the audit trail: who changed what
    Audit {
        /// Show only entries about this tenant
        #[arg(long)]
        tenant: Option<String>,
        /// Show only entries after this revision
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Show the revision that each controller uses, and when it was last seen
    Controllers,
    /// Write the whole content of a tenant store to a snapshot file; no controller may have the store open
    Snapshot {
        /// File of the tenant store
        store: PathBuf,
        /// Snapshot file to write
        file: PathBuf,
    },
    /// Create a tenant store from a snapshot file
    Restore {
        /// Snapshot file to read
        file: PathBuf,
        /// File of the new tenant store; it must not exist yet
        store: PathBuf,
    },
    /// Print the OpenAPI document of the administration API
    Openapi,
}

#[derive(Subcommand)]
pub(super) enum TenantAction {
    /// List all tenants
    List,
    /// Show a tenant
    Show {
        /// Name of the tenant
        name: String,
    },
    /// Create a tenant
    Create {
        /// Name of the tenant
        name: String,
        /// Fields of the tenant as JSON: limits, classes, weight, models, note
        #[arg(default_value = "{}")]
        spec: String,
        /// Idempotency key: a repeated request with the same key has no further effect
        #[arg(long, value_name = "KEY")]
        once: Option<String>,
        /// Show the tenant without creating it
        #[arg(long)]
        dry_run: bool,
    },
    /// Suspend a tenant: its new calls are rejected
    Suspend {
        /// Name of the tenant
        name: String,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Resume a suspended tenant: its calls are accepted again
    Resume {
        /// Name of the tenant
        name: String,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Remove a tenant; its open calls may complete within a grace period
    Remove {
        /// Name of the tenant
        name: String,
        /// Grace period for open calls, in milliseconds
        #[arg(long, default_value_t = 10_000)]
        grace_ms: u64,
        #[command(flatten)]
        conditions: Conditions,
    },
}
