//! Responses and problems that the operations share.

use std::fmt::Display;

use nettleferry_tenancy::Tenant;
use serde::Serialize;

use crate::message::{Answer, Response};
use crate::problem::Problem;

use super::ports::Runtime;

/// Content type of responses and of most bodies.
pub(super) const JSON: &str = "application/json";
/// Content type of a merge patch (RFC 7396).
pub(super) const MERGE_PATCH: &str = "application/merge-patch+json";
/// Seconds after which a client may retry while the fleet has not agreed on a snapshot.
const RECOVERY_RETRY_SECONDS: u64 = 1;

/// A response, or the problem that is sent in its place.
pub(super) type ApiResult = Result<Response, Problem>;

/// A response with a JSON body.
pub(super) fn json_response(status: u16, body: &impl Serialize) -> ApiResult {
    let body = serde_json::to_string(body).map_err(internal)?;
    Ok(Response { status, content_type: JSON, headers: Vec::new(), body })
}

/// A response with a JSON body, to be sent now.
pub(super) fn ready_json(status: u16, body: &impl Serialize) -> Result<Answer, Problem> {
    json_response(status, body).map(Answer::Ready)
}

/// A response with a tenant and its ETag, to be sent now.
pub(super) fn ready_tenant(status: u16, of: &Tenant) -> Result<Answer, Problem> {
    tenant_response(status, of).map(Answer::Ready)
}

/// A response with a tenant and its ETag.
pub(super) fn tenant_response(status: u16, tenant: &Tenant) -> ApiResult {
    let mut response = json_response(status, tenant)?;
    response.headers.push(("ETag", format!("\"{}\"", tenant.revision)));
    Ok(response)
}

/// The response to a method that the path does not support.
pub(super) fn method_not_allowed(methods: &[&'static str]) -> Response {
    let detail = format!("{} is answered here", methods.join(", "));
    let mut response = Problem::new(405, "method-not-allowed", detail).response();
    response.headers.push(("Allow", methods.join(", ")));
    response
}

/// A fault on this side, with its cause.
pub(super) fn internal(cause: impl Display) -> Problem {
    Problem::new(500, "internal", cause.to_string())
}

/// A problem while the fleet has not agreed on a snapshot: none is given, and none is changed.
pub(super) fn serving(runtime: &impl Runtime) -> Result<(), Problem> {
    runtime.check_serving().map_err(|pending| Problem {
        retry_after: Some(RECOVERY_RETRY_SECONDS),
        ..Problem::new(503, "recovering", pending.to_string())
    })
}

/// The cursor of the next page: the key of the last row, where the page is full.
pub(super) fn next<T, N>(page: &[T], rows: usize, key: impl Fn(&T) -> N) -> Option<N> {
    (page.len() == rows).then(|| page.last().map(key)).flatten()
}
