//! Requests, replies and limits of the server.

use std::time::Duration;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Http1Limits {
    /// Maximum open connections; further ones are closed immediately.
    pub connections: usize,
    /// Maximum size of a request line with its headers, in bytes; a larger one is answered with 431.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes; a larger one is answered with 413.
    pub body_bytes: usize,
    /// Time in which a client must send a request, counted from the connection or its last reply, and read
    /// the reply; the connection is closed afterwards.
    pub timeout: Duration,
}

impl Default for Http1Limits {
    fn default() -> Self {
        Self { connections: 64, head_bytes: 8 << 10, body_bytes: 1 << 20, timeout: Duration::from_secs(10) }
    }
}

/// A request, as passed to the handler.
#[derive(Debug)]
pub struct Request<'a> {
    /// Method, such as `GET`.
    pub method: &'a str,
    /// Request target as sent: path and query.
    pub target: &'a str,
    /// Headers in the order received, with names as sent.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The complete body; empty if there is none.
    pub body: &'a [u8],
    /// Ticket with which the handler parked this request. The request must not be processed again; only its
    /// reply is due.
    pub ticket: Option<u64>,
}

impl Request<'_> {
    /// The first header with this name, compared case-insensitively; `None` if it is missing or not UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }
}

/// A reply to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code, such as 200.
    pub status: u16,
    /// Value of the Content-Type header.
    pub content_type: &'static str,
    /// Headers besides Content-Type, Content-Length and Connection.
    pub headers: Vec<(&'static str, String)>,
    /// The body, sent with its Content-Length.
    pub body: Vec<u8>,
    /// An injected fault for test servers: only this many bytes of the reply are sent before the connection
    /// is closed.
    pub cut: Option<usize>,
}

impl Reply {
    /// A plain-text reply without further headers.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Self { status, content_type: "text/plain; charset=utf-8", headers: Vec::new(), body, cut: None }
    }
}

/// The result of handling a request.
#[derive(Clone, Debug)]
pub enum Disposition {
    /// The request is answered.
    Reply(Reply),
    /// The request is handled again when the server is woken, at the latest this long after it was first
    /// handled.
    Wait(Duration),
    /// The request was processed, but its reply is not ready. The handler is called again as for
    /// [`Disposition::Wait`], with this ticket in [`Request::ticket`].
    Park(Duration, u64),
}
