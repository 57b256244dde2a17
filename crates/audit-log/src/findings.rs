//! What an audit finds: its report and the parts of it. The field names of the JSON are those of earlier versions.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::view::Version;

/// One run of one controller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation {
    /// The controller's number.
    pub controller: u32,
    /// The random number of this run.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Whether a finding holds for every clock within the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// It holds for every clock within the bounds.
    Certain,
    /// It holds for some.
    Doubtful,
}

/// How many calls a finding is about. Written as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct CallCount {
    /// Calls that it is about for every clock within the bounds.
    pub certain: u64,
    /// Calls that it may be about; the certain ones among them.
    pub possible: u64,
}

impl From<CallCount> for (u64, u64) {
    fn from(count: CallCount) -> Self {
        (count.certain, count.possible)
    }
}

impl CallCount {
    pub(crate) fn add(&mut self, other: Self) {
        self.certain += other.certain;
        self.possible += other.possible;
    }

    pub(crate) fn certainty(self) -> Certainty {
        if self.certain > 0 { Certainty::Certain } else { Certainty::Doubtful }
    }
}

/// What one incarnation did on one version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Actor {
    /// Which incarnation.
    #[serde(rename = "who")]
    pub incarnation: Incarnation,
    /// On which version.
    #[serde(rename = "book")]
    pub version: Version,
    /// The earliest moment of its first act on it, milliseconds of the leader's clock; `None`: its clock is not known.
    pub from: Option<i64>,
    /// The latest moment of its last act on it; see `from`.
    pub to: Option<i64>,
    /// Calls accepted on it.
    pub calls: u64,
}

/// Acts on a version after a newer one was in force elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StaleActivity {
    /// Whose acts.
    #[serde(rename = "who")]
    pub incarnation: Incarnation,
    /// On which version.
    #[serde(rename = "book")]
    pub version: Version,
    /// The first newer version that was in force elsewhere.
    pub newer: Version,
    /// Where it was in force.
    pub elsewhere: Incarnation,
    /// Whether this holds for every clock within the bounds.
    #[serde(rename = "sure")]
    pub certainty: Certainty,
    /// For how long at the least, milliseconds.
    pub least_ms: i64,
    /// For how long at the most, milliseconds.
    pub most_ms: i64,
    /// Calls accepted after the newer version was in force, by tenant.
    pub calls: BTreeMap<String, CallCount>,
    /// Why, as far as the audit log shows.
    pub why: String,
}

/// Calls of a tenant that were accepted after a change against it was acknowledged as in force everywhere.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LateCalls {
    /// Who accepted them.
    #[serde(rename = "who")]
    pub incarnation: Incarnation,
    /// The tenant.
    pub tenant: String,
    /// The change.
    pub change: Version,
    /// What the change did: `suspend` or `remove`.
    pub action: String,
    /// Whether this holds for every clock within the bounds.
    #[serde(rename = "sure")]
    pub certainty: Certainty,
    /// How many.
    pub calls: CallCount,
    /// Why, as far as the audit log shows.
    pub why: String,
}

/// A part of an audit log of which nothing can be said.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Gap {
    /// Whose log, where that is known.
    #[serde(rename = "who")]
    pub incarnation: Option<Incarnation>,
    /// What is missing.
    #[serde(rename = "what")]
    pub reason: String,
}

/// Two histories of one store that were acted on at the same time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fork {
    /// Their epochs.
    pub epochs: Vec<u64>,
    /// Who acted on one of them while the other was acted on.
    pub sides: Vec<Incarnation>,
}

/// All findings of an audit.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Who acted on which version.
    pub actors: Vec<Actor>,
    /// Acts on a version after a newer one was in force elsewhere.
    #[serde(rename = "behind")]
    pub stale_activity: Vec<StaleActivity>,
    /// Calls accepted after the change against them was acknowledged.
    #[serde(rename = "after")]
    pub late_calls: Vec<LateCalls>,
    /// Epochs that were acted on at the same time.
    pub forks: Vec<Fork>,
    /// Where nothing can be said.
    pub gaps: Vec<Gap>,
    /// Findings beyond the bound ([`crate::audit::MAX_FINDINGS`]).
    #[serde(rename = "more")]
    pub omitted: u64,
}
