//! What a test worker's sockets see: the evidence from which an audit judges.

use crate::store::Micros;

/// What was seen, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Since the epoch given.
    pub at: Micros,
    /// By whom.
    pub worker: String,
    /// What.
    pub seen: ObservationKind,
}

/// What a worker's sockets see.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservationKind {
    /// It listens.
    Up {
        /// With a part of its capacity.
        cold: bool,
    },
    /// Its process died.
    Down,
    /// It fell over: too much while cold.
    Fell,
    /// The request of a call has come whole.
    Call {
        /// The stream, unique at this worker.
        stream: u64,
        /// The call's id, as the client gave it.
        id: String,
        /// Its model.
        model: String,
        /// The controller's number, as its header says.
        controller: String,
        /// The attempt's number, as its header says; `None`: none that can be read.
        attempt: Option<u32>,
        /// Its core time.
        core_time: Micros,
    },
    /// A door, or one connection at it, was cut off or mended: what was sent meanwhile is read from then on.
    Link {
        /// Which of its addresses.
        address_index: usize,
        /// The connection; `None`: all of the door.
        conn: Option<u64>,
        /// Cut or mended.
        cut: bool,
    },
    /// A call has begun to run: its effect.
    Runs {
        /// The stream.
        stream: u64,
    },
    /// The caller withdrew it, or the connection broke.
    Gone {
        /// The stream.
        stream: u64,
    },
    /// The answer's end was sent.
    Answered {
        /// The stream.
        stream: u64,
        /// With OK.
        served: bool,
        /// With the mark that it never ran.
        never_ran: bool,
    },
    /// An order to load (more than zero copies).
    Order {
        /// The controller's number.
        controller: String,
        /// The model.
        model: String,
        /// Copies.
        copies: u32,
    },
    /// A probe.
    Probe,
}
