//! Unit tests of `trailers`.

use super::*;
use http::HeaderValue;
use nettleferry_net::framing::FrameError;
use nettleferry_net::grpc::write_binary;

fn trailers(code: Code, never_ran_reason: Option<&'static str>) -> HeaderMap {
    let mut map = Status::new(code, "words").trailers();
    if let Some(reason) = never_ran_reason {
        map.insert(metadata::NEVER_RAN, HeaderValue::from_static(reason));
    }
    map
}

#[test]
fn only_the_never_ran_trailer_proves_that_a_failed_call_did_not_run() {
    let status = |text: &str| AttemptEnd::Status { message: text.to_owned() };
    let table = [
        (trailers(Code::Ok, None), AttemptEnd::Served),
        (trailers(Code::Unavailable, None), status("UNAVAILABLE: words")),
        (trailers(Code::Unavailable, Some("full")), AttemptEnd::MarkedFull),
        (trailers(Code::Unavailable, Some("fenced")), AttemptEnd::MarkedFull),
        (trailers(Code::Unavailable, Some("miss")), AttemptEnd::MarkedMiss),
        (trailers(Code::Unavailable, Some("load-failed")), AttemptEnd::MarkedLoadFailed),
        (trailers(Code::Unavailable, Some("perhaps")), status("UNAVAILABLE: words")),
        (trailers(Code::ResourceExhausted, None), status("RESOURCE_EXHAUSTED: words")),
        (trailers(Code::InvalidArgument, None), AttemptEnd::Rejected("words".to_owned())),
        (HeaderMap::new(), status("the worker's answer ended without a status")),
    ];
    for (map, ended) in table {
        assert_eq!(attempt_end_from_trailers(StatusCode::OK, &map), ended);
        assert_eq!(
            ended.never_ran(),
            matches!(ended, AttemptEnd::MarkedFull | AttemptEnd::MarkedMiss | AttemptEnd::MarkedLoadFailed)
        );
    }
    assert_eq!(
        attempt_end_from_trailers(StatusCode::BAD_GATEWAY, &trailers(Code::Ok, None)),
        status("HTTP 502")
    );
}

#[test]
fn stream_errors_map_to_attempt_ends() {
    let table = [
        (StreamError::NotConnected, true),
        (StreamError::NotWritten, true),
        (StreamError::Refused, true),
        (StreamError::GoneAway, true),
        (StreamError::Reset("CANCEL".to_owned()), false),
        (StreamError::Broken, false),
        (StreamError::Protocol("x".to_owned()), false),
        (StreamError::Message(FrameError::BadGzip), false),
    ];
    for (error, proof) in table {
        assert_eq!(attempt_end_from_stream_error(&error).never_ran(), proof, "{error:?}");
    }
}

#[test]
fn load_reports_are_read_and_malformed_ones_ignored() {
    let mut report =
        orca::OrcaLoadReport { cpu_utilization: 0.5, mem_utilization: f64::NAN, ..Default::default() };
    report.named_metrics.insert(orca::LOAD_NOTE.to_owned(), 2.0);
    report.named_metrics.insert(orca::SAME_MODEL_CALLS.to_owned(), 5.0);
    report.named_metrics.insert(orca::QUEUE.to_owned(), -1.0);
    let mut map = HeaderMap::new();
    map.insert(orca::TRAILER, write_binary(&report.encode_to_vec()).expect("ascii"));
    let report = attempt_report(&map);
    assert_eq!((report.load_note, report.queue_depth), (Some(LoadNote::Began), Some(5)));
    let load = report.load_report.expect("a load report");
    assert_eq!((load.util, load.memory_held, load.queue), (Some(0.5), None, None));
    map.insert(orca::TRAILER, HeaderValue::from_static("!!"));
    assert_eq!(attempt_report(&map), AttemptReport::default());
}
