//! Injects system-call faults into controllers, by a small library that is compiled from `shim/faults.c` and preloaded.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Source of the fault library.
const SOURCE: &str = include_str!("../shim/faults.c");

/// The fault library could not be built.
#[derive(Debug, thiserror::Error)]
pub enum ShimError {
    /// Writing the source or running the compiler failed.
    #[error("{operation} failed: {source}")]
    System {
        /// The operation that failed.
        operation: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The compiler exited with an error. Holds its standard error.
    #[error("the C compiler failed to build the fault library: {0}")]
    Compiler(String),
}

/// Compiles the library into `dir` with the system's `cc`. Returns its path.
pub fn compile(dir: &Path) -> Result<PathBuf, ShimError> {
    let system = |operation| move |source| ShimError::System { operation, source };
    let (from, to) = (dir.join("faults.c"), dir.join("faults.so"));
    std::fs::write(&from, SOURCE).map_err(system("writing the source of the fault library"))?;
    let mut compiler = Command::new("cc");
    compiler.args(["-O1", "-shared", "-fPIC", "-o"]).arg(&to).arg(&from).arg("-ldl");
    let output = compiler.output().map_err(system("running cc"))?;
    if !output.status.success() {
        return Err(ShimError::Compiler(String::from_utf8_lossy(&output.stderr).into_owned()));
    }
    Ok(to)
}

/// The system-call faults of one controller. Unless stated otherwise, a field is the probability per thousand calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Reads and writes that transfer fewer bytes than they could.
    pub short: u32,
    /// Reads, writes, accepts and waits that are interrupted.
    pub interrupt: u32,
    /// Calls of `accept4` that fail.
    pub accept: u32,
    /// Creations of IPv4 sockets that fail.
    pub socket: u32,
    /// Connects of stream sockets that fail immediately.
    pub connect: u32,
    /// Number of connects of stream sockets, from the process's first on, that all fail.
    pub first_connects: u32,
    /// Reads that break the connection and fail, on connections that the process opened.
    pub broken: u32,
    /// Number of `socket`, `bind` and `epoll_create1` calls, from the process's first on, that all fail.
    pub start: u32,
    /// Writes to standard error that fail.
    pub log: u32,
    /// Writes of wake-up bytes by signal handlers that fail.
    pub signal: u32,
    /// A step of the wall clock: when, in milliseconds after the process's start, and by how many milliseconds.
    pub clock: Option<(u64, i64)>,
}

impl Faults {
    /// The environment variables that preload `library` into a controller and configure these faults. `seed` starts the
    /// library's pseudo-random sequence.
    pub fn environment(&self, library: &Path, seed: u64) -> Vec<(&'static str, String)> {
        let mut environment = vec![
            ("LD_PRELOAD", library.display().to_string()),
            ("SOAK_SEED", (seed % 1_000_000_007).to_string()),
            ("SOAK_SHORT", self.short.to_string()),
            ("SOAK_INTERRUPT", self.interrupt.to_string()),
            ("SOAK_ACCEPT", self.accept.to_string()),
            ("SOAK_SOCKET", self.socket.to_string()),
            ("SOAK_CONNECT", self.connect.to_string()),
            ("SOAK_FIRST_CONNECTS", self.first_connects.to_string()),
            ("SOAK_BREAK", self.broken.to_string()),
            ("SOAK_START", self.start.to_string()),
            ("SOAK_SIGNAL", self.signal.to_string()),
            ("SOAK_LOG", self.log.to_string()),
        ];
        if let Some((at, by)) = self.clock {
            environment.push(("SOAK_CLOCK_AT", at.to_string()));
            environment.push(("SOAK_CLOCK_BY", by.to_string()));
        }
        environment
    }
}
