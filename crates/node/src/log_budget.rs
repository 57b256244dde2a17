//! Bounds the rate of log lines about events that come in crowds. The lines that are left out are counted, and the next
//! one tells how many they were.

use std::time::{Duration, Instant};

/// The span over which lines are counted.
pub const SPAN: Duration = Duration::from_secs(1);
/// Lines of one kind in that span.
pub const LINES_PER_SPAN: u32 = 20;

/// The lines of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogBudget {
    span_began: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl LogBudget {
    /// Asks for a line: `Some` with the number of lines left out since the last one, or `None`: this one is left out.
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
