//! Requests and responses as the API sees them.

use std::time::Duration;

use crate::routes::Role;

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// The key's name.
    pub name: String,
    /// Its role.
    pub role: Role,
}

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Content-Type, without parameters.
    pub content_type: Option<&'a str>,
    /// If-Match.
    pub if_match: Option<&'a str>,
    /// Idempotency-Key.
    pub idempotency_key: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Content-Type.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The response, to be sent now.
    Ready(Response),
    /// A change was committed: the response is to be sent once enough others have the change and, where it restricts,
    /// no controller acts on what was before.
    Committed {
        /// The response.
        response: Response,
        /// The revision of the change.
        revision: u64,
        /// Whether the change takes a right or a share away.
        restricts: bool,
    },
    /// There is nothing new: the request is to be handed in again when the snapshot has changed, and at the latest
    /// after this time.
    Wait(Duration),
}
