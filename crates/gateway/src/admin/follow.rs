//! Follows another controller's administration: long polls on a thread of its own, the book kept on disk by a
//! keeper. What is asked and in which order is decided by `nettleferry_tenancy::follow`; which book is taken, and
//! whom one without a book asks, by `nettleferry_fleet`.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

use nettleferry_fleet::seek::{self, Seeker, Step};
use nettleferry_fleet::stamp::{Stamp, Standing};
use nettleferry_fleet::trust::{self, Held, Thing, Verdict};
use nettleferry_keep::{Folder, Found, Keeper};
use nettleferry_net::clock;
use nettleferry_net::post::{Answer, PostError, Poster};
use nettleferry_tenancy::follow::{Ask, Follower, Heard, News};
use nettleferry_tenancy::{Book, Entry};
use serde::Deserialize;
use tracing::{info, warn};

use super::Told;
use super::peers::{Mirror, Peers, Whole};

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
    keeper: Keeper,
    follower: Follower,
    epoch: u64,
    /// It has a book: one that was kept, or that was given.
    holds: bool,
    /// What was last refused: said once.
    refused: Option<(Stamp, Standing)>,
    mirror: Mirror,
    tell: T,
    ended: Arc<AtomicBool>,
    start: Instant,
}

impl<T: Fn(Told)> Follow<T> {
    pub fn new(whom: &Whom, number: u32, mirror: Mirror, tell: T) -> io::Result<Self> {
        let token = std::fs::read_to_string(whom.key_file)?.trim().to_owned();
        let file = whom.kept.to_owned();
        let keeper = open(&file)?;
        let found = keeper.found(KEPT_WAIT)?;
        if found.is_none() {
            warn!(file = %file.display(), "the kept tenants can't be read in time and are not used");
        }
        let kept = found.and_then(|mut found| found.pop()).and_then(|found| read(&file, &found));
        let epoch = kept.as_ref().map_or(0, |whole| whole.epoch);
        let holds = kept.is_some();
        *mirror.lock().unwrap_or_else(PoisonError::into_inner) = kept.clone().map(Arc::new);
        let follower = Follower::new(kept.map(|whole| (whole.store, whole.book)), rand::random());
        let (revision, tenants) = (follower.book().revision(), follower.book().tenants().len());
        info!(revision, tenants, epoch, holds, to = %whom.to, "tenants as they were kept; following the administration");
        let watches = Poster::new(whom.to, 1, PATIENCE)?;
        let waker = watches.waker();
        let peers = Peers::start(whom.peers, token.clone(), number, move || _ = waker.wake())?;
        Ok(Self {
            watches,
            snapshots: Poster::new(whom.to, 1, SNAPSHOT)?,
            seeker: Seeker::new(peers.count(), rand::random()),
            given: Vec::new(),
            peers,
            token,
            number,
            keeper,
            follower,
            epoch,
            holds,
            refused: None,
            mirror,
            tell,
            ended: Arc::default(),
            start: Instant::now(),
        })
    }

    /// The book that was kept.
    pub fn book(&self) -> Option<Book> {
        self.holds.then(|| self.follower.book().clone())
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
        let (store, book) = (self.follower.store().to_owned(), self.follower.book());
        self.holds.then(|| Stamp { store, epoch: self.epoch, revision: book.revision(), sum: book.sum() })
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
        if !self.holds {
            match self.seeker.next(self.now()) {
                Step::Wait(until) => wait = wait.min(until.saturating_sub(self.now())),
                Step::Ask(peer) => return self.ask_peer(peer),
                Step::Forked => {
                    warn!("peers hold different books of one revision: none of them is taken");
                    return Ok(());
                }
                Step::Take(peer) => {
                    if let Some(whole) = self.seeker_gave(peer) {
                        let Whole { store, book, epoch, .. } = whole;
                        info!(peer, %store, epoch, revision = book.revision(), "a peer's book is taken, as none was held and the administration is silent");
                        (self.holds, self.epoch) = (true, epoch);
                        self.follower.heard(self.now(), Heard::Snapshot { store, book }, news);
                        self.mirror();
                    }
                    return Ok(());
                }
            }
        }
        self.watches.turn(Some(Duration::from_millis(wait.max(1))), &mut Vec::new())
    }

    fn ask_peer(&mut self, peer: usize) -> io::Result<()> {
        self.peers.ask(peer);
        let until = Instant::now() + super::peers::PATIENCE * 2;
        // Its thread answers in time, whatever the peer does.
        while Instant::now() < until && !self.ended.load(Ordering::Acquire) {
            for told in self.peers.told() {
                let heard = match told.whole {
                    Ok(Some(whole)) => {
                        let stamp = whole.stamp();
                        self.given.push((told.peer, whole));
                        seek::Heard::Has(stamp)
                    }
                    Ok(None) | Err(_) => seek::Heard::Nothing,
                };
                self.seeker.heard(told.peer, heard);
                if told.peer == peer {
                    return Ok(());
                }
            }
            self.watches.turn(Some(Duration::from_millis(20)), &mut Vec::new())?;
        }
        Ok(())
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
        self.mirror();
    }

    /// The administration gave its whole book: is it one to take?
    fn given_book(&mut self, whole: Whole) -> Heard {
        let given = whole.stamp();
        match seek::takes(self.stamp().as_ref(), &given) {
            Ok(_) => {
                self.refused = None;
                (self.holds, self.epoch) = (true, whole.epoch);
                Heard::Snapshot { store: whole.store, book: whole.book }
            }
            Err(standing) => {
                let held = self.stamp().map(|s| s.to_string()).unwrap_or_default();
                if self.refused.as_ref() != Some(&(given.clone(), standing)) {
                    warn!(%given, held, standing = standing.word(), "the administration's book is not taken: the one that is held stands until it has caught up or an operator has decided");
                    self.refused = Some((given, standing));
                }
                Heard::Failed
            }
        }
    }

    fn put_in_force(&mut self, news: &mut Vec<News>) {
        if news.is_empty() {
            return;
        }
        for one in news.drain(..) {
            (self.tell)(match one {
                News::Changed(entry) => Told::Changed(entry),
                News::Began(book) => Told::Began(book),
            });
        }
        self.mirror();
        self.keep();
    }

    fn whole(&self) -> Whole {
        let (store, book) = (self.follower.store().to_owned(), self.follower.book().clone());
        Whole { controller: None, store, epoch: self.epoch, book }
    }

    /// Shows peers what is in force.
    fn mirror(&self) {
        let mut shown = self.mirror.lock().unwrap_or_else(PoisonError::into_inner);
        let same = shown.as_ref().is_some_and(|whole| {
            whole.epoch == self.epoch
                && whole.store == self.follower.store()
                && whole.book.revision() == self.follower.book().revision()
        });
        if self.holds && !same {
            *shown = Some(Arc::new(self.whole()));
        }
    }

    fn keep(&self) {
        match serde_json::to_vec(&self.whole()) {
            Ok(text) => self.keeper.put(self.keeper.place(0), text),
            Err(error) => warn!(%error, "the tenants can't be kept for the next start"),
        }
    }
}

fn open(file: &Path) -> io::Result<Keeper> {
    let name: PathBuf = file.to_owned();
    let told = move |_, result: io::Result<u64>| {
        if let Err(error) = result {
            warn!(file = %name.display(), %error, "the tenants can't be kept for the next start");
        }
    };
    Keeper::start(Folder, &[file.to_owned()], told)
}

fn read(file: &Path, found: &Found) -> Option<Whole> {
    let file = file.display();
    let payload = match found {
        Found::Sound(record) => &record.payload,
        Found::Older { record, flaw } => {
            warn!(%file, %flaw, "the kept tenants are damaged: the version before is believed until a newer book is told");
            &record.payload
        }
        // Of an earlier version of the program: taken whole or not at all.
        Found::Unsealed(bytes) => bytes,
        Found::Damaged(flaw) => {
            warn!(%file, %flaw, "the kept tenants are not sound and are not used");
            return None;
        }
        Found::Absent => return None,
    };
    let held = Held { word: found.word(), at_ms: None };
    if let Verdict::Not(why) = trust::judge(Thing::Book, &held, clock::wall() / 1000) {
        warn!(%file, why, "the kept tenants are not believed");
        return None;
    }
    match serde_json::from_slice::<Whole>(payload) {
        Ok(whole) => Some(whole),
        Err(error) => {
            warn!(%file, %error, "the kept tenants are not sound and are not used");
            None
        }
    }
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
