//! Requests to an invoker whose response is awaited.

use std::time::Instant;

use nettleferry_engine::{AttemptEnd, AttemptId, AttemptReport, ControlRequestId, Event};
use nettleferry_net::tcp::TcpKey;

/// Whose response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PendingResponse {
    // In this order where a connection ends: what a health check proves of the worker is known before what was lost
    // with it.
    Probe(ControlRequestId),
    Attempt(AttemptId),
    Load(ControlRequestId),
}

impl PendingResponse {
    /// The event of an end without a response.
    pub(super) fn ended(self, end: AttemptEnd) -> Event {
        match self {
            Self::Attempt(attempt) => Event::AttemptEnded { attempt, end, report: AttemptReport::default() },
            Self::Load(request_id) => Event::LoadEnded { request_id, end, replicas: 0 },
            Self::Probe(request_id) => Event::ProbeEnded { request_id, end, load_report: None },
        }
    }

    pub(super) fn is_probe(self) -> bool {
        matches!(self, Self::Probe(_))
    }
}

/// Where a response will arrive.
#[derive(Clone, Debug)]
pub(super) struct ResponseLocation {
    pub(super) connection: TcpKey,
    /// The request's id on the wire.
    pub(super) tag: String,
}

/// A request that was begun on a connection and has no response yet.
pub(super) struct OpenRequest {
    pub(super) response: PendingResponse,
    pub(super) started: Instant,
    /// Where it stands in the connection's output; `None`: nothing of it has left.
    pub(super) output: Option<OutputRange>,
}

/// A range of the bytes that were queued on a connection, counted from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutputRange {
    pub(super) start: u64,
    pub(super) end: u64,
}

impl OutputRange {
    /// The range of what the connection did not accept: it is never written.
    pub(super) const NEVER_WRITTEN: Self = Self { start: u64::MAX, end: u64::MAX };
}
