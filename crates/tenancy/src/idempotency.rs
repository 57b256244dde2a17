//! Answers that are given again: a request under a key that came before has the same answer, and happens once.

use serde::{Deserialize, Serialize};

use crate::{Millis, Revision};

/// An answer that is given again to a request that comes again under the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotentResponse {
    /// Of the request: another one under the same key is refused.
    pub fingerprint: u64,
    /// The status of the answer.
    pub status: u16,
    /// The revision that the request made.
    pub revision: Revision,
    /// The answer's body.
    pub body: String,
    /// When.
    pub at_ms: Millis,
}
