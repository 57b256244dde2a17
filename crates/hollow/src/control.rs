//! Control of a run by the process that started it, over standard input. Each line requests a summary of the interval
//! since the previous one. The run ends when the input is closed or when its configured duration is over.

use std::io::{self, BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use mio::Waker;

/// Maximum line length in bytes. A longer line counts as several.
const MAX_LINE_BYTES: u64 = 1 << 10;

#[derive(Debug, Default)]
struct InputState {
    summary_requests: AtomicU64,
    closed: AtomicBool,
}

/// Control state of a run: pending summary requests and the end of the run.
#[derive(Debug)]
pub struct Control {
    input_state: Arc<InputState>,
    summaries_taken: u64,
    deadline: Option<Instant>,
}

impl Control {
    /// Starts a thread that reads `input` and calls `waker` for each line and at the end of the input. The run ends at
    /// `deadline` at the latest, if there is one. Fails if the thread can't be started.
    pub fn listen(
        input: impl Read + Send + 'static,
        waker: Arc<Waker>,
        deadline: Option<Instant>,
    ) -> io::Result<Self> {
        let input_state = Arc::<InputState>::default();
        let control = Self { input_state: Arc::clone(&input_state), summaries_taken: 0, deadline };
        let read_input = move || {
            let mut input = BufReader::new(input);
            while next_line(&mut input) {
                input_state.summary_requests.fetch_add(1, Ordering::AcqRel);
                let _ = waker.wake();
            }
            input_state.closed.store(true, Ordering::Release);
            let _ = waker.wake();
        };
        std::thread::Builder::new().name("input".to_owned()).spawn(read_input)?;
        Ok(control)
    }

    /// Returns whether the run is over: the input was closed or the deadline has passed.
    pub fn is_over(&self, now: Instant) -> bool {
        self.input_state.closed.load(Ordering::Acquire)
            || self.deadline.is_some_and(|deadline| now >= deadline)
    }

    /// Time at which the run ends at the latest; `None` if it ends only when the input is closed.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Returns whether a summary request is pending, and removes it from the pending ones.
    pub fn take_summary_request(&mut self) -> bool {
        let pending = self.summaries_taken < self.input_state.summary_requests.load(Ordering::Acquire);
        self.summaries_taken += u64::from(pending);
        pending
    }
}

/// Reads one line. Returns false at the end of the input or on a read error.
fn next_line(input: &mut impl BufRead) -> bool {
    let mut line = Vec::new();
    input.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line).is_ok_and(|read| read > 0)
}
