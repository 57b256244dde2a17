//! The controllers of a run: the state of each, which outlives its processes, and the signals to its current process.
//!
//! * `address` reserves the addresses that controllers listen on.
//! * `configuration` creates and reloads the configuration of a process. Its constants are also the limits that the
//!   run is checked against.
//! * `startup` starts a process and waits until it is ready.
//! * `termination` ends a process and records its exit.

mod address;
mod configuration;
mod startup;
mod termination;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::audit::Audit;
use crate::shim::Faults;
use address::own_address;
pub use configuration::{DEADLINE, DRAIN_GRACE, OVERLOAD_FACTOR, OVERLOAD_SPAN, SLOW_START, START_CAPACITY};
pub use startup::READY_TIMEOUT;
pub use termination::{EARLIEST_KILL, KILL_AFTER, ProcessEnd, Termination, TerminationOutcome};

/// The state of a controller, as its clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process takes requests.
    Serving,
    /// The process was asked to exit and may still run.
    Ending,
    /// There is no process, or it is not ready yet.
    Down,
}

/// A controller: its address, name and configuration, which outlive its processes, and its current process.
pub struct Controller {
    /// The controller's number, from 0.
    pub number: usize,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// Faults that the shim injects into its system calls.
    pub faults: Faults,
    program: PathBuf,
    shim: Option<PathBuf>,
    dir: PathBuf,
    state: Mutex<State>,
    /// Number of SIGKILL disturbances so far. Requests that were open at one of them need no answer.
    pub kills: AtomicU64,
    /// The exit of the last process that was asked to exit.
    last_end: Mutex<Option<ProcessEnd>>,
    /// The time at which the test suspended the process. `None` while it is not suspended.
    stopped_since: Mutex<Option<Instant>>,
}

struct State {
    phase: Phase,
    child: Option<Child>,
    /// Number of processes started so far. Log files are numbered by it.
    lives: u32,
    /// Stop flag of the directory's thread at the address in the last configuration.
    stop_directory: Arc<AtomicBool>,
}

/// Settings that all controllers of a run share.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of controllers.
    pub controllers: usize,
}

impl Controller {
    /// Creates a controller without a process. Its files are written to a folder in `dir`.
    pub fn new(
        number: usize,
        program: &Path,
        shim: Option<PathBuf>,
        faults: Faults,
        dir: &Path,
    ) -> io::Result<Self> {
        let dir = dir.join(format!("n{number}"));
        std::fs::create_dir_all(&dir)?;
        let address = own_address(number)?;
        let state = State { phase: Phase::Down, child: None, lives: 0, stop_directory: Arc::default() };
        Ok(Self {
            number,
            address,
            faults,
            program: program.to_owned(),
            shim,
            dir,
            state: Mutex::new(state),
            kills: AtomicU64::new(0),
            last_end: Mutex::default(),
            stopped_since: Mutex::default(),
        })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current state, as clients see it.
    pub fn phase(&self) -> Phase {
        self.state().phase
    }

    /// Suspends the process with SIGSTOP for `span`.
    pub fn freeze(&self, span: Duration, audit: &Audit) {
        let set_stopped_since =
            |since| *self.stopped_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
        set_stopped_since(Some(Instant::now()));
        audit.incident(self.number, "stopped");
        self.signal(Signal::STOP);
        std::thread::sleep(span);
        self.signal(Signal::CONT);
        set_stopped_since(None);
        audit.incident(self.number, "resumed");
    }

    /// Returns the exit status of the process, or `None` if it still runs or there is no process.
    pub fn exit_status(&self) -> io::Result<Option<ExitStatus>> {
        match &mut self.state().child {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        let pid = self.state().child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the logs of all processes so far, in order of their starts. Logs that can't be read are left out.
    pub fn logs(&self) -> Vec<String> {
        let lives = self.state().lives;
        let read = |life| std::fs::read_to_string(self.dir.join(format!("life-{life}.log")));
        (1..=lives).filter_map(|life| read(life).ok()).collect()
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let mut state = self.state();
        state.stop_directory.store(true, Ordering::Release);
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
