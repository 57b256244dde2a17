//! Unit tests of `grpc`.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_survive_encoding_and_decoding(message in "\\PC{0,60}|[\\x00-\\x7f]{0,60}") {
        let trailers = Status::new(Code::Internal, message.clone()).trailers();
        prop_assert_eq!(Status::read(&trailers).expect("a status").message, message);
    }

    #[test]
    fn written_timeouts_are_never_longer(micros in 0u64..u64::MAX / 2) {
        let span = Duration::from_micros(micros);
        let read = read_timeout(&write_timeout(span)).expect("eight digits and a unit");
        prop_assert!(read <= span);
    }
}

#[test]
fn malformed_timeouts_are_rejected() {
    for bad in ["", "S", "12", "123456789S", "-1S", "1.5S", "5s", "5 S", "\u{e9}"] {
        assert_eq!(read_timeout(bad), None, "{bad:?}");
    }
    assert_eq!(read_timeout("600m"), Some(Duration::from_millis(600)));
}

#[test]
fn status_that_is_not_a_number_is_unknown() {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", HeaderValue::from_static("seven"));
    assert_eq!(Status::read(&map).expect("a status").code, Code::Unknown);
    assert_eq!(Status::read(&HeaderMap::new()), None);
}
