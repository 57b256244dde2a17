//! A follower without a snapshot: which peers it asks for one, when, and which it installs.
//!
//! A peer answers at once with the snapshot that it has in force, or that it has none, and never waits for what it is
//! waiting for itself. So there is no circular wait, and a follower whose peers don't answer serves what it has.
//! Sending the requests is left to the caller.

use rand::seq::index;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Millis;
use crate::snapshot_version::{SnapshotVersion, VersionOrder};

/// Peers that are asked in one round, at the most.
pub const MAX_PEERS_PER_ROUND: usize = 3;
/// The leader has this long to answer before peers are asked, milliseconds.
pub const LEADER_HEAD_START: Millis = 500;
/// Wait between the first two rounds, milliseconds; doubled with each round.
pub const MIN_ROUND_INTERVAL: Millis = 500;
/// Longest wait between two rounds, milliseconds.
pub const MAX_ROUND_INTERVAL: Millis = 10_000;

/// Is an offered snapshot to replace the current one? `Ok(false)`: it is the same.
///
/// # Errors
/// How it compares, where it is behind, forked or of another store: it is not to be installed.
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

/// A snapshot that a peer offered in this round.
#[derive(Clone, Debug)]
struct Offer {
    peer: usize,
    version: SnapshotVersion,
}

/// A follower without a snapshot, among its peers.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    peers: usize,
    /// Peers of this round that are still to be asked.
    remaining: Vec<usize>,
    /// A round is under way.
    in_round: bool,
    /// The newest snapshot that was offered in this round.
    newest: Option<Offer>,
    /// Two snapshots of one revision that differ were offered in this round: neither is chosen.
    forked: bool,
    started_at: Option<Millis>,
    not_before: Millis,
    interval: Millis,
    random: ChaCha8Rng,
}

/// What a peer answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// It has this snapshot.
    Snapshot(SnapshotVersion),
    /// It has none, or did not answer.
    NoSnapshot,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time.
    Wait(Millis),
    /// Ask this peer for its snapshot.
    Request(usize),
    /// Install the snapshot that this peer offered in this round.
    Install(usize),
    /// Peers disagree about one revision: none of their snapshots is installed. Reported once a round.
    Forked,
}

impl Bootstrap {
    /// Among so many peers. `seed`: for the choice of peers and the jitter of waits.
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

    /// What is next, while there is no snapshot and no response of the leader.
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
        // Controllers that lost power together ask different peers.
        let count = self.peers.min(MAX_PEERS_PER_ROUND);
        self.remaining = index::sample(&mut self.random, self.peers, count).into_vec();
    }

    /// Schedules the next round, apart from those of other controllers, and says what came of this one.
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

    /// A peer has answered, or did not.
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
