//! The leader's responses to a follower's requests, and what they mean.

use nettleferry_net::http1_client::Answer;
use nettleferry_tenancy::Entry;
use nettleferry_tenancy::replication::{ReplicationRequest, ReplicationResponse};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tracing::warn;

use crate::messages::LoanGrant;
use crate::snapshot_document::SnapshotDocument;

/// The problem type of a response to a fenced incarnation.
const FENCED_PROBLEM: &str = "/problems/fenced";

/// A lease, as a response grants it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(super) struct Lease {
    /// Its span in milliseconds; `None`: the leader grants no leases.
    #[serde(default, rename = "lease_ms")]
    pub(super) span_ms: Option<u64>,
    /// The incarnation's fencing token; `None`: the leader gives none.
    #[serde(default, rename = "place")]
    pub(super) fencing_token: Option<u64>,
}

/// A reading of the leader's clock.
#[derive(Clone, Copy, Deserialize)]
pub(super) struct LeaderClock {
    /// The leader's incarnation.
    #[serde(rename = "by")]
    pub(super) incarnation: u64,
    pub(super) at_ms: u64,
    /// How long the leader held the request, by its own clock.
    #[serde(default)]
    pub(super) held_ms: u64,
}

/// Changes after a revision.
#[derive(Deserialize)]
struct ChangePage {
    entries: Vec<Entry>,
    #[serde(flatten)]
    lease: Lease,
}

/// What may come with a snapshot or a page.
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

/// What a response to a request for a snapshot or for changes means.
pub(super) enum Meaning {
    /// Changes.
    Changes(Vec<Entry>, Lease),
    /// A snapshot.
    Snapshot(SnapshotDocument, Lease),
    /// Neither.
    Other(ReplicationResponse),
}

/// What a response means for the request that it answers.
pub(super) fn interpret(request: &ReplicationRequest, response: &Answer) -> Meaning {
    match (response.status, request) {
        (200, ReplicationRequest::Snapshot) => {
            let lease = attachments(response).map(|attachments| attachments.lease).unwrap_or_default();
            read(response).map_or_else(failed, |document| Meaning::Snapshot(document, lease))
        }
        (200, ReplicationRequest::Watch { .. }) => read::<ChangePage>(response)
            .map_or_else(failed, |page| Meaning::Changes(page.entries, page.lease)),
        (409 | 410, _) => Meaning::Other(ReplicationResponse::Diverged),
        _ => failed(),
    }
}

/// The reading of the leader's clock that came with a response.
pub(super) fn leader_clock(response: &Answer) -> Option<LeaderClock> {
    attachments(response)?.clock
}

/// Whether the leader says that this incarnation is fenced.
pub(super) fn is_fenced(response: &Answer) -> bool {
    let problem = || serde_json::from_slice::<ProblemType>(&response.body);
    response.status == 403 && problem().is_ok_and(|problem| problem.kind == FENCED_PROBLEM)
}

fn attachments(response: &Answer) -> Option<Attachments> {
    serde_json::from_slice(&response.body).ok()
}

/// A body that this version of the program cannot read is not half taken: the follower stays on what it has.
fn read<T: DeserializeOwned>(response: &Answer) -> Option<T> {
    serde_json::from_slice(&response.body)
        .inspect_err(|error| {
            warn!(%error, "leader's response can't be read; is it of a newer version of the program?");
        })
        .ok()
}

fn failed() -> Meaning {
    Meaning::Other(ReplicationResponse::Failed)
}

#[cfg(test)]
mod tests;
