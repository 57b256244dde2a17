//! The messages between the administration's thread and the controller's thread: events for the controller, in order,
//! and the controller's status, which it updates as it goes.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use nettleferry_admin::api::{Usage, Worker};
use nettleferry_fleet::loans::LimitKind;
use nettleferry_tenancy::{Entry, Revision};
use serde::{Deserialize, Serialize};

use crate::snapshot_document::SnapshotDocument;

/// A demand that was measured longer ago than this counts as none.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(2);

/// An event that the administration sends to the controller. Events are to be carried out in their order.
#[derive(Debug)]
pub enum AdminEvent {
    /// A tenant was changed.
    TenantChanged(Box<Entry>),
    /// All tenants were replaced: those that are not in this snapshot are gone.
    SnapshotReplaced(Box<SnapshotDocument>),
    /// Whether the leader's own snapshot is known to lack changes that others have or had: its controller is not to act
    /// on it.
    SnapshotBehind(bool),
    /// All workers that are drained by hand.
    WorkersDrained(BTreeSet<String>),
    /// To be acknowledged by [`AdminServer::acknowledge`](crate::AdminServer::acknowledge) once all earlier events are
    /// in force.
    Checkpoint(u64),
    /// A reading of the leader's clock, bounded by two moments of this process.
    LeaderClock {
        /// The clock was read after this moment.
        earliest: Instant,
        /// The clock was read before this moment.
        latest: Instant,
        /// The incarnation of the leader, whose clock it is.
        incarnation: u64,
        /// Milliseconds on that clock.
        at_ms: u64,
    },
    /// A lease: the controller may act on all earlier events.
    LeaseRenewed {
        /// The moment from which on it may not.
        until: Instant,
        /// The incarnation's fencing token.
        fencing_token: u64,
    },
    /// This incarnation was fenced.
    Fenced,
    /// What the controller may use of limits beyond its reserves.
    LoansGranted {
        /// The moment from which on it may not.
        until: Instant,
        /// One for each limit.
        loans: Vec<LoanGrant>,
    },
}

/// What the controller shows to the administration.
#[derive(Debug, Default)]
pub struct ControllerStatus {
    /// The revision in force.
    pub revision: Revision,
    /// The usage of tenants, by uid.
    pub usage: HashMap<Revision, Usage>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// What the leader knows of the fleet, for the controller's metrics.
    pub fleet: FleetCounts,
    /// What calls could use of limits, where loans are granted.
    pub demands: Vec<LimitDemand>,
    /// When `demands` was measured.
    pub demands_measured_at: Option<Instant>,
}

/// What the leader knows of the fleet, in numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Incarnations with a lease that act on an earlier revision.
    pub incarnations_behind: usize,
    /// Fenced incarnations that reported lately.
    pub incarnations_fenced: usize,
    /// Whether it is not decided yet which snapshot counts.
    pub recovery_pending: bool,
}

impl ControllerStatus {
    /// The demands. If they were measured too long ago, as by a controller without calls, each of them is zero.
    pub(crate) fn recent_demands(&self) -> Vec<LimitDemand> {
        let recent = self.demands_measured_at.is_some_and(|at| at.elapsed() < MAX_DEMAND_AGE);
        let limit =
            |row: &LimitDemand| LimitDemand { demand: if recent { row.demand } else { 0.0 }, ..row.clone() };
        self.demands.iter().map(limit).collect()
    }
}

/// What a controller could use of a tenant's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's uid, as a removed tenant's name may be used again.
    pub uid: Revision,
    /// The kind of limit.
    pub kind: LimitKind,
    /// How much calls could use, in all.
    pub demand: f64,
    /// How much open calls use; always 0 for a rate.
    pub in_use: f64,
    /// The number of the loan that the call thread acts on; 0: none.
    #[serde(rename = "acts_on")]
    pub applied_loan: u64,
    /// The leader's incarnation that granted that loan: loans of others are numbered apart.
    #[serde(rename = "by")]
    pub leader_incarnation: u64,
}

/// What a controller may use of a tenant's limit beyond its reserve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The tenant's uid.
    pub uid: Revision,
    /// The kind of limit.
    pub kind: LimitKind,
    /// The limit that this is a part of. If the limit changes, the loan no longer holds.
    pub limit: f64,
    /// The loan's number; later loans have higher ones.
    pub number: u64,
    /// The leader's incarnation that granted it.
    #[serde(rename = "by")]
    pub leader_incarnation: u64,
    /// How much.
    pub amount: f64,
}
