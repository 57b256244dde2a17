//! What the administration is told of its own controller at the start.

use std::sync::Arc;

use crate::audit_log_writer::SharedEntries;

/// What the administration has to know of the controller that starts it.
pub struct ControllerContext {
    /// The controller's number.
    pub number: u32,
    /// The number of controllers in the fleet.
    pub controllers: u32,
    /// The longest deadline of a class of calls, in milliseconds.
    pub max_deadline_ms: u64,
    /// Wakes the controller's thread.
    pub waker: Arc<mio::Waker>,
    /// The newest entries of the controller's audit log, where it has one.
    pub audit_entries: Option<SharedEntries>,
}
