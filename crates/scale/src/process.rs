//! Processor time, memory, I/O and descriptors of a process, read from `/proc`.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Resource usage of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Processor time of all threads that are still running.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Bytes read by read calls on files and pipes.
    pub read: u64,
    /// Bytes written by write calls on files and pipes.
    pub written: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

/// A process whose resource usage can be sampled.
#[derive(Clone, Debug)]
pub struct Process {
    folder: PathBuf,
}

impl Process {
    /// The process with this id.
    pub fn by_id(id: u32) -> Self {
        Self { folder: PathBuf::from(format!("/proc/{id}")) }
    }

    /// The calling process.
    pub fn own() -> Self {
        Self { folder: PathBuf::from("/proc/self") }
    }

    /// Reads the current resource usage. Fails if the processor time or the memory can't be read; counts of
    /// I/O and descriptors that can't be read are 0.
    pub fn sample(&self) -> io::Result<Sample> {
        let io = self.text("io").unwrap_or_default();
        Ok(Sample {
            processor: self.processor()?,
            resident: self.resident()?,
            read: field(&io, "rchar:").unwrap_or(0),
            written: field(&io, "wchar:").unwrap_or(0),
            descriptors: fs::read_dir(self.folder.join("fd")).map_or(0, |entries| entries.count() as u64),
        })
    }

    /// Processor time of all running threads. It is read from `schedstat`, which counts nanoseconds, because `stat`
    /// counts in steps of 10 ms.
    pub fn processor(&self) -> io::Result<Duration> {
        let mut nanoseconds = 0;
        for task in fs::read_dir(self.folder.join("task"))? {
            // A thread may end between the listing and the reading.
            let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else { continue };
            nanoseconds += text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0);
        }
        Ok(Duration::from_nanos(nanoseconds))
    }

    /// Resident memory, in bytes.
    pub fn resident(&self) -> io::Result<u64> {
        let status = self.text("status")?;
        let kilobytes = field(&status, "VmRSS:");
        let missing = || io::Error::other(format!("{}/status has no VmRSS line", self.folder.display()));
        kilobytes.map(|kilobytes| kilobytes * 1024).ok_or_else(missing)
    }

    fn text(&self, name: &str) -> io::Result<String> {
        fs::read_to_string(self.folder.join(name))
    }
}

/// Returns the number that follows `name` on the line that begins with it.
fn field(text: &str, name: &str) -> Option<u64> {
    let rest = text.lines().find_map(|line| line.strip_prefix(name))?;
    rest.split_whitespace().next()?.parse().ok()
}
