//! Tests of the fallback to the plain version and of the new attempts with the preferred version.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn preferred_version_is_retried_by_one_message_at_a_time() {
    let mut negotiation = Negotiation::new(Backoff { first: 10 * SECOND, max: 30 * SECOND });
    assert_eq!(
        (negotiation.next_version(0, 0), negotiation.next_version(0, 1)),
        (ProtocolVersion::Preferred, ProtocolVersion::Preferred)
    );
    negotiation.handle_response(SECOND, 0, Acceptance::NotUnderstood);
    negotiation.handle_response(2 * SECOND, 1, Acceptance::NotUnderstood);
    assert_eq!((negotiation.version(), negotiation.changes()), (ProtocolVersion::Plain, 1));
    assert_eq!(negotiation.next_version(10 * SECOND, 0), ProtocolVersion::Plain);
    negotiation.handle_response(10 * SECOND, 0, Acceptance::Understood);
    assert_eq!(
        negotiation.version(),
        ProtocolVersion::Plain,
        "a response to the plain version shows nothing about the preferred one"
    );
    assert_eq!(
        (negotiation.next_version(11 * SECOND, 0), negotiation.next_version(11 * SECOND, 1)),
        (ProtocolVersion::Preferred, ProtocolVersion::Plain)
    );
    negotiation.handle_response(11 * SECOND, 0, Acceptance::NotUnderstood);
    let retry = |negotiation: &mut Negotiation, at| {
        let version = negotiation.next_version(at, 0);
        negotiation.handle_response(at, 0, Acceptance::NotUnderstood);
        version
    };
    assert_eq!(retry(&mut negotiation, 30 * SECOND), ProtocolVersion::Plain, "the backoff has doubled");
    assert_eq!(retry(&mut negotiation, 31 * SECOND), ProtocolVersion::Preferred);
    assert_eq!(retry(&mut negotiation, 60 * SECOND), ProtocolVersion::Plain, "the backoff is at its maximum");
    assert_eq!(negotiation.next_version(61 * SECOND, 0), ProtocolVersion::Preferred);
    negotiation.handle_response(61 * SECOND, 0, Acceptance::Understood);
    assert_eq!((negotiation.version(), negotiation.changes()), (ProtocolVersion::Preferred, 2));
    // The receiver is replaced by an older one: the backoff starts again with the first delay.
    assert_eq!(retry(&mut negotiation, 70 * SECOND), ProtocolVersion::Preferred);
    assert_eq!(retry(&mut negotiation, 79 * SECOND), ProtocolVersion::Plain);
    assert_eq!(negotiation.next_version(80 * SECOND, 0), ProtocolVersion::Preferred);
}

#[test]
fn retry_without_a_result_is_repeated() {
    let mut negotiation = Negotiation::new(Backoff { first: SECOND, max: SECOND });
    negotiation.next_version(0, 0);
    negotiation.handle_response(0, 0, Acceptance::NotUnderstood);
    assert_eq!(negotiation.next_version(SECOND, 0), ProtocolVersion::Preferred);
    negotiation.handle_response(SECOND, 0, Acceptance::Unknown);
    assert_eq!(
        (negotiation.version(), negotiation.next_version(SECOND, 1)),
        (ProtocolVersion::Plain, ProtocolVersion::Preferred)
    );
}
