//! Detects intervals in which the test rig or the machine, not the measured program, limits the results.

use std::fs;
use std::io;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::process::Process;

/// Above this many cores, the rig's own process may be the bottleneck.
const BUSY_PROCESS_CORES: f64 = 0.8;
/// Below this idle share of all cores, the machine is saturated.
const MIN_IDLE_SHARE: f64 = 0.1;

/// The part of the test setup, other than the measured program, that limits the metrics of an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RigBound {
    /// Neither the rig nor the machine.
    None,
    /// The rig's own process, which used most of a core.
    Process,
    /// The machine, which had almost no idle time.
    Machine,
}

/// Processor use of the rig and the machine in an interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RigUsage {
    /// Number of cores that the rig's own process used.
    pub own_cores: f64,
    /// Idle share of all cores of the machine.
    pub idle: f64,
    /// Part of the test setup that limits the metrics at this usage.
    pub bound: RigBound,
}

impl RigUsage {
    /// Classifies an interval. With `in_process`, the measured code runs inside the rig's process, so a busy
    /// rig is then not reported as the limit.
    pub fn classify(own_cores: f64, idle: f64, in_process: bool) -> Self {
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

/// Measures the processor use of the rig and the machine over an interval.
pub struct RigWatch {
    started: Instant,
    own_processor: Duration,
    machine: MachineTime,
}

impl RigWatch {
    /// Starts an interval at the current time.
    pub fn begin() -> io::Result<Self> {
        let own_processor = Process::own().processor()?;
        Ok(Self { started: Instant::now(), own_processor, machine: MachineTime::now()? })
    }

    /// Ends the interval and returns its usage; `in_process` is as in [`RigUsage::classify`].
    pub fn end(self, in_process: bool) -> io::Result<RigUsage> {
        let own = Process::own().processor()?.saturating_sub(self.own_processor);
        let wall = self.started.elapsed().as_secs_f64().max(1e-9);
        let idle = MachineTime::now()?.idle_share_since(self.machine);
        Ok(RigUsage::classify(own.as_secs_f64() / wall, idle, in_process))
    }
}

/// Time of all cores since boot, in ticks of the kernel.
#[derive(Clone, Copy)]
struct MachineTime {
    total: u64,
    idle: u64,
}

impl MachineTime {
    fn now() -> io::Result<Self> {
        let text = fs::read_to_string("/proc/stat")?;
        let line = text.lines().next().unwrap_or("");
        let ticks: Vec<u64> = line.split_whitespace().skip(1).filter_map(|word| word.parse().ok()).collect();
        // Fields: user nice system idle iowait irq softirq steal. The guest fields after them are included in user.
        let total = ticks.iter().take(8).sum();
        let idle = ticks.get(3).copied().unwrap_or(0) + ticks.get(4).copied().unwrap_or(0);
        Ok(Self { total, idle })
    }

    /// Idle share of the time since `before`; 1 if no tick has passed.
    fn idle_share_since(self, before: Self) -> f64 {
        let total = self.total.saturating_sub(before.total);
        let idle = self.idle.saturating_sub(before.idle);
        if total == 0 { 1.0 } else { idle as f64 / total as f64 }
    }
}
