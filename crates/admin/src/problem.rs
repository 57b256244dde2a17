//! Error responses as problem details (RFC 9457).

use nettleferry_tenancy::Denied;
use serde_json::{Value, json};

use crate::message::Response;

/// The content type of problem details.
pub const PROBLEM_JSON: &str = "application/problem+json";

/// An error response. Programs can rely on `kind`, `status` and `field`; `detail` is meant for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The HTTP status code.
    pub status: u16,
    /// The kind of the problem. The `type` member of the response is `/problems/` followed by the kind.
    pub kind: &'static str,
    /// A description of the error and of how the request can be corrected.
    pub detail: String,
    /// The invalid field, header or parameter, if the problem is about one.
    pub field: Option<String>,
    /// Seconds after which a retry may succeed, sent as `Retry-After`.
    pub retry_after: Option<u64>,
}

impl Problem {
    /// Creates a problem that is not about a field and has no retry time.
    pub fn new(status: u16, kind: &'static str, detail: impl Into<String>) -> Self {
        Self { status, kind, detail: detail.into(), field: None, retry_after: None }
    }

    /// Creates a problem about an invalid field, with status 422.
    pub fn field(field: impl Into<String>, detail: impl Into<String>) -> Self {
        Self { field: Some(field.into()), ..Self::new(422, "unsound", detail) }
    }

    /// Encodes the problem as a response.
    pub fn response(&self) -> Response {
        let mut body = json!({
            "type": format!("/problems/{}", self.kind),
            "title": self.kind.replace('-', " "),
            "status": self.status,
            "detail": self.detail,
        });
        if let (Some(field), Value::Object(body)) = (&self.field, &mut body) {
            body.insert("field".to_owned(), json!(field));
        }
        let mut headers = Vec::new();
        if self.status == 401 {
            headers.push(("WWW-Authenticate", "Bearer realm=\"nettleferry\"".to_owned()));
        }
        if let Some(seconds) = self.retry_after {
            headers.push(("Retry-After", seconds.to_string()));
        }
        Response { status: self.status, content_type: PROBLEM_JSON, headers, body: body.to_string() }
    }
}

impl From<Denied> for Problem {
    fn from(denied: Denied) -> Self {
        let detail = denied.to_string();
        match denied {
            Denied::Unknown(_) => Self::new(404, "unknown-tenant", detail),
            Denied::Exists(_) => Self::new(409, "tenant-exists", detail),
            Denied::Stale { .. } => Self::new(412, "stale", detail),
            Denied::Removing(_) => Self::new(409, "being-removed", detail),
            Denied::Invalid(fault) => Self::field(fault.field, detail),
            Denied::Full(_) => Self::new(507, "too-many-tenants", detail),
        }
    }
}
