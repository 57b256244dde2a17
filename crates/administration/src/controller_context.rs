//! The properties of the local controller that its administration needs at the start.

use std::sync::Arc;

use crate::audit_log_writer::SharedEntries;

/// The properties of the controller that starts an administration.
pub struct ControllerContext {
    /// The number of this controller in the fleet, from 0.
    pub number: u32,
    /// The number of controllers in the fleet.
    pub controllers: u32,
    /// The longest call deadline of all classes, in milliseconds.
    pub max_deadline_ms: u64,
    /// Wakes the controller's thread.
    pub waker: Arc<mio::Waker>,
    /// The newest entries of the controller's audit log; `None` if it keeps no audit log.
    pub audit_entries: Option<SharedEntries>,
}
