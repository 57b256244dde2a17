//! Builds the headers of gRPC responses.

use http::{HeaderValue, Response, StatusCode};
use nettleferry_net::{Hub, StreamKey};

use super::failure::Failure;

/// The headers of a response that carries messages.
pub(super) fn grpc_head() -> Response<()> {
    let mut head = Response::new(());
    head.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    head.headers_mut().insert("grpc-accept-encoding", HeaderValue::from_static("identity,gzip"));
    head
}

/// Ends an RPC with a failure and without messages (a Trailers-Only response in gRPC).
pub(super) fn respond_only(hub: &mut Hub, stream: StreamKey, failure: &Failure) {
    let mut head = grpc_head();
    head.headers_mut().extend(failure.trailers());
    *head.status_mut() = StatusCode::OK;
    hub.respond_only(stream, head);
}
