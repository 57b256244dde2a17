//! Bounds of an engine, and its counters.

use nettleferry::Micros;

/// Bounds of an engine.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Calls open at the same time; one more is refused at once.
    pub open_calls: usize,
    /// Models remembered by name.
    pub models: usize,
    /// Microseconds by which an answer precedes the client's deadline, for its way back.
    pub answer_margin: Micros,
    /// Microseconds after which a health check without a response has failed.
    pub probe_timeout: Micros,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self { open_calls: 20_000, models: 65_536, answer_margin: 10_000, probe_timeout: 1_000_000 }
    }
}

/// Totals since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Calls opened.
    pub opened: u64,
    /// Calls served.
    pub served: u64,
    /// Calls that a worker found invalid.
    pub rejected: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls whose client disconnected before the answer.
    pub gone: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Load orders sent.
    pub orders: u64,
    /// Health checks sent.
    pub probes: u64,
    /// Calls refused because of [`EngineLimits::open_calls`] or [`EngineLimits::models`].
    pub over_open: u64,
    /// Calls that the engine ended at their deadline because the decision module had not: expected to stay 0.
    pub backstop: u64,
}
