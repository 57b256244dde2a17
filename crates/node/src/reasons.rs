//! Why requests ended as they did, why they were sent again, and why clients' connections were closed: counters by
//! reason, and the words for the log.

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
    /// Refused: its client's side had ended before it was opened.
    ClientEnded,
    /// Failed: its time was over.
    Deadline,
    /// Failed: a worker failed it.
    WorkerFailed,
    /// Failed: its attempt was lost.
    AttemptLost,
}

impl EndReason {
    const COUNT: usize = 10;

    /// Of a final answer.
    pub fn of(end: &FinalAnswer) -> Self {
        match end {
            FinalAnswer::Served { .. } => Self::Served,
            FinalAnswer::Rejected { .. } => Self::Rejected,
            FinalAnswer::Refused { reason: Refusal::NoRoom, .. } => Self::NoRoom,
            FinalAnswer::Refused { reason: Refusal::NoWorker, .. } => Self::NoWorker,
            FinalAnswer::Refused { reason: Refusal::ClientDisconnected, .. } => Self::ClientEnded,
            FinalAnswer::Refused { .. } => Self::TooManyOpen,
            FinalAnswer::Failed { cause: Cause::Deadline, .. } => Self::Deadline,
            FinalAnswer::Failed { cause: Cause::Internal, .. } => Self::WorkerFailed,
            FinalAnswer::Failed { .. } => Self::AttemptLost,
        }
    }
}

/// How an attempt ended after which its request was sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatReason {
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
    /// It was withdrawn: its answer was late.
    Withdrawn,
}

impl RepeatReason {
    const COUNT: usize = 7;

    /// Of the end of an attempt.
    pub fn of(how: &AttemptEnd) -> Self {
        match how {
            AttemptEnd::NotConnected => Self::NotConnected,
            AttemptEnd::NotWritten => Self::NotWritten,
            AttemptEnd::NoRoom
            | AttemptEnd::RefusedStream
            | AttemptEnd::GoneAway
            | AttemptEnd::MarkedFull => Self::Full,
            AttemptEnd::MarkedMiss | AttemptEnd::MarkedLoadFailed | AttemptEnd::Unwanted => Self::Miss,
            AttemptEnd::Status { .. } | AttemptEnd::Reset | AttemptEnd::Rejected(_) | AttemptEnd::Served => {
                Self::WorkerFailed
            }
            AttemptEnd::Broken => Self::Broken,
            AttemptEnd::TimedOut | AttemptEnd::Cancelled => Self::Withdrawn,
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
    /// It rested for too long.
    Idle,
    /// Nothing whole came in time.
    Silent,
    /// It sent what can't be used.
    Faults,
    /// It made room for a new one.
    Room,
    /// There was no room for it.
    NoRoom,
}

impl CloseReason {
    const COUNT: usize = 7;
}

/// How often each reason stood.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    ends: [u64; EndReason::COUNT],
    repeats: [u64; RepeatReason::COUNT],
    closes: [u64; CloseReason::COUNT],
}

impl Reasons {
    /// A request has ended.
    pub fn ended(&mut self, why: EndReason) {
        self.ends[why as usize] += 1;
    }

    /// A request is sent again.
    pub fn repeated(&mut self, why: RepeatReason) {
        self.repeats[why as usize] += 1;
    }

    /// A client's connection has ended.
    pub fn closed(&mut self, why: CloseReason) {
        self.closes[why as usize] += 1;
    }

    /// Requests that ended so.
    pub fn ends(&self, why: EndReason) -> u64 {
        self.ends[why as usize]
    }

    /// Requests that were sent again after that.
    pub fn repeats(&self, why: RepeatReason) -> u64 {
        self.repeats[why as usize]
    }

    /// Connections of clients that ended so.
    pub fn closes(&self, why: CloseReason) -> u64 {
        self.closes[why as usize]
    }
}
