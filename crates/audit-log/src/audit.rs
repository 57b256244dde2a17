//! The audit: from the records of a fleet, who acted on which version until when, and who acted on one when a newer
//! one was in force elsewhere or had been acknowledged.
//!
//! Every statement is made on the administration's clock, to which each controller's is bounded by its exchanges
//! ([`crate::clock`]). One is **certain** only where it holds for every clock within the bounds and whatever moment of
//! an interval an act had; all else is **doubtful** and told as such, with how many acts it may be about. Where a
//! record is missing or damaged, the part that can't be spoken of is told.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::clock::{ClockBounds, TimeBounds};
use crate::line::{Act, Line, What};
use crate::view::View;

/// Findings of each kind that are kept; more are counted.
pub const MOST_FINDINGS: usize = 1_000;

/// A book: epoch, then revision.
pub type Book = (u64, u64);

/// One life of one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Incarnation {
    /// The controller's number.
    pub controller: u32,
    /// Its life.
    pub life: u64,
}

/// How sure a statement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Certainty {
    /// It holds for every clock within the bounds.
    Certain,
    /// It holds for some.
    Doubtful,
}

/// Acts on one version by one life.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Actor {
    /// Who.
    pub who: Incarnation,
    /// On which book.
    pub book: Book,
    /// Its first and last act on it may have been from here to there, on the administration's clock, milliseconds;
    /// none: its clock is not known.
    pub from: Option<i64>,
    /// See `from`.
    pub to: Option<i64>,
    /// Calls taken on it.
    pub calls: u64,
}

/// Acts on a version when a newer one was in force elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StaleActivity {
    /// Who.
    pub who: Incarnation,
    /// On which book.
    pub book: Book,
    /// The first newer one that was in force elsewhere, and where.
    pub newer: Book,
    /// See `newer`.
    pub elsewhere: Incarnation,
    /// How sure.
    pub sure: Certainty,
    /// For how long at the least and at the most, milliseconds.
    pub least_ms: i64,
    /// See `least_ms`.
    pub most_ms: i64,
    /// Calls by tenant that were surely begun after, and that may have been.
    pub calls: BTreeMap<String, (u64, u64)>,
    /// Why, as far as the record tells.
    pub why: String,
}

/// Calls of a tenant that were taken after a change of him was acknowledged as in force everywhere.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LateCalls {
    /// Who took them.
    pub who: Incarnation,
    /// Whose.
    pub tenant: String,
    /// The change.
    pub change: Book,
    /// What was done: suspend, remove.
    pub action: String,
    /// How sure.
    pub sure: Certainty,
    /// How many surely were, and may have been.
    pub calls: (u64, u64),
    /// Why, as far as the record tells.
    pub why: String,
}

/// Where nothing can be said.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Gap {
    /// Whose record.
    pub who: Option<Incarnation>,
    /// What is missing.
    pub what: String,
}

/// Two histories of one store.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Fork {
    /// The epochs.
    pub epochs: Vec<u64>,
    /// Who acted on each side while the other was acted on.
    pub sides: Vec<Incarnation>,
}

/// What the records say.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Who acted on what.
    pub actors: Vec<Actor>,
    /// Who acted on what when a newer one was in force elsewhere.
    pub behind: Vec<StaleActivity>,
    /// Calls taken after an acknowledgement.
    pub after: Vec<LateCalls>,
    /// Epochs that were acted on side by side.
    pub forks: Vec<Fork>,
    /// Where nothing can be said.
    pub gaps: Vec<Gap>,
    /// Findings that found no room.
    pub more: u64,
}

/// An interval of acts on one view.
#[derive(Clone, Debug)]
struct Interval {
    who: Incarnation,
    book: Book,
    first: Option<TimeBounds>,
    last: Option<TimeBounds>,
    calls: BTreeMap<String, u64>,
    stage: String,
}

impl Interval {
    /// How many of so many acts in it were surely, and may have been, after a moment.
    fn after(&self, moment: TimeBounds, count: u64) -> (u64, u64) {
        let (Some(first), Some(last)) = (self.first, self.last) else { return (0, count) };
        if first.is_after(moment) {
            (count, count)
        } else if last.is_not_after(moment) {
            (0, 0)
        } else {
            (0, count)
        }
    }
}

/// Where a life came to a version.
#[derive(Clone, Debug)]
struct Arrival {
    who: Incarnation,
    book: Book,
    at: Option<TimeBounds>,
}

/// What is gathered.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    intervals: Vec<Interval>,
    came: Vec<Arrival>,
    /// The administration's changes: whose, what, whether it takes something away.
    accepted: BTreeMap<Book, (String, String, bool)>,
    everywhere: BTreeMap<Book, TimeBounds>,
    /// What each life tells of itself that explains a delay.
    excuses: BTreeMap<Incarnation, BTreeSet<String>>,
    gaps: Vec<Gap>,
}

impl Audit {
    /// Takes in the administration's own lines: `life` is the one on whose clock all is told. Lines of its earlier
    /// lives tell of changes, and no moment of this clock.
    pub fn administration(&mut self, life: u64, lines: &[Line]) {
        for line in lines {
            match &line.what {
                What::Accepted { epoch, revision, tenant, action, binds } => {
                    let told = (tenant.clone(), action.clone(), *binds);
                    self.accepted.insert((*epoch, *revision), told);
                }
                What::Everywhere { epoch, revision } if line.life == life => {
                    self.everywhere.entry((*epoch, *revision)).or_insert(TimeBounds::at(line.to));
                }
                _ => {}
            }
        }
        self.controller(life, lines, true);
    }

    /// Takes in a controller's record. `by`: the administration's life on whose clock all is told.
    pub fn controller(&mut self, by: u64, lines: &[Line], is_administration: bool) {
        let mut lives: Vec<(u64, Vec<&Line>)> = Vec::new();
        for line in lines {
            match lives.last_mut() {
                Some((life, all)) if *life == line.life => all.push(line),
                _ => lives.push((line.life, vec![line])),
            }
        }
        for (life, lines) in lives {
            self.life(by, life, &lines, is_administration);
        }
    }

    fn life(&mut self, by: u64, life: u64, lines: &[&Line], is_administration: bool) {
        let began = lines.iter().find_map(|line| match &line.what {
            What::Began { controller, .. } => Some(*controller),
            _ => None,
        });
        let Some(controller) = began else {
            self.gaps.push(Gap { who: None, what: format!("life {life:016x} does not say whose it is") });
            return;
        };
        let who = Incarnation { controller, life };
        let mut clock = ClockBounds::default();
        for line in lines {
            if let What::Heard { by: heard, at } = &line.what
                && *heard == by
            {
                clock.heard(line.from, line.to, *at);
            }
        }
        // The administration's own controller has its clock.
        let own = is_administration && life == by;
        let place = |moment| if own { Some(TimeBounds::at(moment)) } else { clock.place(moment) };
        let mut views: BTreeMap<u32, &View> = BTreeMap::new();
        for line in lines {
            match &line.what {
                What::View { view, parts } => {
                    views.insert(*view, parts);
                    self.came.push(Arrival { who, book: parts.book(), at: place(line.from) });
                }
                What::Did { view, stage, calls, .. } => match views.get(view) {
                    Some(parts) => self.intervals.push(Interval {
                        who,
                        book: parts.book(),
                        first: place(line.from),
                        last: place(line.to),
                        calls: calls.clone(),
                        stage: stage.clone(),
                    }),
                    None => {
                        let what = format!("line {} acts on view {view}, whose line is missing", line.n);
                        self.gaps.push(Gap { who: Some(who), what });
                    }
                },
                What::One { act: Act::Doubtful { stood_ms }, .. } => {
                    self.excuse(who, format!("it stood still for {stood_ms} ms while its lease ran out"));
                }
                What::One { act: Act::Fenced, .. } => self.excuse(who, "it was shut out".to_owned()),
                What::Gap { lines, why } => {
                    let what = format!("{lines} lines before line {} are missing: {why}", line.n);
                    self.gaps.push(Gap { who: Some(who), what });
                }
                _ => {}
            }
        }
        if !own && place(lines.last().map_or(0, |line| line.to)).is_none() {
            let what = "its clock is not known: it exchanged nothing with this life of the administration";
            self.gaps.push(Gap { who: Some(who), what: what.to_owned() });
        }
    }

    fn excuse(&mut self, who: Incarnation, what: String) {
        self.excuses.entry(who).or_default().insert(what);
    }

    /// What is wrong with a record that was read.
    pub fn fault(&mut self, who: Option<Incarnation>, what: String) {
        self.gaps.push(Gap { who, what });
    }

    fn why(&self, who: Incarnation, stage: &str) -> String {
        let mut all: Vec<String> = self.excuses.get(&who).into_iter().flatten().cloned().collect();
        if stage != "current" {
            all.push(format!("it had no lease ({stage}): it heard nothing of the administration"));
        } else if all.is_empty() {
            all.push("it had a lease: the news were on their way".to_owned());
        }
        all.join("; ")
    }

    /// What the records say.
    pub fn report(&self) -> Report {
        let mut report = Report { actors: self.actors(), forks: self.forks(), ..Report::default() };
        self.behind(&mut report);
        self.after(&mut report);
        report.gaps = self.gaps.clone();
        report.gaps.sort();
        report.gaps.dedup();
        report
    }

    fn actors(&self) -> Vec<Actor> {
        let mut all: BTreeMap<(Book, Incarnation), Actor> = BTreeMap::new();
        for interval in &self.intervals {
            let (who, book) = (interval.who, interval.book);
            let new = || Actor { who, book, from: interval.first.map(|s| s.lo), to: None, calls: 0 };
            let actor = all.entry((book, who)).or_insert_with(new);
            actor.from = actor.from.zip(interval.first).map(|(from, first)| from.min(first.lo));
            actor.to = actor.to.max(interval.last.map(|s| s.hi));
            actor.calls += interval.calls.values().sum::<u64>();
        }
        all.into_values().collect()
    }

    /// The first newer book of the same epoch or a later one that was surely in force at another life, and by when.
    fn newer(&self, who: Incarnation, book: Book) -> Option<(Book, Incarnation, TimeBounds)> {
        let newer = self.came.iter().filter(|c| c.who.controller != who.controller && c.book > book);
        let known = newer.filter_map(|c| Some((c.book, c.who, c.at?)));
        known.min_by_key(|(book, who, at)| (at.hi, *book, *who))
    }

    fn behind(&self, report: &mut Report) {
        let mut all: BTreeMap<(Incarnation, Book), Vec<&Interval>> = BTreeMap::new();
        for interval in self.intervals.iter().filter(|i| !i.calls.is_empty()) {
            all.entry((interval.who, interval.book)).or_default().push(interval);
        }
        for ((who, book), intervals) in all {
            let Some((newer, elsewhere, at)) = self.newer(who, book) else { continue };
            let mut calls: BTreeMap<String, (u64, u64)> = BTreeMap::new();
            let (mut surely, mut maybe, mut stage) = (false, false, "current");
            let (mut least_ms, mut most_ms) = (0, 0);
            for interval in intervals {
                // After the latest moment at which it was in force elsewhere: surely. After the earliest: maybe.
                for (tenant, count) in &interval.calls {
                    let certain = interval.after(TimeBounds { lo: at.hi, hi: at.hi }, *count).0;
                    let possible = interval.after(TimeBounds { lo: at.lo, hi: at.lo }, *count).1;
                    if possible > 0 {
                        let (a, b) = calls.entry(tenant.clone()).or_insert((0, 0));
                        (*a, *b) = (*a + certain, *b + possible);
                    }
                    surely |= certain > 0;
                    maybe |= possible > 0;
                }
                // Its last act itself is surely an act, whatever the moments of those before.
                if let Some(last) = interval.last {
                    surely |= last.is_after(at);
                    least_ms = least_ms.max(last.lo - at.hi);
                    most_ms = most_ms.max(last.hi - at.lo);
                    if last.hi > at.lo && interval.stage != "current" {
                        stage = &interval.stage;
                    }
                }
            }
            if !maybe {
                continue;
            }
            let sure = if surely { Certainty::Certain } else { Certainty::Doubtful };
            let why = self.why(who, stage);
            let found = StaleActivity { who, book, newer, elsewhere, sure, least_ms, most_ms, calls, why };
            keep(&mut report.behind, found, &mut report.more);
        }
    }

    fn after(&self, report: &mut Report) {
        for (change, at) in &self.everywhere {
            let Some((tenant, action, true)) = self.accepted.get(change) else { continue };
            if !matches!(action.as_str(), "suspend" | "remove") {
                continue;
            }
            let mut by: BTreeMap<Incarnation, (u64, u64, String)> = BTreeMap::new();
            for interval in self.intervals.iter().filter(|i| i.book < *change) {
                let Some(count) = interval.calls.get(tenant) else { continue };
                let (certain, possible) = interval.after(*at, *count);
                if possible > 0 {
                    let found = by.entry(interval.who).or_insert((0, 0, interval.stage.clone()));
                    (found.0, found.1) = (found.0 + certain, found.1 + possible);
                }
            }
            for (who, (certain, possible, stage)) in by {
                let sure = if certain > 0 { Certainty::Certain } else { Certainty::Doubtful };
                let (tenant, action) = (tenant.clone(), action.clone());
                let why = self.why(who, &stage);
                let found =
                    LateCalls { who, tenant, change: *change, action, sure, calls: (certain, possible), why };
                keep(&mut report.after, found, &mut report.more);
            }
        }
    }

    /// Epochs whose acts overlap for sure: two histories of one store were acted on at once.
    fn forks(&self) -> Vec<Fork> {
        let mut spans: BTreeMap<u64, (i64, i64, BTreeSet<Incarnation>)> = BTreeMap::new();
        for interval in self.intervals.iter().filter(|i| i.book.0 > 0) {
            let (Some(first), Some(last)) = (interval.first, interval.last) else { continue };
            // What is surely within: from the latest first to the earliest last.
            let entry = spans.entry(interval.book.0).or_insert((i64::MAX, i64::MIN, BTreeSet::new()));
            (entry.0, entry.1) = (entry.0.min(first.hi), entry.1.max(last.lo));
            entry.2.insert(interval.who);
        }
        let all: Vec<_> = spans.into_iter().collect();
        let mut forks = Vec::new();
        for (place, (older, (_, until, left))) in all.iter().enumerate() {
            for (newer, (from, _, right)) in &all[place + 1..] {
                if from < until {
                    let sides = left.iter().chain(right).copied().collect::<BTreeSet<_>>();
                    forks.push(Fork { epochs: vec![*older, *newer], sides: sides.into_iter().collect() });
                }
            }
        }
        forks
    }
}

fn keep<T>(all: &mut Vec<T>, found: T, more: &mut u64) {
    if all.len() < MOST_FINDINGS {
        all.push(found);
    } else {
        *more += 1;
    }
}
