//! Administration of tenants: led or followed, keys, leases, loans and the audit log. The API itself is that of
//! `nettleferry-admin`; keys are verified by `nettleferry-administration`.

use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::Micros;

use crate::form::{Bytes, Form, TimeSpan};

/// Default of [`AdminSettings::reserve`] where loans are given.
const DEFAULT_RESERVE: f64 = 0.2;

/// Default size of an audit log, bytes.
const DEFAULT_AUDIT_LOG_BYTES: u64 = 64 << 20;
/// Least size of an audit log, bytes.
const MIN_AUDIT_LOG_BYTES: u64 = 64 << 10;

/// Default duration of a lease.
const DEFAULT_LEASE: Micros = 6_000_000;
/// Shortest lease.
const MIN_LEASE: Micros = 200_000;
/// Longest lease.
const MAX_LEASE: Micros = 60_000_000;

/// Most peers of one controller: of a larger fleet a part is enough.
const MAX_PEERS: usize = 64;

/// Default of [`AdminSettings::queue_length`].
const DEFAULT_QUEUE_LENGTH: u32 = 256;

/// Administration of tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminSettings {
    /// Whose tenants they are.
    pub administration: Administration,
    /// Whether calls that name no tenant are accepted, without limits of admission.
    pub anonymous: bool,
    /// Calls that may wait for a worker before tenants share the queue by weight.
    pub queue_length: u32,
    /// The audit log; `None`: none is written.
    pub audit_log: Option<AuditLog>,
    /// Part of each limit that is divided for good among the controllers; the rest is lent by demand. 1: nothing is lent.
    pub reserve: f64,
}

/// The audit log of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditLog {
    /// Its folder.
    pub folder: PathBuf,
    /// Its greatest size, bytes; the oldest entries are dropped first.
    pub bytes: u64,
}

/// Whose tenants a controller has.
#[derive(Clone, Debug, PartialEq)]
pub enum Administration {
    /// Its own: it owns the store and serves the API.
    Leader(LeaderSettings),
    /// Those of a leader.
    Follower(FollowerSettings),
}

/// A controller that owns the tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderSettings {
    /// Where the API listens.
    pub listen: SocketAddr,
    /// The store's file.
    pub store: PathBuf,
    /// The keys of the API.
    pub keys: Vec<AdminKey>,
    /// Controllers that are asked for their snapshot's version after a loss.
    pub peers: Vec<SocketAddr>,
    /// File of the key to ask them with.
    pub peer_key: Option<PathBuf>,
    /// Duration of the leases that followers get; `None`: they get none.
    pub lease: Option<Micros>,
    /// Followers that must have persisted a change before it is acknowledged, where there are so many.
    pub required_replicas: usize,
}

/// A controller that replicates the tenants of a leader.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerSettings {
    /// The leader's address.
    pub leader: SocketAddr,
    /// File of the key to ask it with, of role controller.
    pub key_file: PathBuf,
    /// File of the last snapshot, for a start without the leader.
    pub snapshot_file: PathBuf,
    /// Where it serves its snapshot to controllers that lack one; `None`: nowhere.
    pub snapshot_server: Option<SnapshotServer>,
    /// Controllers that are asked for a snapshot where it has none and the leader is unreachable.
    pub peers: Vec<SocketAddr>,
    /// What it does while it has no lease.
    pub without_lease: LeaselessPolicy,
}

/// Where a follower serves its snapshot, and to whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotServer {
    /// Its address.
    pub listen: SocketAddr,
    /// Its keys.
    pub keys: Vec<AdminKey>,
}

/// What a follower does while it can't know whether its snapshot is still in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaselessPolicy {
    /// Whether it rejects calls; else it acts on the snapshot that it has.
    pub rejects: bool,
    /// After how long without a lease it reports that it is not ready; `None`: never.
    pub not_ready_after: Option<Micros>,
}

/// A key of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminKey {
    /// Its name, which the audit trail shows.
    pub name: String,
    /// viewer, operator, admin or controller.
    pub role: String,
    /// Its secret's argon2 hash, as `nettleferry admin key` prints it.
    pub hash: String,
}

/// Reads `(admin ...)`.
pub(super) fn admin(mut form: Form) -> Option<AdminSettings> {
    let administration = match form.optional::<SocketAddr>("follow") {
        Some(leader) => follower(&mut form, leader).map(Administration::Follower),
        None => leader(&mut form).map(Administration::Leader),
    };
    let anonymous = form.value_or("anonymous", false);
    let queue_length = form.value_or("places", DEFAULT_QUEUE_LENGTH);
    let audit_log = form.optional_list("trail").and_then(audit_log);
    let reserve = reserve(&mut form);
    let lends_without_lease =
        matches!(&administration, Some(Administration::Leader(leader)) if leader.lease.is_none());
    if reserve < 1.0 && lends_without_lease {
        form.error("(loans ...) last as long as leases: write (lease SPAN)");
    }
    form.finish();
    Some(AdminSettings { administration: administration?, anonymous, queue_length, audit_log, reserve })
}

/// Reads `(loans ...)`: the part of each limit that is not lent.
fn reserve(form: &mut Form) -> f64 {
    let Some(mut loans) = form.optional_list("loans") else { return 1.0 };
    let reserve = loans.value_or("reserve", DEFAULT_RESERVE);
    if !(0.0..=1.0).contains(&reserve) {
        loans.error("(reserve ...): a part, from 0 to 1");
    }
    loans.finish();
    reserve
}

/// Reads the settings of a follower of this leader.
fn follower(form: &mut Form, leader: SocketAddr) -> Option<FollowerSettings> {
    let key_file = form.required::<String>("key-file");
    let snapshot_file = form.required::<String>("kept");
    let listen = form.optional::<SocketAddr>("listen");
    let keys = admin_keys(form);
    let peers = peers(form);
    if listen.is_some() == keys.is_empty() {
        form.error("(listen ...) and (key NAME ROLE HASH) go together: who may have the book");
    }
    let snapshot_server = listen.map(|listen| SnapshotServer { listen, keys });
    let without_lease = leaseless_policy(form);
    let (key_file, snapshot_file) = key_file.zip(snapshot_file)?;
    Some(FollowerSettings {
        leader,
        key_file: key_file.into(),
        snapshot_file: snapshot_file.into(),
        snapshot_server,
        peers,
        without_lease,
    })
}

/// Reads what a follower does without a lease.
fn leaseless_policy(form: &mut Form) -> LeaselessPolicy {
    let rejects = [("serve", false), ("refuse", true)];
    LeaselessPolicy {
        rejects: form.keyword_or("without-lease", &rejects, false),
        not_ready_after: form.optional::<TimeSpan>("leave-after").map(|span| span.0),
    }
}

/// Reads the settings of a leader.
fn leader(form: &mut Form) -> Option<LeaderSettings> {
    let (listen, store) = (form.required("listen"), form.required::<String>("store"));
    let (keys, peers) = (admin_keys(form), peers(form));
    let peer_key: Option<String> = form.optional("peer-key-file");
    if peers.is_empty() != peer_key.is_none() {
        form.error(
            "(peer ...) and (peer-key-file ...) go together: a key of role controller that the peers know",
        );
    }
    if keys.is_empty() {
        form.error(
            "no (key NAME ROLE HASH): nothing listens that nobody may ask; nettleferry admin key NAME ROLE makes one",
        );
    }
    let peer_key = peer_key.map(PathBuf::from);
    let lease = lease(form);
    let required_replicas: u64 = form.value_or("held-by", 1);
    if required_replicas > MAX_PEERS as u64 {
        form.error(format!("(held-by {required_replicas}): at most {MAX_PEERS}"));
    }
    Some(LeaderSettings {
        listen: listen?,
        store: store?.into(),
        keys,
        peers,
        peer_key,
        lease,
        required_replicas: required_replicas as usize,
    })
}

/// Reads the span of the leases that followers get; `None`: they get none.
fn lease(form: &mut Form) -> Option<Micros> {
    let lease = form.micros_or("lease", DEFAULT_LEASE);
    if lease != 0 && !(MIN_LEASE..=MAX_LEASE).contains(&lease) {
        form.error("(lease ...): 200ms to 60s, or 0s where followers get none");
    }
    Some(lease).filter(|span| *span > 0)
}

/// Reads `(trail ...)`.
fn audit_log(mut form: Form) -> Option<AuditLog> {
    let folder: Option<String> = form.required("folder");
    let bytes = form.optional::<Bytes>("size").map_or(DEFAULT_AUDIT_LOG_BYTES, |b| b.0);
    if bytes < MIN_AUDIT_LOG_BYTES {
        form.error("(size ...): 64KiB at the least");
    }
    form.finish();
    folder.map(|folder| AuditLog { folder: folder.into(), bytes: bytes.max(MIN_AUDIT_LOG_BYTES) })
}

/// Reads all `(peer ADDRESS)`.
fn peers(form: &mut Form) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for mut peer in form.lists("peer") {
        let address: Option<SocketAddr> = peer.required_item("its address");
        // A peer that is named twice counts once.
        all.extend(address.filter(|address| !all.contains(address)));
        peer.finish();
    }
    if all.len() > MAX_PEERS {
        form.error(format!("{} peers: at most {MAX_PEERS}", all.len()));
    }
    all
}

/// Reads all `(key NAME ROLE HASH)`.
fn admin_keys(form: &mut Form) -> Vec<AdminKey> {
    let mut keys: Vec<AdminKey> = Vec::new();
    for mut key in form.lists("key") {
        let name: Option<String> = key.required_item("its name");
        let role: Option<String> = key.required_item("its role");
        let hash: Option<String> = key.required_item("its hash");
        if let (Some(name), Some(role), Some(hash)) = (name, role, hash) {
            if !["viewer", "operator", "admin", "controller"].contains(&role.as_str()) {
                key.error(format!("role {role}: viewer, operator, admin or controller"));
            }
            if !hash.starts_with("$argon2") {
                key.error("the hash is an argon2 one, as nettleferry admin key prints it");
            }
            if keys.iter().any(|k| k.name == name) {
                key.error(format!("key {name} stands twice: names are unique"));
            }
            keys.push(AdminKey { name, role, hash });
        }
        key.finish();
    }
    keys
}
