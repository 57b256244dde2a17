//! Checks and reads the headers of gRPC requests.

use http::{Method, StatusCode, request};
use nettleferry::Micros;
use nettleferry_net::grpc::{Code, read_timeout};
use nettleferry_proto::metadata;

use super::failure::Failure;

/// The values that are read from the headers of a request.
#[derive(Debug)]
pub(super) struct RequestHeaders {
    /// The client's deadline on the controller's clock; `None` if it set none.
    pub deadline: Option<Micros>,
    /// Messages of the client may be compressed with gzip.
    pub gzip: bool,
    /// Name of the client's tenant, if it sent one.
    pub tenant: Option<String>,
    /// `triton_grpc_error: true`: the first call that fails on a stream ends the stream with its status.
    pub errors_end_stream: bool,
    /// `grpc-previous-rpc-attempts` (gRFC A6) is present: the client retries the call.
    pub is_retry: bool,
}

/// Checks that a request is a gRPC request.
///
/// # Errors
/// The HTTP status to respond with: 405 for a method other than POST, and 415 for another content type, as "gRPC over
/// HTTP2" requires.
pub(super) fn check_grpc(head: &request::Parts) -> Result<(), StatusCode> {
    if head.method != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let kind = head.headers.get("content-type").and_then(|v| v.to_str().ok()).unwrap_or("");
    let suffix = kind.strip_prefix("application/grpc").ok_or(StatusCode::UNSUPPORTED_MEDIA_TYPE)?;
    let parameters = suffix.strip_prefix("+proto").unwrap_or(suffix);
    if parameters.is_empty() || parameters.starts_with(';') {
        Ok(())
    } else {
        Err(StatusCode::UNSUPPORTED_MEDIA_TYPE)
    }
}

/// Reads the timeout, the encoding and the metadata of a request. Fails where the timeout is malformed or the encoding
/// is not supported.
pub(super) fn read(head: &request::Parts, now: Micros) -> Result<RequestHeaders, Failure> {
    let text = |name: &str| head.headers.get(name).map(|v| v.to_str().unwrap_or("\u{fffd}"));
    let deadline = match text("grpc-timeout") {
        None => None,
        Some(value) => {
            let span = read_timeout(value).ok_or_else(|| {
                let message = "grpc-timeout is not up to eight digits and one of H, M, S, m, u, n";
                Failure::new(Code::InvalidArgument, message)
            })?;
            Some(now.saturating_add(Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)))
        }
    };
    let gzip = match text("grpc-encoding") {
        None | Some("identity") => false,
        Some("gzip") => true,
        Some(other) => {
            let message = format!("grpc-encoding {other:?} is not taken: identity and gzip are");
            return Err(Failure::new(Code::Unimplemented, message));
        }
    };
    Ok(RequestHeaders {
        deadline,
        gzip,
        tenant: text(metadata::TENANT).map(str::to_owned),
        errors_end_stream: text(metadata::GRPC_ERROR) == Some("true"),
        is_retry: text("grpc-previous-rpc-attempts").is_some(),
    })
}

#[cfg(test)]
mod tests;
