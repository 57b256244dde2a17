//! What each end of an attempt proves: the one place in which observed facts become the decision module's [`Outcome`].

use std::fmt;

use nettleferry::Outcome;

/// How an attempt or a control request ended, as an observed fact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker served it.
    Served,
    /// The worker found the call itself invalid (INVALID_ARGUMENT, which gRPC defines as "regardless of the
    /// state of the system"): an answer, not a failure of the worker.
    Rejected(String),
    /// No connection could be established.
    NotConnected,
    /// Nothing of the request was written before the connection ended.
    NotWritten,
    /// All connections or streams to the worker that the limits allow are in use.
    ConnectionsExhausted,
    /// RST_STREAM REFUSED_STREAM.
    RefusedStream,
    /// A GOAWAY whose last stream id is below the attempt's.
    GoneAway,
    /// The worker's trailers state that it was rejected without being looked at.
    MarkedFull,
    /// The worker's trailers state that the model is not loaded.
    MarkedMiss,
    /// The worker's trailers state that the load it waited for failed.
    MarkedLoadFailed,
    /// The worker answered that the request had expired or was cancelled when it arrived: it never ran (the platform's
    /// `nobody`).
    AlreadyEnded,
    /// Any other failing status.
    Status {
        /// The status and its message, for people.
        message: String,
    },
    /// RST_STREAM with another reason, or a protocol error.
    Reset,
    /// The connection broke.
    Broken,
    /// No answer in time.
    TimedOut,
    /// Cancelled by this controller.
    Cancelled,
}

impl AttemptEnd {
    /// What it proves, in the decision module's terms.
    ///
    /// Only what proves that nothing ran becomes `ConnectFailed`, `Full` or `Miss`. A bare UNAVAILABLE, a reset
    /// and a broken connection prove nothing.
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

    /// Whether it proves that the attempt never ran.
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

/// The end in plain words, for a client's message or the log.
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
