//! What a worker's answer means on the wire: trailers and stream errors to the engine's facts, reports to the
//! module's numbers. One place, table-tested.

use http::{HeaderMap, StatusCode};
use nettleferry::{LoadNote, Report};
use nettleferry_engine::{AttemptEnd, AttemptReport};
use nettleferry_net::StreamError;
use nettleferry_net::grpc::{Code, Status, read_binary};
use nettleferry_proto::{marks, orca};
use prost::Message;

/// How an answer with trailers ended.
pub fn by_trailers(http: StatusCode, trailers: &HeaderMap) -> AttemptEnd {
    if http != StatusCode::OK {
        return AttemptEnd::Status { message: format!("HTTP {}", http.as_u16()) };
    }
    let mark = trailers.get(marks::NEVER_RAN).and_then(|v| v.to_str().ok());
    match (Status::read(trailers), mark) {
        (Some(Status { code: Code::Ok, .. }), _) => AttemptEnd::Served,
        // The worker's own word: nothing else about a failing status proves anything.
        (Some(_), Some(marks::FULL | marks::FENCED)) => AttemptEnd::MarkedFull,
        (Some(_), Some(marks::MISS)) => AttemptEnd::MarkedMiss,
        (Some(_), Some(marks::LOAD_FAILED)) => AttemptEnd::MarkedLoadFailed,
        (Some(Status { code: Code::InvalidArgument, message }), _) => AttemptEnd::Rejected(message),
        (Some(Status { code, message }), _) => {
            AttemptEnd::Status { message: format!("{}: {message}", code.name()) }
        }
        (None, _) => AttemptEnd::Status { message: "the worker's answer ended without a status".to_owned() },
    }
}

/// How a stream that failed ended.
pub fn by_error(error: &StreamError) -> AttemptEnd {
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

/// The load report and named metrics of trailers.
pub fn report(trailers: &HeaderMap) -> Option<orca::OrcaLoadReport> {
    let bytes = read_binary(trailers.get(orca::TRAILER)?)?;
    orca::OrcaLoadReport::decode(&bytes[..]).ok()
}

/// The module's report. What is not told stays untold; what is no number is not told.
pub fn load(report: &orca::OrcaLoadReport) -> Report {
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

/// What an answer tells of copies and load.
pub fn news(trailers: &HeaderMap) -> AttemptReport {
    let Some(report) = report(trailers) else { return AttemptReport::default() };
    let named = |name: &str| report.named_metrics.get(name).copied();
    let note = named(orca::NOTE).and_then(|n| match n as i64 {
        1 => Some(LoadNote::Warm),
        2 => Some(LoadNote::Began),
        3 => Some(LoadNote::Waited),
        4 => Some(LoadNote::Failed),
        _ => None,
    });
    AttemptReport {
        load_note: note,
        queue_depth: named(orca::CROWD).map(|n| n.clamp(0.0, 1e6) as u32),
        load_report: Some(load(&report)),
    }
}

/// Copies that stand, by the answer to an order.
pub fn copies(trailers: &HeaderMap) -> u32 {
    report(trailers)
        .and_then(|r| r.named_metrics.get(orca::STANDING).copied())
        .map_or(0, |n| n.clamp(0.0, 1e6) as u32)
}

#[cfg(test)]
mod tests;
