//! What is known of one client's connection, and how readily it is evicted for a new one.

use std::collections::BTreeMap;
use std::time::Instant;

use nettleferry_platform::frames::Reader;

use super::call::RequestToken;
use crate::limits::{FIRST_BYTES_GRACE, STALLED_FRAME};

/// A client's connection.
pub(super) struct Client {
    pub(super) reader: Reader,
    /// Open streams and the tokens of their calls.
    pub(super) streams: BTreeMap<u32, RequestToken>,
    /// The newest stream that the client has opened.
    pub(super) last_stream: u32,
    /// Unusable requests and frames since the last usable request.
    pub(super) faults: u32,
    pub(super) accepted_at: Instant,
    /// A usable frame has arrived.
    pub(super) active: bool,
    /// Nothing more is read; the connection closes after its last answer.
    pub(super) closing: bool,
    /// Its side has ended: what is still read of it is answered, and not forwarded.
    pub(super) disconnecting: bool,
    /// When the incomplete frame in the input began.
    pub(super) frame_began: Option<Instant>,
    /// When the last complete frame arrived or the last answer was given.
    pub(super) idle_since: Instant,
    /// It was asked to open no new requests.
    pub(super) go_away_sent: bool,
}

impl Client {
    /// A connection accepted now.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            reader: Reader::default(),
            streams: BTreeMap::new(),
            last_stream: 0,
            faults: 0,
            accepted_at: now,
            active: false,
            closing: false,
            disconnecting: false,
            frame_began: None,
            idle_since: now,
            go_away_sent: false,
        }
    }

    /// The state in which it may be evicted, and since when it is in that state.
    pub(super) fn eviction_rank(&self, now: Instant) -> EvictionRank {
        let (order, since) = match self.frame_began {
            Some(began) if now >= began + STALLED_FRAME => (EvictionOrder::StalledFrame, began),
            Some(began) => (EvictionOrder::WithinFrame, began),
            None if self.active => (EvictionOrder::Idle, self.idle_since),
            None if now >= self.accepted_at + FIRST_BYTES_GRACE => {
                (EvictionOrder::NothingSent, self.accepted_at)
            }
            None => (EvictionOrder::New, self.accepted_at),
        };
        EvictionRank { order, since }
    }
}

/// States of a connection without an open request, in the order in which they are evicted for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionOrder {
    /// It has sent nothing for [`FIRST_BYTES_GRACE`].
    NothingSent,
    /// It was answered and is idle, or has asked whether the controller is ready.
    Idle,
    /// It stopped within a frame for [`STALLED_FRAME`].
    StalledFrame,
    /// It was accepted just now: its request is on its way. Guards against a burst of connections in which each new one
    /// evicts the one before.
    New,
    /// It is within a frame.
    WithinFrame,
}

/// A connection's place in the order of eviction: by state, then the longest in that state first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) order: EvictionOrder,
    pub(super) since: Instant,
}
