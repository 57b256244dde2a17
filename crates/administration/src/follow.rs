//! Follows another controller's administration: long polls on a thread of its own, the book kept on disk by a
//! keeper. What is asked and in which order is decided by `nettleferry_tenancy::follow`; which book is taken, and
//! whom one without a book asks, by `nettleferry_fleet`.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use nettleferry_fleet::bootstrap::{self, Bootstrap, Step};
use nettleferry_fleet::follower_requests::{
    DEREGISTRATION_TIMEOUT, Heartbeat, LeaseSpan, SNAPSHOT_TIMEOUT, deregistration_target,
};
use nettleferry_fleet::lease::{self, MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::Version;
use nettleferry_fleet::recovery_policy::PersistedState;
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};
use nettleferry_net::clock;
use nettleferry_net::post::{Answer, PostError, Poster};
use nettleferry_tenancy::Entry;
use nettleferry_tenancy::replication::{Follower, ReplicationRequest, ReplicationResponse, Update};
use serde::Deserialize;
use tracing::{info, warn};

use crate::kept::Kept;
use crate::marks::{Applied, Marks};
use crate::peers::{Mirror, Peers, Whole, stamp};
use crate::trail::{Shared, lock as lock_lines};
use crate::{Lent, Shown, Told, token};

/// What was taken is to be in force and on the disk within this span; else the administration is told how far it is.
const SETTLE: Duration = Duration::from_millis(100);
/// A start waits so long for what was kept.
const KEPT_WAIT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Page {
    entries: Vec<Entry>,
    #[serde(flatten)]
    lease: Lease,
}

/// A lease, as an answer tells it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct Lease {
    #[serde(default)]
    lease_ms: Option<u64>,
    #[serde(default)]
    place: Option<u64>,
}

/// What may come beside a book or a page.
#[derive(Deserialize)]
struct Beside {
    #[serde(flatten)]
    lease: Lease,
    #[serde(default)]
    clock: Option<Read>,
}

/// What the administration's clock read.
#[derive(Clone, Copy, Deserialize)]
struct Read {
    by: u64,
    at_ms: u64,
    #[serde(default)]
    held_ms: u64,
}

/// Bytes of lines delivered in one exchange.
const PAGE_BYTES: usize = 256 << 10;

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
    /// It takes no call without a lease.
    pub ends: bool,
    /// Its record, to be delivered.
    pub held: Option<Shared>,
    /// What its calls could use of limits, where it borrows.
    pub borrows: Option<Arc<Mutex<Shown>>>,
}

pub struct Follow<T> {
    watches: Poster,
    snapshots: Poster,
    peers: Peers,
    seeker: Bootstrap,
    /// Books that peers gave in this round.
    given: Vec<(usize, Whole)>,
    token: String,
    number: u32,
    kept: Kept,
    follower: Follower,
    /// The epoch of the book that it holds, kept or given; `None`: it holds none.
    epoch: Option<u64>,
    /// What was last refused: said once.
    refused: Option<(SnapshotVersion, VersionOrder)>,
    mirror: Mirror,
    tell: T,
    ended: Arc<AtomicBool>,
    start: Instant,
    /// This life, by chance: another one of the same number is another.
    life: u64,
    ends: bool,
    /// It was shut out, and has said so to the calls' thread.
    fenced: bool,
    /// What is in force on the calls' thread, and which put of the kept book is of which change.
    marks: Marks,
    puts: VecDeque<(u64, Version)>,
    kept_at: Version,
    /// Its record, and the last line that the administration has of it.
    held: Option<Shared>,
    delivered: u64,
    borrows: Option<Arc<Mutex<Shown>>>,
    /// The span of leases as told last.
    span: LeaseSpan,
}

impl<T: Fn(Told)> Follow<T> {
    pub fn new(whom: &Whom, number: u32, mirror: Mirror, tell: T) -> io::Result<Self> {
        let token = token(whom.key_file)?;
        let watches = Poster::new(whom.to, 1, SNAPSHOT_TIMEOUT)?;
        let waker = watches.waker();
        let written = move || _ = waker.wake();
        let mut kept = Kept::open_and_tell(whom.kept.to_owned(), "tenants' book", KEPT_WAIT, written);
        let held = read(&mut kept);
        let epoch = held.as_ref().map(|whole| whole.epoch);
        let at = held
            .as_ref()
            .map(|w| Version { epoch: w.epoch, revision: w.book.revision() })
            .unwrap_or_default();
        *mirror.lock().unwrap_or_else(PoisonError::into_inner) = held.clone().map(Arc::new);
        let follower = Follower::new(held.map(|whole| (whole.store, whole.book)), rand::random());
        let (revision, tenants) = (follower.snapshot().revision(), follower.snapshot().tenants().len());
        info!(revision, tenants, epoch, to = %whom.to, "tenants as they were kept; following the administration");
        let peers = Peers::new(whom.peers, &token, number)?;
        Ok(Self {
            watches,
            snapshots: Poster::new(whom.to, 1, SNAPSHOT_TIMEOUT)?,
            seeker: Bootstrap::new(peers.count(), rand::random()),
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
            // 0 is that of earlier versions, which tell none.
            life: rand::random::<u64>().max(1),
            ends: whom.ends,
            fenced: false,
            // What was kept is in force from the start, and on the disk.
            marks: Marks::new(at),
            puts: VecDeque::new(),
            kept_at: at,
            held: whom.held.clone(),
            delivered: 0,
            borrows: whom.borrows.clone(),
            span: LeaseSpan::default(),
        })
    }

    /// The book that was kept.
    pub fn book(&self) -> Option<Whole> {
        let (store, book) = (self.follower.store().to_owned(), self.follower.snapshot().clone());
        self.epoch.map(|epoch| Whole { controller: None, store, epoch, book })
    }

    pub fn ended(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.ended)
    }

    pub fn applied(&self) -> Applied {
        self.marks.applied()
    }

    pub fn waker(&self) -> Arc<mio::Waker> {
        self.watches.waker()
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn stamp(&self) -> Option<SnapshotVersion> {
        Some(stamp(self.follower.store(), self.epoch?, self.follower.snapshot()))
    }

    /// Runs until it is ended.
    pub fn run(&mut self) -> io::Result<()> {
        let mut news = Vec::new();
        while !self.ended.load(Ordering::Acquire) {
            let (ask, at) = self.follower.next();
            let wait = at.saturating_sub(self.now());
            if wait > 0 {
                self.rest(wait, &mut news)?;
            } else {
                // The lease is counted from before the ask, however long the answer is on its way.
                let asked = Instant::now();
                if let Some(answer) = self.ask(&ask)? {
                    self.clock(asked, &answer);
                    let lease = self.heard(&ask, &answer, &mut news);
                    self.put_in_force(&mut news);
                    self.leased(asked, lease);
                    self.settle()?;
                    if lease.is_some() {
                        self.borrow()?;
                        self.deliver()?;
                    }
                }
            }
            self.put_in_force(&mut news);
        }
        self.farewell()
    }

    /// It takes no calls any more: what it had is others' at once, and no change waits for it.
    fn farewell(&mut self) -> io::Result<()> {
        if !matches!(self.span, LeaseSpan::Granted(_)) {
            return Ok(());
        }
        let target = deregistration_target(self.number, self.life);
        let bearer = format!("Bearer {}", self.token);
        self.snapshots.set_timeout(DEREGISTRATION_TIMEOUT);
        self.snapshots.send(0, "GET", &target, &[("Authorization", &bearer)], b"");
        let (mut heard, until) = (Vec::new(), Instant::now() + DEREGISTRATION_TIMEOUT);
        while heard.is_empty() && Instant::now() < until {
            self.snapshots.poll(Some(DEREGISTRATION_TIMEOUT), &mut heard)?;
        }
        Ok(())
    }

    /// Tells what its calls could use of limits, and hears what they may.
    fn borrow(&mut self) -> io::Result<()> {
        let Some(shown) = &self.borrows else { return Ok(()) };
        let rows = shown.lock().unwrap_or_else(PoisonError::into_inner).demands();
        if rows.is_empty() {
            return Ok(());
        }
        let Ok(body) = serde_json::to_vec(&rows) else { return Ok(()) };
        let target = format!("/v1/fleet/loans?controller={}&life={}", self.number, self.life);
        // Counted from before the ask, like the lease.
        let asked = Instant::now();
        let Some(answer) = self.post(&target, &body)? else { return Ok(()) };
        #[derive(Deserialize)]
        struct Loans {
            span_ms: u64,
            loans: Vec<Lent>,
        }
        match (answer.status, serde_json::from_slice::<Loans>(&answer.body)) {
            (200, Ok(Loans { span_ms, loans })) => {
                let until = asked + Duration::from_millis(lease::ends(0, span_ms));
                (self.tell)(Told::Lent { until, loans });
            }
            (404 | 405, _) => self.borrows = None,
            _ => {}
        }
        Ok(())
    }

    fn post(&mut self, target: &str, body: &[u8]) -> io::Result<Option<Answer>> {
        let bearer = format!("Bearer {}", self.token);
        let headers = [("Authorization", bearer.as_str()), ("Content-Type", "application/json")];
        self.snapshots.set_timeout(SNAPSHOT_TIMEOUT);
        self.snapshots.send(0, "POST", target, &headers, body);
        let mut heard = Vec::new();
        while heard.is_empty() && !self.ended.load(Ordering::Acquire) {
            self.snapshots.poll(Some(SNAPSHOT_TIMEOUT), &mut heard)?;
        }
        Ok(heard.pop().and_then(|(_, answer)| answer.ok()))
    }

    /// It may act on what was told so far, for a span from when it asked.
    fn leased(&mut self, asked: Instant, lease: Option<Lease>) {
        let Some(Lease { lease_ms: span_ms, place }) = lease else { return };
        let given = |ms: u64| LeaseSpan::Granted(Duration::from_millis(ms.clamp(MIN_SPAN, MAX_SPAN)));
        let span = span_ms.map_or(LeaseSpan::NoLeases, given);
        if self.span != span {
            info!(span_ms, "leases of the administration");
            self.span = span;
        }
        if let Some(span_ms) = span_ms {
            let until = asked + Duration::from_millis(lease::ends(0, span_ms));
            (self.tell)(Told::Leased { until, place: place.unwrap_or(0) });
        }
    }

    /// What the administration's clock read, between two moments of ours.
    fn clock(&self, asked: Instant, answer: &Result<Answer, PostError>) {
        let Some(clock) =
            answer.as_ref().ok().and_then(|a| serde_json::from_slice::<Beside>(&a.body).ok()?.clock)
        else {
            return;
        };
        // It held the request for so long by its own clock, which may be a little fast.
        let held = Duration::from_millis(clock.held_ms.saturating_sub(lease::error_of(clock.held_ms)));
        let answered = Instant::now();
        (self.tell)(Told::Heard {
            asked: (asked + held).min(answered),
            answered,
            by: clock.by,
            at: clock.at_ms,
        });
    }

    /// Lines of the record go to the administration, a page an exchange; what was delivered is told by its answer.
    fn deliver(&mut self) -> io::Result<()> {
        let Some(held) = &self.held else { return Ok(()) };
        let lines = lock_lines(held).after(self.delivered, PAGE_BYTES);
        if lines.is_empty() {
            return Ok(());
        }
        let texts: Vec<&String> = lines.iter().map(|(_, text)| text).collect();
        let Ok(body) = serde_json::to_vec(&texts) else { return Ok(()) };
        let target = format!("/v1/fleet/records?controller={}", self.number);
        #[derive(Deserialize)]
        struct Delivered {
            last: u64,
        }
        if let Some(answer) = self.post(&target, &body)? {
            match (answer.status, serde_json::from_slice::<Delivered>(&answer.body)) {
                (200, Ok(delivered)) => self.delivered = delivered.last,
                // It gathers none: not asked again in this life.
                (404 | 405 | 409, _) => self.held = None,
                _ => {}
            }
        }
        Ok(())
    }

    /// What was taken comes into force and to the disk: waited for briefly, so that the next ask can tell it.
    fn settle(&mut self) -> io::Result<()> {
        let until = Instant::now() + SETTLE;
        while self.is_behind() && !self.ended.load(Ordering::Acquire) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            self.watches.poll(Some(left), &mut Vec::new())?;
        }
        Ok(())
    }

    fn is_behind(&mut self) -> bool {
        let at = self.at();
        self.marks.in_force() < at || self.kept_at() < at
    }

    /// What is held.
    fn at(&self) -> Version {
        Version { epoch: self.epoch.unwrap_or(0), revision: self.follower.snapshot().revision() }
    }

    /// What is on the disk.
    fn kept_at(&mut self) -> Version {
        let durable = self.kept.durable();
        while let Some((put, at)) = self.puts.front()
            && *put <= durable
        {
            self.kept_at = *at;
            self.puts.pop_front();
        }
        self.kept_at
    }

    /// Asks the administration, telling it what is held. `None`: the end came first.
    fn ask(&mut self, ask: &ReplicationRequest) -> io::Result<Option<Result<Answer, PostError>>> {
        let stamp = self.stamp();
        let (in_force, kept, epoch) = (self.marks.in_force(), self.kept_at(), self.epoch.unwrap_or(0));
        // Of another epoch it has nothing.
        let of = |at: Version| if at.epoch == epoch { at.revision } else { 0 };
        let report = Heartbeat {
            controller: self.number,
            incarnation: self.life,
            in_force: of(in_force),
            persisted: of(kept),
            requires_lease: self.ends,
            fenced: self.fenced,
            snapshot: stamp.as_ref(),
        };
        let timing = self.span.timing(self.is_behind());
        let (poster, patience, target) = match ask {
            ReplicationRequest::Snapshot => (&mut self.snapshots, SNAPSHOT_TIMEOUT, report.snapshot_target()),
            ReplicationRequest::Watch { .. } => {
                (&mut self.watches, timing.timeout, report.watch_target(timing.wait))
            }
        };
        poster.set_timeout(patience);
        poster.send(0, "GET", &target, &[("Authorization", &format!("Bearer {}", self.token))], b"");
        let mut heard = Vec::new();
        while heard.is_empty() && !self.ended.load(Ordering::Acquire) {
            poster.poll(Some(patience), &mut heard)?;
        }
        Ok(heard.pop().map(|(_, answer)| answer))
    }

    /// Nothing is to be asked of the administration before this span is over: one without a book asks peers.
    fn rest(&mut self, wait: u64, news: &mut Vec<Update>) -> io::Result<()> {
        let mut wait = wait;
        if self.epoch.is_none() {
            match self.seeker.next(self.now()) {
                Step::Wait(until) => wait = wait.min(until.saturating_sub(self.now())),
                Step::Request(peer) => {
                    self.ask_peer(peer);
                    return Ok(());
                }
                Step::Forked => {
                    warn!("peers hold different books of one revision: none of them is taken");
                    return Ok(());
                }
                Step::Install(peer) => {
                    if let Some(whole) = self.seeker_gave(peer) {
                        let Whole { store, book, epoch, .. } = whole;
                        info!(peer, %store, epoch, revision = book.revision(), "a peer's book is taken, as none was held and the administration is silent");
                        self.epoch = Some(epoch);
                        self.follower.response_received(
                            self.now(),
                            ReplicationResponse::Snapshot { store, snapshot: book },
                            news,
                        );
                    }
                    return Ok(());
                }
            }
        }
        self.watches.poll(Some(Duration::from_millis(wait.max(1))), &mut Vec::new())
    }

    fn ask_peer(&mut self, peer: usize) {
        let heard = match self.peers.ask(peer).whole {
            Ok(Some(whole)) => {
                let stamp = whole.stamp();
                self.given.push((peer, whole));
                bootstrap::PeerResponse::Snapshot(stamp)
            }
            Ok(None) | Err(_) => bootstrap::PeerResponse::NoSnapshot,
        };
        self.seeker.peer_responded(peer, heard);
    }

    /// The book that a peer gave in this round; the others' are given up.
    fn seeker_gave(&mut self, peer: usize) -> Option<Whole> {
        let given = std::mem::take(&mut self.given);
        given.into_iter().rev().find(|(from, _)| *from == peer).map(|(_, whole)| whole)
    }

    /// Takes an answer in. `Some`: it told all that holds, and what it said of a lease.
    fn heard(
        &mut self,
        ask: &ReplicationRequest,
        answer: &Result<Answer, PostError>,
        news: &mut Vec<Update>,
    ) -> Option<Lease> {
        if answer.as_ref().is_ok_and(is_fenced) && !self.fenced {
            warn!("this life was shut out: it takes no call any more, and is let in again as another life");
            self.fenced = true;
            (self.tell)(Told::Fenced);
        }
        let meaning = match answer {
            Ok(answer) => meaning(ask, answer),
            Err(_) => Meaning::Heard(ReplicationResponse::Failed),
        };
        let (heard, lease) = match meaning {
            Meaning::Heard(heard) => (heard, None),
            Meaning::Page(entries, lease) => (ReplicationResponse::Entries(entries), Some(lease)),
            Meaning::Given(whole, lease) => (self.given_book(whole), Some(lease)),
        };
        let taken = matches!(heard, ReplicationResponse::Entries(_) | ReplicationResponse::Snapshot { .. });
        let before = self.follower.failures();
        self.follower.response_received(self.now(), heard, news);
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
        // A page that did not follow on the book leads to a snapshot: it gives no lease.
        let follows = taken
            && !matches!(
                (ask, self.follower.next().0),
                (ReplicationRequest::Watch { .. }, ReplicationRequest::Snapshot)
            );
        lease.filter(|_| follows)
    }

    /// The administration gave its whole book: is it one to take?
    fn given_book(&mut self, whole: Whole) -> ReplicationResponse {
        let (given, held) = (whole.stamp(), self.stamp());
        match bootstrap::should_replace(held.as_ref(), &given) {
            Ok(_) => {
                self.refused = None;
                self.epoch = Some(whole.epoch);
                ReplicationResponse::Snapshot { store: whole.store, snapshot: whole.book }
            }
            Err(standing) => {
                let held = held.map(|s| s.to_string()).unwrap_or_default();
                if self.refused.as_ref() != Some(&(given.clone(), standing)) {
                    warn!(%given, held, standing = standing.as_str(), "the administration's book is not taken: the one that is held stands until it has caught up or an operator has decided");
                    self.refused = Some((given, standing));
                }
                ReplicationResponse::Failed
            }
        }
    }

    fn put_in_force(&mut self, news: &mut Vec<Update>) {
        let any = !news.is_empty();
        for one in news.drain(..) {
            (self.tell)(match one {
                Update::Changed(entry) => Told::Changed(entry),
                Update::Replaced(book) => {
                    let (store, epoch) = (self.follower.store().to_owned(), self.epoch.unwrap_or(0));
                    Told::Began(Box::new(Whole { controller: None, store, epoch, book }))
                }
            });
        }
        let at = self.at();
        if any || self.marks.last() != at {
            let mark = self.marks.told(at);
            (self.tell)(Told::Mark(mark));
        }
        self.show_and_keep();
    }

    /// What is held is shown to peers, and kept, once it is another: also where the epoch alone has changed.
    fn show_and_keep(&mut self) {
        let Some(epoch) = self.epoch else { return };
        let (store, book) = (self.follower.store(), self.follower.snapshot());
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
            Ok(text) => {
                let put = self.kept.put(text);
                // Where the disk stands still only the newest counts.
                if self.puts.len() >= MOST_PUTS {
                    self.puts.pop_back();
                }
                self.puts.push_back((put, Version { epoch, revision: self.follower.snapshot().revision() }));
            }
            Err(error) => warn!(%error, "the tenants can't be kept for the next start"),
        }
    }
}

fn read(kept: &mut Kept) -> Option<Whole> {
    let payload = kept.take(PersistedState::Snapshot, clock::wall() / 1000, |_| None)?;
    serde_json::from_slice::<Whole>(&payload).inspect_err(|error| kept.unusable(error)).ok()
}

/// Puts whose end is awaited; only the newest of many matters.
const MOST_PUTS: usize = 64;

fn is_fenced(answer: &Answer) -> bool {
    #[derive(Deserialize)]
    struct Problem {
        #[serde(rename = "type")]
        kind: String,
    }
    let told = || serde_json::from_slice::<Problem>(&answer.body);
    answer.status == 403 && told().is_ok_and(|problem| problem.kind == "/problems/fenced")
}

enum Meaning {
    Heard(ReplicationResponse),
    Page(Vec<Entry>, Lease),
    Given(Whole, Lease),
}

/// What is no book or no page to this version of the program is not half taken: it stays on what it has.
fn unknown(error: &serde_json::Error) -> Meaning {
    warn!(%error, "what the administration gave can't be taken: is it of a newer version of the program? What is held stands");
    Meaning::Heard(ReplicationResponse::Failed)
}

fn meaning(ask: &ReplicationRequest, answer: &Answer) -> Meaning {
    Meaning::Heard(match (answer.status, ask) {
        (200, ReplicationRequest::Snapshot) => {
            let lease = serde_json::from_slice::<Beside>(&answer.body).map(|b| b.lease).unwrap_or_default();
            let whole = serde_json::from_slice::<Whole>(&answer.body);
            return whole.map_or_else(|error| unknown(&error), |whole| Meaning::Given(whole, lease));
        }
        (200, ReplicationRequest::Watch { .. }) => {
            let page = serde_json::from_slice::<Page>(&answer.body);
            return page.map_or_else(|error| unknown(&error), |page| Meaning::Page(page.entries, page.lease));
        }
        (409 | 410, _) => ReplicationResponse::Diverged,
        _ => ReplicationResponse::Failed,
    })
}
