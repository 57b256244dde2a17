//! Controller processes: their configuration, their starts, signals and ends.

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
use crate::wire::FrameReader;

/// A controller that is not ready within this span of its start has not started: the platform's figure.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline of each class.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
/// Within this span of being told of a drain, nothing new goes there any more.
pub const DRAIN_GRACE: Duration = Duration::from_millis(1_000);
/// SIGKILL follows SIGTERM after this span in runs without extra shutdowns: 3 s, whatever the longest deadline, and 0.7 s.
pub const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// The earliest that the platform allows: the longest deadline, taken as 3 s where it is longer, and 0.7 s.
pub const EARLIEST_KILL: Duration = Duration::from_millis(2_700);
/// A cold worker bears this share of its capacity at first.
pub const START_CAPACITY: f64 = 0.2;
/// So long a worker is cold.
pub const SLOW_START: Duration = Duration::from_millis(8_000);
/// A worker bears so many times its capacity.
pub const OVERLOAD_FACTOR: f64 = 2.5;
/// The window over which a worker's load counts.
pub const OVERLOAD_SPAN: Duration = Duration::from_millis(1_000);

/// The first port of controllers: below those that the system gives to connections, so that none is taken while a
/// controller restarts.
const FIRST_PORT: u16 = 20_000;

/// The second parts of loopback addresses that runs have.
const RUNS: std::ops::Range<u8> = 20..220;
/// A process that holds this port at the last address of a run's block has the block.
const BLOCK_PORT: u16 = FIRST_PORT - 1;

/// A block of loopback addresses that no other process plays on.
struct Block {
    run: u8,
    /// Holds the block for as long as this process lives.
    _lock: TcpListener,
}

/// The block of this process: the first that is free from one on that follows from its id. Two processes whose ids lead to
/// the same block would else ask each other's controllers.
fn block() -> io::Result<&'static Block> {
    static BLOCK: OnceLock<Option<Block>> = OnceLock::new();
    let free = || {
        let first = std::process::id() as usize % RUNS.len();
        let runs = RUNS.cycle().skip(first).take(RUNS.len());
        runs.filter_map(|run| {
            let lock = TcpListener::bind(SocketAddr::from(([127, run, 255, 254], BLOCK_PORT))).ok()?;
            Some(Block { run, _lock: lock })
        })
        .next()
    };
    BLOCK.get_or_init(free).as_ref().ok_or_else(|| io::ErrorKind::AddrInUse.into())
}

/// An address of its own for a controller, whichever other runs there are on this machine.
fn own_address(number: usize) -> io::Result<SocketAddr> {
    static PLACES: AtomicU16 = AtomicU16::new(0);
    let port = FIRST_PORT + PLACES.fetch_add(1, Ordering::AcqRel) % 10_000;
    Ok(SocketAddr::from(([127, block()?.run, (number % 250) as u8, 1], port)))
}

/// What clients may do with a controller now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes calls.
    Serving,
    /// It was asked to end.
    Ending,
    /// It is not there.
    Down,
}

/// What arrived of asking a controller to end.
#[derive(Clone, Copy, Debug)]
pub enum Ended {
    /// It ended.
    ByItself(ExitStatus),
    /// It had not ended when the platform kills.
    Killed,
    /// It was not in service: another disturbance has it.
    NotServing,
}

/// A controller's id: its address and name outlive its processes.
pub struct Controller {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Faults of its system calls.
    pub faults: Faults,
    program: PathBuf,
    shim: Option<PathBuf>,
    dir: PathBuf,
    state: Mutex<State>,
    /// Kills by the test so far: what was open then is owed by nobody.
    pub kills: AtomicU64,
    /// How the last process ended that had been asked to.
    last_end: Mutex<Option<ProcessEnd>>,
    /// Since when the test has stopped its process.
    stopped_since: Mutex<Option<Instant>>,
}

/// The end of a process that had been asked to end.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    /// It was still there at this moment,
    pub earliest: Instant,
    /// and no more at this one.
    pub latest: Instant,
    /// It was killed, as the platform does.
    pub killed: bool,
    /// Since when the test had stopped it, where it was killed while it stood still.
    pub stopped_since: Option<Instant>,
}

/// How a process is asked to end.
#[derive(Clone, Debug)]
pub struct Termination {
    /// Signals, and how long after the one before each is sent.
    pub signals: Vec<(Duration, Signal)>,
    /// SIGKILL comes so long after the first SIGTERM.
    pub kill_after: Duration,
}

impl Termination {
    /// By SIGTERM alone.
    pub fn plain(kill_after: Duration) -> Self {
        Self { signals: vec![(Duration::ZERO, Signal::TERM)], kill_after }
    }

    /// By a series of signals, each `gap` after the one before; `middle`: the middle of a shutdown.
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
    lives: u32,
    /// Ends the directory's thread at the address that was told last.
    directory: Arc<AtomicBool>,
}

/// How many controllers there are, and which settings they share.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Controllers.
    pub controllers: usize,
}

impl Controller {
    /// A id for a controller, with no process yet.
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
        let state = State { phase: Phase::Down, child: None, lives: 0, directory: Arc::default() };
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

    /// What clients may do with it now.
    pub fn phase(&self) -> Phase {
        self.state().phase
    }

    /// How the last process ended that had been asked to.
    pub fn last_end(&self) -> Option<ProcessEnd> {
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_end(&self, earliest: Instant, killed: bool) {
        let stopped_since = *self.stopped_since.lock().unwrap_or_else(PoisonError::into_inner);
        let end = ProcessEnd { earliest, latest: Instant::now(), killed, stopped_since };
        *self.last_end.lock().unwrap_or_else(PoisonError::into_inner) = Some(end);
    }

    /// Stops its process for a while.
    pub fn freeze(&self, span: Duration, audit: &Audit) {
        let set = |since| *self.stopped_since.lock().unwrap_or_else(PoisonError::into_inner) = since;
        set(Some(Instant::now()));
        audit.incident(self.number, "stopped");
        self.signal(Signal::STOP);
        std::thread::sleep(span);
        self.signal(Signal::CONT);
        set(None);
        audit.incident(self.number, "goes on");
    }

    /// Starts a process of it, and waits until it is ready.
    pub fn start(&self, fleet: Fleet, directory: &Arc<Directory>, audit: &Arc<Audit>) -> io::Result<bool> {
        self.launch(fleet, directory, audit)?;
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.ready() {
                self.state().phase = Phase::Serving;
                audit.incident(self.number, "ready");
                return Ok(true);
            }
            if self.exited()?.is_some() {
                return Ok(false);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(false)
    }

    /// Starts a process of it, asks it to end before it can be ready, and waits for its end. `None`: it was killed.
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

    /// Starts a process of it.
    fn launch(&self, fleet: Fleet, directory: &Arc<Directory>, audit: &Arc<Audit>) -> io::Result<()> {
        let stop = Arc::new(AtomicBool::new(false));
        let resolver = directory.open(self.number, Arc::clone(audit), Arc::clone(&stop))?;
        let list = directory.list();
        std::fs::write(self.config_path(), self.config(fleet, resolver, &list))?;
        // It can't have read it before.
        let before_start = audit.now();
        let life = {
            let mut state = self.state();
            state.directory.store(true, Ordering::Release);
            state.directory = stop;
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
        audit.incident(self.number, format!("life {life} started"));
        Ok(())
    }

    fn ready(&self) -> bool {
        let asked = || -> io::Result<bool> {
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
                    return Ok(frame.kind == kind::READY_ANSWER && frame.payload.first() == Some(&79));
                }
                if length == 0 {
                    return Ok(false);
                }
            }
        };
        asked().unwrap_or(false)
    }

    /// Its process has ended, if it has one.
    pub fn exited(&self) -> io::Result<Option<ExitStatus>> {
        match &mut self.state().child {
            Some(child) => child.try_wait(),
            None => Ok(None),
        }
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: Signal) {
        let pid = self.state().child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Takes it out of service, for one disturbance alone. False: another one has.
    fn leave_service(&self, phase: Phase) -> bool {
        let mut state = self.state();
        let served = state.phase == Phase::Serving;
        if served {
            state.phase = phase;
        }
        served
    }

    /// Kills it: what is open there is owed by nobody. False: it was not in service.
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

    /// Asks it to end and waits until it has, or kills it when the platform would.
    pub fn terminate(&self, termination: &Termination, audit: &Audit) -> io::Result<Ended> {
        if !self.leave_service(Phase::Ending) {
            return Ok(Ended::NotServing);
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
        let ended = self.wait_or_kill(kill_at)?;
        let how = ended.map_or_else(|| "killed".to_owned(), |status| format!("ended by itself, {status}"));
        audit.incident(self.number, how);
        Ok(ended.map_or(Ended::Killed, Ended::ByItself))
    }

    /// Waits until its process has ended. `None`: it was killed at that moment, as the platform does: what is unanswered
    /// then is lost.
    fn wait_or_kill(&self, kill_at: Instant) -> io::Result<Option<ExitStatus>> {
        let mut seen = Instant::now();
        while Instant::now() < kill_at {
            let before = Instant::now();
            if let Some(status) = self.exited()? {
                self.record_end(seen, false);
                let mut state = self.state();
                (state.phase, state.child) = (Phase::Down, None);
                return Ok(Some(status));
            }
            seen = before;
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

    /// Gives it a new configuration that moves its directory, and SIGHUP. `half`: the file is half written at first.
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
        // What the old address has sent is sent; it answers no more.
        state.directory.store(true, Ordering::Release);
        state.directory = stop;
        Ok(())
    }

    /// What its processes logged, one text a life.
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
        state.directory.store(true, Ordering::Release);
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
