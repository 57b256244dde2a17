//! The arguments of `admin`.

use std::path::PathBuf;

use clap::{Args, Subcommand};

#[derive(Args)]
pub(super) struct Conditions {
    /// Only if the tenant is still at this revision; else whatever it is
    #[arg(long, value_name = "REVISION")]
    pub(super) if_revision: Option<u64>,
    /// Show what would change, and change nothing
    #[arg(long)]
    pub(super) dry_run: bool,
}

#[derive(Subcommand)]
pub(super) enum Action {
    /// Make an API key: the token for its holder, the line for the settings
    Key {
        /// Who it is, in the audit trail
        name: String,
        /// viewer, operator, admin or controller
        #[arg(value_parser = ["viewer", "operator", "admin", "controller"])]
        role: String,
    },
    /// Tenants: list, show, create, suspend, resume, remove
    #[command(subcommand)]
    Tenants(TenantAction),
    /// A tenant's limits, rights, weight and note: set them by a merge patch, or show them
    Limits {
        /// The tenant
        name: String,
        /// Such as '{"limits":{"rate_per_second":50,"open_calls":null}}'; null removes. None: show
        patch: Option<String>,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Calls in flight and counts, by tenant
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
pub(super) enum TenantAction {
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
        /// Its fields as JSON: limits, classes, weight, models, note
        #[arg(default_value = "{}")]
        spec: String,
        /// Idempotency key: a request that comes again under the same key is not done again
        #[arg(long, value_name = "KEY")]
        once: Option<String>,
        /// Show what would be made, and make nothing
        #[arg(long)]
        dry_run: bool,
    },
    /// Reject its new calls
    Suspend {
        /// Its name
        name: String,
        #[command(flatten)]
        conditions: Conditions,
    },
    /// Accept its calls again
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
