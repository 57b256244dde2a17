//! Child processes of a run, and their standard input, output and error. Each child has its own process group, so that
//! a signal from the terminal reaches only the rig, which then terminates the children.

use std::collections::VecDeque;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::measure::MeasureError;
use crate::process::Process;

/// Number of most recent log lines that are kept for each child.
const LOG_LINES: usize = 20;
/// Length in bytes to which a kept log line is truncated.
const MAX_LOG_LINE_BYTES: usize = 400;
/// Maximum number of unread lines of a child's standard output; further lines are dropped.
const OUTPUT_QUEUE_LINES: usize = 4_096;
/// Length in bytes at which a line of output is split.
const MAX_OUTPUT_LINE_BYTES: u64 = 1 << 20;
/// Time between SIGTERM and SIGKILL; also the limit of a wait for the exit of a child that closed its output, and for
/// the rest of the log of a child that exited.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which [`wait_until`] polls its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Handle of a child that [`Children::start`] returned; it refers to no process after the child is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChildId(usize);

struct RunningChild {
    label: String,
    child: Child,
    output: Receiver<String>,
    log: Arc<Mutex<Log>>,
}

/// The most recent lines of a child's standard error, and the number of all lines so far.
#[derive(Default)]
struct Log {
    last_lines: VecDeque<String>,
    line_count: u64,
}

impl Log {
    fn push(&mut self, mut line: String) {
        let mut length = line.len().min(MAX_LOG_LINE_BYTES);
        while !line.is_char_boundary(length) {
            length -= 1;
        }
        line.truncate(length);
        if self.last_lines.len() == LOG_LINES {
            self.last_lines.pop_front();
        }
        self.last_lines.push_back(line);
        self.line_count += 1;
    }
}

/// The child processes of a run; dropping the value terminates all of them.
pub struct Children {
    program: PathBuf,
    max_processes: u64,
    running: Vec<Option<RunningChild>>,
}

impl Children {
    /// Creates a set without children. [`Children::start`] runs `program`, and allows at most `max_processes` children
    /// at a time.
    pub fn new(program: PathBuf, max_processes: u64) -> Self {
        Self { program, max_processes, running: Vec::new() }
    }

    /// Starts the program with these arguments. `label` names the child in errors. The child's standard input stays
    /// open until the child is stopped. Fails if the maximum number of processes is already running.
    pub fn start<A: AsRef<OsStr>>(
        &mut self,
        label: &str,
        arguments: impl IntoIterator<Item = A>,
    ) -> Result<ChildId, MeasureError> {
        if self.ids().count() as u64 >= self.max_processes {
            return Err(MeasureError::Unexpected(format!(
                "{label}: more than {} processes are not allowed at a time",
                self.max_processes
            )));
        }
        let mut command = Command::new(&self.program);
        command.args(arguments).process_group(0);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(MeasureError::system(format!("can't start {label}")))?;
        let (lines, output) = sync_channel(OUTPUT_QUEUE_LINES);
        let log = Arc::new(Mutex::new(Log::default()));
        if let Some(out) = child.stdout.take() {
            thread::spawn(move || forward_lines(out, &lines));
        }
        if let Some(err) = child.stderr.take() {
            let log = Arc::clone(&log);
            thread::spawn(move || record_log_lines(err, &log));
        }
        self.running.push(Some(RunningChild { label: label.to_owned(), child, output, log }));
        Ok(ChildId(self.running.len() - 1))
    }

    /// Process ids of the children that have not been stopped.
    pub fn ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.running.iter().flatten().map(|running| running.child.id())
    }

    /// The process of a child, for sampling its resource usage; none for a stopped child.
    pub fn process(&self, id: ChildId) -> Option<Process> {
        self.get(id).map(|running| Process::by_id(running.child.id()))
    }

    /// Resident memory of all running children, in bytes. A child whose memory can't be read counts as 0.
    pub fn resident(&self) -> u64 {
        self.ids().filter_map(|id| Process::by_id(id).resident().ok()).sum()
    }

    /// Waits for the next line of a child's standard output. Fails if none arrives within `limit` or the child ends.
    pub fn next_line(&mut self, id: ChildId, limit: Duration) -> Result<String, MeasureError> {
        let until = Instant::now() + limit;
        let Some(running) = self.get(id) else {
            return Err(MeasureError::Unexpected(
                "can't read the output of a child that was already stopped".to_owned(),
            ));
        };
        match running.output.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(line) => Ok(line),
            Err(RecvTimeoutError::Timeout) => {
                Err(self.child_error(id, &format!("no line on standard output within {limit:?}")))
            }
            Err(RecvTimeoutError::Disconnected) => {
                self.wait_for_exit(id, TERMINATION_TIMEOUT);
                self.check()?;
                Err(self.child_error(id, "standard output was closed"))
            }
        }
    }

    /// Returns the next line of a child's standard output if one is already queued.
    pub fn try_line(&mut self, id: ChildId) -> Option<String> {
        self.get(id)?.output.try_recv().ok()
    }

    /// Writes a line to a child's standard input; does nothing for a stopped child.
    pub fn write_line(&mut self, id: ChildId, line: &str) -> Result<(), MeasureError> {
        let stdin = self.get_mut(id).and_then(|running| running.child.stdin.as_mut());
        let Some(stdin) = stdin else { return Ok(()) };
        let written = writeln!(stdin, "{line}").and_then(|()| stdin.flush());
        written.map_err(MeasureError::system("can't write to a child's standard input"))
    }

    /// Number of lines that a child has logged so far; 0 for a stopped child.
    pub fn log_line_count(&self, id: ChildId) -> u64 {
        self.get(id).map_or(0, |running| lock(&running.log).line_count)
    }

    /// The most recent log lines of a child, without its first `after` lines.
    pub fn log_lines_after(&self, id: ChildId, after: u64) -> Vec<String> {
        let Some(running) = self.get(id) else { return Vec::new() };
        let log = lock(&running.log);
        let new = usize::try_from(log.line_count.saturating_sub(after)).unwrap_or(usize::MAX);
        let skipped = log.last_lines.len().saturating_sub(new);
        log.last_lines.iter().skip(skipped).cloned().collect()
    }

    /// The most recent log lines of a child, oldest first; empty for a stopped child.
    pub fn last_log(&self, id: ChildId) -> Vec<String> {
        self.get(id).map_or_else(Vec::new, |running| lock(&running.log).last_lines.iter().cloned().collect())
    }

    /// Builds an error with the child's label, `what` as its description, and the last log lines.
    pub fn child_error(&self, id: ChildId, what: &str) -> MeasureError {
        let label = self.get(id).map_or_else(String::new, |running| running.label.clone());
        MeasureError::Child { label, what: what.to_owned(), log: self.last_log(id).join("\n") }
    }

    /// Fails if a child has exited without being stopped; the error has the label and the last log lines of the first
    /// such child, which is removed from the set.
    pub fn check(&mut self) -> Result<(), MeasureError> {
        for slot in &mut self.running {
            let Some(running) = slot else { continue };
            let Ok(Some(status)) = running.child.try_wait() else { continue };
            let Some(running) = slot.take() else { continue };
            // The reader thread drops its reference at the end of the stream: the log is then complete.
            wait_until(TERMINATION_TIMEOUT, || Arc::strong_count(&running.log) == 1);
            let log: Vec<String> = lock(&running.log).last_lines.iter().cloned().collect();
            let (label, status) = (running.label, status.to_string());
            return Err(MeasureError::ChildDied { label, status, log: log.join("\n") });
        }
        Ok(())
    }

    /// Stops one child: closes its standard input, sends SIGTERM, and SIGKILL if it is still running after a timeout.
    pub fn stop(&mut self, id: ChildId) {
        if let Some(running) = self.running.get_mut(id.0).and_then(Option::take) {
            terminate(vec![running]);
        }
    }

    /// Stops all children as [`Children::stop`] does, with one timeout for all of them.
    pub fn stop_all(&mut self) {
        terminate(self.running.iter_mut().filter_map(Option::take).collect());
    }

    fn get(&self, id: ChildId) -> Option<&RunningChild> {
        self.running.get(id.0)?.as_ref()
    }

    fn get_mut(&mut self, id: ChildId) -> Option<&mut RunningChild> {
        self.running.get_mut(id.0)?.as_mut()
    }

    fn wait_for_exit(&mut self, id: ChildId, limit: Duration) {
        if let Some(running) = self.get_mut(id) {
            wait_until(limit, || !matches!(running.child.try_wait(), Ok(None)));
        }
    }
}

impl Drop for Children {
    fn drop(&mut self) {
        self.stop_all();
    }
}

/// Stops the children. Signals all of them before waiting for any, so that they shut down in parallel.
fn terminate(mut children: Vec<RunningChild>) {
    for running in &mut children {
        drop(running.child.stdin.take());
        // The process id of a child that has not been reaped can't have been reused. Exited children are reaped by
        // `check`, which removes them from the set. The exception is a child that `next_line` reaped while `check`
        // reported another one.
        let _ = kill_process(Pid::from_child(&running.child), Signal::TERM);
    }
    let until = Instant::now() + TERMINATION_TIMEOUT;
    for running in &mut children {
        let left = until.saturating_duration_since(Instant::now());
        if !wait_until(left, || !matches!(running.child.try_wait(), Ok(None))) {
            let _ = running.child.kill();
            let _ = running.child.wait();
        }
    }
}

/// Polls a condition until it holds; returns false if it does not hold within the limit.
fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}

fn forward_lines(out: impl Read, lines: &SyncSender<String>) {
    let mut reader = BufReader::new(out);
    while let Some(line) = bounded_line(&mut reader) {
        // A line that does not fit into the queue is dropped: the child must not block on a slow reader.
        if let Err(TrySendError::Disconnected(_)) = lines.try_send(line) {
            return;
        }
    }
}

fn record_log_lines(err: impl Read, log: &Mutex<Log>) {
    let mut reader = BufReader::new(err);
    while let Some(line) = bounded_line(&mut reader) {
        lock(log).push(line);
    }
}

/// Reads the next line, at most [`MAX_OUTPUT_LINE_BYTES`] of it; none at the end of the stream.
fn bounded_line(reader: &mut impl BufRead) -> Option<String> {
    let mut bytes = Vec::new();
    let read = reader.by_ref().take(MAX_OUTPUT_LINE_BYTES).read_until(b'\n', &mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes);
    (read > 0).then(|| text.trim_end_matches(['\n', '\r']).to_owned())
}

fn lock(log: &Mutex<Log>) -> std::sync::MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}
