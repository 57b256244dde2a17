//! Interprets the responses of workers. Trailers and stream errors become [`AttemptEnd`]s of the engine, ORCA load
//! reports become [`Report`]s of the decision module.

use http::{HeaderMap, StatusCode};
use nettleferry::{LoadNote, Report};
use nettleferry_engine::{AttemptEnd, AttemptReport};
use nettleferry_net::StreamError;
use nettleferry_net::grpc::{Code, Status, read_binary};
use nettleferry_proto::{metadata, orca};
use prost::Message;

/// Maps the HTTP status and the trailers of a finished RPC to the end of its attempt.
pub(super) fn attempt_end_from_trailers(http: StatusCode, trailers: &HeaderMap) -> AttemptEnd {
    if http != StatusCode::OK {
        return AttemptEnd::Status { message: format!("HTTP {}", http.as_u16()) };
    }
    let never_ran_reason = trailers.get(metadata::NEVER_RAN).and_then(|v| v.to_str().ok());
    match (Status::read(trailers), never_ran_reason) {
        (Some(Status { code: Code::Ok, .. }), _) => AttemptEnd::Served,
        // Only the `NEVER_RAN` trailer proves that the call did not run; a status alone never does.
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

/// Maps the error of an RPC that ended without trailers to the end of its attempt.
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

/// The ORCA load report in trailers; `None` where it is missing or malformed.
pub(super) fn orca_report(trailers: &HeaderMap) -> Option<orca::OrcaLoadReport> {
    let bytes = read_binary(trailers.get(orca::TRAILER)?)?;
    orca::OrcaLoadReport::decode(&bytes[..]).ok()
}

/// Converts a load report for the decision module. Values that are missing, negative or not finite are left out.
pub(super) fn load_report(report: &orca::OrcaLoadReport) -> Report {
    let named = |name: &str| report.named_metrics.get(name).copied().filter(|x| x.is_finite() && *x >= 0.0);
    let utilization = |x: f64| (x.is_finite() && x >= 0.0).then_some(x);
    Report {
        inflight: named(orca::INFLIGHT),
        queue: named(orca::QUEUE),
        util: utilization(report.cpu_utilization),
        memory_held: utilization(report.mem_utilization),
        loads: named(orca::LOADS),
    }
}

/// Reads the report that a worker attaches to the end of an attempt: the state of the model's replicas, the number of
/// calls of the same model, and the load of the worker. Empty where the trailers carry no valid report.
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

/// Reads the number of loaded replicas from the trailers of the response to a load order; 0 where they do not state it.
pub(super) fn loaded_replicas(trailers: &HeaderMap) -> u32 {
    orca_report(trailers)
        .and_then(|r| r.named_metrics.get(orca::LOADED_REPLICAS).copied())
        .map_or(0, |n| n.clamp(0.0, 1e6) as u32)
}

#[cfg(test)]
mod tests;
