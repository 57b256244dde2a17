//! Follows another controller's administration: long polls on a thread of its own, the book kept on disk by a
//! keeper. What is asked and in which order is decided by `nettleferry_tenancy::follow`; which book is taken, and
//! whom one without a book asks, by `nettleferry_fleet`.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use nettleferry_fleet::seek::{self, Seeker, Step};
use nettleferry_fleet::stamp::{Stamp, Standing};
use nettleferry_fleet::trust::Thing;
use nettleferry_net::clock;
use nettleferry_net::post::{Answer, PostError, Poster};
use nettleferry_tenancy::follow::{Ask, Follower, Heard, News};
use nettleferry_tenancy::{Book, Entry};
use serde::Deserialize;
use tracing::{info, warn};

use super::peers::{Mirror, Peers, Whole, stamp};
use super::{Told, token};
use crate::kept::Kept;

/// How long a watch may wait for a change, and how long an answer may take beyond.
const WATCH: Duration = Duration::from_secs(20);
const PATIENCE: Duration = Duration::from_secs(30);
/// A start waits so long for what was kept.
const KEPT_WAIT: Duration = Duration::from_secs(1);
/// A snapshot is there at once or not at all.
const SNAPSHOT: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Page {
    entries: Vec<Entry>,
}

/// Whom it follows and where it keeps what it has.
pub struct Whom<'a> {
    /// The administration.
    pub to: SocketAddr,
    /// The file with its token.
    pub key_file: &'a Path,
    /// Where the book is kept.
    pub kept: &'a Path,
    /// Controllers that are asked where the administration is silent and no book is held.
    pub peers: &'a [SocketAddr],
}

pub struct Follow<T> {
    watches: Poster,
    snapshots: Poster,
    peers: Peers,
    seeker: Seeker,
    /// Books that peers gave in this round.
    given: Vec<(usize, Whole)>,
    token: String,
    number: u32,
    kept: Kept,
    follower: Follower,
    /// The epoch of the book that it holds, kept or given; `None`: it holds none.
    epoch: Option<u64>,
    /// What was last refused: said once.
    refused: Option<(Stamp, Standing)>,
    mirror: Mirror,
    tell: T,
    ended: Arc<AtomicBool>,
    start: Instant,
}

impl<T: Fn(Told)> Follow<T> {
    pub fn new(whom: &Whom, number: u32, mirror: Mirror, tell: T) -> io::Result<Self> {
        let token = token(whom.key_file)?;
        let mut kept = Kept::open(whom.kept.to_owned(), "tenants' book", KEPT_WAIT);
        let held = read(&mut kept);
        let epoch = held.as_ref().map(|whole| whole.epoch);
        *mirror.lock().unwrap_or_else(PoisonError::into_inner) = held.clone().map(Arc::new);
        let follower = Follower::new(held.map(|whole| (whole.store, whole.book)), rand::random());
        let (revision, tenants) = (follower.book().revision(), follower.book().tenants().len());
        info!(revision, tenants, epoch, to = %whom.to, "tenants as they were kept; following the administration");
        let peers = Peers::new(whom.peers, &token, number)?;
        Ok(Self {
            watches: Poster::new(whom.to, 1, PATIENCE)?,
            snapshots: Poster::new(whom.to, 1, SNAPSHOT)?,
            seeker: Seeker::new(peers.count(), rand::random()),
            given: Vec::new(),
            peers,
            token,
            number,
            kept,
            follower,
            epoch,
            refused: None,
            mirror,
            tell,
            ended: Arc::default(),
            start: Instant::now(),
        })
    }

    /// The book that was kept.
    pub fn book(&self) -> Option<Book> {
        self.epoch.map(|_| self.follower.book().clone())
    }

    pub fn ended(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ended)
    }

    pub fn waker(&self) -> Arc<mio::Waker> {
        self.watches.waker()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn stamp(&self) -> Option<Stamp> {
        Some(stamp(self.follower.store(), self.epoch?, self.follower.book()))
    }

    /// Runs until it is ended.
    pub fn run(&mut self) -> io::Result<()> {
        let mut news = Vec::new();
        while !self.ended.load(Ordering::Acquire) {
            let (ask, at) = self.follower.next();
            let wait = at.saturating_sub(self.now());
            if wait > 0 {
                self.rest(wait, &mut news)?;
            } else if let Some(answer) = self.ask(&ask)? {
                self.heard(&ask, &answer, &mut news);
            }
            self.put_in_force(&mut news);
        }
        Ok(())
    }

    /// Asks the administration, telling it what is held. `None`: the end came first.
    fn ask(&mut self, ask: &Ask) -> io::Result<Option<Result<Answer, PostError>>> {
        let held = self.stamp().map_or_else(String::new, |s| {
            format!("&store={}&epoch={}&after={}&sum={}", s.store, s.epoch, s.revision, s.sum)
        });
        let who = format!("controller={}{held}", self.number);
        let (poster, patience, target) = match ask {
            Ask::Snapshot => (&mut self.snapshots, SNAPSHOT, format!("/v1/snapshot?{who}")),
            Ask::Watch { .. } => {
                let target = format!("/v1/watch?{who}&limit=1000&wait_ms={}", WATCH.as_millis());
                (&mut self.watches, PATIENCE, target)
            }
        };
        poster.send(0, "GET", &target, &[("Authorization", &format!("Bearer {}", self.token))], b"");
        let mut heard = Vec::new();
        while heard.is_empty() && !self.ended.load(Ordering::Acquire) {
            poster.turn(Some(patience), &mut heard)?;
        }
        Ok(heard.pop().map(|(_, answer)| answer))
    }

    /// Nothing is to be asked of the administration before this span is over: one without a book asks peers.
    fn rest(&mut self, wait: u64, news: &mut Vec<News>) -> io::Result<()> {
        let mut wait = wait;
        if self.epoch.is_none() {
            match self.seeker.next(self.now()) {
                Step::Wait(until) => wait = wait.min(until.saturating_sub(self.now())),
                Step::Ask(peer) => {
                    self.ask_peer(peer);
                    return Ok(());
                }
                Step::Forked => {
                    warn!("peers hold different books of one revision: none of them is taken");
                    return Ok(());
                }
                Step::Take(peer) => {
                    if let Some(whole) = self.seeker_gave(peer) {
                        let Whole { store, book, epoch, .. } = whole;
                        info!(peer, %store, epoch, revision = book.revision(), "a peer's book is taken, as none was held and the administration is silent");
                        self.epoch = Some(epoch);
                        self.follower.heard(self.now(), Heard::Snapshot { store, book }, news);
                    }
                    return Ok(());
                }
            }
        }
        self.watches.turn(Some(Duration::from_millis(wait.max(1))), &mut Vec::new())
    }

    fn ask_peer(&mut self, peer: usize) {
        let heard = match self.peers.ask(peer).whole {
            Ok(Some(whole)) => {
                let stamp = whole.stamp();
                self.given.push((peer, whole));
                seek::Heard::Has(stamp)
            }
            Ok(None) | Err(_) => seek::Heard::Nothing,
        };
        self.seeker.heard(peer, heard);
    }

    /// The book that a peer gave in this round; the others' are given up.
    fn seeker_gave(&mut self, peer: usize) -> Option<Whole> {
        let given = std::mem::take(&mut self.given);
        given.into_iter().rev().find(|(from, _)| *from == peer).map(|(_, whole)| whole)
    }

    fn heard(&mut self, ask: &Ask, answer: &Result<Answer, PostError>, news: &mut Vec<News>) {
        let meaning = match answer {
            Ok(answer) => meaning(ask, answer),
            Err(_) => Meaning::Heard(Heard::Failed),
        };
        let heard = match meaning {
            Meaning::Heard(heard) => heard,
            Meaning::Given(whole) => self.given_book(whole),
        };
        let before = self.follower.failures();
        self.follower.heard(self.now(), heard, news);
        match (before, self.follower.failures()) {
            (0, 1) if self.refused.is_none() => {
                let why = match answer {
                    Ok(answer) => format!("status {}", answer.status),
                    Err(error) => error.to_string(),
                };
                warn!(why, "the administration can't be followed: tenants stay as they are");
            }
            (1.., 0) => info!("the administration is followed again"),
            _ => {}
        }
    }

    /// The administration gave its whole book: is it one to take?
    fn given_book(&mut self, whole: Whole) -> Heard {
        let (given, held) = (whole.stamp(), self.stamp());
        match seek::takes(held.as_ref(), &given) {
            Ok(_) => {
                self.refused = None;
                self.epoch = Some(whole.epoch);
                Heard::Snapshot { store: whole.store, book: whole.book }
            }
            Err(standing) => {
                let held = held.map(|s| s.to_string()).unwrap_or_default();
                if self.refused.as_ref() != Some(&(given.clone(), standing)) {
                    warn!(%given, held, standing = standing.word(), "the administration's book is not taken: the one that is held stands until it has caught up or an operator has decided");
                    self.refused = Some((given, standing));
                }
                Heard::Failed
            }
        }
    }

    fn put_in_force(&mut self, news: &mut Vec<News>) {
        for one in news.drain(..) {
            (self.tell)(match one {
                News::Changed(entry) => Told::Changed(entry),
                News::Began(book) => Told::Began(book),
            });
        }
        self.show_and_keep();
    }

    /// What is held is shown to peers, and kept, once it is another: also where the epoch alone has changed.
    fn show_and_keep(&self) {
        let Some(epoch) = self.epoch else { return };
        let (store, book) = (self.follower.store(), self.follower.book());
        let mut shown = self.mirror.lock().unwrap_or_else(PoisonError::into_inner);
        let same =
            |w: &Arc<Whole>| w.epoch == epoch && w.store == store && w.book.revision() == book.revision();
        if shown.as_ref().is_some_and(same) {
            return;
        }
        let whole = Arc::new(Whole { controller: None, store: store.to_owned(), epoch, book: book.clone() });
        *shown = Some(Arc::clone(&whole));
        drop(shown);
        match serde_json::to_vec(&*whole) {
            Ok(text) => self.kept.put(text),
            Err(error) => warn!(%error, "the tenants can't be kept for the next start"),
        }
    }
}

fn read(kept: &mut Kept) -> Option<Whole> {
    let payload = kept.take(Thing::Book, clock::wall() / 1000, |_| None)?;
    serde_json::from_slice::<Whole>(&payload).inspect_err(|error| kept.unusable(error)).ok()
}

enum Meaning {
    Heard(Heard),
    Given(Whole),
}

fn meaning(ask: &Ask, answer: &Answer) -> Meaning {
    Meaning::Heard(match (answer.status, ask) {
        (200, Ask::Snapshot) => {
            let whole = serde_json::from_slice::<Whole>(&answer.body);
            return whole.map_or(Meaning::Heard(Heard::Failed), Meaning::Given);
        }
        (200, Ask::Watch { .. }) => serde_json::from_slice::<Page>(&answer.body)
            .map_or(Heard::Failed, |page| Heard::Entries(page.entries)),
        (409 | 410, _) => Heard::Elsewhere,
        _ => Heard::Failed,
    })
}
