//! Retries of operations that fail for a moment, by threads that have nothing better to do than wait: steps of a
//! process's start. Retries of calls are decided elsewhere.

use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};

use tracing::warn;

/// For how long an operation is retried, and how often.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Counted from the first attempt; an attempt that begins within it may end later.
    pub timeout: Duration,
    /// The pause between two attempts.
    pub pause: Duration,
}

impl RetryPolicy {
    /// For steps of the start: a third of the 30 s in which the platform wants a process to be ready.
    pub const STARTUP: Self = Self { timeout: Duration::from_secs(10), pause: Duration::from_millis(50) };

    /// Repeats `operation` until it succeeds, fails with an error that is not transient, or the timeout is over; its last
    /// result is returned. `on_retry` gets each error after which another attempt follows. Blocks the thread.
    pub fn run<T, E>(
        &self,
        mut operation: impl FnMut() -> Result<T, E>,
        is_transient: impl Fn(&E) -> bool,
        mut on_retry: impl FnMut(&E),
    ) -> Result<T, E> {
        let deadline = Instant::now() + self.timeout;
        loop {
            match operation() {
                Err(error) if is_transient(&error) && Instant::now() < deadline => on_retry(&error),
                result => return result,
            }
            std::thread::sleep(self.pause);
        }
    }
}

/// Runs one step of the start with [`RetryPolicy::STARTUP`], and logs each failure that is retried.
pub fn retry_startup<T, E: Display>(
    step: &'static str,
    operation: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let log_failure = |error: &E| warn!(step, %error, "startup step failed, retrying");
    RetryPolicy::STARTUP.run(operation, is_transient, log_failure)
}

/// Whether a failure to open a listener or another resource of the system may pass by itself, as it does for want of a
/// descriptor or of memory. An address that is taken or not ours stays so.
pub fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, PermissionDenied};
    !matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | PermissionDenied)
}

#[cfg(test)]
mod tests;
