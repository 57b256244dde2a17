//! What a measure works with: children, progress, chance, and the ends that are set to a run.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::children::Children;
use crate::interrupt::Interrupt;
use crate::measure::MeasureError;
use crate::process::Process;

/// How often a wait looks for an end of the run.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the memory in use is looked at.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Is told how far a run is.
pub trait Progress {
    /// What is being done now.
    fn doing(&self, what: &str);
    /// One size of one measure is done.
    fn done(&self);
}

/// Progress that nobody looks at.
pub struct NoProgress;

impl Progress for NoProgress {
    fn doing(&self, _: &str) {}
    fn done(&self) {}
}

/// The ends that are set to a run.
#[derive(Clone, Debug)]
pub struct RunLimits {
    /// It ends then at the latest.
    pub deadline: Instant,
    /// It ends when this is set.
    pub interrupt: Interrupt,
    /// Memory that it may have with its children, in bytes.
    pub memory: u64,
}

/// What a measure works with at one size.
pub struct Context<'run> {
    /// Starts and ends processes.
    pub children: &'run mut Children,
    /// Chance, by the file's seed, the measure and the size alone.
    pub random: ChaCha8Rng,
    progress: &'run dyn Progress,
    folder: &'run Path,
    limits: &'run RunLimits,
    memory_checked_at: Option<Instant>,
}

impl<'run> Context<'run> {
    /// A context for one measure at one size.
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

    /// A folder of this run for files; it is gone after the run.
    pub fn folder(&self) -> &Path {
        self.folder
    }

    /// Says what is being done.
    pub fn doing(&self, what: &str) {
        self.progress.doing(what);
    }

    /// Must the measure end: by an interrupt, the deadline, the memory in use, or a child that died? To be called
    /// often; it costs little.
    pub fn check(&mut self) -> Result<(), MeasureError> {
        if self.limits.interrupt.is_set() {
            return Err(MeasureError::Interrupted);
        }
        let now = Instant::now();
        if now >= self.limits.deadline {
            return Err(MeasureError::Deadline);
        }
        if self.memory_checked_at.is_some_and(|seen| now < seen + MEMORY_CHECK_INTERVAL) {
            return Ok(());
        }
        self.memory_checked_at = Some(now);
        self.children.check()?;
        let own = Process::own().resident().map_err(MeasureError::system("the rig's own memory"))?;
        let (used, allowed) = (own + self.children.resident(), self.limits.memory);
        if used > allowed { Err(MeasureError::Memory { used, allowed }) } else { Ok(()) }
    }

    /// Waits, and ends early with an error where the measure must end.
    pub fn wait(&mut self, span: Duration) -> Result<(), MeasureError> {
        let until = Instant::now() + span;
        loop {
            self.check()?;
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(POLL_INTERVAL));
        }
    }

    /// Waits until `done` gives a value; after `limit` there is none.
    pub fn wait_for<T>(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Self) -> Result<Option<T>, MeasureError>,
    ) -> Result<Option<T>, MeasureError> {
        let until = Instant::now() + limit;
        loop {
            self.check()?;
            if let Some(value) = done(self)? {
                return Ok(Some(value));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            thread::sleep(left.min(POLL_INTERVAL));
        }
    }
}
