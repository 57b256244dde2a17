//! Whether the rig itself, and not the program, bounds what an interval shows.

use std::fs;
use std::io;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::process::Process;

/// From this share of one core on, the rig's own process may be what others wait for.
const BUSY_PROCESS_CORES: f64 = 0.8;
/// Below this idle share of all cores, everything waits for a core.
const MIN_IDLE_SHARE: f64 = 0.1;

/// What bounds the figures of an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RigBound {
    /// Not the rig.
    None,
    /// The rig's own process used most of a core.
    Process,
    /// The machine had hardly an idle core.
    Machine,
}

/// How busy the rig and the machine were in an interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RigUsage {
    /// Cores that the rig's own process used.
    pub own_cores: f64,
    /// Idle share of all cores of the machine.
    pub idle: f64,
    /// What that means for the figures.
    pub bound: RigBound,
}

impl RigUsage {
    /// Judges an interval. In a measure that runs inside the rig's process, the rig's use is the program's.
    pub fn judge(own_cores: f64, idle: f64, in_process: bool) -> Self {
        let bound = if idle < MIN_IDLE_SHARE {
            RigBound::Machine
        } else if !in_process && own_cores > BUSY_PROCESS_CORES {
            RigBound::Process
        } else {
            RigBound::None
        };
        Self { own_cores, idle, bound }
    }
}

/// Watches an interval.
pub struct RigWatch {
    began: Instant,
    own: Duration,
    machine: MachineTime,
}

impl RigWatch {
    /// Begins an interval.
    pub fn begin() -> io::Result<Self> {
        let own = Process::own().processor()?;
        Ok(Self { began: Instant::now(), own, machine: MachineTime::now()? })
    }

    /// Ends it.
    pub fn end(self, in_process: bool) -> io::Result<RigUsage> {
        let own = Process::own().processor()?.saturating_sub(self.own);
        let wall = self.began.elapsed().as_secs_f64().max(1e-9);
        let idle = MachineTime::now()?.idle_share_since(self.machine);
        Ok(RigUsage::judge(own.as_secs_f64() / wall, idle, in_process))
    }
}

/// Time of all cores since the machine started, in the kernel's ticks.
#[derive(Clone, Copy)]
struct MachineTime {
    all: u64,
    idle: u64,
}

impl MachineTime {
    fn now() -> io::Result<Self> {
        let text = fs::read_to_string("/proc/stat")?;
        let line = text.lines().next().unwrap_or("");
        let ticks: Vec<u64> = line.split_whitespace().skip(1).filter_map(|word| word.parse().ok()).collect();
        // user nice system idle iowait irq softirq steal; what follows stands in user already.
        let all = ticks.iter().take(8).sum();
        let idle = ticks.get(3).copied().unwrap_or(0) + ticks.get(4).copied().unwrap_or(0);
        Ok(Self { all, idle })
    }

    /// The idle share of the time since `before`; all of it where no tick has passed.
    fn idle_share_since(self, before: Self) -> f64 {
        let all = self.all.saturating_sub(before.all);
        let idle = self.idle.saturating_sub(before.idle);
        if all == 0 { 1.0 } else { idle as f64 / all as f64 }
    }
}
