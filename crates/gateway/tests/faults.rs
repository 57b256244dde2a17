//! A controller on the platform whose system calls fail in ways that Linux documents: short reads, interrupted calls,
//! connects and starts that fail for a moment, a log that nobody reads. The faults come from the soak test's library.

#[path = "../../node/tests/common/mod.rs"]
mod common;

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Client, Directory, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, config};
use nettleferry_soak::shim::{self, Faults};

/// A process under faults; ends with the test, whatever comes.
struct Node {
    child: Child,
    said: Option<BufReader<ChildStdout>>,
    _dir: tempfile::TempDir,
    _directory: Directory,
}

impl Node {
    fn start(invoker: &Invoker, faults: Faults, change: impl FnOnce(&mut serde_json::Value)) -> Self {
        Self::start_with(invoker, faults, change, |_| ())
    }

    fn start_with(
        invoker: &Invoker,
        faults: Faults,
        change: impl FnOnce(&mut serde_json::Value),
        command: impl FnOnce(&mut Command),
    ) -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let library = shim::compile(dir.path()).expect("a C compiler");
        let listed = vec![ListedInvoker::new(0, invoker.address)];
        let directory = Directory::start(listed.clone());
        let mut configuration = config(directory.address, &listed);
        change(&mut configuration);
        let path = dir.path().join("config.json");
        std::fs::write(&path, configuration.to_string()).expect("written");
        let mut node = Command::new(env!("CARGO_BIN_EXE_nettleferry"));
        node.arg("node").env("PROXY_CONFIG", &path).env_remove("RUST_LOG");
        node.envs(faults.environment(&library, 1))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        command(&mut node);
        let mut child = node.spawn().expect("the program is there");
        let said = child.stdout.take().map(BufReader::new);
        Self { child, said, _dir: dir, _directory: directory }
    }

    /// A client of it, as soon as it listens.
    fn client(&mut self) -> Client {
        let mut line = String::new();
        self.said.as_mut().expect("piped").read_line(&mut line).expect("text");
        let address = line.trim_end().strip_prefix("listening frames ").expect("it listens");
        Client::connect(address.parse().expect("an address"))
    }

    /// Stops it, and gives once the system says that it has.
    fn stop(&self) {
        self.signal("STOP");
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("ours");
        while !stat().rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
            std::thread::yield_now();
        }
    }

    /// Asks it to end, and gives its exit code.
    fn ended(&mut self) -> Option<i32> {
        self.signal("TERM");
        let end = Instant::now() + common::TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("ours") {
                return status.code();
            }
            assert!(Instant::now() < end, "it ends");
            std::thread::yield_now();
        }
    }

    fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One that holds every function.
fn invoker() -> Invoker {
    Invoker::start(|command: &ReceivedCommand| match command.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", command.parts[3].clone()),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Answer("green", "-", vec![]),
    })
}

#[test]
fn short_reads_leave_no_request_unanswered() {
    let invoker = invoker();
    let mut node = Node::start(&invoker, Faults { short: 1_000, ..Faults::default() }, |_| ());
    let mut client = node.client();
    for id in 1..6 {
        let body = vec![7; 3_000];
        let stream = client.send_request("safe", id, id, &body);
        assert_eq!(client.read_answer(stream), (SERVED, body));
    }
}

/// How long a process is stopped: more than the slack on a deadline.
const STOPPED: Duration = Duration::from_millis(400);
/// The deadline that a worker gets may exceed what the client has left by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// What a client of these tests waits.
const TTL: Duration = Duration::from_millis(3_000);

#[test]
fn requests_that_arrived_during_a_stop_have_less_time_left() {
    let received_fields = Arc::new(Mutex::new(Vec::new()));
    let recorder = Arc::clone(&received_fields);
    let invoker = Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
        "CALL" => {
            let fields = String::from_utf8_lossy(&command.parts[2]).into_owned();
            recorder.lock().expect("no panic holds it").push(fields);
            Reaction::Answer("served", "n=w", command.parts[3].clone())
        }
        _ => Reaction::Answer("green", "-", vec![]),
    });
    let mut node = Node::start(&invoker, Faults::default(), |_| ());
    let mut client = node.client();
    // Several times: the process must be stopped in its wait, where it is nearly always.
    for id in 1..4 {
        node.stop();
        let stream = client.send_request("safe", id, 1, b"ab");
        let sent = Instant::now();
        while sent.elapsed() < STOPPED {
            std::thread::yield_now();
        }
        let waited = sent.elapsed();
        node.signal("CONT");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()));
        let fields = received_fields.lock().expect("no panic holds it").last().cloned().expect("it was sent");
        let patience =
            fields.split(',').find_map(|field| field.strip_prefix("patience=")).expect("the field");
        let patience = Duration::from_millis(patience.parse().expect("a number"));
        assert!(patience + waited <= TTL + DEADLINE_SLACK, "sent {patience:?}, {waited:?} had passed");
    }
}

#[test]
fn transient_connect_failures_cost_no_call_and_no_worker() {
    let invoker = invoker();
    let faults = Faults { first_connects: 3, ..Faults::default() };
    // One attempt a call: what fails for a moment at this end must not end it.
    let mut node =
        Node::start(&invoker, faults, |config| config["settings"]["limits"]["max_attempts"] = 1.into());
    let mut client = node.client();
    for id in 1..6 {
        let stream = client.send_request("safe", id, 1, b"ab");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()));
    }
}

#[test]
fn startup_retries_transient_faults() {
    let invoker = invoker();
    let mut node = Node::start(&invoker, Faults { start: 9, ..Faults::default() }, |_| ());
    let mut client = node.client();
    let stream = client.send_request("safe", 1, 1, b"ab");
    assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()));
}

/// Serves some calls and ends in order.
fn serves_and_ends(node: &mut Node) {
    let mut client = node.client();
    serves(&mut client, 1..200);
    assert_eq!(node.ended(), Some(0));
}

fn serves(client: &mut Client, ids: std::ops::Range<u64>) {
    for id in ids {
        let stream = client.send_request("safe", id, 1, b"ab");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()));
    }
}

#[test]
fn unwritable_log_costs_no_call() {
    let invoker = invoker();
    let faults = Faults { log: 1_000, ..Faults::default() };
    let mut node = Node::start_with(&invoker, faults, |_| (), |node| _ = node.env("RUST_LOG", "debug"));
    serves_and_ends(&mut node);
}

#[test]
fn unread_log_costs_no_call() {
    let invoker = invoker();
    // More than a pipe holds is logged, and nobody takes it.
    let unread = |node: &mut Command| _ = node.env("RUST_LOG", "debug").stderr(Stdio::piped());
    let mut node = Node::start_with(&invoker, Faults::default(), |_| (), unread);
    serves_and_ends(&mut node);
}

#[test]
fn full_disk_under_stdout_and_log_does_not_delay_startup() {
    let invoker = invoker();
    let address = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let full = || std::fs::File::options().write(true).open("/dev/full").expect("the system has it");
    let on_full = |node: &mut Command| _ = node.stdout(full()).stderr(full());
    let fixed = |config: &mut serde_json::Value| config["listen"] = address.to_string().into();
    let mut node = Node::start_with(&invoker, Faults::default(), fixed, on_full);
    let end = Instant::now() + common::TEST_TIMEOUT;
    while std::net::TcpStream::connect(address).is_err() {
        assert!(Instant::now() < end && node.child.try_wait().expect("ours").is_none(), "it listens");
        std::thread::yield_now();
    }
    serves(&mut Client::connect(address), 1..20);
    assert_eq!(node.ended(), Some(0));
}

/// Settings of a gRPC controller without workers, with a listener for figures.
const SERVE_SETTINGS: &str = r#"(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp"))
(figures (scrape "127.0.0.1:0"))
(class plan (aim 200ms) (deadline 2s) (effect safe))
(model "*" (class plan))
"#;

#[test]
fn serve_startup_retries_transient_faults() {
    let dir = tempfile::tempdir().expect("a folder");
    let library = shim::compile(dir.path()).expect("a C compiler");
    std::fs::write(dir.path().join("settings.sexp"), SERVE_SETTINGS).expect("written");
    std::fs::write(dir.path().join("workers.sexp"), "").expect("written");
    let mut serve = Command::new(env!("CARGO_BIN_EXE_nettleferry"));
    serve.arg("serve").arg("settings.sexp").current_dir(dir.path()).env_remove("RUST_LOG");
    let faults = Faults { start: 9, ..Faults::default() };
    serve.envs(faults.environment(&library, 1)).stdin(Stdio::null()).stdout(Stdio::piped());
    let mut child = serve.spawn().expect("the program is there");
    let mut said = BufReader::new(child.stdout.take().expect("piped"));
    let mut line = String::new();
    said.read_line(&mut line).expect("text");
    let _ = child.kill();
    let _ = child.wait();
    assert!(line.starts_with("listening grpc "), "it listens: {line:?}");
}

#[test]
fn signal_with_a_lost_wake_up_is_still_handled() {
    let invoker = invoker();
    let mut node = Node::start(&invoker, Faults { signal: 1_000, ..Faults::default() }, |_| ());
    serves(&mut node.client(), 1..3);
    assert_eq!(node.ended(), Some(0));
}

/// Seen by the soak (seed 366, --faults --shutdowns --crowd): the wake-up of SIGTERM was lost, the process heard of it by its next
/// look, 206 ms later, and reckoned with a kill that much later: four requests were open when it came.
#[test]
fn kill_is_counted_from_when_a_signal_with_a_lost_wake_up_may_have_come() {
    let (tell, told) = std::sync::mpsc::channel();
    let invoker = Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
        "CALL" => {
            let fields = String::from_utf8_lossy(&command.parts[2]).into_owned();
            let patience = fields.split(',').find_map(|field| field.strip_prefix("patience=")?.parse().ok());
            let _ = tell.send(patience.unwrap_or(u64::MAX));
            Reaction::Answer("served", "n=w", command.parts[3].clone())
        }
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Answer("green", "-", vec![]),
    });
    let mut node = Node::start(&invoker, Faults { signal: 1_000, ..Faults::default() }, |_| ());
    let mut client = node.client();
    serves(&mut client, 1..3);
    told.try_iter().for_each(drop);
    node.signal("TERM");
    let asked_to_end = Instant::now();
    // The longest deadline is 4 s, which counts as 3 s; an answer is on its way for 0.1 s.
    let last_answer = Duration::from_millis(3_600);
    // After the grace of 0.7 s, requests have no more time than is left until the kill.
    let (mut id, mut judged) = (10, 0);
    while judged < 20 {
        let elapsed = asked_to_end.elapsed();
        serves(&mut client, id..id + 1);
        id += 1;
        let patience = told.recv_timeout(common::TEST_TIMEOUT).expect("it was called");
        if elapsed > Duration::from_millis(900) {
            judged += 1;
            let left = (last_answer - elapsed).as_millis() as u64 + 1;
            assert!(patience <= left, "told {patience} ms, {left} ms before the kill");
        }
    }
}
