//! How controllers without a snapshot obtain one from the leader or from peers. `nettleferry_fleet::bootstrap` decides
//! which peer is asked and which snapshot is installed.

use nettleferry_fleet::bootstrap::{PeerResponse, Step};

use super::{Event, LeaderReturn, Simulation, SnapshotResponse, snapshot};
use crate::{Micros, ms};

/// Bytes of a tenant in a snapshot.
const TENANT_BYTES: u64 = 700;
/// Bytes of a request, and of a response without a snapshot.
const EMPTY_BYTES: u64 = 300;
/// Time after which a request without a response has failed.
const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Minimum wait before the next round of requests, which begins with the leader again.
const MIN_ROUND_WAIT: Micros = 100_000;
/// Maximum wait before the next round of requests.
const MAX_ROUND_WAIT: Micros = 10_000_000;

/// Converts the index of a peer, which does not count the controller itself, to a controller number.
fn peer_number(controller: usize, peer: usize) -> usize {
    if peer >= controller { peer + 1 } else { peer }
}

impl Simulation {
    fn is_leader_available(&self, now: Micros) -> bool {
        match self.plan.leader_return {
            LeaderReturn::First => true,
            LeaderReturn::After(at) => now >= at,
            LeaderReturn::Never => false,
        }
    }

    /// Sends a request for a snapshot to a peer, or to the leader if `peer` is `None`, and schedules its timeout.
    fn request_snapshot(&mut self, now: Micros, controller: usize, peer: Option<usize>) {
        let state = &mut self.controllers[controller];
        state.request += 1;
        let request = state.request;
        let timeout = SnapshotResponse { controller, peer, snapshot: None, request };
        self.events.schedule(now + RESPONSE_TIMEOUT, Event::Response(timeout));
        let Some(request_time) = self.plan.network.transfer_time(&mut self.random, EMPTY_BYTES) else {
            return;
        };
        let arrival = now + request_time;
        let snapshot = match peer {
            None => self.is_leader_available(arrival).then(|| snapshot(&self.plan)),
            Some(peer) => self.controllers[peer_number(controller, peer)].snapshot.clone(),
        };
        // A leader that is not available does not respond. A peer without a snapshot responds that it has none.
        if peer.is_none() && snapshot.is_none() {
            return;
        }
        let bytes = EMPTY_BYTES + snapshot.as_ref().map_or(0, |_| self.plan.tenants * TENANT_BYTES);
        match peer {
            None => self.leader.count(arrival, bytes),
            Some(peer) => self.peers[peer_number(controller, peer)].count(arrival, bytes),
        }
        if let Some(response_time) = self.plan.network.transfer_time(&mut self.random, bytes) {
            let response = SnapshotResponse { controller, peer, snapshot, request };
            self.events.schedule(arrival + response_time, Event::Response(response));
        }
    }

    /// Takes the next step of a controller without a snapshot. In each round it asks the leader first and then peers.
    /// Does nothing if the controller has a snapshot.
    pub(super) fn bootstrap(&mut self, now: Micros, controller: usize) {
        let state = &mut self.controllers[controller];
        if state.snapshot.is_some() {
            return;
        }
        if !std::mem::replace(&mut state.leader_asked, true) {
            return self.request_snapshot(now, controller, None);
        }
        match state.bootstrap.next(ms(now)) {
            Step::Wait(until_ms) => {
                state.leader_asked = false;
                let until = until_ms.saturating_mul(1000).clamp(now + MIN_ROUND_WAIT, now + MAX_ROUND_WAIT);
                self.events.schedule(until, Event::Bootstrap(controller));
            }
            Step::Request(peer) => self.request_snapshot(now, controller, Some(peer)),
            Step::Install(_) => {
                (state.snapshot, state.snapshot_since) = (Some(snapshot(&self.plan)), now);
            }
            Step::Forked => self.events.schedule(now + MIN_ROUND_WAIT, Event::Bootstrap(controller)),
        }
    }

    /// Processes a response or a timeout, whichever comes first. A response to an earlier request is ignored.
    pub(super) fn handle_snapshot_response(&mut self, now: Micros, response: SnapshotResponse) {
        let SnapshotResponse { controller, peer, snapshot, request } = response;
        let state = &mut self.controllers[controller];
        if state.request != request || state.snapshot.is_some() {
            return;
        }
        state.request += 1;
        match (peer, snapshot) {
            (None, Some(snapshot)) => (state.snapshot, state.snapshot_since) = (Some(snapshot), now),
            (None, None) => {}
            (Some(peer), Some(snapshot)) => {
                state.bootstrap.peer_responded(peer, PeerResponse::Snapshot(snapshot));
            }
            (Some(peer), None) => state.bootstrap.peer_responded(peer, PeerResponse::NoSnapshot),
        }
        self.events.schedule(now, Event::Bootstrap(controller));
    }
}
