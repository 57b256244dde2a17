//! The administration after a loss: may it give its book and take changes, or do its followers hold a newer one?
//!
//! It serves no change and gives no book while its own is damaged, missing or behind. It takes a follower's book by
//! itself only when every controller that is expected has told which one it holds, so that no acknowledged change
//! is given up that any disk still holds; else an operator decides. Followers go on serving meanwhile.

use std::collections::BTreeMap;

use crate::Millis;
use crate::snapshot_version::{SnapshotVersion, VersionOrder};

/// Controllers whose word is remembered; beyond them the one heard longest ago is forgotten.
pub const MAX_REPORTS: usize = 1_024;

/// What it may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Duty {
    /// All of it.
    Serving,
    /// Neither changes nor books, until it has caught up or an operator has decided.
    Waiting(Cause),
}

/// Why it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Its own book can't be read.
    Damaged,
    /// Its own book holds nothing: it is new, or its disk was lost.
    Empty,
    /// A follower holds a newer one than it has.
    Behind,
    /// There are different books of one revision, or of different stores.
    Disagreed,
}

impl Cause {
    /// A word for logs, figures and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Damaged => "damaged",
            Self::Empty => "empty",
            Self::Behind => "behind",
            Self::Disagreed => "disagreed",
        }
    }
}

/// What is to be done after a controller has told what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    None,
    /// The book of this stamp, which this controller holds, is to be taken.
    Install(u32, SnapshotVersion),
}

/// What an operator decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorChoice {
    /// Its own book stands, whatever others hold.
    Own,
    /// This controller's.
    Of(u32),
}

/// The administration's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Authority {
    own: Option<SnapshotVersion>,
    duty: Duty,
    /// How many controllers are to be heard before a book is taken without an operator.
    expected: usize,
    reports: BTreeMap<u32, (Option<SnapshotVersion>, Millis)>,
    since: Millis,
}

impl Authority {
    /// With its own book, where that is sound, among so many other controllers whose word is awaited.
    pub fn new(now: Millis, own: Option<SnapshotVersion>, expected: usize) -> Self {
        let duty = match &own {
            None => Duty::Waiting(Cause::Damaged),
            Some(own) if own.revision == 0 && expected > 0 => Duty::Waiting(Cause::Empty),
            Some(_) => Duty::Serving,
        };
        Self { own, duty, expected, reports: BTreeMap::new(), since: now }
    }

    /// What it may do, and since when.
    pub fn duty(&self) -> (Duty, Millis) {
        (self.duty, self.since)
    }

    /// Its own book's.
    pub fn own(&self) -> Option<&SnapshotVersion> {
        self.own.as_ref()
    }

    /// Controllers and what they hold, with when they told it.
    pub fn reports(&self) -> impl Iterator<Item = (u32, Option<&SnapshotVersion>, Millis)> {
        self.reports.iter().map(|(who, (stamp, at))| (*who, stamp.as_ref(), *at))
    }

    /// How many are to be heard before a book is taken without an operator.
    pub fn expected(&self) -> usize {
        self.expected
    }

    /// Its own book is this one now: by a change that it took, or as it took another's over.
    pub fn set_own(&mut self, now: Millis, own: SnapshotVersion, decided: bool) {
        self.own = Some(own);
        if decided {
            self.transition(now, Duty::Serving);
        }
    }

    fn transition(&mut self, now: Millis, duty: Duty) {
        if self.duty != duty {
            (self.duty, self.since) = (duty, now);
        }
    }

    /// A controller has told which book it holds, or that it holds none.
    pub fn report_received(&mut self, now: Millis, who: u32, stamp: Option<SnapshotVersion>) -> Step {
        if self.reports.len() >= MAX_REPORTS
            && !self.reports.contains_key(&who)
            && let Some(oldest) = self.reports.iter().min_by_key(|(_, (_, at))| *at).map(|(who, _)| *who)
        {
            self.reports.remove(&oldest);
        }
        let standing = stamp.as_ref().zip(self.own.as_ref()).map(|(told, own)| told.compare(own));
        self.reports.insert(who, (stamp, now));
        if self.duty == Duty::Serving {
            match standing {
                Some(VersionOrder::Ahead) => self.transition(now, Duty::Waiting(Cause::Behind)),
                // One of the two is broken, and which one is not for this program to guess. A controller with
                // another store's book follows somebody else: its book is not this fleet's.
                Some(VersionOrder::Forked) => self.transition(now, Duty::Waiting(Cause::Disagreed)),
                _ => return Step::None,
            }
        }
        self.choose(now)
    }

    /// The newest of all, where all agree on what it is and all who are expected were heard.
    fn choose(&mut self, now: Millis) -> Step {
        // A book that holds nothing is nobody's newest.
        let own = self.own.as_ref().filter(|own| own.revision > 0);
        let newest = self.reports.values().filter_map(|(stamp, _)| stamp.as_ref()).chain(own).max().cloned();
        let all_heard = self.reports.len() >= self.expected.max(1);
        let Some(newest) = newest else {
            // Nobody has any: an installation begins, where its own is sound.
            if all_heard && self.own.is_some() {
                self.transition(now, Duty::Serving);
            }
            return Step::None;
        };
        let mut all = self.reports.values().filter_map(|(stamp, _)| stamp.as_ref()).chain(own);
        if all.any(|s| matches!(s.compare(&newest), VersionOrder::Forked | VersionOrder::Foreign)) {
            self.transition(now, Duty::Waiting(Cause::Disagreed));
            return Step::None;
        }
        if own.is_some_and(|own| own.compare(&newest) == VersionOrder::Same) {
            // Whoever was ahead has told otherwise since.
            self.transition(now, Duty::Serving);
            return Step::None;
        }
        if self.duty == Duty::Waiting(Cause::Disagreed) {
            self.transition(now, Duty::Waiting(if own.is_some() { Cause::Behind } else { Cause::Damaged }));
        }
        if !all_heard {
            return Step::None;
        }
        let holder = self.reports.iter().find(|(_, (stamp, _))| stamp.as_ref() == Some(&newest));
        holder.map_or(Step::None, |(who, _)| Step::Install(*who, newest.clone()))
    }

    /// The store's name and the least epoch under which a decided book is taken by all who hold another.
    pub fn superseding_origin(&self) -> Option<(String, u64)> {
        let all = || self.reports.values().filter_map(|(stamp, _)| stamp.as_ref()).chain(self.own.as_ref());
        let epoch = all().map(|s| s.epoch).max()?;
        // Controllers take no other store's book: the name is that of what they hold.
        let held =
            self.reports.values().filter_map(|(stamp, _)| stamp.as_ref()).max().or(self.own.as_ref())?;
        Some((held.store.clone(), epoch.saturating_add(1)))
    }
}
