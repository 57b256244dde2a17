//! `demo`: a controller and six stand-in workers in one process, on loopback, over real sockets.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use clap::Args;
use nettleferry_config::{settings, workers};
use nettleferry_test_servers::spec::ModelSpec;
use nettleferry_test_servers::{Handle, Options, Spec, Store, spawn};

use super::{CommandError, serve};

/// Start a controller with six stand-in workers, to try it.
#[derive(Args)]
pub struct Demo {
    /// Where the controller listens; port 0 lets the system choose
    #[arg(long, value_name = "ADDR:PORT", default_value = "127.0.0.1:8001")]
    listen: SocketAddr,
    /// How many stand-in workers
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(1..=64))]
    workers: u32,
}

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

/// Starts stand-ins that share a store, and gives them with the list that names them.
pub fn fleet(count: u32, spec: &Spec) -> Result<(Vec<Handle>, Vec<workers::Worker>), CommandError> {
    let store = Arc::new(Mutex::new(Store::default()));
    let epoch = Instant::now();
    let mut handles = Vec::new();
    let mut list = Vec::new();
    for n in 1..=count {
        let handle = spawn(Options {
            name: format!("w{n}"),
            doors: vec![SocketAddr::from(([127, 0, 0, 1], 0))],
            spec: spec.clone(),
            store: Arc::clone(&store),
            epoch,
            records: None,
            cold: false,
            seed: u64::from(n),
        })
        .map_err(CommandError::system("can't start a stand-in worker"))?;
        list.push(workers::Worker {
            name: handle.name.clone(),
            address: handle.doors[0],
            zone: if n % 2 == 0 { "b" } else { "a" }.to_owned(),
            kind: "stand-in".to_owned(),
            weight: 1.0,
            cell: handle.name.clone(),
            state: nettleferry::WorkerState::On,
            born: None,
        });
        handles.push(handle);
    }
    Ok((handles, list))
}

impl Demo {
    pub fn run(self) -> Result<u8, CommandError> {
        let mut spec = Spec { queue: 4096, ..Spec::default() };
        // Answers at once: load on it shows the gateway, not the pretended work of the others.
        spec.models.push(ModelSpec {
            prefix: "echo-now".to_owned(),
            lanes: 256,
            work: 0,
            ..ModelSpec::any()
        });
        let (_workers, list) = fleet(self.workers, &spec)?;
        let dir = std::env::temp_dir().join(format!("nettleferry-demo-{}", std::process::id()));
        std::fs::create_dir_all(&dir)
            .map_err(CommandError::system("can't make a folder for the worker list"))?;
        let file = dir.join("workers.sexp");
        let written = std::fs::write(&file, workers::write(&list));
        written.map_err(CommandError::system("can't write the worker list"))?;
        let mut config = settings::read("demo", SETTINGS).map_err(CommandError::Unsound)?;
        config.grpc = self.listen;
        config.workers_file = file;
        let ended = serve::run(config);
        let _ = std::fs::remove_dir_all(&dir);
        ended
    }
}
