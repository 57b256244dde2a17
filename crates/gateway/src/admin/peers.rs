//! Asks other controllers, one after the other, which book they have in force. On a thread of its own: whoever
//! is silent holds up nobody but it. What follows from an answer is decided by `nettleferry-fleet`.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::time::Duration;

use nettleferry_fleet::stamp::Stamp;
use nettleferry_net::post::{Answer, Poster};
use nettleferry_tenancy::Book;
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
    pub book: Book,
}

fn first_epoch() -> u64 {
    1
}

impl Whole {
    /// Its stamp; the checksum is made anew from what came.
    pub fn stamp(&self) -> Stamp {
        let (revision, sum) = (self.book.revision(), self.book.sum());
        Stamp { store: self.store.clone(), epoch: self.epoch, revision, sum }
    }
}

/// Who a peer is and what it holds.
pub struct Told {
    /// Which of the peers.
    pub peer: usize,
    /// Its book; `Ok(None)`: it says that it has none; `Err`: no answer.
    pub whole: Result<Option<Whole>, String>,
    /// Its number, where it told it.
    pub controller: Option<u32>,
}

/// The thread; it ends when this is dropped.
pub struct Peers {
    asks: Sender<usize>,
    told: Receiver<Told>,
    count: usize,
}

impl Peers {
    /// Starts it. `wake` is called after each answer.
    pub fn start(
        peers: &[SocketAddr],
        token: String,
        number: u32,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<Self> {
        let mut posters = Vec::new();
        for peer in peers {
            posters.push(Poster::new(*peer, 1, PATIENCE)?);
        }
        let ((asks, asked), (telling, told)) = (channel(), sync_channel(WAITING));
        let count = peers.len();
        let work = move || answer(&mut posters, &asked, &telling, &token, number, wake);
        std::thread::Builder::new().name("peers".to_owned()).spawn(work)?;
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
    pub fn told(&self) -> Vec<Told> {
        self.told.try_iter().collect()
    }
}

fn answer(
    posters: &mut [Poster],
    asked: &Receiver<usize>,
    telling: &SyncSender<Told>,
    token: &str,
    number: u32,
    wake: impl Fn(),
) {
    let bearer = format!("Bearer {token}");
    let mut heard = Vec::new();
    while let Ok(peer) = asked.recv() {
        let Some(poster) = posters.get_mut(peer) else { continue };
        let target = format!("/v1/snapshot?controller={number}");
        poster.send(0, "GET", &target, &[("Authorization", &bearer)], b"");
        heard.clear();
        while heard.is_empty() {
            if poster.turn(Some(PATIENCE), &mut heard).is_err() {
                break;
            }
        }
        let result = heard.pop().map(|(_, result)| result);
        let told = match result {
            Some(Ok(answer)) => read(peer, &answer),
            Some(Err(error)) => Told { peer, whole: Err(error.to_string()), controller: None },
            None => Told { peer, whole: Err("the poll failed".to_owned()), controller: None },
        };
        if telling.send(told).is_err() {
            return;
        }
        wake();
    }
}

fn read(peer: usize, answer: &Answer) -> Told {
    #[derive(Deserialize)]
    struct Nothing {
        controller: Option<u32>,
    }
    match answer.status {
        200 => match serde_json::from_slice::<Whole>(&answer.body) {
            Ok(whole) => Told { peer, controller: whole.controller, whole: Ok(Some(whole)) },
            Err(error) => Told { peer, whole: Err(error.to_string()), controller: None },
        },
        // It has no book itself, and says who it is.
        503 => {
            let controller = serde_json::from_slice::<Nothing>(&answer.body).ok().and_then(|n| n.controller);
            Told { peer, whole: Ok(None), controller }
        }
        status => Told { peer, whole: Err(format!("status {status}")), controller: None },
    }
}

/// The shared state of a follower's book, for those who ask it.
pub type Mirror = Arc<std::sync::Mutex<Option<Arc<Whole>>>>;
