//! What each end of an attempt proves: the one place in which facts of the wire become the module's
//! [`Outcome`].

use nettleferry::Outcome;

/// How an attempt, an order or a probe ended, as a fact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The worker served it.
    Served,
    /// The worker looked at it and found the call itself wrong (INVALID_ARGUMENT, which gRPC defines as "
    /// regardless of the state of the system"): an answer, not a failure of the worker.
    Rejected(String),
    /// No connection came about.
    NotConnected,
    /// Nothing of the request left before the connection ended.
    NotWritten,
    /// Our own bound on connections or streams to the worker left no room.
    NoRoom,
    /// RST_STREAM REFUSED_STREAM.
    RefusedStream,
    /// A GOAWAY whose last stream id is below the attempt's.
    GoneAway,
    /// The worker's trailers mark it as turned away unseen.
    MarkedFull,
    /// The worker's trailers mark it as missing its model.
    MarkedMiss,
    /// The worker's trailers mark that the load it waited for failed.
    MarkedLoadFailed,
    /// The worker answered that the request was over when it came: it never ran (the platform's `nobody`).
    Unwanted,
    /// Any other failing status.
    Status {
        /// Its name and words, for people.
        message: String,
    },
    /// RST_STREAM with another reason, or a protocol error.
    Reset,
    /// The connection broke.
    Broken,
    /// No answer in time.
    TimedOut,
    /// We withdrew it.
    Cancelled,
}

impl Ended {
    /// The module's word for it.
    ///
    /// Only what proves that nothing ran becomes `ConnectFailed`, `Full` or `Miss`. A bare UNAVAILABLE, a reset
    /// and a broken connection prove nothing.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Served | Self::Rejected(_) => Outcome::Ok,
            Self::NotConnected => Outcome::ConnectFailed,
            Self::NotWritten => Outcome::PartlySent,
            Self::NoRoom | Self::RefusedStream | Self::GoneAway | Self::MarkedFull => Outcome::Rejected,
            Self::MarkedMiss | Self::MarkedLoadFailed => Outcome::NotLoaded,
            Self::Unwanted => Outcome::NeverSent,
            Self::Status { .. } | Self::Reset => Outcome::Error,
            Self::Broken => Outcome::Reset,
            Self::TimedOut => Outcome::Timeout,
            Self::Cancelled => Outcome::Cancelled,
        }
    }

    /// Does it prove that the attempt never ran?
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

    /// For people: a client's message, a log line.
    pub fn words(&self) -> String {
        match self {
            Self::Served => "served".to_owned(),
            Self::Rejected(message) => message.clone(),
            Self::NotConnected => "no connection to the worker came about".to_owned(),
            Self::NotWritten => "the connection ended before the request left".to_owned(),
            Self::NoRoom => "all connections to the worker are in use".to_owned(),
            Self::RefusedStream => "the worker refused the stream unseen".to_owned(),
            Self::GoneAway => "the worker went away before it saw the request".to_owned(),
            Self::MarkedFull => "the worker is full".to_owned(),
            Self::MarkedMiss => "the worker does not hold the model".to_owned(),
            Self::MarkedLoadFailed => "the worker could not load the model".to_owned(),
            Self::Unwanted => "the request was over when the worker got it".to_owned(),
            Self::Status { message } => message.clone(),
            Self::Reset => "the worker reset the stream".to_owned(),
            Self::Broken => "the connection to the worker broke".to_owned(),
            Self::TimedOut => "the worker did not answer in time".to_owned(),
            Self::Cancelled => "withdrawn".to_owned(),
        }
    }
}

#[cfg(test)]
mod tests;
