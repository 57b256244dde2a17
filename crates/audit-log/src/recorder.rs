//! Records a controller's own audit log.
//!
//! Frequent acts only increment a counter: that costs no disk access, reads no clock, and allocates only for the first
//! act of a tenant or worker. The counters become an entry when the view or the stage of the lease changes, before an
//! entry for a single event, and when the interval is [`MAX_INTERVAL`] old. Entries wait in a bounded queue until the
//! caller takes and stores them. Entries that do not fit are dropped, and the next entry that fits follows an
//! [`EntryKind::Gap`] with their number.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Millis;
use crate::clock::ClockExchange;
use crate::entry::{Entry, EntryKind, Event, GENESIS_HASH, Hash, hash};
use crate::view::View;

/// The age in milliseconds at which an interval with acts is closed. An act may have happened at any time in its
/// interval, so shorter intervals leave fewer doubtful findings.
pub const MAX_INTERVAL: Millis = 1_000;
/// The capacity of the queue of entries that wait to be stored.
pub const MAX_WAITING_ENTRIES: usize = 4_096;
/// The number of tenants, and of workers, that are counted individually in one interval. Acts of further ones are
/// counted together, under [`OTHERS`].
pub const MAX_COUNTED_NAMES: usize = 4_096;
/// The name under which acts beyond [`MAX_COUNTED_NAMES`] are counted.
pub const OTHERS: &str = "(others)";

/// The stage of the lease when an incarnation starts, as entries contain it.
const FIRST_STAGE: &str = "current";

/// Counts of one kind of act in the open interval, by tenant or worker id.
#[derive(Clone, Debug, Default)]
struct Tally {
    counts: HashMap<u64, u64>,
    others: u64,
}

impl Tally {
    fn add(&mut self, id: u64) {
        if let Some(count) = self.counts.get_mut(&id) {
            *count += 1;
        } else if self.counts.len() < MAX_COUNTED_NAMES {
            self.counts.insert(id, 1);
        } else {
            self.others += 1;
        }
    }

    /// Removes all counts and returns them by name. Counts of ids with the same name are added.
    fn take(&mut self, name: impl Fn(u64) -> String) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for (id, count) in self.counts.drain() {
            *all.entry(name(id)).or_insert(0) += count;
        }
        let others = std::mem::take(&mut self.others);
        if others > 0 {
            *all.entry(OTHERS.to_owned()).or_insert(0) += others;
        }
        all
    }

    fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.others == 0
    }
}

/// Resolves the ids under which acts are counted to names.
pub trait NameResolver {
    /// The name of a tenant.
    fn tenant(&self, id: u64) -> String;
    /// The name of a worker.
    fn worker(&self, id: u64) -> String;
}

/// The end of a log, to which the next entry is chained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The number of the last entry.
    pub number: u64,
    /// The hash of the last entry's text.
    pub hash: Hash,
}

/// The interval that an entry covers.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: Millis,
    to: Millis,
}

impl Interval {
    /// The interval of a single moment.
    fn at(moment: Millis) -> Self {
        Self { from: moment, to: moment }
    }
}

/// The current view and its number in this incarnation.
#[derive(Clone, Debug)]
struct NumberedView {
    number: u32,
    view: View,
}

/// Records the audit log of a controller and chains its entries.
#[derive(Clone, Debug)]
pub struct Recorder {
    incarnation: u64,
    tail: Tail,
    view: Option<NumberedView>,
    stage: &'static str,
    calls: Tally,
    attempts: Tally,
    orders: Tally,
    rejected: u64,
    /// From the first to the last act since the counters were last written; `None` if there was none.
    open_interval: Option<Interval>,
    waiting: VecDeque<String>,
    /// Entries dropped from the full queue since the last one that fitted.
    dropped: u64,
}

impl Recorder {
    /// Starts the log of an incarnation. `tail` is the end of the log that earlier incarnations stored, if any.
    pub fn new(now: Millis, incarnation: u64, controller: u32, program: &str, tail: Option<Tail>) -> Self {
        let mut recorder = Self {
            incarnation,
            tail: tail.unwrap_or_else(|| Tail { number: 0, hash: GENESIS_HASH.to_owned() }),
            view: None,
            stage: FIRST_STAGE,
            calls: Tally::default(),
            attempts: Tally::default(),
            orders: Tally::default(),
            rejected: 0,
            open_interval: None,
            waiting: VecDeque::new(),
            dropped: 0,
        };
        recorder.append(now, EntryKind::Started { controller, program: program.to_owned() });
        recorder
    }

    /// The number of the current view; 0 if none was applied yet.
    fn view_number(&self) -> u32 {
        self.view.as_ref().map_or(0, |view| view.number)
    }

    /// Records that the controller applied a view. Earlier acts are written under the previous view. A view that equals
    /// the current one is ignored.
    pub fn view_applied(&mut self, now: Millis, view: View, names: &impl NameResolver) {
        if self.view.as_ref().is_some_and(|current| current.view == view) {
            return;
        }
        self.close(names);
        let number = self.view_number() + 1;
        self.append(now, EntryKind::View { view: number, parts: view.clone() });
        self.view = Some(NumberedView { number, view });
    }

    /// Records the stage of the controller's lease. Does nothing if it is the current one.
    pub fn lease_stage_changed(&mut self, now: Millis, stage: &'static str, names: &impl NameResolver) {
        if self.stage != stage {
            self.close(names);
            self.stage = stage;
            self.event(now, Event::LeaseStageChanged { stage: stage.to_owned() }, names);
        }
    }

    /// Counts an accepted call of a tenant.
    pub fn call_accepted(&mut self, now: Millis, tenant: u64) {
        self.calls.add(tenant);
        self.extend(now);
    }

    /// Counts an attempt that was sent to a worker.
    pub fn attempt_sent(&mut self, now: Millis, worker: u64) {
        self.attempts.add(worker);
        self.extend(now);
    }

    /// Counts a load order that was sent to a worker.
    pub fn load_order_sent(&mut self, now: Millis, worker: u64) {
        self.orders.add(worker);
        self.extend(now);
    }

    /// Counts a call that was rejected because the controller has no lease.
    pub fn call_rejected(&mut self, now: Millis) {
        self.rejected += 1;
        self.extend(now);
    }

    /// Extends the open interval to `now`, or opens one.
    fn extend(&mut self, now: Millis) {
        match &mut self.open_interval {
            Some(interval) => interval.to = now,
            None => self.open_interval = Some(Interval::at(now)),
        }
    }

    /// Records an event in an entry of its own, after the acts before it.
    pub fn event(&mut self, now: Millis, event: Event, names: &impl NameResolver) {
        self.close(names);
        self.append(now, EntryKind::Event { view: self.view_number(), event });
    }

    /// Records an exchange with the leader. `leader` is the identifier of the leader's incarnation.
    pub fn clock_exchange(&mut self, leader: u64, exchange: ClockExchange) {
        let interval = Interval { from: exchange.sent, to: exchange.received };
        let leader_time = exchange.leader_time;
        self.append_interval(interval, EntryKind::ClockExchange { leader, leader_time });
    }

    /// Appends an entry for a single moment, such as an accepted change.
    pub fn append(&mut self, now: Millis, kind: EntryKind) {
        self.append_interval(Interval::at(now), kind);
    }

    /// Closes the open interval if it is at least [`MAX_INTERVAL`] old. Called regularly by the controller's event
    /// loop.
    pub fn tick(&mut self, now: Millis, names: &impl NameResolver) {
        if self.open_interval.is_some_and(|interval| now >= interval.from + MAX_INTERVAL) {
            self.close(names);
        }
    }

    /// Closes the open interval and appends an entry with its counts.
    pub fn close(&mut self, names: &impl NameResolver) {
        let Some(interval) = self.open_interval.take() else { return };
        let counted_nothing = self.calls.is_empty() && self.attempts.is_empty() && self.orders.is_empty();
        if counted_nothing && self.rejected == 0 {
            return;
        }
        let kind = EntryKind::Activity {
            view: self.view_number(),
            stage: self.stage.to_owned(),
            calls: self.calls.take(|id| names.tenant(id)),
            attempts: self.attempts.take(|id| names.worker(id)),
            orders: self.orders.take(|id| names.worker(id)),
            rejected: std::mem::take(&mut self.rejected),
        };
        self.append_interval(interval, kind);
    }

    /// Queues an entry, or drops it if the queue is full. After a drop, the next entry is preceded by one that declares
    /// the gap.
    fn append_interval(&mut self, interval: Interval, kind: EntryKind) {
        if self.waiting.len() >= MAX_WAITING_ENTRIES {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let entries = std::mem::take(&mut self.dropped);
            let reason = "the disk did not take lines fast enough".to_owned();
            self.push(Interval::at(interval.from), EntryKind::Gap { entries, reason });
        }
        self.push(interval, kind);
    }

    /// Chains an entry to the log's tail and queues its text.
    fn push(&mut self, interval: Interval, kind: EntryKind) {
        let number = self.tail.number + 1;
        let entry = Entry {
            number,
            incarnation: self.incarnation,
            from: interval.from,
            to: interval.to,
            prev: self.tail.hash.clone(),
            kind,
        };
        let text = entry.to_json();
        self.tail = Tail { number, hash: hash(&text) };
        self.waiting.push_back(text);
    }

    /// Removes up to `max_count` queued entries and returns them, oldest first.
    pub fn take(&mut self, max_count: usize) -> impl Iterator<Item = String> + '_ {
        let count = max_count.min(self.waiting.len());
        self.waiting.drain(..count)
    }

    /// Returns taken entries that could not be stored to the front of the queue. `entries` has the oldest first.
    pub fn put_back(&mut self, entries: Vec<String>) {
        for entry in entries.into_iter().rev() {
            self.waiting.push_front(entry);
        }
    }

    /// The number of queued entries.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
