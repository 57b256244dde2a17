//! What the front works with while it handles one event.

use nettleferry::Micros;
use nettleferry_audit_log::Recorder;
use nettleferry_engine::{Command, Engine};
use nettleferry_fleet::gate::Gate;
use nettleferry_fleet::lease::Holder;
use nettleferry_net::Hub;

use crate::tenants::Tenants;

/// What the front needs of the controller for one event.
pub(crate) struct FrontContext<'a> {
    /// The connections.
    pub hub: &'a mut Hub,
    /// The engine.
    pub engine: &'a mut Engine,
    /// Where the engine puts its commands.
    pub commands: &'a mut Vec<Command>,
    /// Tenants of the administration, where there is one.
    pub tenants: Option<&'a mut Tenants>,
    /// Limits how many calls are accepted after a restart, while that is needed.
    pub limiter: Option<&'a mut Gate>,
    /// The lease of a controller that follows another's administration.
    pub lease: Option<&'a mut Holder>,
    /// Enters calls into the audit log, where there is one.
    pub recorder: Option<&'a mut Recorder>,
    /// When the event is handled.
    pub now: Micros,
}

impl FrontContext<'_> {
    /// The time in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        self.now / 1000
    }
}
