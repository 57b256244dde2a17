//! The report of an audit and its findings. The field names in the JSON are those of earlier versions.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::view::Version;

/// One run of a controller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation {
    /// The number of the controller.
    pub controller: u32,
    /// The random identifier of the run.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Whether a finding is proven, given the uncertainty of the clocks and of the times within an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// The finding holds for all possible times.
    Certain,
    /// The finding holds for some possible times only.
    Doubtful,
}

/// The number of calls that a finding applies to. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct CallCount {
    /// Calls to which the finding certainly applies.
    pub certain: u64,
    /// Calls to which the finding may apply, including the certain ones.
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

/// The activity of one incarnation on one version of the tenants.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Actor {
    /// The incarnation that acted.
    #[serde(rename = "who")]
    pub incarnation: Incarnation,
    /// The version that it acted on.
    #[serde(rename = "book")]
    pub version: Version,
    /// The earliest possible time of its first act on the version, milliseconds on the leader's clock; `None` if the
    /// time of any of its acts is not known.
    pub from: Option<i64>,
    /// The latest possible time of its last act on the version, among the acts whose times are known, milliseconds on
    /// the leader's clock; `None` if no time is known.
    pub to: Option<i64>,
    /// The number of calls that it accepted on the version.
    pub calls: u64,
}

/// Activity on a version after another controller had applied a newer one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StaleActivity {
    /// The incarnation that acted on the old version.
    #[serde(rename = "who")]
    pub incarnation: Incarnation,
    /// The version that it acted on.
    #[serde(rename = "book")]
    pub version: Version,
    /// The newer version that another controller applied first.
    pub newer: Version,
    /// The incarnation that applied the newer version.
    #[serde(rename = "elsewhere")]
    pub newer_incarnation: Incarnation,
    /// Whether the finding is certain.
    #[serde(rename = "sure")]
    pub certainty: Certainty,
    /// Lower bound of the time from the newer version's application to the last act on the old one, milliseconds; at
    /// least 0.
    pub least_ms: i64,
    /// Upper bound of that time, milliseconds; at least 0.
    pub most_ms: i64,
    /// The calls that were accepted after the newer version was applied, by tenant.
    pub calls: BTreeMap<String, CallCount>,
    /// The reason, as far as the logs show it.
    #[serde(rename = "why")]
    pub reason: String,
}

/// Calls of a tenant that a controller accepted although the tenant's suspension or removal had been acknowledged as in
/// force on all controllers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LateCalls {
    /// The incarnation that accepted the calls.
    #[serde(rename = "who")]
    pub incarnation: Incarnation,
    /// The name of the tenant.
    pub tenant: String,
    /// The version that the change created.
    pub change: Version,
    /// The kind of change: `suspend` or `remove`.
    pub action: String,
    /// Whether the finding is certain.
    #[serde(rename = "sure")]
    pub certainty: Certainty,
    /// The number of calls.
    pub calls: CallCount,
    /// The reason, as far as the logs show it.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A part of an audit log that can't be evaluated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Gap {
    /// The incarnation that wrote the log, if known.
    #[serde(rename = "who")]
    pub incarnation: Option<Incarnation>,
    /// The missing or unreadable part, and the cause.
    #[serde(rename = "what")]
    pub reason: String,
}

/// Two epochs of the tenant store on which controllers acted at the same time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fork {
    /// The two epochs, the older one first.
    pub epochs: Vec<u64>,
    /// The incarnations that acted on either epoch.
    pub sides: Vec<Incarnation>,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// The activity of each incarnation on each version.
    pub actors: Vec<Actor>,
    /// Activity on a version after another controller had applied a newer one.
    #[serde(rename = "behind")]
    pub stale_activity: Vec<StaleActivity>,
    /// Calls that were accepted after their tenant's suspension or removal was acknowledged.
    #[serde(rename = "after")]
    pub late_calls: Vec<LateCalls>,
    /// Pairs of epochs on which controllers acted at the same time.
    pub forks: Vec<Fork>,
    /// Parts of the logs that can't be evaluated.
    pub gaps: Vec<Gap>,
    /// The number of findings left out because of [`crate::audit::MAX_FINDINGS`].
    #[serde(rename = "more")]
    pub omitted: u64,
}
