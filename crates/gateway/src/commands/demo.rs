//! `demo`: runs a controller and test workers in one process, connected by loopback sockets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use clap::Args;
use nettleferry_config::{settings, workers};
use nettleferry_test_servers::spec::ModelSpec;
use nettleferry_test_servers::{Handle, Options, Spec, Store, spawn};

use super::error::CommandError;
use super::serve;

/// Start a demonstration: a controller and test workers in one process.
#[derive(Args)]
pub(crate) struct Demo {
    /// Address on which the controller listens; with port 0 the system chooses a port
    #[arg(long, value_name = "ADDR:PORT", default_value = "127.0.0.1:8001")]
    listen: SocketAddr,
    /// Number of test workers
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=64))]
    workers: u32,
}

/// Settings of the demo's controller. [`Demo::run`] replaces the listening address and the path of the worker list.
const SETTINGS: &str = r#"
(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp"))
(class quick (effect safe) (aim 600ms) (deadline 10s) (late-share 0.3))
(class once (effect unsafe) (aim 1200ms) (deadline 10s) (worth 3))
(model "echo" (class quick) (lanes 2))
(model "echo-*" (class quick) (lanes 2))
(model "echo-once" (class once) (lanes 2))
(model "echo-now" (class quick) (lanes 256))
(model "climb" (class quick) (lanes 2) (input "HEIGHT" FP32 -1) (output "ASCENT" FP32 -1) (output "DESCENT" FP32 -1))
(model "climb-*" (class quick) (lanes 2) (input "HEIGHT" FP32 -1) (output "ASCENT" FP32 -1) (output "DESCENT" FP32 -1))
"#;

/// Maximum number of calls in the queue of a worker.
const WORKER_QUEUE: usize = 4096;

/// Running test workers; they stop when this is dropped.
struct Workers {
    _handles: Vec<Handle>,
    list: Vec<workers::Worker>,
}

impl Workers {
    /// Starts `count` workers on loopback addresses, in alternating zones and with one model store for all.
    fn start(count: u32, spec: &Spec) -> Result<Self, CommandError> {
        let store = Arc::new(Mutex::new(Store::default()));
        let epoch = Instant::now();
        let mut handles = Vec::new();
        let mut list = Vec::new();
        for number in 1..=count {
            let handle = spawn(Options {
                name: format!("w{number}"),
                addresses: vec![SocketAddr::from(([127, 0, 0, 1], 0))],
                spec: spec.clone(),
                store: Arc::clone(&store),
                epoch,
                observations: None,
                cold: false,
                seed: u64::from(number),
            })
            .map_err(CommandError::system("can't start a test worker"))?;
            list.push(worker_list_entry(&handle, if number % 2 == 0 { "b" } else { "a" }));
            handles.push(handle);
        }
        Ok(Self { _handles: handles, list })
    }
}

/// Returns the entry of a test worker in the worker list.
fn worker_list_entry(handle: &Handle, zone: &str) -> workers::Worker {
    workers::Worker {
        name: handle.name.clone(),
        address: handle.addresses[0],
        zone: zone.to_owned(),
        kind: "stand-in".to_owned(),
        weight: 1.0,
        cell: handle.name.clone(),
        state: nettleferry::WorkerState::On,
        started_at: None,
    }
}

impl Demo {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let workers = Workers::start(self.workers, &worker_spec())?;
        let folder = std::env::temp_dir().join(format!("nettleferry-demo-{}", std::process::id()));
        std::fs::create_dir_all(&folder)
            .map_err(CommandError::system("can't create a folder for the worker list"))?;
        let file = folder.join("workers.sexp");
        std::fs::write(&file, workers::write(&workers.list))
            .map_err(CommandError::system("can't write the worker list"))?;
        let mut config = settings::read("demo", SETTINGS).map_err(CommandError::InvalidFile)?;
        config.grpc = self.listen;
        config.workers_file = file;
        let exit_code = serve::run_controller(config);
        let _ = std::fs::remove_dir_all(&folder);
        exit_code
    }
}

/// Describes a test worker with the default models and `echo-now`. A call of `echo-now` takes no core time, so that
/// load on it measures the limits of the gateway and not those of the workers.
fn worker_spec() -> Spec {
    let mut spec = Spec { queue: WORKER_QUEUE, ..Spec::default() };
    spec.models.push(ModelSpec {
        prefix: "echo-now".to_owned(),
        lanes: 256,
        core_time: 0,
        ..ModelSpec::any()
    });
    spec
}
