//! Requests and answers as the API sees them.

use std::time::Duration;

use crate::routes::Role;

/// Who asks, once the key was proven.
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
    pub kind: Option<&'a str>,
    /// If-Match.
    pub if_match: Option<&'a str>,
    /// Idempotency-Key.
    pub once: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Content-Type.
    pub kind: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: String,
}

/// An answer, or that it is to be asked again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// This.
    Now(Response),
    /// This, once the change of this revision is held and, where it binds, in force as far as is wanted. It was made.
    Changed {
        /// The answer.
        response: Response,
        /// The change.
        revision: u64,
        /// It takes something away: it counts when nobody acts on what was before.
        binds: bool,
    },
    /// Nothing to tell yet: ask again when the book has changed, and answer after this span all the same.
    Later(Duration),
}
