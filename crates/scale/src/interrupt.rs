//! A flag that interrupts a run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flag that interrupts a run. It is set by a signal handler or a test and polled by the run; clones share the flag.
#[derive(Clone, Debug, Default)]
pub struct Interrupt(Arc<AtomicBool>);

impl Interrupt {
    /// The underlying flag, for registration with a signal handler.
    pub fn flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.0)
    }

    /// Requests the end of the run.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the end of the run was requested.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
