//! Parses requests (RFC 9112) and passes them to the handler.

use std::time::Duration;

use super::message::{Disposition, Http1Limits, Reply, Request};

/// Maximum number of headers of a request; more are answered with 431.
const MAX_HEADERS: usize = 64;

/// The result of parsing and handling the first request in the received bytes.
pub(super) enum Parsed {
    /// The request is incomplete.
    Partial,
    /// The reply is deferred until this long after the request was first handled; a parked request has a
    /// ticket.
    Wait(Duration, Option<u64>),
    /// The request was handled and has a reply.
    Done {
        /// Size of the request in bytes.
        length: usize,
        reply: Reply,
        keep_alive: bool,
    },
    /// The request is invalid or exceeds a limit; the connection is closed after this reply.
    Bad(Reply),
}

/// The request line and headers.
struct Head<'a> {
    /// The request without its body.
    request: Request<'a>,
    /// Size of the head in bytes.
    length: usize,
    is_http11: bool,
}

/// Parses the first request and passes it to the handler, with the ticket if it was parked before.
pub(super) fn parse(
    received: &[u8],
    limits: &Http1Limits,
    ticket: Option<u64>,
    handle: &mut dyn FnMut(&Request<'_>) -> Disposition,
) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let head = match parse_head(received, &mut headers, limits, ticket) {
        Ok(Some(head)) => head,
        Ok(None) => return Parsed::Partial,
        Err(reply) => return Parsed::Bad(reply),
    };
    let body_length = match body_length(&head.request, limits) {
        Ok(length) => length,
        Err(reply) => return Parsed::Bad(reply),
    };
    let length = head.length + body_length;
    let Some(body) = received.get(head.length..length) else { return Parsed::Partial };
    let connection = head.request.header("connection").unwrap_or("").to_ascii_lowercase();
    let keep_alive = if head.is_http11 { connection != "close" } else { connection == "keep-alive" };
    match handle(&Request { body, ..head.request }) {
        Disposition::Reply(reply) => Parsed::Done { length, reply, keep_alive },
        Disposition::Wait(span) => Parsed::Wait(span, None),
        Disposition::Park(span, ticket) => Parsed::Wait(span, Some(ticket)),
    }
}

/// Parses the head of a request. `None` if it is incomplete; `Err` is the reply to an invalid head.
fn parse_head<'a>(
    received: &'a [u8],
    headers: &'a mut [httparse::Header<'a>],
    limits: &Http1Limits,
    ticket: Option<u64>,
) -> Result<Option<Head<'a>>, Reply> {
    let mut head = httparse::Request::new(headers);
    let length = match head.parse(received) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head_bytes => length,
        Ok(httparse::Status::Partial) if received.len() <= limits.head_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            let text = format!("at most {} bytes and {MAX_HEADERS} headers are taken\n", limits.head_bytes);
            return Err(Reply::text(431, text));
        }
        Err(error) => return Err(Reply::text(400, format!("no HTTP/1.1 request: {error}\n"))),
    };
    let request = Request {
        method: head.method.unwrap_or(""),
        target: head.path.unwrap_or(""),
        headers: head.headers.iter().map(|header| (header.name, header.value)).collect(),
        body: &[],
        ticket,
    };
    Ok(Some(Head { request, length, is_http11: head.version == Some(1) }))
}

/// The length of the body by its headers. `Err` is the reply to a body that is not accepted.
fn body_length(request: &Request<'_>, limits: &Http1Limits) -> Result<usize, Reply> {
    if request.header("transfer-encoding").is_some() {
        return Err(Reply::text(411, "chunked bodies are not taken: send Content-Length\n"));
    }
    // Repeated Content-Length headers are rejected: they enable request smuggling through an intermediary
    // (RFC 9112, section 6.3).
    let mut lengths = request.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some((_, value)), None) => {
            std::str::from_utf8(value).ok().and_then(|text| text.trim().parse::<usize>().ok())
        }
        _ => None,
    };
    match length {
        None => Err(Reply::text(400, "Content-Length is not one whole number\n")),
        Some(length) if length > limits.body_bytes => {
            Err(Reply::text(413, format!("at most {} bytes of body are taken\n", limits.body_bytes)))
        }
        Some(length) => Ok(length),
    }
}
