//! How attempts end, and the mapping from each end to the decision module's [`Outcome`].

use std::fmt;

use nettleferry::Outcome;

/// How an attempt or a control request ended, as observed on the connection to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker served the request.
    Served,
    /// The worker reported the call itself as invalid, with this message. This counts as an answer and not as a failure
    /// of the worker, because gRPC defines INVALID_ARGUMENT as independent of the state of the system.
    Rejected(String),
    /// No connection could be established.
    NotConnected,
    /// The connection ended before any of the request was written.
    NotWritten,
    /// All connections and streams to the worker that the limits allow are in use.
    ConnectionsExhausted,
    /// The worker reset the stream with REFUSED_STREAM, so it did not process the request.
    RefusedStream,
    /// The worker sent a GOAWAY whose last stream id is below the attempt's, so it did not process the request.
    GoneAway,
    /// The worker's trailers state that it was at capacity and did not process the request.
    MarkedFull,
    /// The worker's trailers state that the model is not loaded.
    MarkedMiss,
    /// The worker's trailers state that the model load which the request waited for failed.
    MarkedLoadFailed,
    /// The worker answered that the request had expired or been cancelled when it arrived, so that it never ran (the
    /// platform's `nobody`).
    AlreadyEnded,
    /// The worker failed the request with any other status.
    Status {
        /// The status and its message in human-readable form.
        message: String,
    },
    /// The stream was reset for another reason, or the worker violated the protocol.
    Reset,
    /// The connection broke, and the worker may have processed the request.
    Broken,
    /// The worker did not answer in time.
    TimedOut,
    /// This controller cancelled the attempt.
    Cancelled,
}

impl AttemptEnd {
    /// The corresponding outcome for the decision module.
    ///
    /// An end maps to `ConnectFailed`, `PartlySent`, `Rejected`, `NotLoaded` or `NeverSent` only if it proves that the
    /// attempt never ran. A bare UNAVAILABLE, a stream reset and a broken connection prove nothing.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Served | Self::Rejected(_) => Outcome::Ok,
            Self::NotConnected => Outcome::ConnectFailed,
            Self::NotWritten => Outcome::PartlySent,
            Self::ConnectionsExhausted | Self::RefusedStream | Self::GoneAway | Self::MarkedFull => {
                Outcome::Rejected
            }
            Self::MarkedMiss | Self::MarkedLoadFailed => Outcome::NotLoaded,
            Self::AlreadyEnded => Outcome::NeverSent,
            Self::Status { .. } | Self::Reset => Outcome::Error,
            Self::Broken => Outcome::Reset,
            Self::TimedOut => Outcome::Timeout,
            Self::Cancelled => Outcome::Cancelled,
        }
    }

    /// Whether this end proves that the attempt never ran.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.outcome(),
            Outcome::ConnectFailed
                | Outcome::PartlySent
                | Outcome::Rejected
                | Outcome::NotLoaded
                | Outcome::NeverSent
        )
    }
}

/// Human-readable description, for messages to clients and for the log.
impl fmt::Display for AttemptEnd {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Served => "served",
            Self::Rejected(message) | Self::Status { message } => message,
            Self::NotConnected => "no connection to the worker came about",
            Self::NotWritten => "the connection ended before the request left",
            Self::ConnectionsExhausted => "all connections to the worker are in use",
            Self::RefusedStream => "the worker refused the stream unseen",
            Self::GoneAway => "the worker went away before it saw the request",
            Self::MarkedFull => "the worker is full",
            Self::MarkedMiss => "the worker does not hold the model",
            Self::MarkedLoadFailed => "the worker could not load the model",
            Self::AlreadyEnded => "the request was over when the worker got it",
            Self::Reset => "the worker reset the stream",
            Self::Broken => "the connection to the worker broke",
            Self::TimedOut => "the worker did not answer in time",
            Self::Cancelled => "withdrawn",
        })
    }
}

#[cfg(test)]
mod tests;
