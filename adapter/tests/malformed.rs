//! Malformed input must end the adapter with an error message and a non-zero exit code, never with a panic.

use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nettleferry-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all input; only its output is checked.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    let out = child.wait_with_output().expect("the adapter ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.success(), text(&out.stdout), text(&out.stderr))
}

#[test]
fn an_empty_batch_is_answered() {
    let (ok, out, _) = run("{\"t_ms\":1.5,\"turn\":1,\"input\":[]}\n");
    assert!(ok);
    assert_eq!(out, "{\"turn\":1,\"outbox\":[]}\n");
}

#[test]
fn a_malformed_line_is_reported_with_its_number() {
    let good = "{\"t_ms\":1.5,\"turn\":1,\"input\":[]}\n";
    for (bad, word) in [
        ("{nonsense", "not JSON"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"NO_SUCH\",1]]}", "no such event"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"WAKE\",1]]}", "too short"),
        ("{\"t_ms\":2,\"turn\":2,\"input\":[[\"ENLIST\",1,2,{}]]}", "no request class"),
    ] {
        let (ok, _, stderr) = run(&format!("{good}{bad}\n"));
        assert!(!ok, "{bad}");
        assert!(stderr.contains("line 2") && stderr.contains(word), "{stderr}");
        assert!(!stderr.contains("panicked"), "{stderr}");
    }
}
