//! A first snapshot from peers, for a follower that has none and whose leader does not respond. Whom to ask when, and
//! which response to take, is decided by `nettleferry_fleet::bootstrap`.

use std::io;
use std::net::SocketAddr;

use nettleferry_fleet::Millis;
use nettleferry_fleet::bootstrap::{Bootstrap, PeerResponse, Step};
use tracing::{info, warn};

use crate::peer_client::PeerClient;
use crate::snapshot_document::SnapshotDocument;

/// A snapshot that a peer gave.
struct Offer {
    peer: usize,
    document: SnapshotDocument,
}

/// What a step of the bootstrap led to.
pub(super) enum BootstrapStep {
    /// Nothing is to be done before this moment.
    WaitUntil(Millis),
    /// A peer was asked, or peers disagree: another step follows.
    Continue,
    /// This snapshot is to be installed.
    Install(SnapshotDocument),
}

/// The bootstrap.
pub(super) struct PeerBootstrap {
    client: PeerClient,
    decisions: Bootstrap,
    /// Snapshots that peers gave in this round.
    offers: Vec<Offer>,
}

impl PeerBootstrap {
    /// A bootstrap from these peers, for the controller of this number.
    ///
    /// # Errors
    /// The system gives no poll for a connection.
    pub(super) fn new(peers: &[SocketAddr], token: &str, controller: u32) -> io::Result<Self> {
        let client = PeerClient::new(peers, token, controller)?;
        let decisions = Bootstrap::new(client.count(), rand::random());
        Ok(Self { client, decisions, offers: Vec::new() })
    }

    /// Does what is to be done next; asking a peer waits for its response.
    pub(super) fn step(&mut self, now: Millis) -> BootstrapStep {
        match self.decisions.next(now) {
            Step::Wait(until) => BootstrapStep::WaitUntil(until),
            Step::Request(peer) => {
                self.poll(peer);
                BootstrapStep::Continue
            }
            Step::Forked => {
                warn!("peers have different snapshots of one revision, none of them is installed");
                BootstrapStep::Continue
            }
            Step::Install(peer) => {
                self.take_offer(peer).map_or(BootstrapStep::Continue, BootstrapStep::Install)
            }
        }
    }

    fn poll(&mut self, peer: usize) {
        let response = match self.client.poll(peer).snapshot {
            Ok(Some(document)) => {
                let version = document.version();
                self.offers.push(Offer { peer, document });
                PeerResponse::Snapshot(version)
            }
            Ok(None) | Err(_) => PeerResponse::NoSnapshot,
        };
        self.decisions.peer_responded(peer, response);
    }

    /// The snapshot that a peer gave last in this round; the others are given up.
    fn take_offer(&mut self, peer: usize) -> Option<SnapshotDocument> {
        let offers = std::mem::take(&mut self.offers);
        let document = offers.into_iter().rev().find(|offer| offer.peer == peer)?.document;
        let revision = document.snapshot.revision();
        info!(peer, store = %document.store, epoch = document.epoch, revision, "snapshot installed from a peer, as the leader does not respond");
        Some(document)
    }
}
