//! Shared parts of the drivers: the record, processes of the program, loopback addresses, and stand-ins for the
//! platform's directory and invokers.

pub mod node;
pub mod serve;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Ids of the processes that run, and the temporary folders.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
/// A run ends after this time in any case.
const LIMIT: Duration = Duration::from_secs(112);

/// Ends all processes that this run started, removes its folders and exits.
fn exit(code: i32) -> ! {
    for id in PIDS.lock().map(|pids| pids.clone()).unwrap_or_default() {
        if let Some(pid) = Pid::from_raw(id as i32) {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
    for folder in FOLDERS.lock().map(|folders| folders.clone()).unwrap_or_default() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Exit code of a run in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a run that could not be carried out.
pub const NOT_RUN: i32 = 2;

/// The arguments of a driver: the program, the record file and whether the disruption takes place.
pub struct Setup {
    pub program: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Setup {
    /// Reads the environment: `PROGRAM`, `RECORD` and `TROUBLE`. Ends the process with [`NOT_RUN`] if one is unusable.
    pub fn read() -> Self {
        let program = PathBuf::from(std::env::var("PROGRAM").unwrap_or_default());
        if !program.is_file() {
            eprintln!("the program is not built");
            std::process::exit(NOT_RUN);
        }
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let Ok(file) = File::create(&path) else {
            eprintln!("{path} can't be written");
            std::process::exit(NOT_RUN);
        };
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let late = record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(LIMIT);
            late.line("NOT RUN: the run takes too long");
            exit(NOT_RUN);
        });
        Self { program, record, trouble: std::env::var("TROUBLE").as_deref() != Ok("0") }
    }

    /// Writes the last line of the record and ends the process.
    pub fn end(&self, broken: bool, summary: &str) -> ! {
        let word = if broken { "BROKEN" } else { "HELD" };
        self.record.line(&format!("{word}: {summary}"));
        println!("{word}: {summary}");
        exit(if broken { BROKEN } else { HELD })
    }

    /// Ends the process because the run could not be carried out.
    pub fn not_run(&self, why: &str) -> ! {
        self.record.line(&format!("NOT RUN: {why}"));
        println!("NOT RUN: {why}");
        exit(NOT_RUN)
    }
}

/// The record of a run: a line for each thing that was sent, answered or run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_secs_f64() * 1000.0;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{ms:10.1} {text}");
        }
    }
}

/// A folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        FOLDERS.lock().expect("not poisoned").push(path.clone());
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process that this run started; killed at the end of its value.
pub struct Process {
    child: Child,
    pub name: String,
    record: Record,
}

impl Process {
    /// Starts a command, with its standard output and error in `log`.
    pub fn start(record: &Record, name: &str, command: &mut Command, log: &Path) -> Self {
        let file = File::options().create(true).append(true).open(log).expect("a log file");
        let errors = file.try_clone().expect("a log file");
        let child =
            command.stdin(Stdio::null()).stdout(file).stderr(errors).spawn().expect("the program starts");
        PIDS.lock().expect("not poisoned").push(child.id());
        record.line(&format!("process {name} started, pid {}", child.id()));
        Self { child, name: name.to_owned(), record: record.clone() }
    }

    pub fn signal(&self, signal: Signal) {
        self.record.line(&format!("process {}: signal {signal:?}", self.name));
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten();
        if status.is_some() {
            self.forget();
        }
        status
    }

    /// The peak of the process's resident memory in KiB.
    pub fn peak_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// The process has ended: its id may be another's from now on.
    fn forget(&self) {
        PIDS.lock().expect("not poisoned").retain(|pid| *pid != self.child.id());
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Some(status) = self.ended() {
                self.record.line(&format!("process {} ended: {status}", self.name));
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }
}

/// A free address on loopback.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Waits until a condition holds; false if it does not within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
