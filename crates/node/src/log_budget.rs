//! Rate limit for log lines about events that occur in bursts. Suppressed lines are counted, and the next
//! line that is logged states their number.

use std::time::{Duration, Instant};

/// Length of the interval over which lines are counted.
pub const SPAN: Duration = Duration::from_secs(1);
/// Maximum number of lines of one kind in [`SPAN`].
pub const LINES_PER_SPAN: u32 = 20;

/// The rate limit for log lines of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogBudget {
    span_began: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LogBudget {
    /// Requests permission to log a line. Returns the number of lines suppressed since the last one, or
    /// `None` if this line is to be suppressed as well.
    pub fn take(&mut self, now: Instant) -> Option<u64> {
        if self.span_began.is_none_or(|began| now >= began + SPAN) {
            self.span_began = Some(now);
            self.lines = 0;
        }
        if self.lines >= LINES_PER_SPAN {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
