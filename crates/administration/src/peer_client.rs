//! Requests the snapshots of other controllers: a blocking client, and a poller that runs the client on its own thread
//! for callers that must not block. How a response is used is decided by `nettleferry_fleet`.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel, sync_channel};
use std::time::Duration;

use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use serde::Deserialize;

use crate::snapshot_document::SnapshotDocument;

/// Maximum time from a request until a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of queued responses, because a peer's snapshot may be large. The poller's thread waits when it is
/// reached.
const MAX_WAITING_RESPONSES: usize = 4;

/// Why a peer's snapshot could not be requested.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The index of the peer is out of range.
    #[error("peer index is out of range")]
    Unknown,
    /// The system's poll failed while the client waited for the response.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Exchange(#[from] Http1Error),
    /// The body of the response is not a valid snapshot document.
    #[error("the response holds no snapshot: {0}")]
    Invalid(#[from] serde_json::Error),
    /// The response has an unexpected status.
    #[error("unexpected status {0}")]
    Status(u16),
}

/// A peer's response to a request for its snapshot.
pub(crate) struct PeerState {
    /// The peer's snapshot; `Ok(None)` if the peer reported that it has none.
    pub(crate) snapshot: Result<Option<SnapshotDocument>, PeerError>,
    /// The peer's controller number, if the response contains it.
    pub(crate) controller: Option<u32>,
}

impl PeerState {
    fn failed(error: PeerError) -> Self {
        Self { snapshot: Err(error), controller: None }
    }

    fn from_response(response: &Answer) -> Self {
        match response.status {
            200 => match serde_json::from_slice::<SnapshotDocument>(&response.body) {
                Ok(document) => Self { controller: document.controller, snapshot: Ok(Some(document)) },
                Err(error) => Self::failed(error.into()),
            },
            503 => {
                let controller = serde_json::from_slice::<NoSnapshot>(&response.body).ok();
                Self { snapshot: Ok(None), controller: controller.and_then(|body| body.controller) }
            }
            status => Self::failed(PeerError::Status(status)),
        }
    }
}

/// The body of the 503 response of a peer that has no snapshot.
#[derive(Deserialize)]
struct NoSnapshot {
    controller: Option<u32>,
}

/// A blocking client for the peers, with one connection for each of them.
pub(crate) struct PeerClient {
    connections: Vec<Http1Client>,
    authorization: String,
    target: String,
}

impl PeerClient {
    /// Creates a client for the peers at these addresses. `controller` is the number of the local controller.
    ///
    /// # Errors
    /// The system cannot create a poll instance for a connection.
    pub(crate) fn new(peers: &[SocketAddr], token: &str, controller: u32) -> io::Result<Self> {
        let connect = |peer: &SocketAddr| Http1Client::new(*peer, 1, RESPONSE_TIMEOUT);
        Ok(Self {
            connections: peers.iter().map(connect).collect::<io::Result<_>>()?,
            authorization: format!("Bearer {token}"),
            target: format!("/v1/snapshot?controller={controller}"),
        })
    }

    /// The number of configured peers.
    pub(crate) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Requests a peer's snapshot, and blocks until it responds or the timeout has passed.
    pub(crate) fn poll(&mut self, peer: usize) -> PeerState {
        match self.request(peer) {
            Ok(response) => PeerState::from_response(&response),
            Err(error) => PeerState::failed(error),
        }
    }

    fn request(&mut self, peer: usize) -> Result<Answer, PeerError> {
        let connection = self.connections.get_mut(peer).ok_or(PeerError::Unknown)?;
        connection.send(0, "GET", &self.target, &[("Authorization", &self.authorization)], b"");
        let mut responses = Vec::new();
        loop {
            connection.poll(Some(RESPONSE_TIMEOUT), &mut responses)?;
            if let Some((_, response)) = responses.pop() {
                return Ok(response?);
            }
        }
    }
}

/// Requests snapshots from peers on a separate thread, which ends after this is dropped.
pub(crate) struct PeerPoller {
    requests: Sender<usize>,
    responses: Receiver<PeerState>,
    count: usize,
}

impl PeerPoller {
    /// Starts the thread, which calls `wake` after each response.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn start(mut client: PeerClient, wake: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (requests, request_receiver) = channel::<usize>();
        let (response_sender, responses) = sync_channel(MAX_WAITING_RESPONSES);
        let count = client.count();
        std::thread::Builder::new().name("peers".to_owned()).spawn(move || {
            while let Ok(peer) = request_receiver.recv() {
                if response_sender.send(client.poll(peer)).is_err() {
                    return;
                }
                wake();
            }
        })?;
        Ok(Self { requests, responses, count })
    }

    /// The number of configured peers.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Requests a peer's snapshot. The result, which may be an error, is returned by [`PeerPoller::responses`] later.
    pub(crate) fn poll(&self, peer: usize) {
        let _ = self.requests.send(peer);
    }

    /// The responses that have arrived since the previous call.
    pub(crate) fn responses(&self) -> impl Iterator<Item = PeerState> + '_ {
        self.responses.try_iter()
    }
}
