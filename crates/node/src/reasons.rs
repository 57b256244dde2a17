//! Why requests ended as they did, why they were retried, and why clients' connections were closed: counters by reason,
//! and their names for the log.

use nettleferry_engine::{AttemptEnd, Cause, FinalAnswer, Refusal};

/// How a request ended, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndReason {
    /// Served.
    Served,
    /// The worker found the request itself wrong.
    Rejected,
    /// Refused: no worker had room in time.
    NoRoom,
    /// Refused: no worker is in service.
    NoWorker,
    /// Refused: too many are open.
    TooManyOpen,
    /// Refused: no time was left when it was opened.
    NoTime,
    /// Refused: its client had disconnected before it was opened.
    ClientEnded,
    /// Failed: its deadline passed.
    Deadline,
    /// Failed: a worker returned an error.
    WorkerFailed,
    /// Failed: its attempt was lost.
    AttemptLost,
}

impl EndReason {
    const COUNT: usize = 10;

    /// Of a final answer.
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

/// How an attempt ended after which its request was retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// No connection came about.
    NotConnected,
    /// Its connection ended before it had left.
    NotWritten,
    /// The worker was full, or our connections to it were.
    Full,
    /// The worker had no copy.
    Miss,
    /// The worker failed it.
    WorkerFailed,
    /// Its connection broke.
    Broken,
    /// It was cancelled: its response was late.
    Cancelled,
}

impl RetryReason {
    const COUNT: usize = 7;

    /// Of the end of an attempt.
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

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Its client ended its side.
    ClientEnded,
    /// It broke.
    Broken,
    /// It was idle for too long.
    Idle,
    /// No complete frame arrived in time.
    Unresponsive,
    /// It sent what can't be used.
    Faults,
    /// It was evicted for a new one.
    Evicted,
    /// There was no room for it.
    NoRoom,
}

impl CloseReason {
    const COUNT: usize = 7;
}

/// How often each reason occurred.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    ends: [u64; EndReason::COUNT],
    retries: [u64; RetryReason::COUNT],
    closes: [u64; CloseReason::COUNT],
    /// Those of them under open requests.
    closes_with_requests: [u64; CloseReason::COUNT],
}

impl Reasons {
    /// A request has ended.
    pub fn ended(&mut self, reason: EndReason) {
        self.ends[reason as usize] += 1;
    }

    /// A request is retried.
    pub fn retried(&mut self, reason: RetryReason) {
        self.retries[reason as usize] += 1;
    }

    /// A client's connection has ended, with so many requests open.
    pub fn closed(&mut self, reason: CloseReason, open: usize) {
        self.closes[reason as usize] += 1;
        self.closes_with_requests[reason as usize] += u64::from(open > 0);
    }

    /// Requests that ended for this reason.
    pub fn ends(&self, reason: EndReason) -> u64 {
        self.ends[reason as usize]
    }

    /// Requests that were retried after such an end.
    pub fn retries(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize]
    }

    /// Connections of clients that ended for this reason.
    pub fn closes(&self, reason: CloseReason) -> u64 {
        self.closes[reason as usize]
    }

    /// Those of them that ended with requests open.
    pub fn closes_with_requests(&self, reason: CloseReason) -> u64 {
        self.closes_with_requests[reason as usize]
    }
}
