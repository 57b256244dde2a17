//! Tests of the fallback to the plain version and of the new attempts with the preferred version.

use super::*;

const S: Micros = 1_000_000;

#[test]
fn preferred_version_is_retried_by_one_message_at_a_time() {
    let mut negotiation = Negotiation::new(Backoff { first: 10 * S, max: 30 * S });
    assert_eq!(
        (negotiation.next_version(0, 0), negotiation.next_version(0, 1)),
        (ProtocolVersion::Preferred, ProtocolVersion::Preferred)
    );
    negotiation.handle_response(S, 0, Acceptance::NotUnderstood);
    negotiation.handle_response(2 * S, 1, Acceptance::NotUnderstood);
    assert_eq!((negotiation.version(), negotiation.changes()), (ProtocolVersion::Plain, 1));
    assert_eq!(negotiation.next_version(10 * S, 0), ProtocolVersion::Plain);
    negotiation.handle_response(10 * S, 0, Acceptance::Understood);
    assert_eq!(
        negotiation.version(),
        ProtocolVersion::Plain,
        "a response to the plain version says nothing of the other"
    );
    assert_eq!(
        (negotiation.next_version(11 * S, 0), negotiation.next_version(11 * S, 1)),
        (ProtocolVersion::Preferred, ProtocolVersion::Plain)
    );
    negotiation.handle_response(11 * S, 0, Acceptance::NotUnderstood);
    let retry = |negotiation: &mut Negotiation, at| {
        let version = negotiation.next_version(at, 0);
        negotiation.handle_response(at, 0, Acceptance::NotUnderstood);
        version
    };
    assert_eq!(retry(&mut negotiation, 30 * S), ProtocolVersion::Plain, "the wait has doubled");
    assert_eq!(retry(&mut negotiation, 31 * S), ProtocolVersion::Preferred);
    assert_eq!(retry(&mut negotiation, 60 * S), ProtocolVersion::Plain, "and is at its most");
    assert_eq!(negotiation.next_version(61 * S, 0), ProtocolVersion::Preferred);
    negotiation.handle_response(61 * S, 0, Acceptance::Understood);
    assert_eq!((negotiation.version(), negotiation.changes()), (ProtocolVersion::Preferred, 2));
    // The receiver is replaced by an older one: the backoff starts again with the first delay.
    assert_eq!(retry(&mut negotiation, 70 * S), ProtocolVersion::Preferred);
    assert_eq!(retry(&mut negotiation, 79 * S), ProtocolVersion::Plain);
    assert_eq!(negotiation.next_version(80 * S, 0), ProtocolVersion::Preferred);
}

#[test]
fn retry_without_a_result_is_repeated() {
    let mut negotiation = Negotiation::new(Backoff { first: S, max: S });
    negotiation.next_version(0, 0);
    negotiation.handle_response(0, 0, Acceptance::NotUnderstood);
    assert_eq!(negotiation.next_version(S, 0), ProtocolVersion::Preferred);
    negotiation.handle_response(S, 0, Acceptance::Unknown);
    assert_eq!(
        (negotiation.version(), negotiation.next_version(S, 1)),
        (ProtocolVersion::Plain, ProtocolVersion::Preferred)
    );
}
