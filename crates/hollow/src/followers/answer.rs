//! Responses of the administration, parsed as far as a hollow follower needs them: the revisions of a page, the version
//! of a snapshot, and the lease that accompanies either.

use nettleferry_net::http1_client::Answer;
use nettleferry_tenancy::{Entry, Revision, TenantSnapshot};
use serde::Deserialize;

/// The lease that a response grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Lease {
    /// Span of the lease in milliseconds; `None` if the response grants none.
    #[serde(default)]
    pub lease_ms: Option<u64>,
}

/// Revision and time of a change; the other fields of the entry are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Revision that the change creates.
    pub revision: Revision,
    /// Time of the change by the administration's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A page of changes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// Changes in order of their revisions.
    pub entries: Vec<Change>,
    /// Lease that accompanies the page.
    #[serde(flatten)]
    pub lease: Lease,
}

/// The revision of a tenant snapshot; its tenants are skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct SnapshotRevision {
    /// Revision of the last change that the snapshot includes.
    pub revision: Revision,
}

/// The version of a snapshot; its tenants are skipped.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Snapshot {
    /// Id of the administration's store.
    pub store: String,
    /// Epoch of the store.
    pub epoch: u64,
    /// Checksum of the tenant snapshot.
    #[serde(rename = "sum")]
    pub checksum: u32,
    /// Revision of the tenant snapshot.
    #[serde(rename = "book")]
    pub tenants: SnapshotRevision,
    /// Lease that accompanies the snapshot.
    #[serde(flatten)]
    pub lease: Lease,
}

/// A page with all fields of its entries.
#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
}

/// A snapshot with its tenants.
#[derive(Deserialize)]
struct CompleteSnapshot {
    #[serde(rename = "book")]
    tenants: TenantSnapshot,
}

/// Parses all fields of the entries of a page; `None` if the body is malformed.
pub fn entries(answer: &Answer) -> Option<Vec<Entry>> {
    serde_json::from_slice::<Entries>(&answer.body).ok().map(|page| page.entries)
}

/// Parses all tenants of a snapshot; `None` if the body is malformed.
pub fn tenant_snapshot(answer: &Answer) -> Option<TenantSnapshot> {
    serde_json::from_slice::<CompleteSnapshot>(&answer.body).ok().map(|snapshot| snapshot.tenants)
}

/// Returns whether the administration rejected the request because this incarnation is fenced.
pub fn is_fenced(answer: &Answer) -> bool {
    #[derive(Deserialize)]
    struct Problem {
        #[serde(rename = "type")]
        kind: String,
    }
    let problem = || serde_json::from_slice::<Problem>(&answer.body);
    answer.status == 403 && problem().is_ok_and(|problem| problem.kind == "/problems/fenced")
}
