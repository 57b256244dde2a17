//! A controller's own record. On the ordinary path an act is a counter: no allocation once a name was seen, no
//! clock of its own, no disk. Lines come at a change of view or stage, and when an interval has become long; they
//! wait in a bounded queue for whoever writes them, and what finds no room is said to be missing.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::Millis;
use crate::entry::{Entry, EntryKind, Event, GENESIS_HASH, Hash, hash};
use crate::view::View;

/// An interval is closed after so long at the latest, where anything happens: the finer, the fewer doubtful cases.
pub const MAX_INTERVAL: Millis = 1_000;
/// Lines that wait to be written at the most.
pub const MAX_WAITING: usize = 4_096;
/// Names counted in one interval at the most; acts beyond them are counted together, under [`OTHERS`].
pub const MAX_NAMES: usize = 4_096;
/// See [`MAX_NAMES`].
pub const OTHERS: &str = "(others)";

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
        } else if self.counts.len() < MAX_NAMES {
            self.counts.insert(id, 1);
        } else {
            self.others += 1;
        }
    }

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

/// Who is who, for the lines.
pub trait NameResolver {
    /// A tenant's name, by the number under which its calls were counted.
    fn tenant(&self, id: u64) -> String;
    /// A worker's.
    fn worker(&self, id: u64) -> String;
}

/// The end of a record that another life left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// Its last line's number.
    pub number: u64,
    /// Its hash.
    pub hash: Hash,
}

/// The record.
#[derive(Clone, Debug)]
pub struct Recorder {
    incarnation: u64,
    last_number: u64,
    prev: Hash,
    view: Option<(u32, View)>,
    stage: &'static str,
    calls: Tally,
    attempts: Tally,
    orders: Tally,
    refused: u64,
    /// The open interval: its first act, and its last one.
    open: Option<(Millis, Millis)>,
    waiting: VecDeque<String>,
    missing: u64,
}

impl Recorder {
    /// A life begins, behind what others left on this disk.
    pub fn new(now: Millis, life: u64, controller: u32, program: &str, left: Option<Tail>) -> Self {
        let (n, prev) = left.map_or((0, GENESIS_HASH.to_owned()), |tail| (tail.number, tail.hash));
        let mut recorder = Self {
            incarnation: life,
            last_number: n,
            prev,
            view: None,
            stage: "current",
            calls: Tally::default(),
            attempts: Tally::default(),
            orders: Tally::default(),
            refused: 0,
            open: None,
            waiting: VecDeque::new(),
            missing: 0,
        };
        recorder.line((now, now), EntryKind::Started { controller, program: program.to_owned() });
        recorder
    }

    /// The view in force, by its number.
    pub fn view(&self) -> Option<(u32, &View)> {
        self.view.as_ref().map(|(number, view)| (*number, view))
    }

    /// From now on this is acted on: what was done before is closed under the view before.
    pub fn view_applied(&mut self, now: Millis, view: View, names: &impl NameResolver) {
        if self.view.as_ref().is_some_and(|(_, before)| *before == view) {
            return;
        }
        self.close(names);
        let number = self.view.as_ref().map_or(1, |(number, _)| number + 1);
        self.line((now, now), EntryKind::View { view: number, parts: view.clone() });
        self.view = Some((number, view));
    }

    /// The stage of its lease is this one.
    pub fn stage(&mut self, now: Millis, stage: &'static str, names: &impl NameResolver) {
        if self.stage != stage {
            self.close(names);
            self.stage = stage;
            self.event(now, Event::Stage { stage: stage.to_owned() }, names);
        }
    }

    /// A call of this tenant was taken.
    pub fn call(&mut self, now: Millis, tenant: u64) {
        self.calls.add(tenant);
        self.at(now);
    }

    /// An attempt was begun there.
    pub fn attempt(&mut self, now: Millis, worker: u64) {
        self.attempts.add(worker);
        self.at(now);
    }

    /// A load order was given there.
    pub fn order(&mut self, now: Millis, worker: u64) {
        self.orders.add(worker);
        self.at(now);
    }

    /// A call was refused for being behind.
    pub fn call_rejected(&mut self, now: Millis) {
        self.refused += 1;
        self.at(now);
    }

    fn at(&mut self, now: Millis) {
        match &mut self.open {
            Some((_, to)) => *to = now,
            None => self.open = Some((now, now)),
        }
    }

    /// One act that is rare or may be disputed.
    pub fn event(&mut self, now: Millis, act: Event, names: &impl NameResolver) {
        self.close(names);
        let view = self.view.as_ref().map_or(0, |(number, _)| *number);
        self.line((now, now), EntryKind::Event { view, event: act });
    }

    /// An exchange with the administration.
    pub fn clock_exchange(&mut self, (asked, answered): (Millis, Millis), by: u64, at: Millis) {
        self.line((asked, answered), EntryKind::ClockExchange { leader: by, leader_time: at });
    }

    /// A change was taken, or is in force everywhere: the administration's own lines.
    pub fn append(&mut self, now: Millis, what: EntryKind) {
        self.line((now, now), what);
    }

    /// An interval that has become long is closed. To be called as events come.
    pub fn tick(&mut self, now: Millis, names: &impl NameResolver) {
        if self.open.is_some_and(|(from, _)| now >= from + MAX_INTERVAL) {
            self.close(names);
        }
    }

    /// The open interval becomes a line.
    pub fn close(&mut self, names: &impl NameResolver) {
        let Some(span) = self.open.take() else { return };
        if self.calls.is_empty() && self.attempts.is_empty() && self.orders.is_empty() && self.refused == 0 {
            return;
        }
        let what = EntryKind::Activity {
            view: self.view.as_ref().map_or(0, |(number, _)| *number),
            stage: self.stage.to_owned(),
            calls: self.calls.take(|id| names.tenant(id)),
            attempts: self.attempts.take(|id| names.worker(id)),
            orders: self.orders.take(|id| names.worker(id)),
            refused: std::mem::take(&mut self.refused),
        };
        self.line(span, what);
    }

    fn line(&mut self, (from, to): (Millis, Millis), what: EntryKind) {
        if self.waiting.len() >= MAX_WAITING {
            self.missing += 1;
            return;
        }
        if self.missing > 0 {
            let lines = std::mem::take(&mut self.missing);
            self.push(
                (from, from),
                EntryKind::Gap { lines, why: "the disk did not take lines fast enough".to_owned() },
            );
        }
        self.push((from, to), what);
    }

    fn push(&mut self, (from, to): (Millis, Millis), what: EntryKind) {
        self.last_number += 1;
        let line = Entry {
            number: self.last_number,
            incarnation: self.incarnation,
            from,
            to,
            prev: self.prev.clone(),
            kind: what,
        };
        let text = line.to_json();
        self.prev = hash(&text);
        self.waiting.push_back(text);
    }

    /// Lines that wait to be written, the oldest first, so many at the most.
    pub fn take(&mut self, most: usize) -> impl Iterator<Item = String> + '_ {
        let count = most.min(self.waiting.len());
        self.waiting.drain(..count)
    }

    /// Lines that were taken and could not be written go back to the front.
    pub fn put_back(&mut self, lines: Vec<String>) {
        for line in lines.into_iter().rev() {
            self.waiting.push_front(line);
        }
    }

    /// How many lines wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
