//! The list `(admin ...)`: the administration of tenants as leader or follower, API keys, leases, loans and the audit
//! log. The API is implemented by `nettleferry-admin`; keys are verified by `nettleferry-administration`.

use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::Micros;

use crate::form::{Bytes, Form, TimeSpan};

/// Default of [`AdminSettings::reserve`] if the settings have `(loans ...)`.
const DEFAULT_RESERVE: f64 = 0.2;

/// Default of [`AuditLog::max_bytes`].
const DEFAULT_AUDIT_LOG_BYTES: u64 = 64 << 20;
/// Lower limit of [`AuditLog::max_bytes`].
const MIN_AUDIT_LOG_BYTES: u64 = 64 << 10;

/// Default duration of a lease, microseconds.
const DEFAULT_LEASE: Micros = 6_000_000;
/// Shortest duration of a lease, microseconds.
const MIN_LEASE: Micros = 200_000;
/// Longest duration of a lease, microseconds.
const MAX_LEASE: Micros = 60_000_000;

/// The maximum number of peers of a controller. In a larger fleet it is enough to name some of the controllers.
const MAX_PEERS: usize = 64;

/// Default of [`AdminSettings::queue_length`].
const DEFAULT_QUEUE_LENGTH: u32 = 256;

/// The settings for the administration of tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminSettings {
    /// Whether this controller owns the tenants or replicates them from a leader.
    pub administration: Administration,
    /// Whether calls without a tenant are accepted. They are not subject to admission limits.
    pub anonymous: bool,
    /// The number of calls that may wait for a worker before the tenants' weights limit their shares of the queue.
    pub queue_length: u32,
    /// The audit log; `None` if none is written.
    pub audit_log: Option<AuditLog>,
    /// The share of each limit that is divided permanently among the controllers, from 0 to 1. The rest is lent on
    /// demand; at 1 nothing is lent.
    pub reserve: f64,
}

/// The settings of a controller's audit log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditLog {
    /// The folder in which the log is stored.
    pub folder: PathBuf,
    /// The maximum size, bytes; the oldest entries are dropped.
    pub max_bytes: u64,
}

/// The role of a controller in the administration of tenants.
#[derive(Clone, Debug, PartialEq)]
pub enum Administration {
    /// The controller owns the tenant store and serves the API.
    Leader(LeaderSettings),
    /// The controller replicates the tenants of a leader.
    Follower(FollowerSettings),
}

/// The settings of a controller that owns the tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderSettings {
    /// The address of the administration API.
    pub listen: SocketAddr,
    /// The file of the tenant store.
    pub store: PathBuf,
    /// The keys that authorize API requests.
    pub keys: Vec<AdminKey>,
    /// Controllers from which the leader requests the versions of their snapshots after a loss of the store.
    pub peers: Vec<SocketAddr>,
    /// The file of the key for requests to the peers, of role controller.
    pub peer_key: Option<PathBuf>,
    /// The duration of the followers' leases; `None` if no leases are granted.
    pub lease: Option<Micros>,
    /// The number of followers that must persist a change before it is acknowledged; all of them if there are fewer.
    pub required_replicas: usize,
}

/// The settings of a controller that replicates the tenants of a leader.
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerSettings {
    /// The address of the leader's API.
    pub leader: SocketAddr,
    /// The file of the key for requests to the leader and the peers, of role controller.
    pub key_file: PathBuf,
    /// The file in which the last snapshot is persisted, for a start while the leader is unreachable.
    pub snapshot_file: PathBuf,
    /// The endpoint at which controllers without a snapshot can fetch the one of this controller; `None` if it is not
    /// served.
    pub snapshot_server: Option<SnapshotServer>,
    /// Controllers from which a snapshot is fetched if this one has none and the leader is unreachable.
    pub peers: Vec<SocketAddr>,
    /// The behaviour without a lease.
    pub without_lease: LeaselessPolicy,
}

/// The endpoint at which a follower serves its snapshot to other controllers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotServer {
    /// The address of the endpoint.
    pub listen: SocketAddr,
    /// The keys that authorize requests.
    pub keys: Vec<AdminKey>,
}

/// The behaviour of a follower without a lease, while it can't know whether its snapshot is still in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaselessPolicy {
    /// Whether the follower rejects calls. If not, it continues with the snapshot that it has.
    pub rejects: bool,
    /// The time without a lease after which the follower reports that it is not ready; `None` if it stays ready.
    pub not_ready_after: Option<Micros>,
}

/// A key of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminKey {
    /// The unique name, which the audit trail of tenant changes shows.
    pub name: String,
    /// The role: `viewer`, `operator`, `admin` or `controller`.
    pub role: String,
    /// The argon2 hash of the secret, as printed by `nettleferry admin key`.
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
        form.error("(loans ...) require leases: write a (lease SPAN) above 0s");
    }
    form.finish();
    Some(AdminSettings { administration: administration?, anonymous, queue_length, audit_log, reserve })
}

/// Reads `(loans ...)`. Returns the share of each limit that is not lent.
fn reserve(form: &mut Form) -> f64 {
    let Some(mut loans) = form.optional_list("loans") else { return 1.0 };
    let reserve = loans.value_or("reserve", DEFAULT_RESERVE);
    if !(0.0..=1.0).contains(&reserve) {
        loans.error("(reserve ...) must be a share from 0 to 1");
    }
    loans.finish();
    reserve
}

/// Reads the settings of a follower of `leader`.
fn follower(form: &mut Form, leader: SocketAddr) -> Option<FollowerSettings> {
    let key_file = form.required::<String>("key-file");
    let snapshot_file = form.required::<String>("kept");
    let listen = form.optional::<SocketAddr>("listen");
    let keys = admin_keys(form);
    let peers = peers(form);
    if listen.is_some() == keys.is_empty() {
        form.error(
            "(listen ...) and (key NAME ROLE HASH) require each other: fetching the snapshot needs a key",
        );
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

/// Reads the behaviour of a follower without a lease.
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
            "(peer ...) and (peer-key-file ...) require each other; the key has role controller at the peers",
        );
    }
    if keys.is_empty() {
        form.error(
            "no (key NAME ROLE HASH): no request would be authorized; nettleferry admin key NAME ROLE creates one",
        );
    }
    let peer_key = peer_key.map(PathBuf::from);
    let lease = lease(form);
    let required_replicas: u64 = form.value_or("held-by", 1);
    if required_replicas > MAX_PEERS as u64 {
        form.error(format!("(held-by {required_replicas}): must be at most {MAX_PEERS}"));
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

/// Reads the duration of the followers' leases. `None` if no leases are granted.
fn lease(form: &mut Form) -> Option<Micros> {
    let lease = form.micros_or("lease", DEFAULT_LEASE);
    if lease != 0 && !(MIN_LEASE..=MAX_LEASE).contains(&lease) {
        form.error("(lease ...): write 200ms to 60s, or 0s to grant no leases");
    }
    Some(lease).filter(|span| *span > 0)
}

/// Reads `(trail ...)`.
fn audit_log(mut form: Form) -> Option<AuditLog> {
    let folder: Option<String> = form.required("folder");
    let max_bytes = form.optional::<Bytes>("size").map_or(DEFAULT_AUDIT_LOG_BYTES, |bytes| bytes.0);
    if max_bytes < MIN_AUDIT_LOG_BYTES {
        form.error("(size ...): must be at least 64KiB");
    }
    form.finish();
    folder.map(|folder| AuditLog { folder: folder.into(), max_bytes: max_bytes.max(MIN_AUDIT_LOG_BYTES) })
}

/// Reads all `(peer ADDRESS)`.
fn peers(form: &mut Form) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for mut peer in form.lists("peer") {
        let address: Option<SocketAddr> = peer.required_item("its address");
        // A repeated address counts once.
        all.extend(address.filter(|address| !all.contains(address)));
        peer.finish();
    }
    if all.len() > MAX_PEERS {
        form.error(format!("{} peers: must be at most {MAX_PEERS}", all.len()));
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
                key.error(format!("unknown role {role}: write viewer, operator, admin or controller"));
            }
            if !hash.starts_with("$argon2") {
                key.error("the hash must be an argon2 hash as printed by nettleferry admin key");
            }
            if keys.iter().any(|other| other.name == name) {
                key.error(format!("key {name} is defined more than once: names must be unique"));
            }
            keys.push(AdminKey { name, role, hash });
        }
        key.finish();
    }
    keys
}
