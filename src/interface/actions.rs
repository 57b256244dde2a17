//! Actions that a controller asks the embedding program to execute.

use super::{FunctionId, Micros, RequestId, WorkerId};

/// An action for the embedding program; actions are executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. The attempts of a request are numbered from 0 in the order of these actions.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker to send it to.
        worker: WorkerId,
        /// Timeout of the attempt; `None` means that it ends when the client gives up.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Send the final answer: the request was not served and may safely be retried.
    Refuse {
        /// The request that the answer belongs to.
        request: RequestId,
        /// Delay that the client is advised to wait before it retries; `None` for no advice.
        retry_after: Option<Micros>,
    },
    /// Send the final answer: the request failed, and it may or may not have executed.
    Fail {
        /// The request that the answer belongs to.
        request: RequestId,
    },
    /// Order a worker to load a function until it has at least `count` replicas; 0 only queries the number.
    Load {
        /// The worker that is to load the function.
        worker: WorkerId,
        /// The function to load.
        function: FunctionId,
        /// Number of replicas wanted, at most 16.
        count: u32,
    },
    /// Cancel a load order that is no longer needed. An order that has not been sent yet is dropped and
    /// answered with [`Outcome::Cancelled`](crate::Outcome::Cancelled); one that has been sent continues.
    CancelLoad {
        /// The worker of the order.
        worker: WorkerId,
        /// The function of the order.
        function: FunctionId,
    },
    /// Unload the idle replicas of a function.
    Unload {
        /// The worker that holds the replicas.
        worker: WorkerId,
        /// The function to unload.
        function: FunctionId,
    },
    /// Send a health probe.
    Probe {
        /// The worker to probe.
        worker: WorkerId,
    },
    /// Start a timer that reports [`Event::Timer`](crate::Event::Timer) when it expires.
    SetTimer {
        /// Delay from the time of the current event.
        after: Micros,
        /// Tag to return in the timer event.
        tag: u64,
    },
    /// Subscribe to changes of the worker list.
    Watch,
    /// Fetch the complete worker list once.
    Fetch,
    /// Write a line to the log.
    Log(String),
}
