//! The result of a run: counts, findings, and the events around each finding.

use std::time::Duration;

use crate::audit::{End, Incident, Moment, Record, SentList};
use crate::judge::{Finding, Occurrence};

/// Span before and after a finding whose events are in its timeline.
const TIMELINE_SPAN: Duration = Duration::from_secs(4);

/// The median and the maximum of a set of time spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spans {
    /// The median length. Zero for an empty set.
    pub median: Duration,
    /// The greatest length. Zero for an empty set.
    pub longest: Duration,
}

impl Spans {
    fn of(spans: impl Iterator<Item = Duration>) -> Self {
        let mut spans: Vec<Duration> = spans.collect();
        spans.sort_unstable();
        let median = spans.get(spans.len() / 2).copied().unwrap_or_default();
        Self { median, longest: spans.last().copied().unwrap_or_default() }
    }
}

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed of the run's plan.
    pub seed: u64,
    /// Broken invariants: those that the judge found, failed starts and exits, and messages in controllers' logs.
    pub findings: Vec<Finding>,
    /// Invariants that are broken in only some of the possible orders of events.
    pub undecided: Vec<Finding>,
    /// Number of calls for each kind of end. The last entry counts calls whose client left before an end was recorded.
    pub ends: Vec<(String, usize)>,
    /// Number of attempts that arrived at workers, for calls that clients had sent.
    pub attempts: usize,
    /// Number of disturbances in the plan.
    pub disturbances: usize,
    /// The largest observed lag of the test's own threads.
    pub lag: Duration,
    /// Number of attempts whose arrival has a kernel timestamp.
    pub timestamped: usize,
    /// Uncertainty of the times at which lists were sent: the lengths of the intervals in which these times lie.
    pub list_spans: Spans,
    /// Drift of the wall clock, which kernel timestamps use, against the run's monotonic clock.
    pub drift: Duration,
    sent_lists: Vec<SentList>,
    incidents: Vec<Incident>,
}

impl Report {
    /// Builds the report from the record of a run and the findings. `disturbances` is their number in the plan.
    pub(crate) fn new(
        seed: u64,
        disturbances: usize,
        record: Record,
        findings: Vec<Finding>,
        undecided: Vec<Finding>,
    ) -> Self {
        Self {
            seed,
            findings,
            undecided,
            ends: ends(&record),
            attempts: record.calls.values().map(|call| call.attempts.len()).sum(),
            disturbances,
            lag: record.lag.iter().map(|(_, lag)| *lag).max().unwrap_or_default(),
            timestamped: record
                .calls
                .values()
                .flat_map(|call| &call.attempts)
                .filter(|attempt| attempt.timestamped)
                .count(),
            list_spans: Spans::of(record.sent_lists.iter().map(|list| list.sent.latest - list.sent.earliest)),
            drift: record.drift,
            sent_lists: record.sent_lists,
            incidents: record.incidents,
        }
    }

    /// Returns the lists sent to the finding's controller, and its starts, exits and signals, around the time of the
    /// finding: one line each, in order of time. Returns no lines if the finding concerns no single controller.
    pub fn timeline(&self, finding: &Finding) -> Vec<String> {
        let Some(Occurrence { controller, at }) = finding.occurrence else { return Vec::new() };
        let is_near = |moment: Moment| moment.abs_diff(at) < TIMELINE_SPAN;
        let lists = self.sent_lists.iter().filter(|list| list.controller == controller);
        let lists = lists.map(|list| {
            let (from, to) = (list.sent.earliest, list.sent.latest);
            (from, format!("{from:?} to {to:?}: list with changes up to {} was sent", list.serial))
        });
        let incidents = self.incidents.iter().filter(|incident| incident.controller == controller);
        let incidents =
            incidents.map(|incident| (incident.at, format!("{:?}: {}", incident.at, incident.description)));
        let marker = std::iter::once((at, format!("{at:?}: the finding")));
        let mut lines: Vec<_> = lists.chain(incidents).chain(marker).filter(|(at, _)| is_near(*at)).collect();
        lines.sort();
        lines.into_iter().map(|(_, line)| line).collect()
    }
}

fn ends(record: &Record) -> Vec<(String, usize)> {
    let kinds = [
        End::Served,
        End::Refused,
        End::Failed,
        End::Crossed,
        End::CrossedNew,
        End::CrossedEnd,
        End::CrossedKill,
        End::Killed,
        End::Lost,
        End::Unanswered,
        End::Altered,
    ];
    let count =
        |kind: End| record.calls.values().filter(|c| c.end.is_some_and(|(end, _)| end == kind)).count();
    let mut ends: Vec<_> = kinds.iter().map(|kind| (format!("{kind:?}"), count(*kind))).collect();
    let left = record.calls.values().filter(|call| call.end.is_none() && call.client_left.is_some()).count();
    ends.push(("Left".to_owned(), left));
    ends
}
