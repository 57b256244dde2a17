//! Events that a test worker observes at its sockets. The audit of a scenario uses them as evidence.

use crate::store::Micros;

/// An observation with its time and origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Time of the observation since the epoch in the options of the worker.
    pub at: Micros,
    /// Name of the worker.
    pub worker: String,
    /// The observed event.
    pub kind: ObservationKind,
}

/// An event that a test worker observes.
#[derive(Clone, Debug, PartialEq)]
pub enum ObservationKind {
    /// The worker has started to listen.
    Up {
        /// Whether it started cold.
        cold: bool,
    },
    /// The worker died by [`super::Fault::Die`].
    Down,
    /// The worker died because it was sent too much work while it warmed up.
    Overloaded,
    /// The complete request of a call was received.
    Call {
        /// Number of the stream, unique at this worker.
        stream: u64,
        /// Id of the request, or the name of a call without one; see [`crate::models::remove_id`].
        id: String,
        /// Name of the model.
        model: String,
        /// Number of the controller, from the request header. Empty if the header is missing.
        controller: String,
        /// Number of the attempt, from the request header. `None` if it is missing or malformed.
        attempt: Option<u32>,
        /// CPU time that the call takes, including [`super::Fault::Slow`].
        core_time: Micros,
    },
    /// The link at an address, or one connection, was cut or restored. Data sent while it is cut is read after it is
    /// restored.
    Link {
        /// Index of the address in the addresses of the worker.
        address_index: usize,
        /// Number of the connection. `None` for the whole address.
        conn: Option<u64>,
        /// True if the link was cut, false if it was restored.
        cut: bool,
    },
    /// A call began to run. From then on it may have had an effect.
    Runs {
        /// Number of the stream.
        stream: u64,
    },
    /// The controller cancelled the stream, or its connection broke.
    Gone {
        /// Number of the stream.
        stream: u64,
    },
    /// The end of the response to a call was sent.
    Answered {
        /// Number of the stream.
        stream: u64,
        /// Whether the status was OK.
        served: bool,
        /// Whether the trailers say that the call never ran.
        never_ran: bool,
    },
    /// A load order for at least one replica was received. Queries with zero replicas are not recorded.
    Order {
        /// Number of the controller, from the request header. Empty if the header is missing.
        controller: String,
        /// Name of the model.
        model: String,
        /// Number of replicas ordered.
        replicas: u32,
    },
    /// A health probe (`ServerReady`) was received.
    Probe,
}
