//! One connection of an HTTP/1.1 client on a poll of its owner: one request at a time, each answer read whole, the
//! connection kept between requests where the server wishes.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, where it came whole.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Why no answer came.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PostError {
    /// No connection, or it broke.
    #[error("no answer: {0}")]
    Broken(String),
    /// No answer in time.
    #[error("no answer in time")]
    Late,
    /// What came is no HTTP/1.1 answer.
    #[error("what came is no HTTP/1.1 answer")]
    Malformed,
}

/// Bytes of an answer's head at the most.
const MOST_HEAD: usize = 16 << 10;
/// Bytes of an answer's body that are read at the most; a longer one ends the connection.
const MOST_BODY: usize = 4 << 20;
/// Bytes of buffer that a connection keeps between requests.
const KEPT_BUFFER: usize = 16 << 10;

/// The bytes of a request with its body.
pub fn request(to: SocketAddr, method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The connection; it is opened by the first request.
#[derive(Debug, Default)]
pub struct ClientConnection {
    socket: Option<TcpStream>,
    out: Vec<u8>,
    sent: usize,
    came: Vec<u8>,
    received: usize,
    /// A request is out until then.
    until: Option<Instant>,
}

impl ClientConnection {
    /// Begins a request where none is out; an answer after `until` is [`PostError::Late`]. A failure to connect is
    /// told by the next turn.
    pub fn send(
        &mut self,
        registry: &Registry,
        token: Token,
        to: SocketAddr,
        request: Vec<u8>,
        until: Instant,
    ) {
        self.out = request;
        self.sent = 0;
        self.came.clear();
        self.received = 0;
        self.until = Some(until);
        if self.socket.is_none()
            && let Ok(mut socket) = TcpStream::connect(to)
            && registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE).is_ok()
        {
            self.socket = Some(socket);
        }
    }

    /// When the request that is out is given up; `None`: none is out.
    pub fn until(&self) -> Option<Instant> {
        self.until
    }

    /// Bytes received for the last request.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Closes the connection and gives up its request.
    pub fn close(&mut self) {
        self.socket = None;
        self.until = None;
    }

    /// Writes and reads as far as it goes; the end of the request that is out, once it has come.
    pub fn poll(&mut self, now: Instant) -> Option<Result<Answer, PostError>> {
        let until = self.until?;
        let done = match self.exchange() {
            Ok(None) if now >= until => Err(PostError::Late),
            Ok(None) => return None,
            Ok(Some((answer, keep))) => {
                if !keep {
                    self.socket = None;
                }
                Ok(answer)
            }
            Err(error) => Err(error),
        };
        self.until = None;
        if done.is_err() {
            self.socket = None;
        }
        self.came.clear();
        self.came.shrink_to(KEPT_BUFFER);
        Some(done)
    }

    /// An answer comes with whether the connection may be kept.
    fn exchange(&mut self) -> Result<Option<(Answer, bool)>, PostError> {
        let Some(socket) = &mut self.socket else {
            return Err(PostError::Broken("no connection".to_owned()));
        };
        if let Ok(Some(error)) = socket.take_error() {
            return Err(broken(error));
        }
        while self.sent < self.out.len() {
            match socket.write(&self.out[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if is_not_now(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
        }
        let mut chunk = [0; 8 << 10];
        loop {
            match socket.read(&mut chunk) {
                Ok(0) => return Err(PostError::Broken("closed".to_owned())),
                Ok(n) => {
                    self.came.extend_from_slice(&chunk[..n]);
                    self.received += n;
                }
                Err(e) if is_not_now(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
            if self.came.len() > MOST_HEAD + MOST_BODY {
                break;
            }
        }
        read(&self.came)
    }
}

fn broken(error: io::Error) -> PostError {
    PostError::Broken(error.to_string())
}

/// The socket has nothing to give or take now, or is not connected yet.
fn is_not_now(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// What stands in the bytes that came: nothing whole yet, or an answer and whether the connection may be kept.
pub(crate) fn read(came: &[u8]) -> Result<Option<(Answer, bool)>, PostError> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(came) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if came.len() <= MOST_HEAD => return Ok(None),
        _ => return Err(PostError::Malformed),
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers = head.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let mut answer = Answer { status: head.code.unwrap_or(0), headers, body: Vec::new() };
    let length = answer.header("content-length").and_then(|v| v.trim().parse::<usize>().ok());
    let empty = matches!(answer.status, 204 | 304);
    match if empty { Some(0) } else { length } {
        Some(length) if length <= MOST_BODY => {
            if came.len() < used + length {
                return Ok(None);
            }
            answer.body = came[used..used + length].to_vec();
            let keep = answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close"));
            Ok(Some((answer, keep)))
        }
        // Without a length, or with too long a body, the status is enough; the connection is not kept.
        _ => Ok(Some((answer, false))),
    }
}
