//! Starts the leader: opens the store, the files beside it and the listener, and spawns the thread.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Instant;

use nettleferry_admin::api::{Api, MAX_BODY_BYTES};
use nettleferry_config::settings::AdminKey;
use nettleferry_fleet::authority::Authority;
use nettleferry_fleet::loans::LoanConfig;
use nettleferry_fleet::membership::{Membership, Version};
use nettleferry_net::http1::{Http1Limits, Http1Server, Stop};
use nettleferry_net::retry::{is_transient, retry_startup};
use nettleferry_tenancy::TenantSnapshot;
use nettleferry_tenant_store::{Origin, Snapshot};
use tracing::{error, info, warn};

use super::audit_collector::AuditCollector;
use super::context::{LeaderContext, LeaderIdentity};
use super::lease_span::LeaseSpanFile;
use super::membership_service::{MAX_FOLLOWERS, MembershipService};
use super::peer_polling::PeerPolling;
use super::recovery::RecoveryService;
use super::server_loop::Leader;
use super::snapshot_writer::{self, SnapshotWriter};
use super::store::{self, StoreHandle, identity, wall_ms};
use crate::applied_versions::{AcknowledgedCheckpoint, AppliedVersions};
use crate::controller_context::ControllerContext;
use crate::controller_link::ControllerLink;
use crate::key_file::read_token;
use crate::keys::KeyRing;
use crate::loan_service::LoanService;
use crate::peer_client::{PeerClient, PeerPoller};
use crate::pending_changes::PendingChanges;
use crate::snapshot_document::{SnapshotDocument, version_of};

/// Each follower keeps two connections: one for watch requests, and one for all other requests.
const CONNECTIONS_PER_FOLLOWER: usize = 2;
/// The store name that the API shows for a store that cannot be read.
const DAMAGED_STORE: &str = "damaged";

/// The configuration of a leader.
pub(crate) struct LeaderConfig<'a> {
    /// The address of the API.
    pub(crate) listen: SocketAddr,
    /// The tenant store's file.
    pub(crate) store: &'a Path,
    /// The keys with which the API authenticates its callers.
    pub(crate) keys: &'a [AdminKey],
    /// The controllers whose snapshots are requested after a loss.
    pub(crate) peers: &'a [SocketAddr],
    /// The file with the bearer token for the peers; set if and only if there are peers.
    pub(crate) peer_key: Option<&'a Path>,
    /// The span of a lease in milliseconds; `None` if no leases are granted.
    pub(crate) lease_ms: Option<u64>,
    /// The number of other controllers that must persist a change before it is acknowledged.
    pub(crate) required_copies: usize,
    /// The rules by which limits are divided between controllers with loans.
    pub(crate) loans: LoanConfig,
    /// The leader's own controller.
    pub(crate) controller: ControllerContext,
}

/// The handles of a started leader.
pub(crate) struct RunningLeader {
    /// The local address of the listener.
    pub(crate) local: SocketAddr,
    /// The snapshot that the controller starts with; `None` if neither the store nor the snapshot beside it can be
    /// read.
    pub(crate) snapshot: Option<SnapshotDocument>,
    /// The counter in which the controller's thread acknowledges checkpoints.
    pub(crate) acknowledged: AcknowledgedCheckpoint,
    /// Stops or wakes the thread.
    pub(crate) stop: Stop,
    /// The leader's thread, which ends after it was stopped.
    pub(crate) thread: JoinHandle<()>,
}

/// The result of opening the store, which may be damaged.
struct OpenedStore {
    store: StoreHandle,
    /// The store's snapshot, or the last good one beside a damaged store.
    snapshot: Option<TenantSnapshot>,
    /// The error because of which the API rejects changes; `None` if the store is usable.
    read_only: Option<String>,
}

impl OpenedStore {
    /// Opens the store. An error is logged, and a damaged store is left as it is: the leader's own controller uses the
    /// last good snapshot, and no snapshot is served or changed until recovery has decided which one is authoritative.
    fn open(path: &Path) -> Self {
        match store::open_with_retry(path) {
            Ok((store, snapshot)) => {
                Self { store: StoreHandle::new(Some(store)), snapshot: Some(snapshot), read_only: None }
            }
            Err(error) => {
                error!(%error, "tenant store can't be used: the last good snapshot is used, changes are rejected");
                let snapshot = last_good_snapshot(path);
                Self { store: StoreHandle::new(None), snapshot, read_only: Some(error.to_string()) }
            }
        }
    }
}

fn last_good_snapshot(store: &Path) -> Option<TenantSnapshot> {
    match Snapshot::read(&snapshot_writer::snapshot_file(store)) {
        Ok(snapshot) => Some(snapshot.tenant_snapshot()),
        Err(error) => {
            error!(%error, "snapshot beside the tenant store can't be read, no tenants are known until recovery installs one");
            None
        }
    }
}

/// Opens the store, binds the listener and starts the thread.
///
/// # Errors
/// The listener cannot be bound, the peers' key file cannot be read, or a thread cannot be started.
pub(crate) fn start(config: LeaderConfig, link: ControllerLink) -> io::Result<RunningLeader> {
    let (spans, lease_span) = LeaseSpanFile::open(config.store, config.lease_ms);
    let OpenedStore { store, snapshot, read_only } = OpenedStore::open(config.store);
    let is_known = snapshot.is_some();
    let snapshot = snapshot.unwrap_or_default();
    let incarnation = rand::random::<u64>().max(1);
    let audit = open_audit_collector(&config, incarnation);
    let origin = store.origin();
    let own = origin.as_ref().map(|origin| version_of(&origin.store, origin.epoch, &snapshot));
    let origin = origin.unwrap_or_else(|| Origin { store: DAMAGED_STORE.to_owned(), epoch: 0 });
    let (revision, epoch) = (snapshot.revision(), origin.epoch);
    info!(revision, tenants = snapshot.tenants().len(), epoch, "tenants loaded");
    let server = retry_startup("administration listener", || listen(config.listen), is_transient)?;
    let (local, stop) = (server.local_addr()?, server.stop());
    let peers = start_peer_poller(&config, &stop)?;
    let start = Instant::now();
    let peers = PeerPolling::new(peers, start);
    let membership = Membership::new(0, spans.granted, spans.earlier, wall_ms());
    let versions = AppliedVersions::new(Version { epoch, revision });
    let acknowledged = versions.acknowledged();
    let identity = identity(&origin);
    let document = SnapshotDocument { controller: None, store: origin.store, epoch, snapshot };
    let (controller, controllers) = (config.controller.number, config.controller.controllers);
    let uses_loans = config.loans.reserve < 1.0;
    let max_call_duration = config.controller.max_deadline_ms;
    let mut leader = Leader {
        api: Api::new(document.snapshot.clone(), store, identity, read_only),
        keys: KeyRing::new(config.keys),
        context: LeaderContext {
            identity: LeaderIdentity { controller, incarnation, start, controllers },
            link,
            drained_workers: Default::default(),
            recovery: RecoveryService::new(controller, Authority::new(0, own, peers.count())),
            served: Version { epoch, revision },
            members: MembershipService::new(membership, config.required_copies),
            refused_reports: Default::default(),
            audit,
            loans: uses_loans.then(|| LoanService::new(config.loans, incarnation, max_call_duration)),
        },
        versions,
        changes: PendingChanges::default(),
        lease_span,
        store_path: config.store.to_owned(),
        snapshot_writer: SnapshotWriter::new(snapshot_writer::snapshot_file(config.store), revision),
        sent_revision: revision,
        clock_sent_at: 0,
        own_loans_at: 0,
        own_is_behind: false,
        wake: stop.clone(),
        peers,
    };
    leader.log_duty();
    let thread = spawn(leader, server)?;
    Ok(RunningLeader { local, snapshot: is_known.then_some(document), acknowledged, stop, thread })
}

/// Opens the collected audit logs. Returns `None` if the leader's own controller keeps no audit log: none are collected
/// then.
fn open_audit_collector(config: &LeaderConfig, incarnation: u64) -> Option<AuditCollector> {
    let folder = config.store.with_extension("records");
    let ControllerContext { number, audit_entries, .. } = &config.controller;
    let entries = audit_entries.clone()?;
    Some(AuditCollector::open(folder, *number, incarnation, entries))
}

fn listen(address: SocketAddr) -> io::Result<Http1Server> {
    let connections = CONNECTIONS_PER_FOLLOWER * MAX_FOLLOWERS + Http1Limits::default().connections;
    Http1Server::bind(
        address,
        Http1Limits { body_bytes: MAX_BODY_BYTES, connections, ..Http1Limits::default() },
    )
}

fn start_peer_poller(config: &LeaderConfig, stop: &Stop) -> io::Result<PeerPoller> {
    let token = config.peer_key.map(read_token).transpose()?.unwrap_or_default();
    let client = PeerClient::new(config.peers, &token, config.controller.number)?;
    let stop = stop.clone();
    PeerPoller::start(client, move || stop.wake())
}

/// Starts the leader's thread, which writes the snapshot file once more before it ends.
fn spawn(mut leader: Leader, mut server: Http1Server) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("admin".to_owned()).spawn(move || {
        let leader = RefCell::new(&mut leader);
        let ended = server.run_waiting(
            |request, held_for| leader.borrow_mut().handle(request, held_for),
            || leader.borrow_mut().tick(),
        );
        leader.borrow_mut().write_snapshot();
        if let Err(error) = ended {
            warn!(%error, "administration server failed");
        }
    })
}
