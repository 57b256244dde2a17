//! The leader's view of the fleet: heartbeats, leases and fencing of the followers' incarnations. Whether a lease is
//! granted, and the progress of a change, are decided by `nettleferry_fleet::membership`.

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

/// Maximum number of followers whose last reports are kept for the API.
pub(super) const MAX_FOLLOWERS: usize = 1_024;

/// The last report of a follower, of any incarnation that was not superseded.
struct LastReport {
    revision: Revision,
    received: Instant,
}

/// Counts of incarnations that are behind or fenced.
pub(super) struct IncarnationCounts {
    /// Incarnations that hold a lease and have an earlier revision in force than the leader.
    pub(super) behind: usize,
    /// Fenced incarnations that have sent a heartbeat recently.
    pub(super) fenced: usize,
}

/// The membership of the fleet, with the state that the API shows of it.
pub(super) struct MembershipService {
    membership: Membership,
    last_reports: HashMap<u32, LastReport>,
    /// The version that the leader's own controller has in force.
    own_in_force: Version,
    /// The number of other controllers that must persist a change before it is acknowledged.
    required_copies: usize,
}

impl MembershipService {
    /// Creates a service for this membership, without reports of followers.
    pub(super) fn new(membership: Membership, required_copies: usize) -> Self {
        Self { membership, last_reports: HashMap::new(), own_in_force: Version::default(), required_copies }
    }

    /// The span of leases in milliseconds; `None` if no leases are granted.
    pub(super) fn lease_span(&self) -> Option<Millis> {
        self.membership.span()
    }

    /// The time at which all leases of earlier leaders have expired.
    pub(super) fn earlier_leases_over(&self) -> Millis {
        self.membership.earlier_leases_expire_at()
    }

    /// Sets the version that the leader's own controller has in force.
    pub(super) fn set_own_in_force(&mut self, version: Version) {
        self.own_in_force = version;
    }

    /// The state of the fleet at `now`, from which the progress of pending changes is derived.
    pub(super) fn fleet_state(&self, now: Millis) -> FleetState<'_> {
        FleetState {
            membership: &self.membership,
            own_in_force: self.own_in_force,
            required_copies: self.required_copies,
            now,
        }
    }

    /// Handles a heartbeat of a follower. If it reports that it has stopped, its lease ends. `is_foreign`: its snapshot
    /// belongs to another store, so that it has none of this store's changes.
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

    /// Records the revision that a follower reported, for the API. Followers beyond [`MAX_FOLLOWERS`] are ignored.
    pub(super) fn record_report(&mut self, controller: u32, revision: Revision) {
        if self.last_reports.len() < MAX_FOLLOWERS || self.last_reports.contains_key(&controller) {
            self.last_reports.insert(controller, LastReport { revision, received: Instant::now() });
        }
    }

    /// Whether an incarnation has reported that it no longer accepts calls.
    pub(super) fn is_ended(&self, member: Incarnation) -> bool {
        self.membership.is_ended(member)
    }

    /// Whether a later incarnation of the same controller has sent a heartbeat.
    pub(super) fn is_superseded(&self, member: Incarnation) -> bool {
        self.membership.is_superseded(member)
    }

    /// Whether an operator has fenced an incarnation.
    pub(super) fn is_fenced(&self, member: Incarnation) -> bool {
        self.membership.is_fenced(member)
    }

    /// Whether an incarnation holds a lease that has not expired, and is not fenced.
    pub(super) fn may_act(&self, now: Millis, member: Incarnation) -> bool {
        let holds_lease = self.membership.members().any(|(id, state)| id == member && has_lease(state, now));
        holds_lease && !self.membership.is_fenced(member)
    }

    /// Grants a lease on this version of the snapshot. Returns `None` if the lease is denied or no leases are granted.
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

    /// Fences the incarnations of a controller, or lifts the fencing. Returns the number of incarnations affected.
    pub(super) fn set_fenced(&mut self, controller: u32, fenced: bool) -> usize {
        let incarnations = if fenced {
            self.membership.fence(controller).len()
        } else {
            self.membership.unfence(controller)
        };
        info!(controller, incarnations, fenced, "fencing of a controller's incarnations changed");
        incarnations
    }

    /// The revision that each follower reported last.
    pub(super) fn revisions(&self) -> impl Iterator<Item = ControllerRevision> {
        self.last_reports.iter().map(|(controller, report)| ControllerRevision {
            controller: *controller,
            revision: report.revision,
            seen_ms_ago: report.received.elapsed().as_millis() as u64,
        })
    }

    /// Counts the incarnations that are behind this revision, and those that are fenced.
    pub(super) fn counts(&self, now: Millis, revision: Revision) -> IncarnationCounts {
        let is_behind = |state: &Member| has_lease(state, now) && state.state.in_force.revision < revision;
        let is_recent = |state: &Member| now < state.last_heartbeat + UNRESPONSIVE_AFTER;
        let members = || self.membership.members();
        let behind = members().filter(|(_, state)| is_behind(state)).count();
        let fenced =
            members().filter(|(id, state)| is_recent(state) && self.membership.is_fenced(*id)).count();
        IncarnationCounts { behind, fenced }
    }

    /// The number of incarnations that hold a lease.
    pub(super) fn lease_holders(&self, now: Millis) -> usize {
        self.membership.lease_holders(now)
    }

    /// Number of heartbeats that were rejected because the membership was full of incarnations with leases.
    pub(super) fn rejected(&self) -> u64 {
        self.membership.rejected_heartbeats()
    }

    /// The known incarnations, as JSON for the API. `own_revision` is the revision of the leader's snapshot, if known.
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

fn has_lease(member: &Member, now: Millis) -> bool {
    member.lease_expires_at.is_some_and(|over| now < over)
}
