//! Constructors of responses and problems that several operations use.

use std::fmt::Display;

use nettleferry_tenancy::Tenant;
use serde::Serialize;

use crate::message::{Outcome, Response};
use crate::problem::Problem;

use super::ports::Runtime;

/// The content type of responses and of most request bodies.
pub(super) const JSON: &str = "application/json";
/// The content type of a merge patch (RFC 7396).
pub(super) const MERGE_PATCH: &str = "application/merge-patch+json";
/// The `Retry-After` of responses while the fleet has not agreed on a snapshot.
const RECOVERY_RETRY_SECONDS: u64 = 1;

/// A response, or the problem that is sent instead.
pub(super) type ApiResult = Result<Response, Problem>;

/// A response with a JSON body.
pub(super) fn json_response(status: u16, body: &impl Serialize) -> ApiResult {
    let body = serde_json::to_string(body).map_err(internal)?;
    Ok(Response { status, content_type: JSON, headers: Vec::new(), body })
}

/// The outcome of an operation that responds at once with a JSON body.
pub(super) fn ready_json(status: u16, body: &impl Serialize) -> Result<Outcome, Problem> {
    json_response(status, body).map(Outcome::Ready)
}

/// The outcome of an operation that responds at once with a tenant and its ETag.
pub(super) fn ready_tenant(status: u16, tenant: &Tenant) -> Result<Outcome, Problem> {
    tenant_response(status, tenant).map(Outcome::Ready)
}

/// A response with a tenant and its ETag.
pub(super) fn tenant_response(status: u16, tenant: &Tenant) -> ApiResult {
    let mut response = json_response(status, tenant)?;
    response.headers.push(("ETag", format!("\"{}\"", tenant.revision)));
    Ok(response)
}

/// The response to a method that the path does not support.
pub(super) fn method_not_allowed(methods: &[&'static str]) -> Response {
    let detail = format!("this path supports only {}", methods.join(", "));
    let mut response = Problem::new(405, "method-not-allowed", detail).response();
    response.headers.push(("Allow", methods.join(", ")));
    response
}

/// An internal error (status 500), with its cause.
pub(super) fn internal(cause: impl Display) -> Problem {
    Problem::new(500, "internal", cause.to_string())
}

/// Fails while the fleet has not agreed on a snapshot, as no snapshot may be returned or changed until then.
pub(super) fn check_serving(runtime: &impl Runtime) -> Result<(), Problem> {
    runtime.check_serving().map_err(|pending| Problem {
        retry_after: Some(RECOVERY_RETRY_SECONDS),
        ..Problem::new(503, "recovering", pending.to_string())
    })
}

/// The cursor of the next page, which is the key of the last row. `None` if the page is not full and hence the last.
pub(super) fn next_cursor<T, N>(page: &[T], rows: usize, key: impl Fn(&T) -> N) -> Option<N> {
    (page.len() == rows).then(|| page.last().map(key)).flatten()
}
