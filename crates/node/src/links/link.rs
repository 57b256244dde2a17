//! One connection to an invoker: what is owed on it, what waits for it, what has ended there.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Instant;

use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptId, AttemptReport, ControlRequestId, Event};

use super::command::Outgoing;

/// Ids that ended on a connection and are remembered: an answer that comes twice must not be taken for that of
/// a later attempt.
const REMEMBERED: usize = 512;

/// Whose answer is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Owed {
    // In this order where a connection ends: what is told of it is known before what was lost with it.
    Probe(ControlRequestId),
    Attempt(AttemptId),
    Order(ControlRequestId),
}

impl Owed {
    /// It ended without an answer.
    pub(super) fn ended(self, how: AttemptEnd) -> Event {
        match self {
            Self::Attempt(attempt) => {
                Event::AttemptEnded { attempt, end: how, report: AttemptReport::default() }
            }
            Self::Order(request_id) => Event::LoadEnded { request_id, end: how, copies: 0 },
            Self::Probe(request_id) => Event::ProbeEnded { request_id, end: how, load_report: None },
        }
    }
}

pub(super) struct Item {
    pub(super) owed: Owed,
    pub(super) since: Instant,
    /// Where its command begins and ends among the bytes queued there; `None`: it waits for the connection.
    pub(super) place: Option<(u64, u64)>,
}

/// The place of what the connection did not take: it is never written.
pub(super) const NOWHERE: (u64, u64) = (u64::MAX, u64::MAX);

/// A connection to an invoker, and what is open on it.
pub(super) struct Link {
    pub(super) worker: WorkerId,
    pub(super) up: bool,
    pub(super) items: BTreeMap<String, Item>,
    pub(super) waiting: VecDeque<(String, Outgoing)>,
    /// When it came about, in our time.
    pub(super) since: Micros,
    /// Nothing is open on it since then.
    pub(super) idle_since: Option<Instant>,
    pub(super) ended: HashSet<String>,
    pub(super) ended_order: VecDeque<String>,
    /// Takes nothing new: it closes after its last answer.
    pub(super) draining: bool,
    /// A probe sent there was not answered, and nothing has come since.
    pub(super) suspect: bool,
    /// When the answer in hand began.
    pub(super) partial: Option<Instant>,
}

impl Link {
    /// One that is being made.
    pub(super) fn new(worker: WorkerId) -> Self {
        Self {
            worker,
            up: false,
            items: BTreeMap::new(),
            waiting: VecDeque::new(),
            since: 0,
            idle_since: None,
            ended: HashSet::new(),
            ended_order: VecDeque::new(),
            draining: false,
            suspect: false,
            partial: None,
        }
    }

    /// What was open under this id is over.
    pub(super) fn over(&mut self, tag: String) {
        if self.ended.insert(tag.clone()) {
            self.ended_order.push_back(tag);
        }
        if self.ended_order.len() > REMEMBERED
            && let Some(old) = self.ended_order.pop_front()
        {
            self.ended.remove(&old);
        }
    }
}
