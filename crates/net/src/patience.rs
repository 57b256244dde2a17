//! What fails for a moment is tried again for a while: starts, which have nothing better to do than wait.

use std::time::{Duration, Instant};

/// How long something is tried, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// For how long.
    pub span: Duration,
    /// The pause between two tries.
    pub pause: Duration,
}

impl Patience {
    /// A start's: a third of what the platform gives it.
    pub const START: Self = Self { span: Duration::from_secs(10), pause: Duration::from_millis(50) };

    /// Tries until it is done, until it fails in a way that does not pass, or until the span is over. `held_up` hears of
    /// each failure that is tried again. Blocks its thread.
    pub fn until<T, E>(
        &self,
        mut step: impl FnMut() -> Result<T, E>,
        passes: impl Fn(&E) -> bool,
        mut held_up: impl FnMut(&E),
    ) -> Result<T, E> {
        let end = Instant::now() + self.span;
        loop {
            match step() {
                Err(error) if passes(&error) && Instant::now() < end => held_up(&error),
                done => return done,
            }
            std::thread::sleep(self.pause);
        }
    }
}
