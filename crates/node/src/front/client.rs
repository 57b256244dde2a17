//! The state of a client connection, and its place in the order of eviction.

use std::collections::BTreeMap;
use std::time::Instant;

use nettleferry_platform::frames::Reader;

use super::call::RequestToken;
use crate::limits::{FIRST_BYTES_GRACE, STALLED_FRAME};

/// The state of a client connection.
pub(super) struct Client {
    pub(super) reader: Reader,
    /// Open streams and the tokens of their calls.
    pub(super) streams: BTreeMap<u32, RequestToken>,
    /// The highest stream id that the client has used.
    pub(super) last_stream: u32,
    /// Unusable requests and frames since the last valid request.
    pub(super) faults: u32,
    pub(super) accepted_at: Instant,
    /// A usable frame has arrived on the connection.
    pub(super) active: bool,
    /// How far the close of the connection has come.
    pub(super) stage: CloseStage,
    /// The client has ended its side: requests that are still read are answered and not forwarded.
    pub(super) disconnecting: bool,
    /// Time at which the first byte of the incomplete frame in the input was read; `None` without an
    /// incomplete frame.
    pub(super) frame_began: Option<Instant>,
    /// Time at which the connection was accepted, the last complete frame was read or the last final answer
    /// was sent, whichever is latest.
    pub(super) idle_since: Instant,
    /// The client was asked to open no new requests.
    pub(super) go_away_sent: bool,
}

impl Client {
    /// Creates the state of a connection that was accepted at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            reader: Reader::default(),
            streams: BTreeMap::new(),
            last_stream: 0,
            faults: 0,
            accepted_at: now,
            active: false,
            stage: CloseStage::Open,
            disconnecting: false,
            frame_began: None,
            idle_since: now,
            go_away_sent: false,
        }
    }

    /// Returns the connection's place in the order of eviction. It applies only while no request is open on
    /// it.
    pub(super) fn eviction_rank(&self, now: Instant) -> EvictionRank {
        if self.stage != CloseStage::Open {
            return EvictionRank { order: EvictionOrder::ClosingForFaults, since: self.accepted_at };
        }
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

/// How far the close of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseStage {
    /// Requests are accepted.
    Open,
    /// The client was told that the connection closes for its faults. Requests that it may have written before
    /// it read that are refused.
    Refusing {
        /// Time at which no more input is read.
        until: Instant,
        /// Number of requests that are still refused; one more ends this stage.
        remaining: usize,
    },
    /// No more input is read, and the connection closes after the last answer.
    Closing,
}

/// States of a connection without open requests, in the order in which they are evicted for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionOrder {
    /// No usable frame has arrived within [`FIRST_BYTES_GRACE`] of acceptance.
    NothingSent,
    /// The connection was used and is idle.
    Idle,
    /// A frame has been incomplete for [`STALLED_FRAME`].
    StalledFrame,
    /// The client was told that the connection closes for its faults, and requests may still be on their way.
    ClosingForFaults,
    /// The connection was accepted less than [`FIRST_BYTES_GRACE`] ago, and its first request is still
    /// expected. It comes late in the order so that in a burst of connections a new one does not evict the
    /// one before it.
    New,
    /// A frame is being received.
    WithinFrame,
}

/// A connection's place in the order of eviction: by state, then by the time at which it entered that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    pub(super) order: EvictionOrder,
    pub(super) since: Instant,
}
