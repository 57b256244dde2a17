//! The controller processes of a run, and the worker lists that it writes for them.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use nettleferry::{Micros, WorkerState};
use nettleferry_config::{Worker, workers};
use rustix::process::{Pid, Signal, kill_process};

use crate::evidence::ListChange;

/// Time within which a started controller must report its listening address.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A controller and its process, which can be started more than once. The process is killed on drop.
pub struct Controller {
    /// Number of the controller, from 0.
    pub number: usize,
    /// Zone of the controller.
    pub zone: String,
    /// Listening address, which is the same for every incarnation; `None` before the first start.
    pub address: Option<SocketAddr>,
    settings: PathBuf,
    log_file: PathBuf,
    log_filter: String,
    child: Option<Child>,
}

impl Controller {
    /// Creates a controller without starting it. Its process reads the file `settings` and appends its log, filtered by
    /// `log_filter`, to `log_file`.
    pub fn new(
        number: usize,
        zone: String,
        settings: PathBuf,
        log_file: PathBuf,
        log_filter: String,
    ) -> Self {
        Self { number, zone, address: None, settings, log_file, log_filter, child: None }
    }

    /// Starts the process and waits until it listens.
    ///
    /// # Errors
    /// The process can't be started, or does not listen in time; it is killed in that case.
    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log_file)?;
        let mut command = Command::new(program);
        command.args(["--log", &self.log_filter, "serve"]).arg(&self.settings);
        if let Some(address) = self.address {
            command.args(["--listen", &address.to_string()]);
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the controller's standard output is not a pipe"))?;
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let first_line = lines.recv_timeout(START_TIMEOUT).ok();
        let address = first_line.and_then(|line| line.strip_prefix("listening grpc ")?.parse().ok());
        self.child = Some(child);
        match address {
            Some(address) => {
                self.address = Some(address);
                Ok(())
            }
            None => {
                self.kill();
                let log = std::fs::read_to_string(&self.log_file).unwrap_or_default();
                Err(io::Error::other(format!(
                    "controller {} did not report a listening address; its log: {}",
                    self.number,
                    log.trim_end()
                )))
            }
        }
    }

    /// Returns whether the process was started and its end was not observed yet.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process id can't belong to another process, since it is reserved until the exit code is read.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Stops the process (SIGSTOP) or continues it (SIGCONT).
    pub fn stall(&self, stalled: bool) {
        self.signal(if stalled { Signal::STOP } else { Signal::CONT });
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM without waiting for the end of the process.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end of the process and returns its exit code. Returns `None` if a signal ended the process, or if
    /// it was killed because it did not end within `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let deadline = Instant::now() + limit;
        loop {
            let child = self.child.as_mut()?;
            match child.try_wait() {
                Ok(Some(status)) => {
                    self.child = None;
                    return status.code();
                }
                Ok(None) if Instant::now() < deadline => std::thread::sleep(Duration::from_millis(10)),
                _ => {
                    self.kill();
                    return None;
                }
            }
        }
    }

    /// Checks without waiting whether the process has ended, and returns its exit code, with an inner `None` if a signal
    /// ended it. Returns `None` if it is running, or was not started.
    pub fn try_wait(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is stopped by SIGSTOP.
        self.kill();
    }
}

/// A worker's entry in the worker lists.
pub struct WorkerEntry {
    /// Addresses of the worker, one for each zone of controllers.
    pub addresses: Vec<SocketAddr>,
    /// The entry. In each written file, its address is replaced by the one for the zone of that file.
    pub worker: Worker,
}

/// The worker lists, with one file for each zone of controllers, and a record of the changes written to them.
pub struct WorkerLists {
    dir: PathBuf,
    /// Zones of controllers, in the order of the workers' addresses.
    pub zones: Vec<String>,
    entries: Vec<WorkerEntry>,
    /// While this is set, [`WorkerLists::write`] writes nothing.
    pub stale: bool,
    /// Changes of workers' states that were written, in order of time.
    pub changes: Vec<ListChange>,
}

impl WorkerLists {
    /// Creates lists of the given workers without writing them. The files are written to `dir`.
    pub fn new(dir: PathBuf, zones: Vec<String>, entries: Vec<WorkerEntry>) -> Self {
        Self { dir, zones, entries, stale: false, changes: Vec::new() }
    }

    /// Returns the name of the list file for a zone's controllers.
    pub fn file_name(zone: &str) -> String {
        format!("workers-{zone}.sexp")
    }

    /// Changes a worker's state, and its time of start if `started_at` is given. [`WorkerLists::write`] writes the
    /// change.
    pub fn change(&mut self, name: &str, state: WorkerState, started_at: Option<Micros>) {
        let mut workers = self.entries.iter_mut().map(|entry| &mut entry.worker);
        if let Some(worker) = workers.find(|worker| worker.name == name) {
            worker.state = state;
            worker.started_at = started_at.or(worker.started_at);
        }
    }

    /// Replaces all files atomically, unless the lists are set to be stale, and records the changes. `now` returns the
    /// time of the run.
    ///
    /// # Errors
    /// A file can't be written or renamed.
    pub fn write(&mut self, now: impl Fn() -> Micros) -> io::Result<()> {
        if self.stale {
            return Ok(());
        }
        let at = now();
        for (index, zone) in self.zones.iter().enumerate() {
            let list: Vec<Worker> = self
                .entries
                .iter()
                .map(|entry| Worker { address: entry.addresses[index], ..entry.worker.clone() })
                .collect();
            let path = self.dir.join(Self::file_name(zone));
            let temporary = path.with_extension("new");
            std::fs::write(&temporary, workers::write(&list))?;
            std::fs::rename(&temporary, &path)?;
        }
        let written = now();
        for WorkerEntry { worker, .. } in &self.entries {
            let last = self.changes.iter().rev().find(|change| change.worker == worker.name);
            if last.map(|change| change.state) != Some(worker.state) {
                let (worker, state) = (worker.name.clone(), worker.state);
                self.changes.push(ListChange { at, written, worker, state });
            }
        }
        Ok(())
    }
}
