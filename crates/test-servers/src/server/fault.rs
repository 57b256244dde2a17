//! Faults that a test worker is told to suffer, and what each does to it.

use super::{Seen, Server};
use crate::store::Micros;
use std::io;

/// What a worker is told to suffer.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Its process dies: sockets close, all is lost.
    Die,
    /// It comes back, empty and cold, at the same addresses.
    Rise,
    /// It reads and answers nothing.
    Silent(bool),
    /// It refuses every stream unseen.
    Refuse(bool),
    /// It runs this share of its calls and fails them at once.
    FailFast(f64),
    /// Calls of models that begin so are never answered; `None`: none hang.
    Hang(Option<String>),
    /// Calls take this many times their work.
    Slow(f64),
    /// Its load reports are this old.
    LateReports(Micros),
    /// It breaks the connection after so many messages of an answer.
    CutAfter(Option<u32>),
    /// It breaks the next answer off inside a frame.
    HalfFrame,
    /// It sends GOAWAY in the middle of things: streams not yet seen never run, the rest break.
    GoAway,
    /// A door neither accepts, reads nor writes: a cut link.
    Cut {
        /// Which of its addresses.
        door: usize,
        /// Cut or mended.
        cut: bool,
    },
    /// New connections say nothing for so long.
    SlowHandshake(Micros),
    /// Copies of models that begin so go void.
    Void(String),
    /// The thread ends.
    Stop,
}

impl Server {
    /// Applies a fault.
    pub(super) fn suffer(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Die => self.die(Seen::Down),
            Fault::Rise if self.worker.is_none() => self.rise(true)?,
            Fault::Rise | Fault::Stop => {}
            Fault::Silent(on) => self.silent = on,
            Fault::Refuse(on) => self.refuse = on,
            Fault::FailFast(share) => self.fail_fast = share,
            Fault::Hang(models) => self.hang = models,
            Fault::Slow(factor) => self.slow = factor,
            Fault::LateReports(late) => self.late = late,
            Fault::CutAfter(n) => self.cut_after = n,
            Fault::HalfFrame => self.half_frame = true,
            Fault::SlowHandshake(span) => self.slow_handshake = span,
            Fault::Void(prefix) => {
                if let Some(worker) = &mut self.worker {
                    worker.void(&prefix);
                }
            }
            Fault::GoAway => self.go_away(),
            Fault::Cut { door, cut } => self.cut(door, cut),
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
    fn cut(&mut self, door: usize, cut: bool) {
        let Some(listener) = self.listeners.get(door).copied() else { return };
        self.hub.freeze_listener(listener, cut);
        for conn in self.hub.accepted_at(listener) {
            self.hub.freeze(conn, cut);
        }
        self.see(Seen::Link { door, conn: None, cut });
        self.mended |= !cut;
    }
}
