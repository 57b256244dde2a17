//! Unit tests of `outcome`.

use super::*;

#[test]
fn attempt_ends_map_to_outcomes_and_proofs() {
    let status = |m: &str| AttemptEnd::Status { message: m.to_owned() };
    let table = [
        (AttemptEnd::Served, Outcome::Ok, false),
        (AttemptEnd::Rejected("shape".to_owned()), Outcome::Ok, false),
        (AttemptEnd::NotConnected, Outcome::ConnectFailed, true),
        (AttemptEnd::NotWritten, Outcome::PartlySent, true),
        (AttemptEnd::ConnectionsExhausted, Outcome::Rejected, true),
        (AttemptEnd::RefusedStream, Outcome::Rejected, true),
        (AttemptEnd::GoneAway, Outcome::Rejected, true),
        (AttemptEnd::MarkedFull, Outcome::Rejected, true),
        (AttemptEnd::MarkedMiss, Outcome::NotLoaded, true),
        (AttemptEnd::MarkedLoadFailed, Outcome::NotLoaded, true),
        (AttemptEnd::AlreadyEnded, Outcome::NeverSent, true),
        (status("UNAVAILABLE: bare"), Outcome::Error, false),
        (status("INTERNAL"), Outcome::Error, false),
        (AttemptEnd::Reset, Outcome::Error, false),
        (AttemptEnd::Broken, Outcome::Reset, false),
        (AttemptEnd::TimedOut, Outcome::Timeout, false),
        (AttemptEnd::Cancelled, Outcome::Cancelled, false),
    ];
    for (end, outcome, never_ran) in table {
        assert_eq!(end.outcome(), outcome, "{end:?}");
        assert_eq!(end.never_ran(), never_ran, "{end:?}");
    }
}
