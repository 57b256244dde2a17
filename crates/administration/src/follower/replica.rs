//! The follower's loop: sends heartbeats that request changes, and handles the responses. The order matters: changes
//! are sent to the controller before the lease that covers them, and the next heartbeat reports the versions that are
//! in force and durable by then.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use nettleferry_fleet::Millis;
use nettleferry_fleet::bootstrap::should_replace;
use nettleferry_fleet::follower_requests::{Heartbeat, LeaseSpan};
use nettleferry_fleet::lease::{self, MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::Version;
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};
use nettleferry_net::http1_client::{Answer, Http1Error};
use nettleferry_tenancy::replication::{
    Follower as Replication, ReplicationRequest, ReplicationResponse, Update,
};
use tracing::{info, warn};

use super::deliveries::{AuditDelivery, LoanRequester};
use super::leader_client::LeaderClient;
use super::peer_bootstrap::{BootstrapStep, PeerBootstrap};
use super::responses::{self, DecodedResponse, Lease};
use super::snapshot_store::SnapshotStore;
use crate::applied_versions::{AcknowledgedCheckpoint, AppliedVersions};
use crate::controller_context::ControllerContext;
use crate::controller_link::ControllerLink;
use crate::key_file::read_token;
use crate::messages::AdminEvent;
use crate::snapshot_document::{SharedSnapshot, SnapshotDocument, version_of};

/// Maximum delay of the next heartbeat while received changes are not yet in force and durable, so that it can report
/// them.
const APPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// The configuration of a follower.
pub(crate) struct FollowerConfig<'a> {
    /// The address of the leader's API.
    pub(crate) leader: SocketAddr,
    /// The file with the bearer token for the leader and the peers.
    pub(crate) key_file: &'a Path,
    /// The file in which the snapshot is persisted.
    pub(crate) snapshot_file: &'a Path,
    /// The controllers from which a first snapshot is requested if the leader does not respond.
    pub(crate) peers: &'a [SocketAddr],
    /// Whether the controller rejects calls while it holds no lease.
    pub(crate) requires_lease: bool,
    /// Whether limits are divided by loans, so that the follower requests them.
    pub(crate) uses_loans: bool,
    /// The controller that starts the follower.
    pub(crate) controller: ControllerContext,
}

/// The version of a snapshot that was rejected, and how it compares to the follower's own.
#[derive(PartialEq, Eq)]
struct RejectedSnapshot {
    version: SnapshotVersion,
    order: VersionOrder,
}

/// The follower, with the state of its thread.
pub(crate) struct Follower {
    client: LeaderClient,
    bootstrap: PeerBootstrap,
    store: SnapshotStore,
    replication: Replication,
    /// The epoch of the snapshot; `None` if there is no snapshot yet.
    epoch: Option<u64>,
    /// The snapshot that was rejected last, to log it only once.
    rejected: Option<RejectedSnapshot>,
    link: ControllerLink,
    start: Instant,
    controller: u32,
    /// A random number that is chosen at the start.
    incarnation: u64,
    requires_lease: bool,
    /// Whether this incarnation is fenced. The controller has been notified if it is.
    fenced: bool,
    /// Which versions the controller has in force.
    versions: AppliedVersions,
    audit: AuditDelivery,
    loan_requester: LoanRequester,
    /// The span of the leader's leases, or that it grants none, by its last response with data.
    lease_span: LeaseSpan,
}

impl Follower {
    /// Creates a follower with the persisted snapshot, if there is one.
    ///
    /// # Errors
    /// The key file cannot be read, or the system cannot create a poll instance for a connection.
    pub(crate) fn new(
        config: &FollowerConfig,
        shared: SharedSnapshot,
        link: ControllerLink,
    ) -> io::Result<Self> {
        let controller = config.controller.number;
        let token = read_token(config.key_file)?;
        let client = LeaderClient::new(config.leader, &token)?;
        let waker = client.waker();
        let written = move || _ = waker.wake();
        let (mut store, document) = SnapshotStore::open(config.snapshot_file.to_owned(), shared, written);
        let epoch = document.as_ref().map(|document| document.epoch);
        let persisted = document.map(|document| (document.store, document.snapshot));
        let replication = Replication::new(persisted, rand::random());
        let (revision, tenants) = (replication.snapshot().revision(), replication.snapshot().tenants().len());
        info!(revision, tenants, epoch, leader = %config.leader, "following the leader, starting with the persisted tenants");
        let bootstrap = PeerBootstrap::new(config.peers, &token, controller)?;
        // 0 is reserved: followers of earlier versions of the program, which report no incarnation, are read as 0.
        let incarnation = rand::random::<u64>().max(1);
        // The controller starts with the persisted snapshot, so that version is in force from the start.
        let versions = AppliedVersions::new(store.persisted());
        Ok(Self {
            client,
            bootstrap,
            store,
            replication,
            epoch,
            rejected: None,
            link,
            start: Instant::now(),
            controller,
            incarnation,
            requires_lease: config.requires_lease,
            fenced: false,
            versions,
            audit: AuditDelivery::new(controller, config.controller.audit_entries.clone()),
            loan_requester: LoanRequester::new(controller, incarnation, config.uses_loans),
            lease_span: LeaseSpan::default(),
        })
    }

    /// The current snapshot; `None` if there is none yet.
    pub(crate) fn document(&self) -> Option<SnapshotDocument> {
        let (store, snapshot) = (self.replication.store().to_owned(), self.replication.snapshot().clone());
        self.epoch.map(|epoch| SnapshotDocument { controller: None, store, epoch, snapshot })
    }

    /// The flag that another thread sets to stop the follower. That thread must wake the follower afterwards.
    pub(crate) fn stopped(&self) -> Arc<AtomicBool> {
        self.client.stopped()
    }

    /// The waker that interrupts a wait of the follower's thread.
    pub(crate) fn waker(&self) -> Arc<mio::Waker> {
        self.client.waker()
    }

    /// The counter in which the controller's thread acknowledges checkpoints.
    pub(crate) fn acknowledged(&self) -> AcknowledgedCheckpoint {
        self.versions.acknowledged()
    }

    /// Replicates until the follower is stopped, and deregisters from the leader then.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut updates = Vec::new();
        while !self.client.is_stopped() {
            let (request, due_at) = self.replication.next();
            let wait = due_at.saturating_sub(self.now());
            if wait > 0 {
                self.wait_or_bootstrap(wait, &mut updates)?;
            } else {
                self.exchange(&request, &mut updates)?;
            }
            self.apply(&mut updates);
        }
        self.deregister()
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as u64
    }

    /// Deregisters this incarnation if the leader grants leases. The leader then frees its loans at once, and no longer
    /// waits for it before it acknowledges changes.
    fn deregister(&mut self) -> io::Result<()> {
        match self.lease_span {
            LeaseSpan::Granted(_) => self.client.deregister(self.controller, self.incarnation),
            LeaseSpan::Unknown | LeaseSpan::NoLeases => Ok(()),
        }
    }

    /// Sends one request and handles its response: applies changes, renews the lease, and sends loan requests and audit
    /// entries if a lease was granted.
    fn exchange(&mut self, request: &ReplicationRequest, updates: &mut Vec<Update>) -> io::Result<()> {
        // The lease is counted from before the request, so that the delay of the response does not extend it.
        let requested_at = Instant::now();
        let Some(response) = self.send_heartbeat(request)? else { return Ok(()) };
        self.send_leader_clock(requested_at, &response);
        let lease = self.handle_response(request, &response, updates);
        self.apply(updates);
        self.renew_lease(requested_at, lease);
        self.wait_until_applied()?;
        if lease.is_some() {
            self.loan_requester.request_loans(&mut self.client, &self.link)?;
            self.audit.deliver(&mut self.client)?;
        }
        Ok(())
    }

    /// Returns `None` if the follower was stopped before the response arrived.
    fn send_heartbeat(
        &mut self,
        request: &ReplicationRequest,
    ) -> io::Result<Option<Result<Answer, Http1Error>>> {
        let snapshot = self.snapshot_version();
        let (in_force, persisted) = (self.versions.in_force(), self.store.persisted());
        let epoch = self.epoch.unwrap_or(0);
        // Revisions are comparable only within an epoch. A version of another epoch is reported as revision 0.
        let revision_of = |version: Version| if version.epoch == epoch { version.revision } else { 0 };
        let heartbeat = Heartbeat {
            controller: self.controller,
            incarnation: self.incarnation,
            in_force: revision_of(in_force),
            persisted: revision_of(persisted),
            requires_lease: self.requires_lease,
            fenced: self.fenced,
            snapshot: snapshot.as_ref(),
        };
        let timing = self.lease_span.timing(self.is_behind());
        self.client.replicate(request, &heartbeat, timing)
    }

    fn snapshot_version(&self) -> Option<SnapshotVersion> {
        Some(version_of(self.replication.store(), self.epoch?, self.replication.snapshot()))
    }

    /// The epoch and revision of the current snapshot, without its store and checksum.
    fn version(&self) -> Version {
        Version { epoch: self.epoch.unwrap_or(0), revision: self.replication.snapshot().revision() }
    }

    /// Whether the current snapshot is not yet both in force and durable.
    fn is_behind(&mut self) -> bool {
        let version = self.version();
        self.versions.in_force() < version || self.store.persisted() < version
    }

    /// Waits up to [`APPLY_TIMEOUT`] until the snapshot is in force and durable, so that the next heartbeat reports it.
    fn wait_until_applied(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        while self.is_behind() && !self.client.is_stopped() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            self.client.wait(remaining)?;
        }
        Ok(())
    }

    /// Waits until the next request to the leader is due. A follower without a snapshot runs one step of the bootstrap
    /// from peers instead, if one is due.
    fn wait_or_bootstrap(&mut self, wait: Millis, updates: &mut Vec<Update>) -> io::Result<()> {
        let mut wait = wait;
        if self.epoch.is_none() {
            match self.bootstrap.step(self.now()) {
                BootstrapStep::WaitUntil(until) => wait = wait.min(until.saturating_sub(self.now())),
                BootstrapStep::Continue => return Ok(()),
                BootstrapStep::Install(document) => {
                    let SnapshotDocument { store, epoch, snapshot, .. } = document;
                    self.epoch = Some(epoch);
                    let response = ReplicationResponse::Snapshot { store, snapshot };
                    self.replication.response_received(self.now(), response, updates);
                    return Ok(());
                }
            }
        }
        self.client.wait(Duration::from_millis(wait.max(1)))
    }

    /// Sends the reading of the leader's clock in a response to the controller, with the interval of the local clock in
    /// which the reading was taken.
    fn send_leader_clock(&self, requested_at: Instant, response: &Result<Answer, Http1Error>) {
        let Some(clock) = response.as_ref().ok().and_then(responses::leader_clock) else { return };
        // The reading was taken after the leader had held the request. The leader's clock, which measured that, may run
        // fast: the clock error is subtracted.
        let held =
            Duration::from_millis(clock.held_ms.saturating_sub(lease::max_clock_difference(clock.held_ms)));
        let latest = Instant::now();
        let earliest = (requested_at + held).min(latest);
        let (incarnation, at_ms) = (clock.incarnation, clock.at_ms);
        self.link.send(AdminEvent::LeaderClock { earliest, latest, incarnation, at_ms });
    }

    /// Passes the response to the replication. Returns the lease in the response, if the follower has received all
    /// changes that the lease covers.
    fn handle_response(
        &mut self,
        request: &ReplicationRequest,
        response: &Result<Answer, Http1Error>,
        updates: &mut Vec<Update>,
    ) -> Option<Lease> {
        self.check_fenced(response);
        let decoded = match response {
            Ok(response) => responses::decode(request, response),
            Err(_) => DecodedResponse::Other(ReplicationResponse::Failed),
        };
        let (received, lease) = match decoded {
            DecodedResponse::Other(received) => (received, None),
            DecodedResponse::Changes(entries, lease) => (ReplicationResponse::Entries(entries), Some(lease)),
            DecodedResponse::Snapshot(document, lease) => (self.check_snapshot(document), Some(lease)),
        };
        let is_data =
            matches!(received, ReplicationResponse::Entries(_) | ReplicationResponse::Snapshot { .. });
        let failures_before = self.replication.failures();
        self.replication.response_received(self.now(), received, updates);
        self.log_failures(failures_before, response);
        // Changes that do not continue the current snapshot are followed by a request for a whole snapshot. The lease
        // in such a response covers changes that the follower does not have, so it is not used.
        let needs_snapshot = matches!(
            (request, self.replication.next().0),
            (ReplicationRequest::Watch { .. }, ReplicationRequest::Snapshot)
        );
        lease.filter(|_| is_data && !needs_snapshot)
    }

    fn check_fenced(&mut self, response: &Result<Answer, Http1Error>) {
        if response.as_ref().is_ok_and(responses::is_fenced) && !self.fenced {
            warn!("incarnation fenced: no calls are accepted until a restart");
            self.fenced = true;
            self.link.send(AdminEvent::Fenced);
        }
    }

    /// Logs the first of several consecutive failures, unless a rejected snapshot was logged already, and the first
    /// success after them.
    fn log_failures(&self, before: u32, response: &Result<Answer, Http1Error>) {
        match (before, self.replication.failures()) {
            (0, 1) if self.rejected.is_none() => {
                let cause = match response {
                    Ok(response) => format!("status {}", response.status),
                    Err(error) => error.to_string(),
                };
                warn!(cause, "replication from the leader failed, tenants stay as they are");
            }
            (1.., 0) => info!("replication from the leader works again"),
            _ => {}
        }
    }

    /// Accepts a whole snapshot from the leader, unless the follower's own is newer or has a different history.
    fn check_snapshot(&mut self, document: SnapshotDocument) -> ReplicationResponse {
        let (offered, held) = (document.version(), self.snapshot_version());
        match should_replace(held.as_ref(), &offered) {
            Ok(_) => {
                self.rejected = None;
                self.epoch = Some(document.epoch);
                ReplicationResponse::Snapshot { store: document.store, snapshot: document.snapshot }
            }
            Err(order) => {
                self.log_rejected(RejectedSnapshot { version: offered, order }, held.as_ref());
                ReplicationResponse::Failed
            }
        }
    }

    fn log_rejected(&mut self, rejected: RejectedSnapshot, held: Option<&SnapshotVersion>) {
        if self.rejected.as_ref() == Some(&rejected) {
            return;
        }
        let held = held.map(|version| version.to_string()).unwrap_or_default();
        warn!(
            offered = %rejected.version, held, order = rejected.order.as_str(),
            "leader's snapshot rejected: ours stays until the leader has caught up or an operator has decided"
        );
        self.rejected = Some(rejected);
    }

    /// Sends the renewed lease, which covers all events sent so far, to the controller. Its span is counted from
    /// `requested_at`.
    fn renew_lease(&mut self, requested_at: Instant, lease: Option<Lease>) {
        let Some(Lease { span_ms, fencing_token }) = lease else { return };
        let granted = |ms: Millis| LeaseSpan::Granted(Duration::from_millis(ms.clamp(MIN_SPAN, MAX_SPAN)));
        let span = span_ms.map_or(LeaseSpan::NoLeases, granted);
        if self.lease_span != span {
            info!(span_ms, "span of the leader's leases changed");
            self.lease_span = span;
        }
        if let Some(span_ms) = span_ms {
            let until = requested_at + Duration::from_millis(lease::expires_at(0, span_ms));
            let fencing_token = fencing_token.unwrap_or(0);
            self.link.send(AdminEvent::LeaseRenewed { until, fencing_token });
        }
    }

    /// Sends updates to the controller, followed by a checkpoint, and publishes the snapshot.
    fn apply(&mut self, updates: &mut Vec<Update>) {
        let has_updates = !updates.is_empty();
        for update in updates.drain(..) {
            self.link.send(match update {
                Update::Changed(entry) => AdminEvent::TenantChanged(entry),
                Update::Replaced(snapshot) => {
                    let (store, epoch) = (self.replication.store().to_owned(), self.epoch.unwrap_or(0));
                    let document = SnapshotDocument { controller: None, store, epoch, snapshot };
                    AdminEvent::SnapshotReplaced(Box::new(document))
                }
            });
        }
        let version = self.version();
        if has_updates || self.versions.last_sent() != version {
            let checkpoint = self.versions.record_sent(version);
            self.link.send(AdminEvent::Checkpoint(checkpoint));
        }
        if let Some(epoch) = self.epoch {
            self.store.publish(self.replication.store(), epoch, self.replication.snapshot());
        }
    }
}
