//! The leader's view of the fleet: which incarnations of controllers have a lease, which changes each of them
//! has applied and persisted, and when a change is persisted often enough and in force everywhere.
//!
//! A change is in force everywhere once each incarnation has either applied it or can no longer act, because
//! its lease has expired even by the slowest clock (see [`crate::lease`]). A lease is sent with the snapshot
//! and is valid only for a holder that has applied this snapshot. A lease granted after a change thus lets
//! nobody act without the change, and a change waits only for the leases granted before it, even if a member
//! keeps sending heartbeats whose responses are lost. For a member that continues without a lease there is no
//! bound, which [`Progress`] reports. No member is removed while its lease runs: if the membership is full, a
//! further incarnation gets no lease.
//!
//! The caller exchanges the heartbeats, persists the changes and notifies the members.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;
use crate::lease::{MAX_SPAN, max_clock_difference};

/// Maximum number of leases tracked for one member. Beyond it the two oldest are merged into one with the
/// older version and the later expiry.
const MAX_TRACKED_LEASES: usize = 32;
/// Maximum number of members.
pub const MAX_INCARNATIONS: usize = 1_024;
/// Time since the last heartbeat after which a member without a lease may be removed, and a member that acts
/// without leases is taken for dead.
pub const FORGOTTEN_AFTER: Millis = 10 * 60_000;
/// Time since the last heartbeat after which a member is not expected to persist a change, if no leases are
/// granted. It is longer than the wait of a watch, during which a member sends no heartbeat.
pub const UNRESPONSIVE_AFTER: Millis = 30_000;
/// Maximum number of fenced incarnations that are stored. Those of the lowest controller numbers are removed
/// first.
pub const MAX_FENCED: usize = 256;

/// The incarnation of controllers that run an earlier version of the program and report none. All runs of
/// such a controller share it.
pub const UNREPORTED_INCARNATION: u64 = 0;

/// One run of the process of a controller. Each restart is a new incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Number of the controller, from its settings.
    pub controller: u32,
    /// Random number, chosen at the start of the process.
    pub incarnation: u64,
}

/// The last change that a controller has applied. It has applied all earlier ones too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Epoch of the tenant store.
    pub epoch: u64,
    /// Revision of the change.
    pub revision: u64,
}

/// The state that a member reports with each heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MemberState {
    /// Version applied on the thread that handles the member's calls.
    pub in_force: Version,
    /// Version synced to the member's disk.
    pub persisted: Version,
    /// Whether the member rejects calls while it has no lease.
    pub requires_lease: bool,
}

/// A lease that may not have expired yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct IssuedLease {
    /// Version of the snapshot that the lease was sent with.
    version: Version,
    /// Time at which the last lease with this version has expired by every clock.
    expires_at: Millis,
}

/// An incarnation that the leader knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The last reported state. Its versions never decrease.
    pub state: MemberState,
    /// Time at which the last heartbeat was received.
    pub last_heartbeat: Millis,
    /// Time at which the last lease has expired by every clock; `None` if this leader has granted none, or
    /// after the incarnation has ended.
    pub lease_expires_at: Option<Millis>,
    /// Leases that may not have expired yet, in the order in which they were granted.
    leases: Vec<IssuedLease>,
    /// Increases with each new incarnation in the fleet. Workers reject the requests of an incarnation of a
    /// controller once they have seen a higher token of the same controller.
    pub fencing_token: u64,
    /// The incarnation reported that it accepts no calls any more. Heartbeats that are received later were
    /// sent before that report.
    ended: bool,
}

/// Why an incarnation gets no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseDenied {
    /// The incarnation was fenced.
    Fenced,
    /// The incarnation has reported that it accepts no calls any more.
    Ended,
    /// The incarnation is not a member because the membership is full of incarnations with running leases.
    Full,
}

/// A member that may still act without a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingMember {
    /// The member; `None` stands for all incarnations to which an earlier leader may have granted a lease.
    pub incarnation: Option<Incarnation>,
    /// Expiry of the last lease without the change by every clock; `None` if the member continues without a
    /// lease, so that there is no bound.
    pub lease_expires_at: Option<Millis>,
}

/// The extent to which a change is replicated and in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of members that have persisted the change.
    pub persisted: usize,
    /// Number of members that must persist the change: the configured number, or all reachable members if
    /// there are fewer.
    pub required: usize,
    /// Members that may still act without the change.
    pub pending: Vec<PendingMember>,
}

impl Progress {
    /// Returns whether enough members have persisted the change.
    pub fn is_persisted(&self) -> bool {
        self.persisted >= self.required
    }

    /// Returns whether the change is in force everywhere, so that no member acts without it.
    pub fn is_in_force(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the latest time at which the change will be in force everywhere, which is `now` if it already
    /// is; `None` if there is no bound because a member continues without a lease.
    pub fn bound(&self, now: Millis) -> Option<Millis> {
        self.pending.iter().try_fold(now, |latest, member| Some(latest.max(member.lease_expires_at?)))
    }
}

/// The time for which a member may act without a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Staleness {
    /// Until this time at the latest.
    Until(Millis),
    /// For as long as its process runs.
    Unbounded,
}

/// The incarnations that the leader knows, with their leases and versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// Span of a lease; `None` if no leases are granted.
    span: Option<Millis>,
    members: BTreeMap<Incarnation, Member>,
    fenced: BTreeSet<Incarnation>,
    /// Time at which the leases of earlier leaders have expired by every clock.
    earlier_leases_expire_at: Millis,
    /// Heartbeats of new incarnations that were rejected because the membership was full.
    rejected_heartbeats: u64,
    /// The fencing token that was assigned last.
    last_token: u64,
}

impl Membership {
    /// Creates an empty membership at `now`. `earlier_span` is the longest span for which an earlier leader
    /// may have granted a lease. Fencing tokens start after `last_token`, for which the caller passes the
    /// milliseconds of the wall clock, so that a restarted leader does not reuse a token.
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

    /// Returns the span of a lease; `None` if no leases are granted.
    pub fn span(&self) -> Option<Millis> {
        self.span
    }

    /// Records the state that an incarnation reported. A new incarnation becomes a member unless the
    /// membership is full.
    pub fn heartbeat(&mut self, now: Millis, incarnation: Incarnation, state: MemberState) {
        if !self.members.contains_key(&incarnation) && !self.ensure_capacity(now) {
            return;
        }
        let last_token = &mut self.last_token;
        let member = self.members.entry(incarnation).or_insert_with(|| {
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
        // Heartbeats may be received out of order: an older one does not decrease the versions.
        member.state = MemberState {
            in_force: member.state.in_force.max(state.in_force),
            persisted: member.state.persisted.max(state.persisted),
            requires_lease: state.requires_lease,
        };
    }

    /// Removes members that have no lease and were silent for [`FORGOTTEN_AFTER`]. If the membership is still
    /// full, removes the member without a lease that was silent for longest. Returns false if it is full of
    /// members with running leases.
    fn ensure_capacity(&mut self, now: Millis) -> bool {
        let idle = |m: &Member| m.lease_expires_at.is_none_or(|expires_at| expires_at <= now);
        self.members.retain(|_, m| !idle(m) || m.last_heartbeat + FORGOTTEN_AFTER > now);
        if self.members.len() < MAX_INCARNATIONS {
            return true;
        }
        let oldest = self.members.iter().filter(|(_, m)| idle(m)).min_by_key(|(_, m)| m.last_heartbeat);
        if let Some(incarnation) = oldest.map(|(incarnation, _)| *incarnation) {
            self.members.remove(&incarnation);
            return true;
        }
        self.rejected_heartbeats += 1;
        false
    }

    /// Grants a lease together with the snapshot of `version`, which is sent now. Returns the span of the
    /// lease, or `None` if no leases are granted.
    ///
    /// # Errors
    /// Returns the reason why the incarnation gets no lease.
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
            // The merged lease has the older version and the later expiry, so that no change is in force too
            // early.
            let second = member.leases.remove(1);
            member.leases[0].expires_at = member.leases[0].expires_at.max(second.expires_at);
        }
        Ok(Some(span))
    }

    /// Returns the progress of the change that created the version `change`. `copies` is the configured
    /// number of members that are to persist it.
    pub fn progress(&self, now: Millis, change: Version, copies: usize) -> Progress {
        let persisted = self.members.values().filter(|m| m.state.persisted >= change).count();
        let reachable = self.members.values().filter(|m| self.is_reachable(now, m)).count();
        let behind = self.members.iter().filter(|(_, m)| m.state.in_force < change);
        let members = behind.filter_map(|(incarnation, member)| {
            let lease_expires_at = match self.staleness(now, member, change)? {
                Staleness::Until(expires_at) => Some(expires_at),
                Staleness::Unbounded => None,
            };
            Some(PendingMember { incarnation: Some(*incarnation), lease_expires_at })
        });
        let earlier = (now < self.earlier_leases_expire_at).then_some(PendingMember {
            incarnation: None,
            lease_expires_at: Some(self.earlier_leases_expire_at),
        });
        Progress { persisted, required: copies.min(reachable), pending: members.chain(earlier).collect() }
    }

    /// Returns whether the member is expected to apply and persist changes.
    fn is_reachable(&self, now: Millis, member: &Member) -> bool {
        match self.span {
            Some(_) => member.lease_expires_at.is_some_and(|expires_at| now < expires_at),
            None => member.last_heartbeat + UNRESPONSIVE_AFTER > now,
        }
    }

    /// Returns how long a member that has not reported this change may act without it; `None` if it may not.
    fn staleness(&self, now: Millis, member: &Member, change: Version) -> Option<Staleness> {
        if member.state.requires_lease && self.span.is_some() {
            let without =
                member.leases.iter().filter(|lease| lease.version < change && now < lease.expires_at);
            return without.map(|lease| lease.expires_at).max().map(Staleness::Until);
        }
        // A member that continues without a lease may act for as long as its process runs. After a long
        // silence it is taken for dead.
        (member.last_heartbeat + FORGOTTEN_AFTER > now).then_some(Staleness::Unbounded)
    }

    /// Fences the known incarnations of a controller and returns them. An incarnation that is notified stops
    /// at once, any other when its lease expires.
    pub fn fence(&mut self, controller: u32) -> Vec<Incarnation> {
        let known: Vec<Incarnation> =
            self.members.keys().filter(|incarnation| incarnation.controller == controller).copied().collect();
        self.fenced.extend(known.iter().copied());
        while self.fenced.len() > MAX_FENCED {
            self.fenced.pop_first();
        }
        known
    }

    /// Removes the fencing of a controller's incarnations and returns their number. It has no effect on
    /// incarnations that were already notified.
    pub fn unfence(&mut self, controller: u32) -> usize {
        let before = self.fenced.len();
        self.fenced.retain(|incarnation| incarnation.controller != controller);
        before - self.fenced.len()
    }

    /// Returns whether this incarnation is fenced.
    pub fn is_fenced(&self, incarnation: Incarnation) -> bool {
        self.fenced.contains(&incarnation)
    }

    /// Returns whether this incarnation has reported that it accepts no calls any more.
    pub fn is_ended(&self, incarnation: Incarnation) -> bool {
        self.members.get(&incarnation).is_some_and(|member| member.ended)
    }

    /// Returns whether a later incarnation of the same controller is a member. Incarnations are ordered by
    /// their first heartbeat. [`UNREPORTED_INCARNATION`] is never superseded, because it stands for any run
    /// of its controller.
    pub fn is_superseded(&self, incarnation: Incarnation) -> bool {
        let Some(token) = self.fencing_token(incarnation) else { return false };
        let first = Incarnation { incarnation: 0, ..incarnation };
        let last = Incarnation { incarnation: u64::MAX, ..incarnation };
        incarnation.incarnation != UNREPORTED_INCARNATION
            && self.members.range(first..=last).any(|(_, member)| member.fencing_token > token)
    }

    /// Records that an incarnation accepts no calls any more, because it was notified of its fencing or shuts
    /// down. Later heartbeats do not change that.
    pub fn ended(&mut self, incarnation: Incarnation) {
        if let Some(member) = self.members.get_mut(&incarnation) {
            member.lease_expires_at = None;
            member.leases.clear();
            member.state.requires_lease = true;
            member.ended = incarnation.incarnation != UNREPORTED_INCARNATION;
        }
    }

    /// Returns all members, sorted by controller and incarnation.
    pub fn members(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        self.members.iter().map(|(incarnation, member)| (*incarnation, member))
    }

    /// Returns the fencing token of an incarnation; `None` if it is not a member.
    pub fn fencing_token(&self, incarnation: Incarnation) -> Option<u64> {
        self.members.get(&incarnation).map(|member| member.fencing_token)
    }

    /// Returns the number of members whose lease may not have expired yet.
    pub fn lease_holders(&self, now: Millis) -> usize {
        self.members
            .values()
            .filter(|m| m.lease_expires_at.is_some_and(|expires_at| now < expires_at))
            .count()
    }

    /// Returns when the leases of earlier leaders have expired by every clock.
    pub fn earlier_leases_expire_at(&self) -> Millis {
        self.earlier_leases_expire_at
    }

    /// Returns the number of heartbeats of new incarnations that were rejected because the membership was
    /// full.
    pub fn rejected_heartbeats(&self) -> u64 {
        self.rejected_heartbeats
    }

    /// Returns when the next lease expires; `None` if no lease is running. A change that waits for a lease to
    /// expire can make progress at that time.
    pub fn next_expiry(&self, now: Millis) -> Option<Millis> {
        let leases = self.members.values().flat_map(|m| m.leases.iter().map(|lease| lease.expires_at));
        leases.chain([self.earlier_leases_expire_at]).filter(|expires_at| *expires_at > now).min()
    }
}

/// Returns when a lease of this span, granted at `now`, has expired by every clock.
fn lease_expiry(now: Millis, span: Millis) -> Millis {
    now + span + max_clock_difference(span)
}

#[cfg(test)]
mod tests;
