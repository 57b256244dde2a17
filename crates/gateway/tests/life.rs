//! Startup, shutdown, settings and worker lists, as an operator sees them.

mod common;
use common::*;

use std::process::Command;

use nettleferry_net::grpc::Code;
use nettleferry_test_servers::{Fault, ObservationKind};

/// Runs the program to its end. Returns its exit code, its standard output and its standard error.
fn output(arguments: &[&str]) -> (i32, String, String) {
    let out = Command::new(PROGRAM).args(arguments).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (out.status.code().expect("the process was not killed by a signal"), text(&out.stdout), text(&out.stderr))
}

fn demo() -> Program {
    let mut command = Command::new(PROGRAM);
    command.args(["demo", "--listen", "127.0.0.1:0"]);
    Program::run(command, tempfile::tempdir().expect("temporary folder"))
}

#[test]
fn demo_serves_and_ends_cleanly_on_either_signal() {
    for signal in ["TERM", "INT"] {
        let mut demo = demo();
        let address = demo.address.to_string();
        let (code, out, err) =
            output(&["call", &address, "climb", "1", "2", "5", "3", "4", "--param", "segments=2"]);
        assert_eq!(
            (code, out.as_str()),
            (0, "ASCENT FP32 [2]: [4.0, 1.0]\nDESCENT FP32 [2]: [0.0, 2.0]\n"),
            "{err}"
        );
        let (code, out, _) =
            output(&["call", &address, "climb", "1", "2", "5", "--param", "segments=2", "--stream"]);
        assert_eq!((code, out.lines().count()), (0, 4));
        let (code, _, err) = output(&["call", &address, "zebra", "1"]);
        assert!(code == 1 && err.contains("NOT_FOUND"), "{err}");
        demo.signal(signal);
        assert_eq!(demo.wait().code(), Some(0), "{signal}");
    }
}

#[test]
fn wrong_arguments_get_a_suggestion_and_an_exit_code() {
    let (code, _, err) = output(&["srve", "x"]);
    assert!(code == 2 && err.contains("serve"), "{err}");
    let (code, _, err) = output(&["serve", "/nonexistent/x.sexp"]);
    assert!(code == 3 && err.contains("can't read /nonexistent/x.sexp"), "{err}");
    for command in ["demo", "serve", "check", "call", "day", "worker", "load"] {
        let (code, out, _) = output(&[command, "--help"]);
        assert!(code == 0 && out.contains("Usage"), "{command}");
    }
}

#[test]
fn check_reports_every_error_with_its_position() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let file = dir.path().join("s.sexp");
    std::fs::write(&file, SETTINGS.replace("(aim 1s)", "(aim 1)")).expect("settings written");
    let name = file.display().to_string();
    let (code, _, err) = output(&["check", &name]);
    assert_eq!(code, 3);
    assert_eq!(err.matches("write a span with its unit").count(), 2, "{err}");
    assert!(err.contains("s.sexp:4:33: (aim ...)"), "{err}");
    std::fs::write(&file, SETTINGS).expect("settings written");
    assert_eq!(output(&["check", &name]).0, 0);
}

#[test]
fn address_in_use_is_reported() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let (code, _, err) = output(&["demo", "--listen", &address]);
    assert!(code == 4 && err.contains(&format!("can't listen on {address}")), "{code} {err}");
}

#[test]
fn sigterm_answers_open_calls_and_refuses_new_connections() {
    let mut fleet =
        Fleet::new(1, "(listen \"127.0.0.1:0\") (model \"\" (lanes 64) (load-time 1ms) (work 600ms))");
    let mut gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    let open = caller.unary("echo-once");
    caller.until("the call runs at the worker", || fleet.any(|s| matches!(s, ObservationKind::Runs { .. })));
    gateway.signal("TERM");
    // New connections are refused.
    eventually("the gateway no longer listens", || std::net::TcpStream::connect(gateway.address).is_err());
    assert_eq!(caller.status(open).0.code, Code::Ok);
    drop(caller);
    assert_eq!(gateway.wait().code(), Some(0));
    assert!(gateway.log().contains("signal received: draining"));
}

#[test]
fn second_signal_stops_at_once() {
    let mut fleet = Fleet::new(1, SPEC);
    fleet.handles[0].inject(Fault::Hang(Some("echo".into())));
    let mut gateway = serve(SETTINGS, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    caller.unary("echo-once");
    caller.until("the worker received the call", || fleet.any(|s| matches!(s, ObservationKind::Call { .. })));
    gateway.signal("TERM");
    eventually("the gateway drains", || std::net::TcpStream::connect(gateway.address).is_err());
    gateway.signal("TERM");
    assert_eq!(gateway.wait().code(), Some(130));
}

#[test]
fn persisted_list_is_used_when_the_list_is_missing() {
    let fleet = Fleet::new(1, SPEC);
    let settings = SETTINGS.replace("(check-every 5ms)", "(check-every 5ms) (kept \"kept.sexp\")");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), fleet.list()).expect("worker list written");
    let first = serve_in(dir, &settings, None);
    eventually("the list is persisted", || first.dir.path().join("kept.sexp").exists());
    let persisted_list = std::fs::read(first.dir.path().join("kept.sexp")).expect("file readable");
    drop(first);
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("kept.sexp"), persisted_list).expect("persisted list written");
    let second = serve_in(dir, &settings, None);
    let mut caller = Caller::new(second.address);
    let rpc = caller.unary("echo");
    assert_eq!(caller.status(rpc).0.code, Code::Ok);
}

#[test]
fn non_idempotent_call_at_an_unresponsive_worker_fails_in_time_and_runs_once() {
    let mut fleet = Fleet::new(2, SPEC);
    let settings =
        SETTINGS.replace("(effect unsafe) (aim 1s) (deadline 20s)", "(effect unsafe) (aim 1s) (deadline 1s)");
    assert!(settings.contains("(deadline 1s)"));
    let gateway = serve(&settings, &fleet.list());
    let mut caller = Caller::new(gateway.address);
    // The answer reports the worker's state, so that the next call is sent there without a probe.
    let first = caller.unary("echo-once");
    assert_eq!(caller.status(first).0.code, Code::Ok);
    for handle in &fleet.handles {
        handle.inject(Fault::Unresponsive(true));
    }
    let sent_at = std::time::Instant::now();
    let rpc = caller.unary("echo-once");
    let (status, trailers) = caller.status(rpc);
    assert_eq!(status.code, Code::DeadlineExceeded, "{}", status.message);
    assert_eq!(trailers["grpc-retry-pushback-ms"], "-1");
    assert!(
        sent_at.elapsed() > std::time::Duration::from_millis(900),
        "the call waits for the worker until its deadline"
    );
    assert_eq!(fleet.count(|s| matches!(s, ObservationKind::Call { .. })), 2, "each call was sent once");
}
