//! Counters and report lines of hollow controllers.

use serde::{Deserialize, Serialize};

use crate::report::Percentiles;

/// Counters since the start of the run, or of one interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls sent.
    pub calls: u64,
    /// Calls that ended with the status OK.
    pub served: u64,
    /// Calls that ended with another status or without a readable one: rejected, failed or past their deadline.
    pub not_served: u64,
    /// Calls that failed without a response: the stream or connection failed, or no connection could be opened.
    pub broken: u64,
    /// Calls and probes that were not sent because their controller already had too many outstanding.
    pub not_begun: u64,
    /// Probes sent.
    pub probes: u64,
    /// Probes that ended with the status OK.
    pub probes_served: u64,
    /// Connections established.
    pub connected: u64,
    /// Connection attempts that failed, for example refused or timed out.
    pub not_connected: u64,
    /// Connections that the worker closed or that failed.
    pub closed: u64,
    /// Connections that this process closed because they were idle.
    pub idle: u64,
}

impl Counts {
    /// Returns the increase of each counter since `before`, an earlier copy of the same counters.
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

/// Activity during one second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// End of this second, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Number of controllers.
    pub controllers: u64,
    /// Connections open at the end of this second.
    pub connections: u64,
    /// Counters of this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Processor time of the main thread, which runs all peers, during this second, in microseconds.
    pub processor_us: u64,
    /// Maximum delay of a timer during this second, in microseconds. A long delay means that this process, not the
    /// worker, limits the load.
    #[serde(rename = "timer_late_us")]
    pub timer_delay_us: u64,
}

/// Totals of an interval: since the previous summary, or since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of controllers.
    pub controllers: u64,
    /// Connections open at the end of the interval.
    pub connections: u64,
    /// Length of the interval in milliseconds.
    pub ran_ms: u64,
    /// Counters of the interval.
    #[serde(flatten)]
    pub counts: Counts,
    /// Latency of successful calls, in microseconds.
    pub call_time: Percentiles,
    /// Latency of successful probes, in microseconds.
    pub probe_time: Percentiles,
    /// Processor time of the main thread, which runs all peers, during the interval, in microseconds.
    pub processor_us: u64,
    /// Resident memory of this process at the end of the interval, in KiB.
    pub resident_kib: u64,
    /// Time from the due time of a timer until it is handled, in microseconds.
    #[serde(rename = "timer_late")]
    pub timer_delay: Percentiles,
}
