//! Bootstrap of a follower without a snapshot: which peers it asks, when, and whose snapshot it installs.
//!
//! A peer responds at once with the snapshot that it has in force, or that it has none. It never delays the
//! response until it has received a snapshot itself, so peers that bootstrap at the same time do not
//! deadlock. A follower whose peers do not respond continues with what it has. The caller sends the requests.

use rand::seq::index;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Millis;
use crate::snapshot_version::{SnapshotVersion, VersionOrder};

/// Maximum number of peers asked in one round.
pub const MAX_PEERS_PER_ROUND: usize = 3;
/// Time that the leader has to respond before peers are asked, in milliseconds.
pub const LEADER_HEAD_START: Millis = 500;
/// Upper bound of the delay between the first two rounds, in milliseconds. It doubles with each round.
pub const MIN_ROUND_INTERVAL: Millis = 500;
/// Upper bound of the delay between any two rounds, in milliseconds.
pub const MAX_ROUND_INTERVAL: Millis = 10_000;

/// Returns whether an offered snapshot is to replace the current one. `Ok(false)` means that they are the
/// same.
///
/// # Errors
/// Returns how the offered snapshot compares if it must not be installed: it is behind, forked or of another
/// store.
pub fn should_replace(
    current: Option<&SnapshotVersion>,
    offered: &SnapshotVersion,
) -> Result<bool, VersionOrder> {
    let Some(current) = current else { return Ok(true) };
    match offered.compare(current) {
        VersionOrder::Ahead => Ok(true),
        VersionOrder::Same => Ok(false),
        rejected => Err(rejected),
    }
}

/// A snapshot that a peer offered in the current round.
#[derive(Clone, Debug)]
struct Offer {
    peer: usize,
    version: SnapshotVersion,
}

/// The rounds of requests by which a follower without a snapshot looks for one.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    peers: usize,
    /// Peers of the current round that are still to be asked.
    remaining: Vec<usize>,
    /// Whether a round is in progress.
    in_round: bool,
    /// The newest snapshot offered in the current round.
    newest: Option<Offer>,
    /// Whether conflicting snapshots were offered in the current round, so that none is chosen.
    forked: bool,
    started_at: Option<Millis>,
    /// Earliest time of the next round.
    not_before: Millis,
    interval: Millis,
    random: ChaCha8Rng,
}

/// The response of a peer to a request for its snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// The peer has a snapshot of this version.
    Snapshot(SnapshotVersion),
    /// The peer has no snapshot, or did not respond.
    NoSnapshot,
}

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing before this time, which is [`Millis::MAX`] if there are no peers.
    Wait(Millis),
    /// Ask the peer of this index for its snapshot.
    Request(usize),
    /// Install the snapshot that the peer of this index offered in the round that has ended.
    Install(usize),
    /// Install nothing: peers offered conflicting snapshots in the round that has ended.
    Forked,
}

impl Bootstrap {
    /// Creates a bootstrap among `peers` peers. `seed` determines the choice of peers and the jitter of the
    /// delays.
    pub fn new(peers: usize, seed: u64) -> Self {
        Self {
            peers,
            remaining: Vec::new(),
            in_round: false,
            newest: None,
            forked: false,
            started_at: None,
            not_before: 0,
            interval: MIN_ROUND_INTERVAL,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the next action. To be called while the follower has neither a snapshot nor a response of the
    /// leader.
    pub fn next(&mut self, now: Millis) -> Step {
        let started_at = *self.started_at.get_or_insert(now);
        let from = self.not_before.max(started_at + LEADER_HEAD_START);
        if self.peers == 0 || now < from {
            return Step::Wait(if self.peers == 0 { Millis::MAX } else { from });
        }
        if !self.in_round {
            self.begin_round();
        }
        match self.remaining.pop() {
            Some(peer) => Step::Request(peer),
            None => self.end_round(now),
        }
    }

    fn begin_round(&mut self) {
        self.in_round = true;
        (self.newest, self.forked) = (None, false);
        // The choice is random so that controllers that lost power together ask different peers.
        let count = self.peers.min(MAX_PEERS_PER_ROUND);
        self.remaining = index::sample(&mut self.random, self.peers, count).into_vec();
    }

    /// Ends the round and schedules the next one, with jitter that spreads the rounds of different
    /// controllers. Returns the result of the round.
    fn end_round(&mut self, now: Millis) -> Step {
        self.in_round = false;
        self.not_before = now + self.random.random_range(self.interval / 2..=self.interval);
        self.interval = (self.interval * 2).min(MAX_ROUND_INTERVAL);
        match &self.newest {
            _ if self.forked => Step::Forked,
            Some(offer) => Step::Install(offer.peer),
            None => Step::Wait(self.not_before),
        }
    }

    /// Records the response of a peer that [`Step::Request`] named.
    pub fn peer_responded(&mut self, peer: usize, response: PeerResponse) {
        let PeerResponse::Snapshot(version) = response else { return };
        match self.newest.as_ref().map(|newest| version.compare(&newest.version)) {
            None | Some(VersionOrder::Ahead) => {
                (self.newest, self.forked) = (Some(Offer { peer, version }), false);
            }
            Some(VersionOrder::Same | VersionOrder::Behind) => {}
            Some(VersionOrder::Forked | VersionOrder::Foreign) => self.forked = true,
        }
    }
}
