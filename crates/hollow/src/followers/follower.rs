//! One hollow follower without its sockets: what it asks, what an answer means to it, and its lease.

use std::time::{Duration, Instant};

use nettleferry_fleet::bootstrap;
use nettleferry_fleet::follower_requests::{Heartbeat, LeaseSpan, SNAPSHOT_TIMEOUT};
use nettleferry_fleet::lease::{self, MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::Version;
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_net::http1_client::{Answer, Http1Error};
use nettleferry_tenancy::Revision;
use nettleferry_tenancy::replication::Backoff;

use super::answer::{self, Change, Lease, Page, Snapshot};
use super::book::SharedBook;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The whole book.
    Snapshot,
    /// Changes after the revision that is held.
    Watch,
}

/// A request that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What it asks.
    pub ask: Ask,
    /// Its target.
    pub target: String,
    /// How long its answer may take.
    pub patience: Duration,
}

/// An exchange whose end has come.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// What was asked.
    pub ask: Ask,
    /// When: a lease is counted from then.
    pub asked: Instant,
    /// When its end came.
    pub now: Instant,
}

/// What an answer meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// A page of changes, or that there are none.
    Page,
    /// A book.
    Snapshot,
    /// The snapshot is to be asked for: the changes did not follow on what is held, or are not there.
    Elsewhere,
    /// This life was shut out.
    Fenced,
    /// Another status than success.
    Refused,
    /// It can't be read.
    Malformed,
    /// No answer in time.
    Late,
    /// No connection, or it broke.
    Broken,
}

/// What came of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// What the answer meant.
    pub meaning: Meaning,
    /// The administration may be asked again then.
    pub ask_again: Instant,
    /// Changes that are in force from now on.
    pub changes: Vec<Change>,
    /// It told all that holds, and gave no lease.
    pub without_lease: bool,
}

/// A follower's leases so far.
#[derive(Clone, Copy, Debug)]
pub struct Leases {
    /// When it began to ask.
    began: Instant,
    first: Option<Instant>,
    until: Option<Instant>,
    /// Time without one since the first.
    without: Duration,
    /// How often one ran out before the next came.
    pub lapses: u64,
}

impl Leases {
    fn new(began: Instant) -> Self {
        Self { began, first: None, until: None, without: Duration::ZERO, lapses: 0 }
    }

    fn given(&mut self, now: Instant, until: Instant) {
        self.first.get_or_insert(now);
        if let Some(before) = self.until
            && before < now
        {
            self.without += now - before;
            self.lapses += 1;
        }
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }

    /// Does one run now?
    pub fn runs(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Was there ever one?
    pub fn any(&self) -> bool {
        self.first.is_some()
    }

    /// Of the time since it began to ask, and of that since its first lease: how long it had one, and how long
    /// that was.
    pub fn covered(&self, now: Instant) -> Coverage {
        let whole = now.saturating_duration_since(self.began);
        let (Some(first), Some(until)) = (self.first, self.until) else {
            return Coverage { whole, ..Coverage::default() };
        };
        let since_first = now.saturating_duration_since(first);
        let without = self.without + now.saturating_duration_since(until);
        Coverage { whole, since_first, with: since_first.saturating_sub(without) }
    }
}

/// How much of some time was covered by leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Since it began to ask.
    pub whole: Duration,
    /// Since its first lease.
    pub since_first: Duration,
    /// With a lease.
    pub with: Duration,
}

impl Coverage {
    /// What came after `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            whole: self.whole.saturating_sub(before.whole),
            since_first: self.since_first.saturating_sub(before.since_first),
            with: self.with.saturating_sub(before.with),
        }
    }
}

/// The book that a follower holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Held {
    store: String,
    at: Version,
}

/// A hollow follower.
#[derive(Clone, Debug)]
pub struct Follower {
    number: u32,
    life: u64,
    /// It takes no call without a lease.
    ends: bool,
    fenced: bool,
    held: Option<Held>,
    /// It asks for the whole book.
    whole: bool,
    span: LeaseSpan,
    backoff: Backoff,
    leases: Leases,
}

impl Follower {
    /// One that holds nothing and begins to ask at `began`. `seed`: for the jitter of its waits.
    pub fn new(number: u32, life: u64, ends: bool, seed: u64, began: Instant) -> Self {
        Self {
            number,
            life,
            ends,
            fenced: false,
            held: None,
            whole: true,
            span: LeaseSpan::default(),
            backoff: Backoff::new(seed),
            leases: Leases::new(began),
        }
    }

    /// Its number and its life.
    pub fn who(&self) -> (u32, u64) {
        (self.number, self.life)
    }

    /// Its leases so far.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// The revision that it acts on; `None`: it holds no book.
    pub fn revision(&self) -> Option<Revision> {
        self.held.as_ref().map(|held| held.at.revision)
    }

    /// It was shut out.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// What it asks next.
    pub fn request(&self, book: &SharedBook) -> Request {
        let stamp = self.stamp(book);
        // What is taken is in force and on the disk at once: there is neither work nor a disk.
        let revision = stamp.as_ref().map_or(0, |stamp| stamp.revision);
        let report = Heartbeat {
            controller: self.number,
            incarnation: self.life,
            in_force: revision,
            persisted: revision,
            requires_lease: self.ends,
            fenced: self.fenced,
            snapshot: stamp.as_ref(),
        };
        if self.whole || stamp.is_none() {
            return Request {
                ask: Ask::Snapshot,
                target: report.snapshot_target(),
                patience: SNAPSHOT_TIMEOUT,
            };
        }
        let timing = self.span.timing(false);
        Request { ask: Ask::Watch, target: report.watch_target(timing.wait), patience: timing.timeout }
    }

    fn stamp(&self, book: &SharedBook) -> Option<SnapshotVersion> {
        let Held { store, at } = self.held.as_ref()?;
        book.stamp(store, at.epoch, at.revision)
    }

    /// Takes in what came of an exchange.
    pub fn heard(
        &mut self,
        exchange: Exchange,
        answer: &Result<Answer, Http1Error>,
        book: &mut SharedBook,
    ) -> Outcome {
        let before = self.revision().unwrap_or(0);
        let (meaning, lease, mut changes) = match answer {
            Err(Http1Error::Timeout) => (Meaning::Late, None, Vec::new()),
            Err(Http1Error::Broken(_)) => (Meaning::Broken, None, Vec::new()),
            Err(Http1Error::Malformed) => (Meaning::Malformed, None, Vec::new()),
            Ok(answer) => self.answered(exchange.ask, answer, book),
        };
        let ask_again = match meaning {
            Meaning::Page | Meaning::Snapshot => {
                self.backoff.succeeded();
                exchange.now
            }
            // A page that does not follow leads to the snapshot at once.
            Meaning::Elsewhere if answer.as_ref().is_ok_and(|answer| answer.status == 200) => exchange.now,
            _ => exchange.now + Duration::from_millis(self.backoff.failed()),
        };
        if let Some(lease) = lease {
            self.leased(exchange, lease);
        }
        changes.retain(|change| change.revision > before);
        let without_lease = lease.is_some_and(|lease| lease.lease_ms.is_none());
        Outcome { meaning, ask_again, changes, without_lease }
    }

    fn answered(
        &mut self,
        ask: Ask,
        answer: &Answer,
        book: &mut SharedBook,
    ) -> (Meaning, Option<Lease>, Vec<Change>) {
        let failed = |meaning| (meaning, None, Vec::new());
        match (answer.status, ask) {
            (200, Ask::Snapshot) => {
                let Ok(snapshot) = serde_json::from_slice::<Snapshot>(&answer.body) else {
                    return failed(Meaning::Malformed);
                };
                let lease = snapshot.lease;
                if self.took_snapshot(snapshot, answer, book) {
                    (Meaning::Snapshot, Some(lease), Vec::new())
                } else {
                    failed(Meaning::Refused)
                }
            }
            (200, Ask::Watch) => {
                let Ok(page) = serde_json::from_slice::<Page>(&answer.body) else {
                    return failed(Meaning::Malformed);
                };
                if self.took_page(&page, answer, book) {
                    (Meaning::Page, Some(page.lease), page.entries)
                } else {
                    self.whole = true;
                    failed(Meaning::Elsewhere)
                }
            }
            (409 | 410, _) => {
                self.whole = true;
                failed(Meaning::Elsewhere)
            }
            _ if answer::is_fenced(answer) => {
                self.fenced = true;
                failed(Meaning::Fenced)
            }
            _ => failed(Meaning::Refused),
        }
    }

    /// Takes a book, where it is not older than the one that is held.
    fn took_snapshot(&mut self, snapshot: Snapshot, answer: &Answer, book: &mut SharedBook) -> bool {
        let Snapshot { store, epoch, sum, book: given, .. } = &snapshot;
        let stamp =
            SnapshotVersion { store: store.clone(), epoch: *epoch, revision: given.revision, checksum: *sum };
        if bootstrap::should_replace(self.stamp(book).as_ref(), &stamp).is_err()
            || !book.given(&snapshot, answer)
        {
            return false;
        }
        let at = Version { epoch: stamp.epoch, revision: stamp.revision };
        self.held = Some(Held { store: stamp.store, at });
        self.whole = false;
        true
    }

    /// Takes changes, all of a page or none: they follow on the revision that is held, without a gap.
    fn took_page(&mut self, page: &Page, answer: &Answer, book: &mut SharedBook) -> bool {
        let Some(held) = &mut self.held else { return false };
        let mut revision = held.at.revision;
        for change in &page.entries {
            if change.revision > revision + 1 {
                return false;
            }
            revision = revision.max(change.revision);
        }
        if !book.changed(revision, answer) {
            return false;
        }
        held.at.revision = revision;
        true
    }

    /// The lease is counted from the ask, however long the answer was on its way.
    fn leased(&mut self, exchange: Exchange, lease: Lease) {
        let given = |ms: u64| LeaseSpan::Granted(Duration::from_millis(ms.clamp(MIN_SPAN, MAX_SPAN)));
        self.span = lease.lease_ms.map_or(LeaseSpan::NoLeases, given);
        if let Some(span) = lease.lease_ms {
            let until = exchange.asked + Duration::from_millis(lease::expires_at(0, span));
            self.leases.given(exchange.now, until);
        }
    }
}
