//! The state of one connection to an invoker: open requests, queued commands, and the tags of requests that
//! have ended.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use nettleferry::{Micros, WorkerId};
use xxhash_rust::xxh3::xxh3_64;

use super::pending::OpenRequest;
use super::wire_command::WireCommand;

/// Number of tags of ended requests that a connection remembers and does not use again: a duplicate response
/// must not be matched to a later attempt. Each takes 8 bytes.
const REMEMBERED_TAGS: usize = 512;

/// A command that is not written yet, because its connection is being established, the socket's send buffer
/// is full, or the current iteration has not reached its write phase.
pub(super) struct WaitingCommand {
    /// The tag of the request; `None` for a command that has no response.
    pub(super) tag: Option<String>,
    pub(super) command: WireCommand,
}

/// A connection to an invoker.
pub(super) struct Connection {
    pub(super) worker: WorkerId,
    pub(super) established: bool,
    /// Open requests by tag.
    pub(super) open: BTreeMap<String, OpenRequest>,
    /// Commands to be written, the oldest first.
    pub(super) waiting: VecDeque<WaitingCommand>,
    /// Time at which the connection was established, on the engine's clock; 0 before that.
    pub(super) established_at: Micros,
    /// Time since which no request has been open on the connection; `None` while one is open.
    pub(super) idle_since: Option<Instant>,
    /// Hashes of the tags of ended requests, the oldest first. Two tags with the same hash only make a request
    /// take another connection.
    finished: VecDeque<u64>,
    /// No new requests are sent on the connection, and it closes after its last response.
    pub(super) draining: bool,
    /// A health check sent on it timed out, and nothing has arrived since.
    pub(super) suspect: bool,
    /// Time at which the first byte of the incomplete response in the input was read; `None` without one.
    pub(super) partial_since: Option<Instant>,
}

impl Connection {
    /// Creates the state of a connection that is being established.
    pub(super) fn new(worker: WorkerId) -> Self {
        Self {
            worker,
            established: false,
            open: BTreeMap::new(),
            waiting: VecDeque::new(),
            established_at: 0,
            idle_since: None,
            finished: VecDeque::new(),
            draining: false,
            suspect: false,
            partial_since: None,
        }
    }

    /// Drops the queued command with this tag. Returns false if there is none, as it is written or writing
    /// has begun.
    pub(super) fn remove_waiting(&mut self, tag: &str) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.tag.as_deref() != Some(tag));
        before > self.waiting.len()
    }

    /// Whether this tag belongs to an open request or is remembered from one that ended.
    pub(super) fn has_used(&self, tag: &str) -> bool {
        self.open.contains_key(tag) || self.finished.contains(&tag_hash(tag))
    }

    /// Remembers the tag of a request that has ended, and forgets the oldest tag if there are too many.
    pub(super) fn remember_finished(&mut self, tag: &str) {
        if self.finished.len() >= REMEMBERED_TAGS {
            self.finished.pop_front();
        }
        self.finished.push_back(tag_hash(tag));
    }
}

fn tag_hash(tag: &str) -> u64 {
    xxh3_64(tag.as_bytes())
}
