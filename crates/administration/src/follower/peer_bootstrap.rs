//! Requests a first snapshot from peers, for a follower that has none while the leader does not respond. The order of
//! the requests and the choice of the snapshot are decided by `nettleferry_fleet::bootstrap`.

use std::io;
use std::net::SocketAddr;

use nettleferry_fleet::Millis;
use nettleferry_fleet::bootstrap::{Bootstrap, PeerResponse, Step};
use tracing::{info, warn};

use crate::peer_client::PeerClient;
use crate::snapshot_document::SnapshotDocument;

/// A snapshot that a peer has sent.
struct Offer {
    peer: usize,
    document: SnapshotDocument,
}

/// The result of one step of the bootstrap.
pub(super) enum BootstrapStep {
    /// The next step is due at this time.
    WaitUntil(Millis),
    /// A peer was requested, or the peers' snapshots are in conflict, or the chosen snapshot is missing; the next step
    /// is due now.
    Continue,
    /// The caller must install this snapshot.
    Install(SnapshotDocument),
}

/// The state of the bootstrap from peers.
pub(super) struct PeerBootstrap {
    client: PeerClient,
    decisions: Bootstrap,
    /// The snapshots that peers have sent since one was last taken for installation, oldest first.
    offers: Vec<Offer>,
}

impl PeerBootstrap {
    /// Creates a bootstrap from these peers. `controller` is the number of the local controller.
    ///
    /// # Errors
    /// The system cannot create a poll instance for a connection.
    pub(super) fn new(peers: &[SocketAddr], token: &str, controller: u32) -> io::Result<Self> {
        let client = PeerClient::new(peers, token, controller)?;
        let decisions = Bootstrap::new(client.count(), rand::random());
        Ok(Self { client, decisions, offers: Vec::new() })
    }

    /// Runs the next step. A request to a peer blocks until it responds or times out.
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

    /// Returns the last snapshot that a peer has sent, and drops all others.
    fn take_offer(&mut self, peer: usize) -> Option<SnapshotDocument> {
        let offers = std::mem::take(&mut self.offers);
        let document = offers.into_iter().rev().find(|offer| offer.peer == peer)?.document;
        let revision = document.snapshot.revision();
        info!(peer, store = %document.store, epoch = document.epoch, revision, "snapshot installed from a peer, as the leader does not respond");
        Some(document)
    }
}
