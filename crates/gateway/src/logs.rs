//! Logging through `tracing`: text or JSON lines on standard error. Standard output is reserved for the output of
//! commands.
//!
//! Logging never waits for standard error, so that neither a full disk nor a stalled reader can delay or end the
//! process. With a log thread, lines wait in a bounded queue, and those that find it full are dropped and counted.
//! Without one, a line is dropped and counted if standard error would block or the write fails.

use std::fmt::Arguments;
use std::io::{self, IsTerminal, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use clap::{Args, ValueEnum};
use rustix::event::{PollFd, PollFlags, Timespec};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::{DefaultFields, Format, Full};
use tracing_subscriber::fmt::{MakeWriter, SubscriberBuilder};

/// The format of log lines.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// Command-line options of logging, which every subcommand has.
#[derive(Args, Clone, Debug)]
pub(crate) struct LogOptions {
    /// What is logged: a level (error, warn, info, debug, trace) or tracing's filter directives
    #[arg(long, global = true, default_value = "info", value_name = "FILTER", env = "RUST_LOG")]
    pub(crate) log: String,
    /// Format of log lines
    #[arg(long, global = true, default_value = "text", value_name = "FORMAT")]
    log_format: LogFormat,
}

/// The filter that is used where the value of `--log` is not valid.
const DEFAULT_FILTER: &str = "info";
/// Maximum number of lines that wait for the log thread; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 16_384;
/// Maximum number of bytes of a line that [`LogWriter`] writes: a pipe that `poll` reports as writable accepts this
/// many without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// Number of lines that [`LogWriter`] dropped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The number of log lines dropped so far by a process that logs without a log thread.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Handle of the log thread. Dropping it reports on standard error how many lines were dropped, and stops the thread.
pub(crate) struct LogThread {
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

impl Drop for LogThread {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            write_line(format_args!(
                "nettleferry: {dropped} log lines were dropped: standard error was not read in time"
            ));
        }
    }
}

/// Writes a line to standard error. A failed write is ignored.
pub(crate) fn write_line(line: Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Writes to standard error without blocking the calling thread, in a process without a log thread. Longer lines are
/// cut off at [`MAX_LINE_BYTES`].
#[derive(Clone, Copy, Debug)]
struct LogWriter;

impl LogWriter {
    /// Whether standard error would accept a line without blocking. True for files, and also where `poll` fails: the
    /// write then reports the error.
    fn is_writable() -> bool {
        let stderr = io::stderr();
        let mut descriptors = [PollFd::from_borrowed_fd(stderr.as_fd(), PollFlags::OUT)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        !matches!(rustix::event::poll(&mut descriptors, Some(&no_wait)), Ok(0))
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = &line[..line.len().min(MAX_LINE_BYTES)];
        if !Self::is_writable() || io::stderr().write_all(written).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the subscriber of this process. An invalid filter is reported on standard error, and `info` is used
/// instead. With `background` a separate thread writes the lines, so that the thread that answers calls never waits for
/// a disk or a reader; its handle is returned.
pub(crate) fn start(options: &LogOptions, background: bool) -> Option<LogThread> {
    let filter = EnvFilter::try_new(&options.log).unwrap_or_else(|error| {
        write_line(format_args!("nettleferry: --log {:?}: {error}; info is used", options.log));
        EnvFilter::new(DEFAULT_FILTER)
    });
    let ansi = io::stderr().is_terminal();
    // Internal errors of the subscriber would go to standard error too, so they are not reported.
    let base = tracing_subscriber::fmt().with_ansi(ansi).with_env_filter(filter).log_internal_errors(false);
    if !background {
        install(options.log_format, base.with_writer(|| LogWriter));
        return None;
    }
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(io::stderr());
    let dropped = writer.error_counter();
    install(options.log_format, base.with_writer(writer));
    Some(LogThread { dropped, _guard: guard })
}

fn install<W>(format: LogFormat, builder: SubscriberBuilder<DefaultFields, Format<Full>, EnvFilter, W>)
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    // Fails where a subscriber is installed already; that one stays in use.
    let _ = match format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}
