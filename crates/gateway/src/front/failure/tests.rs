//! Unit tests of `failure`.

use super::*;
use nettleferry_net::grpc::read_binary;
use nettleferry_proto::rpc;

#[test]
fn refusals_carry_a_retry_delay_and_failures_forbid_retries() {
    let refused = FinalAnswer::Refused { reason: Refusal::NoCapacity, retry_after: None };
    let map = failure_for_answer(&refused, Duration::from_millis(70)).expect("no success").trailers();
    assert_eq!((map["grpc-status"].as_bytes(), map[PUSHBACK].as_bytes()), (&b"14"[..], &b"70"[..]));
    let details = read_binary(&map["grpc-status-details-bin"]).expect("base64");
    let status = rpc::Status::decode(&details[..]).expect("google.rpc.Status");
    assert_eq!(status.details[0].type_url, rpc::RETRY_INFO);
    let retry = rpc::RetryInfo::decode(&status.details[0].value[..]).expect("RetryInfo");
    assert_eq!(retry.retry_delay.expect("a delay").nanos, 70_000_000);

    for cause in [Cause::Aborted, Cause::Internal, Cause::Deadline] {
        let failed = FinalAnswer::Failed { cause, message: "it broke: \u{e4} 100%".to_owned() };
        let map = failure_for_answer(&failed, Duration::ZERO).expect("no success").trailers();
        assert_ne!(map["grpc-status"], "14");
        assert_eq!(map[PUSHBACK], "-1");
        assert_eq!(map["grpc-message"], "it broke: %C3%A4 100%25");
        assert!(!map.contains_key("grpc-status-details-bin"));
    }
    assert_eq!(failure_for_answer(&FinalAnswer::Served { last: None }, Duration::ZERO), None);
}

#[test]
fn failure_on_a_stream_carries_the_id_of_its_call() {
    let message = Failure::refused("full", Duration::from_millis(5)).message("r-7");
    let read = ModelStreamInferResponse::decode(message).expect("a message");
    assert_eq!(read.error_message, "UNAVAILABLE: full");
    let response = read.infer_response.expect("there");
    assert_eq!(
        (response.id.as_str(), response.parameters["grpc_retry_pushback_ms"].int64()),
        ("r-7", Some(5))
    );
}
