//! A controller's settings file. `examples/nettleferry.sexp` shows every key with its meaning and default.
//!
//! This module reads the file; each part of it is read in a module of its own: [`classes`], [`models`],
//! [`policy`], [`limits`], [`metrics`], [`admin`], [`recovery`].

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

/// Default of the decision module's step, microseconds.
const DEFAULT_STEP: Micros = 1_000;
/// Default interval of checks of the worker list, microseconds.
const DEFAULT_CHECK_INTERVAL: Micros = 200_000;
/// Shortest interval of checks of the worker list, microseconds.
const MIN_CHECK_INTERVAL: Micros = 1_000;

/// The checked settings of a controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the gRPC front listens.
    pub grpc: SocketAddr,
    /// This controller's zone.
    pub zone: Option<String>,
    /// Seed of the decision module's random numbers; `None`: chosen at start.
    pub seed: Option<u64>,
    /// The worker list's file.
    pub workers_file: PathBuf,
    /// Interval of checks of that file.
    pub workers_check_interval: Micros,
    /// Where the last list is persisted for the next start; `None`: nowhere.
    pub persisted_workers_file: Option<PathBuf>,
    /// For the decision module. The zone is filled in by the engine.
    pub settings: Settings,
    /// Names of the classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// Numbers of the tenants by name.
    pub tenants: HashMap<String, TenantId>,
    /// The models.
    pub models: Models,
    /// Limits at the edge.
    pub edge: EdgeLimits,
    /// Export of metrics.
    pub metrics: MetricsSettings,
    /// Administration; `None`: the tenants are those of the settings, and no API is served.
    pub admin: Option<AdminSettings>,
    /// Behaviour after a restart.
    pub recovery: Recovery,
    /// CRC-32 of the file's text, by which controllers with other settings can be found.
    pub checksum: u64,
}

/// Which controller of how many this is.
struct Identity {
    /// Its number, from 0.
    number: u32,
    /// How many there are.
    controllers: u32,
    zone: Option<String>,
    seed: Option<u64>,
}

/// The worker list's file.
struct WorkerList {
    file: Option<PathBuf>,
    check_interval: Micros,
    persisted: Option<PathBuf>,
}

/// Parses a settings file. `file`: its name, for errors.
///
/// # Errors
/// All errors of the file.
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
        form.error("(of 0): there is at least this controller");
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
        form.error("(check-every ...): 1ms at the least");
    }
    let persisted: Option<String> = form.optional("kept");
    form.finish();
    WorkerList {
        file: file.map(PathBuf::from),
        check_interval: check_interval.max(MIN_CHECK_INTERVAL),
        persisted: persisted.map(PathBuf::from),
    }
}
