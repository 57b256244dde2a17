//! System-call faults: a small library of our own, compiled from `shim/faults.c` and preloaded into controllers.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The library's source.
const SOURCE: &str = include_str!("../shim/faults.c");

/// Why there is no library.
#[derive(Debug, thiserror::Error)]
pub enum ShimError {
    /// A file or the compiler.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The compiler has refused it.
    #[error("the C compiler refused the library: {0}")]
    Compiler(String),
}

/// Compiles the library into `dir` with the machine's `cc`; gives its path.
pub fn compile(dir: &Path) -> Result<PathBuf, ShimError> {
    let system = |what| move |source| ShimError::System { what, source };
    let (from, to) = (dir.join("faults.c"), dir.join("faults.so"));
    std::fs::write(&from, SOURCE).map_err(system("the library's source"))?;
    let mut compiler = Command::new("cc");
    compiler.args(["-O1", "-shared", "-fPIC", "-o"]).arg(&to).arg(&from).arg("-ldl");
    let done = compiler.output().map_err(system("cc"))?;
    if !done.status.success() {
        return Err(ShimError::Compiler(String::from_utf8_lossy(&done.stderr).into_owned()));
    }
    Ok(to)
}

/// Which faults one controller meets: chances per thousand calls, unless said otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Reads and writes that move fewer bytes than they could.
    pub short: u32,
    /// Reads, writes, accepts and waits that are interrupted.
    pub interrupt: u32,
    /// Accepts that fail.
    pub accept: u32,
    /// Sockets that can't be made.
    pub socket: u32,
    /// Connects that fail at once.
    pub connect: u32,
    /// The first connects that fail, one after another (a count).
    pub first_connects: u32,
    /// Reads that find their connection broken.
    pub broken: u32,
    /// Calls of a start that fail, one after another (a count).
    pub start: u32,
    /// Log lines that can't be written.
    pub log: u32,
    /// Wake-ups of signal handlers that are lost.
    pub signal: u32,
    /// A step of the wall clock: milliseconds after the start, and by how many.
    pub clock: Option<(u64, i64)>,
}

impl Faults {
    /// The environment of a controller that meets them.
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
