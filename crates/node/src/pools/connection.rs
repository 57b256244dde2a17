//! One connection to an invoker: its open requests, what waits for it to be established, and what has ended there.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Instant;

use nettleferry::{Micros, WorkerId};

use super::pending::OpenRequest;
use super::wire_command::WireCommand;

/// Tags that ended on a connection and are remembered: a response that arrives twice must not be taken for that of a
/// later attempt.
const REMEMBERED_TAGS: usize = 512;

/// A command that is not written yet: its connection is being established, the system takes nothing for it just now, or
/// the iteration that began it has not ended.
pub(super) struct WaitingCommand {
    /// Of the request that awaits its response; a command without a response has none.
    pub(super) tag: Option<String>,
    pub(super) command: WireCommand,
}

/// A connection to an invoker, and its open requests by tag.
pub(super) struct Connection {
    pub(super) worker: WorkerId,
    pub(super) established: bool,
    pub(super) open: BTreeMap<String, OpenRequest>,
    /// Commands to be written, the oldest first.
    pub(super) waiting: VecDeque<WaitingCommand>,
    /// When it was established, on the engine's clock.
    pub(super) established_at: Micros,
    /// Nothing is open on it since then.
    pub(super) idle_since: Option<Instant>,
    finished: HashSet<String>,
    finished_order: VecDeque<String>,
    /// It takes no new requests, and closes after its last response.
    pub(super) draining: bool,
    /// A health check sent there was not answered, and nothing has arrived since.
    pub(super) suspect: bool,
    /// When the incomplete response in the input began.
    pub(super) partial_since: Option<Instant>,
}

impl Connection {
    /// One that is being established.
    pub(super) fn new(worker: WorkerId) -> Self {
        Self {
            worker,
            established: false,
            open: BTreeMap::new(),
            waiting: VecDeque::new(),
            established_at: 0,
            idle_since: None,
            finished: HashSet::new(),
            finished_order: VecDeque::new(),
            draining: false,
            suspect: false,
            partial_since: None,
        }
    }

    /// Removes a command that is not written yet. False: it has begun to leave, or there is none.
    pub(super) fn remove_waiting(&mut self, tag: &str) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.tag.as_deref() != Some(tag));
        before > self.waiting.len()
    }

    /// Whether a request with this tag is open, or has ended and is remembered.
    pub(super) fn has_used(&self, tag: &str) -> bool {
        self.open.contains_key(tag) || self.finished.contains(tag)
    }

    /// Remembers that the request of this tag has ended.
    pub(super) fn remember_finished(&mut self, tag: String) {
        if self.finished.insert(tag.clone()) {
            self.finished_order.push_back(tag);
        }
        if self.finished_order.len() > REMEMBERED_TAGS
            && let Some(old) = self.finished_order.pop_front()
        {
            self.finished.remove(&old);
        }
    }
}
