//! Which snapshot counts after a loss: followers and peers report theirs, and `nettleferry_fleet::authority` decides, or
//! an operator does. A snapshot that was decided on is installed by the server loop.

use std::collections::BTreeMap;

use nettleferry_admin::Problem;
use nettleferry_admin::api::RecoveryPending;
use nettleferry_fleet::Millis;
use nettleferry_fleet::authority::{Authority, Cause, Duty, Step};
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_tenancy::TenantSnapshot;
use nettleferry_tenant_store::Origin;
use serde_json::{Value, json};
use tracing::{info, warn};

use super::store::wall_ms;
use crate::snapshot_document::SnapshotDocument;

/// Tenants of a difference that are named; more are counted.
const MAX_NAMED_DIFFERENCES: usize = 100;

/// A snapshot that is to be installed.
pub(super) struct Decision {
    pub(super) snapshot: TenantSnapshot,
    pub(super) origin: Origin,
}

/// Where a report comes from.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportSource {
    /// The controller's number.
    pub(super) controller: u32,
    /// The incarnation that reported by itself; `None`: a peer that was asked.
    pub(super) incarnation: Option<u64>,
    /// A later incarnation of the same controller was heard before.
    pub(super) is_superseded: bool,
}

impl ReportSource {
    /// A peer's response.
    pub(super) fn peer(controller: u32) -> Self {
        Self { controller, incarnation: None, is_superseded: false }
    }
}

/// The recovery.
pub(super) struct RecoveryService {
    controller: u32,
    authority: Authority,
    /// Snapshots that peers gave while none counts, by the peer's number: as many as there are peers.
    offers: BTreeMap<u32, SnapshotDocument>,
    /// By agreement, or by an operator: to be installed after the response.
    decision: Option<Decision>,
    logged_duty: Option<Duty>,
}

impl RecoveryService {
    /// A recovery of the leader's controller of this number.
    pub(super) fn new(controller: u32, authority: Authority) -> Self {
        Self { controller, authority, offers: BTreeMap::new(), decision: None, logged_duty: None }
    }

    /// The decisions so far.
    pub(super) fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Whether a snapshot counts, so that it may be given and changed.
    pub(super) fn is_serving(&self) -> bool {
        self.authority.duty().0 == Duty::Serving
    }

    /// Whether the store's own snapshot can be read.
    pub(super) fn owns_snapshot(&self) -> bool {
        self.authority.own().is_some()
    }

    /// As [`RecoveryService::is_serving`], for the API.
    pub(super) fn check_serving(&self) -> Result<(), RecoveryPending> {
        match self.authority.duty().0 {
            Duty::Serving => Ok(()),
            Duty::Waiting(cause) => Err(RecoveryPending {
                cause: cause.as_str(),
                responded: self.authority.reports().count(),
                expected: self.authority.expected(),
            }),
        }
    }

    /// The store's snapshot has this version now.
    pub(super) fn own_changed(&mut self, now: Millis, version: SnapshotVersion) {
        self.authority.set_own(now, version, false);
    }

    /// A decided snapshot was installed; it has this version.
    pub(super) fn installed(&mut self, now: Millis, version: SnapshotVersion) {
        self.authority.set_own(now, version, true);
        self.offers.clear();
    }

    /// A controller reported the version that it has; `None`: it has none.
    pub(super) fn version_reported(
        &mut self,
        now: Millis,
        source: ReportSource,
        version: Option<SnapshotVersion>,
    ) {
        let before = self.authority.duty();
        let step = match &version {
            Some(version) if source.is_superseded => {
                self.authority.superseded_report_received(now, version);
                Step::None
            }
            Some(version) if source.incarnation.is_some() => {
                self.authority.heartbeat_received(now, source.controller, version.clone())
            }
            _ => self.authority.report_received(now, source.controller, version.clone()),
        };
        self.log_transition(now, before, source, version.as_ref());
        let Step::Install(from, version) = step else { return };
        // A controller that reported its version with a heartbeat gives its snapshot when it is asked in turn.
        let offer = self.offers.get(&from).filter(|document| document.version() == version);
        if let Some((document, origin)) = offer.zip(self.superseding_origin()) {
            let decide = || Decision { snapshot: document.snapshot.clone(), origin };
            self.decision.get_or_insert_with(decide);
        }
    }

    /// Logs a change of duty with the report that caused it.
    fn log_transition(
        &self,
        now: Millis,
        (before, since): (Duty, Millis),
        source: ReportSource,
        reported: Option<&SnapshotVersion>,
    ) {
        let (after, _) = self.authority.duty();
        if before == after {
            return;
        }
        let name = |version: Option<&SnapshotVersion>| version.map(ToString::to_string).unwrap_or_default();
        info!(
            from = before.as_str(),
            to = after.as_str(),
            after_ms = now.saturating_sub(since),
            controller = source.controller,
            incarnation = %source.incarnation.map(|life| format!("{life:016x}")).unwrap_or_default(),
            is_superseded = source.is_superseded,
            reported = %name(reported),
            own = %name(self.authority.own()),
            "duty changed by a report"
        );
    }

    /// Whether the leader's own snapshot is known to lack changes that others have or had.
    pub(super) fn is_behind(&self) -> bool {
        self.authority.duty().0 == Duty::Waiting(Cause::Behind)
    }

    /// A peer gave the snapshot that it has.
    pub(super) fn snapshot_offered(&mut self, now: Millis, controller: u32, document: SnapshotDocument) {
        let version = document.version();
        self.offers.insert(controller, document);
        self.version_reported(now, ReportSource::peer(controller), Some(version));
    }

    /// The snapshot that is to be installed, once.
    pub(super) fn take_decision(&mut self) -> Option<Decision> {
        self.decision.take()
    }

    /// Logs whether a snapshot counts, if that has changed. Returns whether it has.
    pub(super) fn log_duty(&mut self) -> bool {
        let (duty, _) = self.authority.duty();
        if self.logged_duty.replace(duty) == Some(duty) {
            return false;
        }
        match duty {
            Duty::Serving => info!("snapshot is authoritative, it is served and changed"),
            Duty::Waiting(cause) => warn!(
                cause = cause.as_str(),
                expected = self.authority.expected(),
                "recovery pending: no snapshot is served or changed; see nettleferry fleet status and nettleferry fleet recover"
            ),
        }
        true
    }

    /// An operator decides which snapshot counts: `own`, or the number of the controller that gave it. Returns what the
    /// others have that would be lost, or would come back.
    pub(super) fn decide(
        &mut self,
        own: &TenantSnapshot,
        take: &str,
        dry_run: bool,
    ) -> Result<Value, Problem> {
        let (snapshot, from) = self.chosen(own, take)?;
        let all = self.offers.iter().map(|(number, document)| (*number, &document.snapshot));
        let others: Vec<Value> = all
            .chain([(self.controller, own)])
            .filter(|(number, _)| *number != from)
            .map(|(number, other)| difference(number, &snapshot, other))
            .collect();
        let origin =
            self.superseding_origin().ok_or_else(|| unknown("no book is known at all".to_owned()))?;
        let answer = json!({
            "take": take, "controller": from, "revision": snapshot.revision(), "tenants": snapshot.tenants().len(),
            "epoch": origin.epoch, "others": others, "done": !dry_run,
        });
        if !dry_run {
            self.decision = Some(Decision { snapshot, origin });
        }
        Ok(answer)
    }

    /// The snapshot that an operator names, and the controller that has it.
    fn chosen(&self, own: &TenantSnapshot, take: &str) -> Result<(TenantSnapshot, u32), Problem> {
        if take == "own" {
            if !self.owns_snapshot() && own.revision() == 0 {
                return Err(unknown("its own book can't be read, and there is no snapshot of it".to_owned()));
            }
            return Ok((own.clone(), self.controller));
        }
        let number: u32 = take.parse().map_err(|_| unknown("own, or a controller's number".to_owned()))?;
        let not_given =
            || unknown(format!("controller {number} has given no book; peers are asked while one is open"));
        let document = self.offers.get(&number).ok_or_else(not_given)?;
        Ok((document.snapshot.clone(), number))
    }

    /// The store and epoch under which a snapshot supersedes all that are known.
    fn superseding_origin(&self) -> Option<Origin> {
        let minimum = self.authority.superseding_origin()?;
        Some(Origin { store: minimum.store, epoch: minimum.epoch.max(wall_ms()) })
    }
}

fn unknown(what: String) -> Problem {
    Problem::field("take", what)
}

/// What the other controller would lose, or get back, if this snapshot counts.
fn difference(controller: u32, chosen: &TenantSnapshot, other: &TenantSnapshot) -> Value {
    let mut named: Vec<Value> = Vec::new();
    let mut count = 0;
    let mut add = |tenant: &str, what: &str| {
        count += 1;
        if named.len() < MAX_NAMED_DIFFERENCES {
            named.push(json!({ "tenant": tenant, "what": what }));
        }
    };
    for tenant in other.tenants() {
        match chosen.get(&tenant.name) {
            None => add(&tenant.name, "would be gone"),
            Some(stays) if stays != tenant => add(&tenant.name, "would be another"),
            Some(_) => {}
        }
    }
    for tenant in chosen.tenants().filter(|tenant| other.get(&tenant.name).is_none()) {
        add(&tenant.name, "would be there again");
    }
    json!({ "controller": controller, "revision": other.revision(), "differences": count, "tenants": named })
}
