//! The settings file of a controller. `examples/nettleferry.sexp` contains each key with its meaning and default.
//!
//! This module reads the file as a whole; the larger lists are read in the modules `classes`, `models`, `policy`,
//! `limits`, `metrics`, `admin` and `recovery`.

mod admin;
mod classes;
mod limits;
mod metrics;
mod models;
mod policy;
mod recovery;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::{Micros, Settings, TenantId};

use crate::form::{Errors, Form};
pub use admin::{
    AdminKey, AdminSettings, Administration, AuditLog, FollowerSettings, LeaderSettings, LeaselessPolicy,
    SnapshotServer,
};
use classes::{Classes, Tenants};
pub use classes::{MAX_CLASSES, MAX_TENANTS};
pub use limits::EdgeLimits;
pub use metrics::{Label, MAX_SERIES, MetricsSettings, RemoteWriteSettings};
pub use models::{MAX_MODELS, Model, Models, Tensor};
pub use recovery::{Recovery, RestartAdmissionPolicy};

/// Default of [`Settings::event_interval`], microseconds.
const DEFAULT_STEP: Micros = 1_000;
/// Default interval at which the worker list's file is checked for changes, microseconds.
const DEFAULT_CHECK_INTERVAL: Micros = 200_000;
/// Shortest interval at which the worker list's file is checked for changes, microseconds.
const MIN_CHECK_INTERVAL: Micros = 1_000;

/// The validated settings of a controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address on which the controller accepts gRPC calls.
    pub grpc: SocketAddr,
    /// The zone of this controller, if set.
    pub zone: Option<String>,
    /// The seed of the decision module's random numbers; `None` if it is chosen at startup.
    pub seed: Option<u64>,
    /// The file of the worker list.
    pub workers_file: PathBuf,
    /// The interval at which that file is checked for changes.
    pub workers_check_interval: Micros,
    /// The file in which the last list is persisted for the next start; `None` if it is not persisted.
    pub persisted_workers_file: Option<PathBuf>,
    /// The settings of the decision module. The engine sets the zone's id.
    pub settings: Settings,
    /// The names of the classes, indexed by [`ClassId`](nettleferry::ClassId).
    pub classes: Vec<String>,
    /// The ids of the tenants by name.
    pub tenants: HashMap<String, TenantId>,
    /// The models that are served.
    pub models: Models,
    /// Limits and timeouts of client and worker connections.
    pub edge: EdgeLimits,
    /// The export of metrics.
    pub metrics: MetricsSettings,
    /// The administration of tenants; `None` if the tenants are those in the settings and no API is served.
    pub admin: Option<AdminSettings>,
    /// The behaviour after a restart of this controller.
    pub recovery: Recovery,
    /// The CRC-32 of the file's text. Controllers with different settings are detected by it.
    pub checksum: u64,
}

/// The identity of this controller within the fleet.
struct Identity {
    /// The number of this controller, from 0.
    number: u32,
    /// The number of controllers in the fleet.
    controllers: u32,
    zone: Option<String>,
    seed: Option<u64>,
}

/// The settings of the worker list's file.
struct WorkerList {
    file: Option<PathBuf>,
    check_interval: Micros,
    persisted: Option<PathBuf>,
}

/// Parses a settings file. `file` is the file's name in error messages.
///
/// # Errors
/// All errors in the file.
pub fn read(file: &str, text: &str) -> Result<Config, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let grpc = listen(&mut top);
    let identity = identity(&mut top);
    let list = worker_list(&mut top);
    let Classes { classes, names: class_names } = classes::classes(&mut top);
    let Tenants { tenants, ids: tenant_ids } = classes::tenants(&mut top);
    let over_quota_weight = top.value_or("over-quota-worth", 1.0);
    let models = models::models(&mut top, &class_names);
    let discovery = policy::discovery(&mut top);
    let reports = policy::reports(&mut top);
    let weights = policy::weights(&mut top);
    let loading = policy::loading(&mut top);
    let rules = policy::rules(&mut top);
    let step = top.micros_or("step", DEFAULT_STEP);
    let (limits, edge) = limits::limits(&mut top);
    let metrics = metrics::metrics(&mut top);
    let admin = top.optional_list("admin").and_then(admin::admin);
    let recovery = recovery::recovery(&mut top);
    top.finish();
    let settings = Settings {
        controller_index: identity.number,
        controllers: identity.controllers,
        zone: None,
        classes,
        tenants,
        over_quota_weight,
        discovery,
        reports,
        weights,
        loading,
        limits,
        rules,
        event_interval: step,
    };
    let value = grpc.zip(list.file).map(|(grpc, workers_file)| Config {
        grpc,
        zone: identity.zone,
        seed: identity.seed,
        workers_file,
        workers_check_interval: list.check_interval,
        persisted_workers_file: list.persisted,
        settings,
        classes: class_names,
        tenants: tenant_ids,
        models,
        edge,
        metrics,
        admin,
        recovery,
        checksum: u64::from(crc32fast::hash(text.as_bytes())),
    });
    source.into_result(value)
}

/// Reads `(listen ...)`.
fn listen(top: &mut Form) -> Option<SocketAddr> {
    let mut form = top.required_list("listen")?;
    let grpc = form.required("grpc");
    form.finish();
    grpc
}

/// Reads `(controller ...)`.
fn identity(top: &mut Form) -> Identity {
    let mut form = top.list_or_empty("controller");
    let (number, controllers) = (form.value_or("number", 0), form.value_or("of", 1u32));
    if controllers == 0 {
        form.error("(of 0): must be at least 1");
    } else if number >= controllers {
        form.error(format!("(number {number}): numbers go from 0 to {}", controllers - 1));
    }
    let (zone, seed) = (form.optional("zone"), form.optional("seed"));
    form.finish();
    Identity { number, controllers, zone, seed }
}

/// Reads `(workers ...)`.
fn worker_list(top: &mut Form) -> WorkerList {
    let Some(mut form) = top.required_list("workers") else {
        return WorkerList { file: None, check_interval: 0, persisted: None };
    };
    let file: Option<String> = form.required("file");
    let check_interval = form.micros_or("check-every", DEFAULT_CHECK_INTERVAL);
    if check_interval < MIN_CHECK_INTERVAL {
        form.error("(check-every ...): must be at least 1ms");
    }
    let persisted: Option<String> = form.optional("kept");
    form.finish();
    WorkerList {
        file: file.map(PathBuf::from),
        check_interval: check_interval.max(MIN_CHECK_INTERVAL),
        persisted: persisted.map(PathBuf::from),
    }
}
