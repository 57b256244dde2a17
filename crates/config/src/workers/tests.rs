//! Unit tests of `workers`.

use super::*;

#[test]
fn written_list_is_parsed_to_same_workers() {
    let text =
        "(worker w1 (address \"127.0.0.1:9001\") (zone \"room \\\"a\\\"\") (state draining) (born 1.5s))
                    (worker w2 (address \"[::1]:9\") (weight 2.5) (cell pod-3))";
    let workers = read("workers.sexp", text).expect("valid list");
    assert_eq!(workers[0].started_at, Some(1_500_000));
    assert_eq!(workers[0].cell, "w1");
    assert_eq!(read("again", &write(&workers)), Ok(workers));
}

#[test]
fn list_with_one_bad_line_is_rejected() {
    let text = "(worker w1 (address \"127.0.0.1:9001\"))\n(worker w1 (address \"127.0.0.1\") (stat on))";
    let errors = read("workers.sexp", text).expect_err("two errors").to_string();
    assert!(errors.contains("workers.sexp:2:21: (address ...): write an address and port"), "{errors}");
    assert!(errors.contains("did you mean state?"), "{errors}");
}

#[test]
fn duplicate_name_is_rejected() {
    let line = "(worker w1 (address \"127.0.0.1:9001\"))\n";
    assert!(
        read("w", &line.repeat(2))
            .expect_err("duplicate name")
            .to_string()
            .contains("w:2:1: worker w1 stands twice")
    );
}
