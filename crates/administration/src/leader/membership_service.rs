//! The leader's view of the fleet: heartbeats, leases and fencing of the followers' incarnations. Who gets a lease and
//! how far a change has come is decided by `nettleferry_fleet::membership`.

use std::collections::HashMap;
use std::time::Instant;

use nettleferry_admin::api::{ControllerRevision, ControllerState, LeaseGrant};
use nettleferry_fleet::Millis;
use nettleferry_fleet::membership::{
    Incarnation, LeaseDenied, Member, MemberState, Membership, UNRESPONSIVE_AFTER, Version,
};
use nettleferry_tenancy::Revision;
use serde_json::{Value, json};
use tracing::{info, warn};

use crate::pending_changes::FleetState;

/// Followers whose last report is shown; more are not.
pub(super) const MAX_FOLLOWERS: usize = 1_024;

/// What a follower reported last, whichever incarnation of it.
struct LastReport {
    revision: Revision,
    received: Instant,
}

/// How many incarnations are behind or fenced.
pub(super) struct IncarnationCounts {
    /// Incarnations with a lease that act on an earlier revision.
    pub(super) behind: usize,
    /// Fenced incarnations that reported lately.
    pub(super) fenced: usize,
}

/// Membership and leases.
pub(super) struct MembershipService {
    membership: Membership,
    last_reports: HashMap<u32, LastReport>,
    /// The version that the leader's own controller has in force.
    own_in_force: Version,
    /// Controllers that are to persist a change, besides this one.
    required_copies: usize,
}

impl MembershipService {
    /// Only this membership is known yet.
    pub(super) fn new(membership: Membership, required_copies: usize) -> Self {
        Self { membership, last_reports: HashMap::new(), own_in_force: Version::default(), required_copies }
    }

    /// The span of leases, in milliseconds; `None`: none are granted.
    pub(super) fn lease_span(&self) -> Option<Millis> {
        self.membership.span()
    }

    /// When leases of earlier leaders are over.
    pub(super) fn earlier_leases_over(&self) -> Millis {
        self.membership.earlier_leases_expire_at()
    }

    /// The leader's own controller has this version in force.
    pub(super) fn set_own_in_force(&mut self, version: Version) {
        self.own_in_force = version;
    }

    /// The state by which pending changes are judged.
    pub(super) fn fleet_state(&self, now: Millis) -> FleetState<'_> {
        FleetState {
            membership: &self.membership,
            own_in_force: self.own_in_force,
            required_copies: self.required_copies,
            now,
        }
    }

    /// A heartbeat of a follower. If it says that it has stopped, its leases are over. `is_foreign`: its snapshot is of
    /// another store, so that it has none of this one's changes.
    pub(super) fn heartbeat(
        &mut self,
        now: Millis,
        member: Incarnation,
        reported: &ControllerState,
        is_foreign: bool,
    ) {
        let version = |revision| {
            if is_foreign { Version::default() } else { Version { epoch: reported.epoch, revision } }
        };
        let state = MemberState {
            in_force: version(reported.in_force),
            persisted: version(reported.persisted),
            requires_lease: reported.requires_lease,
        };
        self.membership.heartbeat(now, member, state);
        if reported.stopped {
            self.membership.ended(member);
        }
    }

    /// Remembers what a follower reported, for the API.
    pub(super) fn remember_report(&mut self, controller: u32, revision: Revision) {
        if self.last_reports.len() < MAX_FOLLOWERS || self.last_reports.contains_key(&controller) {
            self.last_reports.insert(controller, LastReport { revision, received: Instant::now() });
        }
    }

    /// Whether an incarnation has said that it accepts no calls any more.
    pub(super) fn is_ended(&self, member: Incarnation) -> bool {
        self.membership.is_ended(member)
    }

    /// Whether a later incarnation of the same controller was heard.
    pub(super) fn is_superseded(&self, member: Incarnation) -> bool {
        self.membership.is_superseded(member)
    }

    /// Whether an incarnation is fenced.
    pub(super) fn is_fenced(&self, member: Incarnation) -> bool {
        self.membership.is_fenced(member)
    }

    /// Whether an incarnation holds a lease and is not fenced.
    pub(super) fn may_act(&self, now: Millis, member: Incarnation) -> bool {
        let leased = self.membership.members().any(|(id, state)| id == member && is_leased(state, now));
        leased && !self.membership.is_fenced(member)
    }

    /// Grants a lease on this snapshot; `None`: none is granted.
    pub(super) fn grant_lease(
        &mut self,
        now: Millis,
        member: Incarnation,
        snapshot: Version,
    ) -> Option<LeaseGrant> {
        match self.membership.grant(now, member, snapshot) {
            Ok(span) => {
                let (duration_ms, fencing_token) = span.zip(self.membership.fencing_token(member))?;
                Some(LeaseGrant { duration_ms, fencing_token })
            }
            Err(LeaseDenied::Fenced | LeaseDenied::Ended) => None,
            Err(LeaseDenied::Full) => {
                let controller = member.controller;
                warn!(controller, "lease denied: membership is full of incarnations with leases");
                None
            }
        }
    }

    /// Fences the incarnations of a controller, or lets them back in. Returns how many.
    pub(super) fn set_fenced(&mut self, controller: u32, fenced: bool) -> usize {
        let incarnations = if fenced {
            self.membership.fence(controller).len()
        } else {
            self.membership.unfence(controller)
        };
        info!(controller, incarnations, fenced, "fencing of a controller's incarnations changed");
        incarnations
    }

    /// The revisions of the followers, as they reported them.
    pub(super) fn revisions(&self) -> impl Iterator<Item = ControllerRevision> {
        self.last_reports.iter().map(|(controller, report)| ControllerRevision {
            controller: *controller,
            revision: report.revision,
            seen_ms_ago: report.received.elapsed().as_millis() as u64,
        })
    }

    /// How many incarnations are behind this revision, and how many are fenced.
    pub(super) fn counts(&self, now: Millis, revision: Revision) -> IncarnationCounts {
        let is_behind = |state: &Member| is_leased(state, now) && state.state.in_force.revision < revision;
        let is_recent = |state: &Member| now < state.last_heartbeat + UNRESPONSIVE_AFTER;
        let members = || self.membership.members();
        let behind = members().filter(|(_, state)| is_behind(state)).count();
        let fenced =
            members().filter(|(id, state)| is_recent(state) && self.membership.is_fenced(*id)).count();
        IncarnationCounts { behind, fenced }
    }

    /// Incarnations that hold a lease.
    pub(super) fn lease_holders(&self, now: Millis) -> usize {
        self.membership.lease_holders(now)
    }

    /// Incarnations that got no lease for want of room.
    pub(super) fn rejected(&self) -> u64 {
        self.membership.rejected_heartbeats()
    }

    /// The known incarnations, for the API. `own_revision`: that of the leader's snapshot, where it is known.
    pub(super) fn describe(&self, now: Millis, own_revision: Option<Revision>) -> Vec<Value> {
        let describe = |(id, state)| self.describe_member(now, own_revision, id, state);
        self.membership.members().map(describe).collect()
    }

    fn describe_member(
        &self,
        now: Millis,
        own_revision: Option<Revision>,
        id: Incarnation,
        member: &Member,
    ) -> Value {
        let in_force = member.state.in_force;
        json!({
            "controller": id.controller, "life": format!("{:016x}", id.incarnation), "in_force": in_force.revision,
            "epoch": in_force.epoch, "kept": member.state.persisted.revision,
            "behind": own_revision.map(|own| own.saturating_sub(in_force.revision)),
            "ends": member.state.requires_lease, "fenced": self.membership.is_fenced(id),
            "seen_ms_ago": now.saturating_sub(member.last_heartbeat),
            "lease_left_ms": member.lease_expires_at.map(|over| over.saturating_sub(now)),
        })
    }
}

fn is_leased(member: &Member, now: Millis) -> bool {
    member.lease_expires_at.is_some_and(|over| now < over)
}
