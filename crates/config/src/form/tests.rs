//! Unit tests of `form`.

use super::*;

#[test]
fn units_are_required_and_parsed() {
    assert_eq!(TimeSpan::parse("600ms"), Some(TimeSpan(600_000)));
    assert_eq!(TimeSpan::parse("1.5s"), Some(TimeSpan(1_500_000)));
    assert_eq!(Bytes::parse("2GiB"), Some(Bytes(2 << 30)));
    for invalid in ["600", "ms", "", "-1s", "1e400s", "5 s", "1..2s", "9999999999999h"] {
        assert_eq!(TimeSpan::parse(invalid), None, "{invalid:?}");
    }
}

#[test]
fn all_errors_are_reported_with_their_positions() {
    let text = "(limits (atempts 3)\n        (wait 600))\n(limits)";
    let (source, mut file) = Form::parse("x.sexp", text);
    let mut limits = file.optional_list("limits").expect("limits are present");
    limits.optional::<u64>("attempts");
    limits.optional::<TimeSpan>("wait");
    limits.finish();
    file.finish();
    let errors = source.into_result(Some(())).expect_err("three errors").to_string();
    assert!(
        errors.contains("x.sexp:1:9: limits has no key (atempts ...): did you mean attempts?"),
        "{errors}"
    );
    assert!(errors.contains("x.sexp:2:15: (wait ...): write a span with its unit"), "{errors}");
    assert!(errors.contains("x.sexp:3:1: (limits ...) stands twice in the file: keep one"), "{errors}");
}
