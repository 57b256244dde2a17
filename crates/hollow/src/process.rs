//! Resource limits and resource usage of this process, read from Linux `/proc`.

use std::fs;
use std::time::Duration;

/// Resources that are available to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Limit on open file descriptors.
    pub descriptors: u64,
    /// Available memory in bytes: free or reclaimable.
    pub memory: u64,
}

impl Machine {
    /// Reads the values of this machine. A value that can't be read is 0.
    pub fn read() -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let descriptors = number_after(&limits, "Max open files").unwrap_or(0);
        Self { descriptors, memory: number_after(&memory, "MemAvailable:").unwrap_or(0) << 10 }
    }
}

/// Processor time that the main thread has used so far. All peers run on this thread. Zero if it can't be read.
pub fn processor_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = schedstat.split_whitespace().next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

/// Resident memory of this process in KiB; 0 if it can't be read.
pub fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    number_after(&status, "VmRSS:").unwrap_or(0)
}

/// Finds the first line that starts with `prefix` and parses the number that follows it.
fn number_after(text: &str, prefix: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(prefix))?;
    line.split_whitespace().next()?.parse().ok()
}
