//! One connection of an HTTP/1.1 client on a poll of its owner: one request at a time, each answer read completely,
//! the connection kept between requests where the server wishes.

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
    /// The body, where it was received completely.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Http1Error {
    /// No connection, or it broke.
    #[error("no answer: {0}")]
    Broken(String),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// What was received is no HTTP/1.1 answer.
    #[error("what came is no HTTP/1.1 answer")]
    Malformed,
}

/// Bytes of an answer's head; more is malformed.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes of an answer's body that are read; a longer one is dropped and ends the connection.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Bytes of buffer that a connection keeps between requests.
const RETAINED_BUFFER: usize = 16 << 10;

/// The bytes of a request with its body.
pub fn encode_request(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
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
    /// What was received of the answer.
    answer: Vec<u8>,
    /// Bytes received for the last request.
    received: usize,
    /// Deadline of the request that is in flight; `None`: there is none.
    deadline: Option<Instant>,
}

impl ClientConnection {
    /// Sends a request where none is in flight; after `deadline` it ends with [`Http1Error::Timeout`]. A failure to connect is
    /// reported by the next poll.
    pub fn send(
        &mut self,
        registry: &Registry,
        token: Token,
        to: SocketAddr,
        request: Vec<u8>,
        deadline: Instant,
    ) {
        self.out = request;
        self.sent = 0;
        self.answer.clear();
        self.received = 0;
        self.deadline = Some(deadline);
        if self.socket.is_none()
            && let Ok(mut socket) = TcpStream::connect(to)
            && registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE).is_ok()
        {
            self.socket = Some(socket);
        }
    }

    /// The deadline of the request that is in flight; `None`: there is none.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Bytes received for the last request.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Closes the connection and gives up its request.
    pub fn close(&mut self) {
        self.socket = None;
        self.deadline = None;
    }

    /// Writes and reads as far as it goes. `Some`: the request that was in flight has ended.
    pub fn poll(&mut self, now: Instant) -> Option<Result<Answer, Http1Error>> {
        let deadline = self.deadline?;
        let result = match self.exchange() {
            Ok(None) if now >= deadline => Err(Http1Error::Timeout),
            Ok(None) => return None,
            Ok(Some(ParsedAnswer { answer, keep_alive })) => {
                if !keep_alive {
                    self.socket = None;
                }
                Ok(answer)
            }
            Err(error) => Err(error),
        };
        self.deadline = None;
        if result.is_err() {
            self.socket = None;
        }
        self.answer.clear();
        self.answer.shrink_to(RETAINED_BUFFER);
        Some(result)
    }

    fn exchange(&mut self) -> Result<Option<ParsedAnswer>, Http1Error> {
        let Some(socket) = &mut self.socket else {
            return Err(Http1Error::Broken("no connection".to_owned()));
        };
        if let Ok(Some(error)) = socket.take_error() {
            return Err(broken(error));
        }
        while self.sent < self.out.len() {
            match socket.write(&self.out[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if would_block(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
        }
        let mut chunk = [0; 8 << 10];
        loop {
            match socket.read(&mut chunk) {
                Ok(0) => return Err(Http1Error::Broken("closed".to_owned())),
                Ok(n) => {
                    self.answer.extend_from_slice(&chunk[..n]);
                    self.received += n;
                }
                Err(e) if would_block(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
            if self.answer.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
                break;
            }
        }
        parse(&self.answer)
    }
}

fn broken(error: io::Error) -> Http1Error {
    Http1Error::Broken(error.to_string())
}

/// Whether the socket can't be read or written now, or is not connected yet.
fn would_block(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// An answer, and whether its connection may be kept.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ParsedAnswer {
    pub(crate) answer: Answer,
    pub(crate) keep_alive: bool,
}

/// Parses an answer. `None`: it is not complete.
pub(crate) fn parse(received: &[u8]) -> Result<Option<ParsedAnswer>, Http1Error> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(received) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if received.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(Http1Error::Malformed),
    };
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    let headers = head.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let mut answer = Answer { status: head.code.unwrap_or(0), headers, body: Vec::new() };
    let length = answer.header("content-length").and_then(|v| v.trim().parse::<usize>().ok());
    let empty = matches!(answer.status, 204 | 304);
    match if empty { Some(0) } else { length } {
        Some(length) if length <= MAX_BODY_BYTES => {
            if received.len() < used + length {
                return Ok(None);
            }
            answer.body = received[used..used + length].to_vec();
            let keep_alive = answer.header("connection").is_none_or(|c| !c.eq_ignore_ascii_case("close"));
            Ok(Some(ParsedAnswer { answer, keep_alive }))
        }
        // Without a length, or with too long a body, the status is enough; the connection is not kept.
        _ => Ok(Some(ParsedAnswer { answer, keep_alive: false })),
    }
}
