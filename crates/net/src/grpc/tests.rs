//! Unit tests of `grpc`.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_come_back(message in "\\PC{0,60}|[\\x00-\\x7f]{0,60}") {
        let trailers = Status::new(Code::Internal, message.clone()).trailers();
        prop_assert_eq!(Status::read(&trailers).expect("there").message, message);
    }

    #[test]
    fn timeouts_never_grow(micros in 0u64..u64::MAX / 2) {
        let span = Duration::from_micros(micros);
        let read = read_timeout(&write_timeout(span)).expect("eight digits and a unit");
        prop_assert!(read <= span);
    }
}

#[test]
fn malformed_timeouts_are_refused() {
    for bad in ["", "S", "12", "123456789S", "-1S", "1.5S", "5s", "5 S", "\u{e9}"] {
        assert_eq!(read_timeout(bad), None, "{bad:?}");
    }
    assert_eq!(read_timeout("600m"), Some(Duration::from_millis(600)));
}

#[test]
fn a_status_that_is_no_number_is_unknown() {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", HeaderValue::from_static("seven"));
    assert_eq!(Status::read(&map).expect("there").code, Code::Unknown);
    assert_eq!(Status::read(&HeaderMap::new()), None);
}
