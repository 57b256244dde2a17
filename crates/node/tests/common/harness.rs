//! A node whose event loop is run by the test, one iteration at a time, with sockets of the test as its clients,
//! invokers and directory. Data written before an iteration is read in that iteration, so a test can make several
//! events fall into one iteration.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use nettleferry_node::Node;
use nettleferry_platform::{frames, resp};

use super::{ListedInvoker, TEST_TIMEOUT, config, read_command, reply, reply_with};

/// A node, its directory and its invokers.
pub(crate) struct NodeHarness {
    pub(crate) node: Node,
    pub(crate) directory: UdpSocket,
    pub(crate) invokers: Vec<Invoker>,
    pub(crate) path: std::path::PathBuf,
    pub(crate) config: serde_json::Value,
    dir: tempfile::TempDir,
    last_query: Option<(u16, SocketAddr)>,
}

/// An invoker: its listener and connections.
pub(crate) struct Invoker {
    pub(crate) listener: TcpListener,
    pub(crate) conns: Vec<Conn>,
}

/// A connection at an invoker.
pub(crate) struct Conn {
    pub(crate) socket: TcpStream,
    input: Vec<u8>,
    /// The commands received so far: keyword, id, fields, body. Answered ones have ` served` added to the keyword.
    pub(crate) commands: Vec<Vec<String>>,
    /// The node has closed the connection.
    pub(crate) ended: bool,
}

/// A client with non-blocking reads.
pub(crate) struct Client {
    pub(crate) socket: TcpStream,
    input: Vec<u8>,
}

/// Reads all available data. Returns whether the connection has ended.
fn drain(socket: &mut TcpStream, input: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 4096];
    loop {
        match socket.read(&mut buffer) {
            Ok(0) => return true,
            Ok(n) => input.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
            Err(_) => return true,
        }
    }
}

impl NodeHarness {
    /// Starts a node with this number of invokers; `change` may alter its configuration.
    pub(crate) fn start(invokers: usize, change: impl FnOnce(&mut serde_json::Value)) -> Self {
        let invokers: Vec<Invoker> = (0..invokers)
            .map(|_| {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
                listener.set_nonblocking(true).expect("set");
                Invoker { listener, conns: Vec::new() }
            })
            .collect();
        let directory = UdpSocket::bind("127.0.0.1:0").expect("a port");
        directory.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let listed: Vec<_> = invokers
            .iter()
            .enumerate()
            .map(|(at, i)| ListedInvoker::new(at, i.listener.local_addr().expect("bound")))
            .collect();
        let mut config = config(directory.local_addr().expect("bound"), &listed);
        change(&mut config);
        let dir = tempfile::tempdir().expect("a directory");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config.to_string()).expect("written");
        let node = Node::new(path.clone(), false).expect("a valid configuration");
        Self { node, directory, invokers, path, config, dir, last_query: None }
    }

    /// Runs one iteration with the data that is in the sockets now, without waiting.
    pub(crate) fn iterate(&mut self) {
        self.node.iterate(Some(Duration::ZERO)).expect("polls");
        for invoker in &mut self.invokers {
            invoker.read_commands();
        }
    }

    /// Runs iterations until `condition` returns a value.
    pub(crate) fn until<T>(&mut self, what: &str, mut condition: impl FnMut(&mut Self) -> Option<T>) -> T {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            self.node.iterate(Some(Duration::from_millis(1))).expect("polls");
            for invoker in &mut self.invokers {
                invoker.read_commands();
            }
            if let Some(found) = condition(self) {
                return found;
            }
        }
        panic!("timed out waiting for {what}");
    }

    /// Reads at the invokers, without an iteration of the node, until `condition` returns a value.
    pub(crate) fn until_at_invokers<T>(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&mut Self) -> Option<T>,
    ) -> T {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            self.invokers.iter_mut().for_each(Invoker::read_commands);
            if let Some(found) = condition(self) {
                return found;
            }
            std::thread::yield_now();
        }
        panic!("timed out waiting for {what}");
    }

    /// Runs iterations until an invoker has received this command. Returns the index of the connection.
    pub(crate) fn wait_for_command(&mut self, invoker: usize, keyword: &str, id: &str) -> usize {
        self.until(&format!("{keyword} {id} at invoker {invoker}"), |harness| {
            harness.invokers[invoker].find(keyword, id)
        })
    }

    /// Runs iterations until a request has arrived at an invoker, and leaves it unread there. Returns the index of the
    /// connection; dropping its socket resets the connection.
    pub(crate) fn wait_for_unread(&mut self, invoker: usize, id: u64) -> usize {
        let (end, wanted) = (Instant::now() + TEST_TIMEOUT, wire_id(id).into_bytes());
        while Instant::now() < end {
            self.node.iterate(Some(Duration::from_millis(1))).expect("polls");
            self.invokers[invoker].accept();
            let mut buffer = [0; 4096];
            let found = self.invokers[invoker].conns.iter().position(|conn| {
                let length = conn.socket.peek(&mut buffer).unwrap_or(0);
                buffer[..length].windows(wanted.len()).any(|bytes| bytes == wanted)
            });
            if let Some(conn) = found {
                return conn;
            }
        }
        panic!("timed out waiting for call {id} at invoker {invoker}");
    }

    /// Number of attempts of a request received by all invokers.
    pub(crate) fn call_count(&self, id: &str) -> usize {
        let all = self.invokers.iter().flat_map(|i| &i.conns).flat_map(|c| &c.commands);
        all.filter(|command| command[0].starts_with("CALL") && command[1] == id).count()
    }

    /// Number of unanswered commands with this keyword received by all invokers.
    pub(crate) fn command_count(&self, keyword: &str) -> usize {
        let all = self.invokers.iter().flat_map(|i| &i.conns).flat_map(|c| &c.commands);
        all.filter(|command| command[0] == keyword).count()
    }

    pub(crate) fn client(&self) -> Client {
        let socket = TcpStream::connect(self.node.local_addr()).expect("it listens");
        socket.set_nonblocking(true).expect("set");
        socket.set_nodelay(true).expect("set");
        Client { socket, input: Vec::new() }
    }

    /// Waits for the next query of the node to the directory. Returns its id and source address.
    pub(crate) fn next_query(&mut self) -> (u16, SocketAddr) {
        self.directory.set_nonblocking(true).expect("set");
        self.until("a directory query", |harness| {
            let mut buffer = [0; 2048];
            let (length, from) = harness.directory.recv_from(&mut buffer).ok()?;
            let id = u16::from_be_bytes([buffer[0], buffer[1]]);
            harness.last_query = Some((id, from));
            (length > 2).then_some((id, from))
        })
    }

    /// Answers a query with a list of invokers, each with whether it is draining.
    pub(crate) fn answer_query(&self, (id, from): (u16, SocketAddr), serial: u32, list: &[(usize, bool)]) {
        let lines: Vec<_> = list
            .iter()
            .map(|(at, draining)| {
                let address = self.invokers[*at].listener.local_addr().expect("bound");
                ListedInvoker { draining: *draining, ..ListedInvoker::new(*at, address) }
            })
            .collect();
        self.directory.send_to(&reply(id, serial, &lines), from).expect("sent");
    }

    /// Answers a query with a list of one invoker and its start time, in Unix milliseconds.
    pub(crate) fn answer_query_with_start(
        &self,
        (id, from): (u16, SocketAddr),
        serial: u32,
        at: usize,
        started_ms: u64,
    ) {
        let address = self.invokers[at].listener.local_addr().expect("bound");
        let started = format!("started={started_ms}");
        let lines = [ListedInvoker::new(at, address)];
        self.directory.send_to(&reply_with(id, serial, &lines, &[&started]), from).expect("sent");
    }

    /// Answers a query with a list of these names at the addresses of these invokers.
    pub(crate) fn answer_query_with_names(
        &self,
        (id, from): (u16, SocketAddr),
        serial: u32,
        list: &[(&str, usize)],
    ) {
        let address = |at: usize| self.invokers[at].listener.local_addr().expect("bound");
        let lines: Vec<_> = list
            .iter()
            .map(|(name, at)| ListedInvoker {
                id: (*name).to_owned(),
                address: address(*at),
                draining: false,
            })
            .collect();
        self.directory.send_to(&reply(id, serial, &lines), from).expect("sent");
    }

    /// Runs iterations until a later request of another client is answered. Anything that the node forwards because of
    /// earlier events has arrived at the invokers then.
    pub(crate) fn fence(&mut self, id: u64) {
        let mut other = self.client();
        let fence_id = format!("{id:016x}");
        other.send_request(1, "safe", id, 0xfe0ce, b"fence");
        self.until("the answer to the fence request", |harness| {
            for at in 0..harness.invokers.len() {
                harness.invokers[at].serve(|command| command[1] == fence_id || command[0] == "PING");
                harness.invokers[at].complete_loads(|fields| fields.contains("fe0ce"));
            }
            other
                .frames()
                .iter()
                .any(|(kind, stream, _)| *kind == frames::kind::ANSWER && *stream == 1)
                .then_some(())
        });
    }

    /// The folder of the configuration file.
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.dir.path()
    }
}

impl Invoker {
    fn accept(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).expect("set");
            // Without it a small write may be delayed until the previous one is acknowledged, and arrive an iteration
            // later.
            socket.set_nodelay(true).expect("set");
            self.conns.push(Conn { socket, input: Vec::new(), commands: Vec::new(), ended: false });
        }
    }

    fn read_commands(&mut self) {
        self.accept();
        for conn in &mut self.conns {
            conn.ended |= drain(&mut conn.socket, &mut conn.input);
            loop {
                let mut rest = conn.input.as_slice();
                let Some(parts) = read_command(&mut rest) else { break };
                let left = rest.len();
                conn.input.drain(..conn.input.len() - left);
                conn.commands.push(parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect());
            }
        }
    }

    /// The index of the connection on which this command was received.
    pub(crate) fn find(&self, keyword: &str, id: &str) -> Option<usize> {
        self.conns
            .iter()
            .position(|c| c.commands.iter().any(|command| command[0] == keyword && command[1] == id))
    }

    /// Answers the calls and health checks that were received and that `wanted` selects, each once.
    pub(crate) fn serve(&mut self, wanted: impl Fn(&[String]) -> bool) {
        for conn in self.conns.iter_mut().filter(|conn| !conn.ended) {
            for command in
                conn.commands.iter_mut().filter(|command| matches!(command[0].as_str(), "CALL" | "PING"))
            {
                if wanted(command) {
                    let kind = if command[0] == "PING" { "green" } else { "served" };
                    write_response(
                        &mut conn.socket,
                        &command[1],
                        kind,
                        if kind == "green" { "-" } else { "n=w" },
                    );
                    command[0].push_str(" served");
                }
            }
        }
    }

    /// Answers the load orders whose fields `wanted` selects, as completed with one replica.
    pub(crate) fn complete_loads(&mut self, wanted: impl Fn(&str) -> bool) {
        for conn in &mut self.conns {
            for command in conn.commands.iter_mut().filter(|command| command[0] == "LOAD") {
                if wanted(&command[2]) {
                    write_response(&mut conn.socket, &command[1], "served", "instances=1");
                    command[0].push_str(" served");
                }
            }
        }
    }
}

/// An id in the form used on the wire.
pub(crate) fn wire_id(id: u64) -> String {
    format!("{id:016x}")
}

/// Writes a response of an invoker.
pub(crate) fn write_response(socket: &mut TcpStream, id: &str, kind: &str, fields: &str) {
    let mut out = Vec::new();
    resp::command(&mut out, &[id.as_bytes(), kind.as_bytes(), fields.as_bytes(), b"x"]);
    socket.write_all(&out).expect("written");
}

impl Client {
    /// Sends a request as built by [`request`].
    pub(crate) fn send_request(&mut self, stream: u32, op: &str, id: u64, row: u64, body: &[u8]) {
        self.socket.write_all(&request(stream, op, id, row, body)).expect("written");
    }

    /// Cancels the request on a stream.
    pub(crate) fn cancel(&mut self, stream: u32) {
        let mut out = Vec::new();
        frames::bare(&mut out, frames::kind::CANCEL, stream);
        self.socket.write_all(&out).expect("written");
    }

    /// All frames received so far: type, stream, payload.
    pub(crate) fn frames(&mut self) -> Vec<(u8, u32, Vec<u8>)> {
        drain(&mut self.socket, &mut self.input);
        let (mut all, mut rest) = (Vec::new(), self.input.as_slice());
        while rest.len() >= 9 {
            let read_u32 =
                |at: usize| u32::from_be_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
            let length = read_u32(0) as usize;
            if rest.len() < 4 + length {
                break;
            }
            all.push((rest[4], read_u32(5), rest[9..4 + length].to_vec()));
            rest = &rest[4 + length..];
        }
        all
    }

    /// Whether the node has closed the connection.
    pub(crate) fn is_closed(&mut self) -> bool {
        drain(&mut self.socket, &mut self.input)
    }

    /// The codes of the answers received on a stream.
    pub(crate) fn answer_codes(&mut self, stream: u32) -> Vec<u8> {
        let answer = |f: &(u8, u32, Vec<u8>)| f.0 == frames::kind::ANSWER && f.1 == stream;
        self.frames().iter().filter(|f| answer(f)).map(|f| f.2[0]).collect()
    }
}

/// A valid request as bytes: a function with one lane, a time to live of 3 s.
pub(crate) fn request(stream: u32, op: &str, id: u64, row: u64, body: &[u8]) -> Vec<u8> {
    let (id, row) = (format!("{id:016x}"), format!("{row:016x}"));
    let tags = "memory_mb:9;lanes:1;load_ms:50";
    let fields = [("op", op), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("tags", tags)];
    let mut out = Vec::new();
    frames::request(&mut out, stream, &fields, body);
    out
}
