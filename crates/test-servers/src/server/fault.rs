//! The faults that can be injected into a test worker, and their implementation.

use super::{ObservationKind, Server};
use crate::store::Micros;
use std::io;

/// A fault that is injected into a test worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The worker dies: its sockets close, and all replicas and calls are lost.
    Die,
    /// A dead worker starts again at the same addresses, without replicas and cold. Ignored while the worker runs.
    Restart,
    /// While true, the worker reads requests but executes and answers nothing.
    Unresponsive(bool),
    /// While true, the worker refuses every new stream with REFUSED_STREAM.
    Refuse(bool),
    /// This share of calls, 0 to 1, fails with an internal error as soon as it runs.
    FailFast(f64),
    /// Calls of models with this prefix are never answered. `None` ends the fault.
    Hang(Option<String>),
    /// Factor on the CPU time of calls. 1 is normal.
    Slow(f64),
    /// Load reports have this age. 0 ends the fault.
    StaleReports(Micros),
    /// Breaks the connection of the next stream that sends this many response messages. `None` ends the fault.
    CutAfter(Option<u32>),
    /// Breaks the connection within the next response message.
    HalfFrame,
    /// Sends GOAWAY on all connections while streams are open. Streams that were not received yet never run.
    GoAway,
    /// Cuts or restores the link at one address. While the link is cut, nothing is accepted, read or written there.
    Cut {
        /// Index of the address in the addresses of the worker.
        address_index: usize,
        /// True cuts the link. False restores it.
        cut: bool,
    },
    /// New connections are not read for this time. 0 ends the fault.
    SlowHandshake(Micros),
    /// Replicas of models with this prefix become invalid and are unloaded, except those that run calls.
    InvalidateReplicas(String),
    /// Stops the server and ends its thread.
    Stop,
}

impl Server {
    /// Applies a fault. [`Fault::Stop`] is handled by [`Server::run`].
    pub(super) fn inject(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Die => self.die(ObservationKind::Down),
            Fault::Restart if self.worker.is_none() => self.restart(true)?,
            Fault::Restart | Fault::Stop => {}
            Fault::Unresponsive(on) => self.unresponsive = on,
            Fault::Refuse(on) => self.refuse = on,
            Fault::FailFast(share) => self.fail_fast = share,
            Fault::Hang(models) => self.hang = models,
            Fault::Slow(factor) => self.slow = factor,
            Fault::StaleReports(age) => self.report_delay = age,
            Fault::CutAfter(n) => self.cut_after = n,
            Fault::HalfFrame => self.half_frame = true,
            Fault::SlowHandshake(span) => self.slow_handshake = span,
            Fault::InvalidateReplicas(prefix) => {
                if let Some(worker) = &mut self.worker {
                    worker.invalidate(&prefix);
                }
            }
            Fault::GoAway => self.go_away(),
            Fault::Cut { address_index, cut } => self.cut(address_index, cut),
        }
        Ok(())
    }

    /// Sends GOAWAY immediately on all accepted connections.
    fn go_away(&mut self) {
        for listener in self.listeners.clone() {
            for conn in self.hub.accepted_at(listener) {
                self.hub.go_away_abruptly(conn, h2::Reason::NO_ERROR);
            }
        }
    }

    /// Cuts or restores the link at one address, for new and existing connections.
    fn cut(&mut self, address_index: usize, cut: bool) {
        let Some(listener) = self.listeners.get(address_index).copied() else { return };
        self.hub.freeze_listener(listener, cut);
        for conn in self.hub.accepted_at(listener) {
            self.hub.freeze(conn, cut);
        }
        self.observe(ObservationKind::Link { address_index, conn: None, cut });
        self.link_restored |= !cut;
    }
}
