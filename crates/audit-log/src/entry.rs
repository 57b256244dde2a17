//! An entry of the audit log: one JSON text. Its `prev` is the hash of the text before it, so that the next entry
//! shows whether one was lost or altered. The spelling of the JSON is that of earlier versions.

use std::collections::BTreeMap;

use blake2::digest::consts::U16;
use blake2::{Blake2s, Digest};
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::view::View;

/// A hash as it is written in an entry: hexadecimal digits.
pub type Hash = String;

/// The hash before the first entry.
pub const GENESIS_HASH: &str = "00000000000000000000000000000000";

/// The hash of an entry's text: BLAKE2s, 16 bytes.
pub fn hash(text: &str) -> Hash {
    let mut hasher = Blake2s::<U16>::new();
    hasher.update(text.as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// One more than the entry before, over all incarnations that wrote to this disk.
    #[serde(rename = "n")]
    pub number: u64,
    /// The random number of the incarnation that wrote it; see [`EntryKind::Started`].
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// When what it states began, by the clock of that incarnation.
    pub from: Millis,
    /// When what it states ended.
    pub to: Millis,
    /// The hash of the entry before.
    pub prev: Hash,
    /// What it states.
    #[serde(flatten)]
    pub kind: EntryKind,
}

/// What an entry states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EntryKind {
    /// An incarnation started.
    #[serde(rename = "began")]
    Started {
        /// The controller's number.
        controller: u32,
        /// The program's version.
        program: String,
    },
    /// The controller acts on this view from now on.
    View {
        /// Its number in this incarnation.
        view: u32,
        /// Its parts.
        parts: View,
    },
    /// How many acts of each kind there were, all under one view and at one stage of the lease.
    #[serde(rename = "did")]
    Activity {
        /// The number of the view.
        view: u32,
        /// The stage of the lease.
        stage: String,
        /// Calls accepted, by tenant.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        calls: BTreeMap<String, u64>,
        /// Attempts sent, by worker.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        attempts: BTreeMap<String, u64>,
        /// Load orders sent, by worker.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        orders: BTreeMap<String, u64>,
        /// Calls rejected for want of a lease.
        #[serde(default, skip_serializing_if = "is_zero")]
        refused: u64,
    },
    /// An act that is rare or may be disputed.
    #[serde(rename = "one")]
    Event {
        /// The number of the view.
        view: u32,
        /// The act.
        #[serde(rename = "act")]
        event: Event,
    },
    /// An exchange with the leader: between `from`, when the request was sent, and `to`, when the response had come,
    /// its clock read `leader_time`.
    #[serde(rename = "heard")]
    ClockExchange {
        /// The leader's incarnation.
        #[serde(rename = "by")]
        leader: u64,
        /// What its clock read.
        #[serde(rename = "at")]
        leader_time: Millis,
    },
    /// Entries are missing here.
    Gap {
        /// How many.
        lines: u64,
        /// Why.
        why: String,
    },
    /// The leader accepted a change.
    Accepted {
        /// The store's epoch.
        epoch: u64,
        /// The number of the change.
        revision: u64,
        /// The tenant that was changed.
        tenant: String,
        /// What was done to it.
        action: String,
        /// It takes something away.
        #[serde(rename = "binds")]
        restricts: bool,
    },
    /// The leader acknowledged that a change is in force everywhere.
    #[serde(rename = "everywhere")]
    InForce {
        /// The store's epoch.
        epoch: u64,
        /// The number of the change.
        revision: u64,
    },
}

/// An act that is rare or may be disputed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum Event {
    /// This controller acts on another state of a tenant from now on.
    Tenant {
        /// The tenant.
        tenant: String,
        /// Its state: active, suspended, removing, gone.
        state: String,
    },
    /// An operator drained a worker, or ended that.
    Drained {
        /// The worker.
        worker: String,
        /// True: it is drained.
        drained: bool,
    },
    /// The stage of the controller's lease changed.
    #[serde(rename = "stage")]
    LeaseStageChanged {
        /// The stage.
        stage: String,
    },
    /// Calls were accepted while the lease ended, as the process stood still.
    #[serde(rename = "doubtful")]
    LeaseExpiredDuringPause {
        /// For how long it stood still, milliseconds.
        #[serde(rename = "stood_ms")]
        stalled_ms: Millis,
    },
    /// This incarnation was fenced.
    Fenced,
}

/// By reference, as serde calls it.
fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl Entry {
    /// Its text, as it is written and hashed.
    pub fn to_json(&self) -> String {
        // Every part of an entry can be written as JSON: its maps have strings for keys.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads an entry from its text.
    ///
    /// # Errors
    /// Where the text is no entry.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
