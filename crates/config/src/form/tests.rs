//! Unit tests of `form`.

use super::*;

#[test]
fn units_are_wanted_and_read() {
    assert_eq!(TimeSpan::read("600ms"), Some(TimeSpan(600_000)));
    assert_eq!(TimeSpan::read("1.5s"), Some(TimeSpan(1_500_000)));
    assert_eq!(Bytes::read("2GiB"), Some(Bytes(2 << 30)));
    for bad in ["600", "ms", "", "-1s", "1e400s", "5 s", "1..2s", "9999999999999h"] {
        assert_eq!(TimeSpan::read(bad), None, "{bad:?}");
    }
}

#[test]
fn everything_wrong_is_told_at_once_with_its_place() {
    let text = "(limits (atempts 3)\n        (wait 600))\n(limits)";
    let (source, mut file) = Source::open("x.sexp", text);
    let mut limits = file.sub("limits").expect("there");
    limits.get::<u64>("attempts");
    limits.get::<TimeSpan>("wait");
    limits.end();
    file.end();
    let errors = source.finish(Some(())).expect_err("three things are wrong").to_string();
    assert!(
        errors.contains("x.sexp:1:9: limits has no key (atempts ...): did you mean attempts?"),
        "{errors}"
    );
    assert!(errors.contains("x.sexp:2:15: (wait ...): write a span with its unit"), "{errors}");
    assert!(errors.contains("x.sexp:3:1: (limits ...) stands twice in the file: keep one"), "{errors}");
}
