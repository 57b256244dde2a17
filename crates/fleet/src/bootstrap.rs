//! A controller that follows: whom it asks for the book, and which book it takes.
//!
//! What is asked never waits for what the asked one waits for: a peer answers at once with the book that it has in
//! force, or that it has none. So nobody waits in a circle, and one that hears nobody serves on what it has.

use rand::seq::index;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Millis;
use crate::snapshot_version::{SnapshotVersion, VersionOrder};

/// Peers that one without a book asks in a round, at the most.
pub const MAX_PEERS_PER_ROUND: usize = 3;
/// The administration has so long to answer before peers are asked.
pub const LEADER_HEAD_START: Millis = 500;
/// Between two rounds of peers, at first; doubled up to the most.
pub const MIN_ROUND_INTERVAL: Millis = 500;
/// See [`MIN_ROUND_INTERVAL`].
pub const MAX_ROUND_INTERVAL: Millis = 10_000;

/// Is a book that was given to be taken in place of the one that is held?
pub fn should_replace(held: Option<&SnapshotVersion>, given: &SnapshotVersion) -> Result<bool, VersionOrder> {
    let Some(held) = held else { return Ok(true) };
    match given.compare(held) {
        VersionOrder::Ahead => Ok(true),
        VersionOrder::Same => Ok(false),
        refused => Err(refused),
    }
}

/// One without a book, among peers.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    peers: usize,
    /// Peers of this round that are still to be asked.
    left: Vec<usize>,
    asked: bool,
    /// The best of this round, and who gave it.
    best: Option<(usize, SnapshotVersion)>,
    /// Two of one revision that differ: neither is guessed at.
    forked: bool,
    begun: Option<Millis>,
    not_before: Millis,
    wait: Millis,
    random: ChaCha8Rng,
}

/// What a peer answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerResponse {
    /// It has this book.
    Snapshot(SnapshotVersion),
    /// It has none, or gave no answer.
    NoSnapshot,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time.
    Wait(Millis),
    /// Ask this peer.
    Request(usize),
    /// Take the book that this peer gave in this round.
    Install(usize),
    /// Peers disagree about one revision: none of their books is taken. Said once a round.
    Forked,
}

impl Bootstrap {
    /// Among so many peers. `seed`: which of them are asked.
    pub fn new(peers: usize, seed: u64) -> Self {
        Self {
            peers,
            left: Vec::new(),
            asked: false,
            best: None,
            forked: false,
            begun: None,
            not_before: 0,
            wait: MIN_ROUND_INTERVAL,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// What is next, for one that has no book and has not heard the administration.
    pub fn next(&mut self, now: Millis) -> Step {
        let begun = *self.begun.get_or_insert(now);
        let from = self.not_before.max(begun + LEADER_HEAD_START);
        if self.peers == 0 || now < from {
            return Step::Wait(if self.peers == 0 { Millis::MAX } else { from });
        }
        if !self.asked {
            self.asked = true;
            (self.best, self.forked) = (None, false);
            // Controllers that lost power together ask different peers.
            self.left =
                index::sample(&mut self.random, self.peers, self.peers.min(MAX_PEERS_PER_ROUND)).into_vec();
        }
        match self.left.pop() {
            Some(peer) => Step::Request(peer),
            None => {
                // The round is over; the next one comes later, and apart from those of others.
                self.asked = false;
                self.not_before = now + self.random.random_range(self.wait / 2..=self.wait);
                self.wait = (self.wait * 2).min(MAX_ROUND_INTERVAL);
                match (&self.best, self.forked) {
                    (_, true) => Step::Forked,
                    (Some((peer, _)), false) => Step::Install(*peer),
                    (None, false) => Step::Wait(self.not_before),
                }
            }
        }
    }

    /// A peer has answered, or did not.
    pub fn peer_responded(&mut self, peer: usize, heard: PeerResponse) {
        let PeerResponse::Snapshot(stamp) = heard else { return };
        match self.best.as_ref().map(|(_, best)| stamp.compare(best)) {
            None | Some(VersionOrder::Ahead) => (self.best, self.forked) = (Some((peer, stamp)), false),
            Some(VersionOrder::Same | VersionOrder::Behind) => {}
            Some(VersionOrder::Forked | VersionOrder::Foreign) => self.forked = true,
        }
    }
}
