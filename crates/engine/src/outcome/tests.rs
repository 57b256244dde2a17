//! Unit tests of `outcome`.

use super::*;

#[test]
fn each_end_proves_what_it_proves_and_no_more() {
    let status = |m: &str| Ended::Status { message: m.to_owned() };
    let table = [
        (Ended::Served, Outcome::Ok, false),
        (Ended::Rejected("shape".to_owned()), Outcome::Ok, false),
        (Ended::NotConnected, Outcome::ConnectFailed, true),
        (Ended::NotWritten, Outcome::PartlySent, true),
        (Ended::NoRoom, Outcome::Rejected, true),
        (Ended::RefusedStream, Outcome::Rejected, true),
        (Ended::GoneAway, Outcome::Rejected, true),
        (Ended::MarkedFull, Outcome::Rejected, true),
        (Ended::MarkedMiss, Outcome::NotLoaded, true),
        (Ended::MarkedLoadFailed, Outcome::NotLoaded, true),
        (Ended::Unwanted, Outcome::NeverSent, true),
        (status("UNAVAILABLE: bare"), Outcome::Error, false),
        (status("INTERNAL"), Outcome::Error, false),
        (Ended::Reset, Outcome::Error, false),
        (Ended::Broken, Outcome::Reset, false),
        (Ended::TimedOut, Outcome::Timeout, false),
        (Ended::Cancelled, Outcome::Cancelled, false),
    ];
    for (ended, outcome, proof) in table {
        assert_eq!(ended.outcome(), outcome, "{ended:?}");
        assert_eq!(ended.never_ran(), proof, "{ended:?}");
    }
}
