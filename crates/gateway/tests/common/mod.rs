//! End-to-end test fixtures over loopback: the program as a process, test servers in threads, and a gRPC client. Tests
//! poll for conditions with a generous timeout and never rely on a fixed sleep.
#![allow(dead_code)]

pub(crate) mod admin_client;
pub(crate) mod cluster;
pub(crate) mod golden;
pub(crate) mod link;
pub(crate) mod recorder;

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::HeaderMap;
use nettleferry_net::grpc::Status;
use nettleferry_net::{NetLimits, StreamError};
use nettleferry_proto::inference::*;
use nettleferry_scenario::client::{Client, ClientEvent, ClientRequest};
use nettleferry_test_servers::models::climb_request;
use nettleferry_test_servers::{Handle, Observation, ObservationKind, Options, Spec, Store, spawn, spec};
use prost::Message;

/// How long a test waits for a condition before it fails.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until a condition holds; panics with `what` after `CONDITION_TIMEOUT`.
#[track_caller]
pub(crate) fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(3));
    }
}

/// A running gateway, whose gRPC listener is `address` and whose settings and data are in `dir`. Killed on drop.
pub(crate) struct Program {
    child: Child,
    lines: Receiver<String>,
    pub(crate) address: SocketAddr,
    pub(crate) dir: tempfile::TempDir,
}

impl Program {
    /// Starts a command and waits for its first line of output, which reports the gRPC listener.
    pub(crate) fn run(mut command: Command, dir: tempfile::TempDir) -> Self {
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
        let mut child = child.expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let (line_sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = line_sender.send(line);
            }
        });
        let first_line = lines.recv_timeout(CONDITION_TIMEOUT).unwrap_or_else(|_| {
            let _ = child.kill();
            let mut log = String::new();
            let _ = child.stderr.take().expect("stderr is piped").read_to_string(&mut log);
            panic!("the program reported no listener; its log: {log}")
        });
        let address = listener_address(&first_line, "listening grpc ");
        Self { child, lines, address, dir }
    }

    /// The address of the metrics listener, from the next line of output.
    pub(crate) fn scrape(&self) -> SocketAddr {
        self.line("listening scrape ")
    }

    /// The address in the next line of output, which must begin with `start`.
    pub(crate) fn line(&self, start: &str) -> SocketAddr {
        let line = self.lines.recv_timeout(CONDITION_TIMEOUT).expect("a further line on stdout");
        listener_address(&line, start)
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
        assert!(status.expect("kill command runs").success());
    }

    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("status of the child").is_some()
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("status of the child") {
                return status;
            }
            assert!(Instant::now() < deadline, "the process did not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Reads standard error to its end. May be called once, after the process has ended.
    pub(crate) fn log(&mut self) -> String {
        let mut log = String::new();
        self.child
            .stderr
            .take()
            .expect("stderr is piped")
            .read_to_string(&mut log)
            .expect("the log is UTF-8");
        log
    }

    /// Resident memory of the process in KiB.
    pub(crate) fn resident(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid())).expect("process is running");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("VmRSS line");
        line.split_whitespace().nth(1).expect("a value of VmRSS").parse().expect("a numeric VmRSS")
    }

    /// Replaces the worker list atomically, by a rename.
    pub(crate) fn write_list(&self, list: &str) {
        let path = self.dir.path().join("workers.sexp");
        std::fs::write(path.with_extension("new"), list).expect("new worker list written");
        std::fs::rename(path.with_extension("new"), path).expect("new worker list renamed");
    }
}

/// The address that follows `start` in a line of output.
fn listener_address(line: &str, start: &str) -> SocketAddr {
    let address =
        line.strip_prefix(start).unwrap_or_else(|| panic!("{line:?} does not begin with {start:?}"));
    address.parse().expect("a valid listener address")
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_nettleferry");

pub(crate) const SETTINGS: &str = r#"
(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp") (check-every 5ms))
(class quick (effect safe) (aim 1s) (deadline 20s))
(class brief (effect safe) (aim 300ms) (deadline 700ms))
(class once (effect unsafe) (aim 1s) (deadline 20s))
(model "echo" (class quick) (lanes 64))
(model "echo-*" (class quick) (lanes 64))
(model "echo-once" (class once) (lanes 64))
(model "echo-brief" (class brief) (lanes 64))
(model "climb" (class quick) (lanes 64) (versions "1"))
(model "climb-*" (class quick) (lanes 64))
(model "climb-once" (class once) (lanes 64))
"#;

/// Starts `nettleferry serve` with these settings and this worker list in a new folder.
pub(crate) fn serve(settings: &str, list: &str) -> Program {
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::write(dir.path().join("workers.sexp"), list).expect("worker list written");
    serve_in(dir, settings, None)
}

/// Starts `nettleferry serve` in an existing folder, with `max_open_files` as the limit on open files if one is given.
pub(crate) fn serve_in(dir: tempfile::TempDir, settings: &str, max_open_files: Option<u32>) -> Program {
    serve_by(PROGRAM, dir, settings, max_open_files)
}

/// The program that this environment variable names, or the one under test. With the variable, controllers of two
/// versions run in one fleet.
pub(crate) fn program_of(variable: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_| PROGRAM.to_owned())
}

/// Like [`serve_in`], with this program in place of the one under test.
pub(crate) fn serve_by(
    program: &str,
    dir: tempfile::TempDir,
    settings: &str,
    max_open_files: Option<u32>,
) -> Program {
    let file = dir.path().join("settings.sexp");
    std::fs::write(&file, settings).expect("settings written");
    let mut command = match max_open_files {
        None => Command::new(program),
        Some(n) => {
            let mut shell = Command::new("sh");
            shell.args(["-c", &format!("ulimit -n {n}; exec \"$0\" \"$@\""), program]);
            shell
        }
    };
    command.arg("serve").arg(&file);
    Program::run(command, dir)
}

/// Test servers `w1`, `w2`, ... in threads, and the observations they report.
pub(crate) struct Fleet {
    pub(crate) handles: Vec<Handle>,
    receiver: Receiver<Observation>,
    /// Observations received up to now.
    received: Vec<Observation>,
}

pub(crate) const SPEC: &str =
    "(listen \"127.0.0.1:0\") (cores 8) (queue 10000) (model \"\" (lanes 64) (load-time 1ms) (work 1ms))";

impl Fleet {
    pub(crate) fn new(count: usize, text: &str) -> Self {
        let (_, spec) = spec::read_file("spec", text).unwrap_or_else(|e| panic!("{e}"));
        Self::of(count, spec)
    }

    pub(crate) fn of(count: usize, spec: Spec) -> Self {
        let (sender, receiver) = channel();
        let store = Arc::new(Mutex::new(Store::default()));
        let epoch = Instant::now();
        let handles = (1..=count)
            .map(|n| {
                spawn(Options {
                    name: format!("w{n}"),
                    addresses: vec!["127.0.0.1:0".parse().expect("valid address")],
                    spec: spec.clone(),
                    store: Arc::clone(&store),
                    epoch,
                    observations: Some(sender.clone()),
                    cold: false,
                    seed: n as u64,
                })
                .expect("test server listens")
            })
            .collect();
        Self { handles, receiver, received: Vec::new() }
    }

    pub(crate) fn list(&self) -> String {
        let line = |h: &Handle| format!("(worker {} (address \"{}\"))\n", h.name, h.addresses[0]);
        self.handles.iter().map(line).collect()
    }

    /// All observations up to now, in the order of their arrival.
    pub(crate) fn observations(&mut self) -> &[Observation] {
        self.received.extend(self.receiver.try_iter());
        &self.received
    }

    pub(crate) fn any(&mut self, matches: impl Fn(&ObservationKind) -> bool) -> bool {
        self.count(matches) > 0
    }

    pub(crate) fn count(&mut self, matches: impl Fn(&ObservationKind) -> bool) -> usize {
        self.observations().iter().filter(|observation| matches(&observation.kind)).count()
    }

    #[track_caller]
    pub(crate) fn wait_for(&mut self, what: &str, matches: impl Fn(&ObservationKind) -> bool) {
        eventually(what, || self.count(&matches) > 0);
    }
}

/// A gRPC client with the events that it has received and no test has consumed yet.
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) to: SocketAddr,
    events: Vec<ClientEvent>,
}

/// How an RPC ended: its status or transport error, and its trailers.
pub(crate) type RpcEnd = (Result<Status, StreamError>, HeaderMap);

impl Caller {
    pub(crate) fn new(to: SocketAddr) -> Self {
        let limits = NetLimits { connect_timeout: Duration::from_secs(10), ..NetLimits::default() };
        Self { client: Client::new(1, limits).expect("client created"), to, events: Vec::new() }
    }

    /// Starts an RPC and returns its number.
    pub(crate) fn start_rpc(&mut self, request: ClientRequest) -> u64 {
        self.client.call(self.to, request).expect("call started")
    }

    /// Starts an `echo` call of 64 bytes at this model.
    pub(crate) fn unary(&mut self, model: &str) -> u64 {
        self.start_rpc(client_request("ModelInfer", &echo(model, "u", 64)))
    }

    /// Removes and returns the first event that `select` accepts, polling for up to `CONDITION_TIMEOUT`. Other events
    /// are kept.
    #[track_caller]
    pub(crate) fn wait<T>(&mut self, what: &str, mut select: impl FnMut(&ClientEvent) -> Option<T>) -> T {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let selected =
                self.events.iter().enumerate().find_map(|(index, event)| Some((index, select(event)?)));
            if let Some((index, found)) = selected {
                self.events.remove(index);
                return found;
            }
            assert!(Instant::now() < deadline, "not received: {what}; received: {:?}", self.events);
            self.client.poll(Some(Duration::from_millis(20)), &mut self.events).expect("client polled");
        }
    }

    /// Waits for the next message of an RPC.
    #[track_caller]
    pub(crate) fn message(&mut self, number: u64) -> Bytes {
        self.wait("a message", |event| match event {
            ClientEvent::Message { rpc, payload } if *rpc == number => Some(payload.clone()),
            _ => None,
        })
    }

    /// Waits for the next response of a stream.
    #[track_caller]
    pub(crate) fn response(&mut self, number: u64) -> ModelStreamInferResponse {
        ModelStreamInferResponse::decode(self.message(number)).expect("a ModelStreamInferResponse")
    }

    /// Waits for the end of an RPC.
    #[track_caller]
    pub(crate) fn end(&mut self, number: u64) -> RpcEnd {
        self.wait("the end of the RPC", |event| match event {
            ClientEvent::End { rpc, status, trailers } if *rpc == number => {
                Some((status.clone(), trailers.clone()))
            }
            _ => None,
        })
    }

    /// Waits for the end of an RPC that must have a status.
    #[track_caller]
    pub(crate) fn status(&mut self, number: u64) -> (Status, HeaderMap) {
        let (status, trailers) = self.end(number);
        (status.expect("the RPC ends with a status"), trailers)
    }

    /// Polls once, so that events that a test expects not to arrive are recorded if they do.
    pub(crate) fn poll_once(&mut self) {
        self.client.poll(Some(Duration::from_millis(5)), &mut self.events).expect("client polled");
    }

    /// Polls until a condition outside this client holds.
    #[track_caller]
    pub(crate) fn until(&mut self, what: &str, mut condition: impl FnMut() -> bool) {
        eventually(what, || {
            self.poll_once();
            condition()
        });
    }

    /// Events that no test has consumed yet.
    pub(crate) fn events(&self) -> &[ClientEvent] {
        &self.events
    }
}

/// An RPC of this method with one request message.
pub(crate) fn client_request(method: &'static str, request: &ModelInferRequest) -> ClientRequest {
    ClientRequest { method, messages: vec![request.encode_to_vec().into()], ..ClientRequest::default() }
}

/// An inference request with a raw input of `bytes` bytes.
pub(crate) fn echo(model: &str, id: &str, bytes: usize) -> ModelInferRequest {
    let mut request = climb_request(model, id, &[], 1);
    request.raw_input_contents = vec![vec![7; bytes].into()];
    request
}

/// A request for `climb`, which streams one response per segment.
pub(crate) fn climb(model: &str, id: &str, segments: usize) -> ModelInferRequest {
    let heights: Vec<f32> = (0..=segments * 2).map(|n| ((n * 37) % 11) as f32).collect();
    climb_request(model, id, &heights, segments as i64)
}

/// Whether a streamed response is the last one of its call.
pub(crate) fn is_final(response: &ModelStreamInferResponse) -> bool {
    let response = response.infer_response.as_ref();
    response.is_some_and(|r| r.parameters.get(FINAL).and_then(InferParameter::boolean) == Some(true))
}
