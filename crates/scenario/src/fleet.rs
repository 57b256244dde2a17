//! Controllers as processes, and the worker lists that a run writes for them.

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

use crate::evidence::ListedWorker;

/// How long a controller may take to listen.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A controller's process.
pub struct Controller {
    /// Its number.
    pub number: usize,
    /// Its zone.
    pub zone: String,
    /// Where it listens: the same in every incarnation.
    pub address: Option<SocketAddr>,
    settings: PathBuf,
    log: PathBuf,
    level: String,
    child: Option<Child>,
}

impl Controller {
    /// A controller that is not started. It appends to the file `log`, filtered by `level`.
    pub fn new(number: usize, zone: String, settings: PathBuf, log: PathBuf, level: String) -> Self {
        Self { number, zone, address: None, settings, log, level, child: None }
    }

    /// Starts its process; it listens when this returns.
    ///
    /// # Errors
    /// The process can't be started, or does not listen in time.
    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command.args(["--log", &self.level, "serve"]).arg(&self.settings);
        if let Some(address) = self.address {
            command.args(["--listen", &address.to_string()]);
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let first = lines.recv_timeout(START_LIMIT);
        let address = first.ok().and_then(|l| l.strip_prefix("listening grpc ").and_then(|a| a.parse().ok()));
        self.child = Some(child);
        match address {
            Some(address) => {
                self.address = Some(address);
                Ok(())
            }
            None => {
                self.kill();
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                Err(io::Error::other(format!(
                    "controller {} did not listen: {}",
                    self.number,
                    log.trim_end()
                )))
            }
        }
    }

    /// Whether its process runs.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // A process that has ended is not waited for yet: its id is still ours.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Stops its process (SIGSTOP), or continues it.
    pub fn stall(&self, stalled: bool) {
        self.signal(if stalled { Signal::STOP } else { Signal::CONT });
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for its end; its exit code, or none if it had to be killed or a signal ended it.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        loop {
            let child = self.child.as_mut()?;
            match child.try_wait() {
                Ok(Some(status)) => {
                    self.child = None;
                    return status.code();
                }
                Ok(None) if Instant::now() < until => std::thread::sleep(Duration::from_millis(10)),
                _ => {
                    self.kill();
                    return None;
                }
            }
        }
    }

    /// The exit code of a process that has ended by itself; the inner `None`: a signal ended it.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        // Also a stopped process ends by SIGKILL.
        self.kill();
    }
}

/// A worker's line of the list.
pub struct WorkerLine {
    /// Its addresses: one for each zone of controllers.
    pub addresses: Vec<SocketAddr>,
    /// The line; its address is replaced by that of the list's zone.
    pub worker: Worker,
}

/// The worker lists, one file for each zone of controllers, and the changes that were written.
pub struct Lists {
    dir: PathBuf,
    /// Zones of controllers, in the order of the workers' addresses.
    pub zones: Vec<String>,
    lines: Vec<WorkerLine>,
    /// Nothing is written while this is set.
    pub stale: bool,
    /// The changes.
    pub listed: Vec<ListedWorker>,
}

impl Lists {
    /// Lists of workers that are all on.
    pub fn new(dir: PathBuf, zones: Vec<String>, lines: Vec<WorkerLine>) -> Self {
        Self { dir, zones, lines, stale: false, listed: Vec::new() }
    }

    /// The file of a zone's controllers.
    pub fn file(zone: &str) -> String {
        format!("workers-{zone}.sexp")
    }

    /// Changes a worker's line; [`Lists::write`] writes it.
    pub fn change(&mut self, name: &str, state: WorkerState, started_at: Option<Micros>) {
        let mut workers = self.lines.iter_mut().map(|line| &mut line.worker);
        if let Some(worker) = workers.find(|worker| worker.name == name) {
            worker.state = state;
            worker.started_at = started_at.or(worker.started_at);
        }
    }

    /// Writes all files, unless they are to be stale. `now` tells the time.
    pub fn write(&mut self, now: impl Fn() -> Micros) -> io::Result<()> {
        if self.stale {
            return Ok(());
        }
        let at = now();
        for (index, zone) in self.zones.iter().enumerate() {
            let list: Vec<Worker> = self
                .lines
                .iter()
                .map(|line| Worker { address: line.addresses[index], ..line.worker.clone() })
                .collect();
            let path = self.dir.join(Self::file(zone));
            let temporary = path.with_extension("new");
            std::fs::write(&temporary, workers::write(&list))?;
            std::fs::rename(&temporary, &path)?;
        }
        let written = now();
        for WorkerLine { worker, .. } in &self.lines {
            let last = self.listed.iter().rev().find(|listed| listed.worker == worker.name);
            if last.map(|listed| listed.state) != Some(worker.state) {
                let (worker, state) = (worker.name.clone(), worker.state);
                self.listed.push(ListedWorker { at, written, worker, state });
            }
        }
        Ok(())
    }
}
