//! The leader after a loss: may it serve its snapshot and accept changes, or do its followers have a newer one?
//!
//! It accepts no change and serves no snapshot while its own is damaged, missing or behind. It installs a follower's
//! snapshot by itself only when every expected controller has answered which one it has, so that no acknowledged
//! change is given up that any disk still holds; else an operator decides. Followers continue to serve meanwhile.
//!
//! Once a controller has reported a snapshot that is ahead, only a decision ends the wait: the snapshot is installed, or
//! an operator has decided. Later reports do not take it back, whosoever they are: they may be late, of an incarnation
//! that has died, or of a controller that has lost its disk, and what was acknowledged is not undone by them.
//!
//! Fetching, storing and serving snapshots is left to the caller.

use std::collections::BTreeMap;

use crate::Millis;
use crate::snapshot_version::{SnapshotVersion, VersionOrder};

/// Controllers whose report is remembered; beyond them the oldest report is forgotten.
pub const MAX_REPORTS: usize = 1_024;

/// What the leader may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// Accept changes and serve its snapshot.
    Serving,
    /// Neither, until it has caught up or an operator has decided.
    Waiting(Cause),
}

impl Duty {
    /// Its name in logs: `serving`, or why it waits.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Waiting(cause) => cause.as_str(),
        }
    }
}

/// Why the leader waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Its own snapshot can't be read.
    Damaged,
    /// Its own snapshot has no changes: the store is new, or its disk was lost.
    Empty,
    /// A follower has a newer snapshot.
    Behind,
    /// There are different snapshots of one revision, or of different stores.
    Disagreed,
}

impl Cause {
    /// Its name in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Damaged => "damaged",
            Self::Empty => "empty",
            Self::Behind => "behind",
            Self::Disagreed => "disagreed",
        }
    }
}

/// What is to be done after a controller has reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    None,
    /// Fetch this snapshot from this controller, and install it.
    Install(u32, SnapshotVersion),
}

/// What a controller reported last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Report {
    version: Option<SnapshotVersion>,
    received_at: Millis,
}

/// A controller, and the snapshot that it reported last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedSnapshot<'a> {
    /// The controller's number.
    pub controller: u32,
    /// Its snapshot; `None`: it has none.
    pub version: Option<&'a SnapshotVersion>,
    /// When it reported.
    pub received_at: Millis,
}

/// The store and epoch under which a snapshot supersedes all that are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupersedingOrigin {
    /// The store that the known snapshots are of: controllers install no other store's snapshot.
    pub store: String,
    /// The least epoch above all of theirs.
    pub epoch: u64,
}

/// The leader's own snapshot, what the others reported, and what follows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Authority {
    own: Option<SnapshotVersion>,
    duty: Duty,
    /// Other controllers that must have reported before a snapshot is installed without an operator.
    expected: usize,
    /// What each controller reported last, asked or not.
    reports: BTreeMap<u32, Report>,
    /// What each controller answered last when the leader asked it: what it has, and not what it had.
    answers: BTreeMap<u32, Option<SnapshotVersion>>,
    /// The newest snapshot that was reported since the last decision, by whichever controller, whatever it reported
    /// since.
    newest_reported: Option<SnapshotVersion>,
    since: Millis,
}

impl Authority {
    /// At the start of the leader. `own`: its snapshot, where that is intact. `expected`: other controllers that must
    /// have reported before a snapshot is installed without an operator.
    pub fn new(now: Millis, own: Option<SnapshotVersion>, expected: usize) -> Self {
        let duty = match &own {
            None => Duty::Waiting(Cause::Damaged),
            Some(own) if own.revision == 0 && expected > 0 => Duty::Waiting(Cause::Empty),
            Some(_) => Duty::Serving,
        };
        let (reports, answers) = (BTreeMap::new(), BTreeMap::new());
        Self { own, duty, expected, reports, answers, newest_reported: None, since: now }
    }

    /// What the leader may do, and since when.
    pub fn duty(&self) -> (Duty, Millis) {
        (self.duty, self.since)
    }

    /// Its own snapshot; `None`: it is damaged.
    pub fn own(&self) -> Option<&SnapshotVersion> {
        self.own.as_ref()
    }

    /// What the other controllers reported, by controller.
    pub fn reports(&self) -> impl Iterator<Item = ReportedSnapshot<'_>> {
        self.reports.iter().map(|(controller, report)| ReportedSnapshot {
            controller: *controller,
            version: report.version.as_ref(),
            received_at: report.received_at,
        })
    }

    /// How many others have answered which snapshot they have, since the start or the last decision.
    pub fn answered(&self) -> usize {
        self.answers.len()
    }

    /// How many others must have answered before a snapshot is installed without an operator.
    pub fn expected(&self) -> usize {
        self.expected
    }

    /// Its own snapshot has changed: by an accepted change, or as another was installed. `decided`: an operator or the
    /// reports of all have decided for it, so that it is served from now on.
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

    /// A controller was asked, and has reported which snapshot it has, or that it has none.
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

    /// A controller has reported by itself which snapshot it has. Such a report may be late, and of an incarnation that
    /// is not there any more: it shows that a snapshot exists, and never that there is no newer one.
    pub fn heartbeat_received(&mut self, now: Millis, controller: u32, version: SnapshotVersion) -> Step {
        if self.is_foreign(&version) {
            // Its controller follows another leader, or this one's store began anew: that is shown, and decides nothing.
            self.make_room(controller);
            self.reports.insert(controller, Report { version: Some(version), received_at: now });
            return Step::None;
        }
        self.record(now, controller, Some(version))
    }

    /// Is it of another store than the leader's own, where that has changes?
    pub fn is_foreign(&self, version: &SnapshotVersion) -> bool {
        let own = self.own.as_ref().filter(|own| own.revision > 0);
        own.is_some_and(|own| version.compare(own) == VersionOrder::Foreign)
    }

    fn record(&mut self, now: Millis, controller: u32, version: Option<SnapshotVersion>) -> Step {
        self.make_room(controller);
        let order = version.as_ref().zip(self.own.as_ref()).map(|(reported, own)| reported.compare(own));
        self.remember_newest(version.as_ref());
        self.reports.insert(controller, Report { version, received_at: now });
        if self.duty == Duty::Serving {
            match order {
                Some(VersionOrder::Ahead) => self.transition(now, Duty::Waiting(Cause::Behind)),
                // One of the two is broken, and which one is not for this program to guess. A controller with
                // another store's snapshot follows another leader: its snapshot is not this fleet's.
                Some(VersionOrder::Forked) => self.transition(now, Duty::Waiting(Cause::Disagreed)),
                _ => return Step::None,
            }
        }
        self.choose(now)
    }

    /// A late report of an incarnation that a later one of the same controller has superseded: it does not replace the
    /// later one's, but that a snapshot is ahead counts whoever has it.
    pub fn superseded_report_received(&mut self, now: Millis, version: &SnapshotVersion) {
        self.remember_newest(Some(version));
        let order = self.own.as_ref().map(|own| version.compare(own));
        if self.duty == Duty::Serving && order == Some(VersionOrder::Ahead) {
            self.transition(now, Duty::Waiting(Cause::Behind));
        }
    }

    /// Another store's snapshot is not this fleet's, where this one has changes.
    fn remember_newest(&mut self, version: Option<&SnapshotVersion>) {
        let Some(version) = version else { return };
        let is_newer =
            self.newest_reported.as_ref().is_none_or(|newest| version.compare(newest) == VersionOrder::Ahead);
        if is_newer && !self.is_foreign(version) {
            self.newest_reported = Some(version.clone());
        }
    }

    /// Whether a snapshot was reported that is newer than this one, the newest of those that are known to be there.
    fn is_superseded(&self, newest: &SnapshotVersion) -> bool {
        self.newest_reported.as_ref().is_some_and(|reported| reported.compare(newest) == VersionOrder::Ahead)
    }

    fn make_room(&mut self, controller: u32) {
        if self.reports.len() < MAX_REPORTS || self.reports.contains_key(&controller) {
            return;
        }
        // Whoever has the newest is forgotten last: it is the one to fetch it from.
        let has_newest = |report: &Report| report.version.is_some() && report.version == self.newest_reported;
        let oldest = self.reports.iter().min_by_key(|(_, report)| (has_newest(report), report.received_at));
        if let Some(oldest) = oldest.map(|(controller, _)| *controller) {
            self.reports.remove(&oldest);
        }
    }

    fn reported_versions(&self) -> impl Iterator<Item = &SnapshotVersion> {
        self.reports.values().filter_map(|report| report.version.as_ref())
    }

    /// Chooses the newest snapshot of all, where all agree on what it is and all that are expected have answered.
    fn choose(&mut self, now: Millis) -> Step {
        // A snapshot without changes is nobody's newest.
        let own = self.own.as_ref().filter(|own| own.revision > 0);
        let newest = self.reported_versions().chain(own).max().cloned();
        let all_answered = self.answers.len() >= self.expected.max(1);
        let Some(newest) = newest else {
            // Nobody has any: this is a new installation, where its own snapshot is intact.
            if all_answered && self.own.is_some() && self.newest_reported.is_none() {
                self.transition(now, Duty::Serving);
            }
            return Step::None;
        };
        let disagrees = |version: &SnapshotVersion| {
            matches!(version.compare(&newest), VersionOrder::Forked | VersionOrder::Foreign)
        };
        if self.reported_versions().chain(own).any(disagrees) {
            self.transition(now, Duty::Waiting(Cause::Disagreed));
            return Step::None;
        }
        let is_superseded = self.is_superseded(&newest);
        if !is_superseded && own.is_some_and(|own| own.compare(&newest) == VersionOrder::Same) {
            // Whoever had another of this revision has reported this one since.
            self.transition(now, Duty::Serving);
            return Step::None;
        }
        if self.duty == Duty::Waiting(Cause::Disagreed) {
            let cause = if own.is_some() { Cause::Behind } else { Cause::Damaged };
            self.transition(now, Duty::Waiting(cause));
        }
        // What was ahead is on no disk that is known: what to do without it is an operator's decision.
        if is_superseded || !all_answered {
            return Step::None;
        }
        let holder = self.answers.iter().find(|(_, version)| version.as_ref() == Some(&newest));
        holder.map_or(Step::None, |(controller, _)| Step::Install(*controller, newest.clone()))
    }

    /// The store and epoch under which a chosen snapshot is installed by all that have another; `None`: no snapshot
    /// is known.
    pub fn superseding_origin(&self) -> Option<SupersedingOrigin> {
        let known = self.reported_versions().chain(self.own.as_ref()).chain(self.newest_reported.as_ref());
        let epoch = known.map(|version| version.epoch).max()?;
        let held = self.reported_versions().max().or(self.own.as_ref())?;
        Some(SupersedingOrigin { store: held.store.clone(), epoch: epoch.saturating_add(1) })
    }
}
