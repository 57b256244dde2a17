//! Administration of tenants: own or followed, keys, leases, loans and the record of what was acted on. What the API
//! answers, and who checks a key, is `nettleferry-admin`'s and the gateway's.

use std::net::SocketAddr;
use std::path::PathBuf;

use nettleferry::Micros;

use crate::form::{Bytes, Form, TimeSpan};

/// Part of a limit that is divided for good, where loans are given.
const RESERVE: f64 = 0.2;

/// Size of a record's log where not told, and the least.
const TRAIL_BYTES: u64 = 64 << 20;
const LEAST_TRAIL: u64 = 64 << 10;

/// Span of a lease where not told, and its bounds.
const LEASE: Micros = 6_000_000;
const LEAST_LEASE: Micros = 200_000;
const MOST_LEASE: Micros = 60_000_000;

/// Most peers that one controller names: of a larger fleet a part is enough.
const MOST_PEERS: usize = 64;

/// Administration of tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct Admin {
    /// Whose tenants they are.
    pub desk: Desk,
    /// Calls that name no tenant are taken, without limits of admission.
    pub anonymous: bool,
    /// Calls that may wait for a worker before tenants share the places by weight.
    pub places: u32,
    /// The record of what this controller acted on; `None`: none is kept.
    pub trail: Option<Trail>,
    /// Part of each limit that is divided for good among the controllers; the rest is lent by demand. 1: nothing is.
    pub reserve: f64,
}

/// The record of what a controller acted on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trail {
    /// Folder of its log.
    pub folder: PathBuf,
    /// Bytes of it at the most; the oldest lines go first.
    pub bytes: u64,
}

/// Whose tenants a controller has.
#[derive(Clone, Debug, PartialEq)]
pub enum Desk {
    /// Its own: it keeps the store and listens.
    Own {
        /// Where the API listens.
        listen: SocketAddr,
        /// The store's file.
        store: PathBuf,
        /// Who may ask.
        keys: Vec<AdminKey>,
        /// Controllers that are asked which book they hold, where it is open which one stands.
        peers: Vec<SocketAddr>,
        /// File of the key to ask them with.
        peer_key: Option<PathBuf>,
        /// Span of the leases that followers get; `None`: they get none.
        lease: Option<Micros>,
        /// Disks of others that are to hold a change before it is acknowledged, where there are so many.
        held_by: usize,
    },
    /// Those of another controller's administration.
    Follow {
        /// Its address.
        to: SocketAddr,
        /// File of the key to ask with, of role controller.
        key_file: PathBuf,
        /// File of the book as it was last, for a start without the other.
        kept: PathBuf,
        /// Where it gives its book to others who lack one, and to whom.
        window: Option<(SocketAddr, Vec<AdminKey>)>,
        /// Controllers that are asked for a book where none was kept and the administration is silent.
        peers: Vec<SocketAddr>,
        /// What it does while it has no lease.
        straggler: Straggler,
    },
}

/// What a controller does that does not know whether what it last heard still holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Straggler {
    /// It refuses calls; else it goes on with what it last heard.
    pub refuses: bool,
    /// It is not ready once it had no lease for so long; `None`: that changes nothing.
    pub leaves_after: Option<Micros>,
}

/// A key of the administration API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminKey {
    /// Its name: who, in the audit trail.
    pub name: String,
    /// viewer, operator, admin or controller.
    pub role: String,
    /// Its secret's argon2 hash, as `nettleferry admin key` prints it.
    pub hash: String,
}

/// Reads `(admin ...)`.
pub(super) fn admin(mut form: Form) -> Option<Admin> {
    let desk = match form.get::<SocketAddr>("follow") {
        Some(to) => followed_desk(&mut form, to),
        None => own_desk(&mut form),
    };
    let (anonymous, places) = (form.or("anonymous", false), form.or("places", 256u32));
    let trail = form.sub("trail").and_then(trail);
    let reserve = reserve(&mut form);
    if reserve < 1.0 && matches!(desk, Some(Desk::Own { lease: None, .. })) {
        form.fault("(loans ...) last as long as leases: write (lease SPAN)");
    }
    form.end();
    Some(Admin { desk: desk?, anonymous, places, trail, reserve })
}

/// Reads `(loans ...)`: the part of each limit that is not lent.
fn reserve(form: &mut Form) -> f64 {
    let Some(mut loans) = form.sub("loans") else { return 1.0 };
    let reserve = loans.or("reserve", RESERVE);
    if !(0.0..=1.0).contains(&reserve) {
        loans.fault("(reserve ...): a part, from 0 to 1");
    }
    loans.end();
    reserve
}

/// Reads the settings of a controller that follows the administration at `to`.
fn followed_desk(form: &mut Form, to: SocketAddr) -> Option<Desk> {
    let (key_file, kept) = (form.must::<String>("key-file"), form.must::<String>("kept"));
    let listen = form.get::<SocketAddr>("listen");
    let keys = admin_keys(form);
    let peers = peers(form);
    if listen.is_some() == keys.is_empty() {
        form.fault("(listen ...) and (key NAME ROLE HASH) go together: who may have the book");
    }
    let window = listen.map(|listen| (listen, keys));
    let straggler = straggler(form);
    let (key_file, kept) = key_file.zip(kept)?;
    Some(Desk::Follow { to, key_file: key_file.into(), kept: kept.into(), window, peers, straggler })
}

/// Reads what a follower does without a lease.
fn straggler(form: &mut Form) -> Straggler {
    let words = [("serve", false), ("refuse", true)];
    Straggler {
        refuses: form.word_or("without-lease", &words, false),
        leaves_after: form.get::<TimeSpan>("leave-after").map(|span| span.0),
    }
}

/// Reads the settings of a controller with an administration of its own.
fn own_desk(form: &mut Form) -> Option<Desk> {
    let (listen, store) = (form.must("listen"), form.must::<String>("store"));
    let (keys, peers) = (admin_keys(form), peers(form));
    let peer_key: Option<String> = form.get("peer-key-file");
    if peers.is_empty() != peer_key.is_none() {
        form.fault(
            "(peer ...) and (peer-key-file ...) go together: a key of role controller that the peers know",
        );
    }
    if keys.is_empty() {
        form.fault(
            "no (key NAME ROLE HASH): nothing listens that nobody may ask; nettleferry admin key NAME ROLE makes one",
        );
    }
    let peer_key = peer_key.map(PathBuf::from);
    let lease = lease(form);
    let held_by: u64 = form.or("held-by", 1);
    if held_by > MOST_PEERS as u64 {
        form.fault(format!("(held-by {held_by}): at most {MOST_PEERS}"));
    }
    let held_by = held_by as usize;
    Some(Desk::Own { listen: listen?, store: store?.into(), keys, peers, peer_key, lease, held_by })
}

/// Reads the span of the leases that followers get; `None`: they get none.
fn lease(form: &mut Form) -> Option<Micros> {
    let lease = form.span_or("lease", LEASE);
    if lease != 0 && !(LEAST_LEASE..=MOST_LEASE).contains(&lease) {
        form.fault("(lease ...): 200ms to 60s, or 0s where followers get none");
    }
    Some(lease).filter(|span| *span > 0)
}

/// Reads `(trail ...)`.
fn trail(mut form: Form) -> Option<Trail> {
    let folder: Option<String> = form.must("folder");
    let bytes = form.get::<Bytes>("size").map_or(TRAIL_BYTES, |b| b.0);
    if bytes < LEAST_TRAIL {
        form.fault("(size ...): 64KiB at the least");
    }
    form.end();
    folder.map(|folder| Trail { folder: folder.into(), bytes: bytes.max(LEAST_TRAIL) })
}

/// Reads all `(peer ADDRESS)`.
fn peers(form: &mut Form) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> = Vec::new();
    for mut peer in form.all("peer") {
        let address: Option<SocketAddr> = peer.want("its address");
        // One that is named twice is one: it is heard once.
        all.extend(address.filter(|address| !all.contains(address)));
        peer.end();
    }
    if all.len() > MOST_PEERS {
        form.fault(format!("{} peers: at most {MOST_PEERS}", all.len()));
    }
    all
}

/// Reads all `(key NAME ROLE HASH)`.
fn admin_keys(form: &mut Form) -> Vec<AdminKey> {
    let mut keys: Vec<AdminKey> = Vec::new();
    for mut key in form.all("key") {
        let name: Option<String> = key.want("its name");
        let role: Option<String> = key.want("its role");
        let hash: Option<String> = key.want("its hash");
        if let (Some(name), Some(role), Some(hash)) = (name, role, hash) {
            if !["viewer", "operator", "admin", "controller"].contains(&role.as_str()) {
                key.fault(format!("role {role}: viewer, operator, admin or controller"));
            }
            if !hash.starts_with("$argon2") {
                key.fault("the hash is an argon2 one, as nettleferry admin key prints it");
            }
            if keys.iter().any(|k| k.name == name) {
                key.fault(format!("key {name} stands twice: names are unique"));
            }
            keys.push(AdminKey { name, role, hash });
        }
        key.end();
    }
    keys
}
