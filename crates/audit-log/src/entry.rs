//! A line of the record: one JSON text. Its `prev` is the hash of the text before it, so that a line that was lost or
//! altered is found by the next one.

use std::collections::BTreeMap;

use blake2::digest::consts::U16;
use blake2::{Blake2s, Digest};
use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::view::View;

/// A hash, as it stands in a line.
pub type Hash = String;

/// The hash before the first line.
pub const GENESIS_HASH: &str = "00000000000000000000000000000000";

/// The hash of a line's text: BLAKE2s, 16 bytes, in hexadecimal digits.
pub fn hash(text: &str) -> Hash {
    let mut hasher = Blake2s::<U16>::new();
    hasher.update(text.as_bytes());
    hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number: one more than the line before, over all lives of a disk.
    #[serde(rename = "n")]
    pub number: u64,
    /// The life that wrote it, as [`What::Began`] tells it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// From when to when, by the clock of that life.
    pub from: Millis,
    /// See `from`.
    pub to: Millis,
    /// The hash of the line before.
    pub prev: Hash,
    /// What was so.
    #[serde(flatten)]
    pub kind: EntryKind,
}

/// What a line says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EntryKind {
    /// A life began.
    #[serde(rename = "began")]
    Started {
        /// The controller's number.
        controller: u32,
        /// The program's version.
        program: String,
    },
    /// It acts on this from now on.
    View {
        /// Its number in this life.
        view: u32,
        /// Its parts.
        parts: View,
    },
    /// So many acts of each kind, all under one view and at one stage of its lease.
    #[serde(rename = "did")]
    Activity {
        /// The view.
        view: u32,
        /// The stage of its lease.
        stage: String,
        /// Calls taken, by tenant.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        calls: BTreeMap<String, u64>,
        /// Attempts begun, by worker.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        attempts: BTreeMap<String, u64>,
        /// Load orders given, by worker.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        orders: BTreeMap<String, u64>,
        /// Calls refused for being behind.
        #[serde(default, skip_serializing_if = "is_zero")]
        refused: u64,
    },
    /// One act that is rare or may be disputed.
    #[serde(rename = "one")]
    Event {
        /// The view.
        view: u32,
        /// What.
        #[serde(rename = "act")]
        event: Event,
    },
    /// An exchange with the administration: between `from`, when it was asked, and `to`, when it had answered, its
    /// clock read `at`.
    #[serde(rename = "heard")]
    ClockExchange {
        /// The administration's life.
        #[serde(rename = "by")]
        leader: u64,
        /// Its clock.
        #[serde(rename = "at")]
        leader_time: Millis,
    },
    /// Lines are missing here.
    Gap {
        /// How many, where it is known.
        lines: u64,
        /// Why.
        why: String,
    },
    /// The administration took a change.
    Accepted {
        /// The store's epoch.
        epoch: u64,
        /// The change.
        revision: u64,
        /// Whose it is.
        tenant: String,
        /// What was done.
        action: String,
        /// It takes something away.
        #[serde(rename = "binds")]
        restricts: bool,
    },
    /// The administration said that a change is in force everywhere.
    #[serde(rename = "everywhere")]
    InForce {
        /// The store's epoch.
        epoch: u64,
        /// The change.
        revision: u64,
    },
}

/// One act.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "snake_case")]
pub enum Event {
    /// A tenant's state became another, as this controller acts on it.
    Tenant {
        /// Whose.
        tenant: String,
        /// Its state: active, suspended, removing, gone.
        state: String,
    },
    /// A worker is drained by hand, or not any more.
    Drained {
        /// Which.
        worker: String,
        /// Whether.
        drained: bool,
    },
    /// The stage of the lease became another.
    Stage {
        /// Which.
        stage: String,
    },
    /// Calls were taken while the lease ran out, as the process stood still.
    #[serde(rename = "doubtful")]
    LeaseEndedMeanwhile {
        /// For so long, milliseconds.
        #[serde(rename = "stood_ms")]
        stalled_ms: Millis,
    },
    /// This life was shut out.
    Fenced,
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl Entry {
    /// As it is written and hashed.
    pub fn to_json(&self) -> String {
        // Every part of a line can be written as JSON: its maps have strings for keys.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// From a text.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}
