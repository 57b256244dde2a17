//! Controller processes: writes their configuration, starts and signals them, and waits for their exit.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use nettleferry_platform::frames::{self, kind};
use rustix::process::{Pid, Signal, kill_process};

use crate::audit::Audit;
use crate::directory::{Directory, List};
use crate::plan::SignalSeries;
use crate::shim::Faults;
use crate::wire::{FrameReader, SERVED};

/// Time after its start at which the platform treats a controller that is not ready as failed.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline of the calls of every class.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// Time for which a controller may still send calls to a draining worker, counted from the notification of the drain.
pub const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// Span between SIGTERM and SIGKILL in runs without extra shutdowns: 3 s, even if no deadline is that long, plus 0.7 s.
pub const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Shortest span between SIGTERM and SIGKILL that the platform allows: the longest deadline of a class, here
/// [`DEADLINE`] and at most 3 s, plus 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(2_700);
/// Share of its capacity that a worker has when it starts.
pub const START_CAPACITY: f64 = 0.2;
/// Time after its start in which a worker's capacity grows to full capacity. Until then it is cold.
pub const SLOW_START: Duration = Duration::from_millis(8_000);
/// Load above which a cold worker is overloaded, as a multiple of its current capacity.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// Length of the window over which a worker's load is measured.
pub const OVERLOAD_SPAN: Duration = Duration::from_millis(1_000);

/// First port of controllers. It lies below the system's ephemeral ports, so that no outgoing connection takes the port
/// while a controller restarts.
const FIRST_PORT: u16 = 20_000;

/// Second octets of the loopback addresses of runs, one for each block of addresses.
const BLOCK_OCTETS: std::ops::Range<u8> = 20..220;
/// Port that serves as the lock of a block: the process that is bound to it at the block's last address owns the block.
const BLOCK_PORT: u16 = FIRST_PORT - 1;

/// A block of loopback addresses that no other process uses for a run.
struct Block {
    second_octet: u8,
    /// Bound to [`BLOCK_PORT`] for as long as this process runs.
    _lock: TcpListener,
}

/// Returns the block of this process: the first free one, searched from an index derived from the process id. Without
/// the lock, clients of two processes with the same index would reach each other's controllers.
fn block() -> io::Result<&'static Block> {
    static BLOCK: OnceLock<Option<Block>> = OnceLock::new();
    let free = || {
        let first = std::process::id() as usize % BLOCK_OCTETS.len();
        let octets = BLOCK_OCTETS.cycle().skip(first).take(BLOCK_OCTETS.len());
        octets
            .filter_map(|second_octet| {
                let lock =
                    TcpListener::bind(SocketAddr::from(([127, second_octet, 255, 254], BLOCK_PORT))).ok()?;
                Some(Block { second_octet, _lock: lock })
            })
            .next()
    };
    BLOCK.get_or_init(free).as_ref().ok_or_else(|| io::ErrorKind::AddrInUse.into())
}

/// Returns an address for a controller that no other run on this machine uses.
fn own_address(number: usize) -> io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
    let port = FIRST_PORT + NEXT_PORT.fetch_add(1, Ordering::AcqRel) % 10_000;
    Ok(SocketAddr::from(([127, block()?.second_octet, (number % 250) as u8, 1], port)))
}

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

/// The result of terminating a controller.
#[derive(Clone, Copy, Debug)]
pub enum TerminationOutcome {
    /// The process exited in time, with this status.
    Exited(ExitStatus),
    /// The process had not exited in time and was killed, as the platform does.
    Killed,
    /// The controller was not in service, as during another disturbance. Nothing was done.
    NotServing,
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

/// The exit of a process that was asked to exit.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    /// The last moment at which the process was observed running.
    pub earliest: Instant,
    /// The moment at which its exit was observed.
    pub latest: Instant,
    /// Whether it was killed for not exiting in time.
    pub killed: bool,
    /// The time at which the test suspended it with SIGSTOP. `None` if it was not suspended at its exit.
    pub stopped_since: Option<Instant>,
}

/// A procedure that makes a process exit: signals, and SIGKILL if it is still running later.
#[derive(Clone, Debug)]
pub struct Termination {
    /// Signals, each with the delay after the one before.
    pub signals: Vec<(Duration, Signal)>,
    /// Span between the first SIGTERM and SIGKILL.
    pub kill_after: Duration,
}

impl Termination {
    /// Creates a termination with a single SIGTERM.
    pub fn plain(kill_after: Duration) -> Self {
        Self { signals: vec![(Duration::ZERO, Signal::TERM)], kill_after }
    }

    /// Creates a termination with a series of signals, each `gap` after the one before. `middle` is the delay after
    /// SIGTERM at which [`SignalSeries::ReloadDuringShutdown`] sends SIGHUP.
    pub fn series(series: SignalSeries, gap: Duration, middle: Duration, kill_after: Duration) -> Self {
        let (hup, term) = (Signal::HUP, Signal::TERM);
        let signals = match series {
            SignalSeries::ReloadReloadEnd => vec![(Duration::ZERO, hup), (gap, hup), (gap, term)],
            SignalSeries::ReloadEndReload => vec![(Duration::ZERO, hup), (gap, term), (gap, hup)],
            SignalSeries::EndReloadReload => vec![(Duration::ZERO, term), (gap, hup), (gap, hup)],
            SignalSeries::EndEnd => vec![(Duration::ZERO, term), (gap, term)],
            SignalSeries::ReloadDuringShutdown => vec![(Duration::ZERO, term), (middle, hup)],
            SignalSeries::EndBeforeReady => vec![(Duration::ZERO, term)],
        };
        Self { signals, kill_after }
    }
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

    /// Returns the exit of the last process that was asked to exit, if there was one.
    pub fn last_end(&self) -> Option<ProcessEnd> {
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_end(&self, earliest: Instant, killed: bool) {
        let stopped_since = *self.stopped_since.lock().unwrap_or_else(PoisonError::into_inner);
        let end = ProcessEnd { earliest, latest: Instant::now(), killed, stopped_since };
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
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

    /// Starts a process and waits until it is ready. Returns false if it exits before or exceeds [`READY_TIMEOUT`].
    pub fn start(&self, fleet: Fleet, directory: &Arc<Directory>, audit: &Arc<Audit>) -> io::Result<bool> {
        self.launch(fleet, directory, audit)?;
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                self.state().phase = Phase::Serving;
                audit.incident(self.number, "ready");
                return Ok(true);
            }
            if self.exit_status()?.is_some() {
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(false)
    }

    /// Starts a process, sends SIGTERM when the span `after` has passed, and waits for its exit. Returns its status, or
    /// `None` if it was killed because it still ran `kill_after` later.
    pub fn end_before_ready(
        &self,
        fleet: Fleet,
        directory: &Arc<Directory>,
        audit: &Arc<Audit>,
        after: Duration,
        kill_after: Duration,
    ) -> io::Result<Option<ExitStatus>> {
        self.launch(fleet, directory, audit)?;
        std::thread::sleep(after);
        self.signal(Signal::TERM);
        audit.incident(self.number, "SIGTERM before it is ready");
        self.wait_or_kill(Instant::now() + kill_after)
    }

    /// Writes the configuration, in which the directory has a new address, and starts a process.
    fn launch(&self, fleet: Fleet, directory: &Arc<Directory>, audit: &Arc<Audit>) -> io::Result<()> {
        let stop = Arc::new(AtomicBool::new(false));
        let resolver = directory.open(self.number, Arc::clone(audit), Arc::clone(&stop))?;
        let list = directory.list();
        std::fs::write(self.config_path(), self.config(fleet, resolver, &list))?;
        // The process can't have read the list in its configuration before this moment.
        let before_start = audit.now();
        let life = {
            let mut state = self.state();
            state.stop_directory.store(true, Ordering::Release);
            state.stop_directory = stop;
            state.lives += 1;
            state.lives
        };
        let log = File::create(self.dir.join(format!("life-{life}.log")))?;
        let mut command = Command::new(&self.program);
        command.arg("node").env("PROXY_CONFIG", self.config_path()).env("RUST_LOG", "info");
        if let Some(shim) = &self.shim {
            command.envs(self.faults.environment(shim, (self.number as u64 + 1) * 7919 + u64::from(life)));
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        audit.list_sent(self.number, list.serial, before_start, None);
        self.state().child = Some(child);
        audit.incident(self.number, format!("process {life} started"));
        Ok(())
    }

    /// Whether the process answers a readiness query, and is ready.
    fn is_ready(&self) -> bool {
        let query = || -> io::Result<bool> {
            let mut socket = TcpStream::connect_timeout(&self.address, Duration::from_millis(200))?;
            socket.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut out = Vec::new();
            frames::bare(&mut out, kind::READY, 1);
            socket.write_all(&out)?;
            let (mut reader, mut buffer) = (FrameReader::default(), [0; 64]);
            loop {
                let length = socket.read(&mut buffer)?;
                reader.push(&buffer[..length]);
                if let Some(frame) = reader.next_frame() {
                    return Ok(frame.kind == kind::READY_ANSWER && frame.payload.first() == Some(&SERVED));
                }
                if length == 0 {
                    return Ok(false);
                }
            }
        };
        query().unwrap_or(false)
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

    /// Changes the state of a controller that is in service to `phase`. Returns false if it was not in service, so that
    /// only one disturbance at a time starts or ends its processes.
    fn leave_service(&self, phase: Phase) -> bool {
        let mut state = self.state();
        let was_serving = state.phase == Phase::Serving;
        if was_serving {
            state.phase = phase;
        }
        was_serving
    }

    /// Kills the process as a disturbance, after which its open requests need no answer. Returns false if the
    /// controller was not in service.
    pub fn kill(&self, audit: &Audit) -> bool {
        if !self.leave_service(Phase::Down) {
            return false;
        }
        self.kills.fetch_add(1, Ordering::AcqRel);
        audit.incident(self.number, "SIGKILL");
        let mut state = self.state();
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        true
    }

    /// Sends the signals of `termination` and waits until the process has exited. At the end of its `kill_after`, it
    /// kills the process, as the platform does.
    pub fn terminate(&self, termination: &Termination, audit: &Audit) -> io::Result<TerminationOutcome> {
        if !self.leave_service(Phase::Ending) {
            return Ok(TerminationOutcome::NotServing);
        }
        let mut kill_at = None;
        for (after, signal) in &termination.signals {
            std::thread::sleep(*after);
            audit.incident(self.number, format!("signal {signal:?}"));
            self.signal(*signal);
            if *signal == Signal::TERM {
                kill_at = kill_at.or(Some(Instant::now() + termination.kill_after));
            }
        }
        let kill_at = kill_at.unwrap_or_else(Instant::now);
        let status = self.wait_or_kill(kill_at)?;
        let description = status.map_or_else(|| "killed".to_owned(), |status| format!("exited ({status})"));
        audit.incident(self.number, description);
        Ok(status.map_or(TerminationOutcome::Killed, TerminationOutcome::Exited))
    }

    /// Waits until the process has exited and returns its status. At `kill_at`, it kills the process, as the platform
    /// does, and returns `None`. Requests that are unanswered then count as lost, unless they were sent just before.
    fn wait_or_kill(&self, kill_at: Instant) -> io::Result<Option<ExitStatus>> {
        let mut last_running = Instant::now();
        while Instant::now() < kill_at {
            let before = Instant::now();
            if let Some(status) = self.exit_status()? {
                self.record_end(last_running, false);
                let mut state = self.state();
                (state.phase, state.child) = (Phase::Down, None);
                return Ok(Some(status));
            }
            last_running = before;
            std::thread::sleep(Duration::from_millis(5));
        }
        let child = self.state().child.take();
        if let Some(mut child) = child {
            let before = Instant::now();
            child.kill()?;
            child.wait()?;
            self.record_end(before, true);
        }
        self.state().phase = Phase::Down;
        Ok(None)
    }

    /// Writes a configuration, in which the directory has a new address, and sends SIGHUP. If `half`, the process first
    /// gets a SIGHUP while the file is half written.
    pub fn reload(
        &self,
        fleet: Fleet,
        directory: &Arc<Directory>,
        audit: &Arc<Audit>,
        half: bool,
    ) -> io::Result<()> {
        let stop = Arc::new(AtomicBool::new(false));
        let resolver = directory.open(self.number, Arc::clone(audit), Arc::clone(&stop))?;
        let text = self.config(fleet, resolver, &directory.list());
        if half {
            std::fs::write(self.config_path(), &text[..text.len() / 2])?;
            self.signal(Signal::HUP);
            std::thread::sleep(Duration::from_millis(50));
        }
        let new = self.dir.join("config.new");
        std::fs::write(&new, &text)?;
        std::fs::rename(&new, self.config_path())?;
        self.signal(Signal::HUP);
        let mut state = self.state();
        // The thread at the old address stops. Lists that it sent before stay in the record.
        state.stop_directory.store(true, Ordering::Release);
        state.stop_directory = stop;
        Ok(())
    }

    /// Returns the logs of all processes so far, in order of their starts. Logs that can't be read are left out.
    pub fn logs(&self) -> Vec<String> {
        let lives = self.state().lives;
        let read = |life| std::fs::read_to_string(self.dir.join(format!("life-{life}.log")));
        (1..=lives).filter_map(|life| read(life).ok()).collect()
    }

    fn config_path(&self) -> PathBuf {
        self.dir.join("config.json")
    }

    fn config(&self, fleet: Fleet, resolver: SocketAddr, list: &List) -> String {
        let listed = list.entries.iter().enumerate().filter(|(_, entry)| entry.listed);
        let instances: Vec<_> = listed
            .map(|(number, entry)| {
                serde_json::json!({"instanceId": format!("s-{number}"), "hostPort": entry.address.to_string(),
                    "zone": "east", "machineType": "std", "cell": 1, "weight": 1,
                    "lifecycle": if entry.in_service { "up" } else { "draining" },
                    "startedAtMs": entry.started_ms})
            })
            .collect();
        let class = |name: &str, effect: &str| {
            serde_json::json!({"name": name, "deadline_ms": DEADLINE.as_millis() as u64,
                "goal_time_ms": 300, "effect": effect, "points": 1, "late_share": 0.2})
        };
        serde_json::json!({
            "name": format!("n{}", self.number), "listen": self.address.to_string(),
            "seed": format!("{:x}", self.number + 1), "resolver": resolver.to_string(),
            "limits": {"cores": 1, "memory_mb": 48, "sockets": 256},
            "known": {"pos": list.serial,
                "entries": [{"pos": list.serial, "hosts": {"generation": 1, "reset": true, "instances": instances}}]},
            "settings": {
                "classes": [class("safe", "free"), class("once", "single_shot")],
                "me": self.number, "n_instances": fleet.controllers, "step_ms": 4, "zone": "east",
                "stats": {"how": "none"},
                "family_info": {"when_absent": "miss", "orders": true, "warm_notes": true,
                    "linger_idle_ms": 10_000, "order_timeout_ms": 4_000},
                "limits": {"max_attempts": 3, "probes": true, "cancel": true, "connect_timeout_ms": 250,
                    "conn_idle_ms": 1_000, "max_streams": 32, "max_open": 20_000},
                "obligations": {"stop_sending_within_ms": DRAIN_GRACE.as_millis() as u64,
                    "start_capacity": START_CAPACITY, "cold_ms": SLOW_START.as_millis() as u64,
                    "overload_factor": OVERLOAD_FACTOR, "fall_ms": OVERLOAD_SPAN.as_millis() as u64,
                    "grace_to_answer_ms": 8},
            },
        })
        .to_string()
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
