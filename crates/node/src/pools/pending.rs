//! Requests to invokers whose response is awaited.

use std::sync::Arc;
use std::time::Instant;

use nettleferry_engine::{AttemptEnd, AttemptId, AttemptReport, ControlRequestId, Event};
use nettleferry_net::tcp::TcpKey;

/// Identifies a request whose response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PendingResponse {
    // The order of the variants is the order of events when a connection ends: the engine gets the result of
    // a health check before the attempts that were lost with the connection.
    Probe(ControlRequestId),
    Attempt(AttemptId),
    Load(ControlRequestId),
}

impl PendingResponse {
    /// Returns the event that this request ended without a response.
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

/// The connection and tag with which a response will arrive.
#[derive(Clone, Debug)]
pub(super) struct ResponseLocation {
    pub(super) connection: TcpKey,
    /// The request's id on the wire.
    pub(super) tag: String,
}

/// A request that was assigned to a connection and has no response yet.
pub(super) struct OpenRequest {
    pub(super) response: PendingResponse,
    /// The function of an attempt.
    pub(super) function: Option<Arc<str>>,
    pub(super) started: Instant,
    /// Range of the request in the connection's output; `None` while no byte of it has been written.
    pub(super) output: Option<OutputRange>,
}

/// A range of bytes in a connection's output, counted from the first byte that was queued on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutputRange {
    pub(super) start: u64,
    pub(super) end: u64,
}

impl OutputRange {
    /// The range of a command that the connection did not accept and that is never written.
    pub(super) const NEVER_WRITTEN: Self = Self { start: u64::MAX, end: u64::MAX };
}
