//! The channel from the administration thread to the controller's thread.

use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::messages::{AdminEvent, ControllerStatus};

/// The controller's status, shared between the administration thread and the controller's thread.
pub(crate) type SharedStatus = Arc<Mutex<ControllerStatus>>;

/// Locks the controller's status.
pub(crate) fn lock(status: &SharedStatus) -> MutexGuard<'_, ControllerStatus> {
    status.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The administration's end of the channel: sends events to the controller and reads its status.
pub(crate) struct ControllerLink {
    status: SharedStatus,
    events: Sender<AdminEvent>,
    waker: Arc<mio::Waker>,
}

impl ControllerLink {
    /// Creates a link. `waker` wakes the controller's thread after each event.
    pub(crate) fn new(status: SharedStatus, events: Sender<AdminEvent>, waker: Arc<mio::Waker>) -> Self {
        Self { status, events, waker }
    }

    /// Sends an event and wakes the controller. The event is dropped if the controller has already ended.
    pub(crate) fn send(&self, event: AdminEvent) {
        let _ = self.events.send(event);
        let _ = self.waker.wake();
    }

    /// Locks the controller's status.
    pub(crate) fn status(&self) -> MutexGuard<'_, ControllerStatus> {
        lock(&self.status)
    }
}
