//! The administration's roll: which lives of which controllers have a lease, what each has taken and kept, and when
//! a change is held by enough disks and in force everywhere.
//!
//! A change is in force everywhere once each life that may act has it in force, or may act no more: its lease has
//! run out, by the longest that any clock makes of it (see [`crate::lease`]). A lease comes with the book of its
//! answer and counts only behind it: so one given after a change lets nobody act without the change, and a change
//! waits for the leases given before it alone, however often a life asks that hears no answer. A life that goes on without a lease is
//! not bounded, and is said to be so. Nobody is forgotten while its lease runs: where the roll is full, one more
//! gets no lease.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;
use crate::lease::{MOST_SPAN, error_of};

/// Books that leases which may run came with, at the most; beyond them two neighbours count as the older of both.
const MOST_GIVEN: usize = 32;
/// Lives at the most.
pub const MOST_LIVES: usize = 1_024;
/// A life without a lease is shown for so long after it was heard last, and then forgotten.
pub const FORGOTTEN_AFTER: Millis = 10 * 60_000;
/// Where no leases are given, one that was not heard for so long is not counted on to hold a change.
pub const SILENT_AFTER: Millis = 10_000;
/// Fenced lives that are remembered; the lowest numbers go last.
pub const MOST_FENCED: usize = 256;

/// One life of one controller: two lives of one number are two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Who {
    /// Its number, as its settings say.
    pub number: u32,
    /// Chosen by chance at its start.
    pub life: u64,
}

/// Which changes a life has: by epoch and revision of the book.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct At {
    /// The store's epoch.
    pub epoch: u64,
    /// The last change.
    pub revision: u64,
}

/// What a life tells with each ask.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Told {
    /// In force on the thread that answers its calls.
    pub in_force: At,
    /// Synced to its disk.
    pub kept: At,
    /// It takes no call without a lease.
    pub ends: bool,
}

/// A life on the roll.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// What it told last.
    pub told: Told,
    /// When that was.
    pub heard: Millis,
    /// Its last lease is out by then, whatever its clock says; `None`: it never had one of us.
    pub out: Option<Millis>,
    /// Leases that may run, in order: which book came with one, and when the last one with it is out.
    given: Vec<(At, Millis)>,
    /// Its place among the lives of the fleet: a later one has a higher one. Workers turn away an earlier life of a
    /// number once they have seen a later one.
    pub place: u64,
}

/// Why a life gets no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// It was shut out.
    Fenced,
    /// The roll is full of lives whose leases run.
    Full,
}

/// Who a change waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Who; `None`: lives that an earlier administration may have given a lease.
    pub who: Option<Who>,
    /// Out by then at the latest; `None`: it goes on without a lease, and there is no bound.
    pub out: Option<Millis>,
}

/// How far a change is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Disks of others that hold it.
    pub held: usize,
    /// How many of them are wanted: what the settings say, of those that are there.
    pub wanted: usize,
    /// Lives that may still act without it.
    pub waits: Vec<Waits>,
}

impl Progress {
    /// Enough disks hold it.
    pub fn is_held(&self) -> bool {
        self.held >= self.wanted
    }

    /// Nobody acts without it.
    pub fn is_everywhere(&self) -> bool {
        self.waits.is_empty()
    }

    /// When it will be in force everywhere at the latest; `None`: there is no bound, as a life goes on without a
    /// lease. The present where it is.
    pub fn bound(&self, now: Millis) -> Option<Millis> {
        self.waits.iter().try_fold(now, |most, waits| Some(most.max(waits.out?)))
    }
}

/// The roll.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roll {
    /// Span of a lease; `None`: none are given.
    span: Option<Millis>,
    members: BTreeMap<Who, Member>,
    fenced: BTreeSet<Who>,
    /// Leases of an earlier life of the administration are out by then.
    strangers: Millis,
    refused: u64,
    /// The place of the life that came last.
    place: u64,
}

impl Roll {
    /// Begins at `now`. `before`: the longest span that an earlier life may have given a lease for.
    /// Places of lives begin behind `place`: of the wall clock's milliseconds, so that another life of the
    /// administration gives none that was given before.
    pub fn new(now: Millis, span: Option<Millis>, before: Option<Millis>, place: u64) -> Self {
        let strangers = before.map_or(now, |span| outlast(now, span.min(MOST_SPAN)));
        let (members, fenced) = (BTreeMap::new(), BTreeSet::new());
        Self { span: span.map(|s| s.min(MOST_SPAN)), members, fenced, strangers, refused: 0, place }
    }

    /// Span of a lease.
    pub fn span(&self) -> Option<Millis> {
        self.span
    }

    /// A life told what it has. It is entered where there is room.
    pub fn told(&mut self, now: Millis, who: Who, told: Told) {
        if !self.members.contains_key(&who) && !self.make_room(now) {
            return;
        }
        let place = &mut self.place;
        let member = self.members.entry(who).or_insert_with(|| {
            *place += 1;
            Member { told, heard: now, out: None, given: Vec::new(), place: *place }
        });
        // A word that overtook another takes nothing back of what a life has in force and on its disk.
        let in_force = member.told.in_force.max(told.in_force);
        let kept = member.told.kept.max(told.kept);
        member.told = Told { in_force, kept, ends: told.ends };
        member.heard = now;
    }

    fn make_room(&mut self, now: Millis) -> bool {
        let idle = |m: &Member| m.out.is_none_or(|out| out <= now);
        self.members.retain(|_, m| !idle(m) || m.heard + FORGOTTEN_AFTER > now);
        if self.members.len() < MOST_LIVES {
            return true;
        }
        let oldest = self.members.iter().filter(|(_, m)| idle(m)).min_by_key(|(_, m)| m.heard);
        if let Some(who) = oldest.map(|(who, _)| *who) {
            self.members.remove(&who);
            return true;
        }
        self.refused += 1;
        false
    }

    /// A life is answered now with all that holds, up to `book`: the span of its lease, where leases are given.
    pub fn grant(&mut self, now: Millis, who: Who, book: At) -> Result<Option<Millis>, Without> {
        if self.fenced.contains(&who) {
            return Err(Without::Fenced);
        }
        let Some(span) = self.span else { return Ok(None) };
        let member = self.members.get_mut(&who).ok_or(Without::Full)?;
        let out = outlast(now, span);
        member.out = Some(member.out.map_or(out, |before| before.max(out)));
        member.given.retain(|(_, out)| now < *out);
        match member.given.last_mut() {
            Some((at, last)) if *at >= book => *last = out,
            _ => member.given.push((book, out)),
        }
        if member.given.len() > MOST_GIVEN {
            // The older book with the later end: never too early.
            let (_, out) = member.given.remove(1);
            member.given[0].1 = member.given[0].1.max(out);
        }
        Ok(Some(span))
    }

    /// How far a change is that stands at `change`. `disks`: how many others are to hold it, where there are so many.
    pub fn progress(&self, now: Millis, change: At, disks: usize) -> Progress {
        let held = self.members.values().filter(|m| m.told.kept >= change).count();
        let there = self.members.values().filter(|m| self.is_there(now, m)).count();
        let waits = self.members.iter().filter(|(_, m)| m.told.in_force < change).filter_map(|(who, m)| {
            let out = self.acts_without(now, m, change)?;
            Some(Waits { who: Some(*who), out })
        });
        let strangers = (now < self.strangers).then_some(Waits { who: None, out: Some(self.strangers) });
        Progress { held, wanted: disks.min(there), waits: waits.chain(strangers).collect() }
    }

    /// Is it counted on to take and hold changes?
    fn is_there(&self, now: Millis, member: &Member) -> bool {
        match (self.span, member.out) {
            (Some(_), out) => out.is_some_and(|out| now < out),
            (None, _) => member.heard + SILENT_AFTER > now,
        }
    }

    /// May it act without this change, for all that is known, and until when? `Some(None)`: without a bound.
    fn acts_without(&self, now: Millis, member: &Member, change: At) -> Option<Option<Millis>> {
        if member.told.ends && self.span.is_some() {
            let before = member.given.iter().filter(|(book, out)| *book < change && now < *out);
            return before.map(|(_, out)| *out).max().map(Some);
        }
        // One that goes on without a lease may act for as long as it lives; it is forgotten when it was silent long
        // enough to be dead, and until then said to be without bound.
        (member.heard + FORGOTTEN_AFTER > now).then_some(None)
    }

    /// Shuts out the lives of this number that are known. Those that are told of it act no more at once, others when
    /// their leases end.
    pub fn fence(&mut self, number: u32) -> Vec<Who> {
        let known: Vec<Who> = self.members.keys().filter(|who| who.number == number).copied().collect();
        self.fenced.extend(known.iter().copied());
        while self.fenced.len() > MOST_FENCED {
            self.fenced.pop_first();
        }
        known
    }

    /// Lets the lives of this number in again that were shut out and have not heard of it.
    pub fn admit(&mut self, number: u32) -> usize {
        let before = self.fenced.len();
        self.fenced.retain(|who| who.number != number);
        before - self.fenced.len()
    }

    /// Was this life shut out?
    pub fn is_fenced(&self, who: Who) -> bool {
        self.fenced.contains(&who)
    }

    /// A life that was shut out has heard so: it takes no call any more.
    pub fn ended(&mut self, who: Who) {
        if let Some(member) = self.members.get_mut(&who) {
            member.out = None;
            member.given.clear();
            member.told.ends = true;
        }
    }

    /// All lives, by number and life.
    pub fn members(&self) -> impl Iterator<Item = (Who, &Member)> {
        self.members.iter().map(|(who, member)| (*who, member))
    }

    /// A life's place among those of the fleet.
    pub fn place(&self, who: Who) -> Option<u64> {
        self.members.get(&who).map(|member| member.place)
    }

    /// Lives that hold a lease now: how many we are.
    pub fn holders(&self, now: Millis) -> usize {
        self.members.values().filter(|m| m.out.is_some_and(|out| now < out)).count()
    }

    /// Leases of an earlier life of the administration are out by then.
    pub fn strangers(&self) -> Millis {
        self.strangers
    }

    /// Lives that found no room.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// When something changes by the passing of time alone, for those who wait for a change.
    pub fn next(&self, now: Millis) -> Option<Millis> {
        let outs = self.members.values().flat_map(|m| m.given.iter().map(|(_, out)| *out));
        outs.chain([self.strangers]).filter(|at| *at > now).min()
    }
}

/// When a lease of this span, given now, is over by every clock.
fn outlast(now: Millis, span: Millis) -> Millis {
    now + span + error_of(span)
}

#[cfg(test)]
mod tests;
