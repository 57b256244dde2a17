//! A controller's own audit log. On the ordinary path an act is a counter: no allocation once a name was seen, no
//! clock of its own, no disk. Entries come at a change of view or stage, and when an interval has become long; they
//! wait in a bounded queue for whoever writes them, and what finds no room there is declared as missing.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Millis;
use crate::clock::ClockExchange;
use crate::entry::{Entry, EntryKind, Event, GENESIS_HASH, Hash, hash};
use crate::view::View;

/// An interval with acts is closed after so many milliseconds at the latest: the shorter, the fewer doubtful findings.
pub const MAX_INTERVAL: Millis = 1_000;
/// Entries that wait to be written at the most.
pub const MAX_WAITING_ENTRIES: usize = 4_096;
/// Names counted in one interval at the most; acts beyond them are counted together, under [`OTHERS`].
pub const MAX_COUNTED_NAMES: usize = 4_096;
/// The name under which acts beyond [`MAX_COUNTED_NAMES`] are counted.
pub const OTHERS: &str = "(others)";

/// The stage of the lease at the start, as entries spell it.
const FIRST_STAGE: &str = "current";

/// What an interval counts by name.
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

    /// Takes all counts, by name.
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

/// Names for the numbers under which acts are counted.
pub trait NameResolver {
    /// A tenant's name.
    fn tenant(&self, id: u64) -> String;
    /// A worker's name.
    fn worker(&self, id: u64) -> String;
}

/// The end of a log, on which the next entry follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The last entry's number.
    pub number: u64,
    /// The last entry's hash.
    pub hash: Hash,
}

/// The times of an entry.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: Millis,
    to: Millis,
}

impl Interval {
    fn at(moment: Millis) -> Self {
        Self { from: moment, to: moment }
    }
}

/// A view with its number in this incarnation.
#[derive(Clone, Debug)]
struct NumberedView {
    number: u32,
    view: View,
}

/// A controller's audit log as it is written.
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
    /// The open interval: from its first act to its last one.
    open: Option<Interval>,
    waiting: VecDeque<String>,
    /// Entries that found no room since the last one that did.
    missing: u64,
}

impl Recorder {
    /// An incarnation starts. `tail`: the end of the log that earlier ones left on this disk.
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
            open: None,
            waiting: VecDeque::new(),
            missing: 0,
        };
        recorder.append(now, EntryKind::Started { controller, program: program.to_owned() });
        recorder
    }

    /// The number of the view in force; 0: none.
    fn view_number(&self) -> u32 {
        self.view.as_ref().map_or(0, |view| view.number)
    }

    /// From now on the controller acts on this view: what was done before is closed under the one before.
    pub fn view_applied(&mut self, now: Millis, view: View, names: &impl NameResolver) {
        if self.view.as_ref().is_some_and(|before| before.view == view) {
            return;
        }
        self.close(names);
        let number = self.view_number() + 1;
        self.append(now, EntryKind::View { view: number, parts: view.clone() });
        self.view = Some(NumberedView { number, view });
    }

    /// The stage of the controller's lease.
    pub fn lease_stage_changed(&mut self, now: Millis, stage: &'static str, names: &impl NameResolver) {
        if self.stage != stage {
            self.close(names);
            self.stage = stage;
            self.event(now, Event::LeaseStageChanged { stage: stage.to_owned() }, names);
        }
    }

    /// A call of this tenant was accepted.
    pub fn call_accepted(&mut self, now: Millis, tenant: u64) {
        self.calls.add(tenant);
        self.extend(now);
    }

    /// An attempt was sent to this worker.
    pub fn attempt_sent(&mut self, now: Millis, worker: u64) {
        self.attempts.add(worker);
        self.extend(now);
    }

    /// A load order was sent to this worker.
    pub fn load_order_sent(&mut self, now: Millis, worker: u64) {
        self.orders.add(worker);
        self.extend(now);
    }

    /// A call was rejected for want of a lease.
    pub fn call_rejected(&mut self, now: Millis) {
        self.rejected += 1;
        self.extend(now);
    }

    /// Extends the open interval to now, or opens one.
    fn extend(&mut self, now: Millis) {
        match &mut self.open {
            Some(interval) => interval.to = now,
            None => self.open = Some(Interval::at(now)),
        }
    }

    /// An act that is rare or may be disputed.
    pub fn event(&mut self, now: Millis, event: Event, names: &impl NameResolver) {
        self.close(names);
        self.append(now, EntryKind::Event { view: self.view_number(), event });
    }

    /// An exchange with this incarnation of the leader.
    pub fn clock_exchange(&mut self, leader: u64, exchange: ClockExchange) {
        let interval = Interval { from: exchange.sent, to: exchange.received };
        let leader_time = exchange.leader_time;
        self.append_interval(interval, EntryKind::ClockExchange { leader, leader_time });
    }

    /// An entry of one moment: a change was accepted, or is in force everywhere.
    pub fn append(&mut self, now: Millis, kind: EntryKind) {
        self.append_interval(Interval::at(now), kind);
    }

    /// Closes an interval that has become long. To be called as events come.
    pub fn tick(&mut self, now: Millis, names: &impl NameResolver) {
        if self.open.is_some_and(|interval| now >= interval.from + MAX_INTERVAL) {
            self.close(names);
        }
    }

    /// Closes the open interval: its counts become an entry.
    pub fn close(&mut self, names: &impl NameResolver) {
        let Some(interval) = self.open.take() else { return };
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
            refused: std::mem::take(&mut self.rejected),
        };
        self.append_interval(interval, kind);
    }

    /// Queues an entry, behind one that declares those that found no room before.
    fn append_interval(&mut self, interval: Interval, kind: EntryKind) {
        if self.waiting.len() >= MAX_WAITING_ENTRIES {
            self.missing += 1;
            return;
        }
        if self.missing > 0 {
            let lines = std::mem::take(&mut self.missing);
            let why = "the disk did not take lines fast enough".to_owned();
            self.push(Interval::at(interval.from), EntryKind::Gap { lines, why });
        }
        self.push(interval, kind);
    }

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

    /// Takes entries that wait to be written, the oldest first, so many at the most.
    pub fn take(&mut self, most: usize) -> impl Iterator<Item = String> + '_ {
        let count = most.min(self.waiting.len());
        self.waiting.drain(..count)
    }

    /// Puts entries that were taken and could not be written back to the front, the oldest first.
    pub fn put_back(&mut self, entries: Vec<String>) {
        for entry in entries.into_iter().rev() {
            self.waiting.push_front(entry);
        }
    }

    /// How many entries wait to be written.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
