//! Unit tests of `responses`.

use super::*;

fn response(status: u16, body: &str) -> Answer {
    Answer { status, headers: Vec::new(), body: body.as_bytes().to_vec() }
}

fn watch() -> ReplicationRequest {
    ReplicationRequest::Watch { store: "s".to_owned(), after: 3 }
}

#[test]
fn page_brings_its_changes_with_the_lease() {
    let page = response(200, r#"{"entries":[],"lease_ms":1000,"place":9,"clock":{"by":7,"at_ms":5}}"#);
    let Meaning::Changes(entries, lease) = interpret(&watch(), &page) else { panic!("no changes") };
    assert!(entries.is_empty());
    assert_eq!(lease, Lease { span_ms: Some(1_000), fencing_token: Some(9) });
    let clock = leader_clock(&page).expect("a reading");
    assert_eq!((clock.incarnation, clock.at_ms, clock.held_ms), (7, 5, 0));
}

#[test]
fn unreadable_or_refused_responses_change_nothing() {
    let failed = |request: &ReplicationRequest, answer: &Answer| {
        matches!(interpret(request, answer), Meaning::Other(ReplicationResponse::Failed))
    };
    assert!(failed(&watch(), &response(200, "{}")), "no page");
    assert!(failed(&ReplicationRequest::Snapshot, &response(200, "{\"entries\":[]}")), "no snapshot");
    assert!(failed(&watch(), &response(503, "{}")));
    for status in [409, 410] {
        let meaning = interpret(&watch(), &response(status, "{}"));
        assert!(matches!(meaning, Meaning::Other(ReplicationResponse::Diverged)), "{status}");
    }
}

#[test]
fn fenced_is_told_from_other_denials() {
    assert!(is_fenced(&response(403, r#"{"type":"/problems/fenced"}"#)));
    assert!(!is_fenced(&response(403, r#"{"type":"/problems/ended"}"#)));
    assert!(!is_fenced(&response(503, r#"{"type":"/problems/fenced"}"#)));
    assert!(!is_fenced(&response(403, "no JSON")));
}
