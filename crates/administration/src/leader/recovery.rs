//! Determines which snapshot is authoritative after a loss. Followers and peers report their snapshots, and either
//! `nettleferry_fleet::authority` or an operator decides. The server loop installs the chosen snapshot.

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

/// Maximum number of tenants that a difference lists by name; further ones are only counted.
const MAX_NAMED_DIFFERENCES: usize = 100;

/// A chosen snapshot, with the store and epoch under which it is to be installed.
pub(super) struct Decision {
    pub(super) snapshot: TenantSnapshot,
    pub(super) origin: Origin,
}

/// The source of a reported snapshot version.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportSource {
    /// The number of the controller whose snapshot was reported.
    pub(super) controller: u32,
    /// The incarnation that sent the report with a heartbeat; `None` for the response of a polled peer.
    pub(super) incarnation: Option<u64>,
    /// Whether a later incarnation of the same controller has sent a heartbeat before this report.
    pub(super) is_superseded: bool,
}

impl ReportSource {
    /// The source of a polled peer's response.
    pub(super) fn peer(controller: u32) -> Self {
        Self { controller, incarnation: None, is_superseded: false }
    }
}

/// The state of the recovery, which also tracks the leader's duty in normal operation.
pub(super) struct RecoveryService {
    controller: u32,
    authority: Authority,
    /// The snapshots that peers have sent while none is authoritative, by controller number; at most one for each peer.
    offers: BTreeMap<u32, SnapshotDocument>,
    /// The snapshot that the controllers agree on or an operator has chosen, until the server loop installs it.
    decision: Option<Decision>,
    logged_duty: Option<Duty>,
}

impl RecoveryService {
    /// Creates a recovery. `controller` is the number of the leader's own controller.
    pub(super) fn new(controller: u32, authority: Authority) -> Self {
        Self { controller, authority, offers: BTreeMap::new(), decision: None, logged_duty: None }
    }

    /// The leader's duty, with the reports from which it was derived.
    pub(super) fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Whether the leader's snapshot is authoritative, so that it may be served and changed.
    pub(super) fn is_serving(&self) -> bool {
        self.authority.duty().0 == Duty::Serving
    }

    /// Whether the leader's snapshot belongs to its own store, which is not so while the store is damaged.
    pub(super) fn owns_snapshot(&self) -> bool {
        self.authority.own().is_some()
    }

    /// Like [`RecoveryService::is_serving`], as a result for the API.
    ///
    /// # Errors
    /// The reason why recovery is pending, and how many controllers have reported.
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

    /// Records the new version of the store's snapshot after a change.
    pub(super) fn own_changed(&mut self, now: Millis, version: SnapshotVersion) {
        self.authority.set_own(now, version, false);
    }

    /// Records that the chosen snapshot was installed with this version.
    pub(super) fn installed(&mut self, now: Millis, version: SnapshotVersion) {
        self.authority.set_own(now, version, true);
        self.offers.clear();
    }

    /// Handles the snapshot version that a controller reported; `None` if it has no snapshot.
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
        // Without an offer, as after a heartbeat, there is nothing to install yet: the snapshot arrives when that
        // controller is polled in the next round.
        let offer = self.offers.get(&from).filter(|document| document.version() == version);
        if let Some((document, origin)) = offer.zip(self.superseding_origin()) {
            let decide = || Decision { snapshot: document.snapshot.clone(), origin };
            self.decision.get_or_insert_with(decide);
        }
    }

    /// Logs a change of the leader's duty, with the report that caused it.
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
        let version_text =
            |version: Option<&SnapshotVersion>| version.map(ToString::to_string).unwrap_or_default();
        info!(
            from = before.as_str(),
            to = after.as_str(),
            after_ms = now.saturating_sub(since),
            controller = source.controller,
            incarnation = %source.incarnation.map(|life| format!("{life:016x}")).unwrap_or_default(),
            is_superseded = source.is_superseded,
            reported = %version_text(reported),
            own = %version_text(self.authority.own()),
            "duty changed by a report"
        );
    }

    /// Whether the leader's own snapshot is known to lack changes that other controllers have or had.
    pub(super) fn is_behind(&self) -> bool {
        self.authority.duty().0 == Duty::Waiting(Cause::Behind)
    }

    /// Handles a snapshot that a peer has sent.
    pub(super) fn snapshot_offered(&mut self, now: Millis, controller: u32, document: SnapshotDocument) {
        let version = document.version();
        self.offers.insert(controller, document);
        self.version_reported(now, ReportSource::peer(controller), Some(version));
    }

    /// Returns the snapshot that is to be installed, if one was chosen since the previous call.
    pub(super) fn take_decision(&mut self) -> Option<Decision> {
        self.decision.take()
    }

    /// Logs the leader's duty if it has changed since the previous call. Returns whether it has.
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

    /// Handles an operator's choice of the authoritative snapshot: `own`, or the number of the controller that has sent
    /// it. Returns how the snapshots of the other controllers differ, as JSON for the API. With `dry_run`, nothing else
    /// happens.
    ///
    /// # Errors
    /// The choice is invalid, the controller has sent no snapshot, or no snapshot is known.
    pub(super) fn decide(
        &mut self,
        own: &TenantSnapshot,
        choice: &str,
        dry_run: bool,
    ) -> Result<Value, Problem> {
        let (snapshot, from) = self.chosen_snapshot(own, choice)?;
        let all = self.offers.iter().map(|(number, document)| (*number, &document.snapshot));
        let others: Vec<Value> = all
            .chain([(self.controller, own)])
            .filter(|(number, _)| *number != from)
            .map(|(number, other)| difference(number, &snapshot, other))
            .collect();
        let origin =
            self.superseding_origin().ok_or_else(|| invalid_choice("no book is known at all".to_owned()))?;
        let answer = json!({
            "take": choice, "controller": from, "revision": snapshot.revision(), "tenants": snapshot.tenants().len(),
            "epoch": origin.epoch, "others": others, "done": !dry_run,
        });
        if !dry_run {
            self.decision = Some(Decision { snapshot, origin });
        }
        Ok(answer)
    }

    /// The snapshot that an operator has chosen, and the number of the controller that has it.
    fn chosen_snapshot(&self, own: &TenantSnapshot, choice: &str) -> Result<(TenantSnapshot, u32), Problem> {
        if choice == "own" {
            if !self.owns_snapshot() && own.revision() == 0 {
                let detail = "its own book can't be read, and there is no snapshot of it";
                return Err(invalid_choice(detail.to_owned()));
            }
            return Ok((own.clone(), self.controller));
        }
        let not_a_number = |_| invalid_choice("own, or a controller's number".to_owned());
        let number: u32 = choice.parse().map_err(not_a_number)?;
        let no_offer = || {
            invalid_choice(format!(
                "controller {number} has given no book; peers are asked while one is open"
            ))
        };
        let document = self.offers.get(&number).ok_or_else(no_offer)?;
        Ok((document.snapshot.clone(), number))
    }

    /// The store and epoch under which a snapshot supersedes all known ones; `None` if none is known. The epoch is the
    /// wall-clock time if that is late enough.
    fn superseding_origin(&self) -> Option<Origin> {
        let minimum = self.authority.superseding_origin()?;
        Some(Origin { store: minimum.store, epoch: minimum.epoch.max(wall_ms()) })
    }
}

fn invalid_choice(detail: String) -> Problem {
    Problem::field("take", detail)
}

/// The tenants that the other controller would lose, see changed or get back if the chosen snapshot is installed, as
/// JSON for the API.
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
            Some(kept) if kept != tenant => add(&tenant.name, "would be another"),
            Some(_) => {}
        }
    }
    for tenant in chosen.tenants().filter(|tenant| other.get(&tenant.name).is_none()) {
        add(&tenant.name, "would be there again");
    }
    json!({ "controller": controller, "revision": other.revision(), "differences": count, "tenants": named })
}
