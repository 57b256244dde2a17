//! Asks other controllers which snapshot they have: a client that waits for each response, and a poller that runs it on
//! a thread of its own for those who must not wait. What follows from a response is decided by `nettleferry_fleet`.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel, sync_channel};
use std::time::Duration;

use nettleferry_net::http1_client::{Answer, Http1Client, Http1Error};
use serde::Deserialize;

use crate::snapshot_document::SnapshotDocument;

/// A peer has this long to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Responses that wait to be taken; a peer's snapshot may be large.
const MAX_WAITING_RESPONSES: usize = 4;

/// Why it is not known which snapshot a peer has.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// There are fewer peers than that.
    #[error("there is no such peer")]
    Unknown,
    /// The system failed while a response was awaited.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The exchange failed.
    #[error(transparent)]
    Exchange(#[from] Http1Error),
    /// The response holds no valid snapshot.
    #[error("the response holds no snapshot: {0}")]
    Invalid(#[from] serde_json::Error),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(u16),
}

/// What a peer said of itself.
pub(crate) struct PeerState {
    /// The snapshot that it has; `Ok(None)`: it says that it has none.
    pub(crate) snapshot: Result<Option<SnapshotDocument>, PeerError>,
    /// Its number, where it gave it.
    pub(crate) controller: Option<u32>,
}

impl PeerState {
    fn unknown(error: PeerError) -> Self {
        Self { snapshot: Err(error), controller: None }
    }

    fn of_response(response: &Answer) -> Self {
        match response.status {
            200 => match serde_json::from_slice::<SnapshotDocument>(&response.body) {
                Ok(document) => Self { controller: document.controller, snapshot: Ok(Some(document)) },
                Err(error) => Self::unknown(error.into()),
            },
            503 => {
                let controller = serde_json::from_slice::<NoSnapshot>(&response.body).ok();
                Self { snapshot: Ok(None), controller: controller.and_then(|body| body.controller) }
            }
            status => Self::unknown(PeerError::Status(status)),
        }
    }
}

/// The response of a peer that has no snapshot itself.
#[derive(Deserialize)]
struct NoSnapshot {
    controller: Option<u32>,
}

/// A client of the peers: asks one at a time, and waits for the response.
pub(crate) struct PeerClient {
    connections: Vec<Http1Client>,
    authorization: String,
    target: String,
}

impl PeerClient {
    /// A client of the peers at these addresses, for the controller of this number.
    ///
    /// # Errors
    /// The system gives no poll for a connection.
    pub(crate) fn new(peers: &[SocketAddr], token: &str, controller: u32) -> io::Result<Self> {
        let connect = |peer: &SocketAddr| Http1Client::new(*peer, 1, RESPONSE_TIMEOUT);
        Ok(Self {
            connections: peers.iter().map(connect).collect::<io::Result<_>>()?,
            authorization: format!("Bearer {token}"),
            target: format!("/v1/snapshot?controller={controller}"),
        })
    }

    /// The number of peers.
    pub(crate) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Asks a peer, and waits for its response.
    pub(crate) fn poll(&mut self, peer: usize) -> PeerState {
        match self.request(peer) {
            Ok(response) => PeerState::of_response(&response),
            Err(error) => PeerState::unknown(error),
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

/// Asks peers on a thread of its own, which ends when this is dropped.
pub(crate) struct PeerPoller {
    requests: Sender<usize>,
    responses: Receiver<PeerState>,
    count: usize,
}

impl PeerPoller {
    /// Starts the thread; `wake` is called after each response.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub(crate) fn start(mut client: PeerClient, wake: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (requests, requested) = channel::<usize>();
        let (respond, responses) = sync_channel(MAX_WAITING_RESPONSES);
        let count = client.count();
        std::thread::Builder::new().name("peers".to_owned()).spawn(move || {
            while let Ok(peer) = requested.recv() {
                if respond.send(client.poll(peer)).is_err() {
                    return;
                }
                wake();
            }
        })?;
        Ok(Self { requests, responses, count })
    }

    /// The number of peers.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Asks a peer; what it said, or that it did not respond, is among [`PeerPoller::responses`] later.
    pub(crate) fn poll(&self, peer: usize) {
        let _ = self.requests.send(peer);
    }

    /// What peers said since the last time.
    pub(crate) fn responses(&self) -> impl Iterator<Item = PeerState> + '_ {
        self.responses.try_iter()
    }
}
