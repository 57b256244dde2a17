//! The context in which an operation is executed, and the checks of request bodies.

use nettleferry_tenancy::Millis;
use serde_json::Value;

use crate::message::{Caller, Request};
use crate::problem::Problem;
use crate::routes::Route;

use super::query::Query;

/// A request that has been matched to a route and whose caller is authorized for it.
pub(super) struct Invocation<'a> {
    pub(super) route: &'a Route,
    /// The part of the path that stands for `{name}`; empty if the route has none.
    pub(super) name: &'a str,
    pub(super) query: Query,
    pub(super) request: &'a Request<'a>,
    pub(super) caller: &'a Caller,
    pub(super) now: Millis,
}

/// Rejects a request whose content type is not one of the accepted ones.
pub(super) fn expect_content_type(request: &Request<'_>, accepted: &[&str]) -> Result<(), Problem> {
    if request.content_type.is_some_and(|content_type| accepted.contains(&content_type)) {
        return Ok(());
    }
    let actual = request.content_type.unwrap_or("missing");
    let detail = format!("Content-Type must be {}, but is {actual}", accepted.join(" or "));
    Err(Problem { field: Some("Content-Type".to_owned()), ..Problem::new(415, "media-type", detail) })
}

/// Parses a body as JSON.
pub(super) fn json_body(body: &[u8]) -> Result<Value, Problem> {
    serde_json::from_slice(body).map_err(|error| Problem {
        status: 400,
        ..Problem::field("the body", format!("is not valid JSON: {error}"))
    })
}
