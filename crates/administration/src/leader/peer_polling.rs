//! Polls the peers for their snapshots in rounds, while recovery has not decided which snapshot is authoritative.

use std::time::{Duration, Instant};

use crate::peer_client::{PeerPoller, PeerState};

/// Minimum interval between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The state of the polling rounds.
pub(super) struct PeerPolling {
    poller: PeerPoller,
    /// The number of peers whose response in the current round is outstanding.
    outstanding: usize,
    next_round: Instant,
}

impl PeerPolling {
    /// Creates the polling; the first round is due at `now`.
    pub(super) fn new(poller: PeerPoller, now: Instant) -> Self {
        Self { poller, outstanding: 0, next_round: now }
    }

    /// The number of configured peers.
    pub(super) fn count(&self) -> usize {
        self.poller.count()
    }

    /// Starts a round if one is due. Returns the time until the next round; `None` while responses are outstanding, and
    /// if there are no peers.
    pub(super) fn poll(&mut self) -> Option<Duration> {
        let peers = self.poller.count();
        if peers == 0 {
            return None;
        }
        if self.outstanding == 0 && Instant::now() >= self.next_round {
            self.next_round = Instant::now() + ROUND_INTERVAL;
            self.outstanding = peers;
            (0..peers).for_each(|peer| self.poller.poll(peer));
        }
        (self.outstanding == 0).then(|| self.next_round.saturating_duration_since(Instant::now()))
    }

    /// The peers' responses that have arrived since the previous call.
    pub(super) fn responses(&mut self) -> Vec<PeerState> {
        let responses: Vec<PeerState> = self.poller.responses().collect();
        self.outstanding = self.outstanding.saturating_sub(responses.len());
        responses
    }
}
