//! The protocol state of one hollow follower, without sockets: the next request, the handling of responses, and the
//! leases.

use std::time::{Duration, Instant};

use nettleferry_fleet::bootstrap;
use nettleferry_fleet::follower_requests::{Heartbeat, LeaseSpan, SNAPSHOT_TIMEOUT};
use nettleferry_fleet::lease::{self, MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::Version;
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_net::http1_client::{Answer, Http1Error};
use nettleferry_tenancy::Revision;
use nettleferry_tenancy::replication::Backoff;

use super::answer::{self, Change, Lease, Page, Snapshot};
use super::shared_snapshot::SharedSnapshot;

/// Kind of a request to the administration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request for the complete snapshot.
    Snapshot,
    /// A long poll for changes after the follower's revision.
    Watch,
}

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Request target: path and query.
    pub target: String,
    /// Time limit for the response, from the start of the exchange.
    pub timeout: Duration,
}

/// A request whose response has arrived, or that has failed.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Start of the exchange, from which the span of a granted lease is counted.
    pub started_at: Instant,
    /// Time at which the response arrived or the request failed.
    pub ended_at: Instant,
}

/// The way in which an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeKind {
    /// A page of changes, which may be empty.
    Page,
    /// A snapshot that the follower applied.
    Snapshot,
    /// The follower has to request a snapshot: the changes are not available or don't continue its revision.
    SnapshotRequired,
    /// This incarnation is fenced.
    Fenced,
    /// A response with any other status, or a snapshot that the follower could not apply.
    Refused,
    /// The response can't be parsed.
    Malformed,
    /// No complete response arrived before the timeout.
    TimedOut,
    /// The connection could not be opened or failed.
    Broken,
}

/// Result of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The way in which the exchange ended.
    pub kind: OutcomeKind,
    /// Earliest time of the next request.
    pub retry_at: Instant,
    /// Changes that the follower applied.
    pub changes: Vec<Change>,
    /// Whether the response was a page or snapshot without a lease.
    pub without_lease: bool,
}

/// Result of an exchange before the backoff and the lease history are updated, from which the [`Outcome`] follows.
#[derive(Clone, Debug)]
struct ExchangeResult {
    kind: OutcomeKind,
    /// Lease part of the applied page or snapshot. `None` if neither was applied.
    lease: Option<Lease>,
    /// Changes of the applied page, including those that the follower had before. Empty for a snapshot.
    changes: Vec<Change>,
}

impl ExchangeResult {
    /// Creates the result of an exchange that applied neither a page nor a snapshot.
    fn failed(kind: OutcomeKind) -> Self {
        Self { kind, lease: None, changes: Vec::new() }
    }
}

/// Lease history of a follower.
#[derive(Clone, Copy, Debug)]
pub struct Leases {
    /// Time of the follower's first request.
    started_at: Instant,
    first_granted_at: Option<Instant>,
    expires_at: Option<Instant>,
    /// Time without a lease between the first grant and the latest one.
    unleased: Duration,
    /// Number of leases that expired before they were renewed, counted at the renewal.
    pub lapses: u64,
}

impl Leases {
    fn new(started_at: Instant) -> Self {
        Self { started_at, first_granted_at: None, expires_at: None, unleased: Duration::ZERO, lapses: 0 }
    }

    fn grant(&mut self, now: Instant, expires_at: Instant) {
        self.first_granted_at.get_or_insert(now);
        if let Some(previous) = self.expires_at
            && previous < now
        {
            self.unleased += now - previous;
            self.lapses += 1;
        }
        self.expires_at = Some(self.expires_at.map_or(expires_at, |previous| previous.max(expires_at)));
    }

    /// Returns whether a lease is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns whether the follower has been granted any lease.
    pub fn ever_granted(&self) -> bool {
        self.first_granted_at.is_some()
    }

    /// Returns how much of the time until `now` was covered by leases.
    pub fn coverage(&self, now: Instant) -> Coverage {
        let total = now.saturating_duration_since(self.started_at);
        let (Some(first_granted_at), Some(expires_at)) = (self.first_granted_at, self.expires_at) else {
            return Coverage { total, ..Coverage::default() };
        };
        let since_first = now.saturating_duration_since(first_granted_at);
        let unleased = self.unleased + now.saturating_duration_since(expires_at);
        Coverage { total, since_first, leased: since_first.saturating_sub(unleased) }
    }
}

/// The time of one or more followers, and the part of it that was covered by leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Time since the first request.
    pub total: Duration,
    /// Time since the first lease.
    pub since_first: Duration,
    /// Time with a valid lease.
    pub leased: Duration,
}

impl Coverage {
    /// Returns the increase since `before`, an earlier value of the same follower or followers.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            total: self.total.saturating_sub(before.total),
            since_first: self.since_first.saturating_sub(before.since_first),
            leased: self.leased.saturating_sub(before.leased),
        }
    }
}

/// The store and version of a follower's snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SnapshotPosition {
    store: String,
    version: Version,
}

/// The protocol state of a hollow follower.
#[derive(Clone, Debug)]
pub struct Follower {
    number: u32,
    incarnation: u64,
    /// Whether the follower reports that it rejects calls without a lease.
    requires_lease: bool,
    fenced: bool,
    position: Option<SnapshotPosition>,
    /// Whether the next request is for the snapshot.
    needs_snapshot: bool,
    lease_span: LeaseSpan,
    backoff: Backoff,
    leases: Leases,
}

impl Follower {
    /// Creates a follower without a snapshot that sends its first request at `started_at`. `seed` determines the jitter
    /// of its backoff.
    pub fn new(number: u32, incarnation: u64, requires_lease: bool, seed: u64, started_at: Instant) -> Self {
        Self {
            number,
            incarnation,
            requires_lease,
            fenced: false,
            position: None,
            needs_snapshot: true,
            lease_span: LeaseSpan::default(),
            backoff: Backoff::new(seed),
            leases: Leases::new(started_at),
        }
    }

    /// Returns the controller number and the incarnation that the follower reports.
    pub fn identity(&self) -> (u32, u64) {
        (self.number, self.incarnation)
    }

    /// Returns the lease history.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the newest revision that the follower has applied; `None` without a snapshot.
    pub fn revision(&self) -> Option<Revision> {
        self.position.as_ref().map(|position| position.version.revision)
    }

    /// Returns whether the administration has reported that this incarnation is fenced.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the next request: for the snapshot if the follower needs one or `shared` no longer has the checksum of
    /// its revision, else a watch.
    pub fn next_request(&self, shared: &SharedSnapshot) -> Request {
        let version = self.snapshot_version(shared);
        // A hollow follower serves no calls and persists nothing, so it reports each revision as in force and persisted
        // as soon as it is received.
        let revision = version.as_ref().map_or(0, |version| version.revision);
        let heartbeat = Heartbeat {
            controller: self.number,
            incarnation: self.incarnation,
            in_force: revision,
            persisted: revision,
            requires_lease: self.requires_lease,
            fenced: self.fenced,
            snapshot: version.as_ref(),
        };
        if self.needs_snapshot || version.is_none() {
            return Request {
                kind: RequestKind::Snapshot,
                target: heartbeat.snapshot_target(),
                timeout: SNAPSHOT_TIMEOUT,
            };
        }
        let timing = self.lease_span.timing(false);
        Request {
            kind: RequestKind::Watch,
            target: heartbeat.watch_target(timing.wait),
            timeout: timing.timeout,
        }
    }

    fn snapshot_version(&self, shared: &SharedSnapshot) -> Option<SnapshotVersion> {
        let SnapshotPosition { store, version } = self.position.as_ref()?;
        shared.version(store, version.epoch, version.revision)
    }

    /// Updates the follower's snapshot, lease and backoff after an exchange. Returns the outcome, with the time of the
    /// next request.
    pub fn finish_exchange(
        &mut self,
        exchange: Exchange,
        answer: &Result<Answer, Http1Error>,
        shared: &mut SharedSnapshot,
    ) -> Outcome {
        let previous = self.revision().unwrap_or(0);
        let ExchangeResult { kind, lease, mut changes } = match answer {
            Err(Http1Error::Timeout) => ExchangeResult::failed(OutcomeKind::TimedOut),
            Err(Http1Error::Broken(_)) => ExchangeResult::failed(OutcomeKind::Broken),
            Err(Http1Error::Malformed) => ExchangeResult::failed(OutcomeKind::Malformed),
            Ok(answer) => self.handle_response(exchange.kind, answer, shared),
        };
        let retry_at = match kind {
            OutcomeKind::Page | OutcomeKind::Snapshot => {
                self.backoff.reset();
                exchange.ended_at
            }
            // After a page that does not continue the follower's revision, the snapshot is requested without delay.
            OutcomeKind::SnapshotRequired if answer.as_ref().is_ok_and(|answer| answer.status == 200) => {
                exchange.ended_at
            }
            _ => exchange.ended_at + Duration::from_millis(self.backoff.next_delay()),
        };
        if let Some(lease) = lease {
            self.record_lease(exchange, lease);
        }
        changes.retain(|change| change.revision > previous);
        let without_lease = lease.is_some_and(|lease| lease.lease_ms.is_none());
        Outcome { kind, retry_at, changes, without_lease }
    }

    fn handle_response(
        &mut self,
        kind: RequestKind,
        answer: &Answer,
        shared: &mut SharedSnapshot,
    ) -> ExchangeResult {
        match (answer.status, kind) {
            (200, RequestKind::Snapshot) => {
                let Ok(snapshot) = serde_json::from_slice::<Snapshot>(&answer.body) else {
                    return ExchangeResult::failed(OutcomeKind::Malformed);
                };
                let lease = snapshot.lease;
                if self.apply_snapshot(snapshot, answer, shared) {
                    ExchangeResult { kind: OutcomeKind::Snapshot, lease: Some(lease), changes: Vec::new() }
                } else {
                    ExchangeResult::failed(OutcomeKind::Refused)
                }
            }
            (200, RequestKind::Watch) => {
                let Ok(page) = serde_json::from_slice::<Page>(&answer.body) else {
                    return ExchangeResult::failed(OutcomeKind::Malformed);
                };
                if self.apply_page(&page, answer, shared) {
                    ExchangeResult { kind: OutcomeKind::Page, lease: Some(page.lease), changes: page.entries }
                } else {
                    self.needs_snapshot = true;
                    ExchangeResult::failed(OutcomeKind::SnapshotRequired)
                }
            }
            (409 | 410, _) => {
                self.needs_snapshot = true;
                ExchangeResult::failed(OutcomeKind::SnapshotRequired)
            }
            _ if answer::is_fenced(answer) => {
                self.fenced = true;
                ExchangeResult::failed(OutcomeKind::Fenced)
            }
            _ => ExchangeResult::failed(OutcomeKind::Refused),
        }
    }

    /// Applies a snapshot unless it must not replace the current one or can't be parsed. Returns whether it was
    /// applied.
    fn apply_snapshot(&mut self, snapshot: Snapshot, answer: &Answer, shared: &mut SharedSnapshot) -> bool {
        let Snapshot { store, epoch, checksum, tenants, .. } = &snapshot;
        let version = SnapshotVersion {
            store: store.clone(),
            epoch: *epoch,
            revision: tenants.revision,
            checksum: *checksum,
        };
        if bootstrap::should_replace(self.snapshot_version(shared).as_ref(), &version).is_err()
            || !shared.apply_snapshot(&snapshot, answer)
        {
            return false;
        }
        self.position = Some(SnapshotPosition {
            store: version.store,
            version: Version { epoch: version.epoch, revision: version.revision },
        });
        self.needs_snapshot = false;
        true
    }

    /// Applies all changes of a page, or none if they don't continue the current revision without a gap. Returns
    /// whether they were applied.
    fn apply_page(&mut self, page: &Page, answer: &Answer, shared: &mut SharedSnapshot) -> bool {
        let Some(position) = &mut self.position else { return false };
        let mut revision = position.version.revision;
        for change in &page.entries {
            if change.revision > revision + 1 {
                return false;
            }
            revision = revision.max(change.revision);
        }
        if !shared.apply_page(revision, answer) {
            return false;
        }
        position.version.revision = revision;
        true
    }

    /// Records the lease of a response. Its span is counted from the start of the exchange, regardless of how long the
    /// response took.
    fn record_lease(&mut self, exchange: Exchange, lease: Lease) {
        let granted = |ms: u64| LeaseSpan::Granted(Duration::from_millis(ms.clamp(MIN_SPAN, MAX_SPAN)));
        self.lease_span = lease.lease_ms.map_or(LeaseSpan::NoLeases, granted);
        if let Some(span) = lease.lease_ms {
            let expires_at = exchange.started_at + Duration::from_millis(lease::expires_at(0, span));
            self.leases.grant(exchange.ended_at, expires_at);
        }
    }
}
