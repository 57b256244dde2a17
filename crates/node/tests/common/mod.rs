//! Runs a node in a thread, with a fake directory and fake invokers, on the loopback interface.
#![allow(dead_code)]

pub(crate) mod disconnect;
pub(crate) mod harness;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use nettleferry_node::Node;
use nettleferry_node::limits::Counters;
use nettleferry_platform::directory::LIST_NAME;
use nettleferry_platform::{frames, resp};
use simple_dns::rdata::{A, RData, SOA, SRV, TXT};
use simple_dns::{CLASS, Name, Packet, ResourceRecord};

/// Timeout for each event that a test waits for.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How a fake invoker reacts to a command.
pub(crate) enum Reaction {
    /// Sends a response: kind, fields, body.
    Answer(&'static str, &'static str, Vec<u8>),
    /// Writes raw bytes.
    Write(Vec<u8>),
    /// Sends nothing.
    Ignore,
    /// Closes the connection.
    Close,
}

/// A command received by an invoker: its parts, and the number of the connection in order of acceptance.
pub(crate) struct ReceivedCommand<'a> {
    pub(crate) parts: &'a [Vec<u8>],
    pub(crate) connection: usize,
}

impl ReceivedCommand<'_> {
    pub(crate) fn keyword(&self) -> &str {
        std::str::from_utf8(&self.parts[0]).unwrap_or("")
    }
    pub(crate) fn id(&self) -> &str {
        std::str::from_utf8(&self.parts[1]).unwrap_or("")
    }
}

/// A fake invoker that reacts as the test defines, and records the commands that it receives.
pub(crate) struct Invoker {
    pub(crate) address: SocketAddr,
    pub(crate) received: Arc<Mutex<Vec<String>>>,
}

impl Invoker {
    pub(crate) fn start(react: impl Fn(&ReceivedCommand) -> Reaction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let (react, log) = (Arc::new(react), Arc::clone(&received));
        std::thread::spawn(move || {
            for (number, socket) in listener.incoming().enumerate() {
                let Ok(socket) = socket else { return };
                let (react, log) = (Arc::clone(&react), Arc::clone(&log));
                std::thread::spawn(move || serve(socket, number, &*react, &log));
            }
        });
        Self { address, received }
    }

    /// The received commands, each as `KEYWORD id`.
    pub(crate) fn received(&self) -> Vec<String> {
        self.received.lock().expect("not poisoned").clone()
    }
}

fn serve(
    mut socket: TcpStream,
    connection: usize,
    react: &dyn Fn(&ReceivedCommand) -> Reaction,
    log: &Mutex<Vec<String>>,
) {
    let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
    while let Some(parts) = read_command(&mut reader) {
        let received = ReceivedCommand { parts: &parts, connection };
        log.lock().expect("not poisoned").push(format!("{} {}", received.keyword(), received.id()));
        match react(&received) {
            Reaction::Answer(kind, fields, body) => {
                let mut out = Vec::new();
                resp::command(&mut out, &[&parts[1], kind.as_bytes(), fields.as_bytes(), &body]);
                let _ = socket.write_all(&out);
            }
            Reaction::Write(bytes) => {
                let _ = socket.write_all(&bytes);
            }
            Reaction::Ignore => {}
            Reaction::Close => {
                let _ = socket.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

pub(crate) fn read_command(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let read_length = |reader: &mut dyn BufRead, mark: char| {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        line.trim_end().strip_prefix(mark)?.parse::<usize>().ok()
    };
    let count = read_length(reader, '*')?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let mut part = vec![0; read_length(reader, '$')? + 2];
        reader.read_exact(&mut part).ok()?;
        part.truncate(part.len() - 2);
        parts.push(part);
    }
    Some(parts)
}

/// An invoker as the directory lists it.
#[derive(Clone, Debug)]
pub(crate) struct ListedInvoker {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) draining: bool,
}

impl ListedInvoker {
    /// The invoker `s-NUMBER`, in service.
    pub(crate) fn new(number: usize, address: SocketAddr) -> Self {
        Self { id: format!("s-{number}"), address, draining: false }
    }
}

/// A fake directory whose list the test can change.
pub(crate) struct Directory {
    pub(crate) address: SocketAddr,
    list: Arc<Mutex<(u32, Vec<ListedInvoker>)>>,
}

impl Directory {
    pub(crate) fn start(list: Vec<ListedInvoker>) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("an address");
        let list = Arc::new(Mutex::new((1, list)));
        let shared = Arc::clone(&list);
        std::thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let Ok(query) = Packet::parse(&buffer[..length]) else { continue };
                let (serial, invokers) = shared.lock().expect("not poisoned").clone();
                let _ = socket.send_to(&reply(query.id(), serial, &invokers), from);
            }
        });
        Self { address, list }
    }

    /// Replaces the list, as the next event.
    pub(crate) fn change(&self, list: Vec<ListedInvoker>) {
        let mut held = self.list.lock().expect("not poisoned");
        *held = (held.0 + 1, list);
    }
}

pub(crate) fn reply(id: u16, serial: u32, invokers: &[ListedInvoker]) -> Vec<u8> {
    reply_with(id, serial, invokers, &[])
}

/// A response in which the record of each invoker has additional attributes.
pub(crate) fn reply_with(id: u16, serial: u32, invokers: &[ListedInvoker], attributes: &[&str]) -> Vec<u8> {
    reply_changed(id, serial, invokers, attributes, |_| ())
}

/// A valid response of the directory, which a test may corrupt.
pub(crate) struct Reply {
    pub(crate) id: u16,
    pub(crate) serial: u32,
    pub(crate) list: Vec<ListedInvoker>,
}

impl Reply {
    /// Encodes the response after a change of the packet.
    pub(crate) fn encode(&self, change: impl Fn(&mut Packet)) -> Vec<u8> {
        reply_changed(self.id, self.serial, &self.list, &[], change)
    }
}

fn reply_changed(
    id: u16,
    serial: u32,
    invokers: &[ListedInvoker],
    attributes: &[&str],
    change: impl Fn(&mut Packet),
) -> Vec<u8> {
    let mut packet = Packet::new_reply(id);
    let targets: Vec<String> = invokers.iter().map(|invoker| format!("{}.east.hosts", invoker.id)).collect();
    for (ListedInvoker { address, draining, .. }, target) in invokers.iter().zip(&targets) {
        let name = Name::new(target).expect("a name");
        let srv =
            SRV { priority: u16::from(*draining), weight: 10, port: address.port(), target: name.clone() };
        let list = Name::new_unchecked(LIST_NAME);
        packet.answers.push(ResourceRecord::new(list, CLASS::IN, 0, RData::SRV(srv)));
        let std::net::IpAddr::V4(ip) = address.ip() else { continue };
        let a = RData::A(A { address: ip.into() });
        packet.additional_records.push(ResourceRecord::new(name.clone(), CLASS::IN, 0, a));
        let attributes = ["kind=std", "cell=1"].iter().chain(attributes);
        let text =
            attributes.fold(TXT::new(), |text, attribute| text.with_string(attribute).expect("an attribute"));
        packet.additional_records.push(ResourceRecord::new(name, CLASS::IN, 0, RData::TXT(text)));
    }
    let zone = Name::new_unchecked("mesh.local");
    let soa =
        SOA { mname: zone.clone(), rname: zone.clone(), serial, refresh: 0, retry: 0, expire: 0, minimum: 0 };
    packet.name_servers.push(ResourceRecord::new(zone, CLASS::IN, 0, RData::SOA(soa)));
    change(&mut packet);
    packet.build_bytes_vec_compressed().expect("a message")
}

/// The configuration of a node that has this list of invokers from the start.
pub(crate) fn config(directory: SocketAddr, listed: &[ListedInvoker]) -> serde_json::Value {
    let instances: Vec<_> = listed
        .iter()
        .map(|ListedInvoker { id, address, .. }| {
            serde_json::json!({"instanceId": id, "hostPort": address.to_string(), "zone": "east",
                "machineType": "std", "cell": 1, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
        })
        .collect();
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "deadline_ms": 4000, "goal_time_ms": 600, "effect": effect,
            "points": 1, "late_share": 0.2})
    };
    serde_json::json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "resolver": directory.to_string(),
        "limits": {"cores": 1, "memory_mb": 48, "sockets": 384},
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"generation": 1, "reset": true, "instances": instances}}]},
        "settings": {
            "classes": [class("safe", "free"), class("once", "single_shot")],
            "me": 0, "n_instances": 1, "step_ms": 4, "zone": "east", "stats": {"how": "none"},
            "family_info": {"when_absent": "miss", "orders": true, "warm_notes": true,
                "linger_idle_ms": 10000, "order_timeout_ms": 10000},
            "limits": {"max_attempts": 3, "probes": true, "cancel": true, "connect_timeout_ms": 250,
                "conn_idle_ms": 30000, "max_streams": 32, "max_open": 20000},
            "obligations": {"stop_sending_within_ms": 2000, "start_capacity": 0.2, "cold_ms": 15000,
                "overload_factor": 2.5, "fall_ms": 2000, "grace_to_answer_ms": 8},
        },
    })
}

/// A node that runs in a thread.
pub(crate) struct RunningNode {
    pub(crate) address: SocketAddr,
    pub(crate) directory: Directory,
    stop: Arc<AtomicBool>,
    shutdown: Arc<AtomicBool>,
    thread: Option<JoinHandle<Counters>>,
    _dir: tempfile::TempDir,
}

impl RunningNode {
    /// Starts a node that has these invokers in its list from the start.
    pub(crate) fn start(invokers: &[&Invoker]) -> Self {
        Self::start_with(invokers, |_| ())
    }

    /// As [`RunningNode::start`], with a configuration changed by the test.
    pub(crate) fn start_with(invokers: &[&Invoker], change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let listed: Vec<_> = invokers
            .iter()
            .enumerate()
            .map(|(at, invoker)| ListedInvoker::new(at, invoker.address))
            .collect();
        let directory = Directory::start(listed.clone());
        let mut config = config(directory.address, &listed);
        change(&mut config);
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("written");
        let (stop, shutdown) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (ready, address) = mpsc::channel();
        let (stopped, shutdown_requested) = (Arc::clone(&stop), Arc::clone(&shutdown));
        let thread = std::thread::spawn(move || {
            let mut node = Node::new(path, false).expect("a valid configuration");
            ready.send(node.local_addr()).expect("the test waits");
            while !node.is_done() && !stopped.load(Ordering::Acquire) {
                node.iterate(Some(Duration::from_millis(5))).expect("polls");
                if shutdown_requested.swap(false, Ordering::AcqRel) {
                    node.begin_shutdown();
                }
            }
            node.counters()
        });
        let address = address.recv_timeout(TEST_TIMEOUT).expect("it listens");
        Self { address, directory, stop, shutdown, thread: Some(thread), _dir: dir }
    }

    /// Begins a graceful shutdown, as SIGTERM does.
    pub(crate) fn begin_shutdown(&self) {
        self.shutdown.store(true, Ordering::Release);
    }

    /// Waits until the node has ended by itself, and returns its counters.
    pub(crate) fn join(&mut self) -> Counters {
        self.thread.take().expect("once").join().expect("no panic")
    }

    /// Stops the node at once, and returns its counters.
    pub(crate) fn stop(&mut self) -> Counters {
        self.stop.store(true, Ordering::Release);
        self.join()
    }

    pub(crate) fn client(&self) -> Client {
        Client::connect(self.address)
    }
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A client with blocking reads.
pub(crate) struct Client {
    pub(crate) socket: TcpStream,
    next: u32,
    answers: BTreeMap<u32, (u8, Vec<u8>)>,
}

pub(crate) const SERVED: u8 = 79;
pub(crate) const REFUSED: u8 = 66;
pub(crate) const FAILED: u8 = 69;

impl Client {
    pub(crate) fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).expect("it listens");
        socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Self { socket, next: 0, answers: BTreeMap::new() }
    }

    /// Sends a valid request and returns its stream.
    pub(crate) fn send_request(&mut self, op: &str, id: u64, row: u64, body: &[u8]) -> u32 {
        let (id, row) = (format!("{id:016x}"), format!("{row:016x}"));
        self.send_request_with(
            &[
                ("op", op),
                ("call", &id),
                ("ttl", "3000"),
                ("row", &row),
                ("tags", "memory_mb:9;lanes:4;load_ms:50"),
            ],
            body,
        )
    }

    pub(crate) fn send_request_with(&mut self, fields: &[(&str, &str)], body: &[u8]) -> u32 {
        self.next += 1;
        let mut out = Vec::new();
        frames::request(&mut out, self.next, fields, body);
        self.socket.write_all(&out).expect("written");
        self.next
    }

    /// Reads the next frame: type, stream, payload. `None` if the connection has ended.
    pub(crate) fn read_frame(&mut self) -> Option<(u8, u32, Vec<u8>)> {
        let mut head = [0; 9];
        self.socket.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut payload = vec![0; length - 5];
        self.socket.read_exact(&mut payload).ok()?;
        Some((head[4], u32::from_be_bytes([head[5], head[6], head[7], head[8]]), payload))
    }

    /// Waits for the answer on a stream: code and body.
    pub(crate) fn read_answer(&mut self, stream: u32) -> (u8, Vec<u8>) {
        loop {
            if let Some(answer) = self.answers.remove(&stream) {
                return answer;
            }
            let (kind, stream, payload) = self.read_frame().expect("an answer arrives");
            if kind == frames::kind::ANSWER {
                let old = self.answers.insert(stream, (payload[0], payload[2..].to_vec()));
                assert!(old.is_none(), "two answers on stream {stream}");
            }
        }
    }
}
