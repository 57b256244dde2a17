//! The limits of a tenant and of its classes at this controller.

use std::collections::BTreeMap;

/// A limit on the rate of new calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls per second; 0 admits no calls.
    pub per_second: f64,
    /// Number of calls that may arrive at the same time; 0 counts as 1.
    pub burst: u32,
}

/// Limits of a tenant, or of one class of its calls. `None` means no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum rate of new calls.
    pub rate: Option<RateLimit>,
    /// Maximum number of open calls.
    pub open: Option<u32>,
}

/// The limits and the weight of a tenant. `None` means no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Whether calls of the tenant are admitted. False for a tenant that is suspended or being removed.
    pub active: bool,
    /// Limits on the tenant's calls of all classes together.
    pub limits: Limits,
    /// Additional limits on the calls of single classes, by class.
    pub classes: BTreeMap<usize, Limits>,
    /// Maximum number of held calls, which wait for a worker.
    pub held: Option<u32>,
    /// Maximum memory of the models in use, in bytes; see [`crate::MODEL_IDLE_TIMEOUT`].
    pub memory: Option<u64>,
    /// Maximum share of the running calls, from 0 to 1. Enforced only while calls of other tenants wait.
    pub share: Option<f64>,
    /// Weight of the tenant when a full queue is divided among tenants.
    pub weight: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            active: true,
            limits: Limits::default(),
            classes: BTreeMap::new(),
            held: None,
            memory: None,
            share: None,
            weight: 1.0,
        }
    }
}
