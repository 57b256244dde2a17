//! The administration that keeps the store: its thread, the API on its listener, and, after a loss, which book it
//! gives. Whether it may is decided by `nettleferry-fleet`; what is answered, by `nettleferry-admin`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nettleferry_admin::api::{
    Api, ChangeStore, ChangeStoreError, ClockReading, ControllerRevision, ControllerState, LeaseGrant,
    MAX_BODY_BYTES, RecoveryPending, Runtime, StoreIdentity, Usage, Worker,
};
use nettleferry_admin::{Answer, Problem, Request};
use nettleferry_audit_log::recorder::Recorder;
use nettleferry_audit_log::{EntryKind, chain};
use nettleferry_config::settings::AdminKey;
use nettleferry_fleet::authority::{Authority, Duty, Step};
use nettleferry_fleet::lease::{MAX_SPAN, ends, error_of};
use nettleferry_fleet::loans::LoanConfig;
use nettleferry_fleet::membership::{self, Incarnation, LeaseDenied, Membership, Version};
use nettleferry_fleet::recovery_policy::PersistedState;
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_net::clock;
use nettleferry_net::http1::{self, Disposition, Http1, Http1Limits, Stop};
use nettleferry_net::retry::{RetryPolicy, is_transient, retry_startup};
use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use nettleferry_tenant_store::{Origin, Snapshot, Store, StoreError};
use serde_json::{Value, json};
use tracing::{error, info, warn};

use crate::changes::{self, Changes, Here};
use crate::kept::Kept as KeptFile;
use crate::lending::{Demand, Lending};
use crate::marks::{Applied, Marks};
use crate::peers::{Asker, Peers, Whole, stamp};
use crate::records::{self, Records};
use crate::trail::{Shared, lock as lock_lines};
use crate::{
    MOST_FOLLOWERS, SNAPSHOT_EVERY, Shown, Told, keys, lease_path, lock, reply, snapshot_path, token,
};

/// Peers are asked again after this span while it is open which book stands.
const ASK_PEERS_EVERY: Duration = Duration::from_millis(500);
/// A start waits so long for the disk that keeps the span of leases.
const LEASE_WAIT: Duration = Duration::from_secs(2);
/// The administration's own controller borrows so often, milliseconds, as events come.
const LEND_OWN_EVERY: u64 = 500;
/// The administration's own controller is told its clock so often, milliseconds, as events come.
const CLOCK_EVERY: u64 = 1_000;
/// Names of a difference that are shown; more are counted.
const MOST_SHOWN: usize = 100;

/// What the administration is given beside its listener and store.
pub struct Rest<'a> {
    pub number: u32,
    pub waker: Arc<mio::Waker>,
    pub peers: &'a [SocketAddr],
    pub peer_key: Option<&'a Path>,
    /// Span of a lease, milliseconds; `None`: none are given.
    pub lease: Option<u64>,
    /// Other disks that are to hold a change before it is acknowledged, where there are so many.
    pub held_by: usize,
    /// Records are gathered; and that of the administration's own controller.
    pub records: bool,
    pub held: Option<crate::trail::Shared>,
    /// How limits are divided.
    pub terms: LoanConfig,
    /// The longest deadline of a class, milliseconds.
    pub longest: u64,
}

/// What runs.
pub struct Started {
    pub local: SocketAddr,
    /// `None`: neither the store nor its snapshot could be read.
    pub book: Option<Whole>,
    pub shown: Arc<Mutex<Shown>>,
    pub applied: Applied,
    pub stop: Stop,
    pub thread: JoinHandle<()>,
}

/// Opens the store and listens. A damaged store is told and left as it is: the last good snapshot serves its own
/// calls, and neither changes nor books are given until it has caught up or an operator has decided.
pub fn start(
    listen: SocketAddr,
    store: &Path,
    keys: &[AdminKey],
    rest: Rest,
    telling: Sender<Told>,
) -> io::Result<Started> {
    let Rest { number, waker, peers, peer_key, lease, held_by, records, held: lines, terms, longest } = rest;
    let (beside, path) = (snapshot_path(store), store.to_owned());
    let (span, spans) = Spans::open(store, lease);
    let (store, book, read_only) = match open_patiently(store) {
        Ok((store, book)) => (Some(store), Some(book), None),
        Err(why) => {
            error!(%why, "the tenant store can't be used: the last good snapshot serves, changes are refused");
            let book = match Snapshot::read(&beside) {
                Ok(snapshot) => Some(snapshot.tenant_snapshot()),
                Err(none) => {
                    error!(%none, "there is no good snapshot either: no tenant is known until a book is taken over");
                    None
                }
            };
            (None, book, Some(why.to_string()))
        }
    };
    let held = book.clone();
    let book = book.unwrap_or_default();
    let life = rand::random::<u64>().max(1);
    let records = records.then(|| Gathered::open(beside.with_extension("records"), number, life, lines));
    let origin = store.as_ref().and_then(|s| s.origin().ok());
    let own = origin.as_ref().map(|origin| stamp(&origin.store, origin.epoch, &book));
    let origin = origin.unwrap_or_else(|| Origin { store: "damaged".to_owned(), epoch: 0 });
    info!(revision = book.revision(), tenants = book.tenants().len(), epoch = origin.epoch, "tenants");
    // Each follower keeps two connections: one that waits for changes, and one for books and records.
    let connections = 2 * MOST_FOLLOWERS + Http1Limits::default().connections;
    let limits = Http1Limits { body_bytes: MAX_BODY_BYTES, connections, ..Http1Limits::default() };
    let mut server = retry_startup("administration listener", || Http1::bind(listen, limits), is_transient)?;
    let (local, stop) = (server.local()?, server.stop());
    // Peers and their key are there together, or neither.
    let token = peer_key.map(token).transpose()?.unwrap_or_default();
    let wake = stop.clone();
    let peers = Asker::start(Peers::new(peers, &token, number)?, move || wake.wake())?;
    let shown = Arc::new(Mutex::new(Shown::default()));
    let start = Instant::now();
    let held =
        held.map(|book| Whole { controller: None, store: origin.store.clone(), epoch: origin.epoch, book });
    let roll = Membership::new(0, span, spans.before, clock::wall() / 1000);
    let marks = Marks::new(Version { epoch: origin.epoch, revision: book.revision() });
    let applied = marks.applied();
    let mut work = Work {
        api: Api::new(book.clone(), Kept(store), identity(&origin), read_only),
        keys: keys::Keys::new(keys),
        around: Around {
            number,
            shown: Arc::clone(&shown),
            telling,
            waker,
            drained: BTreeSet::new(),
            followers: HashMap::new(),
            authority: Authority::new(0, own, peers.count()),
            offers: BTreeMap::new(),
            decided: None,
            epoch: origin.epoch,
            book: book.revision(),
            roll,
            own: Version::default(),
            held_by,
            records,
            lending: (terms.reserve < 1.0).then(|| Lending::new(terms, life, longest)),
            life,
            start,
        },
        marks,
        changes: Changes::default(),
        clock_told: 0,
        lent_at: 0,
        spans,
        path,
        beside,
        written: book.revision(),
        write_at: None,
        told: book.revision(),
        wake: stop.clone(),
        asking: 0,
        ask_at: start,
        peers,
        duty: None,
    };
    work.say_duty();
    let thread = std::thread::Builder::new().name("admin".to_owned()).spawn(move || {
        let work = std::cell::RefCell::new(&mut work);
        let ended = server.run_waiting(
            |request, waited| work.borrow_mut().answer(request, waited),
            || work.borrow_mut().tick(),
        );
        work.borrow_mut().write_snapshot();
        if let Err(error) = ended {
            warn!(%error, "the administration has ended");
        }
    })?;
    Ok(Started { local, book: held, shown, applied, stop, thread })
}

/// The longest span for which leases may be out, kept beside the store: what another life is to wait for.
struct Spans {
    file: KeptFile,
    /// Earlier lives may have given leases for so long.
    before: Option<u64>,
    /// Ours, once nothing of before is out any more; `None`: that was said.
    after: Option<u64>,
}

impl Spans {
    /// Which span may be given, and what is out.
    fn open(store: &Path, lease: Option<u64>) -> (Option<u64>, Self) {
        let again = store.exists();
        let mut file = KeptFile::open(lease_path(store), "span of leases", LEASE_WAIT);
        let kept = file.take(PersistedState::LongestLease, clock::wall() / 1000, |_| None);
        let kept = kept.and_then(|bytes| std::str::from_utf8(&bytes).ok()?.trim().parse::<u64>().ok());
        // What can't be known is taken at its worst.
        let before = kept.or(again.then_some(MAX_SPAN)).filter(|span| *span > 0);
        let most = lease.max(before).unwrap_or(0);
        file.put(most.to_string().into_bytes());
        let kept = file.settle(LEASE_WAIT) && file.durable() > 0;
        if !kept && lease.is_some() {
            warn!("the span of leases can't be kept in time: none are given in this life");
        }
        let span = lease.filter(|_| kept);
        (span, Self { file, before, after: Some(span.unwrap_or(0)) })
    }
}

/// How long a start waits for a store whose file can't be read or written just now, and how often it looks.
const STORE_RETRY: RetryPolicy =
    RetryPolicy { timeout: Duration::from_secs(5), pause: Duration::from_millis(100) };

/// Opens the store, again while its file fails: that passes, and is no damage.
fn open_patiently(path: &Path) -> Result<(Store, TenantSnapshot), StoreError> {
    let held_up = |why: &StoreError| warn!(%why, "the tenant store can't be opened yet: tried again");
    STORE_RETRY.run(|| Store::open(path), StoreError::is_transient, held_up)
}

/// The store, or none where it is damaged.
struct Kept(Option<Store>);

impl Kept {
    fn usable(&self) -> Result<&Store, ChangeStoreError> {
        self.0.as_ref().ok_or(ChangeStoreError::Unavailable)
    }
}

fn failed(error: StoreError) -> ChangeStoreError {
    ChangeStoreError::Failed(error.into())
}

impl ChangeStore for Kept {
    fn commit(
        &mut self,
        entry: &Entry,
        idempotent: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), ChangeStoreError> {
        let store = self.0.as_mut().ok_or(ChangeStoreError::Unavailable)?;
        store.commit(entry, idempotent).map_err(failed)
    }

    fn stored_response(&self, key: &str) -> Result<Option<IdempotentResponse>, ChangeStoreError> {
        let Some(store) = &self.0 else { return Ok(None) };
        store.idempotent_response(key).map_err(failed)
    }

    fn entries(
        &self,
        after: Revision,
        limit: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, ChangeStoreError> {
        self.usable()?.audit(after, limit, tenant).map_err(failed)
    }
}

/// Which store it is, as the API names it.
fn identity(origin: &Origin) -> StoreIdentity {
    StoreIdentity { name: origin.store.clone(), epoch: origin.epoch }
}

struct Around {
    number: u32,
    shown: Arc<Mutex<Shown>>,
    telling: Sender<Told>,
    waker: Arc<mio::Waker>,
    drained: BTreeSet<String>,
    followers: HashMap<u32, (Revision, Instant)>,
    authority: Authority,
    /// Books that peers gave, while it is open which one stands: by the peer's number. As many as there are peers.
    offers: BTreeMap<u32, Whole>,
    /// The book that is to stand, by agreement or by an operator's word: to be taken over after the answer.
    decided: Option<(TenantSnapshot, Origin)>,
    /// The epoch of the book that stands, and its revision.
    epoch: u64,
    book: Revision,
    roll: Membership,
    /// What the calls of this controller act on.
    own: Version,
    held_by: usize,
    /// Records of acts, where they are gathered.
    records: Option<Gathered>,
    /// Loans, where they are given.
    lending: Option<Lending>,
    /// This life of the administration: whose clock it is.
    life: u64,
    start: Instant,
}

/// Records that are gathered, with the administration's own: of changes taken and acknowledged.
struct Gathered {
    all: Records,
    own: Recorder,
    /// The record of the administration's own controller, its number, and how much of it was taken.
    lines: Option<Shared>,
    number: u32,
}

impl Gathered {
    fn open(folder: PathBuf, number: u32, life: u64, lines: Option<Shared>) -> Self {
        let all = Records::open(folder);
        let texts = all.page(records::OWN, 0, usize::MAX).map(|(lines, _)| lines).unwrap_or_default();
        let tail = chain::check(texts).tail;
        let own = Recorder::new(0, life, number, env!("CARGO_PKG_VERSION"), tail);
        let mut gathered = Self { all, own, lines, number };
        gathered.settle();
        gathered
    }

    fn said(&mut self, now: u64, what: EntryKind) {
        self.own.append(now, what);
        self.settle();
    }

    fn settle(&mut self) {
        let texts: Vec<String> = self.own.take(usize::MAX).collect();
        if !texts.is_empty() {
            self.all.take(records::OWN, texts);
        }
        if let Some(lines) = &self.lines {
            let of = self.number.to_string();
            let new = lock_lines(lines).after(self.all.last(&of), MAX_BODY_BYTES);
            if !new.is_empty() {
                self.all.take(&of, new.into_iter().map(|(_, text)| text).collect());
            }
        }
    }
}

impl Around {
    fn tell(&self, told: Told) {
        // A controller that has ended wants to know nothing more.
        let _ = self.telling.send(told);
        let _ = self.waker.wake();
    }
}

impl Runtime for Around {
    fn usage(&self, tenant: &Tenant) -> Usage {
        let none = || Usage { tenant: tenant.name.clone(), uid: tenant.uid, ..Usage::default() };
        lock(&self.shown).usage.get(&tenant.uid).cloned().unwrap_or_else(none)
    }

    fn workers(&self) -> Vec<Worker> {
        let mut workers = lock(&self.shown).workers.clone();
        for worker in &mut workers {
            worker.drained = self.drained.contains(&worker.name);
        }
        workers
    }

    fn set_drained(&mut self, worker: &str, drained: bool) -> bool {
        if !lock(&self.shown).workers.iter().any(|w| w.name == worker) {
            return false;
        }
        let changed =
            if drained { self.drained.insert(worker.to_owned()) } else { self.drained.remove(worker) };
        if changed {
            self.tell(Told::Drained(self.drained.clone()));
        }
        true
    }

    fn controllers(&self) -> Vec<ControllerRevision> {
        let ours = ControllerRevision {
            controller: self.number,
            revision: lock(&self.shown).revision,
            seen_ms_ago: 0,
        };
        let others = self.followers.iter().map(|(number, (revision, seen))| ControllerRevision {
            controller: *number,
            revision: *revision,
            seen_ms_ago: seen.elapsed().as_millis() as u64,
        });
        let mut all: Vec<ControllerRevision> = others.chain([ours]).collect();
        all.sort_by_key(|r| r.controller);
        all
    }

    fn record_state(&mut self, controller: u32, state: ControllerState) -> Result<(), Problem> {
        let who = Incarnation { controller, incarnation: state.incarnation };
        let at = |revision| Version { epoch: state.epoch, revision };
        let told = membership::MemberState {
            in_force: at(state.in_force),
            persisted: at(state.persisted),
            requires_lease: state.requires_lease,
        };
        self.roll.heartbeat(self.now(), who, told);
        if state.stopped {
            self.roll.ended(who);
            self.lending.iter_mut().for_each(|lending| lending.ended(who));
        }
        if self.roll.is_fenced(who) {
            let detail = "this life of the controller was shut out: it is let in again as another life";
            return Err(Problem::new(403, "fenced", detail));
        }
        if state.stopped {
            return Err(Problem::new(403, "ended", "it said that it takes no calls any more"));
        }
        if self.followers.len() < MOST_FOLLOWERS || self.followers.contains_key(&controller) {
            self.followers.insert(controller, (state.revision, Instant::now()));
        }
        let ControllerState { store, epoch, revision, checksum, .. } = state;
        // One that says nothing of its book asks as earlier versions did, or has none.
        let stamp =
            (!store.is_empty() && epoch > 0).then_some(SnapshotVersion { store, epoch, revision, checksum });
        if stamp.is_some() {
            self.holds(controller, stamp);
        }
        Ok(())
    }

    fn grant_lease(&mut self, controller: u32, incarnation: u64) -> Option<LeaseGrant> {
        let who = Incarnation { controller, incarnation };
        let book = Version { epoch: self.epoch, revision: self.book };
        match self.roll.grant(self.now(), who, book) {
            Ok(span) => {
                let (duration_ms, fencing_token) = span.zip(self.roll.fencing_token(who))?;
                Some(LeaseGrant { duration_ms, fencing_token })
            }
            Err(LeaseDenied::Fenced) => None,
            Err(LeaseDenied::Full) => {
                warn!(controller, "the roll is full of lives whose leases run: this one gets none");
                None
            }
        }
    }

    fn set_fenced(&mut self, controller: u32, fenced: bool) -> Value {
        let lives = if fenced { self.roll.fence(controller).len() } else { self.roll.unfence(controller) };
        info!(controller, lives, out = fenced, "a controller's lives are shut out, or let in again");
        json!({ "controller": controller, "lives": lives })
    }

    fn read_clock(&self) -> ClockReading {
        ClockReading { incarnation: self.life, at_ms: self.now() }
    }

    fn grant_loans(
        &mut self,
        snapshot: &TenantSnapshot,
        controller: u32,
        incarnation: u64,
        report: Value,
    ) -> Result<Value, Problem> {
        let none =
            || Problem::new(409, "not-lent", "limits are not lent here: see (loans ...) in the settings");
        let (now, who) = (self.now(), Incarnation { controller, incarnation });
        let lending = self.lending.as_mut().ok_or_else(none)?;
        let rows: Vec<Demand> = serde_json::from_value(report)
            .map_err(|e| Problem::field("the body", format!("an array of demands: {e}")))?;
        // A loan lasts as long as a lease, and only who holds one may borrow.
        let leased = self.roll.members().any(|(w, m)| w == who && m.lease_over.is_some_and(|out| now < out));
        let Some(span) = self.roll.span().filter(|_| leased && !self.roll.is_fenced(who)) else {
            return Err(Problem::new(409, "no-lease", "this life holds no lease"));
        };
        let loans = lending.report((now, now + span + error_of(span)), snapshot, who, &rows);
        Ok(json!({ "span_ms": span, "loans": loans }))
    }

    fn append_audit_entries(&mut self, controller: u32, entries: Vec<String>) -> Result<u64, Problem> {
        let no_room = || {
            Problem::new(
                409,
                "not-gathered",
                "records are not gathered here: see (trail ...) in the settings",
            )
        };
        let gathered = self.records.as_mut().ok_or_else(no_room)?;
        Ok(gathered.all.take(&controller.to_string(), entries))
    }

    fn audit_logs(&self, of: Option<&str>, from: u64, limit: usize) -> Result<Value, Problem> {
        let Some(gathered) = &self.records else { return Ok(json!({ "by": self.life, "records": [] })) };
        let Some(of) = of else { return Ok(json!({ "by": self.life, "records": gathered.all.all() })) };
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let unknown = || Problem::new(404, "no-such-record", format!("nothing was delivered of {of}"));
        let (lines, next) = gathered.all.page(of, from, limit).ok_or_else(unknown)?;
        Ok(json!({ "by": self.life, "of": of, "lines": lines, "next": next }))
    }

    fn change_progress(&self, revision: Revision) -> Value {
        let at = Version { epoch: self.epoch, revision };
        let here = self.here();
        changes::shown(&here.progress(at), at, here.now, self.own >= at)
    }

    fn check_serving(&self) -> Result<(), RecoveryPending> {
        match self.authority.duty().0 {
            Duty::Serving => Ok(()),
            Duty::Waiting(cause) => Err(RecoveryPending {
                cause: cause.as_str(),
                responded: self.authority.reports().count(),
                expected: self.authority.expected(),
            }),
        }
    }

    fn fleet_status(&self) -> Value {
        let (duty, since) = self.authority.duty();
        let now = self.now();
        let own = self.authority.own();
        let rows: Vec<Value> = self
            .authority
            .reports()
            .map(|report| {
                let order = report.version.zip(own).map(|(theirs, own)| theirs.compare(own).as_str());
                let age = now.saturating_sub(report.received_at);
                json!({ "controller": report.controller, "holds": report.version, "standing": order, "seen_ms_ago": age })
            })
            .collect();
        let (step, cause) = match duty {
            Duty::Serving => ("serving", None),
            Duty::Waiting(cause) => ("waiting", Some(cause.as_str())),
        };
        let lives: Vec<Value> =
            self.roll.members().map(|(who, member)| self.life(now, who, member)).collect();
        let (limits, borrowers) = self.lending.as_ref().map(|l| l.shown(now)).unwrap_or_default();
        json!({
            "records_unkept": self.records.as_ref().map_or(0, |gathered| gathered.all.unkept),
            "lent": { "limits": limits, "borrowers": borrowers },
            "lease_ms": self.roll.span(), "leases": self.roll.lease_holders(now), "lives": lives, "without_room": self.roll.rejected(),
            "controller": self.number, "role": "administration", "step": step, "cause": cause,
            "since_ms": now.saturating_sub(since), "holds": own, "awaited": self.authority.expected(),
            "controllers": rows,
        })
    }

    fn recover(&mut self, mine: &TenantSnapshot, take: &str, dry_run: bool) -> Result<Value, Problem> {
        let unknown = |what: String| Problem::field("take", what);
        let (book, from) = match take {
            "own" if self.authority.own().is_none() && mine.revision() == 0 => {
                return Err(unknown("its own book can't be read, and there is no snapshot of it".to_owned()));
            }
            "own" => (mine.clone(), self.number),
            number => {
                let number: u32 =
                    number.parse().map_err(|_| unknown("own, or a controller's number".to_owned()))?;
                let offer = self.offers.get(&number).ok_or_else(|| {
                    unknown(format!(
                        "controller {number} has given no book; peers are asked while one is open"
                    ))
                })?;
                (offer.book.clone(), number)
            }
        };
        let mut others: Vec<Value> = Vec::new();
        let all = self.offers.iter().map(|(n, w)| (*n, &w.book)).chain([(self.number, mine)]);
        for (number, other) in all.filter(|(n, _)| *n != from) {
            others.push(difference(number, &book, other));
        }
        let origin = self.above_all().ok_or_else(|| unknown("no book is known at all".to_owned()))?;
        let told = json!({
            "take": take, "controller": from, "revision": book.revision(), "tenants": book.tenants().len(),
            "epoch": origin.epoch, "others": others, "done": !dry_run,
        });
        if !dry_run {
            self.decided = Some((book, origin));
        }
        Ok(told)
    }
}

impl Around {
    fn here(&self) -> Here<'_> {
        Here { roll: &self.roll, own: self.own, disks: self.held_by, now: self.now() }
    }

    /// For the figures of the controller.
    fn show_lives(&self, now: u64) {
        let revision = self.authority.own().map_or(0, |own| own.revision);
        let leased = |m: &membership::Member| m.lease_over.is_some_and(|out| now < out);
        let members = || self.roll.members();
        let behind = members().filter(|(_, m)| leased(m) && m.state.in_force.revision < revision).count();
        let lately = |m: &membership::Member| now < m.last_heartbeat + membership::UNRESPONSIVE_AFTER;
        let fenced = members().filter(|(who, m)| lately(m) && self.roll.is_fenced(*who)).count();
        let mut shown = lock(&self.shown);
        (shown.lives_behind, shown.lives_fenced) = (behind, fenced);
        shown.book_waits = self.authority.duty().0 != Duty::Serving;
    }

    fn accepted(&mut self, entry: &Entry) {
        let (now, epoch) = (self.now(), self.epoch);
        let Some(records) = &mut self.records else { return };
        let action = serde_json::to_value(entry.action).ok().and_then(|a| a.as_str().map(str::to_owned));
        let (revision, tenant, binds) = (entry.revision, entry.tenant.clone(), entry.restricts());
        records.said(
            now,
            EntryKind::Accepted {
                epoch,
                revision,
                tenant,
                action: action.unwrap_or_default(),
                restricts: binds,
            },
        );
    }

    /// It was said to those who asked that this change is in force everywhere.
    fn everywhere(&mut self, at: Version) {
        let now = self.now();
        if let Some(records) = &mut self.records {
            records.said(now, EntryKind::InForce { epoch: at.epoch, revision: at.revision });
        }
    }

    fn life(&self, now: u64, who: Incarnation, member: &membership::Member) -> Value {
        let behind =
            self.authority.own().map(|own| own.revision.saturating_sub(member.state.in_force.revision));
        json!({
            "controller": who.controller, "life": format!("{:016x}", who.incarnation), "in_force": member.state.in_force.revision,
            "epoch": member.state.in_force.epoch, "kept": member.state.persisted.revision, "behind": behind,
            "ends": member.state.requires_lease, "fenced": self.roll.is_fenced(who), "seen_ms_ago": now.saturating_sub(member.last_heartbeat),
            "lease_left_ms": member.lease_over.map(|out| out.saturating_sub(now)),
        })
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn holds(&mut self, controller: u32, stamp: Option<SnapshotVersion>) {
        let Step::Install(who, stamp) = self.authority.report_received(self.now(), controller, stamp) else {
            return;
        };
        // One that told its stamp by its ask gives its book when it is asked in turn.
        let offer = self.offers.get(&who).filter(|whole| whole.stamp() == stamp);
        if let Some((whole, origin)) = offer.zip(self.above_all()) {
            self.decided.get_or_insert_with(|| (whole.book.clone(), origin));
        }
    }

    /// Under which store and epoch a book stands above all that are held.
    fn above_all(&self) -> Option<Origin> {
        let least = self.authority.superseding_origin()?;
        Some(Origin { store: least.store, epoch: least.epoch.max(clock::wall() / 1000) })
    }
}

/// What the others would give up, or get, if this book stands.
fn difference(number: u32, taken: &TenantSnapshot, other: &TenantSnapshot) -> Value {
    let mut names: Vec<Value> = Vec::new();
    let mut count = 0;
    let mut say = |tenant: &str, what: &str| {
        count += 1;
        if names.len() < MOST_SHOWN {
            names.push(json!({ "tenant": tenant, "what": what }));
        }
    };
    for tenant in other.tenants() {
        match taken.get(&tenant.name) {
            None => say(&tenant.name, "would be gone"),
            Some(kept) if kept != tenant => say(&tenant.name, "would be another"),
            Some(_) => {}
        }
    }
    for tenant in taken.tenants().filter(|t| other.get(&t.name).is_none()) {
        say(&tenant.name, "would be there again");
    }
    json!({ "controller": number, "revision": other.revision(), "differences": count, "tenants": names })
}

fn turn(told: changes::Told) -> Disposition {
    match told {
        changes::Told::Answer(response) => Disposition::Reply(reply(response)),
        changes::Told::Waits(span, ticket) => Disposition::Park(Duration::from_millis(span), ticket),
    }
}

/// Its answer was given up before it was asked for.
fn lost() -> Problem {
    Problem::new(503, "not-told", "the change was made; what became of it is at GET /v1/fleet/change")
}

struct Work {
    api: Api<Kept>,
    keys: keys::Keys,
    around: Around,
    marks: Marks,
    changes: Changes,
    /// When our clock was told to our own controller last.
    clock_told: u64,
    /// When our own controller borrowed last.
    lent_at: u64,
    spans: Spans,
    path: PathBuf,
    beside: PathBuf,
    /// The revision of the snapshot beside the store, and when the next one is due.
    written: Revision,
    write_at: Option<Instant>,
    /// The revision that the controller was told.
    told: Revision,
    wake: Stop,
    peers: Asker,
    /// Peers whose answers are out, and when they are asked next.
    asking: usize,
    ask_at: Instant,
    /// What was said last of its duty.
    duty: Option<Duty>,
}

impl Work {
    fn answer(&mut self, request: &http1::Request<'_>, waited: Duration) -> Disposition {
        let caller = match self.keys.prove(request.header("authorization")) {
            Ok(caller) => caller,
            Err(problem) => return Disposition::Reply(reply(problem.response())),
        };
        self.around.own = self.marks.in_force();
        if let Some(ticket) = request.ticket {
            let told = self.changes.again(&self.around.here(), ticket);
            let told = told.map_or_else(|| Disposition::Reply(reply(lost().response())), turn);
            self.acknowledged();
            return told;
        }
        let content_type = request.header("content-type").map(|k| k.split(';').next().unwrap_or("").trim());
        let asked = Request {
            method: request.method,
            target: request.target,
            content_type,
            if_match: request.header("if-match"),
            idempotency_key: request.header("idempotency-key"),
            body: request.body,
        };
        let now = clock::wall() / 1000;
        self.around.book = self.api.snapshot().revision();
        let answer = self.api.answer(&asked, &caller, &mut self.around, now, waited);
        self.recover();
        self.spread();
        self.wake_changes();
        match answer {
            Answer::Ready(response) => Disposition::Reply(reply(response)),
            Answer::Wait(span) => Disposition::Wait(span),
            Answer::Committed { response, revision, restricts } => {
                let at = Version { epoch: self.around.epoch, revision };
                self.around.own = self.marks.in_force();
                let told = turn(self.changes.made(&self.around.here(), response, at, restricts));
                self.acknowledged();
                told
            }
        }
    }

    /// What was told to be everywhere stands in the record before the word leaves.
    fn acknowledged(&mut self) {
        for at in std::mem::take(&mut self.changes.everywhere) {
            self.around.everywhere(at);
        }
    }

    /// Those who wait for a change are asked again as soon as it is so far.
    fn wake_changes(&mut self) {
        self.around.own = self.marks.in_force();
        if self.changes.due(&self.around.here()) {
            self.wake.wake();
        }
    }

    /// News were told to the controller: it says when it has come so far.
    fn mark(&mut self, at: Version) {
        let mark = self.marks.told(at);
        self.around.tell(Told::Mark(mark));
    }

    /// The administration's own controller borrows like any other, without a network between.
    fn lend_own(&mut self, now: u64) {
        let (Some(lending), Some(span)) = (&mut self.around.lending, self.around.roll.span()) else { return };
        if now < self.lent_at + LEND_OWN_EVERY {
            return;
        }
        self.lent_at = now;
        lending.sweep(now);
        let rows = lock(&self.around.shown).demands();
        if rows.is_empty() {
            return;
        }
        let asked = Instant::now();
        let who = Incarnation { controller: self.around.number, incarnation: self.around.life };
        let loans = lending.report((now, now + span + error_of(span)), self.api.snapshot(), who, &rows);
        self.around.tell(Told::Lent { until: asked + Duration::from_millis(ends(0, span)), loans });
    }

    /// Leases of before are out: what another life has to wait for is our own span.
    fn settle_spans(&mut self, now: u64) -> Option<u64> {
        self.spans.after?;
        let out = self.around.roll.earlier_leases_over();
        if now < out {
            return Some(out);
        }
        if let Some(span) = self.spans.after.take() {
            self.spans.file.put(span.to_string().into_bytes());
        }
        None
    }

    /// Tells the controller, and those who wait, what has changed.
    fn spread(&mut self) {
        if self.told == self.api.snapshot().revision() {
            return;
        }
        let (StoreIdentity { name, epoch }, now) = (self.api.identity(), self.around.now());
        self.around.authority.set_own(now, stamp(name, *epoch, self.api.snapshot()), false);
        match self.api.entries(self.told) {
            Ok(entries) => {
                for entry in entries {
                    info!(revision = entry.revision, who = %entry.actor, action = ?entry.action, tenant = %entry.tenant, "tenants changed");
                    self.told = entry.revision;
                    self.around.accepted(&entry);
                    self.around.tell(Told::Changed(Box::new(entry)));
                }
            }
            Err(why) => warn!(%why, "changes can't be read back"),
        }
        self.mark(Version { epoch: self.around.epoch, revision: self.told });
        self.wake.wake();
        self.write_at.get_or_insert_with(|| Instant::now() + SNAPSHOT_EVERY);
    }

    /// What is due; when it wants to be asked again.
    fn tick(&mut self) -> Option<Duration> {
        let now = clock::wall() / 1000;
        self.peers_told();
        self.recover();
        // A store whose file has failed is opened again, so that it can be read though nothing is changed.
        if let Some(store) = &mut self.api.store().0
            && let Err(why) = store.reopen()
        {
            warn!(%why, "the tenant store can't be used yet");
        }
        // Graces end where the book may change.
        if self.around.authority.duty().0 == Duty::Serving {
            self.api.remove_expired(now);
        }
        self.spread();
        if self.write_at.is_some_and(|at| at <= Instant::now()) {
            self.write_snapshot();
        }
        let grace =
            self.api.snapshot().next_removal().map(|at| Duration::from_millis(at.saturating_sub(now).max(1)));
        let grace = grace.filter(|_| self.around.authority.duty().0 == Duty::Serving);
        let write = self.write_at.map(|at| at.saturating_duration_since(Instant::now()));
        let ask = self.ask_peers();
        let passed = self.around.now();
        self.changes.sweep(passed);
        self.around.show_lives(passed);
        self.lend_own(passed);
        let (asked, by) = (Instant::now(), self.around.life);
        if let Some(records) = &mut self.around.records {
            records.settle();
            // Its own controller's clock against this one, now and then.
            if passed >= self.clock_told + CLOCK_EVERY || self.clock_told == 0 {
                self.clock_told = passed.max(1);
                self.around.tell(Told::Heard { asked, answered: Instant::now(), by, at: passed });
            }
        }
        self.wake_changes();
        let due = [self.changes.next(&self.around.here()), self.settle_spans(passed)];
        let due = due.into_iter().flatten().map(|at| Duration::from_millis(at.saturating_sub(passed).max(1)));
        [grace, write, ask].into_iter().flatten().chain(due).min()
    }

    /// While it is open which book stands, peers are asked in rounds; when the next is due.
    fn ask_peers(&mut self) -> Option<Duration> {
        if self.peers.count() == 0 || self.around.authority.duty().0 == Duty::Serving {
            return None;
        }
        if self.asking == 0 && Instant::now() >= self.ask_at {
            self.ask_at = Instant::now() + ASK_PEERS_EVERY;
            self.asking = self.peers.count();
            (0..self.peers.count()).for_each(|peer| self.peers.ask(peer));
        }
        (self.asking == 0).then(|| self.ask_at.saturating_duration_since(Instant::now()))
    }

    fn peers_told(&mut self) {
        let told: Vec<_> = self.peers.told().collect();
        for told in told {
            self.asking = self.asking.saturating_sub(1);
            let Some(number) = told.controller else { continue };
            match told.whole {
                Ok(Some(whole)) => {
                    let stamp = whole.stamp();
                    self.around.offers.insert(number, whole);
                    self.around.holds(number, Some(stamp));
                }
                Ok(None) => self.around.holds(number, None),
                Err(_) => {}
            }
        }
    }

    fn say_duty(&mut self) {
        let (duty, _) = self.around.authority.duty();
        if self.duty.replace(duty) == Some(duty) {
            return;
        }
        match duty {
            Duty::Serving => info!("the book stands: it is given and changed"),
            Duty::Waiting(cause) => warn!(
                cause = cause.as_str(),
                awaited = self.around.authority.expected(),
                "it is open which book stands: none is given and nothing is changed; nettleferry fleet status, nettleferry fleet recover"
            ),
        }
        self.wake.wake();
    }

    /// Takes over the book that all agree on, or that an operator has decided on.
    fn recover(&mut self) {
        if let Some((book, origin)) = self.around.decided.take() {
            match self.adopt(&book, &origin) {
                Ok(()) => {
                    let (now, revision) = (self.around.now(), book.revision());
                    info!(revision, epoch = origin.epoch, store = %origin.store, "a book was taken over: it stands now");
                    self.around.authority.set_own(now, stamp(&origin.store, origin.epoch, &book), true);
                    self.around.offers.clear();
                    self.told = revision;
                    self.around.epoch = origin.epoch;
                    let (store, epoch) = (origin.store.clone(), origin.epoch);
                    self.around.tell(Told::Began(Box::new(Whole { controller: None, store, epoch, book })));
                    self.mark(Version { epoch: origin.epoch, revision });
                    self.written = Revision::MAX;
                    self.write_at = Some(Instant::now());
                    self.wake.wake();
                }
                Err(why) => error!(%why, "the book that is to stand can't be kept: it is not taken"),
            }
        }
        self.say_duty();
    }

    /// Durable when this returns. A store that can't be used is put aside, and a new one made.
    fn adopt(&mut self, book: &TenantSnapshot, origin: &Origin) -> Result<(), String> {
        let mut store = match self.api.store().0.take() {
            Some(store) => store,
            None => {
                let aside = self.path.with_extension(format!("damaged-{}", clock::wall() / 1000));
                if self.path.exists() {
                    std::fs::rename(&self.path, &aside).map_err(|e| e.to_string())?;
                    warn!(file = %aside.display(), "the damaged store was put aside");
                }
                Store::open(&self.path).map_err(|e| e.to_string())?.0
            }
        };
        let kept = store.install(book, origin).map_err(|e| e.to_string());
        if let Err(why) = kept {
            self.api.store().0 = Some(store);
            return Err(why);
        }
        self.api.replace(book.clone(), Kept(Some(store)), identity(origin));
        Ok(())
    }

    fn write_snapshot(&mut self) {
        self.write_at = None;
        let book = self.api.snapshot();
        // A snapshot of a book that is not the store's own would put the last good one out of the way.
        if book.revision() == self.written || self.around.authority.own().is_none() {
            return;
        }
        let StoreIdentity { name: store, epoch } = self.api.identity();
        let origin = Origin { store: store.to_owned(), epoch: *epoch };
        match Snapshot::from_tenants(book, Some(origin)).write(&self.beside) {
            Ok(()) => self.written = book.revision(),
            Err(error) => warn!(%error, "the snapshot beside the store can't be written"),
        }
    }
}
