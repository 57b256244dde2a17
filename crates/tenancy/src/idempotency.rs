//! Responses that are repeated: a request with an idempotency key that was used before gets the same response, and
//! takes effect once. Keeping and bounding them is left to the store.

use serde::{Deserialize, Serialize};

use crate::{Millis, Revision};

/// The response to a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotentResponse {
    /// Identifies the request's body: another body under the same key is rejected.
    pub fingerprint: u64,
    /// The response's HTTP status.
    pub status: u16,
    /// The revision that the request made.
    pub revision: Revision,
    /// The response's body.
    pub body: String,
    /// When the request was accepted.
    pub at_ms: Millis,
}
