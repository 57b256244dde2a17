//! Stored responses to requests with an idempotency key. A request that repeats a key gets the stored response and has
//! no further effect. The tenant store persists the responses and bounds their number.

use serde::{Deserialize, Serialize};

use crate::{Millis, Revision};

/// The response to a request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotentResponse {
    /// Hash of the request's body. A request with the same key and another fingerprint is rejected.
    pub fingerprint: u64,
    /// HTTP status of the response.
    pub status: u16,
    /// Revision of the tenant snapshot after the request.
    pub revision: Revision,
    /// Body of the response.
    pub body: String,
    /// Time at which the request was accepted, by the leader's wall clock.
    pub at_ms: Millis,
}
