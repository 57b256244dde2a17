//! The way from the administration's thread to the controller's thread.

use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::messages::{AdminEvent, ControllerStatus};

/// The controller's status, which both threads share.
pub(crate) type SharedStatus = Arc<Mutex<ControllerStatus>>;

/// Locks the controller's status.
pub(crate) fn lock(status: &SharedStatus) -> MutexGuard<'_, ControllerStatus> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends events to the controller, and sees its status.
pub(crate) struct ControllerLink {
    status: SharedStatus,
    events: Sender<AdminEvent>,
    waker: Arc<mio::Waker>,
}

impl ControllerLink {
    /// A link whose `waker` wakes the controller's thread.
    pub(crate) fn new(status: SharedStatus, events: Sender<AdminEvent>, waker: Arc<mio::Waker>) -> Self {
        Self { status, events, waker }
    }

    /// Sends an event. A controller that has ended gets none.
    pub(crate) fn send(&self, event: AdminEvent) {
        let _ = self.events.send(event);
        let _ = self.waker.wake();
    }

    /// The controller's status.
    pub(crate) fn status(&self) -> MutexGuard<'_, ControllerStatus> {
        lock(&self.status)
    }
}
