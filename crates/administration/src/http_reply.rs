//! Responses of the API as replies of the HTTP/1.1 server.

use nettleferry_admin::{Problem, Response};
use nettleferry_net::http1::Reply;
use serde_json::Value;

/// A response of the API.
pub(crate) fn reply(response: Response) -> Reply {
    let Response { status, content_type: kind, headers, body } = response;
    Reply { status, content_type: kind, headers, body: body.into_bytes(), cut: None }
}

/// A problem of the API.
pub(crate) fn problem_reply(problem: &Problem) -> Reply {
    reply(problem.response())
}

/// A JSON value.
pub(crate) fn json_reply(status: u16, body: &Value) -> Reply {
    Reply {
        status,
        content_type: "application/json",
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
        cut: None,
    }
}
