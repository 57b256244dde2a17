//! The parts of the controller that the front uses while it handles one event.

use nettleferry::Micros;
use nettleferry_audit_log::Recorder;
use nettleferry_engine::{Command, Engine};
use nettleferry_fleet::gate::Gate;
use nettleferry_fleet::lease::Holder;
use nettleferry_net::Hub;

use crate::tenants::Tenants;

/// Borrows of the controller's parts for the handling of one event.
pub(crate) struct FrontContext<'a> {
    /// The connections to clients and workers, and their streams.
    pub hub: &'a mut Hub,
    /// The engine, which tracks the open calls and their attempts.
    pub engine: &'a mut Engine,
    /// The commands that the engine returns are appended here; the controller executes them afterwards.
    pub commands: &'a mut Vec<Command>,
    /// The tenants; `None` without an administration.
    pub tenants: Option<&'a mut Tenants>,
    /// The restart limiter; `None` where the settings require none, and once the recovery from a restart is complete.
    pub limiter: Option<&'a mut Gate>,
    /// The lease; `None` unless this controller is a follower.
    pub lease: Option<&'a mut Holder>,
    /// Records calls in the audit log; `None` without one.
    pub recorder: Option<&'a mut Recorder>,
    /// The time at which the event is handled, microseconds on the controller's clock.
    pub now: Micros,
}

impl FrontContext<'_> {
    /// The time of [`FrontContext::now`], in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now / 1000
    }
}
