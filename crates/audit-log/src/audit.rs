//! The audit over the logs of a fleet. It reports which controller acted on which version of the tenants and when, and
//! which controllers still acted on a version after a newer one was applied elsewhere or acknowledged by the leader.
//!
//! All times are compared on the leader's clock; the times of other controllers are known within bounds
//! ([`crate::clock`]). A finding is **certain** if it holds for all times within these bounds and for any time that an
//! act may have had within its interval. Otherwise it is **doubtful**, and the report contains the number of calls that
//! it may apply to. Parts of a log that are missing are reported as gaps.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::{ClockBounds, ClockExchange, TimeBounds};
use crate::entry::{Entry, EntryKind, Event};
use crate::findings::{
    Actor, CallCount, Certainty, Fork, Gap, Incarnation, LateCalls, Report, StaleActivity,
};
use crate::view::{Version, View};

/// The number of findings of each kind that a report lists; further ones are only counted.
pub const MAX_FINDINGS: usize = 1_000;

/// The stage of a valid lease, as entries contain it.
const STAGE_CURRENT: &str = "current";

/// The counted acts of one entry, with its times on the leader's clock.
#[derive(Clone, Debug)]
struct Interval {
    incarnation: Incarnation,
    version: Version,
    /// The time of the first act; `None` if the bounds of the clock are not known.
    first: Option<TimeBounds>,
    /// The time of the last act; `None` if the bounds of the clock are not known.
    last: Option<TimeBounds>,
    calls: BTreeMap<String, u64>,
    stage: String,
}

impl Interval {
    /// The number of calls after a moment, out of `count` calls in this interval.
    fn after(&self, moment: TimeBounds, count: u64) -> CallCount {
        let (Some(first), Some(last)) = (self.first, self.last) else {
            return CallCount { certain: 0, possible: count };
        };
        if first.is_after(moment) {
            CallCount { certain: count, possible: count }
        } else if last.is_not_after(moment) {
            CallCount::default()
        } else {
            CallCount { certain: 0, possible: count }
        }
    }
}

/// The time at which an incarnation applied a version.
#[derive(Clone, Debug)]
struct Arrival {
    incarnation: Incarnation,
    version: Version,
    /// `None` if the bounds of the clock are not known.
    at: Option<TimeBounds>,
}

/// An [`Arrival`] with a known time.
#[derive(Clone, Copy, Debug)]
struct KnownArrival {
    incarnation: Incarnation,
    version: Version,
    at: TimeBounds,
}

/// A change of a tenant that the leader accepted.
#[derive(Clone, Debug)]
struct AcceptedChange {
    tenant: String,
    action: String,
    restricts: bool,
}

/// The time span within which controllers certainly acted on one epoch, on the leader's clock.
#[derive(Clone, Debug)]
struct EpochActivity {
    /// The earliest time by which the acts had certainly started.
    certain_start: i64,
    /// The latest time until which the acts certainly continued.
    certain_end: i64,
    incarnations: BTreeSet<Incarnation>,
}

/// Collects the logs of a fleet and evaluates them.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    intervals: Vec<Interval>,
    arrivals: Vec<Arrival>,
    accepted: BTreeMap<Version, AcceptedChange>,
    /// The time at which the leader acknowledged each change as in force on all controllers.
    in_force: BTreeMap<Version, TimeBounds>,
    /// Explanations of why each incarnation acted on an old version, from the events in its log.
    explanations: BTreeMap<Incarnation, BTreeSet<String>>,
    gaps: Vec<Gap>,
}

impl Audit {
    /// Adds the log of the leader's administration. `incarnation` is the leader's current incarnation, whose clock the
    /// audit uses. Acknowledgements by earlier incarnations are ignored, since their clocks are unrelated to this one.
    pub fn add_leader(&mut self, incarnation: u64, entries: &[Entry]) {
        for entry in entries {
            match &entry.kind {
                EntryKind::Accepted { epoch, revision, tenant, action, restricts } => {
                    let change = AcceptedChange {
                        tenant: tenant.clone(),
                        action: action.clone(),
                        restricts: *restricts,
                    };
                    self.accepted.insert(Version { epoch: *epoch, revision: *revision }, change);
                }
                EntryKind::InForce { epoch, revision } if entry.incarnation == incarnation => {
                    let version = Version { epoch: *epoch, revision: *revision };
                    self.in_force.entry(version).or_insert(TimeBounds::at(entry.to));
                }
                _ => {}
            }
        }
        self.add_controller(incarnation, entries, true);
    }

    /// Adds the log of a controller. `leader` is the incarnation of the leader whose clock the audit uses. `is_leader`
    /// is true if the leader wrote this log.
    pub fn add_controller(&mut self, leader: u64, entries: &[Entry], is_leader: bool) {
        for run in entries.chunk_by(|one, next| one.incarnation == next.incarnation) {
            self.add_incarnation(leader, run, is_leader);
        }
    }

    /// Adds the entries of one incarnation; there is at least one.
    fn add_incarnation(&mut self, leader: u64, entries: &[Entry], is_leader: bool) {
        let incarnation_id = entries.first().map_or(0, |entry| entry.incarnation);
        let started = entries.iter().find_map(|entry| match &entry.kind {
            EntryKind::Started { controller, .. } => Some(*controller),
            _ => None,
        });
        let Some(controller) = started else {
            let reason = format!("incarnation {incarnation_id:016x} has no entry that names its controller");
            self.gaps.push(Gap { incarnation: None, reason });
            return;
        };
        let incarnation = Incarnation { controller, incarnation: incarnation_id };
        let clock = clock_bounds(leader, entries);
        // Entries of the leader itself are already on the leader's clock.
        let on_leader_clock = is_leader && incarnation_id == leader;
        let bounds =
            |moment| if on_leader_clock { Some(TimeBounds::at(moment)) } else { clock.bounds_of(moment) };
        let mut views: BTreeMap<u32, &View> = BTreeMap::new();
        for entry in entries {
            match &entry.kind {
                EntryKind::View { view, parts } => {
                    views.insert(*view, parts);
                    let (version, at) = (parts.version(), bounds(entry.from));
                    self.arrivals.push(Arrival { incarnation, version, at });
                }
                EntryKind::Activity { view, stage, calls, .. } => match views.get(view) {
                    Some(parts) => self.intervals.push(Interval {
                        incarnation,
                        version: parts.version(),
                        first: bounds(entry.from),
                        last: bounds(entry.to),
                        calls: calls.clone(),
                        stage: stage.clone(),
                    }),
                    None => {
                        let number = entry.number;
                        let reason = format!("entry {number} refers to view {view}, whose entry is missing");
                        self.add_gap(Some(incarnation), reason);
                    }
                },
                _ => self.add_explanation(incarnation, entry),
            }
        }
        if !on_leader_clock && bounds(entries.last().map_or(0, |entry| entry.to)).is_none() {
            let reason = "its clock has no bounds: the log has no consistent exchanges with this incarnation of \
                          the leader";
            self.add_gap(Some(incarnation), reason.to_owned());
        }
    }

    /// Adds an entry that explains why the incarnation acted on an old version, or that declares a gap.
    fn add_explanation(&mut self, incarnation: Incarnation, entry: &Entry) {
        match &entry.kind {
            EntryKind::Event { event: Event::LeaseExpiredDuringPause { stalled_ms }, .. } => {
                self.explain(
                    incarnation,
                    format!("its process was paused for {stalled_ms} ms while its lease expired"),
                );
            }
            EntryKind::Event { event: Event::Fenced, .. } => {
                self.explain(incarnation, "it was fenced".to_owned());
            }
            EntryKind::Gap { entries, reason } => {
                let number = entry.number;
                let reason = format!("{entries} entries before entry {number} are missing: {reason}");
                self.add_gap(Some(incarnation), reason);
            }
            _ => {}
        }
    }

    fn explain(&mut self, incarnation: Incarnation, explanation: String) {
        self.explanations.entry(incarnation).or_default().insert(explanation);
    }

    /// Adds a part of a log that can't be evaluated, for example because its hash chain is broken.
    pub fn add_gap(&mut self, incarnation: Option<Incarnation>, reason: String) {
        self.gaps.push(Gap { incarnation, reason });
    }

    /// The reason why an incarnation acted on an old version while its lease was at `stage`.
    fn explanation(&self, incarnation: Incarnation, stage: &str) -> String {
        let mut all: Vec<String> =
            self.explanations.get(&incarnation).into_iter().flatten().cloned().collect();
        if stage != STAGE_CURRENT {
            all.push(format!("it had no lease ({stage}): no response from the leader reached it"));
        } else if all.is_empty() {
            all.push("it had a lease: the change had not reached it yet".to_owned());
        }
        all.join("; ")
    }

    /// Evaluates the logs added so far.
    pub fn report(&self) -> Report {
        let mut report = Report { actors: self.actors(), forks: self.forks(), ..Report::default() };
        self.find_stale_activity(&mut report);
        self.find_late_calls(&mut report);
        report.gaps.clone_from(&self.gaps);
        report.gaps.sort();
        report.gaps.dedup();
        report
    }

    /// The activity of each incarnation on each version, ordered by version.
    fn actors(&self) -> Vec<Actor> {
        let mut all: BTreeMap<(Version, Incarnation), Actor> = BTreeMap::new();
        for interval in &self.intervals {
            let (incarnation, version) = (interval.incarnation, interval.version);
            let actor = all.entry((version, incarnation)).or_insert_with(|| {
                let from = interval.first.map(|bounds| bounds.earliest);
                Actor { incarnation, version, from, to: None, calls: 0 }
            });
            actor.from = actor.from.zip(interval.first).map(|(from, first)| from.min(first.earliest));
            actor.to = actor.to.max(interval.last.map(|bounds| bounds.latest));
            actor.calls += interval.calls.values().sum::<u64>();
        }
        all.into_values().collect()
    }

    /// The first arrival of a version newer than `version` at another controller, by the latest possible times. `None`
    /// if no such arrival has a known time.
    fn first_newer_arrival(&self, incarnation: Incarnation, version: Version) -> Option<KnownArrival> {
        let others =
            self.arrivals.iter().filter(|arrival| arrival.incarnation.controller != incarnation.controller);
        let newer = others.filter(|arrival| arrival.version > version);
        let known = newer.filter_map(|arrival| {
            let Arrival { incarnation, version, at } = *arrival;
            Some(KnownArrival { incarnation, version, at: at? })
        });
        known.min_by_key(|arrival| (arrival.at.latest, arrival.version, arrival.incarnation))
    }

    fn find_stale_activity(&self, report: &mut Report) {
        let mut all: BTreeMap<(Incarnation, Version), Vec<&Interval>> = BTreeMap::new();
        for interval in self.intervals.iter().filter(|interval| !interval.calls.is_empty()) {
            all.entry((interval.incarnation, interval.version)).or_default().push(interval);
        }
        for ((incarnation, version), intervals) in all {
            let Some(newer) = self.first_newer_arrival(incarnation, version) else { continue };
            let found = self.stale_activity(&intervals, newer);
            report.omitted += extend_bounded(&mut report.stale_activity, found);
        }
    }

    /// The finding on `intervals`, all of one incarnation and one version, for a newer version that another controller
    /// applied. `None` if no call can have been accepted after that.
    fn stale_activity(&self, intervals: &[&Interval], newer: KnownArrival) -> Option<StaleActivity> {
        let &Interval { incarnation, version, .. } = *intervals.first()?;
        let mut calls: BTreeMap<String, CallCount> = BTreeMap::new();
        let (mut certain, mut possible, mut stage) = (false, false, STAGE_CURRENT);
        let (mut least_ms, mut most_ms) = (0, 0);
        for interval in intervals {
            for (tenant, count) in &interval.calls {
                let found = stale_calls(interval, newer.at, *count);
                if found.possible > 0 {
                    calls.entry(tenant.clone()).or_default().add(found);
                }
                certain |= found.certain > 0;
                possible |= found.possible > 0;
            }
            // The last act certainly happened at the end of the interval, whenever the earlier ones did.
            if let Some(last) = interval.last {
                certain |= last.is_after(newer.at);
                least_ms = least_ms.max(last.earliest - newer.at.latest);
                most_ms = most_ms.max(last.latest - newer.at.earliest);
                if last.latest > newer.at.earliest && interval.stage != STAGE_CURRENT {
                    stage = &interval.stage;
                }
            }
        }
        possible.then(|| StaleActivity {
            incarnation,
            version,
            newer: newer.version,
            newer_incarnation: newer.incarnation,
            certainty: if certain { Certainty::Certain } else { Certainty::Doubtful },
            least_ms,
            most_ms,
            calls,
            reason: self.explanation(incarnation, stage),
        })
    }

    fn find_late_calls(&self, report: &mut Report) {
        for (version, acknowledged) in &self.in_force {
            let Some(change) = self.accepted.get(version).filter(|change| change.restricts) else { continue };
            if !matches!(change.action.as_str(), "suspend" | "remove") {
                continue;
            }
            let found = self.late_calls(*version, *acknowledged, change);
            report.omitted += extend_bounded(&mut report.late_calls, found);
        }
    }

    /// Calls of the changed tenant that were accepted on an older version after the change was acknowledged, by
    /// incarnation.
    fn late_calls(
        &self,
        version: Version,
        acknowledged: TimeBounds,
        change: &AcceptedChange,
    ) -> impl Iterator<Item = LateCalls> {
        let mut by_incarnation: BTreeMap<Incarnation, (CallCount, &str)> = BTreeMap::new();
        for interval in self.intervals.iter().filter(|interval| interval.version < version) {
            let Some(count) = interval.calls.get(&change.tenant) else { continue };
            let found = interval.after(acknowledged, *count);
            if found.possible > 0 {
                let new = (CallCount::default(), interval.stage.as_str());
                by_incarnation.entry(interval.incarnation).or_insert(new).0.add(found);
            }
        }
        by_incarnation.into_iter().map(move |(incarnation, (calls, stage))| LateCalls {
            incarnation,
            tenant: change.tenant.clone(),
            change: version,
            action: change.action.clone(),
            certainty: calls.certainty(),
            calls,
            reason: self.explanation(incarnation, stage),
        })
    }

    /// Pairs of epochs on which controllers certainly acted at the same time, which means that two histories of the
    /// store were in use.
    fn forks(&self) -> Vec<Fork> {
        let mut by_epoch: BTreeMap<u64, EpochActivity> = BTreeMap::new();
        for interval in self.intervals.iter().filter(|interval| interval.version.epoch > 0) {
            let (Some(first), Some(last)) = (interval.first, interval.last) else { continue };
            let activity = by_epoch.entry(interval.version.epoch).or_insert_with(|| EpochActivity {
                certain_start: i64::MAX,
                certain_end: i64::MIN,
                incarnations: BTreeSet::new(),
            });
            // The first act had happened by its latest possible time, the last one not before its earliest.
            activity.certain_start = activity.certain_start.min(first.latest);
            activity.certain_end = activity.certain_end.max(last.earliest);
            activity.incarnations.insert(interval.incarnation);
        }
        let all: Vec<_> = by_epoch.into_iter().collect();
        let mut forks = Vec::new();
        for (index, (older, before)) in all.iter().enumerate() {
            for (newer, after) in &all[index + 1..] {
                if after.certain_start < before.certain_end {
                    let sides: BTreeSet<_> =
                        before.incarnations.union(&after.incarnations).copied().collect();
                    forks.push(Fork { epochs: vec![*older, *newer], sides: sides.into_iter().collect() });
                }
            }
        }
        forks
    }
}

/// Relates the clock of an incarnation to the leader's, from the exchanges in its log.
fn clock_bounds(leader: u64, entries: &[Entry]) -> ClockBounds {
    let mut clock = ClockBounds::default();
    for entry in entries {
        if let EntryKind::ClockExchange { leader: responder, leader_time } = &entry.kind
            && *responder == leader
        {
            clock.add_exchange(ClockExchange {
                sent: entry.from,
                received: entry.to,
                leader_time: *leader_time,
            });
        }
    }
    clock
}

/// The number of calls after a newer version was applied elsewhere, out of `count` calls in an interval. `newer` bounds
/// the time of that application: calls are certainly late after its latest time, and possibly late after its earliest.
fn stale_calls(interval: &Interval, newer: TimeBounds, count: u64) -> CallCount {
    let at = |moment| TimeBounds { earliest: moment, latest: moment };
    CallCount {
        certain: interval.after(at(newer.latest), count).certain,
        possible: interval.after(at(newer.earliest), count).possible,
    }
}

/// Appends findings up to [`MAX_FINDINGS`] and returns how many were left out.
fn extend_bounded<T>(all: &mut Vec<T>, found: impl IntoIterator<Item = T>) -> u64 {
    let mut omitted = 0;
    for finding in found {
        if all.len() < MAX_FINDINGS {
            all.push(finding);
        } else {
            omitted += 1;
        }
    }
    omitted
}
