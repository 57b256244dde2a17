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
mod tests {
    use super::*;

    fn parts(headers: &[(&str, &str)]) -> request::Parts {
        let mut request = http::Request::post("http://x/y");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        request.body(()).expect("sound").into_parts().0
    }

    #[test]
    fn other_content_types_are_415() {
        for kind in ["application/grpc", "application/grpc+proto", "application/grpc; v=1"] {
            assert_eq!(acceptable(&parts(&[("content-type", kind)])), Ok(()), "{kind}");
        }
        for kind in ["application/json", "application/grpc-web", "application/grpc+json", ""] {
            assert_eq!(
                acceptable(&parts(&[("content-type", kind)])),
                Err(StatusCode::UNSUPPORTED_MEDIA_TYPE),
                "{kind}"
            );
        }
    }

    #[test]
    fn timeouts_and_encodings_are_read_or_refused_with_the_fix() {
        let head = read(&parts(&[("grpc-timeout", "600m"), ("grpc-encoding", "gzip")]), 5).expect("sound");
        assert_eq!((head.due, head.gzip), (Some(600_005), true));
        let error = |name, value| read(&parts(&[(name, value)]), 0).expect_err("refused").status;
        assert_eq!(error("grpc-timeout", "soon").code, Code::InvalidArgument);
        assert_eq!(error("grpc-encoding", "snappy").code, Code::Unimplemented);
    }
}
