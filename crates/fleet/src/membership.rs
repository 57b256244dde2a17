//! The leader's view of the fleet: which incarnations of which controllers hold a lease, which changes each of them
//! has applied and persisted, and when a change is persisted often enough and in force everywhere.
//!
//! A change is in force everywhere once each incarnation that may act has applied it, or may act no more because its
//! lease has run out by the longest that any clock makes of it (see [`crate::lease`]). A lease is sent along with the
//! snapshot and is valid only for a holder that has applied that snapshot. So a lease granted after a change lets
//! nobody act without the change, and a change waits only for the leases granted before it, however often a member
//! sends heartbeats whose responses are lost. A member that continues without a lease has no bound, and is reported
//! so. No member is forgotten while its lease runs: where the membership is full, a further incarnation gets no lease.
//!
//! Heartbeats, persistence and the notification of members are left to the caller.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;
use crate::lease::{MAX_SPAN, max_clock_difference};

/// Leases that are tracked for one member; beyond them two neighbours are merged, with the older version.
const MAX_TRACKED_LEASES: usize = 32;
/// Members at the most.
pub const MAX_INCARNATIONS: usize = 1_024;
/// A member without a lease is forgotten this long after its last heartbeat.
pub const FORGOTTEN_AFTER: Millis = 10 * 60_000;
/// Where no leases are granted, a member that was silent for so long is not expected to persist a change: longer than
/// its watch is held there, as it reports nothing meanwhile.
pub const UNRESPONSIVE_AFTER: Millis = 30_000;
/// Fenced incarnations that are remembered; the lowest controller numbers are dropped first.
pub const MAX_FENCED: usize = 256;

/// The incarnation of controllers whose program is of an earlier version and reports none: all runs of such a controller
/// have it.
pub const UNREPORTED_INCARNATION: u64 = 0;

/// One run of one controller's process. Two runs of the same controller are different incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// The controller's number, from its settings.
    pub controller: u32,
    /// A random number, chosen at the start of the process.
    pub incarnation: u64,
}

/// Which changes a controller has applied: all up to this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The epoch of the tenant store.
    pub epoch: u64,
    /// The number of the last change.
    pub revision: u64,
}

/// What a member reports with each heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MemberState {
    /// Applied on the thread that answers its calls.
    pub in_force: Version,
    /// Synced to its disk.
    pub persisted: Version,
    /// It accepts no call without a lease.
    pub requires_lease: bool,
}

/// A lease that may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IssuedLease {
    /// The snapshot that it was sent with.
    version: Version,
    /// When the last lease with this snapshot is over by every clock.
    expires_at: Millis,
}

/// An incarnation that the leader knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// What it reported last; versions never go back.
    pub state: MemberState,
    /// When its last heartbeat came.
    pub last_heartbeat: Millis,
    /// When its last lease is over by every clock; `None`: this leader granted it none.
    pub lease_expires_at: Option<Millis>,
    /// Leases that may run, in the order in which they were granted.
    leases: Vec<IssuedLease>,
    /// Grows with each incarnation of the fleet. Workers reject requests of an earlier incarnation of a controller
    /// once they have seen a later one.
    pub fencing_token: u64,
    /// It said that it accepts no calls any more: what comes of it later was sent before.
    ended: bool,
}

/// Why an incarnation gets no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDenied {
    /// It was fenced.
    Fenced,
    /// It said that it accepts no calls any more.
    Ended,
    /// The membership is full of incarnations whose leases run.
    Full,
}

/// A member that a change still waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingMember {
    /// Which one; `None`: incarnations that an earlier leader may have granted a lease.
    pub incarnation: Option<Incarnation>,
    /// When its last lease without the change is over; `None`: it continues without a lease, and there is no bound.
    pub lease_expires_at: Option<Millis>,
}

/// How far a change has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Other controllers that have persisted it.
    pub persisted: usize,
    /// How many must have persisted it: the configured number, or all that are reachable where these are fewer.
    pub required: usize,
    /// Members that may still act without it.
    pub pending: Vec<PendingMember>,
}

impl Progress {
    /// Has it been persisted often enough?
    pub fn is_persisted(&self) -> bool {
        self.persisted >= self.required
    }

    /// Is it in force everywhere, so that nobody acts without it?
    pub fn is_in_force(&self) -> bool {
        self.pending.is_empty()
    }

    /// When it will be in force everywhere at the latest; `now` where it already is. `None`: there is no bound, as a
    /// member continues without a lease.
    pub fn bound(&self, now: Millis) -> Option<Millis> {
        self.pending.iter().try_fold(now, |latest, member| Some(latest.max(member.lease_expires_at?)))
    }
}

/// Until when a member may act without a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Staleness {
    /// Until this moment at the latest.
    Until(Millis),
    /// Without a bound.
    Unbounded,
}

/// The incarnations that the leader knows, with their leases and versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// The span of a lease; `None`: none are granted.
    span: Option<Millis>,
    members: BTreeMap<Incarnation, Member>,
    fenced: BTreeSet<Incarnation>,
    /// When the leases of an earlier leader are over by every clock.
    earlier_leases_expire_at: Millis,
    /// Heartbeats for which there was no room.
    rejected_heartbeats: u64,
    /// The newest incarnation's token.
    last_token: u64,
}

impl Membership {
    /// An empty membership at `now`. `earlier_span`: the longest span for which an earlier leader may have granted a
    /// lease. `last_token`: fencing tokens begin behind it; taken from the wall clock's milliseconds, so that a
    /// restarted leader assigns none a second time.
    pub fn new(now: Millis, span: Option<Millis>, earlier_span: Option<Millis>, last_token: u64) -> Self {
        Self {
            span: span.map(|span| span.min(MAX_SPAN)),
            members: BTreeMap::new(),
            fenced: BTreeSet::new(),
            earlier_leases_expire_at: earlier_span.map_or(now, |span| lease_expiry(now, span.min(MAX_SPAN))),
            rejected_heartbeats: 0,
            last_token,
        }
    }

    /// The span of a lease; `None`: none are granted.
    pub fn span(&self) -> Option<Millis> {
        self.span
    }

    /// An incarnation has reported its state. It becomes a member where there is room.
    pub fn heartbeat(&mut self, now: Millis, who: Incarnation, state: MemberState) {
        if !self.members.contains_key(&who) && !self.make_room(now) {
            return;
        }
        let last_token = &mut self.last_token;
        let member = self.members.entry(who).or_insert_with(|| {
            *last_token += 1;
            Member {
                state,
                last_heartbeat: now,
                lease_expires_at: None,
                leases: Vec::new(),
                fencing_token: *last_token,
                ended: false,
            }
        });
        member.last_heartbeat = now;
        if member.ended {
            return;
        }
        // A heartbeat that overtook another takes back nothing that was applied or persisted.
        member.state = MemberState {
            in_force: member.state.in_force.max(state.in_force),
            persisted: member.state.persisted.max(state.persisted),
            requires_lease: state.requires_lease,
        };
    }

    /// Forgets members that may be forgotten. False: there is no room for one more.
    fn make_room(&mut self, now: Millis) -> bool {
        let idle = |m: &Member| m.lease_expires_at.is_none_or(|expires_at| expires_at <= now);
        self.members.retain(|_, m| !idle(m) || m.last_heartbeat + FORGOTTEN_AFTER > now);
        if self.members.len() < MAX_INCARNATIONS {
            return true;
        }
        let oldest = self.members.iter().filter(|(_, m)| idle(m)).min_by_key(|(_, m)| m.last_heartbeat);
        if let Some(who) = oldest.map(|(who, _)| *who) {
            self.members.remove(&who);
            return true;
        }
        self.rejected_heartbeats += 1;
        false
    }

    /// Grants a lease along with the snapshot of `version`, which is sent now. The lease's span, or `None` where no
    /// leases are granted.
    pub fn grant(
        &mut self,
        now: Millis,
        incarnation: Incarnation,
        version: Version,
    ) -> Result<Option<Millis>, LeaseDenied> {
        if self.fenced.contains(&incarnation) {
            return Err(LeaseDenied::Fenced);
        }
        let Some(span) = self.span else { return Ok(None) };
        let member = self.members.get_mut(&incarnation).ok_or(LeaseDenied::Full)?;
        if member.ended {
            return Err(LeaseDenied::Ended);
        }
        let expires_at = lease_expiry(now, span);
        member.lease_expires_at =
            Some(member.lease_expires_at.map_or(expires_at, |before| before.max(expires_at)));
        member.leases.retain(|lease| now < lease.expires_at);
        match member.leases.last_mut() {
            Some(last) if last.version >= version => last.expires_at = expires_at,
            _ => member.leases.push(IssuedLease { version, expires_at }),
        }
        if member.leases.len() > MAX_TRACKED_LEASES {
            // The older version with the later end: never too early.
            let second = member.leases.remove(1);
            member.leases[0].expires_at = member.leases[0].expires_at.max(second.expires_at);
        }
        Ok(Some(span))
    }

    /// How far the change has come that made `change`. `copies`: how many other controllers are to persist it, where
    /// there are so many.
    pub fn progress(&self, now: Millis, change: Version, copies: usize) -> Progress {
        let persisted = self.members.values().filter(|m| m.state.persisted >= change).count();
        let reachable = self.members.values().filter(|m| self.is_reachable(now, m)).count();
        let behind = self.members.iter().filter(|(_, m)| m.state.in_force < change);
        let members = behind.filter_map(|(who, member)| {
            let lease_expires_at = match self.staleness(now, member, change)? {
                Staleness::Until(expires_at) => Some(expires_at),
                Staleness::Unbounded => None,
            };
            Some(PendingMember { incarnation: Some(*who), lease_expires_at })
        });
        let earlier = (now < self.earlier_leases_expire_at).then_some(PendingMember {
            incarnation: None,
            lease_expires_at: Some(self.earlier_leases_expire_at),
        });
        Progress { persisted, required: copies.min(reachable), pending: members.chain(earlier).collect() }
    }

    /// Is this member expected to apply and persist changes?
    fn is_reachable(&self, now: Millis, member: &Member) -> bool {
        match self.span {
            Some(_) => member.lease_expires_at.is_some_and(|expires_at| now < expires_at),
            None => member.last_heartbeat + UNRESPONSIVE_AFTER > now,
        }
    }

    /// Until when a member may act without this change, for all that is known; `None`: it may not.
    fn staleness(&self, now: Millis, member: &Member, change: Version) -> Option<Staleness> {
        if member.state.requires_lease && self.span.is_some() {
            let without =
                member.leases.iter().filter(|lease| lease.version < change && now < lease.expires_at);
            return without.map(|lease| lease.expires_at).max().map(Staleness::Until);
        }
        // A member that continues without a lease may act for as long as its process runs. It is forgotten when it
        // was silent long enough to be dead.
        (member.last_heartbeat + FORGOTTEN_AFTER > now).then_some(Staleness::Unbounded)
    }

    /// Fences the known incarnations of a controller. Those that are notified stop at once, others when their leases
    /// end.
    pub fn fence(&mut self, controller: u32) -> Vec<Incarnation> {
        let known: Vec<Incarnation> =
            self.members.keys().filter(|who| who.controller == controller).copied().collect();
        self.fenced.extend(known.iter().copied());
        while self.fenced.len() > MAX_FENCED {
            self.fenced.pop_first();
        }
        known
    }

    /// Lifts the fencing of a controller's incarnations that were not yet notified; how many these were.
    pub fn unfence(&mut self, controller: u32) -> usize {
        let before = self.fenced.len();
        self.fenced.retain(|who| who.controller != controller);
        before - self.fenced.len()
    }

    /// Was this incarnation fenced?
    pub fn is_fenced(&self, who: Incarnation) -> bool {
        self.fenced.contains(&who)
    }

    /// Has it ended, for all that is known?
    pub fn is_ended(&self, who: Incarnation) -> bool {
        self.members.get(&who).is_some_and(|member| member.ended)
    }

    /// Was a later incarnation of the same controller heard? Incarnations follow each other in the order in which they
    /// were heard first. One that is not reported can't be told from another run's.
    pub fn is_superseded(&self, who: Incarnation) -> bool {
        let Some(token) = self.fencing_token(who) else { return false };
        let first = Incarnation { incarnation: 0, ..who };
        let last = Incarnation { incarnation: u64::MAX, ..who };
        who.incarnation != UNREPORTED_INCARNATION
            && self.members.range(first..=last).any(|(_, member)| member.fencing_token > token)
    }

    /// A fenced incarnation was notified, or one has shut down: it accepts no calls any more, and no later heartbeat takes
    /// that back.
    pub fn ended(&mut self, who: Incarnation) {
        if let Some(member) = self.members.get_mut(&who) {
            member.lease_expires_at = None;
            member.leases.clear();
            member.state.requires_lease = true;
            member.ended = who.incarnation != UNREPORTED_INCARNATION;
        }
    }

    /// All members, by controller and incarnation.
    pub fn members(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        self.members.iter().map(|(who, member)| (*who, member))
    }

    /// A member's fencing token.
    pub fn fencing_token(&self, who: Incarnation) -> Option<u64> {
        self.members.get(&who).map(|member| member.fencing_token)
    }

    /// How many members hold a lease now.
    pub fn lease_holders(&self, now: Millis) -> usize {
        self.members
            .values()
            .filter(|m| m.lease_expires_at.is_some_and(|expires_at| now < expires_at))
            .count()
    }

    /// When the leases of an earlier leader are over by every clock.
    pub fn earlier_leases_expire_at(&self) -> Millis {
        self.earlier_leases_expire_at
    }

    /// Heartbeats of incarnations for which there was no room.
    pub fn rejected_heartbeats(&self) -> u64 {
        self.rejected_heartbeats
    }

    /// When the next lease is over, for those who wait for a change to be in force.
    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        let leases = self.members.values().flat_map(|m| m.leases.iter().map(|lease| lease.expires_at));
        leases.chain([self.earlier_leases_expire_at]).filter(|expires_at| *expires_at > now).min()
    }
}

/// When a lease of this span, granted now, is over by every clock.
fn lease_expiry(now: Millis, span: Millis) -> Millis {
    now + span + max_clock_difference(span)
}

#[cfg(test)]
mod tests;
