//! The parameters and the outcome of a simulated restart after a power loss.

use serde::Serialize;

use crate::Micros;
use crate::network::{Network, Peak};

/// The time from which the leader is available again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaderReturn {
    /// From the start, before the controllers.
    First,
    /// This long after the start of the run.
    After(Micros),
    /// Not during the run.
    Never,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Number of controllers.
    pub controllers: u32,
    /// Network between the controllers and to the leader.
    pub network: Network,
    /// Time from which the leader is available again.
    #[serde(rename = "administration")]
    pub leader_return: LeaderReturn,
    /// Probability that a controller has lost its persisted snapshot.
    #[serde(rename = "lost_books")]
    pub lost_snapshots: f64,
    /// Number of tenants. Each takes about 700 bytes of a snapshot.
    pub tenants: u64,
    /// Mean number of new calls per second at each controller.
    #[serde(rename = "calls")]
    pub calls_per_second: f64,
    /// Calls per second that the workers of a controller serve once they have warmed up.
    pub capacity: f64,
    /// Share of `capacity` that the workers have when they start.
    #[serde(rename = "cold_part")]
    pub initial_capacity: f64,
    /// Time that the workers take to warm up.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// Time after the start during which a controller sends nothing to a worker that is warming up, as in the decision
    /// module.
    #[serde(rename = "wait")]
    pub warm_up_wait: Micros,
    /// Number of models in use at each controller. A replica of each has to be loaded again.
    pub models: u32,
    /// Time to load one model while no more than `store_capacity` models are loaded concurrently.
    #[serde(rename = "load")]
    pub load_time: Micros,
    /// Number of concurrent loads above which further loads take longer.
    #[serde(rename = "store")]
    pub store_capacity: u32,
    /// Latency objective of the calls.
    #[serde(rename = "aim")]
    pub latency_objective: Micros,
    /// Time after its first attempt at which a client abandons a call.
    pub deadline: Micros,
    /// Whether the controllers use admission control after the restart.
    #[serde(rename = "gate")]
    pub admission: bool,
    /// Length of the run in virtual time.
    pub length: Micros,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Parameters of the simulation.
    pub plan: Plan,
    /// Time in milliseconds from which at least nine of ten calls were served in time until the end of the run; `None`
    /// if there is no such time.
    pub ready_ms: Option<u64>,
    /// Calls that were served within the latency objective.
    pub in_time: u64,
    /// Calls that were served after the latency objective and before the deadline.
    pub late: u64,
    /// Calls that were refused and not retried again.
    pub refused: u64,
    /// Calls that clients abandoned at the deadline.
    pub given_up: u64,
    /// Total number of refusals. A call may be refused more than once.
    pub refusals: u64,
    /// Number of controllers that have a snapshot at the end of the run.
    #[serde(rename = "with_book")]
    pub with_snapshot: u32,
    /// Time in milliseconds at which the last of these controllers obtained its snapshot.
    #[serde(rename = "last_book_ms")]
    pub last_snapshot_ms: u64,
    /// Maximum numbers of requests and bytes in one second at the leader.
    #[serde(rename = "administration_peak")]
    pub leader_peak: Peak,
    /// Maximum numbers of requests and bytes in one second at any controller that peers ask for its snapshot.
    pub peer_peak: Peak,
    /// Maximum number of load orders in one second, over all controllers together.
    #[serde(rename = "orders_peak")]
    pub load_orders_peak: u64,
}
