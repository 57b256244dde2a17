//! Requests, replies and bounds of the server.

use std::time::Duration;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Http1Limits {
    /// Connections at once; one more is closed at once.
    pub connections: usize,
    /// Bytes of a request's line and headers; more is 431.
    pub head_bytes: usize,
    /// Bytes of a request's body; more is 413.
    pub body_bytes: usize,
    /// A connection that has not finished a request, or read its reply, within this span is closed.
    pub timeout: Duration,
}

impl Default for Http1Limits {
    fn default() -> Self {
        Self { connections: 64, head_bytes: 8 << 10, body_bytes: 1 << 20, timeout: Duration::from_secs(10) }
    }
}

/// A request.
#[derive(Debug)]
pub struct Request<'a> {
    /// `GET` and the like.
    pub method: &'a str,
    /// The target as sent: path and query.
    pub target: &'a str,
    /// Headers in order; names as sent.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The body.
    pub body: &'a [u8],
    /// The ticket under which it was parked: it is not handled again, its reply is due.
    pub ticket: Option<u64>,
}

impl Request<'_> {
    /// The first header of a name, whatever its case, where it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }
}

/// A reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Content-Type.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// A fault, for test servers: only so many bytes of the reply are sent, then the connection closes.
    pub cut: Option<usize>,
}

impl Reply {
    /// A reply in plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Self { status, content_type: "text/plain; charset=utf-8", headers: Vec::new(), body, cut: None }
    }
}

/// How a request was handled.
#[derive(Clone, Debug)]
pub enum Disposition {
    /// It has its reply.
    Reply(Reply),
    /// It has no reply yet: it is handled again when the server is woken, and when so long has passed since it came.
    Wait(Duration),
    /// It was handled and its reply comes later, under this ticket: it is asked for as after a wait.
    Park(Duration, u64),
}
