//! Unit tests of `negotiation`.

use super::*;

const S: Micros = 1_000_000;

#[test]
fn a_receiver_that_was_upgraded_is_asked_again_by_one_message_at_a_time() {
    let mut negotiation = Negotiation::new(Backoff { first: 10 * S, most: 30 * S });
    assert_eq!(
        (negotiation.next(0, 0), negotiation.next(0, 1)),
        (ProtocolVersion::Preferred, ProtocolVersion::Preferred)
    );
    negotiation.told(S, 0, Acceptance::No);
    negotiation.told(2 * S, 1, Acceptance::No);
    assert_eq!((negotiation.form(), negotiation.changes()), (ProtocolVersion::Plain, 1));
    assert_eq!(negotiation.next(10 * S, 0), ProtocolVersion::Plain);
    negotiation.told(10 * S, 0, Acceptance::Yes);
    assert_eq!(
        negotiation.form(),
        ProtocolVersion::Plain,
        "an answer to the plain form says nothing of the other"
    );
    assert_eq!(
        (negotiation.next(11 * S, 0), negotiation.next(11 * S, 1)),
        (ProtocolVersion::Preferred, ProtocolVersion::Plain)
    );
    negotiation.told(11 * S, 0, Acceptance::No);
    let asked = |negotiation: &mut Negotiation, at| {
        let form = negotiation.next(at, 0);
        negotiation.told(at, 0, Acceptance::No);
        form
    };
    assert_eq!(asked(&mut negotiation, 30 * S), ProtocolVersion::Plain, "the wait has doubled");
    assert_eq!(asked(&mut negotiation, 31 * S), ProtocolVersion::Preferred);
    assert_eq!(asked(&mut negotiation, 60 * S), ProtocolVersion::Plain, "and is at its most");
    assert_eq!(negotiation.next(61 * S, 0), ProtocolVersion::Preferred);
    negotiation.told(61 * S, 0, Acceptance::Yes);
    assert_eq!((negotiation.form(), negotiation.changes()), (ProtocolVersion::Preferred, 2));
    // Replaced by one that is older: from the beginning.
    assert_eq!(asked(&mut negotiation, 70 * S), ProtocolVersion::Preferred);
    assert_eq!(asked(&mut negotiation, 79 * S), ProtocolVersion::Plain);
    assert_eq!(negotiation.next(80 * S, 0), ProtocolVersion::Preferred);
}

#[test]
fn a_question_without_an_answer_is_asked_again() {
    let mut negotiation = Negotiation::new(Backoff { first: S, most: S });
    negotiation.next(0, 0);
    negotiation.told(0, 0, Acceptance::No);
    assert_eq!(negotiation.next(S, 0), ProtocolVersion::Preferred);
    negotiation.told(S, 0, Acceptance::Untold);
    assert_eq!(
        (negotiation.form(), negotiation.next(S, 1)),
        (ProtocolVersion::Plain, ProtocolVersion::Preferred)
    );
}
