//! The day's controllers as processes, and the list files that it writes for them.

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

use crate::evidence::Told;

/// How long a controller may take to listen.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A controller's process.
pub struct Controller {
    /// Its number.
    pub number: usize,
    /// Its zone.
    pub zone: String,
    /// Where it listens: the same in every life.
    pub address: Option<SocketAddr>,
    settings: PathBuf,
    log: PathBuf,
    level: String,
    child: Option<Child>,
}

impl Controller {
    /// A controller that is not started. It logs to `log`, as `level` says.
    pub fn new(number: usize, zone: String, settings: PathBuf, log: PathBuf, level: String) -> Self {
        Self { number, zone, address: None, settings, log, level, child: None }
    }

    /// Starts its process; it listens when this returns.
    pub fn start(&mut self, program: &Path) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command.args(["--log", &self.level, "serve"]).arg(&self.settings);
        if let Some(address) = self.address {
            command.args(["--listen", &address.to_string()]);
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(log).spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let (said, says) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let _ = said.send(line);
            }
        });
        let first = says.recv_timeout(START_LIMIT);
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

    /// Does its process run?
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // A process that has ended is not waited for yet: its id is still ours.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Stands still, or goes on.
    pub fn stall(&self, still: bool) {
        self.signal(if still { Signal::STOP } else { Signal::CONT });
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells it to end.
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

    /// Has it ended by itself? Its exit code.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        // One that stands still must go on to be killed; killing does both.
        self.kill();
    }
}

/// The list files, one for each zone of controllers, and what they told.
pub struct Lists {
    dir: PathBuf,
    /// Zones of controllers, in the order of doors.
    pub zones: Vec<String>,
    /// Doors of each worker, in the same order, and its line.
    lines: Vec<(Vec<SocketAddr>, Worker)>,
    /// Not written until then.
    pub stale: bool,
    /// What was told.
    pub told: Vec<Told>,
}

impl Lists {
    /// Lists of workers that are all on.
    pub fn new(dir: PathBuf, zones: Vec<String>, lines: Vec<(Vec<SocketAddr>, Worker)>) -> Self {
        Self { dir, zones, lines, stale: false, told: Vec::new() }
    }

    /// The file of a zone's controllers.
    pub fn file(zone: &str) -> String {
        format!("workers-{zone}.sexp")
    }

    /// Changes a worker's line; it is told when written.
    pub fn change(&mut self, name: &str, state: WorkerState, born: Option<Micros>) {
        if let Some((_, line)) = self.lines.iter_mut().find(|(_, w)| w.name == name) {
            line.state = state;
            line.born = born.or(line.born);
        }
    }

    /// Writes all files, unless they are to be stale.
    pub fn write(&mut self, now: Micros) -> io::Result<()> {
        if self.stale {
            return Ok(());
        }
        for (door, zone) in self.zones.iter().enumerate() {
            let list: Vec<Worker> =
                self.lines.iter().map(|(doors, w)| Worker { address: doors[door], ..w.clone() }).collect();
            let path = self.dir.join(Self::file(zone));
            let beside = path.with_extension("new");
            std::fs::write(&beside, workers::write(&list))?;
            std::fs::rename(&beside, &path)?;
        }
        for (_, w) in &self.lines {
            let last = self.told.iter().rev().find(|t| t.worker == w.name).map(|t| t.state);
            if last != Some(w.state) {
                self.told.push(Told { at: now, worker: w.name.clone(), state: w.state });
            }
        }
        Ok(())
    }
}
