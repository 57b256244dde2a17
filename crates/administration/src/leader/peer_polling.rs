//! Asks the peers which snapshot they have, round by round, while it is not decided which one counts.

use std::time::{Duration, Instant};

use crate::peer_client::{PeerPoller, PeerState};

/// A round starts at most this often.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The rounds.
pub(super) struct PeerPolling {
    poller: PeerPoller,
    /// Peers that have not responded in this round.
    outstanding: usize,
    next_round: Instant,
}

impl PeerPolling {
    /// The first round starts now.
    pub(super) fn new(poller: PeerPoller, now: Instant) -> Self {
        Self { poller, outstanding: 0, next_round: now }
    }

    /// The number of peers.
    pub(super) fn count(&self) -> usize {
        self.poller.count()
    }

    /// Starts a round if one is due. Returns how long until the next one, if none is on its way.
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

    /// What peers said since the last time.
    pub(super) fn responses(&mut self) -> Vec<PeerState> {
        let responses: Vec<PeerState> = self.poller.responses().collect();
        self.outstanding = self.outstanding.saturating_sub(responses.len());
        responses
    }
}
