//! An entry of the audit log: one JSON text. The field `prev` is the hash of the previous text, so that a lost or
//! altered entry is detected at the next one. The names in the JSON are those of earlier versions, whose logs are still
//! read.

use std::collections::BTreeMap;

use blake2::digest::consts::U16;
use blake2::{Blake2s, Digest};
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::view::View;

/// A hash in the form in which entries contain it: 32 hexadecimal digits.
pub type Hash = String;

/// The value of [`Entry::prev`] in the first entry of a log.
pub const GENESIS_HASH: &str = "00000000000000000000000000000000";

/// Computes the hash of an entry's text: BLAKE2s with an output of 16 bytes.
pub fn hash(text: &str) -> Hash {
    let mut hasher = Blake2s::<U16>::new();
    hasher.update(text.as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The sequence number, from 1; it continues over all incarnations that write to the same folder.
    #[serde(rename = "n")]
    pub number: u64,
    /// The random identifier of the incarnation that wrote the entry; see [`EntryKind::Started`].
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The start of the interval that the entry covers, on the clock of that incarnation.
    pub from: Millis,
    /// The end of that interval; equal to `from` for a single event.
    pub to: Millis,
    /// The hash of the previous entry's text; [`GENESIS_HASH`] in the first entry.
    pub prev: Hash,
    /// The content, which depends on the kind of entry.
    #[serde(flatten)]
    pub kind: EntryKind,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EntryKind {
    /// The incarnation started. This is the first entry of each incarnation.
    #[serde(rename = "began")]
    Started {
        /// The number of the controller.
        controller: u32,
        /// The version of the program.
        program: String,
    },
    /// The controller applied a new view, on which all following acts depend.
    View {
        /// The number of the view in this incarnation, from 1.
        view: u32,
        /// The versions that make up the view.
        parts: View,
    },
    /// Counts of the acts in an interval. They were all done under the same view and at the same stage of the lease.
    #[serde(rename = "did")]
    Activity {
        /// The number of the view; 0 if none was applied yet.
        view: u32,
        /// The stage of the lease, such as `current`.
        stage: String,
        /// Accepted calls by tenant.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        calls: BTreeMap<String, u64>,
        /// Sent attempts by worker.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        attempts: BTreeMap<String, u64>,
        /// Sent load orders by worker.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        orders: BTreeMap<String, u64>,
        /// Calls rejected because the controller had no lease.
        #[serde(rename = "refused", default, skip_serializing_if = "is_zero")]
        rejected: u64,
    },
    /// A single event that is recorded individually because it is rare or explains a finding.
    #[serde(rename = "one")]
    Event {
        /// The number of the view; 0 if none was applied yet.
        view: u32,
        /// The event that happened.
        #[serde(rename = "act")]
        event: Event,
    },
    /// A request to the leader and its response, from which the difference between the two clocks is bounded. The
    /// request was sent at the entry's `from`, the response was received at its `to`.
    #[serde(rename = "heard")]
    ClockExchange {
        /// The identifier of the leader's incarnation.
        #[serde(rename = "by")]
        leader: u64,
        /// A reading of the leader's clock between request and response.
        #[serde(rename = "at")]
        leader_time: Millis,
    },
    /// Entries before this one were dropped.
    Gap {
        /// The number of dropped entries.
        #[serde(rename = "lines")]
        entries: u64,
        /// Why they were dropped.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The leader accepted a change of a tenant.
    Accepted {
        /// The epoch of the tenant store.
        epoch: u64,
        /// The number of the change, which is the revision of the version that it leads to.
        revision: u64,
        /// The name of the changed tenant.
        tenant: String,
        /// The kind of change, such as `suspend` or `remove`.
        action: String,
        /// Whether the change restricts the tenant: a suspension, a removal, a withdrawn right or a lowered limit.
        #[serde(rename = "binds")]
        restricts: bool,
    },
    /// The leader confirmed to a client of the API that a change is in force on all controllers.
    #[serde(rename = "everywhere")]
    InForce {
        /// The epoch of the tenant store.
        epoch: u64,
        /// The number of the change, which is the revision of the version that it leads to.
        revision: u64,
    },
}

/// An event that is recorded individually.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum Event {
    /// The controller applied a new state of a tenant.
    Tenant {
        /// The name of the tenant.
        tenant: String,
        /// The new state: `active`, `suspended`, `removing`, or `gone` if the tenant was deleted.
        state: String,
    },
    /// An operator started or ended the drain of a worker.
    Drained {
        /// The name of the worker.
        worker: String,
        /// Whether the drain started; false if it ended.
        drained: bool,
    },
    /// The stage of the controller's lease changed.
    #[serde(rename = "stage")]
    LeaseStageChanged {
        /// The new stage of the lease, such as `current`.
        stage: String,
    },
    /// Calls were accepted although the lease expired in the meantime, because the process was paused.
    #[serde(rename = "doubtful")]
    LeaseExpiredDuringPause {
        /// The length of the pause, milliseconds.
        #[serde(rename = "stood_ms")]
        stalled_ms: Millis,
    },
    /// The incarnation was fenced: it accepts no calls any more.
    Fenced,
}

/// Whether a count is zero. Takes a reference because serde's `skip_serializing_if` passes one.
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Entry {
    /// Serializes the entry to the text that is stored and hashed.
    pub fn to_json(&self) -> String {
        // Serialization can't fail: the only maps have strings as keys.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses an entry from its text.
    ///
    /// # Errors
    /// If the text is not the JSON of an entry.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
