//! Unit tests of `responses`.

use super::*;

fn response(status: u16, body: &str) -> Answer {
    Answer { status, headers: Vec::new(), body: body.as_bytes().to_vec() }
}

fn watch() -> ReplicationRequest {
    ReplicationRequest::Watch { store: "s".to_owned(), after: 3 }
}

#[test]
fn page_of_changes_is_decoded_with_its_lease_and_clock_reading() {
    let page = response(200, r#"{"entries":[],"lease_ms":1000,"place":9,"clock":{"by":7,"at_ms":5}}"#);
    let DecodedResponse::Changes(entries, lease) = decode(&watch(), &page) else { panic!("no changes") };
    assert!(entries.is_empty());
    assert_eq!(lease, Lease { span_ms: Some(1_000), fencing_token: Some(9) });
    let clock = leader_clock(&page).expect("a reading");
    assert_eq!((clock.incarnation, clock.at_ms, clock.held_ms), (7, 5, 0));
}

#[test]
fn undecodable_and_error_responses_contain_no_data() {
    let failed = |request: &ReplicationRequest, answer: &Answer| {
        matches!(decode(request, answer), DecodedResponse::Other(ReplicationResponse::Failed))
    };
    assert!(failed(&watch(), &response(200, "{}")), "no page");
    assert!(failed(&ReplicationRequest::Snapshot, &response(200, "{\"entries\":[]}")), "no snapshot");
    assert!(failed(&watch(), &response(503, "{}")));
    for status in [409, 410] {
        let decoded = decode(&watch(), &response(status, "{}"));
        assert!(matches!(decoded, DecodedResponse::Other(ReplicationResponse::Diverged)), "{status}");
    }
}

#[test]
fn only_a_403_response_with_the_fenced_problem_type_means_fenced() {
    assert!(is_fenced(&response(403, r#"{"type":"/problems/fenced"}"#)));
    assert!(!is_fenced(&response(403, r#"{"type":"/problems/ended"}"#)));
    assert!(!is_fenced(&response(503, r#"{"type":"/problems/fenced"}"#)));
    assert!(!is_fenced(&response(403, "no JSON")));
}
