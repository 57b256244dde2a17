//! Decides whether the leader may serve its snapshot and accept changes, or whether a follower has a newer
//! snapshot.
//!
//! While the leader's own snapshot is damaged, empty, behind or in conflict with another one, the leader
//! neither serves it nor accepts changes. It installs the snapshot of a follower without an operator only
//! after every expected controller has answered which snapshot it has. Otherwise an acknowledged change that
//! some disk still has could be lost. In all other cases an operator decides. Followers continue to serve
//! their own snapshots meanwhile.
//!
//! Once a controller has reported a snapshot that is ahead of the leader's, the leader waits until a snapshot
//! is installed or an operator decides. A later report does not end the wait: it may be delayed, or come from
//! an incarnation that has ended or a controller that has lost its disk, and must not undo an acknowledged
//! change.
//!
//! The caller fetches, stores and serves the snapshots.

use std::collections::BTreeMap;

use crate::Millis;
use crate::snapshot_version::{SnapshotVersion, VersionOrder};

/// Maximum number of controllers whose last report is stored. Beyond it the oldest report is evicted, but a
/// report of the newest snapshot only if all are.
pub const MAX_REPORTS: usize = 1_024;

/// Whether the leader serves its snapshot and accepts changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// The leader serves its snapshot and accepts changes.
    Serving,
    /// The leader does neither, for this cause, until an operator or the reports of the other controllers
    /// determine which snapshot is served.
    Waiting(Cause),
}

impl Duty {
    /// Returns the name used in logs: `serving`, or the name of the cause.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Waiting(cause) => cause.as_str(),
        }
    }
}

/// Why the leader neither serves its snapshot nor accepts changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The leader's snapshot can't be read.
    Damaged,
    /// The leader's snapshot has no changes: the store is new, or its disk was lost.
    Empty,
    /// A follower has a newer snapshot.
    Behind,
    /// The known snapshots include different ones of the same epoch and revision, or of different stores.
    Disagreed,
}

impl Cause {
    /// Returns the name used in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Damaged => "damaged",
            Self::Empty => "empty",
            Self::Behind => "behind",
            Self::Disagreed => "disagreed",
        }
    }
}

/// The action that the caller has to take after a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The caller has nothing to do.
    None,
    /// Fetch this snapshot from the controller of this number, and install it.
    Install(u32, SnapshotVersion),
}

/// The last report of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Report {
    version: Option<SnapshotVersion>,
    received_at: Millis,
}

/// The last report of a controller about its snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedSnapshot<'a> {
    /// Number of the controller.
    pub controller: u32,
    /// Version of its snapshot; `None` if it has no snapshot.
    pub version: Option<&'a SnapshotVersion>,
    /// Time at which the report was received.
    pub received_at: Millis,
}

/// A store name and an epoch under which a snapshot supersedes all known snapshots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupersedingOrigin {
    /// Name of the store of the known snapshots. Controllers reject snapshots of other stores.
    pub store: String,
    /// Lowest epoch above those of all known snapshots.
    pub epoch: u64,
}

/// Compares the leader's snapshot with the reports of the other controllers and decides whether it may be
/// served.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Authority {
    own: Option<SnapshotVersion>,
    duty: Duty,
    /// Number of other controllers that must have answered before a snapshot is installed without an
    /// operator. At least one must have, even if this is 0.
    expected: usize,
    /// The last report of each controller, solicited or not.
    reports: BTreeMap<u32, Report>,
    /// The last answer of each controller to a query by the leader. Unlike a heartbeat, it shows what the
    /// controller has now.
    answers: BTreeMap<u32, Option<SnapshotVersion>>,
    /// The newest snapshot that any controller has reported since the last decision. A later report of an
    /// older snapshot does not change it.
    newest_reported: Option<SnapshotVersion>,
    /// Time at which `duty` last changed, or the start of the leader.
    since: Millis,
}

impl Authority {
    /// Creates the state at the start of the leader. `own` is the version of its snapshot, `None` if that is
    /// damaged. `expected` is the number of other controllers that must have answered before a snapshot is
    /// installed without an operator. If it is 0, a snapshot without changes is served from the start.
    pub fn new(now: Millis, own: Option<SnapshotVersion>, expected: usize) -> Self {
        let duty = match &own {
            None => Duty::Waiting(Cause::Damaged),
            Some(own) if own.revision == 0 && expected > 0 => Duty::Waiting(Cause::Empty),
            Some(_) => Duty::Serving,
        };
        let (reports, answers) = (BTreeMap::new(), BTreeMap::new());
        Self { own, duty, expected, reports, answers, newest_reported: None, since: now }
    }

    /// Returns the current duty and the time at which it began.
    pub fn duty(&self) -> (Duty, Millis) {
        (self.duty, self.since)
    }

    /// Returns the version of the leader's snapshot; `None` if that is damaged.
    pub fn own(&self) -> Option<&SnapshotVersion> {
        self.own.as_ref()
    }

    /// Returns the last reports of the other controllers, sorted by controller.
    pub fn reports(&self) -> impl Iterator<Item = ReportedSnapshot<'_>> {
        self.reports.iter().map(|(controller, report)| ReportedSnapshot {
            controller: *controller,
            version: report.version.as_ref(),
            received_at: report.received_at,
        })
    }

    /// Returns the number of other controllers that have answered a query since the start or the last
    /// decision.
    pub fn answered(&self) -> usize {
        self.answers.len()
    }

    /// Returns the number of other controllers that must have answered before a snapshot is installed without
    /// an operator.
    pub fn expected(&self) -> usize {
        self.expected
    }

    /// Records a new version of the leader's snapshot, after an accepted change or an installation. `decided`
    /// means that an operator or the answers of all expected controllers chose this snapshot: it is served
    /// from now on.
    pub fn set_own(&mut self, now: Millis, own: SnapshotVersion, decided: bool) {
        self.own = Some(own);
        if decided {
            self.newest_reported = None;
            self.answers.clear();
            self.transition(now, Duty::Serving);
        }
    }

    fn transition(&mut self, now: Millis, duty: Duty) {
        if self.duty != duty {
            (self.duty, self.since) = (duty, now);
        }
    }

    /// Records the answer of a controller to a query by the leader. `version` is `None` if it has no
    /// snapshot.
    pub fn report_received(
        &mut self,
        now: Millis,
        controller: u32,
        version: Option<SnapshotVersion>,
    ) -> Step {
        if self.answers.len() < MAX_REPORTS || self.answers.contains_key(&controller) {
            self.answers.insert(controller, version.clone());
        }
        self.record(now, controller, version)
    }

    /// Records the snapshot version in a heartbeat, which the leader did not solicit. It may be delayed and
    /// come from an incarnation that has ended. It shows that a snapshot existed, but not that there is no
    /// newer one.
    pub fn heartbeat_received(&mut self, now: Millis, controller: u32, version: SnapshotVersion) -> Step {
        if self.is_foreign(&version) {
            // The controller follows another leader, or this leader's store was created anew. The report is
            // stored for operators and has no effect on the duty.
            self.ensure_capacity(controller);
            self.reports.insert(controller, Report { version: Some(version), received_at: now });
            return Step::None;
        }
        self.record(now, controller, Some(version))
    }

    /// Returns whether the snapshot belongs to another store than the leader's, given that the leader's has
    /// changes.
    pub fn is_foreign(&self, version: &SnapshotVersion) -> bool {
        let own = self.own.as_ref().filter(|own| own.revision > 0);
        own.is_some_and(|own| version.compare(own) == VersionOrder::Foreign)
    }

    fn record(&mut self, now: Millis, controller: u32, version: Option<SnapshotVersion>) -> Step {
        self.ensure_capacity(controller);
        let order = version.as_ref().zip(self.own.as_ref()).map(|(reported, own)| reported.compare(own));
        self.remember_newest(version.as_ref());
        self.reports.insert(controller, Report { version, received_at: now });
        if self.duty == Duty::Serving {
            match order {
                Some(VersionOrder::Ahead) => self.transition(now, Duty::Waiting(Cause::Behind)),
                // One of the two snapshots is broken, and the program can't tell which. A snapshot of another
                // store has no effect: its controller follows another leader.
                Some(VersionOrder::Forked) => self.transition(now, Duty::Waiting(Cause::Disagreed)),
                _ => return Step::None,
            }
        }
        self.choose(now)
    }

    /// Records a delayed report of an incarnation that a later one of the same controller has superseded. It
    /// does not replace the report of the later incarnation. If its snapshot is ahead of the leader's, the
    /// leader waits all the same.
    pub fn superseded_report_received(&mut self, now: Millis, version: &SnapshotVersion) {
        self.remember_newest(Some(version));
        let order = self.own.as_ref().map(|own| version.compare(own));
        if self.duty == Duty::Serving && order == Some(VersionOrder::Ahead) {
            self.transition(now, Duty::Waiting(Cause::Behind));
        }
    }

    /// Updates `newest_reported`. Snapshots of another store than the leader's are ignored.
    fn remember_newest(&mut self, version: Option<&SnapshotVersion>) {
        let Some(version) = version else { return };
        let is_newer =
            self.newest_reported.as_ref().is_none_or(|newest| version.compare(newest) == VersionOrder::Ahead);
        if is_newer && !self.is_foreign(version) {
            self.newest_reported = Some(version.clone());
        }
    }

    /// Returns whether a controller has reported a snapshot newer than `newest`, the newest of the current
    /// reports.
    fn is_superseded(&self, newest: &SnapshotVersion) -> bool {
        self.newest_reported.as_ref().is_some_and(|reported| reported.compare(newest) == VersionOrder::Ahead)
    }

    fn ensure_capacity(&mut self, controller: u32) {
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&controller) {
            return;
        }
        // The controller with the newest snapshot is evicted last, because the snapshot is fetched from it.
        let has_newest = |report: &Report| report.version.is_some() && report.version == self.newest_reported;
        let oldest = self.reports.iter().min_by_key(|(_, report)| (has_newest(report), report.received_at));
        if let Some(oldest) = oldest.map(|(controller, _)| *controller) {
            self.reports.remove(&oldest);
        }
    }

    fn reported_versions(&self) -> impl Iterator<Item = &SnapshotVersion> {
        self.reports.values().filter_map(|report| report.version.as_ref())
    }

    /// Chooses the newest of all known snapshots, if there is no conflict between them and all expected
    /// controllers have answered.
    fn choose(&mut self, now: Millis) -> Step {
        // The leader's own snapshot is not chosen while it has no changes.
        let own = self.own.as_ref().filter(|own| own.revision > 0);
        let newest = self.reported_versions().chain(own).max().cloned();
        let all_answered = self.answers.len() >= self.expected.max(1);
        let Some(newest) = newest else {
            // No controller has reported a snapshot, and the leader's has no changes or is damaged. If it is
            // intact, this is a new installation.
            if all_answered && self.own.is_some() && self.newest_reported.is_none() {
                self.transition(now, Duty::Serving);
            }
            return Step::None;
        };
        let conflicts = |version: &SnapshotVersion| {
            matches!(version.compare(&newest), VersionOrder::Forked | VersionOrder::Foreign)
        };
        if self.reported_versions().chain(own).any(conflicts) {
            self.transition(now, Duty::Waiting(Cause::Disagreed));
            return Step::None;
        }
        let is_superseded = self.is_superseded(&newest);
        if !is_superseded && own.is_some_and(|own| own.compare(&newest) == VersionOrder::Same) {
            // A controller that had a conflicting snapshot has reported this one since.
            self.transition(now, Duty::Serving);
            return Step::None;
        }
        if self.duty == Duty::Waiting(Cause::Disagreed) {
            let cause = if own.is_some() { Cause::Behind } else { Cause::Damaged };
            self.transition(now, Duty::Waiting(cause));
        }
        // If no known disk has the newest reported snapshot any more, an operator has to decide.
        if is_superseded || !all_answered {
            return Step::None;
        }
        let holder = self.answers.iter().find(|(_, version)| version.as_ref() == Some(&newest));
        holder.map_or(Step::None, |(controller, _)| Step::Install(*controller, newest.clone()))
    }

    /// Returns a store name and an epoch under which all controllers install the snapshot that an operator
    /// chooses; `None` if no snapshot is known.
    pub fn superseding_origin(&self) -> Option<SupersedingOrigin> {
        let known = self.reported_versions().chain(self.own.as_ref()).chain(self.newest_reported.as_ref());
        let epoch = known.map(|version| version.epoch).max()?;
        let newest = self.reported_versions().max().or(self.own.as_ref())?;
        Some(SupersedingOrigin { store: newest.store.clone(), epoch: epoch.saturating_add(1) })
    }
}
