//! Stand-ins around `nettleferry serve`: workers, callers, the administration's HTTP client and a slow link.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::ModelInferRequest;
use nettleferry_scenario::client::{Client, ClientEvent, ClientRequest};
use nettleferry_test_servers::models::climb_request;
use nettleferry_test_servers::{Handle, Observation, Options, Store, spawn, spec};
use prost::Message;
use serde_json::Value;

use crate::{Process, Record, Setup, wait_until};

/// The project's test workers, in threads.
pub struct Workers {
    pub handles: Vec<Handle>,
    observations: Receiver<Observation>,
}

impl Workers {
    pub fn start(count: usize, text: &str) -> Self {
        let (_, spec) = spec::read_file("spec", text).unwrap_or_else(|error| panic!("{error}"));
        let (sender, observations) = channel();
        let store = Arc::new(Mutex::new(Store::default()));
        let epoch = Instant::now();
        let handles = (1..=count)
            .map(|n| {
                spawn(Options {
                    name: format!("w{n}"),
                    addresses: vec!["127.0.0.1:0".parse().expect("an address")],
                    spec: spec.clone(),
                    store: Arc::clone(&store),
                    epoch,
                    observations: Some(sender.clone()),
                    cold: false,
                    seed: n as u64,
                })
                .expect("a worker listens")
            })
            .collect();
        Self { handles, observations }
    }

    /// The worker list as the operators' page has it.
    pub fn list(&self) -> String {
        self.handles
            .iter()
            .map(|h| format!("(worker {} (address \"{}\"))\n", h.name, h.addresses[0]))
            .collect()
    }

    /// The observations since the last call.
    pub fn observed(&self) -> Vec<Observation> {
        self.observations.try_iter().collect()
    }
}

/// Starts `nettleferry serve` with these settings in a folder.
pub fn serve(setup: &Setup, name: &str, folder: &Path, settings: &str) -> Process {
    let file = folder.join("settings.sexp");
    std::fs::write(&file, settings).expect("the settings are written");
    let mut command = Command::new(&setup.program);
    command.arg("serve").arg(&file).current_dir(folder);
    Process::start(&setup.record, name, &mut command, &folder.join("log"))
}

/// Waits until something accepts connections at this address.
pub fn wait_listening(address: SocketAddr, limit: Duration) -> bool {
    wait_until(limit, || TcpStream::connect(address).is_ok())
}

/// Makes a key with `nettleferry admin key`. Returns its token and the line for the settings.
pub fn key(setup: &Setup, name: &str, role: &str) -> (String, String) {
    let out =
        Command::new(&setup.program).args(["admin", "key", name, role]).output().expect("the program runs");
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    let value =
        |prefix: &str| text.lines().find_map(|l| l.strip_prefix(prefix)).unwrap_or_default().to_owned();
    (value("token: "), value("settings: "))
}

/// A client of the administration's API.
#[derive(Clone)]
pub struct Api {
    pub address: SocketAddr,
    pub token: String,
    pub record: Record,
}

/// A response of the API: its status, head and body. The status is 0 if none came.
pub struct ApiResponse {
    pub status: u16,
    pub head: String,
    pub body: Value,
}

impl ApiResponse {
    /// The value of a header.
    pub fn header(&self, name: &str) -> String {
        let line = self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        });
        line.unwrap_or_default()
    }
}

impl Api {
    pub fn send(&self, method: &str, target: &str, body: &str) -> ApiResponse {
        let kind = if method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        let condition = if target == "/v1/tenants" { "" } else { "If-Match: *\r\n" };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\nContent-Type: {kind}\r\n{condition}Content-Length: {}\r\n\r\n{body}",
            self.token,
            body.len()
        );
        let mut text = String::new();
        if let Ok(mut socket) = TcpStream::connect(self.address) {
            let _ = socket.set_read_timeout(Some(Duration::from_secs(20)));
            let _ = socket.write_all(request.as_bytes());
            let _ = socket.read_to_string(&mut text);
        }
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let response = ApiResponse {
            status,
            head: head.to_owned(),
            body: serde_json::from_str(body).unwrap_or(Value::Null),
        };
        if method != "GET" {
            let (held, force) =
                (response.header("Nettleferry-Held"), response.header("Nettleferry-In-Force"));
            self.record
                .line(&format!("api: {method} {target}: {status} held \"{held}\" in force \"{force}\""));
        }
        response
    }

    pub fn get(&self, target: &str) -> Value {
        self.send("GET", target, "").body
    }
}

/// An inference request with `bytes` bytes of input.
pub fn echo(model: &str, id: &str, bytes: usize) -> ModelInferRequest {
    let mut request = climb_request(model, id, &[], 1);
    request.raw_input_contents = vec![vec![7; bytes].into()];
    request
}

/// How a call ended at the client: the status, or how the stream failed; and the bytes of the answer's messages.
pub struct CallEnd {
    pub status: Result<(Code, String), String>,
    pub bytes: usize,
    pub messages: usize,
}

impl CallEnd {
    pub fn text(&self) -> String {
        match &self.status {
            Ok((code, message)) => format!("{} {message} ({} bytes)", code.name(), self.bytes),
            Err(error) => format!("no status: {error} ({} bytes)", self.bytes),
        }
    }

    pub fn is_ok(&self) -> bool {
        matches!(self.status, Ok((Code::Ok, _)))
    }
}

/// Makes one unary call on a connection of its own and waits for its end for at most `limit`. `None`: no end by then.
pub fn call(
    address: SocketAddr,
    tenant: Option<&str>,
    request: &ModelInferRequest,
    timeout: Duration,
    limit: Duration,
) -> Option<CallEnd> {
    let limits = NetLimits { connect_timeout: Duration::from_secs(2), ..NetLimits::default() };
    let mut client = Client::new(1, limits).ok()?;
    let headers = tenant.map(|name| ("nettleferry-tenant".to_owned(), name.to_owned())).into_iter().collect();
    let request = ClientRequest {
        method: "ModelInfer",
        messages: vec![request.encode_to_vec().into()],
        timeout: Some(timeout),
        headers,
        ..ClientRequest::default()
    };
    client.call(address, request).ok()?;
    let (mut events, until) = (Vec::new(), Instant::now() + limit);
    let (mut bytes, mut messages) = (0, 0);
    while Instant::now() < until {
        client.poll(Some(Duration::from_millis(10)), &mut events).ok()?;
        for event in events.drain(..) {
            match event {
                ClientEvent::Message { payload, .. } => {
                    bytes += payload.len();
                    messages += 1;
                }
                ClientEvent::End { status, .. } => {
                    let status =
                        status.map(|s| (s.code, s.message.clone())).map_err(|error| error.to_string());
                    return Some(CallEnd { status, bytes, messages });
                }
            }
        }
    }
    None
}

/// A link that passes bytes towards the client at `bytes_per_second`, and the other way as they come.
pub fn slow_link(target: SocketAddr, bytes_per_second: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let (Ok(client_read), Ok(server_read)) = (client.try_clone(), server.try_clone()) else {
                continue;
            };
            std::thread::spawn(move || pass(client_read, server, None));
            std::thread::spawn(move || pass(server_read, client, Some(bytes_per_second)));
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, rate: Option<usize>) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(n) => {
                if let Some(rate) = rate {
                    std::thread::sleep(Duration::from_secs_f64(n as f64 / rate as f64));
                }
                if to.write_all(&buffer[..n]).is_err() {
                    break;
                }
            }
        }
    }
    let _ = (from.shutdown(Shutdown::Read), to.shutdown(Shutdown::Write));
}
