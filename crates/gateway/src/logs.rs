//! Logs by tracing: text or JSON lines, to standard error. Standard output belongs to what a command prints.
//!
//! A line that standard error does not take at once is dropped and counted: neither a full disk nor a reader that
//! sleeps may end or hold up the process.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use clap::{Args, ValueEnum};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::{DefaultFields, Format, Full};
use tracing_subscriber::fmt::{MakeWriter, SubscriberBuilder};

/// How logs look.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Style {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Args, Clone, Debug)]
pub struct Logs {
    /// What is logged: a level (error, warn, info, debug, trace) or tracing's filter directives
    #[arg(long, global = true, default_value = "info", value_name = "FILTER", env = "RUST_LOG")]
    pub log: String,
    /// How log lines look
    #[arg(long, global = true, default_value = "text", value_name = "FORMAT")]
    log_format: Style,
}

/// Lines that wait for a slow reader of standard error; what is beyond is dropped and counted at the end.
const LINES_WAITING: usize = 16_384;

/// Lines that were dropped; said when it ends.
pub struct Writing {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl Drop for Writing {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            say(format_args!("nettleferry: {dropped} log lines were dropped: nobody read them in time"));
        }
    }
}

/// Writes a line to standard error, if it takes one.
pub fn say(line: std::fmt::Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Bytes of a line: what a pipe that can be written to takes without a wait.
const LINE_MOST: usize = 4096;

/// Lines that standard error did not take.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Log lines that standard error did not take so far: [`LogWriter`].
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Standard error as the log's end, for a thread that may not wait.
#[derive(Clone, Copy, Debug)]
struct LogWriter;

impl LogWriter {
    /// Would a line be taken without a wait? A file always says so; what can't be asked is tried.
    fn takes() -> bool {
        let stderr = io::stderr();
        let mut asked =
            [rustix::event::PollFd::from_borrowed_fd(stderr.as_fd(), rustix::event::PollFlags::OUT)];
        let now = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        !matches!(rustix::event::poll(&mut asked, Some(&now)), Ok(0))
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let cut = line.len().min(LINE_MOST);
        if !Self::takes() || io::stderr().write_all(&line[..cut]).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging. Directives that can't be read are told, and `info` is used. `aside`: lines are written by a
/// thread of their own, so that the thread that answers calls waits neither for a disk nor for a reader.
pub fn start(logs: &Logs, aside: bool) -> Option<Writing> {
    let filter = EnvFilter::try_new(&logs.log).unwrap_or_else(|error| {
        say(format_args!("nettleferry: --log {:?}: {error}; info is used", logs.log));
        EnvFilter::new("info")
    });
    use std::io::IsTerminal;
    let ansi = std::io::stderr().is_terminal();
    // What can't be written can't be complained of there either.
    let base = tracing_subscriber::fmt().with_ansi(ansi).with_env_filter(filter).log_internal_errors(false);
    if !aside {
        finish(logs, base.with_writer(|| LogWriter));
        return None;
    }
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES_WAITING);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let dropped = writer.error_counter();
    finish(logs, base.with_writer(writer));
    Some(Writing { dropped, _guard: guard })
}

fn finish<W>(logs: &Logs, base: SubscriberBuilder<DefaultFields, Format<Full>, EnvFilter, W>)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    // A second start in one process changes nothing: the first stands.
    let _ = match logs.log_format {
        Style::Text => base.with_target(false).try_init(),
        Style::Json => base.json().flatten_event(true).try_init(),
    };
}
