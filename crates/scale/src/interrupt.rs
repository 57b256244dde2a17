//! A flag that ends a run before its time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Set by a signal handler or a test; looked at by the run.
#[derive(Clone, Debug, Default)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// The flag, for a signal handler to set.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.0)
    }

    /// Asks the run to end.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Was the run asked to end?
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
