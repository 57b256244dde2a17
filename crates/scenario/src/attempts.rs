//! Attempts as the workers' sockets show them, and what a socket proves of the moment at which something left
//! the controller.
//!
//! Attempts of a call are in the order of their numbers (`nettleferry-attempt`), not of their arrival: behind a
//! cut link an earlier one may arrive last, with its withdrawal right behind it. So a time of arrival is only
//! the latest moment at which something may have left; [`Links::left_by`] gives the earliest.

use std::collections::BTreeMap;

use nettleferry::Micros;
use nettleferry_test_servers::Seen;

use crate::evidence::{During, Evidence};

/// An attempt as a worker saw it.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) worker: String,
    pub(crate) controller: usize,
    /// As its header said.
    pub(crate) number: Option<u32>,
    pub(crate) came: Micros,
    pub(crate) ran: bool,
    pub(crate) over: Option<Over>,
}

/// The end of an attempt at the worker's socket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Over {
    pub(crate) at: Micros,
    pub(crate) how: How,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum How {
    /// Withdrawn, or its connection or worker is gone.
    Left,
    /// Answered.
    Answered,
    /// Answered with proof that it never ran.
    NeverRan,
}

impl Attempt {
    /// May it have run, as far as its controller can know?
    pub(crate) fn may_have_run(&self) -> bool {
        self.ran || !self.over.is_some_and(|over| over.how == How::NeverRan)
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
        let mut end = |stream: u64, how| {
            if let Some(at) = open.remove(&(worker, stream)) {
                all[at].1.over = Some(Over { at: record.at, how });
            }
        };
        match &record.seen {
            Seen::Call { stream, id, controller, attempt, .. } => {
                open.insert((worker, *stream), all.len());
                let attempt = Attempt {
                    worker: worker.to_owned(),
                    controller: controller.parse().unwrap_or(usize::MAX),
                    number: *attempt,
                    came: record.at,
                    ran: false,
                    over: None,
                };
                all.push((id.clone(), attempt));
            }
            Seen::Runs { stream } => {
                if let Some(at) = open.get(&(worker, *stream)) {
                    all[*at].1.ran = true;
                }
            }
            Seen::Gone { stream } => end(*stream, How::Left),
            Seen::Answered { stream, never_ran, .. } => {
                end(*stream, if *never_ran { How::NeverRan } else { How::Answered });
            }
            Seen::Down | Seen::Fell => {
                let had: Vec<u64> = open.keys().filter(|(w, _)| *w == worker).map(|(_, s)| *s).collect();
                for stream in had {
                    if let Some(at) = open.remove(&(worker, stream)) {
                        all[at].1.over = Some(Over { at: record.at, how: How::Left });
                    }
                }
            }
            Seen::Up { .. } | Seen::Order { .. } | Seen::Probe | Seen::Link { .. } => {}
        }
    }
    let mut by_call: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for (id, attempt) in all {
        by_call.entry(id).or_default().push(attempt);
    }
    for tries in by_call.values_mut() {
        tries.sort_by_key(|a| (a.number, a.came));
    }
    by_call
}

/// How soon a worker has read what stood in a socket when its link was mended. Its one thread reads all that
/// the kernel holds before it answers anything more; what is left is the tail that a full socket kept back.
const TAIL: Micros = 100_000;

/// Links between controllers and workers, with the spans in which they were cut.
pub(crate) struct Links<'a> {
    evidence: &'a Evidence,
    slack: Micros,
}

impl<'a> Links<'a> {
    pub(crate) fn new(evidence: &'a Evidence, slack: Micros) -> Self {
        Self { evidence, slack }
    }

    fn cuts(&self, worker: &str, controller: usize) -> impl Iterator<Item = During> {
        let zones: Vec<&str> = self
            .evidence
            .lives
            .iter()
            .filter(|l| l.controller == controller)
            .map(|l| l.zone.as_str())
            .collect();
        let ours = move |w: &str, door: &str| w == worker && zones.contains(&door);
        self.evidence.cuts.iter().filter(move |(w, door, _)| ours(w, door)).map(|(_, _, span)| *span)
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
        self.left_by(&attempt.worker, attempt.controller, attempt.came)
    }

    /// The attempt was over for its controller at this time at the earliest: it had its answer then, or had
    /// withdrawn it.
    pub(crate) fn ended(&self, attempt: &Attempt) -> Micros {
        let Some(over) = attempt.over else {
            return self.left_by(&attempt.worker, attempt.controller, self.evidence.until);
        };
        if over.how == How::Left {
            return self.left_by(&attempt.worker, attempt.controller, over.at);
        }
        // It was answered: a withdrawal had not been read by then. One that was sent while the link was cut is
        // read with the rest as soon as the link is mended.
        let hidden = self.cuts(&attempt.worker, attempt.controller).find(|cut| {
            let read = if attempt.came > cut.to && attempt.came - cut.to <= self.slack {
                attempt.came
            } else {
                cut.to
            };
            cut.from < over.at && over.at <= read.saturating_add(TAIL)
        });
        match hidden {
            Some(cut) => self.left_by(&attempt.worker, attempt.controller, cut.from),
            None => over.at.saturating_sub(self.slack),
        }
    }
}
