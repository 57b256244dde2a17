//! A request's headers: what a gRPC client must send, and what we read of it.

use http::{Method, StatusCode, request};
use nettleferry::Micros;
use nettleferry_net::grpc::{Code, read_timeout};
use nettleferry_proto::marks;

use super::ends::Failure;

/// What is read of the headers.
#[derive(Debug)]
pub struct Head {
    /// When the client gives up.
    pub due: Option<Micros>,
    /// Messages may be gzip.
    pub gzip: bool,
    /// The tenant's name.
    pub tenant: Option<String>,
    /// `triton_grpc_error: true`.
    pub grpc_error: bool,
    /// `grpc-previous-rpc-attempts` (gRFC A6): the client tried before.
    pub repeat: bool,
}

/// Is it a gRPC request at all? Else the HTTP status to answer with ("gRPC over HTTP2": 415 for another
/// content type).
pub fn acceptable(head: &request::Parts) -> Result<(), StatusCode> {
    if head.method != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let kind = head.headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    let rest = kind.strip_prefix("application/grpc").ok_or(StatusCode::UNSUPPORTED_MEDIA_TYPE)?;
    let rest = rest.strip_prefix("+proto").unwrap_or(rest);
    if rest.is_empty() || rest.starts_with(';') { Ok(()) } else { Err(StatusCode::UNSUPPORTED_MEDIA_TYPE) }
}

/// Reads the rest.
pub fn read(head: &request::Parts, now: Micros) -> Result<Head, Failure> {
    let text = |name: &str| head.headers.get(name).map(|v| v.to_str().unwrap_or("\u{fffd}"));
    let due = match text("grpc-timeout") {
        None => None,
        Some(value) => {
            let span = read_timeout(value).ok_or_else(|| {
                let what = "grpc-timeout is not up to eight digits and one of H, M, S, m, u, n";
                Failure::of(Code::InvalidArgument, what)
            })?;
            Some(now.saturating_add(Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)))
        }
    };
    let gzip = match text("grpc-encoding") {
        None | Some("identity") => false,
        Some("gzip") => true,
        Some(other) => {
            let what = format!("grpc-encoding {other:?} is not taken: identity and gzip are");
            return Err(Failure::of(Code::Unimplemented, what));
        }
    };
    Ok(Head {
        due,
        gzip,
        tenant: text(marks::TENANT).map(str::to_owned),
        grpc_error: text(marks::GRPC_ERROR) == Some("true"),
        repeat: text("grpc-previous-rpc-attempts").is_some(),
    })
}

#[cfg(test)]
mod tests;
