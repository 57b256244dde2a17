//! Attempts as the workers' sockets show them, and what a socket proves of the moment at which something left
//! the controller.
//!
//! Attempts of a call are in the order of their numbers (`nettleferry-attempt`), not of their arrival: behind a
//! cut link an earlier one may arrive last, with its withdrawal right behind it. So a time of arrival is only
//! the latest moment at which something may have left; [`Links::left_by`] gives the earliest.

use std::collections::BTreeMap;

use nettleferry::Micros;
use nettleferry_test_servers::ObservationKind;

use crate::evidence::{Cut, Evidence, Interval};

/// An attempt as a worker saw it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: String,
    pub(crate) controller: usize,
    /// As its header said.
    pub(crate) number: Option<u32>,
    pub(crate) arrived: Micros,
    pub(crate) ran: bool,
    pub(crate) end: Option<AttemptEnd>,
}

/// The end of an attempt at the worker's socket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) at: Micros,
    pub(crate) kind: EndKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndKind {
    /// Withdrawn, or its connection or worker is gone.
    Withdrawn,
    /// Answered.
    Answered,
    /// Answered with proof that it never ran.
    NeverRan,
}

impl Attempt {
    /// May it have run, as far as its controller can know?
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || !self.end.is_some_and(|end| end.kind == EndKind::NeverRan)
    }
}

/// Attempts by call, in the order of their numbers. A worker's death ends what it had.
pub(crate) fn attempts(evidence: &Evidence) -> BTreeMap<String, Vec<Attempt>> {
    let mut records: Vec<_> = evidence.workers.iter().collect();
    records.sort_by_key(|r| r.at);
    let mut all: Vec<(String, Attempt)> = Vec::new();
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for record in records {
        let worker = record.worker.as_str();
        let mut close = |stream: u64, kind| {
            if let Some(at) = open.remove(&(worker, stream)) {
                all[at].1.end = Some(AttemptEnd { at: record.at, kind });
            }
        };
        match &record.seen {
            ObservationKind::Call { stream, id, controller, attempt, .. } => {
                open.insert((worker, *stream), all.len());
                let attempt = Attempt {
                    worker: worker.to_owned(),
                    controller: controller.parse().unwrap_or(usize::MAX),
                    number: *attempt,
                    arrived: record.at,
                    ran: false,
                    end: None,
                };
                all.push((id.clone(), attempt));
            }
            ObservationKind::Runs { stream } => {
                if let Some(at) = open.get(&(worker, *stream)) {
                    all[*at].1.ran = true;
                }
            }
            ObservationKind::Gone { stream } => close(*stream, EndKind::Withdrawn),
            ObservationKind::Answered { stream, never_ran, .. } => {
                close(*stream, if *never_ran { EndKind::NeverRan } else { EndKind::Answered });
            }
            ObservationKind::Down | ObservationKind::Fell => {
                let had: Vec<u64> = open.keys().filter(|(w, _)| *w == worker).map(|(_, s)| *s).collect();
                for stream in had {
                    if let Some(at) = open.remove(&(worker, stream)) {
                        all[at].1.end = Some(AttemptEnd { at: record.at, kind: EndKind::Withdrawn });
                    }
                }
            }
            ObservationKind::Up { .. }
            | ObservationKind::Order { .. }
            | ObservationKind::Probe
            | ObservationKind::Link { .. } => {}
        }
    }
    let mut by_call: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for (id, attempt) in all {
        by_call.entry(id).or_default().push(attempt);
    }
    for attempts in by_call.values_mut() {
        attempts.sort_by_key(|a| (a.number, a.arrived));
    }
    by_call
}

/// How soon a worker has read what was in a socket when its link was mended. Its one thread reads all that the kernel
/// holds before it answers anything more; what is left is what a full socket held back.
const READ_DELAY: Micros = 100_000;

/// Links between controllers and workers, with the spans in which they were cut.
pub(crate) struct Links<'a> {
    evidence: &'a Evidence,
    slack: Micros,
}

impl<'a> Links<'a> {
    pub(crate) fn new(evidence: &'a Evidence, slack: Micros) -> Self {
        Self { evidence, slack }
    }

    fn cuts(&self, worker: &str, controller: usize) -> impl Iterator<Item = Interval> {
        let zones: Vec<&str> = self
            .evidence
            .controller_runs
            .iter()
            .filter(|l| l.controller == controller)
            .map(|l| l.zone.as_str())
            .collect();
        let concerned = move |cut: &&Cut| cut.worker == worker && zones.contains(&cut.zone.as_str());
        self.evidence.cuts.iter().filter(concerned).map(|cut| cut.interval)
    }

    /// What a worker's socket saw at `at` left the controller at this time at the earliest: while a link is cut
    /// nothing arrives, and what was sent since then arrives when it is mended.
    pub(crate) fn left_by(&self, worker: &str, controller: usize, at: Micros) -> Micros {
        let mut left = at;
        while let Some(cut) = self
            .cuts(worker, controller)
            .find(|cut| cut.from < left && left <= cut.to.saturating_add(self.slack))
        {
            left = cut.from;
        }
        left.saturating_sub(self.slack)
    }

    /// The attempt left the controller at this time at the earliest.
    pub(crate) fn sent(&self, attempt: &Attempt) -> Micros {
        self.left_by(&attempt.worker, attempt.controller, attempt.arrived)
    }

    /// The attempt was end for its controller at this time at the earliest: it had its answer then, or had
    /// withdrawn it.
    pub(crate) fn ended(&self, attempt: &Attempt) -> Micros {
        let Some(end) = attempt.end else {
            return self.left_by(&attempt.worker, attempt.controller, self.evidence.until);
        };
        if end.kind == EndKind::Withdrawn {
            return self.left_by(&attempt.worker, attempt.controller, end.at);
        }
        // It was answered: a withdrawal had not been read by then. One that was sent while the link was cut is
        // read with the rest as soon as the link is mended.
        let hidden = self.cuts(&attempt.worker, attempt.controller).find(|cut| {
            let read = if attempt.arrived > cut.to && attempt.arrived - cut.to <= self.slack {
                attempt.arrived
            } else {
                cut.to
            };
            cut.from < end.at && end.at <= read.saturating_add(READ_DELAY)
        });
        match hidden {
            Some(cut) => self.left_by(&attempt.worker, attempt.controller, cut.from),
            None => end.at.saturating_sub(self.slack),
        }
    }
}
