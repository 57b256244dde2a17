//! Blocking retries of operations with transient errors, for the startup of a process. Retries of calls are
//! not decided here.

use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};

use tracing::warn;

/// The time for which a failing operation is retried, and the pause between attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Time from the first attempt in which failures are retried; the last attempt may end later.
    pub timeout: Duration,
    /// Time to sleep between two attempts.
    pub pause: Duration,
}

impl RetryPolicy {
    /// Policy of startup steps: a third of the 30 s within which the platform requires a process to be ready.
    pub const STARTUP: Self = Self { timeout: Duration::from_secs(10), pause: Duration::from_millis(50) };

    /// Repeats `operation` until it succeeds, fails with an error that is not transient, or the timeout
    /// expires, and returns its last result. `on_retry` is called with each error that is followed by another
    /// attempt. Blocks the thread.
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

/// Runs a startup step with [`RetryPolicy::STARTUP`], and logs each failure that is retried.
pub fn retry_startup<T, E: Display>(
    step: &'static str,
    operation: impl FnMut() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let log_failure = |error: &E| warn!(step, %error, "startup step failed, retrying");
    RetryPolicy::STARTUP.run(operation, is_transient, log_failure)
}

/// Whether an error on opening a listener or another system resource is transient, such as a lack of file
/// descriptors or memory. An address that is in use or not local, an invalid argument and missing permissions
/// are permanent.
pub fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, PermissionDenied};
    !matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | PermissionDenied)
}

#[cfg(test)]
mod tests;
