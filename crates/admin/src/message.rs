//! Requests and responses of the API.

use std::time::Duration;

use crate::routes::Role;

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The name of the API key.
    pub name: String,
    /// The role that the key grants.
    pub role: Role,
}

/// An HTTP request, with the headers that the API uses.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// The HTTP method, such as `GET`.
    pub method: &'a str,
    /// The path, followed by `?` and the query if there is one.
    pub target: &'a str,
    /// The Content-Type header, without parameters.
    pub content_type: Option<&'a str>,
    /// The value of the If-Match header.
    pub if_match: Option<&'a str>,
    /// The value of the Idempotency-Key header.
    pub idempotency_key: Option<&'a str>,
    /// The body; empty for a request without one.
    pub body: &'a [u8],
}

/// An HTTP response of the API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the Content-Type header.
    pub content_type: &'static str,
    /// All other headers, as names and values.
    pub headers: Vec<(&'static str, String)>,
    /// The body, as JSON.
    pub body: String,
}

/// The result of handling a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request is complete: the response is to be sent now.
    Ready(Response),
    /// A change was committed. The response is to be sent once enough other controllers have persisted the change and,
    /// if the change is restrictive, once no controller acts on the state before it.
    Committed {
        /// The response to be sent.
        response: Response,
        /// The revision of the change.
        revision: u64,
        /// Whether the change withdraws a right or a share from a tenant.
        restricts: bool,
    },
    /// The request is a long poll and there are no changes to return yet. It is to be handled again when the snapshot
    /// has changed, or when this time has passed since its arrival.
    Wait(Duration),
}
