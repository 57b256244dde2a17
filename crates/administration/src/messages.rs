//! The messages between the administration thread and the controller's thread: ordered events for the controller, and
//! the controller's status, which the controller keeps up to date.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use nettleferry_admin::api::{Usage, Worker};
use nettleferry_fleet::loans::LimitKind;
use nettleferry_tenancy::{Entry, Revision};
use serde::{Deserialize, Serialize};

use crate::snapshot_document::SnapshotDocument;

/// Age from which a measured demand is reported as zero.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(2);

/// An event that the administration sends to the controller, which must apply events in the order in which they arrive.
#[derive(Debug)]
pub enum AdminEvent {
    /// One tenant was created, changed or removed.
    TenantChanged(Box<Entry>),
    /// All tenants were replaced; a tenant that is not in this snapshot no longer exists.
    SnapshotReplaced(Box<SnapshotDocument>),
    /// Sent to the leader's own controller: whether the leader's snapshot is known to lack changes that other
    /// controllers have or had. While it is `true`, the controller must not act on the snapshot.
    SnapshotBehind(bool),
    /// The names of all workers that an operator is draining.
    WorkersDrained(BTreeSet<String>),
    /// A checkpoint, which the controller acknowledges with
    /// [`AdminServer::acknowledge`](crate::AdminServer::acknowledge) once it has applied all earlier events.
    Checkpoint(u64),
    /// A reading of the leader's clock, with the interval of the local clock in which it was taken.
    LeaderClock {
        /// The start of that interval.
        earliest: Instant,
        /// The end of that interval.
        latest: Instant,
        /// The incarnation of the leader; its clock starts at zero with each incarnation.
        incarnation: u64,
        /// The reading, in milliseconds since that incarnation started.
        at_ms: u64,
    },
    /// The lease was renewed: the controller may act on all earlier events until the lease expires.
    LeaseRenewed {
        /// Time on the local clock at which the lease expires.
        until: Instant,
        /// The incarnation's fencing token.
        fencing_token: u64,
    },
    /// This incarnation was fenced: it must accept no calls until the controller restarts.
    Fenced,
    /// Loans were granted: shares of limits that the controller may use beyond its reserves.
    LoansGranted {
        /// Time on the local clock at which the loans expire.
        until: Instant,
        /// The loans, one for each limit.
        loans: Vec<LoanGrant>,
    },
}

/// The controller's state that the administration reads, plus the fleet counts that it writes back for the metrics.
#[derive(Debug, Default)]
pub struct ControllerStatus {
    /// The snapshot revision that the controller has in force.
    pub revision: Revision,
    /// The current usage of each tenant, by uid.
    pub usage: HashMap<Revision, Usage>,
    /// The workers that are connected to the controller.
    pub workers: Vec<Worker>,
    /// Counts of the fleet's incarnations, which the leader updates for the controller's metrics.
    pub fleet: FleetCounts,
    /// The controller's demand for each limit that is divided by loans.
    pub demands: Vec<LimitDemand>,
    /// Time at which `demands` was measured; `None` before the first measurement.
    pub demands_measured_at: Option<Instant>,
}

/// Counts of the fleet's incarnations, as the leader knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Incarnations that hold a lease and have an earlier revision in force than the leader.
    pub incarnations_behind: usize,
    /// Fenced incarnations that have sent a heartbeat recently.
    pub incarnations_fenced: usize,
    /// Whether recovery has not yet decided which snapshot is authoritative.
    pub recovery_pending: bool,
}

impl ControllerStatus {
    /// The demands. If they were measured [`MAX_DEMAND_AGE`] ago or earlier, as in a controller without calls, each
    /// demand is zero.
    pub(crate) fn recent_demands(&self) -> Vec<LimitDemand> {
        let recent = self.demands_measured_at.is_some_and(|at| at.elapsed() < MAX_DEMAND_AGE);
        let zero_if_outdated =
            |row: &LimitDemand| LimitDemand { demand: if recent { row.demand } else { 0.0 }, ..row.clone() };
        self.demands.iter().map(zero_if_outdated).collect()
    }
}

/// A controller's demand for a tenant's limit, as it reports it to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// The name of the tenant whose limit is demanded.
    pub tenant: String,
    /// The tenant's uid, because the name of a removed tenant can be reused.
    pub uid: Revision,
    /// The kind of limit.
    pub kind: LimitKind,
    /// Amount that the controller's calls could use in total, in units of the limit.
    pub demand: f64,
    /// Amount that the controller's open calls use now, in units of the limit; always 0 for a rate.
    pub in_use: f64,
    /// The number of the loan that the controller's thread applies; 0 if there is none.
    #[serde(rename = "acts_on")]
    pub applied_loan: u64,
    /// The incarnation of the leader that granted that loan. Each incarnation numbers its loans independently.
    #[serde(rename = "by")]
    pub leader_incarnation: u64,
}

/// A loan: the share of a tenant's limit that a controller may use beyond its reserve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// The uid of the tenant whose limit is lent.
    pub uid: Revision,
    /// The kind of limit.
    pub kind: LimitKind,
    /// The whole limit of which this is a share. If the limit changes, the loan is void.
    pub limit: f64,
    /// The loan's number; later loans of the same leader incarnation have higher ones.
    pub number: u64,
    /// The incarnation of the leader that granted the loan.
    #[serde(rename = "by")]
    pub leader_incarnation: u64,
    /// The size of the share, in units of the limit.
    pub amount: f64,
}
