//! One connection of an HTTP/1.1 client, registered with the poll of its owner. It has one request in flight
//! at a time, reads each response completely, and stays open between requests unless the server closes it.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

/// A response that was received completely, or without its body as described at [`Answer::body`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code, such as 200.
    pub status: u16,
    /// Headers in the order received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; empty if it has no Content-Length or is longer than the limit.
    pub body: Vec<u8>,
}

impl Answer {
    /// The first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Why a request has no response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Http1Error {
    /// The connection could not be established, or broke.
    #[error("no answer: {0}")]
    Broken(String),
    /// The response was not complete within the timeout.
    #[error("no answer in time")]
    Timeout,
    /// The received bytes are not a valid HTTP/1.1 response.
    #[error("the response is not valid HTTP/1.1")]
    Malformed,
}

/// Size of a response's status line and headers in bytes above which an incomplete response is malformed.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a response's body in bytes; a longer one is discarded and closes the connection.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Capacity of the receive buffer that a connection retains between requests.
const RETAINED_BUFFER_BYTES: usize = 16 << 10;

/// Encodes a request with its body. Host and Content-Length are added to `headers`.
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

/// A client connection. It is established by the first request.
#[derive(Debug, Default)]
pub struct ClientConnection {
    socket: Option<TcpStream>,
    /// The request that is in flight.
    request: Vec<u8>,
    /// Number of bytes of `request` that were sent.
    sent: usize,
    /// Bytes of the response received so far.
    response: Vec<u8>,
    /// Number of bytes received in response to the last request, also after that has ended.
    received: usize,
    /// Deadline of the request in flight; `None` if there is none.
    deadline: Option<Instant>,
}

impl ClientConnection {
    /// Sends a request, connecting to `to` if necessary; no other request may be in flight. At `deadline` it
    /// ends with [`Http1Error::Timeout`]. A failure to connect is reported by the next
    /// [`ClientConnection::poll`].
    pub fn send(
        &mut self,
        registry: &Registry,
        token: Token,
        to: SocketAddr,
        request: Vec<u8>,
        deadline: Instant,
    ) {
        self.request = request;
        self.sent = 0;
        self.response.clear();
        self.received = 0;
        self.deadline = Some(deadline);
        if self.socket.is_none()
            && let Ok(mut socket) = TcpStream::connect(to)
            && registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE).is_ok()
        {
            self.socket = Some(socket);
        }
    }

    /// Deadline of the request in flight; `None` if there is none.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Number of bytes received in response to the last request, also after that has ended.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Closes the connection and abandons the request in flight.
    pub fn close(&mut self) {
        self.socket = None;
        self.deadline = None;
    }

    /// Writes and reads as much as possible without blocking. Returns the result of the request in flight
    /// once it has ended.
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
        self.response.clear();
        self.response.shrink_to(RETAINED_BUFFER_BYTES);
        Some(result)
    }

    /// Writes the request and reads the response until the socket would block. `None` if the response is
    /// incomplete.
    fn exchange(&mut self) -> Result<Option<ParsedAnswer>, Http1Error> {
        let Some(socket) = &mut self.socket else {
            return Err(Http1Error::Broken("no connection".to_owned()));
        };
        if let Ok(Some(error)) = socket.take_error() {
            return Err(broken(error));
        }
        while self.sent < self.request.len() {
            match socket.write(&self.request[self.sent..]) {
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
                    self.response.extend_from_slice(&chunk[..n]);
                    self.received += n;
                }
                Err(e) if would_block(&e) => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(broken(e)),
            }
            if self.response.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
                break;
            }
        }
        parse(&self.response)
    }
}

fn broken(error: io::Error) -> Http1Error {
    Http1Error::Broken(error.to_string())
}

/// Whether an error means that the socket is not ready or not connected yet.
fn would_block(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected)
}

/// A response, and whether its connection can be reused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ParsedAnswer {
    pub(crate) answer: Answer,
    pub(crate) keep_alive: bool,
}

/// Parses a response. `None` if it is incomplete.
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
        // A body without Content-Length or over the limit is not read: only status and headers are returned,
        // and the connection is closed.
        _ => Ok(Some(ParsedAnswer { answer, keep_alive: false })),
    }
}
