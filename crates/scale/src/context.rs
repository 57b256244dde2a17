//! The services that a measure uses while it runs: child processes, progress, randomness and the limits of the run.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::children::Children;
use crate::interrupt::Interrupt;
use crate::measure::MeasureError;
use crate::process::Process;

/// Interval at which waits check the limits of the run.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between two checks of memory and children.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Receives the progress of a run, for example to show a progress bar.
pub trait Progress {
    /// Called with a description of the current step.
    fn begin_step(&self, description: &str);
    /// Called when a measure has finished one size.
    fn finish_size(&self);
}

/// A [`Progress`] that discards all updates.
pub struct NoProgress;

impl Progress for NoProgress {
    fn begin_step(&self, _: &str) {}
    fn finish_size(&self) {}
}

/// The conditions under which a run ends early.
#[derive(Clone, Debug)]
pub struct RunLimits {
    /// Latest time at which the run ends.
    pub deadline: Instant,
    /// Ends the run when it is set.
    pub interrupt: Interrupt,
    /// Maximum resident memory of this process and its children together, in bytes.
    pub memory: u64,
}

/// The services that a measure uses at one size.
pub struct Context<'run> {
    /// The child processes of this size.
    pub children: &'run mut Children,
    /// Random numbers, whose seed depends on the seed of the plan file, the measure and the size alone.
    pub random: ChaCha8Rng,
    progress: &'run dyn Progress,
    folder: &'run Path,
    limits: &'run RunLimits,
    memory_checked_at: Option<Instant>,
}

impl<'run> Context<'run> {
    /// Creates the context of one measure at one size; `seed` seeds [`Context::random`].
    pub fn new(
        children: &'run mut Children,
        progress: &'run dyn Progress,
        folder: &'run Path,
        limits: &'run RunLimits,
        seed: u64,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { children, random, progress, folder, limits, memory_checked_at: None }
    }

    /// Temporary folder for files of this size; it is removed after the measurement.
    pub fn folder(&self) -> &Path {
        self.folder
    }

    /// Reports the current step to the progress display.
    pub fn begin_step(&self, description: &str) {
        self.progress.begin_step(description);
    }

    /// Fails if the measure must end: on an interrupt, past the deadline, over the memory limit, or when a child has
    /// exited. Cheap enough to call in a loop: memory and children are checked only every 200 ms.
    pub fn check(&mut self) -> Result<(), MeasureError> {
        if self.limits.interrupt.is_set() {
            return Err(MeasureError::Interrupted);
        }
        let now = Instant::now();
        if now >= self.limits.deadline {
            return Err(MeasureError::Deadline);
        }
        if self.memory_checked_at.is_some_and(|checked_at| now < checked_at + MEMORY_CHECK_INTERVAL) {
            return Ok(());
        }
        self.memory_checked_at = Some(now);
        self.children.check()?;
        let own =
            Process::own().resident().map_err(MeasureError::system("can't read the rig's own memory"))?;
        let (used, allowed) = (own + self.children.resident(), self.limits.memory);
        if used > allowed { Err(MeasureError::Memory { used, allowed }) } else { Ok(()) }
    }

    /// Sleeps for `span`; fails early if [`Context::check`] does.
    pub fn wait(&mut self, span: Duration) -> Result<(), MeasureError> {
        let until = Instant::now() + span;
        loop {
            self.check()?;
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }

    /// Polls `poll` until it returns a value; none if it does not within `limit`. Fails early if [`Context::check`]
    /// does.
    pub fn wait_for<T>(
        &mut self,
        limit: Duration,
        mut poll: impl FnMut(&mut Self) -> Result<Option<T>, MeasureError>,
    ) -> Result<Option<T>, MeasureError> {
        let until = Instant::now() + limit;
        loop {
            self.check()?;
            if let Some(value) = poll(self)? {
                return Ok(Some(value));
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            thread::sleep(remaining.min(POLL_INTERVAL));
        }
    }
}
