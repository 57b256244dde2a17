//! What a worker's answer means: trailers and stream errors as the engine's ends of attempts, load reports as the decision
//! module's. Nothing else reads them.

use http::{HeaderMap, StatusCode};
use nettleferry::{LoadNote, Report};
use nettleferry_engine::{AttemptEnd, AttemptReport};
use nettleferry_net::StreamError;
use nettleferry_net::grpc::{Code, Status, read_binary};
use nettleferry_proto::{metadata, orca};
use prost::Message;

/// The end of an RPC with trailers.
pub(super) fn attempt_end_from_trailers(http: StatusCode, trailers: &HeaderMap) -> AttemptEnd {
    if http != StatusCode::OK {
        return AttemptEnd::Status { message: format!("HTTP {}", http.as_u16()) };
    }
    let mark = trailers.get(metadata::NEVER_RAN).and_then(|v| v.to_str().ok());
    match (Status::read(trailers), mark) {
        (Some(Status { code: Code::Ok, .. }), _) => AttemptEnd::Served,
        // Only the worker's mark proves that the call did not run; no failing status does.
        (Some(_), Some(metadata::FULL | metadata::FENCED)) => AttemptEnd::MarkedFull,
        (Some(_), Some(metadata::MISS)) => AttemptEnd::MarkedMiss,
        (Some(_), Some(metadata::LOAD_FAILED)) => AttemptEnd::MarkedLoadFailed,
        (Some(Status { code: Code::InvalidArgument, message }), _) => AttemptEnd::Rejected(message),
        (Some(Status { code, message }), _) => {
            AttemptEnd::Status { message: format!("{}: {message}", code.name()) }
        }
        (None, _) => AttemptEnd::Status { message: "the worker's answer ended without a status".to_owned() },
    }
}

/// The end of an RPC whose stream failed.
pub(super) fn attempt_end_from_stream_error(error: &StreamError) -> AttemptEnd {
    match error {
        StreamError::NotConnected => AttemptEnd::NotConnected,
        StreamError::NotWritten => AttemptEnd::NotWritten,
        StreamError::Refused => AttemptEnd::RefusedStream,
        StreamError::GoneAway => AttemptEnd::GoneAway,
        StreamError::Reset(_) | StreamError::Protocol(_) => AttemptEnd::Reset,
        StreamError::Broken => AttemptEnd::Broken,
        StreamError::Message(error) => {
            AttemptEnd::Status { message: format!("the worker's answer: {error}") }
        }
    }
}

/// The ORCA load report in trailers, where there is a sound one.
pub(super) fn orca_report(trailers: &HeaderMap) -> Option<orca::OrcaLoadReport> {
    let bytes = read_binary(trailers.get(orca::TRAILER)?)?;
    orca::OrcaLoadReport::decode(&bytes[..]).ok()
}

/// A load report as the decision module has it. Values that are missing, negative or no numbers are left out.
pub(super) fn load_report(report: &orca::OrcaLoadReport) -> Report {
    let named = |name: &str| report.named_metrics.get(name).copied().filter(|x| x.is_finite() && *x >= 0.0);
    let share = |x: f64| (x.is_finite() && x >= 0.0).then_some(x);
    Report {
        inflight: named(orca::INFLIGHT),
        queue: named(orca::QUEUE),
        util: share(report.cpu_utilization),
        memory_held: share(report.mem_utilization),
        loads: named(orca::LOADS),
    }
}

/// What a worker reports of replicas and load with the end of an attempt.
pub(super) fn attempt_report(trailers: &HeaderMap) -> AttemptReport {
    let Some(report) = orca_report(trailers) else { return AttemptReport::default() };
    let named = |name: &str| report.named_metrics.get(name).copied();
    let note = named(orca::LOAD_NOTE).and_then(|n| match n as i64 {
        1 => Some(LoadNote::Warm),
        2 => Some(LoadNote::Began),
        3 => Some(LoadNote::Waited),
        4 => Some(LoadNote::Failed),
        _ => None,
    });
    AttemptReport {
        load_note: note,
        queue_depth: named(orca::SAME_MODEL_CALLS).map(|n| n.clamp(0.0, 1e6) as u32),
        load_report: Some(load_report(&report)),
    }
}

/// How many replicas are loaded, by the answer to a load order.
pub(super) fn loaded_replicas(trailers: &HeaderMap) -> u32 {
    orca_report(trailers)
        .and_then(|r| r.named_metrics.get(orca::LOADED_REPLICAS).copied())
        .map_or(0, |n| n.clamp(0.0, 1e6) as u32)
}

#[cfg(test)]
mod tests;
