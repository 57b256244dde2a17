//! A request on its way to an operation, with what the operations read of it.

use nettleferry_tenancy::Millis;
use serde_json::Value;

use crate::message::{Caller, Request};
use crate::problem::Problem;
use crate::routes::Route;

use super::query::Query;

/// A request whose route was found and whose caller is authorized.
pub(super) struct Invocation<'a> {
    pub(super) route: &'a Route,
    /// The name in its path, where it has one.
    pub(super) name: &'a str,
    pub(super) query: Query,
    pub(super) request: &'a Request<'a>,
    pub(super) caller: &'a Caller,
    pub(super) now: Millis,
}

/// Checks that the body has one of these content types.
pub(super) fn expect_content_type(request: &Request<'_>, accepted: &[&str]) -> Result<(), Problem> {
    if request.content_type.is_some_and(|given| accepted.contains(&given)) {
        return Ok(());
    }
    let detail = format!("Content-Type is to be {}", accepted.join(" or "));
    Err(Problem { field: Some("Content-Type".to_owned()), ..Problem::new(415, "media-type", detail) })
}

/// Parses the body.
pub(super) fn json_body(body: &[u8]) -> Result<Value, Problem> {
    serde_json::from_slice(body)
        .map_err(|e| Problem { status: 400, ..Problem::field("the body", format!("no JSON: {e}")) })
}
