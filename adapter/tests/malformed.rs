//! Malformed input must end the adapter with an error message and a non-zero exit code, never with a panic.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter with this input. Returns whether it succeeded, and its standard output and standard error.
fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nettleferry-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter is started");
    // The adapter may exit before it has read all input; only its output is checked.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("adapter exits");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.success(), text(&output.stdout), text(&output.stderr))
}

#[test]
fn an_empty_batch_is_answered() {
    let (success, stdout, _) = run("{\"t_ms\":1.5,\"turn\":1,\"input\":[]}\n");
    assert!(success);
    assert_eq!(stdout, "{\"turn\":1,\"outbox\":[]}\n");
}

#[test]
fn a_malformed_line_is_reported_with_its_number() {
    let valid_line = "{\"t_ms\":1.5,\"turn\":1,\"input\":[]}\n";
    for (malformed_line, message) in [
        ("{nonsense", "not JSON"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"NO_SUCH\",1]]}", "no such event"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"WAKE\",1]]}", "too short"),
        (
            "{\"t_ms\":2,\"turn\":2,\"input\":[[\"TOPOLOGY\",1,\"partial\",null,[]]]}",
            "TOPOLOGY: form is not a known keyword: \"partial\"",
        ),
        (
            "{\"t_ms\":2,\"turn\":2,\"input\":[[\"CHECK_RESULT\",1,7,42,null,null]]}",
            "CHECK_RESULT: verdict is not a known code: 42",
        ),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"TOPOLOGY\",1,5]]}", "form is not a string"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"WAKE\",1,-2]]}", "tag is not a non-negative whole number"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"ENLIST\",1,2,[]]]}", "info is missing or not an object"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"ENLIST\",1,2,{}]]}", "no request class"),
    ] {
        let (success, _, stderr) = run(&format!("{valid_line}{malformed_line}\n"));
        assert!(!success, "{malformed_line}");
        assert!(stderr.contains("line 2") && stderr.contains(message), "{stderr}");
        assert!(!stderr.contains("panicked"), "{stderr}");
    }
}
