//! The leader's server loop: handles API requests, and periodic work between them. The order matters: a change is
//! durable before it is sent to the controller, and is sent to the controller before its response. A change that a
//! response confirms as in force everywhere is recorded in the audit log before the response is sent.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use nettleferry_admin::api::{Api, StoreIdentity};
use nettleferry_admin::{Caller, Outcome, Problem, Request};
use nettleferry_fleet::Millis;
use nettleferry_fleet::lease::expires_at;
use nettleferry_fleet::membership::Version;
use nettleferry_net::http1::{self, Disposition, Stop};
use nettleferry_tenancy::Revision;
use tracing::{error, info, warn};

use super::context::LeaderContext;
use super::lease_span::LeaseSpanFile;
use super::peer_polling::PeerPolling;
use super::recovery::{Decision, ReportSource};
use super::snapshot_writer::SnapshotWriter;
use super::store::{StoreHandle, identity, wall_ms};
use crate::applied_versions::AppliedVersions;
use crate::http_reply::{problem_reply, reply};
use crate::keys::KeyRing;
use crate::messages::AdminEvent;
use crate::pending_changes::{ChangeResponse, CommittedChange, PendingChanges};
use crate::snapshot_document::{SnapshotDocument, version_of};

/// Minimum interval in milliseconds at which the leader's own controller is granted loans.
const OWN_LOAN_INTERVAL: Millis = 500;
/// Minimum interval in milliseconds at which the leader's own controller is sent a reading of the leader's clock.
const OWN_CLOCK_INTERVAL: Millis = 1_000;

/// The state of the leader's thread.
pub(super) struct Leader {
    pub(super) api: Api<StoreHandle>,
    pub(super) keys: KeyRing,
    pub(super) context: LeaderContext,
    pub(super) versions: AppliedVersions,
    pub(super) changes: PendingChanges,
    pub(super) lease_span: LeaseSpanFile,
    pub(super) store_path: PathBuf,
    pub(super) snapshot_writer: SnapshotWriter,
    /// The last revision that was sent to the controller.
    pub(super) sent_revision: Revision,
    /// Time on the leader's clock at which a reading of it was last sent to the controller; 0 if never.
    pub(super) clock_sent_at: Millis,
    /// Time on the leader's clock at which the demands of its own controller were last handled; 0 if never.
    pub(super) own_loans_at: Millis,
    /// Whether the controller was last notified that its snapshot is behind.
    pub(super) own_is_behind: bool,
    /// Wakes the server, so that waiting requests are handled again.
    pub(super) wake: Stop,
    pub(super) peers: PeerPolling,
}

impl Leader {
    /// Handles a request. `held_for` is how long the server has held it; `None` if it has just arrived.
    pub(super) fn handle(&mut self, request: &http1::Request<'_>, held_for: Option<Duration>) -> Disposition {
        let caller = match self.keys.authenticate(request.header("authorization")) {
            Ok(caller) => caller,
            Err(problem) => return Disposition::Reply(problem_reply(&problem)),
        };
        self.update_own_in_force();
        match request.ticket {
            Some(ticket) => self.resume_change(ticket),
            None => self.handle_new(request, &caller, held_for),
        }
    }

    fn handle_new(
        &mut self,
        request: &http1::Request<'_>,
        caller: &Caller,
        held_for: Option<Duration>,
    ) -> Disposition {
        let request = api_request(request);
        let now = wall_ms();
        self.context.served.revision = self.api.snapshot().revision();
        let outcome = self.api.handle(&request, caller, &mut self.context, now, held_for);
        self.install_decision();
        self.publish_changes();
        self.wake_ready_changes();
        match outcome {
            Outcome::Ready(response) => Disposition::Reply(reply(response)),
            Outcome::Wait(span) => Disposition::Wait(span),
            Outcome::Committed { response, revision, restricts } => {
                let version = Version { epoch: self.context.served.epoch, revision };
                self.update_own_in_force();
                let fleet = self.context.members.fleet_state(self.context.now());
                let change = CommittedChange { response, version, restricts };
                let disposition = into_disposition(self.changes.add(&fleet, change));
                self.log_confirmed_changes();
                disposition
            }
        }
    }

    fn resume_change(&mut self, ticket: u64) -> Disposition {
        let fleet = self.context.members.fleet_state(self.context.now());
        let response = self.changes.resume(&fleet, ticket);
        let disposition =
            response.map_or_else(|| Disposition::Reply(problem_reply(&removed_response())), into_disposition);
        self.log_confirmed_changes();
        disposition
    }

    /// Records in the audit log which changes a response confirms as in force everywhere, before the response is sent.
    fn log_confirmed_changes(&mut self) {
        for version in self.changes.take_confirmed() {
            let now = self.context.now();
            if let Some(audit) = &mut self.context.audit {
                audit.change_in_force_everywhere(now, version);
            }
        }
    }

    fn update_own_in_force(&mut self) {
        let in_force = self.versions.in_force();
        self.context.members.set_own_in_force(in_force);
    }

    /// Wakes the server if a waiting response is ready, so that waiting requests are handled again.
    fn wake_ready_changes(&mut self) {
        self.update_own_in_force();
        if self.changes.is_any_ready(&self.context.members.fleet_state(self.context.now())) {
            self.wake.wake();
        }
    }

    /// Does the periodic work that is due. Returns the time until more is due; `None` if nothing is scheduled.
    pub(super) fn tick(&mut self) -> Option<Duration> {
        let wall = wall_ms();
        self.handle_peer_responses();
        self.install_decision();
        if let Err(error) = self.api.store().reopen_if_failed() {
            warn!(%error, "tenant store can't be reopened yet");
        }
        // Expired tenants are removed only while the snapshot may be changed.
        if self.context.recovery.is_serving() {
            self.api.remove_expired(wall);
        }
        self.publish_changes();
        if self.snapshot_writer.is_due() {
            self.write_snapshot();
        }
        let removal = self.next_removal(wall);
        let write = self.snapshot_writer.time_left();
        let round = if self.context.recovery.is_serving() { None } else { self.peers.poll() };
        let now = self.context.now();
        self.changes.remove_abandoned(now);
        self.context.publish_counts(now);
        self.grant_own_loans(now);
        self.collect_audit_entries(now);
        self.wake_ready_changes();
        let change = self.changes.next_due(&self.context.members.fleet_state(self.context.now()));
        let lease_span = self.lease_span.write_own_span(now, self.context.members.earlier_leases_over());
        let wait_until = |at: Millis| Duration::from_millis(at.saturating_sub(now).max(1));
        let due = [change, lease_span].into_iter().flatten().map(wait_until);
        [removal, write, round].into_iter().flatten().chain(due).min()
    }

    /// The time until the next removal of an expired tenant; `None` if none is scheduled or the snapshot may not be
    /// changed.
    fn next_removal(&self, wall: Millis) -> Option<Duration> {
        let due = self.api.snapshot().next_removal()?;
        let wait = Duration::from_millis(due.saturating_sub(wall).max(1));
        Some(wait).filter(|_| self.context.recovery.is_serving())
    }

    /// Sends the changes since the previous call to the controller, and wakes the watch requests that wait for changes.
    fn publish_changes(&mut self) {
        let snapshot = self.api.snapshot();
        if self.sent_revision == snapshot.revision() {
            return;
        }
        let StoreIdentity { name, epoch } = self.api.identity();
        let now = self.context.now();
        self.context.recovery.own_changed(now, version_of(name, *epoch, snapshot));
        match self.api.entries(self.sent_revision) {
            Ok(entries) => {
                for entry in entries {
                    info!(revision = entry.revision, who = %entry.actor, action = ?entry.action, tenant = %entry.tenant, "tenant changed");
                    self.sent_revision = entry.revision;
                    let (now, epoch) = (self.context.now(), self.context.served.epoch);
                    if let Some(audit) = &mut self.context.audit {
                        audit.change_accepted(now, epoch, &entry);
                    }
                    self.context.link.send(AdminEvent::TenantChanged(Box::new(entry)));
                }
            }
            Err(error) => warn!(%error, "committed changes can't be read from the tenant store"),
        }
        self.send_checkpoint(Version { epoch: self.context.served.epoch, revision: self.sent_revision });
        self.wake.wake();
        self.snapshot_writer.schedule();
    }

    /// Sends a checkpoint, which the controller acknowledges once it has applied everything sent before it.
    fn send_checkpoint(&mut self, version: Version) {
        let checkpoint = self.versions.record_sent(version);
        self.context.link.send(AdminEvent::Checkpoint(checkpoint));
    }

    /// Grants loans to the leader's own controller, by the same rules as to a follower but without HTTP requests.
    fn grant_own_loans(&mut self, now: Millis) {
        let borrower = self.context.own_incarnation();
        let span = self.context.members.lease_span();
        let (Some(loans), Some(span)) = (&mut self.context.loans, span) else { return };
        if now < self.own_loans_at + OWN_LOAN_INTERVAL {
            return;
        }
        self.own_loans_at = now;
        loans.remove_unused(now);
        let demands = self.context.link.status().recent_demands();
        if demands.is_empty() {
            return;
        }
        let requested_at = Instant::now();
        let period = LeaderContext::loan_period(now, span);
        let loans = loans.grant(period, self.api.snapshot(), borrower, &demands);
        let until = requested_at + Duration::from_millis(expires_at(0, span));
        self.context.link.send(AdminEvent::LoansGranted { until, loans });
    }

    /// Collects new audit entries. Also sends the controller a reading of the leader's clock, at most once per
    /// [`OWN_CLOCK_INTERVAL`]. Does nothing if audit logs are not collected.
    fn collect_audit_entries(&mut self, now: Millis) {
        let earliest = Instant::now();
        let Some(audit) = &mut self.context.audit else { return };
        audit.collect();
        if now >= self.clock_sent_at + OWN_CLOCK_INTERVAL || self.clock_sent_at == 0 {
            self.clock_sent_at = now.max(1);
            let (latest, incarnation) = (Instant::now(), self.context.identity.incarnation);
            self.context.link.send(AdminEvent::LeaderClock { earliest, latest, incarnation, at_ms: now });
        }
    }

    fn handle_peer_responses(&mut self) {
        for state in self.peers.responses() {
            let Some(controller) = state.controller else { continue };
            let now = self.context.now();
            match state.snapshot {
                Ok(Some(document)) => self.context.recovery.snapshot_offered(now, controller, document),
                Ok(None) => {
                    self.context.recovery.version_reported(now, ReportSource::peer(controller), None);
                }
                Err(_) => {}
            }
        }
    }

    /// Installs the snapshot that all controllers agree on or an operator has chosen, if there is one.
    fn install_decision(&mut self) {
        if let Some(decision) = self.context.recovery.take_decision() {
            self.install(decision);
        }
        self.log_duty();
    }

    /// Logs a change of the leader's duty. Notifies the controller if its snapshot is now behind or no longer so, marks
    /// pending changes as undecided while recovery is pending, and wakes waiting requests.
    pub(super) fn log_duty(&mut self) {
        if !self.context.recovery.log_duty() {
            return;
        }
        let is_behind = self.context.recovery.is_behind();
        if std::mem::replace(&mut self.own_is_behind, is_behind) != is_behind {
            self.context.link.send(AdminEvent::SnapshotBehind(is_behind));
        }
        if !self.context.recovery.is_serving() {
            self.changes.set_undecided();
        }
        self.wake.wake();
    }

    fn install(&mut self, Decision { snapshot, origin }: Decision) {
        if let Err(error) = self.api.store().install(&self.store_path, &snapshot, &origin) {
            error!(%error, "chosen snapshot can't be stored and is not installed");
            return;
        }
        let store = self.api.store().take();
        self.api.replace(snapshot.clone(), store, identity(&origin));
        let (now, revision, epoch) = (self.context.now(), snapshot.revision(), origin.epoch);
        info!(revision, epoch, store = %origin.store, "snapshot installed, it is authoritative now");
        self.context.recovery.installed(now, version_of(&origin.store, epoch, &snapshot));
        // The installed snapshot may lack the changes whose responses still wait.
        self.changes.set_undecided();
        self.sent_revision = revision;
        self.context.served.epoch = epoch;
        let document = SnapshotDocument { controller: None, store: origin.store, epoch, snapshot };
        self.context.link.send(AdminEvent::SnapshotReplaced(Box::new(document)));
        self.send_checkpoint(Version { epoch, revision });
        self.snapshot_writer.schedule_now();
        self.wake.wake();
    }

    /// Writes the snapshot file beside the store, unless this revision was written already or is not the store's own.
    pub(super) fn write_snapshot(&mut self) {
        let owns_store = self.context.recovery.owns_snapshot();
        self.snapshot_writer.write(self.api.snapshot(), self.api.identity(), owns_store);
    }
}

/// Converts an HTTP request to a request of the API. Parameters of the content type are dropped.
fn api_request<'a>(request: &'a http1::Request<'_>) -> Request<'a> {
    let content_type =
        request.header("content-type").map(|value| value.split(';').next().unwrap_or("").trim());
    Request {
        method: request.method,
        target: request.target,
        content_type,
        if_match: request.header("if-match"),
        idempotency_key: request.header("idempotency-key"),
        body: request.body,
    }
}

fn into_disposition(response: ChangeResponse) -> Disposition {
    match response {
        ChangeResponse::Ready(response) => Disposition::Reply(reply(response)),
        ChangeResponse::Wait { timeout, ticket } => Disposition::Park(Duration::from_millis(timeout), ticket),
    }
}

/// The response to a change that was removed from the pending changes before the server asked for it.
fn removed_response() -> Problem {
    Problem::new(503, "not-told", "the change was made; what became of it is at GET /v1/fleet/change")
}
