//! What a run gave, and the story of each finding.

use std::time::Duration;

use crate::audit::{End, Incident, Moment, Record, SentList};
use crate::judge::Finding;

/// What happened within this span of a finding is told with it.
const TIMELINE_SPAN: Duration = Duration::from_secs(4);

/// Lengths of spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spans {
    /// The middle one.
    pub median: Duration,
    /// The longest.
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

/// What a run gave.
#[derive(Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Broken invariants.
    pub findings: Vec<Finding>,
    /// Findings whose order of events the test can't tell: neither kept nor broken.
    pub undecided: Vec<Finding>,
    /// Calls by how they ended; the last counts those whose clients left.
    pub ends: Vec<(String, usize)>,
    /// Attempts that arrived at workers.
    pub attempts: usize,
    /// Disturbances that were played.
    pub disturbances: usize,
    /// The latest that the test's own threads ran.
    pub lag: Duration,
    /// Attempts whose arrival the kernel has timestamped.
    pub timestamped: usize,
    /// How long the spans are in which the sendings of lists lie.
    pub list_spans: Spans,
    /// By how much the wall clock, of which the kernel's times are, has gone apart from the run's clock.
    pub drift: Duration,
    sent_lists: Vec<SentList>,
    incidents: Vec<Incident>,
}

impl Report {
    /// The report of a run.
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

    /// The lists that a finding's controller was sent, its starts, ends and signals around that moment, in order of time.
    pub fn timeline(&self, finding: &Finding) -> Vec<String> {
        let Some((controller, at)) = finding.seen else { return Vec::new() };
        let is_near = |moment: Moment| moment.abs_diff(at) < TIMELINE_SPAN;
        let lists = self.sent_lists.iter().filter(|told| told.controller == controller);
        let lists = lists.map(|told| {
            let (from, to) = (told.sent.earliest, told.sent.latest);
            (from, format!("{from:?} to {to:?}: sent the list with events up to {}", told.serial))
        });
        let incidents = self.incidents.iter().filter(|incident| incident.controller == controller);
        let incidents =
            incidents.map(|incident| (incident.at, format!("{:?}: {}", incident.at, incident.what)));
        let here = std::iter::once((at, format!("{at:?}: the finding")));
        let mut all: Vec<_> = lists.chain(incidents).chain(here).filter(|(at, _)| is_near(*at)).collect();
        all.sort();
        all.into_iter().map(|(_, line)| line).collect()
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
    let with =
        |kind: End| record.calls.values().filter(|c| c.end.is_some_and(|(end, _)| end == kind)).count();
    let mut ends: Vec<_> = kinds.iter().map(|kind| (format!("{kind:?}"), with(*kind))).collect();
    let left = record.calls.values().filter(|call| call.end.is_none() && call.client_left.is_some()).count();
    ends.push(("Left".to_owned(), left));
    ends
}
