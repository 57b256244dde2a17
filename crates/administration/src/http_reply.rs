//! Conversions from API responses to replies of the HTTP/1.1 server.

use nettleferry_admin::{Problem, Response};
use nettleferry_net::http1::Reply;
use serde_json::Value;

/// Converts a response of the API.
pub(crate) fn reply(response: Response) -> Reply {
    let Response { status, content_type, headers, body } = response;
    Reply { status, content_type, headers, body: body.into_bytes(), cut: None }
}

/// Converts a problem of the API to its error response.
pub(crate) fn problem_reply(problem: &Problem) -> Reply {
    reply(problem.response())
}

/// Builds a reply with a JSON body.
pub(crate) fn json_reply(status: u16, body: &Value) -> Reply {
    Reply {
        status,
        content_type: "application/json",
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
        cut: None,
    }
}
