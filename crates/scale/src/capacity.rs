//! The resources of the machine that a run may use, and checks of whether a size fits into them.

use std::fmt;
use std::fs;
use std::time::Duration;

use rustix::process::{Resource, getrlimit};

/// Maximum memory of a run in bytes, on a machine of any size.
pub const MAX_MEMORY: u64 = 12 << 30;
/// Maximum number of processes of a run.
pub const MAX_PROCESSES: u64 = 300;
/// Descriptors reserved for the rig's own use.
const RESERVED_DESCRIPTORS: u64 = 64;
/// Number of local ports to assume if the system's port range can't be read.
const DEFAULT_PORTS: u64 = 28_000;

/// Upper estimates of the resources that the measurement of one size needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Needs {
    /// Memory of all processes together, in bytes.
    pub memory: u64,
    /// Number of processes besides the rig's own.
    pub processes: u64,
    /// Descriptors of the process that opens the most.
    pub descriptors: u64,
    /// Number of local ports that connections occupy.
    pub ports: u64,
    /// Duration of the measurement.
    pub time: Duration,
}

/// Resources that are available to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory of all processes together, in bytes.
    pub memory: u64,
    /// Number of processes besides the rig's own.
    pub processes: u64,
    /// Descriptors that one process may open.
    pub descriptors: u64,
    /// Number of local ports for connections.
    pub ports: u64,
}

/// A resource of which a size needs more than is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    resource: &'static str,
    needed: u64,
    available: u64,
    /// Whether the amounts are bytes rather than numbers of things.
    in_bytes: bool,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gib = |bytes: u64| bytes as f64 / (1u64 << 30) as f64;
        let Self { resource, needed, available, in_bytes } = *self;
        if in_bytes {
            write!(f, "{:.1} GiB of {resource}; there are {:.1} GiB for a run", gib(needed), gib(available))
        } else {
            write!(f, "{needed} {resource}; there are {available} for a run")
        }
    }
}

impl Capacity {
    /// Returns the resources of this machine for a run: half of its memory up to [`MAX_MEMORY`],
    /// [`MAX_PROCESSES`], the descriptor limit of this process and the port range of the system.
    pub fn of_machine() -> Self {
        let half = memory_of_machine().map_or(MAX_MEMORY, |total| total / 2);
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        Self {
            memory: half.min(MAX_MEMORY),
            processes: MAX_PROCESSES,
            descriptors: descriptors.saturating_sub(RESERVED_DESCRIPTORS),
            ports: ports_of_machine().unwrap_or(DEFAULT_PORTS),
        }
    }

    /// Returns the first resource that does not suffice for these needs; none if they fit.
    pub fn shortage(&self, needs: &Needs) -> Option<Shortage> {
        let shortage = |resource, needed, available, in_bytes| {
            (needed > available).then_some(Shortage { resource, needed, available, in_bytes })
        };
        shortage("memory", needs.memory, self.memory, true)
            .or_else(|| shortage("processes", needs.processes, self.processes, false))
            .or_else(|| shortage("descriptors of one process", needs.descriptors, self.descriptors, false))
            .or_else(|| shortage("local ports", needs.ports, self.ports, false))
    }

    /// Returns the largest size up to `size` whose needs fit, or 0 if none does. This is a binary search, so `needs`
    /// must not decrease as the size grows.
    pub fn largest_fit(&self, size: u64, needs: impl Fn(u64) -> Needs) -> u64 {
        let (mut fits, mut fails) = (0, size.saturating_add(1));
        while fails - fits > 1 {
            let middle = fits + (fails - fits) / 2;
            if self.shortage(&needs(middle)).is_none() {
                fits = middle;
            } else {
                fails = middle;
            }
        }
        fits
    }
}

fn memory_of_machine() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

fn ports_of_machine() -> Option<u64> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    let mut words = text.split_whitespace();
    let first: u64 = words.next()?.parse().ok()?;
    let last: u64 = words.next()?.parse().ok()?;
    Some(last.saturating_sub(first))
}
