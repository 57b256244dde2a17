//! A controller's settings file. `examples/nettleferry.sexp` shows every key with its meaning and default.
//!
//! This module reads the file as a whole; each part of it is read in a module of its own: [`classes`], [`models`],
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

use crate::form::{Errors, Form, Source};
pub use admin::{Admin, AdminKey, Desk, Straggler, Trail};
pub use classes::{MOST_CLASSES, MOST_TENANTS};
pub use limits::Edge;
pub use metrics::{Figures, MOST_SERIES, Push};
pub use models::{MOST_MODELS, Model, Models, Tensor};
pub use recovery::{GateWhen, Recovery};

/// The decision module's step where not told, microseconds.
const STEP: Micros = 1_000;
/// How often the worker list is looked at where not told, and at the most, microseconds.
const CHECK_EVERY: Micros = 200_000;
const LEAST_CHECK_EVERY: Micros = 1_000;

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the gRPC front listens.
    pub grpc: SocketAddr,
    /// This controller's zone.
    pub zone: Option<String>,
    /// Seed of the module's chance; `None`: from the system at start.
    pub seed: Option<u64>,
    /// The worker list's file.
    pub workers: PathBuf,
    /// How often the file is looked at.
    pub workers_check: Micros,
    /// Where the last list is kept for the next start; `None`: it is not.
    pub workers_kept: Option<PathBuf>,
    /// For the decision module. The zone is filled in by the engine.
    pub settings: Settings,
    /// Names of the classes, by [`ClassId`].
    pub classes: Vec<String>,
    /// Tenants by name.
    pub tenants: HashMap<String, TenantId>,
    /// The models.
    pub models: Models,
    /// Bounds at the edge.
    pub edge: Edge,
    /// Figures.
    pub figures: Figures,
    /// Administration; `None`: tenants are those of the settings, and nothing listens.
    pub admin: Option<Admin>,
    /// What is done first after a restart.
    pub recovery: Recovery,
    /// A checksum of the file's text, so that controllers can be told apart by their settings.
    pub sum: u64,
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
    check_every: Micros,
    kept: Option<PathBuf>,
}

/// Reads a settings file.
pub fn read(file: &str, text: &str) -> Result<Config, Errors> {
    let (source, mut top) = Source::open(file, text);
    let grpc = listen(&mut top);
    let identity = identity(&mut top);
    let list = worker_list(&mut top);
    let (classes, class_names) = classes::classes(&mut top);
    let (tenants, tenant_names) = classes::tenants(&mut top);
    let over_quota_worth = top.or("over-quota-worth", 1.0);
    let models = models::models(&mut top, &class_names);
    let discovery = policy::discovery(&mut top);
    let reports = policy::reports(&mut top);
    let weights = policy::weights(&mut top);
    let loading = policy::loading(&mut top);
    let rules = policy::rules(&mut top);
    let step = top.span_or("step", STEP);
    let (limits, edge) = limits::limits(&mut top);
    let figures = metrics::figures(&mut top);
    let admin = top.sub("admin").and_then(admin::admin);
    let recovery = recovery::recovery(&mut top);
    top.end();
    let settings = Settings {
        me: identity.number,
        controllers: identity.controllers,
        zone: None,
        classes,
        tenants,
        over_quota_worth,
        discovery,
        reports,
        weights,
        loading,
        limits,
        rules,
        step,
    };
    let value = grpc.zip(list.file).map(|(grpc, workers)| Config {
        grpc,
        zone: identity.zone,
        seed: identity.seed,
        workers,
        workers_check: list.check_every,
        workers_kept: list.kept,
        settings,
        classes: class_names,
        tenants: tenant_names,
        models,
        edge,
        figures,
        admin,
        recovery,
        sum: u64::from(crc32fast::hash(text.as_bytes())),
    });
    source.finish(value)
}

/// Reads `(listen ...)`.
fn listen(top: &mut Form) -> Option<SocketAddr> {
    let mut form = top.need("listen")?;
    let grpc = form.must("grpc");
    form.end();
    grpc
}

/// Reads `(controller ...)`.
fn identity(top: &mut Form) -> Identity {
    let mut form = top.group("controller");
    let (number, controllers) = (form.or("number", 0), form.or("of", 1u32));
    if controllers == 0 {
        form.fault("(of 0): there is at least this controller");
    } else if number >= controllers {
        form.fault(format!("(number {number}): numbers go from 0 to {}", controllers - 1));
    }
    let (zone, seed) = (form.get("zone"), form.get("seed"));
    form.end();
    Identity { number, controllers, zone, seed }
}

/// Reads `(workers ...)`.
fn worker_list(top: &mut Form) -> WorkerList {
    let Some(mut form) = top.need("workers") else {
        return WorkerList { file: None, check_every: 0, kept: None };
    };
    let file: Option<String> = form.must("file");
    let check_every = form.span_or("check-every", CHECK_EVERY);
    if check_every < LEAST_CHECK_EVERY {
        form.fault("(check-every ...): 1ms at the least");
    }
    let kept: Option<String> = form.get("kept");
    form.end();
    WorkerList {
        file: file.map(PathBuf::from),
        check_every: check_every.max(LEAST_CHECK_EVERY),
        kept: kept.map(PathBuf::from),
    }
}
