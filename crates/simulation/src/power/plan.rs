//! What a simulated return from a loss of power starts with, and what it gives.

use serde::Serialize;

use crate::Micros;
use crate::network::{Network, Peak};

/// When the leader returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderReturn {
    /// Before the controllers.
    First,
    /// This long after them.
    After(Micros),
    /// Not at all.
    Never,
}

/// What is simulated.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Controllers.
    pub controllers: u32,
    /// The network between them.
    pub network: Network,
    /// When the leader returns.
    #[serde(rename = "administration")]
    pub leader_return: LeaderReturn,
    /// Part of the controllers whose persisted snapshot is lost.
    #[serde(rename = "lost_books")]
    pub lost_snapshots: f64,
    /// Tenants, each of about 700 bytes of a snapshot.
    pub tenants: u64,
    /// Calls a second at each controller.
    #[serde(rename = "calls")]
    pub calls_per_second: f64,
    /// Calls a second that a controller's workers serve when they are warm.
    pub capacity: f64,
    /// Part of `capacity` that they have when they start.
    #[serde(rename = "cold_part")]
    pub initial_capacity: f64,
    /// How long they warm up.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// Nothing goes to a worker that warms up until this long after the controller's own start, as the decision module
    /// has it.
    #[serde(rename = "wait")]
    pub warm_up_wait: Micros,
    /// Models in use at each controller; a replica of each has to be loaded again.
    pub models: u32,
    /// How long the load of one model takes while the model store serves no more than `store_capacity`.
    #[serde(rename = "load")]
    pub load_time: Micros,
    /// Loads at once from which on each slows down all.
    #[serde(rename = "store")]
    pub store_capacity: u32,
    /// The time in which a call wants its answer.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// The time after which a client gives up.
    pub deadline: Micros,
    /// Admission after a restart is on.
    #[serde(rename = "gate")]
    pub admission: bool,
    /// Length of the run.
    pub length: Micros,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// What a run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was simulated.
    pub plan: Plan,
    /// When nine of ten calls began to be served in time, and were so until the end; `None`: not within the length.
    pub ready_ms: Option<u64>,
    /// Calls that were served in time.
    pub in_time: u64,
    /// Calls that were served late.
    pub late: u64,
    /// Calls that were refused and did not come again.
    pub refused: u64,
    /// Calls whose clients gave up.
    pub given_up: u64,
    /// Refusals in all: a call may be refused more than once.
    pub refusals: u64,
    /// Controllers that have a snapshot at the end.
    #[serde(rename = "with_book")]
    pub with_snapshot: u32,
    /// When the last of them got it.
    #[serde(rename = "last_book_ms")]
    pub last_snapshot_ms: u64,
    /// Requests and bytes of the busiest second at the leader.
    #[serde(rename = "administration_peak")]
    pub leader_peak: Peak,
    /// The same at the busiest peer.
    pub peer_peak: Peak,
    /// Load orders of the busiest second.
    #[serde(rename = "orders_peak")]
    pub load_orders_peak: u64,
}
