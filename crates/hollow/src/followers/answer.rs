//! Answers of an administration, read as far as a hollow follower needs them: a page by its revisions, a book by its
//! stamp, and the lease beside them.

use nettleferry_net::http1_client::Answer;
use nettleferry_tenancy::{Entry, Revision, TenantSnapshot};
use serde::Deserialize;

/// A lease, as an answer tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Lease {
    /// Its span, milliseconds; `None`: the answer gives none.
    #[serde(default)]
    pub lease_ms: Option<u64>,
}

/// A change of a page: which, and when it was made by the administration's wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// Its revision.
    pub revision: Revision,
    /// When it was made, milliseconds since 1970.
    pub at_ms: u64,
}

/// A page of changes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// The changes, in order.
    pub entries: Vec<Change>,
    /// The lease beside them.
    #[serde(flatten)]
    pub lease: Lease,
}

/// Which book it is, without its tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct SnapshotRevision {
    /// The last change.
    pub revision: Revision,
}

/// A snapshot, by its stamp.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Snapshot {
    /// The store.
    pub store: String,
    /// Its epoch.
    pub epoch: u64,
    /// The book's checksum.
    #[serde(rename = "sum")]
    pub checksum: u32,
    /// The book.
    #[serde(rename = "book")]
    pub tenants: SnapshotRevision,
    /// The lease beside it.
    #[serde(flatten)]
    pub lease: Lease,
}

/// The changes of a page, whole.
#[derive(Deserialize)]
struct Entries {
    entries: Vec<Entry>,
}

/// The book of a snapshot, whole.
#[derive(Deserialize)]
struct WholeBook {
    book: TenantSnapshot,
}

/// The changes of a page, to be applied to a book.
pub fn entries(answer: &Answer) -> Option<Vec<Entry>> {
    serde_json::from_slice::<Entries>(&answer.body).ok().map(|page| page.entries)
}

/// The book of a snapshot.
pub fn tenant_snapshot(answer: &Answer) -> Option<TenantSnapshot> {
    serde_json::from_slice::<WholeBook>(&answer.body).ok().map(|whole| whole.book)
}

/// Was this life shut out?
pub fn is_fenced(answer: &Answer) -> bool {
    #[derive(Deserialize)]
    struct Problem {
        #[serde(rename = "type")]
        kind: String,
    }
    let problem = || serde_json::from_slice::<Problem>(&answer.body);
    answer.status == 403 && problem().is_ok_and(|problem| problem.kind == "/problems/fenced")
}
