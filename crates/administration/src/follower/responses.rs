//! Decodes the leader's responses to a follower's requests.

use nettleferry_net::http1_client::Answer;
use nettleferry_tenancy::Entry;
use nettleferry_tenancy::replication::{ReplicationRequest, ReplicationResponse};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::messages::LoanGrant;
use crate::snapshot_document::SnapshotDocument;

/// The problem type with which the leader rejects a request of a fenced incarnation.
const FENCED_PROBLEM: &str = "/problems/fenced";

/// The lease that a response grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(super) struct Lease {
    /// The span in milliseconds; `None` if the leader grants no leases.
    #[serde(default, rename = "lease_ms")]
    pub(super) span_ms: Option<u64>,
    /// The incarnation's fencing token; `None` if the response contains none.
    #[serde(default, rename = "place")]
    pub(super) fencing_token: Option<u64>,
}

/// A reading of the leader's clock, as a response contains it.
#[derive(Clone, Copy, Deserialize)]
pub(super) struct LeaderClock {
    /// The incarnation of the leader; its clock starts at zero with each incarnation.
    #[serde(rename = "by")]
    pub(super) incarnation: u64,
    pub(super) at_ms: u64,
    /// Time for which the leader held the request before it responded, in milliseconds of its own clock.
    #[serde(default)]
    pub(super) held_ms: u64,
}

/// The response to a watch request: changes after a revision.
#[derive(Deserialize)]
struct ChangePage {
    entries: Vec<Entry>,
    #[serde(flatten)]
    lease: Lease,
}

/// Optional fields of a snapshot or a page of changes.
#[derive(Deserialize)]
struct Attachments {
    #[serde(flatten)]
    lease: Lease,
    #[serde(default)]
    clock: Option<LeaderClock>,
}

/// The response to a report of demands.
#[derive(Deserialize)]
pub(super) struct GrantedLoans {
    pub(super) span_ms: u64,
    pub(super) loans: Vec<LoanGrant>,
}

/// The response to a delivery of audit entries.
#[derive(Deserialize)]
pub(super) struct DeliveredEntries {
    /// The number of the last entry that the leader has.
    #[serde(rename = "last")]
    pub(super) last_number: u64,
}

#[derive(Deserialize)]
struct ProblemType {
    #[serde(rename = "type")]
    kind: String,
}

/// A decoded response to a request for a snapshot or for changes.
pub(super) enum DecodedResponse {
    /// A page of changes with the lease on them. The page may be empty.
    Changes(Vec<Entry>, Lease),
    /// A snapshot with the lease on it.
    Snapshot(SnapshotDocument, Lease),
    /// A response without data: the request failed, or the follower's snapshot has diverged from the leader's.
    Other(ReplicationResponse),
}

/// Decodes the response to a request for a snapshot or for changes.
pub(super) fn decode(request: &ReplicationRequest, response: &Answer) -> DecodedResponse {
    match (response.status, request) {
        (200, ReplicationRequest::Snapshot) => {
            let lease = attachments(response).map(|attachments| attachments.lease).unwrap_or_default();
            read(response).map_or_else(failed, |document| DecodedResponse::Snapshot(document, lease))
        }
        (200, ReplicationRequest::Watch { .. }) => read::<ChangePage>(response)
            .map_or_else(failed, |page| DecodedResponse::Changes(page.entries, page.lease)),
        (409 | 410, _) => DecodedResponse::Other(ReplicationResponse::Diverged),
        _ => failed(),
    }
}

/// The reading of the leader's clock in a response; `None` if the response contains none.
pub(super) fn leader_clock(response: &Answer) -> Option<LeaderClock> {
    attachments(response)?.clock
}

/// Whether the leader has rejected the request because this incarnation is fenced.
pub(super) fn is_fenced(response: &Answer) -> bool {
    let problem = || serde_json::from_slice::<ProblemType>(&response.body);
    response.status == 403 && problem().is_ok_and(|problem| problem.kind == FENCED_PROBLEM)
}

fn attachments(response: &Answer) -> Option<Attachments> {
    serde_json::from_slice(&response.body).ok()
}

/// Decodes the whole body. A body that this version of the program cannot decode is discarded as a whole, so that the
/// follower keeps its state instead of applying a part of the response.
fn read<T: DeserializeOwned>(response: &Answer) -> Option<T> {
    serde_json::from_slice(&response.body)
        .inspect_err(|error| {
            warn!(%error, "leader's response can't be decoded; the leader may run a newer version of the program");
        })
        .ok()
}

fn failed() -> DecodedResponse {
    DecodedResponse::Other(ReplicationResponse::Failed)
}

#[cfg(test)]
mod tests;
