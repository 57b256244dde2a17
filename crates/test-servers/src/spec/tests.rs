//! Unit tests of `spec`.

use super::*;

#[test]
fn file_is_parsed_with_its_units() {
    let text = "(listen \"127.0.0.1:0\") (cores 2) (cold 5s (start-capacity 0.3)) (model echo-* (lanes 3) (work 20ms))";
    let (_, spec) = read_file("w.sexp", text).expect("valid description");
    assert_eq!(
        (spec.warm_up, spec.model("echo-1").lanes, spec.model("echo-1").core_time),
        (5_000_000, 3, 20_000)
    );
    assert_eq!(spec.model("climb").lanes, ModelSpec::any().lanes);
    assert!(read_file("w.sexp", "(listen 9001)").is_err());
}
