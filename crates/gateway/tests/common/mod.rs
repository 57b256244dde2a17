//! The program as a process, test servers in threads, and a client: complete paths over loopback. No test relies on a sleep:
//! conditions are awaited, with a generous timeout.
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

/// How long a test waits for a condition.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until something holds.
#[track_caller]
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(Duration::from_millis(3));
    }
}

/// A process of the program.
pub(crate) struct Program {
    child: Child,
    lines: Receiver<String>,
    pub(crate) address: SocketAddr,
    pub(crate) dir: tempfile::TempDir,
}

impl Program {
    /// Runs a prepared command until it reports where it listens.
    pub(crate) fn run(mut command: Command, dir: tempfile::TempDir) -> Self {
        let child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn();
        let mut child = child.expect("it starts");
        let out = child.stdout.take().expect("piped");
        let (line_sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let _ = line_sender.send(line);
            }
        });
        let first = lines.recv_timeout(PATIENCE).unwrap_or_else(|_| {
            let _ = child.kill();
            let mut log = String::new();
            let _ = child.stderr.take().expect("piped").read_to_string(&mut log);
            panic!("it never listened: {log}")
        });
        let address =
            first.strip_prefix("listening grpc ").expect("the first line").parse().expect("an address");
        Self { child, lines, address, dir }
    }

    /// Where metrics can be scraped: its second line.
    pub(crate) fn scrape(&self) -> SocketAddr {
        self.line("listening scrape ")
    }

    /// The address of a further line that begins so.
    pub(crate) fn line(&self, start: &str) -> SocketAddr {
        let line = self.lines.recv_timeout(PATIENCE).expect("a further line");
        line.strip_prefix(start).expect("its beginning").parse().expect("an address")
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, name: &str) {
        let done = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("ours") {
                return status;
            }
            assert!(Instant::now() < until, "it never ended");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// What it logged, once it has ended.
    pub(crate) fn log(&mut self) -> String {
        let mut log = String::new();
        self.child.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
        log
    }

    /// Resident memory, KiB.
    pub(crate) fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).expect("it runs");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("told");
        line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
    }

    pub(crate) fn write_list(&self, list: &str) {
        let path = self.dir.path().join("workers.sexp");
        std::fs::write(path.with_extension("new"), list).expect("written");
        std::fs::rename(path.with_extension("new"), path).expect("renamed");
    }
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

/// `serve` with those settings and that list.
pub(crate) fn serve(settings: &str, list: &str) -> Program {
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::write(dir.path().join("workers.sexp"), list).expect("written");
    serve_in(dir, settings, None)
}

/// `serve` in an existing folder, with a limit of open files where one is given.
pub(crate) fn serve_in(dir: tempfile::TempDir, settings: &str, handles: Option<u32>) -> Program {
    serve_by(PROGRAM, dir, settings, handles)
}

/// The program that this environment variable names, else the one that was built: so that controllers of two versions
/// run in one fleet.
pub(crate) fn program_of(variable: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_| PROGRAM.to_owned())
}

/// `serve` of this program.
pub(crate) fn serve_by(
    program: &str,
    dir: tempfile::TempDir,
    settings: &str,
    handles: Option<u32>,
) -> Program {
    let file = dir.path().join("settings.sexp");
    std::fs::write(&file, settings).expect("written");
    let mut command = match handles {
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

/// Test servers and what they observe.
pub(crate) struct Fleet {
    pub(crate) handles: Vec<Handle>,
    seen: Receiver<Observation>,
    pub(crate) records: Vec<Observation>,
}

pub(crate) const SPEC: &str =
    "(listen \"127.0.0.1:0\") (cores 8) (queue 10000) (model \"\" (lanes 64) (load-time 1ms) (work 1ms))";

impl Fleet {
    pub(crate) fn new(count: usize, text: &str) -> Self {
        let (_, spec) = spec::read_file("spec", text).unwrap_or_else(|e| panic!("{e}"));
        Self::of(count, spec)
    }

    pub(crate) fn of(count: usize, spec: Spec) -> Self {
        let (records, seen) = channel();
        let store = Arc::new(Mutex::new(Store::default()));
        let epoch = Instant::now();
        let handles = (1..=count)
            .map(|n| {
                spawn(Options {
                    name: format!("w{n}"),
                    addresses: vec!["127.0.0.1:0".parse().expect("sound")],
                    spec: spec.clone(),
                    store: Arc::clone(&store),
                    epoch,
                    records: Some(records.clone()),
                    cold: false,
                    seed: n as u64,
                })
                .expect("it listens")
            })
            .collect();
        Self { handles, seen, records: Vec::new() }
    }

    pub(crate) fn list(&self) -> String {
        let line = |h: &Handle| format!("(worker {} (address \"{}\"))\n", h.name, h.addresses[0]);
        self.handles.iter().map(line).collect()
    }

    /// What was observed so far.
    pub(crate) fn look(&mut self) -> &[Observation] {
        self.records.extend(self.seen.try_iter());
        &self.records
    }

    pub(crate) fn any(&mut self, pick: impl Fn(&ObservationKind) -> bool) -> bool {
        self.count(pick) > 0
    }

    pub(crate) fn count(&mut self, pick: impl Fn(&ObservationKind) -> bool) -> usize {
        self.look().iter().filter(|r| pick(&r.seen)).count()
    }

    #[track_caller]
    pub(crate) fn wait_for(&mut self, what: &str, pick: impl Fn(&ObservationKind) -> bool) {
        eventually(what, || self.count(&pick) > 0);
    }
}

/// A client, and the events that it has received.
pub(crate) struct Caller {
    pub(crate) client: Client,
    pub(crate) to: SocketAddr,
    heard: Vec<ClientEvent>,
}

pub(crate) type Ended = (Result<Status, StreamError>, HeaderMap);

impl Caller {
    pub(crate) fn new(to: SocketAddr) -> Self {
        let limits = NetLimits { connect_timeout: Duration::from_secs(10), ..NetLimits::default() };
        Self { client: Client::new(1, limits).expect("a hub"), to, heard: Vec::new() }
    }

    pub(crate) fn ask(&mut self, ask: ClientRequest) -> u64 {
        self.client.call(self.to, ask).expect("begun")
    }

    pub(crate) fn unary(&mut self, model: &str) -> u64 {
        self.ask(ask("ModelInfer", &echo(model, "u", 64)))
    }

    /// Waits for the event that `pick` selects; other events stay for later.
    #[track_caller]
    pub(crate) fn wait<T>(&mut self, what: &str, mut pick: impl FnMut(&ClientEvent) -> Option<T>) -> T {
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some((at, found)) =
                self.heard.iter().enumerate().find_map(|(i, h)| pick(h).map(|v| (i, v)))
            {
                self.heard.remove(at);
                return found;
            }
            assert!(Instant::now() < until, "not received: {what}; received: {:?}", self.heard);
            self.client.poll(Some(Duration::from_millis(20)), &mut self.heard).expect("polls");
        }
    }

    /// The next message of an RPC.
    #[track_caller]
    pub(crate) fn message(&mut self, of: u64) -> Bytes {
        self.wait("a message", |h| match h {
            ClientEvent::Message { rpc, payload } if *rpc == of => Some(payload.clone()),
            _ => None,
        })
    }

    /// The next response of a stream.
    #[track_caller]
    pub(crate) fn response(&mut self, of: u64) -> ModelStreamInferResponse {
        ModelStreamInferResponse::decode(self.message(of)).expect("a response")
    }

    /// The end of an RPC.
    #[track_caller]
    pub(crate) fn end(&mut self, of: u64) -> Ended {
        self.wait("an end", |h| match h {
            ClientEvent::End { rpc, status, trailers } if *rpc == of => {
                Some((status.clone(), trailers.clone()))
            }
            _ => None,
        })
    }

    #[track_caller]
    pub(crate) fn status(&mut self, of: u64) -> (Status, HeaderMap) {
        let (status, trailers) = self.end(of);
        (status.expect("a status"), trailers)
    }

    /// Polls once, to receive what should not be sent.
    pub(crate) fn turn(&mut self) {
        self.client.poll(Some(Duration::from_millis(5)), &mut self.heard).expect("polls");
    }

    /// Polls until a condition holds elsewhere.
    #[track_caller]
    pub(crate) fn until(&mut self, what: &str, mut holds: impl FnMut() -> bool) {
        eventually(what, || {
            self.turn();
            holds()
        });
    }

    pub(crate) fn heard(&self) -> &[ClientEvent] {
        &self.heard
    }
}

pub(crate) fn ask(method: &'static str, request: &ModelInferRequest) -> ClientRequest {
    ClientRequest { method, messages: vec![request.encode_to_vec().into()], ..ClientRequest::default() }
}

pub(crate) fn echo(model: &str, id: &str, bytes: usize) -> ModelInferRequest {
    let mut request = climb_request(model, id, &[], 1);
    request.raw_input_contents = vec![vec![7; bytes].into()];
    request
}

pub(crate) fn climb(model: &str, id: &str, segments: usize) -> ModelInferRequest {
    let heights: Vec<f32> = (0..=segments * 2).map(|n| ((n * 37) % 11) as f32).collect();
    climb_request(model, id, &heights, segments as i64)
}

pub(crate) fn is_final(response: &ModelStreamInferResponse) -> bool {
    let response = response.infer_response.as_ref();
    response.is_some_and(|r| r.parameters.get(FINAL).and_then(InferParameter::boolean) == Some(true))
}
