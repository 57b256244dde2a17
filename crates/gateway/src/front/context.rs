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
    /// The network connections.
    pub hub: &'a mut Hub,
    /// The engine.
    pub engine: &'a mut Engine,
    /// Receives the commands of the engine.
    pub commands: &'a mut Vec<Command>,
    /// The tenants; `None` without an administration.
    pub tenants: Option<&'a mut Tenants>,
    /// The restart limiter; `None` once the recovery from a restart is complete.
    pub limiter: Option<&'a mut Gate>,
    /// The lease; `None` unless this controller is a follower.
    pub lease: Option<&'a mut Holder>,
    /// Records calls in the audit log; `None` without one.
    pub recorder: Option<&'a mut Recorder>,
    /// The time at which the event is handled, microseconds on the controller's clock.
    pub now: Micros,
}

impl FrontContext<'_> {
    /// [`FrontContext::now`] in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now / 1000
    }
}
