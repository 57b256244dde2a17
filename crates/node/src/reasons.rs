//! Counters of why requests ended, why they were retried and why client connections were closed. The names of
//! the reasons appear in the log.

use nettleferry_engine::{AttemptEnd, Cause, FinalAnswer, Refusal};

/// The outcome of a request, with the reason for a refusal or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// The request was served.
    Served,
    /// The worker rejected the request as invalid.
    Rejected,
    /// Refused: no worker had free capacity in time.
    NoRoom,
    /// Refused: no worker is in service.
    NoWorker,
    /// Refused: too many requests are open, or for another limit of the engine.
    TooManyOpen,
    /// Refused: no time was left when the request was to be opened.
    NoTime,
    /// Refused: the client had disconnected before the request was opened or served.
    ClientEnded,
    /// Failed: the deadline passed.
    Deadline,
    /// Failed: a worker returned an error.
    WorkerFailed,
    /// Failed: an attempt that may have run was lost.
    AttemptLost,
}

impl EndReason {
    const COUNT: usize = 10;

    /// Returns the reason that a final answer states.
    pub fn of(answer: &FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Served { .. } => Self::Served,
            FinalAnswer::Rejected { .. } => Self::Rejected,
            FinalAnswer::Refused { reason: Refusal::NoCapacity, .. } => Self::NoRoom,
            FinalAnswer::Refused { reason: Refusal::NoWorker, .. } => Self::NoWorker,
            FinalAnswer::Refused { reason: Refusal::ClientDisconnected, .. } => Self::ClientEnded,
            FinalAnswer::Refused { .. } => Self::TooManyOpen,
            FinalAnswer::Failed { cause: Cause::Deadline, .. } => Self::Deadline,
            FinalAnswer::Failed { cause: Cause::Internal, .. } => Self::WorkerFailed,
            FinalAnswer::Failed { .. } => Self::AttemptLost,
        }
    }
}

/// Why a request was retried: how its previous attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// No connection to the worker was established.
    NotConnected,
    /// The attempt was not written to a connection, or not completely.
    NotWritten,
    /// The worker, or the connections to it, had no free capacity.
    Full,
    /// The worker has no replica of the function loaded, could not load one, or answered that the request had
    /// ended before it arrived.
    Miss,
    /// The worker returned an error.
    WorkerFailed,
    /// The connection broke after the attempt was written.
    Broken,
    /// The attempt was cancelled or timed out.
    Cancelled,
}

impl RetryReason {
    const COUNT: usize = 7;

    /// Returns the retry reason for the end of an attempt.
    pub fn of(end: &AttemptEnd) -> Self {
        match end {
            AttemptEnd::NotConnected => Self::NotConnected,
            AttemptEnd::NotWritten => Self::NotWritten,
            AttemptEnd::ConnectionsExhausted
            | AttemptEnd::RefusedStream
            | AttemptEnd::GoneAway
            | AttemptEnd::MarkedFull => Self::Full,
            AttemptEnd::MarkedMiss | AttemptEnd::MarkedLoadFailed | AttemptEnd::AlreadyEnded => Self::Miss,
            AttemptEnd::Status { .. } | AttemptEnd::Reset | AttemptEnd::Rejected(_) | AttemptEnd::Served => {
                Self::WorkerFailed
            }
            AttemptEnd::Broken => Self::Broken,
            AttemptEnd::TimedOut | AttemptEnd::Cancelled => Self::Cancelled,
        }
    }
}

/// Why a client connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed its side.
    ClientEnded,
    /// The connection broke, or was closed because the client read its answers too slowly.
    Broken,
    /// The connection was idle for too long.
    Idle,
    /// No complete frame arrived in time.
    Unresponsive,
    /// The client sent an unreadable frame or too many unusable requests.
    Faults,
    /// The connection was evicted for a new one.
    Evicted,
    /// The connection limit was reached and no other connection could be evicted.
    NoRoom,
}

impl CloseReason {
    const COUNT: usize = 7;
}

/// Numbers of ended requests, of retries and of closed client connections, each by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    ends: [u64; EndReason::COUNT],
    retries: [u64; RetryReason::COUNT],
    closes: [u64; CloseReason::COUNT],
    /// Connections that ended with requests open.
    closes_with_requests: [u64; CloseReason::COUNT],
}

impl Reasons {
    /// Counts a request that ended.
    pub fn ended(&mut self, reason: EndReason) {
        self.ends[reason as usize] += 1;
    }

    /// Counts a retry by the end of the previous attempt.
    pub fn retried(&mut self, reason: RetryReason) {
        self.retries[reason as usize] += 1;
    }

    /// Counts a client connection that ended. `open`: requests that were open on it.
    pub fn closed(&mut self, reason: CloseReason, open: usize) {
        self.closes[reason as usize] += 1;
        self.closes_with_requests[reason as usize] += u64::from(open > 0);
    }

    /// Number of requests that ended for this reason.
    pub fn ends(&self, reason: EndReason) -> u64 {
        self.ends[reason as usize]
    }

    /// Number of retries for this reason.
    pub fn retries(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize]
    }

    /// Number of client connections that ended for this reason.
    pub fn closes(&self, reason: CloseReason) -> u64 {
        self.closes[reason as usize]
    }

    /// Number of client connections that ended for this reason with requests open.
    pub fn closes_with_requests(&self, reason: CloseReason) -> u64 {
        self.closes_with_requests[reason as usize]
    }
}
