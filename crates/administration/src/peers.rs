//! Asks other controllers, one after the other, which book they have in force: on the asker's own thread, or, for
//! one who may not wait, on a thread that whoever is silent holds up alone. What follows from an answer is decided by `nettleferry-fleet`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel, sync_channel};
use std::time::Duration;

use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_net::post::{Answer, Poster};
use nettleferry_tenancy::TenantSnapshot;
use serde::{Deserialize, Serialize};

/// A peer has so long to answer.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Answers that wait to be taken; a peer's book may be large.
const WAITING: usize = 4;

/// A book with its stamp: the body of a snapshot, and what a follower keeps.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Whole {
    /// Who gave it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<u32>,
    /// The store.
    pub store: String,
    /// Its epoch: books kept by earlier versions are of the first.
    #[serde(default = "first_epoch")]
    pub epoch: u64,
    /// The book.
    pub book: TenantSnapshot,
}

fn first_epoch() -> u64 {
    1
}

impl Whole {
    /// Its stamp; the checksum is made anew from what came.
    pub fn stamp(&self) -> SnapshotVersion {
        stamp(&self.store, self.epoch, &self.book)
    }
}

/// The stamp of a book of this store and epoch.
pub fn stamp(store: &str, epoch: u64, book: &TenantSnapshot) -> SnapshotVersion {
    SnapshotVersion { store: store.to_owned(), epoch, revision: book.revision(), checksum: book.checksum() }
}

/// Who a peer is and what it holds.
pub struct Told {
    /// Its book; `Ok(None)`: it says that it has none; `Err`: no answer.
    pub whole: Result<Option<Whole>, String>,
    /// Its number, where it told it.
    pub controller: Option<u32>,
}

/// Peers that are asked one at a time, by whoever may wait for an answer.
pub struct Peers {
    posters: Vec<Poster>,
    bearer: String,
    target: String,
}

impl Peers {
    /// Those at these addresses. `number`: who asks.
    pub fn new(peers: &[SocketAddr], token: &str, number: u32) -> io::Result<Self> {
        let posters = peers.iter().map(|peer| Poster::new(*peer, 1, PATIENCE)).collect::<io::Result<_>>()?;
        let (bearer, target) = (format!("Bearer {token}"), format!("/v1/snapshot?controller={number}"));
        Ok(Self { posters, bearer, target })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.posters.len()
    }

    /// Asks one of them, and waits as long as it has to answer.
    pub fn ask(&mut self, peer: usize) -> Told {
        let nothing = |why: String| Told { whole: Err(why), controller: None };
        let Some(poster) = self.posters.get_mut(peer) else {
            return nothing("there is no such peer".to_owned());
        };
        poster.send(0, "GET", &self.target, &[("Authorization", &self.bearer)], b"");
        let mut heard = Vec::new();
        while heard.is_empty() {
            if let Err(error) = poster.poll(Some(PATIENCE), &mut heard) {
                return nothing(error.to_string());
            }
        }
        match heard.pop() {
            Some((_, Ok(answer))) => read(&answer),
            Some((_, Err(error))) => nothing(error.to_string()),
            None => nothing("no answer came".to_owned()),
        }
    }
}

/// Peers that a thread asks, for one who may not wait; it ends when this is dropped.
pub struct Asker {
    asks: Sender<usize>,
    told: Receiver<Told>,
    count: usize,
}

impl Asker {
    /// Starts it. `wake` is called after each answer.
    pub fn start(mut peers: Peers, wake: impl Fn() + Send + 'static) -> io::Result<Self> {
        let ((asks, asked), (telling, told)) = (channel::<usize>(), sync_channel(WAITING));
        let count = peers.count();
        std::thread::Builder::new().name("peers".to_owned()).spawn(move || {
            while let Ok(peer) = asked.recv() {
                if telling.send(peers.ask(peer)).is_err() {
                    return;
                }
                wake();
            }
        })?;
        Ok(Self { asks, told, count })
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Asks one of them; its answer, or that there is none, is told later.
    pub fn ask(&self, peer: usize) {
        let _ = self.asks.send(peer);
    }

    /// What was told since the last time.
    pub fn told(&self) -> impl Iterator<Item = Told> + '_ {
        self.told.try_iter()
    }
}

fn read(answer: &Answer) -> Told {
    #[derive(Deserialize)]
    struct Nothing {
        controller: Option<u32>,
    }
    match answer.status {
        200 => match serde_json::from_slice::<Whole>(&answer.body) {
            Ok(whole) => Told { controller: whole.controller, whole: Ok(Some(whole)) },
            Err(error) => Told { whole: Err(error.to_string()), controller: None },
        },
        // It has no book itself, and says who it is.
        503 => {
            let controller = serde_json::from_slice::<Nothing>(&answer.body).ok().and_then(|n| n.controller);
            Told { whole: Ok(None), controller }
        }
        status => Told { whole: Err(format!("status {status}")), controller: None },
    }
}

/// The shared state of a follower's book, for those who ask it.
pub type Mirror = Arc<std::sync::Mutex<Option<Arc<Whole>>>>;
