//! Committed changes whose API responses wait until other controllers have persisted the change and, if it restricts a
//! tenant, until it is in force on all controllers. The leader's own store has committed the change before it is added
//! here. Whether a change is persisted and in force is decided by `nettleferry_fleet::membership`.

use std::collections::BTreeMap;

use nettleferry_admin::{Problem, Response};
use nettleferry_fleet::Millis;
use nettleferry_fleet::membership::{Membership, Progress, Version};
use serde_json::{Value, json};

/// The longest wait for a change without a known time by which it is in force, and for one that is not persisted by
/// enough controllers. The response reports the state that was reached.
const MAX_UNBOUNDED_WAIT: Millis = 2_000;
/// The longest wait for a change with a known time by which it is in force; a response that is sent earlier than that
/// reports the time left. Clients of the API wait at most 20 s.
const MAX_WAIT: Millis = 15_000;
/// Maximum number of waiting responses; further ones are sent at once with the state reached so far.
const MAX_PENDING: usize = 256;
/// RFC 9110, 15.3.3: the change is committed, but not yet in force on all controllers.
const STATUS_ACCEPTED: u16 = 202;

/// A change that the leader's store has committed.
pub(crate) struct CommittedChange {
    /// The response to send once the change is persisted and, if required, in force.
    pub(crate) response: Response,
    /// The first snapshot version that includes the change.
    pub(crate) version: Version,
    /// Whether the change takes something away from a tenant. Its response then waits until it is in force everywhere,
    /// for at most [`MAX_WAIT`].
    pub(crate) restricts: bool,
}

/// A committed change whose response waits.
struct PendingChange {
    change: CommittedChange,
    /// Latest time of the response, which then reports the state reached so far.
    deadline: Millis,
    /// Whether the snapshot that includes the change has ceased to be authoritative since the commit. Recovery may then
    /// discard the change, so it must not be acknowledged.
    is_undecided: bool,
}

impl PendingChange {
    /// Whether the response can be sent now.
    fn is_ready(&self, fleet: &FleetState) -> bool {
        self.is_undecided || fleet.is_complete(&self.change) || fleet.now >= self.deadline
    }
}

/// The state of the fleet, from which the progress of a change is derived.
pub(crate) struct FleetState<'a> {
    /// The leader's record of the incarnations, with their leases and versions.
    pub(crate) membership: &'a Membership,
    /// The version that the leader's own controller has in force.
    pub(crate) own_in_force: Version,
    /// The number of other controllers that must persist a change before it is acknowledged.
    pub(crate) required_copies: usize,
    /// The current time, in milliseconds on the leader's clock.
    pub(crate) now: Millis,
}

impl FleetState<'_> {
    fn progress(&self, version: Version) -> Progress {
        self.membership.progress(self.now, version, self.required_copies)
    }

    fn is_in_force(&self, progress: &Progress, version: Version) -> bool {
        progress.is_in_force() && self.own_in_force >= version
    }

    fn is_complete(&self, change: &CommittedChange) -> bool {
        let progress = self.progress(change.version);
        progress.is_persisted() && (!change.restricts || self.is_in_force(&progress, change.version))
    }

    /// The progress of a change, as JSON for the API: how many controllers have persisted it, and which ones may still
    /// act without it and for how long.
    pub(crate) fn describe(&self, version: Version) -> Value {
        let progress = self.progress(version);
        let waits: Vec<Value> = progress
            .pending
            .iter()
            .map(|member| {
                json!({
                    "controller": member.incarnation.map(|id| id.controller),
                    "life": member.incarnation.map(|id| format!("{:016x}", id.incarnation)),
                    "within_ms": member.lease_expires_at.map(|over| over.saturating_sub(self.now)),
                })
            })
            .collect();
        json!({
            "revision": version.revision, "held": progress.persisted, "wanted": progress.required,
            "everywhere": self.is_in_force(&progress, version),
            "within_ms": progress.bound(self.now).map(|bound| bound.saturating_sub(self.now)), "waits": waits,
        })
    }
}

/// Whether the response to a change is sent or waits.
pub(crate) enum ChangeResponse {
    /// The response is to be sent now.
    Ready(Response),
    /// The response waits; [`PendingChanges::resume`] is to be called with the ticket after the timeout or a wake-up.
    Wait {
        /// The longest wait from now, in milliseconds.
        timeout: Millis,
        /// The ticket that identifies the waiting response.
        ticket: u64,
    },
}

/// The committed changes whose responses wait, by ticket.
#[derive(Default)]
pub(crate) struct PendingChanges {
    last_ticket: u64,
    waiting: BTreeMap<u64, PendingChange>,
    /// Restricting changes that a response has confirmed as in force everywhere, until the audit log records that.
    confirmed: Vec<Version>,
}

impl PendingChanges {
    /// Adds a committed change. Returns its response at once if the change is complete or too many responses wait.
    pub(crate) fn add(&mut self, fleet: &FleetState, change: CommittedChange) -> ChangeResponse {
        if fleet.is_complete(&change) || self.waiting.len() >= MAX_PENDING {
            return ChangeResponse::Ready(self.respond(fleet, change));
        }
        let progress = fleet.progress(change.version);
        let bound = if change.restricts { progress.bound(fleet.now) } else { None };
        let unbounded = fleet.now + MAX_UNBOUNDED_WAIT;
        // One millisecond after the bound, so that the bound has passed when the state is evaluated.
        let deadline = bound.map_or(unbounded, |bound| bound.max(unbounded) + 1);
        let deadline = deadline.min(fleet.now + MAX_WAIT);
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, PendingChange { change, deadline, is_undecided: false });
        ChangeResponse::Wait { timeout: deadline - fleet.now, ticket: self.last_ticket }
    }

    /// Evaluates a waiting response again. Returns `None` if no response waits under this ticket.
    pub(crate) fn resume(&mut self, fleet: &FleetState, ticket: u64) -> Option<ChangeResponse> {
        let pending = self.waiting.get(&ticket)?;
        if !pending.is_ready(fleet) {
            return Some(ChangeResponse::Wait { timeout: pending.deadline - fleet.now, ticket });
        }
        let pending = self.waiting.remove(&ticket)?;
        if pending.is_undecided {
            return Some(ChangeResponse::Ready(undecided(pending.change.version).response()));
        }
        Some(ChangeResponse::Ready(self.respond(fleet, pending.change)))
    }

    /// Whether any waiting response can be sent now.
    pub(crate) fn is_any_ready(&self, fleet: &FleetState) -> bool {
        self.waiting.values().any(|pending| pending.is_ready(fleet))
    }

    /// Marks all waiting changes as undecided, because the snapshot that includes them is no longer authoritative.
    pub(crate) fn set_undecided(&mut self) {
        self.waiting.values_mut().for_each(|pending| pending.is_undecided = true);
    }

    /// The next time at which a response may become ready without a further heartbeat: a deadline or the expiry of a
    /// lease. `None` if no response waits.
    pub(crate) fn next_due(&self, fleet: &FleetState) -> Option<Millis> {
        let deadline = self.waiting.values().map(|pending| pending.deadline).min()?;
        Some(fleet.membership.next_expiry(fleet.now).map_or(deadline, |expiry| expiry.min(deadline)))
    }

    /// Removes responses that were not resumed for [`MAX_UNBOUNDED_WAIT`] after their deadline: their clients have
    /// disconnected.
    pub(crate) fn remove_abandoned(&mut self, now: Millis) {
        self.waiting.retain(|_, pending| now < pending.deadline + MAX_UNBOUNDED_WAIT);
    }

    /// Returns the changes that were confirmed as in force everywhere since the previous call.
    pub(crate) fn take_confirmed(&mut self) -> Vec<Version> {
        std::mem::take(&mut self.confirmed)
    }

    fn respond(&mut self, fleet: &FleetState, change: CommittedChange) -> Response {
        let CommittedChange { mut response, version, restricts } = change;
        let progress = fleet.progress(version);
        if !progress.is_persisted() {
            return not_persisted(version, &progress).response();
        }
        let in_force = fleet.is_in_force(&progress, version);
        let in_force_text = match (in_force, progress.bound(fleet.now)) {
            (true, _) => "everywhere".to_owned(),
            (false, Some(bound)) => format!("within {} ms", bound.saturating_sub(fleet.now)),
            (false, None) => format!("not everywhere: {} may act without it", progress.pending.len()),
        };
        if restricts && in_force {
            self.confirmed.push(version);
        }
        if restricts && !in_force {
            response.status = STATUS_ACCEPTED;
        }
        let persisted = format!("{} of {}", progress.persisted, progress.required);
        response.headers.push(("Nettleferry-Held", persisted));
        response.headers.push(("Nettleferry-In-Force", in_force_text));
        response
    }
}

fn not_persisted(version: Version, progress: &Progress) -> Problem {
    let detail = format!(
        "the change was made as revision {} and goes out, but {} of {} other disks hold it so far: see GET /v1/fleet/change",
        version.revision, progress.persisted, progress.required
    );
    Problem::new(503, "not-held", detail)
}

fn undecided(version: Version) -> Problem {
    let detail = format!(
        "the change was made as revision {}, but another controller reported a later snapshot: whether it stands is decided by recovery, see GET /v1/fleet",
        version.revision
    );
    Problem::new(503, "undecided", detail)
}

#[cfg(test)]
mod tests;
