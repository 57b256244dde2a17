//! What hollow controllers count and tell.

use serde::{Deserialize, Serialize};

use crate::report::Percentiles;

/// Counts since the start, or of an interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls begun.
    pub calls: u64,
    /// Calls that were answered with success.
    pub served: u64,
    /// Calls that were answered otherwise: turned away, failed, too late.
    pub not_served: u64,
    /// Calls whose stream or connection broke, or that found none.
    pub broken: u64,
    /// Calls and probes that were not begun, as too many of their controller were open.
    pub not_begun: u64,
    /// Probes begun.
    pub probes: u64,
    /// Probes that were answered with success.
    pub probes_served: u64,
    /// Connections that were established.
    pub connected: u64,
    /// Connections that were not: refused, or not in time.
    pub not_connected: u64,
    /// Connections that the worker closed, or that broke.
    pub closed: u64,
    /// Connections that were closed here, as they stood unused.
    pub idle: u64,
}

impl Counts {
    /// What was counted since `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            calls: self.calls - before.calls,
            served: self.served - before.served,
            not_served: self.not_served - before.not_served,
            broken: self.broken - before.broken,
            not_begun: self.not_begun - before.not_begun,
            probes: self.probes - before.probes,
            probes_served: self.probes_served - before.probes_served,
            connected: self.connected - before.connected,
            not_connected: self.not_connected - before.not_connected,
            closed: self.closed - before.closed,
            idle: self.idle - before.idle,
        }
    }
}

/// What happened in a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Since the start, milliseconds.
    pub at_ms: u64,
    /// Controllers.
    pub controllers: u64,
    /// Connections that stand.
    pub connections: u64,
    /// What was counted in this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Processor time of this process in this second, microseconds.
    pub processor_us: u64,
    /// The longest that a timer was late in this second, microseconds: where that is long, this process is the bound.
    #[serde(rename = "timer_late_us")]
    pub timer_delay_us: u64,
}

/// An interval: the whole run, or since the last summary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Controllers.
    pub controllers: u64,
    /// Connections that stand at its end.
    pub connections: u64,
    /// How long it was, milliseconds.
    pub ran_ms: u64,
    /// What was counted.
    #[serde(flatten)]
    pub counts: Counts,
    /// From the beginning of a call to its answer, microseconds: calls that were served.
    pub call_time: Percentiles,
    /// From the beginning of a probe to its answer, microseconds: probes that were served.
    pub probe_time: Percentiles,
    /// Processor time of this process, microseconds.
    pub processor_us: u64,
    /// Its resident memory, KiB.
    pub resident_kib: u64,
    /// How late timers were, microseconds.
    #[serde(rename = "timer_late")]
    pub timer_delay: Percentiles,
}
