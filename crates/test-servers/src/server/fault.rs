//! Faults that are injected into a test worker, and what each does.

use super::{ObservationKind, Server};
use crate::store::Micros;
use std::io;

/// A fault to inject.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Its process dies: sockets close, all is lost.
    Die,
    /// It starts again at the same addresses, without replicas and warming up.
    Restart,
    /// It reads and answers nothing.
    Unresponsive(bool),
    /// It refuses every stream before it reads it.
    Refuse(bool),
    /// It runs this share of its calls and fails them at once.
    FailFast(f64),
    /// Calls of models with this prefix are never answered; `None`: all are.
    Hang(Option<String>),
    /// Calls take this many times their work.
    Slow(f64),
    /// Its load reports are this old.
    StaleReports(Micros),
    /// It breaks the connection after so many messages of an answer.
    CutAfter(Option<u32>),
    /// It breaks the next answer off inside a frame.
    HalfFrame,
    /// It sends GOAWAY in the middle of things: streams not yet seen never run, the rest break.
    GoAway,
    /// One of its addresses neither accepts, reads nor writes: a cut link.
    Cut {
        /// Which of its addresses.
        address_index: usize,
        /// Cut or mended.
        cut: bool,
    },
    /// Nothing is read from new connections for this time.
    SlowHandshake(Micros),
    /// Replicas of models with this prefix become invalid.
    InvalidateReplicas(String),
    /// The thread ends.
    Stop,
}

impl Server {
    /// Applies a fault.
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

    /// Sends GOAWAY on all connections, in the middle of their streams.
    fn go_away(&mut self) {
        for listener in self.listeners.clone() {
            for conn in self.hub.accepted_at(listener) {
                self.hub.go_away_abruptly(conn, h2::Reason::NO_ERROR);
            }
        }
    }

    /// Cuts the link at one of its addresses, or mends it.
    fn cut(&mut self, address_index: usize, cut: bool) {
        let Some(listener) = self.listeners.get(address_index).copied() else { return };
        self.hub.freeze_listener(listener, cut);
        for conn in self.hub.accepted_at(listener) {
            self.hub.freeze(conn, cut);
        }
        self.see(ObservationKind::Link { address_index, conn: None, cut });
        self.mended |= !cut;
    }
}
