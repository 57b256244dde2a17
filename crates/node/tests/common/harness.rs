//! A node whose loop the test turns by the test, with sockets of the test at every end: what is written before a turn is
//! there in that turn, so that two events fall into one by construction.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use nettleferry_node::Node;
use nettleferry_platform::{frames, resp};

use super::{ListedInvoker, TEST_TIMEOUT, command, config, reply, reply_with};

/// A node, its directory and its invokers.
pub(crate) struct NodeHarness {
    pub(crate) node: Node,
    pub(crate) directory: UdpSocket,
    pub(crate) invokers: Vec<Invoker>,
    pub(crate) path: std::path::PathBuf,
    pub(crate) config: serde_json::Value,
    dir: tempfile::TempDir,
    last: Option<(u16, SocketAddr)>,
}

/// An invoker: its listener, and what came on each connection.
pub(crate) struct Invoker {
    pub(crate) listener: TcpListener,
    pub(crate) conns: Vec<Conn>,
}

/// A connection at an invoker.
pub(crate) struct Conn {
    pub(crate) socket: TcpStream,
    input: Vec<u8>,
    /// The commands so far: word, id, fields, body.
    pub(crate) got: Vec<Vec<String>>,
    /// The other end has ended it.
    pub(crate) ended: bool,
}

/// A client.
pub(crate) struct Client {
    pub(crate) socket: TcpStream,
    input: Vec<u8>,
}

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
    /// A node with so many invokers; `change` may alter its configuration.
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
        let node = Node::new(path.clone(), false).expect("sound");
        Self { node, directory, invokers, path, config, dir, last: None }
    }

    /// One turn with what stands in the sockets now.
    pub(crate) fn turn(&mut self) {
        self.node.iterate(Some(Duration::ZERO)).expect("polls");
        for invoker in &mut self.invokers {
            invoker.look();
        }
    }

    /// Turns until something holds.
    pub(crate) fn until<T>(&mut self, what: &str, mut holds: impl FnMut(&mut Self) -> Option<T>) -> T {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            self.node.iterate(Some(Duration::from_millis(1))).expect("polls");
            for invoker in &mut self.invokers {
                invoker.look();
            }
            if let Some(found) = holds(self) {
                return found;
            }
        }
        panic!("it did not come: {what}");
    }

    /// Looks at the invokers, without a turn, until something holds.
    pub(crate) fn until_looked<T>(&mut self, what: &str, mut holds: impl FnMut(&mut Self) -> Option<T>) -> T {
        let end = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < end {
            self.invokers.iter_mut().for_each(Invoker::look);
            if let Some(found) = holds(self) {
                return found;
            }
            std::thread::yield_now();
        }
        panic!("it did not come: {what}");
    }

    /// Turns until an invoker has a command with this word and id; gives its connection.
    pub(crate) fn at(&mut self, invoker: usize, word: &str, id: &str) -> usize {
        self.until(&format!("{word} {id} at {invoker}"), |harness| harness.invokers[invoker].find(word, id))
    }

    /// Turns until a request stands unread at an invoker; gives its connection. To drop that socket resets it.
    pub(crate) fn unread_at(&mut self, invoker: usize, id: u64) -> usize {
        let (end, wanted) = (Instant::now() + TEST_TIMEOUT, name(id).into_bytes());
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
        panic!("it did not come: {id}");
    }

    /// How often a request was sent, to whomever.
    pub(crate) fn sends(&self, id: &str) -> usize {
        let all = self.invokers.iter().flat_map(|i| &i.conns).flat_map(|c| &c.got);
        all.filter(|got| got[0].starts_with("CALL") && got[1] == id).count()
    }

    /// Commands with this word, to whomever.
    pub(crate) fn words(&self, word: &str) -> usize {
        let all = self.invokers.iter().flat_map(|i| &i.conns).flat_map(|c| &c.got);
        all.filter(|got| got[0] == word).count()
    }

    pub(crate) fn client(&self) -> Client {
        let socket = TcpStream::connect(self.node.local_addr()).expect("it listens");
        socket.set_nonblocking(true).expect("set");
        socket.set_nodelay(true).expect("set");
        Client { socket, input: Vec::new() }
    }

    /// Takes the next query of the node to its directory.
    pub(crate) fn query(&mut self) -> (u16, SocketAddr) {
        self.directory.set_nonblocking(true).expect("set");
        self.until("a query", |harness| {
            let mut buffer = [0; 2048];
            let (length, from) = harness.directory.recv_from(&mut buffer).ok()?;
            let id = u16::from_be_bytes([buffer[0], buffer[1]]);
            harness.last = Some((id, from));
            (length > 2).then_some((id, from))
        })
    }

    /// Answers a query: the list is this, as of event `serial`.
    pub(crate) fn answer(&self, (id, from): (u16, SocketAddr), serial: u32, list: &[(usize, bool)]) {
        let lines: Vec<_> = list
            .iter()
            .map(|(at, draining)| {
                let address = self.invokers[*at].listener.local_addr().expect("bound");
                ListedInvoker { draining: *draining, ..ListedInvoker::new(*at, address) }
            })
            .collect();
        self.directory.send_to(&reply(id, serial, &lines), from).expect("sent");
    }

    /// Answers a query: this invoker alone, started at this Unix millisecond.
    pub(crate) fn answer_born(&self, (id, from): (u16, SocketAddr), serial: u32, at: usize, born_ms: u64) {
        let address = self.invokers[at].listener.local_addr().expect("bound");
        let started = format!("started={born_ms}");
        let lines = [ListedInvoker::new(at, address)];
        self.directory.send_to(&reply_with(id, serial, &lines, &[&started]), from).expect("sent");
    }

    /// Answers a query: these names at the addresses of these invokers.
    pub(crate) fn answer_named(&self, (id, from): (u16, SocketAddr), serial: u32, list: &[(&str, usize)]) {
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

    /// Turns until all that the node may still send on has come: a later request of another client is answered.
    pub(crate) fn fence(&mut self, id: u64) {
        let mut other = self.client();
        let name = format!("{id:016x}");
        other.ask(1, "safe", id, 0xfe0ce, b"fence");
        self.until("the fence", |harness| {
            for at in 0..harness.invokers.len() {
                harness.invokers[at].serve(|got| got[1] == name || got[0] == "PING");
                harness.invokers[at].load(|fields| fields.contains("fe0ce"));
            }
            other
                .frames()
                .iter()
                .any(|(kind, stream, _)| *kind == frames::kind::ANSWER && *stream == 1)
                .then_some(())
        });
    }

    /// The folder of its configuration.
    pub(crate) fn folder(&self) -> &std::path::Path {
        self.dir.path()
    }
}

impl Invoker {
    fn accept(&mut self) {
        while let Ok((socket, _)) = self.listener.accept() {
            socket.set_nonblocking(true).expect("set");
            // Or a small write waits for the other end's word on the one before, and comes a turn later.
            socket.set_nodelay(true).expect("set");
            self.conns.push(Conn { socket, input: Vec::new(), got: Vec::new(), ended: false });
        }
    }

    fn look(&mut self) {
        self.accept();
        for conn in &mut self.conns {
            conn.ended |= drain(&mut conn.socket, &mut conn.input);
            loop {
                let mut rest = conn.input.as_slice();
                let Some(parts) = command(&mut rest) else { break };
                let left = rest.len();
                conn.input.drain(..conn.input.len() - left);
                conn.got.push(parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect());
            }
        }
    }

    /// The connection on which such a command came.
    pub(crate) fn find(&self, word: &str, id: &str) -> Option<usize> {
        self.conns.iter().position(|c| c.got.iter().any(|got| got[0] == word && got[1] == id))
    }

    /// Answers, as served or green, what came and is wanted; once.
    pub(crate) fn serve(&mut self, wanted: impl Fn(&[String]) -> bool) {
        for conn in self.conns.iter_mut().filter(|conn| !conn.ended) {
            for got in conn.got.iter_mut().filter(|got| matches!(got[0].as_str(), "CALL" | "PING")) {
                if wanted(got) {
                    let word = if got[0] == "PING" { "green" } else { "served" };
                    write_response(
                        &mut conn.socket,
                        &got[1],
                        word,
                        if word == "green" { "-" } else { "n=w" },
                    );
                    got[0].push_str(" served");
                }
            }
        }
    }

    /// Answers orders of such fields: the copy stands.
    pub(crate) fn load(&mut self, wanted: impl Fn(&str) -> bool) {
        for conn in &mut self.conns {
            for got in conn.got.iter_mut().filter(|got| got[0] == "LOAD") {
                if wanted(&got[2]) {
                    write_response(&mut conn.socket, &got[1], "served", "instances=1");
                    got[0].push_str(" served");
                }
            }
        }
    }
}

/// An id as it stands on the wire.
pub(crate) fn name(id: u64) -> String {
    format!("{id:016x}")
}

/// Writes an answer of an invoker.
pub(crate) fn write_response(socket: &mut TcpStream, id: &str, word: &str, fields: &str) {
    let mut out = Vec::new();
    resp::command(&mut out, &[id.as_bytes(), word.as_bytes(), fields.as_bytes(), b"x"]);
    socket.write_all(&out).expect("written");
}

impl Client {
    /// Sends a request.
    pub(crate) fn ask(&mut self, stream: u32, op: &str, id: u64, row: u64, body: &[u8]) {
        self.socket.write_all(&request(stream, op, id, row, body)).expect("written");
    }

    /// Withdraws one.
    pub(crate) fn withdraw(&mut self, stream: u32) {
        let mut out = Vec::new();
        frames::bare(&mut out, frames::kind::CANCEL, stream);
        self.socket.write_all(&out).expect("written");
    }

    /// The frames that have come so far: type, stream, payload.
    pub(crate) fn frames(&mut self) -> Vec<(u8, u32, Vec<u8>)> {
        drain(&mut self.socket, &mut self.input);
        let (mut all, mut rest) = (Vec::new(), self.input.as_slice());
        while rest.len() >= 9 {
            let word = |at: usize| u32::from_be_bytes([rest[at], rest[at + 1], rest[at + 2], rest[at + 3]]);
            let length = word(0) as usize;
            if rest.len() < 4 + length {
                break;
            }
            all.push((rest[4], word(5), rest[9..4 + length].to_vec()));
            rest = &rest[4 + length..];
        }
        all
    }

    /// Has the other end ended the connection?
    pub(crate) fn ended(&mut self) -> bool {
        drain(&mut self.socket, &mut self.input)
    }

    /// The codes of the answers on a stream.
    pub(crate) fn codes(&mut self, stream: u32) -> Vec<u8> {
        let answer = |f: &(u8, u32, Vec<u8>)| f.0 == frames::kind::ANSWER && f.1 == stream;
        self.frames().iter().filter(|f| answer(f)).map(|f| f.2[0]).collect()
    }
}

/// A sound request as bytes: a function of one lane, with three seconds.
pub(crate) fn request(stream: u32, op: &str, id: u64, row: u64, body: &[u8]) -> Vec<u8> {
    let (id, row) = (format!("{id:016x}"), format!("{row:016x}"));
    let tags = "memory_mb:9;lanes:1;load_ms:50";
    let fields = [("op", op), ("call", id.as_str()), ("ttl", "3000"), ("row", &row), ("tags", tags)];
    let mut out = Vec::new();
    frames::request(&mut out, stream, &fields, body);
    out
}
