//! Changes whose responses wait until other controllers have persisted them and, where they restrict a tenant, until
//! they are in force everywhere. The change itself is made and durable here before it gets here. When it is persisted
//! and in force is decided by `nettleferry_fleet::membership`.

use std::collections::BTreeMap;

use nettleferry_admin::{Problem, Response};
use nettleferry_fleet::Millis;
use nettleferry_fleet::membership::{Membership, Progress, Version};
use serde_json::{Value, json};

/// The longest wait for a change that has no bound, or that nobody else persists. The response says which it is.
const MAX_UNBOUNDED_WAIT: Millis = 2_000;
/// The longest wait for a change with a bound; the response then says the bound. Clients of the API wait at most 20 s.
const MAX_WAIT: Millis = 15_000;
/// Responses that wait; one more is sent with the state at once.
const MAX_PENDING: usize = 256;
/// RFC 9110, 15.3.3: the change is made, and not yet in force for all.
const STATUS_ACCEPTED: u16 = 202;

/// A change that was made.
pub(crate) struct CommittedChange {
    /// The response that the client gets, once it may.
    pub(crate) response: Response,
    /// The version from which on the change is in force.
    pub(crate) version: Version,
    /// It takes something away from a tenant, so that it is to be in force everywhere.
    pub(crate) restricts: bool,
}

/// A change whose response waits.
struct PendingChange {
    change: CommittedChange,
    /// When it is answered with the state as it then is.
    deadline: Millis,
    /// Another snapshot was found to be later since: what becomes of the change is open, and nothing acknowledges it.
    is_undecided: bool,
}

impl PendingChange {
    /// Can its response be sent?
    fn is_ready(&self, fleet: &FleetState) -> bool {
        self.is_undecided || fleet.is_complete(&self.change) || fleet.now >= self.deadline
    }
}

/// The state of the fleet, by which a change is judged.
pub(crate) struct FleetState<'a> {
    /// The leader's membership.
    pub(crate) membership: &'a Membership,
    /// The version that the leader's own controller has in force.
    pub(crate) own_in_force: Version,
    /// Controllers that are to persist a change, besides this one.
    pub(crate) required_copies: usize,
    /// Milliseconds on the leader's clock.
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

    /// How far a change has come, for the API.
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

/// What becomes of a response.
pub(crate) enum ChangeResponse {
    /// It is sent.
    Ready(Response),
    /// It waits for at most this long, and is asked for again by its ticket.
    Wait {
        /// Milliseconds.
        timeout: Millis,
        /// The ticket.
        ticket: u64,
    },
}

/// The changes whose responses wait, by ticket.
#[derive(Default)]
pub(crate) struct PendingChanges {
    last_ticket: u64,
    waiting: BTreeMap<u64, PendingChange>,
    /// Restricting changes that a response confirmed to be in force everywhere, until that is logged.
    confirmed: Vec<Version>,
}

impl PendingChanges {
    /// A change was made.
    pub(crate) fn committed(&mut self, fleet: &FleetState, change: CommittedChange) -> ChangeResponse {
        if fleet.is_complete(&change) || self.waiting.len() >= MAX_PENDING {
            return ChangeResponse::Ready(self.respond(fleet, change));
        }
        let progress = fleet.progress(change.version);
        let bound = if change.restricts { progress.bound(fleet.now) } else { None };
        let unbounded = fleet.now + MAX_UNBOUNDED_WAIT;
        // A little later than the bound, so that it is over when the state is looked at.
        let deadline = bound.map_or(unbounded, |bound| bound.max(unbounded) + 1);
        let deadline = deadline.min(fleet.now + MAX_WAIT);
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, PendingChange { change, deadline, is_undecided: false });
        ChangeResponse::Wait { timeout: deadline - fleet.now, ticket: self.last_ticket }
    }

    /// A response is asked for again. `None`: none waits under this ticket.
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

    /// Whether a response can be sent now.
    pub(crate) fn is_any_ready(&self, fleet: &FleetState) -> bool {
        self.waiting.values().any(|pending| pending.is_ready(fleet))
    }

    /// It is not decided any more that the snapshot counts of which these changes are.
    pub(crate) fn set_undecided(&mut self) {
        self.waiting.values_mut().for_each(|pending| pending.is_undecided = true);
    }

    /// When a response may become ready by the passing of time.
    pub(crate) fn next_due(&self, fleet: &FleetState) -> Option<Millis> {
        let deadline = self.waiting.values().map(|pending| pending.deadline).min()?;
        Some(fleet.membership.next_expiry(fleet.now).map_or(deadline, |expiry| expiry.min(deadline)))
    }

    /// Forgets responses whose clients are gone: those that were not asked for a while after their deadline.
    pub(crate) fn remove_abandoned(&mut self, now: Millis) {
        self.waiting.retain(|_, pending| now < pending.deadline + MAX_UNBOUNDED_WAIT);
    }

    /// The changes that were confirmed to be in force everywhere since the last time.
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
        let when = match (in_force, progress.bound(fleet.now)) {
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
        response.headers.push(("Nettleferry-In-Force", when));
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
