//! What this process spends and may have, as Linux tells it.

use std::fs;
use std::time::Duration;

/// What the process may have and has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Descriptors that it may open.
    pub descriptors: u64,
    /// Bytes of memory that are free or can be freed.
    pub memory: u64,
}

impl Machine {
    /// This one; what can't be read is taken for nothing.
    pub fn read() -> Self {
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let descriptors = number_after(&limits, "Max open files").unwrap_or(0);
        Self { descriptors, memory: number_after(&memory, "MemAvailable:").unwrap_or(0) << 10 }
    }
}

/// Processor time of the main thread so far, which does all the work.
pub fn processor_time() -> Duration {
    let told = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanoseconds = told.split_whitespace().next().and_then(|word| word.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

/// Resident memory, KiB.
pub fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    number_after(&status, "VmRSS:").unwrap_or(0)
}

/// The first number behind these words at the beginning of a line.
fn number_after(text: &str, words: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(words))?;
    line.split_whitespace().next()?.parse().ok()
}
