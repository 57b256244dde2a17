//! What a run is told by who started it: a line on its standard input asks for a summary of the interval since the
//! last one, and the end of the input ends the run. Its own time may be over first.

use std::io::{self, BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

use mio::Waker;

/// Bytes of a line; what is longer counts as several.
const LONGEST_LINE: u64 = 1 << 10;

#[derive(Debug, Default)]
struct Told {
    lines: AtomicU64,
    end: AtomicBool,
}

/// What was told so far.
#[derive(Debug)]
pub struct Control {
    told: Arc<Told>,
    answered: u64,
    until: Option<Instant>,
}

impl Control {
    /// Listens to `input`, and wakes a poll by `waker` whenever it tells something. The run ends at `until` at the
    /// latest, if any.
    pub fn listen(
        input: impl Read + Send + 'static,
        waker: Arc<Waker>,
        until: Option<Instant>,
    ) -> io::Result<Self> {
        let told = Arc::<Told>::default();
        let control = Self { told: Arc::clone(&told), answered: 0, until };
        let read_to_its_end = move || {
            let mut input = BufReader::new(input);
            while next_line(&mut input) {
                told.lines.fetch_add(1, Ordering::AcqRel);
                let _ = waker.wake();
            }
            told.end.store(true, Ordering::Release);
            let _ = waker.wake();
        };
        std::thread::Builder::new().name("input".to_owned()).spawn(read_to_its_end)?;
        Ok(control)
    }

    /// Is the run over?
    pub fn is_over(&self, now: Instant) -> bool {
        self.told.end.load(Ordering::Acquire) || self.until.is_some_and(|until| now >= until)
    }

    /// When it is over at the latest.
    pub fn deadline(&self) -> Option<Instant> {
        self.until
    }

    /// Is a summary asked for that was not given yet?
    pub fn take_summary_request(&mut self) -> bool {
        let wants = self.answered < self.told.lines.load(Ordering::Acquire);
        self.answered += u64::from(wants);
        wants
    }
}

/// Reads one line; false at the end of the input.
fn next_line(input: &mut impl BufRead) -> bool {
    let mut line = Vec::new();
    input.by_ref().take(LONGEST_LINE).read_until(b'\n', &mut line).is_ok_and(|read| read > 0)
}
