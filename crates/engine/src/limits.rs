//! Limits and counters of the engine.

use nettleferry::Micros;

/// Limits on the engine's size, and its time allowances.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Maximum number of open calls. Further calls are refused at once.
    pub open_calls: usize,
    /// Maximum number of models that the engine keeps by name. If all of them have open calls, a call of another model
    /// is refused at once.
    pub models: usize,
    /// Microseconds between the final answer and the client's deadline, reserved for the answer's transmission.
    pub answer_margin: Micros,
    /// Microseconds after which a health check without a response counts as failed.
    pub probe_timeout: Micros,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self { open_calls: 20_000, models: 65_536, answer_margin: 10_000, probe_timeout: 1_000_000 }
    }
}

/// Event totals since the engine was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Calls passed to [`crate::Engine::open`], including those that were answered at once.
    pub opened: u64,
    /// Calls that a worker served.
    pub served: u64,
    /// Calls that a worker rejected as invalid.
    pub rejected: u64,
    /// Calls refused for any [`crate::Refusal`].
    pub refused: u64,
    /// Calls failed for any [`crate::Cause`].
    pub failed: u64,
    /// Calls closed without a final answer because their client disconnected.
    pub gone: u64,
    /// Attempts started, retries included.
    pub attempts: u64,
    /// Load orders sent.
    pub orders: u64,
    /// Health checks sent.
    pub probes: u64,
    /// Calls refused because of [`EngineLimits::open_calls`] or [`EngineLimits::models`].
    pub over_open: u64,
    /// Calls that the engine answered at their deadline because the decision module had not. Expected to stay 0.
    pub backstop: u64,
}
