//! Attempts as observed at the workers' sockets, and bounds on the time at which a message left its controller.
//!
//! The attempts of a call are ordered by their numbers (header `nettleferry-attempt`), not by arrival: on a link that
//! was cut, an earlier attempt may arrive last, directly followed by its cancellation. The time of arrival is therefore
//! only the latest time at which a message may have been sent; [`Links::earliest_sent`] returns the earliest.

use std::collections::BTreeMap;

use nettleferry::Micros;
use nettleferry_test_servers::ObservationKind;

use crate::evidence::{Cut, Evidence, Interval};

/// An attempt as observed at a worker's socket.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: String,
    pub(crate) controller: usize,
    /// Value of the `nettleferry-attempt` header; `None` if the header is missing or invalid.
    pub(crate) number: Option<u32>,
    pub(crate) arrived: Micros,
    /// Whether the worker began to execute the call, so that it may have had an effect.
    pub(crate) ran: bool,
    /// `None` if the attempt was still open at the end of the run.
    pub(crate) end: Option<AttemptEnd>,
}

/// How and when an attempt ended at the worker's socket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEnd {
    pub(crate) at: Micros,
    pub(crate) kind: EndKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndKind {
    /// Cancelled by the controller, or ended by the loss of its connection or worker.
    Cancelled,
    /// Answered without proof that the attempt did not run.
    Answered,
    /// Answered with proof that the worker did not run it.
    NeverRan,
}

impl Attempt {
    /// Whether the attempt ran, or its controller has no proof that it did not.
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || !self.end.is_some_and(|end| end.kind == EndKind::NeverRan)
    }
}

/// Groups the attempts by call id, ordered by attempt number. The crash of a worker ends its open attempts.
pub(crate) fn attempts(evidence: &Evidence) -> BTreeMap<String, Vec<Attempt>> {
    let mut records: Vec<_> = evidence.workers.iter().collect();
    records.sort_by_key(|record| record.at);
    let mut all: Vec<(String, Attempt)> = Vec::new();
    let mut open: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for record in records {
        let worker = record.worker.as_str();
        let mut end_attempt = |stream: u64, kind| {
            if let Some(index) = open.remove(&(worker, stream)) {
                all[index].1.end = Some(AttemptEnd { at: record.at, kind });
            }
        };
        match &record.kind {
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
                if let Some(index) = open.get(&(worker, *stream)) {
                    all[*index].1.ran = true;
                }
            }
            ObservationKind::Gone { stream } => end_attempt(*stream, EndKind::Cancelled),
            ObservationKind::Answered { stream, never_ran, .. } => {
                end_attempt(*stream, if *never_ran { EndKind::NeverRan } else { EndKind::Answered });
            }
            ObservationKind::Down | ObservationKind::Overloaded => {
                let streams: Vec<u64> = open.keys().filter(|(w, _)| *w == worker).map(|(_, s)| *s).collect();
                for stream in streams {
                    if let Some(index) = open.remove(&(worker, stream)) {
                        all[index].1.end = Some(AttemptEnd { at: record.at, kind: EndKind::Cancelled });
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
        attempts.sort_by_key(|attempt| (attempt.number, attempt.arrived));
    }
    by_call
}

/// Time within which a worker has read what its socket held when a cut link was restored. The worker's only thread
/// reads everything that the kernel has buffered before it sends further answers; only data that a full socket buffer
/// held back arrives later.
const READ_DELAY: Micros = 100_000;

/// The links between controllers and workers, with the intervals during which they were cut.
pub(crate) struct Links<'a> {
    evidence: &'a Evidence,
    slack: Micros,
}

impl<'a> Links<'a> {
    pub(crate) fn new(evidence: &'a Evidence, slack: Micros) -> Self {
        Self { evidence, slack }
    }

    /// The intervals during which a worker was cut off from the zone of a controller.
    fn cuts(&self, worker: &str, controller: usize) -> impl Iterator<Item = Interval> {
        let zones: Vec<&str> = self
            .evidence
            .controller_runs
            .iter()
            .filter(|run| run.controller == controller)
            .map(|run| run.zone.as_str())
            .collect();
        let is_between = move |cut: &&Cut| cut.worker == worker && zones.contains(&cut.zone.as_str());
        self.evidence.cuts.iter().filter(is_between).map(|cut| cut.interval)
    }

    /// The earliest time at which the controller can have sent a message that arrived at the worker at `at`. A message
    /// that is sent while the link is cut arrives when the link is restored.
    pub(crate) fn earliest_sent(&self, worker: &str, controller: usize, at: Micros) -> Micros {
        let mut earliest = at;
        while let Some(cut) = self
            .cuts(worker, controller)
            .find(|cut| cut.from < earliest && earliest <= cut.to.saturating_add(self.slack))
        {
            earliest = cut.from;
        }
        earliest.saturating_sub(self.slack)
    }

    /// The earliest time at which the controller can have sent the attempt.
    pub(crate) fn attempt_earliest_sent(&self, attempt: &Attempt) -> Micros {
        self.earliest_sent(&attempt.worker, attempt.controller, attempt.arrived)
    }

    /// The earliest time at which the attempt can have ended for its controller: when the controller received the
    /// answer or cancelled the attempt.
    pub(crate) fn attempt_earliest_end(&self, attempt: &Attempt) -> Micros {
        let Some(end) = attempt.end else {
            return self.earliest_sent(&attempt.worker, attempt.controller, self.evidence.until);
        };
        if end.kind == EndKind::Cancelled {
            return self.earliest_sent(&attempt.worker, attempt.controller, end.at);
        }
        // An answered attempt was not cancelled before the worker answered, unless the cancellation was delayed: one
        // that was sent while the link was cut is read once the link is restored.
        let delaying_cut = self.cuts(&attempt.worker, attempt.controller).find(|cut| {
            // If the attempt arrived just after the restoration, its cancellation can only be read after it.
            let read_from = if attempt.arrived > cut.to && attempt.arrived - cut.to <= self.slack {
                attempt.arrived
            } else {
                cut.to
            };
            cut.from < end.at && end.at <= read_from.saturating_add(READ_DELAY)
        });
        match delaying_cut {
            Some(cut) => self.earliest_sent(&attempt.worker, attempt.controller, cut.from),
            None => end.at.saturating_sub(self.slack),
        }
    }
}
