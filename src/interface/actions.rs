//! What the embedding program is to do.

use super::{FunctionId, Micros, RequestId, WorkerId};

/// Something the embedding program is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt; attempts of a request are numbered from 0 in this order.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        worker: WorkerId,
        /// Time-out; `None`: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: not served, and another try is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice to stay away this long.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Order a worker to hold at least `count` replicas; 0 only queries.
    Load {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// Replicas wanted, up to 16.
        count: u32,
    },
    /// A load that was ordered is not needed any more: an order that has not left need not leave, and is
    /// answered [`Outcome::Cancelled`](crate::Outcome::Cancelled) then; one that has left goes on.
    CancelLoad {
        /// Where.
        worker: WorkerId,
        /// Of what.
        function: FunctionId,
    },
    /// Unload the idle replicas of a function.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) with this tag after a span.
    SetTimer {
        /// From now.
        after: Micros,
        /// To be handed back.
        tag: u64,
    },
    /// Subscribe to the worker list.
    Watch,
    /// Ask for the complete list once.
    Fetch,
    /// A line for the log.
    Log(String),
}
